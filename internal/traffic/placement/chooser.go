package placement

// This file defines Chooser: whom to ask, and whom to send to.

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Chooser holds the targets of all services, as one host sees them.
type Chooser struct {
	cfg      Config
	rng      *rand.Rand
	services map[string][]*target
	targets  map[string]*target
}

// NewChooser returns a chooser without targets.
func NewChooser(cfg Config, rng *rand.Rand) *Chooser {
	return &Chooser{cfg: cfg, rng: rng, services: map[string][]*target{}, targets: map[string]*target{}}
}

// SetTargets replaces the targets of all services. What is known of those that stay
// is kept, also when they come to another service.
func (c *Chooser) SetTargets(services map[string][]Spec) {
	old := c.targets
	c.targets = make(map[string]*target, len(old))
	c.services = make(map[string][]*target, len(services))
	for service, specs := range services {
		list := make([]*target, 0, len(specs))
		for _, spec := range specs {
			t := old[spec.ID]
			if t == nil {
				t = &target{transit: c.cfg.Transit}
			}
			t.spec = spec
			c.targets[spec.ID] = t
			list = append(list, t)
		}
		c.services[service] = list
	}
}

// Has reports whether a target exists.
func (c *Chooser) Has(id string) bool { return c.targets[id] != nil }

// Forget drops what is known of a target that started again.
func (c *Chooser) Forget(id string) {
	if t := c.targets[id]; t != nil {
		*t = target{spec: t.spec, transit: c.cfg.Transit}
	}
}

// Busy returns the share of a service's slots that is in use, as far as is known.
func (c *Chooser) Busy(service string) float64 {
	slots, running := 0, 0
	for _, t := range c.services[service] {
		slots += t.spec.Slots
		running += min(t.running(), t.spec.Slots)
	}
	if slots == 0 {
		return 0
	}
	return float64(running) / float64(slots)
}

// lapsed returns the number of targets whose entries lapsed.
func lapsed(targets []*target) int {
	n := 0
	for _, t := range targets {
		if t.spec.Lapsed {
			n++
		}
	}
	return n
}

// usable returns the targets that may be sent to. Targets that are left out for
// failures or to be avoided count when there is no other. Targets with lapsed
// entries count when most entries lapsed: a single one has rather left.
func (c *Chooser) usable(now time.Time, service string, avoid []string) []*target {
	var good, rest []*target
	all := c.services[service]
	useLapsed := lapsed(all)*2 > len(all)
	for _, t := range all {
		if t.spec.Lapsed && !useLapsed {
			continue
		}
		if now.Before(t.ejected) || slices.Contains(avoid, t.spec.ID) {
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

// Ask returns up to n targets to ask for their load before a send: a random choice of
// those that may have room and whose last report is old. Targets near the domain
// come first, but some of others are asked too, since another disturbance may
// have spared them.
func (c *Chooser) Ask(now time.Time, service, domain string, avoid []string, n int) []string {
	var near, far []string
	for _, t := range c.shuffled(c.usable(now, service, avoid)) {
		if now.Sub(t.reported) < c.cfg.Young {
			continue
		}
		if t.spec.Domain == domain {
			near = append(near, t.spec.ID)
		} else {
			far = append(far, t.spec.ID)
		}
	}
	keep := min(len(near), max(n-len(far), n-n/3))
	ids := slices.Concat(near[:keep], far)
	return ids[:min(n, len(ids))]
}

// Poll returns up to n targets to ask while requests wait: those whose reports are
// oldest.
func (c *Chooser) Poll(now time.Time, service string, n int) []string {
	list := slices.Clone(c.usable(now, service, nil))
	slices.SortFunc(list, func(a, b *target) int { return a.reported.Compare(b.reported) })
	ids := make([]string, 0, n)
	for _, t := range list {
		if len(ids) == n || now.Sub(t.reported) < c.cfg.PollAge {
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

// Choice is a target with what a request would meet there.
type Choice struct {
	ID string
	// Work and Wait are the expected times of running and of queueing there; Cost
	// adds the price of distance and of likely failures.
	Work time.Duration
	Wait time.Duration
	Cost time.Duration
	// Load is the report that the choice rests on, and Age its age; LoadKnown is
	// false when the target never told.
	Load      Load
	LoadKnown bool
	Age       time.Duration
	// Room says that the target would run the request at once without slowing
	// others down.
	Room bool
	// Full says that the request would wait at the target.
	Full bool
}

// Best returns the target with the lowest cost for a request of that usual time,
// sent from a domain.
// One with room goes before one without.
func (c *Chooser) Best(now time.Time, service, domain string, avoid []string, usual time.Duration) (Choice, bool) {
	var best *target
	var least estimate
	for _, t := range c.usable(now, service, avoid) {
		e := t.estimate(now, c.cfg, domain, usual)
		if best == nil || cheaper(e, least) || e == least && c.rng.IntN(2) == 0 {
			best, least = t, e
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{
		ID: best.spec.ID, Work: least.work, Wait: least.wait, Cost: least.cost, Room: least.room, Full: least.full,
		Load: best.load, LoadKnown: !best.reported.IsZero(), Age: now.Sub(best.reported),
	}, true
}

func cheaper(a, b estimate) bool {
	if a.room != b.room {
		return a.room
	}
	return a.cost < b.cost
}

// Reported takes in the load that a target told.
func (c *Chooser) Reported(now time.Time, id string, l Load) {
	if t := c.targets[id]; t != nil {
		t.load, t.reported, t.silent = l, now, false
		t.dropDoubted()
	}
}

// Full notes that a target refused a question for lack of room.
func (c *Chooser) Full(now time.Time, id string) {
	if t := c.targets[id]; t != nil {
		t.full(now)
	}
}

// Healthy takes in what a target says of its own health.
func (c *Chooser) Healthy(id string, ok bool) {
	if t := c.targets[id]; t != nil {
		t.ill, t.silent = !ok, false
	}
}

// Silent notes that a target did not answer a question.
func (c *Chooser) Silent(id string) {
	if t := c.targets[id]; t != nil {
		t.silent = true
	}
}

// Sent notes a request on its way to a target, and how long it should take.
func (c *Chooser) Sent(now time.Time, id string, expected time.Duration) {
	if t := c.targets[id]; t != nil {
		t.sends = append(t.sends, send{at: now, expected: expected})
	}
}

// Doubt notes that the host which sent a request may be dead. A target that reports
// less than it was sent does not run it any more.
func (c *Chooser) Doubt(sent time.Time, id string) {
	t := c.targets[id]
	if t == nil {
		return
	}
	if at := slices.IndexFunc(t.sends, func(s send) bool { return s.at.Equal(sent) }); at >= 0 {
		t.sends[at].doubted = true
		t.dropDoubted()
	}
}

// Done notes the end of a request that was sent at a time.
func (c *Chooser) Done(now, sent time.Time, id string, result Result) {
	t := c.targets[id]
	if t == nil {
		return
	}
	if at := slices.IndexFunc(t.sends, func(s send) bool { return s.at.Equal(sent) }); at >= 0 {
		if result == Served || result == Cancelled {
			t.learnDrag(now, t.sends[at], result == Served)
		}
		if result != Refused && result != Lost && t.sends[at].at.Add(t.transit).Before(t.reported) {
			// The last report counts the request that has ended now.
			t.load.Running = max(0, t.load.Running-1)
		}
		t.sends = slices.Delete(t.sends, at, at+1)
	}
	if result == Refused {
		t.full(now)
	}
	t.finished(now, c.cfg, result)
}

// Gone leaves a target out that is not there any more, although its entry is.
func (c *Chooser) Gone(now time.Time, id string) {
	if t := c.targets[id]; t != nil {
		t.row = c.cfg.EjectAfter
		t.eject(now, c.cfg)
	}
}

// Running returns the number of own requests at the targets of a service.
func (c *Chooser) Running(service string) int {
	n := 0
	for _, t := range c.services[service] {
		n += len(t.sends)
	}
	return n
}

// At returns the number of own requests at a target.
func (c *Chooser) At(id string) int {
	if t := c.targets[id]; t != nil {
		return len(t.sends)
	}
	return 0
}
