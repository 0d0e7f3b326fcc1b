// Package ratelimit keeps to the rate limits that targets name for all hosts together.
//
// A target in need names in its responses how many requests a second it takes. The limit
// holds from then on until a response says otherwise. Responses can arrive out of order, so
// a limit is raised or lifted only by a response to a request that was sent after the
// current limit was heard; a lower limit holds at once.
//
// The sum over all hosts must hold also while hosts disagree on who dispatches. So a host
// may use only its share of a limit: its dispatcher sets the share to one on the host that
// certainly is the only one to use it, to a part on one that may be a second one, and to
// zero elsewhere. Tokens accumulate at the share of the limit, up to a small burst, and
// start from none whenever a limit starts or a host gets a share.
//
// Cold targets take few requests a second, and are treated like those that name such a limit
// (cold.go).
//
// The limit of a target that gets few requests is checked by probes. When a limit is lifted,
// the rate is raised step by step, so that traffic does not return all at once.
//
// The package does no I/O and does not read the clock. It is not safe for concurrent use.
//
// # Usage
//
//	l := ratelimit.New()
//	change := l.Observe(now, id, ratelimit.Observation{Report: report, SentAt: sent, Source: ratelimit.Response})
//	l.SetShare(now, id, 1)
//	if l.HasToken(now, id) { l.Spend(now, id) }
//	if l.CheckDue(now, id) { l.RecordProbe(now, id); ... probe the target ... }
package ratelimit

// This file defines Limits and how it learns of the limits of targets.

import (
	"math"
	"time"
)

const (
	// checkPeriod is the time after which a limit that was not heard again is checked by a
	// probe, and the minimum time between two probes of a limited target. Four probes fit
	// into four seconds, which even a limit of zero bears.
	checkPeriod = 1200 * time.Millisecond
	// trialAge is the age of a limit from which requests are sent at trialPerSecond if
	// probes do not show the limit, since then only a response to a request can lift it.
	trialAge       = 4 * time.Second
	trialPerSecond = 0.25
	// hostTolerance covers the transit time of an announcement.
	hostTolerance = 200 * time.Millisecond
	// maxAnnouncedAge is the age up to which a limit is announced to other hosts, and up to
	// which an announcement is used.
	maxAnnouncedAge = 5 * time.Second
	// maxPerSecond is the highest limit that is distinguished from higher ones.
	maxPerSecond = 1e6
	// forgetAge is the age at which a limit is dropped on a host that does not check it.
	forgetAge = 30 * time.Second
)

// Kind says what a response reports about the rate limit of its target.
type Kind uint8

// Kinds of reports.
const (
	// NoReport says nothing about a limit. An invalid limit counts as none reported.
	NoReport Kind = iota
	// Named names a limit.
	Named
	// Unlimited says that there is no limit.
	Unlimited
)

// Report is what a response says about the rate limit of its target.
type Report struct {
	Kind Kind `cbor:"1,keyasint,omitempty"`
	// PerSecond is the number of requests a second that the target takes from all hosts
	// together. It is zero or more, and may be a fraction.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// valid reports whether a report from another process can be used.
func (r Report) valid() bool {
	return r.Kind != Named || r.PerSecond >= 0 && !math.IsInf(r.PerSecond, 1)
}

// Source is where a host learned of a limit.
type Source string

// Sources of limits.
const (
	// Response is a response to a client request.
	Response Source = "response"
	// Probe is a response to a load probe.
	Probe Source = "probe"
	// Host is another host.
	Host Source = "host"
)

// Observation is a report with its context.
type Observation struct {
	Report
	// SentAt is a time before the target generated the response.
	SentAt time.Time
	Source Source
}

// Announcement is a limit as hosts announce it to each other.
type Announcement struct {
	Target    string  `cbor:"1,keyasint"`
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Age is the time since the limit was heard.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Change is the effect of an observation.
type Change int

// The possible changes.
const (
	Unchanged Change = iota
	Started
	Changed
	Lifted
)

func (c Change) String() string {
	return [...]string{"unchanged", "named", "changed", "lifted"}[c]
}

// state is what is known about the limit of one target.
type state struct {
	limited   bool
	perSecond float64
	// heardAt is the last time at which the limit was heard, and endedAt the time at which
	// it was lifted or the target restarted. The rate is raised until rampUntil.
	heardAt, endedAt, rampUntil time.Time
	// shownByProbes reports whether a probe has shown the limit, so that one without it
	// shows that it was lifted.
	shownByProbes bool
	// probedAt is the time of the last probe that this host sent.
	probedAt time.Time
	bucket   bucket
	cold     cold
}

// Limits holds the limits of all targets, as one host knows them.
type Limits struct {
	states map[string]*state
}

// New returns Limits without any limit.
func New() *Limits { return &Limits{states: map[string]*state{}} }

// Empty reports whether no target has, or recently had, a limit.
func (l *Limits) Empty() bool { return len(l.states) == 0 }

// Limit returns the limit that a target names, in requests a second.
func (l *Limits) Limit(id string) (perSecond float64, ok bool) {
	s := l.states[id]
	if s == nil || !s.limited {
		return 0, false
	}
	return s.perSecond, true
}

// Named returns the limits of all targets that name one.
func (l *Limits) Named() map[string]float64 {
	named := map[string]float64{}
	for id, s := range l.states {
		if s.limited {
			named[id] = s.perSecond
		}
	}
	return named
}

// Observe applies an observation.
func (l *Limits) Observe(now time.Time, id string, o Observation) Change {
	s := l.states[id]
	switch {
	case o.Kind == NoReport || !o.valid(), s == nil && o.Kind == Unlimited:
		return Unchanged
	case s == nil:
		s = &state{}
		l.states[id] = s
	}
	if o.Kind == Unlimited {
		return s.lift(now, o)
	}
	return s.name(now, now, o)
}

// ObserveAnnouncement applies a limit that another host announced.
func (l *Limits) ObserveAnnouncement(now time.Time, a Announcement) Change {
	o := Observation{Report: Report{Kind: Named, PerSecond: a.PerSecond}, Source: Host}
	heardAt := now.Add(-a.Age)
	if a.Age < 0 || a.Age > maxAnnouncedAge || !o.valid() {
		return Unchanged
	}
	s := l.states[a.Target]
	if s == nil {
		s = &state{}
		l.states[a.Target] = s
	}
	if !s.limited && heardAt.Before(s.endedAt.Add(hostTolerance)) || s.limited && heardAt.Before(s.heardAt.Add(hostTolerance)) {
		return Unchanged
	}
	o.SentAt = heardAt
	return s.name(now, heardAt, o)
}

// lift ends the limit unless the response may be older than the limit.
func (s *state) lift(now time.Time, o Observation) Change {
	if !s.limited || o.SentAt.Before(s.heardAt) || o.Source == Probe && !s.shownByProbes {
		return Unchanged
	}
	s.limited, s.endedAt, s.rampUntil = false, now, now.Add(rampTime)
	s.bucket.reset(now)
	return Lifted
}

// name applies a limit that was heard at heardAt, unless it is higher than the current one
// and may be older.
func (s *state) name(now, heardAt time.Time, o Observation) Change {
	o.PerSecond = min(o.PerSecond, maxPerSecond)
	change := Changed
	switch {
	case !s.limited:
		change = Started
	case o.PerSecond == s.perSecond:
		change = Unchanged
	case o.PerSecond > s.perSecond && o.SentAt.Before(s.heardAt):
		return Unchanged
	}
	switch change {
	case Started:
		s.bucket.reset(now)
	case Changed:
		// A lower limit must not start with a burst of the higher one.
		s.bucket.settle(now, s.rate(now))
		s.bucket.tokens = min(1, s.bucket.tokens)
	default:
	}
	s.limited, s.perSecond, s.heardAt = true, o.PerSecond, heardAt
	s.shownByProbes = s.shownByProbes || o.Source == Probe
	return change
}

// Announcement returns the limit of a target to announce it to another host, unless it was not
// heard recently.
func (l *Limits) Announcement(now time.Time, id string) (a Announcement, ok bool) {
	s := l.states[id]
	if s == nil || !s.limited || now.Sub(s.heardAt) > maxAnnouncedAge {
		return a, false
	}
	return Announcement{Target: id, PerSecond: s.perSecond, Age: max(0, now.Sub(s.heardAt))}, true
}

// CheckDue reports whether the limit of a target should be checked by a probe now.
func (l *Limits) CheckDue(now time.Time, id string) bool {
	s := l.states[id]
	return s != nil && s.limited && s.bucket.share > 0 && now.Sub(s.heardAt) >= checkPeriod && now.Sub(s.probedAt) >= checkPeriod
}

// MayProbe reports whether a target may be probed for its load now. One that names a limit
// is probed only by the host that uses it in full, and only as often as its limit is
// checked. A cold one is probed only by the hosts that may send requests to it.
func (l *Limits) MayProbe(now time.Time, id string) bool {
	s := l.states[id]
	if s == nil {
		return true
	}
	return s.mayProbeCold(now) && (!s.limited || s.bucket.share >= 1 && now.Sub(s.probedAt) >= checkPeriod)
}

// RecordProbe records that a target is probed.
func (l *Limits) RecordProbe(now time.Time, id string) {
	if s := l.states[id]; s != nil {
		s.probedAt = now
	}
}

// Forget drops the limit of a target that restarted. What other hosts heard before does not
// bring it back.
func (l *Limits) Forget(now time.Time, id string) {
	l.states[id] = &state{endedAt: now}
}

// Expire drops what is known of limits that were lifted long ago, and of limits that were not
// heard for long, unless this host is the one that uses and checks them.
func (l *Limits) Expire(now time.Time) {
	for id, s := range l.states {
		last := s.heardAt
		if !s.limited {
			last = s.endedAt
		}
		if s.isCold(now) || s.coldRamping(now) {
			continue
		}
		if now.Sub(last) > forgetAge && (!s.limited || s.bucket.share < 1) {
			delete(l.states, id)
		}
	}
}

// Retain drops the limits of targets that do not exist any more.
func (l *Limits) Retain(exists func(id string) bool) {
	for id := range l.states {
		if !exists(id) {
			delete(l.states, id)
		}
	}
}
