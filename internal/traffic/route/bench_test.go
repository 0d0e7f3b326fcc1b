package route_test

// This file defines the benchmark of the policies, which make bench runs.

import (
	"fmt"
	"testing"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatch"
)

type namedPolicy struct {
	name string
	make func(sim *simulation) policy
}

var policies = []namedPolicy{
	{"random", func(sim *simulation) policy { return newDirect(sim, pickRandom) }},
	{"round-robin", func(sim *simulation) policy { return newDirect(sim, pickRoundRobin) }},
	{"power-of-two", func(sim *simulation) policy { return newDirect(sim, pickPowerOfTwo) }},
	{"least-own", func(sim *simulation) policy { return newDirect(sim, pickLeastInFlight) }},
	{"probe-0.5", func(sim *simulation) policy { return newDirect(sim, pickProbed(0.5)) }},
	{"probe-3", func(sim *simulation) policy { return newDirect(sim, pickProbed(3)) }},
	{"cell", func(sim *simulation) policy { return newDispatched(sim, dispatcherOptions{cell: cellConfig(0)}) }},
	{"cell-ahead", func(sim *simulation) policy { return newDispatched(sim, dispatcherOptions{cell: cellConfig(1)}) }},
	{"cell-offers-50", func(sim *simulation) policy {
		return newDispatched(sim, dispatcherOptions{cell: cellConfig(1), overflow: true, offers: 50})
	}},
	{"cell-offers-100", func(sim *simulation) policy {
		return newDispatched(sim, dispatcherOptions{cell: cellConfig(1), overflow: true, offers: 100})
	}},
	{"ideal", func(sim *simulation) policy { return &idealQueue{sim: sim} }},
}

// cellConfig returns a configuration whose queue is practically unbounded, like those of
// the direct policies.
func cellConfig(overcommit int) dispatch.Config {
	cfg := dispatch.DefaultConfig()
	cfg.QueuePerSlot = 1 << 20
	cfg.Overcommit = overcommit
	return cfg
}

type scenario struct {
	name  string
	apply func(sim *simulation)
}

var scenarios = []scenario{
	{"steady", nil},
	{"straggler", func(sim *simulation) { sim.targets[0].setSlowdown(4) }},
	{"noisy", func(sim *simulation) { sim.noise(200*time.Millisecond, 4) }},
	{"noisy-20ms", func(sim *simulation) { sim.noise(20*time.Millisecond, 4) }},
	{"fast-failure", func(sim *simulation) {
		sim.after(2*time.Second, func() { sim.targets[0].fails = true })
		sim.after(4*time.Second, func() { sim.targets[0].fails = false })
	}},
}

// noise slows down one random target after the other, each for the given time. On
// average, one target is slow half of the time.
func (sim *simulation) noise(length time.Duration, factor float64) {
	var next func()
	next = func() {
		t := sim.targets[sim.rng.IntN(len(sim.targets))]
		t.setSlowdown(factor)
		sim.after(length, func() { t.setSlowdown(1) })
		sim.after(length+time.Duration(sim.rng.ExpFloat64()*float64(length)), next)
	}
	next()
}

var loads = []float64{0.5, 0.7, 0.85, 0.95}

const measuredCalls = 200_000

// BenchmarkPolicies reports the latency percentiles of each policy in milliseconds of
// virtual time, and the messages per call spent on load information. The seed is fixed,
// so that every run gives the same results.
func BenchmarkPolicies(b *testing.B) {
	for _, s := range []deployment{exchange, bitacora} {
		for _, sc := range scenarios {
			for _, load := range loads {
				for _, p := range policies {
					name := fmt.Sprintf("%s/%s/%.0f/%s", s.name, sc.name, load*100, p.name)
					b.Run(name, func(b *testing.B) {
						for range b.N {
							sim := newSimulation(s, 42)
							sim.run(p.make(sim), load, measuredCalls, sc.apply)
							reportMetrics(b, sim)
						}
					})
				}
			}
		}
	}
}

func reportMetrics(b *testing.B, sim *simulation) {
	ms := func(p float64) float64 { return float64(sim.percentile(p)) / float64(time.Millisecond) }
	b.ReportMetric(ms(0.5), "p50-ms")
	b.ReportMetric(ms(0.99), "p99-ms")
	b.ReportMetric(ms(0.999), "p999-ms")
	b.ReportMetric(float64(sim.messages)/measuredCalls, "messages/call")
	b.ReportMetric(float64(sim.failed), "failed")
	b.ReportMetric(float64(sim.rejected), "refused")
}
