package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// setRouteTimeout gives all requests the same timeout.
func (cl *cluster) setRouteTimeout(timeout time.Duration) {
	cl.version += 3
	cl.store.Put("op/config", platformtest.Config(cl.version, []platformtest.Route{
		{Host: "shop.example", Prefix: "/book/", Service: "svc", TimeoutMillis: int(timeout.Milliseconds())},
		{Host: "shop.example", Prefix: "/search/", Service: "svc", Safe: true, TimeoutMillis: int(timeout.Milliseconds())},
	}))
	time.Sleep(time.Second)
}

// exchange sends a request on a connection of its own and reads the response.
func exchange(t *testing.T, h *host, id, path string) answer {
	return exchangeOn(openConn(t, h), h, id, path)
}

// Guards against a rejected request that is sent to the next target late in the grace period, and cut.
func TestPlannedStopDoesNotCutRequestsThatATargetRejectsLate(t *testing.T) {
	t.Parallel()
	const rejectedAt = 4400 * time.Millisecond
	stop := time.Now().Add(4 * time.Second)
	var requests atomic.Int32
	respond := func(w io.Writer, id string) bool {
		if requests.Add(1) == 1 {
			time.Sleep(time.Until(stop.Add(rejectedAt)))
			_, err := fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			return err == nil
		}
		time.Sleep(lateGrace)
		return false
	}
	cl := newFleet(t, fleet{hosts: 1, firstStart: true, grace: lateGrace})
	for _, id := range []string{"t-1", "t-2"} {
		raw := newRawTarget(t, respond)
		raw.id = id
		cl.store.Put("servers/"+id, raw.entry(t))
	}
	cl.setRouteTimeout(10 * time.Second)
	h := cl.hosts[0]
	time.Sleep(time.Until(stop))
	h.cancel()
	answers := make(chan answer, 1)
	go func() { answers <- exchange(t, h, "r-1", "/book/x") }()
	require.NoError(t, <-h.done)
	h.process.Kill()
	a := <-answers
	require.NoError(t, a.err)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.EqualValues(t, 1, requests.Load())
	require.InDelta(t, rejectedAt, a.gone.Sub(stop), float64(300*time.Millisecond))
}

// Guards against requests that a host sends through another one which has begun to shut down, and that end
// with it.
func TestPlannedStopsOfHelpersDoNotCutRequestsOfACutOffHost(t *testing.T) {
	t.Parallel()
	const (
		serviceTime = 4 * time.Second
		targets     = 24
	)
	list := make([]*platformtest.Target, 0, targets)
	for n := range targets {
		list = append(list, target(fmt.Sprintf("t-%d", n), platformtest.Behaviour{}))
	}
	cl := newFleet(t, fleet{hosts: 4, grace: lateGrace, proxied: true}, list...)
	t.Cleanup(func() { cl.saveLogs(t.Name()) })
	cl.setRouteTimeout(10 * time.Second)
	cl.cut(0, platformtest.LinkReset)
	require.Eventually(t, func() bool { return exchange(t, cl.hosts[0], "first", "/search/x").status == http.StatusOK }, 5*time.Second, 50*time.Millisecond)
	cl.setServiceTime(serviceTime)
	var wg sync.WaitGroup
	for n := range 24 {
		if n == 4 || n == 12 {
			h := cl.hosts[1+n/12]
			wg.Go(func() {
				h.cancel()
				assert.NoError(t, <-h.done)
				h.process.Kill()
			})
		}
		wg.Go(func() {
			a := exchange(t, cl.hosts[0], fmt.Sprintf("r-%d", n), []string{"/book/x", "/search/x"}[n%2])
			assert.NoError(t, a.err, a.id)
			assert.Equal(t, http.StatusOK, a.status, a.id)
		})
		time.Sleep(250 * time.Millisecond)
	}
	wg.Wait()
}

// Guards against requests of other hosts that are lost with the hosts that dispatch them.
func TestPlannedStopsOfDispatchersKeepRequestsOfOtherHosts(t *testing.T) {
	tests := []struct {
		name    string
		stopped [2]int
	}{
		{name: "all but the third", stopped: [2]int{0, 1}},
		{name: "all but the first", stopped: [2]int{1, 2}},
		{name: "all but the second", stopped: [2]int{2, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cl := newBusyCluster(t, 3, 2)
			t.Cleanup(func() { cl.saveLogs(tt.name) })
			stop, answers := make(chan struct{}), make(chan []answer, 1)
			go func() { answers <- cl.callers(40, 200*time.Millisecond, stop) }()
			time.Sleep(2 * time.Second)
			var wg sync.WaitGroup
			for _, n := range tt.stopped {
				wg.Go(func() { stopWithGrace(t, cl.hosts[n]) })
				time.Sleep(time.Second)
			}
			wg.Wait()
			close(stop)
			statuses, stays := map[int]int{}, cl.hosts[3-tt.stopped[0]-tt.stopped[1]]
			for _, a := range <-answers {
				if a.host != stays {
					continue
				}
				statuses[a.status]++
				switch runs := cl.runCount(a.id); a.status {
				case http.StatusOK:
					assert.Equal(t, 1, runs, a.id)
				case http.StatusServiceUnavailable:
					assert.Zero(t, runs, a.id)
				default:
					t.Errorf("%s got status %d after %s: %v", a.id, a.status, a.gone.Sub(a.sentAt), a.err)
				}
			}
			t.Log("answers of the host that stays:", statuses)
			require.Positive(t, statuses[http.StatusOK])
		})
	}
}

// Guards against uploads that are complete late in the grace period, are sent to a target, and cut.
func TestPlannedStopDoesNotCutUploadsThatAreCompleteLate(t *testing.T) {
	const completeAt = 4600 * time.Millisecond
	tests := []struct {
		name string
		// begins is the time after the beginning of the stop at which before is sent; zero for before it.
		// rest is sent late in the grace period.
		begins       time.Duration
		before, rest string
		status       int
	}{
		{name: "with a length", before: "Content-Length: 6\r\n\r\nabc", rest: "abc", status: http.StatusServiceUnavailable},
		{name: "in chunks", before: "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", rest: "3\r\nabc\r\n0\r\n\r\n", status: http.StatusServiceUnavailable},
		{name: "expects 100", before: "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n", rest: "abc", status: http.StatusServiceUnavailable},
		{name: "3 MB, its beginning is late", before: fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 3<<20, strings.Repeat("u", 1000)), rest: strings.Repeat("u", 1<<20), status: http.StatusServiceUnavailable},
		{name: "3 MB, begins after the SIGTERM", begins: 500 * time.Millisecond, before: fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 3<<20, strings.Repeat("u", 3<<20-1000)), rest: strings.Repeat("u", 1000), status: http.StatusServiceUnavailable},
		{name: "in chunks, 2 MB, begins after the SIGTERM", begins: 500 * time.Millisecond, before: fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 2<<20, strings.Repeat("u", 2<<20)), rest: "0\r\n\r\n", status: http.StatusServiceUnavailable},
		{name: "3 MB, stalls at the target", before: fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 3<<20, strings.Repeat("u", 2<<20)), status: http.StatusGatewayTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cl := newShiftingCluster(t, 1, 2, 10*time.Second)
			h := cl.hosts[0]
			cl.setServiceTime(lateGrace)
			conn := openConn(t, h)
			stop := time.Now().Add(200 * time.Millisecond)
			time.AfterFunc(time.Until(stop), h.cancel)
			if tt.begins > 0 {
				time.Sleep(time.Until(stop.Add(tt.begins)))
			}
			_, err := io.WriteString(conn, "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r-1\r\nX-Deadline-Ms: 12000\r\n"+tt.before)
			require.NoError(t, err)
			statuses := make(chan int, 1)
			go func() {
				br := bufio.NewReader(conn)
				status := http.StatusContinue
				for status == http.StatusContinue {
					res, err := http.ReadResponse(br, nil)
					if err != nil {
						status = 0
						break
					}
					status = res.StatusCode
				}
				statuses <- status
			}()
			time.Sleep(time.Until(stop.Add(completeAt)))
			_, _ = io.WriteString(conn, tt.rest)
			require.NoError(t, <-h.done)
			h.process.Kill()
			require.Equal(t, tt.status, <-statuses)
			require.Zero(t, cl.runCount("r-1"))
		})
	}
}

// Guards against a stop that cuts requests because of when it comes.
func TestPlannedStopAtOddTimesAnswersAllRequests(t *testing.T) {
	tests := []struct {
		name string
		// stop stops a host that is starting or runs.
		stop   func(cl *cluster) *host
		status int
	}{
		{name: "while it starts", status: http.StatusOK, stop: func(cl *cluster) *host {
			h := cl.start("host-new")
			h.cancel()
			return h
		}},
		{name: "while the store is away", status: http.StatusOK, stop: func(cl *cluster) *host {
			cl.store.SetFaults(platformtest.Faults{Down: true})
			time.Sleep(500 * time.Millisecond)
			cl.hosts[0].cancel()
			return cl.hosts[0]
		}},
		{name: "while it starts and the store is away", status: http.StatusServiceUnavailable, stop: func(cl *cluster) *host {
			cl.store.SetFaults(platformtest.Faults{Down: true})
			h := cl.start("host-new")
			h.cancel()
			return h
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cl := newFleet(t, fleet{hosts: 1, grace: stopGrace}, target("t-1", platformtest.Behaviour{}))
			h := tt.stop(cl)
			stop := time.Now()
			time.Sleep(200 * time.Millisecond)
			for n, path := range []string{"/book/x", "/search/x"} {
				a := exchange(t, h, fmt.Sprintf("r-%d", n), path)
				require.NoError(t, a.err)
				require.Equal(t, tt.status, a.status, h.log)
			}
			require.NoError(t, <-h.done)
			require.Less(t, time.Since(stop), stopGrace)
		})
	}
}
