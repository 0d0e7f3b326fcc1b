package entry_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// configureQuotas adds accounts to the configuration.
func (cl *cluster) configureQuotas(accounts ...routing.Account) {
	cl.t.Helper()
	cl.version += 3
	var config map[string]any
	require.NoError(cl.t, json.Unmarshal(platformtest.Config(cl.version, []platformtest.Route{{Host: "shop.example", Prefix: "/search/", Service: "svc", Safe: true, TimeoutMillis: 1500}}), &config))
	resources, ok := config["resources"].([]any)
	require.True(cl.t, ok)
	for _, a := range accounts {
		resources = append(resources, map[string]any{"resource_kind": "tenants", "metadata": map[string]any{"name": a.Name}, "spec": map[string]any{"api_keys": []string{"key-" + a.Name}, "rate_per_s": a.PerSecond, "burst": a.Burst}})
	}
	config["resources"] = resources
	data, err := json.Marshal(config)
	require.NoError(cl.t, err)
	cl.store.Put("op/config", data)
}

// Guards against quotas that are exceeded, or of which nothing is left, when the credit host is killed or
// shuts down: one account sends eight times its rate to five hosts, the other two thirds of its rate.
func TestQuotasHoldWhileTheCreditHostEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(h *host)
		// gap is the time for which the account within its quota may be refused.
		gap time.Duration
	}{
		{name: "killed", end: func(h *host) { h.process.Kill() }, gap: 2 * time.Second},
		{name: "shuts down", end: func(h *host) { h.cancel() }, gap: 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			testQuotasWhileTheCreditHostEnds(t, tt.end, tt.gap)
		})
	}
}

func testQuotasWhileTheCreditHostEnds(t *testing.T, end func(h *host), gap time.Duration) {
	hot, usual := routing.Account{Name: "hot", PerSecond: 40, Burst: 20}, routing.Account{Name: "usual", PerSecond: 60, Burst: 30}
	cl := newFirstCluster(t, 5, target("t-1", platformtest.Behaviour{}))
	cl.configureQuotas(hot, usual)
	alive := slices.Clone(cl.hosts)
	var credit *host
	require.Eventually(t, func() bool {
		n := slices.IndexFunc(alive, func(h *host) bool { return h.process.Issues() })
		if n >= 0 {
			credit = alive[n]
		}
		return n >= 0
	}, 10*time.Second, 20*time.Millisecond, "no host is followed by all")

	var mu sync.Mutex
	var wg sync.WaitGroup
	charged, refused := map[string][]time.Time{}, map[string][]time.Time{}
	charge := func(h *host, a *routing.Account, n int) {
		wg.Go(func() {
			_, err := h.process.Charge(t.Context(), fmt.Sprintf("r-%d", n), a)
			mu.Lock()
			defer mu.Unlock()
			list := charged
			if err != nil {
				list = refused
			}
			list[a.Name] = append(list[a.Name], time.Now())
		})
	}
	const steps, endStep = 4000, 1600
	var ended time.Time
	ticker := time.NewTicker(3 * time.Millisecond)
	defer ticker.Stop()
	for n := range steps {
		<-ticker.C
		if n == endStep {
			ended = time.Now()
			end(credit)
			alive = slices.DeleteFunc(alive, func(h *host) bool { return h == credit })
		}
		charge(alive[n%len(alive)], &hot, n)
		if n%8 == 0 {
			charge(alive[n/8%len(alive)], &usual, n)
		}
	}
	wg.Wait()
	for _, a := range []routing.Account{hot, usual} {
		times := charged[a.Name]
		slices.SortFunc(times, time.Time.Compare)
		first, most := 0, 0
		for n, at := range times {
			for at.Sub(times[first]) > 5*time.Second {
				first++
			}
			most = max(most, n-first+1)
		}
		allowed := (5*a.PerSecond+a.Burst)*1.1 + 20
		lost := refused[a.Name]
		t.Logf("%s: %d charged, at most %d in 5 s of %.0f allowed; %d refused, %d of them later than %v after the end", a.Name, len(times), most, allowed, len(lost), countBetween(lost, ended.Add(gap), time.Now()), gap)
		require.LessOrEqual(t, float64(most), allowed, a.Name)
	}
	require.Positive(t, countBetween(charged["hot"], ended.Add(gap), time.Now()), "the hot account must be served again")
	require.Zero(t, countBetween(refused["usual"], ended.Add(gap), time.Now()), "the other account must be served again")
	require.Contains(t, string(cl.metrics(alive[0], "/metrics")), `tamarack_quota_exceeded_total{account="hot"}`)
	require.Contains(t, alive[0].log.String(), "credit host has changed")
}
