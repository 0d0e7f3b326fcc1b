package entry_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// rawTarget is a target that writes arbitrary bytes in response to client requests. Its
// health checks are good.
type rawTarget struct {
	id       string
	listener net.Listener
	// respond writes the response to a request. The connection is closed if it returns false.
	respond  func(w io.Writer, id string) bool
	requests atomic.Int64
	// written counts the bytes that hosts took.
	written atomic.Int64
}

func newRawTarget(t *testing.T, respond func(w io.Writer, id string) bool) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	target := &rawTarget{id: "t-1", listener: l, respond: respond}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go target.serve(conn)
		}
	}()
	return target
}

func (r *rawTarget) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Request-Id")
		if id == "" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: 0,0,2,100\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		r.requests.Add(1)
		if !r.respond(countWriter{conn, &r.written}, id) {
			return
		}
	}
}

type countWriter struct {
	w io.Writer
	n *atomic.Int64
}

func (c countWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n.Add(int64(n))
	return n, err
}

func (r *rawTarget) entry(t *testing.T) []byte {
	data, err := json.Marshal(map[string]any{
		"address": netip.MustParseAddrPort(r.listener.Addr().String()).String(), "born": 1,
		"info":   map[string]any{"service": "svc", "zone": "d", "slots": 2, "version": "v1"},
		"status": map[string]any{"state": "ready", "sequence": 1, "cold_remaining_ms": 0},
	})
	require.NoError(t, err)
	return data
}
