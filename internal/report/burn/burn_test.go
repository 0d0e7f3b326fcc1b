package burn

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBurnPerWindowAndMerge(t *testing.T) {
	now := time.Unix(1_000_000*60, 0)
	objective := func(service string) (Objective, bool) {
		return Objective{Latency: time.Second, GoodPerThousand: 990}, service == "booking"
	}
	add := func(m *Meter, ago time.Duration, weight, n int, good bool) {
		for range n {
			s := Sample{Service: "booking", Partner: "exchange", Weight: weight, Good: good}
			if !good {
				s.Fault, s.Target, s.Domain = Slow, "target-1", "domain-1"
			}
			m.Add(now.Add(-ago), s)
		}
	}
	one, two := NewMeter(), NewMeter()
	add(one, 0, 1, 97, true)
	add(one, 0, 3, 1, false)
	add(two, 30*time.Minute, 1, 100, true)
	add(two, 10*time.Hour, 1, 50, false)
	r := Merge([]Report{one.Report(now, "host-1", objective), two.Report(now, "host-2", objective), {Missing: []string{"host-3"}}})
	require.Equal(t, []string{"host-1", "host-2"}, r.Hosts)
	require.Equal(t, []string{"host-3"}, r.Missing)
	s := r.Services[0]
	tests := []struct {
		window    int
		good, bad int64
		burn      float64
	}{
		{0, 97, 3, 3},
		{1, 197, 3, 1.5},
		{2, 197, 3, 1.5},
	}
	for _, tt := range tests {
		require.Equal(t, tt.good, s.Windows[tt.window].Good)
		require.Equal(t, tt.bad, s.Windows[tt.window].Bad)
		require.InDelta(t, tt.burn, s.Windows[tt.window].Burn, 1e-9)
	}
	require.InDelta(t, -0.5, s.BudgetLeft, 1e-9)
	var text, page strings.Builder
	require.NoError(t, r.WriteText(&text))
	require.Contains(t, text.String(), "slow target-1 domain-1")
	require.NoError(t, r.WriteHTML(&page))
	require.Contains(t, page.String(), "exchange / booking")
	require.NotContains(t, page.String(), "http", "the page must not load external resources")
}
