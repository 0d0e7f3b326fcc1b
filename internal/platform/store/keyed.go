package store

// This file defines Keyed, the store of single keys over the platform's service.

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// HostsPrefix is the prefix of the keys that list hosts, one a host.
const HostsPrefix = "hosts/"

// Keyed reads and swaps single keys. The version of a value is the revision of its
// last write. It is safe for concurrent use.
type Keyed struct {
	service Service

	mu sync.Mutex
	// watched is what the watches of a key know.
	watched map[string]*watched
}

// watched is the state of the watches of a key.
type watched struct {
	// reached is the revision up to which every change of the key is known.
	reached Revision
	// last is the newest value that a watch saw.
	last Value
}

var (
	_ Store      = (*Keyed)(nil)
	_ HostLister = (*Keyed)(nil)
)

// NewKeyed returns the store of single keys over a service.
func NewKeyed(service Service) *Keyed {
	return &Keyed{service: NewInOrder(service), watched: map[string]*watched{}}
}

// Get implements Store.
func (k *Keyed) Get(ctx context.Context, key string) (Value, error) {
	item, err := k.service.Get(ctx, key)
	return valueOf(item), reading(err, key)
}

// Swap implements Store.
func (k *Keyed) Swap(ctx context.Context, key string, old Revision, data []byte) (Revision, error) {
	if len(data) > MaxValueBytes {
		return Revision{}, errors.Errorf("store: swap %s: %d bytes, the limit is %d", key, len(data), MaxValueBytes)
	}
	revision, err := k.service.Commit(ctx, []Condition{{Key: key, Revision: old}}, []Put{{Key: key, Value: data}}, nil)
	return revision, errors.Wrap(err, key)
}

// Delete implements Store.
func (k *Keyed) Delete(ctx context.Context, key string, old Revision) error {
	_, err := k.service.Commit(ctx, []Condition{{Key: key, Revision: old}}, nil, []string{key})
	return errors.Wrap(err, key)
}

// List implements Store.
func (k *Keyed) List(ctx context.Context, prefix string) ([]Value, error) {
	page, err := k.service.Range(ctx, prefix)
	values := make([]Value, 0, len(page.Items))
	for _, item := range page.Items {
		values = append(values, valueOf(item))
	}
	return values, reading(err, prefix)
}

// Hosts implements HostLister.
func (k *Keyed) Hosts(ctx context.Context) ([]Host, error) {
	page, err := k.service.Range(ctx, HostsPrefix)
	if err != nil {
		return nil, reading(err, HostsPrefix)
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
func (k *Keyed) Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Value, error) {
	reached, last := k.known(key, after)
	if last.Version.After(after) {
		return last, nil
	}
	var page Page
	err := ErrCompacted
	if !reached.IsZero() {
		page, err = k.service.Watch(ctx, key, reached, wait)
	}
	if errors.Is(err, ErrCompacted) {
		page, err = k.service.Range(ctx, key)
	}
	if err != nil {
		return Value{}, reading(err, key)
	}
	if last = k.learn(key, page); last.Version.After(after) {
		return last, nil
	}
	return Value{}, errors.Wrap(ErrUnchanged, key)
}

// known returns up to which revision the changes of a key are known to one who has
// seen the version after, and the newest value that a watch saw.
func (k *Keyed) known(key string, after Revision) (reached Revision, last Value) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.watched[key]
	if w == nil {
		return after, Value{}
	}
	return Latest(w.reached, after), w.last
}

// learn takes in what a watch told, and returns the newest value.
func (k *Keyed) learn(key string, page Page) Value {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.watched[key]
	if w == nil {
		w = &watched{}
		k.watched[key] = w
	}
	if page.Revision.Era > w.last.Version.Era {
		// The store may have come back without the value.
		w.last = Value{}
	}
	for _, item := range page.Items {
		if item.Key == key && !item.Deleted && item.Revision.After(w.last.Version) {
			w.last = valueOf(item)
		}
	}
	w.reached = Latest(w.reached, page.Revision)
	return w.last
}

func valueOf(item Item) Value {
	return Value{Key: item.Key, Version: item.Revision, Data: item.Value}
}

// reading returns the error of a read: one that may have been performed did no harm.
func reading(err error, what string) error {
	if errors.Is(err, ErrUnclear) {
		return errors.Wrapf(ErrDown, "%s: %v", what, err)
	}
	return errors.Wrap(err, what)
}
