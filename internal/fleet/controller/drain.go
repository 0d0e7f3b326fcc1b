package controller

// This file defines drainMarks, the set of draining targets.

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamaracktiller.example/tamaracktiller/internal/fleet/member"
)

// liveMarkTTL is how long a target is remembered as live after it was draining, so that
// stale information does not mark it as draining again.
const liveMarkTTL = 2 * time.Minute

// drainMarks holds the targets that take no new work, by the source of the information.
// Marks from the platform's host list are ordered by generation. Within a generation
// draining takes precedence over live, so that a stale list does not revive a target.
// Marks observed in traffic expire after a fixed time.
type drainMarks struct {
	listed   map[string]member.DrainMark
	observed map[string]int64
}

func newDrainMarks() *drainMarks {
	return &drainMarks{listed: map[string]member.DrainMark{}, observed: map[string]int64{}}
}

// applyListed records the state of a target in the platform's host list, as read by this
// host or by a peer. It reports whether the mark changed.
func (m *drainMarks) applyListed(now time.Time, target string, generation uint64, live bool) bool {
	old, known := m.listed[target]
	switch {
	case !known && live:
		return false
	case known && generation < old.Generation:
		return false
	case known && generation == old.Generation && (live || !old.Live):
		return false
	}
	d := member.DrainMark{Target: target, Generation: generation, Live: live}
	if live {
		d.UntilMilli = now.Add(liveMarkTTL).UnixMilli()
		delete(m.observed, target)
	}
	m.listed[target] = d
	return true
}

// observe marks a target as draining because it rejected a request. It reports whether
// the target had no such mark.
func (m *drainMarks) observe(target string, untilMilli int64) bool {
	old, known := m.observed[target]
	if untilMilli > old {
		m.observed[target] = untilMilli
	}
	return !known
}

// merge applies a mark received from a peer. It reports whether the marks changed.
func (m *drainMarks) merge(now time.Time, d member.DrainMark) bool {
	if d.Observed {
		return d.UntilMilli > now.UnixMilli() && m.observe(d.Target, d.UntilMilli)
	}
	return m.applyListed(now, d.Target, d.Generation, d.Live)
}

// expire removes expired marks and reports whether there were any.
func (m *drainMarks) expire(now time.Time) bool {
	before := len(m.listed) + len(m.observed)
	at := now.UnixMilli()
	maps.DeleteFunc(m.observed, func(_ string, until int64) bool { return at >= until })
	maps.DeleteFunc(m.listed, func(_ string, d member.DrainMark) bool { return d.Live && at >= d.UntilMilli })
	return len(m.listed)+len(m.observed) != before
}

// all returns the marks for the heartbeats to peers, sorted by target, with their digest.
func (m *drainMarks) all() ([]member.DrainMark, uint64) {
	if len(m.listed)+len(m.observed) == 0 {
		return nil, 0
	}
	list := make([]member.DrainMark, 0, len(m.listed)+len(m.observed))
	for _, d := range m.listed {
		list = append(list, d)
	}
	for target, until := range m.observed {
		list = append(list, member.DrainMark{Target: target, UntilMilli: until, Observed: true})
	}
	slices.SortFunc(list, compareDrains)
	return list, drainDigest(list)
}

func compareDrains(a, b member.DrainMark) int {
	if c := strings.Compare(a.Target, b.Target); c != 0 {
		return c
	}
	if a.Observed == b.Observed {
		return 0
	}
	if a.Observed {
		return 1
	}
	return -1
}

// drainDigest returns a digest of the marks. It ignores expiry times, since those of
// observed marks change with every rejected request.
func drainDigest(list []member.DrainMark) uint64 {
	d := xxhash.New()
	for _, mark := range list {
		flags := byte(mark.Generation) << 2
		if mark.Live {
			flags |= 1
		}
		if mark.Observed {
			flags |= 2
		}
		_, _ = d.WriteString(mark.Target)
		_, _ = d.Write([]byte{0, flags})
	}
	return d.Sum64()
}

// targets returns the targets that take no new work.
func (m *drainMarks) targets() map[string]bool {
	targets := make(map[string]bool, len(m.listed)+len(m.observed))
	for target, d := range m.listed {
		if !d.Live {
			targets[target] = true
		}
	}
	for target := range m.observed {
		targets[target] = true
	}
	return targets
}
