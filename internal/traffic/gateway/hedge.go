package gateway

// This file defines hedging: a second try of a repeatable call whose answer is
// late, because a dispatcher or a target may be frozen, or a connection may have
// gone silent without an error.

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
	// hedgeFactor is the lateness, in usual times of the kind, from which a call
	// is tried a second time.
	hedgeFactor = 4
	// minHedgeDelay bounds the delay from below.
	minHedgeDelay = 20 * time.Millisecond
	// firstHedgeDelay holds until the usual time of a kind is known.
	firstHedgeDelay = 500 * time.Millisecond
	// usualGain is the weight of a new latency in the usual time of a kind.
	usualGain = 0.05
)

// usualTimes holds the moving mean of the latency per kind.
type usualTimes struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

func newUsualTimes() *usualTimes { return &usualTimes{means: map[string]time.Duration{}} }

func (u *usualTimes) add(kind string, d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	mean, ok := u.means[kind]
	if !ok {
		u.means[kind] = d
		return
	}
	u.means[kind] = mean + time.Duration(usualGain*float64(d-mean))
}

// delay returns the time after which a call of the kind counts as late.
func (u *usualTimes) delay(kind string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	mean, ok := u.means[kind]
	if !ok {
		return firstHedgeDelay
	}
	return max(minHedgeDelay, hedgeFactor*mean)
}

// tried is the result of one try.
type tried struct {
	id     route.CellID
	answer *call.Answer
}

// race tries the call in a cell and, when the answer is late and the budget
// allows, in another one. The first good answer wins; the other try is cancelled,
// which closes its connection. Only repeatable calls are raced, and their 1xx
// answers are not passed on, since two tries could send them.
func (g *Gateway) race(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call, info informer) (route.CellID, *call.Answer) {
	if !c.Repeatable() {
		return id, g.try(ctx, s, id, c, info)
	}
	results := make(chan tried, 2)
	cancels := map[route.CellID]context.CancelFunc{id: g.start(ctx, s, id, c, results)}
	timer := time.NewTimer(g.usual.delay(c.Service + "/" + c.Kind))
	defer timer.Stop()
	open := 1
	var tries call.Summary
	for {
		select {
		case r := <-results:
			open--
			r.answer = tries.Add(r.answer)
			if open == 0 || isGood(r.answer) {
				g.settle(r, cancels, results, open)
				return r.id, r.answer
			}
			discard(r.answer)
		case <-timer.C:
			if other, ok := g.chooseOther(s, c.Pool, id); ok {
				cancels[other] = g.start(ctx, s, other, c, results)
				open++
			}
		}
	}
}

func isGood(a *call.Answer) bool { return a.Outcome == call.Ran && !a.Failed }

// start tries the call in a goroutine. A copy keeps both tries from sharing what
// a try changes.
func (g *Gateway) start(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call, results chan<- tried) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	g.g.Go("try", func(context.Context) error {
		own := *c
		results <- tried{id: id, answer: g.try(ctx, s, id, &own, nil)}
		return nil
	})
	return cancel
}

// settle cancels the try that lost and lets go of its answer when it comes. The
// winner's context must live as long as its body.
func (g *Gateway) settle(won tried, cancels map[route.CellID]context.CancelFunc, results <-chan tried, open int) {
	for id, cancel := range cancels {
		if id != won.id {
			cancel()
		}
	}
	own := cancels[won.id]
	if won.answer.Response != nil {
		won.answer.Response.Body = &cancellingBody{ReadCloser: won.answer.Response.Body, cancel: own}
	} else {
		own()
	}
	if open == 0 {
		return
	}
	g.g.Go("late try", func(context.Context) error {
		for range open {
			discard((<-results).answer)
		}
		return nil
	})
}

// chooseOther returns a cell other than the first one. It reports false
// when there is none, or no budget.
func (g *Gateway) chooseOther(s *controller.Snapshot, pool string, first route.CellID) (route.CellID, bool) {
	if len(s.Cells(pool)) < 2 || !g.budget.spend() {
		return route.CellID{}, false
	}
	return g.choose(s, pool, []route.CellID{first})
}

// cancellingBody ends the context of its try when it is closed.
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
