package roster

// This file defines Order, which tells the entry that a target wrote last from older ones that the
// store applies later.

import "time"

const (
	// LateWriteTime is the longest time after which the store applies a write that got no response.
	LateWriteTime = 10 * time.Second
	// goneRetention is the time for which the last entry of a target that is gone is kept, and
	// maxGone bounds the number of these entries.
	goneRetention = 10 * time.Minute
	maxGone       = 1 << 14
	// maxEntryRate is the number of entries a second that a target may write in the long run, and
	// maxEntryBurst the number beyond that.
	maxEntryRate  = 4
	maxEntryBurst = 100
	// maxClockDifference bounds the difference between the clocks of a target and a host.
	maxClockDifference = time.Minute
	// firstSequence is the count of the first entry of a run.
	firstSequence = 1
	// silentHeartbeats is the number of heartbeat intervals of silence after which the store removes
	// the entry of a target, and removalDelay bounds the time until a host has seen that.
	silentHeartbeats = 3
	removalDelay     = time.Second
	// regularDivisor gives the part of the heartbeat interval by which the times between the entries of
	// a target that lives may differ from it.
	regularDivisor = 5
)

// Order knows the entry that each target wrote last, by its start time and its count of entries.
// An entry that was written before that one is late: the store applied it after the newer one. This
// holds for LateWriteTime, after which an older entry must come from a target that still writes:
// something else has written the newest one.
//
// An Order cannot know of targets that ended before it began. For LateWriteTime after that, the
// entry of an unknown target that has written others before may be late, too. Such an entry is
// uncertain until the target writes another one at its regular interval, or until the store would have
// removed it if the target were silent.
type Order struct {
	marks map[string]mark
	// since is the time from which the end of every target is known; zero if nothing is known yet.
	since time.Time
	// heartbeat is the interval at which targets write entries; zero if unknown.
	heartbeat time.Duration
	// gone holds the targets that are gone in the order of their ends.
	gone []goneTarget
}

// mark is the entry that a target wrote last.
type mark struct {
	target Target
	// at is the time at which it was applied.
	at time.Time
	// credible reports whether the target itself can have written it.
	credible bool
	// goneAt is the time at which the entry was deleted; zero while it exists.
	goneAt time.Time
	// uncertainSince is the time at which an uncertain entry was applied. Such an entry is treated as
	// the last one of a target that is gone. It is zero for other entries.
	uncertainSince time.Time
}

type goneTarget struct {
	id string
	at time.Time
}

// NewOrder returns an Order that knows no entries.
func NewOrder() *Order { return &Order{marks: map[string]mark{}} }

// SetHeartbeat sets the interval at which targets write entries.
func (o *Order) SetHeartbeat(interval time.Duration) { o.heartbeat = interval }

// Begin records that the ends of targets before a time are unknown.
func (o *Order) Begin(at time.Time) { o.since = at }

// Extend records that the ends of targets from an earlier time on are known as well.
func (o *Order) Extend(since time.Time) {
	if since.Before(o.since) {
		o.since = since
	}
}

// Since returns the time from which the end of every target is known; zero if there is none.
func (o *Order) Since() time.Time { return o.since }

// MissesEnds reports whether a target may have ended unseen so short a time ago that an entry of it
// may still arrive.
func (o *Order) MissesEnds(now time.Time) bool {
	return !o.since.IsZero() && now.Sub(o.since) <= LateWriteTime
}

// Uncertain reports whether an entry that is not late may still have been written before the end of
// its target. An entry that does not follow an uncertain one at the interval of heartbeats may be late as
// well: the store delays each of them by another time.
func (o *Order) Uncertain(now time.Time, t Target) bool {
	if t.Draining || !o.MissesEnds(now) {
		return false
	}
	m, ok := o.marks[t.ID]
	if !ok {
		return t.Sequence > firstSequence
	}
	return !m.uncertainSince.IsZero() && m.target.Started.Equal(t.Started) && !o.isRegular(t.Sequence-m.target.Sequence, now.Sub(m.uncertainSince))
}

// isRegular reports whether a target that lives writes n entries in a time. Any time is regular if the interval
// is unknown.
func (o *Order) isRegular(n int64, within time.Duration) bool {
	if o.heartbeat <= 0 {
		return true
	}
	difference := within - time.Duration(n)*o.heartbeat
	return difference.Abs() <= o.heartbeat/regularDivisor
}

// RecordUncertain records an uncertain entry, which stays late for a time unless the target writes a
// newer one at its regular interval.
func (o *Order) RecordUncertain(now time.Time, t Target, protection time.Duration) {
	at := now.Add(protection - LateWriteTime)
	o.marks[t.ID] = mark{target: t, at: at, goneAt: at, credible: true, uncertainSince: now}
	o.gone = append(o.gone, goneTarget{id: t.ID, at: at})
}

// SilenceTime returns the time after which a host has seen the removal of the entry of a target that
// writes no further one.
func (o *Order) SilenceTime() time.Duration {
	if o.heartbeat <= 0 {
		return LateWriteTime
	}
	return min(LateWriteTime, silentHeartbeats*o.heartbeat+removalDelay)
}

// Late reports whether an entry was written before the newest one of its target. That a target
// drains counts at once, unless an earlier run of it said so.
func (o *Order) Late(now time.Time, t Target) bool {
	m, ok := o.marks[t.ID]
	if !ok || now.Sub(m.at) > LateWriteTime && now.Sub(m.goneAt) > LateWriteTime {
		return false
	}
	drains := t.Draining && t.Started.Equal(m.target.Started) && m.goneAt.IsZero()
	return m.precedes(t) && !drains
}

// Outdated reports whether an entry was written before the newest one of its target, however long
// ago that was. After a restore of the store from a backup, entries of any age may come back.
func (o *Order) Outdated(t Target) bool {
	m, ok := o.marks[t.ID]
	return ok && m.precedes(t)
}

// precedes reports whether t is not newer than the entry of the mark. An equal one may be the same
// entry, unless that was deleted. Entries without a start time and a count have no order.
func (m *mark) precedes(t Target) bool {
	if !m.credible || t.Started.IsZero() && t.Sequence == 0 {
		return false
	}
	if !m.goneAt.IsZero() {
		return !t.WrittenAfter(m.target)
	}
	return m.target.WrittenAfter(t)
}

// Record records the entry that a target wrote last, which was applied at a time.
func (o *Order) Record(at time.Time, t Target) {
	before, ok := o.marks[t.ID]
	o.marks[t.ID] = mark{target: t, at: at, credible: isCredible(at, t, before, ok)}
}

// isCredible reports whether the count of an entry can be that of the target, by the time since its
// start or since the entry before, and whether it has started already.
func isCredible(at time.Time, t Target, before mark, known bool) bool {
	if t.Started.After(at.Add(maxClockDifference)) {
		return false
	}
	sameRun := known && before.target.Started.Equal(t.Started)
	if sameRun && mayCount(float64(t.Sequence)-float64(before.target.Sequence), at.Sub(before.at)) {
		return true
	}
	if t.Started.IsZero() {
		return !sameRun
	}
	return mayCount(float64(t.Sequence), at.Sub(t.Started))
}

// mayCount reports whether a target can write n entries in a time.
func mayCount(n float64, within time.Duration) bool {
	return n <= maxEntryBurst+maxEntryRate*max(0, within.Seconds())
}

// RecordGone records that the entry of a target was deleted.
func (o *Order) RecordGone(now time.Time, id string) {
	m, ok := o.marks[id]
	if !ok || !m.goneAt.IsZero() && m.uncertainSince.IsZero() {
		return
	}
	m.goneAt, m.uncertainSince = now, time.Time{}
	o.marks[id] = m
	o.gone = append(o.gone, goneTarget{id: id, at: now})
}

// ProtectedUntil returns the time until which older entries of a target are late.
func (o *Order) ProtectedUntil(id string) time.Time {
	m := o.marks[id]
	if m.goneAt.After(m.at) {
		return m.goneAt.Add(LateWriteTime)
	}
	return m.at.Add(LateWriteTime)
}

// Protect makes older entries of a target late again from now on.
func (o *Order) Protect(now time.Time, id string) {
	if m, ok := o.marks[id]; ok {
		m.at = now
		o.marks[id] = m
	}
}

// Expire forgets targets that are long gone, and the first ones if there are too many.
func (o *Order) Expire(now time.Time) {
	n := 0
	for _, g := range o.gone {
		if now.Sub(g.at) <= goneRetention && len(o.gone)-n <= maxGone {
			break
		}
		if o.marks[g.id].goneAt.Equal(g.at) {
			delete(o.marks, g.id)
		}
		n++
	}
	o.gone = o.gone[n:]
}

// Len returns the number of targets whose entries are known.
func (o *Order) Len() int { return len(o.marks) }
