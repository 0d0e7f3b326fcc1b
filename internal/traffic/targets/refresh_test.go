package targets

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/relay"
)

// plainReader takes every response for that of the request.
type plainReader struct{}

func (plainReader) MatchesRequest(http.Header, string) bool { return true }
func (plainReader) ReadHeader(*http.Response) ResponseInfo  { return ResponseInfo{} }

// Guards against a new connection for each request that is not idempotent, while idle ones work.
func TestRequestThatIsNotIdempotentUsesAnIdleConnectionThatResponds(t *testing.T) {
	const idle = maxNonIdempotentIdle + 50*time.Millisecond
	tests := []struct {
		name string
		// idle is the time between two requests, and probes the number that may be sent.
		idle   time.Duration
		probes int
		// silent makes the target respond to no probe.
		silent      bool
		connections int64
		wantProbes  int64
	}{
		{name: "in quick succession", probes: 1, connections: 1},
		{name: "idle for some time", idle: idle, probes: 1, connections: 1, wantProbes: 1},
		{name: "no probe is left", idle: idle, connections: 2},
		{name: "the connection is silent", idle: idle, probes: 1, silent: true, connections: 2, wantProbes: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var connections, probes atomic.Int64
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/health" {
					return
				}
				probes.Add(1)
				if tt.silent {
					<-r.Context().Done()
				}
			}))
			server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					connections.Add(1)
				}
			}
			server.Start()
			defer server.Close()
			g := group.New(t.Context())
			defer func() { _ = g.Stop() }()
			left := tt.probes
			log := logrus.New()
			log.SetOutput(io.Discard)
			l := NewLinks(Config{Reader: plainReader{}, Log: logrus.NewEntry(log), SpendProbe: func(string) bool { left--; return left >= 0 }}, g)
			target := roster.Target{ID: "t-1", Service: "s", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
			table := routing.NewTable(&routing.Config{Services: map[string]routing.Service{"s": {Name: "s", HealthPath: "/health"}}})
			l.SetTargets(&directory.Snapshot{Table: table, MaxHosts: 1, Targets: map[string][]roster.ActiveTarget{"s": {{Target: target}}}}, nil)
			link, ok := l.Find("t-1")
			require.True(t, ok)
			for range 2 {
				l.Refresh(t.Context(), link)
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://target/book", http.NoBody)
				require.NoError(t, err)
				res, err := link.Pool.RoundTrip(t.Context(), req, relay.Options{})
				require.NoError(t, err)
				require.NoError(t, res.Body.Close())
				time.Sleep(tt.idle)
			}
			require.Equal(t, tt.connections, connections.Load())
			require.Equal(t, tt.wantProbes, probes.Load())
		})
	}
}
