package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

// Whatever bytes a target sends, RoundTrip returns an error or a final response whose
// body is contained in those bytes. Chunked bodies are not compared.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nContent-Length: -1\r\n\r\n",
		"nonsense\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		g := group.New(context.Background())
		defer func() { _ = g.Stop() }()
		dials := 0
		dial := func(context.Context, netip.AddrPort) (net.Conn, error) {
			dials++
			client, server := net.Pipe()
			g.Go("target", func(context.Context) error {
				defer server.Close()
				if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
					_, _ = server.Write(response)
				}
				return nil
			})
			return client, nil
		}
		p := NewPool(netip.MustParseAddrPort("10.0.0.1:80"), Config{MaxConnections: 1, Dial: dial, DialTimeout: time.Second, MaxNonIdempotentIdle: time.Minute}, g)
		defer p.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://target/x", nil)
		require.NoError(t, err)
		res, err := p.RoundTrip(ctx, req, Options{})
		if err != nil {
			return
		}
		defer res.Body.Close()
		require.GreaterOrEqual(t, res.StatusCode, 200)
		body, err := io.ReadAll(res.Body)
		if err == nil && len(res.TransferEncoding) == 0 {
			require.True(t, bytes.Contains(response, body))
		}
	})
}
