package entry

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
)

// newHosts returns the crash trackers of n hosts that send each other evidence.
func newHosts(t *testing.T, n int) (hosts []*CrashTracker, sent *atomic.Int64) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := group.New(context.Background())
	t.Cleanup(func() { _ = g.Stop() })
	fleet, byAddress := map[string]directory.Host{}, map[netip.AddrPort]*CrashTracker{}
	sent = new(atomic.Int64)
	for i := range n {
		name := fmt.Sprintf("host-%d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), 80)
		fleet[name] = directory.Host{Name: name, PeerAddress: address}
		c := NewCrashTracker(CrashTrackerConfig{
			Self: name, Hosts: func() map[string]directory.Host { return fleet }, Log: logrus.NewEntry(log),
			Send: func(to netip.AddrPort, e crash.Evidence) {
				sent.Add(1)
				byAddress[to].HandleEvidence(e)
			},
		}, g)
		hosts, byAddress[address] = append(hosts, c), c
	}
	return hosts, sent
}

// A host that starts after a block does not know of it. The coordinator sends the block
// again when that host reports its first crash.
func TestHostThatStartedLaterLearnsOfTheBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts, _ := newHosts(t, 5)
		for i, target := range []string{"a", "b", "c"} {
			hosts[i].report(crash.Evidence{Kind: crash.TargetCrashed, Fingerprint: 7, Target: target})
		}
		time.Sleep(2 * blockDelay)
		synctest.Wait()
		coordinator, _ := hosts[0].coordinator(7)
		for _, c := range hosts {
			if c.cfg.Self == coordinator.Name {
				continue
			}
			clear(c.blocked)
			c.report(crash.Evidence{Kind: crash.TargetCrashed, Fingerprint: 7, Target: "d"})
			time.Sleep(time.Millisecond)
			synctest.Wait()
			require.Contains(t, c.blocked, uint64(7))
		}
	})
}

func TestThreeCrashesWithoutSuccessBlockTheRequest(t *testing.T) {
	const poison = 77
	tests := []struct {
		name string
		// crashes are the targets that crashed, each reported by another host.
		crashes []string
		// clearedBy is the index of the host on which such a request succeeds; -1 for none.
		clearedBy int
		blocks    bool
	}{
		{name: "two crashes", crashes: []string{"a", "b"}, clearedBy: -1},
		{name: "one target three times", crashes: []string{"a", "a", "a"}, clearedBy: -1},
		{name: "three crashes", crashes: []string{"a", "b", "c"}, clearedBy: -1, blocks: true},
		{name: "a success clears", crashes: []string{"a", "b", "c"}, clearedBy: 1},
		{name: "a success on a host that reported no crash clears nothing", crashes: []string{"a", "b", "c"}, clearedBy: 4, blocks: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hosts, sent := newHosts(t, 30)
				for i, target := range tt.crashes {
					hosts[i].watchForSuccess(poison)
					hosts[i].report(crash.Evidence{Kind: crash.TargetCrashed, Fingerprint: poison, Target: target})
				}
				require.LessOrEqual(t, int(sent.Load()), len(tt.crashes), "a crash costs one message")
				time.Sleep(blockDelay / 2)
				synctest.Wait()
				if tt.clearedBy >= 0 {
					hosts[tt.clearedBy].recordSuccess(poison)
				}
				time.Sleep(blockDelay)
				synctest.Wait()
				for _, c := range hosts {
					require.Equal(t, tt.blocks, c.numBlocked.Load() == 1)
				}
			})
		})
	}
}
