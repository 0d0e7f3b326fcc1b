package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// observation is a response that was received at one time, to a request sent at another.
type observation struct {
	received, sent int
	report         Report
	want           Change
}

func TestOutOfOrderResponsesNeitherRaiseNorLiftLimits(t *testing.T) {
	named := func(v float64) Report { return Report{Kind: Named, PerSecond: v} }
	unlimited := Report{Kind: Unlimited}
	tests := []struct {
		name  string
		list  []observation
		limit float64
		ok    bool
	}{
		{name: "never named", list: []observation{{100, 0, unlimited, Unchanged}, {110, 0, Report{}, Unchanged}}},
		{name: "zero is a limit", list: []observation{{100, 0, named(0), Started}}, limit: 0, ok: true},
		{name: "lower at once", list: []observation{{100, 0, named(4), Started}, {110, 50, named(2), Changed}}, limit: 2, ok: true},
		{name: "higher from an older request", list: []observation{{100, 0, named(2), Started}, {110, 50, named(4), Unchanged}}, limit: 2, ok: true},
		{name: "higher from a newer request", list: []observation{{100, 0, named(2), Started}, {300, 150, named(4), Changed}}, limit: 4, ok: true},
		{name: "none from an older request", list: []observation{{100, 0, named(2), Started}, {300, 50, unlimited, Unchanged}}, limit: 2, ok: true},
		{name: "none from a newer request", list: []observation{{100, 0, named(2), Started}, {300, 150, unlimited, Lifted}}},
		{name: "invalid", list: []observation{{100, 0, named(2), Started}, {300, 150, Report{}, Unchanged}}, limit: 2, ok: true},
		{name: "named again", list: []observation{{100, 0, named(2), Started}, {300, 150, unlimited, Lifted}, {400, 320, named(3), Started}}, limit: 3, ok: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New()
			for _, o := range tt.list {
				require.Equal(t, o.want, l.Observe(at(o.received), "t", Observation{Report: o.report, SentAt: at(o.sent), Source: Response}))
			}
			limit, ok := l.Limit("t")
			require.Equal(t, tt.ok, ok)
			require.Equal(t, tt.limit, limit)
		})
	}
}

func TestRestartedTargetHasNoLimit(t *testing.T) {
	l := New()
	l.Observe(at(0), "t", Observation{Report: Report{Kind: Named, PerSecond: 2}, SentAt: at(0), Source: Probe})
	l.Observe(at(0), "u", Observation{Report: Report{Kind: Named, PerSecond: 3}, SentAt: at(0), Source: Probe})
	l.Forget(at(10), "t")
	require.Equal(t, map[string]float64{"u": 3}, l.Named())
	l.Retain(func(string) bool { return false })
	require.Empty(t, l.Named())
}
