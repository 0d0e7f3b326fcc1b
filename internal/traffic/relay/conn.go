package relay

// This file defines conn, a buffered connection, and the checks before it is reused and
// before a response is parsed.

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 16 << 10
	// writeBufferBytes holds a request header and a small body.
	writeBufferBytes = 4 << 10
)

type conn struct {
	nc  net.Conn
	raw syscall.RawConn
	// buffers are those of an exchange; nil while the connection is idle.
	*buffers
	written      *countingWriter
	lastResponse time.Time
	// idleTimeout is the time after which the peer closes the connection when it is idle, as
	// its last response says; zero if it does not.
	idleTimeout time.Duration
	reused      bool
}

const (
	// idleMarginDivisor gives the part of the peer's idle timeout that is left unused, since
	// a request may arrive after the peer has closed the connection.
	idleMarginDivisor = 4
	// keepAliveTimeout is the parameter of the Keep-Alive header that holds the timeout in
	// seconds.
	keepAliveTimeout = "timeout="
)

// readIdleTimeout takes over the idle timeout that a response names.
func (c *conn) readIdleTimeout(h http.Header) {
	c.idleTimeout = 0
	for _, value := range h.Values("Keep-Alive") {
		for parameter := range strings.SplitSeq(value, ",") {
			text, ok := strings.CutPrefix(strings.ToLower(strings.TrimSpace(parameter)), keepAliveTimeout)
			if !ok {
				continue
			}
			if seconds, err := strconv.ParseUint(text, 10, 16); err == nil {
				c.idleTimeout = time.Duration(seconds) * time.Second
			}
		}
	}
}

// expired reports whether a connection has been idle for longer than limit, unless limit is
// zero, or the peer may be about to close it.
func (c *conn) expired(now time.Time, limit time.Duration) bool {
	idle := now.Sub(c.lastResponse)
	return limit > 0 && idle > limit || c.idleTimeout > 0 && idle > c.idleTimeout-c.idleTimeout/idleMarginDivisor
}

// countingWriter counts the bytes handed to the kernel.
type countingWriter struct {
	nc net.Conn
	n  atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.nc.Write(p)
	w.n.Add(int64(n))
	if err != nil && n == 0 {
		// A failed write may have handed over bytes that it does not report.
		w.n.Add(1)
	}
	return n, err
}

func newConn(nc net.Conn) *conn {
	c := &conn{nc: nc, written: &countingWriter{nc: nc}}
	rawConn := nc
	if tlsConn, ok := nc.(*tls.Conn); ok {
		rawConn = tlsConn.NetConn()
	}
	if sc, ok := rawConn.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	return c
}

// buffers is what an exchange needs to read from and write to a connection.
type buffers struct {
	br *bufio.Reader
	bw *bufio.Writer
}

// freeBuffers holds buffers of ended exchanges. Idle connections have none: a host keeps many
// open, and opens one for most requests.
var freeBuffers = sync.Pool{New: func() any {
	return &buffers{br: bufio.NewReaderSize(nil, maxHeaderBytes), bw: bufio.NewWriterSize(nil, writeBufferBytes)}
}}

// attachBuffers prepares a connection for an exchange.
func (c *conn) attachBuffers() {
	c.buffers = freeBuffers.Get().(*buffers) //nolint:forcetypeassert // The pool holds nothing else.
	c.br.Reset(c.nc)
	c.bw.Reset(c.written)
}

// releaseBuffers returns the buffers of an exchange that ended cleanly. Those of others are not
// reused, since something may still read the rest of a response.
func (c *conn) releaseBuffers() {
	c.br.Reset(nil)
	c.bw.Reset(nil)
	freeBuffers.Put(c.buffers)
	c.buffers = nil
}

// abort makes the close of the connection discard the bytes that have not reached the peer. They
// may be held back on a broken link, and a request that was given up must not run when it
// heals.
func (c *conn) abort() {
	if l, ok := c.nc.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
}

// isIdle reports whether the connection is open and has nothing to read. Unsolicited bytes
// belong to no request, so a connection that received some is not used.
func (c *conn) isIdle() bool {
	if c.raw == nil {
		return true
	}
	idle := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// checkHeader waits for the complete response header, checks its status and its framing, and returns
// its length. The error is ErrInvalidStatus as soon as the first line has arrived, or
// ErrAmbiguousFraming if the body length is given more than once, because sender and receiver may then
// disagree on it.
func (c *conn) checkHeader() (size int, err error) {
	statusChecked := false
	for n := 1; ; n = c.br.Buffered() + 1 {
		if n > maxHeaderBytes {
			return 0, ErrHeaderTooLarge
		}
		if _, err := c.br.Peek(n); err != nil {
			return 0, err
		}
		buffered, _ := c.br.Peek(c.br.Buffered())
		if line, _, ok := bytes.Cut(buffered, []byte("\n")); ok && !statusChecked {
			if !hasValidStatus(line) {
				return 0, errors.Wrapf(ErrInvalidStatus, "%q", line[:min(len(line), maxQuotedLine)])
			}
			statusChecked = true
		}
		if end := bytes.Index(buffered, headerEnd); end >= 0 {
			return end + len(headerEnd), checkFraming(buffered[:end])
		}
	}
}

// headerEnd ends a header.
var headerEnd = []byte("\r\n\r\n")

// maxQuotedLine bounds the part of an invalid status line that an error quotes.
const maxQuotedLine = 64

// hasValidStatus reports whether a status line has a status of exactly three digits from 100 to 599.
// http.ReadResponse also accepts others, such as 000, +20 and 999.
func hasValidStatus(line []byte) bool {
	_, rest, ok := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(" "))
	status, _, _ := bytes.Cut(rest, []byte(" "))
	return ok && len(status) == 3 && '1' <= status[0] && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// checkFraming returns ErrAmbiguousFraming for a header that gives the body length more
// than once, by Content-Length, Transfer-Encoding or both.
func checkFraming(header []byte) error {
	lengths, codings := 0, 0
	for line := range bytes.SplitSeq(header, []byte("\r\n")) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		switch {
		case strings.EqualFold(string(name), "Content-Length"):
			lengths++
		case strings.EqualFold(string(name), "Transfer-Encoding"):
			codings++
		}
	}
	if lengths+codings > 1 {
		return ErrAmbiguousFraming
	}
	return nil
}
