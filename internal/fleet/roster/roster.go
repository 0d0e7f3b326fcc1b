// Package roster holds what is known of the targets from their entries in the
// metadata store, and decides which of them take new work.
//
// A target that leaves takes no new work at once. An entry can also lapse because
// its target could not reach the store; such a target is kept until the time is
// over within which it would have come back.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	r := roster.New(2 * time.Second)
//	r.Replace(now, targets)            // after a full read
//	r.Put(now, target)                 // an entry changed
//	r.Remove(now, id)                  // an entry ended
//	targets := r.Active(now)
package roster

// This file defines Target and Roster.

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Target is a server process that runs requests, as its entry describes it.
type Target struct {
	ID      string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	Service string         `cbor:"3,keyasint"`
	Domain  string         `cbor:"4,keyasint"`
	Slots   int            `cbor:"5,keyasint"`
	// Draining targets end what they run and take nothing new.
	Draining bool `cbor:"6,keyasint"`
	// Cold is the time for which the target stays slow, as of its entry.
	Cold time.Duration `cbor:"7,keyasint"`
	// Started is the time of the target's start, by its own clock; zero if unknown.
	Started time.Time `cbor:"8,keyasint"`
	// Sequence counts the entries that the target wrote since its start.
	Sequence int64 `cbor:"9,keyasint"`
}

// WrittenAfter reports whether a target wrote its entry after another one of it: by a later
// run, or later in the same one.
func (t *Target) WrittenAfter(other Target) bool {
	if !t.Started.Equal(other.Started) {
		return t.Started.After(other.Started)
	}
	return t.Sequence > other.Sequence
}

// Change is what became of a target.
type Change int

// The changes.
const (
	Unchanged Change = iota
	Joined
	Restarted
	Draining
	Left
	// Lapsed targets lost their entry, maybe only because of the store.
	Lapsed
	Returned
)

func (c Change) String() string {
	return [...]string{"unchanged", "joined", "restarted", "draining", "left", "lapsed", "returned"}[c]
}

// record is a target with what the roster knows besides its entry.
type record struct {
	target Target
	// coldUntil is the time until which the target is slow.
	coldUntil time.Time
	// lapsed is the time at which a lapsed target counts as gone; zero while the
	// entry exists.
	lapsed time.Time
}

// Roster holds the targets. The zero value is not usable.
type Roster struct {
	returnTime time.Duration
	records    map[string]*record
	// outage is the time up to which the end of an entry may be due to an outage.
	outage time.Time
}

// New returns an empty roster. returnTime is the time within which a target comes
// back whose entry lapsed during an outage of the store.
func New(returnTime time.Duration) *Roster {
	return &Roster{returnTime: returnTime, records: map[string]*record{}}
}

// Outage notes that the store was away until now.
func (r *Roster) Outage(now time.Time) { r.outage = now.Add(r.returnTime) }

// Put takes in the entry of a target.
func (r *Roster) Put(now time.Time, t Target) Change {
	old := r.records[t.ID]
	next := &record{target: t, coldUntil: now.Add(t.Cold)}
	r.records[t.ID] = next
	switch {
	case old == nil:
		return Joined
	case !old.target.Started.Equal(t.Started) || old.target.Address != t.Address:
		return Restarted
	case t.Draining && !old.target.Draining:
		return Draining
	case !old.lapsed.IsZero():
		return Returned
	}
	return Unchanged
}

// Remove takes in the end of an entry.
func (r *Roster) Remove(now time.Time, id string) Change {
	rec := r.records[id]
	if rec == nil {
		return Unchanged
	}
	if now.Before(r.outage) && !rec.target.Draining {
		if rec.lapsed.IsZero() {
			rec.lapsed = r.outage
		}
		return Lapsed
	}
	delete(r.records, id)
	return Left
}

// Replace takes in all entries after a full read, and reports each change.
func (r *Roster) Replace(now time.Time, targets []Target, report func(id string, c Change)) {
	listed := map[string]bool{}
	for _, t := range targets {
		listed[t.ID] = true
		if c := r.Put(now, t); c != Unchanged {
			report(t.ID, c)
		}
	}
	for id := range r.records {
		if !listed[id] {
			if c := r.Remove(now, id); c != Unchanged {
				report(id, c)
			}
		}
	}
}

// Expire removes the lapsed targets that did not come back, and reports them.
func (r *Roster) Expire(now time.Time, report func(id string, c Change)) {
	for id, rec := range r.records {
		if !rec.lapsed.IsZero() && now.After(rec.lapsed) {
			delete(r.records, id)
			report(id, Left)
		}
	}
}

// Active is a target that may get new work.
type Active struct {
	Target
	ColdUntil time.Time
	// Lapsed says that the entry ended around an outage of the store.
	Lapsed bool
}

// Active returns the targets that may get new work, by service and sorted by id.
func (r *Roster) Active() map[string][]Active {
	active := map[string][]Active{}
	for _, rec := range r.records {
		if rec.target.Draining {
			continue
		}
		s := rec.target.Service
		active[s] = append(active[s], Active{Target: rec.target, ColdUntil: rec.coldUntil, Lapsed: !rec.lapsed.IsZero()})
	}
	for _, list := range active {
		slices.SortFunc(list, func(a, b Active) int { return strings.Compare(a.ID, b.ID) })
	}
	return active
}

// Targets returns the number of known targets.
func (r *Roster) Targets() int { return len(r.records) }
