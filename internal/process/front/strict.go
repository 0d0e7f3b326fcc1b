package front

// This file defines NewStrictListener, whose connections reject ambiguous requests.

import (
	"net"
	"net/netip"
)

// OnReject is called for a connection that is closed because of an ambiguous request. It must
// not block.
type OnReject func(caller netip.AddrPort, reason error)

// NewStrictListener returns a listener that rejects ambiguous requests. Reading such a request
// from a connection fails with one of the errors of this package before the request is
// complete; net/http then responds with 400 and closes the connection.
func NewStrictListener(l net.Listener, onReject OnReject) net.Listener {
	return &strictListener{Listener: l, onReject: onReject}
}

// strictListener is the listener that NewStrictListener returns.
type strictListener struct {
	net.Listener
	onReject OnReject
}

// Accept implements net.Listener.
func (l *strictListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &validatedConn{Conn: nc, onReject: l.onReject}, nil
}

// validatedConn validates the bytes that are read from a connection. It must be read by one
// goroutine at a time.
type validatedConn struct {
	net.Conn
	validator validator
	onReject  OnReject
	err       error
}

// Read implements net.Conn.
func (c *validatedConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	valid, validationErr := c.validator.feed(p[:n])
	if validationErr == nil {
		return n, err
	}
	c.err = validationErr
	if c.onReject != nil {
		c.onReject(remoteAddrPort(c.Conn), validationErr)
	}
	if valid > 0 {
		return valid, nil
	}
	return 0, validationErr
}

func remoteAddrPort(c net.Conn) netip.AddrPort {
	if addr, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return addr.AddrPort()
	}
	return netip.AddrPort{}
}
