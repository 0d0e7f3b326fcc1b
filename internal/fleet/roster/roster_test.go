package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLapsedTargetsAreKeptUntilTimeout(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name   string
		update func(r *Roster)
		// active tells whether the target may get requests after 1 s, and later whether
		// it may after 2.5 s.
		active, later bool
	}{
		{name: "removed while the store is available", update: func(r *Roster) { r.Remove(at(0), "i") }},
		{name: "lapsed in an outage", update: func(r *Roster) { r.RecordOutage(at(0)); r.Remove(at(0), "i") }, active: true},
		{name: "lapsed and registered again", update: func(r *Roster) { r.RecordOutage(at(0)); r.Remove(at(0), "i"); r.Put(at(500), Target{ID: "i"}) }, active: true, later: true},
		{name: "draining in an outage", update: func(r *Roster) {
			r.Put(at(0), Target{ID: "i", Draining: true})
			r.RecordOutage(at(0))
			r.Remove(at(0), "i")
		}},
		{name: "draining", update: func(r *Roster) { r.Put(at(0), Target{ID: "i", Draining: true}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(2 * time.Second)
			require.Equal(t, Joined, r.Put(start, Target{ID: "i"}))
			tt.update(r)
			r.Expire(at(1000), func(string, Change) {})
			require.Equal(t, tt.active, len(activeTargets(r)) == 1)
			r.Expire(at(2500), func(string, Change) {})
			require.Equal(t, tt.later, len(activeTargets(r)) == 1)
		})
	}
}

func TestReadyEntryOfADrainingTargetIsReported(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(time.Second)
	r.Put(now, Target{ID: "i", Draining: true})
	require.Equal(t, Resumed, r.Put(now, Target{ID: "i"}))
	require.Equal(t, Unchanged, r.Put(now, Target{ID: "i"}))
	require.Equal(t, "resumed", Resumed.String())
}

func TestNewStartTimeIsRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(time.Second)
	r.Put(now, Target{ID: "i", Started: time.UnixMilli(5)})
	require.Equal(t, Unchanged, r.Put(now, Target{ID: "i", Started: time.UnixMilli(5), Sequence: 9}))
	require.Equal(t, Restarted, r.Put(now, Target{ID: "i", Started: time.UnixMilli(6), ColdTime: time.Second}))
	require.Equal(t, now.Add(time.Second), activeTargets(r)[0].ColdUntil)
}

// activeTargets returns the targets without a service that may get new requests.
func activeTargets(r *Roster) []ActiveTarget {
	active, _ := r.Active()
	return active[""]
}
