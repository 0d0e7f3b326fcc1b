package entry_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	lateGrace = 6 * time.Second
	// lateUsual is the service time that hosts know, and lateSlow the one that targets have while a host
	// shuts down.
	lateUsual = 150 * time.Millisecond
	lateSlow  = 900 * time.Millisecond
	// lateFrom is the time after the beginning of a stop from which on a request must not be cut.
	lateFrom = 3 * time.Second
)

// newShiftingCluster returns a cluster that knows its targets as fast, with two routes that have the
// given timeout.
func newShiftingCluster(t *testing.T, hosts, targets int, timeout time.Duration) *cluster {
	list := make([]*platformtest.Target, 0, targets)
	for n := range targets {
		list = append(list, platformtest.NewTarget(fmt.Sprintf("t-%d", n), "svc", "d", 4, platformtest.Behaviour{ServiceTime: lateUsual}))
	}
	cl := newFleet(t, fleet{hosts: hosts, grace: lateGrace}, list...)
	cl.version += 3
	cl.store.Put("op/config", platformtest.Config(cl.version, []platformtest.Route{
		{Host: "shop.example", Prefix: "/book/", Service: "svc", TimeoutMillis: int(timeout.Milliseconds())},
		{Host: "shop.example", Prefix: "/search/", Service: "svc", Safe: true, TimeoutMillis: int(timeout.Milliseconds())},
	}))
	time.Sleep(time.Second)
	for n := range 40 {
		path := []string{"/book/x", "/search/x"}[n%2]
		resp, err := cl.send(t.Context(), cl.hosts[n/2%hosts], fmt.Sprintf("usual-%d", n), path)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.status)
	}
	return cl
}

// setServiceTime changes the service time of all targets without the knowledge of the hosts.
func (cl *cluster) setServiceTime(d time.Duration) {
	for _, target := range cl.targets {
		target.UpdateBehaviour(func(b *platformtest.Behaviour) { b.ServiceTime = d })
	}
}

// openConn opens a connection to a host and sends nothing.
func openConn(t *testing.T, h *host) net.Conn {
	conn, err := net.Dial("tcp", h.cfg.Callers.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// firstPart is the length of the part of a request that beginOn sends.
const firstPart = 10

// lateRequest returns the text of a request.
func lateRequest(id, path string) string {
	head, body := "GET "+path+" HTTP/1.1\r\n", "\r\n"
	if path == "/book/x" {
		head, body = "POST "+path+" HTTP/1.1\r\n", "Content-Length: 3\r\n\r\nabc"
	}
	return head + "Host: shop.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 12000\r\n" + body
}

// beginOn sends the first bytes of a request, so that the host keeps the connection open for it.
func beginOn(t *testing.T, conn net.Conn, id, path string) {
	_, err := io.WriteString(conn, lateRequest(id, path)[:firstPart])
	require.NoError(t, err)
}

// exchangeOn sends the first request of a connection and reads the response.
func exchangeOn(conn net.Conn, h *host, id, path string) answer {
	return finishOn(conn, h, id, lateRequest(id, path))
}

// finishOn sends the rest of a request and reads the response.
func finishOn(conn net.Conn, h *host, id, rest string) answer {
	a := answer{id: id, host: h, sentAt: time.Now()}
	_, a.err = io.WriteString(conn, rest)
	var res *http.Response
	if a.err == nil {
		res, a.err = http.ReadResponse(bufio.NewReader(conn), nil)
	}
	if a.err == nil {
		a.status, a.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
		_, a.err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	a.gone = time.Now()
	return a
}

// assertNotCut checks that a request got the response of a target, or was refused at once and has not
// run.
func (cl *cluster) assertNotCut(t *testing.T, a answer, stop time.Time) {
	t.Helper()
	sent, took := a.sentAt.Sub(stop), a.gone.Sub(a.sentAt)
	switch {
	case a.err != nil && cl.runCount(a.id) == 0 && took < 200*time.Millisecond:
		// The connection was closed before the request was read.
	case a.err != nil:
		t.Errorf("%s, sent %s after the stop, got no response after %s: %v", a.id, sent, took, a.err)
	case a.status == http.StatusOK:
	case a.status == http.StatusServiceUnavailable:
		assert.NotEmpty(t, a.retryAfter, a.id)
		assert.Zero(t, cl.runCount(a.id), "%s was refused and has run", a.id)
		assert.Less(t, took, 200*time.Millisecond, "%s, sent %s after the stop, was not refused at once", a.id, sent)
	default:
		t.Errorf("%s, sent %s after the stop, was cut after %s: status %d", a.id, sent, took, a.status)
	}
}

// Guards against requests that arrive late in the grace period, are sent to a target, and are cut at its
// end.
func TestPlannedStopDoesNotCutRequestsThatArriveLate(t *testing.T) {
	tests := []struct {
		name    string
		timeout time.Duration
		path    string
		// opened is the time after the beginning of the stop at which the connections are opened.
		opened time.Duration
		// served is the time until which requests are served, as their timeouts end before the host.
		served time.Duration
	}{
		{name: "not idempotent, long timeout", timeout: 10 * time.Second, path: "/book/x", opened: 2600 * time.Millisecond},
		{name: "idempotent, long timeout", timeout: 10 * time.Second, path: "/search/x", opened: 2600 * time.Millisecond},
		{name: "not idempotent, short timeout", timeout: 2 * time.Second, path: "/book/x", opened: 2600 * time.Millisecond, served: 3400 * time.Millisecond},
		{name: "idempotent, short timeout", timeout: 2 * time.Second, path: "/search/x", opened: 2600 * time.Millisecond, served: 3400 * time.Millisecond},
		{name: "connections from before the stop", timeout: 10 * time.Second, path: "/book/x", opened: -500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cl := newShiftingCluster(t, 2, 6, tt.timeout)
			h := cl.hosts[0]
			stop := time.Now().Add(time.Second)
			time.AfterFunc(time.Until(stop), h.cancel)
			conns := make([]net.Conn, 13)
			id := func(n int) string { return fmt.Sprintf("late-%d", n) }
			open := func() {
				time.Sleep(time.Until(stop.Add(tt.opened)))
				for n := range conns {
					conns[n] = openConn(t, h)
					beginOn(t, conns[n], id(n), tt.path)
				}
			}
			if tt.opened < 0 {
				open()
			}
			var wg sync.WaitGroup
			cl.setServiceTime(lateSlow)
			if tt.opened > 0 {
				open()
			}
			answers := make([]answer, len(conns))
			for n, conn := range conns {
				wg.Go(func() {
					time.Sleep(time.Until(stop.Add(lateFrom + 50*time.Millisecond + time.Duration(n)*200*time.Millisecond)))
					answers[n] = finishOn(conn, h, id(n), lateRequest(id(n), tt.path)[firstPart:])
				})
			}
			require.NoError(t, <-h.done)
			h.process.Kill()
			wg.Wait()
			statuses := map[int]int{}
			for _, a := range answers {
				statuses[a.status]++
				cl.assertNotCut(t, a, stop)
				if a.sentAt.Sub(stop) < tt.served {
					assert.Equal(t, http.StatusOK, a.status, "%s, sent %s after the stop", a.id, a.sentAt.Sub(stop))
				}
			}
			t.Log("answers:", statuses)
			assert.Equal(t, len(conns), statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable])
		})
	}
}

// Guards against requests that arrive late in the grace period and wait for a target in vain.
func TestPlannedStopRefusesLateRequestsThatWouldWait(t *testing.T) {
	tests := []struct {
		name string
		// stopped is the host that is stopped.
		stopped int
	}{
		{name: "first of two hosts", stopped: 0},
		{name: "second of two hosts", stopped: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cl := newShiftingCluster(t, 2, 1, 10*time.Second)
			h, other := cl.hosts[tt.stopped], cl.hosts[1-tt.stopped]
			stop := time.Now()
			h.cancel()
			var mu sync.Mutex
			var answers []answer
			var wg sync.WaitGroup
			send := func(to *host, id string, at time.Duration) {
				conn := openConn(t, to)
				beginOn(t, conn, id, "/book/x")
				wg.Go(func() {
					time.Sleep(time.Until(stop.Add(at)))
					a := finishOn(conn, to, id, lateRequest(id, "/book/x")[firstPart:])
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, a)
				})
			}
			// The other host keeps the target busy until 4.6 s after the beginning of the stop.
			cl.setServiceTime(2 * time.Second)
			for n := range 6 {
				send(other, fmt.Sprintf("busy-%d", n), 2600*time.Millisecond)
			}
			for n := range 8 {
				send(h, fmt.Sprintf("wait-%d", n), lateFrom+time.Duration(n)*20*time.Millisecond)
			}
			require.NoError(t, <-h.done)
			h.process.Kill()
			wg.Wait()
			answers = slices.DeleteFunc(answers, func(a answer) bool { return a.host != h })
			require.Len(t, answers, 8)
			statuses := map[int]int{}
			for _, a := range answers {
				statuses[a.status]++
				cl.assertNotCut(t, a, stop)
			}
			t.Log("answers:", statuses)
			assert.Equal(t, 8, statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable])
		})
	}
}

// isClosed reports whether the other end has closed a connection that carries no request.
func isClosed(t *testing.T, conn net.Conn) bool {
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err := conn.Read(make([]byte, 1))
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against requests that are read and dropped while a host waits for unused connections to end.
func TestPlannedStopDropsNoFirstRequestOfAConnection(t *testing.T) {
	t.Parallel()
	const (
		conns = 60
		gap   = 60 * time.Millisecond
		// latestEnd is the time after the beginning of the stop by which a host without requests has
		// ended, with a second for connections that were opened just before its listener closed.
		latestEnd = 4200 * time.Millisecond
	)
	cl := newShiftingCluster(t, 2, 2, 2*time.Second)
	h := cl.hosts[0]
	var dropped, answered atomic.Int64
	var wg sync.WaitGroup
	stop := time.Now().Add(time.Second)
	time.AfterFunc(time.Until(stop), h.cancel)
	for n := range conns {
		time.Sleep(gap)
		conn, err := net.Dial("tcp", h.cfg.Callers.String())
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = conn.Close() })
		wg.Go(func() {
			time.Sleep(time.Until(stop.Add(2600*time.Millisecond + time.Duration(n)*40*time.Millisecond)))
			if isClosed(t, conn) {
				return
			}
			if a := exchangeOn(conn, h, fmt.Sprintf("first-%d", n), "/book/x"); a.err == nil {
				answered.Add(1)
			} else {
				dropped.Add(1)
				t.Logf("%s, sent %s after the stop, got no response: %v", a.id, a.sentAt.Sub(stop), a.err)
			}
		})
	}
	require.NoError(t, <-h.done)
	require.Less(t, time.Since(stop), latestEnd)
	h.process.Kill()
	wg.Wait()
	t.Log("answered:", answered.Load())
	require.LessOrEqual(t, dropped.Load(), int64(1), "only a request that crosses the close may get no response")
}
