package controller

// This file defines the virtual-time loop that runs the control states of many
// hosts against a store with faults.

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

// node is one host of the loop.
type node struct {
	name        string
	domain      string
	incarnation int
	state       *state
	frozen      bool
	held        []func()
	down        bool
	// highest is the highest revision of this incarnation.
	highest uint64
	// reachableSince is the time since which neither a cut nor a freeze nor a
	// restart kept the host from the fleet.
	reachableSince time.Time
	// seen is the version of the head that the host has read, asked the time of
	// its last call.
	seen  store.Revision
	asked time.Time
}

// pair is a link; both ends know of it.
type pair struct{ a, b *node }

// fleet is the loop: hosts, links, the store and the faults.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	seq     int
	events  eventHeap
	nodes   []*node
	links   map[[2]string]*pair
	table   *table.Table
	cutOff  map[string]bool
	stale   []byte
	bytes   int64
	frames  int64
	inForce map[uint64]time.Time
	// version is that of the head; a watch answers when it changes.
	version store.Revision
	// mixed makes some reads stale.
	mixed bool
	// naive hosts take whatever the store says.
	naive bool
	// reached holds, per revision, the times until each host had it.
	reached  []time.Duration
	failures []string
}

const (
	linkDelay  = 2 * time.Millisecond
	storeDelay = 5 * time.Millisecond
)

func newFleet(seed uint64, hosts, domains int) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_000_000, 0), links: map[[2]string]*pair{},
		table: table.New(), cutOff: map[string]bool{}, inForce: map[uint64]time.Time{},
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

// run advances the time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.events.Len() > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.fn()
	}
	f.now = end
}

// start starts a new incarnation of a host: it knows nothing.
func (f *fleet) start(n *node) {
	n.incarnation++
	n.down, n.frozen, n.held, n.highest = false, false, nil, 0
	n.reachableSince = f.now
	self := member.Host{Name: n.name, Domain: n.domain, Incarnation: fmt.Sprint(n.incarnation), Peer: netip.MustParseAddrPort("192.0.2.1:1")}
	n.state = newState(self, member.DefaultConfig())
	n.seen, n.asked = store.Revision{}, time.Time{}
	incarnation := n.incarnation
	every := func(period time.Duration, fn func()) {
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
	every(member.DefaultConfig().Period, func() { f.apply(n, tick{now: f.now}) })
	every(hostsPeriod, func() { f.readHosts(n) })
	f.readHosts(n)
	every(200*time.Millisecond, func() { f.readHead(n) })
}

// stop ends a host. Its links break.
func (f *fleet) stop(n *node) {
	n.down = true
	f.breakLinks(n)
}

func (f *fleet) breakLinks(n *node) {
	for key, p := range f.links {
		if p.a == n || p.b == n {
			f.breakLink(key, p)
		}
	}
}

func (f *fleet) breakLink(key [2]string, p *pair) {
	delete(f.links, key)
	f.apply(p.a, linkDown{host: p.b.name})
	f.apply(p.b, linkDown{host: p.a.name})
}

func (f *fleet) cut(a, b *node) bool {
	return a.domain != b.domain && f.cutOff[a.domain] != f.cutOff[b.domain]
}

// apply runs an event on a host, or keeps it until the host thaws.
func (f *fleet) apply(n *node, e Event) {
	if n.down {
		return
	}
	if n.frozen {
		incarnation := n.incarnation
		n.held = append(n.held, func() {
			if n.incarnation == incarnation {
				f.apply(n, e)
			}
		})
		return
	}
	if _, isHead := e.(headRead); isHead && f.naive {
		n.state.holder = revision.NewHolder()
	}
	a := n.state.apply(f.now, e)
	f.check(n)
	for _, host := range a.connect {
		f.connect(n, host.Name)
	}
	for _, host := range a.close {
		if p := f.links[key(n.name, host)]; p != nil {
			f.breakLink(key(n.name, host), p)
		}
	}
	for _, m := range a.send {
		f.send(n, m)
	}
}

func key(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (f *fleet) node(name string) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })
	return f.nodes[i]
}

func (f *fleet) connect(n *node, name string) {
	peer := f.node(name)
	incarnation := n.incarnation
	f.after(2*linkDelay, func() {
		if n.incarnation != incarnation || f.links[key(n.name, name)] != nil {
			return
		}
		if peer.down || peer.frozen || f.cut(n, peer) {
			f.apply(n, linkDown{host: name})
			return
		}
		f.links[key(n.name, name)] = &pair{a: n, b: peer}
		f.apply(n, linkUp{host: name})
		f.apply(peer, linkUp{host: n.name})
	})
}

// send carries a message over a link. During a cut it is lost without an error.
func (f *fleet) send(n *node, m outgoing) {
	data, err := message.Encode(m.e)
	if err != nil {
		panic(err)
	}
	f.bytes += int64(len(data))
	f.frames++
	p := f.links[key(n.name, m.to)]
	if p == nil {
		return
	}
	peer := f.node(m.to)
	incarnation := peer.incarnation
	f.after(linkDelay, func() {
		if f.cut(n, peer) || peer.down || peer.incarnation != incarnation || f.links[key(n.name, m.to)] != p {
			return
		}
		e, err := message.Decode(data)
		if err != nil {
			panic(err)
		}
		f.apply(peer, received{from: n.name, e: e})
	})
}

// readHead stands for the watch of the shell, at a period instead of at once.
func (f *fleet) readHead(n *node) {
	loaded := n.state.holder.Loaded()
	if n.frozen || loaded && !n.state.watches {
		return
	}
	again := f.stale != nil && f.mixed && f.rng.IntN(10) == 0
	if loaded && n.seen == f.version && !again && f.now.Sub(n.asked) < watchWait {
		return
	}
	n.asked = f.now
	v, err := f.table.Get(context.Background(), confirmation.HeadKey)
	if err != nil {
		return
	}
	n.seen = v.Version
	if f.stale != nil && f.mixed && f.rng.IntN(3) == 0 {
		v.Data = f.stale
		n.seen = store.Revision{}
	}
	var head catalog.Head
	if err := json.Unmarshal(v.Data, &head); err != nil {
		panic(err)
	}
	documents := map[string][]byte{}
	if !loaded || f.naive || head.Revision > n.state.holder.Head().Revision {
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

func (f *fleet) readHosts(n *node) {
	if n.frozen || !n.state.watches && len(n.state.links) > 0 {
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

// confirmNext puts the next revision into the store, as a confirmation does.
func (f *fleet) confirmNext(target string) error {
	ctx := context.Background()
	var head catalog.Head
	v, err := f.table.Get(ctx, confirmation.HeadKey)
	switch {
	case err == nil:
		if err := json.Unmarshal(v.Data, &head); err != nil {
			panic(err)
		}
	case head.Revision == 0 && len(f.inForce) == 0:
	default:
		return err
	}
	next := catalog.New()
	next.Revision = head.Revision + 1
	next.Pools["common"] = catalog.Pool{Name: "common", Targets: []catalog.Target{{
		Name: target, Address: netip.MustParseAddrPort("192.0.2.9:80"), Domain: "d0", Slots: 1, Connections: 10,
	}}}
	for _, d := range next.Documents() {
		if _, err := f.table.Swap(ctx, d.Key(), store.Revision{}, d.Content); err != nil {
			return err
		}
	}
	data, err := json.Marshal(next.HeadAfter(&head, catalog.Confirmation{ID: target, Revision: next.Revision}))
	if err != nil {
		panic(err)
	}
	if f.version, err = f.table.Swap(ctx, confirmation.HeadKey, v.Version, data); err != nil {
		f.version = store.At(v.Version.Era, v.Version.Number+1)
		return err
	}
	if v.Data != nil {
		f.stale = v.Data
	}
	f.inForce[next.Revision] = f.now
	return nil
}

// check asserts that a host never goes back.
func (f *fleet) check(n *node) {
	revision := n.state.holder.Head().Revision
	if revision < n.highest {
		f.failures = append(f.failures, fmt.Sprintf("%s went from revision %d back to %d", n.name, n.highest, revision))
	}
	for r := n.highest + 1; r <= revision; r++ {
		if at, ok := f.inForce[r]; ok && n.reachableSince.Before(at) {
			f.reached = append(f.reached, f.now.Sub(at))
		}
	}
	n.highest = max(n.highest, revision)
}

// inForceBound is the stated target.
const inForceBound = 8 * time.Second

// checkInForce asserts that every host that was reachable for the bound has the
// newest revision that is older than the bound.
func (f *fleet) checkInForce() {
	var due uint64
	for r, at := range f.inForce {
		if f.now.Sub(at) > inForceBound {
			due = max(due, r)
		}
	}
	for _, n := range f.nodes {
		if n.down || n.frozen || f.cutOff[n.domain] || f.now.Sub(n.reachableSince) <= inForceBound {
			continue
		}
		if have := n.state.holder.Head().Revision; have < due {
			f.failures = append(f.failures, fmt.Sprintf("%s has revision %d, %d is due", n.name, have, due))
		}
	}
}

func (f *fleet) freeze(n *node) { n.frozen = true }

// thaw lets a frozen host handle what came meanwhile, the pause first.
func (f *fleet) thaw(n *node) {
	n.frozen = false
	n.reachableSince = f.now
	held := n.held
	n.held = nil
	f.apply(n, paused{length: time.Second})
	for _, fn := range held {
		fn()
	}
}

func (f *fleet) setCut(domain string, cut bool) {
	f.cutOff[domain] = cut
	for _, n := range f.nodes {
		n.reachableSince = f.now
	}
}
