package directory

// This file defines how a State treats entries of targets that the store applied late: after a
// newer entry, or after the deletion of the entry. The store may apply a write that got no response
// seconds later, and without a condition it then replaces what was written in between.

import (
	"time"

	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// setAsideEntry is an entry that does not count for now, because its target wrote a newer one.
type setAsideEntry struct {
	// item is what the store holds, and target its content.
	item   store.Item
	target roster.Target
	// newest is the newer entry. If that was deleted, it is a deletion with the last value.
	newest store.Item
	// uncertain reports whether no newer entry is known: the target may have ended before this host
	// first read the store.
	uncertain bool
}

// newestEntry is an entry of a target that counts in place of the one that the store holds, for
// some time from now on.
type newestEntry struct {
	Item store.Item    `cbor:"1,keyasint"`
	Left time.Duration `cbor:"2,keyasint"`
}

// setAsideTarget keeps the newest entry of a target in force. old is the state of the key before
// item.
func (s *State) setAsideTarget(item store.Item, t roster.Target, old keyState, reason string) {
	newest := store.Item{Key: item.Key, Value: old.value, Revision: old.revision, Deleted: old.deleted}
	before, ok := s.setAside[item.Key]
	if ok {
		newest = before.newest
	}
	s.setAside[item.Key] = setAsideEntry{item: item, target: t, newest: newest, uncertain: before.uncertain}
	s.log(reason, map[string]any{
		fieldTarget: t.ID, fieldSequence: t.Sequence, "draining": t.Draining, "known": newest.Revision.String(), "ended": newest.Deleted, fieldRevision: item.Revision.String(),
	})
}

// setAsideUncertain withholds an entry of a target that may have ended before this host first read
// the store, until the target writes another one at its regular interval or protection has passed.
func (s *State) setAsideUncertain(now time.Time, item store.Item, t roster.Target, protection time.Duration) {
	s.setAside[item.Key] = setAsideEntry{item: item, target: t, uncertain: true}
	s.order.RecordUncertain(now, t, protection)
	s.log("target may have ended before this host started, waiting for another entry", map[string]any{
		fieldTarget: t.ID, fieldSequence: t.Sequence, fieldRevision: item.Revision.String(),
		"known-for-ms": now.Sub(s.order.Since()).Milliseconds(), "waits-ms": protection.Milliseconds(),
	})
}

// restoreSetAside puts entries in force that have been set aside for so long that their targets must
// still be writing, and reports whether there were any.
func (s *State) restoreSetAside(now time.Time) (changed bool) {
	for key, e := range s.setAside {
		if !now.After(s.order.ProtectedUntil(e.target.ID)) {
			continue
		}
		delete(s.setAside, key)
		s.log("entry that was set aside is in force", map[string]any{fieldTarget: e.target.ID, fieldSequence: e.target.Sequence, fieldRevision: e.item.Revision.String()})
		s.putTarget(now, e.target, e.item.Revision)
		changed = true
	}
	return changed
}

// newestEntries returns the entries that count in place of those that the store holds, with the
// times until which they do.
func (s *State) newestEntries() []protectedEntry {
	if len(s.setAside) == 0 {
		return nil
	}
	list := make([]protectedEntry, 0, len(s.setAside))
	for _, e := range s.setAside {
		if !e.uncertain {
			list = append(list, protectedEntry{item: e.newest, until: s.order.ProtectedUntil(e.target.ID)})
		}
	}
	return list
}

// protectedEntry is an entry that counts until some time in place of what the store holds.
type protectedEntry struct {
	item  store.Item
	until time.Time
}

// encodeNewest returns entries in the form in which they are sent at a time.
func encodeNewest(now time.Time, list []protectedEntry) []newestEntry {
	var encoded []newestEntry
	for _, e := range list {
		if left := e.until.Sub(now); left > 0 {
			encoded = append(encoded, newestEntry{Item: e.item, Left: left})
		}
	}
	return encoded
}

// ApplyNewest applies what another host knows of a target whose entry in the store is late. This
// host may have found only that one in the store. It reports whether the view changed.
func (s *State) ApplyNewest(now time.Time, n newestEntry) (changed bool) {
	id, ok := s.decoder.TargetID(n.Item.Key)
	held, known := s.keys[n.Item.Key]
	if !ok || n.Left <= 0 || !known || held.deleted || !held.revision.After(n.Item.Revision) {
		return false
	}
	if e, aside := s.setAside[n.Item.Key]; aside && !n.Item.Revision.After(e.newest.Revision) {
		return false
	}
	newest, err := s.decoder.Target(id, n.Item.Value)
	if err != nil {
		s.warn("another host sent an invalid target entry", map[string]any{fieldTarget: id, fieldError: err.Error()})
		return false
	}
	late, err := s.decoder.Target(id, held.value)
	precedes := newest.WrittenAfter(late) || n.Item.Deleted && !late.WrittenAfter(newest)
	if err != nil || !precedes {
		return false
	}
	s.setAside[n.Item.Key] = setAsideEntry{
		item: store.Item{Key: n.Item.Key, Value: held.value, Revision: held.revision}, target: late, newest: n.Item,
	}
	s.log("another host knows a newer entry", map[string]any{
		fieldTarget: id, fieldSequence: late.Sequence, "known": n.Item.Revision.String(), "ended": n.Item.Deleted, fieldRevision: held.revision.String(),
	})
	at := protectedSince(now, n.Left)
	s.order.Record(at, newest)
	s.keepChanged(id)
	s.targetChanged(id, held.revision, s.roster.Put(now, newest))
	if n.Item.Deleted {
		s.order.RecordGone(at, id)
		s.targetChanged(id, held.revision, s.roster.Remove(now, id))
	}
	return true
}
