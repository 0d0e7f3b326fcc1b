package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkBest measures a choice among as many targets as a full group has.
func BenchmarkBest(b *testing.B) {
	c := NewChooser(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	specs := make([]Spec, 0, 24)
	for n := range 24 {
		specs = append(specs, Spec{ID: fmt.Sprint(n), Service: "s", Domain: "d", Slots: 2})
	}
	c.SetTargets(map[string][]Spec{"s": specs})
	for n := range 24 {
		c.RecordLoad(at(0), fmt.Sprint(n), Load{Running: n % 3, Slots: 2, Slowness: 1 + float64(n%4)})
	}
	for b.Loop() {
		c.Best(at(20), "s", r)
	}
}
