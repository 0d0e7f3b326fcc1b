package catalog

// This file defines Assemble, which builds a configuration from its documents.

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"

	"github.com/pkg/errors"
)

// ErrDigestMismatch reports that the content of a document does not match its digest.
var ErrDigestMismatch = errors.New("catalog: content does not match its digest")

// Fetch returns the content of the document with the given digest.
type Fetch func(isPool bool, name string, digest Digest) ([]byte, error)

// Assemble builds the configuration from the documents listed in head.
func Assemble(head *Head, fetch Fetch) (*Catalog, error) {
	return AssembleFrom(&Head{}, New(), head, fetch)
}

// AssembleFrom builds the configuration from the documents listed in head. Services and
// pools whose digest is the same in oldHead are reused from old; only the other documents
// are fetched and decoded.
func AssembleFrom(oldHead *Head, old *Catalog, head *Head, fetch Fetch) (*Catalog, error) {
	c := New()
	c.Revision = head.Revision
	for _, name := range sortedKeys(head.Services) {
		if reused, ok := old.Services[name]; ok && oldHead.Services[name] == head.Services[name] {
			c.Services[name] = reused
			continue
		}
		var s Service
		if err := fetchInto(fetch, false, name, head.Services[name], &s); err != nil {
			return nil, err
		}
		c.Services[name] = s
	}
	for _, name := range sortedKeys(head.Pools) {
		if reused, ok := old.Pools[name]; ok && oldHead.Pools[name] == head.Pools[name] {
			c.Pools[name] = reused
			continue
		}
		var p Pool
		if err := fetchInto(fetch, true, name, head.Pools[name], &p); err != nil {
			return nil, err
		}
		c.Pools[name] = p
	}
	return c, nil
}

func fetchInto(fetch Fetch, isPool bool, name string, digest Digest, v any) error {
	content, err := fetch(isPool, name, digest)
	if err != nil {
		return errors.Wrapf(err, "catalog: document %s", name)
	}
	if got := DigestOf(content); got != digest {
		return errors.Wrapf(ErrDigestMismatch, "document %s: %s, want %s", name, got, digest)
	}
	return errors.Wrapf(json.Unmarshal(content, v), "catalog: document %s", name)
}

// digestBytes is the length of a digest before hex encoding. The hash must be
// collision-resistant because partners control the content of documents.
const digestBytes = 16

// DigestOf returns the digest of a document's content.
func DigestOf(content []byte) Digest {
	sum := sha256.New()
	sum.Write(content)
	return digestOf(sum)
}

func digestOf(sum hash.Hash) Digest {
	return Digest(hex.EncodeToString(sum.Sum(nil)[:digestBytes]))
}

// ClearHistory clears the history of h and returns h. It is used for the head of the
// empty configuration.
func (h *Head) ClearHistory() *Head {
	h.History = nil
	return h
}

// Sum returns a digest of the revision and of the digests of all documents. History and
// Fence are not covered.
func (h *Head) Sum() Digest {
	sum := sha256.New()
	fmt.Fprintf(sum, "%d\n", h.Revision)
	for _, name := range sortedKeys(h.Services) {
		fmt.Fprintf(sum, "s %s %s\n", name, h.Services[name])
	}
	for _, name := range sortedKeys(h.Pools) {
		fmt.Fprintf(sum, "p %s %s\n", name, h.Pools[name])
	}
	return digestOf(sum)
}
