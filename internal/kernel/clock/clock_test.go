package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/kernel/clock"
)

// Guards against a clock with another unit, or one that stands still.
func TestSinceBootAdvancesWithTime(t *testing.T) {
	before, start := clock.SinceBoot(), time.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := clock.SinceBoot() - before
	require.GreaterOrEqual(t, elapsed, 20*time.Millisecond)
	require.LessOrEqual(t, elapsed, time.Since(start)+time.Second, "a suspension of the machine during the test would show here")
}

func BenchmarkSinceBoot(b *testing.B) {
	for b.Loop() {
		clock.SinceBoot()
	}
}
