// Package table is an in-memory stand-in for the platform's key-value service,
// with switches for its failures. Tests use it directly; the bench serves it
// over HTTP.
//
// # Usage
//
//	t := table.New()
//	t.SetFaults(table.Faults{Down: true})
//	_, err := t.Get(ctx, "config/head") // store.ErrDown
package table

// This file defines Table, the versioned map with faults and counted calls.

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// Faults are the failures that a table shows. The zero value shows none.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// LoseAnswers performs that many further writes and answers ErrUnclear.
	LoseAnswers int `json:"lose-answers"`
	// HoldWrites answers that many further writes with ErrUnclear and performs
	// them only on Release.
	HoldWrites int `json:"hold-writes"`
	// OnlyKey limits LoseAnswers and HoldWrites to one key, unless it is empty.
	OnlyKey string `json:"only-key"`
	// Latency delays every call over HTTP, in milliseconds.
	LatencyMillis int `json:"latency-ms"`
}

type entry struct {
	version store.Revision
	data    []byte
	deleted bool
	// lease is the lease that the value ends with; 0 for none.
	lease uint64
}

// lease is a time after which values end unless it is renewed.
type lease struct {
	ttl   time.Duration
	until time.Time
}

type heldWrite struct {
	key  string
	old  store.Revision
	data []byte
}

// Table implements store.Store and store.HostLister in memory.
type Table struct {
	mu      sync.Mutex
	entries map[string]*entry
	changed map[string]chan struct{}
	faults  Faults
	held    []heldWrite
	calls   map[string]int
	hosts   []store.Host
	leases  map[uint64]*lease
	granted uint64
	// era counts the times that the table came back from a copy.
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

// Copy is what a table holds at a moment.
type Copy struct{ entries map[string]entry }

// Copy returns a copy of the values.
func (t *Table) Copy() Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Copy{entries: map[string]entry{}}
	for key, e := range t.entries {
		c.entries[key] = *e
	}
	return c
}

// Restore lets the table come back from a copy: what was written since is gone, and
// versions are given out again in a new era.
func (t *Table) Restore(c Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.era++
	t.entries, t.leases = map[string]*entry{}, map[uint64]*lease{}
	for key, e := range c.entries {
		e.version.Era, e.lease = t.era, 0
		t.entries[key] = &e
		t.notify(key)
	}
}

// SetFaults replaces the failures shown from now on.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the failures shown now.
func (t *Table) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Release performs the held writes, as a network that delivers late.
func (t *Table) Release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.held {
		_, _ = t.put(w.key, w.old, w.data, w.data == nil)
	}
	t.held = nil
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
	if err := t.begin("hosts"); err != nil {
		return nil, err
	}
	return slices.Clone(t.hosts), nil
}

// Grant returns a new lease that ends after ttl unless it is renewed.
func (t *Table) Grant(ttl time.Duration) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.begin("grant"); err != nil {
		return 0, err
	}
	t.granted++
	t.leases[t.granted] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	return t.granted, nil
}

// Renew extends a lease by its ttl. Error: store.ErrNotFound when it has ended.
func (t *Table) Renew(id uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.begin("renew"); err != nil {
		return err
	}
	l, ok := t.leases[id]
	if !ok {
		return errors.Wrapf(store.ErrNotFound, "lease %d", id)
	}
	l.until = time.Now().Add(l.ttl)
	return nil
}

// Attach lets the value of a key end with a lease.
func (t *Table) Attach(key string, id uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.begin("attach"); err != nil {
		return err
	}
	e, ok := t.entries[key]
	if !ok || e.deleted || t.leases[id] == nil {
		return errors.Wrapf(store.ErrNotFound, "%s, lease %d", key, id)
	}
	e.lease = id
	return nil
}

// expire removes the values whose lease has ended.
func (t *Table) expire() {
	now := time.Now()
	for id, l := range t.leases {
		if now.Before(l.until) {
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

func (t *Table) begin(operation string) error {
	t.expire()
	t.calls[operation]++
	if t.faults.Down {
		return errors.Wrap(store.ErrDown, operation)
	}
	return nil
}

// Get implements store.Store.
func (t *Table) Get(_ context.Context, key string) (store.Value, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.begin("get"); err != nil {
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

// Swap implements store.Store.
func (t *Table) Swap(_ context.Context, key string, old store.Revision, data []byte) (store.Revision, error) {
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
	if err := t.begin(operation); err != nil {
		return store.Revision{}, err
	}
	meant := t.faults.OnlyKey == "" || t.faults.OnlyKey == key
	if meant && t.faults.HoldWrites > 0 {
		t.faults.HoldWrites--
		t.held = append(t.held, heldWrite{key: key, old: old, data: data})
		return store.Revision{}, errors.Wrap(store.ErrUnclear, key)
	}
	version, err := t.put(key, old, data, remove)
	if meant && t.faults.LoseAnswers > 0 {
		t.faults.LoseAnswers--
		return store.Revision{}, errors.Wrap(store.ErrUnclear, key)
	}
	return version, err
}

// put performs a write. Versions go on after a delete, so that a writer that
// knew the old value cannot mistake a new one for it.
func (t *Table) put(key string, old store.Revision, data []byte, remove bool) (store.Revision, error) {
	e, ok := t.entries[key]
	if !ok {
		e = &entry{version: store.At(t.era, 0), deleted: true}
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
	if err := t.begin("list"); err != nil {
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
	err := t.begin("watch")
	t.mu.Unlock()
	if err != nil {
		return store.Value{}, err
	}
	for {
		t.mu.Lock()
		v, err := t.get(key)
		ch := t.channel(key)
		t.mu.Unlock()
		if err == nil && v.Version.After(after) {
			return v, nil
		}
		select {
		case <-ch:
		case <-timeout.C:
			return store.Value{}, errors.Wrap(store.ErrUnchanged, key)
		case <-ctx.Done():
			return store.Value{}, errors.Wrap(store.ErrDown, ctx.Err().Error())
		}
	}
}

func (t *Table) channel(key string) chan struct{} {
	ch, ok := t.changed[key]
	if !ok {
		ch = make(chan struct{})
		t.changed[key] = ch
	}
	return ch
}
