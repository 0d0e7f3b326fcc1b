package store

// This file defines Revision, the order of the changes of the store, and EraGuard, which
// enforces it.

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

// Revision identifies a state of the store. The store may be restored from a backup that
// lacks its latest changes. Era increases then, and numbers are used again, so revisions
// are compared by era first. The zero value stands for an absent key.
type Revision struct {
	_      struct{} `cbor:",toarray"`
	Era    uint64
	Number uint64
}

// NewRevision returns the revision with an era and a number.
func NewRevision(era, number uint64) Revision { return Revision{Era: era, Number: number} }

// Compare returns a negative number if r is earlier than other, a positive one if it is
// later, and 0 if they are equal.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is later than other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether r is the revision of an absent key.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the era and the number, separated by a dot.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era, r.Number) }

// ParseRevision parses the format of String.
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

// MaxRevision returns the later one of two revisions.
func MaxRevision(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// EraGuard wraps a service and detects restores of the store by the era of its revisions:
// responses of an earlier era and watches across eras are errors, and conditions on
// revisions of an earlier era do not hold. It is safe for concurrent use.
type EraGuard struct {
	Service
	// era is the highest era seen in a response.
	era atomic.Uint64
}

var _ Service = (*EraGuard)(nil)

// NewEraGuard returns an EraGuard for a service.
func NewEraGuard(s Service) *EraGuard { return &EraGuard{Service: s} }

// observe records the era of a response. It returns false if the era is an earlier one.
func (g *EraGuard) observe(r Revision) bool {
	for {
		era := g.era.Load()
		if r.Era <= era {
			return r.Era == era
		}
		if g.era.CompareAndSwap(era, r.Era) {
			return true
		}
	}
}

// Get implements Service.
func (g *EraGuard) Get(ctx context.Context, key string) (Item, error) {
	item, err := g.Service.Get(ctx, key)
	if err == nil && !g.observe(item.Revision) {
		return Item{}, errors.Wrapf(ErrUnavailable, "get: response of era %d is outdated", item.Revision.Era)
	}
	return item, err
}

// Range implements Service.
func (g *EraGuard) Range(ctx context.Context, prefix string) (Page, error) {
	page, err := g.Service.Range(ctx, prefix)
	if err == nil && !g.observe(page.Revision) {
		return Page{}, errors.Wrapf(ErrUnavailable, "range: response of era %d is outdated", page.Revision.Era)
	}
	return page, err
}

// Watch implements Service. The history after a revision of another era counts as
// compacted.
func (g *EraGuard) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error) {
	if after.Era < g.era.Load() {
		return Page{}, errors.Wrapf(ErrCompacted, "watch: after %s", after)
	}
	page, err := g.Service.Watch(ctx, prefix, after, wait)
	switch {
	case err != nil:
		return Page{}, err
	case !g.observe(page.Revision):
		return Page{}, errors.Wrapf(ErrUnavailable, "watch: response of era %d is outdated", page.Revision.Era)
	case page.Revision.Era != after.Era:
		return Page{}, errors.Wrapf(ErrCompacted, "watch: after %s, but the response is of era %d", after, page.Revision.Era)
	}
	return page, nil
}

// Commit implements Service. A condition on a revision of an earlier era does not hold.
// If the era ends during the call, the outcome of a commit with such conditions is
// unknown.
func (g *EraGuard) Commit(ctx context.Context, conditions []Condition, writes []Put, deletes []string) (Revision, error) {
	for _, c := range conditions {
		if !c.Revision.IsZero() && c.Revision.Era < g.era.Load() {
			return Revision{}, errors.Wrapf(ErrConflict, "commit: condition on %s at %s is of an earlier era", c.Key, c.Revision)
		}
	}
	revision, err := g.Service.Commit(ctx, conditions, writes, deletes)
	if err != nil {
		return Revision{}, err
	}
	if !g.observe(revision) {
		return Revision{}, errors.Wrapf(ErrOutcomeUnknown, "commit: response of era %d is outdated", revision.Era)
	}
	for _, c := range conditions {
		if !c.Revision.IsZero() && c.Revision.Era != revision.Era {
			return Revision{}, errors.Wrapf(ErrOutcomeUnknown, "commit: condition on %s at %s, but the response is of era %d", c.Key, c.Revision, revision.Era)
		}
	}
	return revision, nil
}
