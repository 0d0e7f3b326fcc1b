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
