package entry

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
)

// bench is a number of hosts that tell each other of crashes.
func bench(t *testing.T, n int) (hosts []*Crashes, sent *int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := group.New(context.Background())
	t.Cleanup(func() { _ = g.Stop() })
	fleet, byAddress := map[string]directory.Host{}, map[netip.AddrPort]*Crashes{}
	sent = new(int)
	for i := range n {
		name := fmt.Sprintf("host-%d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), 80)
		fleet[name] = directory.Host{Name: name, Peers: address}
		c := NewCrashes(CrashConfig{
			Self: name, Hosts: func() map[string]directory.Host { return fleet }, Log: logrus.NewEntry(log),
			Send: func(to netip.AddrPort, e crash.Evidence) {
				*sent++
				byAddress[to].Take(e)
			},
		}, g)
		hosts, byAddress[address] = append(hosts, c), c
	}
	return hosts, sent
}

// A host that starts after a block hears it with the first death that it tells.
func TestHostThatStartedLaterHearsTheBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts, _ := bench(t, 5)
		for i, target := range []string{"a", "b", "c"} {
			hosts[i].tell(crash.Evidence{Kind: crash.TargetDied, Fingerprint: 7, Target: target})
		}
		time.Sleep(2 * crashSettle)
		coordinator, _ := hosts[0].coordinator(7)
		for _, c := range hosts {
			if c.cfg.Self == coordinator.Name {
				continue
			}
			clear(c.blocked)
			c.tell(crash.Evidence{Kind: crash.TargetDied, Fingerprint: 7, Target: "d"})
			time.Sleep(time.Millisecond)
			require.Contains(t, c.blocked, uint64(7))
		}
	})
}

func TestBlocksFollowThreeDeathsWithoutAnAnswer(t *testing.T) {
	const poison = 77
	tests := []struct {
		name string
		// deaths are the targets that died, each seen by another host.
		deaths []string
		// clearedBy is the host that gets an answer to such a request; -1 for none.
		clearedBy int
		blocks    bool
	}{
		{name: "two deaths", deaths: []string{"a", "b"}, clearedBy: -1},
		{name: "one target thrice", deaths: []string{"a", "a", "a"}, clearedBy: -1},
		{name: "three deaths", deaths: []string{"a", "b", "c"}, clearedBy: -1, blocks: true},
		{name: "an answer clears", deaths: []string{"a", "b", "c"}, clearedBy: 1},
		{name: "an answer to a host that saw no death says nothing", deaths: []string{"a", "b", "c"}, clearedBy: 4, blocks: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hosts, sent := bench(t, 30)
				for i, target := range tt.deaths {
					hosts[i].watch(poison)
					hosts[i].tell(crash.Evidence{Kind: crash.TargetDied, Fingerprint: poison, Target: target})
				}
				require.LessOrEqual(t, *sent, len(tt.deaths), "a death costs one message")
				time.Sleep(crashSettle / 2)
				if tt.clearedBy >= 0 {
					hosts[tt.clearedBy].answered(poison)
				}
				time.Sleep(crashSettle)
				for _, c := range hosts {
					require.Equal(t, tt.blocks, c.blocks.Load() == 1)
				}
			})
		})
	}
}
