// Package confirmation turns intents into plans and plans into the
// configuration in force.
//
// All state lies in the platform's store: one value per open plan, one value per
// service and per pool, and one head that names them. A confirmation swaps the
// head. Nothing is in force before that swap, and the swap needs the revision
// that the plan was computed from.
//
// # Usage
//
//	s := confirmation.New(store, nil, time.Now, uuid.NewString)
//	p, err := s.Declare(ctx, operator, intent)
//	p, err = s.Show(ctx, otherOperator, p.ID)
//	err = s.MarkShown(ctx, otherOperator, p.ID)
//	done, err := s.Confirm(ctx, operator, p.ID)
package confirmation

// This file defines Service: declare, show and confirm.

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
	// MaxOpenPlans is the number of plans that a partner may have open.
	MaxOpenPlans = 32
	// PlanLifetime is the age at which an open plan is removed.
	PlanLifetime = time.Hour
	// retryAfter is what operators are told while the store is down.
	retryAfter = 10 * time.Second
	// settleAttempts bounds the tries to learn the outcome of an unclear swap.
	settleAttempts = 4
)

// Operator is an authenticated person acting for a partner.
type Operator struct {
	Partner catalog.Partner
	Name    string
}

// Documents looks up a document that the process holds already.
type Documents func(key string) ([]byte, bool)

// Service answers operators. It is safe for concurrent use; it holds no state.
type Service struct {
	store store.Store
	held  Documents
	now   func() time.Time
	newID func() string
	// fences says that an unclear swap is fenced before it is called failed.
	fences bool
}

// New returns a service over the store. held saves reads of documents that the
// process has and may be nil. newID returns a unique id per call.
func New(s store.Store, held Documents, now func() time.Time, newID func() string) *Service {
	return &Service{store: s, held: held, now: now, newID: newID, fences: true}
}

// Load reads the head and the documents that it names, except those that held
// returns.
func Load(ctx context.Context, s store.Store, held Documents) (*catalog.Head, store.Revision, *catalog.Catalog, error) {
	head, version, err := loadHead(ctx, s)
	if err != nil {
		return nil, store.Revision{}, nil, err
	}
	c, err := catalog.Assemble(head, func(isPool bool, name string, digest catalog.Digest) ([]byte, error) {
		key := catalog.DocumentKey(isPool, name, digest)
		if held != nil {
			if content, ok := held(key); ok {
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
		return catalog.New().HeadAfter(&catalog.Head{}, catalog.Confirmation{}).WithoutHistory(), store.Revision{}, nil
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

// Declare computes and stores the plan of an intent. Errors:
// *catalog.FieldError, ErrTooManyPlans, ErrNotYours, *UnavailableError.
func (s *Service) Declare(ctx context.Context, by Operator, in *catalog.Intent) (*plan.Plan, error) {
	if in.Partner != by.Partner {
		return nil, errors.Wrapf(ErrNotYours, "operator of %s, intent of %s", by.Partner, in.Partner)
	}
	if err := s.makeRoom(ctx, by.Partner); err != nil {
		return nil, err
	}
	_, _, base, err := Load(ctx, s.store, s.held)
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
	if _, err := s.store.Swap(ctx, planKey(p.ID), store.Revision{}, encode(p)); err != nil {
		return nil, unavailable(err)
	}
	return p, nil
}

// makeRoom removes plans that are past their lifetime and refuses when too many
// are left.
func (s *Service) makeRoom(ctx context.Context, partner catalog.Partner) error {
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

// Plans returns the open plans that the operator's partner declared or must be
// shown.
func (s *Service) Plans(ctx context.Context, by Operator) ([]*plan.Plan, error) {
	all, _, err := s.list(ctx, planKey(""))
	if err != nil {
		return nil, err
	}
	var mine []*plan.Plan
	for _, p := range all {
		if concerns(p, by.Partner) {
			mine = append(mine, p)
		}
	}
	return mine, nil
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

// Show returns a plan. Errors: ErrUnknownPlan, ErrNotYours, *UnavailableError.
func (s *Service) Show(ctx context.Context, by Operator, id string) (*plan.Plan, error) {
	p, _, err := s.load(ctx, id)
	if err != nil {
		return nil, err
	}
	if !concerns(p, by.Partner) {
		return nil, errors.Wrap(ErrNotYours, id)
	}
	return p, nil
}

// MarkShown records that the operator, of an affected partner, was shown the
// plan. It is a step of its own, after the plan has reached the operator: a
// record made before could stand though its answer was lost. Errors as of Show.
func (s *Service) MarkShown(ctx context.Context, by Operator, id string) error {
	p, version, err := s.load(ctx, id)
	if err != nil {
		return err
	}
	if !concerns(p, by.Partner) {
		return errors.Wrap(ErrNotYours, id)
	}
	if _, shown := p.Shown[by.Partner]; shown || p.Partner == by.Partner {
		return nil
	}
	p.Shown[by.Partner] = plan.Shown{Operator: by.Name, UnixMilli: s.now().UnixMilli()}
	if _, err := s.store.Swap(ctx, planKey(id), version, encode(p)); err != nil {
		return unavailable(err)
	}
	return nil
}

// Confirm puts a plan in force and returns its confirmation. Confirming a plan
// that is in force already returns the same confirmation. Errors:
// ErrUnknownPlan, ErrNotYours, *StaleError, *NotShownError, *UnavailableError,
// *UndecidedError.
func (s *Service) Confirm(ctx context.Context, by Operator, id string) (catalog.Confirmation, error) {
	head, version, base, err := Load(ctx, s.store, s.held)
	if err != nil {
		return catalog.Confirmation{}, unavailable(err)
	}
	if done, ok := head.Confirmed(id); ok {
		return done, ownConfirmation(done, by)
	}
	p, _, err := s.load(ctx, id)
	if err != nil {
		return catalog.Confirmation{}, err
	}
	if p.Partner != by.Partner {
		return catalog.Confirmation{}, errors.Wrap(ErrNotYours, id)
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

func ownConfirmation(done catalog.Confirmation, by Operator) error {
	if done.Partner != by.Partner {
		return errors.Wrap(ErrNotYours, done.ID)
	}
	return nil
}

// stale stores the fresh plan of the same intent and returns the refusal.
func (s *Service) stale(ctx context.Context, by Operator, p *plan.Plan, base *catalog.Catalog) error {
	refusal := &StaleError{Base: p.BaseRevision, Current: base.Revision}
	if err := s.makeRoom(ctx, by.Partner); err != nil {
		refusal.Cause = err
		return refusal
	}
	refusal.Fresh, refusal.Cause = s.storePlan(ctx, by, base, &p.Intent)
	return refusal
}

func (s *Service) swap(ctx context.Context, by Operator, p *plan.Plan, head *catalog.Head, version store.Revision, next *catalog.Catalog) (catalog.Confirmation, error) {
	confirmation := catalog.Confirmation{
		ID: p.ID, Revision: next.Revision, Partner: by.Partner, Operator: by.Name,
		Reason: p.Intent.Reason, UnixMilli: s.now().UnixMilli(),
	}
	if err := s.storeDocuments(ctx, head, next); err != nil {
		return catalog.Confirmation{}, unavailable(err)
	}
	_, err := s.store.Swap(ctx, HeadKey, version, encode(next.HeadAfter(head, confirmation)))
	switch {
	case err == nil:
		return confirmation, nil
	case errors.Is(err, store.ErrConflict):
		return s.afterConflict(ctx, by, p)
	case errors.Is(err, store.ErrUnclear):
		return s.settle(ctx, by, p, version)
	}
	return catalog.Confirmation{}, unavailable(err)
}

// afterConflict tells whether an earlier try of the same plan won the swap or
// another confirmation did.
func (s *Service) afterConflict(ctx context.Context, by Operator, p *plan.Plan) (catalog.Confirmation, error) {
	head, _, base, err := Load(ctx, s.store, s.held)
	if err != nil {
		return catalog.Confirmation{}, &UndecidedError{PlanID: p.ID, Cause: err}
	}
	if done, ok := head.Confirmed(p.ID); ok {
		return done, nil
	}
	if base.Revision == p.BaseRevision {
		return catalog.Confirmation{}, unavailable(store.ErrConflict)
	}
	return catalog.Confirmation{}, s.stale(ctx, by, p, base)
}

// settle learns the outcome of a swap whose answer was lost. Reading the head is
// not enough: the swap may land after the read. A further swap of the same
// content fences it: when the fence lands first, the lost swap can only fail.
func (s *Service) settle(ctx context.Context, by Operator, p *plan.Plan, version store.Revision) (catalog.Confirmation, error) {
	var last error
	for range settleAttempts {
		head, current, err := loadHead(ctx, s.store)
		if err != nil {
			last = err
			continue
		}
		if done, ok := head.Confirmed(p.ID); ok {
			return done, nil
		}
		if current != version {
			return s.afterConflict(ctx, by, p)
		}
		if !s.fences {
			return catalog.Confirmation{}, unavailable(store.ErrDown)
		}
		head.Fence = s.newID()
		if _, err = s.store.Swap(ctx, HeadKey, version, encode(head)); err == nil {
			return catalog.Confirmation{}, unavailable(store.ErrDown)
		}
		last = err
	}
	return catalog.Confirmation{}, &UndecidedError{PlanID: p.ID, Cause: last}
}

// storeDocuments writes the documents that head does not name. Documents are
// keyed by their content, so a conflict means that the value is there already.
func (s *Service) storeDocuments(ctx context.Context, head *catalog.Head, next *catalog.Catalog) error {
	for _, d := range next.Documents() {
		known := head.Services[d.Name]
		if d.IsPool {
			known = head.Pools[d.Name]
		}
		if known == d.Digest {
			continue
		}
		_, err := s.store.Swap(ctx, d.Key(), store.Revision{}, d.Content)
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
	return &UnavailableError{RetryAfter: retryAfter, Cause: err}
}

func planKey(id string) string { return "plans/" + id }

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("confirmation: %T cannot be encoded: %v", v, err))
	}
	return data
}
