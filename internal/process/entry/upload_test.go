package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// slowUpload is an upload that a client sends bit by bit.
type slowUpload struct {
	path, head string
	// first is sent with the head, then every 50 ms one of parts.
	first string
	parts []string
	// readLast makes the client read the response only after it has sent everything.
	readLast bool
}

// uploadResult is what the client of an upload saw. Times are those since the head was sent.
type uploadResult struct {
	status int
	err    error
	// after is the time of the response, and closed that of the end of the connection.
	after, closed time.Duration
	retryAfter    string
}

func (u slowUpload) send(t *testing.T, h *host, id string) uploadResult {
	conn, err := net.Dial("tcp", h.cfg.Callers.String())
	require.NoError(t, err)
	defer conn.Close()
	started := time.Now()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\n%s\r\n%s", u.path, id, u.head, u.first)
	require.NoError(t, err)
	sent, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sent)
		for _, part := range u.parts {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
		}
	}()
	if u.readLast {
		<-sent
	}
	var r uploadResult
	_ = conn.SetReadDeadline(started.Add(8 * time.Second))
	br := bufio.NewReader(conn)
	res, err := http.ReadResponse(br, nil)
	r.after, r.err = time.Since(started), err
	if err == nil {
		r.status, r.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
		_, r.err = io.Copy(io.Discard, res.Body)
	}
	close(done)
	if r.err == nil && res.Close {
		_, _ = br.ReadByte()
		r.closed = time.Since(started)
	}
	return r
}

// Guards against uploads that outlast the timeout of their route and are answered with 400, too late,
// with a reset or not at all. They have reached no target.
func TestUploadsThatDoNotArriveInTime(t *testing.T) {
	const timeout = 1500 * time.Millisecond
	slowly := func(n, size int) []string {
		parts := make([]string, 0, n)
		for range n {
			parts = append(parts, strings.Repeat("u", size))
		}
		return parts
	}
	tests := []struct {
		name   string
		upload slowUpload
		status int
	}{
		{name: "stalls", upload: slowUpload{head: "Content-Length: 10\r\n", first: "abc"}, status: http.StatusRequestTimeout},
		{name: "sends nothing", upload: slowUpload{head: "Content-Length: 10\r\n"}, status: http.StatusRequestTimeout},
		{name: "stalls after half of 500 KB", upload: slowUpload{head: "Content-Length: 512000\r\n", first: strings.Repeat("u", 256000)}, status: http.StatusRequestTimeout},
		{name: "goes on slowly", upload: slowUpload{head: "Content-Length: 300000\r\n", parts: slowly(100, 3000)}, status: http.StatusRequestTimeout},
		{name: "3 MB, stalls in its beginning", upload: slowUpload{head: "Content-Length: 3145728\r\n", first: strings.Repeat("u", 10000)}, status: http.StatusRequestTimeout},
		{name: "3 MB, goes on slowly in its beginning", upload: slowUpload{head: "Content-Length: 3145728\r\n", parts: slowly(100, 1000)}, status: http.StatusRequestTimeout},
		{name: "in chunks, stalls", upload: slowUpload{head: "Transfer-Encoding: chunked\r\n", first: "3\r\nabc\r\n"}, status: http.StatusRequestTimeout},
		{name: "in chunks, goes on slowly", upload: slowUpload{head: "Transfer-Encoding: chunked\r\n", parts: slowly(100, 0xa0)}, status: http.StatusBadRequest},
		{name: "in chunks, goes on slowly, sound", upload: slowUpload{head: "Transfer-Encoding: chunked\r\n", parts: strings.Split(strings.Repeat("3\r\nabc\r\n|", 99)+"0\r\n\r\n", "|")}, status: http.StatusRequestTimeout},
		{name: "slow, but in time", upload: slowUpload{head: "Content-Length: 60000\r\n", parts: slowly(20, 3000)}, status: http.StatusOK},
		{name: "in chunks, slow, but in time", upload: slowUpload{head: "Transfer-Encoding: chunked\r\n", parts: strings.Split(strings.Repeat("3\r\nabc\r\n|", 19)+"0\r\n\r\n", "|")}, status: http.StatusOK},
	}
	cl := newCluster(t, 1, target("t-1", platformtest.Behaviour{}))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.upload.path = "/book/x"
			id := "u-" + strings.ReplaceAll(tt.name, " ", "-")
			r := tt.upload.send(t, cl.hosts[0], id)
			require.NoError(t, r.err)
			require.Equal(t, tt.status, r.status)
			if tt.status != http.StatusRequestTimeout {
				require.Less(t, r.after, timeout)
				return
			}
			require.InDelta(t, timeout, r.after, float64(300*time.Millisecond), "%s", r.after)
			require.Less(t, r.closed, timeout+2500*time.Millisecond, "a stalled upload holds nothing")
			require.Zero(t, cl.runCount(id))
		})
	}
}

// Guards against clients that lose a rejection, because their connection is reset while they send
// the rest of a long body.
func TestRejectionsOfUploadsReachTheirClients(t *testing.T) {
	tests := []struct {
		name, path string
		size       int
		// closes is set if the connection ends with the response.
		closes bool
	}{
		{name: "short body", path: "/other/x", size: 1000},
		{name: "100 KB", path: "/other/x", size: 100 << 10},
		{name: "500 KB", path: "/other/x", size: 500 << 10, closes: true},
		{name: "8 MB", path: "/other/x", size: 8 << 20, closes: true},
	}
	cl := newCluster(t, 1, target("t-1", platformtest.Behaviour{}))
	for _, tt := range tests {
		for _, readLast := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, read last %t", tt.name, readLast), func(t *testing.T) {
				u := slowUpload{path: tt.path, head: fmt.Sprintf("Content-Length: %d\r\n", tt.size), readLast: readLast}
				for left := tt.size; left > 0; left -= min(left, 1<<20) {
					u.parts = append(u.parts, strings.Repeat("u", min(left, 1<<20)))
				}
				r := u.send(t, cl.hosts[0], "r-1")
				require.NoError(t, r.err)
				require.Equal(t, http.StatusNotFound, r.status)
				require.Equal(t, tt.closes, r.closed > 0)
			})
		}
	}
}

// A request behind an upload that has not arrived in time is part of its body, or is not read.
func TestRequestBehindALateUploadDoesNotRun(t *testing.T) {
	cl := newCluster(t, 1, target("t-1", platformtest.Behaviour{}))
	next := "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: next\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n"
	u := slowUpload{path: "/book/x", head: "Content-Length: 400\r\n", parts: append(make([]string, 35), strings.Repeat("u", 400)+next)}
	r := u.send(t, cl.hosts[0], "late")
	require.NoError(t, r.err)
	require.Equal(t, http.StatusRequestTimeout, r.status)
	time.Sleep(time.Second)
	require.Zero(t, cl.runCount("next")+cl.runCount("late"))
}

// Guards against a host that ends because two goroutines read the rest of the same upload: the one that
// sends it to a target, and the handler that has answered it at its timeout.
func TestUploadThatEndsAfterItsTimeoutDoesNotEndItsHost(t *testing.T) {
	const size, left = 3 << 20, 1000
	cl := newCluster(t, 1, target("t-1", platformtest.Behaviour{}))
	h := cl.hosts[0]
	conn, err := net.Dial("tcp", h.cfg.Callers.String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: u-1\r\nX-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("u", size-left))
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, http.StatusGatewayTimeout, res.StatusCode)
	for range 2 {
		time.Sleep(100 * time.Millisecond)
		_, err = io.WriteString(conn, strings.Repeat("u", left/2))
		require.NoError(t, err)
	}
	time.Sleep(100 * time.Millisecond)
	resp, err := cl.send(t.Context(), h, "r-1", "/search/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.status)
}
