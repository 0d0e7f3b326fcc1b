package route_test

// This file defines the simulated policies.

import (
	"fmt"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatch"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

// direct is a policy that chooses a target on the entry host. inFlight, next and probes are
// indexed by entry host, and inFlight also by target.
type direct struct {
	sim      *simulation
	pick     func(d *direct, j *job) int
	inFlight [][]int
	next     []int
	probes   [][]probe
}

type probe struct {
	target int
	busy   int
	at     time.Duration
}

func newDirect(sim *simulation, pick func(d *direct, j *job) int) *direct {
	d := &direct{sim: sim, pick: pick, next: make([]int, sim.dep.hosts), probes: make([][]probe, sim.dep.hosts)}
	for range sim.dep.hosts {
		d.inFlight = append(d.inFlight, make([]int, len(sim.targets)))
	}
	return d
}

func (d *direct) send(j *job, finish func(outcome)) {
	i := d.pick(d, j)
	t := d.sim.targets[i]
	d.inFlight[j.host][i]++
	oneWay := d.sim.delay(d.sim.hostDomain(j.host), t.domain)
	d.sim.after(oneWay, func() {
		t.run(j, func(ok bool) {
			d.sim.after(oneWay, func() {
				d.inFlight[j.host][i]--
				if ok {
					finish(succeeded)
				} else {
					finish(failed)
				}
			})
		})
	})
}

func pickRandom(d *direct, _ *job) int { return d.sim.rng.IntN(len(d.sim.targets)) }

func pickRoundRobin(d *direct, j *job) int {
	d.next[j.host]++
	return (d.next[j.host] + j.host) % len(d.sim.targets)
}

func pickPowerOfTwo(d *direct, j *job) int {
	a, b := d.sim.rng.IntN(len(d.sim.targets)), d.sim.rng.IntN(len(d.sim.targets))
	if d.inFlight[j.host][b] < d.inFlight[j.host][a] {
		return b
	}
	return a
}

// pickLeastInFlight chooses the target with the fewest calls in flight from the entry host.
func pickLeastInFlight(d *direct, j *job) int {
	best, ties := 0, 0
	for i := range d.sim.targets {
		switch {
		case d.inFlight[j.host][i] < d.inFlight[j.host][best]:
			best, ties = i, 1
		case d.inFlight[j.host][i] == d.inFlight[j.host][best]:
			ties++
			if d.sim.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

const (
	probePool   = 16
	probeMaxAge = time.Second
)

// pickProbed chooses from a pool of asynchronous probes, perCall of which are sent with
// each call. A probe costs two messages: the request and its response.
func pickProbed(perCall float64) func(d *direct, j *job) int {
	return func(d *direct, j *job) int {
		n := int(perCall)
		if d.sim.rng.Float64() < perCall-float64(n) {
			n++
		}
		for range n {
			d.sendProbe(j.host)
		}
		pool := slices.DeleteFunc(d.probes[j.host], func(p probe) bool { return d.sim.now-p.at > probeMaxAge })
		d.probes[j.host] = pool
		if len(pool) == 0 {
			return pickPowerOfTwo(d, j)
		}
		best := 0
		for i, p := range pool {
			if p.busy < pool[best].busy {
				best = i
			}
		}
		target := pool[best].target
		d.probes[j.host] = slices.Delete(pool, best, best+1)
		return target
	}
}

func (d *direct) sendProbe(host int) {
	i := d.sim.rng.IntN(len(d.sim.targets))
	t := d.sim.targets[i]
	oneWay := d.sim.delay(d.sim.hostDomain(host), t.domain)
	d.sim.messages += 2
	d.sim.after(oneWay, func() {
		busy := t.busy() + len(t.queue)
		d.sim.after(oneWay, func() {
			d.probes[host] = append(d.probes[host], probe{target: i, busy: busy, at: d.sim.now})
			if len(d.probes[host]) > probePool {
				d.probes[host] = d.probes[host][1:]
			}
		})
	})
}

// idealQueue is a single queue next to the targets with perfect knowledge of them.
type idealQueue struct {
	sim     *simulation
	waiting []func()
}

func (p *idealQueue) send(j *job, finish func(outcome)) {
	from := p.sim.hostDomain(j.host)
	p.sim.after(intraDomainDelay, func() {
		p.waiting = append(p.waiting, func() { p.start(j, from, finish) })
		p.dispatch()
	})
}

func (p *idealQueue) fastest() *simTarget {
	var best *simTarget
	for _, t := range p.sim.targets {
		if t.busy() < t.slots && !t.fails && (best == nil || t.slowdown < best.slowdown) {
			best = t
		}
	}
	return best
}

func (p *idealQueue) dispatch() {
	for len(p.waiting) > 0 && p.fastest() != nil {
		next := p.waiting[0]
		p.waiting = p.waiting[1:]
		next()
	}
}

// start adds the network delay that no policy could avoid for this target.
func (p *idealQueue) start(j *job, from int, finish func(outcome)) {
	t := p.fastest()
	oneWay := p.sim.delay(from, t.domain)
	t.run(j, func(bool) {
		p.dispatch()
		p.sim.after(2*oneWay-intraDomainDelay, func() { finish(succeeded) })
	})
}

// dispatched is a policy that sends calls through one dispatcher per cell, using the
// production code.
type dispatched struct {
	sim         *simulation
	cells       []route.CellID
	routers     []*route.Router
	dispatchers []*simDispatcher
	// overflow lets a cell without free slots redirect calls to other cells.
	overflow bool
	// offers is the number of offers of free slots per thousand calls.
	offers int
}

type simDispatcher struct {
	p          *dispatched
	id         route.CellID
	domain     int
	cell       *dispatch.Cell
	targets    map[string]*simTarget
	router     *route.Router
	onGrant    map[*dispatch.Call]func(target string)
	onReject   map[*dispatch.Call]func()
	onRedirect map[*dispatch.Call]func(to *simDispatcher)
}

type dispatcherOptions struct {
	cell     dispatch.Config
	overflow bool
	offers   int
}

func newDispatched(sim *simulation, o dispatcherOptions) *dispatched {
	p := &dispatched{sim: sim, overflow: o.overflow, offers: o.offers}
	cfg := route.DefaultConfig()
	cfg.CrossDomainRTT = 2 * sim.dep.crossDomainDelay
	for d := range sim.dep.domains {
		p.cells = append(p.cells, route.CellID{Pool: "pool", Domain: domainName(d)})
	}
	for e := range sim.dep.hosts {
		p.routers = append(p.routers, route.NewRouter(domainName(sim.hostDomain(e)), cfg, sim.rng))
	}
	for d := range sim.dep.domains {
		s := &simDispatcher{
			p: p, id: p.cells[d], domain: d, cell: dispatch.NewCell(o.cell), targets: map[string]*simTarget{},
			router:  route.NewRouter(domainName(d), cfg, sim.rng),
			onGrant: map[*dispatch.Call]func(string){}, onReject: map[*dispatch.Call]func(){}, onRedirect: map[*dispatch.Call]func(*simDispatcher){},
		}
		var specs []dispatch.Target
		for i, t := range sim.targets {
			if t.domain == d {
				name := fmt.Sprintf("t%d", i)
				s.targets[name] = t
				specs = append(specs, dispatch.Target{Name: name, Slots: t.slots})
			}
		}
		s.cell.SetTargets(sim.wallTime(), specs)
		p.dispatchers = append(p.dispatchers, s)
	}
	return p
}

func domainName(d int) string { return fmt.Sprintf("d%d", d) }

func (p *dispatched) send(j *job, finish func(outcome)) {
	router := p.routers[j.host]
	id, _ := router.Choose(p.sim.wallTime(), p.cells, nil)
	router.RecordSent(p.sim.wallTime(), id)
	s := p.dispatchers[slices.Index(p.cells, id)]
	from := p.sim.hostDomain(j.host)
	oneWay := p.sim.delay(from, s.domain)
	carried := p.recentReports(router)
	p.sim.after(oneWay, func() {
		recordReports(s.router, carried)
		s.handle(j, p.overflow, func(o outcome) {
			reports := s.reports()
			p.sim.after(oneWay, func() {
				router.RecordDone(id)
				recordReports(router, reports)
				finish(o)
			})
		})
	})
}

// recentReports returns the load reports that a request carries.
func (p *dispatched) recentReports(router *route.Router) []route.LoadReport {
	if !p.overflow {
		return nil
	}
	return router.RecentReports(p.sim.wallTime(), p.cells)
}

func recordReports(router *route.Router, reports []route.LoadReport) {
	for _, r := range reports {
		router.RecordLoad(r.At, r.Cell, r.Load)
	}
}

// reports returns the load of this cell and the recent load reports of the others.
func (s *simDispatcher) reports() []route.LoadReport {
	now := s.p.sim.wallTime()
	local := route.LoadReport{Cell: s.id, Load: s.cell.Load(now), At: now}
	if !s.p.overflow {
		return []route.LoadReport{local}
	}
	s.router.RecordLoad(now, s.id, local.Load)
	return s.router.RecentReports(now, s.p.cells)
}

const callDeadline = 2 * time.Second

func (s *simDispatcher) handle(j *job, mayRedirect bool, reply func(outcome)) {
	now := s.p.sim.wallTime()
	call := &dispatch.Call{Partner: "p", Member: "m", Kind: "k", Weight: 1, Pinned: !mayRedirect, Deadline: epoch.Add(j.arrived + callDeadline)}
	if mayRedirect && s.cell.Load(now).Free == 0 {
		if other, ok := s.router.FreeElsewhere(now, s.p.cells, s.id); ok {
			s.redirect(other, j, reply)
			return
		}
	}
	switch d := s.cell.Admit(now, call); d.Action {
	case dispatch.Run:
		s.start(j, call, d.Target, reply)
	case dispatch.Queue:
		s.onGrant[call] = func(target string) { s.start(j, call, target, reply) }
		s.onReject[call] = func() { reply(rejected) }
		s.onRedirect[call] = func(to *simDispatcher) { s.redirect(to.id, j, reply) }
		s.p.sim.after(50*time.Millisecond, func() { s.applyGrants(s.cell.DispatchQueued(s.p.sim.wallTime())) })
	default:
		reply(rejected)
	}
}

func (s *simDispatcher) redirect(other route.CellID, j *job, reply func(outcome)) {
	s.router.RecordSent(s.p.sim.wallTime(), other)
	next := s.p.dispatchers[slices.Index(s.p.cells, other)]
	oneWay := s.p.sim.delay(s.domain, next.domain)
	carried := s.reports()
	s.p.sim.after(oneWay, func() {
		recordReports(next.router, carried)
		next.handle(j, false, func(o outcome) {
			reports := next.reports()
			s.p.sim.after(oneWay, func() {
				recordReports(s.router, reports)
				reply(o)
			})
		})
	})
}

func (s *simDispatcher) start(j *job, call *dispatch.Call, target string, reply func(outcome)) {
	started := s.p.sim.now
	s.p.sim.after(intraDomainDelay, func() {
		s.targets[target].run(j, func(ok bool) {
			s.p.sim.after(intraDomainDelay, func() {
				sample := dispatch.Sample{Result: dispatch.OK, Latency: s.p.sim.now - started}
				o := succeeded
				if !ok {
					sample.Result = dispatch.Failed
					o = failed
				}
				s.applyGrants(s.cell.Done(s.p.sim.wallTime(), call, sample))
				s.cell.EarnOffers(s.p.offers)
				s.offerSlot()
				reply(o)
			})
		})
	})
}

// offerSlot offers a free slot to the dispatcher of the cell that probably has the longest
// queue.
func (s *simDispatcher) offerSlot() {
	if !s.cell.AllowOffer(s.p.sim.wallTime()) {
		return
	}
	id, _ := s.router.LongestQueue(s.p.cells, s.id)
	to := s.p.dispatchers[slices.Index(s.p.cells, id)]
	s.p.sim.messages++
	s.p.sim.after(s.p.sim.delay(s.domain, to.domain), func() {
		if call := to.cell.TakeForRedirect(); call != nil {
			redirect := to.onRedirect[call]
			delete(to.onGrant, call)
			delete(to.onReject, call)
			delete(to.onRedirect, call)
			redirect(s)
		}
	})
}

func (s *simDispatcher) applyGrants(grants []dispatch.Grant) {
	for _, g := range grants {
		start, reject := s.onGrant[g.Call], s.onReject[g.Call]
		delete(s.onGrant, g.Call)
		delete(s.onReject, g.Call)
		delete(s.onRedirect, g.Call)
		if g.Decision.Action == dispatch.Run {
			start(g.Decision.Target)
		} else {
			reject()
		}
	}
}
