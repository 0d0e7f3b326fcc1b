package entry_test

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// requireUsed sends requests one after the other until a target runs one, for two seconds at most. All must
// be served. Hosts that are idle keep choosing the same target for some milliseconds, in which many requests
// end, so a number of requests does not tell that a target gets none.
func (cl *cluster) requireUsed(t *testing.T, target *platformtest.Target, why string) {
	t.Helper()
	before, until := target.TotalRuns(), time.Now().Add(2*time.Second)
	for n := 0; target.TotalRuns() == before; n++ {
		require.True(t, time.Now().Before(until), why)
		resp, err := cl.send(t.Context(), cl.hosts[n%len(cl.hosts)], fmt.Sprintf("used-%s-%d", target.ID, n), "/book/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.status)
	}
}

// Guards against requests at a target that has reported that it drains, or is gone, after the store
// applied an older entry of it late.
func TestLateEntryDoesNotBringATargetBack(t *testing.T) {
	tests := []struct {
		name  string
		leave func(cl *cluster)
	}{
		{name: "drains", leave: func(cl *cluster) { cl.store.Put("servers/t-0", cl.targets[0].Entry("draining")) }},
		{name: "removed", leave: func(cl *cluster) { cl.store.Delete("servers/t-0") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, 3, target("t-0", platformtest.Behaviour{}), target("t-1", platformtest.Behaviour{}), target("t-2", platformtest.Behaviour{}))
			late := cl.targets[0].Entry("ready")
			cl.store.Put("servers/t-0", cl.targets[0].Entry("ready"))
			tt.leave(cl)
			time.Sleep(500 * time.Millisecond)
			before := cl.targets[0].TotalRuns()
			cl.store.Put("servers/t-0", late)
			requireServed := func(round string, hosts []*host) {
				for n := range 60 {
					resp, err := cl.send(t.Context(), hosts[n%len(hosts)], fmt.Sprintf("%s-%d", round, n), "/book/x")
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, resp.status)
				}
			}
			requireServed("a", cl.hosts)
			time.Sleep(500 * time.Millisecond)
			requireServed("b", cl.hosts)
			joined := cl.start("host-joined")
			cl.waitReady(joined)
			requireServed("c", []*host{joined})
			requireServed("d", cl.hosts)
			require.Equal(t, before, cl.targets[0].TotalRuns())

			cl.store.Put("servers/t-0", cl.targets[0].Entry("ready"))
			time.Sleep(500 * time.Millisecond)
			cl.requireUsed(t, cl.targets[0], "an entry that the target writes later counts")
		})
	}
}

// Guards against requests at a target that is gone, after the store applied an older entry of it late
// and no host was left that had seen its end.
func TestLateEntryDoesNotBringATargetBackAfterAllHostsWereReplaced(t *testing.T) {
	tests := []struct {
		name    string
		replace func(cl *cluster)
	}{
		{name: "at once", replace: func(cl *cluster) {
			for _, h := range cl.hosts {
				h.process.Kill()
			}
			for n := range cl.hosts {
				cl.restart(n)
			}
		}},
		{name: "one after the other", replace: func(cl *cluster) {
			for n := range cl.hosts {
				cl.kill(n)
				cl.waitReady(cl.hosts[n])
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, 3, target("t-0", platformtest.Behaviour{}), target("t-1", platformtest.Behaviour{}), target("t-2", platformtest.Behaviour{}))
			late := cl.targets[0].Entry("ready")
			cl.store.Put("servers/t-0", cl.targets[0].Entry("ready"))
			cl.store.Delete("servers/t-0")
			time.Sleep(500 * time.Millisecond)
			tt.replace(cl)
			for _, h := range cl.hosts {
				cl.waitReady(h)
			}
			time.Sleep(500 * time.Millisecond)
			before := cl.targets[0].TotalRuns()
			cl.store.Put("servers/t-0", late)
			time.Sleep(500 * time.Millisecond)
			for n := range 60 {
				resp, err := cl.send(t.Context(), cl.hosts[n%len(cl.hosts)], fmt.Sprintf("a-%d", n), "/book/x")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.status)
			}
			require.Equal(t, before, cl.targets[0].TotalRuns())

			cl.store.Put("servers/t-0", cl.targets[0].Entry("ready"))
			cl.requireUsed(t, cl.targets[0], "an entry that the target writes later counts")
		})
	}
}

// Guards against hosts that use the entry of a target that left at their first read, because they replace hosts that
// withhold it.
func TestHostsThatStartDoNotUseAnEntryThatOthersWithhold(t *testing.T) {
	for rounds := 1; rounds <= 2; rounds++ {
		t.Run(fmt.Sprintf("each host is replaced %d times", rounds), func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, 3, target("t-0", platformtest.Behaviour{}), target("t-1", platformtest.Behaviour{}), target("t-2", platformtest.Behaviour{}))
			late := cl.targets[0].Entry("ready")
			cl.store.Put("servers/t-0", cl.targets[0].Entry("ready"))
			cl.store.Delete("servers/t-0")
			for _, h := range cl.hosts {
				h.process.Kill()
			}
			for n := range cl.hosts {
				cl.restart(n)
			}
			for _, h := range cl.hosts {
				cl.waitReady(h)
			}
			cl.store.Put("servers/t-0", late)
			time.Sleep(200 * time.Millisecond)
			before, sent := cl.targets[0].TotalRuns(), 0
			for n := range rounds * len(cl.hosts) {
				index := n % len(cl.hosts)
				cl.kill(index)
				for until := time.Now().Add(500 * time.Millisecond); time.Now().Before(until); sent++ {
					_, _ = cl.send(t.Context(), cl.hosts[index], fmt.Sprintf("start-%d", sent), "/book/x")
				}
				cl.waitReady(cl.hosts[index])
			}
			require.Equal(t, before, cl.targets[0].TotalRuns(), "of %d requests", sent)
		})
	}
}

// Guards against a target that is shut out, or used although it drains, because something else has
// left an entry with a count or a start far ahead on its key.
func TestEntryFarAheadDoesNotHideThoseOfItsTarget(t *testing.T) {
	ahead := func(entry []byte, state string) []byte {
		return []byte(strings.Replace(string(entry), `"state":"ready"`, `"state":"`+state+`"`, 1))
	}
	tests := []struct {
		name string
		odd  func(entry []byte) []byte
	}{
		{name: "count", odd: func(entry []byte) []byte {
			return regexp.MustCompile(`"sequence":\d+`).ReplaceAll(entry, []byte(`"sequence":1099511627776`))
		}},
		{name: "start", odd: func(entry []byte) []byte {
			return []byte(strings.Replace(string(entry), `"born":1,`, fmt.Sprintf(`"born":%d,`, time.Now().Add(24*time.Hour).UnixMilli()), 1))
		}},
		{name: "largest numbers", odd: func(entry []byte) []byte {
			entry = regexp.MustCompile(`"sequence":\d+`).ReplaceAll(entry, []byte(`"sequence":9223372036854775807`))
			return []byte(strings.Replace(string(entry), `"born":1,`, `"born":9223372036854775807,`, 1))
		}},
	}
	for _, tt := range tests {
		for _, state := range []string{"ready", "draining"} {
			t.Run(tt.name+", "+state, func(t *testing.T) {
				t.Parallel()
				cl := newCluster(t, 2, target("t-0", platformtest.Behaviour{}), target("t-1", platformtest.Behaviour{}))
				send := func(round string) int {
					before := cl.targets[0].TotalRuns()
					for n := range 40 {
						resp, err := cl.send(t.Context(), cl.hosts[n%2], fmt.Sprintf("%s-%d", round, n), "/book/x")
						require.NoError(t, err)
						require.Equal(t, http.StatusOK, resp.status)
					}
					return cl.targets[0].TotalRuns() - before
				}
				cl.store.Put("servers/t-0", tt.odd(ahead(cl.targets[0].Entry("ready"), state)))
				time.Sleep(300 * time.Millisecond)
				cl.store.Put("servers/t-0", cl.targets[0].Entry("ready"))
				time.Sleep(300 * time.Millisecond)
				cl.requireUsed(t, cl.targets[0], "the target goes on to be ready")
				cl.store.Put("servers/t-0", tt.odd(ahead(cl.targets[0].Entry("ready"), state)))
				time.Sleep(300 * time.Millisecond)
				cl.store.Put("servers/t-0", cl.targets[0].Entry("draining"))
				time.Sleep(300 * time.Millisecond)
				require.Zero(t, send("b"), "the target drains")
			})
		}
	}
}
