package store

// This file defines KVStore, which implements Store with the platform's key-value
// service.

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// HostsPrefix is the prefix of the keys that list hosts, one key per host.
const HostsPrefix = "hosts/"

// KVStore reads and writes single keys. The version of a value is the revision of its
// last write. It is safe for concurrent use.
type KVStore struct {
	service Service

	mu sync.Mutex
	// watches holds the state of the watches by key.
	watches map[string]*watchState
}

// watchState is the state of the watches of one key.
type watchState struct {
	// revision is the revision up to which all changes of the key are known.
	revision Revision
	// last is the newest value that a watch returned.
	last Value
}

var (
	_ Store      = (*KVStore)(nil)
	_ HostLister = (*KVStore)(nil)
)

// NewKVStore returns a store on top of a service.
func NewKVStore(service Service) *KVStore {
	return &KVStore{service: NewEraGuard(service), watches: map[string]*watchState{}}
}

// Get implements Store.
func (k *KVStore) Get(ctx context.Context, key string) (Value, error) {
	item, err := k.service.Get(ctx, key)
	return valueOf(item), readError(err, key)
}

// CompareAndSwap implements Store.
func (k *KVStore) CompareAndSwap(ctx context.Context, key string, old Revision, data []byte) (Revision, error) {
	if len(data) > MaxValueBytes {
		return Revision{}, errors.Errorf("store: compare and swap %s: value has %d bytes, the limit is %d", key, len(data), MaxValueBytes)
	}
	revision, err := k.service.Commit(ctx, []Condition{{Key: key, Revision: old}}, []Put{{Key: key, Value: data}}, nil)
	return revision, errors.Wrap(err, key)
}

// Delete implements Store.
func (k *KVStore) Delete(ctx context.Context, key string, old Revision) error {
	_, err := k.service.Commit(ctx, []Condition{{Key: key, Revision: old}}, nil, []string{key})
	return errors.Wrap(err, key)
}

// List implements Store.
func (k *KVStore) List(ctx context.Context, prefix string) ([]Value, error) {
	page, err := k.service.Range(ctx, prefix)
	values := make([]Value, 0, len(page.Items))
	for _, item := range page.Items {
		values = append(values, valueOf(item))
	}
	return values, readError(err, prefix)
}

// Hosts implements HostLister.
func (k *KVStore) Hosts(ctx context.Context) ([]Host, error) {
	page, err := k.service.Range(ctx, HostsPrefix)
	if err != nil {
		return nil, readError(err, HostsPrefix)
	}
	hosts := make([]Host, 0, len(page.Items))
	for _, item := range page.Items {
		var h Host
		if err := json.Unmarshal(item.Value, &h); err != nil {
			return nil, errors.Wrapf(err, "store: %s", item.Key)
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// Watch implements Store.
func (k *KVStore) Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Value, error) {
	revision, last := k.lookup(key, after)
	if last.Version.After(after) {
		return last, nil
	}
	var page Page
	err := ErrCompacted
	if !revision.IsZero() {
		page, err = k.service.Watch(ctx, key, revision, wait)
	}
	if errors.Is(err, ErrCompacted) {
		page, err = k.service.Range(ctx, key)
	}
	if err != nil {
		return Value{}, readError(err, key)
	}
	if last = k.record(key, page); last.Version.After(after) {
		return last, nil
	}
	return Value{}, errors.Wrap(ErrUnchanged, key)
}

// lookup returns the revision from which to watch a key for a caller that has seen the
// version after, and the newest value that earlier watches of the key returned. The revision
// is later than after if earlier watches covered the changes in between.
func (k *KVStore) lookup(key string, after Revision) (revision Revision, last Value) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.watches[key]
	if w == nil {
		return after, Value{}
	}
	return MaxRevision(w.revision, after), w.last
}

// record records the result of a watch or of a read, and returns the newest value.
func (k *KVStore) record(key string, page Page) Value {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.watches[key]
	if w == nil {
		w = &watchState{}
		k.watches[key] = w
	}
	if page.Revision.Era > w.last.Version.Era {
		// The store may have been restored from a backup without the value.
		w.last = Value{}
	}
	for _, item := range page.Items {
		if item.Key == key && !item.Deleted && item.Revision.After(w.last.Version) {
			w.last = valueOf(item)
		}
	}
	w.revision = MaxRevision(w.revision, page.Revision)
	return w.last
}

func valueOf(item Item) Value {
	return Value{Key: item.Key, Version: item.Revision, Data: item.Value}
}

// readError returns the error of a read. An unknown outcome counts as unavailable,
// because a read has no side effects.
func readError(err error, key string) error {
	if errors.Is(err, ErrOutcomeUnknown) {
		return errors.Wrapf(ErrUnavailable, "%s: %v", key, err)
	}
	return errors.Wrap(err, key)
}
