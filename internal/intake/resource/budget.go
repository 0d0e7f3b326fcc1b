package resource

// This file defines Budget and Holder.

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// SweepPeriod is the interval at which Sweep should be called. A connection at 100 Mbit/s fills its
	// buffers in less, but not all of them do.
	SweepPeriod = 100 * time.Millisecond
	// sweepParts is the number of sweeps within which the buffers of all connections are measured while
	// less than a measureAllDivisor of the budget is in use. Measuring all in each sweep takes two system
	// calls a connection under the mutex.
	sweepParts        = 4
	measureAllDivisor = 2
	// reserveDivisor gives the part of the bytes that is kept for requests without a body and the first
	// smallBytes of responses: other reservations that make a connection hold more than smallBytes must
	// leave it free.
	reserveDivisor = 8
	smallBytes     = 64 << 10
	// hardDivisor gives the part by which the budget may be exceeded while connections end.
	hardDivisor = 8
	// freeDivisor gives the part of the bytes that is freed beyond the need, so that the next
	// reservations do not search for connections to end.
	freeDivisor = 32
	// searchPause is the time for which no connection is searched for after none was found.
	searchPause = 20 * time.Millisecond
	// endConnectionsDivisor gives the part of the idle connections that is closed when there are too many.
	endConnectionsDivisor = 32
	// checkBytes is the number of reserved bytes after which the memory of the runtime is read again, and
	// overrunDivisor the part by which it may exceed its limit before large reservations are refused. The
	// collector falls behind when processor time is short: 150 responses of 4 MB then took 110 MB on a
	// host with a limit of 72 MB, although no more than 33 MB were reserved.
	checkBytes     = 1 << 20
	overrunDivisor = 16
)

// ErrShort reports that the budget is short.
var ErrShort = errors.New("the memory for clients is in use")

// Conn is a connection that holds bytes.
type Conn interface {
	// Interrupt makes the read in progress fail, so that the request can be refused.
	Interrupt()
	// Abort closes the connection.
	Abort()
	// Queued returns the bytes in the buffers of the socket, in both directions. It is called by one
	// goroutine at a time.
	Queued() int64
}

// End describes connections that were ended.
type End struct {
	// Count is the number of connections, Bytes what they held, and Phases their number by phase.
	Count  int
	Bytes  int64
	Phases map[Phase]int
	// TooMany is set if there were too many connections; otherwise the bytes were short.
	TooMany bool
	// Held is what all connections held.
	Held int64
}

// Config holds the dependencies of a budget.
type Config struct {
	Now func() time.Time
	// MemoryInUse returns the memory that the runtime uses, garbage included; nil if that is not checked.
	MemoryInUse func() int64
	// OnEnd is called after connections were ended, and OnRefuse for each refused reservation or
	// connection. They must not block.
	OnEnd    func(e End)
	OnRefuse func(what string)
}

// Refusals, for Config.OnRefuse.
const (
	RefusedBytes      = "bytes"
	RefusedGarbage    = "garbage"
	RefusedConnection = "connection"
	RefusedTunnel     = "tunnel"
)

// Budget is what all connections of clients may hold. It is safe for concurrent use.
type Budget struct {
	limits Limits
	cfg    Config
	// held is the sum of the reservations, and queued what the buffers of the sockets held at the last
	// sweep.
	held, queued atomic.Int64
	// tunnels counts the tunnels.
	tunnels atomic.Int64
	// unchecked is the number of bytes that large reservations have reserved since the memory of the
	// runtime was read, and overrun is set while that exceeds its limit.
	unchecked atomic.Int64
	overrun   atomic.Bool

	// mu guards the fields below, and queued, measured, part and ending of Holder.
	mu      sync.Mutex
	holders map[*Holder]struct{}
	// ending is the part of held and queued whose connections were ended and are not closed yet, and
	// endingCount their number.
	ending      int64
	endingCount int
	// opened counts the connections, and sweeps the sweeps.
	opened, sweeps int
	// searchAfter is the time before which no connection is searched for.
	searchAfter time.Time
}

// New returns a budget, or nil if there are no limits.
func New(limits Limits, cfg Config) *Budget {
	if limits == (Limits{}) {
		return nil
	}
	return &Budget{limits: limits, cfg: cfg, holders: map[*Holder]struct{}{}}
}

// Usage is what connections hold.
type Usage struct {
	Held, Queued         int64
	Connections, Tunnels int
}

// Usage returns what connections hold now.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Held: b.held.Load(), Queued: b.queued.Load(), Connections: len(b.holders), Tunnels: int(b.tunnels.Load())}
}

// Limits returns the limits of the budget.
func (b *Budget) Limits() Limits { return b.limits }

// Holder is what one connection holds. It is safe for concurrent use.
type Holder struct {
	b    *Budget
	conn Conn
	held atomic.Int64
	// ended is set when the connection was ended because the budget was short, and closed by Close.
	ended  atomic.Bool
	closed atomic.Bool
	phase  atomic.Int32
	// since is the start of the phase, in nanoseconds since the start of the holder.
	since  atomic.Int64
	opened time.Time
	// begun is set while bytes of a request have been read whose response has not been sent.
	begun atomic.Bool
	// queued is what the buffers of the socket held when they were measured last, if measured is set. They
	// are measured in each sweep whose number has the remainder part.
	queued   int64
	measured bool
	part     int
	// ending is what the connection held when it was ended.
	ending int64
}

// Open registers a connection. If there are too many, idle ones are closed; it returns false if there
// are none that have been open for a moment. A nil budget returns a nil holder.
func (b *Budget) Open(conn Conn) (*Holder, bool) {
	if b == nil {
		return nil, true
	}
	h := &Holder{b: b, conn: conn, opened: b.cfg.Now()}
	b.mu.Lock()
	e := b.closeIdle(h.opened)
	ok := b.limits.Connections == 0 || len(b.holders)-b.endingCount < b.limits.Connections
	if ok {
		b.holders[h] = struct{}{}
		h.part = b.opened % sweepParts
		b.opened++
		h.held.Store(ConnectionBytes)
		b.held.Add(ConnectionBytes)
	}
	b.mu.Unlock()
	b.report(e)
	if !ok {
		b.cfg.OnRefuse(RefusedConnection)
		return nil, false
	}
	return h, true
}

// closeIdle closes the connections that have been idle for the longest time if there are too many. The
// caller holds b.mu.
func (b *Budget) closeIdle(now time.Time) End {
	limit := b.limits.Connections
	if limit == 0 || len(b.holders)-b.endingCount < limit {
		return End{}
	}
	var idle []candidate
	for h := range b.holders {
		phase, since := h.state(now)
		// A new connection most likely has a request on its way, which its client could not repeat safely.
		if phase == Idle && !h.ended.Load() && !h.begun.Load() && now.Sub(h.opened) >= minStall {
			idle = append(idle, candidate{holder: h, bytes: 1, cost: since.Seconds()})
		}
	}
	e := b.end(choose(idle, int64(limit/endConnectionsDivisor+1)))
	e.TooMany = true
	return e
}

// Close ends the reservations of a connection. It is called when the connection is closed and no request
// of it is handled.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.holders[h]; !ok {
		return
	}
	delete(b.holders, h)
	h.closed.Store(true)
	b.held.Add(-h.held.Swap(0))
	b.queued.Add(-h.queued)
	if h.ended.Load() {
		b.ending -= h.ending
		b.endingCount--
	}
}

// SetPhase records what the connection does from now on.
func (h *Holder) SetPhase(p Phase) {
	if h != nil {
		h.since.Store(int64(h.b.cfg.Now().Sub(h.opened)))
		h.phase.Store(int32(p))
	}
}

// SetBegun records whether a request has begun on the connection that has not ended. Such a connection is
// not closed to make room for others.
func (h *Holder) SetBegun(begun bool) {
	if h != nil {
		h.begun.Store(begun)
	}
}

// Ended reports whether the connection was ended because the budget was short.
func (h *Holder) Ended() bool { return h != nil && h.ended.Load() }

func (h *Holder) state(now time.Time) (phase Phase, since time.Duration) {
	return Phase(h.phase.Load()), now.Sub(h.opened) - time.Duration(h.since.Load())
}

// Grow reserves n bytes. It returns false if the budget is short or the connection was ended; nothing is
// reserved then.
func (h *Holder) Grow(n int64) bool { return h.grow(n, false) }

// grow is Grow. A small reservation may use the part of the bytes that is kept for requests without a body,
// and is not refused for the memory of the runtime.
func (h *Holder) grow(n int64, small bool) bool {
	if h == nil {
		return true
	}
	if h.ended.Load() {
		return false
	}
	b := h.b
	if b.limits.Bytes == 0 {
		return true
	}
	small = small || h.held.Load()+n <= ConnectionBytes+smallBytes
	if !small && b.overruns(n) {
		b.cfg.OnRefuse(RefusedGarbage)
		return false
	}
	total := b.held.Add(n) + b.queued.Load()
	h.held.Add(n)
	if h.closed.Load() {
		b.held.Add(-h.held.Swap(0))
		return false
	}
	if limit := b.limit(small); total > limit && !b.makeRoom(h, limit) {
		h.Release(n)
		b.cfg.OnRefuse(RefusedBytes)
		return false
	}
	return true
}

// overruns reports whether the runtime uses more memory than its limit, before a large reservation of n
// bytes: the garbage of earlier ones is not collected yet.
func (b *Budget) overruns(n int64) bool {
	if b.cfg.MemoryInUse == nil || b.limits.RuntimeBytes == 0 {
		return false
	}
	if b.unchecked.Add(n) < checkBytes && !b.overrun.Load() {
		return false
	}
	b.unchecked.Store(0)
	over := b.cfg.MemoryInUse() > b.limits.RuntimeBytes+b.limits.RuntimeBytes/overrunDivisor
	b.overrun.Store(over)
	return over
}

// Release returns n bytes.
func (h *Holder) Release(n int64) {
	if h == nil || h.b.limits.Bytes == 0 || n == 0 {
		return
	}
	if h.closed.Load() {
		return
	}
	b := h.b
	h.held.Add(-n)
	b.held.Add(-n)
	if h.closed.Load() {
		// Close has returned what the connection held, perhaps these bytes too.
		b.held.Add(-h.held.Swap(0))
		return
	}
	if !h.ended.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.closed.Load() {
		freed := min(n, h.ending)
		h.ending -= freed
		b.ending -= freed
	}
}

// limit returns the bytes up to which connections may reserve more, by small or by other reservations.
func (b *Budget) limit(small bool) int64 {
	if small {
		return b.limits.Bytes
	}
	return b.limits.Bytes - b.limits.Bytes/reserveDivisor
}

// makeRoom ends connections until the reservations are within limit, but not h. It reports whether they
// are, or will be when these connections are closed.
func (b *Budget) makeRoom(h *Holder, limit int64) bool {
	now := b.cfg.Now()
	b.mu.Lock()
	e := b.free(h, limit, now)
	total := b.held.Load() + b.queued.Load()
	ok := total-b.ending <= limit && total <= limit+b.limits.Bytes/hardDivisor && !h.ended.Load()
	b.mu.Unlock()
	b.report(e)
	return ok
}

// free ends connections until the others hold no more than limit. The connection except, which asks for
// more, is not ended: it is refused. The caller holds b.mu.
func (b *Budget) free(except *Holder, limit int64, now time.Time) End {
	need := b.held.Load() + b.queued.Load() - b.ending - limit
	if need <= 0 || now.Before(b.searchAfter) {
		return End{}
	}
	var list []candidate
	for h := range b.holders {
		if h == except || h.ended.Load() {
			continue
		}
		phase, since := h.state(now)
		if c, ok := newCandidate(h, phase, h.held.Load(), h.queued, since); ok {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		b.searchAfter = now.Add(searchPause)
		return End{}
	}
	return b.end(choose(list, need+b.limits.Bytes/freeDivisor))
}

// end ends connections. The caller holds b.mu.
func (b *Budget) end(list []candidate) End {
	e := End{Count: len(list), Phases: map[Phase]int{}, Held: b.held.Load() + b.queued.Load()}
	for _, c := range list {
		h := c.holder
		h.ended.Store(true)
		h.ending = h.held.Load() + h.queued
		b.ending += h.ending
		b.endingCount++
		e.Bytes += h.ending
		phase := Phase(h.phase.Load())
		e.Phases[phase]++
		if phase == Body {
			h.conn.Interrupt()
		} else {
			h.conn.Abort()
		}
	}
	return e
}

func (b *Budget) report(e End) {
	if e.Count > 0 {
		b.cfg.OnEnd(e)
	}
}

// Sweep measures what the buffers of the sockets hold, if all of them together could exceed the budget:
// those of new connections and a quarter of the others, or those of all while over half of the budget is in
// use. It ends connections if the budget is exceeded, and connections that hold a target without progress,
// if much of the budget is in use or there are many of them.
func (b *Budget) Sweep(now time.Time) {
	if b == nil || b.limits.Bytes == 0 {
		return
	}
	b.mu.Lock()
	limit := b.limit(false)
	// Send and receive buffers, which the kernel doubles.
	largest := int64(len(b.holders)) * int64(b.limits.SocketBytes) * 4
	measure := b.held.Load()+largest > limit
	all := b.held.Load()+b.queued.Load() > b.limits.Bytes/measureAllDivisor
	part := b.sweeps % sweepParts
	b.sweeps++
	sum := int64(0)
	for h := range b.holders {
		switch {
		case !measure:
			h.queued, h.measured = 0, false
		case all || !h.measured || h.part == part:
			h.queued, h.measured = h.conn.Queued(), true
		}
		sum += h.queued
	}
	b.queued.Store(sum)
	e := b.free(nil, limit, now)
	stalled := b.endStalled(now)
	b.mu.Unlock()
	b.report(e)
	b.report(stalled)
}

// endStalled ends connections that hold a target without progress. The caller holds b.mu.
func (b *Budget) endStalled(now time.Time) End {
	var list []candidate
	for h := range b.holders {
		if phase, since := h.state(now); holdsTarget(phase, since) && !h.ended.Load() {
			list = append(list, candidate{holder: h})
		}
	}
	if b.held.Load()+b.queued.Load() <= b.limits.Bytes/pressedDivisor && len(list) <= maxStalled {
		return End{}
	}
	return b.end(list)
}

// OpenTunnel reserves the bytes of a tunnel. release must be called at its end.
func (b *Budget) OpenTunnel() (release func(), ok bool) {
	if b == nil {
		return func() {}, true
	}
	cost := b.limits.tunnelCost()
	open := b.tunnels.Add(1)
	total := b.held.Add(cost) + b.queued.Load()
	release = func() {
		b.tunnels.Add(-1)
		b.held.Add(-cost)
	}
	if l := b.limits; l.Tunnels > 0 && open > int64(l.Tunnels) || l.Bytes > 0 && total > l.Bytes {
		release()
		b.cfg.OnRefuse(RefusedTunnel)
		return nil, false
	}
	return release, true
}

// holderKey is the key of a holder in a context.
type holderKey struct{}

// NewContext returns a context that carries the holder of a connection.
func NewContext(ctx context.Context, h *Holder) context.Context {
	if h == nil {
		return ctx
	}
	return context.WithValue(ctx, holderKey{}, h)
}

// FromContext returns the holder that a context carries, or nil.
func FromContext(ctx context.Context) *Holder {
	h, _ := ctx.Value(holderKey{}).(*Holder)
	return h
}
