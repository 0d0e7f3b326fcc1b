package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testColdTime = 8 * time.Second

// joined is the entry of a target that joined at 0 and says how much longer it stays cold.
func joined(left time.Duration) ColdEntry {
	return ColdEntry{PerSecond: 3.6, ColdTime: testColdTime, Left: left, AppliedAt: at(0), UnknownSince: at(0), Renewed: true}
}

// laterEntry is a later entry of a target that joined at 0.
func laterEntry(ms int, left time.Duration) ColdEntry {
	return ColdEntry{PerSecond: 3.6, ColdTime: testColdTime, Left: left, AppliedAt: at(ms), UnknownSince: at(0)}
}

func says(l *Limits, received, sent int, left time.Duration) {
	l.ObserveCold(at(received), "t", Cold{Known: true, Left: left}, at(sent), 3.6)
}

// Guards against a cold state that ends by news that may be older than what it is based on, and against
// one that does not end.
func TestColdStateEndsOnlyByNewerNews(t *testing.T) {
	tests := []struct {
		name string
		do   func(l *Limits)
		// until is the time, in milliseconds, until which the target counts as cold.
		until int
		known bool
	}{
		{name: "joined", do: func(l *Limits) { l.ObserveColdEntry(at(0), "t", joined(0)) }, until: 8000},
		{name: "joined long ago", do: func(l *Limits) { l.ObserveColdEntry(at(9000), "t", joined(0)) }},
		{name: "joined cold", do: func(l *Limits) { l.ObserveColdEntry(at(0), "t", joined(9*time.Second)) }, until: 9000, known: true},
		{name: "response to a newer request", do: func(l *Limits) { l.ObserveColdEntry(at(0), "t", joined(0)); says(l, 300, 100, 0) }},
		{name: "response to an older request", do: func(l *Limits) { l.ObserveColdEntry(at(0), "t", joined(0)); says(l, 300, -1, 0) }, until: 8000},
		{name: "response says cold", do: func(l *Limits) { says(l, 300, 100, 2*time.Second) }, until: 2300, known: true},
		{name: "response says less than joined", do: func(l *Limits) {
			l.ObserveColdEntry(at(0), "t", joined(0))
			says(l, 300, 100, 2*time.Second)
		}, until: 2300, known: true},
		{name: "older response says less than joined", do: func(l *Limits) {
			l.ObserveColdEntry(at(0), "t", joined(0))
			says(l, 300, -100, 2*time.Second)
		}, until: 8000},
		{name: "older response says more", do: func(l *Limits) { says(l, 300, 200, 2*time.Second); says(l, 310, 100, 5*time.Second) }, until: 5310, known: true},
		{name: "older response says not cold", do: func(l *Limits) { says(l, 300, 200, 2*time.Second); says(l, 310, 290, 0) }, until: 2300, known: true},
		{name: "cold time rises again", do: func(l *Limits) {
			l.ObserveColdEntry(at(0), "t", joined(0))
			says(l, 300, 100, 0)
			says(l, 900, 800, 4*time.Second)
		}, until: 4900, known: true},
		{name: "entry says cold", do: func(l *Limits) { l.ObserveColdEntry(at(500), "t", laterEntry(500, 3*time.Second)) }, until: 3500, known: true},
		{name: "newer entry says not cold", do: func(l *Limits) {
			l.ObserveColdEntry(at(500), "t", laterEntry(500, 3*time.Second))
			l.ObserveColdEntry(at(1500), "t", laterEntry(1500, 0))
		}},
		{name: "entry may be older than the response that says cold", do: func(l *Limits) {
			says(l, 500, 400, 3*time.Second)
			l.ObserveColdEntry(at(700), "t", laterEntry(700, 0))
		}, until: 3500, known: true},
		{name: "entry with less may be older than the response", do: func(l *Limits) {
			says(l, 500, 400, 3*time.Second)
			l.ObserveColdEntry(at(700), "t", laterEntry(700, time.Second))
		}, until: 3500, known: true},
		{name: "entry may be older than the join", do: func(l *Limits) {
			l.ObserveColdEntry(at(0), "t", joined(0))
			l.ObserveColdEntry(at(1500), "t", laterEntry(1500, 0))
		}, until: 8000},
		{name: "entry is newer than the join", do: func(l *Limits) {
			e := joined(0)
			e.ColdTime = time.Minute
			l.ObserveColdEntry(at(0), "t", e)
			l.ObserveColdEntry(at(10_000), "t", laterEntry(10_000, 0))
		}},
		{name: "not reachable", do: func(l *Limits) { l.SetColdUnknown(at(1000), "t", 3.6, testColdTime) }, until: 9000},
		{name: "not reachable while cold for longer", do: func(l *Limits) {
			says(l, 300, 200, time.Minute)
			l.SetColdUnknown(at(1000), "t", 3.6, testColdTime)
		}, until: 60_300, known: true},
		{name: "time is absurd", do: func(l *Limits) { says(l, 0, 0, 24*time.Hour) }, until: int(maxColdTime.Milliseconds()), known: true},
		{name: "rate was removed", do: func(l *Limits) { says(l, 300, 200, time.Minute); l.SetColdRate(at(400), "t", 0) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New()
			tt.do(l)
			last := 20_000
			if tt.until > 0 {
				_, known, ok := l.Cold(at(tt.until-1), "t")
				require.True(t, ok)
				require.Equal(t, tt.known, known)
				last = tt.until
			}
			_, _, ok := l.Cold(at(last), "t")
			require.False(t, ok)
		})
	}
}

// Guards against a burst when a cold time begins, begins again, or meets a limit, and against a rate
// above the lower one.
func TestColdTargetGetsNoBurst(t *testing.T) {
	tests := []struct {
		name  string
		share float64
		do    func(l *Limits)
		most  int
	}{
		{name: "full share", share: 1, most: 5},
		{name: "part", share: 0.4, most: 3},
		{name: "no share", share: 0, most: 0},
		{name: "says so again and again", share: 1, most: 5, do: func(l *Limits) {
			for ms := 1000; ms < 6000; ms += 7 {
				says(l, ms, ms-1, time.Minute)
			}
		}},
		{name: "a limit is lower", share: 1, most: 2, do: func(l *Limits) { name(l, 0, 1) }},
		{name: "a limit is higher", share: 1, most: 5, do: func(l *Limits) { name(l, 0, 100) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New()
			l.ObserveColdEntry(at(0), "t", joined(time.Minute))
			l.SetShare(at(0), "t", tt.share)
			if tt.do != nil {
				tt.do(l)
			}
			sent := spendAll(l, 10_000, 20_000)
			require.LessOrEqual(t, mostIn(sent, 1000), tt.most)
			if tt.most > 0 {
				require.NotEmpty(t, sent)
			}
		})
	}
}

func TestRateIsRaisedStepByStepAfterColdTime(t *testing.T) {
	l := New()
	l.ObserveColdEntry(at(0), "t", joined(8*time.Second))
	l.SetShare(at(0), "t", 1)
	sent := spendAll(l, 7000, 10_400)
	require.LessOrEqual(t, mostIn(sent, 100), 15)
	require.False(t, l.Restricted(at(10_600), "t"))

	l = New()
	l.ObserveColdEntry(at(0), "t", joined(0))
	says(l, 100, 50, 0)
	require.False(t, l.Restricted(at(100), "t"), "a target that may never have been cold is used at once")
	l.Expire(at(100))
	require.True(t, l.Empty())
}

func TestColdTargetsAreProbedRarely(t *testing.T) {
	l := New()
	l.ObserveColdEntry(at(0), "t", joined(8*time.Second))
	require.False(t, l.MayProbe(at(1000), "t"), "a host without a share")
	l.SetShare(at(0), "t", 0.4)
	require.True(t, l.MayProbe(at(1000), "t"))
	l.RecordProbe(at(1000), "t")
	require.False(t, l.MayProbe(at(1200), "t"))
	require.True(t, l.MayProbe(at(1250), "t"))
	l = New()
	l.ObserveColdEntry(at(0), "t", joined(0))
	require.True(t, l.MayProbe(at(10), "t"), "not known whether cold")
	l.RecordProbe(at(10), "t")
	require.False(t, l.MayProbe(at(50), "t"))
}

// Guards against a capacity that counts cold targets as others, and against one that counts targets as
// cold which will say in milliseconds that they are not.
func TestCapacityCountsColdTargets(t *testing.T) {
	l := New()
	l.ObserveColdEntry(at(0), "t", joined(8*time.Second))
	rate, ok := l.Rate(at(100), "t")
	require.True(t, ok)
	require.InDelta(t, 3.6, rate, 0)
	var f Flow
	require.True(t, f.Add(at(100), l, "t"))
	require.True(t, f.Cold)
	l = New()
	l.ObserveColdEntry(at(0), "t", joined(0))
	_, ok = l.Rate(at(100), "t")
	require.False(t, ok)
	_, ok = l.Rate(at(1100), "t")
	require.True(t, ok)
}
