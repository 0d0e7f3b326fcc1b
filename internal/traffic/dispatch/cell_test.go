package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func targets(n, slots int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{Name: fmt.Sprint("t", i), Slots: slots}
	}
	return list
}

// TestEveryCallEndsOnce runs random sequences of admissions, completions, withdrawals
// and target changes. Each call must end exactly once, no slot may be free while a call is
// queued, and a draining target must get no calls (asserted in the cell).
func TestEveryCallEndsOnce(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2))
		now := start
		c := NewCell(DefaultConfig())
		specs := targets(4, 2)
		c.SetTargets(now, specs)
		c.SetShares(map[string]int{"exchange": 3, "bitacora": 1})
		running, waiting := map[*Call]bool{}, map[*Call]bool{}
		ended := map[*Call]int{}
		applyGrants := func(grants []Grant) {
			for _, g := range grants {
				require.True(t, waiting[g.Call])
				delete(waiting, g.Call)
				if g.Decision.Action == Run {
					running[g.Call] = true
				} else {
					ended[g.Call]++
				}
			}
		}
		anyCall := func(m map[*Call]bool) *Call {
			for call := range m {
				return call
			}
			return nil
		}
		for range 3000 {
			now = now.Add(time.Duration(rng.Int64N(int64(3 * time.Millisecond))))
			switch rng.IntN(10) {
			case 0, 1, 2, 3:
				call := &Call{Partner: []string{"exchange", "bitacora"}[rng.IntN(2)], Member: fmt.Sprint(rng.IntN(4)), Kind: "k", Weight: 1 + rng.IntN(3), MayWait: rng.IntN(5) == 0, Deadline: now.Add(200 * time.Millisecond)}
				switch d := c.Admit(now, call); d.Action {
				case Run:
					running[call] = true
				case Queue:
					waiting[call] = true
				default:
					require.Positive(t, d.RetryAfter)
					ended[call]++
				}
			case 4, 5, 6, 7:
				if call := anyCall(running); call != nil {
					delete(running, call)
					ended[call]++
					applyGrants(c.Done(now, call, Sample{Result: Result(rng.IntN(8) / 7 * rng.IntN(4)), Latency: 10 * time.Millisecond}))
				}
			case 8:
				if call := anyCall(waiting); call != nil && c.Withdraw(call) {
					delete(waiting, call)
					ended[call]++
				}
			default:
				specs[rng.IntN(len(specs))].Draining = rng.IntN(3) == 0
				c.SetTargets(now, specs)
			}
			applyGrants(c.DispatchQueued(now))
			if len(waiting) > 0 {
				require.Zero(t, c.Load(now).Free, "a slot is free while a call is queued")
			}
			require.Equal(t, len(waiting), c.Load(now).Waiting)
		}
		for call, n := range ended {
			require.Equal(t, 1, n, "%+v", call)
		}
	}
}

// servedWeight submits arrivals[i] calls of flow i per round, completes one call per round
// and returns the weight served per flow.
func servedWeight(cfg Config, flows []Call, arrivals []int, rounds int) []float64 {
	cfg.QueuePerSlot = 1000
	now := start
	c := NewCell(cfg)
	c.SetTargets(now, targets(1, 1))
	c.SetShares(map[string]int{"exchange": 3, "bitacora": 1})
	served := make([]float64, len(flows))
	owner := map[*Call]int{}
	var running *Call
	started := func(call *Call) {
		running = call
		served[owner[call]] += float64(call.Weight)
	}
	for range rounds {
		for i, flow := range flows {
			for range arrivals[i] {
				call := flow
				call.Kind, call.Deadline = "k", now.Add(time.Hour)
				owner[&call] = i
				if c.Admit(now, &call).Action == Run {
					started(&call)
				}
			}
		}
		now = now.Add(time.Millisecond)
		for _, g := range c.Done(now, running, Sample{Latency: time.Millisecond}) {
			if g.Decision.Action == Run {
				started(g.Call)
			}
		}
	}
	return served
}

// jain returns Jain's fairness index (Jain, Chiu and Hawe, 1984): 1 if all get the same,
// 1/n if one gets everything.
func jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum += v
		squares += v * v
	}
	return sum * sum / (float64(len(x)) * squares)
}

func TestGreedyMemberGetsNoMoreThanOthers(t *testing.T) {
	flows := make([]Call, 4)
	for i := range flows {
		flows[i] = Call{Partner: "exchange", Member: fmt.Sprint(i), Weight: 1}
	}
	arrivals := []int{20, 1, 1, 1}
	cfg := DefaultConfig()
	cfg.Overcommit = 0
	fair := jain(servedWeight(cfg, flows, arrivals, 400))
	cfg.Fair = false
	fifo := jain(servedWeight(cfg, flows, arrivals, 400))
	t.Logf("Jain's index: %.3f FIFO, %.3f fair", fifo, fair)
	require.Greater(t, fair, 0.99)
	require.Less(t, fifo, 0.5, "the FIFO queue must be unfair, or the test proves nothing")
}

func TestSurgeOfOnePartnerKeepsSharesOfOthers(t *testing.T) {
	flows := []Call{{Partner: "exchange", Member: "m", Weight: 2}, {Partner: "bitacora", Member: "m", Weight: 2}}
	cfg := DefaultConfig()
	cfg.Overcommit = 0
	served := servedWeight(cfg, flows, []int{1, 50}, 400)
	require.InDelta(t, 0.75, served[0]/(served[0]+served[1]), 0.02, "exchange holds three of four shares")
}

func TestDeferrableCallsYieldAndLateCallsAreRejected(t *testing.T) {
	now := start
	c := NewCell(DefaultConfig())
	c.SetTargets(now, targets(1, 1))
	first := &Call{Kind: "k", Deadline: now.Add(time.Hour)}
	c.Admit(now, first)
	export := &Call{Kind: "k", MayWait: true, Deadline: now.Add(time.Hour)}
	search := &Call{Kind: "k", Deadline: now.Add(time.Hour)}
	require.Equal(t, Queue, c.Admit(now, export).Action)
	require.Equal(t, Queue, c.Admit(now, search).Action)
	now = now.Add(100 * time.Millisecond)
	grants := c.Done(now, first, Sample{Latency: 100 * time.Millisecond})
	require.Len(t, grants, 1)
	require.Same(t, search, grants[0].Call, "a deferrable call must yield")
	late := c.Admit(now, &Call{Kind: "k", Deadline: now.Add(50 * time.Millisecond)})
	require.Equal(t, Reject, late.Action, "a call that cannot meet its deadline must be rejected at once")
	require.Equal(t, ReasonDeadline, late.Reason)
	require.Positive(t, late.RetryAfter)
}

func TestFastFailingTargetIsEjected(t *testing.T) {
	now := start
	c := NewCell(DefaultConfig())
	c.SetTargets(now, targets(2, 2))
	failures := 0
	for range 200 {
		now = now.Add(time.Millisecond)
		call := &Call{Kind: "k", Deadline: now.Add(time.Second)}
		if c.Admit(now, call).Action != Run {
			continue
		}
		if call.Target() == "t0" {
			failures++
			c.Done(now, call, Sample{Result: Failed, Latency: time.Millisecond})
			continue
		}
		c.Done(now, call, Sample{Result: OK, Latency: 20 * time.Millisecond})
	}
	require.LessOrEqual(t, failures, 5)
}

func TestOffersStayWithinBudget(t *testing.T) {
	now := start
	c := NewCell(DefaultConfig())
	c.SetTargets(now, targets(1, 1))
	offers := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		call := &Call{Kind: "k", Deadline: now.Add(time.Second)}
		c.Admit(now, call)
		c.Done(now, call, Sample{Latency: time.Millisecond})
		c.EarnOffers(50)
		for c.AllowOffer(now) {
			offers++
		}
	}
	require.Equal(t, 50, offers)
}
