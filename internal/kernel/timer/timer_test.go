package timer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTickCallsPauseCallbacksBeforePeriodicOnes(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name  string
		ticks []time.Duration
		want  []string
	}{
		{name: "regular", ticks: []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond}, want: []string{"beat", "beat"}},
		{name: "paused", ticks: []time.Duration{0, 5 * time.Second}, want: []string{"pause", "beat"}},
		{name: "early", ticks: []time.Duration{0, 50 * time.Millisecond}, want: nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			s := New()
			s.Every("beat", 100*time.Millisecond, func(time.Time) { got = append(got, "beat") })
			s.OnPause(func(Pause) { got = append(got, "pause") })
			for _, d := range tt.ticks {
				s.Tick(start.Add(d))
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// Guards against a process that wakes more often than its callbacks are due.
func TestServiceWakesOnlyForDueCallbacks(t *testing.T) {
	tests := []struct {
		name    string
		periods []time.Duration
		onPause bool
		// want is the number of ticks in ten seconds.
		want int
	}{
		{name: "one callback", periods: []time.Duration{100 * time.Millisecond}, want: 101},
		{name: "multiples share ticks", periods: []time.Duration{time.Second, 250 * time.Millisecond, 500 * time.Millisecond}, want: 41},
		{name: "pauses are to be detected", periods: []time.Duration{time.Second}, onPause: true, want: 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New()
			calls := 0
			for _, period := range tt.periods {
				s.Every("callback", period, func(time.Time) { calls++ })
			}
			if tt.onPause {
				s.OnPause(func(Pause) {})
			}
			start, ticks := time.Unix(1000, 0), 0
			for now := start; now.Sub(start) < 10*time.Second; now = now.Add(s.untilTick(now)) {
				s.Tick(now)
				ticks++
			}
			require.InDelta(t, tt.want, ticks, 1)
			want := 0
			for _, period := range tt.periods {
				want += int(10 * time.Second / period)
			}
			require.InDelta(t, want, calls, float64(len(tt.periods)))
		})
	}
}
