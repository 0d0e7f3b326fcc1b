package directory

// This file defines journal, what a host passes on to others of the store.

import (
	"slices"
	"strings"
	"sync"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// journalLength is the number of recent changes that are kept. A host that lacks
// more gets everything.
const journalLength = 512

// journal holds the items of the store and the recent changes. It is safe for
// concurrent use.
type journal struct {
	mu    sync.Mutex
	items map[string]store.Item
	// recent holds the newest item of each key that changed a short time ago.
	recent   []store.Item
	revision uint64
	// complete is the revision after which recent holds every change.
	complete uint64
	// contact is the contact with the store that the followers were last told of.
	contact int64
	// changed is closed at the next change, or renewal of the contact.
	changed chan struct{}
}

func newJournal() *journal {
	return &journal{items: map[string]store.Item{}, changed: make(chan struct{})}
}

// add takes in an item that is newer than what was known of its key.
func (j *journal) add(item store.Item) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if item.Deleted {
		delete(j.items, item.Key)
	} else {
		j.items[item.Key] = item
	}
	if i := slices.IndexFunc(j.recent, func(old store.Item) bool { return old.Key == item.Key }); i >= 0 {
		j.recent = slices.Delete(j.recent, i, i+1)
	}
	j.recent = append(j.recent, item)
	if len(j.recent) > journalLength {
		j.complete = max(j.complete, j.recent[0].Revision)
		j.recent = slices.Delete(j.recent, 0, 1)
	}
}

// reach notes that everything up to a revision was taken in, and wakes those who
// wait. The first read skips what happened before; a later full read adds what it
// finds to have changed, deleted keys too.
func (j *journal) reach(revision uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.revision == 0 {
		j.complete = max(j.complete, revision)
	}
	if revision <= j.revision {
		return
	}
	j.revision = revision
	j.wake()
}

// contacted notes the time at which the store was heard, in nanoseconds since any
// origin, and wakes those who wait if it moved on by contactStep.
func (j *journal) contacted(at int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if time.Duration(at-j.contact) < contactStep {
		return
	}
	j.contact = at
	j.wake()
}

// wake ends the waits of the followers. The caller holds the mutex.
func (j *journal) wake() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// since returns what changed after a revision, or everything when that is not known
// any more. changed is closed at the next change or renewal of the contact.
func (j *journal) since(after uint64) (page store.Page, full bool, changed <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	page.Revision = j.revision
	if after >= j.complete {
		for _, item := range j.recent {
			if item.Revision > after {
				page.Items = append(page.Items, item)
			}
		}
		return page, false, j.changed
	}
	for _, item := range j.items {
		page.Items = append(page.Items, item)
	}
	slices.SortFunc(page.Items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return page, true, j.changed
}

// reached returns the revision up to which everything was taken in.
func (j *journal) reached() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.revision
}
