package route_test

// This file defines the policies that the loop compares.

import (
	"fmt"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatch"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

// direct policies choose a target at the entry host.
type direct struct {
	l      *loop
	pick   func(d *direct, j *job) int
	own    [][]int
	next   []int
	probes [][]probe
}

type probe struct {
	target int
	busy   int
	at     time.Duration
}

func newDirect(l *loop, pick func(d *direct, j *job) int) *direct {
	d := &direct{l: l, pick: pick, next: make([]int, l.size.entries), probes: make([][]probe, l.size.entries)}
	for range l.size.entries {
		d.own = append(d.own, make([]int, len(l.targets)))
	}
	return d
}

func (d *direct) send(j *job, finish func(outcome)) {
	at := d.pick(d, j)
	t := d.l.targets[at]
	d.own[j.entry][at]++
	way := d.l.distance(d.l.entryDomain(j.entry), t.domain)
	d.l.after(way, func() {
		t.run(j, func(ok bool) {
			d.l.after(way, func() {
				d.own[j.entry][at]--
				if ok {
					finish(answered)
				} else {
					finish(failed)
				}
			})
		})
	})
}

func pickRandom(d *direct, _ *job) int { return d.l.rng.IntN(len(d.l.targets)) }

func pickRoundRobin(d *direct, j *job) int {
	d.next[j.entry]++
	return (d.next[j.entry] + j.entry) % len(d.l.targets)
}

func pickPowerOfTwo(d *direct, j *job) int {
	a, b := d.l.rng.IntN(len(d.l.targets)), d.l.rng.IntN(len(d.l.targets))
	if d.own[j.entry][b] < d.own[j.entry][a] {
		return b
	}
	return a
}

func pickLeastOwn(d *direct, j *job) int {
	best, ties := 0, 0
	for i := range d.l.targets {
		switch {
		case d.own[j.entry][i] < d.own[j.entry][best]:
			best, ties = i, 1
		case d.own[j.entry][i] == d.own[j.entry][best]:
			ties++
			if d.l.rng.IntN(ties) == 0 {
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

// pickProbed chooses from a pool of asynchronous probes, perCall of which are
// sent with each call. A probe and its answer are two messages.
func pickProbed(perCall float64) func(d *direct, j *job) int {
	return func(d *direct, j *job) int {
		n := int(perCall)
		if d.l.rng.Float64() < perCall-float64(n) {
			n++
		}
		for range n {
			d.probe(j.entry)
		}
		pool := slices.DeleteFunc(d.probes[j.entry], func(p probe) bool { return d.l.now-p.at > probeMaxAge })
		d.probes[j.entry] = pool
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
		d.probes[j.entry] = slices.Delete(pool, best, best+1)
		return target
	}
}

func (d *direct) probe(entry int) {
	at := d.l.rng.IntN(len(d.l.targets))
	t := d.l.targets[at]
	way := d.l.distance(d.l.entryDomain(entry), t.domain)
	d.l.messages += 2
	d.l.after(way, func() {
		busy := t.busy() + len(t.waiting)
		d.l.after(way, func() {
			d.probes[entry] = append(d.probes[entry], probe{target: at, busy: busy, at: d.l.now})
			if len(d.probes[entry]) > probePool {
				d.probes[entry] = d.probes[entry][1:]
			}
		})
	})
}

// ideal is one queue beside the targets with perfect knowledge.
type ideal struct {
	l       *loop
	waiting []func()
}

func (p *ideal) send(j *job, finish func(outcome)) {
	from := p.l.entryDomain(j.entry)
	p.l.after(within, func() {
		p.waiting = append(p.waiting, func() { p.start(j, from, finish) })
		p.pump()
	})
}

func (p *ideal) fastest() *slotTarget {
	var best *slotTarget
	for _, t := range p.l.targets {
		if t.busy() < t.slots && !t.fails && (best == nil || t.slow < best.slow) {
			best = t
		}
	}
	return best
}

func (p *ideal) pump() {
	for len(p.waiting) > 0 && p.fastest() != nil {
		next := p.waiting[0]
		p.waiting = p.waiting[1:]
		next()
	}
}

// start charges the crossing that a call to this target could not avoid.
func (p *ideal) start(j *job, from int, finish func(outcome)) {
	t := p.fastest()
	way := p.l.distance(from, t.domain)
	t.run(j, func(bool) {
		p.pump()
		p.l.after(2*way-within, func() { finish(answered) })
	})
}

// dispatched sends calls through one dispatcher per cell, with the code of the
// product.
type dispatched struct {
	l        *loop
	cells    []route.CellID
	routers  []*route.Router
	stations []*station
	overflow bool
	// offers is the number of offers of free slots per thousand calls.
	offers int
}

type station struct {
	p       *dispatched
	id      route.CellID
	domain  int
	cell    *dispatch.Cell
	targets map[string]*slotTarget
	router  *route.Router
	pending map[*dispatch.Call]func(target string)
	refuse  map[*dispatch.Call]func()
	moves   map[*dispatch.Call]func(to *station)
}

type dispatchOptions struct {
	cell     dispatch.Config
	overflow bool
	offers   int
}

func newDispatched(l *loop, o dispatchOptions) *dispatched {
	p := &dispatched{l: l, overflow: o.overflow, offers: o.offers}
	cfg := route.DefaultConfig()
	cfg.Crossing = 2 * l.size.crossing
	for d := range l.size.domains {
		p.cells = append(p.cells, route.CellID{Pool: "pool", Domain: domainName(d)})
	}
	for e := range l.size.entries {
		p.routers = append(p.routers, route.NewRouter(domainName(l.entryDomain(e)), cfg, l.rng))
	}
	for d := range l.size.domains {
		s := &station{
			p: p, id: p.cells[d], domain: d, cell: dispatch.NewCell(o.cell), targets: map[string]*slotTarget{},
			router:  route.NewRouter(domainName(d), cfg, l.rng),
			pending: map[*dispatch.Call]func(string){}, refuse: map[*dispatch.Call]func(){}, moves: map[*dispatch.Call]func(*station){},
		}
		var specs []dispatch.Target
		for i, t := range l.targets {
			if t.domain == d {
				name := fmt.Sprintf("t%d", i)
				s.targets[name] = t
				specs = append(specs, dispatch.Target{Name: name, Slots: t.slots})
			}
		}
		s.cell.SetTargets(l.clock(), specs)
		p.stations = append(p.stations, s)
	}
	return p
}

func domainName(d int) string { return fmt.Sprintf("d%d", d) }

func (p *dispatched) send(j *job, finish func(outcome)) {
	router := p.routers[j.entry]
	id, _ := router.Choose(p.l.clock(), p.cells, nil)
	router.Sent(p.l.clock(), id)
	s := p.stations[slices.Index(p.cells, id)]
	from := p.l.entryDomain(j.entry)
	way := p.l.distance(from, s.domain)
	carried := p.known(router)
	p.l.after(way, func() {
		take(s.router, carried)
		s.accept(j, p.overflow, func(o outcome) {
			reports := s.reports()
			p.l.after(way, func() {
				router.Answered(id)
				take(router, reports)
				finish(o)
			})
		})
	})
}

// known returns the reports that a request carries.
func (p *dispatched) known(router *route.Router) []route.Report {
	if !p.overflow {
		return nil
	}
	return router.Known(p.l.clock(), p.cells)
}

func take(router *route.Router, reports []route.Report) {
	for _, r := range reports {
		router.Report(r.At, r.Cell, r.Load)
	}
}

// reports returns the own load and what the station knows of the others.
func (s *station) reports() []route.Report {
	now := s.p.l.clock()
	own := route.Report{Cell: s.id, Load: s.cell.Load(now), At: now}
	if !s.p.overflow {
		return []route.Report{own}
	}
	s.router.Report(now, s.id, own.Load)
	return s.router.Known(now, s.p.cells)
}

const callDeadline = 2 * time.Second

func (s *station) accept(j *job, mayForward bool, reply func(outcome)) {
	now := s.p.l.clock()
	call := &dispatch.Call{Partner: "p", Member: "m", Kind: "k", Weight: 1, Pinned: !mayForward, Deadline: epoch.Add(j.arrived + callDeadline)}
	if mayForward && s.cell.Load(now).Free == 0 {
		if other, ok := s.router.FreeElsewhere(now, s.p.cells, s.id); ok {
			s.forward(other, j, reply)
			return
		}
	}
	switch v := s.cell.Offer(now, call); v.Action {
	case dispatch.Run:
		s.start(j, call, v.Target, reply)
	case dispatch.Queue:
		s.pending[call] = func(target string) { s.start(j, call, target, reply) }
		s.refuse[call] = func() { reply(refused) }
		s.moves[call] = func(to *station) { s.forward(to.id, j, reply) }
		s.p.l.after(50*time.Millisecond, func() { s.serve(s.cell.Pump(s.p.l.clock())) })
	default:
		reply(refused)
	}
}

func (s *station) forward(other route.CellID, j *job, reply func(outcome)) {
	s.router.Sent(s.p.l.clock(), other)
	next := s.p.stations[slices.Index(s.p.cells, other)]
	way := s.p.l.distance(s.domain, next.domain)
	carried := s.reports()
	s.p.l.after(way, func() {
		take(next.router, carried)
		next.accept(j, false, func(o outcome) {
			reports := next.reports()
			s.p.l.after(way, func() {
				take(s.router, reports)
				reply(o)
			})
		})
	})
}

func (s *station) start(j *job, call *dispatch.Call, target string, reply func(outcome)) {
	began := s.p.l.now
	s.p.l.after(within, func() {
		s.targets[target].run(j, func(ok bool) {
			s.p.l.after(within, func() {
				sample := dispatch.Sample{Result: dispatch.OK, Latency: s.p.l.now - began}
				o := answered
				if !ok {
					sample.Result = dispatch.Failed
					o = failed
				}
				s.serve(s.cell.Done(s.p.l.clock(), call, sample))
				s.cell.Earn(s.p.offers)
				s.offer()
				reply(o)
			})
		})
	})
}

// offer tells the station that probably waits most that this one has a free slot.
func (s *station) offer() {
	if !s.cell.Offers(s.p.l.clock()) {
		return
	}
	id, _ := s.router.Longest(s.p.cells, s.id)
	to := s.p.stations[slices.Index(s.p.cells, id)]
	s.p.l.messages++
	s.p.l.after(s.p.l.distance(s.domain, to.domain), func() {
		if call := to.cell.Yield(); call != nil {
			move := to.moves[call]
			delete(to.pending, call)
			delete(to.refuse, call)
			delete(to.moves, call)
			move(s)
		}
	})
}

func (s *station) serve(grants []dispatch.Grant) {
	for _, g := range grants {
		start, refuse := s.pending[g.Call], s.refuse[g.Call]
		delete(s.pending, g.Call)
		delete(s.refuse, g.Call)
		delete(s.moves, g.Call)
		if g.Verdict.Action == dispatch.Run {
			start(g.Verdict.Target)
		} else {
			refuse()
		}
	}
}
