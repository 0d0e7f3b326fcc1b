package placement

// This file defines how a Chooser learns which targets are cold. Only services whose cold targets take
// a limited number of requests a second are considered.

import (
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
)

const (
	// unreachableTime is the time without news after which a target that does not respond may have
	// restarted. Single probes are lost without that, and a process does not start faster.
	unreachableTime = 300 * time.Millisecond
	// evidenceTime is the time for which a response that says that a target is not cold is believed by
	// a host whose view is old, since that one does not learn of a restart. A view that counts as up to
	// date may lack as much. With 1 s, a host that dispatches only its own requests refused one in ten,
	// since its part of the probe budget does not suffice; with 2 s it was one in thirty.
	evidenceTime = 2 * time.Second
	// evidenceRenewTime is the time after which such a host asks again.
	evidenceRenewTime = 600 * time.Millisecond
)

// ColdRate is the number of requests a second that a cold target of a service takes, over all hosts, and
// the time for which it is cold after it starts.
type ColdRate struct {
	PerSecond float64
	Time      time.Duration
}

// coldTarget is the state of a target of a service that limits the rate of its cold targets.
type coldTarget struct {
	rate ColdRate
	// notColdAt is the time at which the newest request was sent whose response said that the target
	// is not cold.
	notColdAt time.Time
}

// SetColdRates replaces the rates of cold targets by service, before SetTargets; nil if there are none.
func (c *Chooser) SetColdRates(rates map[string]ColdRate) { c.coldRates = rates }

// setColdRate applies the rate of the service.
func (t *target) setColdRate(rates map[string]ColdRate) {
	rate, ok := rates[t.spec.Service]
	switch {
	case !ok:
		t.cold = nil
	case t.cold == nil:
		t.cold = &coldTarget{rate: rate}
	default:
		t.cold.rate = rate
	}
}

// limitsCold reports whether the rate of the target is limited while it is cold.
func (t *target) limitsCold() bool { return t.cold != nil }

// LimitsCold reports whether a target exists and its rate is limited while it is cold.
func (c *Chooser) LimitsCold(id string) bool {
	t := c.targets[id]
	return t != nil && t.limitsCold()
}

// ObserveColdEntry applies what the view says of the cold time of a target.
func (c *Chooser) ObserveColdEntry(now time.Time, id string, e ratelimit.ColdEntry) {
	if t := c.targets[id]; t != nil && t.limitsCold() {
		c.limits.ObserveColdEntry(now, id, e)
	}
}

// ObserveCold applies what a response of a target to a request sent at a time says of its cold time.
func (c *Chooser) ObserveCold(now time.Time, id string, o ratelimit.Cold, sentAt time.Time) {
	t := c.targets[id]
	if t == nil || !t.limitsCold() || !o.Known {
		return
	}
	c.limits.ObserveCold(now, id, o, sentAt, t.cold.rate.PerSecond)
	if o.Left == 0 && sentAt.After(t.cold.notColdAt) {
		t.cold.notColdAt = sentAt
	}
}

// RecordUnreachable records that a target does not respond. When it does again, it may have become
// cold.
func (c *Chooser) RecordUnreachable(now time.Time, id string) {
	t := c.targets[id]
	if t == nil || !t.limitsCold() || now.Sub(t.cold.notColdAt) < unreachableTime {
		return
	}
	c.limits.SetColdUnknown(now, id, t.cold.rate.PerSecond, t.cold.rate.Time)
}

// ExpireColdEvidence makes the targets of a group count as cold that have not said for some time that
// they are not. A host calls it while its view is old.
func (c *Chooser) ExpireColdEvidence(now time.Time, group string) {
	for _, t := range c.groups[group] {
		if t.limitsCold() && now.Sub(t.cold.notColdAt) > evidenceTime {
			if _, _, isCold := c.limits.Cold(now, t.spec.ID); !isCold {
				c.limits.SetColdUnknown(now, t.spec.ID, t.cold.rate.PerSecond, t.cold.rate.Time)
			}
		}
	}
}

// ColdCandidates returns up to n targets of a group to probe because it is not known whether they are
// cold, or will not be soon if the view of the host is old.
func (c *Chooser) ColdCandidates(now time.Time, group string, n int, oldView bool) []string {
	var ids []string
	for _, t := range c.groups[group] {
		if len(ids) == n {
			break
		}
		wanted := c.limits.ColdUnknown(now, t.spec.ID) || oldView && t.limitsCold() && now.Sub(t.cold.notColdAt) > evidenceRenewTime
		if wanted && c.mayProbe(now, t) {
			ids = append(ids, t.spec.ID)
		}
	}
	return ids
}
