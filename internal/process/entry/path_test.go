package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Guards against a path that is decoded and encoded anew on its way, so that the target runs another
// request than the client has sent.
func TestPathsReachTheTargetUnchanged(t *testing.T) {
	paths := []string{
		"/book/x", "/book/a%2Fb", "/book/a%2fb", "/book/%41", "/book/a;b=c", "/book//x", "/book/./x/../y", "/book/..%2fy", "/book/*", "/book/x?", "/book/x?a=%2F|&b=%zz", "/book/x?a=\"b\"", "/book/x?q=a+b%20c#d",
		"/book/a|b", "/book/a%2Fb|c", "/book/a%2Fb\"c", "/book/a%2Fb\\c", "/book/a%2Fb^c`d", "/book/{a}%2F", "/book/\u00e9%2F", "/book/%C3%A9%2F\u00e9", "/book/a%2Fb<c>d", "/book/%7C%2F|?x=%2F|", "//book/x", "//book/a%2Fb", "//book/a%2Fb|",
	}
	var mu sync.Mutex
	got := map[string]string{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		if id == "" {
			w.Header().Set("X-Instance-Id", "t-1")
			return
		}
		mu.Lock()
		got[id] = r.RequestURI
		mu.Unlock()
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Server-Signature", "s")
	})}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	cl := newCluster(t, 1)
	cl.configure("/", "/book/")
	cl.store.Put("servers/t-1", target("t-1", platformtest.Behaviour{}).EntryAt(netip.MustParseAddrPort(l.Addr().String()), "ready"))
	time.Sleep(300 * time.Millisecond)
	for n, path := range paths {
		t.Run(path, func(t *testing.T) {
			conn, err := net.Dial("tcp", cl.hosts[0].cfg.Callers.String())
			require.NoError(t, err)
			defer conn.Close()
			id := fmt.Sprintf("p-%d", n)
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", path, id)
			require.NoError(t, err)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, res.Body)
			mu.Lock()
			defer mu.Unlock()
			if res.StatusCode == http.StatusBadRequest {
				require.NotContains(t, got, id, "refused, and passed on")
				return
			}
			require.Equal(t, http.StatusOK, res.StatusCode)
			require.Equal(t, path, got[id])
		})
	}
}
