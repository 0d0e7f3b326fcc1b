package placement

// This file defines how a Chooser keeps to what targets say of themselves: targets that leave
// get no requests, and those that pause get none of the host that they turned away.

import (
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/notice"
)

// isPaused reports whether a target wants no requests of the sending host now.
func (r *Request) isPaused(now time.Time, id string) bool {
	until, ok := r.Paused[id]
	return ok && now.Before(until)
}

// turnAway records that the target turned a host away for some time. Each host that it turns away
// is lost for it for that long, so the others do not all find out at once.
func (t *target) turnAway(now time.Time, cfg Config, pause time.Duration) {
	backoff := min(pause, cfg.MaxPauseBackoff, cfg.PauseBackoff<<min(t.turnedAway, maxEjectShift))
	t.turnedAway++
	t.backoffUntil = now.Add(backoff)
}

// backsOff reports whether the target gets no request now because it turned hosts away.
func (t *target) backsOff(now time.Time) bool {
	if t.turnedAway == 0 {
		return false
	}
	return now.Before(t.backoffUntil) || t.sentAfterBackoff() > 0
}

// sentAfterBackoff returns the number of attempts in flight that were sent after the backoff.
func (t *target) sentAfterBackoff() int {
	n := 0
	for _, a := range t.attempts {
		if !a.sentAt.Before(t.backoffUntil) {
			n++
		}
	}
	return n
}

// RecordLeaving records that a target leaves, and reports whether that is new.
func (c *Chooser) RecordLeaving(now time.Time, i notice.Incarnation) bool {
	if !c.departures.Record(now, i) {
		return false
	}
	t := c.targets[i.Target]
	if t == nil || t.incarnation() != i {
		return true
	}
	list := c.groups[t.group]
	if n := slices.Index(list, t); n >= 0 {
		c.groups[t.group] = slices.Delete(list, n, n+1)
		c.leavers[t.group] = append(c.leavers[t.group], t)
	}
	return true
}

// Leaving reports whether a target has said that it leaves.
func (c *Chooser) Leaving(id string) bool {
	t := c.targets[id]
	return t != nil && c.departures.Leaving(t.incarnation())
}

// Incarnation returns the known run of a target.
func (c *Chooser) Incarnation(id string) (notice.Incarnation, bool) {
	t := c.targets[id]
	if t == nil {
		return notice.Incarnation{}, false
	}
	return t.incarnation(), true
}

// RecordPause records that a target wants no requests of this host for some time, and reports
// whether it took them before.
func (c *Chooser) RecordPause(now time.Time, i notice.Incarnation, length time.Duration) bool {
	return c.pauses.Record(now, i, length)
}

// PausedUntil returns the time until which a target wants no requests of this host, and false
// if it takes them.
func (c *Chooser) PausedUntil(now time.Time, id string) (time.Time, bool) {
	t := c.targets[id]
	if t == nil || c.pauses.Empty() {
		return time.Time{}, false
	}
	return c.pauses.Until(now, t.incarnation())
}

// Paused returns the targets of a group that want no requests of this host, with the times until
// which they don't; nil if there are none.
func (c *Chooser) Paused(now time.Time, group string) map[string]time.Time {
	if c.pauses.Empty() {
		return nil
	}
	paused := map[string]time.Time{}
	for _, t := range c.groups[group] {
		if until, ok := c.pauses.Until(now, t.incarnation()); ok {
			paused[t.spec.ID] = until
		}
	}
	return paused
}

// AllPausedUntil returns the time at which the first target of a group takes requests of the
// sending host again, and false if one takes them now.
func (c *Chooser) AllPausedUntil(now time.Time, group string, r Request) (first time.Time, all bool) {
	for _, t := range c.groups[group] {
		if !r.isPaused(now, t.spec.ID) {
			return time.Time{}, false
		}
		if until := r.Paused[t.spec.ID]; first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, !first.IsZero()
}

// Available returns the number of a group's targets that do not leave, and of their slots.
func (c *Chooser) Available(group string) (targets, slots int) {
	for _, t := range c.groups[group] {
		slots += t.spec.Slots
	}
	return len(c.groups[group]), slots
}

// AnnouncedDepartures returns up to n targets of a group that leave, to announce them to another
// host. If there are more, it returns different ones each time.
func (c *Chooser) AnnouncedDepartures(group string, n int) []notice.Incarnation {
	leavers := c.leavers[group]
	if len(leavers) == 0 {
		return nil
	}
	list := make([]notice.Incarnation, 0, len(leavers))
	for _, t := range leavers {
		list = append(list, t.incarnation())
	}
	if len(list) > n {
		c.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:n]
	}
	return list
}

// Departures returns the targets that leave.
func (c *Chooser) Departures() []string {
	var ids []string
	for _, list := range c.leavers {
		for _, t := range list {
			ids = append(ids, t.spec.ID)
		}
	}
	return ids
}

// ExpireNotices drops pauses that have ended, and departures of targets that are long gone.
func (c *Chooser) ExpireNotices(now time.Time) {
	c.pauses.Expire(now)
	c.departures.Expire(now, func(i notice.Incarnation) bool {
		t := c.targets[i.Target]
		return t != nil && t.incarnation() == i
	})
}
