package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Guards against request smuggling: requests whose framing two parsers could read
// differently reach no target, and their connection is closed, so that the bytes that
// follow are not parsed as a request.
func TestAmbiguousRequestsReachNoTarget(t *testing.T) {
	cl := newCluster(t, 1, target("t-1", platformtest.Behaviour{}))
	const (
		smuggled = "GET /search/smuggled HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: smuggled\r\nX-Deadline-Ms: 1000\r\n\r\n"
		head     = "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: bad\r\nX-Deadline-Ms: 1000\r\n"
	)
	tests := []struct{ name, text, status string }{
		{"proper", head + "Content-Length: 5\r\n\r\nhello", "200"},
		{"length and chunks", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"two lengths", head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "400"},
		{"one length twice", head + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", "400"},
		{"list of lengths", head + "Content-Length: 5, 5\r\n\r\nhello", "400"},
		{"signed length", head + "Content-Length: +5\r\n\r\nhello", "400"},
		{"list of transfer codings", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501"},
		{"unknown transfer coding", head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "501"},
		{"transfer coding twice", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"transfer coding in HTTP/1.0", strings.Replace(head, "/1.1", "/1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"folded header line", head + "A: b\r\n Content-Length: 5\r\n\r\n", "400"},
		{"space before the colon", head + "Content-Length : 5\r\n\r\nhello", "400"},
		{"bare CR", head + "A: b\rContent-Length: 5\r\n\r\n", "400"},
		{"bare LF", head + "A: b\nContent-Length: 5\r\n\r\nhello", "400"},
		{"NUL", head + "A: b\x00\r\n\r\n", "400"},
		{"two hosts", head + "Host: other.example\r\n\r\n", "400"},
		{"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\nhello\r\n0\r\n\r\n", "400"},
		{"oversized chunk", head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nhello\r\n0\r\n\r\n", "400"},
		{"chunk longer than its size", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n", "400"},
		{"absolute form of another host", strings.Replace(head, "/book", "http://other.example/book", 1) + "\r\n", "400"},
		{"CONNECT", "CONNECT shop.example:80 HTTP/1.1\r\nHost: shop.example:80\r\n\r\n", "400"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			nc, err := net.Dial("tcp", cl.hosts[0].cfg.Callers.String())
			require.NoError(t, err)
			defer nc.Close()
			_, err = io.WriteString(nc, tt.text)
			require.NoError(t, err)
			br := bufio.NewReader(nc)
			res, err := http.ReadResponse(br, nil)
			require.NoError(t, err)
			require.Equal(t, tt.status, res.Status[:3])
			_, err = io.Copy(io.Discard, res.Body)
			require.NoError(t, err)
			if tt.status == "200" {
				require.Equal(t, 1, cl.runCount("bad"))
				return
			}
			// The connection may be reset before this write completes.
			_, _ = io.WriteString(nc, smuggled)
			require.NoError(t, nc.SetReadDeadline(time.Now().Add(2*time.Second)))
			_, err = br.ReadByte()
			require.Error(t, err)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection was not closed")
			require.Equal(t, 1, cl.runCount("bad"), "only the proper request runs")
			require.Zero(t, cl.runCount("smuggled"))
		})
	}
}
