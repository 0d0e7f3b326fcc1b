package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// evacuationNotice is the time after the write of its key by which no host sends to an evacuated domain.
const evacuationNotice = 3 * time.Second

// Guards against requests and probes to an evacuated domain by hosts that run, start or stop during
// the evacuation, and against a domain that stays empty after its end.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	t.Parallel()
	list := make([]*platformtest.Target, 0, 6)
	logs := make([]*eventLog, 0, 6)
	for n := range 6 {
		list = append(list, platformtest.NewTarget(fmt.Sprintf("t-%d", n), "svc", []string{"d", "e", "f"}[n%3], 3, platformtest.Behaviour{ServiceTime: 20 * time.Millisecond}))
		logs = append(logs, record(list[n]))
	}
	cl := newFleet(t, fleet{hosts: 3, domains: 3}, list...)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var l *load
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { l = cl.runLoad(ctx, 15*time.Millisecond) })
	time.Sleep(time.Second)
	cl.store.Put("op/evacuate/e", []byte("{}"))
	from := time.Now().Add(evacuationNotice)
	time.Sleep(evacuationNotice)
	cl.waitReady(cl.start("late"))
	cl.hosts[0].cancel()
	time.Sleep(2 * time.Second)
	until := time.Now()
	cl.store.Delete("op/evacuate/e")
	time.Sleep(3 * time.Second)
	cancel()
	wg.Wait()
	ended := time.Now()
	for n, log := range logs {
		during, after := log.mostIn(time.Hour, from, until, true), log.mostIn(time.Hour, until, ended, false)
		if list[n].Zone == "e" {
			require.Zero(t, during, "%s: requests and probes during the evacuation", list[n].ID)
		} else {
			require.Positive(t, during, list[n].ID)
		}
		require.Positive(t, after, "%s: requests after the evacuation", list[n].ID)
	}
	// The host that stops refuses connections in the end: status 0.
	total := -l.statuses[0]
	for _, n := range l.statuses {
		total += n
	}
	require.GreaterOrEqual(t, float64(l.statuses[http.StatusOK]), 0.97*float64(total), "statuses %v", l.statuses)
	require.Contains(t, cl.hosts[1].log.String(), "evacuation of a failure domain has begun")
	require.Contains(t, cl.hosts[1].log.String(), "evacuation of a failure domain has ended")
}

func TestRequestsAreRejectedWhileAllDomainsAreEvacuated(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, 2, target("t-1", platformtest.Behaviour{}), target("t-2", platformtest.Behaviour{}))
	cl.store.Put("op/evacuate/d", []byte("{}"))
	cl.store.Put("op/evacuate/nowhere", []byte("{}"))
	logged := func(h *host, text string) bool { return strings.Contains(h.log.String(), text) }
	for _, h := range cl.hosts {
		require.Eventually(t, func() bool { return logged(h, "evacuated failure domain is not known") }, 5*time.Second, 10*time.Millisecond)
	}
	for n := range 6 {
		id := fmt.Sprintf("r-%d", n)
		resp, err := cl.send(t.Context(), cl.hosts[n%2], id, []string{"/search/x", "/book/x"}[n%2])
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		delay, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Positive(t, delay)
		require.Zero(t, cl.runCount(id))
	}
	require.Contains(t, string(cl.metrics(cl.hosts[0], "/metrics")), `tamarack_targets_withheld{reason="evacuated"} 2`)
	require.Contains(t, string(cl.metrics(cl.hosts[0], "/metrics")), "tamarack_evacuated_domains 2")
	require.Eventually(t, func() bool {
		return logged(cl.hosts[0], "all failure domains of the service's targets are evacuated")
	}, time.Second, 10*time.Millisecond)
	cl.store.Delete("op/evacuate/d")
	require.Eventually(t, func() bool {
		resp, err := cl.send(t.Context(), cl.hosts[0], "after", "/search/x")
		return err == nil && resp.status == http.StatusOK
	}, 5*time.Second, 50*time.Millisecond)
}

// Guards against a rush to targets that come back cold from an evacuation, by hosts that run, start or
// stop in the meantime. Their entries do not say that they are cold.
func TestTargetsThatComeBackColdGetFewRequests(t *testing.T) {
	t.Parallel()
	const (
		coldTime      = 5 * time.Second
		coldPerSecond = 3.6
		mostToCold    = 1.5*coldPerSecond + 8
	)
	list := make([]*platformtest.Target, 0, 9)
	logs := make([]*eventLog, 0, 9)
	for n := range 9 {
		list = append(list, platformtest.NewTarget(fmt.Sprintf("t-%d", n), "svc", []string{"d", "e", "f"}[n%3], 3, platformtest.Behaviour{ServiceTime: 20 * time.Millisecond, SaysCold: true}))
		logs = append(logs, record(list[n]))
	}
	cl := newFleet(t, fleet{hosts: 3, domains: 3}, list...)
	routes := make([]platformtest.Route, 0, 2)
	for _, prefix := range []string{"/search/", "/book/"} {
		routes = append(routes, platformtest.Route{
			Host: "shop.example", Prefix: prefix, Service: "svc", Safe: prefix == "/search/", TimeoutMillis: 1500, ColdSeconds: coldTime.Seconds(), ColdPerSecond: coldPerSecond,
		})
	}
	cl.store.Put("op/config", platformtest.Config(cl.version+1, routes))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var l *load
	var wg sync.WaitGroup
	defer wg.Wait()
	time.Sleep(3 * time.Second)
	wg.Go(func() { l = cl.runLoad(ctx, 8*time.Millisecond) })
	time.Sleep(time.Second)
	cl.store.Put("op/evacuate/e", []byte("{}"))
	time.Sleep(evacuationNotice)
	warm := time.Now().Add(coldTime)
	for _, target := range list {
		if target.Zone == "e" {
			target.UpdateBehaviour(func(b *platformtest.Behaviour) { b.ColdUntil = warm })
		}
	}
	from := time.Now()
	cl.store.Delete("op/evacuate/e")
	time.Sleep(time.Second)
	cl.waitReady(cl.start("late"))
	cl.hosts[0].cancel()
	time.Sleep(time.Until(warm.Add(4 * time.Second)))
	cancel()
	wg.Wait()
	ended := time.Now()
	for n, log := range logs {
		if list[n].Zone == "e" {
			require.LessOrEqual(t, float64(log.mostIn(time.Second, from, warm, false)), mostToCold, "%s: requests in a second while it is cold", list[n].ID)
		}
	}
	require.Positive(t, logs[1].mostIn(time.Hour, from, warm, false)+logs[4].mostIn(time.Hour, from, warm, false)+logs[7].mostIn(time.Hour, from, warm, false), "requests to cold targets")
	require.Positive(t, logs[1].mostIn(time.Hour, warm, ended, false), "requests after the cold time")
	total := -l.statuses[0]
	for _, n := range l.statuses {
		total += n
	}
	require.GreaterOrEqual(t, float64(l.statuses[http.StatusOK]), 0.97*float64(total), "statuses %v", l.statuses)
	require.Contains(t, cl.hosts[0].log.String()+cl.hosts[1].log.String()+cl.hosts[2].log.String()+cl.hosts[3].log.String(), "target is cold")
}

// Guards against an evacuation that ends or is forgotten because the store is down.
func TestEvacuationLastsWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	list := []*platformtest.Target{
		platformtest.NewTarget("t-0", "svc", "d", 3, platformtest.Behaviour{ServiceTime: 10 * time.Millisecond}),
		platformtest.NewTarget("t-1", "svc", "e", 3, platformtest.Behaviour{ServiceTime: 10 * time.Millisecond}),
	}
	log := record(list[1])
	cl := newFleet(t, fleet{hosts: 2, domains: 2}, list...)
	cl.store.Put("op/evacuate/e", []byte("{}"))
	time.Sleep(time.Second)
	cl.store.SetFaults(platformtest.Faults{Down: true})
	// A watch that began before the outage would still get the change.
	require.Eventually(t, func() bool {
		return strings.Contains(cl.hosts[0].log.String()+cl.hosts[1].log.String(), "store is lost")
	}, 20*time.Second, 20*time.Millisecond)
	from := time.Now()
	cl.store.Delete("op/evacuate/e")
	for n := range 40 {
		resp, err := cl.send(t.Context(), cl.hosts[n%2], fmt.Sprintf("down-%d", n), []string{"/search/x", "/book/x"}[n%2])
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.status)
		time.Sleep(50 * time.Millisecond)
	}
	require.Zero(t, log.mostIn(time.Hour, from, time.Now(), true))
	cl.store.SetFaults(platformtest.Faults{})
	require.Eventually(t, func() bool {
		for n := range 6 {
			_, err := cl.send(t.Context(), cl.hosts[n%2], fmt.Sprintf("up-%d", n), "/search/x")
			require.NoError(t, err)
		}
		return log.mostIn(time.Hour, from, time.Now(), false) > 0
	}, 10*time.Second, 100*time.Millisecond)
}
