package reachability

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestJudge(t *testing.T) {
	tests := []struct {
		name   string
		checks []Check
		known  int
		want   Verdict
	}{
		{name: "no checks", known: 5, want: Inconclusive},
		{name: "links hang", known: 5, checks: []Check{{Direct: NotConnected, ViaPeer: Responded}, {Direct: NotConnected, ViaPeer: Responded}}, want: CutOff},
		{name: "a middlebox accepts connections", known: 5, checks: []Check{{Direct: Connected, ViaPeer: Responded}, {Direct: Connected, ViaPeer: Responded}}, want: CutOff},
		{name: "busy targets respond late", known: 5, checks: []Check{{Direct: Connected, ViaPeer: Connected}, {Direct: Connected, ViaPeer: Connected}}, want: Inconclusive},
		{name: "busy targets, links refused", known: 5, checks: []Check{{Direct: NotConnected, ViaPeer: Connected}, {Direct: NotConnected, ViaPeer: Connected}}, want: CutOff},
		{name: "all targets are down", known: 5, checks: []Check{{}, {}, {}}, want: Inconclusive},
		{name: "one target is down, the others are not reached", known: 5, checks: []Check{{}, {ViaPeer: Responded}, {ViaPeer: Responded}}, want: CutOff},
		{name: "one target is down, another responds", known: 5, checks: []Check{{}, {Direct: Responded}}, want: Reached},
		{name: "the path to one target is broken", known: 5, checks: []Check{{ViaPeer: Responded}, {Direct: Responded, ViaPeer: Responded}}, want: Reached},
		{name: "the path to one target is broken, the others are down", known: 5, checks: []Check{{ViaPeer: Responded}, {}, {}}, want: Inconclusive},
		{name: "the only target", known: 1, checks: []Check{{ViaPeer: Responded}}, want: CutOff},
		{name: "no other host helps", known: 5, checks: []Check{{Direct: NotConnected}, {Direct: Connected}}, want: Inconclusive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, Judge(tt.checks, tt.known))
		})
	}
}

func TestMonitor(t *testing.T) {
	type step struct {
		ms      int
		verdict Verdict
		changed bool
		cutOff  bool
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{name: "cut off and back", steps: []step{{0, CutOff, true, true}, {400, Inconclusive, false, true}, {800, Reached, false, true}, {850, Reached, true, false}}},
		{name: "one response does not end it", steps: []step{{0, CutOff, true, true}, {400, Reached, false, true}, {800, Inconclusive, false, true}, {1200, Reached, false, true}, {1250, Reached, true, false}}},
		{name: "reached all the time", steps: []step{{0, Reached, false, false}, {400, Reached, false, false}, {800, CutOff, true, true}, {1200, Reached, false, true}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := NewMonitor()
			for _, s := range tt.steps {
				now := time.Unix(1000, 0).Add(time.Duration(s.ms) * time.Millisecond)
				require.Equal(t, s.changed, m.Record(now, s.verdict), "at %d ms", s.ms)
				cutOff, _ := m.CutOff()
				require.Equal(t, s.cutOff, cutOff, "at %d ms", s.ms)
			}
		})
	}
}

// Many failures at once, or for long, must not cause a storm of checks.
func TestChecksAreRateLimited(t *testing.T) {
	m := NewMonitor()
	now, started := time.Unix(1000, 0), 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if m.StartCheck(now) {
			started++
			m.Record(now, Inconclusive)
		}
	}
	require.InDelta(t, 10_000/800, started, 4)
}

func TestFailuresAtSeveralTargetsArouseSuspicion(t *testing.T) {
	tests := []struct {
		name string
		// failures are the targets at which the host fails in turn; empty for a new connection
		// that works.
		failures []string
		known    int
		want     bool
	}{
		{name: "one target", failures: []string{"a", "a", "a"}, known: 5},
		{name: "two targets", failures: []string{"a", "b"}, known: 5, want: true},
		{name: "a new connection works in between", failures: []string{"a", "", "b"}, known: 5},
		{name: "the only target", failures: []string{"a"}, known: 1, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, got := NewMonitor(), false
			for _, target := range tt.failures {
				if target == "" {
					m.RecordNewConnection()
				} else {
					got = m.RecordFailure(target, tt.known)
				}
			}
			require.Equal(t, tt.want, got)
		})
	}
}
