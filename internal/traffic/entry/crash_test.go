package entry

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
)

// crashFleet is a fleet of crash trackers that send each other evidence, with a store.
type crashFleet struct {
	t     *testing.T
	g     *group.Group
	hosts []*crashHost
	// listed holds the hosts that are listed. A host that is gone stays listed for a while.
	listed map[string]directory.Host
	sent   atomic.Int64
	// silent drops the messages between hosts while it is set.
	silent atomic.Bool
	store  *blockStore
}

// crashHost is the crash tracker of a host that may be gone.
type crashHost struct {
	*CrashTracker
	address netip.AddrPort
	gone    atomic.Bool
}

// blockStore is a store of blocks that may be away. Each host sees it by the snapshots that it is given.
type blockStore struct {
	mu     sync.Mutex
	away   bool
	blocks map[uint64]bool
	writes int
	// era and changes are those of the snapshots.
	era     uint64
	changes int
}

var errAway = errors.New("away")

// PutBlock implements BlockStore.
func (s *blockStore) PutBlock(_ context.Context, fingerprint uint64, _ time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.away {
		return errAway
	}
	s.blocks[fingerprint] = true
	s.changes++
	return nil
}

// DeleteBlock implements BlockStore.
func (s *blockStore) DeleteBlock(_ context.Context, fingerprint uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.away {
		return errAway
	}
	delete(s.blocks, fingerprint)
	s.changes++
	return nil
}

// restore replaces the content by that of a copy.
func (s *blockStore) restore(blocks ...uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocks = map[uint64]bool{}
	for _, b := range blocks {
		s.blocks[b] = true
	}
	s.era++
	s.changes++
}

func (s *blockStore) snapshot() (snapshot *directory.Snapshot, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &directory.Snapshot{Blocked: maps.Clone(s.blocks), BlockedChanges: s.changes, Revision: store.Revision{Era: s.era}}, s.away
}

func newCrashFleet(t *testing.T, n int) *crashFleet {
	f := &crashFleet{t: t, g: group.New(t.Context()), listed: map[string]directory.Host{}, store: &blockStore{blocks: map[uint64]bool{}}}
	t.Cleanup(func() { _ = f.g.Stop() })
	for i := range n {
		name := fmt.Sprintf("host-%d", i)
		h := &crashHost{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), 80)}
		f.hosts = append(f.hosts, h)
		f.listed[name] = directory.Host{Name: name, PeerAddress: h.address}
		f.restart(i)
	}
	return f
}

// restart replaces a host by one that knows only what the store says.
func (f *crashFleet) restart(i int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := f.hosts[i]
	h.gone.Store(false)
	var tracker *CrashTracker
	tracker = NewCrashTracker(CrashTrackerConfig{
		Self: fmt.Sprintf("host-%d", i), Hosts: func() map[string]directory.Host { return f.listed }, Store: f.store, Log: logrus.NewEntry(log),
		Send: func(to []netip.AddrPort, e crash.Evidence) {
			if h.gone.Load() || h.CrashTracker != tracker {
				return
			}
			f.sent.Add(int64(len(to)))
			for _, other := range f.hosts {
				if slices.Contains(to, other.address) && !other.gone.Load() && !f.silent.Load() {
					other.HandleEvidence(e)
				}
			}
		},
	}, f.g)
	h.CrashTracker = tracker
	f.update(h)
}

// update gives a host the current snapshot, unless the store is away.
func (f *crashFleet) update(h *crashHost) {
	if s, away := f.store.snapshot(); !away {
		h.SetSnapshot(s)
	}
}

// pass lets time pass, in which hosts keep blocks and learn of changes of the store.
func (f *crashFleet) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(BlockKeepPeriod/4, time.Until(end)))
		synctest.Wait()
		for _, h := range f.hosts {
			if !h.gone.Load() {
				h.KeepBlocks(time.Now())
				f.update(h)
			}
		}
	}
	synctest.Wait()
}

// crash reports the crash of a target by a host.
func (f *crashFleet) crash(host int, fingerprint uint64, target string) {
	f.hosts[host].report(crash.Evidence{Kind: crash.TargetCrashed, Fingerprint: fingerprint, Target: target, Service: "svc", Ran: time.Millisecond, Age: crashCheckDelay})
	synctest.Wait()
}

// coordinator returns the index of a coordinator of a fingerprint.
func (f *crashFleet) coordinator(fingerprint uint64, n int) int {
	name := f.hosts[0].coordinators(fingerprint)[n].Name
	return slices.IndexFunc(f.hosts, func(h *crashHost) bool { return h.cfg.Self == name })
}

// requireBlocked checks whether the hosts block poisonRequest.
func (f *crashFleet) requireBlocked(want bool) {
	f.t.Helper()
	for _, h := range f.hosts {
		if h.gone.Load() {
			continue
		}
		h.mu.Lock()
		_, ok := h.blockOf(poisonRequest)
		h.mu.Unlock()
		require.Equal(f.t, want, ok, h.cfg.Self)
		require.Equal(f.t, want, h.numBlocked.Load() > 0, h.cfg.Self)
	}
}

const poisonRequest = 77

// maxBlockTime is the time after the third crash by which a request is blocked on all hosts.
const maxBlockTime = blockDelay + 10*time.Millisecond

// Guards against a host that sends a request which all others reject, because a message to it was lost.
func TestHostThatLacksEvidenceLearnsOfTheBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, 5)
		for i := range f.hosts {
			f.hosts[4].gone.Store(true)
			if i < 3 {
				f.crash(i, poisonRequest, fmt.Sprintf("t-%d", i))
			}
		}
		f.store.away = true
		f.pass(maxBlockTime)
		f.hosts[4].gone.Store(false)
		f.crash(4, poisonRequest, "t-4")
		f.pass(2 * standbyDelay)
		f.requireBlocked(true)
	})
}

func TestThreeCrashesWithoutSuccessBlockTheRequest(t *testing.T) {
	tests := []struct {
		name string
		// crashes are the targets that crashed, each reported by another host.
		crashes []string
		// clearedBy is the index of the host on which such a request succeeds; -1 for none.
		clearedBy int
		// late is set if that is after the block.
		late   bool
		blocks bool
	}{
		{name: "two crashes", crashes: []string{"a", "b"}, clearedBy: -1},
		{name: "one target three times", crashes: []string{"a", "a", "a"}, clearedBy: -1},
		{name: "three crashes", crashes: []string{"a", "b", "c"}, clearedBy: -1, blocks: true},
		{name: "a success clears", crashes: []string{"a", "b", "c"}, clearedBy: 1},
		{name: "a success on a host that reported no crash clears", crashes: []string{"a", "b", "c"}, clearedBy: 4},
		{name: "a success after the block lifts it", crashes: []string{"a", "b", "c"}, clearedBy: 4, late: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t, 30)
				others := len(f.hosts) - 1
				for i, target := range tt.crashes {
					f.crash(i, poisonRequest, target)
				}
				require.EqualValues(t, others*len(tt.crashes), f.sent.Load(), "a crash costs one message a host")
				f.pass(blockDelay / 2)
				if tt.clearedBy >= 0 && !tt.late {
					f.hosts[tt.clearedBy].recordSuccess(poisonRequest)
				}
				f.pass(blockDelay)
				f.requireBlocked(tt.blocks || tt.late)
				f.pass(3 * storeStep)
				if tt.late {
					require.True(t, f.store.blocks[poisonRequest])
					f.hosts[tt.clearedBy].recordSuccess(poisonRequest)
					f.pass(2 * BlockKeepPeriod)
				}
				f.requireBlocked(tt.blocks)
				require.Equal(t, tt.blocks, f.store.blocks[poisonRequest])
				messages := len(tt.crashes)
				if tt.blocks || tt.late {
					messages++
				}
				if tt.clearedBy >= 0 {
					messages++
				}
				require.EqualValues(t, others*messages, f.sent.Load(), "a block and a success cost one message a host")
				writes := 0
				if tt.blocks {
					writes = 1
				} else if tt.late {
					writes = 2
				}
				require.Equal(t, writes, f.store.writes)
			})
		})
	}
}

// Guards against evidence that is lost with hosts: one that is gone is listed until its lease ends, and one that
// starts knows only what the store says.
func TestEvidenceSurvivesTheLossOfHosts(t *testing.T) {
	tests := []struct {
		name string
		// lose lists the coordinators that are lost, after a number of crashes.
		lose  []int
		after int
		// restarts is set if they are back at once, without the evidence.
		restarts bool
		hosts    int
	}{
		{name: "first coordinator is gone before", lose: []int{0}, hosts: 30},
		{name: "second coordinator is gone before", lose: []int{1}, hosts: 30},
		{name: "first coordinator goes between", lose: []int{0}, after: 2, hosts: 30},
		{name: "second coordinator goes between", lose: []int{1}, after: 2, hosts: 30},
		{name: "first coordinator goes after the third crash", lose: []int{0}, after: 3, hosts: 30},
		{name: "first coordinator restarts between", lose: []int{0}, after: 2, restarts: true, hosts: 30},
		{name: "second coordinator restarts between", lose: []int{1}, after: 2, restarts: true, hosts: 30},
		{name: "both coordinators go between", lose: []int{0, 1}, after: 2, hosts: 30},
		{name: "both coordinators restart between", lose: []int{0, 1}, after: 2, restarts: true, hosts: 30},
		{name: "first of two hosts is gone", lose: []int{0}, hosts: 2},
		{name: "first of two hosts restarts", lose: []int{0}, after: 2, restarts: true, hosts: 2},
		{name: "300 hosts", lose: []int{0, 1}, after: 1, hosts: 300},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t, tt.hosts)
				var lost []int
				for _, n := range tt.lose {
					lost = append(lost, f.coordinator(poisonRequest, n))
				}
				var reporters []int
				for i := range f.hosts {
					if !slices.Contains(lost, i) {
						reporters = append(reporters, i)
					}
				}
				lose := func() {
					for _, i := range lost {
						if tt.restarts {
							f.restart(i)
						} else {
							f.hosts[i].gone.Store(true)
						}
					}
				}
				for i, target := range []string{"a", "b", "c"} {
					if i == tt.after {
						lose()
					}
					f.crash(reporters[i%len(reporters)], poisonRequest, target)
				}
				if tt.after == 3 {
					lose()
				}
				f.pass(maxBlockTime + 3*standbyDelay)
				f.requireBlocked(true)
				f.pass(storeRanks * storeStep)
				require.True(t, f.store.blocks[poisonRequest], "a host that starts finds the block")
				require.Equal(t, 1, f.store.writes)
				require.LessOrEqual(t, int(f.sent.Load()), 4*(tt.hosts-1))
			})
		})
	}
}

// Guards against a request that is sent again by hosts that have started after it was blocked.
func TestBlocksSurviveTheReplacementOfHosts(t *testing.T) {
	tests := []struct {
		name string
		play func(f *crashFleet)
		// blocked is set if all hosts block the request at the end.
		blocked bool
	}{
		{name: "all in turn", blocked: true, play: func(f *crashFleet) {
			for i := range f.hosts {
				f.restart(i)
				f.pass(time.Second)
			}
		}},
		{name: "all in turn, twice, faster than blocks are written", blocked: true, play: func(f *crashFleet) {
			for i := range 2 * len(f.hosts) {
				f.restart(i % len(f.hosts))
				f.pass(100 * time.Millisecond)
			}
		}},
		{name: "all at once", blocked: true, play: func(f *crashFleet) {
			for i := range f.hosts {
				f.restart(i)
			}
		}},
		{name: "all at once, and once more", blocked: true, play: func(f *crashFleet) {
			for range 2 {
				for i := range f.hosts {
					f.restart(i)
				}
				f.pass(time.Minute)
			}
		}},
		{name: "the store comes back from a copy without the block", blocked: true, play: func(f *crashFleet) {
			f.store.restore()
			f.pass(2 * storeStep)
			require.True(f.t, f.store.blocks[poisonRequest])
			for i := range f.hosts {
				f.restart(i)
			}
		}},
		{name: "all hosts but one are replaced, and the store comes back from a copy", blocked: true, play: func(f *crashFleet) {
			for i := range f.hosts[1:] {
				f.restart(i)
			}
			f.store.restore()
			f.pass(storeRanks * storeStep)
			for i := range f.hosts {
				f.restart(i)
			}
		}},
		{name: "no host announces or hears of the block", blocked: true, play: func(f *crashFleet) {
			f.silent.Store(true)
			for i := range f.hosts {
				f.restart(i)
			}
		}},
		{name: "its time has passed", play: func(f *crashFleet) { f.pass(crash.EvidenceTTL) }},
		{name: "its time has passed for a host that knows it from the store", play: func(f *crashFleet) {
			for i := range f.hosts {
				f.restart(i)
			}
			f.pass(crash.EvidenceTTL)
			f.store.mu.Lock()
			clear(f.store.blocks) // Its lease ends.
			f.store.changes++
			f.store.mu.Unlock()
			f.pass(time.Second)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t, 6)
				for i, target := range []string{"a", "b", "c"} {
					f.crash(i, poisonRequest, target)
				}
				f.pass(maxBlockTime + 2*storeStep)
				f.requireBlocked(true)
				tt.play(f)
				f.requireBlocked(tt.blocked)
			})
		})
	}
}

// Guards against a request that is never blocked because hosts are replaced between its crashes, and against a host
// that merges what another one tells it in a way that depends on the order.
func TestHostThatStartsLearnsTheEvidence(t *testing.T) {
	tests := []struct {
		name string
		// before is played on the fleet before host 0 starts and learns from host 1, and after on the fleet
		// then.
		before, after func(f *crashFleet)
		blocked       bool
	}{
		{name: "nothing", before: func(*crashFleet) {}, after: func(*crashFleet) {}},
		{
			name:   "two crashes before",
			before: func(f *crashFleet) { f.crash(1, poisonRequest, "a"); f.crash(2, poisonRequest, "b") },
			after:  func(f *crashFleet) { f.crash(2, poisonRequest, "c") }, blocked: true,
		},
		{
			name: "three crashes before, and no announcement since",
			before: func(f *crashFleet) {
				f.crash(1, poisonRequest, "a")
				f.crash(2, poisonRequest, "b")
				f.crash(1, poisonRequest, "c")
			},
			after: func(f *crashFleet) { f.silent.Store(true) }, blocked: true,
		},
		{
			name: "blocked before, while the store is away",
			before: func(f *crashFleet) {
				f.store.away = true
				f.crash(1, poisonRequest, "a")
				f.crash(2, poisonRequest, "b")
				f.crash(1, poisonRequest, "c")
				f.pass(time.Minute)
			},
			after: func(*crashFleet) {}, blocked: true,
		},
		{
			name: "cleared before",
			before: func(f *crashFleet) {
				f.crash(1, poisonRequest, "a")
				f.crash(2, poisonRequest, "b")
				f.hosts[1].recordSuccess(poisonRequest)
			},
			after: func(f *crashFleet) { f.crash(2, poisonRequest, "c"); f.crash(2, poisonRequest, "d") },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t, 3)
				f.hosts[0].gone.Store(true)
				tt.before(f)
				f.restart(0)
				for range 2 {
					records, err := f.hosts[1].Export()
					require.NoError(t, err)
					if records != nil {
						require.NoError(t, f.hosts[0].Import(records))
					}
				}
				tt.after(f)
				f.pass(maxBlockTime + 2*standbyDelay)
				f.requireBlocked(tt.blocked)
				sort := func(list []crash.Crash) []crash.Crash {
					slices.SortFunc(list, func(a, b crash.Crash) int { return cmp.Compare(a.Target, b.Target) })
					return list
				}
				require.Equal(t, sort(f.hosts[1].detector.Crashes()), sort(f.hosts[0].detector.Crashes()))
			})
		})
	}
}

// Guards against a request that is never blocked because no host lives as long as hosts wait before they block, if they
// wait from when they learn of the third crash, and not from the crash.
func TestRequestIsBlockedByHostsThatAreReplacedBeforeTheyDecide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, 3)
		for i, target := range []string{"a", "b", "c"} {
			f.crash(i, poisonRequest, target)
		}
		crashed := time.Now()
		for n := 0; time.Since(crashed) < maxBlockTime+2*standbyDelay; n++ {
			f.pass(blockDelay / 4)
			i, other := n%len(f.hosts), (n+1)%len(f.hosts)
			records, err := f.hosts[other].Export()
			require.NoError(t, err)
			f.restart(i)
			require.NoError(t, f.hosts[i].Import(records))
		}
		f.requireBlocked(true)
	})
}

// Guards against a request that is blocked by a host that starts long after the crashes, before it knows that many
// others crashed targets at the same time.
func TestHostThatStartsWaitsForWhatAllOthersKnow(t *testing.T) {
	const betweenPeers = 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, 3)
		f.store.away = true
		crashed := func(host int, fingerprint uint64, target string, age time.Duration) {
			f.hosts[host].HandleEvidence(crash.Evidence{Kind: crash.TargetCrashed, Fingerprint: fingerprint, Target: target, Service: "svc", Ran: time.Millisecond, Age: age})
		}
		for n, target := range []string{"a", "b", "c"} {
			crashed(1, poisonRequest, target, 2*blockDelay-time.Duration(n)*50*time.Millisecond)
		}
		for n := range 20 {
			crashed(2, poisonRequest+1+uint64(n), fmt.Sprintf("t-%d", n), 2*blockDelay)
		}
		records := make([][]byte, len(f.hosts))
		for i := range records {
			var err error
			records[i], err = f.hosts[i].Export()
			require.NoError(t, err)
		}
		require.NoError(t, f.hosts[0].Import(records[1]))
		time.Sleep(betweenPeers)
		require.NoError(t, f.hosts[0].Import(records[2]))
		f.hosts[1].gone.Store(true)
		f.silent.Store(true)
		f.pass(maxBlockTime)
		require.Zero(t, f.hosts[0].Blocked())
	})
}

func FuzzImport(f *testing.F) {
	for _, list := range [][]crash.Evidence{
		nil,
		{{Kind: crash.TargetCrashed, Fingerprint: 7, Target: "t", Service: "s", Age: time.Second, Ran: time.Millisecond}},
		{{Kind: crash.Blocked, Fingerprint: 7, Age: -time.Hour}, {Kind: crash.Cleared, Fingerprint: 7, Age: 1 << 62}, {Kind: 200}},
	} {
		data, err := cbor.Marshal(list)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, records []byte) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		g := group.New(t.Context())
		defer func() { _ = g.Stop() }()
		c := NewCrashTracker(CrashTrackerConfig{Self: "a", Hosts: func() map[string]directory.Host { return nil }, Log: logrus.NewEntry(log)}, g)
		if c.Import(records) != nil {
			return
		}
		require.LessOrEqual(t, len(c.blocked), maxBlocked)
		require.LessOrEqual(t, len(c.cleared), maxCleared)
		again, err := c.Export()
		require.NoError(t, err)
		require.True(t, again == nil || c.Import(again) == nil)
	})
}

// Guards against blocks that are not kept because the store was away when they were decided.
func TestBlockIsWrittenWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, 6)
		f.store.away = true
		for i, target := range []string{"a", "b", "c"} {
			f.crash(i, poisonRequest, target)
		}
		f.pass(time.Minute)
		f.requireBlocked(true)
		require.LessOrEqual(t, f.store.writes, 5*20, "a failed call is not repeated at once")
		f.store.mu.Lock()
		f.store.away = false
		f.store.mu.Unlock()
		f.pass(storeStep + BlockKeepPeriod)
		for i := range f.hosts {
			f.restart(i)
		}
		f.requireBlocked(true)
	})
}

// Guards against messages of a failure of most targets that keep the fleet busy, and against evidence on a poison
// request beside it that no coordinator gets.
func TestManyCrashesCostFewMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, 100)
		for n := range 1000 {
			f.crash(0, uint64(1000+n), fmt.Sprintf("t-%d", n))
		}
		require.LessOrEqual(t, int(f.sent.Load()), reportBurst*99+1000*numCoordinators)
		f.requireBlocked(false)
		for n := range 3 {
			f.crash(0, poisonRequest, fmt.Sprintf("p-%d", n))
		}
		h := f.hosts[f.coordinator(poisonRequest, 0)]
		h.mu.Lock()
		defer h.mu.Unlock()
		require.True(t, h.detector.Has(poisonRequest))
	})
}

// Guards against evidence that counts although the request has ended well since.
func TestSuccessClearsCrashesThatAreReportedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, 3)
		for i, target := range []string{"a", "b"} {
			f.crash(i, poisonRequest, target)
		}
		f.pass(100 * time.Millisecond)
		f.hosts[0].recordSuccess(poisonRequest)
		f.hosts[1].report(crash.Evidence{Kind: crash.TargetCrashed, Fingerprint: poisonRequest, Target: "late", Age: 50 * time.Millisecond})
		f.crash(2, poisonRequest, "c")
		f.crash(2, poisonRequest, "d")
		f.pass(2 * maxBlockTime)
		f.requireBlocked(false)
	})
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
