package profile

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// randomRatio returns a random ratio of actual to expected time.
func randomRatio(rng *rand.Rand) float64 { return math.Exp(0.3 * rng.NormFloat64()) }

func TestContentionIsLearned(t *testing.T) {
	tests := []struct {
		name  string
		slots int
		// from is the concurrency from which requests take factor times longer.
		from   int
		factor float64
		// outliers is the share of requests that take eight times longer for unrelated
		// reasons.
		outliers float64
		want     int
	}{
		{name: "the second of two slots increases throughput", slots: 2, from: 2, factor: 1.7, want: 2},
		{name: "the second of two slots reduces throughput", slots: 2, from: 2, factor: 2.5, want: 1},
		{name: "no contention", slots: 4, from: 5, factor: 1, want: 4},
		{name: "strong contention from few requests on", slots: 8, from: 4, factor: 3, want: 3},
		{name: "some requests are slow for unrelated reasons", slots: 8, from: 4, factor: 3.5, outliers: 0.2, want: 3},
		{name: "a single slot", slots: 1, from: 2, factor: 1, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, rng := New(), rand.New(rand.NewPCG(1, 2))
			now := start
			for range 100 {
				for level := 1; level <= tt.slots; level++ {
					now = now.Add(time.Millisecond)
					took := randomRatio(rng)
					if level >= tt.from {
						took *= tt.factor
					}
					if rng.Float64() < tt.outliers {
						took *= 8
					}
					p.RecordRun(now, Run{Ratio: took, Concurrency: level, Slots: tt.slots})
				}
			}
			require.Equal(t, tt.want, p.BestConcurrency(tt.slots))
		})
	}
}

func TestInitialProfileIsModerate(t *testing.T) {
	for slots, want := range map[int]int{1: 1, 2: 2, 3: 2, 8: 6} {
		require.Equal(t, want, New().BestConcurrency(slots), "%d slots", slots)
	}
	require.Equal(t, 1, New().BestConcurrency(0), "unknown number of slots")
	p := New()
	for range minUnreported {
		p.RecordResponse(false)
	}
	require.False(t, p.ReportsLoad())
	require.Equal(t, 4, p.BestConcurrency(8), "more than half of the slots are used only after a trial")
	p.RecordResponse(true)
	require.True(t, p.ReportsLoad())
}

func TestConcurrencyIsTriedUntilItIsKnown(t *testing.T) {
	p := New()
	for range minRuns {
		require.True(t, p.NeedsTrial(start, 3, 3))
		p.RecordRun(start, Run{Ratio: 1, Concurrency: 3, Slots: 3})
	}
	require.False(t, p.NeedsTrial(start, 3, 3))
	require.True(t, p.NeedsTrial(start.Add(2*maxRunAge), 3, 3), "targets may have changed")
	require.False(t, p.NeedsTrial(start, 4, 3), "more requests than slots")
}

func TestColdTargets(t *testing.T) {
	p, rng := New(), rand.New(rand.NewPCG(1, 2))
	require.InDelta(t, initialColdSlowdown, p.ColdSlowdown(), 0.01)
	for range 200 {
		p.RecordRun(start, Run{Ratio: 5 * randomRatio(rng), Concurrency: 1, Slots: 2, Cold: true})
	}
	require.InDelta(t, 5, p.ColdSlowdown(), 1)
	require.InDelta(t, 1, p.Slowdown(1, 2), 0.01, "cold targets say nothing about contention")
}

// Targets change between fast and slow at random, and each reports every 20 ms.
func TestDecayTimeFollowsTheRateOfChange(t *testing.T) {
	tests := []struct {
		name        string
		change      time.Duration
		least, most time.Duration
	}{
		{name: "fast changes", change: 60 * time.Millisecond, least: 25 * time.Millisecond, most: 100 * time.Millisecond},
		{name: "slow changes", change: time.Second, least: 500 * time.Millisecond, most: 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, rng := New(), rand.New(rand.NewPCG(1, 2))
			const gap = 20 * time.Millisecond
			slow := make([]float64, 20)
			for n := range 40_000 {
				s := &slow[n%len(slow)]
				before := *s
				if n < len(slow) || rng.Float64() < float64(gap)/float64(tt.change) {
					*s = 1
					if rng.Float64() < 0.25 {
						*s = 5
					}
				}
				p.RecordSlowness(max(1, before), gap, *s)
			}
			require.GreaterOrEqual(t, p.DecayTime(), tt.least)
			require.LessOrEqual(t, p.DecayTime(), tt.most)
			require.InDelta(t, 2, p.MeanSlowness(), 0.6)
			require.InDelta(t, 5, p.Forecast(5, 0), 0.01, "a new report is taken as it is")
			require.InDelta(t, p.MeanSlowness(), p.Forecast(5, time.Minute), 0.01, "an old report says nothing")
		})
	}
}
