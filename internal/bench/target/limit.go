package target

// This file defines the bound on the connections of a stand-in target.

import (
	"net"
	"sync"
)

// limited closes connections beyond a bound at once, as the partners' servers do.
type limited struct {
	net.Listener
	mu   sync.Mutex
	open int
	most int
}

// Limit returns a listener that keeps at most that many connections open.
func Limit(l net.Listener, most int) net.Listener { return &limited{Listener: l, most: most} }

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.enter() {
			return &limitedConn{Conn: nc, leave: l.leave}, nil
		}
		_ = nc.Close()
	}
}

func (l *limited) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.most {
		return false
	}
	l.open++
	return true
}

func (l *limited) leave() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
}

type limitedConn struct {
	net.Conn
	once  sync.Once
	leave func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.leave)
	return c.Conn.Close()
}
