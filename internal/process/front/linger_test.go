package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

// lingerPair returns both ends of a connection that lingers.
func lingerPair(t *testing.T, l *lingerer) (server *lingerConn, client *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	server, ok := l.wrap(accepted).(*lingerConn)
	require.True(t, ok)
	client, ok = dialed.(*net.TCPConn)
	require.True(t, ok)
	return server, client
}

// Guards against closed connections that cut what was sent, that stay open for too long, or that keep
// their owner waiting.
func TestClosedConnectionEnds(t *testing.T) {
	response := strings.Repeat("x", 200_000)
	tests := []struct {
		name string
		// client is what the client does after it has sent bytes that are not read.
		client func(t *testing.T, c *net.TCPConn)
		// from and to bound the time until the socket is closed.
		from, to time.Duration
	}{
		{name: "client reads and closes", client: func(t *testing.T, c *net.TCPConn) {
			data, err := io.ReadAll(c)
			require.NoError(t, err)
			require.Len(t, data, len(response))
			_ = c.Close()
		}, to: lingerTime},
		{name: "client reads and keeps its side open", client: func(t *testing.T, c *net.TCPConn) {
			data, err := io.ReadAll(c)
			require.NoError(t, err)
			require.Len(t, data, len(response))
		}, from: lingerTime / 2, to: 2 * lingerTime},
		{name: "client reads and sends on", client: func(t *testing.T, c *net.TCPConn) {
			go func() {
				for {
					if _, err := c.Write(make([]byte, 64<<10)); err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
			}()
			data, err := io.ReadAll(c)
			require.NoError(t, err)
			require.Len(t, data, len(response))
		}, from: lingerTime / 2, to: 2 * lingerTime},
		{name: "client sends without end", client: func(_ *testing.T, c *net.TCPConn) {
			for {
				if _, err := c.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}, to: 2 * lingerTime},
		{name: "client does not read", client: func(*testing.T, *net.TCPConn) {}, from: lingerTime / 2, to: 2 * lingerTime},
		{name: "client resets", client: func(_ *testing.T, c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}, to: lingerTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g := group.New(t.Context())
			server, client := lingerPair(t, newLingerer(g))
			_, err := io.WriteString(client, "bytes that are not read")
			require.NoError(t, err)
			go func() { _, _ = io.WriteString(server, response[len(response)/2:]) }()
			_, err = io.WriteString(server, response[:len(response)/2])
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)

			ended := make(chan struct{})
			start := time.Now()
			_ = server.Close()
			require.Less(t, time.Since(start), lingerStep, "the owner does not wait")
			server.afterClose(func() { close(ended) })
			_, err = server.Read(make([]byte, 1))
			require.ErrorIs(t, err, net.ErrClosed)
			require.Less(t, time.Since(start), lingerStep, "a later read of the owner does not wait")
			tt.client(t, client)
			<-ended
			require.GreaterOrEqual(t, time.Since(start), tt.from)
			require.LessOrEqual(t, time.Since(start), tt.to)
		})
	}
}

// Guards against connections that linger although nothing can be lost.
func TestConnectionThatLosesNothingIsClosedAtOnce(t *testing.T) {
	tests := []struct {
		name  string
		begin func(t *testing.T, server *lingerConn, client *net.TCPConn)
	}{
		{name: "nothing was sent", begin: func(*testing.T, *lingerConn, *net.TCPConn) {}},
		{name: "client has closed", begin: func(t *testing.T, server *lingerConn, client *net.TCPConn) {
			_, err := io.WriteString(server, "response")
			require.NoError(t, err)
			_ = client.CloseWrite()
			_, err = server.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
		}},
		{name: "sent long ago", begin: func(t *testing.T, server *lingerConn, _ *net.TCPConn) {
			_, err := io.WriteString(server, "response")
			require.NoError(t, err)
			server.written = time.Now().Add(-lingerTime)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server, client := lingerPair(t, newLingerer(group.New(t.Context())))
			tt.begin(t, server, client)
			ended := false
			server.afterClose(func() { ended = true })
			require.NoError(t, server.Close())
			require.True(t, ended)
		})
	}
}

// Guards against a read of the owner that takes bytes of a connection that lingers, or waits for them.
func TestReadInProgressEndsWhenItsConnectionIsClosed(t *testing.T) {
	g := group.New(t.Context())
	server, _ := lingerPair(t, newLingerer(g))
	_, err := io.WriteString(server, "response")
	require.NoError(t, err)
	ended := make(chan error, 1)
	g.Go("read", func(context.Context) error {
		_, err := server.Read(make([]byte, 1))
		ended <- err
		return nil
	})
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, server.Close())
	require.ErrorIs(t, server.SetReadDeadline(time.Time{}), net.ErrClosed)
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(lingerTime / 2):
		require.Fail(t, "the read goes on")
	}
}

// Guards against crowds that hold connections open: their clients neither read nor close.
func TestCrowdOfClosedConnectionsIsBounded(t *testing.T) {
	t.Run("number", func(t *testing.T) {
		l := newLingerer(group.New(t.Context()))
		var ended atomic.Int64
		for range maxLingering + 20 {
			server, _ := lingerPair(t, l)
			_, err := io.WriteString(server, "response")
			require.NoError(t, err)
			require.NoError(t, server.Close())
			server.afterClose(func() { ended.Add(1) })
		}
		require.Eventually(t, func() bool { return ended.Load() >= 20 }, lingerTime/2, time.Millisecond)
	})
	t.Run("budget", func(t *testing.T) {
		g := group.New(t.Context())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		var minutes atomic.Int64
		budget := resource.New(resource.Limits{Connections: 4}, resource.Config{Now: func() time.Time { return time.Unix(0, 0).Add(time.Duration(minutes.Load()) * time.Minute) }, OnEnd: func(resource.End) {}, OnRefuse: func(string) {}})
		conns := NewConnections(budget)
		l := conns.Listen(NewStrictListener(NewLingeringListener(listener, g), nil))
		for n := range 12 {
			client, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			accepted, err := l.Accept()
			require.NoError(t, err, "connection %d", n)
			_, err = io.WriteString(accepted, "response")
			require.NoError(t, err)
			_ = accepted.Close()
			conns.Track(accepted, http.StateClosed)
			minutes.Add(1)
			require.LessOrEqual(t, budget.Usage().Connections, 5)
		}
	})
}
