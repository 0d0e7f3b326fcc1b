package front

// This file defines how connections are closed. The kernel resets a connection that is closed while
// bytes of the client are unread or still arrive, and the client may lose what it has not received yet.
// So the sending side is closed first, and what arrives is read and dropped for a while.

import (
	"container/list"
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

const (
	// lingerTime is the time for which a connection is read after its sending side was closed, counted
	// again while its client receives what was sent, and maxLingerTime bounds that. It is also the time
	// after a write within which the client may not have read the response.
	lingerTime    = 1750 * time.Millisecond
	maxLingerTime = 15 * time.Second
	// lingerStep is the interval at which it is checked what the client has received.
	lingerStep = 250 * time.Millisecond
	// maxLingerBytes bounds what is read of a connection.
	maxLingerBytes = 16 << 20
	// maxLingering is the number of connections that are read at once. Beyond that, the first ones are
	// closed.
	maxLingering = 512
	// lingerBufferBytes is the size of the buffers into which bytes are read that are dropped.
	lingerBufferBytes = 16 << 10
)

// NewLingeringListener returns a listener whose connections are closed so that their clients receive
// what was sent. The goroutines that this takes run in g.
func NewLingeringListener(inner net.Listener, g *group.Group) net.Listener {
	return &lingeringListener{Listener: inner, l: newLingerer(g)}
}

// lingeringListener is the listener that NewLingeringListener returns.
type lingeringListener struct {
	net.Listener
	l *lingerer
}

// Accept implements net.Listener.
func (l *lingeringListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.l.wrap(nc), nil
}

// lingerer holds the connections whose sending side is closed.
type lingerer struct {
	g       *group.Group
	buffers sync.Pool

	mu sync.Mutex
	// conns holds *lingerConn, those that were closed first at the front.
	conns *list.List
}

func newLingerer(g *group.Group) *lingerer {
	return &lingerer{g: g, conns: list.New(), buffers: sync.Pool{New: func() any {
		b := make([]byte, lingerBufferBytes)
		return &b
	}}}
}

// wrap returns nc, or a connection that lingers when it is closed if nc is a TCP connection.
func (l *lingerer) wrap(nc net.Conn) net.Conn {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nc
	}
	return &lingerConn{TCPConn: tcp, l: l, raw: raw}
}

// start begins to read a connection whose sending side is closed.
func (l *lingerer) start(c *lingerConn) {
	var first *lingerConn
	l.mu.Lock()
	c.element = l.conns.PushBack(c)
	if l.conns.Len() > maxLingering {
		first, _ = l.conns.Remove(l.conns.Front()).(*lingerConn)
	}
	l.mu.Unlock()
	if first != nil {
		first.kill()
	}
	l.g.Go("linger", func(context.Context) error {
		c.drain()
		l.mu.Lock()
		l.conns.Remove(c.element)
		l.mu.Unlock()
		_ = c.finish()
		return nil
	})
}

// lingerConn is a connection that lingers when it is closed. It is safe for concurrent use, but for
// concurrent reads.
type lingerConn struct {
	*net.TCPConn
	l   *lingerer
	raw syscall.RawConn
	// element is the place of the connection in lingerer.conns, which guards it.
	element *list.Element
	// reading is held during a read of the owner.
	reading sync.Mutex

	mu sync.Mutex
	// closing is set once the owner has closed the connection, at closingAt, and closed once its socket is.
	closing, closed bool
	closingAt       time.Time
	// peerEnded is set when the client has closed its sending side or the connection.
	peerEnded bool
	// written is the time of the last write; zero if there was none.
	written time.Time
	// onClosed is called when the socket is closed; it may be nil.
	onClosed func()
}

// Read implements net.Conn.
func (c *lingerConn) Read(p []byte) (int, error) {
	if c.isClosing() {
		// drain may hold the mutex for long.
		return 0, net.ErrClosed
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosing() {
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		c.peerEnded = true
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *lingerConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = time.Now()
	return n, err
}

// SetReadDeadline implements net.Conn. The deadline of a connection that lingers is not the owner's.
func (c *lingerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *lingerConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

func (c *lingerConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// Close implements net.Conn. It does not wait until the client has received what was sent.
func (c *lingerConn) Close() error {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closing, c.closingAt = true, time.Now()
	linger := !c.peerEnded && c.mayLoseBytes()
	c.mu.Unlock()
	if !linger || c.CloseWrite() != nil {
		return c.finish()
	}
	// Ends a read of the owner.
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	c.l.start(c)
	return nil
}

// mayLoseBytes reports whether the client may lose bytes if the connection is closed now. The caller
// holds c.mu.
func (c *lingerConn) mayLoseBytes() bool {
	return !c.written.IsZero() && time.Since(c.written) < lingerTime || c.unsent() > 0
}

// hasReceivedAll reports whether the client has received all that was sent, or does not go on to.
func (c *lingerConn) hasReceivedAll() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsent() == 0 || time.Since(c.written) > lingerTime
}

// endIfReceived ends a connection that lingers if the client has received all that was sent and has had a
// moment to close it.
func (c *lingerConn) endIfReceived(now time.Time) {
	c.mu.Lock()
	ended := !c.closed && now.Sub(c.closingAt) > lingerStep && c.unsent() == 0
	c.mu.Unlock()
	if ended {
		c.kill()
	}
}

// unsent returns the number of bytes that the client has not acknowledged, or 0 if that is unknown.
func (c *lingerConn) unsent() (n int) {
	_ = c.raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}

// drain reads and drops bytes until the client closes the connection or a limit is reached.
func (c *lingerConn) drain() {
	// A read of the owner that is still in progress would take bytes, and the deadline.
	c.reading.Lock()
	defer c.reading.Unlock()
	start := time.Now()
	end, last := start.Add(lingerTime), start.Add(maxLingerTime)
	unsent := c.unsent()
	for dropped := 0; dropped < maxLingerBytes; {
		now := time.Now()
		if left := c.unsent(); left < unsent {
			unsent, end = left, now.Add(lingerTime)
		}
		if !now.Before(end) || !now.Before(last) {
			return
		}
		_ = c.TCPConn.SetReadDeadline(now.Add(lingerStep))
		n, err := c.drop()
		dropped += n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) || err == nil && n == 0 {
			return
		}
	}
}

// drop waits for bytes and drops them. It returns 0 and no error if the client has closed its sending
// side. No buffer is held while it waits.
func (c *lingerConn) drop() (n int, err error) {
	var readErr error
	err = c.raw.Read(func(fd uintptr) bool {
		buffer, _ := c.l.buffers.Get().(*[]byte)
		defer c.l.buffers.Put(buffer)
		for {
			n, readErr = unix.Read(int(fd), *buffer)
			if !errors.Is(readErr, unix.EINTR) {
				break
			}
		}
		return !errors.Is(readErr, unix.EAGAIN)
	})
	if err != nil {
		return 0, err
	}
	return max(0, n), readErr
}

// kill closes the socket at once. The owner closes the connection when it finds out.
func (c *lingerConn) kill() { _ = c.TCPConn.Close() }

// finish closes the socket and ends the connection.
func (c *lingerConn) finish() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closing, c.closed = true, true
	onClosed := c.onClosed
	c.mu.Unlock()
	err := c.TCPConn.Close()
	if onClosed != nil {
		onClosed()
	}
	return err
}

// afterClose calls f when the connection has ended, or now if it has.
func (c *lingerConn) afterClose(f func()) {
	c.mu.Lock()
	if !c.closed {
		c.onClosed = f
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	f()
}
