package budget

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shedding is a load on a service all of whose targets reject a share of what they get, at random
// and at once.
type shedding struct {
	hosts     int
	perSecond float64
	// shed is the share that targets reject.
	shed float64
	// returns reports whether clients come back once after a refusal.
	returns bool
	// hedges is the share of the requests that a host would hedge.
	hedges float64
}

// needPolicy is who gets the budget.
type needPolicy struct {
	// ranked gives it to clients that came back first, then to others, then to hedges.
	ranked bool
	// wait is the time for which a request of a client that came back waits for the budget.
	wait time.Duration
}

func (p needPolicy) need(returned bool) Need {
	if returned || !p.ranked {
		return NeedFinal
	}
	return NeedRetry
}

// sheddingEvent is the arrival of a request, or the next look at the budget of one that waits for it.
type sheddingEvent struct {
	at       time.Duration
	returned bool
	// waits is set for a request that waits at a host until a time.
	waits bool
	host  int
	until time.Duration
}

// sheddingEvents is a heap by time.
type sheddingEvents []sheddingEvent

func (e sheddingEvents) Len() int           { return len(e) }
func (e sheddingEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e sheddingEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *sheddingEvents) Push(x any)        { *e = append(*e, x.(sheddingEvent)) }
func (e *sheddingEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// serve plays 10 s without and 8.5 s with rejections, and returns the share of the requests of the
// second part that are served in the end.
func (s shedding) serve(seed uint64, policy needPolicy) float64 {
	const (
		calm, length = 10 * time.Second, 18500 * time.Millisecond
		back         = 15 * time.Millisecond
		poll         = 10 * time.Millisecond
	)
	rng, start := rand.New(rand.NewPCG(seed, 3)), time.Unix(1000, 0)
	budgets := make([]*Retries, s.hosts)
	for i := range budgets {
		budgets[i] = NewRetries(0.2, 222, 10*time.Second)
	}
	share := Share{Hosts: s.hosts, SlackFrom: start}
	var events sheddingEvents
	for at := time.Duration(0); at < length; at += time.Duration(rng.ExpFloat64() / s.perSecond * float64(time.Second)) {
		events = append(events, sheddingEvent{at: at})
	}
	spend := func(now time.Time, host int, need Need) bool {
		ok := budgets[host].SpendFor(now, "s", share, need)
		if ok {
			budgets[host].End(now, "s")
		}
		return ok
	}
	requests, accepted := 0, 0
	for len(events) > 0 {
		e := heap.Pop(&events).(sheddingEvent)
		now, rejects := start.Add(e.at), e.at >= calm && rng.Float64() < s.shed
		if e.waits {
			if spend(now, e.host, NeedFinal) {
				if !rejects {
					accepted++
				}
			} else if e.at += poll; e.at < e.until {
				heap.Push(&events, e)
			}
			continue
		}
		host := rng.IntN(s.hosts)
		b, need := budgets[host], policy.need(e.returned)
		b.RecordRequest(now, "s")
		if rng.Float64() < s.hedges {
			hedge := NeedHedge
			if !policy.ranked {
				hedge = NeedFinal
			}
			spend(now, host, hedge)
		}
		if e.at >= calm && !e.returned {
			requests++
		}
		if rejects {
			b.Ask(now, "s", need)
			if spend(now, host, need) {
				rejects = rng.Float64() < s.shed
			} else if e.returned && policy.wait > 0 {
				heap.Push(&events, sheddingEvent{at: e.at + poll, returned: true, waits: true, host: host, until: e.at + policy.wait})
				continue
			}
		}
		switch {
		case e.at < calm:
		case !rejects:
			accepted++
		case !e.returned && s.returns:
			heap.Push(&events, sheddingEvent{at: e.at + back, returned: true})
		}
	}
	return float64(accepted) / float64(requests)
}

// mean returns the mean share over several seeds.
func (s shedding) mean(policy needPolicy) float64 {
	const seeds = 5
	sum := 0.0
	for seed := range uint64(seeds) {
		sum += s.serve(seed, policy)
	}
	return sum / seeds
}

// Guards against extra attempts for requests whose clients have another attempt anyway, while
// requests whose clients will not come back are lost for lack of budget. All targets of a service
// reject half of what they get for 8.5 s, so that the budget does not suffice for all.
func TestBudgetGoesToRequestsWhoseClientsDoNotComeBack(t *testing.T) {
	tests := []struct {
		name string
		load shedding
		// minGain is the minimum gain in served requests by rank, and minWaitGain that by
		// waiting, too, against the order of arrival.
		minGain, minWaitGain float64
	}{
		{name: "many small hosts, half rejected", load: shedding{hosts: 146, perSecond: 930, shed: 0.5, returns: true, hedges: 0.03}, minGain: 0.008, minWaitGain: 0.025},
		{name: "many small hosts, 0.55 rejected", load: shedding{hosts: 146, perSecond: 930, shed: 0.55, returns: true, hedges: 0.03}, minGain: 0.008, minWaitGain: 0.025},
		{name: "hosts with few requests each", load: shedding{hosts: 113, perSecond: 189, shed: 0.5, returns: true, hedges: 0.03}, minGain: 0, minWaitGain: 0.015},
		{name: "few hosts", load: shedding{hosts: 10, perSecond: 624, shed: 0.5, returns: true, hedges: 0.03}, minGain: 0.03, minWaitGain: 0.03},
		{name: "hosts with many requests each", load: shedding{hosts: 10, perSecond: 6240, shed: 0.5, returns: true, hedges: 0.03}, minGain: 0.03, minWaitGain: 0.03},
		{name: "the budget suffices", load: shedding{hosts: 113, perSecond: 624, shed: 0.1, returns: true}, minGain: -0.001, minWaitGain: -0.001},
		{name: "clients never come back", load: shedding{hosts: 113, perSecond: 624, shed: 0.5}, minGain: -0.001, minWaitGain: -0.001},
		{name: "clients never come back, hedges", load: shedding{hosts: 113, perSecond: 624, shed: 0.5, hedges: 0.2}, minGain: 0.02, minWaitGain: 0.02},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			byArrival := tt.load.mean(needPolicy{})
			ranked := tt.load.mean(needPolicy{ranked: true})
			waiting := tt.load.mean(needPolicy{ranked: true, wait: 1200 * time.Millisecond})
			t.Logf("served: %.3f by arrival, %.3f by rank, %.3f with requests that wait", byArrival, ranked, waiting)
			require.GreaterOrEqual(t, ranked, byArrival+tt.minGain)
			require.GreaterOrEqual(t, waiting, byArrival+tt.minWaitGain)
		})
	}
}

// Guards against a demand that has ended and still keeps the budget from those with a smaller need.
func TestDemandThatHasEndedIsForgotten(t *testing.T) {
	now, share := time.Unix(1000, 0), Share{Hosts: 1}
	r := NewRetries(0, 10, 10*time.Second)
	for range 20 {
		r.Ask(now, "s", NeedFinal)
	}
	require.False(t, r.SpendFor(now, "s", share, NeedRetry))
	require.False(t, r.SpendFor(now, "s", share, NeedHedge))
	require.True(t, r.SpendFor(now, "s", share, NeedFinal))
	now = now.Add(5 * reserveTime)
	require.True(t, r.SpendFor(now, "s", share, NeedRetry))
	require.True(t, r.SpendFor(now, "s", share, NeedHedge))
}
