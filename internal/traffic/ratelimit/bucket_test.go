package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func name(l *Limits, ms int, perSecond float64) {
	l.Observe(at(ms), "t", Observation{Report: Report{Kind: Named, PerSecond: perSecond}, SentAt: at(ms), Source: Probe})
}

func lift(l *Limits, ms int) {
	l.Observe(at(ms), "t", Observation{Report: Report{Kind: Unlimited}, SentAt: at(ms), Source: Probe})
}

// spendAll sends whenever there is a token, every 5 ms from one time to another.
func spendAll(l *Limits, from, to int) (sent []int) {
	for ms := from; ms < to; ms += 5 {
		for l.HasToken(at(ms), "t") && len(sent) < 1e6 {
			l.Spend(at(ms), "t")
			sent = append(sent, ms)
		}
	}
	return sent
}

func mostIn(sent []int, window int) int {
	most, first := 0, 0
	for i, ms := range sent {
		for ms-sent[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestHostsTogetherStayWithinTheLimitInAnyWindow(t *testing.T) {
	const window, tolerance, slack = 4000, 1.5, 5
	tests := []struct {
		name      string
		perSecond float64
		shares    []float64
		// used is the minimum share of the limit that is used over ten seconds.
		used float64
	}{
		{name: "zero", perSecond: 0, shares: []float64{1}},
		{name: "below one", perSecond: 0.4, shares: []float64{1}, used: 0.7},
		{name: "one host", perSecond: 1.9, shares: []float64{1}, used: 0.9},
		{name: "second host of the ranking as well", perSecond: 1.9, shares: []float64{1, standby}, used: 1.2},
		{name: "fast", perSecond: 300, shares: []float64{1, standby}, used: 1.2},
		{name: "all others have no share", perSecond: 5, shares: []float64{0, 0, 1, 0}, used: 0.9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			total := 0
			most := 0
			for _, share := range tt.shares {
				l := New()
				name(l, 0, tt.perSecond)
				l.SetShare(at(0), "t", share)
				sent := spendAll(l, 0, 10_000)
				total += len(sent)
				most += mostIn(sent, window)
			}
			require.LessOrEqual(t, float64(most), tolerance*tt.perSecond*window/1000+slack)
			require.GreaterOrEqual(t, float64(total), tt.used*tt.perSecond*10)
		})
	}
}

// standby is the share that the second host of a ranking uses in the dispatcher.
const standby = 0.4

func TestTokensStartFromNone(t *testing.T) {
	tests := []struct {
		name string
		do   func(l *Limits)
		// at is the time from which no request may be sent for 400 ms.
		at int
	}{
		{name: "limit starts", do: func(l *Limits) { name(l, 5000, 2); l.SetShare(at(5000), "t", 1) }, at: 5000},
		{name: "share starts", do: func(l *Limits) { name(l, 0, 2); l.SetShare(at(5000), "t", 1) }, at: 5000},
		{name: "share ends", do: func(l *Limits) { name(l, 0, 2); l.SetShare(at(0), "t", 1); l.SetShare(at(5000), "t", 0) }, at: 5000},
		{name: "share ends and returns", do: func(l *Limits) {
			name(l, 0, 2)
			l.SetShare(at(0), "t", 1)
			l.SetShare(at(5000), "t", 0)
			l.SetShare(at(6000), "t", 1)
		}, at: 6000},
		{name: "limit is lifted", do: func(l *Limits) { name(l, 0, 1); l.SetShare(at(0), "t", 1); lift(l, 5000) }, at: 5000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New()
			tt.do(l)
			require.Empty(t, spendAll(l, tt.at, tt.at+400))
		})
	}
}

func TestExtremeLimitsAreKept(t *testing.T) {
	for _, perSecond := range []float64{1e-300, 1e-12, 1e12, 1e300} {
		l := New()
		name(l, 0, perSecond)
		l.SetShare(at(0), "t", 1)
		var f Flow
		require.True(t, f.Add(at(3_600_000), l, "t"))
		require.GreaterOrEqual(t, f.Ready, 0)
		require.Positive(t, f.Next)
		require.LessOrEqual(t, f.Next, maxWait)
		require.Equal(t, perSecond > 1, l.HasToken(at(3_600_000), "t"))
	}
}

func TestLowerLimitHasNoBurstOfTheHigherOne(t *testing.T) {
	l := New()
	name(l, 0, 1000)
	l.SetShare(at(0), "t", 1)
	require.True(t, l.HasToken(at(5000), "t"))
	name(l, 5000, 1)
	require.LessOrEqual(t, len(spendAll(l, 5000, 9000)), 5)
}

func TestRateIsRaisedStepByStepWhenLimitIsLifted(t *testing.T) {
	l := New()
	name(l, 0, 2)
	l.SetShare(at(0), "t", 1)
	lift(l, 5000)
	previous := 0
	for from := 5000; from < 7500; from += 500 {
		sent := len(spendAll(l, from, from+500))
		require.LessOrEqual(t, sent, 2*max(previous, 1)+2)
		previous = sent
	}
	require.Greater(t, previous, 5)
	require.False(t, l.Restricted(at(7500), "t"))
}

func TestLimitIsCheckedUnlessItWasHeardLately(t *testing.T) {
	l := New()
	name(l, 0, 2)
	require.False(t, l.CheckDue(at(1300), "t"), "a host without a share does not check")
	l.SetShare(at(0), "t", 1)
	checks := 0
	for ms := 0; ms < 4000; ms += 10 {
		if l.CheckDue(at(ms), "t") {
			l.RecordProbe(at(ms), "t")
			checks++
		}
	}
	require.Equal(t, 3, checks)
	name(l, 4000, 2)
	require.False(t, l.CheckDue(at(5000), "t"))
}

func TestLimitedTargetIsProbedRarelyAndByOneHost(t *testing.T) {
	tests := []struct {
		name  string
		share float64
		want  int
	}{
		{name: "host that uses the limit in full", share: 1, want: 4},
		{name: "second host of the ranking", share: standby},
		{name: "other hosts"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New()
			require.True(t, l.MayProbe(at(0), "t"))
			name(l, 0, 100)
			l.SetShare(at(0), "t", tt.share)
			probes := 0
			for ms := 0; ms < 4000; ms += 10 {
				name(l, ms, 100)
				if l.MayProbe(at(ms), "t") {
					l.RecordProbe(at(ms), "t")
					probes++
				}
			}
			require.Equal(t, tt.want, probes)
		})
	}
}

// Responses to requests are the only evidence then, and a limit of zero allows none.
func TestLimitThatProbesDoNotShowIsTriedSlowly(t *testing.T) {
	l := New()
	l.Observe(at(0), "t", Observation{Report: Report{Kind: Named}, SentAt: at(0), Source: Response})
	l.SetShare(at(0), "t", 1)
	lift(l, 1300)
	_, limited := l.Limit("t")
	require.True(t, limited, "a probe without a limit says nothing if no probe has shown one")
	require.Empty(t, spendAll(l, 0, 4000))
	sent := spendAll(l, 4000, 20_000)
	require.NotEmpty(t, sent)
	require.LessOrEqual(t, mostIn(sent, 4000), 2)
	l.Observe(at(20_200), "t", Observation{Report: Report{Kind: Unlimited}, SentAt: at(20_000), Source: Response})
	_, limited = l.Limit("t")
	require.False(t, limited)
}

func TestOldAnnouncementsHaveNoEffect(t *testing.T) {
	tests := []struct {
		name      string
		do        func(l *Limits)
		announced Announcement
		at        int
		want      Change
	}{
		{name: "unknown before", announced: Announcement{PerSecond: 3, Age: time.Second}, at: 5000, want: Started},
		{name: "too old", announced: Announcement{PerSecond: 3, Age: time.Minute}, at: 5000},
		{name: "invalid age", announced: Announcement{PerSecond: 3, Age: -time.Second}, at: 5000},
		{name: "invalid limit", announced: Announcement{PerSecond: -3}, at: 5000},
		{name: "newer than the known one", do: func(l *Limits) { name(l, 1000, 2) }, announced: Announcement{PerSecond: 3, Age: time.Second}, at: 5000, want: Changed},
		{name: "older than the known one", do: func(l *Limits) { name(l, 4500, 2) }, announced: Announcement{PerSecond: 3, Age: time.Second}, at: 5000},
		{name: "heard before it was lifted", do: func(l *Limits) { name(l, 1000, 2); lift(l, 4500) }, announced: Announcement{PerSecond: 2, Age: time.Second}, at: 5000},
		{name: "heard before the target restarted", do: func(l *Limits) { l.Forget(at(4500), "t") }, announced: Announcement{PerSecond: 2, Age: time.Second}, at: 5000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New()
			if tt.do != nil {
				tt.do(l)
			}
			tt.announced.Target = "t"
			require.Equal(t, tt.want, l.ObserveAnnouncement(at(tt.at), tt.announced))
		})
	}
}

func TestExpiredStateIsDropped(t *testing.T) {
	l := New()
	name(l, 0, 2)
	l.Expire(at(29_000))
	require.False(t, l.Empty())
	l.SetShare(at(29_000), "t", 1)
	l.Expire(at(60_000))
	require.False(t, l.Empty(), "the host that checks a limit keeps it")
	l.SetShare(at(60_000), "t", standby)
	l.Expire(at(60_000))
	require.True(t, l.Empty())
}
