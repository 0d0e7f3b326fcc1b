package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

func TestLateCopyOfRejectionDoesNotRejectTheRetryAtTheSameTarget(t *testing.T) {
	attempts := map[string]int{}
	rejectedOn := map[string]io.Writer{}
	var mu sync.Mutex
	only := newRawTarget(t, func(w io.Writer, id string) bool {
		rejection := "HTTP/1.1 503 Busy\r\nX-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\nX-Server-Load: 0,0,2,100\r\nContent-Length: 0\r\n\r\n"
		mu.Lock()
		attempts[id]++
		first, late := attempts[id] == 1, rejectedOn[id] == w
		rejectedOn[id] = w
		mu.Unlock()
		if first || late {
			_, _ = io.WriteString(w, rejection)
		}
		if first {
			return true
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, responseHead(id, "Content-Length: 2\r\n")+"ok")
		return true
	})
	cl := newCluster(t, 1)
	cl.store.Put("servers/t-1", only.entry(t))
	time.Sleep(300 * time.Millisecond)
	for n := range 10 {
		id := fmt.Sprintf("r-%d", n)
		resp, err := cl.send(t.Context(), cl.hosts[0], id, "/book/x")
		require.NoError(t, err)
		mu.Lock()
		runs := attempts[id] - 1
		mu.Unlock()
		require.LessOrEqual(t, runs, 1, "runs of a booking")
		require.Equal(t, runs == 1, resp.status == http.StatusOK, "status %d", resp.status)
		time.Sleep(30 * time.Millisecond)
	}
}

func TestLateCopyOfEarlierResponseIsNotTakenForTheResponse(t *testing.T) {
	answer := func(id, body string) string {
		return responseHead(id, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
	}
	tests := []struct {
		name string
		// late is what the target sends on the connection before its response.
		late string
	}{
		{name: "response to another request", late: answer("earlier", "not yours")},
		{name: "rejection of another request", late: "HTTP/1.1 503 Busy\r\nX-Request-Id: earlier\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
		{name: "rejection of a health check", late: "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
		{name: "response to a health check", late: "HTTP/1.1 200 OK\r\nX-Instance-Id: t-1\r\nX-Server-Load: 0,0,2,100\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			other := target("t-2", platformtest.Behaviour{Slowness: 200})
			copying := newRawTarget(t, func(w io.Writer, id string) bool {
				_, _ = io.WriteString(w, tt.late)
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(w, answer(id, "for "+id))
				return true
			})
			cl := newCluster(t, 1, other)
			cl.store.Put("servers/t-1", copying.entry(t))
			time.Sleep(300 * time.Millisecond)
			for n := range 20 {
				id, before := fmt.Sprintf("r-%d", n), copying.requests.Load()
				resp, err := cl.send(t.Context(), cl.hosts[0], id, "/book/x")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.status)
				require.True(t, strings.HasSuffix(resp.body, "for "+id) || strings.Contains(resp.body, "for "+id+" ran"), resp.body)
				require.Equal(t, int64(1), copying.requests.Load()-before+int64(other.Runs(id)), "runs of a booking")
			}
			require.Positive(t, copying.requests.Load())
		})
	}
}
