// Package front provides listeners for HTTP/1.1 and HTTP/2 connections of callers, with or
// without TLS and with a limit on open connections. Ambiguous HTTP/1 requests, which two
// parsers could read differently (request smuggling), do not reach the server.
//
// # Usage
//
//	l := front.NewListener(inner, front.Config{TLS: tlsConfig, MaxConnections: 10000}, group)
//	server := &http.Server{Handler: handler}
//	server.Serve(l)
//
// NewStrictListener only rejects ambiguous requests, without TLS or a limit on connections:
//
//	server.Serve(front.NewStrictListener(inner, logRejected))
//
// NewStoppableListener and NewConnections let a server finish all requests before it shuts down, and cancel those
// of clients that have left:
//
//	l, conns := front.NewStoppableListener(inner), front.NewConnections(budget)
//	server := &http.Server{Handler: conns.Handler(handler, log), ConnState: conns.Track, ConnContext: conns.Context}
//	timers.Every("departed clients", front.DeparturePeriod, conns.CancelDeparted)
//	server.Serve(conns.Listen(front.NewStrictListener(front.NewLingeringListener(l, group), logRejected)))
//	...
//	l.Stop()
//	for conns.CloseIdle(time.Now()) > 0 { ... wait; responses close their connections ... }
//	server.Shutdown(ctx)
package front

// This file defines Listener, which completes the TLS handshake before it passes a connection
// to the server.

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

// handshakeTimeout limits the duration of a TLS handshake.
const handshakeTimeout = 5 * time.Second

// Config holds the parameters of a Listener.
type Config struct {
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// MaxConnections limits the open connections. Further ones are closed when accepted.
	MaxConnections int
}

// Listener returns connections that are ready for HTTP. Ambiguous requests are rejected on
// HTTP/1 connections; HTTP/2 connections are not checked, since their framing is
// unambiguous.
type Listener struct {
	inner net.Listener
	cfg   Config
	g     *group.Group
	// lingerer closes connections.
	lingerer *lingerer
	open     atomic.Int64
	ready    chan net.Conn
	done     chan struct{}
	once     sync.Once
}

var _ net.Listener = (*Listener)(nil)

// NewListener returns a listener that accepts connections from inner in goroutines of g.
func NewListener(inner net.Listener, cfg Config, g *group.Group) *Listener {
	l := &Listener{inner: inner, cfg: cfg, g: g, lingerer: newLingerer(g), ready: make(chan net.Conn), done: make(chan struct{})}
	g.Go("accept callers", l.accept)
	return l
}

func (l *Listener) accept(context.Context) error {
	for {
		nc, err := l.inner.Accept()
		if err != nil {
			return l.Close()
		}
		if l.open.Add(1) > int64(l.cfg.MaxConnections) {
			l.open.Add(-1)
			_ = nc.Close()
			continue
		}
		counted := &countedConn{Conn: l.lingerer.wrap(nc), open: &l.open}
		if l.cfg.TLS == nil {
			l.deliver(&validatedConn{Conn: counted, validator: validator{http2: true}})
			continue
		}
		l.g.Go("handshake", func(ctx context.Context) error {
			l.handshake(ctx, counted)
			return nil
		})
	}
}

func (l *Listener) handshake(ctx context.Context, nc net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	tlsConn := tls.Server(nc, l.cfg.TLS)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = nc.Close()
		return
	}
	if tlsConn.ConnectionState().NegotiatedProtocol == "h2" {
		l.deliver(tlsConn)
		return
	}
	l.deliver(&validatedConn{Conn: tlsConn})
}

func (l *Listener) deliver(nc net.Conn) {
	select {
	case l.ready <- nc:
	case <-l.done:
		_ = nc.Close()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case nc := <-l.ready:
		return nc, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	var err error
	l.once.Do(func() {
		close(l.done)
		err = l.inner.Close()
	})
	return err
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// OpenConnections returns the number of open connections.
func (l *Listener) OpenConnections() int { return int(l.open.Load()) }

// countedConn decrements the number of open connections when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// NetConn returns the connection that is counted, as tls.Conn does.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
