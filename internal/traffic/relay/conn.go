package relay

// This file defines conn, one connection with its buffers, and the check that
// it is quiet before it is used again.

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 16 << 10
	// writeBufferBytes holds a request head and a small body.
	writeBufferBytes = 4 << 10
)

type conn struct {
	nc         net.Conn
	raw        syscall.RawConn
	br         *bufio.Reader
	bw         *bufio.Writer
	written    *countingWriter
	lastAnswer time.Time
	reused     bool
}

// countingWriter remembers whether bytes were handed to the system.
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
	c.br = bufio.NewReaderSize(nc, maxHeadBytes)
	c.bw = bufio.NewWriterSize(c.written, writeBufferBytes)
	plain := nc
	if secure, ok := nc.(*tls.Conn); ok {
		plain = secure.NetConn()
	}
	if sc, ok := plain.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	return c
}

// quiet reports whether the connection is open and has nothing to read. Bytes
// that arrive unasked belong to no request, so such a connection is not used.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// checkHead waits for the whole head of the answer and refuses one whose length
// is given twice, because sender and receiver may read it differently.
func (c *conn) checkHead() error {
	for n := 1; ; n = c.br.Buffered() + 1 {
		if n > maxHeadBytes {
			return ErrHeadTooLarge
		}
		if _, err := c.br.Peek(n); err != nil {
			return err
		}
		seen, _ := c.br.Peek(c.br.Buffered())
		if end := bytes.Index(seen, []byte("\r\n\r\n")); end >= 0 {
			return checkFraming(seen[:end])
		}
	}
}

// checkFraming refuses a head with both kinds of length, or with one twice.
func checkFraming(head []byte) error {
	lengths, codings := 0, 0
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
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
		return ErrAmbiguous
	}
	return nil
}
