// Package station runs the cells that this host dispatches: it holds the queue
// and the connections, and sends each granted call to its target.
//
// A Station is a shell around dispatch.Cell. Any host can serve any cell; which
// one does is decided by the sender, so that a change of view needs no handover.
//
// # Usage
//
//	s := station.New(cfg, group)
//	s.SetPools(now, pools)
//	answer := s.Do(ctx, c)
package station

// This file defines Station, the cells of one host.

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatch"
	"tamaracktiller.example/tamaracktiller/internal/traffic/relay"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

const (
	// dialTimeout bounds the opening of a connection to a target.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes connections to targets that are not used.
	idleTimeout = 30 * time.Second
	// fresh is the age of the last answer up to which a connection may carry a
	// request that must not be repeated.
	fresh = time.Second
	// maxBufferedAnswer is the largest answer that is read whole before it is
	// passed on.
	maxBufferedAnswer = 64 << 10
	// pumpPeriod is the time between two looks at the queues.
	pumpPeriod = 20 * time.Millisecond
)

// Draining is told that a target says that it drains.
type Draining func(target string)

// Offering is told that a cell has a free slot for another cell of its pool.
type Offering func(from route.CellID)

// Config holds the dependencies of a station.
type Config struct {
	Cell     dispatch.Config
	Draining Draining
	Offering Offering
}

// Station holds the cells of one host. It is safe for concurrent use.
type Station struct {
	cfg Config
	g   *group.Group

	mu    sync.Mutex
	cells map[route.CellID]*cell
	lines map[netip.AddrPort]*relay.Pool
}

// New returns a station without cells.
func New(cfg Config, g *group.Group) *Station {
	return &Station{cfg: cfg, g: g, cells: map[route.CellID]*cell{}, lines: map[netip.AddrPort]*relay.Pool{}}
}

// cell is one dispatched cell. mu guards core and waiting.
type cell struct {
	station *Station
	id      route.CellID

	mu      sync.Mutex
	core    *dispatch.Cell
	waiting map[*dispatch.Call]chan dispatch.Verdict
	targets map[string]catalog.Target
	// offersPerThousand is the budget for offers; hasSiblings says that the pool
	// has other cells.
	offersPerThousand int
	hasSiblings       bool
}

// SetPools brings the cells in line with the configuration.
func (s *Station) SetPools(now time.Time, c *catalog.Catalog, leaving map[string]bool) {
	shares := sharesByPool(c)
	specs := map[route.CellID][]catalog.Target{}
	addresses := map[netip.AddrPort]int{}
	for name, pool := range c.Pools {
		for _, t := range pool.Targets {
			t.Leaving = t.Leaving || leaving[t.Name]
			id := route.CellID{Pool: name, Domain: t.Domain}
			specs[id] = append(specs[id], t)
			addresses[t.Address] = t.Connections
		}
	}
	s.setLines(addresses)
	s.mu.Lock()
	for id := range s.cells {
		if _, ok := specs[id]; !ok {
			specs[id] = nil
		}
	}
	s.mu.Unlock()
	for id, targets := range specs {
		pool := c.Pools[id.Pool]
		s.cell(id).set(now, pool, targets, shares[id.Pool])
	}
}

func sharesByPool(c *catalog.Catalog) map[string]map[string]int {
	shares := map[string]map[string]int{}
	for _, service := range c.Services {
		if shares[service.Pool] == nil {
			shares[service.Pool] = map[string]int{}
		}
		shares[service.Pool][string(service.Partner)] += service.Share
	}
	return shares
}

// setLines keeps one connection pool per address.
func (s *Station) setLines(addresses map[netip.AddrPort]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, line := range s.lines {
		if _, ok := addresses[address]; !ok {
			line.Close()
			delete(s.lines, address)
		}
	}
	for address, connections := range addresses {
		if s.lines[address] == nil {
			cfg := relay.Config{MaxConnections: connections, Dial: dial, DialTimeout: dialTimeout, IdleTimeout: idleTimeout, Fresh: fresh}
			s.lines[address] = relay.NewPool(address, cfg, s.g)
		}
	}
}

func dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}

func (s *Station) cell(id route.CellID) *cell {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.cells[id]
	if !ok {
		c = &cell{station: s, id: id, core: dispatch.NewCell(s.cfg.Cell), waiting: map[*dispatch.Call]chan dispatch.Verdict{}}
		s.cells[id] = c
	}
	return c
}

func (c *cell) set(now time.Time, pool catalog.Pool, targets []catalog.Target, shares map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offersPerThousand = pool.OffersPerThousand
	c.hasSiblings = len(targets) < len(pool.Targets)
	c.targets = make(map[string]catalog.Target, len(targets))
	specs := make([]dispatch.Target, 0, len(targets))
	for _, t := range targets {
		c.targets[t.Name] = t
		specs = append(specs, dispatch.Target{Name: t.Name, Slots: t.Slots, Leaving: t.Leaving})
	}
	c.core.SetTargets(now, specs)
	c.core.SetShares(shares)
	c.deliver(c.core.Pump(now))
}

// PumpPeriod returns the period at which Pump must be called.
func (s *Station) PumpPeriod() time.Duration { return pumpPeriod }

// Pump looks at all queues: slots come back and deadlines pass with time.
func (s *Station) Pump(now time.Time) {
	s.mu.Lock()
	cells := make([]*cell, 0, len(s.cells))
	for _, c := range s.cells {
		cells = append(cells, c)
	}
	s.mu.Unlock()
	for _, c := range cells {
		c.mu.Lock()
		if len(c.waiting) > 0 {
			c.deliver(c.core.Pump(now))
		}
		c.mu.Unlock()
	}
}

// Trim closes connections that have been idle for long.
func (s *Station) Trim(now time.Time) {
	s.mu.Lock()
	lines := make([]*relay.Pool, 0, len(s.lines))
	for _, line := range s.lines {
		lines = append(lines, line)
	}
	s.mu.Unlock()
	for _, line := range lines {
		line.Trim(now)
	}
}

// Load returns the load of a cell.
func (s *Station) Load(now time.Time, id route.CellID) dispatch.Load {
	c := s.cell(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Load(now)
}

// deliver hands grants to the goroutines that wait. c.mu is held.
func (c *cell) deliver(grants []dispatch.Grant) {
	for _, g := range grants {
		ch := c.waiting[g.Call]
		delete(c.waiting, g.Call)
		ch <- g.Verdict
	}
}

// Do dispatches a call in a cell and returns its answer. The slot of the target
// is held until the answer's body is read or closed.
func (s *Station) Do(ctx context.Context, id route.CellID, c *call.Call) *call.Answer {
	cl := s.cell(id)
	granted := &dispatch.Call{
		Partner: c.Partner, Member: c.Member, Kind: c.Service + "/" + c.Kind, Weight: c.Weight,
		MayWait: c.MayWait, Pinned: c.Forwarded, Deadline: c.Deadline, Avoid: c.Avoid,
	}
	verdict := cl.admit(ctx, granted)
	if verdict.Action == dispatch.Move {
		return &call.Answer{Outcome: call.OutcomeNotRun, MoveTo: verdict.Target}
	}
	if verdict.Action != dispatch.Run {
		return call.NotRun(string(verdict.Reason), verdict.RetryAfter)
	}
	return cl.send(ctx, c, granted, verdict.Target)
}

// reasonCancelled is the reason of a call whose caller went away while it waited.
const reasonCancelled dispatch.Reason = "caller went away"

// admit returns when the call has a target or is refused.
func (c *cell) admit(ctx context.Context, granted *dispatch.Call) dispatch.Verdict {
	c.mu.Lock()
	v := c.core.Offer(time.Now(), granted)
	if v.Action != dispatch.Queue {
		c.mu.Unlock()
		return v
	}
	ch := make(chan dispatch.Verdict, 1)
	c.waiting[granted] = ch
	c.mu.Unlock()
	select {
	case v = <-ch:
		return v
	case <-ctx.Done():
		return c.withdraw(granted, ch)
	}
}

// withdraw takes back a queued call. A grant that came at the same moment is
// given back.
func (c *cell) withdraw(granted *dispatch.Call, ch chan dispatch.Verdict) dispatch.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, granted)
	if !c.core.Withdraw(granted) {
		if v := <-ch; v.Action == dispatch.Run {
			c.deliver(c.core.Done(time.Now(), granted, dispatch.Sample{Result: dispatch.Cancelled}))
		}
	}
	return dispatch.Verdict{Action: dispatch.Refuse, Reason: reasonCancelled, RetryAfter: time.Second}
}

// done ends a granted call. When a slot is free then and nobody waits for it,
// another cell may be told.
func (c *cell) done(granted *dispatch.Call, sample dispatch.Sample) {
	now := time.Now()
	c.mu.Lock()
	c.deliver(c.core.Done(now, granted, sample))
	c.core.Earn(c.offersPerThousand)
	offers := c.hasSiblings && c.core.Offers(now)
	c.mu.Unlock()
	if offers && c.station.cfg.Offering != nil {
		c.station.cfg.Offering(c.id)
	}
}

// Yield moves the call that waits longest in a cell to another cell that offered
// a free slot. It reports whether one waited.
func (s *Station) Yield(id route.CellID, to string) bool {
	c := s.cell(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.core.Yield()
	if call == nil {
		return false
	}
	c.deliver([]dispatch.Grant{{Call: call, Verdict: dispatch.Verdict{Action: dispatch.Move, Target: to}}})
	return true
}

// reasonGone is the reason of a call whose target left the configuration.
const reasonGone = "target left"

// send sends a granted call to its target.
func (c *cell) send(ctx context.Context, in *call.Call, granted *dispatch.Call, name string) *call.Answer {
	c.mu.Lock()
	target := c.targets[name]
	c.mu.Unlock()
	line := c.station.line(target.Address)
	if line == nil {
		c.done(granted, dispatch.Sample{Result: dispatch.Cancelled})
		return call.NotRun(reasonGone, time.Second)
	}
	ctx, cancel := context.WithDeadline(ctx, in.Deadline)
	out := in.NewRequest(ctx)
	began := time.Now()
	in.TargetHeaders(out, began)
	res, err := line.RoundTrip(ctx, out, relay.Options{Idempotent: in.Idempotent})
	if err != nil {
		result := resultOf(ctx, err)
		cancel()
		c.done(granted, dispatch.Sample{Result: result})
		return answerOf(err, name)
	}
	slot := &slot{cell: c, granted: granted, latency: time.Since(began), cancel: cancel}
	return slot.take(res, name)
}

// resultOf tells what a failed round trip says about the target. A caller that
// went away says nothing.
func resultOf(ctx context.Context, err error) dispatch.Result {
	if errors.Is(context.Cause(ctx), context.Canceled) || errors.Is(err, relay.ErrRequestBody) {
		return dispatch.Cancelled
	}
	return dispatch.Failed
}

func answerOf(err error, target string) *call.Answer {
	if relay.MayHaveRun(err) {
		a := call.Unknown("the target did not answer", target)
		a.Detail = err.Error()
		a.Died = errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
		return a
	}
	a := call.NotRun("the target could not be reached", retryAfterFailure)
	a.Detail = err.Error()
	a.Target, a.Failed = target, true
	return a
}

// retryAfterFailure is what callers are told after a failed connection.
const retryAfterFailure = 100 * time.Millisecond

func (s *Station) line(address netip.AddrPort) *relay.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines[address]
}

// refusedByTarget returns the answer of a target that refused before running.
func refusedByTarget(res *http.Response, target string) *call.Answer {
	a := call.NotRun("target: "+res.Header.Get(call.HeaderNotRun), retryAfterFailure)
	a.Target, a.Failed = target, true
	return a
}
