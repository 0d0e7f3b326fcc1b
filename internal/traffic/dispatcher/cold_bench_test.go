package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
)

// BenchmarkSnapshotWithOneChangedEntry measures the update of a host by a snapshot of 404 targets one of
// which has written an entry, with and without a rate of cold targets.
func BenchmarkSnapshotWithOneChangedEntry(b *testing.B) {
	for _, perSecond := range []float64{0, 3.6} {
		b.Run(fmt.Sprintf("%g a second", perSecond), func(b *testing.B) {
			d := New(Config{Self: "host-0", Placement: placement.DefaultConfig(), ProbesPerSecond: 60}, nil)
			s := &directory.Snapshot{Hosts: map[string]directory.Host{}, Targets: map[string][]roster.ActiveTarget{}, MaxHosts: 146, HostChanges: 1}
			for n := range 146 {
				name := fmt.Sprintf("host-%d", n)
				s.Hosts[name] = directory.Host{Name: name, Domain: fmt.Sprintf("d-%d", n%3), PeerAddress: address(n)}
			}
			s.Table = routing.NewTable(&routing.Config{Services: map[string]routing.Service{"s": {Name: "s", ColdPerSecond: perSecond, ColdTime: 8 * time.Second}}})
			long := time.Now().Add(-time.Hour)
			for n := range 404 {
				s.Targets["s"] = append(s.Targets["s"], roster.ActiveTarget{
					Target: roster.Target{ID: fmt.Sprintf("t-%d", n), Service: "s", Domain: fmt.Sprintf("d-%d", n%3), Slots: 3}, ColdUntil: long, UnknownSince: long,
				})
			}
			d.SetSnapshot(s, nil)
			for n := 0; b.Loop(); n++ {
				s.Targets["s"][n%404].ColdUntil = long.Add(time.Duration(n))
				d.SetSnapshot(s, nil)
			}
		})
	}
}
