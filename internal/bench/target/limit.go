package target

// This file defines the connection limit of a fake target.

import (
	"net"
	"sync"
)

// limiter is a listener that closes connections beyond a limit right after it accepts
// them, as the partners' servers do.
type limiter struct {
	net.Listener
	mu    sync.Mutex
	conns int
	limit int
}

// Limit returns a listener that keeps at most limit connections open and closes further
// ones.
func Limit(l net.Listener, limit int) net.Listener { return &limiter{Listener: l, limit: limit} }

// Accept implements net.Listener.
func (l *limiter) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &limitedConn{Conn: conn, release: l.release}, nil
		}
		_ = conn.Close()
	}
}

func (l *limiter) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns >= l.limit {
		return false
	}
	l.conns++
	return true
}

func (l *limiter) release() {
	l.mu.Lock()
	l.conns--
	l.mu.Unlock()
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
