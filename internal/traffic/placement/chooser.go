package placement

// This file defines Chooser, which knows the targets and selects the one to send to.

import (
	"math/rand/v2"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
	"tamaracktiller.example/tamaracktiller/internal/traffic/notice"
	"tamaracktiller.example/tamaracktiller/internal/traffic/profile"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
)

// Chooser tracks the targets of all services, as one host knows them. Targets belong to
// groups; a group is a service or a part of one.
type Chooser struct {
	cfg      Config
	rng      *rand.Rand
	groups   map[string][]*target
	targets  map[string]*target
	profiles map[string]*profile.Profile
	limits   *ratelimit.Limits
	// departures are the targets that leave, and pauses those that want no requests of this
	// host. groups holds only targets that do not leave; leavers holds the others.
	departures *notice.Departures
	pauses     *notice.Pauses
	leavers    map[string][]*target
	// withheld holds the targets that get no requests although they have an entry, with the
	// reasons; nil if there are none.
	withheld map[string]eligibility.Reason
	// coldRates holds the rates of cold targets by service; nil if there are none.
	coldRates map[string]ColdRate
	// lastTrial is the time of the last trial of a higher concurrency, by service.
	lastTrial map[string]time.Time
}

// NewChooser returns a chooser without targets.
func NewChooser(cfg Config, rng *rand.Rand) *Chooser {
	return &Chooser{
		cfg: cfg, rng: rng, groups: map[string][]*target{}, targets: map[string]*target{},
		profiles: map[string]*profile.Profile{}, limits: ratelimit.New(), lastTrial: map[string]time.Time{},
		departures: notice.NewDepartures(), pauses: notice.NewPauses(), leavers: map[string][]*target{},
	}
}

// SetTargets replaces the targets of all groups. Targets that remain keep their state,
// even if they move to another group.
func (c *Chooser) SetTargets(groups map[string][]Spec) {
	old := c.targets
	c.targets = make(map[string]*target, len(old))
	c.groups = make(map[string][]*target, len(groups))
	c.leavers = map[string][]*target{}
	for group, specs := range groups {
		list := make([]*target, 0, len(specs))
		for _, spec := range specs {
			t := old[spec.ID]
			if t == nil {
				t = &target{transit: c.cfg.Transit}
			}
			t.spec, t.group, t.profile = spec, group, c.Profile(spec.Service)
			c.targets[spec.ID] = t
			t.setColdRate(c.coldRates)
			if c.departures.Leaving(t.incarnation()) {
				c.leavers[group] = append(c.leavers[group], t)
				continue
			}
			list = append(list, t)
		}
		c.groups[group] = list
	}
	c.limits.Retain(func(id string) bool { return c.Has(id) || c.withheld[id] == eligibility.Evacuated })
}

// SetWithheld replaces the targets that get no requests although they have an entry, with the
// reasons. The rate limits of evacuated ones are kept, since they hold after the evacuation.
func (c *Chooser) SetWithheld(withheld map[string]eligibility.Reason) { c.withheld = withheld }

// Profile returns the profile of a service's targets, and creates it if needed.
func (c *Chooser) Profile(service string) *profile.Profile {
	p := c.profiles[service]
	if p == nil {
		p = profile.New()
		c.profiles[service] = p
	}
	return p
}

// Limits returns the rate limits of the targets.
func (c *Chooser) Limits() *ratelimit.Limits { return c.limits }

// Group returns the group of a target, or "" if the target does not exist.
func (c *Chooser) Group(id string) string {
	if t := c.targets[id]; t != nil {
		return t.group
	}
	return ""
}

// Has reports whether a target exists.
func (c *Chooser) Has(id string) bool { return c.targets[id] != nil }

// Reset resets the state of a target that restarted.
func (c *Chooser) Reset(now time.Time, id string) {
	c.limits.Forget(now, id)
	if t := c.targets[id]; t != nil {
		*t = target{spec: t.spec, group: t.group, profile: t.profile, transit: c.cfg.Transit}
		t.setColdRate(c.coldRates)
	}
}

// Utilization returns the share of a group's slots that is known to be in use.
func (c *Chooser) Utilization(now time.Time, group string) float64 {
	slots, running := 0, 0
	for _, t := range c.groups[group] {
		if c.limits.Restricted(now, t.spec.ID) {
			// It takes one request at a time, when it has a token.
			slots++
			if !c.limits.HasToken(now, t.spec.ID) || t.running(now, c.cfg) > 0 {
				running++
			}
			continue
		}
		slots += t.spec.Slots
		running += min(t.running(now, c.cfg), t.spec.Slots)
	}
	if slots == 0 {
		return 0
	}
	return float64(running) / float64(slots)
}

// Slots returns the number of requests of the typical time that the targets of a group can
// run at a time. A target with a limited rate counts as what its rate lets run.
func (c *Chooser) Slots(now time.Time, group string, typicalTime time.Duration) int {
	slots, limited := 0, 0.0
	for _, t := range c.groups[group] {
		if perSecond, ok := c.limits.Rate(now, t.spec.ID); ok {
			limited += min(float64(t.slots()), perSecond*typicalTime.Seconds())
			continue
		}
		slots += t.slots()
	}
	return slots + int(limited)
}

// Flow returns the rate at which the targets of a group take requests from this host. It
// returns false if a target has no limit.
func (c *Chooser) Flow(now time.Time, group string) (flow ratelimit.Flow, ok bool) {
	if c.limits.Empty() || len(c.groups[group]) == 0 {
		return flow, false
	}
	for _, t := range c.groups[group] {
		if !flow.Add(now, c.limits, t.spec.ID) {
			return flow, false
		}
	}
	return flow, true
}

// SetLimitShare sets the part of the rate limits of a group's targets that this host may use.
func (c *Chooser) SetLimitShare(now time.Time, group string, share float64) {
	for _, t := range c.groups[group] {
		c.limits.SetShare(now, t.spec.ID, share)
	}
}

// AnnouncedLimits returns up to n rate limits of a group's targets to announce them to another
// host. If there are more, it returns different ones each time.
func (c *Chooser) AnnouncedLimits(now time.Time, group string, n int) []ratelimit.Announcement {
	var list []ratelimit.Announcement
	for _, t := range c.groups[group] {
		if a, ok := c.limits.Announcement(now, t.spec.ID); ok {
			list = append(list, a)
		}
	}
	if len(list) > n {
		c.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:n]
	}
	return list
}

// Best returns the target of a group with the lowest cost for a request. Targets with
// capacity come before those without. A target may be tried at a concurrency above the best
// known one if no target has capacity and r.Backlogged is set, or if those with capacity are
// likely to fail. If none has capacity, an idle target where the request meets its objective
// has, since waiting would gain nothing.
func (c *Chooser) Best(now time.Time, group string, r Request) (Choice, bool) {
	var best, trial, idle candidate
	for _, t := range c.candidates(now, group, r) {
		next := candidate{target: t, estimate: t.estimate(now, c.cfg, r)}
		if best.target == nil || cheaper(next.estimate, best.estimate) || next.estimate == best.estimate && c.rng.IntN(2) == 0 {
			best = next
		}
		if next.trial {
			trial.replaceIfCheaper(next)
		}
		if next.idle {
			idle.replaceIfCheaper(next)
		}
	}
	if best.target == nil {
		return Choice{}, false
	}
	if !best.hasCapacity && idle.target != nil {
		best = idle
		best.hasCapacity = true
	}
	wanted := r.Backlogged
	if best.hasCapacity {
		wanted = best.failureRate > likelyFailure && trial.cost < best.cost
	}
	if trial.target != nil && wanted && c.trialDue(now, trial.spec.Service) {
		best = trial
		best.hasCapacity = true
	}
	return c.choice(now, best.target, best.estimate, r), true
}

// candidate is a target with the estimate of a request there. The zero value is none.
type candidate struct {
	*target
	estimate
}

// replaceIfCheaper replaces the candidate by another one that costs less.
func (c *candidate) replaceIfCheaper(next candidate) {
	if c.target == nil || next.cost < c.cost {
		*c = next
	}
}

// likelyFailure is the failure rate above which a target is not worth its free slots.
const likelyFailure = 0.5

// trialDue reports whether a service may try a higher concurrency now.
func (c *Chooser) trialDue(now time.Time, service string) bool {
	return c.cfg.TrialPeriod > 0 && now.Sub(c.lastTrial[service]) > c.cfg.TrialPeriod
}

func (c *Chooser) choice(now time.Time, t *target, e estimate, r Request) Choice {
	choice := Choice{
		ID: t.spec.ID, ServiceTime: e.serviceTime, QueueTime: e.queueTime, Cost: e.cost, HasCapacity: e.hasCapacity, Full: e.full, trial: e.trial,
		Load: t.load, LoadKnown: t.loadKnown(now, c.cfg), Age: now.Sub(t.reportedAt), Concurrency: e.concurrency, Slots: t.slots(), Cold: e.cold,
		Restricted: !c.limits.Empty() && c.limits.Restricted(now, t.spec.ID),
	}
	switch {
	case !choice.LoadKnown:
		choice.Load, choice.Age = Load{Running: len(t.attempts), Slots: t.slots(), Slowness: 1}, 0
		if !t.profile.ReportsLoad() {
			choice.UncontendedTime = r.TypicalTime
		}
	case t.unreportedSlowdown(now, c.cfg) > 1:
	case choice.Age < c.cfg.PollAge && t.load.Slowness < maxSampleSlowness:
		choice.UncontendedTime = time.Duration(float64(r.TypicalTime) * t.load.Slowness)
	}
	return choice
}

// maxSampleSlowness is the slowness below which the time of a request is a usable sample
// of the cost of contention.
const maxSampleSlowness = 1.5

func cheaper(a, b estimate) bool {
	if a.hasCapacity != b.hasCapacity {
		return a.hasCapacity
	}
	return a.cost < b.cost
}

// HasFreeSlot reports whether some target of a group is known to have a free slot, and its
// rate limit leaves room for a request.
func (c *Chooser) HasFreeSlot(now time.Time, group string) bool {
	return slices.ContainsFunc(c.groups[group], func(t *target) bool {
		return t.running(now, c.cfg) < t.slots() && c.hasToken(now, t)
	})
}
