package dispatcher

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
)

// BenchmarkSet measures applying a snapshot of 300 hosts and 3,000 targets with a new
// change count of the targets.
func BenchmarkSet(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &directory.Snapshot{Hosts: map[string]directory.Host{}, Targets: map[string][]roster.ActiveTarget{}, MaxHosts: 300, HostChanges: 1}
	for n := range 300 {
		name := fmt.Sprintf("host-%d", n)
		s.Hosts[name] = directory.Host{Name: name, Domain: fmt.Sprintf("d-%d", n%3), PeerAddress: address(n % 250)}
	}
	for n := range 3000 {
		service := fmt.Sprintf("s-%d", n%3)
		s.Targets[service] = append(s.Targets[service], roster.ActiveTarget{Target: roster.Target{ID: fmt.Sprintf("t-%d", n), Service: service, Domain: fmt.Sprintf("d-%d", n%3), Slots: 2}})
	}
	d := New(Config{Self: "host-0", Placement: placement.DefaultConfig(), ProbesPerSecond: 60, Log: logrus.NewEntry(log)}, group.New(b.Context()))
	b.ReportAllocs()
	for b.Loop() {
		next := *s
		next.TargetChanges++
		d.SetSnapshot(&next, nil)
	}
}
