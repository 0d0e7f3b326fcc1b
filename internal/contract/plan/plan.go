// Package plan works out what an intent changes and for whom. It does no I/O.
//
// The effects are computed from the two configurations, never taken from the
// declarer, and are given in slots: the slots of a service are the slots of its
// pool's targets that take new work, times its share of the pool.
//
// # Usage
//
//	p, next, err := plan.Compute(base, intent)
//	for _, e := range p.Effects { fmt.Println(e) }
//	partners := p.MustBeShownTo()
package plan

// This file defines Plan, Effect and the computation of effects.

import (
	"fmt"
	"slices"
	"strings"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
)

// Effect is what a plan changes for one service.
type Effect struct {
	Partner       catalog.Partner `json:"partner"`
	Service       string          `json:"service"`
	SlotsBefore   float64         `json:"slots-before"`
	SlotsAfter    float64         `json:"slots-after"`
	SharePerMille [2]int          `json:"share-per-mille"`
	TargetsGained []string        `json:"targets-gained,omitempty"`
	TargetsLost   []string        `json:"targets-lost,omitempty"`
	// Changed lists the fields of the service that change.
	Changed []string `json:"changed,omitempty"`
}

// String returns the effect as one line.
func (e Effect) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s/%s: slots %.1f -> %.1f, share %.1f%% -> %.1f%%", e.Partner, e.Service, e.SlotsBefore, e.SlotsAfter,
		float64(e.SharePerMille[0])/10, float64(e.SharePerMille[1])/10)
	if len(e.TargetsGained) > 0 {
		fmt.Fprintf(&b, ", gains %s", strings.Join(e.TargetsGained, " "))
	}
	if len(e.TargetsLost) > 0 {
		fmt.Fprintf(&b, ", loses %s", strings.Join(e.TargetsLost, " "))
	}
	if len(e.Changed) > 0 {
		fmt.Fprintf(&b, ", changes %s", strings.Join(e.Changed, " "))
	}
	return b.String()
}

// Shown records that an operator of an affected partner was shown the plan.
type Shown struct {
	Operator  string `json:"operator"`
	UnixMilli int64  `json:"unix-milli"`
}

// Plan is the answer to an intent.
type Plan struct {
	ID       string          `json:"id"`
	Partner  catalog.Partner `json:"partner"`
	Operator string          `json:"operator"`
	Intent   catalog.Intent  `json:"intent"`
	// BaseRevision is the revision that the effects were computed from.
	BaseRevision uint64   `json:"base-revision"`
	Effects      []Effect `json:"effects"`
	// Shown holds, per affected partner, who was shown the plan.
	Shown     map[catalog.Partner]Shown `json:"shown"`
	UnixMilli int64                     `json:"unix-milli"`
}

// Compute returns the plan of an intent against base, and the configuration
// that it leads to. The error is a *catalog.FieldError.
func Compute(base *catalog.Catalog, in *catalog.Intent) (*Plan, *catalog.Catalog, error) {
	next, err := catalog.Apply(base, in)
	if err != nil {
		return nil, nil, err
	}
	p := &Plan{
		Partner:      in.Partner,
		Intent:       *in,
		BaseRevision: base.Revision,
		Effects:      effects(base, next),
		Shown:        map[catalog.Partner]Shown{},
	}
	return p, next, nil
}

// MustBeShownTo returns the partners, other than the declarer, whose services
// the plan changes, in order.
func (p *Plan) MustBeShownTo() []catalog.Partner {
	var partners []catalog.Partner
	for _, e := range p.Effects {
		if e.Partner != p.Partner && !slices.Contains(partners, e.Partner) {
			partners = append(partners, e.Partner)
		}
	}
	slices.Sort(partners)
	return partners
}

// NotYetShownTo returns the partners that must still be shown the plan.
func (p *Plan) NotYetShownTo() []catalog.Partner {
	return slices.DeleteFunc(p.MustBeShownTo(), func(partner catalog.Partner) bool {
		_, shown := p.Shown[partner]
		return shown
	})
}

// effects compares the services of both configurations. Its cost is linear in
// the services plus the targets of the pools that changed.
func effects(base, next *catalog.Catalog) []Effect {
	views := [2]*view{newView(base), newView(next)}
	var list []Effect
	for _, name := range unionOfNames(base, next) {
		e, differs := compare(name, views)
		if differs {
			list = append(list, e)
		}
	}
	return list
}

// view holds what the effects need of one configuration.
type view struct {
	catalog *catalog.Catalog
	shares  map[string]int
}

func newView(c *catalog.Catalog) *view {
	v := &view{catalog: c, shares: make(map[string]int)}
	for _, s := range c.Services {
		v.shares[s.Pool] += s.Share
	}
	return v
}

// activeTargets returns the targets that take new work, as name@address, and
// their total slots. The address is part of the identity: a target that is
// replaced under its name sends the traffic elsewhere.
func (v *view) activeTargets(pool string) ([]string, int) {
	var names []string
	slots := 0
	for _, t := range v.catalog.Pools[pool].Targets {
		if !t.Leaving {
			names = append(names, t.Name+"@"+t.Address.String())
			slots += t.Slots
		}
	}
	return names, slots
}

func compare(name string, views [2]*view) (Effect, bool) {
	before, existed := views[0].catalog.Services[name]
	after, exists := views[1].catalog.Services[name]
	e := Effect{Service: name, Partner: after.Partner}
	if !exists {
		e.Partner = before.Partner
	}
	var targets [2][]string
	if existed {
		targets[0] = e.fill(0, before, views[0])
	}
	if exists {
		targets[1] = e.fill(1, after, views[1])
	}
	e.TargetsLost = missing(targets[0], targets[1])
	e.TargetsGained = missing(targets[1], targets[0])
	e.Changed = changedFields(before, after, existed, exists)
	if existed && exists && views[0].catalog.Pools[before.Pool].OffersPerThousand != views[1].catalog.Pools[after.Pool].OffersPerThousand {
		e.Changed = append(e.Changed, "measuring-budget")
	}
	differs := e.SlotsBefore != e.SlotsAfter || e.SharePerMille[0] != e.SharePerMille[1] ||
		len(e.TargetsLost)+len(e.TargetsGained)+len(e.Changed) > 0
	return e, differs
}

// fill sets the slots and the share of one side and returns its targets.
func (e *Effect) fill(side int, s catalog.Service, v *view) []string {
	names, slots := v.activeTargets(s.Pool)
	total := v.shares[s.Pool]
	share := float64(s.Share) / float64(total)
	e.SharePerMille[side] = 1000 * s.Share / total
	if side == 0 {
		e.SlotsBefore = share * float64(slots)
	} else {
		e.SlotsAfter = share * float64(slots)
	}
	return names
}

func changedFields(before, after catalog.Service, existed, exists bool) []string {
	switch {
	case existed && !exists:
		return []string{"withdrawn"}
	case !existed && exists:
		return []string{"fronted"}
	}
	var changed []string
	if before.Pool != after.Pool {
		changed = append(changed, "pool")
	}
	if !slices.Equal(before.Hosts, after.Hosts) {
		changed = append(changed, "hosts")
	}
	if !slices.EqualFunc(before.Kinds, after.Kinds, equalKinds) {
		changed = append(changed, "kinds")
	}
	if before.Objective != after.Objective {
		changed = append(changed, "objective")
	}
	return changed
}

func equalKinds(a, b catalog.Kind) bool {
	if !slices.Equal(a.Methods, b.Methods) {
		return false
	}
	a.Methods, b.Methods = nil, nil
	return a.Name == b.Name && a.PathPrefix == b.PathPrefix && a.Weight == b.Weight &&
		a.Deadline == b.Deadline && a.Idempotent == b.Idempotent && a.MayWait == b.MayWait && a.ArriveWithin == b.ArriveWithin
}

// missing returns the names of a that b lacks.
func missing(a, b []string) []string {
	in := make(map[string]bool, len(b))
	for _, name := range b {
		in[name] = true
	}
	var names []string
	for _, name := range a {
		if !in[name] {
			names = append(names, name)
		}
	}
	return names
}

func unionOfNames(a, b *catalog.Catalog) []string {
	var names []string
	for name := range a.Services {
		names = append(names, name)
	}
	for name := range b.Services {
		if _, both := a.Services[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
