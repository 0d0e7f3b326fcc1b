// Package ratelimit tracks the rate limits that targets name for all hosts together.
//
// A target in need names in its responses how many requests a second it takes. The limit
// holds from then on until a response says otherwise. Responses can arrive out of order, so
// a limit is raised or lifted only by a response to a request that was sent after the
// current limit was heard; a lower limit holds at once.
//
// The package does no I/O and does not read the clock. It is not safe for concurrent use.
//
// # Usage
//
//	l := ratelimit.New()
//	change := l.Observe(now, id, ratelimit.Observation{Report: report, SentAt: sent, Source: ratelimit.Response})
//	limit, ok := l.Limit(id)
package ratelimit

// This file defines Limits and the reports of targets.

import (
	"time"
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
	// heardAt is the last time at which the limit was heard.
	heardAt time.Time
}

// Limits holds the limits of all targets, as one host knows them.
type Limits struct {
	states map[string]*state
}

// New returns Limits without any limit.
func New() *Limits { return &Limits{states: map[string]*state{}} }

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
	case o.Kind == NoReport, s == nil && o.Kind == Unlimited:
		return Unchanged
	case s == nil:
		s = &state{}
		l.states[id] = s
	}
	if o.Kind == Unlimited {
		return s.lift(o.SentAt)
	}
	return s.name(now, o)
}

// lift ends the limit unless the response may be older than the limit.
func (s *state) lift(sentAt time.Time) Change {
	if !s.limited || sentAt.Before(s.heardAt) {
		return Unchanged
	}
	s.limited = false
	return Lifted
}

// name applies a named limit, unless it is higher than the current one and may be older.
func (s *state) name(now time.Time, o Observation) Change {
	change := Changed
	switch {
	case !s.limited:
		change = Started
	case o.PerSecond == s.perSecond:
		change = Unchanged
	case o.PerSecond > s.perSecond && o.SentAt.Before(s.heardAt):
		return Unchanged
	}
	s.limited, s.perSecond, s.heardAt = true, o.PerSecond, now
	return change
}

// Forget drops the limit of a target that restarted.
func (l *Limits) Forget(id string) { delete(l.states, id) }

// Retain drops the limits of targets that do not exist any more.
func (l *Limits) Retain(exists func(id string) bool) {
	for id := range l.states {
		if !exists(id) {
			delete(l.states, id)
		}
	}
}
