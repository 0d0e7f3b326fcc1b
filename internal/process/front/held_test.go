package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
)

const kilobyte = 1 << 10

// newLimitedServer starts a server whose connections have a budget, and returns its address.
func newLimitedServer(t *testing.T, limits resource.Limits, handler http.HandlerFunc) (string, *resource.Budget) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := resource.New(limits, resource.Config{Now: time.Now, OnEnd: func(resource.End) {}, OnRefuse: func(string) {}})
	conns := NewConnections(b)
	server := &http.Server{Handler: handler, ConnState: conns.Track, ConnContext: conns.Context}
	go func() { _ = server.Serve(conns.Listen(NewStrictListener(inner, nil))) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String(), b
}

func dialTest(t *testing.T, address string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	require.NoError(t, nc.SetDeadline(time.Now().Add(10*time.Second)))
	return nc
}

// Guards against headers that hold memory which nobody has reserved, and against 400 for a header that is
// valid: clients do not repeat such a request.
func TestHeadersReserveMemory(t *testing.T) {
	tests := []struct {
		name   string
		header int
		// held is what the connection must hold before the header is complete.
		held   int64
		served bool
		// fields is the number of further fields without a value.
		fields int
	}{
		{name: "small", header: 100, held: resource.ConnectionBytes, served: true},
		{name: "16 kB", header: 16 * kilobyte, held: resource.ConnectionBytes + 24*kilobyte, served: true},
		{name: "more than is left", header: 60 * kilobyte},
		{name: "as many fields as usual", fields: 15, held: resource.ConnectionBytes, served: true},
		{name: "many short fields", fields: 300, held: resource.ConnectionBytes + headerCopies*(300*fieldBytes-freeHeaderBytes), served: true},
		{name: "more short fields than there is memory for", fields: 600},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, b := newLimitedServer(t, resource.Limits{Bytes: 100 * kilobyte}, func(http.ResponseWriter, *http.Request) {})
			nc := dialTest(t, address)
			_, _ = fmt.Fprintf(nc, "GET / HTTP/1.1\r\nHost: x\r\nX-Filler: %s\r\n%s", strings.Repeat("f", tt.header), strings.Repeat("A:\r\n", tt.fields))
			if !tt.served {
				answer, _ := io.ReadAll(nc)
				require.Empty(t, string(answer), "the connection is closed without a response")
				require.Eventually(t, func() bool { return b.Usage() == resource.Usage{} }, 5*time.Second, time.Millisecond)
				return
			}
			require.Eventually(t, func() bool { return b.Usage().Held >= tt.held }, 5*time.Second, time.Millisecond)
			_, err := io.WriteString(nc, "\r\n")
			require.NoError(t, err)
			res, err := http.ReadResponse(bufio.NewReader(nc), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, res.StatusCode)
			require.Eventually(t, func() bool { return b.Usage().Held == resource.ConnectionBytes }, 5*time.Second, time.Millisecond)
		})
	}
}

// Guards against connections without a request that keep other clients out.
func TestNewConnectionsReplaceIdleOnes(t *testing.T) {
	address, b := newLimitedServer(t, resource.Limits{Connections: 3}, func(http.ResponseWriter, *http.Request) {})
	for range 20 {
		dialTest(t, address)
	}
	// Connections that have just been accepted are kept for 250 ms.
	time.Sleep(300 * time.Millisecond)
	nc := dialTest(t, address)
	_, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.Eventually(t, func() bool { return b.Usage().Connections <= 3 }, 5*time.Second, time.Millisecond)
}

// Guards against garbage for each connection in each sweep: each measurement made three allocations before.
func TestMeasuringAConnectionMakesNoGarbage(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	nc := dialTest(t, inner.Addr().String())
	c := newHeldConn(nc)
	require.Zero(t, testing.AllocsPerRun(100, func() { c.Queued() }))
}

// Guards against connections that are closed for new ones while their request is being read.
func TestConnectionsWithAPartialRequestAreKept(t *testing.T) {
	address, b := newLimitedServer(t, resource.Limits{Connections: 1}, func(http.ResponseWriter, *http.Request) {})
	nc := dialTest(t, address)
	_, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHos")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.Usage().Connections == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	_, err = dialTest(t, address).Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the new connection is closed")
	_, err = io.WriteString(nc, "t: x\r\n\r\n")
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.Eventually(t, func() bool {
		dialTest(t, address)
		_ = nc.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := nc.Read(make([]byte, 1))
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}, 5*time.Second, time.Millisecond, "it is idle again")
}

// Guards against bytes that nobody counts because the host does not read them.
func TestUnreadBytesOfAConnectionAreMeasured(t *testing.T) {
	release := make(chan struct{})
	address, b := newLimitedServer(t, resource.Limits{Bytes: 100 * kilobyte, SocketBytes: 64 * kilobyte}, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	nc := dialTest(t, address)
	_, err := io.WriteString(nc, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 2000))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		b.Sweep(time.Now())
		return b.Usage().Queued > 40*kilobyte
	}, 5*time.Second, 10*time.Millisecond)
}
