// Package catalog holds the configuration model: partners, services, pools and
// targets. It does no I/O.
//
// A Catalog is immutable once published. Its content is split into documents,
// one per service and one per pool, which a Head names by digest, so that a
// small change moves little.
//
// # Usage
//
//	c := catalog.New()
//	next, err := catalog.Apply(c, intent)
//	head := next.Head()
package catalog

// This file defines the configuration model and its digests.

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	"tamaracktiller.example/tamaracktiller/internal/contract/document"
)

// Partner names one of the parties that share the targets.
type Partner string

// Kind describes one kind of request of a service.
type Kind struct {
	Name string `json:"name"`
	// PathPrefix selects the kind; the longest matching prefix wins.
	PathPrefix string `json:"path-prefix"`
	// Methods limits the kind to HTTP methods. Empty means all.
	Methods []string `json:"methods,omitempty"`
	// Weight is the service units that one request counts.
	Weight int `json:"weight"`
	// Deadline is the longest time until the answer.
	Deadline document.Duration `json:"deadline"`
	// Idempotent says that a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// MayWait marks work that yields to all other kinds.
	MayWait bool `json:"may-wait,omitempty"`
	// ArriveWithin is the time by which accepted work that may wait must be done.
	ArriveWithin document.Duration `json:"arrive-within,omitempty"`
}

// Objective is the service-level objective of a service.
type Objective struct {
	// Latency is the time within which a request counts as good.
	Latency document.Duration `json:"latency"`
	// GoodPerThousand is the share of good requests that is promised.
	GoodPerThousand int `json:"good-per-thousand"`
}

// Service is what one partner fronts.
type Service struct {
	Name    string  `json:"name"`
	Partner Partner `json:"partner"`
	// Hosts are the values of the Host header that select the service.
	Hosts []string `json:"hosts"`
	// Pool names the pool that serves it.
	Pool string `json:"pool"`
	// Share is its weight against the other services of the pool.
	Share     int       `json:"share"`
	Kinds     []Kind    `json:"kinds"`
	Objective Objective `json:"objective"`
}

// Target is one server process.
type Target struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
	// Slots is the number of requests that it runs at the same time.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts.
	Connections int `json:"connections"`
	// Leaving targets receive no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Pool is a set of targets that services share.
type Pool struct {
	Name    string   `json:"name"`
	Targets []Target `json:"targets"`
	// OffersPerThousand is the budget for measuring: the messages that its cells
	// may spend on telling each other of free slots, per thousand calls.
	OffersPerThousand int `json:"offers-per-thousand"`
}

// DefaultOffers is the budget of a new pool.
const DefaultOffers = 50

// Catalog is a whole configuration.
type Catalog struct {
	Revision uint64
	Services map[string]Service
	Pools    map[string]Pool
}

// New returns the empty configuration of revision 0.
func New() *Catalog {
	return &Catalog{Services: map[string]Service{}, Pools: map[string]Pool{}}
}

// Clone returns a copy whose maps may be changed.
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

// Confirmation records who put a revision in force.
type Confirmation struct {
	ID       string  `json:"id"`
	Revision uint64  `json:"revision"`
	Partner  Partner `json:"partner"`
	Operator string  `json:"operator"`
	Reason   string  `json:"reason"`
	// UnixMilli is the time of the confirmation by the clock of the balancer.
	UnixMilli int64 `json:"unix-milli"`
}

// Head names the documents of a revision. It is the one value that a
// confirmation swaps.
type Head struct {
	Revision uint64            `json:"revision"`
	Services map[string]Digest `json:"services"`
	Pools    map[string]Digest `json:"pools"`
	// History holds the latest confirmations, newest last.
	History []Confirmation `json:"history"`
	// Fence changes when a writer needs an older pending swap to fail.
	Fence string `json:"fence,omitempty"`
}

// HistoryLength is the number of confirmations that a head remembers.
const HistoryLength = 64

// Confirmed returns the confirmation with the given id.
func (h *Head) Confirmed(id string) (Confirmation, bool) {
	for _, c := range h.History {
		if c.ID == id {
			return c, true
		}
	}
	return Confirmation{}, false
}

// Document is one stored value: a service or a pool.
type Document struct {
	Name    string
	IsPool  bool
	Digest  Digest
	Content []byte
}

// Key returns the key of the document in the platform's store.
func (d Document) Key() string { return DocumentKey(d.IsPool, d.Name, d.Digest) }

// DocumentKey returns the store key of a document.
func DocumentKey(isPool bool, name string, digest Digest) string {
	area := "service"
	if isPool {
		area = "pool"
	}
	return fmt.Sprintf("config/%s/%s/%s", area, name, digest)
}

// Documents returns the documents of the catalog in a fixed order.
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

// HeadAfter returns the head of the catalog that follows prev by confirmation.
func (c *Catalog) HeadAfter(prev *Head, by Confirmation) *Head {
	head := &Head{
		Revision: c.Revision,
		Services: make(map[string]Digest, len(c.Services)),
		Pools:    make(map[string]Digest, len(c.Pools)),
		History:  append(slices.Clone(prev.History), by),
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
		panic(fmt.Sprintf("catalog: document %s cannot be encoded: %v", name, err))
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
