package catalog

// This file defines Intent, a set of configuration changes, and Apply.

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/contract/document"
)

const (
	// MaxIntentBytes is the maximum size of an intent document.
	MaxIntentBytes = 256 << 10
	// maxTargetsPerPool keeps a pool document far below the store's value limit of 1 MB.
	maxTargetsPerPool = 2000
	// maxSlots is the maximum number of slots of one target.
	maxSlots = 10000
	// maxShare is the maximum share of a service in its pool.
	maxShare = 1000
	// maxDeadline is the maximum deadline of a kind.
	maxDeadline = time.Hour
)

// namePattern matches kebab-case names. Names of partners, services, kinds, pools,
// targets and domains must match it.
var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// Join adds a target to a pool. The pool is created when it does not exist.
type Join struct {
	Pool   string `json:"pool"`
	Target Target `json:"target"`
}

// Leave drains a target or removes it from its pool.
type Leave struct {
	Pool   string `json:"pool"`
	Target string `json:"target"`
	// Remove deletes the target at once instead of marking it as draining.
	Remove bool `json:"remove,omitempty"`
}

// ShareChange sets the share of a service in its pool.
type ShareChange struct {
	Service string `json:"service"`
	Share   int    `json:"share"`
}

// MeasuringBudget sets the measuring budget of a pool.
type MeasuringBudget struct {
	Pool              string `json:"pool"`
	OffersPerThousand int    `json:"offers-per-thousand"`
}

// maxOffersPerThousand is the maximum of MeasuringBudget.OffersPerThousand.
const maxOffersPerThousand = 1000

// Intent is a set of changes that one partner declares and that are applied together.
type Intent struct {
	Partner Partner `json:"partner"`
	Reason  string  `json:"reason"`
	// Front lists services to expose or to replace.
	Front []Service `json:"front,omitempty"`
	// Withdraw lists services to remove.
	Withdraw []string          `json:"withdraw,omitempty"`
	Shares   []ShareChange     `json:"shares,omitempty"`
	Join     []Join            `json:"join,omitempty"`
	Leave    []Leave           `json:"leave,omitempty"`
	Budgets  []MeasuringBudget `json:"budgets,omitempty"`
}

// FieldError reports an invalid value in a field of an intent.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// ParseIntent decodes and validates an intent document. The error is a *document.Error
// with the line and the field.
func ParseIntent(file string, data []byte) (*Intent, error) {
	if len(data) > MaxIntentBytes {
		return nil, &document.Error{File: file, Line: 1, Reason: fmt.Sprintf("%d bytes, the limit is %d", len(data), MaxIntentBytes)}
	}
	var in Intent
	if err := document.Decode(file, data, &in); err != nil {
		return nil, err
	}
	if err := in.validate(); err != nil {
		field, _ := err.(*FieldError) //nolint:errorlint // validate returns *FieldError only.
		return nil, document.Invalid(file, data, field.Field, field.Reason)
	}
	return &in, nil
}

func (in *Intent) validate() error {
	if !namePattern.MatchString(string(in.Partner)) {
		return fieldErrorf("partner", "want a kebab-case name, got %q", in.Partner)
	}
	if strings.TrimSpace(in.Reason) == "" {
		return fieldErrorf("reason", "say why the change is made")
	}
	for i, s := range in.Front {
		if err := s.validate(fmt.Sprintf("front[%d]", i)); err != nil {
			return err
		}
		if s.Partner != in.Partner {
			return fieldErrorf(fmt.Sprintf("front[%d].partner", i), "%q cannot front a service of %q", in.Partner, s.Partner)
		}
	}
	for i, j := range in.Join {
		if err := j.validate(fmt.Sprintf("join[%d]", i)); err != nil {
			return err
		}
	}
	for i, s := range in.Shares {
		if s.Share < 1 || s.Share > maxShare {
			return fieldErrorf(fmt.Sprintf("shares[%d].share", i), "want 1 to %d, got %d", maxShare, s.Share)
		}
	}
	return nil
}

func (s *Service) validate(path string) error {
	switch {
	case !namePattern.MatchString(s.Name):
		return fieldErrorf(path+".name", "want a kebab-case name, got %q", s.Name)
	case !namePattern.MatchString(s.Pool):
		return fieldErrorf(path+".pool", "want a kebab-case name, got %q", s.Pool)
	case len(s.Hosts) == 0:
		return fieldErrorf(path+".hosts", "want at least one host name")
	case s.Share < 1 || s.Share > maxShare:
		return fieldErrorf(path+".share", "want 1 to %d, got %d", maxShare, s.Share)
	case len(s.Kinds) == 0:
		return fieldErrorf(path+".kinds", "want at least one kind of request")
	case s.Objective.GoodPerThousand < 1 || s.Objective.GoodPerThousand > 999:
		return fieldErrorf(path+".objective.good-per-thousand", "want 1 to 999, got %d", s.Objective.GoodPerThousand)
	case s.Objective.Latency <= 0:
		return fieldErrorf(path+".objective.latency", "want a time above zero")
	}
	for i, k := range s.Kinds {
		if err := k.validate(fmt.Sprintf("%s.kinds[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

func (k *Kind) validate(path string) error {
	switch {
	case !namePattern.MatchString(k.Name):
		return fieldErrorf(path+".name", "want a kebab-case name, got %q", k.Name)
	case !strings.HasPrefix(k.PathPrefix, "/"):
		return fieldErrorf(path+".path-prefix", "want a path that starts with /, got %q", k.PathPrefix)
	case k.Weight < 1:
		return fieldErrorf(path+".weight", "want at least 1, got %d", k.Weight)
	case k.Deadline.Std() <= 0 || k.Deadline.Std() > maxDeadline:
		return fieldErrorf(path+".deadline", "want a time above zero and up to %s", maxDeadline)
	case k.MayWait && !k.Idempotent:
		return fieldErrorf(path+".may-wait", "work that may wait is retried, so the kind must be idempotent")
	case k.MayWait != (k.CompleteWithin > 0):
		return fieldErrorf(path+".arrive-within", "want a time above zero for work that may wait, and for no other")
	}
	return nil
}

// Matches reports whether a request with the method and path is of this kind.
func (k *Kind) Matches(method, path string) bool {
	if len(k.Methods) > 0 && !slices.Contains(k.Methods, method) {
		return false
	}
	return strings.HasPrefix(path, k.PathPrefix)
}

// KindOf returns the kind of a request: among the matching kinds, the one with the longest
// path prefix.
func (s *Service) KindOf(method, path string) (*Kind, bool) {
	var best *Kind
	for i := range s.Kinds {
		k := &s.Kinds[i]
		if !k.Matches(method, path) {
			continue
		}
		if best == nil || len(k.PathPrefix) > len(best.PathPrefix) {
			best = k
		}
	}
	return best, best != nil
}

func (j *Join) validate(path string) error {
	t := j.Target
	switch {
	case !namePattern.MatchString(j.Pool):
		return fieldErrorf(path+".pool", "want a kebab-case name, got %q", j.Pool)
	case !namePattern.MatchString(t.Name):
		return fieldErrorf(path+".target.name", "want a kebab-case name, got %q", t.Name)
	case !t.Address.IsValid() || t.Address.Port() == 0:
		return fieldErrorf(path+".target.address", "want an IP number and a port")
	case t.Address.Addr().IsUnspecified() || t.Address.Addr().IsMulticast():
		return fieldErrorf(path+".target.address", "%s cannot be a target", t.Address)
	case !namePattern.MatchString(t.Domain):
		return fieldErrorf(path+".target.domain", "want a kebab-case name, got %q", t.Domain)
	case t.Slots < 1 || t.Slots > maxSlots:
		return fieldErrorf(path+".target.slots", "want 1 to %d, got %d", maxSlots, t.Slots)
	case t.Connections < t.Slots:
		return fieldErrorf(path+".target.connections", "want at least as many as slots, got %d", t.Connections)
	case t.Draining:
		return fieldErrorf(path+".target.leaving", "a target cannot join and leave in one intent")
	}
	return nil
}

// Apply returns the configuration that results from applying the intent to c, with the
// next revision. It does not modify c. The error is a *FieldError.
func Apply(c *Catalog, in *Intent) (*Catalog, error) {
	if err := in.validate(); err != nil {
		return nil, err
	}
	next := c.Clone()
	next.Revision = c.Revision + 1
	steps := []func(*Catalog, *Intent) error{applyLeaves, applyJoins, applyWithdrawals, applyFronts, applyShares, applyBudgets}
	for _, step := range steps {
		if err := step(next, in); err != nil {
			return nil, err
		}
	}
	return next, next.validateInvariants()
}

func applyLeaves(c *Catalog, in *Intent) error {
	for i, l := range in.Leave {
		field := fmt.Sprintf("leave[%d].target", i)
		pool, ok := c.Pools[l.Pool]
		if !ok {
			return fieldErrorf(field, "no pool %q", l.Pool)
		}
		at := slices.IndexFunc(pool.Targets, func(t Target) bool { return t.Name == l.Target })
		if at < 0 {
			return fieldErrorf(field, "no target %q in pool %q", l.Target, l.Pool)
		}
		if l.Remove {
			pool.Targets = slices.Delete(pool.Targets, at, at+1)
		} else {
			pool.Targets[at].Draining = true
		}
		c.Pools[l.Pool] = pool
	}
	return nil
}

func applyJoins(c *Catalog, in *Intent) error {
	for i, j := range in.Join {
		pool, exists := c.Pools[j.Pool]
		if !exists {
			pool = Pool{Name: j.Pool, OffersPerThousand: DefaultOffersPerThousand}
		}
		if slices.ContainsFunc(pool.Targets, func(t Target) bool { return t.Name == j.Target.Name }) {
			return fieldErrorf(fmt.Sprintf("join[%d].target.name", i), "pool %q has a target %q", j.Pool, j.Target.Name)
		}
		pool.Targets = append(pool.Targets, j.Target)
		if len(pool.Targets) > maxTargetsPerPool {
			return fieldErrorf(fmt.Sprintf("join[%d].pool", i), "pool %q would have over %d targets", j.Pool, maxTargetsPerPool)
		}
		c.Pools[j.Pool] = pool
	}
	return nil
}

func applyWithdrawals(c *Catalog, in *Intent) error {
	for i, name := range in.Withdraw {
		if err := checkOwner(c, in, name, fmt.Sprintf("withdraw[%d]", i)); err != nil {
			return err
		}
		delete(c.Services, name)
	}
	return nil
}

func applyFronts(c *Catalog, in *Intent) error {
	for i, s := range in.Front {
		old, exists := c.Services[s.Name]
		if exists && old.Partner != in.Partner {
			return fieldErrorf(fmt.Sprintf("front[%d].name", i), "service %q belongs to %q", s.Name, old.Partner)
		}
		c.Services[s.Name] = s
	}
	return nil
}

func applyShares(c *Catalog, in *Intent) error {
	for i, change := range in.Shares {
		if err := checkOwner(c, in, change.Service, fmt.Sprintf("shares[%d].service", i)); err != nil {
			return err
		}
		s := c.Services[change.Service]
		s.Share = change.Share
		c.Services[change.Service] = s
	}
	return nil
}

func applyBudgets(c *Catalog, in *Intent) error {
	for i, b := range in.Budgets {
		pool, ok := c.Pools[b.Pool]
		if !ok {
			return fieldErrorf(fmt.Sprintf("budgets[%d].pool", i), "no pool %q", b.Pool)
		}
		if b.OffersPerThousand < 0 || b.OffersPerThousand > maxOffersPerThousand {
			return fieldErrorf(fmt.Sprintf("budgets[%d].offers-per-thousand", i), "want 0 to %d, got %d", maxOffersPerThousand, b.OffersPerThousand)
		}
		pool.OffersPerThousand = b.OffersPerThousand
		c.Pools[b.Pool] = pool
	}
	return nil
}

func checkOwner(c *Catalog, in *Intent, name, field string) error {
	s, ok := c.Services[name]
	if !ok {
		return fieldErrorf(field, "no service %q", name)
	}
	if s.Partner != in.Partner {
		return fieldErrorf(field, "service %q belongs to %q", name, s.Partner)
	}
	return nil
}

// validateInvariants checks the invariants across services and pools: host names and target
// addresses are unique, and the pool of every service exists. It takes linear time.
func (c *Catalog) validateInvariants() error {
	serviceByHost := make(map[string]string)
	for _, name := range sortedKeys(c.Services) {
		s := c.Services[name]
		if _, ok := c.Pools[s.Pool]; !ok {
			return fieldErrorf("front", "service %q needs pool %q, which does not exist", name, s.Pool)
		}
		for _, host := range s.Hosts {
			if other, taken := serviceByHost[host]; taken {
				return fieldErrorf("front", "host %q is fronted by %q and %q", host, other, name)
			}
			serviceByHost[host] = name
		}
	}
	targetByAddress := make(map[string]string)
	for _, name := range sortedKeys(c.Pools) {
		for _, t := range c.Pools[name].Targets {
			address := t.Address.String()
			if other, taken := targetByAddress[address]; taken {
				return fieldErrorf("join", "address %s is used by %q and %q", address, other, t.Name)
			}
			targetByAddress[address] = t.Name
		}
	}
	return nil
}
