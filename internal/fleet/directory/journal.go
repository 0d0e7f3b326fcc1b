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
	revision store.Revision
	// complete is the revision after which recent holds every change.
	complete store.Revision
	// contact is the time up to which the items are complete, since any origin, and
	// woken that at which the followers were last woken.
	contact, woken time.Duration
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
		j.complete = store.Latest(j.complete, j.recent[0].Revision)
		j.recent = slices.Delete(j.recent, 0, 1)
	}
}

// reach notes that everything up to a revision was taken in, which was complete at a time
// since any origin, and wakes those who wait if there is something to tell. The first read
// skips what happened before, and so does the first one of an era; a later full read adds
// what it finds to have changed, deleted keys too.
func (j *journal) reach(revision store.Revision, contact time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.revision.IsZero() || revision.Era > j.revision.Era {
		j.complete = store.Latest(j.complete, revision)
		j.recent = nil
	}
	changed := revision.After(j.revision)
	j.revision = store.Latest(j.revision, revision)
	j.contact = max(j.contact, contact)
	if changed || j.contact-j.woken >= contactStep {
		j.wake()
	}
}

// wake ends the waits of the followers. The caller holds the mutex.
func (j *journal) wake() {
	j.woken = j.contact
	close(j.changed)
	j.changed = make(chan struct{})
}

// extract is what a journal passes on.
type extract struct {
	page store.Page
	// full says that the items are all keys.
	full bool
	// contact is the time up to which they are complete.
	contact time.Duration
	// changed is closed at the next change or renewal of the contact.
	changed <-chan struct{}
}

// since returns what changed after a revision, or everything when that is not known
// any more.
func (j *journal) since(after store.Revision) extract {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := extract{page: store.Page{Revision: j.revision}, contact: j.contact, changed: j.changed}
	if !j.complete.After(after) {
		for _, item := range j.recent {
			if item.Revision.After(after) {
				e.page.Items = append(e.page.Items, item)
			}
		}
		return e
	}
	e.full = true
	for _, item := range j.items {
		e.page.Items = append(e.page.Items, item)
	}
	slices.SortFunc(e.page.Items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return e
}

// reached returns the revision up to which everything was taken in.
func (j *journal) reached() store.Revision {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.revision
}
