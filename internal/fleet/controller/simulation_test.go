package controller

// This file defines a discrete-event simulation of the control states of many hosts and
// of a store with injected faults.

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/confirmation"
	"tamaracktiller.example/tamaracktiller/internal/fleet/member"
	"tamaracktiller.example/tamaracktiller/internal/fleet/message"
	"tamaracktiller.example/tamaracktiller/internal/fleet/revision"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/platform/table"
)

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// node is one simulated host.
type node struct {
	name        string
	domain      string
	incarnation int
	state       *state
	suspended   bool
	deferred    []func()
	down        bool
	// highest is the highest revision that this incarnation has applied.
	highest uint64
	// reachableSince is the end of the last partition, pause or restart that separated
	// the host from the fleet.
	reachableSince time.Time
	// lastVersion is the version of the head that the host read last, lastRead the time of
	// that read.
	lastVersion store.Revision
	lastRead    time.Time
}

// simLink is a link between two hosts.
type simLink struct{ a, b *node }

// fleet simulates the hosts, their links, the store and the faults in virtual time.
type fleet struct {
	rng          *rand.Rand
	now          time.Time
	seq          int
	events       eventHeap
	nodes        []*node
	links        map[[2]string]*simLink
	table        *table.Table
	isolated     map[string]bool
	previousHead []byte
	bytes        int64
	frames       int64
	confirmedAt  map[uint64]time.Time
	// version is the version of the head; watches return when it changes.
	version store.Revision
	// staleReads makes some reads of the store return the previous head.
	staleReads bool
	// acceptAnyHead makes hosts accept every head from the store, whatever its revision.
	acceptAnyHead bool
	// applyDelays holds, for every revision and host, the time until the host applied it.
	applyDelays []time.Duration
	failures    []string
}

const (
	linkDelay  = 2 * time.Millisecond
	storeDelay = 5 * time.Millisecond
)

func newFleet(seed uint64, hosts, domains int) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_000_000, 0), links: map[[2]string]*simLink{},
		table: table.New(), isolated: map[string]bool{}, confirmedAt: map[uint64]time.Time{},
	}
	for i := range hosts {
		n := &node{name: fmt.Sprintf("host-%d", i), domain: fmt.Sprintf("d%d", i%domains)}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

func (f *fleet) after(d time.Duration, fn func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now.Add(d), seq: f.seq, fn: fn})
}

// run processes the events of the next d of virtual time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.events.Len() > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.fn()
	}
	f.now = end
}

// start starts a new incarnation of a host with an empty state.
func (f *fleet) start(n *node) {
	n.incarnation++
	n.down, n.suspended, n.deferred, n.highest = false, false, nil, 0
	n.reachableSince = f.now
	self := member.Host{Name: n.name, Domain: n.domain, Incarnation: fmt.Sprint(n.incarnation), PeerAddress: netip.MustParseAddrPort("192.0.2.1:1")}
	n.state = newState(self, member.DefaultConfig())
	n.lastVersion, n.lastRead = store.Revision{}, time.Time{}
	incarnation := n.incarnation
	repeat := func(period time.Duration, fn func()) {
		var next func()
		next = func() {
			if n.incarnation != incarnation || n.down {
				return
			}
			fn()
			f.after(period, next)
		}
		f.after(time.Duration(f.rng.Int64N(int64(period))), next)
	}
	repeat(member.DefaultConfig().Period, func() { f.apply(n, tick{now: f.now}) })
	repeat(hostListInterval, func() { f.pollHosts(n) })
	f.pollHosts(n)
	repeat(200*time.Millisecond, func() { f.readHead(n) })
}

// stop terminates a host and closes its links.
func (f *fleet) stop(n *node) {
	n.down = true
	f.closeLinks(n)
}

func (f *fleet) closeLinks(n *node) {
	for key, l := range f.links {
		if l.a == n || l.b == n {
			f.closeLink(key, l)
		}
	}
}

func (f *fleet) closeLink(key [2]string, l *simLink) {
	delete(f.links, key)
	f.apply(l.a, linkDown{host: l.b.name})
	f.apply(l.b, linkDown{host: l.a.name})
}

// partitioned reports whether a network partition separates two hosts.
func (f *fleet) partitioned(a, b *node) bool {
	return a.domain != b.domain && f.isolated[a.domain] != f.isolated[b.domain]
}

// apply applies an event to a host, or defers it while the host is suspended.
func (f *fleet) apply(n *node, e Event) {
	if n.down {
		return
	}
	if n.suspended {
		incarnation := n.incarnation
		n.deferred = append(n.deferred, func() {
			if n.incarnation == incarnation {
				f.apply(n, e)
			}
		})
		return
	}
	if _, isHead := e.(headRead); isHead && f.acceptAnyHead {
		n.state.holder = revision.NewHolder()
	}
	a := n.state.apply(f.now, e)
	f.checkRevision(n)
	for _, host := range a.connect {
		f.connect(n, host.Name)
	}
	for _, host := range a.close {
		if l := f.links[linkKey(n.name, host)]; l != nil {
			f.closeLink(linkKey(n.name, host), l)
		}
	}
	for _, m := range a.send {
		f.send(n, m)
	}
}

func linkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (f *fleet) node(name string) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })
	return f.nodes[i]
}

// connect opens a link, or reports it as down if the peer is not reachable.
func (f *fleet) connect(n *node, name string) {
	peer := f.node(name)
	incarnation := n.incarnation
	f.after(2*linkDelay, func() {
		if n.incarnation != incarnation || f.links[linkKey(n.name, name)] != nil {
			return
		}
		if peer.down || peer.suspended || f.partitioned(n, peer) {
			f.apply(n, linkDown{host: name})
			return
		}
		f.links[linkKey(n.name, name)] = &simLink{a: n, b: peer}
		f.apply(n, linkUp{host: name})
		f.apply(peer, linkUp{host: n.name})
	})
}

// send delivers a message over a link. A partition drops it without an error.
func (f *fleet) send(n *node, m outgoing) {
	data, err := message.Encode(m.e)
	if err != nil {
		panic(err)
	}
	f.bytes += int64(len(data))
	f.frames++
	l := f.links[linkKey(n.name, m.to)]
	if l == nil {
		return
	}
	peer := f.node(m.to)
	incarnation := peer.incarnation
	f.after(linkDelay, func() {
		if f.partitioned(n, peer) || peer.down || peer.incarnation != incarnation || f.links[linkKey(n.name, m.to)] != l {
			return
		}
		e, err := message.Decode(data)
		if err != nil {
			panic(err)
		}
		f.apply(peer, messageReceived{from: n.name, e: e})
	})
}

// readHead simulates Controller.watchStore by periodic polling.
func (f *fleet) readHead(n *node) {
	loaded := n.state.holder.Loaded()
	if n.suspended || loaded && !n.state.watchesStore {
		return
	}
	repeatRead := f.previousHead != nil && f.staleReads && f.rng.IntN(10) == 0
	if loaded && n.lastVersion == f.version && !repeatRead && f.now.Sub(n.lastRead) < watchTimeout {
		return
	}
	n.lastRead = f.now
	v, err := f.table.Get(context.Background(), confirmation.HeadKey)
	if err != nil {
		return
	}
	n.lastVersion = v.Version
	if f.previousHead != nil && f.staleReads && f.rng.IntN(3) == 0 {
		v.Data = f.previousHead
		n.lastVersion = store.Revision{}
	}
	var head catalog.Head
	if err := json.Unmarshal(v.Data, &head); err != nil {
		panic(err)
	}
	documents := map[string][]byte{}
	if !loaded || f.acceptAnyHead || head.Revision > n.state.holder.Head().Revision {
		_, err := catalog.Assemble(&head, func(isPool bool, name string, digest catalog.Digest) ([]byte, error) {
			k := catalog.DocumentKey(isPool, name, digest)
			d, err := f.table.Get(context.Background(), k)
			documents[k] = d.Data
			return d.Data, err
		})
		if err != nil {
			return
		}
	}
	f.after(storeDelay, func() { f.apply(n, headRead{head: &head, documents: documents}) })
}

func (f *fleet) pollHosts(n *node) {
	if n.suspended || !n.state.watchesStore && len(n.state.links) > 0 {
		return
	}
	if _, err := f.table.Hosts(context.Background()); err != nil {
		return
	}
	var hosts []store.Host
	for _, h := range f.nodes {
		hosts = append(hosts, store.Host{Name: h.name, Role: roleBalancer, Domain: h.domain, Address: netip.MustParseAddrPort("192.0.2.1:1"), State: store.HostLive})
	}
	f.after(storeDelay, func() { f.apply(n, hostsRead{hosts: hosts}) })
}

// confirmNext writes the next revision to the store in the same way as a confirmation.
func (f *fleet) confirmNext(target string) error {
	ctx := context.Background()
	var head catalog.Head
	v, err := f.table.Get(ctx, confirmation.HeadKey)
	switch {
	case err == nil:
		if err := json.Unmarshal(v.Data, &head); err != nil {
			panic(err)
		}
	case head.Revision == 0 && len(f.confirmedAt) == 0:
	default:
		return err
	}
	next := catalog.New()
	next.Revision = head.Revision + 1
	next.Pools["common"] = catalog.Pool{Name: "common", Targets: []catalog.Target{{
		Name: target, Address: netip.MustParseAddrPort("192.0.2.9:80"), Domain: "d0", Slots: 1, Connections: 10,
	}}}
	for _, d := range next.Documents() {
		if _, err := f.table.CompareAndSwap(ctx, d.Key(), store.Revision{}, d.Content); err != nil {
			return err
		}
	}
	data, err := json.Marshal(next.HeadAfter(&head, catalog.Confirmation{ID: target, Revision: next.Revision}))
	if err != nil {
		panic(err)
	}
	if f.version, err = f.table.CompareAndSwap(ctx, confirmation.HeadKey, v.Version, data); err != nil {
		f.version = store.NewRevision(v.Version.Era, v.Version.Number+1)
		return err
	}
	if v.Data != nil {
		f.previousHead = v.Data
	}
	f.confirmedAt[next.Revision] = f.now
	return nil
}

// checkRevision records a failure if the host reverted to an older revision, and the delay
// of each revision that it has newly applied.
func (f *fleet) checkRevision(n *node) {
	revision := n.state.holder.Head().Revision
	if revision < n.highest {
		f.failures = append(f.failures, fmt.Sprintf("%s reverted from revision %d to %d", n.name, n.highest, revision))
	}
	for r := n.highest + 1; r <= revision; r++ {
		if at, ok := f.confirmedAt[r]; ok && n.reachableSince.Before(at) {
			f.applyDelays = append(f.applyDelays, f.now.Sub(at))
		}
	}
	n.highest = max(n.highest, revision)
}

// maxApplyDelay is the specified limit for the time until a reachable host applies a
// change.
const maxApplyDelay = 8 * time.Second

// checkApplied records a failure for each host that has been reachable for longer than the
// limit and lacks a revision whose limit has passed.
func (f *fleet) checkApplied() {
	var required uint64
	for r, at := range f.confirmedAt {
		if f.now.Sub(at) > maxApplyDelay {
			required = max(required, r)
		}
	}
	for _, n := range f.nodes {
		if n.down || n.suspended || f.isolated[n.domain] || f.now.Sub(n.reachableSince) <= maxApplyDelay {
			continue
		}
		if got := n.state.holder.Head().Revision; got < required {
			f.failures = append(f.failures, fmt.Sprintf("%s has revision %d, want at least %d", n.name, got, required))
		}
	}
}

func (f *fleet) suspend(n *node) { n.suspended = true }

// resume resumes a suspended host: it applies the pause, then the deferred events.
func (f *fleet) resume(n *node) {
	n.suspended = false
	n.reachableSince = f.now
	deferred := n.deferred
	n.deferred = nil
	f.apply(n, paused{length: time.Second})
	for _, fn := range deferred {
		fn()
	}
}

// setIsolated starts or ends a partition that separates a failure domain from the others.
func (f *fleet) setIsolated(domain string, isolate bool) {
	f.isolated[domain] = isolate
	for _, n := range f.nodes {
		n.reachableSince = f.now
	}
}
