package placement

// This file defines what a Chooser records of attempts, probes and load reports.

import (
	"slices"
	"time"
)

// RecordLoad records a load report of a target.
func (c *Chooser) RecordLoad(now time.Time, id string, l Load) {
	t := c.targets[id]
	if t == nil {
		return
	}
	gap := time.Duration(0)
	if t.loadKnown(now, c.cfg) {
		gap = now.Sub(t.reportedAt)
	}
	t.profile.RecordSlowness(t.load.Slowness, gap, l.Slowness)
	t.load, t.reportedAt, t.unresponsive = l, now, false
	t.dropSuspects()
	t.dropUnaccounted(now)
}

// RecordProbed records that a target responded to a probe of this host, and whether the
// response carried a load report.
func (c *Chooser) RecordProbed(now time.Time, id string, hasLoad bool) {
	if t := c.targets[id]; t != nil {
		t.recordHeard(now, ThisHost)
		t.profile.RecordResponse(hasLoad)
	}
}

// RecordResponse records whether a response of a target carried a load report.
func (c *Chooser) RecordResponse(id string, hasLoad bool) {
	if t := c.targets[id]; t != nil {
		t.profile.RecordResponse(hasLoad)
	}
}

// MarkFull records that a target rejected a probe because it is full.
func (c *Chooser) MarkFull(now time.Time, id string) {
	if t := c.targets[id]; t != nil {
		t.markFull(now, c.cfg)
	}
}

// SetHealthy records the health that a target reported.
func (c *Chooser) SetHealthy(id string, healthy bool) {
	if t := c.targets[id]; t != nil {
		t.unhealthy, t.unresponsive = !healthy, false
	}
}

// MarkUnresponsive records that a target did not respond to a probe.
func (c *Chooser) MarkUnresponsive(id string) {
	if t := c.targets[id]; t != nil {
		t.unresponsive = true
	}
}

// RecordAttempt records an attempt at a choice.
func (c *Chooser) RecordAttempt(now time.Time, choice Choice) {
	t := c.targets[choice.ID]
	if t == nil {
		return
	}
	c.limits.Spend(now, choice.ID)
	t.attempts = append(t.attempts, attempt{sentAt: now, expected: choice.ServiceTime + choice.QueueTime, choice: choice})
	if choice.trial {
		c.lastTrial[t.spec.Service] = now
	}
}

// RecordRun updates the profile with the time that an attempt took at a choice, which may
// be the choice of another host.
func (c *Chooser) RecordRun(now time.Time, choice Choice, took time.Duration, result Result) {
	t := c.targets[choice.ID]
	if t == nil {
		return
	}
	if choice.Slots != t.slots() {
		// The choice of another host, by an older or a malformed entry of the target.
		return
	}
	if run, ok := choice.ProfileRun(took, result); ok {
		t.profile.RecordRun(now, run)
	}
}

// MarkSuspect records that the host that made an attempt may be dead. The attempt is
// dropped once the target reports fewer requests than were sent to it.
func (c *Chooser) MarkSuspect(sent time.Time, id string) {
	t := c.targets[id]
	if t == nil {
		return
	}
	if i := slices.IndexFunc(t.attempts, func(a attempt) bool { return a.sentAt.Equal(sent) }); i >= 0 {
		t.attempts[i].suspect = true
		t.dropSuspects()
	}
}

// Done records the result of the attempt of this host that was recorded at the time sent.
func (c *Chooser) Done(now, sent time.Time, id string, result Result) {
	c.DoneBy(now, ThisHost, sent, id, result)
}

// ThisHost stands for the host of the chooser.
const ThisHost = ""

// DoneBy records the result of the attempt of a host that was recorded at the time sent.
func (c *Chooser) DoneBy(now time.Time, host string, sent time.Time, id string, result Result) {
	if t := c.targets[id]; t != nil {
		t.recordResult(now, c.cfg, c.endAttempt(now, host, t, sent, result))
	}
}

// TurnedAwayBy records that a target rejected the attempt of a host that was recorded at the
// time sent, and wants no others of that host for some time.
func (c *Chooser) TurnedAwayBy(now time.Time, host string, sent time.Time, id string, pause time.Duration) {
	if t := c.targets[id]; t != nil {
		c.endAttempt(now, host, t, sent, Rejected)
		t.turnAway(now, c.cfg, pause)
	}
}

// endAttempt drops an attempt that has ended, and returns its result in the light of what other
// hosts know of the target.
func (c *Chooser) endAttempt(now time.Time, host string, t *target, sent time.Time, result Result) Result {
	switch result {
	case Served, Rejected:
		t.recordHeard(now, host)
	case Unreachable:
		if t.heardByOther(host).After(sent) {
			result = Lost
		}
	default:
	}
	if i := slices.IndexFunc(t.attempts, func(a attempt) bool { return a.sentAt.Equal(sent) }); i >= 0 {
		if result == Served || result == Cancelled {
			t.updateLatencyRatio(now, c.cfg, t.attempts[i], result == Served)
			c.RecordRun(now, t.attempts[i].choice, now.Sub(sent), result)
		}
		if result == Served {
			t.rejectedAt = time.Time{}
			if !sent.Before(t.backoffUntil) {
				t.turnedAway = 0
			}
		}
		if result != Rejected && result != Lost && t.attempts[i].sentAt.Add(t.transit).Before(t.reportedAt) {
			// The last load report still counts this request.
			t.load.Running = max(0, t.load.Running-1)
		}
		t.attempts = slices.Delete(t.attempts, i, i+1)
	}
	if result == Rejected {
		t.markFull(now, c.cfg)
	}
	return result
}

// MarkGone ejects a target that is not at its address any more, although it is still
// registered.
func (c *Chooser) MarkGone(now time.Time, id string) {
	if t := c.targets[id]; t != nil {
		t.consecutiveFailures = c.cfg.EjectAfter
		t.eject(now, c.cfg)
	}
}

// InFlight returns the number of attempts in flight at the targets of a group.
func (c *Chooser) InFlight(group string) int {
	n := 0
	for _, t := range c.groups[group] {
		n += len(t.attempts)
	}
	return n
}

// InFlightAt returns the number of attempts in flight at a target.
func (c *Chooser) InFlightAt(id string) int {
	if t := c.targets[id]; t != nil {
		return len(t.attempts)
	}
	return 0
}
