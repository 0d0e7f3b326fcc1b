// Package store defines the interfaces to the platform's key-value service, which has
// keys with revisions, watches and leases, and a store of single keys on top of it.
//
// Each call of the service is counted, and a watch counts as one call however long it
// waits, so callers should make few calls.
//
// # Usage
//
//	s := store.NewKVStore(client) // a client of the platform
//	v, err := s.Get(ctx, "config/head")
//	version, err := s.CompareAndSwap(ctx, "config/head", v.Version, data)
//	switch {
//	case errors.Is(err, store.ErrConflict):       // another writer was first
//	case errors.Is(err, store.ErrOutcomeUnknown): // may have been applied, or may be applied later
//	case errors.Is(err, store.ErrUnavailable):    // was not applied
//	}
package store

// This file defines the Store interface, its values and its errors.

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest size of a value that the platform accepts.
const MaxValueBytes = 1 << 20

// Errors of the store. Each is wrapped with the key it concerns.
var (
	// ErrNotFound reports that the key does not exist.
	ErrNotFound = errors.New("store: no such key")
	// ErrConflict reports that the version of the value is not the expected one.
	ErrConflict = errors.New("store: version conflict")
	// ErrOutcomeUnknown reports that a write may have been applied or may still be
	// applied.
	ErrOutcomeUnknown = errors.New("store: outcome of the write is unknown")
	// ErrUnavailable reports that the store did not serve the call.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnchanged reports that a watch ended without a change.
	ErrUnchanged = errors.New("store: unchanged")
)

// Value is the value of a key. Its version increases with each write; the version of an
// absent key is zero.
type Value struct {
	Key     string
	Version Revision
	Data    []byte
}

// Store reads and writes single keys of the platform's key-value service.
type Store interface {
	// Get returns the value of a key. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes the value if the key has the version old. Errors:
	// ErrConflict, ErrOutcomeUnknown, ErrUnavailable.
	CompareAndSwap(ctx context.Context, key string, old Revision, data []byte) (Revision, error)
	// Delete deletes the key if it has the version old. Errors: as for CompareAndSwap.
	Delete(ctx context.Context, key string, old Revision) error
	// List returns the values whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Value, error)
	// Watch waits until the version of the key is later than after, for at most wait.
	// Errors: ErrUnchanged if it is not, ErrUnavailable.
	Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Value, error)
}

// HostState is the state of a host in the platform's list of hosts.
type HostState string

// The states of a host.
const (
	HostLive     HostState = "live"
	HostDraining HostState = "leaving"
)

// Host is an entry of the platform's list of hosts, which lags behind the actual state.
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

// HostLister provides the platform's list of hosts.
type HostLister interface {
	// Hosts returns the list. Errors: ErrUnavailable.
	Hosts(ctx context.Context) ([]Host, error)
}
