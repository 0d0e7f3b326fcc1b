package targets

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/reachability"
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

func TestBusyTargetsAreNotTakenForALostLink(t *testing.T) {
	type probe struct {
		viaPeer  bool
		progress reachability.Progress
		ended    bool
	}
	tests := []struct {
		name string
		// probes are the reports on each of two targets.
		probes []probe
		want   bool
	}{
		{name: "targets respond late", probes: []probe{{progress: reachability.Connected}, {viaPeer: true, progress: reachability.Responded, ended: true}}, want: true},
		{name: "connections are refused", probes: []probe{{ended: true}, {viaPeer: true, progress: reachability.Responded, ended: true}}},
		{name: "connections hang", probes: []probe{{viaPeer: true, progress: reachability.Responded, ended: true}}},
		{name: "connections are accepted and reset", probes: []probe{{progress: reachability.Connected, ended: true}, {viaPeer: true, progress: reachability.Responded, ended: true}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &checkState{checks: make([]reachability.Check, 2), directEnded: make([]bool, 2), known: 2}
			for n := range c.checks {
				for _, p := range tt.probes {
					c.add(report{index: n, viaPeer: p.viaPeer, progress: p.progress, ended: p.ended})
				}
			}
			require.Equal(t, reachability.CutOff, reachability.Judge(c.checks, c.known))
			require.Equal(t, tt.want, c.onlySilent())
		})
	}
}
