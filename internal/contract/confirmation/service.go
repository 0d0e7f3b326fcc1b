// Package confirmation computes plans from intents and activates plans that operators
// confirm.
//
// All state is kept in the platform's store: one value per open plan, one document per
// service and per pool, and one head that lists the documents. Confirming a plan replaces
// the head by a compare-and-swap, which fails unless the head is still at the revision
// that the plan was computed from. A plan has no effect before that swap.
//
// # Usage
//
//	s := confirmation.New(store, nil, time.Now, uuid.NewString)
//	p, err := s.Declare(ctx, operator, intent)
//	p, err = s.Show(ctx, otherOperator, p.ID)
//	err = s.MarkShown(ctx, otherOperator, p.ID)
//	conf, err := s.Confirm(ctx, operator, p.ID)
package confirmation

// This file defines Service, which declares, shows and confirms plans.

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/plan"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

const (
	// HeadKey is the store key of the head.
	HeadKey = "config/head"
	// MaxOpenPlans is the maximum number of open plans of a partner.
	MaxOpenPlans = 32
	// PlanLifetime is the age after which a plan no longer counts as open and may be
	// deleted.
	PlanLifetime = time.Hour
	// retryDelay is the UnavailableError.RetryAfter that is reported while the store is
	// unavailable.
	retryDelay = 10 * time.Second
	// maxResolveAttempts bounds the attempts to resolve a swap whose outcome is unknown.
	maxResolveAttempts = 4
)

// Operator is an authenticated person who acts for a partner.
type Operator struct {
	Partner catalog.Partner
	Name    string
}

// DocumentCache returns the cached content of the document with the given store key, if the
// process has it.
type DocumentCache func(key string) ([]byte, bool)

// Service implements the operations on plans. It is stateless and safe for concurrent use.
type Service struct {
	store  store.Store
	cached DocumentCache
	now    func() time.Time
	newID  func() string
	// fenceSwaps makes resolveSwap fence a swap of unknown outcome before it reports the swap
	// as failed. Only tests disable it.
	fenceSwaps bool
}

// New returns a service that keeps its state in s. Documents that cached returns are not
// read from the store; cached may be nil. newID returns a unique ID per call.
func New(s store.Store, cached DocumentCache, now func() time.Time, newID func() string) *Service {
	return &Service{store: s, cached: cached, now: now, newID: newID, fenceSwaps: true}
}

// Load reads the head and assembles its configuration. Documents that cached returns are
// not read from the store. It also returns the version of the head in the store.
func Load(ctx context.Context, s store.Store, cached DocumentCache) (*catalog.Head, store.Revision, *catalog.Catalog, error) {
	head, version, err := loadHead(ctx, s)
	if err != nil {
		return nil, store.Revision{}, nil, err
	}
	c, err := catalog.Assemble(head, func(isPool bool, name string, digest catalog.Digest) ([]byte, error) {
		key := catalog.DocumentKey(isPool, name, digest)
		if cached != nil {
			if content, ok := cached(key); ok {
				return content, nil
			}
		}
		v, err := s.Get(ctx, key)
		return v.Data, err
	})
	return head, version, c, err
}

func loadHead(ctx context.Context, s store.Store) (*catalog.Head, store.Revision, error) {
	v, err := s.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return catalog.New().HeadAfter(&catalog.Head{}, catalog.Confirmation{}).ClearHistory(), store.Revision{}, nil
	}
	if err != nil {
		return nil, store.Revision{}, err
	}
	var head catalog.Head
	if err := json.Unmarshal(v.Data, &head); err != nil {
		return nil, store.Revision{}, errors.Wrap(err, "confirmation: head")
	}
	return &head, v.Version, nil
}

// Declare computes the plan of an intent and stores it. Errors: *catalog.FieldError,
// ErrTooManyPlans, ErrForbidden, *UnavailableError.
func (s *Service) Declare(ctx context.Context, by Operator, in *catalog.Intent) (*plan.Plan, error) {
	if in.Partner != by.Partner {
		return nil, errors.Wrapf(ErrForbidden, "operator of %s, intent of %s", by.Partner, in.Partner)
	}
	if err := s.enforcePlanLimit(ctx, by.Partner); err != nil {
		return nil, err
	}
	_, _, base, err := Load(ctx, s.store, s.cached)
	if err != nil {
		return nil, unavailable(err)
	}
	return s.storePlan(ctx, by, base, in)
}

func (s *Service) storePlan(ctx context.Context, by Operator, base *catalog.Catalog, in *catalog.Intent) (*plan.Plan, error) {
	p, _, err := plan.Compute(base, in)
	if err != nil {
		return nil, err
	}
	p.ID = fmt.Sprintf("%s.%s", by.Partner, s.newID())
	p.Operator = by.Name
	p.UnixMilli = s.now().UnixMilli()
	if _, err := s.store.CompareAndSwap(ctx, planKey(p.ID), store.Revision{}, encode(p)); err != nil {
		return nil, unavailable(err)
	}
	return p, nil
}

// enforcePlanLimit deletes the partner's plans that are older than PlanLifetime and
// returns ErrTooManyPlans if MaxOpenPlans or more remain.
func (s *Service) enforcePlanLimit(ctx context.Context, partner catalog.Partner) error {
	plans, versions, err := s.list(ctx, planKey(string(partner)+"."))
	if err != nil {
		return err
	}
	open := 0
	oldest := s.now().Add(-PlanLifetime).UnixMilli()
	for i, p := range plans {
		if p.UnixMilli >= oldest {
			open++
			continue
		}
		_ = s.store.Delete(ctx, planKey(p.ID), versions[i])
	}
	if open >= MaxOpenPlans {
		return errors.Wrapf(ErrTooManyPlans, "%s has %d", partner, open)
	}
	return nil
}

// Plans returns the open plans that the operator's partner declared or is affected by.
func (s *Service) Plans(ctx context.Context, by Operator) ([]*plan.Plan, error) {
	all, _, err := s.list(ctx, planKey(""))
	if err != nil {
		return nil, err
	}
	var visible []*plan.Plan
	for _, p := range all {
		if concerns(p, by.Partner) {
			visible = append(visible, p)
		}
	}
	return visible, nil
}

func (s *Service) list(ctx context.Context, prefix string) ([]*plan.Plan, []store.Revision, error) {
	values, err := s.store.List(ctx, prefix)
	if err != nil {
		return nil, nil, unavailable(err)
	}
	plans := make([]*plan.Plan, 0, len(values))
	versions := make([]store.Revision, 0, len(values))
	for _, v := range values {
		var p plan.Plan
		if err := json.Unmarshal(v.Data, &p); err != nil {
			return nil, nil, errors.Wrapf(err, "confirmation: %s", v.Key)
		}
		plans = append(plans, &p)
		versions = append(versions, v.Version)
	}
	return plans, versions, nil
}

// Show returns a plan. Errors: ErrUnknownPlan, ErrForbidden, *UnavailableError.
func (s *Service) Show(ctx context.Context, by Operator, id string) (*plan.Plan, error) {
	p, _, err := s.load(ctx, id)
	if err != nil {
		return nil, err
	}
	if !concerns(p, by.Partner) {
		return nil, errors.Wrap(ErrForbidden, id)
	}
	return p, nil
}

// MarkShown records that the operator, acting for an affected partner, was shown the plan.
// It is a separate call, made after the plan has reached the operator: if Show made the
// record, it would stand even if the response with the plan were lost. Errors are those of
// Show.
func (s *Service) MarkShown(ctx context.Context, by Operator, id string) error {
	p, version, err := s.load(ctx, id)
	if err != nil {
		return err
	}
	if !concerns(p, by.Partner) {
		return errors.Wrap(ErrForbidden, id)
	}
	if _, shown := p.Shown[by.Partner]; shown || p.Partner == by.Partner {
		return nil
	}
	p.Shown[by.Partner] = plan.Shown{Operator: by.Name, UnixMilli: s.now().UnixMilli()}
	if _, err := s.store.CompareAndSwap(ctx, planKey(id), version, encode(p)); err != nil {
		return unavailable(err)
	}
	return nil
}

// Confirm activates a plan and returns its confirmation. It is idempotent: confirming a
// plan that was confirmed before returns the same confirmation, as long as the history of
// the head contains it. Errors: ErrUnknownPlan, ErrForbidden, *StaleError, *NotShownError,
// *UnavailableError, *OutcomeUnknownError.
func (s *Service) Confirm(ctx context.Context, by Operator, id string) (catalog.Confirmation, error) {
	head, version, base, err := Load(ctx, s.store, s.cached)
	if err != nil {
		return catalog.Confirmation{}, unavailable(err)
	}
	if conf, ok := head.FindConfirmation(id); ok {
		return conf, checkOwner(conf, by)
	}
	p, _, err := s.load(ctx, id)
	if err != nil {
		return catalog.Confirmation{}, err
	}
	if p.Partner != by.Partner {
		return catalog.Confirmation{}, errors.Wrap(ErrForbidden, id)
	}
	if p.BaseRevision != base.Revision {
		return catalog.Confirmation{}, s.stale(ctx, by, p, base)
	}
	if missing := p.NotYetShownTo(); len(missing) > 0 {
		return catalog.Confirmation{}, &NotShownError{Partners: missing}
	}
	next, err := catalog.Apply(base, &p.Intent)
	if err != nil {
		return catalog.Confirmation{}, err
	}
	return s.swap(ctx, by, p, head, version, next)
}

func checkOwner(conf catalog.Confirmation, by Operator) error {
	if conf.Partner != by.Partner {
		return errors.Wrap(ErrForbidden, conf.ID)
	}
	return nil
}

// stale computes and stores a new plan of the same intent and returns a *StaleError.
func (s *Service) stale(ctx context.Context, by Operator, p *plan.Plan, base *catalog.Catalog) error {
	staleErr := &StaleError{Base: p.BaseRevision, Current: base.Revision}
	if err := s.enforcePlanLimit(ctx, by.Partner); err != nil {
		staleErr.Cause = err
		return staleErr
	}
	staleErr.NewPlan, staleErr.Cause = s.storePlan(ctx, by, base, &p.Intent)
	return staleErr
}

func (s *Service) swap(ctx context.Context, by Operator, p *plan.Plan, head *catalog.Head, version store.Revision, next *catalog.Catalog) (catalog.Confirmation, error) {
	conf := catalog.Confirmation{
		ID: p.ID, Revision: next.Revision, Partner: by.Partner, Operator: by.Name,
		Reason: p.Intent.Reason, UnixMilli: s.now().UnixMilli(),
	}
	if err := s.storeDocuments(ctx, head, next); err != nil {
		return catalog.Confirmation{}, unavailable(err)
	}
	_, err := s.store.CompareAndSwap(ctx, HeadKey, version, encode(next.HeadAfter(head, conf)))
	switch {
	case err == nil:
		return conf, nil
	case errors.Is(err, store.ErrConflict):
		return s.resolveConflict(ctx, by, p)
	case errors.Is(err, store.ErrOutcomeUnknown):
		return s.resolveSwap(ctx, by, p, version)
	}
	return catalog.Confirmation{}, unavailable(err)
}

// resolveConflict handles a swap that failed because the head has another version: either
// an earlier attempt of the same plan succeeded, or another plan was confirmed first.
func (s *Service) resolveConflict(ctx context.Context, by Operator, p *plan.Plan) (catalog.Confirmation, error) {
	head, _, base, err := Load(ctx, s.store, s.cached)
	if err != nil {
		return catalog.Confirmation{}, &OutcomeUnknownError{PlanID: p.ID, Cause: err}
	}
	if conf, ok := head.FindConfirmation(p.ID); ok {
		return conf, nil
	}
	if base.Revision == p.BaseRevision {
		return catalog.Confirmation{}, unavailable(store.ErrConflict)
	}
	return catalog.Confirmation{}, s.stale(ctx, by, p, base)
}

// resolveSwap resolves a swap of the head whose outcome is unknown. Reading the head is not
// enough, because the swap may be applied after the read. A second swap from the same
// version, which changes only Fence, acts as a fence: once it succeeds, the first swap can
// only fail.
func (s *Service) resolveSwap(ctx context.Context, by Operator, p *plan.Plan, version store.Revision) (catalog.Confirmation, error) {
	var lastErr error
	for range maxResolveAttempts {
		head, current, err := loadHead(ctx, s.store)
		if err != nil {
			lastErr = err
			continue
		}
		if conf, ok := head.FindConfirmation(p.ID); ok {
			return conf, nil
		}
		if current != version {
			return s.resolveConflict(ctx, by, p)
		}
		if !s.fenceSwaps {
			return catalog.Confirmation{}, unavailable(store.ErrUnavailable)
		}
		head.Fence = s.newID()
		if _, err = s.store.CompareAndSwap(ctx, HeadKey, version, encode(head)); err == nil {
			return catalog.Confirmation{}, unavailable(store.ErrUnavailable)
		}
		lastErr = err
	}
	return catalog.Confirmation{}, &OutcomeUnknownError{PlanID: p.ID, Cause: lastErr}
}

// storeDocuments writes the documents of next that head does not list. Store keys contain
// the digest of the content, so a conflict means that the document is stored already.
func (s *Service) storeDocuments(ctx context.Context, head *catalog.Head, next *catalog.Catalog) error {
	for _, d := range next.Documents() {
		stored := head.Services[d.Name]
		if d.IsPool {
			stored = head.Pools[d.Name]
		}
		if stored == d.Digest {
			continue
		}
		_, err := s.store.CompareAndSwap(ctx, d.Key(), store.Revision{}, d.Content)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return nil
}

func (s *Service) load(ctx context.Context, id string) (*plan.Plan, store.Revision, error) {
	if strings.Contains(id, "/") {
		return nil, store.Revision{}, errors.Wrap(ErrUnknownPlan, id)
	}
	v, err := s.store.Get(ctx, planKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return nil, store.Revision{}, errors.Wrap(ErrUnknownPlan, id)
	}
	if err != nil {
		return nil, store.Revision{}, unavailable(err)
	}
	var p plan.Plan
	if err := json.Unmarshal(v.Data, &p); err != nil {
		return nil, store.Revision{}, errors.Wrapf(err, "confirmation: plan %s", id)
	}
	return &p, v.Version, nil
}

// concerns reports whether the partner declared the plan or is affected by it.
func concerns(p *plan.Plan, partner catalog.Partner) bool {
	if p.Partner == partner {
		return true
	}
	for _, e := range p.Effects {
		if e.Partner == partner {
			return true
		}
	}
	return false
}

func unavailable(err error) error {
	return &UnavailableError{RetryAfter: retryDelay, Cause: err}
}

func planKey(id string) string { return "plans/" + id }

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("confirmation: cannot encode %T: %v", v, err))
	}
	return data
}
