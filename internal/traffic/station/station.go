// Package station runs the cells that this host dispatches: it holds their queues and
// the connections to targets, and sends each granted call to its target.
//
// A Station does the I/O around dispatch.Cell. Any host can dispatch any cell. The
// sender of a call chooses the host, so that membership changes need no handover.
//
// # Usage
//
//	s := station.New(cfg, group)
//	s.SetPools(now, catalog, draining)
//	result := s.Do(ctx, id, c)
package station

// This file defines Station.

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
	// dialTimeout limits the time to connect to a target.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is the idle time after which a connection to a target is closed.
	idleTimeout = 30 * time.Second
	// maxNonIdempotentIdle is the idle time up to which a connection is reused for a
	// non-idempotent request.
	maxNonIdempotentIdle = time.Second
	// maxBufferedBody is the largest response body that is read completely before it is
	// forwarded.
	maxBufferedBody = 64 << 10
	// dispatchPeriod is the period at which queues are checked.
	dispatchPeriod = 20 * time.Millisecond
)

// DrainingFunc is called when a target responds that it is draining.
type DrainingFunc func(target string)

// FreeSlotFunc is called when a cell has a free slot that another cell of its pool may
// use.
type FreeSlotFunc func(from route.CellID)

// Config holds the dependencies of a station.
type Config struct {
	Cell       dispatch.Config
	OnDraining DrainingFunc
	OnFreeSlot FreeSlotFunc
}

// Station holds the cells of one host. It is safe for concurrent use.
type Station struct {
	cfg Config
	g   *group.Group

	mu        sync.Mutex
	cells     map[route.CellID]*cell
	connPools map[netip.AddrPort]*relay.Pool
}

// New returns a station without cells.
func New(cfg Config, g *group.Group) *Station {
	return &Station{cfg: cfg, g: g, cells: map[route.CellID]*cell{}, connPools: map[netip.AddrPort]*relay.Pool{}}
}

// cell is a cell that this host dispatches. mu guards the fields below it.
type cell struct {
	station *Station
	id      route.CellID

	mu   sync.Mutex
	core *dispatch.Cell
	// waiting holds the channel on which the decision on each queued call is sent.
	waiting map[*dispatch.Call]chan dispatch.Decision
	targets map[string]catalog.Target
	// offersPerThousand is the budget for offers of free slots, per thousand calls.
	offersPerThousand int
	// hasSiblings is set if the pool has other cells.
	hasSiblings bool
}

// SetPools applies the pools, targets and shares of the catalog to the cells. Targets
// named in draining receive no new calls.
func (s *Station) SetPools(now time.Time, c *catalog.Catalog, draining map[string]bool) {
	shares := sharesByPool(c)
	specs := map[route.CellID][]catalog.Target{}
	addresses := map[netip.AddrPort]int{}
	for name, pool := range c.Pools {
		for _, t := range pool.Targets {
			t.Draining = t.Draining || draining[t.Name]
			id := route.CellID{Pool: name, Domain: t.Domain}
			specs[id] = append(specs[id], t)
			addresses[t.Address] = t.Connections
		}
	}
	s.setConnPools(addresses)
	s.mu.Lock()
	for id := range s.cells {
		if _, ok := specs[id]; !ok {
			specs[id] = nil
		}
	}
	s.mu.Unlock()
	for id, targets := range specs {
		pool := c.Pools[id.Pool]
		s.cell(id).configure(now, pool, targets, shares[id.Pool])
	}
}

// sharesByPool returns the share of each partner in each pool.
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

// setConnPools keeps one connection pool per address and closes those of other
// addresses.
func (s *Station) setConnPools(addresses map[netip.AddrPort]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, connPool := range s.connPools {
		if _, ok := addresses[address]; !ok {
			connPool.Close()
			delete(s.connPools, address)
		}
	}
	for address, connections := range addresses {
		if s.connPools[address] == nil {
			cfg := relay.Config{MaxConnections: connections, Dial: dial, DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxNonIdempotentIdle: maxNonIdempotentIdle}
			s.connPools[address] = relay.NewPool(address, cfg, s.g)
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
		c = &cell{station: s, id: id, core: dispatch.NewCell(s.cfg.Cell), waiting: map[*dispatch.Call]chan dispatch.Decision{}}
		s.cells[id] = c
	}
	return c
}

func (c *cell) configure(now time.Time, pool catalog.Pool, targets []catalog.Target, shares map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offersPerThousand = pool.OffersPerThousand
	c.hasSiblings = len(targets) < len(pool.Targets)
	c.targets = make(map[string]catalog.Target, len(targets))
	specs := make([]dispatch.Target, 0, len(targets))
	for _, t := range targets {
		c.targets[t.Name] = t
		specs = append(specs, dispatch.Target{Name: t.Name, Slots: t.Slots, Draining: t.Draining})
	}
	c.core.SetTargets(now, specs)
	c.core.SetShares(shares)
	c.deliver(c.core.DispatchQueued(now))
}

// DispatchPeriod returns the period at which DispatchQueued must be called.
func (s *Station) DispatchPeriod() time.Duration { return dispatchPeriod }

// DispatchQueued runs queued calls for which a slot became usable, and rejects those that
// can no longer meet their deadline.
func (s *Station) DispatchQueued(now time.Time) {
	s.mu.Lock()
	cells := make([]*cell, 0, len(s.cells))
	for _, c := range s.cells {
		cells = append(cells, c)
	}
	s.mu.Unlock()
	for _, c := range cells {
		c.mu.Lock()
		if len(c.waiting) > 0 {
			c.deliver(c.core.DispatchQueued(now))
		}
		c.mu.Unlock()
	}
}

// CloseIdle closes connections to targets that exceed the idle timeout.
func (s *Station) CloseIdle(now time.Time) {
	s.mu.Lock()
	connPools := make([]*relay.Pool, 0, len(s.connPools))
	for _, connPool := range s.connPools {
		connPools = append(connPools, connPool)
	}
	s.mu.Unlock()
	for _, connPool := range connPools {
		connPool.CloseIdle(now)
	}
}

// Load returns the current load of a cell.
func (s *Station) Load(now time.Time, id route.CellID) dispatch.Load {
	c := s.cell(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Load(now)
}

// deliver hands grants to the goroutines that wait in admit. c.mu must be held.
func (c *cell) deliver(grants []dispatch.Grant) {
	for _, g := range grants {
		ch := c.waiting[g.Call]
		delete(c.waiting, g.Call)
		ch <- g.Decision
	}
}

// Do dispatches a call in a cell and returns its result. The slot of the target is held
// until the response body is read or closed.
func (s *Station) Do(ctx context.Context, id route.CellID, c *call.Call) *call.Result {
	cl := s.cell(id)
	dcall := &dispatch.Call{
		Partner: c.Partner, Member: c.Member, Kind: c.Service + "/" + c.Kind, Weight: c.Weight,
		MayWait: c.MayWait, Pinned: c.Redirected, Deadline: c.Deadline, Avoid: c.Avoid,
	}
	decision := cl.admit(ctx, dcall)
	if decision.Action == dispatch.Redirect {
		return &call.Result{Outcome: call.OutcomeNotRun, RedirectTo: decision.Target}
	}
	if decision.Action != dispatch.Run {
		return call.NotRun(string(decision.Reason), decision.RetryAfter)
	}
	return cl.send(ctx, c, dcall, decision.Target)
}

// reasonCancelled is the reason for a call that was cancelled while it was queued.
const reasonCancelled dispatch.Reason = "caller went away"

// admit submits the call to the cell and, if it is queued, waits for the decision.
func (c *cell) admit(ctx context.Context, dcall *dispatch.Call) dispatch.Decision {
	c.mu.Lock()
	d := c.core.Admit(time.Now(), dcall)
	if d.Action != dispatch.Queue {
		c.mu.Unlock()
		return d
	}
	ch := make(chan dispatch.Decision, 1)
	c.waiting[dcall] = ch
	c.mu.Unlock()
	select {
	case d = <-ch:
		return d
	case <-ctx.Done():
		return c.withdraw(dcall, ch)
	}
}

// withdraw removes a cancelled call from the queue. If a target was granted in the
// meantime, it releases the grant.
func (c *cell) withdraw(dcall *dispatch.Call, ch chan dispatch.Decision) dispatch.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, dcall)
	if !c.core.Withdraw(dcall) {
		if d := <-ch; d.Action == dispatch.Run {
			c.deliver(c.core.Done(time.Now(), dcall, dispatch.Sample{Result: dispatch.Cancelled}))
		}
	}
	return dispatch.Decision{Action: dispatch.Reject, Reason: reasonCancelled, RetryAfter: time.Second}
}

// done ends a granted call. If a slot is free afterwards and no call is queued, it may be
// offered to another cell.
func (c *cell) done(dcall *dispatch.Call, sample dispatch.Sample) {
	now := time.Now()
	c.mu.Lock()
	c.deliver(c.core.Done(now, dcall, sample))
	c.core.EarnOffers(c.offersPerThousand)
	offerSlot := c.hasSiblings && c.core.AllowOffer(now)
	c.mu.Unlock()
	if offerSlot && c.station.cfg.OnFreeSlot != nil {
		c.station.cfg.OnFreeSlot(c.id)
	}
}

// RedirectNext redirects the next queued call of a cell to the cell in the failure domain
// to, which offered a free slot. It reports whether there was such a call.
func (s *Station) RedirectNext(id route.CellID, to string) bool {
	c := s.cell(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.core.TakeForRedirect()
	if call == nil {
		return false
	}
	c.deliver([]dispatch.Grant{{Call: call, Decision: dispatch.Decision{Action: dispatch.Redirect, Target: to}}})
	return true
}

// reasonTargetLeft is the reason for a call whose target was removed from the configuration.
const reasonTargetLeft = "target left"

// send sends a granted call to its target.
func (c *cell) send(ctx context.Context, in *call.Call, dcall *dispatch.Call, name string) *call.Result {
	c.mu.Lock()
	target := c.targets[name]
	c.mu.Unlock()
	connPool := c.station.connPool(target.Address)
	if connPool == nil {
		c.done(dcall, dispatch.Sample{Result: dispatch.Cancelled})
		return call.NotRun(reasonTargetLeft, time.Second)
	}
	ctx, cancel := context.WithDeadline(ctx, in.Deadline)
	out := in.NewRequest(ctx)
	sentAt := time.Now()
	in.SetTargetHeaders(out, sentAt)
	res, err := connPool.RoundTrip(ctx, out, relay.Options{Idempotent: in.Idempotent})
	if err != nil {
		result := resultOfError(ctx, err)
		cancel()
		c.done(dcall, dispatch.Sample{Result: result})
		return errorResult(err, name)
	}
	slot := &slot{cell: c, dcall: dcall, latency: time.Since(sentAt), cancel: cancel}
	return slot.handleResponse(res, name)
}

// resultOfError returns the result of a failed round trip. Cancellation and
// relay.ErrRequestBody say nothing about the target.
func resultOfError(ctx context.Context, err error) dispatch.Result {
	if errors.Is(context.Cause(ctx), context.Canceled) || errors.Is(err, relay.ErrRequestBody) {
		return dispatch.Cancelled
	}
	return dispatch.Failed
}

// errorResult returns the result of a call whose round trip failed.
func errorResult(err error, target string) *call.Result {
	if relay.MayHaveRun(err) {
		result := call.Unknown("the target did not answer", target)
		result.Detail = err.Error()
		result.TargetCrashed = errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
		return result
	}
	result := call.NotRun("the target could not be reached", retryAfterFailure)
	result.Detail = err.Error()
	result.Target, result.Failed = target, true
	return result
}

// retryAfterFailure is the retry-after time when a target is unreachable or rejects a
// call.
const retryAfterFailure = 100 * time.Millisecond

func (s *Station) connPool(address netip.AddrPort) *relay.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connPools[address]
}

// rejectedByTarget returns the result of a call that the target rejected before running
// it.
func rejectedByTarget(res *http.Response, target string) *call.Result {
	result := call.NotRun("target: "+res.Header.Get(call.HeaderNotRun), retryAfterFailure)
	result.Target, result.Failed = target, true
	return result
}
