package gateway

// This file defines the refusal of requests whose length is given twice. The
// standard library drops one of both lengths without telling, so the head is
// looked at as it comes from the connection.

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// maxObserved bounds the bytes that are kept of one request.
const maxObserved = 80 << 10

// ObservedConn keeps the bytes of a connection from the end of one request until
// the handler of the next one has looked at them.
type ObservedConn struct {
	net.Conn

	mu   sync.Mutex
	seen []byte
	off  bool
}

// Read implements net.Conn.
func (c *ObservedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if !c.off && len(c.seen) < maxObserved {
		c.seen = append(c.seen, p[:n]...)
	}
	c.mu.Unlock()
	return n, err
}

// ambiguous reports whether the head of r gives a length besides its transfer
// coding. A head that is not found counts as ambiguous.
func (c *ObservedConn) ambiguous(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The server reads the first byte of a request by itself after an answer, so
	// that byte may be missing.
	line := r.Method[1:] + " " + r.RequestURI + " " + r.Proto + "\r\n"
	at := bytes.Index(c.seen, []byte(line))
	if at < 0 {
		return true
	}
	head, _, _ := bytes.Cut(c.seen[at:], []byte("\r\n\r\n"))
	for field := range bytes.SplitSeq(head, []byte("\n")) {
		name, _, _ := bytes.Cut(field, []byte(":"))
		if strings.EqualFold(strings.TrimSpace(string(name)), "Content-Length") {
			return true
		}
	}
	return false
}

func (c *ObservedConn) pause() {
	c.mu.Lock()
	c.seen, c.off = c.seen[:0], true
	c.mu.Unlock()
}

func (c *ObservedConn) resume() {
	c.mu.Lock()
	c.off = false
	c.mu.Unlock()
}

type connKey struct{}

// ConnContext makes the connection known to the handler; it belongs in the
// http.Server of callers.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Observe looks at the heads of a connection's requests around next. Callers
// whose framing is ambiguous are refused by the gateway.
func Observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*ObservedConn)
		if !ok || r.ProtoMajor != 1 {
			if ok {
				// HTTP/2 frames are unambiguous; nothing need be kept of them.
				c.pause()
			}
			next.ServeHTTP(w, r)
			return
		}
		if slices.Contains(r.TransferEncoding, "chunked") && c.ambiguous(r) {
			r = r.WithContext(context.WithValue(r.Context(), ambiguousKey{}, true))
		}
		c.pause()
		defer c.resume()
		next.ServeHTTP(w, r)
	})
}

type ambiguousKey struct{}

func isAmbiguous(r *http.Request) bool {
	ambiguous, _ := r.Context().Value(ambiguousKey{}).(bool)
	return ambiguous
}
