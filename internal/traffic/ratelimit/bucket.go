package ratelimit

// This file defines the tokens that a host may spend on limited targets.

import (
	"math"
	"time"
)

const (
	// burstTime is the time for which tokens accumulate, beyond the first one.
	burstTime = 100 * time.Millisecond
	// rampTime is the time after the end of a limit in which the rate is raised. It doubles
	// every rampDoubling, from the limit or at least rampPerSecond.
	rampTime      = 2500 * time.Millisecond
	rampDoubling  = 500 * time.Millisecond
	rampPerSecond = 1.0
)

// bucket holds the tokens for one target. refilledAt is zero while there is no limit.
type bucket struct {
	share      float64
	tokens     float64
	refilledAt time.Time
}

// reset drops all tokens.
func (b *bucket) reset(now time.Time) { b.tokens, b.refilledAt = 0, now }

// settle adds the tokens since the last call, at a rate of perSecond over all hosts.
func (b *bucket) settle(now time.Time, perSecond float64) {
	rate := b.share * perSecond
	if gap := now.Sub(b.refilledAt); gap > 0 {
		b.tokens = min(max(1, rate*burstTime.Seconds()), b.tokens+rate*gap.Seconds())
		b.refilledAt = now
	}
}

// rate returns the number of requests a second that all hosts together may send now: the lower one of
// those of the limit and of the cold time.
func (s *state) rate(now time.Time) float64 {
	rate := maxPerSecond
	if s.limited || !s.endedAt.IsZero() {
		rate = s.limitRate(now)
	}
	if s.isCold(now) || s.coldRamping(now) {
		rate = min(rate, s.coldRate(now))
	}
	return rate
}

// limitRate returns the number of requests a second that the limit allows, or the end of the last one.
func (s *state) limitRate(now time.Time) float64 {
	switch {
	case s.limited && !s.shownByProbes && now.Sub(s.heardAt) > trialAge:
		return max(s.perSecond, trialPerSecond)
	case s.limited:
		return s.perSecond
	}
	steps := float64(now.Sub(s.endedAt)) / float64(rampDoubling)
	return max(s.perSecond, rampPerSecond) * math.Exp2(steps)
}

// ramping reports whether the rate is being raised after the end of a limit.
func (s *state) ramping(now time.Time) bool {
	return !s.limited && now.Before(s.rampUntil)
}

// restricted returns the state of a target whose rate is restricted now; nil for others.
func (l *Limits) restricted(now time.Time, id string) *state {
	s := l.states[id]
	if s == nil || !s.limited && !s.ramping(now) && !s.isCold(now) && !s.coldRamping(now) {
		return nil
	}
	return s
}

// Restriction is what restricts the rate of a target now.
type Restriction struct {
	// Limited is set if the target names a limit, or if a limit or a cold time ended a moment ago, so
	// that the rate is being raised. All hosts together may then send LimitPerSecond.
	Limited        bool
	LimitPerSecond float64
	// Cold is set if the target counts as cold, and Known if it has said that it is. All hosts
	// together may then send ColdPerSecond.
	Cold, Known   bool
	ColdPerSecond float64
}

// Restriction returns what restricts the rate of a target now.
func (l *Limits) Restriction(now time.Time, id string) (r Restriction) {
	s := l.states[id]
	if s == nil {
		return r
	}
	if s.limited || s.ramping(now) {
		r.Limited, r.LimitPerSecond = true, s.limitRate(now)
	}
	switch {
	case s.isCold(now):
		r.Cold, r.Known, r.ColdPerSecond = true, s.cold.known, s.cold.perSecond
	case s.coldRamping(now) && (!r.Limited || s.coldRate(now) < r.LimitPerSecond):
		r.Limited, r.LimitPerSecond = true, s.coldRate(now)
	}
	return r
}

// Restricted reports whether the rate of a target is restricted: it names a limit or is cold, or a
// limit or a cold time ended a moment ago.
func (l *Limits) Restricted(now time.Time, id string) bool { return l.restricted(now, id) != nil }

// SetShare sets the part of a target's limit that this host may use.
func (l *Limits) SetShare(now time.Time, id string, share float64) {
	s := l.states[id]
	if s == nil || s.bucket.share == share {
		return
	}
	s.bucket.settle(now, s.rate(now))
	if s.bucket.share <= 0 {
		s.bucket.reset(now)
	}
	s.bucket.share = share
}

// HasToken reports whether this host may send a request to a target now.
func (l *Limits) HasToken(now time.Time, id string) bool {
	s := l.restricted(now, id)
	if s == nil {
		return true
	}
	s.bucket.settle(now, s.rate(now))
	return s.bucket.share > 0 && s.bucket.tokens >= 1
}

// Spend takes a token for a request that is sent to a target.
func (l *Limits) Spend(now time.Time, id string) {
	if s := l.restricted(now, id); s != nil {
		s.bucket.settle(now, s.rate(now))
		s.bucket.tokens--
	}
}

// Flow is the rate at which a set of limited targets takes requests from this host.
type Flow struct {
	// Ready is the number of requests that the targets take now.
	Ready int
	// Next is the time until they take the next request after these.
	Next time.Duration
	// PerSecond is the number of requests a second that they take from then on.
	PerSecond float64
	// Cold is set if some of them are restricted because they are cold.
	Cold bool
}

// maxWait bounds a wait, so that a tiny rate does not exceed the range of a duration.
const maxWait = time.Hour

// Wait returns the time until n requests are allowed at a rate, or maxWait if it is longer.
func Wait(n, perSecond float64) time.Duration {
	return time.Duration(min(maxWait.Seconds(), n/perSecond) * float64(time.Second))
}

// Add adds a target that names a limit or is cold to the flow, and reports whether it is one.
func (f *Flow) Add(now time.Time, l *Limits, id string) bool {
	s := l.states[id]
	if s == nil || !s.limited && !s.countsAsCold(now) {
		return false
	}
	f.Cold = f.Cold || s.countsAsCold(now)
	rate := s.rate(now)
	s.bucket.settle(now, rate)
	rate *= s.bucket.share
	if rate <= 0 {
		return true
	}
	whole, part := math.Modf(max(0, s.bucket.tokens))
	f.Ready += int(whole)
	next := Wait(1-part, rate)
	if f.PerSecond == 0 || next < f.Next {
		f.Next = next
	}
	f.PerSecond += rate
	return true
}
