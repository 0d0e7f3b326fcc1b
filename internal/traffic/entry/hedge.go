package entry

// This file defines hedger, which hedges an attempt that takes too long.

import (
	"context"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/budget"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
)

// hedger schedules the hedge checks of the first attempt of a request.
type hedger struct {
	req    *clientRequest
	grant  dispatcher.Grant
	timer  *time.Timer
	hedged bool
}

func (req *clientRequest) newHedger(g dispatcher.Grant) *hedger {
	return &hedger{req: req, grant: g, timer: time.NewTimer(g.FirstHedgeCheck(time.Until(req.objective)))}
}

// C returns the channel that fires when a hedge check is due.
func (hg *hedger) C() <-chan time.Time { return hg.timer.C }

func (hg *hedger) stop() { hg.timer.Stop() }

// tryHedge gets a target assigned for a hedged attempt, of which there is at most one.
func (hg *hedger) tryHedge(ctx context.Context) (dispatcher.Grant, bool) {
	req, h := hg.req, hg.req.h
	if hg.hedged || req.attempts+1 >= req.route.MaxAttempts || h.remainingRetries(req.service.Name, budget.NeedHedge) < 1 {
		return dispatcher.Grant{}, false
	}
	hg.timer.Reset(hg.grant.HedgeCheckInterval())
	avoid := append(append([]string{}, req.avoid...), hg.grant.ID)
	ctx, cancel := context.WithTimeout(ctx, hedgeTimeout)
	defer cancel()
	grant, err := h.cfg.Placer.Place(ctx, req.assignmentRequest(avoid, true))
	if err != nil {
		return grant, false
	}
	if grant.ID == hg.grant.ID || !req.spendRetry(Hedge, budget.NeedHedge) {
		if grant.ID != hg.grant.ID {
			req.logRetry(Hedge, budget.NeedHedge, false)
		}
		h.cfg.Placer.Done(grant, dispatcher.Outcome{Result: placement.Cancelled})
		return grant, false
	}
	hg.hedged = true
	return grant, true
}

// hedgeTimeout bounds the wait for the assignment of a hedged attempt. The first attempt
// may still succeed in the meantime.
const hedgeTimeout = 40 * time.Millisecond
