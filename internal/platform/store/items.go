package store

// This file defines the items of the key-value service and the interfaces to them,
// including transactions over several keys.

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted reports that the history after a revision has been compacted.
var ErrCompacted = errors.New("store: history is compacted")

// Item is a key with its value, or the deletion of a key.
type Item struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Revision is the revision of the last change of the key.
	Revision Revision `cbor:"3,keyasint"`
	// Lease is the lease that the key is attached to; 0 for none.
	Lease uint64 `cbor:"4,keyasint,omitempty"`
	// Deleted reports whether the item is the deletion of the key.
	Deleted bool `cbor:"5,keyasint,omitempty"`
}

// Page is a list of items at a revision.
type Page struct {
	Items    []Item
	Revision Revision
}

// Condition requires that a key has a revision; the zero revision requires that the key
// does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a value and attaches it to a lease; 0 for none.
type Put struct {
	Key   string
	Value []byte
	Lease uint64
}

// Source reads and watches keys by prefix.
type Source interface {
	// Range returns all keys with a prefix. Errors: ErrUnavailable, ErrOutcomeUnknown.
	Range(ctx context.Context, prefix string) (Page, error)
	// Watch waits until a key with the prefix changes after a revision, for at most wait,
	// and returns the changes. Errors: ErrCompacted, ErrUnavailable, ErrOutcomeUnknown.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error)
}

// Leaser writes keys that are deleted when the lease of their writer expires.
type Leaser interface {
	// Grant creates a lease. Errors: ErrUnavailable, ErrOutcomeUnknown.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew renews a lease. Errors: ErrNotFound if it has expired, ErrUnavailable,
	// ErrOutcomeUnknown.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease and deletes its keys. Errors: as for Renew.
	Revoke(ctx context.Context, lease uint64) error
	// Commit atomically writes and deletes keys if the conditions hold. Errors:
	// ErrConflict, ErrNotFound if the lease has expired, ErrUnavailable,
	// ErrOutcomeUnknown.
	Commit(ctx context.Context, conditions []Condition, writes []Put, deletes []string) (Revision, error)
}

// Service is the platform's key-value service.
type Service interface {
	Source
	Leaser
	// Get returns the item of a key. Errors: ErrNotFound, ErrUnavailable,
	// ErrOutcomeUnknown.
	Get(ctx context.Context, key string) (Item, error)
	StaleGetter
}

// StaleGetter reads keys at a tenth of the price of other reads.
type StaleGetter interface {
	// GetStale returns the item of a key as it was at most some seconds ago. Errors: as for
	// Service.Get.
	GetStale(ctx context.Context, key string) (Item, error)
}

// OpenFunc returns a client of the service at an address. It calls count for each call of
// the service.
type OpenFunc func(address netip.AddrPort, count func(operation string)) Service
