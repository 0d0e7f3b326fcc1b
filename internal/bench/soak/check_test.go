package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const ms = time.Millisecond

// sound returns a history in which every promise holds: each second a safe request is
// served, and the configuration changes once.
func sound() *History {
	h := &History{Length: 20 * time.Second, Left: map[string]time.Duration{}, Versions: []Version{{Number: 1, Written: -time.Second}, {Number: 2, Written: 8 * time.Second}}}
	for n := range 20 {
		began := time.Duration(n) * time.Second
		id := fmt.Sprintf("r-%d", n)
		h.Attempts = append(h.Attempts, Attempt{ID: id, Incarnation: 1, Began: began, Ended: began + 20*ms, Status: 200, Signed: true, Body: "t for " + id + " ran 0 bytes"})
		h.Sights = append(h.Sights, Sight{Target: "t", Kind: platformtest.Ran, At: began + 10*ms, ID: id})
	}
	return h
}

// attempt returns a request from second 5 on.
func attempt(status int, change func(a *Attempt)) Attempt {
	a := Attempt{ID: "x", Incarnation: 1, Unsafe: true, Began: 5 * time.Second, Ended: 5*time.Second + 50*ms, Status: status}
	if change != nil {
		change(&a)
	}
	return a
}

func ran(target string, at time.Duration) Sight {
	return Sight{Target: target, Kind: platformtest.Ran, At: at, ID: "x"}
}

func TestCheck(t *testing.T) {
	probe := func(at time.Duration, status, route int) Attempt {
		return attempt(status, func(a *Attempt) {
			a.Unsafe, a.Route, a.Began, a.Ended, a.Signed, a.Body = false, route, at, at+ms, true, "t for x ran 0 bytes"
		})
	}
	tests := []struct {
		name string
		do   func(h *History)
		// want is the promise that is broken; none if it is empty.
		want string
	}{
		{name: "sound"},
		{name: "answer of another request", do: func(h *History) { h.Attempts[3].Body = h.Attempts[4].Body }, want: "own whole answer"},
		{name: "answer cut short", do: func(h *History) { h.Attempts[3].Body = "t for r-3" }, want: "own whole answer"},
		{name: "answer without signature", do: func(h *History) { h.Attempts[3].Signed = false }, want: "own whole answer"},
		{name: "unsafe request runs twice", do: func(h *History) {
			h.Attempts = append(h.Attempts, attempt(502, nil))
			h.Sights = append(h.Sights, ran("t", 5010*ms), ran("u", 5020*ms))
		}, want: "at most once"},
		{name: "refused request runs later", do: func(h *History) {
			h.Attempts = append(h.Attempts, attempt(503, nil))
			h.Sights = append(h.Sights, ran("t", 6*time.Second))
		}, want: "true not-run"},
		{name: "unknown request runs later", do: func(h *History) {
			h.Attempts = append(h.Attempts, attempt(504, nil))
			h.Sights = append(h.Sights, ran("t", 6*time.Second))
		}},
		{name: "connection lost while the request ran", do: func(h *History) {
			h.Attempts = append(h.Attempts, attempt(0, func(a *Attempt) { a.Error = "EOF" }))
			h.Sights = append(h.Sights, ran("t", 5010*ms))
			h.Trouble = append(h.Trouble, Span{Kind: HostStop, From: 5 * time.Second, To: 6 * time.Second})
		}, want: "nothing cut"},
		{name: "connection lost as the host is killed", do: func(h *History) {
			h.Attempts = append(h.Attempts, attempt(0, func(a *Attempt) { a.Error = "EOF" }))
			h.Sights = append(h.Sights, ran("t", 5010*ms))
			h.Trouble = append(h.Trouble, Span{Kind: HostKill, From: 5 * time.Second, To: 6 * time.Second})
		}},
		{name: "caller is held", do: func(h *History) {
			h.Attempts = append(h.Attempts, attempt(504, func(a *Attempt) { a.Ended = a.Began + 2100*ms }))
		}, want: "prompt answer"},
		{name: "caller is held by a paused host", do: func(h *History) {
			h.Attempts = append(h.Attempts, attempt(504, func(a *Attempt) { a.Ended = a.Began + 2100*ms }))
			h.Trouble = append(h.Trouble, Span{Kind: HostPause, From: 5500 * ms, To: 7 * time.Second})
		}},
		{name: "new route is not there in time", do: func(h *History) { h.Attempts = append(h.Attempts, probe(10600*ms, 404, 2)) }, want: "configuration in force"},
		{name: "new route is not there yet", do: func(h *History) { h.Attempts = append(h.Attempts, probe(10400*ms, 404, 2)) }},
		{name: "new route is not there on a host out of touch", do: func(h *History) {
			h.Attempts = append(h.Attempts, probe(10600*ms, 404, 2))
			h.Trouble = append(h.Trouble, Span{Kind: HostStoreSilent, From: 7 * time.Second, To: 9 * time.Second})
		}},
		{name: "route that never was", do: func(h *History) { h.Attempts = append(h.Attempts, probe(12*time.Second, 200, 3)) }, want: "configuration in force"},
		{name: "host goes back", do: func(h *History) {
			h.Attempts = append(h.Attempts, probe(8100*ms, 200, 2), probe(8500*ms, 404, 2))
		}, want: "configuration in force"},
		{name: "another process knows less", do: func(h *History) {
			h.Attempts = append(h.Attempts, probe(8100*ms, 200, 2), probe(8500*ms, 404, 2))
			h.Attempts[len(h.Attempts)-1].Incarnation = 2
		}},
		{name: "work for a target that left", do: func(h *History) { h.Left["t"] = time.Second }, want: "no work for a target that leaves"},
		{name: "many sends beyond the first", do: func(h *History) {
			for n := range 70 {
				id := fmt.Sprintf("again-%d", n)
				h.Sights = append(h.Sights, Sight{Target: "t", Kind: platformtest.Refused, At: 9 * time.Second, ID: id}, Sight{Target: "u", Kind: platformtest.Refused, At: 9010 * ms, ID: id})
			}
		}, want: ""},
		{name: "more sends beyond the first than the budget", do: func(h *History) {
			for n := range 90 {
				id := fmt.Sprintf("again-%d", n)
				h.Sights = append(h.Sights, Sight{Target: "t", Kind: platformtest.Refused, At: 9 * time.Second, ID: id}, Sight{Target: "u", Kind: platformtest.Refused, At: 9010 * ms, ID: id})
			}
		}, want: "retry budget"},
		{name: "target is asked too often", do: func(h *History) {
			for n := range 1300 {
				h.Sights = append(h.Sights, Sight{Target: "t", Kind: platformtest.Asked, At: time.Duration(n) * 10 * ms})
			}
		}, want: "questions to targets"},
		{name: "no service after the faults", do: func(h *History) { h.Attempts[19].Status = 503; h.Sights = h.Sights[:19] }, want: "service after the faults"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := sound()
			if tt.do != nil {
				tt.do(h)
			}
			found := Check(h, DefaultBounds())
			if tt.want == "" {
				require.Empty(t, found)
				return
			}
			require.NotEmpty(t, found)
			for _, v := range found {
				require.Equal(t, tt.want, v.Promise, v.Text)
			}
		})
	}
}

func TestScheduleFollowsFromItsSeed(t *testing.T) {
	first := Schedule(3, 30*time.Second, 5, 6, nil)
	require.Equal(t, first, Schedule(3, 30*time.Second, 5, 6, nil))
	require.NotEqual(t, first, Schedule(4, 30*time.Second, 5, 6, nil))
	seen := map[Kind]bool{}
	for seed := range uint64(30) {
		for _, f := range Schedule(seed, 30*time.Second, 5, 6, nil) {
			seen[f.Kind] = true
			require.LessOrEqual(t, f.At+f.For, 30*time.Second-quiet)
		}
	}
	for _, k := range kinds {
		require.True(t, seen[k], k)
	}
}
