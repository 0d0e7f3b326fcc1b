package entry_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/process/entry"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/internal/report/burn"
	"tamaracktiller.example/tamaracktiller/platform"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// cluster is a small deployment in one process: a store, targets and hosts.
type cluster struct {
	t       *testing.T
	store   *platformtest.Store
	targets []*platformtest.Target
	version int
	// firstStart is set while the fleet starts for the first time.
	firstStart bool
	// domains is the number of failure domains. Host n is in domain n modulo domains.
	domains int
	// grace is the grace period of planned stops; 0 means 6 s.
	grace   time.Duration
	proxies []*platformtest.Proxy
	// storeProxies holds the proxies between hosts and the store, by host; nil for none.
	storeProxies map[string]*platformtest.Proxy
	// revoke is the bound of strict revocation; 0 means that revocation is not strict.
	revoke time.Duration

	// mu guards hosts, to which tests add while others send requests.
	mu    sync.Mutex
	hosts []*host
	// memory is the memory of each host in bytes.
	memory int64
	// noAccounts is set if the settings say that there are no client accounts.
	noAccounts bool
}

type host struct {
	cfg     *settings.Entry
	process *entry.Process
	log     *lockedBuffer
	// settings are those that the process reads when it reloads them.
	settings atomic.Pointer[settings.Entry]
	cancel   context.CancelFunc
	done     chan error
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// hostAddresses counts the loopback addresses in use.
var hostAddresses atomic.Uint32

// freeAddress returns an unused loopback address. Outgoing connections use 127.0.0.1, so
// they can't take a port on it.
func freeAddress() netip.Addr {
	n := hostAddresses.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(2 + os.Getpid()%60), byte(n >> 8), byte(n)})
}

func newCluster(t *testing.T, hosts int, targets ...*platformtest.Target) *cluster {
	t.Helper()
	return newFleet(t, fleet{hosts: hosts}, targets...)
}

// newFirstCluster returns a deployment that starts for the first time.
func newFirstCluster(t *testing.T, hosts int, targets ...*platformtest.Target) *cluster {
	t.Helper()
	return newFleet(t, fleet{hosts: hosts, firstStart: true}, targets...)
}

// fleet describes the hosts of a cluster.
type fleet struct {
	hosts int
	// domains is the number of failure domains over which hosts are spread; 0 means one.
	domains    int
	firstStart bool
	// proxied puts a proxy before each target, which tells connections of hosts apart.
	proxied bool
	// grace is the grace period of planned stops; 0 means 6 s.
	grace time.Duration
	// revoke is the bound of strict revocation; 0 means that revocation is not strict. Each host has a
	// proxy before the store then.
	revoke time.Duration
	// memory is the memory of each host in bytes; 0 means that clients have no budget.
	memory int64
	// noAccounts is set if the deployment has no client accounts according to its settings.
	noAccounts bool
}

func newFleet(t *testing.T, f fleet, targets ...*platformtest.Target) *cluster {
	t.Helper()
	cl := &cluster{t: t, store: platformtest.NewStore(), targets: targets, firstStart: f.firstStart, domains: max(1, f.domains), grace: f.grace, revoke: f.revoke, memory: f.memory, noAccounts: f.noAccounts}
	if f.revoke > 0 {
		cl.storeProxies = map[string]*platformtest.Proxy{}
	}
	t.Cleanup(cl.store.Close)
	for _, target := range targets {
		t.Cleanup(target.Close)
		address := target.Address()
		if f.proxied {
			g := group.New(t.Context())
			proxy, err := platformtest.NewProxy(t.Context(), address, g)
			require.NoError(t, err)
			cl.proxies = append(cl.proxies, proxy)
			address = proxy.Address()
		}
		cl.store.Put("servers/"+target.ID, target.EntryAt(address, "ready"))
	}
	cl.configure("/search/", "/book/")
	for n := range f.hosts {
		cl.start(fmt.Sprintf("host-%d", n))
	}
	for _, h := range cl.hosts {
		cl.waitReady(h)
	}
	if cl.firstStart {
		cl.waitFounded()
	}
	cl.firstStart = false
	return cl
}

// configure writes a configuration with a route for each prefix. Requests below /book/ must
// not be repeated.
func (cl *cluster) configure(prefixes ...string) {
	cl.version += 3
	routes := make([]platformtest.Route, 0, len(prefixes))
	for _, prefix := range prefixes {
		routes = append(routes, platformtest.Route{Host: "shop.example", Prefix: prefix, Service: "svc", Safe: !strings.HasPrefix(prefix, "/book/"), TimeoutMillis: 1500})
	}
	cl.store.Put("op/config", platformtest.Config(cl.version, routes))
}

func (cl *cluster) start(name string) *host {
	cl.t.Helper()
	h := cl.run(name, len(cl.hosts)%max(1, cl.domains))
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.hosts = append(cl.hosts, h)
	return h
}

// restart starts a new process in place of a host.
func (cl *cluster) restart(index int) {
	cl.t.Helper()
	h := cl.run(fmt.Sprintf("host-%d", index), index%max(1, cl.domains))
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.hosts[index] = h
}

// run runs the process of a host.
func (cl *cluster) run(name string, domain int) *host {
	cl.t.Helper()
	ip := freeAddress()
	cfg := &settings.Entry{
		Name: name, Domain: []string{"d", "e", "f"}[domain], FirstStart: cl.firstStart, Source: ip, Callers: netip.AddrPortFrom(ip, 8381), Observe: netip.AddrPortFrom(ip, 8388),
		Peers: netip.AddrPortFrom(ip, 7200), Metrics: netip.AddrPortFrom(ip, 7201),
		Store: cl.store.Address(), LogLevel: "debug", MemoryBytes: cl.memory, NoAccounts: cl.noAccounts,
		Bounds: settings.Bounds{
			RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, ProbesPerSecond: 60,
			ConfigApply: 2 * time.Second, Drain: 2 * time.Second, Grace: cmp.Or(cl.grace, 6*time.Second), ReregisterTimeout: 2 * time.Second,
		},
	}
	if cl.revoke > 0 {
		cfg.Bounds.StrictRevoke, cfg.Bounds.Revoke = true, cl.revoke
		proxy, err := platformtest.NewProxy(cl.t.Context(), cfg.Store, group.New(cl.t.Context()))
		require.NoError(cl.t, err)
		cl.storeProxies[name], cfg.Store = proxy, proxy.Address()
	}
	h := &host{cfg: cfg, log: &lockedBuffer{}, done: make(chan error, 1)}
	h.settings.Store(cfg)
	p, err := entry.New(cfg, entry.Platform{
		Dialect: platform.Dialect{}, Decoder: platform.Decoder{}, OpenStore: platform.OpenStore, ReadyPath: platform.ReadyPath,
	}, func() (*settings.Entry, error) { return h.settings.Load(), nil }, h.log)
	require.NoError(cl.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.process = cancel, p
	go func() { h.done <- p.Run(ctx) }()
	cl.t.Cleanup(func() {
		cancel()
		// Otherwise the host writes to the store of a later test that has got the same port.
		p.End()
	})
	return h
}

func (h *host) ready() bool {
	res, err := http.Get("http://" + h.cfg.Observe.String() + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (cl *cluster) waitReady(h *host) {
	cl.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !h.ready() {
		select {
		case err := <-h.done:
			cl.t.Fatalf("%s ended: %v", h.cfg.Name, err)
		default:
		}
		if time.Now().After(deadline) {
			cl.t.Fatalf("%s is not ready:\n%s", h.cfg.Name, h.log)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// waitFounded waits until all hosts know the recorded size of the fleet. On a busy machine a host may
// register too late to be a founder.
func (cl *cluster) waitFounded() {
	cl.t.Helper()
	require.Eventually(cl.t, func() bool {
		for _, h := range cl.hosts {
			if !strings.Contains(h.log.String(), "size of the fleet is recorded") {
				return false
			}
		}
		return true
	}, 10*time.Second, 20*time.Millisecond)
}

type response struct {
	status int
	body   string
	header http.Header
}

// send sends a request. Paths below /book/ use POST, all others GET.
func (cl *cluster) send(ctx context.Context, h *host, id, path string) (response, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if strings.HasPrefix(path, "/book/") {
		method, body = http.MethodPost, strings.NewReader("two nights")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.cfg.Callers.String()+path, body)
	if err != nil {
		return response{}, err
	}
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "2000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return response{status: res.StatusCode, body: string(data), header: res.Header}, err
}

// metrics returns what a host serves on its metrics address.
func (cl *cluster) metrics(h *host, path string) []byte {
	cl.t.Helper()
	res, err := http.Get("http://" + h.cfg.Metrics.String() + path)
	require.NoError(cl.t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	require.NoError(cl.t, err)
	return data
}

func (cl *cluster) runCount(id string) int {
	n := 0
	for _, target := range cl.targets {
		n += target.Runs(id)
	}
	return n
}

func target(id string, b platformtest.Behaviour) *platformtest.Target {
	return platformtest.NewTarget(id, "svc", "d", 2, b)
}

func TestRequestsToAllHostsAreServedCompletelyAndOnce(t *testing.T) {
	cl := newCluster(t, 3, target("t-1", platformtest.Behaviour{ServiceTime: 20 * time.Millisecond}), target("t-2", platformtest.Behaviour{ServiceTime: 20 * time.Millisecond}))
	var wg sync.WaitGroup
	for n := range 60 {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 15 * time.Millisecond)
			id := fmt.Sprintf("r-%d", n)
			path := []string{"/search/x", "/book/x"}[n%2]
			resp, err := cl.send(t.Context(), cl.hosts[n%3], id, path)
			if err != nil || resp.status != http.StatusOK {
				t.Errorf("%s: %v %v", id, resp, err)
				return
			}
			want := []string{"ran 0 bytes", "ran 10 bytes"}[n%2]
			if !strings.HasSuffix(resp.body, want) || resp.header.Get("X-Server-Signature") == "" || resp.header.Get("X-Request-Id") != id {
				t.Errorf("%s: %v", id, resp)
			}
		})
	}
	wg.Wait()
	for n := 1; n < 60; n += 2 {
		require.Equal(t, 1, cl.runCount(fmt.Sprintf("r-%d", n)))
	}
	for _, target := range cl.targets {
		require.LessOrEqual(t, target.MaxRunning(), target.Slots)
	}
}

func TestOutcomesReportWhetherTheRequestRan(t *testing.T) {
	tests := []struct {
		name       string
		b          platformtest.Behaviour
		path       string
		status     int
		maxRuns    int
		retryAfter bool
		minRuns    int
	}{
		{name: "lost response is not retried for a booking", b: platformtest.Behaviour{DropResponses: true}, path: "/book/x", status: http.StatusBadGateway, minRuns: 1, maxRuns: 1},
		{name: "lost response is retried for a search", b: platformtest.Behaviour{DropResponses: true}, path: "/search/x", status: http.StatusBadGateway, minRuns: 2, maxRuns: 3},
		{name: "server error of a booking is returned", b: platformtest.Behaviour{Fail: true}, path: "/book/x", status: http.StatusInternalServerError, minRuns: 1, maxRuns: 1},
		{name: "rejected booking has not run", b: platformtest.Behaviour{Shed: true}, path: "/book/x", status: http.StatusServiceUnavailable, retryAfter: true},
		{name: "slow booking ends at the timeout", b: platformtest.Behaviour{ServiceTime: 3 * time.Second}, path: "/book/x", status: http.StatusGatewayTimeout, minRuns: 1, maxRuns: 1},
		{name: "no route", path: "/other/x", status: http.StatusNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cl := newFirstCluster(t, 1, target("t-1", tt.b), target("t-2", tt.b))
			started := time.Now()
			resp, err := cl.send(t.Context(), cl.hosts[0], "r-1", tt.path)
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.status, cl.hosts[0].log.String())
			require.Less(t, time.Since(started), 1700*time.Millisecond, "the response must come by the route's timeout")
			require.GreaterOrEqual(t, cl.runCount("r-1"), tt.minRuns)
			require.LessOrEqual(t, cl.runCount("r-1"), tt.maxRuns)
			require.Equal(t, tt.retryAfter, resp.header.Get("Retry-After") != "")
			require.Eventually(t, func() bool { return strings.Contains(cl.hosts[0].log.String(), `"request":"r-1"`) }, time.Second, 10*time.Millisecond)
		})
	}
}

// One target serves, fails, drops responses and sheds load in turn. The log, the metrics
// and the burn rate report must agree on the outcomes.
func TestReportMetricsAndLogAgree(t *testing.T) {
	// The weights of causes decay at each full minute of the wall clock.
	const needed = 10 * time.Second
	if left := time.Minute - time.Duration(time.Now().Second())*time.Second; left < needed {
		time.Sleep(left)
	}
	cl := newCluster(t, 1, target("t-1", platformtest.Behaviour{}))
	h := cl.hosts[0]
	for round, b := range []platformtest.Behaviour{{}, {Fail: true}, {DropResponses: true}, {Shed: true}, {}} {
		cl.targets[0].SetBehaviour(b)
		for n := range 4 {
			_, err := cl.send(t.Context(), h, fmt.Sprintf("r-%d-%d", round, n), []string{"/book/x", "/search/x", "/other/x", "/book/y"}[n])
			require.NoError(t, err)
		}
	}
	counted := map[string]int{}
	for _, m := range regexp.MustCompile(`tamarack_entry_requests_total\{outcome="([a-z-]+)".*\} (\d+)`).FindAllStringSubmatch(string(cl.metrics(h, "/metrics")), -1) {
		n, err := strconv.Atoi(m[2])
		require.NoError(t, err)
		counted[m[1]] += n
	}
	logged := map[string]int{}
	require.Eventually(t, func() bool {
		clear(logged)
		for _, m := range regexp.MustCompile(`"msg":"request finished","outcome":"([a-z-]+)"`).FindAllStringSubmatch(h.log.String(), -1) {
			logged[m[1]]++
		}
		return reflect.DeepEqual(logged, counted)
	}, time.Second, 10*time.Millisecond, "logged %v, counted %v", logged, counted)
	require.Len(t, counted, 5, "%v", counted)
	require.Equal(t, 5, counted["denied"])

	var r burn.Report
	require.NoError(t, json.Unmarshal(cl.metrics(h, entry.BurnPath), &r))
	require.Len(t, r.Services, 1)
	w := r.Services[0].Windows[0]
	require.EqualValues(t, counted["served"], w.Good)
	require.EqualValues(t, counted["target-failed"]+counted["refused"]+counted["unknown"], w.Bad)
	countByFault := map[burn.Fault]float64{}
	for _, c := range r.Services[0].Causes {
		countByFault[c.Fault] += c.Weight
	}
	require.Equal(t, map[burn.Fault]float64{burn.Failed: float64(counted["target-failed"]), burn.Refused: float64(counted["refused"]), burn.Unknown: float64(counted["unknown"])}, countByFault)
}

// Guards against a status of a target that tells a client that its request has not run, although it has: the client would
// send it again. Only a response with X-Not-Executed says that a request has not run.
func TestStatusesOfTargetsPromiseNothingUntrue(t *testing.T) {
	tests := []struct {
		status int
		// unsafe and safe are the statuses that clients get for a request that must not be repeated, and for one that
		// may be.
		unsafe, safe int
	}{
		{status: http.StatusOK, unsafe: http.StatusOK, safe: http.StatusOK},
		{status: http.StatusNotFound, unsafe: http.StatusNotFound, safe: http.StatusNotFound},
		{status: http.StatusConflict, unsafe: http.StatusConflict, safe: http.StatusConflict},
		{status: http.StatusTooEarly, unsafe: http.StatusTooEarly, safe: http.StatusTooEarly},
		{status: http.StatusRequestTimeout, unsafe: http.StatusBadGateway, safe: http.StatusRequestTimeout},
		{status: http.StatusTooManyRequests, unsafe: http.StatusBadGateway, safe: http.StatusTooManyRequests},
		{status: http.StatusInternalServerError, unsafe: http.StatusInternalServerError, safe: http.StatusInternalServerError},
		{status: http.StatusServiceUnavailable, unsafe: http.StatusBadGateway, safe: http.StatusServiceUnavailable},
		{status: http.StatusGatewayTimeout, unsafe: http.StatusGatewayTimeout, safe: http.StatusGatewayTimeout},
	}
	cl := newCluster(t, 1, target("t-1", platformtest.Behaviour{}))
	for _, tt := range tests {
		t.Run(strconv.Itoa(tt.status), func(t *testing.T) {
			cl.targets[0].SetBehaviour(platformtest.Behaviour{Status: tt.status})
			for path, want := range map[string]int{"/book/x": tt.unsafe, "/search/x": tt.safe} {
				id := fmt.Sprintf("r-%d%s", tt.status, strings.ReplaceAll(path, "/", "-"))
				resp, err := cl.send(t.Context(), cl.hosts[0], id, path)
				require.NoError(t, err)
				require.Equal(t, want, resp.status, path)
				require.Equal(t, want == tt.status, resp.header.Get("X-Server-Signature") != "", "only the target's own response has its signature")
				require.Positive(t, cl.runCount(id))
				if path == "/book/x" {
					require.Equal(t, 1, cl.runCount(id))
				}
			}
		})
	}
}

// Guards against a request that crashes every target that runs it and is sent again to
// any host: after three targets have crashed, all hosts reject it and still serve other
// requests of its route.
func TestRequestThatCrashesTargetsIsRejectedByAllHosts(t *testing.T) {
	for _, tt := range []struct {
		name string
		// after is the number of bytes of the response that a target sends before.
		after int
	}{
		{name: "before the response"},
		{name: "in the middle of the response", after: 1000},
		{name: "in the middle of a long response", after: 2 << 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			requireCrashingRequestIsRejected(t, platformtest.Behaviour{CrashPath: "poison", CrashAfterBytes: tt.after})
		})
	}
}

func requireCrashingRequestIsRejected(t *testing.T, b platformtest.Behaviour) {
	list := make([]*platformtest.Target, 0, 8)
	for n := range 8 {
		list = append(list, target(fmt.Sprintf("t-%d", n), b))
	}
	cl := newCluster(t, 3, list...)
	time.Sleep(time.Second) // The hosts must have discovered each other to agree on the coordinator.
	ran := 0
	for n, h := range cl.hosts {
		id := fmt.Sprintf("p-%d", n)
		resp, err := cl.send(t.Context(), h, id, "/book/poison")
		if err == nil {
			// A long response has begun before its target crashes, and is cut off.
			require.Equal(t, http.StatusBadGateway, resp.status)
		}
		ran += cl.runCount(id)
	}
	require.Equal(t, 3, ran)
	time.Sleep(1500 * time.Millisecond)
	for n := range 6 {
		id := fmt.Sprintf("again-%d", n)
		resp, err := cl.send(t.Context(), cl.hosts[n%3], id, "/book/poison")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.status, "%s\n%s\n%s", cl.hosts[0].log, cl.hosts[1].log, cl.hosts[2].log)
		require.Zero(t, cl.runCount(id))
		resp, err = cl.send(t.Context(), cl.hosts[n%3], "good-"+id, "/book/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.status)
	}
}

// Guards against hosts that send a request again which crashes targets, because they have started since it was
// blocked: they know it from the store and from each other.
func TestRequestThatCrashesTargetsStaysRejectedWhileHostsAreReplaced(t *testing.T) {
	const hosts = 4
	tests := []struct {
		name string
		// replace replaces all hosts, and calls check after each step.
		replace func(cl *cluster, check func())
	}{
		{name: "in turn", replace: func(cl *cluster, check func()) {
			for n := range hosts {
				cl.hosts[n].cancel()
				cl.restart(n)
				cl.waitReady(cl.hosts[n])
				check()
			}
		}},
		{name: "all at once", replace: func(cl *cluster, check func()) {
			for n := range hosts {
				cl.hosts[n].cancel()
			}
			for n := range hosts {
				cl.restart(n)
			}
			for n := range hosts {
				cl.waitReady(cl.hosts[n])
			}
			check()
		}},
		{name: "all but one, after the store was away", replace: func(cl *cluster, check func()) {
			cl.store.SetFaults(platformtest.Faults{Down: true})
			time.Sleep(2500 * time.Millisecond)
			cl.store.SetFaults(platformtest.Faults{})
			for n := range hosts - 1 {
				cl.hosts[n].cancel()
				cl.restart(n)
				cl.waitReady(cl.hosts[n])
			}
			check()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			list := make([]*platformtest.Target, 0, 12)
			for n := range 12 {
				list = append(list, target(fmt.Sprintf("t-%d", n), platformtest.Behaviour{CrashPath: "poison"}))
			}
			cl := newCluster(t, hosts, list...)
			time.Sleep(time.Second) // The hosts must have discovered each other.
			for n := range 3 {
				resp, err := cl.send(t.Context(), cl.hosts[n], fmt.Sprintf("p-%d", n), "/book/poison")
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, resp.status)
			}
			require.Eventually(t, func() bool {
				return strings.Contains(fmt.Sprint(cl.storeKeys()), "fleet/blocked/")
			}, 5*time.Second, 20*time.Millisecond)
			step := 0
			tt.replace(cl, func() {
				step++
				for n, h := range cl.hosts {
					id := fmt.Sprintf("again-%d-%d", step, n)
					resp, err := cl.send(t.Context(), h, id, "/book/poison")
					require.NoError(t, err)
					require.Equal(t, http.StatusServiceUnavailable, resp.status, "%s", h.log)
					require.Zero(t, cl.runCount(id))
					resp, err = cl.send(t.Context(), h, "good-"+id, "/book/x")
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, resp.status)
				}
			})
			require.Positive(t, step)
		})
	}
}

// Guards against evidence that is lost with hosts before there is enough of it: a request that crashes targets comes
// again and again while hosts are replaced.
func TestRequestThatCrashesTargetsIsFoundWhileHostsAreReplaced(t *testing.T) {
	const (
		hosts  = 4
		period = 350 * time.Millisecond
		length = 12 * time.Second
		// Targets get no more than maxLate such requests later than lateAfter after the third crash.
		lateAfter, maxLate = 3 * time.Second, 3
	)
	tests := []struct {
		name string
		// every is the time between two replacements, of one host or all.
		every time.Duration
		all   bool
		// first is the time between two of the first requests, so that hosts are replaced between them.
		first time.Duration
	}{
		{name: "in turn", every: 700 * time.Millisecond, first: period},
		{name: "in turn, seldom requested", every: 700 * time.Millisecond, first: 2 * time.Second},
		{name: "all at once", every: 3 * time.Second, all: true, first: period},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			list := make([]*platformtest.Target, 0, 40)
			var mu sync.Mutex
			var runs []time.Time
			for n := range 40 {
				target := target(fmt.Sprintf("t-%d", n), platformtest.Behaviour{CrashPath: "poison"})
				target.OnEvent = func(e platformtest.Event) {
					if e.Kind == platformtest.Started && strings.HasPrefix(e.RequestID, "poison") {
						mu.Lock()
						defer mu.Unlock()
						runs = append(runs, e.At)
					}
				}
				list = append(list, target)
			}
			cl := newCluster(t, hosts, list...)
			time.Sleep(time.Second) // The hosts must have discovered each other.
			end := time.Now().Add(length)
			var wg sync.WaitGroup
			wg.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					cl.mu.Lock()
					h := cl.hosts[n%hosts]
					cl.mu.Unlock()
					_, _ = cl.send(t.Context(), h, fmt.Sprintf("poison-%d", n), "/search/poison")
					pause := period
					if n < 4 {
						pause = tt.first
					}
					time.Sleep(pause)
				}
			})
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(tt.every)
				for i := range hosts {
					if !tt.all && i != n%hosts {
						continue
					}
					cl.hosts[i].cancel()
					cl.restart(i)
				}
			}
			wg.Wait()
			mu.Lock()
			defer mu.Unlock()
			require.GreaterOrEqual(t, len(runs), 3)
			late := 0
			for _, at := range runs {
				if at.After(runs[2].Add(lateAfter)) {
					late++
				}
			}
			t.Logf("%d runs, %d of them late", len(runs), late)
			require.LessOrEqual(t, late, maxLate)
		})
	}
}

// storeKeys returns the keys that the store holds.
func (cl *cluster) storeKeys() []string {
	cl.t.Helper()
	page, err := platform.NewClient(cl.store.Address(), nil).Range(cl.t.Context(), "")
	require.NoError(cl.t, err)
	keys := make([]string, 0, len(page.Items))
	for _, item := range page.Items {
		keys = append(keys, item.Key)
	}
	return keys
}

// Guards against a request that crashes targets and is never rejected, because a request of another client
// account with the same path and body is served.
func TestRequestThatCrashesTargetsIsRejectedWhileAnotherAccountIsServed(t *testing.T) {
	list := make([]*platformtest.Target, 0, 12)
	for n := range 12 {
		list = append(list, target(fmt.Sprintf("t-%d", n), platformtest.Behaviour{CrashPath: "overview", CrashAccount: "alder"}))
	}
	cl := newCluster(t, 3, list...)
	cl.configureAccounts(shopAccounts()...)
	time.Sleep(time.Second) // The hosts must have discovered each other to agree on the coordinators.
	var others sync.WaitGroup
	stop := make(chan struct{})
	served := make([]atomic.Int64, len(cl.hosts))
	for n, h := range cl.hosts {
		others.Go(func() {
			for i := 0; ; i++ {
				if cl.sendWith(h, fmt.Sprintf("birch-%d-%d", n, i), "/book/overview", "two nights", credential(otherKey)).status == http.StatusOK {
					served[n].Add(1)
				}
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	for n := range 3 {
		resp := cl.sendWith(cl.hosts[n], fmt.Sprintf("alder-%d", n), "/book/overview", "two nights", credential(goodKey))
		require.Equal(t, http.StatusBadGateway, resp.status)
	}
	time.Sleep(1700 * time.Millisecond)
	for n := range 6 {
		id := fmt.Sprintf("again-%d", n)
		// The other key of the account makes no difference.
		resp := cl.sendWith(cl.hosts[n%3], id, "/book/overview", "two nights", credential([]string{goodKey, "k-second"}[n%2]))
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.Zero(t, cl.runCount(id))
	}
	before := make([]int64, len(served))
	for n := range served {
		before[n] = served[n].Load()
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	others.Wait()
	for n := range served {
		require.Greater(t, served[n].Load(), before[n], "the other account is still served by host %d", n)
	}
}

// upload sends an upload with a length, or in chunks.
func (cl *cluster) upload(h *host, id, path, body string, chunked bool) response {
	cl.t.Helper()
	var r io.Reader = strings.NewReader(body)
	if chunked {
		r = io.MultiReader(r)
	}
	req, err := http.NewRequestWithContext(cl.t.Context(), http.MethodPost, "http://"+h.cfg.Callers.String()+path, r)
	require.NoError(cl.t, err)
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "2000")
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	require.NoError(cl.t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	require.NoError(cl.t, err)
	return response{status: res.StatusCode, body: string(data), header: res.Header}
}

// Guards against uploads that are too long to be buffered and crash one target after the other,
// since they were left out of the evidence. Others are told apart by what is read before they are
// sent: the path, the length and the beginning.
func TestLargeUploadThatCrashesTargetsIsRejectedByAllHosts(t *testing.T) {
	const size = 3 << 20
	body := strings.Repeat("0123456789abcdef", size/16)
	changed := func(at int) string { return body[:at] + "X" + body[at+1:] }
	tests := []struct {
		name    string
		chunked bool
		// behind is a place in the body behind what is compared.
		behind int
	}{
		{name: "with a length", behind: 100 << 10},
		{name: "in chunks", chunked: true, behind: 2 << 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			list := make([]*platformtest.Target, 0, 9)
			for n := range 9 {
				list = append(list, target(fmt.Sprintf("t-%d", n), platformtest.Behaviour{CrashPath: "poison"}))
			}
			cl := newCluster(t, 3, list...)
			time.Sleep(time.Second) // The hosts must have discovered each other to agree on the coordinator.
			for n, h := range cl.hosts {
				id := fmt.Sprintf("p-%d", n)
				require.Equal(t, http.StatusBadGateway, cl.upload(h, id, "/book/poison", body, tt.chunked).status)
				require.Equal(t, 1, cl.runCount(id))
			}
			time.Sleep(1500 * time.Millisecond)
			for n, h := range cl.hosts {
				id := fmt.Sprintf("again-%d", n)
				require.Equal(t, http.StatusServiceUnavailable, cl.upload(h, id, "/book/poison", body, tt.chunked).status)
				require.Equal(t, http.StatusServiceUnavailable, cl.upload(h, id+"-b", "/book/poison", changed(tt.behind), tt.chunked).status, "differs only behind what is compared")
				require.Zero(t, cl.runCount(id)+cl.runCount(id+"-b"))
			}
			others := []struct{ name, path, body string }{
				{"another path", "/book/x", body},
				{"another beginning", "/book/x", changed(10)},
				{"the last byte differs", "/book/x", changed(size - 1)},
				{"shorter", "/book/x", body[:size-1]},
			}
			for n, o := range others {
				resp := cl.upload(cl.hosts[n%3], o.name, o.path, o.body, tt.chunked)
				require.Equal(t, http.StatusOK, resp.status, o.name)
				require.Contains(t, resp.body, fmt.Sprintf("ran %d bytes", len(o.body)), o.name)
			}
			require.Equal(t, http.StatusBadGateway, cl.upload(cl.hosts[0], "c-0", "/book/poison", changed(10), tt.chunked).status, "an upload with another beginning is not refused")
			require.Equal(t, 1, cl.runCount("c-0"))
		})
	}
}

// Guards against blocking requests that only happened to run on targets that crashed for
// another reason: other requests of the same path succeed.
func TestRequestsInFlightDuringCrashesAreNotBlocked(t *testing.T) {
	list := make([]*platformtest.Target, 0, 8)
	for n := range 8 {
		list = append(list, target(fmt.Sprintf("t-%d", n), platformtest.Behaviour{ServiceTime: 150 * time.Millisecond}))
	}
	cl := newCluster(t, 2, list...)
	var wg sync.WaitGroup
	for n := range 14 {
		wg.Go(func() {
			_, err := cl.send(t.Context(), cl.hosts[n%2], fmt.Sprintf("r-%d", n), "/search/x")
			require.NoError(t, err)
		})
	}
	time.Sleep(80 * time.Millisecond)
	for _, crashed := range list[:5] {
		crashed.Close()
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(1500 * time.Millisecond)
	for n := range 4 {
		resp, err := cl.send(t.Context(), cl.hosts[n%2], fmt.Sprintf("later-%d", n), "/search/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.status, cl.hosts[n%2].log.String())
	}
}

func TestClientDisconnectCancelsTheRequestAtTheTarget(t *testing.T) {
	cl := newCluster(t, 1, target("t-1", platformtest.Behaviour{ServiceTime: 5 * time.Second}))
	ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
	defer cancel()
	_, err := cl.send(ctx, cl.hosts[0], "r-1", "/search/x")
	require.Error(t, err)
	require.Eventually(t, func() bool { return cl.targets[0].Aborted() == 1 }, time.Second, 10*time.Millisecond)
}

func TestDrainingTargetGetsNoNewRequests(t *testing.T) {
	cl := newCluster(t, 2, target("t-1", platformtest.Behaviour{}), target("t-2", platformtest.Behaviour{}))
	cl.store.Put("servers/t-1", cl.targets[0].Entry("draining"))
	time.Sleep(500 * time.Millisecond)
	before := cl.targets[0].TotalRuns()
	for n := range 20 {
		resp, err := cl.send(t.Context(), cl.hosts[n%2], fmt.Sprintf("r-%d", n), "/search/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.status)
	}
	require.Equal(t, before, cl.targets[0].TotalRuns())
}

func TestHostsServeDuringStoreOutageAndCatchUpAfterwards(t *testing.T) {
	cl := newCluster(t, 3, target("t-1", platformtest.Behaviour{}), target("t-2", platformtest.Behaviour{}))
	cl.store.SetFaults(platformtest.Faults{Down: true})
	time.Sleep(2500 * time.Millisecond)
	for n, h := range cl.hosts {
		resp, err := cl.send(t.Context(), h, fmt.Sprintf("r-%d", n), "/search/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.status)
		resp, err = cl.send(t.Context(), h, fmt.Sprintf("s-%d", n), "/new/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.status, "the route may exist in a configuration that the host does not know")
	}
	cl.configure("/search/", "/new/")
	cl.store.Compact()
	cl.store.SetFaults(platformtest.Faults{})
	for _, h := range cl.hosts {
		require.Eventually(t, func() bool {
			resp, err := cl.send(t.Context(), h, "r-9", "/new/x")
			return err == nil && resp.status == http.StatusOK
		}, 3*time.Second, 50*time.Millisecond, "%s", h.log)
	}
}

func TestOneHostWatchesTheStoreForAll(t *testing.T) {
	cl := newCluster(t, 4, target("t-1", platformtest.Behaviour{}))
	time.Sleep(time.Second)
	before := cl.store.Calls("kv-watch")
	time.Sleep(2 * time.Second)
	require.LessOrEqual(t, cl.store.Calls("kv-watch")-before, 6, "one host watches, at most every 700 ms, and the role may move to another host once")
	cl.configure("/search/", "/later/")
	for _, h := range cl.hosts {
		require.Eventually(t, func() bool {
			resp, err := cl.send(t.Context(), h, "r-1", "/later/x")
			return err == nil && resp.status == http.StatusOK
		}, 2*time.Second, 20*time.Millisecond)
	}
}

func TestShutdownFinishesRequestsWithinTheGracePeriod(t *testing.T) {
	cl := newCluster(t, 2, target("t-1", platformtest.Behaviour{ServiceTime: 700 * time.Millisecond}), target("t-2", platformtest.Behaviour{ServiceTime: 700 * time.Millisecond}))
	h := cl.hosts[0]
	responses := make(chan response, 1)
	go func() {
		resp, err := cl.send(context.Background(), h, "r-1", "/book/x")
		if err != nil {
			resp.body = err.Error()
		}
		responses <- resp
	}()
	time.Sleep(200 * time.Millisecond)
	started := time.Now()
	h.cancel()
	require.Eventually(t, func() bool { return !h.ready() }, time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, (<-responses).status)
	resp, err := cl.send(t.Context(), h, "r-2", "/search/x")
	require.NoError(t, err, "the host must serve until the platform has noticed")
	require.Equal(t, http.StatusOK, resp.status)
	require.NoError(t, <-h.done)
	require.Less(t, time.Since(started), 6*time.Second)
}
