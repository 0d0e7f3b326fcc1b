package directory

// This file defines what hosts tell each other of targets that ended. A host that starts finds no
// trace of them in the store, and the store may still apply an entry that one of them has written.

import (
	"time"

	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// memory is what a host knows of entries that do not count.
type memory struct {
	// newest holds the entries of targets that count in place of those that the store holds.
	newest []protectedEntry
	// uncertain holds the entries of the store whose targets may have ended before any host started.
	uncertain []protectedEntry
	// ended holds the last entries of targets that ended less than roster.LateWriteTime ago.
	ended []protectedEntry
	// since is the time from which the end of every target is known; zero if there is none.
	since time.Time
	// config is the configuration in force if the store holds an older one, and version its version.
	config  []byte
	version uint64
}

// peerMemory is the memory of another host, as it is sent.
type peerMemory struct {
	// Since is the time for which that host has known of the end of every target.
	Since     time.Duration `cbor:"1,keyasint"`
	Ended     []newestEntry `cbor:"2,keyasint,omitempty"`
	Uncertain []newestEntry `cbor:"3,keyasint,omitempty"`
	// Config is a configuration that is newer than that of the host which asked and than that in the store.
	Config []byte `cbor:"4,keyasint,omitempty"`
}

// encode returns the memory in the form in which it is sent at a time to a host with a version of the configuration; nil
// if nothing is known yet.
func (m *memory) encode(now time.Time, version uint64) *peerMemory {
	if m.since.IsZero() {
		return nil
	}
	p := &peerMemory{Since: now.Sub(m.since), Ended: encodeNewest(now, m.ended), Uncertain: encodeNewest(now, m.uncertain)}
	if m.version > version {
		p.Config = m.config
	}
	return p
}

// memory returns what this host knows of entries that do not count.
func (s *State) memory(now time.Time) memory {
	m := memory{newest: s.newestEntries(), uncertain: s.uncertainEntries(), ended: s.endedEntries(now), since: s.order.Since()}
	if s.configAhead {
		m.config, m.version = s.configValue, s.table.Config.Version
	}
	return m
}

// uncertainEntries returns the entries of the store that are withheld although no newer ones are
// known, with the times until which they are.
func (s *State) uncertainEntries() []protectedEntry {
	var list []protectedEntry
	for _, e := range s.setAside {
		if e.uncertain {
			list = append(list, protectedEntry{item: e.item, until: s.order.ProtectedUntil(e.target.ID)})
		}
	}
	return list
}

// endedEntries returns the last entries of the targets that ended within roster.LateWriteTime, with
// the times until which older entries of theirs may arrive.
func (s *State) endedEntries(now time.Time) []protectedEntry {
	var list []protectedEntry
	for i := len(s.tombstones) - 1; i >= 0 && now.Sub(s.tombstones[i].at) <= roster.LateWriteTime; i-- {
		d := s.tombstones[i]
		k := s.keys[d.key]
		id, ok := s.decoder.TargetID(d.key)
		if _, active := s.roster.Get(id); !ok || active || !k.deleted || len(k.value) == 0 || k.revision != d.revision {
			continue
		}
		list = append(list, protectedEntry{item: store.Item{Key: d.key, Value: k.value, Revision: k.revision, Deleted: true}, until: d.at.Add(roster.LateWriteTime)})
	}
	return list
}

// ApplyMemory applies what another host, whose view has reached a revision, knows of targets that
// ended and of a newer configuration. It reports whether the view changed.
func (s *State) ApplyMemory(now time.Time, reached store.Revision, m *peerMemory) (changed bool) {
	if len(m.Config) > 0 {
		changed = s.applyConfigOfHost(m.Config)
	}
	for _, n := range m.Ended {
		s.applyEnded(now, n)
		changed = s.ApplyNewest(now, n) || changed
	}
	// A host that is behind may not know yet of targets that ended before this host first read the
	// store.
	if !s.loadedRevision.After(reached) && m.Since > 0 {
		s.order.Extend(now.Add(-m.Since))
	}
	for _, n := range m.Uncertain {
		changed = s.applyUncertain(now, n) || changed
	}
	return changed
}

// applyEnded records the last entry of a target of which this host knows nothing.
func (s *State) applyEnded(now time.Time, n newestEntry) {
	id, ok := s.decoder.TargetID(n.Item.Key)
	if _, known := s.keys[n.Item.Key]; !ok || known || n.Left <= 0 || !n.Item.Deleted {
		return
	}
	t, err := s.decoder.Target(id, n.Item.Value)
	if err != nil {
		s.warn("another host sent an invalid target entry", map[string]any{fieldTarget: id, fieldError: err.Error()})
		return
	}
	at := protectedSince(now, n.Left)
	s.order.Record(at, t)
	s.order.RecordGone(at, id)
}

// applyUncertain withholds an entry that this host found when it started, if another host has seen
// it arrive after that host first read the store.
func (s *State) applyUncertain(now time.Time, n newestEntry) (changed bool) {
	id, ok := s.decoder.TargetID(n.Item.Key)
	held, known := s.keys[n.Item.Key]
	if !ok || n.Left <= 0 || !known || held.deleted || held.revision != n.Item.Revision || held.revision.After(s.loadedRevision) || !s.order.MissesEnds(now) {
		return false
	}
	t, err := s.decoder.Target(id, held.value)
	if _, active := s.roster.Get(id); err != nil || !active || t.Draining {
		return false
	}
	if _, aside := s.setAside[n.Item.Key]; aside {
		return false
	}
	item := store.Item{Key: n.Item.Key, Value: held.value, Revision: held.revision}
	s.setAsideUncertain(now, item, t, min(n.Left, s.order.SilenceTime()))
	s.keepChanged(id)
	s.roster.Delete(id)
	s.targetChanged(id, held.revision, roster.Left)
	return true
}

// protectedSince returns the time from which an entry counts as known whose protection ends after
// left.
func protectedSince(now time.Time, left time.Duration) time.Time {
	return now.Add(min(left, roster.LateWriteTime) - roster.LateWriteTime)
}
