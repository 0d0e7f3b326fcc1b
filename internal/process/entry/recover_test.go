package entry_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	// cutWarmUp is the time before the cut, and cutSettle the time after its start and its
	// end from which hosts must serve again.
	cutWarmUp = 3 * time.Second
	cutSettle = 3 * time.Second
	// A cut host serves at least minCutRatio times as large a share of its requests as the
	// others, or cut hosts fail at most failedSlack requests and failedShare of all.
	minCutRatio = 2.0 / 3
	failedSlack = 10
	failedShare = 1.0 / 50
)

// firstTry is the first attempt of a client's request.
type firstTry struct {
	id     string
	host   int
	sent   time.Time
	took   time.Duration
	status int
}

// share counts served requests.
type share struct{ served, all int }

func (s share) ratio() float64 { return float64(s.served) / float64(max(1, s.all)) }
func (s share) String() string { return fmt.Sprintf("%d of %d", s.served, s.all) }

// tally returns the share of the served ones of the requests to the given hosts between from
// and to.
func tally(tries []firstTry, from, to time.Time, of func(host int) bool) (s share) {
	for _, try := range tries {
		if of(try.host) && !try.sent.Before(from) && try.sent.Before(to) {
			s.all++
			if try.status == http.StatusOK {
				s.served++
			}
		}
	}
	return s
}

// cut sets the state of the links of a host to all targets.
func (cl *cluster) cut(host int, state platformtest.LinkState) {
	for _, p := range cl.proxies {
		p.SetFrom(cl.hosts[host].cfg.Source, state)
	}
}

// runCallers runs clients, each of which keeps a connection to one host, until the end. Half of
// the requests are bookings.
func (cl *cluster) runCallers(callers int, end time.Time) []firstTry {
	var mu sync.Mutex
	var tries []firstTry
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; time.Now().Before(end); n++ {
				try := firstTry{id: fmt.Sprintf("c-%d-%d", caller, n), host: caller % len(cl.hosts), sent: time.Now()}
				req := platformtest.Request{ID: try.id, Host: "shop.example", Path: "/search/x", TimeLeft: 2 * time.Second}
				if n%2 == 0 {
					req.Path, req.Body = "/book/x", "two nights"
				}
				if resp, err := req.Send(cl.t.Context(), client, cl.hosts[try.host].cfg.Callers); err == nil {
					try.status = resp.Status
				}
				try.took = time.Since(try.sent)
				mu.Lock()
				tries = append(tries, try)
				mu.Unlock()
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return tries
}

// saveLogs writes the logs of the hosts of a failed test to a directory, and names it.
func (cl *cluster) saveLogs(name string) {
	if !cl.t.Failed() {
		return
	}
	dir, err := os.MkdirTemp("", "hosts-")
	require.NoError(cl.t, err)
	for _, h := range cl.hosts {
		require.NoError(cl.t, os.WriteFile(filepath.Join(dir, h.cfg.Name+".log"), []byte(h.log.String()), 0o600))
	}
	cl.t.Logf("%s: logs of the hosts are in %s", name, dir)
}

func TestHostsCutOffFromAllTargetsServeTheirCallers(t *testing.T) {
	some := func(hosts ...int) []int { return hosts }
	tests := []struct {
		name string
		// cut lists the cut hosts of nine in three domains, by default.
		cut     []int
		state   platformtest.LinkState
		hosts   int
		targets int
		// disturb is called at the start of the cut.
		disturb func(cl *cluster)
	}{
		{name: "three hosts, links hang", cut: some(0, 4, 8), state: platformtest.LinkSilent},
		{name: "three hosts, responses hang", cut: some(0, 4, 8), state: platformtest.LinkOneWay},
		{name: "a domain, links hang", cut: some(0, 3, 6), state: platformtest.LinkSilent},
		{name: "seven hosts, links hang", cut: some(0, 1, 2, 3, 4, 5, 6), state: platformtest.LinkSilent},
		{name: "one of three hosts with one target, links hang", cut: some(0), state: platformtest.LinkSilent, hosts: 3, targets: 1},
		{name: "three hosts, links are reset", cut: some(0, 4, 8), state: platformtest.LinkReset},
		{name: "a domain, links are reset", cut: some(0, 3, 6), state: platformtest.LinkReset},
		{name: "seven hosts, links are reset", cut: some(0, 1, 2, 3, 4, 5, 6), state: platformtest.LinkReset},
		{name: "three hosts, open connections live on", cut: some(0, 4, 8), state: platformtest.LinkRefuse},
		{name: "all hosts but one, links hang", cut: some(0, 1, 2, 3, 4, 5, 6, 7), state: platformtest.LinkSilent},
		{name: "all hosts, links are reset", cut: some(0, 1, 2, 3, 4, 5, 6, 7, 8), state: platformtest.LinkReset},
		{name: "three hosts, links hang, the store is down", cut: some(0, 4, 8), state: platformtest.LinkSilent, disturb: func(cl *cluster) {
			cl.store.SetFaults(platformtest.Faults{Down: true})
			time.AfterFunc(5*time.Second, func() { cl.store.SetFaults(platformtest.Faults{}) })
		}},
		{name: "three hosts, links hang, come back and are reset", cut: some(0, 4, 8), state: platformtest.LinkSilent, disturb: func(cl *cluster) {
			for n, state := range []platformtest.LinkState{platformtest.LinkUp, platformtest.LinkReset} {
				time.AfterFunc(time.Duration(n+1)*1500*time.Millisecond, func() {
					for _, h := range some(0, 4, 8) {
						cl.cut(h, state)
					}
				})
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			const length, callers = 6 * time.Second, 40
			hosts, targets := tt.hosts, tt.targets
			if hosts == 0 {
				hosts, targets = 9, 6
			}
			list := make([]*platformtest.Target, 0, targets)
			for n := range targets {
				list = append(list, platformtest.NewTarget(fmt.Sprintf("t-%d", n), "svc", []string{"d", "e", "f"}[n%3], 48/targets, platformtest.Behaviour{ServiceTime: 40 * time.Millisecond}))
			}
			cl := newFleet(t, fleet{hosts: hosts, domains: 3, firstStart: true, proxied: true}, list...)
			t.Cleanup(func() { cl.saveLogs(tt.name) })
			begin := time.Now().Add(cutWarmUp)
			end := begin.Add(length)
			time.AfterFunc(time.Until(begin), func() {
				for _, h := range tt.cut {
					cl.cut(h, tt.state)
				}
				if tt.disturb != nil {
					tt.disturb(cl)
				}
			})
			time.AfterFunc(time.Until(end), func() {
				for _, h := range tt.cut {
					cl.cut(h, platformtest.LinkUp)
				}
			})
			tries := cl.runCallers(callers, end.Add(cutSettle+2*time.Second))
			isCut := func(host int) bool { return slices.Contains(tt.cut, host) }
			isSound := func(host int) bool { return !isCut(host) }
			all := func(int) bool { return true }

			early, earlySound := tally(tries, begin, begin.Add(cutSettle), isCut), tally(tries, begin, begin.Add(cutSettle), isSound)
			cut, sound := tally(tries, begin.Add(cutSettle), end, isCut), tally(tries, begin.Add(cutSettle), end, isSound)
			after := tally(tries, end.Add(cutSettle), end.Add(time.Minute), all)
			t.Logf("first 3 s: cut hosts served %s, others %s; then %s, others %s; after the cut %s", early, earlySound, cut, sound, after)
			failed := cut.all - cut.served
			require.True(t, cut.ratio() >= minCutRatio*sound.ratio() || float64(failed) <= failedSlack+failedShare*float64(cut.all+sound.all), "cut hosts served %s, others %s", cut, sound)
			if sound.all > 0 {
				require.GreaterOrEqual(t, sound.ratio(), 0.95, "others served %s", sound)
				require.GreaterOrEqual(t, earlySound.ratio(), 0.9, "others served %s in the first seconds", earlySound)
			}
			require.GreaterOrEqual(t, after.ratio(), 0.98, "after the cut %s", after)
			for _, try := range tries {
				booking := strings.HasSuffix(try.id, "0") || strings.ContainsAny(try.id[len(try.id)-1:], "2468")
				runs := cl.runCount(try.id)
				require.True(t, !booking || runs <= 1, "booking %s ran %d times", try.id, runs)
				require.True(t, try.status != http.StatusServiceUnavailable || runs == 0, "%s was refused and ran", try.id)
				require.Less(t, try.took, 1700*time.Millisecond, "%s", try.id)
			}
		})
	}
}

// Guards against requests that wait in a socket during a cut and run when it ends, long after
// their clients got a final response.
func TestRequestsGivenUpDuringACutDoNotRunAfterIt(t *testing.T) {
	cl := newFleet(t, fleet{hosts: 1, proxied: true}, target("t-1", platformtest.Behaviour{}), target("t-2", platformtest.Behaviour{}))
	for n := range 6 {
		resp, err := cl.send(t.Context(), cl.hosts[0], fmt.Sprintf("before-%d", n), "/book/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.status)
	}
	cl.cut(0, platformtest.LinkSilent)
	var wg sync.WaitGroup
	for n := range 4 {
		wg.Go(func() {
			resp, err := cl.send(t.Context(), cl.hosts[0], fmt.Sprintf("during-%d", n), []string{"/book/x", "/search/x"}[n%2])
			if err != nil || resp.status == http.StatusOK {
				t.Errorf("%v %v", resp, err)
			}
		})
	}
	wg.Wait()
	cl.cut(0, platformtest.LinkUp)
	require.Eventually(t, func() bool {
		resp, err := cl.send(t.Context(), cl.hosts[0], "after", "/search/x")
		return err == nil && resp.status == http.StatusOK
	}, 3*time.Second, 50*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	for n := range 4 {
		require.Zero(t, cl.runCount(fmt.Sprintf("during-%d", n)), "request %d", n)
	}
}

func TestRequestsSentJustBeforeACutAreServedThroughOtherHosts(t *testing.T) {
	const serviceTime = 300 * time.Millisecond
	cl := newFleet(t, fleet{hosts: 3, firstStart: true, proxied: true}, platformtest.NewTarget("t-0", "svc", "d", 16, platformtest.Behaviour{ServiceTime: serviceTime}))
	send := func(id string) {
		resp, err := cl.send(t.Context(), cl.hosts[0], id, "/search/x")
		if err != nil || resp.status != http.StatusOK {
			t.Errorf("%s: %v %v", id, resp, err)
		}
	}
	for n := range 4 {
		send(fmt.Sprintf("before-%d", n))
	}
	var wg sync.WaitGroup
	wg.Go(func() { send("heard") })
	time.Sleep(serviceTime / 2)
	wg.Go(func() { send("in-flight") })
	// The first response arrives after the second request was sent.
	time.Sleep(serviceTime * 3 / 4)
	cl.cut(0, platformtest.LinkSilent)
	for n := range 10 {
		wg.Go(func() { send(fmt.Sprintf("during-%d", n)) })
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	cl.cut(0, platformtest.LinkUp)
}

func TestHostsThatStopWhileTheyHelpACutHostCutOffNoRequest(t *testing.T) {
	const hosts = 4
	list := make([]*platformtest.Target, 0, 3)
	for n := range 3 {
		list = append(list, platformtest.NewTarget(fmt.Sprintf("t-%d", n), "svc", "d", 16, platformtest.Behaviour{ServiceTime: 400 * time.Millisecond}))
	}
	cl := newFleet(t, fleet{hosts: hosts, proxied: true}, list...)
	cl.cut(0, platformtest.LinkReset)
	require.Eventually(t, func() bool {
		resp, err := cl.send(t.Context(), cl.hosts[0], "first", "/search/x")
		return err == nil && resp.status == http.StatusOK
	}, 5*time.Second, 50*time.Millisecond)
	var wg sync.WaitGroup
	for n := range 60 {
		if n == 10 || n == 30 {
			cl.hosts[n/10].cancel()
		}
		wg.Go(func() {
			id := fmt.Sprintf("r-%d", n)
			resp, err := cl.send(t.Context(), cl.hosts[0], id, []string{"/book/x", "/search/x"}[n%2])
			if err != nil || resp.status != http.StatusOK {
				t.Errorf("%s: %v %v", id, resp, err)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	trace := cl.hosts[2].log.String() + cl.hosts[1].log.String() + cl.hosts[3].log.String()
	require.Contains(t, trace, `"msg":"tunnel has ended"`)
	require.Contains(t, trace, `"request":"r-50"`, "the host that helps logs the request")
	require.Contains(t, string(cl.metrics(cl.hosts[0], "/metrics")), "tamarack_cut_off 1")
}

func TestLargeRequestBodiesPassThroughOtherHosts(t *testing.T) {
	body := strings.Repeat("x", 3<<20)
	cl := newFleet(t, fleet{hosts: 3, proxied: true}, target("t-1", platformtest.Behaviour{}), target("t-2", platformtest.Behaviour{}))
	cl.cut(0, platformtest.LinkReset)
	require.Eventually(t, func() bool {
		resp, err := cl.send(t.Context(), cl.hosts[0], "first", "/search/x")
		return err == nil && resp.status == http.StatusOK
	}, 5*time.Second, 50*time.Millisecond)
	resp, err := platformtest.Request{ID: "up", Host: "shop.example", Path: "/book/x", Body: body, TimeLeft: 2 * time.Second}.Send(t.Context(), http.DefaultClient, cl.hosts[0].cfg.Callers)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.Status)
	require.Contains(t, resp.Body, fmt.Sprintf("ran %d bytes", len(body)))
}
