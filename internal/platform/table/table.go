// Package table is an in-memory replacement of the platform's key-value service for
// tests. It can simulate failures of the service.
//
// # Usage
//
//	t := table.New()
//	t.SetFaults(table.Faults{Down: true})
//	_, err := t.Get(ctx, "config/head") // store.ErrUnavailable
package table

// This file defines Table, a versioned map with simulated failures and counted calls.

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// Faults are the failures that a table simulates. The zero value simulates none.
type Faults struct {
	// Down rejects every call with ErrUnavailable.
	Down bool `json:"down"`
	// DropResponses is the number of further writes that are applied, but return
	// ErrOutcomeUnknown.
	DropResponses int `json:"lose-answers"`
	// HoldWrites is the number of further writes that return ErrOutcomeUnknown and are
	// only applied by ApplyHeldWrites.
	HoldWrites int `json:"hold-writes"`
	// OnlyKey limits DropResponses and HoldWrites to one key, unless it is empty.
	OnlyKey string `json:"only-key"`
	// LatencyMillis is the delay of calls over HTTP, in milliseconds. Table itself
	// ignores it.
	LatencyMillis int `json:"latency-ms"`
}

type entry struct {
	version store.Revision
	data    []byte
	deleted bool
	// lease is the lease that the value is attached to; 0 for none.
	lease uint64
}

// lease is a time limit for values: those attached to it are deleted when it expires.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

type heldWrite struct {
	key  string
	old  store.Revision
	data []byte
}

// Table implements store.Store and store.HostLister in memory.
type Table struct {
	mu         sync.Mutex
	entries    map[string]*entry
	changed    map[string]chan struct{}
	faults     Faults
	heldWrites []heldWrite
	calls      map[string]int
	hosts      []store.Host
	leases     map[uint64]*lease
	lastLease  uint64
	// era counts the restores of the table from a backup.
	era uint64
}

var (
	_ store.Store      = (*Table)(nil)
	_ store.HostLister = (*Table)(nil)
)

// New returns an empty table.
func New() *Table {
	return &Table{entries: map[string]*entry{}, changed: map[string]chan struct{}{}, calls: map[string]int{}, leases: map[uint64]*lease{}}
}

// Backup is a backup of a table.
type Backup struct{ entries map[string]entry }

// Backup returns a backup of the table.
func (t *Table) Backup() Backup {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := Backup{entries: map[string]entry{}}
	for key, e := range t.entries {
		b.entries[key] = *e
	}
	return b
}

// Restore restores the table from a backup and starts a new era: later writes are lost,
// and version numbers are used again.
func (t *Table) Restore(b Backup) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.era++
	t.entries, t.leases = map[string]*entry{}, map[uint64]*lease{}
	for key, e := range b.entries {
		e.version.Era, e.lease = t.era, 0
		t.entries[key] = &e
		t.notify(key)
	}
}

// SetFaults replaces the simulated failures.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the simulated failures.
func (t *Table) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// ApplyHeldWrites applies the held writes, like a network that delivers them late.
func (t *Table) ApplyHeldWrites() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.heldWrites {
		_, _ = t.put(w.key, w.old, w.data, w.data == nil)
	}
	t.heldWrites = nil
}

// Calls returns the number of calls by operation.
func (t *Table) Calls() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	calls := make(map[string]int, len(t.calls))
	for operation, n := range t.calls {
		calls[operation] = n
	}
	return calls
}

// SetHosts replaces the list of hosts.
func (t *Table) SetHosts(hosts []store.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = slices.Clone(hosts)
}

// Hosts implements store.HostLister.
func (t *Table) Hosts(context.Context) ([]store.Host, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.beginCall("hosts"); err != nil {
		return nil, err
	}
	return slices.Clone(t.hosts), nil
}

// Grant returns a new lease that expires after ttl unless it is renewed.
func (t *Table) Grant(ttl time.Duration) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.beginCall("grant"); err != nil {
		return 0, err
	}
	t.lastLease++
	t.leases[t.lastLease] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return t.lastLease, nil
}

// Renew extends a lease by its TTL. Errors: store.ErrNotFound if it has expired.
func (t *Table) Renew(id uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.beginCall("renew"); err != nil {
		return err
	}
	l, ok := t.leases[id]
	if !ok {
		return errors.Wrapf(store.ErrNotFound, "lease %d", id)
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return nil
}

// Attach attaches the value of a key to a lease.
func (t *Table) Attach(key string, id uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.beginCall("attach"); err != nil {
		return err
	}
	e, ok := t.entries[key]
	if !ok || e.deleted || t.leases[id] == nil {
		return errors.Wrapf(store.ErrNotFound, "%s, lease %d", key, id)
	}
	e.lease = id
	return nil
}

// expire deletes the values whose lease has expired.
func (t *Table) expire() {
	now := time.Now()
	for id, l := range t.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(t.leases, id)
		for key, e := range t.entries {
			if e.lease == id && !e.deleted {
				_, _ = t.put(key, e.version, nil, true)
			}
		}
	}
}

func (t *Table) beginCall(operation string) error {
	t.expire()
	t.calls[operation]++
	if t.faults.Down {
		return errors.Wrap(store.ErrUnavailable, operation)
	}
	return nil
}

// Get implements store.Store.
func (t *Table) Get(_ context.Context, key string) (store.Value, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.beginCall("get"); err != nil {
		return store.Value{}, err
	}
	return t.get(key)
}

func (t *Table) get(key string) (store.Value, error) {
	e, ok := t.entries[key]
	if !ok || e.deleted {
		return store.Value{}, errors.Wrap(store.ErrNotFound, key)
	}
	return store.Value{Key: key, Version: e.version, Data: slices.Clone(e.data)}, nil
}

// CompareAndSwap implements store.Store.
func (t *Table) CompareAndSwap(_ context.Context, key string, old store.Revision, data []byte) (store.Revision, error) {
	return t.write("swap", key, old, slices.Clone(data), false)
}

// Delete implements store.Store.
func (t *Table) Delete(_ context.Context, key string, old store.Revision) error {
	_, err := t.write("delete", key, old, nil, true)
	return err
}

func (t *Table) write(operation, key string, old store.Revision, data []byte, remove bool) (store.Revision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.beginCall(operation); err != nil {
		return store.Revision{}, err
	}
	affected := t.faults.OnlyKey == "" || t.faults.OnlyKey == key
	if affected && t.faults.HoldWrites > 0 {
		t.faults.HoldWrites--
		t.heldWrites = append(t.heldWrites, heldWrite{key: key, old: old, data: data})
		return store.Revision{}, errors.Wrap(store.ErrOutcomeUnknown, key)
	}
	version, err := t.put(key, old, data, remove)
	if affected && t.faults.DropResponses > 0 {
		t.faults.DropResponses--
		return store.Revision{}, errors.Wrap(store.ErrOutcomeUnknown, key)
	}
	return version, err
}

// put applies a write. Version numbers continue after a deletion, so that a writer that
// knew the old value cannot mistake a new one for it.
func (t *Table) put(key string, old store.Revision, data []byte, remove bool) (store.Revision, error) {
	e, ok := t.entries[key]
	if !ok {
		e = &entry{version: store.NewRevision(t.era, 0), deleted: true}
	}
	current := e.version
	if e.deleted {
		current = store.Revision{}
	}
	if current != old || remove && e.deleted {
		return store.Revision{}, errors.Wrap(store.ErrConflict, key)
	}
	e.version.Number++
	e.lease = 0
	e.data = data
	e.deleted = remove
	t.entries[key] = e
	t.notify(key)
	return e.version, nil
}

func (t *Table) notify(key string) {
	if ch, ok := t.changed[key]; ok {
		close(ch)
		delete(t.changed, key)
	}
}

// List implements store.Store.
func (t *Table) List(_ context.Context, prefix string) ([]store.Value, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.beginCall("list"); err != nil {
		return nil, err
	}
	var values []store.Value
	for key := range t.entries {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if v, err := t.get(key); err == nil {
			values = append(values, v)
		}
	}
	slices.SortFunc(values, func(a, b store.Value) int { return strings.Compare(a.Key, b.Key) })
	return values, nil
}

// Watch implements store.Store.
func (t *Table) Watch(ctx context.Context, key string, after store.Revision, wait time.Duration) (store.Value, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	t.mu.Lock()
	err := t.beginCall("watch")
	t.mu.Unlock()
	if err != nil {
		return store.Value{}, err
	}
	for {
		t.mu.Lock()
		v, err := t.get(key)
		ch := t.changeChan(key)
		t.mu.Unlock()
		if err == nil && v.Version.After(after) {
			return v, nil
		}
		select {
		case <-ch:
		case <-timeout.C:
			return store.Value{}, errors.Wrap(store.ErrUnchanged, key)
		case <-ctx.Done():
			return store.Value{}, errors.Wrap(store.ErrUnavailable, ctx.Err().Error())
		}
	}
}

func (t *Table) changeChan(key string) chan struct{} {
	ch, ok := t.changed[key]
	if !ok {
		ch = make(chan struct{})
		t.changed[key] = ch
	}
	return ch
}
