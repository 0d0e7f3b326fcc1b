package gateway

// This file defines the tries of a call: which cell, whether once more, and what
// the last answer means.

import (
	"context"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

// carry tries the call until it has its final answer.
func (g *Gateway) carry(ctx context.Context, s *controller.Snapshot, c *call.Call, info informer) *call.Answer {
	var avoid []route.CellID
	var last *call.Answer
	var tries call.Summary
	for attempt := range maxAttempts {
		id, ok := g.choose(s, c.Pool, avoid)
		if !ok {
			return call.NotRun("the service has no targets", notReadyRetry)
		}
		began := time.Now()
		id, next := g.race(ctx, s, id, c, info)
		if isGood(next) {
			g.usual.add(c.Service+"/"+c.Kind, time.Since(began))
		}
		if next.Died {
			g.crashes.died(c.Fingerprint, next.Target)
		}
		if !g.again(ctx, c, next, attempt) {
			g.budget.earn()
			return tries.Add(next)
		}
		discard(next)
		last = tries.Add(next)
		if next.Target != "" {
			c.Avoid = append(c.Avoid, next.Target)
		} else {
			avoid = append(avoid, id)
		}
		s = g.cfg.Snapshot()
	}
	return last
}

func discard(a *call.Answer) {
	if a.Response != nil {
		_ = a.Response.Body.Close()
	}
}

// again reports whether the call should be tried once more. A refusal before
// running may always be tried elsewhere; anything else only when the call may be
// repeated. Both need time and budget.
func (g *Gateway) again(ctx context.Context, c *call.Call, a *call.Answer, attempt int) bool {
	if attempt+1 >= maxAttempts || ctx.Err() != nil || time.Until(c.Deadline) < minTimeLeft {
		return false
	}
	if a.Died && g.crashes.refuses(c.Fingerprint) {
		return false
	}
	switch a.Outcome {
	case call.OutcomeNotRun:
		mayMove := a.Failed || attempt == 0
		return c.CanSend() && mayMove && g.budget.spend()
	case call.OutcomeUnknown:
		return c.Repeatable() && g.budget.spend()
	default:
		return a.Failed && c.Repeatable() && g.budget.spend()
	}
}

func (g *Gateway) choose(s *controller.Snapshot, pool string, avoid []route.CellID) (route.CellID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	id, ok := g.router.Choose(now, s.Cells(pool), avoid)
	if ok {
		g.router.Sent(now, id)
	}
	return id, ok
}

// try sends the call to the dispatcher of a cell, or dispatches it here.
func (g *Gateway) try(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call, info informer) *call.Answer {
	host := s.Dispatcher(id)
	var a *call.Answer
	if host == s.Self.Name {
		a = g.dispatchHere(ctx, s, id, c)
	} else {
		a = g.dispatchAt(ctx, s, id, host, c, info)
	}
	a.Domain = id.Domain
	g.learn(id, a)
	return a
}

func (g *Gateway) dispatchHere(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call) *call.Answer {
	a := g.serveCell(ctx, s, id, c)
	now := time.Now()
	a.Reports = append(a.Reports, route.Report{Cell: id, Load: g.cfg.Station.Load(now, id), At: now})
	return a
}

// serveCell dispatches the call in a cell of this host, or passes it on to a cell
// that has a free slot. A call is passed on once.
func (g *Gateway) serveCell(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call) *call.Answer {
	if other, ok := g.freeElsewhere(s, id, c); ok {
		return g.passOn(ctx, s, other, c)
	}
	a := g.cfg.Station.Do(ctx, id, c)
	if a.MoveTo == "" {
		return a
	}
	return g.passOn(ctx, s, route.CellID{Pool: id.Pool, Domain: a.MoveTo}, c)
}

func (g *Gateway) freeElsewhere(s *controller.Snapshot, id route.CellID, c *call.Call) (route.CellID, bool) {
	now := time.Now()
	if c.Forwarded || g.cfg.Station.Load(now, id).Free > 0 {
		return route.CellID{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.FreeElsewhere(now, s.Cells(id.Pool), id)
}

func (g *Gateway) passOn(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call) *call.Answer {
	c.Forwarded = true
	g.mu.Lock()
	g.router.Sent(time.Now(), id)
	g.mu.Unlock()
	return g.try(ctx, s, id, c, nil)
}

func (g *Gateway) learn(id route.CellID, a *call.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.Answered(id)
	for _, r := range a.Reports {
		g.router.Report(r.At, r.Cell, r.Load)
	}
}
