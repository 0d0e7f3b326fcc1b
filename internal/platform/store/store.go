// Package store defines what the product needs of the platform's key-value service:
// keys with revisions, watches and leases, and a store of single keys over them.
//
// The service is asked rarely: each call is counted, a waiting watch as one.
//
// # Usage
//
//	s := store.NewKeyed(client) // a client of the platform
//	v, err := s.Get(ctx, "config/head")
//	version, err := s.Swap(ctx, "config/head", v.Version, data)
//	switch {
//	case errors.Is(err, store.ErrConflict): // another writer was first
//	case errors.Is(err, store.ErrUnclear):  // may have landed, or may land later
//	case errors.Is(err, store.ErrDown):     // did not land
//	}
package store

// This file defines the Store interface, its values and its errors.

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// Errors of the store. Each is wrapped with the key it concerns.
var (
	// ErrNotFound reports that the key has no value.
	ErrNotFound = errors.New("store: no such key")
	// ErrConflict reports that the value has another version than expected.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnclear reports that a write may have landed or may still land.
	ErrUnclear = errors.New("store: outcome of the write is unclear")
	// ErrDown reports that the store did not serve the call.
	ErrDown = errors.New("store: unavailable")
	// ErrUnchanged reports that a watch ended without a change.
	ErrUnchanged = errors.New("store: unchanged")
)

// Value is the content of a key. Its version grows with each write; that of an absent key is
// zero.
type Value struct {
	Key     string
	Version Revision
	Data    []byte
}

// Store is what the system needs of the platform's key-value service.
type Store interface {
	// Get returns the value of a key. Errors: ErrNotFound, ErrDown.
	Get(ctx context.Context, key string) (Value, error)
	// Swap writes the value if the key has the given version. Errors:
	// ErrConflict, ErrUnclear, ErrDown.
	Swap(ctx context.Context, key string, old Revision, data []byte) (Revision, error)
	// Delete removes the key if it has the given version. Errors as of Swap.
	Delete(ctx context.Context, key string, old Revision) error
	// List returns the values whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Value, error)
	// Watch waits until the version of the key exceeds after. Errors:
	// ErrUnchanged when the wait is over, ErrDown.
	Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Value, error)
}

// HostState is the state of a host in the platform's list.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's list. The list lags.
type Host struct {
	Name string `json:"name"`
	// Role is "balancer" or "target".
	Role    string         `json:"role"`
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
	State   HostState      `json:"state"`
	// Generation counts the replacements of the host under its name.
	Generation uint64 `json:"generation"`
}

// HostLister is the platform's list of hosts.
type HostLister interface {
	// Hosts returns the list. Error: ErrDown.
	Hosts(ctx context.Context) ([]Host, error)
}
