// Package revision maintains the active configuration of a host and computes updates for
// its peers.
//
// A Holder accepts configurations from the store and from peers. It applies a revision
// only if it is newer than the current one, whatever the source, so that a configuration
// never reverts. It keeps the latest changes, so that a peer that is slightly behind
// receives only the difference.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	h := revision.NewHolder()
//	changed, err := h.ApplyUpdate(update)
//	update := h.UpdateSince(peerRevision)
package revision

// This file defines Holder and the updates between revisions.

import (
	"fmt"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
)

// Errors of ApplyUpdate.
var (
	// ErrIncomplete reports that the update lacks a document or builds on another
	// revision. The receiver must request a full update.
	ErrIncomplete = errors.New("revision: incomplete update")
	// ErrDigestMismatch reports that applying the update yields a different digest than
	// it states.
	ErrDigestMismatch = errors.New("revision: digest mismatch")
)

// Document is the stored definition of one service or pool. Key is its store key.
type Document struct {
	Key     string `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// Update is the difference between two revisions, or a full configuration.
type Update struct {
	// Base is the revision to which the update applies, 0 for a full update.
	Base uint64 `cbor:"1,keyasint,omitempty"`
	// Revision is the resulting revision.
	Revision uint64 `cbor:"2,keyasint"`
	// Services and Pools map the changed names to the digests of their documents. An
	// empty digest removes the name.
	Services map[string]catalog.Digest `cbor:"3,keyasint,omitempty"`
	Pools    map[string]catalog.Digest `cbor:"4,keyasint,omitempty"`
	// History holds the confirmations after Base, oldest first.
	History   []catalog.Confirmation `cbor:"5,keyasint,omitempty"`
	Documents []Document             `cbor:"6,keyasint,omitempty"`
	// Sum is the digest of the resulting configuration head.
	Sum catalog.Digest `cbor:"7,keyasint"`
}

// changesLength is the number of changes that a Holder keeps.
const changesLength = 256

// Holder holds the active configuration of a host.
type Holder struct {
	head      *catalog.Head
	catalog   *catalog.Catalog
	documents map[string][]byte
	// changes holds the latest updates; each one applies to the result of the previous
	// one.
	changes []Update
	loaded  bool
	sum     catalog.Digest
}

// NewHolder returns a Holder without a configuration.
func NewHolder() *Holder {
	return &Holder{head: &catalog.Head{}, catalog: catalog.New(), documents: map[string][]byte{}}
}

// Loaded reports whether the Holder has a configuration.
func (h *Holder) Loaded() bool { return h.loaded }

// Catalog returns the active configuration. It must not be modified.
func (h *Holder) Catalog() *catalog.Catalog { return h.catalog }

// Head returns the head of the active configuration. It must not be modified.
func (h *Holder) Head() *catalog.Head { return h.head }

// Sum returns the digest of Head.
func (h *Holder) Sum() catalog.Digest { return h.sum }

// Document returns the document with the given store key, if it belongs to the active
// configuration.
func (h *Holder) Document(key string) ([]byte, bool) {
	content, ok := h.documents[key]
	return content, ok
}

// Documents returns the documents of the active configuration by store key. The map must
// not be modified. Later updates replace it instead of changing it.
func (h *Holder) Documents() map[string][]byte { return h.documents }

// ApplyHead applies a configuration head from the store if it is newer than the current
// one. It calls fetch for documents that the Holder does not have. It reports whether the
// configuration changed.
func (h *Holder) ApplyHead(head *catalog.Head, fetch func(key string) ([]byte, error)) (bool, error) {
	if h.loaded && head.Revision <= h.head.Revision {
		return false, nil
	}
	documents := make(map[string][]byte, len(head.Services)+len(head.Pools))
	next, err := catalog.AssembleFrom(h.head, h.catalog, head, func(isPool bool, name string, digest catalog.Digest) ([]byte, error) {
		key := catalog.DocumentKey(isPool, name, digest)
		content, ok := h.documents[key]
		if !ok {
			var err error
			if content, err = fetch(key); err != nil {
				return nil, err
			}
		}
		documents[key] = content
		return content, nil
	})
	if err != nil {
		return false, err
	}
	h.keepUnchanged(head, documents)
	h.activate(head, next, documents)
	return true, nil
}

// keepUnchanged adds to documents those of the current configuration that head still uses.
func (h *Holder) keepUnchanged(head *catalog.Head, documents map[string][]byte) {
	add := func(isPool bool, name string, digest catalog.Digest) {
		key := catalog.DocumentKey(isPool, name, digest)
		if content, ok := h.documents[key]; ok {
			documents[key] = content
		}
	}
	for name, digest := range head.Services {
		add(false, name, digest)
	}
	for name, digest := range head.Pools {
		add(true, name, digest)
	}
}

// ApplyUpdate applies an update from a peer if it is newer than the current configuration.
// It reports whether the configuration changed. Errors: ErrIncomplete, ErrDigestMismatch.
func (h *Holder) ApplyUpdate(u Update) (bool, error) {
	if h.loaded && u.Revision <= h.head.Revision {
		return false, nil
	}
	head, err := h.apply(u)
	if err != nil {
		return false, err
	}
	if sum := head.Sum(); sum != u.Sum {
		return false, errors.Wrapf(ErrDigestMismatch, "revision %d: %s, want %s", u.Revision, sum, u.Sum)
	}
	sent := make(map[string][]byte, len(u.Documents))
	for _, d := range u.Documents {
		sent[d.Key] = d.Content
	}
	return h.ApplyHead(head, func(key string) ([]byte, error) {
		content, ok := sent[key]
		if !ok {
			return nil, errors.Wrap(ErrIncomplete, key)
		}
		return content, nil
	})
}

// apply returns the head that results from the update.
func (h *Holder) apply(u Update) (*catalog.Head, error) {
	head := &catalog.Head{Revision: u.Revision, Services: map[string]catalog.Digest{}, Pools: map[string]catalog.Digest{}}
	if u.Base > 0 {
		if u.Base != h.head.Revision {
			return nil, errors.Wrapf(ErrIncomplete, "update applies to revision %d, have %d", u.Base, h.head.Revision)
		}
		copyDigests(head.Services, h.head.Services)
		copyDigests(head.Pools, h.head.Pools)
		head.History = append(head.History, h.head.History...)
	}
	mergeDigests(head.Services, u.Services)
	mergeDigests(head.Pools, u.Pools)
	head.History = append(head.History, u.History...)
	if extra := len(head.History) - catalog.HistoryLength; extra > 0 {
		head.History = head.History[extra:]
	}
	return head, nil
}

// activate makes next the active configuration. It panics if that would revert to an older
// revision.
func (h *Holder) activate(head *catalog.Head, next *catalog.Catalog, documents map[string][]byte) {
	if h.loaded && head.Revision <= h.head.Revision {
		panic(fmt.Sprintf("revision: %d would replace %d", head.Revision, h.head.Revision))
	}
	if h.loaded {
		h.changes = append(h.changes, difference(h.head, head, documents))
		if extra := len(h.changes) - changesLength; extra > 0 {
			h.changes = h.changes[extra:]
		}
	}
	h.head, h.catalog, h.documents, h.loaded = head, next, documents, true
	h.sum = head.Sum()
}

// UpdateSince returns the update for a peer at the given revision: the changes since then
// if the Holder still has them, otherwise a full update. It returns false if the Holder
// has nothing newer.
func (h *Holder) UpdateSince(revision uint64) (Update, bool) {
	if !h.loaded || revision >= h.head.Revision {
		return Update{}, false
	}
	for i, c := range h.changes {
		if c.Base == revision && revision > 0 {
			return h.merge(h.changes[i:]), true
		}
	}
	return h.fullUpdate(), true
}

// fullUpdate returns a full update.
func (h *Holder) fullUpdate() Update {
	u := Update{Revision: h.head.Revision, Services: h.head.Services, Pools: h.head.Pools, History: h.head.History, Sum: h.head.Sum()}
	for key, content := range h.documents {
		u.Documents = append(u.Documents, Document{Key: key, Content: content})
	}
	return u
}

// merge combines consecutive changes, the last of which led to the current revision, into
// one update.
func (h *Holder) merge(changes []Update) Update {
	if len(changes) == 1 {
		return changes[0]
	}
	u := Update{Base: changes[0].Base, Revision: h.head.Revision, Services: map[string]catalog.Digest{}, Pools: map[string]catalog.Digest{}, Sum: h.head.Sum()}
	for _, c := range changes {
		copyDigests(u.Services, c.Services)
		copyDigests(u.Pools, c.Pools)
		u.History = append(u.History, c.History...)
	}
	u.Documents = documentsOf(u, h.documents)
	return u
}

// difference returns the update from one head to the next.
func difference(from, to *catalog.Head, documents map[string][]byte) Update {
	u := Update{
		Base: from.Revision, Revision: to.Revision,
		Services: changedDigests(from.Services, to.Services),
		Pools:    changedDigests(from.Pools, to.Pools),
		Sum:      to.Sum(),
	}
	for _, c := range to.History {
		if c.Revision > from.Revision {
			u.History = append(u.History, c)
		}
	}
	u.Documents = documentsOf(u, documents)
	return u
}

// documentsOf returns those of the documents to which the update refers.
func documentsOf(u Update, documents map[string][]byte) []Document {
	var list []Document
	add := func(isPool bool, digests map[string]catalog.Digest) {
		for name, digest := range digests {
			key := catalog.DocumentKey(isPool, name, digest)
			if content, ok := documents[key]; ok {
				list = append(list, Document{Key: key, Content: content})
			}
		}
	}
	add(false, u.Services)
	add(true, u.Pools)
	return list
}

// changedDigests returns the names whose digests differ, with an empty digest for removed
// names.
func changedDigests(from, to map[string]catalog.Digest) map[string]catalog.Digest {
	changed := map[string]catalog.Digest{}
	for name, digest := range to {
		if from[name] != digest {
			changed[name] = digest
		}
	}
	for name := range from {
		if _, ok := to[name]; !ok {
			changed[name] = ""
		}
	}
	return changed
}

func copyDigests(dst, src map[string]catalog.Digest) {
	for name, digest := range src {
		dst[name] = digest
	}
}

// mergeDigests applies changes to dst. An empty digest removes the name.
func mergeDigests(dst, changes map[string]catalog.Digest) {
	for name, digest := range changes {
		if digest == "" {
			delete(dst, name)
			continue
		}
		dst[name] = digest
	}
}
