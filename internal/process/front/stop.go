package front

// This file defines StoppableListener and Connections, with which a server stops without dropping a
// request: http.Server closes connections from which a request is being read when it shuts down.

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
)

// newConnectionTime is the time after which a connection that has carried no request is idle.
const newConnectionTime = time.Second

// StoppableListener is a listener that can stop to accept connections before it is closed.
type StoppableListener struct {
	net.Listener
	stopped  chan struct{}
	stopOnce sync.Once
	closed   chan struct{}
	once     sync.Once
}

// NewStoppableListener returns a listener that accepts connections from inner.
func NewStoppableListener(inner net.Listener) *StoppableListener {
	return &StoppableListener{Listener: inner, stopped: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener. After Stop it waits for Close.
func (l *StoppableListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		return nc, nil
	}
	select {
	case <-l.stopped:
		<-l.closed
		return nil, net.ErrClosed
	default:
		return nil, err
	}
}

// Stop ends accepting connections.
func (l *StoppableListener) Stop() error {
	var err error
	l.stopOnce.Do(func() {
		close(l.stopped)
		err = l.Listener.Close()
	})
	return errors.Wrap(err, "front")
}

// Close implements net.Listener.
func (l *StoppableListener) Close() error {
	err := l.Stop()
	l.once.Do(func() { close(l.closed) })
	return err
}

// Connections tracks the connections of a server and the requests that are read from them. It is safe
// for concurrent use.
type Connections struct {
	budget *resource.Budget

	mu   sync.Mutex
	open map[*trackedConn]bool
}

// NewConnections returns Connections without any. They may hold what budget allows; nil for no limit.
func NewConnections(budget *resource.Budget) *Connections {
	return &Connections{budget: budget, open: map[*trackedConn]bool{}}
}

// Context returns the context of the requests on a connection, which is cancelled when the connection has
// ended or its client has left. It is a function for http.Server.ConnContext.
func (c *Connections) Context(ctx context.Context, nc net.Conn) context.Context {
	tc, ok := nc.(*trackedConn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	tc.setCancel(cancel)
	return resource.NewContext(context.WithValue(ctx, connKey{}, tc), tc.holder)
}

// connKey is the key of a trackedConn in a context.
type connKey struct{}

// Handler returns a handler that passes requests on to next. It closes a connection whose server takes
// bytes for a request that belong to another one, such as the unread rest of a body.
func (c *Connections) Handler(next http.Handler, log *logrus.Entry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if tc, ok := r.Context().Value(connKey{}).(*trackedConn); ok && !tc.startRequest() {
			log.WithFields(logrus.Fields{"caller": r.RemoteAddr, "method": r.Method}).Error("connection is closed: bytes of a body were read as a request")
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Listen returns a listener whose connections are tracked. The connections of inner are those of a
// strict listener or of a Listener; its HTTP/2 connections with TLS are not tracked. The server must call Track.
func (c *Connections) Listen(inner net.Listener) net.Listener {
	return &trackingListener{Listener: inner, conns: c}
}

// Track records the state of a connection. It is a function for http.Server.ConnState.
func (c *Connections) Track(nc net.Conn, state http.ConnState) {
	tc, ok := nc.(*trackedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		tc.endRequest()
	case http.StateHijacked, http.StateClosed:
		tc.release(state == http.StateClosed)
		tc.afterClose(func() {
			tc.holder.Close()
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.open, tc)
		})
	case http.StateNew, http.StateActive:
	}
}

// CloseIdle closes the connections from which no byte of a request was read that has not ended, but for
// those that have carried none and were opened a moment ago. What a client sends meanwhile is not read.
// It returns the number of connections that were open before.
func (c *Connections) CloseIdle(now time.Time) int {
	list := c.list()
	for _, tc := range list {
		tc.closeIfIdle(now)
	}
	return len(list)
}

// Count returns the number of connections that have carried no request yet, and of those that carry one.
func (c *Connections) Count() (unused, active int) {
	for _, tc := range c.list() {
		isUnused, isActive := tc.use()
		if isUnused {
			unused++
		}
		if isActive {
			active++
		}
	}
	return unused, active
}

func (c *Connections) list() []*trackedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}

// trackingListener is the listener that Connections.Listen returns.
type trackingListener struct {
	net.Listener
	conns *Connections
}

// Accept implements net.Listener. It closes connections that are more than the budget allows.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		vc, ok := nc.(*validatedConn)
		if _, isTLS := nc.(*tls.Conn); isTLS {
			return nc, nil
		}
		if !ok {
			_ = nc.Close()
			return nil, errors.Errorf("front: connection of type %T can't be tracked", nc)
		}
		held := newHeldConn(vc.Conn)
		if holder, ok := l.conns.budget.Open(held); ok {
			l.conns.setReadBuffer(vc.Conn)
			return l.track(&trackedConn{validatedConn: vc, holder: holder, raw: held.raw, opened: time.Now()}), nil
		}
		_ = nc.Close()
	}
}

func (l *trackingListener) track(tc *trackedConn) net.Conn {
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.open[tc] = true
	return tc
}

// trackedConn counts the requests of a connection. http.Server takes a connection for idle until it has
// read the whole header of a request, and would close it meanwhile.
type trackedConn struct {
	*validatedConn
	// holder is nil without a budget.
	holder *resource.Holder
	// raw is nil if the connection has no socket.
	raw    syscall.RawConn
	opened time.Time

	mu sync.Mutex
	// begun counts the requests of which bytes were read, started those that were passed to the handler,
	// and ended those whose response was sent.
	begun, started, ended int
	closed, http2         bool
	// reading is set during a read of the server, departed once the client was found to have closed the
	// connection, and released when the server does not serve it any more. cancel cancels the context of the
	// requests; nil before there is one.
	reading, departed, released bool
	cancel                      context.CancelFunc
	// unattended is set while a request runs and no read is in progress.
	unattended atomic.Bool
	// header is what a copy of the headers takes that were read since the last response, and reserved what
	// the holder has reserved for them.
	header, reserved int64
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	if !c.beginRead() {
		return 0, errClientLeft
	}
	n, err := c.validatedConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.updateUnattended()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.begun, c.http2 = c.validator.begun(), c.validator.state == atFrames
	c.holder.SetBegun(c.begun != c.ended)
	if c.holder != nil && !c.reserveHeader() {
		// What was read is lost, so no later read may succeed. The server takes the line of a header that it
		// has read in part for a whole one, and would respond with 400, which clients do not repeat.
		c.err = errNoBudget
		if lc, ok := c.Conn.(*lingerConn); ok && c.started < c.begun {
			lc.kill()
		}
		return 0, errNoBudget
	}
	return n, err
}

// startRequest records that the server has read the header of a request, and reports whether a client
// has sent that many. The requests of an HTTP/2 connection, which the server always reads, are not counted.
func (c *trackedConn) startRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2 {
		return true
	}
	c.started++
	c.updateUnattended()
	return c.started <= c.begun
}

func (c *trackedConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended++
	c.updateUnattended()
	c.holder.SetBegun(c.begun != c.ended)
	c.holder.Release(c.reserved)
	c.header, c.reserved = 0, 0
}

func (c *trackedConn) use() (unused, active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun == 0, c.begun != c.ended
}

// closeIfIdle closes the connection if it is idle or lingers, and the client has received the last response. A
// request that arrives meanwhile on an idle one is not read, so that the client can tell that it has not run.
func (c *trackedConn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if lc, ok := c.Conn.(*lingerConn); ok && lc.isClosing() {
		lc.endIfReceived(now)
		return
	}
	if c.begun != c.ended || c.begun == 0 && now.Sub(c.opened) < newConnectionTime {
		return
	}
	lc, ok := c.Conn.(*lingerConn)
	switch {
	case !ok:
		_ = c.Close()
	case !lc.hasReceivedAll():
		return
	default:
		_ = lc.finish()
	}
	c.closed = true
}

// afterClose calls f when the connection has ended. Until then it holds nothing but its socket, and may be
// closed to make room for others.
func (c *trackedConn) afterClose(f func()) {
	lc, ok := c.Conn.(*lingerConn)
	if !ok {
		f()
		return
	}
	c.mu.Lock()
	c.holder.Release(c.reserved)
	c.reserved = 0
	c.mu.Unlock()
	c.holder.SetBegun(false)
	c.holder.SetPhase(resource.Idle)
	lc.afterClose(f)
}
