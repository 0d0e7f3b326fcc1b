package controller

// This file defines drainMarks, what the host knows of targets that drain.

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamaracktiller.example/tamaracktiller/internal/fleet/member"
)

// liveMemory is the time for which a target is remembered as live again, so that
// a stale source does not mark it once more.
const liveMemory = 2 * time.Minute

// drainMarks holds the targets that take no new work, by source. A mark of the
// platform's list is ordered by generation; in one generation leaving wins, so
// that a stale list does not bring a target back. A mark from traffic ends with
// its time.
type drainMarks struct {
	listed   map[string]member.Drain
	observed map[string]int64
}

func newDrainMarks() *drainMarks {
	return &drainMarks{listed: map[string]member.Drain{}, observed: map[string]int64{}}
}

// list takes in what the platform's list, read here or by another host, says of
// a target. It reports whether the mark changed.
func (m *drainMarks) list(now time.Time, target string, generation uint64, live bool) bool {
	old, known := m.listed[target]
	switch {
	case !known && live:
		return false
	case known && generation < old.Generation:
		return false
	case known && generation == old.Generation && (live || !old.Live):
		return false
	}
	d := member.Drain{Target: target, Generation: generation, Live: live}
	if live {
		d.UntilMilli = now.Add(liveMemory).UnixMilli()
		delete(m.observed, target)
	}
	m.listed[target] = d
	return true
}

// observe takes in that traffic met a draining target. It reports whether the
// target was not marked before.
func (m *drainMarks) observe(target string, untilMilli int64) bool {
	old, known := m.observed[target]
	if untilMilli > old {
		m.observed[target] = untilMilli
	}
	return !known
}

// merge takes in the mark of another host.
func (m *drainMarks) merge(now time.Time, d member.Drain) bool {
	if d.Observed {
		return d.UntilMilli > now.UnixMilli() && m.observe(d.Target, d.UntilMilli)
	}
	return m.list(now, d.Target, d.Generation, d.Live)
}

// expire drops the marks whose time is over.
func (m *drainMarks) expire(now time.Time) bool {
	before := len(m.listed) + len(m.observed)
	at := now.UnixMilli()
	maps.DeleteFunc(m.observed, func(_ string, until int64) bool { return at >= until })
	maps.DeleteFunc(m.listed, func(_ string, d member.Drain) bool { return d.Live && at >= d.UntilMilli })
	return len(m.listed)+len(m.observed) != before
}

// all returns the marks in target order, for other hosts, with their digest.
func (m *drainMarks) all() ([]member.Drain, uint64) {
	if len(m.listed)+len(m.observed) == 0 {
		return nil, 0
	}
	list := make([]member.Drain, 0, len(m.listed)+len(m.observed))
	for _, d := range m.listed {
		list = append(list, d)
	}
	for target, until := range m.observed {
		list = append(list, member.Drain{Target: target, UntilMilli: until, Observed: true})
	}
	slices.SortFunc(list, compareDrains)
	return list, drainSum(list)
}

func compareDrains(a, b member.Drain) int {
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

// drainSum ignores the end of observed marks, which moves all the time.
func drainSum(list []member.Drain) uint64 {
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

// names returns the targets that take no new work.
func (m *drainMarks) names() map[string]bool {
	names := make(map[string]bool, len(m.listed)+len(m.observed))
	for target, d := range m.listed {
		if !d.Live {
			names[target] = true
		}
	}
	for target := range m.observed {
		names[target] = true
	}
	return names
}
