package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
	// slowest is the longest time to a refusal.
	slowest time.Duration
}

func (cl *cluster) runLoad(ctx context.Context, interval time.Duration) *load {
	l := &load{statuses: map[int]int{}}
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
			if resp.Status == http.StatusServiceUnavailable {
				l.slowest = max(l.slowest, time.Since(started))
			}
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
				got := logs[n].mostIn(limitWindow, began.Add(limitNotice), ended, false)
				if perSecond < 0 {
					require.Positive(t, got)
					continue
				}
				allowed := int(limitRatio*perSecond*limitWindow.Seconds() + limitSlack)
				require.LessOrEqual(t, got, allowed, "%s: requests in %s at a limit of %g a second; statuses %v", list[n].ID, limitWindow, perSecond, l.statuses)
			}
		})
	}
}
