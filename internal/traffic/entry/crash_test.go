package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
)

// crashHost is the crash tracker of a host that may be gone.
type crashHost struct {
	*CrashTracker
	gone atomic.Bool
}

// newHosts returns the crash trackers of n hosts that send each other evidence.
func newHosts(t *testing.T, n int) (hosts []*crashHost, sent *atomic.Int64) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := group.New(context.Background())
	t.Cleanup(func() { _ = g.Stop() })
	fleet, byAddress := map[string]directory.Host{}, map[netip.AddrPort]*crashHost{}
	sent = new(atomic.Int64)
	for i := range n {
		name := fmt.Sprintf("host-%d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), 80)
		fleet[name] = directory.Host{Name: name, PeerAddress: address}
		c := &crashHost{}
		c.CrashTracker = NewCrashTracker(CrashTrackerConfig{
			Self: name, Hosts: func() map[string]directory.Host { return fleet }, Log: logrus.NewEntry(log),
			Send: func(to netip.AddrPort, e crash.Evidence) {
				sent.Add(1)
				if to := byAddress[to]; !to.gone.Load() && !c.gone.Load() {
					to.HandleEvidence(e)
				}
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
		coordinators := hosts[0].coordinators(7)
		for _, c := range hosts {
			if slices.ContainsFunc(coordinators, func(h directory.Host) bool { return h.Name == c.cfg.Self }) {
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
				require.LessOrEqual(t, int(sent.Load()), numCoordinators*len(tt.crashes), "a crash costs a message to each coordinator")
				time.Sleep(blockDelay / 2)
				synctest.Wait()
				if tt.clearedBy >= 0 {
					hosts[tt.clearedBy].recordSuccess(poison)
				}
				time.Sleep(blockDelay)
				synctest.Wait()
				time.Sleep(standbyDelay)
				synctest.Wait()
				for _, c := range hosts {
					require.Equal(t, tt.blocks, c.numBlocked.Load() == 1)
				}
				blocks := 0
				if tt.blocks {
					blocks = len(hosts) - 1
				}
				require.LessOrEqual(t, int(sent.Load()), numCoordinators*(len(tt.crashes)+1)+blocks, "a block costs one message a host")
			})
		})
	}
}

// Guards against evidence that is lost with the host which collects it: one that is gone is listed
// until its lease ends, and one that starts again knows nothing.
func TestEvidenceSurvivesTheLossOfAHost(t *testing.T) {
	const poison = 77
	tests := []struct {
		name string
		// lose is the index of the coordinator that is lost, after a number of crashes.
		lose, after int
		// restarts is set if it is back at once.
		restarts bool
		hosts    int
	}{
		{name: "first coordinator is gone before", lose: 0, hosts: 30},
		{name: "second coordinator is gone before", lose: 1, hosts: 30},
		{name: "first coordinator goes between", lose: 0, after: 2, hosts: 30},
		{name: "second coordinator goes between", lose: 1, after: 2, hosts: 30},
		{name: "first coordinator goes after the third crash", lose: 0, after: 3, hosts: 30},
		{name: "first coordinator restarts between", lose: 0, after: 2, restarts: true, hosts: 30},
		{name: "second coordinator restarts between", lose: 1, after: 2, restarts: true, hosts: 30},
		{name: "first of two hosts is gone", lose: 0, hosts: 2},
		{name: "first of two hosts restarts", lose: 0, after: 2, restarts: true, hosts: 2},
		{name: "300 hosts", lose: 0, hosts: 300},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hosts, sent := newHosts(t, tt.hosts)
				lost := hosts[0].coordinators(poison)[tt.lose].Name
				reporters := slices.DeleteFunc(slices.Clone(hosts), func(c *crashHost) bool { return c.cfg.Self == lost })
				lose := func() {
					for _, c := range hosts {
						if c.cfg.Self != lost {
							continue
						}
						c.mu.Lock()
						c.detector = crash.NewDetector()
						c.mu.Unlock()
						if !tt.restarts {
							c.gone.Store(true)
						}
					}
				}
				for i, target := range []string{"a", "b", "c"} {
					if i == tt.after {
						lose()
					}
					reporters[i%len(reporters)].report(crash.Evidence{Kind: crash.TargetCrashed, Fingerprint: poison, Target: target})
				}
				if tt.after == 3 {
					lose()
				}
				time.Sleep(blockDelay + standbyDelay + time.Millisecond)
				synctest.Wait()
				for _, c := range reporters {
					require.Contains(t, c.blocked, uint64(poison))
				}
				require.LessOrEqual(t, int(sent.Load()), 3*numCoordinators+tt.hosts-1)
			})
		})
	}
}

// Guards against requests that crash targets and are taken for others that don't, and against ones that
// come again in another form and are not recognized.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	request := func(account, method, host, uri, body string) *clientRequest {
		r := httptest.NewRequest(method, uri, nil)
		r.Host = host
		req := &clientRequest{incoming: r, body: []byte(body)}
		if account != "" {
			req.account = &routing.Account{Name: account}
		}
		return req
	}
	first := request("alder", http.MethodPost, "shop.example", "/book/x?n=1", "two nights")
	tests := []struct {
		name string
		req  *clientRequest
		same bool
	}{
		{name: "again", req: request("alder", http.MethodPost, "shop.example", "/book/x?n=1", "two nights"), same: true},
		{name: "host in another form", req: request("alder", http.MethodPost, "SHOP.example.:80", "/book/x?n=1", "two nights"), same: true},
		{name: "absolute target", req: request("alder", http.MethodPost, "shop.example", "http://shop.example/book/x?n=1", "two nights"), same: true},
		{name: "another account", req: request("birch", http.MethodPost, "shop.example", "/book/x?n=1", "two nights")},
		{name: "no account", req: request("", http.MethodPost, "shop.example", "/book/x?n=1", "two nights")},
		{name: "another method", req: request("alder", http.MethodPut, "shop.example", "/book/x?n=1", "two nights")},
		{name: "another host", req: request("alder", http.MethodPost, "other.example", "/book/x?n=1", "two nights")},
		{name: "another query", req: request("alder", http.MethodPost, "shop.example", "/book/x?n=2", "two nights")},
		{name: "another body", req: request("alder", http.MethodPost, "shop.example", "/book/x?n=1", "two days")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.same, tt.req.fingerprint() == first.fingerprint())
		})
	}
}
