package gateway

// This file defines keyed calls: claim, run, and report the end.

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ledger"
	"tamaracktiller.example/tamaracktiller/internal/traffic/relay"
)

// Ledger decides who may run a keyed request.
type Ledger interface {
	Claim(ctx context.Context, c ledger.Claim) ledger.Reply
	Finish(ctx context.Context, f ledger.Finish)
}

const (
	// headerIdempotencyKey carries the key of a request.
	headerIdempotencyKey = "Idempotency-Key"
	// headerReplayed marks the answer of an earlier attempt.
	headerReplayed = "Tamarack-Replayed"
	// finishTimeout bounds the report of an attempt's end.
	finishTimeout = 3 * time.Second
	// runningPause is the time between two questions whether an earlier attempt
	// has ended.
	runningPause = 50 * time.Millisecond
	// runningRetry is what a caller is told whose earlier attempt is running.
	runningRetry = time.Second
)

// decide runs a call, a keyed one only with the grant of its key's owner.
func (g *Gateway) decide(ctx context.Context, s *controller.Snapshot, c *call.Call, info informer) *call.Answer {
	c.Fingerprint = fingerprint(c)
	if g.crashes.refuses(c.Fingerprint) {
		return refusedAsCrash()
	}
	if !c.Keyed {
		return g.carry(ctx, s, c, info)
	}
	claim := ledger.Claim{
		Key: c.Key, TimeMilli: c.KeyTime.UnixMilli(), Attempt: uuid.NewString(),
		Fingerprint: c.Fingerprint, UntilMilli: c.Deadline.UnixMilli(),
	}
	reply := g.claim(ctx, claim)
	if reply.Verdict == ledger.Granted {
		answer := g.carry(ctx, s, c, info)
		g.finish(ctx, claim, answer)
		return answer
	}
	if reply.Verdict == ledger.Refused {
		// The grant may have been made and its answer lost.
		g.report(ctx, ledger.Finish{Key: claim.Key, Attempt: claim.Attempt, Ending: ledger.EndedNotRun}, false)
	}
	return answerTo(reply)
}

// claim asks for the grant. While an earlier attempt runs it waits for its end.
func (g *Gateway) claim(ctx context.Context, claim ledger.Claim) ledger.Reply {
	for {
		reply := g.cfg.Ledger.Claim(ctx, claim)
		if reply.Verdict != ledger.Running || ctx.Err() != nil {
			return reply
		}
		timer := time.NewTimer(runningPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return reply
		}
	}
}

// fingerprint identifies the content of a request. A streamed body counts by its
// length.
func fingerprint(c *call.Call) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.Service + "\x00" + c.Request.Method + "\x00" + c.Request.URL.RequestURI() + "\x00")
	if c.IsBuffered {
		_, _ = d.Write(c.Buffered)
	}
	return d.Sum64()
}

// answerTo turns the verdict on a call that was not granted into its answer.
func answerTo(r ledger.Reply) *call.Answer {
	switch r.Verdict {
	case ledger.Finished:
		return replay(r.Answer)
	case ledger.Uncertain:
		return call.Unknown(r.Reason, "")
	case ledger.Running:
		a := call.Unknown(r.Reason, "")
		a.RetryAfter = runningRetry
		return a
	case ledger.Misused:
		a := call.NotRun(r.Reason, 0)
		a.Status = http.StatusUnprocessableEntity
		return a
	default:
		return call.NotRun(r.Reason, notReadyRetry)
	}
}

// replay returns the kept answer of the attempt that ran. One that is not kept
// is told as such: the request ran and will not run again.
func replay(kept *ledger.Answer) *call.Answer {
	res := &http.Response{StatusCode: http.StatusConflict, Header: http.Header{}, Body: http.NoBody}
	if kept != nil {
		res.StatusCode = kept.Status
		res.Header = http.Header(kept.Header).Clone()
		res.Body = io.NopCloser(bytes.NewReader(kept.Body))
		res.ContentLength = int64(len(kept.Body))
	}
	res.Header.Set(headerReplayed, "true")
	return &call.Answer{Outcome: call.Ran, Response: res}
}

// finish reports the end of a granted attempt. That nothing ran is reported
// before the caller is told, so that the caller's next try finds the key free.
func (g *Gateway) finish(ctx context.Context, claim ledger.Claim, a *call.Answer) {
	f := ledger.Finish{Key: claim.Key, Attempt: claim.Attempt, Ending: ledger.EndedUncertain}
	switch a.Outcome {
	case call.OutcomeNotRun:
		f.Ending = ledger.EndedNotRun
	case call.Ran:
		f.Ending = ledger.EndedRan
		f.Answer = keepAnswer(a.Response)
	case call.OutcomeUnknown:
	}
	g.report(ctx, f, f.Ending == ledger.EndedNotRun)
}

func (g *Gateway) report(ctx context.Context, f ledger.Finish, wait bool) {
	send := func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, finishTimeout)
		defer cancel()
		g.cfg.Ledger.Finish(ctx, f)
		return nil
	}
	if wait {
		_ = send(context.WithoutCancel(ctx))
		return
	}
	g.g.Go("finish", send)
}

// keepAnswer copies an answer that is small enough to be kept, and leaves the
// response as it was.
func keepAnswer(res *http.Response) *ledger.Answer {
	if res.ContentLength < 0 || res.ContentLength > ledger.MaxAnswerBytes {
		return nil
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	res.Body = io.NopCloser(bytes.NewReader(body))
	if err != nil {
		return nil
	}
	header := res.Header.Clone()
	call.StripHopByHop(header)
	return &ledger.Answer{Status: res.StatusCode, Header: header, Body: body}
}

// askOptions lets questions use any open connection: they may be repeated.
var askOptions = relay.Options{Idempotent: true}

// maxQuestionBytes bounds a question between hosts, and its answer. A journal of
// all keys of a partition must fit.
const maxQuestionBytes = 64 << 20

// Ask sends a question to another host and returns its answer. An error tells by
// relay.MayHaveRun whether the question may have arrived.
func (g *Gateway) Ask(ctx context.Context, host, path string, question []byte) ([]byte, error) {
	address, ok := g.cfg.Snapshot().PeerAddress(host)
	if !ok {
		return nil, ledger.ErrUnsent
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+path, bytes.NewReader(question))
	if err != nil {
		return nil, err
	}
	res, err := g.peer(address).RoundTrip(ctx, req, askOptions)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	return io.ReadAll(io.LimitReader(res.Body, maxQuestionBytes))
}
