package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// slowApplyTime is the time that a change takes to apply on a slowed-down host with a
// sixth of a core that is also busy with requests.
const slowApplyTime = 250 * time.Millisecond

// slowHosts slows down every sixth host in the ranking; some of them are parents.
func slowHosts(f *fleet) {
	for i, address := range f.ranked() {
		if i%6 == 1 {
			f.hosts[address].applyTime.Store(int64(slowApplyTime))
		}
	}
}

// delayStoreResponses makes responses of the store to the first host arrive late, as when
// that host is too busy to read them.
func delayStoreResponses(f *fleet) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.responseDelays[f.hosts[f.ranked()[0]].cfg.Self.Name] = 2 * time.Second
}

// writeTimes holds the time at which each revision was written to the store.
type writeTimes map[store.Revision]time.Time

// latestBefore returns the highest revision that was written at or before t.
func (w writeTimes) latestBefore(t time.Time) store.Revision {
	var highest store.Revision
	for revision, at := range w {
		if !at.After(t) {
			highest = store.MaxRevision(highest, revision)
		}
	}
	return highest
}

// checkAges checks that the view of each host contains every write older than its age.
func (f *fleet) checkAges(w writeTimes) {
	now := time.Now()
	for _, h := range f.hosts {
		age, revision := h.Age(now), h.Snapshot().Revision
		expected := w.latestBefore(now.Add(-age))
		require.False(f.t, expected.After(revision), "%s reports an age of %s, but has revision %s instead of %s", h.cfg.Self.Name, age, revision, expected)
		soundAge, revision := h.SoundAge(), h.Snapshot().Revision
		expected = w.latestBefore(now.Add(-soundAge))
		require.False(f.t, expected.After(revision), "%s reports a sound age of %s, but has revision %s instead of %s", h.cfg.Self.Name, soundAge, revision, expected)
		require.Less(f.t, soundAge, age+time.Second, "%s: without suspensions both ages hardly differ", h.cfg.Self.Name)
	}
}

// A view contains every write that the store accepted before now minus the view's age.
func TestViewContainsAllWritesOlderThanItsAge(t *testing.T) {
	tests := []struct {
		name string
		// size is the size of a configuration in bytes.
		size int
		// accounts is set if the configurations have client accounts.
		accounts bool
		fault    func(f *fleet)
	}{
		{name: "no fault", size: 12_000},
		{name: "client accounts", size: 12_000, accounts: true},
		{name: "client accounts, one in six hosts applies changes slowly", size: 12_000, accounts: true, fault: slowHosts},
		{name: "client accounts, large configurations saturate the links", size: 100_000, accounts: true},
		{name: "one in six hosts applies changes slowly", size: 12_000, fault: slowHosts},
		{name: "large configurations saturate the links", size: 100_000},
		{name: "responses of the store to the first host are slow", size: 12_000, fault: delayStoreResponses},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 100)
				defer f.stop()
				if tt.fault != nil {
					tt.fault(f)
				}
				const (
					period  = 100 * time.Millisecond
					burst   = 30
					periods = 70
				)
				w := writeTimes{}
				for n := range periods {
					if n < burst {
						config := paddedConfig(2+n, tt.size)
						if tt.accounts {
							config = accountsPrefix + config
						}
						w[f.store.put("config", config)] = time.Now()
					}
					time.Sleep(period)
					f.checkAges(w)
				}
			})
		})
	}
}

// Hosts that receive or apply changes slowly do not delay configurations on the other
// hosts.
func TestSlowHostsDoNotDelayOthers(t *testing.T) {
	for _, fault := range []func(f *fleet){slowHosts, delayStoreResponses} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 100)
			defer f.stop()
			fault(f)
			f.burst(30, 12_000)
		})
	}
}

// Configurations that take a second or more to send to a few followers are active in
// time.
func TestLargeConfigurationsApplyInTime(t *testing.T) {
	for _, size := range []int{100_000, 200_000, 400_000} {
		for _, versions := range []int{1, 10} {
			for _, hosts := range []int{13, 100, 300} {
				t.Run(fmt.Sprintf("%d of %d KB on %d hosts", versions, size/1000, hosts), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(t, hosts)
						defer f.stop()
						f.burst(versions, size)
					})
				})
			}
		}
	}
}
