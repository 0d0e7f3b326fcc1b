package placement

// This file defines which targets a Chooser considers for a request, and which it probes.

import (
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
)

// countLapsed returns the number of targets whose entries lapsed.
func countLapsed(targets []*target) int {
	n := 0
	for _, t := range targets {
		if t.spec.Lapsed {
			n++
		}
	}
	return n
}

// countEjected returns the number of targets that are ejected.
func countEjected(now time.Time, targets []*target) int {
	n := 0
	for _, t := range targets {
		if now.Before(t.ejectedUntil) {
			n++
		}
	}
	return n
}

// maxEjectedDivisor limits ejection: when more than one in so many targets is ejected,
// ejections are ignored.
const maxEjectedDivisor = 3

// candidates returns the targets that may be sent to. Ejected targets are included when
// many are ejected, since then the failures are not those of a few outliers. If no other
// target is left, ejected ones and those in avoid are returned. Lapsed targets are
// included when most are lapsed; a single one has probably shut down. A target with a
// limited rate is included while there is a token for it.
func (c *Chooser) candidates(now time.Time, group string, r Request) []*target {
	return c.filter(now, group, r, c.mayUse)
}

// filter returns the candidates for which use returns true.
func (c *Chooser) filter(now time.Time, group string, r Request, use func(now time.Time, t *target, r Request, v eligibility.Verdict) bool) []*target {
	var good, rest []*target
	all := c.groups[group]
	useLapsed := usesLapsed(all)
	ejected := countEjected(now, all)
	useEjected := ejected > 1 && ejected*maxEjectedDivisor > len(all)
	for _, t := range all {
		if !use(now, t, r, c.verdict(now, t, r, useLapsed)) {
			continue
		}
		if now.Before(t.ejectedUntil) && !useEjected || slices.Contains(r.Avoid, t.spec.ID) {
			rest = append(rest, t)
			continue
		}
		good = append(good, t)
	}
	if len(good) > 0 {
		return good
	}
	return rest
}

// usesLapsed reports whether lapsed targets are used, because most are.
func usesLapsed(targets []*target) bool { return countLapsed(targets)*2 > len(targets) }

// mayUse reports whether a request may be sent to a target about which this is decided: its rate, if
// it is restricted, must leave room for the request.
func (c *Chooser) mayUse(now time.Time, t *target, r Request, v eligibility.Verdict) bool {
	if v.Grade != eligibility.Limited {
		return v.Grade == eligibility.Unlimited
	}
	isCold := v.Reason == eligibility.Cold || v.Reason == eligibility.ColdUnknown
	if r.SpareLimited || r.SpareCold && isCold {
		return false
	}
	return c.limits.HasToken(now, t.spec.ID)
}

// hasToken reports whether the rate of a target, if it is restricted, leaves room for a request.
func (c *Chooser) hasToken(now time.Time, t *target) bool {
	return c.limits.Empty() || c.limits.HasToken(now, t.spec.ID)
}

// mayUseOrAsk reports whether a request may be sent to a target, or may be as soon as a probe has told
// that it is not cold.
func (c *Chooser) mayUseOrAsk(now time.Time, t *target, r Request, v eligibility.Verdict) bool {
	return v.Reason == eligibility.ColdUnknown || c.mayUse(now, t, r, v)
}

// MayProbe reports whether a target that is known may be probed now, and reports its load.
func (c *Chooser) MayProbe(now time.Time, id string) bool {
	t := c.targets[id]
	return t != nil && c.mayProbe(now, t)
}

// mayProbe reports whether a load probe may be sent to a target.
func (c *Chooser) mayProbe(now time.Time, t *target) bool {
	if _, paused := c.pauses.Until(now, t.incarnation()); paused {
		return false
	}
	if !c.limits.Empty() && c.limits.ColdUnknown(now, t.spec.ID) {
		return c.limits.MayProbe(now, t.spec.ID)
	}
	return t.profile.ReportsLoad() && c.limits.MayProbe(now, t.spec.ID)
}

// ProbeCandidates returns up to n targets to probe before an attempt, in random order. It
// skips targets with a current load report, and services that do not report load. Targets
// in the domain of the request come first, but up to a third of n are in other domains,
// which a disturbance of this domain may not affect.
func (c *Chooser) ProbeCandidates(now time.Time, group string, r Request, n int) []string {
	var near, far []string
	for _, t := range c.shuffled(c.filter(now, group, r, c.mayUseOrAsk)) {
		if now.Sub(t.reportedAt) < c.cfg.FreshAge || !c.mayProbe(now, t) {
			continue
		}
		if t.spec.Domain == r.Domain {
			near = append(near, t.spec.ID)
		} else {
			far = append(far, t.spec.ID)
		}
	}
	nearCount := min(len(near), max(n-len(far), n-n/3))
	ids := slices.Concat(near[:nearCount], far)
	return ids[:min(n, len(ids))]
}

// PollCandidates returns up to n targets to probe while requests wait: those with the
// oldest load reports.
func (c *Chooser) PollCandidates(now time.Time, group string, n int) []string {
	list := slices.DeleteFunc(c.filter(now, group, Request{}, c.mayUseOrAsk), func(t *target) bool { return !c.mayProbe(now, t) })
	slices.SortFunc(list, func(a, b *target) int { return a.reportedAt.Compare(b.reportedAt) })
	ids := make([]string, 0, n)
	for _, t := range list {
		if len(ids) == n || now.Sub(t.reportedAt) < c.cfg.PollAge {
			break
		}
		ids = append(ids, t.spec.ID)
	}
	return ids
}

func (c *Chooser) shuffled(list []*target) []*target {
	c.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
