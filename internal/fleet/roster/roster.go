// Package roster tracks the targets according to their entries in the metadata store, and
// decides which of them get new requests.
//
// A draining target gets no new requests, and neither does one whose failure domain is evacuated. An entry that is deleted around an outage of
// the store may belong to a target that only failed to renew it; such a target is kept
// until a re-registration timeout has passed.
//
// The package does no I/O and does not read the clock. It is not safe for concurrent use.
//
// # Usage
//
//	r := roster.New(2 * time.Second)
//	r.Replace(now, targets)            // after a full read
//	r.Put(now, target)                 // an entry changed
//	r.Remove(now, id)                  // an entry was deleted
//	r.SetEvacuated(now, domain, true)  // a failure domain is evacuated
//	targets, withheld := r.Active()
package roster

// This file defines Target and Roster.

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
)

// Target is a server process that handles requests. It is the content of its entry in the
// store.
type Target struct {
	ID      string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	Service string         `cbor:"3,keyasint"`
	Domain  string         `cbor:"4,keyasint"`
	Slots   int            `cbor:"5,keyasint"`
	// Draining targets finish their running requests and get no new ones.
	Draining bool `cbor:"6,keyasint"`
	// ColdTime is the time for which the target stays slow after its entry was written.
	ColdTime time.Duration `cbor:"7,keyasint"`
	// Started is the start time of the target by its own clock; zero if unknown.
	Started time.Time `cbor:"8,keyasint"`
	// Sequence counts the entries that the target has written since its start.
	Sequence int64 `cbor:"9,keyasint"`
}

// WrittenAfter reports whether the target wrote this entry after the other one: in a
// later run, or later in the same run.
func (t *Target) WrittenAfter(other Target) bool {
	if !t.Started.Equal(other.Started) {
		return t.Started.After(other.Started)
	}
	return t.Sequence > other.Sequence
}

// SameRun reports whether two entries are of the same run of a target, at the same address.
func (t *Target) SameRun(other Target) bool {
	return t.Started.Equal(other.Started) && t.Address == other.Address
}

// Change is the effect of an update on a target.
type Change int

// The possible changes.
const (
	Unchanged Change = iota
	Joined
	Restarted
	Draining
	Left
	// Lapsed targets lost their entry around an outage of the store, which may be the
	// only cause.
	Lapsed
	Returned
	// Resumed targets drained and are ready again.
	Resumed
)

func (c Change) String() string {
	return [...]string{"unchanged", "joined", "restarted", "draining", "left", "lapsed", "returned", "resumed"}[c]
}

// record is a target and the state that the roster keeps for it.
type record struct {
	target Target
	// coldUntil is the time until which the target is slow.
	coldUntil time.Time
	// removeAt is the time at which a lapsed target is removed; zero while the entry
	// exists.
	removeAt time.Time
	// unknownSince is the time since which it is not known whether the target is cold, unless
	// something newer says so.
	unknownSince time.Time
}

// Roster holds the targets. The zero value is not usable.
type Roster struct {
	reregisterTimeout time.Duration
	records           map[string]*record
	// outageUntil is the time until which the deletion of an entry may be due to an
	// outage.
	outageUntil time.Time
	// evacuated holds the failure domains that are evacuated; nil if none is. A map that Evacuated
	// has returned does not change.
	evacuated map[string]bool
}

// New returns an empty roster. Targets whose entries lapsed during an outage of the store
// are removed unless they register again within reregisterTimeout.
func New(reregisterTimeout time.Duration) *Roster {
	return &Roster{reregisterTimeout: reregisterTimeout, records: map[string]*record{}}
}

// RecordOutage records that the store was unavailable until now.
func (r *Roster) RecordOutage(now time.Time) { r.outageUntil = now.Add(r.reregisterTimeout) }

// AroundOutage reports whether a missing entry may be due to an outage of the store, after which
// targets register again.
func (r *Roster) AroundOutage(now time.Time) bool { return now.Before(r.outageUntil) }

// Put applies the entry of a target.
func (r *Roster) Put(now time.Time, t Target) Change {
	old := r.records[t.ID]
	next := &record{target: t, coldUntil: now.Add(t.ColdTime), unknownSince: now}
	r.records[t.ID] = next
	if old != nil && old.target.SameRun(t) && old.removeAt.IsZero() {
		next.unknownSince = old.unknownSince
	}
	switch {
	case old == nil:
		return Joined
	case !old.target.SameRun(t):
		return Restarted
	case t.Draining && !old.target.Draining:
		return Draining
	case !old.removeAt.IsZero():
		return Returned
	case old.target.Draining && !t.Draining:
		return Resumed
	}
	return Unchanged
}

// Remove applies the deletion of an entry.
func (r *Roster) Remove(now time.Time, id string) Change {
	rec := r.records[id]
	if rec == nil {
		return Unchanged
	}
	if r.AroundOutage(now) && !rec.target.Draining {
		if rec.removeAt.IsZero() {
			rec.removeAt, rec.unknownSince = r.outageUntil, now
		}
		return Lapsed
	}
	delete(r.records, id)
	return Left
}

// Delete removes a target without regard to outages.
func (r *Roster) Delete(id string) { delete(r.records, id) }

// Replace applies all entries of a full read, and reports each change.
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

// Expire removes and reports the lapsed targets that did not register again in time.
func (r *Roster) Expire(now time.Time, report func(id string, c Change)) {
	for id, rec := range r.records {
		if !rec.removeAt.IsZero() && now.After(rec.removeAt) {
			delete(r.records, id)
			report(id, Left)
		}
	}
}

// ActiveTarget is a target that may get new requests.
type ActiveTarget struct {
	Target
	ColdUntil time.Time
	// Lapsed reports whether the entry was deleted around an outage of the store.
	Lapsed bool
	// UnknownSince is the time since which it is not known whether the target is cold, unless
	// something newer says so: it joined, restarted, lapsed or returned then, or the evacuation of
	// its failure domain ended.
	UnknownSince time.Time
}

// AppliedAt returns the time at which the entry was applied.
func (t *ActiveTarget) AppliedAt() time.Time { return t.ColdUntil.Add(-t.ColdTime) }

// WithheldTarget is a target that gets no new requests, and why.
type WithheldTarget struct {
	ID      string
	Service string
	Domain  string
	Reason  eligibility.Reason
}

// Active returns the targets that may get new requests, and those that may not, by service and
// sorted by ID. The second map is nil if there are none of these.
func (r *Roster) Active() (active map[string][]ActiveTarget, withheld map[string][]WithheldTarget) {
	active = map[string][]ActiveTarget{}
	for _, rec := range r.records {
		s := rec.target.Service
		v := eligibility.Decide(eligibility.Facts{Evacuated: r.evacuated[rec.target.Domain], Draining: rec.target.Draining})
		if v.Grade == eligibility.Nothing {
			if withheld == nil {
				withheld = map[string][]WithheldTarget{}
			}
			withheld[s] = append(withheld[s], WithheldTarget{ID: rec.target.ID, Service: s, Domain: rec.target.Domain, Reason: v.Reason})
			continue
		}
		active[s] = append(active[s], ActiveTarget{Target: rec.target, ColdUntil: rec.coldUntil, Lapsed: !rec.removeAt.IsZero(), UnknownSince: rec.unknownSince})
	}
	for _, list := range active {
		slices.SortFunc(list, func(a, b ActiveTarget) int { return strings.Compare(a.ID, b.ID) })
	}
	for _, list := range withheld {
		slices.SortFunc(list, func(a, b WithheldTarget) int { return strings.Compare(a.ID, b.ID) })
	}
	return active, withheld
}

// SetEvacuated begins or ends the evacuation of a failure domain, and reports whether that is new.
// When it ends, the targets of the domain may have become cold meanwhile.
func (r *Roster) SetEvacuated(now time.Time, domain string, evacuated bool) bool {
	if r.evacuated[domain] == evacuated {
		return false
	}
	next := maps.Clone(r.evacuated)
	if next == nil {
		next = map[string]bool{}
	}
	if evacuated {
		next[domain] = true
	} else {
		delete(next, domain)
		for _, rec := range r.records {
			if rec.target.Domain == domain {
				rec.unknownSince = now
			}
		}
	}
	r.evacuated = next
	if len(next) == 0 {
		r.evacuated = nil
	}
	return true
}

// Evacuated returns the failure domains that are evacuated; nil if none is. The caller must not
// change the map.
func (r *Roster) Evacuated() map[string]bool { return r.evacuated }

// CountIn returns the number of targets in a failure domain.
func (r *Roster) CountIn(domain string) int {
	n := 0
	for _, rec := range r.records {
		if rec.target.Domain == domain {
			n++
		}
	}
	return n
}

// Get returns a target, and false if there is none with this ID.
func (r *Roster) Get(id string) (Target, bool) {
	rec := r.records[id]
	if rec == nil {
		return Target{}, false
	}
	return rec.target, true
}

// Len returns the number of targets.
func (r *Roster) Len() int { return len(r.records) }
