// Package revision holds the configuration in force on one host and brings it to
// others.
//
// A Holder takes configurations from the store and from peers alike. It accepts
// a revision only when it is newer than the one that it has, whatever the source,
// so that a configuration never reverts. It remembers the latest changes, so that
// a peer that is a little behind gets only what changed.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	h := revision.NewHolder()
//	changed, err := h.Offer(update)
//	update := h.UpdateSince(peerRevision)
package revision

// This file defines Holder, the configuration in force.

import (
	"fmt"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
)

// Errors of Offer.
var (
	// ErrIncomplete reports that the update lacks a document. The holder must
	// ask for a whole update.
	ErrIncomplete = errors.New("revision: a document is missing")
	// ErrSum reports that the update does not lead to the digest that it names.
	ErrSum = errors.New("revision: the digest does not match")
)

// Document is the content of one service or pool.
type Document struct {
	Key     string `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// Update brings a host from one revision to a later one.
type Update struct {
	// Base is the revision that the update builds on; 0 for a whole one.
	Base uint64 `cbor:"1,keyasint,omitempty"`
	// Revision is the revision that it leads to.
	Revision uint64 `cbor:"2,keyasint"`
	// Services and Pools hold the changed names. An empty digest removes one.
	Services map[string]catalog.Digest `cbor:"3,keyasint,omitempty"`
	Pools    map[string]catalog.Digest `cbor:"4,keyasint,omitempty"`
	// History holds the confirmations after Base, newest last.
	History   []catalog.Confirmation `cbor:"5,keyasint,omitempty"`
	Documents []Document             `cbor:"6,keyasint,omitempty"`
	// Sum is the digest of the resulting head.
	Sum catalog.Digest `cbor:"7,keyasint"`
}

// historyLength is the number of changes that a holder remembers.
const historyLength = 256

// Holder holds the configuration in force on a host.
type Holder struct {
	head      *catalog.Head
	catalog   *catalog.Catalog
	documents map[string][]byte
	// changes holds the latest updates, each building on the one before.
	changes []Update
	loaded  bool
	sum     catalog.Digest
}

// NewHolder returns a holder without a configuration.
func NewHolder() *Holder {
	return &Holder{head: &catalog.Head{}, catalog: catalog.New(), documents: map[string][]byte{}}
}

// Loaded reports whether a configuration was accepted.
func (h *Holder) Loaded() bool { return h.loaded }

// Catalog returns the configuration in force. It must not be changed.
func (h *Holder) Catalog() *catalog.Catalog { return h.catalog }

// Head returns the head in force. It must not be changed.
func (h *Holder) Head() *catalog.Head { return h.head }

// Sum returns the digest of the head in force.
func (h *Holder) Sum() catalog.Digest { return h.sum }

// Document returns a document in force by its store key.
func (h *Holder) Document(key string) ([]byte, bool) {
	content, ok := h.documents[key]
	return content, ok
}

// Documents returns the documents in force. The map must not be changed: Offer
// replaces it.
func (h *Holder) Documents() map[string][]byte { return h.documents }

// OfferHead takes in a head from the store. fetch returns documents that the
// holder lacks. It reports whether the configuration changed.
func (h *Holder) OfferHead(head *catalog.Head, fetch func(key string) ([]byte, error)) (bool, error) {
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
	h.carryOver(head, documents)
	h.accept(head, next, documents)
	return true, nil
}

// carryOver adds the documents that did not change.
func (h *Holder) carryOver(head *catalog.Head, documents map[string][]byte) {
	keep := func(isPool bool, name string, digest catalog.Digest) {
		key := catalog.DocumentKey(isPool, name, digest)
		if content, ok := h.documents[key]; ok {
			documents[key] = content
		}
	}
	for name, digest := range head.Services {
		keep(false, name, digest)
	}
	for name, digest := range head.Pools {
		keep(true, name, digest)
	}
}

// Offer takes in an update from a peer and reports whether the configuration
// changed. Errors: ErrIncomplete, ErrSum.
func (h *Holder) Offer(u Update) (bool, error) {
	if h.loaded && u.Revision <= h.head.Revision {
		return false, nil
	}
	head, err := h.apply(u)
	if err != nil {
		return false, err
	}
	if sum := head.Sum(); sum != u.Sum {
		return false, errors.Wrapf(ErrSum, "revision %d: %s, want %s", u.Revision, sum, u.Sum)
	}
	sent := make(map[string][]byte, len(u.Documents))
	for _, d := range u.Documents {
		sent[d.Key] = d.Content
	}
	return h.OfferHead(head, func(key string) ([]byte, error) {
		content, ok := sent[key]
		if !ok {
			return nil, errors.Wrap(ErrIncomplete, key)
		}
		return content, nil
	})
}

// apply returns the head that the update leads to.
func (h *Holder) apply(u Update) (*catalog.Head, error) {
	head := &catalog.Head{Revision: u.Revision, Services: map[string]catalog.Digest{}, Pools: map[string]catalog.Digest{}}
	if u.Base > 0 {
		if u.Base != h.head.Revision {
			return nil, errors.Wrapf(ErrIncomplete, "update of revision %d, have %d", u.Base, h.head.Revision)
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

func (h *Holder) accept(head *catalog.Head, next *catalog.Catalog, documents map[string][]byte) {
	if h.loaded && head.Revision <= h.head.Revision {
		panic(fmt.Sprintf("revision: %d would replace %d", head.Revision, h.head.Revision))
	}
	if h.loaded {
		h.changes = append(h.changes, difference(h.head, head, documents))
		if extra := len(h.changes) - historyLength; extra > 0 {
			h.changes = h.changes[extra:]
		}
	}
	h.head, h.catalog, h.documents, h.loaded = head, next, documents, true
	h.sum = head.Sum()
}

// UpdateSince returns what a peer at the given revision lacks: the remembered
// changes, or everything.
func (h *Holder) UpdateSince(revision uint64) (Update, bool) {
	if !h.loaded || revision >= h.head.Revision {
		return Update{}, false
	}
	for i, c := range h.changes {
		if c.Base == revision && revision > 0 {
			return h.merge(h.changes[i:]), true
		}
	}
	return h.whole(), true
}

func (h *Holder) whole() Update {
	u := Update{Revision: h.head.Revision, Services: h.head.Services, Pools: h.head.Pools, History: h.head.History, Sum: h.head.Sum()}
	for key, content := range h.documents {
		u.Documents = append(u.Documents, Document{Key: key, Content: content})
	}
	return u
}

// merge joins consecutive changes into one update.
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

// difference returns the update that leads from one head to the next.
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

// mergeDigests applies changes; an empty digest removes the name.
func mergeDigests(dst, changes map[string]catalog.Digest) {
	for name, digest := range changes {
		if digest == "" {
			delete(dst, name)
			continue
		}
		dst[name] = digest
	}
}
