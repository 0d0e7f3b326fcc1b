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

// newScriptedPool returns a pool for a server that answers each request with the next
// text. The text "close" closes the connection instead; the suffix "CUT" closes it after
// the text.
func newScriptedPool(t *testing.T, responses ...string) (*Pool, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	g := group.New(t.Context())
	accepted := new(atomic.Int64)
	g.Go("server", func(context.Context) error {
		for next := 0; ; {
			nc, err := l.Accept()
			if err != nil {
				return errors.Wrap(err, "accept")
			}
			accepted.Add(1)
			next = serve(nc, responses, next)
		}
	})
	address := netip.MustParseAddrPort(l.Addr().String())
	dial := func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", a.String())
	}
	return NewPool(address, Config{MaxConnections: 4, Dial: dial, DialTimeout: time.Second, MaxNonIdempotentIdle: time.Minute}, g), accepted
}

// serve answers the requests on one connection, starting with responses[next], and
// returns the index of the next unused response.
func serve(nc net.Conn, responses []string, next int) int {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for next < len(responses) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return next
		}
		_, _ = io.Copy(io.Discard, req.Body)
		response := responses[next]
		next++
		if response == "close" {
			return next
		}
		_, _ = io.WriteString(nc, strings.TrimSuffix(response, "CUT"))
		if strings.HasSuffix(response, "CUT") {
			return next
		}
	}
	return next
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

func TestOnlyCompleteUnambiguousResponsesAreAccepted(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, method, response, body string
		fails                        bool
		cause                        error
	}{
		{name: "length", response: statusLine + "Content-Length: 2\r\n\r\nok", body: "ok"},
		{name: "chunked", response: statusLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", body: "ok"},
		{name: "head", method: http.MethodHead, response: statusLine + "Content-Length: 2\r\n\r\n"},
		{name: "head without length", method: http.MethodHead, response: statusLine + "\r\n"},
		{name: "no content", response: "HTTP/1.1 204 No Content\r\n\r\n"},
		{name: "not modified", response: "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"},
		{name: "early hints", response: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + statusLine + "Content-Length: 2\r\n\r\nok", body: "ok"},
		{name: "truncated body", response: statusLine + "Content-Length: 9\r\n\r\nokCUT", fails: true, cause: io.ErrUnexpectedEOF},
		{name: "truncated chunk", response: statusLine + "Transfer-Encoding: chunked\r\n\r\n9\r\nokCUT", fails: true, cause: io.ErrUnexpectedEOF},
		{name: "missing last chunk", response: statusLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\nCUT", fails: true},
		{name: "no framing", response: statusLine + "\r\nokCUT", fails: true, cause: ErrAmbiguousFraming},
		{name: "both framings", response: statusLine + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", fails: true, cause: ErrAmbiguousFraming},
		{name: "two lengths", response: statusLine + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", fails: true, cause: ErrAmbiguousFraming},
		{name: "huge header", response: statusLine + "A: " + strings.Repeat("x", maxHeaderBytes) + "\r\n\r\n", fails: true, cause: ErrHeaderTooLarge},
		{name: "upgrade", response: "HTTP/1.1 101 Switching Protocols\r\n\r\n", fails: true, cause: ErrUnexpectedUpgrade},
		{name: "no response", response: "close", fails: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, _ := newScriptedPool(t, tt.response)
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
			require.NotErrorIs(t, err, io.EOF, "a truncated response must not end with io.EOF")
			if tt.cause != nil {
				require.ErrorIs(t, err, tt.cause)
			}
		})
	}
}

func TestConnectionWithSurplusBytesIsNotReused(t *testing.T) {
	const one = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	const two = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"
	p, accepted := newScriptedPool(t, one+two, one, one)
	for range 3 {
		body, err := get(t, p, http.MethodGet)
		require.NoError(t, err)
		require.Equal(t, "one", body, "a caller received an unsolicited response")
	}
	require.EqualValues(t, 2, accepted.Load())
}

func TestRefusedConnectionMeansNotSent(t *testing.T) {
	p, _ := newScriptedPool(t)
	p.address = netip.MustParseAddrPort("127.0.0.1:1")
	_, err := get(t, p, http.MethodGet)
	require.Error(t, err)
	require.False(t, MayHaveRun(err))
}

func TestRequestWithoutResponseMayHaveRun(t *testing.T) {
	p, _ := newScriptedPool(t, "close")
	_, err := get(t, p, http.MethodGet)
	require.Error(t, err)
	require.True(t, MayHaveRun(err))
}

func TestRoundTripGivesUpOnResponsesWithoutEnd(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, response string
		cause          error
	}{
		{name: "informational responses", response: strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 1000), cause: ErrTooManyInformational},
		{name: "mismatched response", response: statusLine + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("x", 0x400)+"\r\n", 1000), cause: ErrMismatchedResponse},
		{name: "mismatched responses", response: strings.Repeat(statusLine+"Content-Length: 0\r\n\r\n", 1000), cause: ErrMismatchedResponse},
		{name: "header", response: statusLine + strings.Repeat("X-More: more\r\n", 10000), cause: ErrHeaderTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, _ := newScriptedPool(t, tt.response)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://target/", nil)
			require.NoError(t, err)
			_, err = p.RoundTrip(t.Context(), req, Options{MatchesRequest: func(http.Header) bool { return false }})
			require.ErrorIs(t, err, tt.cause)
			require.Zero(t, p.OpenConnections())
		})
	}
}

func TestLowerLimitOfConnectionsClosesIdleOnes(t *testing.T) {
	p, _ := newScriptedPool(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	conns := make([]*conn, 0, 3)
	for range 3 {
		c, err := p.dial(t.Context())
		require.NoError(t, err)
		p.mu.Lock()
		p.open++
		p.mu.Unlock()
		conns = append(conns, c)
	}
	p.put(conns[0])
	p.SetMaxConnections(2)
	require.Equal(t, 2, p.OpenConnections(), "the idle one is closed")
	p.SetMaxConnections(1)
	require.Equal(t, 2, p.OpenConnections(), "both are in use")
	p.put(conns[1])
	require.Equal(t, 1, p.OpenConnections())
	_, err := p.get(t.Context(), Options{})
	require.ErrorIs(t, err, ErrPoolExhausted)
}

func TestConnectionIsNotUsedUpToTheIdleTimeoutThatItsPeerNames(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name, header string
		idle         time.Duration
		expired      bool
	}{
		{name: "none", idle: 7 * time.Second},
		{name: "well before", header: "timeout=5", idle: 3 * time.Second},
		{name: "shortly before", header: "timeout=5", idle: 4 * time.Second, expired: true},
		{name: "with other parameters", header: "max=100, Timeout=2", idle: 1900 * time.Millisecond, expired: true},
		{name: "longer than ours", header: "timeout=60", idle: 9 * time.Second, expired: true},
		{name: "invalid", header: "timeout=soon", idle: 7 * time.Second},
		{name: "huge", header: "timeout=99999999999999999999", idle: 7 * time.Second},
		{name: "zero", header: "timeout=0", idle: 7 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &conn{lastResponse: now.Add(-tt.idle)}
			h := http.Header{}
			if tt.header != "" {
				h.Set("Keep-Alive", tt.header)
			}
			c.readIdleTimeout(h)
			require.Equal(t, tt.expired, c.expired(now, 8*time.Second))
		})
	}
}

// Guards against memory and garbage that grow with the number of open connections.
func TestIdleConnectionsHoldNoBuffers(t *testing.T) {
	p, _ := newScriptedPool(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 204 No Content\r\n\r\n")
	for _, want := range []string{"ok", ""} {
		got, err := get(t, p, http.MethodGet)
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.Len(t, p.idle, 1)
		require.Nil(t, p.idle[0].buffers)
	}
}

// Guards against responses that break off and are taken for whole ones: in the middle of the head,
// where the length may be missing, or of the body.
func TestResponseThatBreaksOffIsAnError(t *testing.T) {
	tests := []struct{ name, response string }{
		{name: "with a length", response: "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 12\r\nX-Request-Id: r\r\n\r\nhello, world"},
		{name: "in chunks", response: "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\nX-Request-Id: r\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
		{name: "after an informational one", response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nhello, world"},
		{name: "without a body", response: "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 0\r\n\r\n"},
		{name: "head of a response that ends with its connection", response: "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: r\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, _ := newScriptedPool(t, tt.response+"CUT")
			whole, err := getWhole(t, p)
			require.NoError(t, err)
			for n := range tt.response {
				p, _ := newScriptedPool(t, tt.response[:n]+"CUT")
				body, err := getWhole(t, p)
				require.Error(t, err, "%d bytes of %d, body %q of %q", n, len(tt.response), body, whole)
				p.Close()
			}
		})
	}
}

// getWhole sends a request as the entry host does, and returns the body of the response.
func getWhole(t *testing.T, p *Pool) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://target/", nil)
	require.NoError(t, err)
	res, err := p.RoundTrip(t.Context(), req, Options{Idempotent: true, AllowCloseDelimited: true})
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// Guards against a request that is sent although its target became unusable while the connection was
// being opened.
func TestRequestIsCheckedDirectlyBeforeTheSend(t *testing.T) {
	refused := errors.New("refused")
	p, accepted := newScriptedPool(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.Address().String()+"/", nil)
	require.NoError(t, err)
	_, err = p.RoundTrip(t.Context(), req, Options{MaySend: func() error { return refused }})
	require.ErrorIs(t, err, refused)
	require.False(t, MayHaveRun(err))
	require.Zero(t, p.OpenConnections())
	res, err := p.RoundTrip(t.Context(), req, Options{MaySend: func() error { return nil }})
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.LessOrEqual(t, accepted.Load(), int64(2))
}
