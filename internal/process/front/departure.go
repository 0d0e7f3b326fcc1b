package front

// This file defines how a connection is watched that its client may close while nothing reads it. http.Server
// notices the close of a client by a read in the background, which ends at the first byte of a further request.
// Nothing is read either while a handler does not go on to read the body of its request.

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// DeparturePeriod is the interval at which CancelDeparted should be called. The targets of a client that has
// left should stop within half a second.
const DeparturePeriod = 100 * time.Millisecond

// errClientLeft ends the reads of a connection whose client has left, so that no further request of it is
// started. The server responds with 400 to errors that are not of the network.
var errClientLeft = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("front: the client has closed the connection")}

// CancelDeparted cancels the requests of clients that have closed their connections, as far as no read of the
// server notices that.
//
// The kernel knows of the close once it has received all that the client sent before. A client that has filled
// the receive buffer of the connection is noticed when its connection breaks.
func (c *Connections) CancelDeparted(time.Time) {
	var unattended []*trackedConn
	c.mu.Lock()
	for tc := range c.open {
		if tc.unattended.Load() {
			unattended = append(unattended, tc)
		}
	}
	c.mu.Unlock()
	for _, tc := range unattended {
		tc.cancelIfDeparted()
	}
}

// cancelIfDeparted cancels the context of the connection if its client has closed it while a request runs that
// no read attends.
func (c *trackedConn) cancelIfDeparted() {
	if !isClosedByPeer(c.raw) {
		return
	}
	c.mu.Lock()
	c.departed = c.departed || c.unattended.Load()
	cancel := c.cancel
	if !c.departed {
		cancel = nil
	}
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// beginRead records that the server reads the connection, and reports whether it may.
func (c *trackedConn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = !c.departed
	c.updateUnattended()
	return c.reading
}

// updateUnattended records whether a request runs while no read is in progress. The caller holds c.mu.
func (c *trackedConn) updateUnattended() {
	c.unattended.Store(c.started > c.ended && !c.reading && !c.released)
}

// setCancel sets the function that cancels the context of the requests.
func (c *trackedConn) setCancel(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

// release ends the watch of a connection that the server does not serve any more. If it has ended, the context of
// its requests is cancelled.
func (c *trackedConn) release(ended bool) {
	c.mu.Lock()
	c.released = true
	c.updateUnattended()
	cancel := c.cancel
	c.mu.Unlock()
	if ended && cancel != nil {
		cancel()
	}
}

// rawConnOf returns the socket of a connection; nil if it has none.
func rawConnOf(nc net.Conn) syscall.RawConn {
	for {
		switch c := nc.(type) {
		case syscall.Conn:
			raw, err := c.SyscallConn()
			if err != nil {
				return nil
			}
			return raw
		case interface{ NetConn() net.Conn }:
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

// isClosedByPeer reports whether the other end of a connection has closed it or its sending side, also if
// bytes that it sent before are still unread. It returns false for a connection without a socket.
func isClosedByPeer(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	closed := false
	_ = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // Descriptors are small.
		n, err := unix.Poll(poll, 0)
		closed = err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}
