package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

func TestCheckOfRequestsThatCrashTargets(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name string
		// runs are the times at which such requests start to run, each sent by host 0.
		runs   []time.Duration
		spans  []Span
		judged bool
		broken bool
	}{
		{name: "never known", runs: []time.Duration{0, 9 * second}},
		{name: "refused at once", runs: []time.Duration{0, second, 2 * second, 3 * second}, judged: true},
		{name: "go on for some time", runs: []time.Duration{0, second, 2 * second, 3 * second, 4 * second, 5 * second}, judged: true},
		{name: "some late ones", runs: []time.Duration{0, second, 2 * second, 6 * second, 7 * second, 8 * second}, judged: true},
		{name: "go on", runs: []time.Duration{0, second, 2 * second, 6 * second, 7 * second, 8 * second, 9 * second}, judged: true, broken: true},
		{name: "go on at a host that was killed", runs: []time.Duration{0, second, 2 * second, 6 * second, 7 * second, 8 * second, 9 * second}, spans: []Span{{Kind: HostKill, From: 5 * second, To: 6 * second}}, judged: true, broken: true},
		{name: "go on at a host that was paused", runs: []time.Duration{0, second, 2 * second, 6 * second, 7 * second, 8 * second, 9 * second}, spans: []Span{{Kind: HostPause, From: 3 * second, To: 7 * second}}, judged: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &History{Disturbances: tt.spans}
			for n, at := range tt.runs {
				id := fmt.Sprint(n)
				h.Attempts = append(h.Attempts, Attempt{ID: id, Crashing: "/read/crash", Start: at, End: at + ms, Status: 502})
				h.TargetEvents = append(h.TargetEvents, TargetEvent{Target: "t-" + id, Kind: platformtest.Started, At: at, ID: id})
			}
			c := newChecker(h, DefaultBounds())
			require.Equal(t, tt.judged, c.checkCrashing() == 1)
			require.Equal(t, tt.broken, len(c.violations) > 0)
		})
	}
}

func TestCheckOfClientsThatLeave(t *testing.T) {
	const second = time.Second
	run := TargetRun{Target: "t", ID: "x"}
	tests := []struct {
		name string
		// started and ended are those of a run whose client leaves after one second; ended is zero for none.
		started, ended time.Duration
		modify         func(h *History)
		judged         bool
		broken         bool
	}{
		{name: "ends at once", started: second / 2, ended: 1200 * ms, judged: true},
		{name: "ended before", started: second / 2, ended: 900 * ms, judged: true},
		{name: "ends late", started: second / 2, ended: 1600 * ms, judged: true, broken: true},
		{name: "does not end", started: second / 2, judged: true, broken: true},
		{name: "starts later", started: 1600 * ms, ended: 1700 * ms, judged: true, broken: true},
		{name: "its host is paused", started: second / 2, ended: 1600 * ms, modify: func(h *History) {
			h.Disturbances = []Span{{Kind: HostPause, From: 0, To: 1400 * ms}}
		}},
		{name: "the link to its target is disturbed", started: second / 2, ended: 1600 * ms, modify: func(h *History) {
			h.LinkFaults = []LinkSpan{{Target: "t", From: second, To: 2 * second}}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &History{
				Departures: []Departure{{At: second, IDs: []string{"x", "y"}}}, RunEnds: map[TargetRun]time.Duration{},
				TargetEvents: []TargetEvent{{Target: "t", Kind: platformtest.Started, At: tt.started, ID: "x"}},
			}
			if tt.ended > 0 {
				h.RunEnds[run] = tt.ended
			}
			if tt.modify != nil {
				tt.modify(h)
			}
			c := newChecker(h, DefaultBounds())
			require.Equal(t, tt.judged, c.checkDepartures() == 1)
			require.Equal(t, tt.broken, len(c.violations) > 0)
		})
	}
}
