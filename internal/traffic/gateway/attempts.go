package gateway

// This file defines the attempts of a call: the choice of a cell, retries and redirects.

import (
	"context"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

// runAttempts sends the call to cells until it succeeds or must not be retried, and
// returns the final result.
func (g *Gateway) runAttempts(ctx context.Context, s *controller.Snapshot, c *call.Call, info informationalFunc) *call.Result {
	var avoid []route.CellID
	var last *call.Result
	var summary call.Summary
	for attempt := range maxAttempts {
		id, ok := g.chooseCell(s, c.Pool, avoid)
		if !ok {
			return call.NotRun("the service has no targets", unavailableRetryAfter)
		}
		startTime := time.Now()
		id, result := g.sendWithHedge(ctx, s, id, c, info)
		if isSuccess(result) {
			g.latencies.add(c.Service+"/"+c.Kind, time.Since(startTime))
			g.crashTracker.recordSuccess(c.Fingerprint)
		}
		if result.TargetCrashed {
			g.crashTracker.recordCrash(c.Fingerprint, result.Target, startTime)
		}
		if !g.shouldRetry(ctx, c, result, attempt) {
			g.budget.earn()
			return summary.Add(result)
		}
		discard(result)
		last = summary.Add(result)
		if result.Target != "" {
			c.Avoid = append(c.Avoid, result.Target)
		} else {
			avoid = append(avoid, id)
		}
		s = g.cfg.Snapshot()
	}
	return last
}

func discard(result *call.Result) {
	if result.Response != nil {
		_ = result.Response.Body.Close()
	}
}

// shouldRetry reports whether the call should be attempted once more. A call that did not
// run may be retried elsewhere if its body is still unsent and it failed or this was the
// first attempt; anything else only if the call is repeatable. Both need time and budget.
func (g *Gateway) shouldRetry(ctx context.Context, c *call.Call, result *call.Result, attempt int) bool {
	if attempt+1 >= maxAttempts || ctx.Err() != nil || time.Until(c.Deadline) < minRetryTime {
		return false
	}
	if result.TargetCrashed && g.crashTracker.isPoison(c.Fingerprint) {
		return false
	}
	switch result.Outcome {
	case call.OutcomeNotRun:
		mayRetry := result.Failed || attempt == 0
		return c.CanSend() && mayRetry && g.budget.spend()
	case call.OutcomeUnknown:
		return c.Repeatable() && g.budget.spend()
	default:
		return result.Failed && c.Repeatable() && g.budget.spend()
	}
}

// chooseCell chooses a cell of the pool, outside avoid if possible. It returns false if the
// pool has no cells.
func (g *Gateway) chooseCell(s *controller.Snapshot, pool string, avoid []route.CellID) (route.CellID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	id, ok := g.router.Choose(now, s.Cells(pool), avoid)
	if ok {
		g.router.RecordSent(now, id)
	}
	return id, ok
}

// sendToCell sends the call to the host that dispatches the cell, which may be the local
// host.
func (g *Gateway) sendToCell(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call, info informationalFunc) *call.Result {
	host := s.Dispatcher(id)
	var result *call.Result
	if host == s.Self.Name {
		result = g.dispatchLocal(ctx, s, id, c)
	} else {
		result = g.dispatchRemote(ctx, s, id, host, c, info)
	}
	result.Domain = id.Domain
	g.recordResult(id, result)
	return result
}

// dispatchLocal serves the call on this host and adds the load of the cell to the result.
func (g *Gateway) dispatchLocal(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call) *call.Result {
	result := g.serveCell(ctx, s, id, c)
	now := time.Now()
	result.Reports = append(result.Reports, route.LoadReport{Cell: id, Load: g.cfg.Station.Load(now, id), At: now})
	return result
}

// serveCell dispatches the call in a cell of this host, or redirects it to another cell
// that has a free slot. A call is redirected at most once.
func (g *Gateway) serveCell(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call) *call.Result {
	if other, ok := g.cellWithFreeSlot(s, id, c); ok {
		return g.redirect(ctx, s, other, c)
	}
	result := g.cfg.Station.Do(ctx, id, c)
	if result.RedirectTo == "" {
		return result
	}
	return g.redirect(ctx, s, route.CellID{Pool: id.Pool, Domain: result.RedirectTo}, c)
}

// cellWithFreeSlot returns another cell of the pool that has a free slot, if the cell has
// none itself and the call was not redirected yet.
func (g *Gateway) cellWithFreeSlot(s *controller.Snapshot, id route.CellID, c *call.Call) (route.CellID, bool) {
	now := time.Now()
	if c.Redirected || g.cfg.Station.Load(now, id).Free > 0 {
		return route.CellID{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.FreeElsewhere(now, s.Cells(id.Pool), id)
}

func (g *Gateway) redirect(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call) *call.Result {
	c.Redirected = true
	g.mu.Lock()
	g.router.RecordSent(time.Now(), id)
	g.mu.Unlock()
	return g.sendToCell(ctx, s, id, c, nil)
}

// recordResult passes the end of an attempt and its load reports to the router.
func (g *Gateway) recordResult(id route.CellID, result *call.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.RecordDone(id)
	for _, r := range result.Reports {
		g.router.RecordLoad(r.At, r.Cell, r.Load)
	}
}
