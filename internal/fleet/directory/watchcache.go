package directory

// This file defines watchCache, from which a host serves the changes of the store to
// others.

import (
	"slices"
	"strings"
	"sync"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// maxRecentChanges is the number of recent changes that are kept. A host that lacks more
// gets all items.
const maxRecentChanges = 512

// watchCache holds the items of the store and the recent changes. It is safe for
// concurrent use.
type watchCache struct {
	mu    sync.Mutex
	items map[string]store.Item
	// recent holds the newest item of each recently changed key, oldest first.
	recent   []store.Item
	revision store.Revision
	// memory is what this host knows of entries that do not count. It is replaced as a whole.
	memory memory
	// compactRevision is the revision after which recent holds every change.
	compactRevision store.Revision
	// asOf is the time, since some fixed origin, up to which the items are complete.
	// notifiedAsOf is its value when the followers were last notified.
	asOf, notifiedAsOf time.Duration
	// soundAsOf is asOf by the time since boot; 0 means never.
	soundAsOf time.Duration
	// changed is closed at the next change or renewal of asOf.
	changed chan struct{}
}

func newWatchCache() *watchCache {
	return &watchCache{items: map[string]store.Item{}, changed: make(chan struct{})}
}

// add adds an item that is newer than the known one of its key.
func (c *watchCache) add(item store.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if item.Deleted {
		delete(c.items, item.Key)
	} else {
		c.items[item.Key] = item
	}
	if c.revision.IsZero() {
		// Changes before the end of the first read are not sent one by one, see advance.
		return
	}
	if i := slices.IndexFunc(c.recent, func(old store.Item) bool { return old.Key == item.Key }); i >= 0 {
		c.recent = slices.Delete(c.recent, i, i+1)
	}
	c.recent = append(c.recent, item)
	if len(c.recent) > maxRecentChanges {
		c.compactRevision = store.MaxRevision(c.compactRevision, c.recent[0].Revision)
		c.recent = slices.Delete(c.recent, 0, 1)
	}
}

// setMemory replaces what this host knows of entries that do not count.
func (c *watchCache) setMemory(m memory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory = m
}

// advance records that the items are complete up to a revision and a time, and notifies
// waiting followers if there is something to send. asOf counts from an arbitrary fixed
// origin. Changes before the first read, or before the first read of an era, are unknown, so
// a follower that lacks them gets all items. A later full read adds the changes that it
// finds, including deleted keys.
func (c *watchCache) advance(revision store.Revision, asOf, soundAsOf time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision.IsZero() || revision.Era > c.revision.Era {
		c.compactRevision = store.MaxRevision(c.compactRevision, revision)
		c.recent = nil
	}
	changed := revision.After(c.revision)
	c.revision = store.MaxRevision(c.revision, revision)
	c.asOf = max(c.asOf, asOf)
	c.soundAsOf = max(c.soundAsOf, soundAsOf)
	if changed || c.asOf-c.notifiedAsOf >= freshnessStep {
		c.notify()
	}
}

// notify ends the waits of the followers. The caller holds the mutex.
func (c *watchCache) notify() {
	c.notifiedAsOf = c.asOf
	close(c.changed)
	c.changed = make(chan struct{})
}

// changeSet is what followers get from a watchCache.
type changeSet struct {
	page store.Page
	// full reports whether the items are all keys of the store.
	full bool
	// memory is what this host knows of entries that do not count.
	memory memory
	// asOf is the time up to which the items are complete.
	asOf time.Duration
	// soundAsOf is asOf by the time since boot; 0 means never.
	soundAsOf time.Duration
	// changed is closed at the next change or renewal of asOf.
	changed <-chan struct{}
}

// since returns the changes after a revision, or all items if some of these changes are
// no longer known.
func (c *watchCache) since(after store.Revision) changeSet {
	c.mu.Lock()
	defer c.mu.Unlock()
	cs := changeSet{page: store.Page{Revision: c.revision}, memory: c.memory, asOf: c.asOf, soundAsOf: c.soundAsOf, changed: c.changed}
	if !c.compactRevision.After(after) {
		for _, item := range c.recent {
			if item.Revision.After(after) {
				cs.page.Items = append(cs.page.Items, item)
			}
		}
		return cs
	}
	cs.full = true
	for _, item := range c.items {
		cs.page.Items = append(cs.page.Items, item)
	}
	slices.SortFunc(cs.page.Items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return cs
}

// applied returns the revision up to which the items are complete.
func (c *watchCache) applied() store.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}
