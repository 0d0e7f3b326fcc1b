package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
)

// newFullGroup returns a chooser with as many targets as a full group has.
func newFullGroup() *Chooser {
	c := NewChooser(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	specs := make([]Spec, 0, 24)
	for n := range 24 {
		specs = append(specs, Spec{ID: fmt.Sprint(n), Service: "s", Domain: "d", Slots: 2})
	}
	c.SetTargets(map[string][]Spec{"s": specs})
	for n := range 24 {
		c.RecordLoad(at(0), fmt.Sprint(n), Load{Running: n % 3, Slots: 2, Slowness: 1 + float64(n%4)})
	}
	return c
}

// BenchmarkBest measures a choice among the targets of a full group.
func BenchmarkBest(b *testing.B) {
	c := newFullGroup()
	for b.Loop() {
		c.Best(at(20), "s", r)
	}
}

// BenchmarkBestOfLimited measures a choice among targets that all have rate limits.
func BenchmarkBestOfLimited(b *testing.B) {
	c := newFullGroup()
	for n := range 24 {
		c.Limits().Observe(at(0), fmt.Sprint(n), ratelimit.Observation{Report: ratelimit.Report{Kind: ratelimit.Named, PerSecond: 100}, SentAt: at(0), Source: ratelimit.Probe})
	}
	c.SetLimitShare(at(0), "s", 1)
	for b.Loop() {
		c.SetLimitShare(at(20), "s", 1)
		c.Best(at(20), "s", r)
		c.Flow(at(20), "s")
	}
}
