package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// turnAway makes the store turn away just the hosts with these addresses.
func (f *fleet) turnAway(addresses []string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	clear(f.store.rejected)
	for _, address := range addresses {
		f.store.rejected[f.hosts[address].cfg.Self.Name] = true
	}
}

// Guards against reads that grow with the fleet while the store turns a part of the hosts away.
func TestStoreReadsDoNotGrowWithFleetWhileTheStoreTurnsHostsAway(t *testing.T) {
	const (
		seconds = 9
		all     = 1 << 10
	)
	tests := []struct {
		name string
		// rejected is the number of hosts that the store turns away, the first of the ranking.
		rejected int
		// readsPerSecond bounds the reads of a fleet of any size. While all four watchers are turned
		// away, their own attempts count too.
		readsPerSecond int
	}{
		{name: "the first", rejected: 1, readsPerSecond: 10},
		{name: "the first two", rejected: 2, readsPerSecond: 10},
		{name: "the first four", rejected: 4, readsPerSecond: 20},
		{name: "the first eight", rejected: 8, readsPerSecond: 20},
		{name: "all", rejected: all, readsPerSecond: 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, hosts := range []int{13, 300} {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, hosts)
					defer f.stop()
					f.turnAway(f.ranked()[:min(tt.rejected, hosts)])
					before := f.store.total()
					time.Sleep(seconds * time.Second)
					reads := f.store.total() - before
					t.Logf("%d hosts: %d reads in %d s", hosts, reads, seconds)
					require.LessOrEqual(t, reads, tt.readsPerSecond*seconds)
					f.turnAway(nil)
					f.store.put("config", "2")
					time.Sleep(time.Second)
					for _, h := range f.hosts {
						require.EqualValues(t, 2, h.Snapshot().Table.Config.Version, "one second after the store is back")
					}
				})
			}
		})
	}
}

// Guards against hosts that wait for others to read the store, though nobody passes on what these read.
func TestConfigurationsApplyInTimeWhileTheStoreTurnsHostsAway(t *testing.T) {
	const configApply = 3 * time.Second
	for _, rejected := range []int{1, 4, 8, 100, 300} {
		t.Run(fmt.Sprint(rejected), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 300)
				defer f.stop()
				ranked := f.ranked()
				f.turnAway(ranked[:rejected])
				for version := 2; version < 5; version++ {
					time.Sleep(3 * time.Second)
					f.store.put("config", fmt.Sprint(version))
					time.Sleep(configApply)
					late := 0
					for _, address := range ranked[rejected:] {
						if f.hosts[address].Snapshot().Table.Config.Version < uint64(version) {
							late++
						}
					}
					require.Zero(t, late, "of the hosts that the store serves, version %d", version)
				}
				f.turnAway(nil)
				f.store.put("config", "9")
				time.Sleep(time.Second)
				for _, h := range f.hosts {
					require.EqualValues(t, 9, h.Snapshot().Table.Config.Version, "one second after the store serves all again")
				}
			})
		})
	}
}
