package placement

// This file defines what a Chooser finds out of a target for package eligibility, which decides what the
// target may get.

import (
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
)

// verdict returns what a target may get now and why, for a request of any host. Targets that leave are
// in no group, and those that the view withholds are not known.
func (c *Chooser) verdict(now time.Time, t *target, r Request, useLapsed bool) eligibility.Verdict {
	f := eligibility.Facts{Lapsed: t.spec.Lapsed && !useLapsed, Paused: r.isPaused(now, t.spec.ID) || t.backsOff(now)}
	if !c.limits.Empty() {
		l := c.limits.Restriction(now, t.spec.ID)
		f.RateLimited, f.LimitPerSecond = l.Limited, l.LimitPerSecond
		f.Cold, f.ColdUnknown, f.ColdPerSecond = l.Cold, l.Cold && !l.Known, l.ColdPerSecond
	}
	return eligibility.Decide(f)
}

// BarredBy returns why this host must not use a target that it was granted; Normal if it may. A pause of
// this host does not matter if the request is sent through another one.
func (c *Chooser) BarredBy(now time.Time, id string, through bool) eligibility.Reason {
	_, paused := c.PausedUntil(now, id)
	v := eligibility.Decide(eligibility.Facts{Evacuated: c.withheld[id] == eligibility.Evacuated, Leaving: c.Leaving(id), Paused: paused && !through})
	return v.Reason
}

// Verdicts returns the number of targets that get less than usual from this host, by reason.
func (c *Chooser) Verdicts(now time.Time) map[eligibility.Reason]int {
	counts := map[eligibility.Reason]int{}
	for _, reason := range c.withheld {
		counts[reason]++
	}
	for group, list := range c.groups {
		if n := len(c.leavers[group]); n > 0 {
			counts[eligibility.Leaving] += n
		}
		r, useLapsed := Request{Paused: c.Paused(now, group)}, usesLapsed(list)
		for _, t := range list {
			counts[c.verdict(now, t, r, useLapsed).Reason]++
		}
	}
	delete(counts, eligibility.Normal)
	return counts
}
