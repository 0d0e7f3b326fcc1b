package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Guards against requests of an unsafe route that are sent again because their path, decoded, is one of a
// safe route, and against paths that targets may read as those of another route.
func TestPathAsWrittenSelectsTheRoute(t *testing.T) {
	tests := []struct {
		name, target, host string
		// mostRuns is the largest number of targets that run one request.
		mostRuns int
		// status is that of all responses. If it is 200, requests whose response is lost get a 502.
		status int
	}{
		{name: "safe route", target: "/book/list/p", mostRuns: 2, status: http.StatusOK},
		{name: "encoded slash", target: "/book/list%2Fp", mostRuns: 1, status: http.StatusOK},
		{name: "dot segments to the unsafe route", target: "/book/list/../p", status: http.StatusBadRequest},
		{name: "encoded dot segments to the unsafe route", target: "/book/list/%2E%2e/p", status: http.StatusBadRequest},
		{name: "encoded letter of the safe route", target: "/book/l%69st/p", status: http.StatusBadRequest},
		{name: "encoded letter of the only route", target: "/%62ook/p", status: http.StatusBadRequest},
		{name: "absolute target, encoded slash", target: "http://shop.example/book/list%2Fp", mostRuns: 1, status: http.StatusOK},
		{name: "host in upper case, with a port", target: "/book/p", host: "SHOP.example:8381", mostRuns: 1, status: http.StatusOK},
		{name: "doubled slash", target: "/book//list/p", mostRuns: 1, status: http.StatusOK},
		{name: "no route", target: "/other/p", status: http.StatusNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl := newCluster(t, 1, target("t-9", platformtest.Behaviour{}))
			var mu sync.Mutex
			runs := map[string]int{}
			// Two of three targets lose every third response.
			for n := range 2 {
				losing := newRawTarget(t, func(w io.Writer, id string) bool {
					mu.Lock()
					defer mu.Unlock()
					runs[id]++
					if len(runs)%3 > 0 {
						_, _ = io.WriteString(w, responseHead(id, "Content-Length: 1\r\n")+"x")
					}
					return len(runs)%3 > 0
				})
				losing.id = fmt.Sprintf("t-%d", n)
				cl.store.Put("servers/"+losing.id, losing.entry(t))
			}
			cl.version += 3
			cl.store.Put("op/config", platformtest.Config(cl.version, []platformtest.Route{
				{Host: "shop.example", Prefix: "/book/", Service: "svc", TimeoutMillis: 1500},
				{Host: "shop.example", Prefix: "/book/list/", Service: "svc", Safe: true, TimeoutMillis: 1500},
			}))
			time.Sleep(500 * time.Millisecond)
			host := tt.host
			if host == "" {
				host = "shop.example"
			}
			most, start := 0, time.Now()
			// An idle host keeps choosing the same target for some milliseconds.
			for n := 0; n < 60 || most < tt.mostRuns && time.Since(start) < 5*time.Second; n++ {
				time.Sleep(5 * time.Millisecond)
				id := fmt.Sprintf("r-%d", n)
				conn := openConn(t, cl.hosts[0])
				_, err := fmt.Fprintf(conn, "GET %s%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\n\r\n", tt.target, n, host, id)
				require.NoError(t, err)
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				_ = conn.Close()
				if tt.status != http.StatusOK || res.StatusCode != http.StatusBadGateway {
					require.Equal(t, tt.status, res.StatusCode)
				}
				mu.Lock()
				most = max(most, runs[id]+cl.targets[0].Runs(id))
				mu.Unlock()
			}
			require.Equal(t, tt.mostRuns, most)
		})
	}
}
