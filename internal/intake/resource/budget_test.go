package resource

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

// fakeConn records how a connection was ended.
type fakeConn struct {
	queued               int64
	measured             int
	interrupted, aborted bool
}

func (c *fakeConn) Interrupt()  { c.interrupted = true }
func (c *fakeConn) Abort()      { c.aborted = true }
func (c *fakeConn) ended() bool { return c.interrupted || c.aborted }
func (c *fakeConn) Queued() int64 {
	c.measured++
	return c.queued
}

// fixture is a budget whose clock the test sets.
type fixture struct {
	*Budget
	now     time.Time
	ends    []End
	refused map[string]int
}

func newFixture(l Limits) *fixture {
	f := &fixture{now: time.Unix(1e9, 0), refused: map[string]int{}}
	f.Budget = New(l, Config{
		Now: func() time.Time { return f.now }, OnEnd: func(e End) { f.ends = append(f.ends, e) },
		OnRefuse: func(what string) { f.refused[what]++ },
	})
	return f
}

// open opens a connection that holds bytes in a phase.
func (f *fixture) open(t *testing.T, phase Phase, bytes, queued int64) (*Holder, *fakeConn) {
	t.Helper()
	c := &fakeConn{queued: queued}
	h, ok := f.Open(c)
	require.True(t, ok)
	h.SetPhase(phase)
	require.True(t, h.Grow(bytes))
	return h, c
}

func TestLimitsFollowTheHost(t *testing.T) {
	tests := []struct {
		name        string
		memory      int64
		descriptors int
		want        Limits
	}{
		{name: "unknown"},
		{name: "smallest host", memory: 184 * megabyte, descriptors: 4100, want: Limits{Bytes: 77175193, RuntimeBytes: 144703488, Connections: 1560, Tunnels: 67, SocketBytes: 94208}},
		{name: "large host", memory: 536 * megabyte, descriptors: 8192, want: Limits{Bytes: 224814694, RuntimeBytes: 421527552, Connections: 3196, Tunnels: 90, SocketBytes: 262144}},
		{name: "only descriptors", descriptors: 4100, want: Limits{Connections: 1560, Tunnels: 243}},
		{name: "hardly any descriptors", descriptors: 150, want: Limits{Connections: 1, Tunnels: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, LimitsOf(tt.memory, tt.descriptors)) })
	}
}

// Guards against a budget that ends the wrong connections: those whose clients are not the reason, or
// that have just begun.
func TestConnectionsThatHoldMostForLongestAreEndedFirst(t *testing.T) {
	f := newFixture(Limits{Bytes: 8 * megabyte, SocketBytes: 64 * kilobyte})
	waiting, waitingConn := f.open(t, Waiting, 3*megabyte, 0)
	_, stalledConn := f.open(t, Body, megabyte, 0)
	_, readerConn := f.open(t, Response, megabyte/2, 0)
	_, idleConn := f.open(t, Idle, 0, 0)
	f.now = f.now.Add(10 * time.Second)
	_, freshConn := f.open(t, Body, 2*megabyte, 0)
	last, lastConn := f.open(t, Body, 0, 0)
	require.True(t, last.Grow(megabyte), "a stalled body makes room")
	require.True(t, stalledConn.interrupted, "its request can be refused")
	require.False(t, stalledConn.aborted)
	for _, c := range []*fakeConn{waitingConn, readerConn, idleConn, freshConn, lastConn} {
		require.False(t, c.ended())
	}
	require.Len(t, f.ends, 1)
	require.Equal(t, map[Phase]int{Body: 1}, f.ends[0].Phases)
	require.False(t, last.Grow(megabyte), "what was ended still holds its bytes")
	require.Positive(t, f.refused[RefusedBytes])
	require.False(t, waitingConn.ended())
	waiting.Close()
	require.True(t, last.Grow(megabyte))
}

// Guards against crowds in which connections end each other, so that no request is served.
func TestNewConnectionsAreRefusedRatherThanThoseThatHaveJustBegun(t *testing.T) {
	f := newFixture(Limits{Bytes: 8 * megabyte})
	for range 6 {
		f.open(t, Body, megabyte, 0)
		f.now = f.now.Add(time.Millisecond)
	}
	h, ok := f.Open(&fakeConn{})
	require.True(t, ok)
	require.True(t, h.Grow(40*kilobyte), "the reserve is for requests without a body")
	require.False(t, h.Grow(megabyte))
	require.Empty(t, f.ends)
}

// Guards against bytes that are not read and so are held by the sockets instead.
func TestUnreadBytesCount(t *testing.T) {
	f := newFixture(Limits{Bytes: 8 * megabyte, SocketBytes: 64 * kilobyte})
	conns := make([]*fakeConn, 0, 100)
	for n := range 100 {
		_, c := f.open(t, Waiting, 0, int64(2*n)*kilobyte)
		conns = append(conns, c)
	}
	f.now = f.now.Add(time.Second)
	f.Sweep(f.now)
	require.NotEmpty(t, f.ends)
	require.True(t, conns[99].aborted)
	require.False(t, conns[freeQueue/kilobyte/2].ended(), "a few pipelined requests are no overload")
	u := f.Usage()
	require.LessOrEqual(t, u.Held+u.Queued-f.ends[0].Bytes, f.limits.Bytes)
}

// Guards against sweeps that hold the mutex for system calls on each connection while little is held, and
// against connections that are never measured again.
func TestSweepMeasuresAQuarterOfTheConnections(t *testing.T) {
	f := newFixture(Limits{Bytes: 8 * megabyte, SocketBytes: 64 * kilobyte})
	conns := make([]*fakeConn, 0, 40)
	for range 40 {
		_, c := f.open(t, Waiting, 0, kilobyte)
		conns = append(conns, c)
	}
	sweep := func() (measured int) {
		for _, c := range conns {
			c.measured = 0
		}
		f.Sweep(f.now)
		for _, c := range conns {
			measured += c.measured
		}
		return measured
	}
	require.Equal(t, 40, sweep(), "new connections")
	for _, c := range conns {
		c.queued = 2 * kilobyte
	}
	for n := range 4 {
		require.Equal(t, 10, sweep())
		require.EqualValues(t, (40+10*(n+1))*kilobyte, f.Usage().Queued)
	}
	f.open(t, Waiting, 4*megabyte, 0)
	require.Equal(t, 40, sweep(), "over half of the budget is in use")
}

// Guards against clients that hold targets without progress, so that others wait for these.
func TestStalledClientsLetGoOfTargetsUnderPressure(t *testing.T) {
	tests := []struct {
		// held is what others hold, and others the number of other clients without progress.
		held    int64
		others  int
		pressed bool
	}{
		{},
		{held: 4 * megabyte, pressed: true},
		{others: maxStalled - 2},
		{others: maxStalled - 1, pressed: true},
	}
	for _, tt := range tests {
		f, pressed := newFixture(Limits{Bytes: 8 * megabyte}), tt.pressed
		f.open(t, Waiting, tt.held, 0)
		for range tt.others {
			f.open(t, Upload, kilobyte, 0)
		}
		_, upload := f.open(t, Upload, kilobyte, 0)
		_, response := f.open(t, Response, kilobyte, 0)
		_, body := f.open(t, Body, kilobyte, 0)
		_, waiting := f.open(t, Waiting, kilobyte, 0)
		f.now = f.now.Add(maxTargetStall - time.Millisecond)
		_, fresh := f.open(t, Response, kilobyte, 0)
		f.Sweep(f.now)
		require.Empty(t, f.ends)
		f.now = f.now.Add(time.Millisecond)
		f.Sweep(f.now)
		require.Equal(t, []bool{pressed, pressed, false, false, false}, []bool{upload.aborted, response.aborted, body.ended(), waiting.ended(), fresh.ended()})
	}
}

// Guards against idle connections that keep others out, and against ending those in use.
func TestIdleConnectionsGiveWay(t *testing.T) {
	f := newFixture(Limits{Connections: 3})
	_, first := f.open(t, Idle, 0, 0)
	f.now = f.now.Add(time.Second)
	_, second := f.open(t, Idle, 0, 0)
	_, busy := f.open(t, Waiting, 0, 0)
	f.now = f.now.Add(time.Second)
	f.open(t, Waiting, 0, 0)
	require.True(t, first.aborted)
	require.False(t, second.ended())
	f.open(t, Waiting, 0, 0)
	require.True(t, second.aborted)
	_, ok := f.Open(&fakeConn{})
	require.False(t, ok)
	require.False(t, busy.ended())
	require.Equal(t, 1, f.refused[RefusedConnection])
}

// Guards against connections that are closed at the limit although their requests are on their way or are
// being read. The new connection is refused instead.
func TestConnectionsInUseDoNotGiveWay(t *testing.T) {
	f := newFixture(Limits{Connections: 2})
	begun, begunConn := f.open(t, Idle, 0, 0)
	begun.SetBegun(true)
	f.now = f.now.Add(time.Minute)
	_, fresh := f.open(t, Idle, 0, 0)
	f.now = f.now.Add(minStall - time.Millisecond)
	_, ok := f.Open(&fakeConn{})
	require.False(t, ok)
	require.False(t, begunConn.ended())
	require.False(t, fresh.ended())
	require.Equal(t, 1, f.refused[RefusedConnection])
	f.now = f.now.Add(time.Millisecond)
	_, ok = f.Open(&fakeConn{})
	require.True(t, ok)
	require.True(t, fresh.aborted)
	begun.SetBegun(false)
	f.now = f.now.Add(time.Second)
	_, ok = f.Open(&fakeConn{})
	require.True(t, ok)
	require.True(t, begunConn.aborted)
}

// Guards against bytes that are returned twice or never, after which a host refuses everything or nothing.
func TestBudgetIsEmptyAtTheEnd(t *testing.T) {
	f := newFixture(Limits{Bytes: 8 * megabyte, SocketBytes: 64 * kilobyte, Tunnels: 2})
	var holders []*Holder
	for range 30 {
		h, ok := f.Open(&fakeConn{queued: 100 * kilobyte})
		require.True(t, ok)
		holders = append(holders, h)
		l, ok := NewLease(h, 40*kilobyte)
		if !ok {
			l.End()
			continue
		}
		l.SetPhase(Body)
		_ = l.Grow(megabyte)
		f.now = f.now.Add(100 * time.Millisecond)
		f.Sweep(f.now)
		if h.phase.Load()%2 == 0 {
			l.End()
			require.False(t, l.Grow(1), "an attempt that outlasts its request reserves nothing")
		}
	}
	release, ok := f.OpenTunnel()
	require.Equal(t, ok, release != nil)
	if ok {
		release()
	}
	for _, h := range holders {
		h.Close()
		h.Close()
		require.False(t, h.Grow(1))
		h.Release(1)
	}
	require.Equal(t, Usage{}, f.Usage())
	require.Zero(t, f.ending)
	require.Zero(t, f.endingCount)
}

// Guards against bytes that are subtracted twice when an attempt that outlasts its request returns its
// reservation while the connection closes: the sum stayed negative from then on.
func TestReleaseWhileTheConnectionCloses(t *testing.T) {
	b := New(LimitsOf(184*megabyte, 4100), Config{Now: time.Now, OnEnd: func(End) {}, OnRefuse: func(string) {}})
	for range 20_000 {
		h, ok := b.Open(&fakeConn{})
		require.True(t, ok)
		require.True(t, h.Grow(4*kilobyte))
		var wg sync.WaitGroup
		var start atomic.Bool
		for range 4 {
			wg.Go(func() {
				for !start.Load() {
					runtime.Gosched()
				}
				h.Release(kilobyte)
			})
		}
		start.Store(true)
		h.Close()
		wg.Wait()
	}
	require.Equal(t, Usage{}, b.Usage())
}

// Guards against garbage that the collector has not freed yet: it is not part of the reservations.
func TestLargeReservationsWaitForTheCollector(t *testing.T) {
	used := int64(0)
	b := New(Limits{Bytes: 40 * megabyte, RuntimeBytes: 72 * megabyte}, Config{
		Now: time.Now, MemoryInUse: func() int64 { return used }, OnRefuse: func(string) {},
	})
	h, ok := b.Open(&fakeConn{})
	require.True(t, ok)
	require.True(t, h.Grow(megabyte))
	used = 80 * megabyte
	require.False(t, h.Grow(megabyte))
	require.False(t, h.Grow(kilobyte), "the memory is still in use")
	small, ok := b.Open(&fakeConn{})
	require.True(t, ok)
	require.True(t, small.Grow(40*kilobyte), "a request without a body")
	used = 70 * megabyte
	require.True(t, h.Grow(megabyte))
}

// Guards against requests that run and whose responses then get no memory: the first 64 kB may use what is
// kept for small requests, and do not wait for the collector.
func TestResponsesUseTheReserve(t *testing.T) {
	used := int64(0)
	b := New(Limits{Bytes: 8 * megabyte, RuntimeBytes: 72 * megabyte}, Config{
		Now: time.Now, MemoryInUse: func() int64 { return used }, OnEnd: func(End) {}, OnRefuse: func(string) {},
	})
	h, ok := b.Open(&fakeConn{})
	require.True(t, ok)
	l, ok := NewLease(h, 7*megabyte-ConnectionBytes)
	require.True(t, ok)
	require.False(t, l.Grow(kilobyte), "the rest is the reserve")
	grow := l.NewResponse()
	require.True(t, grow(60*kilobyte))
	require.False(t, grow(8*kilobyte), "more than 64 kB")
	require.True(t, grow(4*kilobyte))
	used = 80 * megabyte
	require.False(t, l.Grow(2*megabyte), "the collector is behind")
	require.True(t, l.NewResponse()(kilobyte))
	l.End()
	require.False(t, l.NewResponse()(kilobyte))
	h.Close()
	require.Equal(t, Usage{}, b.Usage())
}

func TestTunnelsAreBounded(t *testing.T) {
	f := newFixture(Limits{Bytes: 8 * megabyte, Tunnels: 2})
	release, ok := f.OpenTunnel()
	require.True(t, ok)
	_, ok = f.OpenTunnel()
	require.True(t, ok)
	_, ok = f.OpenTunnel()
	require.False(t, ok)
	release()
	_, ok = f.OpenTunnel()
	require.True(t, ok)
	require.Equal(t, 1, f.refused[RefusedTunnel])
}

func TestNoLimitsBoundNothing(t *testing.T) {
	b := New(Limits{}, Config{})
	require.Nil(t, b)
	h, ok := b.Open(&fakeConn{})
	require.True(t, ok)
	l, ok := NewLease(h, megabyte)
	require.True(t, ok)
	require.True(t, l.Grow(1<<40))
	l.SetPhase(Body)
	l.End()
	h.Close()
	b.Sweep(time.Time{})
	release, ok := b.OpenTunnel()
	require.True(t, ok)
	release()
}

// A small request costs what this benchmark shows, besides the phases of its connection.
func BenchmarkLease(b *testing.B) {
	budget := New(LimitsOf(184*megabyte, 4100), Config{Now: time.Now})
	h, _ := budget.Open(&fakeConn{})
	for b.Loop() {
		l, _ := NewLease(h, 40*kilobyte)
		l.SetPhase(Waiting)
		l.SetPhase(Response)
		l.End()
	}
}
