// Package notice keeps what targets say of themselves in their responses: that they leave,
// and for how long they want no requests of this host.
//
// A notice belongs to one incarnation of a target: a process that starts again under the same
// ID has said nothing yet. That a target leaves is true for all hosts and holds as long as the
// incarnation lives, whatever later responses say. A pause is between one host and one target,
// and ends by itself.
//
// The package does no I/O and does not read the clock. It is not safe for concurrent use.
//
// # Usage
//
//	d := notice.NewDepartures()
//	if d.Record(now, notice.NewIncarnation(id, started)) { ... log it ... }
//	if d.Leaving(notice.NewIncarnation(id, started)) { ... use another target ... }
//	p := notice.NewPauses()
//	p.Record(now, incarnation, 3*time.Second)
//	if until, ok := p.Until(now, incarnation); ok { ... wait ... }
package notice

// This file defines Incarnation, Departures and Pauses.

import (
	"maps"
	"time"
)

const (
	// departureRetention is the time for which the departure of a target without an entry is
	// kept: an entry that lapsed may come back.
	departureRetention = 10 * time.Minute
	// maxDepartures bounds the departures that are kept.
	maxDepartures = 1 << 14
	// MaxPause bounds a pause. A target that asks for more is asked again after that.
	MaxPause = 24 * time.Hour
)

// Incarnation identifies one run of a target.
type Incarnation struct {
	Target string `cbor:"1,keyasint"`
	// Started is the start of the target by its own clock, in Unix milliseconds.
	Started int64 `cbor:"2,keyasint,omitempty"`
}

// NewIncarnation returns the run of a target that started at a time, by its own clock.
func NewIncarnation(target string, started time.Time) Incarnation {
	return Incarnation{Target: target, Started: started.UnixMilli()}
}

// Notice is what a target says of itself in a response.
type Notice struct {
	Incarnation
	Leaving bool
	// Pause is the time for which the target wants no requests of the host that it responded
	// to; zero if it does not say.
	Pause time.Duration
	// Through is the host through which the request was sent, so that the target responded to
	// that one; empty for this host.
	Through string
}

// Departures holds the targets that leave.
type Departures struct {
	// seen is the last time at which the target had an entry, or the departure was recorded.
	seen map[Incarnation]time.Time
}

// NewDepartures returns Departures without any.
func NewDepartures() *Departures { return &Departures{seen: map[Incarnation]time.Time{}} }

// Empty reports whether no target leaves.
func (d *Departures) Empty() bool { return len(d.seen) == 0 }

// Record records that a target leaves, and reports whether that is new.
func (d *Departures) Record(now time.Time, i Incarnation) bool {
	if _, ok := d.seen[i]; ok {
		return false
	}
	if len(d.seen) >= maxDepartures {
		d.dropOldest()
	}
	d.seen[i] = now
	return true
}

// Leaving reports whether a target leaves.
func (d *Departures) Leaving(i Incarnation) bool {
	_, ok := d.seen[i]
	return ok
}

// Expire drops the departures of targets that have had no entry for long. listed reports
// whether a target has one.
func (d *Departures) Expire(now time.Time, listed func(i Incarnation) bool) {
	for i, at := range d.seen {
		switch {
		case listed(i):
			d.seen[i] = now
		case now.Sub(at) > departureRetention:
			delete(d.seen, i)
		}
	}
}

func (d *Departures) dropOldest() {
	var oldest Incarnation
	var at time.Time
	for i, seen := range d.seen {
		if at.IsZero() || seen.Before(at) {
			oldest, at = i, seen
		}
	}
	delete(d.seen, oldest)
}

// Pauses holds the targets that want no requests of this host for some time.
type Pauses struct {
	until map[Incarnation]time.Time
}

// NewPauses returns Pauses without any.
func NewPauses() *Pauses { return &Pauses{until: map[Incarnation]time.Time{}} }

// Empty reports whether no pause is recorded.
func (p *Pauses) Empty() bool { return len(p.until) == 0 }

// Record records that a target wants no requests of this host for some time from now on. A
// pause that is in force already is not shortened. It reports whether there was none.
func (p *Pauses) Record(now time.Time, i Incarnation, length time.Duration) (started bool) {
	if length <= 0 {
		return false
	}
	before, ok := p.Until(now, i)
	if until := now.Add(min(length, MaxPause)); until.After(before) {
		p.until[i] = until
	}
	return !ok
}

// Until returns the end of the pause of a target, and false if there is none now.
func (p *Pauses) Until(now time.Time, i Incarnation) (time.Time, bool) {
	until, ok := p.until[i]
	return until, ok && now.Before(until)
}

// Expire drops the pauses that have ended.
func (p *Pauses) Expire(now time.Time) {
	maps.DeleteFunc(p.until, func(_ Incarnation, until time.Time) bool { return !now.Before(until) })
}
