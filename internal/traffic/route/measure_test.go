package route_test

// This file defines the measurement of the policies, run by make bench.

import (
	"fmt"
	"testing"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatch"
)

type namedPolicy struct {
	name string
	make func(l *loop) policy
}

var policies = []namedPolicy{
	{"random", func(l *loop) policy { return newDirect(l, pickRandom) }},
	{"round-robin", func(l *loop) policy { return newDirect(l, pickRoundRobin) }},
	{"power-of-two", func(l *loop) policy { return newDirect(l, pickPowerOfTwo) }},
	{"least-own", func(l *loop) policy { return newDirect(l, pickLeastOwn) }},
	{"probe-0.5", func(l *loop) policy { return newDirect(l, pickProbed(0.5)) }},
	{"probe-3", func(l *loop) policy { return newDirect(l, pickProbed(3)) }},
	{"cell", func(l *loop) policy { return newDispatched(l, dispatchOptions{cell: cellConfig(0)}) }},
	{"cell-ahead", func(l *loop) policy { return newDispatched(l, dispatchOptions{cell: cellConfig(1)}) }},
	{"cell-offers-50", func(l *loop) policy {
		return newDispatched(l, dispatchOptions{cell: cellConfig(1), overflow: true, offers: 50})
	}},
	{"cell-offers-100", func(l *loop) policy {
		return newDispatched(l, dispatchOptions{cell: cellConfig(1), overflow: true, offers: 100})
	}},
	{"ideal", func(l *loop) policy { return &ideal{l: l} }},
}

// cellConfig has no bound on the queue, as the direct policies have none.
func cellConfig(ahead int) dispatch.Config {
	cfg := dispatch.DefaultConfig()
	cfg.QueuePerSlot = 1 << 20
	cfg.Ahead = ahead
	return cfg
}

type scenario struct {
	name string
	set  func(l *loop)
}

var scenarios = []scenario{
	{"steady", nil},
	{"straggler", func(l *loop) { l.targets[0].setSlow(4) }},
	{"noisy", func(l *loop) { l.noise(200*time.Millisecond, 4) }},
	{"noisy-20ms", func(l *loop) { l.noise(20*time.Millisecond, 4) }},
	{"fast-failure", func(l *loop) {
		l.after(2*time.Second, func() { l.targets[0].fails = true })
		l.after(4*time.Second, func() { l.targets[0].fails = false })
	}},
}

// noise slows one target after the other for the given time, one tenth of the
// time each.
func (l *loop) noise(length time.Duration, factor float64) {
	var next func()
	next = func() {
		t := l.targets[l.rng.IntN(len(l.targets))]
		t.setSlow(factor)
		l.after(length, func() { t.setSlow(1) })
		l.after(length+time.Duration(l.rng.ExpFloat64()*float64(length)), next)
	}
	next()
}

var loads = []float64{0.5, 0.7, 0.85, 0.95}

const measuredCalls = 200_000

// BenchmarkPolicies reports the percentiles of each policy, in ms of virtual
// time, and the messages spent on measuring. Seeded: every run gives the same.
func BenchmarkPolicies(b *testing.B) {
	for _, s := range []size{exchange, bitacora} {
		for _, sc := range scenarios {
			for _, load := range loads {
				for _, p := range policies {
					name := fmt.Sprintf("%s/%s/%.0f/%s", s.name, sc.name, load*100, p.name)
					b.Run(name, func(b *testing.B) {
						for range b.N {
							l := newLoop(s, 42)
							l.run(p.make(l), load, measuredCalls, sc.set)
							report(b, l)
						}
					})
				}
			}
		}
	}
}

func report(b *testing.B, l *loop) {
	ms := func(p float64) float64 { return float64(l.percentile(p)) / float64(time.Millisecond) }
	b.ReportMetric(ms(0.5), "p50-ms")
	b.ReportMetric(ms(0.99), "p99-ms")
	b.ReportMetric(ms(0.999), "p999-ms")
	b.ReportMetric(float64(l.messages)/measuredCalls, "messages/call")
	b.ReportMetric(float64(l.failed), "failed")
	b.ReportMetric(float64(l.refused), "refused")
}
