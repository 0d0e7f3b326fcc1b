package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against targets with an invalid status: a host waited until its timeout, took what followed on
// the connection for the response, or passed the status on.
func TestInvalidStatusEndsTheExchange(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
	tests := []struct {
		status string
		valid  bool
	}{
		{status: "000"}, {status: "001"}, {status: "099"}, {status: "+20"}, {status: "-20"}, {status: "20"}, {status: "2000"}, {status: "0x1"},
		{status: "600"}, {status: "999"}, {status: ""}, {status: " 200"}, {status: "2\t0"},
		{status: "200", valid: true}, {status: "599", valid: true}, {status: "404", valid: true},
	}
	for _, tt := range tests {
		for _, form := range []string{" Reason\r\nContent-Length: 0\r\n\r\n" + second, "\r\n", "\r\nContent-Length: 5\r\n\r\nfirst"} {
			if tt.valid && !strings.Contains(form, "\r\n\r\n") {
				continue
			}
			t.Run(tt.status+form, func(t *testing.T) {
				p, accepted := newScriptedPool(t, "HTTP/1.1 "+tt.status+form, second, second)
				started := time.Now()
				body, err := get(t, p, http.MethodGet)
				if tt.valid {
					require.NoError(t, err)
					require.NotEqual(t, "second", body)
					return
				}
				require.ErrorIs(t, err, ErrInvalidStatus)
				require.True(t, MayHaveRun(err))
				require.Less(t, time.Since(started), 10*time.Second, "the host does not wait for more")
				_, err = get(t, p, http.MethodGet)
				require.NoError(t, err)
				require.EqualValues(t, 2, accepted.Load(), "the connection is closed")
			})
		}
	}
}

// Guards against the body of a response that must not have one, which would be taken for the response to
// the next request on the connection if it arrives later.
func TestConnectionIsNotReusedAfterAHiddenBody(t *testing.T) {
	tests := []struct {
		name, header string
		reused       bool
	}{
		{name: "204", header: "HTTP/1.1 204 No Content\r\n\r\n", reused: true},
		{name: "204 with a length", header: "HTTP/1.1 204 No Content\r\nContent-Length: 45\r\n\r\n"},
		{name: "204 with length 0", header: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", reused: true},
		{name: "204 in chunks", header: "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{name: "304", header: "HTTP/1.1 304 Not Modified\r\n\r\n", reused: true},
		{name: "304 with a length", header: "HTTP/1.1 304 Not Modified\r\nContent-Length: 45\r\n\r\n", reused: true},
		{name: "304 with a length and a body", header: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\nhello"},
		{name: "304 in chunks", header: "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, accepted := newScriptedPool(t, tt.header, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			body, err := get(t, p, http.MethodGet)
			require.NoError(t, err)
			require.Empty(t, body)
			if tt.reused {
				body, err = get(t, p, http.MethodGet)
				require.NoError(t, err)
				require.Equal(t, "ok", body)
				require.EqualValues(t, 1, accepted.Load())
				return
			}
			require.Zero(t, p.open, "the connection is closed")
		})
	}
}

// Guards against a body that follows a 304 after its connection was returned to the pool, and against
// connections without a socket, where that can't be seen.
func TestLateBodyOfA304IsNotTakenForAResponse(t *testing.T) {
	const header = "HTTP/1.1 304 Not Modified\r\nContent-Length: 45\r\n\r\n"
	p, accepted := newScriptedPool(t, header, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	dial, conns := p.cfg.Dial, make(chan net.Conn, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(nc))
		_, _ = io.WriteString(nc, header)
		conns <- nc
	}()
	p.cfg.Dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		return dial(ctx, netip.MustParseAddrPort(l.Addr().String()))
	}
	_, err = get(t, p, http.MethodGet)
	require.NoError(t, err)
	require.True(t, p.HasIdle())
	late := <-conns
	defer late.Close()
	_, err = io.WriteString(late, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
	require.NoError(t, err)
	p.mu.Lock()
	idle := p.idle[0]
	p.mu.Unlock()
	require.Eventually(t, func() bool { return !idle.isIdle() }, 5*time.Second, time.Millisecond)
	p.cfg.Dial = dial
	body, err := get(t, p, http.MethodGet)
	require.NoError(t, err)
	require.Empty(t, body, "the first response of the script")
	require.EqualValues(t, 1, accepted.Load())

	near, far := net.Pipe()
	defer far.Close()
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(far))
		_, _ = io.WriteString(far, header)
	}()
	p.DropIdle()
	p.cfg.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return near, nil }
	_, err = get(t, p, http.MethodGet)
	require.NoError(t, err)
	require.False(t, p.HasIdle())
}

// Guards against informational responses that are few but long.
func TestInformationalResponsesAreBoundedInBytes(t *testing.T) {
	long := "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 12<<10) + "\r\n\r\n"
	p, _ := newScriptedPool(t, strings.Repeat(long, 3)+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	_, err := get(t, p, http.MethodGet)
	require.ErrorIs(t, err, ErrTooManyInformational)
}

// Guards against an exchange that goes on as long as a target sends informational responses.
func TestInformationalResponsesDoNotOutlastTheirRequest(t *testing.T) {
	p, _ := newScriptedPool(t)
	near, far := net.Pipe()
	defer far.Close()
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(far))
		for {
			if _, err := io.WriteString(far, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
				return
			}
			time.Sleep(40 * time.Millisecond)
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://target/", nil)
	require.NoError(t, err)
	_, err = p.RoundTrip(ctx, req, Options{Dial: func(context.Context) (net.Conn, error) { return near, nil }}) //nolint:bodyclose // There is no response.
	require.True(t, IsTimeout(err) || ctx.Err() != nil, "%v", err)
}
