package store

// This file defines Revision, the order in which things happened at the store, and
// InOrder, which keeps to it.

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Revision is a moment in the life of the store. The store may come back from a copy that
// lacks its last changes; Era rises then, and numbers are given out again. So revisions
// are compared by their eras first. The zero value stands for an absent key.
type Revision struct {
	_      struct{} `cbor:",toarray"`
	Era    uint64
	Number uint64
}

// At returns the revision with a number in an era.
func At(era, number uint64) Revision { return Revision{Era: era, Number: number} }

// Compare orders revisions. It returns a negative number if r is the earlier one.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is later than another revision.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether r is that of an absent key.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the era and the number.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era, r.Number) }

// ParseRevision reads what String returns.
func ParseRevision(s string) (Revision, error) {
	era, number, ok := strings.Cut(s, ".")
	if !ok {
		return Revision{}, errors.Errorf("store: revision %q", s)
	}
	var r Revision
	var err error
	if r.Era, err = strconv.ParseUint(era, 10, 64); err != nil {
		return Revision{}, errors.Wrap(err, "store: revision")
	}
	if r.Number, err = strconv.ParseUint(number, 10, 64); err != nil {
		return Revision{}, errors.Wrap(err, "store: revision")
	}
	return r, nil
}

// Latest returns the later of two revisions.
func Latest(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// InOrder is a service that takes the eras of the store into account: answers of an era
// that has passed are errors, watches end with their era, and no condition is held
// against a key of another era. It is safe for concurrent use.
type InOrder struct {
	Service
	// era is the highest that was heard of.
	era atomic.Uint64
}

var _ Service = (*InOrder)(nil)

// NewInOrder returns a service over another one that tells the era in its revisions.
func NewInOrder(s Service) *InOrder { return &InOrder{Service: s} }

// current notes the era of an answer, and reports whether it has not passed.
func (o *InOrder) current(r Revision) bool {
	for {
		era := o.era.Load()
		if r.Era <= era {
			return r.Era == era
		}
		if o.era.CompareAndSwap(era, r.Era) {
			return true
		}
	}
}

// Get implements Service.
func (o *InOrder) Get(ctx context.Context, key string) (Item, error) {
	item, err := o.Service.Get(ctx, key)
	if err == nil && !o.current(item.Revision) {
		return Item{}, errors.Wrapf(ErrDown, "get: answer of era %d, which has passed", item.Revision.Era)
	}
	return item, err
}

// Range implements Service.
func (o *InOrder) Range(ctx context.Context, prefix string) (Page, error) {
	page, err := o.Service.Range(ctx, prefix)
	if err == nil && !o.current(page.Revision) {
		return Page{}, errors.Wrapf(ErrDown, "range: answer of era %d, which has passed", page.Revision.Era)
	}
	return page, err
}

// Watch implements Service. The history that a revision of another era names is gone.
func (o *InOrder) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error) {
	if after.Era < o.era.Load() {
		return Page{}, errors.Wrapf(ErrCompacted, "watch: after %s", after)
	}
	page, err := o.Service.Watch(ctx, prefix, after, wait)
	switch {
	case err != nil:
		return Page{}, err
	case !o.current(page.Revision):
		return Page{}, errors.Wrapf(ErrDown, "watch: answer of era %d, which has passed", page.Revision.Era)
	case page.Revision.Era != after.Era:
		return Page{}, errors.Wrapf(ErrCompacted, "watch: after %s, answer of era %d", after, page.Revision.Era)
	}
	return page, nil
}

// Commit implements Service. A condition on a revision of an era that has passed does not
// hold; whether it held is unclear when the era ended meanwhile.
func (o *InOrder) Commit(ctx context.Context, conditions []Condition, writes []Put, deletes []string) (Revision, error) {
	for _, c := range conditions {
		if !c.Revision.IsZero() && c.Revision.Era < o.era.Load() {
			return Revision{}, errors.Wrapf(ErrConflict, "commit: %s of %s, which has passed", c.Key, c.Revision)
		}
	}
	revision, err := o.Service.Commit(ctx, conditions, writes, deletes)
	if err != nil {
		return Revision{}, err
	}
	if !o.current(revision) {
		return Revision{}, errors.Wrapf(ErrUnclear, "commit: answer of era %d, which has passed", revision.Era)
	}
	for _, c := range conditions {
		if !c.Revision.IsZero() && c.Revision.Era != revision.Era {
			return Revision{}, errors.Wrapf(ErrUnclear, "commit: %s of %s in era %d", c.Key, c.Revision, revision.Era)
		}
	}
	return revision, nil
}
