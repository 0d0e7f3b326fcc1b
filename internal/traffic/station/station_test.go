package station

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatch"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

var cellID = route.CellID{Pool: "cottages", Domain: "a"}

// newStation returns a station with one cell that holds a target per address.
func newStation(t *testing.T, addresses ...netip.AddrPort) *Station {
	t.Helper()
	c := catalog.New()
	c.Services["search"] = catalog.Service{Name: "search", Partner: "exchange", Pool: cellID.Pool, Share: 1}
	pool := catalog.Pool{Name: cellID.Pool}
	for i, address := range addresses {
		name := string(rune('a'+i)) + "-target"
		pool.Targets = append(pool.Targets, catalog.Target{Name: name, Address: address, Domain: cellID.Domain, Slots: 2, Connections: 10})
	}
	c.Pools[pool.Name] = pool
	s := New(Config{Cell: dispatch.DefaultConfig()}, group.New(context.Background()))
	s.SetPools(time.Now(), c, nil)
	return s
}

func addressOf(t *testing.T, server *httptest.Server) netip.AddrPort {
	t.Helper()
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func newCall() *call.Call {
	r := httptest.NewRequest(http.MethodGet, "http://search.test/x", nil)
	return &call.Call{
		ID: "1", Service: "search", Pool: cellID.Pool, Kind: "search", Partner: "exchange", Weight: 1,
		Idempotent: true, Deadline: time.Now().Add(time.Minute), Request: r, IsBuffered: true,
	}
}

func TestUnreachableTargetIsEjectedAfterFewFailures(t *testing.T) {
	alive := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	s := newStation(t, refusingAddress(t), addressOf(t, alive))
	failures := 0
	for range 50 {
		result := s.Do(t.Context(), cellID, newCall())
		if result.Outcome != call.OutcomeRan {
			require.Equal(t, call.OutcomeNotRun, result.Outcome)
			require.True(t, result.Failed)
			failures++
		}
	}
	require.LessOrEqual(t, failures, dispatch.DefaultConfig().EjectAfter+1)
}

func TestTruncatedResponseIsNotForwarded(t *testing.T) {
	truncating := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	}))
	s := newStation(t, addressOf(t, truncating))
	result := s.Do(t.Context(), cellID, newCall())
	require.Equal(t, call.OutcomeUnknown, result.Outcome)
	require.Nil(t, result.Response)
	require.Equal(t, 2, s.Load(time.Now(), cellID).Free, "the slot must be released")
}

func TestDrainingTargetIsReported(t *testing.T) {
	draining := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(call.HeaderNotRun, notRunDraining)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	s := newStation(t, addressOf(t, draining))
	var reported []string
	s.cfg.OnDraining = func(target string) { reported = append(reported, target) }
	result := s.Do(t.Context(), cellID, newCall())
	require.Equal(t, call.OutcomeNotRun, result.Outcome)
	require.Equal(t, []string{"a-target"}, reported)
}

func TestQueuedCallEndsWhenItsContextIsCancelled(t *testing.T) {
	release := make(chan struct{})
	stuck := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	s := newStation(t, addressOf(t, stuck))
	g := group.New(t.Context())
	for range 2 {
		g.Go("busy", func(ctx context.Context) error {
			s.Do(ctx, cellID, newCall())
			return nil
		})
	}
	require.Eventually(t, func() bool { return s.Load(time.Now(), cellID).Free == 0 }, 5*time.Second, time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	g.Go("waiting", func(context.Context) error {
		result := s.Do(ctx, cellID, newCall())
		require.Equal(t, call.OutcomeNotRun, result.Outcome)
		return nil
	})
	require.Eventually(t, func() bool { return s.Load(time.Now(), cellID).Waiting == 1 }, 5*time.Second, time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return s.Load(time.Now(), cellID).Waiting == 0 }, 5*time.Second, time.Millisecond)
	close(release)
	require.NoError(t, g.Wait())
}
