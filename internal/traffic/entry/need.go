package entry

// This file defines which requests get a retry budget that does not suffice for all, and when a
// refused client is asked to come back.
//
// If the targets of a service reject a large part of what they get whatever their load is, another
// attempt is as likely to be rejected as the first one. A client that is refused at once comes back
// and so has another attempt that costs no budget; one that came back already does not. So the
// budget goes to the requests that came back first, and those wait for it as long as they can
// still be served.

import (
	"context"
	"math/rand/v2"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/traffic/budget"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
)

const (
	// budgetPoll is the pause between two looks at the retry budget of a request that waits for it.
	// It grows with each further pollsTogether requests that wait, up to maxBudgetPoll, so that the
	// looks of all of them stay cheap.
	budgetPoll    = 10 * time.Millisecond
	pollsTogether = 16
	maxBudgetPoll = 100 * time.Millisecond
	// returnMargin is the time that a refused client needs to come back, beyond the Retry-After: a
	// new connection to another host over a slow link.
	returnMargin = 30 * time.Millisecond
	// maxKnownLoadAge is the age of a load report up to which it says why a target rejected a
	// request.
	maxKnownLoadAge = 100 * time.Millisecond
)

// retryNeed returns the need of the request for a retry. Its client will not come back if it did so
// already, or if too little time would be left.
func (req *clientRequest) retryNeed() budget.Need {
	if req.returned || req.returnsWithin() < shortRetryAfter {
		return budget.NeedFinal
	}
	return budget.NeedRetry
}

// returnsWithin returns the time within which a client that is refused now must come back to be
// served in time; zero or less if it cannot.
func (req *clientRequest) returnsWithin() time.Duration {
	req.h.mu.Lock()
	defer req.h.mu.Unlock()
	return time.Until(req.deadline) - returnMargin - req.h.typicalTime(req)
}

// usefulRetryAfter returns a Retry-After that lets the client come back in time; zero, which sends
// none, if it cannot.
func (req *clientRequest) usefulRetryAfter(retryAfter time.Duration) time.Duration {
	return max(0, min(retryAfter, req.returnsWithin()))
}

// assignRetry waits for the retry budget and then for a target. It returns the final response if the
// request gets none; last is the attempt that failed.
func (req *clientRequest) assignRetry(ctx context.Context, last attempt) (dispatcher.Grant, *finalResponse) {
	need := req.retryNeed()
	req.askRetry(need)
	for req.awaitBudget(ctx, need, last) {
		grant, rejection := req.assign(ctx)
		if rejection != nil {
			return grant, rejection
		}
		if req.spendRetry(Retry, need) {
			return grant, nil
		}
		// Another request took what was left meanwhile.
		req.h.cfg.Placer.Done(grant, dispatcher.Outcome{Result: placement.Cancelled})
	}
	if req.isDone(ctx) {
		return dispatcher.Grant{}, req.assignTimeoutResponse()
	}
	req.logRetry(Retry, need, false)
	resp := req.failureResponse(last, "retry budget is exhausted")
	return dispatcher.Grant{}, &resp
}

// awaitBudget waits until the retry budget has an attempt left, and reports whether it has. Only a
// request whose client will not come back and has no response of a target waits, as long as an
// attempt can still end in time.
func (req *clientRequest) awaitBudget(ctx context.Context, need budget.Need, last attempt) bool {
	waiting := req.h.awaitBudget.Add(1)
	defer req.h.awaitBudget.Add(-1)
	pause := min(maxBudgetPoll, budgetPoll*time.Duration(1+waiting/pollsTogether))
	for ctx.Err() == nil {
		if req.h.remainingRetries(req.service.Name, need) >= 1 {
			return true
		}
		req.h.mu.Lock()
		latest := req.endsAt().Add(-req.h.typicalTime(req))
		req.h.mu.Unlock()
		if need != budget.NeedFinal || last.outcome == targetError || time.Until(latest) < pause {
			return false
		}
		timer.Sleep(ctx, pause)
	}
	return false
}

// rejectedWithCapacity reports whether a target rejected the request although it had a free slot:
// by the load in the response, or else by the report that it was chosen for.
func rejectedWithCapacity(last attempt) bool {
	if last.info.LoadKnown {
		l := last.info.Load
		return l.Waiting == 0 && l.Running < l.Slots
	}
	g := last.grant
	return last.outcome == rejected && g.LoadKnown && g.Age <= maxKnownLoadAge && g.Load.Waiting == 0 && g.Concurrency > 0 && g.Concurrency <= g.Slots
}

// spread adds up to the same time to a Retry-After, so that clients that are refused together do not
// come back together.
func spread(retryAfter time.Duration) time.Duration {
	if retryAfter <= 0 {
		return 0
	}
	return retryAfter + rand.N(retryAfter)
}
