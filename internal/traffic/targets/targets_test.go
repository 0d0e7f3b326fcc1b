package targets

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

func TestConnectionsOfAllHostsStayWithinTheLimitAsTheFleetGrows(t *testing.T) {
	g := group.New(t.Context())
	defer func() { _ = g.Stop() }()
	l := NewLinks(Config{}, g)
	list := []roster.ActiveTarget{{Target: roster.Target{ID: "t-1", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80")}}}
	for _, tt := range []struct{ hosts, connections, want int }{{1, 200, 160}, {10, 200, 16}, {10, 100, 8}, {100, 200, minConnections}} {
		table := routing.NewTable(&routing.Config{Services: map[string]routing.Service{"s": {Name: "s", MaxConnections: tt.connections}}})
		l.SetTargets(&directory.Snapshot{Table: table, MaxHosts: tt.hosts, Targets: map[string][]roster.ActiveTarget{"s": list}}, nil)
		link, ok := l.Find("t-1")
		require.True(t, ok)
		require.Equal(t, tt.want, link.Pool.MaxConnections())
	}
}
