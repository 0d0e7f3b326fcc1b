package entry_test

import (
	"bytes"
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

	"tamaracktiller.example/tamaracktiller/internal/process/entry"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/internal/report/burn"
	"tamaracktiller.example/tamaracktiller/platform"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// site is a small deployment in one process: a store, targets and hosts.
type site struct {
	t       *testing.T
	store   *platformtest.Store
	targets []*platformtest.Target
	hosts   []*host
	version int
}

type host struct {
	cfg    *settings.Entry
	log    *lockedBuffer
	cancel context.CancelFunc
	done   chan error
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

// hostAddresses counts the loopback addresses that were given out.
var hostAddresses atomic.Uint32

// freeAddress returns an address of a host of its own. Outgoing connections use
// 127.0.0.1, so that none can take its port.
func freeAddress() netip.Addr {
	n := hostAddresses.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(77 + os.Getpid()%100), byte(n >> 8), byte(n)})
}

func newSite(t *testing.T, hosts int, targets ...*platformtest.Target) *site {
	t.Helper()
	s := &site{t: t, store: platformtest.NewStore(), targets: targets}
	t.Cleanup(s.store.Close)
	for _, target := range targets {
		t.Cleanup(target.Close)
		s.store.Put("servers/"+target.ID, target.Entry("ready"))
	}
	s.configure("/search/", "/book/")
	for n := range hosts {
		s.start(fmt.Sprintf("host-%d", n))
	}
	for _, h := range s.hosts {
		s.waitReady(h)
	}
	return s
}

// configure writes a configuration with routes below the prefixes. Requests below
// /book/ must not be repeated.
func (s *site) configure(prefixes ...string) {
	s.version += 3
	routes := make([]platformtest.Route, 0, len(prefixes))
	for _, prefix := range prefixes {
		routes = append(routes, platformtest.Route{Host: "shop.example", Prefix: prefix, Service: "svc", Safe: !strings.HasPrefix(prefix, "/book/"), TimeoutMillis: 1500})
	}
	s.store.Put("op/config", platformtest.Config(s.version, routes))
}

func (s *site) start(name string) *host {
	s.t.Helper()
	ip := freeAddress()
	cfg := &settings.Entry{
		Name: name, Domain: "d", Callers: netip.AddrPortFrom(ip, 8381), Observe: netip.AddrPortFrom(ip, 8388),
		Peers: netip.AddrPortFrom(ip, 7200), Metrics: netip.AddrPortFrom(ip, 7201),
		Store: s.store.Address(), LogLevel: "debug",
		Bounds: settings.Bounds{
			RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, ProbesPerSecond: 60,
			ConfigApply: 2 * time.Second, Drain: 2 * time.Second, Grace: 6 * time.Second, ReturnAfterOutage: 2 * time.Second,
		},
	}
	h := &host{cfg: cfg, log: &lockedBuffer{}, done: make(chan error, 1)}
	p, err := entry.New(cfg, entry.Platform{
		Dialect: platform.Dialect{}, Decoder: platform.Decoder{}, OpenStore: platform.OpenStore, ReadyPath: platform.ReadyPath,
	}, func() (*settings.Entry, error) { return cfg, nil }, h.log)
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { h.done <- p.Run(ctx) }()
	s.t.Cleanup(cancel)
	s.hosts = append(s.hosts, h)
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

func (s *site) waitReady(h *host) {
	s.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !h.ready() {
		select {
		case err := <-h.done:
			s.t.Fatalf("%s ended: %v", h.cfg.Name, err)
		default:
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%s is not ready:\n%s", h.cfg.Name, h.log)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

type got struct {
	status int
	body   string
	header http.Header
}

// send sends a request; the method follows from the path.
func (s *site) send(ctx context.Context, h *host, id, path string) (got, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if strings.HasPrefix(path, "/book/") {
		method, body = http.MethodPost, strings.NewReader("two nights")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.cfg.Callers.String()+path, body)
	if err != nil {
		return got{}, err
	}
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "2000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return got{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return got{status: res.StatusCode, body: string(data), header: res.Header}, err
}

func (s *site) ran(id string) int {
	n := 0
	for _, target := range s.targets {
		n += target.Ran(id)
	}
	return n
}

func target(id string, b platformtest.Behaviour) *platformtest.Target {
	return platformtest.NewTarget(id, "svc", "d", 2, b)
}

func TestRequestsOfAllHostsAreServedWholeAndOnce(t *testing.T) {
	s := newSite(t, 3, target("t-1", platformtest.Behaviour{Work: 20 * time.Millisecond}), target("t-2", platformtest.Behaviour{Work: 20 * time.Millisecond}))
	var wg sync.WaitGroup
	for n := range 60 {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 15 * time.Millisecond)
			id := fmt.Sprintf("r-%d", n)
			path := []string{"/search/x", "/book/x"}[n%2]
			answer, err := s.send(t.Context(), s.hosts[n%3], id, path)
			if err != nil || answer.status != http.StatusOK {
				t.Errorf("%s: %v %v", id, answer, err)
				return
			}
			want := []string{"ran 0 bytes", "ran 10 bytes"}[n%2]
			if !strings.HasSuffix(answer.body, want) || answer.header.Get("X-Server-Signature") == "" || answer.header.Get("X-Request-Id") != id {
				t.Errorf("%s: %v", id, answer)
			}
		})
	}
	wg.Wait()
	for n := 1; n < 60; n += 2 {
		require.Equal(t, 1, s.ran(fmt.Sprintf("r-%d", n)))
	}
	for _, target := range s.targets {
		require.LessOrEqual(t, target.Most(), target.Slots)
	}
}

func TestOutcomesAreTrue(t *testing.T) {
	tests := []struct {
		name     string
		b        platformtest.Behaviour
		path     string
		status   int
		mayRun   int
		retry    bool
		leastRun int
	}{
		{name: "lost answer of a booking", b: platformtest.Behaviour{LoseAnswers: true}, path: "/book/x", status: http.StatusBadGateway, leastRun: 1, mayRun: 1},
		{name: "lost answer of a search is tried again", b: platformtest.Behaviour{LoseAnswers: true}, path: "/search/x", status: http.StatusBadGateway, leastRun: 2, mayRun: 3},
		{name: "failed booking is passed on", b: platformtest.Behaviour{Fail: true}, path: "/book/x", status: http.StatusInternalServerError, leastRun: 1, mayRun: 1},
		{name: "refused booking has not run", b: platformtest.Behaviour{Shed: true}, path: "/book/x", status: http.StatusServiceUnavailable, retry: true},
		{name: "slow booking ends at the timeout", b: platformtest.Behaviour{Work: 3 * time.Second}, path: "/book/x", status: http.StatusGatewayTimeout, leastRun: 1, mayRun: 1},
		{name: "no route", path: "/other/x", status: http.StatusNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, target("t-1", tt.b), target("t-2", tt.b))
			began := time.Now()
			answer, err := s.send(t.Context(), s.hosts[0], "r-1", tt.path)
			require.NoError(t, err)
			require.Equal(t, tt.status, answer.status, s.hosts[0].log.String())
			require.Less(t, time.Since(began), 1700*time.Millisecond, "an answer at the route's timeout at the latest")
			require.GreaterOrEqual(t, s.ran("r-1"), tt.leastRun)
			require.LessOrEqual(t, s.ran("r-1"), tt.mayRun)
			require.Equal(t, tt.retry, answer.header.Get("Retry-After") != "")
			require.Eventually(t, func() bool { return strings.Contains(s.hosts[0].log.String(), `"request":"r-1"`) }, time.Second, 10*time.Millisecond)
		})
	}
}

// One target serves, fails, loses answers and refuses in turn. The log, the metrics and
// the burn report tell the same of the requests.
func TestReportMetricsAndLogAgree(t *testing.T) {
	s := newSite(t, 1, target("t-1", platformtest.Behaviour{}))
	h := s.hosts[0]
	for round, b := range []platformtest.Behaviour{{}, {Fail: true}, {LoseAnswers: true}, {Shed: true}, {}} {
		s.targets[0].SetBehaviour(b)
		for n := range 4 {
			_, err := s.send(t.Context(), h, fmt.Sprintf("r-%d-%d", round, n), []string{"/book/x", "/search/x", "/other/x", "/book/y"}[n])
			require.NoError(t, err)
		}
	}
	get := func(path string) []byte {
		res, err := http.Get("http://" + h.cfg.Metrics.String() + path)
		require.NoError(t, err)
		defer res.Body.Close()
		data, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		return data
	}
	counted := map[string]int{}
	for _, m := range regexp.MustCompile(`tamarack_entry_requests_total\{outcome="([a-z-]+)".*\} (\d+)`).FindAllStringSubmatch(string(get("/metrics")), -1) {
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
	require.NoError(t, json.Unmarshal(get(entry.BurnPath), &r))
	require.Len(t, r.Services, 1)
	w := r.Services[0].Windows[0]
	require.EqualValues(t, counted["served"], w.Good)
	require.EqualValues(t, counted["target-failed"]+counted["refused"]+counted["unknown"], w.Bad)
	blamed := map[burn.Fault]float64{}
	for _, c := range r.Services[0].Causes {
		blamed[c.Fault] += c.Weight
	}
	require.Equal(t, map[burn.Fault]float64{burn.Failed: float64(counted["target-failed"]), burn.Refused: float64(counted["refused"]), burn.Unknown: float64(counted["unknown"])}, blamed)
}

// A request crashes each target that runs it, and comes again at any host. Three targets
// die of it, and others of its route are served.
func TestRequestThatCrashesTargetsIsRefusedByAllHosts(t *testing.T) {
	list := make([]*platformtest.Target, 0, 8)
	for n := range 8 {
		list = append(list, target(fmt.Sprintf("t-%d", n), platformtest.Behaviour{CrashPath: "poison"}))
	}
	s := newSite(t, 3, list...)
	time.Sleep(time.Second) // The hosts have to know each other, so that they agree on the coordinator.
	ran := 0
	for n, h := range s.hosts {
		id := fmt.Sprintf("p-%d", n)
		answer, err := s.send(t.Context(), h, id, "/book/poison")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, answer.status)
		ran += s.ran(id)
	}
	require.Equal(t, 3, ran)
	time.Sleep(1500 * time.Millisecond)
	for n := range 6 {
		id := fmt.Sprintf("again-%d", n)
		answer, err := s.send(t.Context(), s.hosts[n%3], id, "/book/poison")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, answer.status, "%s\n%s\n%s", s.hosts[0].log, s.hosts[1].log, s.hosts[2].log)
		require.Zero(t, s.ran(id))
		answer, err = s.send(t.Context(), s.hosts[n%3], "good-"+id, "/book/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.status)
	}
}

// Targets die while requests of one path run on them, which others of it survive.
func TestRequestsThatWereThereWhenTargetsDiedAreServed(t *testing.T) {
	list := make([]*platformtest.Target, 0, 8)
	for n := range 8 {
		list = append(list, target(fmt.Sprintf("t-%d", n), platformtest.Behaviour{Work: 150 * time.Millisecond}))
	}
	s := newSite(t, 2, list...)
	var wg sync.WaitGroup
	for n := range 14 {
		wg.Go(func() {
			_, err := s.send(t.Context(), s.hosts[n%2], fmt.Sprintf("r-%d", n), "/search/x")
			require.NoError(t, err)
		})
	}
	time.Sleep(80 * time.Millisecond)
	for _, dying := range list[:5] {
		dying.Close()
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(1500 * time.Millisecond)
	for n := range 4 {
		answer, err := s.send(t.Context(), s.hosts[n%2], fmt.Sprintf("later-%d", n), "/search/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.status, s.hosts[n%2].log.String())
	}
}

func TestTargetStopsWhenTheClientLeaves(t *testing.T) {
	s := newSite(t, 1, target("t-1", platformtest.Behaviour{Work: 5 * time.Second}))
	ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
	defer cancel()
	_, err := s.send(ctx, s.hosts[0], "r-1", "/search/x")
	require.Error(t, err)
	require.Eventually(t, func() bool { return s.targets[0].Cut() == 1 }, time.Second, 10*time.Millisecond)
}

func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	s := newSite(t, 2, target("t-1", platformtest.Behaviour{}), target("t-2", platformtest.Behaviour{}))
	s.store.Put("servers/t-1", s.targets[0].Entry("draining"))
	time.Sleep(500 * time.Millisecond)
	before := s.targets[0].Total()
	for n := range 20 {
		answer, err := s.send(t.Context(), s.hosts[n%2], fmt.Sprintf("r-%d", n), "/search/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.status)
	}
	require.Equal(t, before, s.targets[0].Total())
}

func TestHostsServeWithoutTheStoreAndTakeUpWhatCameMeanwhile(t *testing.T) {
	s := newSite(t, 3, target("t-1", platformtest.Behaviour{}), target("t-2", platformtest.Behaviour{}))
	s.store.SetFaults(platformtest.Faults{Down: true})
	time.Sleep(2500 * time.Millisecond)
	for n, h := range s.hosts {
		answer, err := s.send(t.Context(), h, fmt.Sprintf("r-%d", n), "/search/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.status)
		answer, err = s.send(t.Context(), h, fmt.Sprintf("s-%d", n), "/new/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, answer.status, "a route may be there that is not known yet")
	}
	s.configure("/search/", "/new/")
	s.store.Compact()
	s.store.SetFaults(platformtest.Faults{})
	for _, h := range s.hosts {
		require.Eventually(t, func() bool {
			answer, err := s.send(t.Context(), h, "r-9", "/new/x")
			return err == nil && answer.status == http.StatusOK
		}, 3*time.Second, 50*time.Millisecond, "%s", h.log)
	}
}

func TestOneHostWatchesTheStoreForAll(t *testing.T) {
	s := newSite(t, 4, target("t-1", platformtest.Behaviour{}))
	time.Sleep(time.Second)
	before := s.store.Calls("kv-watch")
	time.Sleep(2 * time.Second)
	require.LessOrEqual(t, s.store.Calls("kv-watch")-before, 6, "one host watches, at most every 700 ms, and may change hands once")
	s.configure("/search/", "/later/")
	for _, h := range s.hosts {
		require.Eventually(t, func() bool {
			answer, err := s.send(t.Context(), h, "r-1", "/later/x")
			return err == nil && answer.status == http.StatusOK
		}, 2*time.Second, 20*time.Millisecond)
	}
}

func TestLeavingHostEndsWhatRunsWithinTheGracePeriod(t *testing.T) {
	s := newSite(t, 2, target("t-1", platformtest.Behaviour{Work: 700 * time.Millisecond}), target("t-2", platformtest.Behaviour{Work: 700 * time.Millisecond}))
	h := s.hosts[0]
	answers := make(chan got, 1)
	go func() {
		answer, err := s.send(context.Background(), h, "r-1", "/book/x")
		if err != nil {
			answer.body = err.Error()
		}
		answers <- answer
	}()
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	h.cancel()
	require.Eventually(t, func() bool { return !h.ready() }, time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, (<-answers).status)
	answer, err := s.send(t.Context(), h, "r-2", "/search/x")
	require.NoError(t, err, "the host serves until the platform has noticed")
	require.Equal(t, http.StatusOK, answer.status)
	require.NoError(t, <-h.done)
	require.Less(t, time.Since(began), 6*time.Second)
}
