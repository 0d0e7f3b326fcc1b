package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// slowApply is the time that a change takes on a host of a sixth of a core that is slowed
// down and busy with requests.
const slowApply = 250 * time.Millisecond

// slowHosts slows one in six hosts down, parents among them.
func slowHosts(f *fleet) {
	for i, address := range f.ranked() {
		if i%6 == 1 {
			f.hosts[address].applyTime.Store(int64(slowApply))
		}
	}
}

// farStore lets answers of the store take long to the first host, as when it is too busy to
// read them.
func farStore(f *fleet) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.ways[f.hosts[f.ranked()[0]].cfg.Self] = 2 * time.Second
}

// writes holds when the store took in each revision.
type writes map[store.Revision]time.Time

// before returns the highest revision that was written by a time.
func (w writes) before(t time.Time) store.Revision {
	var highest store.Revision
	for revision, at := range w {
		if !at.After(t) {
			highest = store.Latest(highest, revision)
		}
	}
	return highest
}

// checkAges holds the view of each host against the age that it claims.
func (f *fleet) checkAges(w writes) {
	now := time.Now()
	for _, h := range f.hosts {
		age, revision := h.Age(now), h.Snapshot().Revision
		due := w.before(now.Add(-age))
		require.False(f.t, due.After(revision), "%s claims an age of %s, and has %s in place of %s", h.cfg.Self, age, revision, due)
	}
}

// A view holds everything that the store took in before the time that its age tells.
func TestAgeVouchesForTheView(t *testing.T) {
	tests := []struct {
		name string
		// size is that of a configuration in bytes.
		size    int
		trouble func(f *fleet)
	}{
		{name: "calm", size: 12_000},
		{name: "one in six hosts takes long to apply a change", size: 12_000, trouble: slowHosts},
		{name: "configurations fill the links", size: 100_000},
		{name: "answers of the store take long to the first host", size: 12_000, trouble: farStore},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 100)
				defer f.stop()
				if tt.trouble != nil {
					tt.trouble(f)
				}
				const (
					period  = 100 * time.Millisecond
					storm   = 30
					periods = 70
				)
				w := writes{}
				for n := range periods {
					if n < storm {
						w[f.store.put("config", padded(2+n, tt.size))] = time.Now()
					}
					time.Sleep(period)
					f.checkAges(w)
				}
			})
		})
	}
}

// Hosts that are slow to hear or to apply changes are followed by others that are not.
func TestSlowHostsKeepNoConfigurationFromOthers(t *testing.T) {
	for _, trouble := range []func(f *fleet){slowHosts, farStore} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 100)
			defer f.stop()
			trouble(f)
			f.storm(30, 12_000)
		})
	}
}

// Configurations that take a second and more over the links of a few followers.
func TestLargeConfigurationsAreInForceInTime(t *testing.T) {
	for _, size := range []int{100_000, 200_000, 400_000} {
		for _, versions := range []int{1, 10} {
			for _, hosts := range []int{13, 100, 300} {
				t.Run(fmt.Sprintf("%d of %d KB on %d hosts", versions, size/1000, hosts), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(t, hosts)
						defer f.stop()
						f.storm(versions, size)
					})
				})
			}
		}
	}
}
