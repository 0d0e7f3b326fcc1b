package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
)

// homeFleet returns a snapshot of hosts and targets that are spread over two domains.
func homeFleet(hosts, targets int) *directory.Snapshot {
	s := &directory.Snapshot{Hosts: map[string]directory.Host{}, Targets: map[string][]roster.ActiveTarget{}, MaxHosts: hosts, HostChanges: 1}
	for n := range hosts {
		name := fmt.Sprintf("host-%d", n)
		s.Hosts[name] = directory.Host{Name: name, Domain: fmt.Sprintf("d-%d", n%2), PeerAddress: address(n)}
	}
	for n := range targets {
		s.Targets["s"] = append(s.Targets["s"], roster.ActiveTarget{Target: roster.Target{ID: fmt.Sprintf("t-%d", n), Service: "s", Domain: fmt.Sprintf("d-%d", n%2), Slots: 2}})
	}
	return s
}

// Guards against hosts that open connections to all targets of their domain.
func TestHostsKeepToOneCellWhileLoadsAreAlike(t *testing.T) {
	const hosts, targets = 60, 120
	s := homeFleet(hosts, targets)
	users := map[string]int{}
	for n := range hosts {
		self := fmt.Sprintf("host-%d", n)
		d := New(Config{Self: self, Placement: placement.DefaultConfig(), ProbesPerSecond: 60, Log: logrus.NewEntry(logrus.New())}, group.New(t.Context()))
		d.SetSnapshot(s, nil)
		chosen := map[string]int{}
		now := time.Now()
		for range 200 {
			chosen[d.bestCell(now, Request{Service: "s", Domain: s.Hosts[self].Domain}).id.key]++
		}
		require.Len(t, chosen, 1)
		for key := range chosen {
			require.Contains(t, key, s.Hosts[self].Domain)
			users[key]++
			home := d.cells[key]
			if home.dispatchedBy(self) {
				// This host measures its load.
				continue
			}
			home.utilization, home.loadTime = unknownLoad+awayCost+2*loadJitter, now
			other := d.bestCell(now, Request{Service: "s", Domain: s.Hosts[self].Domain})
			require.NotContains(t, chosen, other.id.key, "a cell with a higher load is left")
		}
	}
	for key, n := range users {
		require.InDelta(t, float64(hosts)/float64(len(users)), float64(n), 8, key)
	}
	require.Greater(t, len(users), 4)
}
