package store

// This file defines the items of the store with their revisions, and what may be
// done with several keys at once.

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted reports that the history after a revision is gone.
var ErrCompacted = errors.New("store: history is compacted")

// Item is one key of the store.
type Item struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Revision is the revision of the store at the last change of the key.
	Revision Revision `cbor:"3,keyasint"`
	// Lease is the lease that the key ends with; 0 for none.
	Lease uint64 `cbor:"4,keyasint,omitempty"`
	// Deleted says that the item reports the end of the key.
	Deleted bool `cbor:"5,keyasint,omitempty"`
}

// Page is a list of items, as of a revision of the store.
type Page struct {
	Items    []Item
	Revision Revision
}

// Condition names the revision that a key must have; the zero one means no such key.
type Condition struct {
	Key      string
	Revision Revision
}

// Put is a value to write, with the lease that it ends with; 0 for none.
type Put struct {
	Key   string
	Value []byte
	Lease uint64
}

// Source is what is read and watched of the store.
type Source interface {
	// Range returns all keys with a prefix. Errors: ErrDown, ErrUnclear.
	Range(ctx context.Context, prefix string) (Page, error)
	// Watch waits until a key with the prefix changes after a revision, at most
	// for wait, and returns the changes. Errors: ErrCompacted, ErrDown, ErrUnclear.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Page, error)
}

// Leaser keeps keys that end with the process that wrote them.
type Leaser interface {
	// Grant makes a lease. Errors: ErrDown, ErrUnclear.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew renews a lease. Errors: ErrNotFound when it has ended, ErrDown,
	// ErrUnclear.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease. Errors as of Renew.
	Revoke(ctx context.Context, lease uint64) error
	// Commit writes and deletes keys, all or nothing, if the conditions hold.
	// Errors: ErrConflict, ErrNotFound when the lease has ended, ErrDown, ErrUnclear.
	Commit(ctx context.Context, conditions []Condition, writes []Put, deletes []string) (Revision, error)
}

// Service is the platform's service.
type Service interface {
	Source
	Leaser
	// Get returns a key. Errors: ErrNotFound, ErrDown, ErrUnclear.
	Get(ctx context.Context, key string) (Item, error)
}

// Open returns the service at an address. count is called for each call.
type Open func(address netip.AddrPort, count func(operation string)) Service
