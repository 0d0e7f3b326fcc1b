// Package catalog holds the configuration model: partners, services, pools and
// targets. It does no I/O.
//
// A Catalog is immutable once published. It is stored as documents, one per service and
// one per pool. A Head lists the documents by digest, so a small change transfers only the
// documents that differ.
//
// # Usage
//
//	c := catalog.New()
//	next, err := catalog.Apply(c, intent)
//	head := next.HeadAfter(prevHead, confirmation)
package catalog

// This file defines the configuration model, its documents and their head.

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	"tamaracktiller.example/tamaracktiller/internal/contract/document"
)

// Partner is the name of an organization that shares the targets with others.
type Partner string

// Kind is a class of requests of a service, selected by path and method.
type Kind struct {
	Name string `json:"name"`
	// PathPrefix is matched against the request path; the longest matching prefix wins.
	PathPrefix string `json:"path-prefix"`
	// Methods lists the HTTP methods of the kind. Empty means all methods.
	Methods []string `json:"methods,omitempty"`
	// Weight is the cost of one request, used by fair queueing and the error budget.
	Weight int `json:"weight"`
	// Deadline is the maximum time until the response.
	Deadline document.Duration `json:"deadline"`
	// Idempotent reports whether a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// MayWait marks deferrable work, which yields to all other kinds.
	MayWait bool `json:"may-wait,omitempty"`
	// CompleteWithin is the time within which accepted deferrable work must complete.
	CompleteWithin document.Duration `json:"arrive-within,omitempty"`
}

// Objective is the service-level objective of a service.
type Objective struct {
	// Latency is the maximum latency of a good request.
	Latency document.Duration `json:"latency"`
	// GoodPerThousand is the minimum number of good requests per thousand.
	GoodPerThousand int `json:"good-per-thousand"`
}

// Service is a set of host names that one partner exposes through the load balancer.
type Service struct {
	Name    string  `json:"name"`
	Partner Partner `json:"partner"`
	// Hosts are the values of the Host header that select the service.
	Hosts []string `json:"hosts"`
	// Pool is the name of the pool whose targets serve the requests.
	Pool string `json:"pool"`
	// Share is the weight of the service relative to the other services of the pool.
	Share     int       `json:"share"`
	Kinds     []Kind    `json:"kinds"`
	Objective Objective `json:"objective"`
}

// Target is a server process that requests are sent to.
type Target struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int `json:"connections"`
	// Draining marks a target that receives no new requests.
	Draining bool `json:"leaving,omitempty"`
}

// Pool is a set of targets shared by services.
type Pool struct {
	Name    string   `json:"name"`
	Targets []Target `json:"targets"`
	// OffersPerThousand is the measuring budget: the number of messages per thousand
	// calls that the cells of the pool may send each other to announce free slots.
	OffersPerThousand int `json:"offers-per-thousand"`
}

// DefaultOffersPerThousand is the OffersPerThousand of a new pool.
const DefaultOffersPerThousand = 50

// Catalog is a complete configuration.
type Catalog struct {
	Revision uint64
	Services map[string]Service
	Pools    map[string]Pool
}

// New returns the empty configuration of revision 0.
func New() *Catalog {
	return &Catalog{Services: map[string]Service{}, Pools: map[string]Pool{}}
}

// Clone returns a copy whose maps and target lists may be modified.
func (c *Catalog) Clone() *Catalog {
	next := New()
	next.Revision = c.Revision
	for name, s := range c.Services {
		next.Services[name] = s
	}
	for name, p := range c.Pools {
		p.Targets = slices.Clone(p.Targets)
		next.Pools[name] = p
	}
	return next
}

// Digest identifies the content of one document.
type Digest string

// Confirmation records who activated a revision and why.
type Confirmation struct {
	ID       string  `json:"id"`
	Revision uint64  `json:"revision"`
	Partner  Partner `json:"partner"`
	Operator string  `json:"operator"`
	Reason   string  `json:"reason"`
	// UnixMilli is the time of the confirmation by the balancer's clock, in Unix
	// milliseconds.
	UnixMilli int64 `json:"unix-milli"`
}

// Head lists the documents of a revision by name and digest. A confirmation activates a
// revision by a compare-and-swap of the head alone.
type Head struct {
	Revision uint64            `json:"revision"`
	Services map[string]Digest `json:"services"`
	Pools    map[string]Digest `json:"pools"`
	// History holds the latest confirmations, newest last.
	History []Confirmation `json:"history"`
	// Fence is changed by a writer so that an earlier compare-and-swap of the head whose
	// outcome is unknown can no longer succeed.
	Fence string `json:"fence,omitempty"`
}

// HistoryLength is the maximum number of confirmations in a head's history.
const HistoryLength = 64

// FindConfirmation returns the confirmation with the given ID, if the history contains it.
func (h *Head) FindConfirmation(id string) (Confirmation, bool) {
	for _, c := range h.History {
		if c.ID == id {
			return c, true
		}
	}
	return Confirmation{}, false
}

// Document is a service or a pool, encoded for the store.
type Document struct {
	Name    string
	IsPool  bool
	Digest  Digest
	Content []byte
}

// Key returns the store key of the document.
func (d Document) Key() string { return DocumentKey(d.IsPool, d.Name, d.Digest) }

// DocumentKey returns the store key of a document.
func DocumentKey(isPool bool, name string, digest Digest) string {
	docType := "service"
	if isPool {
		docType = "pool"
	}
	return fmt.Sprintf("config/%s/%s/%s", docType, name, digest)
}

// Documents returns the documents of the catalog: the services, then the pools, each
// sorted by name.
func (c *Catalog) Documents() []Document {
	docs := make([]Document, 0, len(c.Services)+len(c.Pools))
	for _, name := range sortedKeys(c.Services) {
		docs = append(docs, newDocument(name, false, c.Services[name]))
	}
	for _, name := range sortedKeys(c.Pools) {
		docs = append(docs, newDocument(name, true, c.Pools[name]))
	}
	return docs
}

// HeadAfter returns the head of the catalog. Its history is that of prev with conf
// appended, limited to HistoryLength entries.
func (c *Catalog) HeadAfter(prev *Head, conf Confirmation) *Head {
	head := &Head{
		Revision: c.Revision,
		Services: make(map[string]Digest, len(c.Services)),
		Pools:    make(map[string]Digest, len(c.Pools)),
		History:  append(slices.Clone(prev.History), conf),
	}
	if extra := len(head.History) - HistoryLength; extra > 0 {
		head.History = head.History[extra:]
	}
	for _, d := range c.Documents() {
		if d.IsPool {
			head.Pools[d.Name] = d.Digest
		} else {
			head.Services[d.Name] = d.Digest
		}
	}
	return head
}

func newDocument(name string, isPool bool, v any) Document {
	content, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("catalog: cannot encode document %s: %v", name, err))
	}
	return Document{Name: name, IsPool: isPool, Digest: DigestOf(content), Content: content}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
