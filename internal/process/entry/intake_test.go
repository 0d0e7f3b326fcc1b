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

	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const smallestHost = 184 << 20

// nopConn is a connection that holds nothing in its buffers.
type nopConn struct{}

func (nopConn) Interrupt()    {}
func (nopConn) Abort()        {}
func (nopConn) Queued() int64 { return 0 }

// fillBudget reserves all but left bytes of a budget, for connections that wait for targets. release
// returns them.
func fillBudget(t *testing.T, b *resource.Budget, left int64) (release func()) {
	t.Helper()
	const most = 64 << 10
	open := func() *resource.Holder {
		h, ok := b.Open(nopConn{})
		require.True(t, ok)
		h.SetPhase(resource.Waiting)
		return h
	}
	free := func() int64 { return b.Limits().Bytes - left - b.Usage().Held }
	holders := []*resource.Holder{open()}
	for free() > most {
		h := open()
		holders = append(holders, h)
		require.True(t, h.Grow(min(free(), most)))
	}
	require.True(t, holders[0].Grow(free()))
	return func() {
		for _, h := range holders {
			h.Close()
		}
	}
}

// Guards against uploads whose bytes are charged a second time, as those of a header.
func TestUploadThatWaitsForItsTargetHoldsItsBody(t *testing.T) {
	const body, request = 60_000, 40 << 10
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %v", chunked), func(t *testing.T) {
			cl := newFleet(t, fleet{hosts: 1, memory: smallestHost}, target("t-1", platformtest.Behaviour{ServiceTime: 400 * time.Millisecond}))
			budget := cl.hosts[0].process.Budget()
			done := make(chan response)
			go func() { done <- cl.upload(cl.hosts[0], "r-1", "/book/x", strings.Repeat("x", body), chunked) }()
			require.Eventually(t, func() bool { return cl.runCount("r-1") > 0 }, 2*time.Second, time.Millisecond)
			bound := int64(resource.ConnectionBytes + request + body)
			if chunked {
				// The buffer of a body of unknown length doubles: it is 64 kB long.
				bound = resource.ConnectionBytes + request + 64<<10
			}
			held := budget.Usage().Held
			require.Equal(t, http.StatusOK, (<-done).status)
			require.LessOrEqual(t, held, bound)
		})
	}
}

// Guards against 400 for a valid upload whose last bytes do not fit in the budget: clients do not repeat
// such a request, although it has not run.
func TestShortBudgetAtTheEndOfABodyIsARefusal(t *testing.T) {
	cl := newFleet(t, fleet{hosts: 1, memory: smallestHost}, target("t-1", platformtest.Behaviour{}))
	h := cl.hosts[0]
	conn, err := net.Dial("tcp", h.cfg.Callers.String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(8*time.Second)))
	_, err = fmt.Fprintf(conn, "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r-1\r\nX-Deadline-Ms: 4000\r\nX-Filler: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", strings.Repeat("f", 12<<10))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		// The connection, the request, and the header beyond 4 kB twice.
		return h.process.Budget().Usage().Held > resource.ConnectionBytes+40<<10+2*8<<10
	}, 4*time.Second, time.Millisecond)
	defer fillBudget(t, h.process.Budget(), 0)()
	_, err = fmt.Fprintf(conn, "0\r\nX-Trailer: %s\r\n\r\n", strings.Repeat("t", 3<<10))
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.NotEmpty(t, res.Header.Get("Retry-After"))
	require.Zero(t, cl.runCount("r-1"))
}

// Guards against requests that run and are then answered with 502, because a few kB are missing for the
// buffer of the response.
func TestResponsesOfRequestsThatHaveRunPassAShortBudget(t *testing.T) {
	const responseBytes = 30_000
	cl := newFleet(t, fleet{hosts: 1, memory: smallestHost}, target("t-1", platformtest.Behaviour{ResponseBytes: responseBytes}))
	h := cl.hosts[0]
	for _, left := range []int64{58 << 10, 64 << 10, 80 << 10} {
		for _, path := range []string{"/book/x", "/search/x"} {
			t.Run(fmt.Sprintf("%d kB, %s", left>>10, path), func(t *testing.T) {
				require.Eventually(t, func() bool { return h.process.Budget().Usage().Connections == 0 }, 2*time.Second, time.Millisecond)
				defer fillBudget(t, h.process.Budget(), left)()
				id := fmt.Sprintf("r-%d%s", left, path)
				r, err := cl.send(t.Context(), h, id, path)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, r.status)
				require.Len(t, r.body, responseBytes)
				require.Equal(t, 1, cl.runCount(id))
			})
		}
	}
}
