package targets

// This file defines how Links opens connections: directly, or through other hosts while this
// one has lost its own links to the targets.

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/kernel/dial"
	"tamaracktiller.example/tamaracktiller/internal/traffic/tunnel"
)

const (
	// slowConnect is the time after which a connection that is not open yet arouses suspicion.
	// Connecting takes a few milliseconds.
	slowConnect = 60 * time.Millisecond
	// tunnelSuspicion is the time without a response of any target after which a host that is
	// asked for a tunnel checks its own links.
	tunnelSuspicion = 500 * time.Millisecond
)

// Tunnels opens connections to targets through other hosts.
type Tunnels interface {
	// Dial opens a connection through any host, and DialThrough through a certain one.
	Dial(ctx context.Context, target, requestID string) (*tunnel.Conn, error)
	DialThrough(ctx context.Context, host, target, requestID string) (*tunnel.Conn, error)
}

// heardConn is a direct connection that records when bytes arrive.
type heardConn struct {
	*net.TCPConn
	l *Links
	// heard is set when the first bytes have arrived.
	heard atomic.Bool
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.l.recordHeard(!c.heard.Swap(true))
	}
	return n, err
}

// recordHeard records that bytes of a target arrived. first is set for the first ones on their
// connection.
func (l *Links) recordHeard(first bool) {
	l.reachMu.Lock()
	defer l.reachMu.Unlock()
	l.monitor.RecordHeard(time.Now())
	if first {
		l.monitor.RecordNewConnection()
	}
}

// HeardSince reports whether bytes of any target arrived over a direct connection since a time.
func (l *Links) HeardSince(t time.Time) bool {
	l.reachMu.Lock()
	defer l.reachMu.Unlock()
	return l.monitor.HeardAt().After(t)
}

// CutOff reports whether this host has lost its own links to the targets.
func (l *Links) CutOff() bool {
	l.reachMu.Lock()
	defer l.reachMu.Unlock()
	cutOff, _ := l.monitor.CutOff()
	return cutOff
}

// changes returns whether this host is cut off, and a channel that is closed when that changes.
func (l *Links) changes() (cutOff bool, changed <-chan struct{}) {
	l.reachMu.Lock()
	defer l.reachMu.Unlock()
	cutOff, _ = l.monitor.CutOff()
	return cutOff, l.changed
}

type requestIDKey struct{}

// WithRequestID returns a context with the ID of the request for which a connection is opened,
// for the logs of a tunnel.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// connect opens a connection to a target, through another host while this one is cut off.
func (l *Links) connect(ctx context.Context, link *Link) (net.Conn, error) {
	cutOff, changed := l.changes()
	if cutOff {
		return l.tunnel(ctx, link)
	}
	direct, cancel := context.WithCancel(ctx)
	defer cancel()
	type dialed struct {
		conn net.Conn
		err  error
	}
	results := make(chan dialed, 1)
	l.g.Go("connect", func(context.Context) error {
		conn, err := l.connectDirectly(direct, link)
		results <- dialed{conn, err}
		return nil
	})
	slow := time.NewTimer(slowConnect)
	defer slow.Stop()
	for {
		select {
		case r := <-results:
			if r.err != nil {
				l.Suspect(link.Target.ID, "connecting failed")
			}
			return r.conn, r.err
		case <-slow.C:
			l.Suspect(link.Target.ID, "connecting takes long")
		case <-changed:
			cancel()
			l.g.Go("discard connection", func(context.Context) error {
				if r := <-results; r.conn != nil {
					_ = r.conn.Close()
				}
				return nil
			})
			return l.tunnel(ctx, link)
		}
	}
}

// connectDirectly opens a connection over the links of this host.
func (l *Links) connectDirectly(ctx context.Context, link *Link) (net.Conn, error) {
	conn, err := dial.TCPFrom(ctx, l.cfg.Source, link.Target.Address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	if l.cfg.SocketBytes > 0 {
		// A connection that is already closed fails when it is used.
		_ = tcp.SetReadBuffer(l.cfg.SocketBytes)
		_ = tcp.SetWriteBuffer(l.cfg.SocketBytes)
	}
	return &heardConn{TCPConn: tcp, l: l}, nil
}

// tunnel opens a connection through another host.
func (l *Links) tunnel(ctx context.Context, link *Link) (net.Conn, error) {
	conn, err := l.cfg.Tunnels.Dial(ctx, link.Target.ID, requestID(ctx))
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// ConnectThrough opens a connection to a target through a certain host.
func (l *Links) ConnectThrough(ctx context.Context, host, target string) (net.Conn, error) {
	conn, err := l.cfg.Tunnels.DialThrough(ctx, host, target, requestID(ctx))
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// ConnectFor opens a connection to a target for another host, over the links of this host only.
func (l *Links) ConnectFor(ctx context.Context, target string) (net.Conn, error) {
	link, ok := l.Find(target)
	if !ok {
		return nil, errors.Wrap(ErrGone, target)
	}
	if l.cfg.Paused != nil && l.cfg.Paused(target) {
		return nil, errors.Wrap(ErrPaused, target)
	}
	if !l.HeardSince(time.Now().Add(-tunnelSuspicion)) {
		l.startCheck(target, "another host asks for a tunnel")
	}
	return l.connectDirectly(ctx, link)
}

// mayReuse reports whether a connection may carry another request.
func (l *Links) mayReuse(conn net.Conn) bool {
	if _, ok := conn.(*tunnel.Conn); ok {
		return false
	}
	return !l.CutOff()
}

// ReachedThrough returns the host through which a connection goes; empty for a direct one.
func ReachedThrough(conn net.Conn) string {
	if c, ok := conn.(*tunnel.Conn); ok {
		return c.Peer
	}
	return ""
}
