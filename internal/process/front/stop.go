package front

// This file defines StoppableListener and Connections, with which a server stops without dropping a
// request: http.Server.Shutdown closes connections whose request was read after it was called.

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// newConnectionTime is the time after which a connection that has carried no request does not delay
// the end of its server.
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

// Connections tracks the connections of a server. It is safe for concurrent use.
type Connections struct {
	mu sync.Mutex
	// opened holds the times at which connections were opened that have carried no request, and
	// active those that carry one.
	opened map[net.Conn]time.Time
	active map[net.Conn]bool
}

// NewConnections returns Connections without any.
func NewConnections() *Connections {
	return &Connections{opened: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}}
}

// Track records the state of a connection. It is a function for http.Server.ConnState.
func (c *Connections) Track(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.opened, nc)
	delete(c.active, nc)
	switch state {
	case http.StateNew:
		c.opened[nc] = time.Now()
	case http.StateActive:
		c.active[nc] = true
	case http.StateIdle, http.StateHijacked, http.StateClosed:
	}
}

// Busy reports whether a connection carries a request, or may be about to carry its first one.
func (c *Connections) Busy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.opened {
		if now.Sub(at) < newConnectionTime {
			return true
		}
	}
	return len(c.active) > 0
}

// CloseUnused closes the connections that have carried no request. A server calls it in Shutdown, which
// would drop the requests that it still reads from them.
func (c *Connections) CloseUnused() {
	c.mu.Lock()
	unused := slices.Collect(maps.Keys(c.opened))
	c.mu.Unlock()
	for _, nc := range unused {
		_ = nc.Close()
	}
}

// Count returns the number of connections that have carried no request yet, and of those that carry one.
func (c *Connections) Count() (unused, active int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.opened), len(c.active)
}
