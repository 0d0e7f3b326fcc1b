package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
)

// watchDepartures calls CancelDeparted as a process does.
func (s *stoppingServer) watchDepartures() {
	s.g.Go("departures", func(ctx context.Context) error {
		for ctx.Err() == nil {
			timer.Sleep(ctx, DeparturePeriod)
			s.conns.CancelDeparted(time.Now())
		}
		return nil
	})
}

const (
	departingGet    = "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"
	departingUpload = "POST /first HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n"
	// departureBound is the time after the close of a client after which its request must be cancelled.
	departureBound = 500 * time.Millisecond
)

// Guards against requests that go on after their client has left, because no read of the server is in
// progress that would notice it, and against further requests of such a client that are started.
func TestRequestOfAClientThatLeavesIsCancelled(t *testing.T) {
	further := strings.Replace(departingGet, "first", "further", 1)
	tests := []struct {
		name, first, behind string
		reset               bool
	}{
		{name: "nothing behind", first: departingGet},
		{name: "request behind", first: departingGet, behind: further},
		{name: "first byte of a request behind", first: departingGet, behind: further[:1]},
		{name: "half a header behind", first: departingGet, behind: further[:20]},
		{name: "many requests behind", first: departingGet, behind: strings.Repeat(further, 200)},
		{name: "request at once", first: departingGet + further},
		{name: "two requests at once and one behind", first: departingGet + further, behind: further},
		{name: "request behind, reset", first: departingGet, behind: further, reset: true},
		{name: "body that is not read", first: departingUpload, behind: strings.Repeat("x", 30_000)},
		{name: "body that is not read, reset", first: departingUpload, behind: strings.Repeat("x", 30_000), reset: true},
		{name: "body that is not read, at once", first: departingUpload + strings.Repeat("x", 30_000)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			began, cancelled, others := make(chan struct{}), make(chan time.Time, 1), make(chan string, 1000)
			s := newStoppingServer(t, func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/first" {
					others <- r.URL.Path
					return
				}
				close(began)
				<-r.Context().Done()
				cancelled <- time.Now()
				panic(http.ErrAbortHandler)
			})
			s.watchDepartures()
			nc, err := net.Dial("tcp", s.address)
			require.NoError(t, err)
			_, err = io.WriteString(nc, tt.first)
			require.NoError(t, err)
			<-began
			time.Sleep(2 * DeparturePeriod)
			_, err = io.WriteString(nc, tt.behind)
			require.NoError(t, err)
			time.Sleep(2 * DeparturePeriod)
			require.Empty(t, cancelled, "the client has not left yet")
			if tt.reset {
				require.NoError(t, nc.(*net.TCPConn).SetLinger(0))
			}
			left := time.Now()
			require.NoError(t, nc.Close())
			select {
			case at := <-cancelled:
				require.Less(t, at.Sub(left), departureBound)
			case <-time.After(5 * time.Second):
				require.Fail(t, "the request is not cancelled")
			}
			s.stop(t)
			require.Empty(t, others)
		})
	}
}

// Guards against requests that are cancelled although their client waits for the response.
func TestRequestsOfAClientThatStaysAreServed(t *testing.T) {
	const requests = 5
	s := newStoppingServer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * DeparturePeriod)
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "served")
	})
	s.watchDepartures()
	nc, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	defer nc.Close()
	_, err = io.WriteString(nc, strings.Repeat(departingGet, 2))
	require.NoError(t, err)
	time.Sleep(DeparturePeriod)
	_, err = io.WriteString(nc, strings.Repeat(departingGet, requests-2))
	require.NoError(t, err)
	in := bufio.NewReader(nc)
	for range requests {
		res, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		require.Equal(t, "served", string(body))
	}
	require.NoError(t, nc.Close())
	s.stop(t)
}

// BenchmarkCancelDeparted measures one check of connections whose requests run, a hundredth of them unattended.
func BenchmarkCancelDeparted(b *testing.B) {
	const connections = 5000
	c := NewConnections(nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer l.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	require.NoError(b, err)
	defer nc.Close()
	for n := range connections {
		tc := &trackedConn{raw: rawConnOf(nc), started: 1}
		tc.unattended.Store(n%100 == 0)
		c.open[tc] = true
	}
	b.ReportAllocs()
	for b.Loop() {
		c.CancelDeparted(time.Time{})
	}
}
