package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	closedResponseBytes = 30_000
	smallWindowBytes    = 8 << 10
)

// dialSmallWindow opens a connection whose receive buffer holds less than a response.
func dialSmallWindow(t *testing.T, h *host) net.Conn {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindowBytes)
		})
	}}
	conn, err := d.DialContext(t.Context(), "tcp", h.cfg.Callers.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn
}

// slowReader reads like a client behind a slow link.
type slowReader struct{ r io.Reader }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return s.r.Read(p[:min(len(p), smallWindowBytes)])
}

// Guards against responses that are cut because their connection is closed while bytes of the client are
// unread.
func TestResponseBeforeTheEndOfItsConnectionIsWhole(t *testing.T) {
	get := func(id, header string) string {
		return strings.TrimSuffix(lateRequest(id, "/search/x"), "\r\n") + header + "\r\n"
	}
	tests := []struct {
		name  string
		first string
		// behind is sent before the response to first.
		behind string
		// stop is set if the host stops while the request runs.
		stop   bool
		status int
	}{
		{name: "request behind, host stops", first: get("first", ""), behind: get("second", ""), stop: true, status: 200},
		{name: "unsafe request, host stops", first: lateRequest("first", "/book/x"), behind: get("second", ""), stop: true, status: 200},
		{name: "half a header behind, host stops", first: get("first", ""), behind: get("second", "")[:40], stop: true, status: 200},
		{name: "upload behind, host stops", first: get("first", ""), behind: "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200_000), stop: true, status: 200},
		{name: "a megabyte behind, host stops", first: get("first", ""), behind: strings.Repeat(get("second", "Fill: "+strings.Repeat("x", 4000)+"\r\n"), 256), stop: true, status: 200},
		{name: "request behind, client closes", first: get("first", "Connection: close\r\n"), behind: get("second", ""), status: 200},
		{name: "half a header behind, client closes", first: get("first", "Connection: close\r\n"), behind: get("second", "")[:40], status: 200},
		{name: "request behind one that is invalid", first: get("first", ""), behind: "GET /search/x\r\n\r\n" + get("second", ""), status: 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl := newCluster(t, 2, target("t-0", platformtest.Behaviour{ServiceTime: 300 * time.Millisecond, ResponseBytes: closedResponseBytes}))
			conn := dialSmallWindow(t, cl.hosts[0])
			_, err := io.WriteString(conn, tt.first)
			require.NoError(t, err)
			time.Sleep(60 * time.Millisecond)
			go func() { _, _ = io.WriteString(conn, tt.behind) }()
			time.Sleep(60 * time.Millisecond)
			if tt.stop {
				cl.hosts[0].cancel()
			}
			res, err := http.ReadResponse(bufio.NewReaderSize(slowReader{conn}, smallWindowBytes), nil)
			require.NoError(t, err)
			data, err := io.ReadAll(res.Body)
			require.NoError(t, err, "after %d bytes", len(data))
			require.Equal(t, tt.status, res.StatusCode)
			require.GreaterOrEqual(t, len(data), closedResponseBytes)
		})
	}
}

// Guards against hosts that stop later than their requests because of connections that linger.
func TestHostStopsAlthoughClientsDoNotCloseTheirConnections(t *testing.T) {
	cl := newCluster(t, 1, target("t-0", platformtest.Behaviour{ServiceTime: 100 * time.Millisecond}))
	for n := range 20 {
		conn := openConn(t, cl.hosts[0])
		_, err := io.WriteString(conn, lateRequest(fmt.Sprintf("r-%d", n), "/search/x"))
		require.NoError(t, err)
	}
	time.Sleep(30 * time.Millisecond)
	began := time.Now()
	cl.hosts[0].cancel()
	select {
	case err := <-cl.hosts[0].done:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the host does not stop")
	}
	require.Less(t, time.Since(began), cl.hosts[0].cfg.Bounds.Grace)
}

// leaving describes a client that leaves while its request runs.
type leaving struct {
	name string
	// after is the time between the request and the bytes behind it.
	after  time.Duration
	behind string
	// reset is set if the client resets the connection.
	reset bool
}

// requireCancelled checks that the request of a client that leaves is cancelled at its target.
func (l leaving) requireCancelled(t *testing.T) {
	cl := newCluster(t, 1, target("t-1", platformtest.Behaviour{ServiceTime: 5 * time.Second}))
	conn := openConn(t, cl.hosts[0])
	_, err := io.WriteString(conn, lateRequest("first", "/search/x"))
	require.NoError(t, err)
	time.Sleep(l.after)
	_, err = io.WriteString(conn, l.behind)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return cl.targets[0].Runs("first") == 1 }, time.Second, 10*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	if l.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
	require.Eventually(t, func() bool { return cl.targets[0].Aborted() == 1 }, time.Second, 10*time.Millisecond)
}

// Guards against requests that go on at a target after their client has left.
func TestClientThatLeavesCancelsItsRequest(t *testing.T) {
	for _, l := range []leaving{
		{name: "nothing behind"},
		{name: "nothing behind, reset", reset: true},
	} {
		t.Run(l.name, func(t *testing.T) {
			l.requireCancelled(t)
		})
	}
}

// Guards against requests that go on at a target after their client has left, because the host does not read
// on behind them.
func TestClientThatLeavesAfterItHasSentMoreCancelsItsRequest(t *testing.T) {
	const behindAfter = 100 * time.Millisecond
	second := lateRequest("second", "/search/x")
	for _, l := range []leaving{
		{name: "request at once", behind: second},
		{name: "request", after: behindAfter, behind: second},
		{name: "half a header", after: behindAfter, behind: second[:30]},
		{name: "many requests", after: behindAfter, behind: strings.Repeat(second, 100)},
		{name: "request, reset", after: behindAfter, behind: second, reset: true},
	} {
		t.Run(l.name, func(t *testing.T) {
			l.requireCancelled(t)
		})
	}
}
