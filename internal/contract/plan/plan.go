// Package plan computes what an intent changes and which partners it affects. It does no
// I/O.
//
// The effects are computed by comparing the configurations before and after the intent,
// never taken from the partner that declares it. They are given in slots: the slots of a
// service are the slots of those targets of its pool that are not draining, times the
// service's share of the pool.
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

// Effect describes what a plan changes for one service.
type Effect struct {
	Partner     catalog.Partner `json:"partner"`
	Service     string          `json:"service"`
	SlotsBefore float64         `json:"slots-before"`
	SlotsAfter  float64         `json:"slots-after"`
	// SharePerMille is the service's share of its pool before and after the plan.
	SharePerMille [2]int `json:"share-per-mille"`
	// TargetsGained and TargetsLost list targets as name@address.
	TargetsGained []string `json:"targets-gained,omitempty"`
	TargetsLost   []string `json:"targets-lost,omitempty"`
	// Changed lists the fields of the service that change, "fronted" for a new service,
	// "withdrawn" for a removed one, and "measuring-budget" for a changed measuring budget
	// of its pool.
	Changed []string `json:"changed,omitempty"`
}

// String returns a one-line description of the effect.
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

// Shown records which operator of an affected partner was shown the plan, and when.
type Shown struct {
	Operator  string `json:"operator"`
	UnixMilli int64  `json:"unix-milli"`
}

// Plan is an intent together with its effects on a revision of the configuration.
type Plan struct {
	ID       string          `json:"id"`
	Partner  catalog.Partner `json:"partner"`
	Operator string          `json:"operator"`
	Intent   catalog.Intent  `json:"intent"`
	// BaseRevision is the revision that the effects were computed from.
	BaseRevision uint64   `json:"base-revision"`
	Effects      []Effect `json:"effects"`
	// Shown holds the affected partners that have been shown the plan.
	Shown     map[catalog.Partner]Shown `json:"shown"`
	UnixMilli int64                     `json:"unix-milli"`
}

// Compute returns the plan of an intent and the configuration that results from applying
// the intent to base. The caller sets ID, Operator and UnixMilli of the plan. The error is
// a *catalog.FieldError.
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

// MustBeShownTo returns the partners that must be shown the plan before it can be
// confirmed: all partners with affected services, except the one that declared the plan.
// The result is sorted.
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

// NotYetShownTo returns the partners of MustBeShownTo that have not been shown the plan.
func (p *Plan) NotYetShownTo() []catalog.Partner {
	return slices.DeleteFunc(p.MustBeShownTo(), func(partner catalog.Partner) bool {
		_, shown := p.Shown[partner]
		return shown
	})
}

// effects returns the effects on all services that differ between base and next, sorted by
// service name. The cost is linear in the services and the targets of each service's pool.
func effects(base, next *catalog.Catalog) []Effect {
	states := [2]*state{newState(base), newState(next)}
	var changed []Effect
	for _, name := range serviceNames(base, next) {
		e, differs := compareService(name, states)
		if differs {
			changed = append(changed, e)
		}
	}
	return changed
}

// state is one of the two configurations that are compared.
type state struct {
	catalog *catalog.Catalog
	// poolShares is the sum of the services' shares per pool.
	poolShares map[string]int
}

func newState(c *catalog.Catalog) *state {
	st := &state{catalog: c, poolShares: make(map[string]int)}
	for _, s := range c.Services {
		st.poolShares[s.Pool] += s.Share
	}
	return st
}

// activeTargets returns the targets of the pool that are not draining, as name@address, and
// the sum of their slots. The address is part of the identity because a target that is
// replaced by one of the same name redirects traffic to another server.
func (st *state) activeTargets(pool string) ([]string, int) {
	var names []string
	slots := 0
	for _, t := range st.catalog.Pools[pool].Targets {
		if !t.Draining {
			names = append(names, t.Name+"@"+t.Address.String())
			slots += t.Slots
		}
	}
	return names, slots
}

// compareService returns the effect on the service with the given name and whether
// anything changes. The elements of states are the configurations before and after.
func compareService(name string, states [2]*state) (Effect, bool) {
	before, existed := states[0].catalog.Services[name]
	after, exists := states[1].catalog.Services[name]
	e := Effect{Service: name, Partner: after.Partner}
	if !exists {
		e.Partner = before.Partner
	}
	var targets [2][]string
	if existed {
		targets[0] = e.setSide(0, before, states[0])
	}
	if exists {
		targets[1] = e.setSide(1, after, states[1])
	}
	e.TargetsLost = difference(targets[0], targets[1])
	e.TargetsGained = difference(targets[1], targets[0])
	e.Changed = changedFields(before, after, existed, exists)
	if existed && exists && states[0].catalog.Pools[before.Pool].OffersPerThousand != states[1].catalog.Pools[after.Pool].OffersPerThousand {
		e.Changed = append(e.Changed, "measuring-budget")
	}
	differs := e.SlotsBefore != e.SlotsAfter || e.SharePerMille[0] != e.SharePerMille[1] ||
		len(e.TargetsLost)+len(e.TargetsGained)+len(e.Changed) > 0
	return e, differs
}

// setSide sets the slots and the share before (side 0) or after (side 1) the change and
// returns the active targets of the service on that side.
func (e *Effect) setSide(side int, s catalog.Service, st *state) []string {
	names, slots := st.activeTargets(s.Pool)
	total := st.poolShares[s.Pool]
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
		a.Deadline == b.Deadline && a.Idempotent == b.Idempotent && a.MayWait == b.MayWait && a.CompleteWithin == b.CompleteWithin
}

// difference returns the elements of a that are not in b.
func difference(a, b []string) []string {
	inB := make(map[string]bool, len(b))
	for _, name := range b {
		inB[name] = true
	}
	var names []string
	for _, name := range a {
		if !inB[name] {
			names = append(names, name)
		}
	}
	return names
}

// serviceNames returns the sorted names of the services in a or b.
func serviceNames(a, b *catalog.Catalog) []string {
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
