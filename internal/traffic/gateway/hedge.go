package gateway

// This file defines hedging: a second attempt of a repeatable call whose response is late.
// A host or a target may have stalled, or a connection may be broken without an error.

import (
	"context"
	"io"
	"sync"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

const (
	// hedgeFactor times the mean latency of the kind is the delay after which a call is
	// hedged.
	hedgeFactor = 4
	// minHedgeDelay is the shortest hedge delay.
	minHedgeDelay = 20 * time.Millisecond
	// defaultHedgeDelay is the hedge delay while the latency of a kind is unknown.
	defaultHedgeDelay = 500 * time.Millisecond
	// latencyGain is the weight of a new sample in the mean latency of a kind.
	latencyGain = 0.05
)

// meanLatencies holds an exponentially weighted moving average of the latency per kind.
type meanLatencies struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

func newMeanLatencies() *meanLatencies { return &meanLatencies{means: map[string]time.Duration{}} }

func (m *meanLatencies) add(kind string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mean, ok := m.means[kind]
	if !ok {
		m.means[kind] = d
		return
	}
	m.means[kind] = mean + time.Duration(latencyGain*float64(d-mean))
}

// hedgeDelay returns the time after which a call of the kind is hedged.
func (m *meanLatencies) hedgeDelay(kind string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	mean, ok := m.means[kind]
	if !ok {
		return defaultHedgeDelay
	}
	return max(minHedgeDelay, hedgeFactor*mean)
}

// attemptResult is the result of an attempt in a cell.
type attemptResult struct {
	id     route.CellID
	result *call.Result
}

// sendWithHedge sends the call to a cell and, if the result is late and the budget
// allows, also to another one. The first successful result wins; the other attempt is
// cancelled, which closes its connection. Only repeatable calls are hedged. Their 1xx
// responses are not forwarded, since both attempts could send them.
func (g *Gateway) sendWithHedge(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call, info informationalFunc) (route.CellID, *call.Result) {
	if !c.Repeatable() {
		return id, g.sendToCell(ctx, s, id, c, info)
	}
	results := make(chan attemptResult, 2)
	cancels := map[route.CellID]context.CancelFunc{id: g.startAttempt(ctx, s, id, c, results)}
	timer := time.NewTimer(g.latencies.hedgeDelay(c.Service + "/" + c.Kind))
	defer timer.Stop()
	pending := 1
	var summary call.Summary
	for {
		select {
		case r := <-results:
			pending--
			r.result = summary.Add(r.result)
			if pending == 0 || isSuccess(r.result) {
				g.finishHedge(r, cancels, results, pending)
				return r.id, r.result
			}
			discard(r.result)
		case <-timer.C:
			if other, ok := g.chooseHedgeCell(s, c.Pool, id); ok {
				cancels[other] = g.startAttempt(ctx, s, other, c, results)
				pending++
			}
		}
	}
}

func isSuccess(result *call.Result) bool { return result.Outcome == call.OutcomeRan && !result.Failed }

// startAttempt sends a copy of the call in a goroutine. Each attempt needs its own copy
// since sending changes the call.
func (g *Gateway) startAttempt(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call, results chan<- attemptResult) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	g.g.Go("try", func(context.Context) error {
		callCopy := *c
		results <- attemptResult{id: id, result: g.sendToCell(ctx, s, id, &callCopy, nil)}
		return nil
	})
	return cancel
}

// finishHedge cancels the other attempts and discards the results of the pending ones.
// The context of the winner is cancelled when its response body is closed.
func (g *Gateway) finishHedge(winner attemptResult, cancels map[route.CellID]context.CancelFunc, results <-chan attemptResult, pending int) {
	for id, cancel := range cancels {
		if id != winner.id {
			cancel()
		}
	}
	cancelWinner := cancels[winner.id]
	if winner.result.Response != nil {
		winner.result.Response.Body = &cancellingBody{ReadCloser: winner.result.Response.Body, cancel: cancelWinner}
	} else {
		cancelWinner()
	}
	if pending == 0 {
		return
	}
	g.g.Go("late attempt", func(context.Context) error {
		for range pending {
			discard((<-results).result)
		}
		return nil
	})
}

// chooseHedgeCell returns a cell other than first, and false if there is none or the retry
// budget is used up.
func (g *Gateway) chooseHedgeCell(s *controller.Snapshot, pool string, first route.CellID) (route.CellID, bool) {
	if len(s.Cells(pool)) < 2 || !g.budget.spend() {
		return route.CellID{}, false
	}
	return g.chooseCell(s, pool, []route.CellID{first})
}

// cancellingBody cancels the context of its attempt when it is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
