package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

// stoppingServer is a server that can be stopped without dropping a request.
type stoppingServer struct {
	address string
	l       *StoppableListener
	conns   *Connections
	server  *http.Server
	g       *group.Group
	stopped atomic.Bool
}

func newStoppingServer(t *testing.T, handler http.HandlerFunc) *stoppingServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &stoppingServer{address: inner.Addr().String(), l: NewStoppableListener(inner), conns: NewConnections(nil), g: group.New(t.Context())}
	s.server = &http.Server{ConnState: s.conns.Track, ConnContext: s.conns.Context, Handler: s.conns.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler(w, r)
		if s.stopped.Load() {
			w.Header().Set("Connection", "close")
		}
	}), logrus.NewEntry(logrus.New()))}
	s.g.Go("serve", func(context.Context) error {
		_ = s.server.Serve(s.conns.Listen(NewStrictListener(s.l, nil)))
		return nil
	})
	return s
}

// stop stops the server and returns when no connection is left.
func (s *stoppingServer) stop(t *testing.T) {
	s.stopped.Store(true)
	require.NoError(t, s.l.Stop())
	require.Eventually(t, func() bool { return s.conns.CloseIdle(time.Now()) == 0 }, 5*time.Second, time.Millisecond)
	require.NoError(t, s.server.Shutdown(t.Context()))
	require.NoError(t, s.g.Stop())
}

// Guards against requests that are read while their server stops, and dropped: by the time at which
// the request is complete, the listener accepts no connections any more.
func TestRequestsThatAreReadWhileAServerStopsAreServed(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	tests := []struct {
		name string
		// before is sent before the server stops, and rest while it does.
		before, rest string
		// kept is set for the second request on a connection.
		kept   bool
		served bool
	}{
		{name: "new connection", rest: head, served: true},
		{name: "new connection, request has begun", before: head[:20], rest: head[20:], served: true},
		{name: "kept connection, request has begun", kept: true, before: head[:20], rest: head[20:], served: true},
		{name: "kept connection, one byte was read", kept: true, before: head[:1], rest: head[1:], served: true},
		{name: "kept connection", kept: true, rest: head},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var runs atomic.Int64
			s := newStoppingServer(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			nc, err := net.Dial("tcp", s.address)
			require.NoError(t, err)
			defer nc.Close()
			br := bufio.NewReader(nc)
			exchange := func(text string) (*http.Response, error) {
				if _, err := io.WriteString(nc, text); err != nil {
					return nil, err
				}
				return http.ReadResponse(br, nil)
			}
			if tt.kept {
				_, err := exchange(head)
				require.NoError(t, err)
			}
			_, err = io.WriteString(nc, tt.before)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
			unused, active := s.conns.Count()
			require.Equal(t, !tt.kept && tt.before == "", unused == 1)
			require.Equal(t, tt.before != "", active == 1)

			var wg sync.WaitGroup
			wg.Go(func() { s.stop(t) })
			time.Sleep(50 * time.Millisecond)
			_, err = net.Dial("tcp", s.address)
			require.Error(t, err, "no connection is accepted any more")
			served := runs.Load()
			res, err := exchange(tt.rest)
			if tt.served {
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, res.StatusCode)
				require.True(t, res.Close)
			} else {
				require.Error(t, err, "an idle connection is closed")
				require.Equal(t, served, runs.Load())
			}
			wg.Wait()
		})
	}
}

func TestUnusedConnectionsAreClosedAfterAWhile(t *testing.T) {
	s := newStoppingServer(t, func(http.ResponseWriter, *http.Request) {})
	nc, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	defer nc.Close()
	require.Eventually(t, func() bool { unused, _ := s.conns.Count(); return unused == 1 }, time.Second, time.Millisecond)
	s.conns.CloseIdle(time.Now())
	require.Equal(t, 1, s.conns.CloseIdle(time.Now()), "it may be about to carry a request")
	s.conns.CloseIdle(time.Now().Add(newConnectionTime))
	require.Eventually(t, func() bool { return s.conns.CloseIdle(time.Now()) == 0 }, time.Second, time.Millisecond)
	_, err = nc.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	s.stop(t)
}

// Guards against a request that is handled although its connection was closed as idle.
func TestRequestsThatCrossTheCloseOfTheirConnectionDoNotRun(t *testing.T) {
	const (
		rounds  = 20
		clients = 40
		spread  = 400 * time.Microsecond
	)
	runs, crossed := 0, 0
	for range rounds {
		var handled atomic.Int64
		s := newStoppingServer(t, func(http.ResponseWriter, *http.Request) { handled.Add(1) })
		var answered, lost atomic.Int64
		var wg sync.WaitGroup
		begin := time.Now().Add(20 * time.Millisecond)
		for n := range clients {
			nc, err := net.Dial("tcp", s.address)
			require.NoError(t, err)
			br := bufio.NewReader(nc)
			exchange := func() {
				_, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
				var res *http.Response
				if err == nil {
					res, err = http.ReadResponse(br, nil)
				}
				if err != nil {
					lost.Add(1)
					return
				}
				_ = res.Body.Close()
				answered.Add(1)
			}
			exchange()
			wg.Go(func() {
				defer nc.Close()
				time.Sleep(time.Until(begin.Add(spread * time.Duration(n) / clients)))
				exchange()
			})
		}
		time.Sleep(time.Until(begin.Add(spread / 2)))
		s.stop(t)
		wg.Wait()
		require.Equal(t, handled.Load(), answered.Load(), "requests that ran without a response")
		runs += int(answered.Load()) - clients
		crossed += int(lost.Load())
	}
	t.Logf("%d answered, %d crossed the close", runs, crossed)
}

// Guards against servers that lose track of a body and take the rest of it for a request.
func TestBytesOfABodyAreNotHandledAsARequest(t *testing.T) {
	const inner = "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	var paths []string
	var mu sync.Mutex
	conns := NewConnections(nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ConnState: conns.Track, ConnContext: conns.Context, Handler: conns.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		paths = append(paths, r.URL.Path)
		mu.Unlock()
		// A body that is replaced and closed: the server can't tell that most of it is unread.
		original := r.Body
		r.Body = http.NoBody
		_ = original.Close()
	}), logrus.NewEntry(discardLogger()))}
	g := group.New(t.Context())
	g.Go("serve", func(context.Context) error {
		_ = server.Serve(conns.Listen(NewStrictListener(l, nil)))
		return nil
	})
	t.Cleanup(func() {
		_ = server.Close()
		_ = g.Stop()
	})
	nc, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer nc.Close()
	body := strings.Repeat(inner, 1<<20/len(inner))
	_, _ = fmt.Fprintf(nc, "POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_, _ = io.Copy(io.Discard, nc)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, []string{"/upload"}, paths)
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
