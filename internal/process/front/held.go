package front

// This file defines what connections hold of the budget for clients.

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
)

const (
	// freeHeaderBytes is the part of a header that the fixed cost of a connection covers.
	freeHeaderBytes = 4 << 10
	// headerCopies is the number of copies of a header that is being read: one of the validator, and the
	// lines that the server has parsed.
	headerCopies = 2
	// fieldBytes is what a field of a parsed header takes besides its bytes: its entries in a map and in a
	// list of values.
	fieldBytes = 100
	// headerStep is the least reservation for a header, in bytes.
	headerStep = 4 << 10
)

// errNoBudget ends a connection whose header does not fit in the budget. The server takes an error of the
// network for the end of the connection; it responds to others with 400, which clients do not repeat.
var errNoBudget = &net.OpError{Op: "read", Net: "tcp", Err: errors.Wrap(resource.ErrShort, "front: header")}

// reserveHeader reserves memory for what was read of headers. The caller holds c.mu.
func (c *trackedConn) reserveHeader() bool {
	bytes, fields := c.validator.takeHeader()
	c.header += bytes + fields*fieldBytes
	need := headerCopies*(c.header+c.validator.partialChunkLine()-freeHeaderBytes) - c.reserved
	if need <= 0 {
		return true
	}
	need = max(need, headerStep)
	if !c.holder.Grow(need) {
		return false
	}
	c.reserved += need
	return true
}

// setReadBuffer sets the size of the receive buffer of an accepted connection. One that is already closed
// ends when it is read.
func (c *Connections) setReadBuffer(nc net.Conn) {
	if c.budget == nil || c.budget.Limits().SocketBytes == 0 {
		return
	}
	if tcp, ok := nc.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = tcp.SetReadBuffer(c.budget.Limits().SocketBytes)
	}
}

// heldConn is a connection that the budget may end.
type heldConn struct {
	nc net.Conn
	// raw is nil if the connection has no socket. measure adds the bytes in its buffers to queued. It is
	// kept because the budget measures many connections several times a second.
	raw     syscall.RawConn
	measure func(fd uintptr)
	queued  int
}

var _ resource.Conn = (*heldConn)(nil)

func newHeldConn(nc net.Conn) *heldConn {
	c := &heldConn{nc: nc, raw: rawConnOf(nc)}
	c.measure = func(fd uintptr) {
		for _, request := range [...]uint{unix.SIOCINQ, unix.SIOCOUTQ} {
			if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
				c.queued += n
			}
		}
	}
	return c
}

// Interrupt implements resource.Conn.
func (c *heldConn) Interrupt() { _ = c.nc.SetReadDeadline(time.Unix(1, 0)) }

// Abort implements resource.Conn.
func (c *heldConn) Abort() {
	if lc, ok := c.nc.(*lingerConn); ok {
		lc.kill()
		return
	}
	_ = c.nc.Close()
}

// Queued implements resource.Conn. It returns 0 for a connection that is closed or has no socket.
func (c *heldConn) Queued() int64 {
	if c.raw == nil {
		return 0
	}
	c.queued = 0
	_ = c.raw.Control(c.measure)
	return int64(c.queued)
}
