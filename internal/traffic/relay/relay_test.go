package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

// script answers each request on a connection with the next text; the text
// "close" closes the connection.
func script(t *testing.T, texts ...string) (*Pool, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	g := group.New(t.Context())
	accepted := new(atomic.Int64)
	g.Go("server", func(context.Context) error {
		for at := 0; ; {
			nc, err := l.Accept()
			if err != nil {
				return errors.Wrap(err, "accept")
			}
			accepted.Add(1)
			at = serve(nc, texts, at)
		}
	})
	address := netip.MustParseAddrPort(l.Addr().String())
	dial := func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", a.String())
	}
	return NewPool(address, Config{MaxConnections: 4, Dial: dial, DialTimeout: time.Second, Fresh: time.Minute}, g), accepted
}

func serve(nc net.Conn, texts []string, at int) int {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for at < len(texts) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return at
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text := texts[at]
		at++
		if text == "close" {
			return at
		}
		_, _ = io.WriteString(nc, strings.TrimSuffix(text, "CUT"))
		if strings.HasSuffix(text, "CUT") {
			return at
		}
	}
	return at
}

func get(t *testing.T, p *Pool, method string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://target/", nil)
	require.NoError(t, err)
	res, err := p.RoundTrip(t.Context(), req, Options{Idempotent: true})
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

func TestOnlyWholeUnambiguousAnswersPass(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, method, answer, body string
		fails                      bool
		cause                      error
	}{
		{name: "length", answer: head + "Content-Length: 2\r\n\r\nok", body: "ok"},
		{name: "chunked", answer: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", body: "ok"},
		{name: "head", method: http.MethodHead, answer: head + "Content-Length: 2\r\n\r\n"},
		{name: "head without length", method: http.MethodHead, answer: head + "\r\n"},
		{name: "no content", answer: "HTTP/1.1 204 No Content\r\n\r\n"},
		{name: "not modified", answer: "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"},
		{name: "early hints", answer: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", body: "ok"},
		{name: "cut body", answer: head + "Content-Length: 9\r\n\r\nokCUT", fails: true, cause: io.ErrUnexpectedEOF},
		{name: "cut chunk", answer: head + "Transfer-Encoding: chunked\r\n\r\n9\r\nokCUT", fails: true, cause: io.ErrUnexpectedEOF},
		{name: "missing last chunk", answer: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\nCUT", fails: true},
		{name: "no framing", answer: head + "\r\nokCUT", fails: true, cause: ErrAmbiguous},
		{name: "both framings", answer: head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", fails: true, cause: ErrAmbiguous},
		{name: "two lengths", answer: head + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", fails: true, cause: ErrAmbiguous},
		{name: "huge head", answer: head + "A: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n", fails: true, cause: ErrHeadTooLarge},
		{name: "upgrade", answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n", fails: true, cause: ErrUpgrade},
		{name: "no answer", answer: "close", fails: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, _ := script(t, tt.answer)
			method := tt.method
			if method == "" {
				method = http.MethodGet
			}
			body, err := get(t, p, method)
			if !tt.fails {
				require.NoError(t, err)
				require.Equal(t, tt.body, body)
				return
			}
			require.Error(t, err)
			require.NotErrorIs(t, err, io.EOF, "a cut answer must not end cleanly")
			if tt.cause != nil {
				require.ErrorIs(t, err, tt.cause)
			}
		})
	}
}

func TestConnectionWithSurplusBytesIsNotReused(t *testing.T) {
	const one = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	const two = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"
	p, accepted := script(t, one+two, one, one)
	for range 3 {
		body, err := get(t, p, http.MethodGet)
		require.NoError(t, err)
		require.Equal(t, "one", body, "an answer that was not asked for reached a caller")
	}
	require.EqualValues(t, 2, accepted.Load())
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	p, _ := script(t)
	p.address = netip.MustParseAddrPort("127.0.0.1:1")
	_, err := get(t, p, http.MethodGet)
	require.Error(t, err)
	require.False(t, MayHaveRun(err))
}

func TestLostAnswerMayHaveRun(t *testing.T) {
	p, _ := script(t, "close")
	_, err := get(t, p, http.MethodGet)
	require.Error(t, err)
	require.True(t, MayHaveRun(err))
}
