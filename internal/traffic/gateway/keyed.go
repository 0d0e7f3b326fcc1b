package gateway

// This file defines calls with an idempotency key: claiming the key, running the call and
// reporting its end.

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

// Ledger decides which attempt may run a request with an idempotency key.
type Ledger interface {
	Claim(ctx context.Context, c ledger.Claim) ledger.Reply
	Finish(ctx context.Context, f ledger.Finish)
}

const (
	// headerIdempotencyKey carries the idempotency key of a request.
	headerIdempotencyKey = "Idempotency-Key"
	// headerReplayed marks the response of an earlier attempt.
	headerReplayed = "Tamarack-Replayed"
	// finishTimeout limits the time to report the end of an attempt.
	finishTimeout = 3 * time.Second
	// claimPollInterval is the time between two claims while an earlier attempt runs.
	claimPollInterval = 50 * time.Millisecond
	// runningRetryAfter is the retry-after time while an earlier attempt runs.
	runningRetryAfter = time.Second
)

// execute runs a call. A keyed call needs a grant of the host that owns its key.
func (g *Gateway) execute(ctx context.Context, s *controller.Snapshot, c *call.Call, info informationalFunc) *call.Result {
	c.Fingerprint = fingerprint(c)
	if g.crashTracker.isPoison(c.Fingerprint) {
		return rejectedAsPoison()
	}
	if !c.Keyed {
		return g.runAttempts(ctx, s, c, info)
	}
	claim := ledger.Claim{
		Key: c.Key, TimeMilli: c.KeyTime.UnixMilli(), Attempt: uuid.NewString(),
		Fingerprint: c.Fingerprint, UntilMilli: c.Deadline.UnixMilli(),
	}
	reply := g.claim(ctx, claim)
	if reply.Verdict == ledger.Granted {
		result := g.runAttempts(ctx, s, c, info)
		g.finish(ctx, claim, result)
		return result
	}
	if reply.Verdict == ledger.Rejected {
		// The key may have been granted in a reply that was lost.
		g.sendFinish(ctx, ledger.Finish{Key: claim.Key, Attempt: claim.Attempt, Outcome: ledger.OutcomeNotRun}, false)
	}
	return resultOfReply(reply)
}

// claim claims the key. While an earlier attempt runs, it waits until that ends or ctx is
// done.
func (g *Gateway) claim(ctx context.Context, claim ledger.Claim) ledger.Reply {
	for {
		reply := g.cfg.Ledger.Claim(ctx, claim)
		if reply.Verdict != ledger.Running || ctx.Err() != nil {
			return reply
		}
		timer := time.NewTimer(claimPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return reply
		}
	}
}

// fingerprint returns a hash of the service, method, URI and buffered body of a request.
func fingerprint(c *call.Call) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.Service + "\x00" + c.Request.Method + "\x00" + c.Request.URL.RequestURI() + "\x00")
	if c.IsBuffered {
		_, _ = d.Write(c.Buffered)
	}
	return d.Sum64()
}

// resultOfReply returns the result of a call whose key was not granted.
func resultOfReply(r ledger.Reply) *call.Result {
	switch r.Verdict {
	case ledger.Finished:
		return replay(r.Response)
	case ledger.MayHaveRun:
		return call.Unknown(r.Reason, "")
	case ledger.Running:
		result := call.Unknown(r.Reason, "")
		result.RetryAfter = runningRetryAfter
		return result
	case ledger.KeyReused:
		result := call.NotRun(r.Reason, 0)
		result.Status = http.StatusUnprocessableEntity
		return result
	default:
		return call.NotRun(r.Reason, unavailableRetryAfter)
	}
}

// replay returns the stored response of the attempt that ran. If none was stored, it
// returns a 409 response: the request ran and will not run again.
func replay(stored *ledger.Response) *call.Result {
	res := &http.Response{StatusCode: http.StatusConflict, Header: http.Header{}, Body: http.NoBody}
	if stored != nil {
		res.StatusCode = stored.Status
		res.Header = http.Header(stored.Header).Clone()
		res.Body = io.NopCloser(bytes.NewReader(stored.Body))
		res.ContentLength = int64(len(stored.Body))
	}
	res.Header.Set(headerReplayed, "true")
	return &call.Result{Outcome: call.OutcomeRan, Response: res}
}

// finish reports the end of a granted attempt. If the request did not run, the report is
// sent before the client gets a response, so that a retry of the client finds the key
// unclaimed.
func (g *Gateway) finish(ctx context.Context, claim ledger.Claim, result *call.Result) {
	f := ledger.Finish{Key: claim.Key, Attempt: claim.Attempt, Outcome: ledger.OutcomeUnknown}
	switch result.Outcome {
	case call.OutcomeNotRun:
		f.Outcome = ledger.OutcomeNotRun
	case call.OutcomeRan:
		f.Outcome = ledger.OutcomeRan
		f.Response = storableResponse(result.Response)
	case call.OutcomeUnknown:
	}
	g.sendFinish(ctx, f, f.Outcome == ledger.OutcomeNotRun)
}

// sendFinish reports the end of an attempt to the ledger, in the background unless wait is
// set.
func (g *Gateway) sendFinish(ctx context.Context, f ledger.Finish, wait bool) {
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

// storableResponse returns a copy of a response that is small enough to be stored, or nil.
// The body of res can still be read afterwards.
func storableResponse(res *http.Response) *ledger.Response {
	if res.ContentLength < 0 || res.ContentLength > ledger.MaxResponseBytes {
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
	return &ledger.Response{Status: res.StatusCode, Header: header, Body: body}
}

// peerRequestOptions lets requests between hosts use any open connection, since they are
// idempotent.
var peerRequestOptions = relay.Options{Idempotent: true}

// maxPeerResponseBytes limits the response to a request between hosts. A journal of all
// keys of a partition must fit.
const maxPeerResponseBytes = 64 << 20

// PostToHost sends a request to another host and returns the response body. On an error,
// relay.MayHaveRun tells whether the request may have arrived.
func (g *Gateway) PostToHost(ctx context.Context, host, path string, body []byte) ([]byte, error) {
	address, ok := g.cfg.Snapshot().PeerAddress(host)
	if !ok {
		return nil, ledger.ErrNotSent
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	res, err := g.peer(address).RoundTrip(ctx, req, peerRequestOptions)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	return io.ReadAll(io.LimitReader(res.Body, maxPeerResponseBytes))
}
