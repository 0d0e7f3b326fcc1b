package ratelimit

// This file defines the rates of cold targets.
//
// A target that has just started is cold: it takes few requests a second until it has warmed up, and
// crashes above that. Its entry and its health responses say for how long. A cold target is treated
// like one that names a rate limit, so the hosts share the rate as they share limits. A target of
// which it is not known whether it is cold is treated as a cold one.
//
// A response says that a target is not cold, or not for as long as it was believed to be, only if the
// request was sent after the newest cause to believe that it is: responses can arrive late. That a
// target is cold counts at once.

import (
	"math"
	"time"
)

const (
	// maxColdTime bounds the time for which a target may say that it is cold, so that a faulty value
	// does not hold forever. A target that stays cold for longer says so again.
	maxColdTime = 5 * time.Minute
	// coldProbePeriod is the minimum time between two probes of this host to a cold target. Four a
	// second, together with the requests, stay below what a cold target tolerates.
	coldProbePeriod = 250 * time.Millisecond
	// unknownProbePeriod is the minimum time between two probes of this host to a target of which it
	// is not known whether it is cold. It covers the timeouts of most probes.
	unknownProbePeriod = 100 * time.Millisecond
	// unknownGrace is the time for which such a target counts as one without a limit for the capacity
	// of a queue: a probe tells within milliseconds, and requests must not be rejected before.
	unknownGrace = time.Second
)

// Cold is what a response says about the time for which its target stays cold.
type Cold struct {
	// Known is set if the response says anything. Left is the time that the target stays cold; zero
	// if it is not cold.
	Known bool          `cbor:"1,keyasint,omitempty"`
	Left  time.Duration `cbor:"2,keyasint,omitempty"`
}

// cold is what is known of the cold time of a target. The zero value is that of one that is not cold.
type cold struct {
	perSecond float64
	// until is the time until which the target counts as cold, and since that of the newest cause to
	// believe that it is.
	until, since time.Time
	// known is set if the target has said that it is cold. Otherwise it is not known whether it is.
	known bool
	// fromEntry is set if its entry has said so, and no response has said anything since.
	fromEntry bool
}

// ColdEntry is what a host knows by its view of the cold time of a target.
type ColdEntry struct {
	// PerSecond is the number of requests a second that a cold target takes, over all hosts, and
	// ColdTime the time for which a target is cold after it starts.
	PerSecond float64
	ColdTime  time.Duration
	// Left is the time that the target stayed cold when its entry was applied at AppliedAt.
	Left      time.Duration
	AppliedAt time.Time
	// UnknownSince is the time since which it is not known whether the target is cold, unless
	// something newer says so. Renewed is set if that is new, and otherwise the entry is.
	UnknownSince time.Time
	Renewed      bool
}

// lateEntryTime is the time after which an entry that is applied was certainly written after the cold
// time became unknown. The store may apply a write as late as that.
const lateEntryTime = 10 * time.Second

// isCold reports whether the target counts as cold.
func (s *state) isCold(now time.Time) bool { return now.Before(s.cold.until) }

// coldRamping reports whether the rate is being raised after the end of a cold time. It is not if the
// target may never have been cold.
func (s *state) coldRamping(now time.Time) bool {
	return s.cold.known && !s.isCold(now) && now.Before(s.cold.until.Add(rampTime))
}

// coldRate returns the number of requests a second that all hosts together may send to a target that
// is cold or has just been.
func (s *state) coldRate(now time.Time) float64 {
	if s.isCold(now) {
		return s.cold.perSecond
	}
	steps := float64(now.Sub(s.cold.until)) / float64(rampDoubling)
	return max(s.cold.perSecond, rampPerSecond) * math.Exp2(steps)
}

// ObserveColdEntry applies what the view says of the cold time of a target.
func (l *Limits) ObserveColdEntry(now time.Time, id string, e ColdEntry) {
	next := cold{perSecond: e.PerSecond, until: e.AppliedAt.Add(min(e.Left, maxColdTime)), since: e.AppliedAt, known: e.Left > 0, fromEntry: true}
	if e.Renewed {
		if unknownUntil := e.UnknownSince.Add(e.ColdTime); unknownUntil.After(next.until) {
			next.until, next.known = unknownUntil, next.known && now.Before(next.until)
		}
		if e.UnknownSince.After(next.since) {
			next.since = e.UnknownSince
		}
		next.fromEntry = false
		if s := l.states[id]; s != nil && s.isCold(now) && s.cold.until.After(next.until) {
			next.until, next.known = s.cold.until, s.cold.known
		}
		l.setCold(now, id, next)
		return
	}
	s := l.states[id]
	switch {
	case s == nil || !s.isCold(now):
		l.setCold(now, id, next)
	case e.Left > 0:
		if s.cold.known && !s.cold.fromEntry && s.cold.until.After(next.until) {
			// A response may be newer than the entry.
			next.until, next.fromEntry = s.cold.until, false
		}
		l.setCold(now, id, next)
	case s.cold.fromEntry, !s.cold.known && e.AppliedAt.Sub(e.UnknownSince) >= lateEntryTime:
		s.endCold(now)
	}
}

// SetColdUnknown records that it is not known any more whether a target is cold.
func (l *Limits) SetColdUnknown(now time.Time, id string, perSecond float64, coldTime time.Duration) {
	next := cold{perSecond: perSecond, until: now.Add(coldTime), since: now}
	if s := l.states[id]; s != nil && s.isCold(now) {
		next.known = s.cold.known
		if s.cold.until.After(next.until) {
			next.until = s.cold.until
		}
	}
	l.setCold(now, id, next)
}

// ObserveCold applies what a response says of the cold time of its target. sentAt is a time before the
// target generated it, and perSecond the rate that cold targets take.
func (l *Limits) ObserveCold(now time.Time, id string, c Cold, sentAt time.Time, perSecond float64) {
	if !c.Known || c.Left < 0 {
		return
	}
	s := l.states[id]
	isCold := s != nil && s.isCold(now)
	newer := !isCold || !sentAt.Before(s.cold.since)
	if c.Left == 0 {
		if isCold && newer {
			s.endCold(now)
		}
		return
	}
	next := cold{perSecond: perSecond, until: now.Add(min(c.Left, maxColdTime)), since: now, known: true}
	if !newer {
		next.known = s.cold.known
		if s.cold.until.After(next.until) {
			next.until = s.cold.until
		}
	}
	l.setCold(now, id, next)
}

// setCold replaces what is known of the cold time of a target. A cold time starts without tokens.
func (l *Limits) setCold(now time.Time, id string, next cold) {
	if !now.Before(next.until) {
		return
	}
	s := l.states[id]
	if s == nil {
		s = &state{}
		l.states[id] = s
	}
	switch {
	case l.restricted(now, id) == nil:
		s.bucket.reset(now)
	default:
		s.bucket.settle(now, s.rate(now))
		s.bucket.tokens = min(1, s.bucket.tokens)
	}
	s.cold = next
}

// endCold ends the cold time of a target. If it has said that it was cold, the rate is raised step by
// step.
func (s *state) endCold(now time.Time) {
	if !s.cold.known && !s.limited {
		s.cold = cold{}
		return
	}
	s.bucket.settle(now, s.rate(now))
	s.bucket.tokens = min(1, s.bucket.tokens)
	s.cold.until = now
}

// SetColdRate changes the rate of a target that is cold. A rate of 0 means that cold targets of the
// service have no limit.
func (l *Limits) SetColdRate(now time.Time, id string, perSecond float64) {
	s := l.states[id]
	if s == nil || s.cold.perSecond == perSecond || s.cold.until.IsZero() {
		return
	}
	s.bucket.settle(now, s.rate(now))
	s.bucket.tokens = min(1, s.bucket.tokens)
	s.cold.perSecond = perSecond
	if perSecond <= 0 {
		s.cold = cold{}
	}
}

// Cold returns the rate of a target that counts as cold, and whether it has said that it is; ok is
// false if it does not count as cold.
func (l *Limits) Cold(now time.Time, id string) (perSecond float64, known, ok bool) {
	s := l.states[id]
	if s == nil || !s.isCold(now) {
		return 0, false, false
	}
	return s.cold.perSecond, s.cold.known, true
}

// ColdHeardAt returns the time of the newest cause to believe that a target is cold, and false if it
// has not said that it is.
func (l *Limits) ColdHeardAt(now time.Time, id string) (time.Time, bool) {
	if _, known, _ := l.Cold(now, id); !known {
		return time.Time{}, false
	}
	return l.states[id].cold.since, true
}

// ColdUnknown reports whether it is not known whether a target is cold.
func (l *Limits) ColdUnknown(now time.Time, id string) bool {
	_, known, ok := l.Cold(now, id)
	return ok && !known
}

// Rate returns the number of requests a second that a target takes from all hosts together, and false
// if neither a limit nor a cold time restricts them.
func (l *Limits) Rate(now time.Time, id string) (perSecond float64, ok bool) {
	s := l.states[id]
	if s == nil {
		return 0, false
	}
	perSecond, ok = s.perSecond, s.limited
	if s.countsAsCold(now) && (!ok || s.cold.perSecond < perSecond) {
		return s.cold.perSecond, true
	}
	return perSecond, ok
}

// countsAsCold reports whether the capacity of the target is that of a cold one.
func (s *state) countsAsCold(now time.Time) bool {
	return s.isCold(now) && (s.cold.known || now.Sub(s.cold.since) > unknownGrace)
}

// mayProbeCold reports whether the cold time of a target, if it has one, permits a probe.
func (s *state) mayProbeCold(now time.Time) bool {
	switch {
	case !s.isCold(now):
		return true
	case !s.cold.known:
		return now.Sub(s.probedAt) >= unknownProbePeriod
	}
	return s.bucket.share > 0 && now.Sub(s.probedAt) >= coldProbePeriod
}
