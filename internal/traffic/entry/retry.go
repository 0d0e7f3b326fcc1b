package entry

// This file defines the attempts of a request: target assignment, retries, hedging and the
// final response.

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
	"tamaracktiller.example/tamaracktiller/internal/traffic/budget"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
)

const (
	// maxRetries bounds the retries of a request. The route's MaxAttempts does not count
	// attempts that reached no target.
	maxRetries = 6
	// shortRetryAfter is the Retry-After of a request rejected by a target that had capacity.
	shortRetryAfter = 10 * time.Millisecond
	// minTimeLeft is the time left below which a request is not retried.
	minTimeLeft = 5 * time.Millisecond
)

// run charges the request to its account and sends it. A request that has not run is not charged.
func (req *clientRequest) run(ctx context.Context) finalResponse {
	refund, rejection := req.charge(ctx)
	if rejection != nil {
		return *rejection
	}
	resp := req.sendUntilFinal(ctx)
	if !req.mayHaveRun {
		refund()
	}
	return resp
}

// sendUntilFinal sends the request, with retries, until its final response is known.
func (req *clientRequest) sendUntilFinal(ctx context.Context) finalResponse {
	req.h.countRequest(req.service.Name)
	var last attempt
	for retries := 0; ; retries++ {
		if req.h.cfg.CrashTracker.isBlocked(req) {
			return req.finalize(*reject(http.StatusServiceUnavailable, "targets that ran such a request crashed", 0))
		}
		first := req.attempts == 0
		grant, rejection := req.assignNext(ctx, last)
		if rejection != nil {
			return req.finalize(*rejection)
		}
		last = req.race(ctx, grant, !first)
		req.logAttempt(last)
		if last.outcome == succeeded {
			return finalResponse{outcome: Served, attempt: last, status: last.status}
		}
		req.avoid = append(req.avoid, last.grant.ID)
		if req.isDone(ctx) {
			last.discard()
			return req.finalize(req.timeoutResponse())
		}
		if !req.mayRetry(last, retries) {
			return req.finalize(req.failureResponse(last, ""))
		}
		last.discard()
		if last.outcome == notSent || last.outcome == outcomeUnknown {
			// If this host has lost its links, the next attempt goes through another host.
			req.h.cfg.Links.AwaitCheck(ctx)
		}
	}
}

// assignNext waits until a target is assigned for the first attempt, or for one after last.
func (req *clientRequest) assignNext(ctx context.Context, last attempt) (dispatcher.Grant, *finalResponse) {
	if req.attempts == 0 {
		return req.assign(ctx)
	}
	return req.assignRetry(ctx, last)
}

// mayRetry reports whether the request may be sent to another target. If no memory was left for the
// response, another attempt would find none either.
func (req *clientRequest) mayRetry(last attempt, retries int) bool {
	if req.mustPlaceAgain(last) {
		return true
	}
	if req.streamed || last.refusal() != nil || errors.Is(last.cause, resource.ErrShort) || retries >= maxRetries || time.Until(req.endsAt()) < minTimeLeft {
		return false
	}
	if last.outcome == notSent {
		return true
	}
	if req.attempts >= req.route.MaxAttempts {
		return false
	}
	return last.outcome == rejected || req.route.Idempotent
}

// failureResponse returns the final response after a failed attempt that is not retried.
func (req *clientRequest) failureResponse(last attempt, detail string) finalResponse {
	if refusal := last.refusal(); refusal != nil {
		return *refusal
	}
	reason := last.outcome.String()
	if detail != "" {
		reason += ", " + detail
	}
	if last.cause != nil {
		reason += ": " + last.cause.Error()
	}
	switch last.outcome {
	case targetError:
		return finalResponse{outcome: TargetFailed, attempt: last, status: last.status, reason: reason}
	case rejected, notSent:
		last.discard()
		return *reject(http.StatusServiceUnavailable, reason, req.usefulRetryAfter(spread(req.retryAfter(last))))
	default:
		last.discard()
		return finalResponse{outcome: Unknown, status: http.StatusBadGateway, reason: reason}
	}
}

// isDone reports whether the deadline of the request has passed or its client has
// disconnected. An I/O deadline of a connection may fire before the context is done.
func (req *clientRequest) isDone(ctx context.Context) bool {
	return ctx.Err() != nil || time.Until(req.endsAt()) <= 0
}

func (req *clientRequest) timeoutResponse() finalResponse {
	if req.incoming.Context().Err() != nil {
		return finalResponse{outcome: ClientDisconnected, status: statusClientClosed, reason: "client left"}
	}
	reason := "no answer in time"
	if at, ok := req.h.shutdown.shortens(req.deadline); ok && !time.Now().Before(at) {
		reason = reasonShutdown
	}
	return finalResponse{outcome: Unknown, status: http.StatusGatewayTimeout, reason: reason}
}

// finalize replaces a rejection by an unknown outcome if an earlier attempt may have run.
func (req *clientRequest) finalize(resp finalResponse) finalResponse {
	if (resp.outcome == Refused || resp.outcome == Denied) && req.mayHaveRun {
		resp.outcome, resp.status = Unknown, http.StatusBadGateway
	}
	return resp
}

// assign waits until a target is assigned.
func (req *clientRequest) assign(ctx context.Context) (dispatcher.Grant, *finalResponse) {
	grant, err := req.place(ctx)
	if err == nil {
		return grant, nil
	}
	var rejection *dispatcher.RejectedError
	if errors.As(err, &rejection) {
		if _, ok := req.latestStart(); ok && !rejection.Limited {
			return grant, req.rejectForShutdown(rejection.Reason)
		}
		resp := reject(http.StatusServiceUnavailable, rejection.Reason, rejection.RetryAfter)
		resp.rateLimited = rejection.Limited
		return grant, resp
	}
	return grant, req.assignTimeoutResponse()
}

func (req *clientRequest) assignmentRequest(avoid []string, hedged bool) dispatcher.Request {
	latest, limited := req.latestStart()
	req.h.mu.Lock()
	defer req.h.mu.Unlock()
	typical, deadline := req.h.typicalTime(req), req.endsAt()
	if limited && !hedged {
		deadline = latest.Add(typical)
	}
	return dispatcher.Request{
		ID: req.id, Service: req.service.Name, Domain: req.h.cfg.Domain, Priority: req.priority(), Account: req.accountName(), Weight: req.accountWeight(),
		Objective: req.objective, Deadline: deadline, TypicalTime: typical, Avoid: avoid, Hedge: hedged,
	}
}

// assignTimeoutResponse returns the response to a request whose deadline passed before a
// target was assigned.
func (req *clientRequest) assignTimeoutResponse() *finalResponse {
	resp := req.timeoutResponse()
	if resp.outcome != Unknown || req.mayHaveRun {
		return &resp
	}
	if _, ok := req.latestStart(); ok {
		resp = *req.rejectForShutdown("no target had room in time")
	} else {
		resp = *reject(http.StatusServiceUnavailable, "no target had room in time", 0)
	}
	return &resp
}

// retryAfter returns the Retry-After of a rejected request, which is short if the target
// had capacity.
func (req *clientRequest) retryAfter(last attempt) time.Duration {
	if rejectedWithCapacity(last) {
		return shortRetryAfter
	}
	req.h.mu.Lock()
	defer req.h.mu.Unlock()
	return req.h.typicalTime(req) / 2
}

// race sends the request and hedges it when the first attempt has become too slow. The
// first successful attempt wins. extra is set if the first attempt is a retry.
func (req *clientRequest) race(ctx context.Context, grant dispatcher.Grant, extra bool) attempt {
	req.target = grant.ID
	if !req.route.Idempotent || req.streamed {
		out := req.send(ctx, grant, extra)
		req.countAttempt(out)
		return out
	}
	r := &race{req: req, results: make(chan attempt, maxRacing), cancels: map[string]context.CancelFunc{}}
	r.start(ctx, grant, extra)
	hedger := req.newHedger(grant)
	defer hedger.stop()
	var worst attempt
	for r.running > 0 {
		select {
		case out := <-r.results:
			r.running--
			req.countAttempt(out)
			if out.outcome == succeeded || r.running == 0 && worst.grant.ID == "" {
				r.end(out)
				return out
			}
			req.avoid = append(req.avoid, out.grant.ID)
			if worst.grant.ID == "" || out.outcome == targetError {
				worst, out = out, worst
			}
			out.discard()
		case <-hedger.C():
			if hedge, ok := hedger.tryHedge(ctx); ok {
				r.start(ctx, hedge, true)
			}
		}
	}
	r.end(worst)
	return worst
}

// countAttempt records what the end of an attempt implies for the request.
func (req *clientRequest) countAttempt(out attempt) {
	switch out.outcome {
	case notSent:
	case rejected:
		req.attempts++
	default:
		req.attempts++
		req.mayHaveRun = true
	}
}

func (h *Handler) countRequest(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retries.RecordRequest(time.Now(), service)
}

// share returns this process's part of the slack of the retry budget. The founders of a fleet
// have no predecessors that may have spent it, and wait only until the size of the fleet is
// known.
func (h *Handler) share() budget.Share {
	s := h.cfg.Snapshot()
	from := h.started
	if !h.cfg.FirstStart || !s.Founder {
		from = from.Add(h.cfg.Bounds.RetryWindow)
	}
	return budget.Share{Hosts: s.MaxHosts, SlackFrom: from}
}

// askRetry records that the request needs an extra attempt.
func (req *clientRequest) askRetry(need budget.Need) {
	req.h.mu.Lock()
	defer req.h.mu.Unlock()
	req.h.retries.Ask(time.Now(), req.service.Name, need)
}

// spendRetry takes an extra attempt from the retry budget, and reports whether there was one
// left.
func (req *clientRequest) spendRetry(kind ExtraAttempt, need budget.Need) bool {
	h, share := req.h, req.h.share()
	h.mu.Lock()
	ok := h.retries.SpendFor(time.Now(), req.service.Name, share, need)
	h.mu.Unlock()
	if ok {
		req.logRetry(kind, need, true)
	}
	return ok
}

// logRetry reports whether the retry budget permitted an extra attempt.
func (req *clientRequest) logRetry(kind ExtraAttempt, need budget.Need, ok bool) {
	h, service, share := req.h, req.service.Name, req.h.share()
	now := time.Now()
	h.mu.Lock()
	usage := h.retries.Usage(now, service, share)
	h.mu.Unlock()
	if h.cfg.Observer != nil {
		h.cfg.Observer.ExtraAttempt(service, kind, ok)
	}
	text := "extra attempt is within the retry budget"
	if !ok {
		text = "extra attempt exceeds the retry budget"
	}
	h.cfg.Log.WithFields(logrus.Fields{
		fieldRequest: req.id, "service": service, "kind": kind, "last-chance": need == budget.NeedFinal, "requests": usage.Requests, "spent": usage.Spent, "allowed": usage.Allowed,
		"hosts": share.Hosts, "uptime-ms": now.Sub(h.started).Milliseconds(), "slack-in-ms": max(0, share.SlackFrom.Sub(now)).Milliseconds(),
	}).Info(text)
}

// endExtraAttempt records the end of an extra attempt that spendRetry permitted.
func (req *clientRequest) endExtraAttempt() {
	req.h.mu.Lock()
	defer req.h.mu.Unlock()
	req.h.retries.End(time.Now(), req.service.Name)
}

// remainingRetries returns the number of extra attempts of a need that are left in the retry budget.
func (h *Handler) remainingRetries(service string, need budget.Need) float64 {
	share := h.share()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.retries.RemainingFor(time.Now(), service, share, need)
}
