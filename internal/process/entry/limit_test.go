package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/process/entry"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	// limitWindow is the sliding window in which the requests to a limited target are
	// counted. From limitNotice after a target named or changed its limit, it gets at most
	// limitRatio times what the limit allows, and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitNotice = 3 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5.0
	// minLimitUse is the share of the limits that is used while callers send more than all
	// targets take, also around planned stops and while the store is down.
	minLimitUse = 0.35
)

// eventLog records the events of a target.
type eventLog struct {
	mu   sync.Mutex
	list []platformtest.Event
}

func record(target *platformtest.Target) *eventLog {
	l := &eventLog{}
	target.OnEvent = func(e platformtest.Event) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.list = append(l.list, e)
	}
	return l
}

// mostIn returns the highest number of events in a window of the given length between from
// and to. Probes count if withProbes is set.
func (l *eventLog) mostIn(length time.Duration, from, to time.Time, withProbes bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var times []time.Time
	for _, e := range l.list {
		if !e.At.Before(from) && e.At.Before(to) && (withProbes || e.Kind != platformtest.Probed) {
			times = append(times, e.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// load sends safe and unsafe requests to the hosts of a cluster in turn, every few
// milliseconds, and counts the responses by status.
type load struct {
	mu       sync.Mutex
	statuses map[int]int
	// latencies holds the times to the responses by status.
	latencies map[int][]time.Duration
}

// percentile returns the time within which a share of the responses with a status arrived.
func (l *load) percentile(status int, share float64) time.Duration {
	list := slices.Sorted(slices.Values(l.latencies[status]))
	if len(list) == 0 {
		return 0
	}
	return list[int(share*float64(len(list)-1))]
}

func (cl *cluster) runLoad(ctx context.Context, interval time.Duration) *load {
	l := &load{statuses: map[int]int{}, latencies: map[int][]time.Duration{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return l
		case <-ticker.C:
		}
		cl.mu.Lock()
		h := cl.hosts[n%len(cl.hosts)]
		cl.mu.Unlock()
		wg.Go(func() {
			req := platformtest.Request{ID: fmt.Sprintf("l-%d", n), Host: "shop.example", Path: "/search/x", TimeLeft: 1500 * time.Millisecond}
			if n%3 == 0 {
				req.Path, req.Body = "/book/x", "two nights"
			}
			started := time.Now()
			resp, err := req.Send(context.WithoutCancel(ctx), client, h.cfg.Callers)
			l.mu.Lock()
			defer l.mu.Unlock()
			if err != nil {
				l.statuses[0]++
				return
			}
			l.statuses[resp.Status]++
			l.latencies[resp.Status] = append(l.latencies[resp.Status], time.Since(started))
		})
	}
}

func TestTargetGetsNoMoreRequestsThanTheLimitItNamesToAllHosts(t *testing.T) {
	tests := []struct {
		name   string
		hosts  int
		limits []string
		// perSecond are the limits as numbers; negative for none.
		perSecond []float64
		disturb   func(cl *cluster)
	}{
		{name: "one of three", hosts: 4, limits: []string{"1.9", "", ""}, perSecond: []float64{1.9, -1, -1}},
		{name: "none at all", hosts: 3, limits: []string{"0", "", ""}, perSecond: []float64{0, -1, -1}},
		{name: "below one", hosts: 6, limits: []string{"0.4", "", ""}, perSecond: []float64{0.4, -1, -1}},
		{name: "all targets", hosts: 5, limits: []string{"4.5", "1", "2.2"}, perSecond: []float64{4.5, 1, 2.2}},
		{name: "the only target", hosts: 8, limits: []string{"2.2"}, perSecond: []float64{2.2}},
		{name: "hosts stop", hosts: 4, limits: []string{"2", "3"}, perSecond: []float64{2, 3}, disturb: func(cl *cluster) {
			for _, h := range cl.hosts[:2] {
				h.cancel()
				time.Sleep(time.Second)
			}
		}},
		{name: "hosts join", hosts: 3, limits: []string{"2", "3"}, perSecond: []float64{2, 3}, disturb: func(cl *cluster) {
			for n := range 4 {
				cl.waitReady(cl.start(fmt.Sprintf("late-%d", n)))
				time.Sleep(700 * time.Millisecond)
			}
		}},
		{name: "store is down", hosts: 4, limits: []string{"2", "3"}, perSecond: []float64{2, 3}, disturb: func(cl *cluster) {
			cl.store.SetFaults(platformtest.Faults{Down: true})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			list := make([]*platformtest.Target, 0, len(tt.limits))
			logs := make([]*eventLog, 0, len(tt.limits))
			for n, limit := range tt.limits {
				list = append(list, target(fmt.Sprintf("t-%d", n), platformtest.Behaviour{ServiceTime: 20 * time.Millisecond, Limit: limit}))
				logs = append(logs, record(list[n]))
			}
			cl := newCluster(t, tt.hosts, list...)
			ctx, cancel := context.WithTimeout(t.Context(), 11*time.Second)
			defer cancel()
			began := time.Now()
			if tt.disturb != nil {
				time.AfterFunc(5*time.Second, func() { tt.disturb(cl) })
			}
			l := cl.runLoad(ctx, 12*time.Millisecond)
			ended := time.Now()
			for n, perSecond := range tt.perSecond {
				got := logs[n].mostIn(limitWindow, began.Add(limitNotice), ended, true)
				if perSecond < 0 {
					require.Positive(t, got)
					continue
				}
				allowed := int(limitRatio*perSecond*limitWindow.Seconds() + limitSlack)
				require.LessOrEqual(t, got, allowed, "%s: requests and probes in %s at a limit of %g a second; statuses %v", list[n].ID, limitWindow, perSecond, l.statuses)
				if !slices.Contains(tt.limits, "") {
					used := logs[n].mostIn(ended.Sub(began), began.Add(limitNotice), ended, false)
					require.GreaterOrEqual(t, float64(used), minLimitUse*perSecond*(ended.Sub(began)-limitNotice).Seconds(), "%s: requests at a limit of %g a second", list[n].ID, perSecond)
				}
			}
		})
	}
}

// Plays twice the load that the limits of all targets allow.
func TestCallersGetWhatTheLimitsOfAllTargetsAllow(t *testing.T) {
	t.Parallel()
	const (
		objective = 400 * time.Millisecond
		length    = 14 * time.Second
		settled   = 4 * time.Second
	)
	limits := []float64{1, 2.2, 1.9, 1.5, 2, 1.2, 1.7, 2.1, 1.4}
	list := make([]*platformtest.Target, 0, len(limits))
	logs := make([]*eventLog, 0, len(limits))
	allowed := 0.0
	for n, limit := range limits {
		list = append(list, platformtest.NewTarget(fmt.Sprintf("t-%d", n), "svc", "d", 3, platformtest.Behaviour{ServiceTime: 160 * time.Millisecond, Limit: strconv.FormatFloat(limit, 'f', -1, 64)}))
		logs = append(logs, record(list[n]))
		allowed += limit
	}
	cl := newCluster(t, 16, list...)
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	began := time.Now()
	l := cl.runLoad(ctx, 30*time.Millisecond)
	got := 0
	for _, log := range logs {
		got += log.mostIn(length, began.Add(settled), began.Add(length), false)
	}
	seconds := (length - settled).Seconds()
	require.GreaterOrEqual(t, float64(got), 0.8*allowed*seconds, "requests; statuses %v", l.statuses)
	passedOver, failed := 0, 0
	for _, h := range cl.hosts {
		passedOver += strings.Count(h.log.String(), "dispatcher is passed over")
		failed += strings.Count(h.log.String(), "send ended")
	}
	require.LessOrEqual(t, float64(got), 1.1*allowed*seconds, "requests; statuses %v, dispatchers passed over %d times, %d attempts failed or late", l.statuses, passedOver, failed)
	require.LessOrEqual(t, l.percentile(http.StatusOK, 0.9), objective, "time to a response")
	require.LessOrEqual(t, l.percentile(http.StatusServiceUnavailable, 0.9), objective, "time to a refusal")
}

func TestRequestsBeyondTheLimitsOfAllTargetsAreRefusedAtOnce(t *testing.T) {
	cl := newCluster(t, 2, target("t-1", platformtest.Behaviour{Limit: "0"}), target("t-2", platformtest.Behaviour{Limit: "0"}))
	time.Sleep(3 * time.Second)
	for n := range 4 {
		_, err := cl.send(t.Context(), cl.hosts[n%2], fmt.Sprintf("first-%d", n), "/search/x")
		require.NoError(t, err)
	}
	delays := map[string]bool{}
	for n := range 20 {
		started := time.Now()
		resp, err := cl.send(t.Context(), cl.hosts[n%2], fmt.Sprintf("r-%d", n), []string{"/search/x", "/book/x"}[n%2])
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.Less(t, time.Since(started), 300*time.Millisecond)
		require.Zero(t, cl.runCount(fmt.Sprintf("r-%d", n)))
		delay, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, delay, 1.0)
		delays[resp.header.Get("Retry-After")] = true
	}
	require.Eventually(t, func() bool {
		return strings.Contains(cl.hosts[0].log.String()+cl.hosts[1].log.String(), `"reason":"all targets limit their rate"`)
	}, time.Second, 10*time.Millisecond)
	require.Contains(t, string(cl.metrics(cl.hosts[0], "/metrics")), `tamarack_target_limit_per_second{target="t-1"} 0`)
	require.Contains(t, string(cl.metrics(cl.hosts[0], entry.BurnPath)), `"fault":"limited"`)
}

func TestEndOfLimitIsNoticedWithoutRequestsAndWithoutStorm(t *testing.T) {
	tests := []struct {
		name   string
		hidden bool
		within time.Duration
	}{
		{name: "probes show the limit", within: 2 * time.Second},
		{name: "only responses to requests show the limit", hidden: true, within: 9 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := platformtest.Behaviour{ServiceTime: 10 * time.Millisecond, Limit: "0", HideLimitFromProbes: tt.hidden}
			only := target("t-1", b)
			events := record(only)
			cl := newCluster(t, 3, only)
			ctx, cancel := context.WithTimeout(t.Context(), tt.within+9*time.Second)
			defer cancel()
			var lifted time.Time
			time.AfterFunc(5*time.Second, func() {
				b.Limit = ""
				only.SetBehaviour(b)
				events.mu.Lock()
				defer events.mu.Unlock()
				lifted = time.Now()
			})
			l := cl.runLoad(ctx, 12*time.Millisecond)
			events.mu.Lock()
			since := lifted
			events.mu.Unlock()
			require.Positive(t, events.mostIn(time.Hour, since, since.Add(tt.within), false), "requests within %s; statuses %v", tt.within, l.statuses)
			require.LessOrEqual(t, events.mostIn(500*time.Millisecond, since, since.Add(2*time.Second), false), 12, "requests in half a second, soon after the end of the limit")
			require.GreaterOrEqual(t, events.mostIn(time.Second, since, time.Now(), false), 60, "requests in a second, of 83 sent")
		})
	}
}
