package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// stopClient sends requests to a host until it is gone, on connections that it keeps or
// opens anew, and records the requests that got no response although their connection was
// accepted.
type stopClient struct {
	mu     sync.Mutex
	served int
	cut    []string
}

// exchange sends a request on a connection and reads its response. It returns false if the
// connection can't be used any more.
func (c *stopClient) exchange(conn net.Conn, br *bufio.Reader, id string, fresh bool) bool {
	sent := time.Now()
	_, err := fmt.Fprintf(conn, "GET /search/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", id)
	var res *http.Response
	if err == nil {
		res, err = http.ReadResponse(br, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.cut = append(c.cut, fmt.Sprintf("%s, new connection %t, after %s: %v", id, fresh, time.Since(sent), err))
		return false
	}
	c.served++
	return !res.Close
}

func TestPlannedStopUnderLoadCutsOffNoAcceptedRequest(t *testing.T) {
	cl := newCluster(t, 2, target("t-1", platformtest.Behaviour{ServiceTime: 5 * time.Millisecond}), target("t-2", platformtest.Behaviour{ServiceTime: 5 * time.Millisecond}))
	h := cl.hosts[0]
	c := &stopClient{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				conn, err := net.Dial("tcp", h.cfg.Callers.String())
				if err != nil {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				br, fresh := bufio.NewReader(conn), true
				for k := 0; c.exchange(conn, br, fmt.Sprintf("s-%d-%d-%d", n, i, k), fresh) && n%2 == 0; k++ {
					fresh = false
					time.Sleep(time.Duration(n) * 3 * time.Millisecond)
				}
				_ = conn.Close()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	h.cancel()
	require.NoError(t, <-h.done)
	close(stop)
	wg.Wait()
	require.Greater(t, c.served, 500)
	require.Empty(t, c.cut, "requests without a response, of %d", c.served)
}
