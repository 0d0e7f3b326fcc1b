package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// keyTry is a request with a key, sent once.
type keyTry struct {
	id     string
	sent   time.Time
	status int
}

// tryKey sends a request with a key every period until the end.
func (cl *cluster) tryKey(h *host, prefix, key string, period time.Duration, end time.Time) []keyTry {
	var mu sync.Mutex
	var tries []keyTry
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() {
			try := keyTry{id: fmt.Sprintf("%s-%d", prefix, n), sent: time.Now()}
			try.status = cl.sendWith(h, try.id, "/search/x", "", credential(key)).status
			mu.Lock()
			defer mu.Unlock()
			tries = append(tries, try)
		})
		time.Sleep(period)
	}
	wg.Wait()
	return tries
}

// Guards against a removed key that still works at a host which cannot know of the removal: it gets no
// response of the store, and there is no other host.
func TestRemovedKeyIsRefusedInTimeByAHostWithoutTheStore(t *testing.T) {
	const revoke = 2 * time.Second
	cl := newFleet(t, fleet{hosts: 1, revoke: revoke}, platformtest.NewTarget("t-1", "svc", "d", 32, platformtest.Behaviour{}))
	h := cl.hosts[0]
	cl.configureAccounts(shopAccounts()...)
	require.Equal(t, http.StatusOK, cl.sendWith(h, "before", "/search/x", "", credential(otherKey)).status)
	cl.storeProxies["host-0"].Set(platformtest.LinkSilent)
	cl.version += 3
	cl.store.Put("op/config", platformtest.ConfigWithAccounts(cl.version, []platformtest.Route{{Host: "shop.example", Prefix: "/search/", Service: "svc", Safe: true, TimeoutMillis: 1500}}, shopAccounts()[:1]))
	removed := time.Now()
	ran := 0
	for _, try := range cl.tryKey(h, "cut", otherKey, 25*time.Millisecond, removed.Add(revoke+500*time.Millisecond)) {
		if cl.runCount(try.id) == 0 {
			require.Equal(t, http.StatusServiceUnavailable, try.status)
			continue
		}
		ran++
		require.Less(t, try.sent.Sub(removed), revoke, "%s ran\n%s", try.id, h.log)
	}
	require.Positive(t, ran, "the key works until the bound")

	require.False(t, h.ready())
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+h.cfg.Callers.String()+"/search/x", nil)
	require.NoError(t, err)
	req.Host, req.Header = "shop.example", credential(goodKey)
	res, err := (&http.Client{Transport: &http.Transport{}}).Do(req)
	require.NoError(t, err)
	_ = res.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode, "the host cannot know whether any other key was removed")
	require.Equal(t, "0.020", res.Header.Get("Retry-After"))
	require.True(t, res.Close, "the client should go to another host")
	resp := cl.sendWith(h, "open", "/open/x", "", credential(goodKey))
	require.Equal(t, http.StatusOK, resp.status, "public routes need no key")
	require.Equal(t, []platformtest.AccountHeaders{{}}, cl.accountHeaders("open"), "the key may not be used")

	cl.storeProxies["host-0"].Set(platformtest.LinkUp)
	cl.waitReady(h)
	require.Equal(t, http.StatusUnauthorized, cl.sendWith(h, "after", "/search/x", "", credential(otherKey)).status)
	require.Equal(t, http.StatusOK, cl.sendWith(h, "after-good", "/search/x", "", credential(goodKey)).status)
	require.Contains(t, h.log.String(), "not ready: the view is too old to use keys of accounts")
	require.Contains(t, string(cl.metrics(h, "/metrics")), `tamarack_entry_key_refusals_total{reason="view-too-old"}`)
}

// Guards against hosts that refuse keys although they are up to date: one that the store does not serve
// gets changes from the others.
func TestHostWithoutTheStoreUsesTheViewOfOthers(t *testing.T) {
	const revoke = 3 * time.Second
	cl := newFleet(t, fleet{hosts: 3, revoke: revoke}, platformtest.NewTarget("t-1", "svc", "d", 32, platformtest.Behaviour{}))
	cl.configureAccounts(shopAccounts()...)
	for n := range cl.hosts {
		name := fmt.Sprintf("host-%d", n)
		cl.storeProxies[name].Set(platformtest.LinkSilent)
		for _, try := range cl.tryKey(cl.hosts[n], name, goodKey, 50*time.Millisecond, time.Now().Add(revoke+500*time.Millisecond)) {
			require.Equal(t, http.StatusOK, try.status, "%s\n%s", try.id, cl.hosts[n].log)
		}
		require.True(t, cl.hosts[n].ready())
		cl.storeProxies[name].Set(platformtest.LinkUp)
	}
}

// Guards against a request that runs although its key was removed, or may have been, after it arrived.
func TestKeyIsCheckedAgainBeforeASend(t *testing.T) {
	tests := []struct {
		name   string
		revoke time.Duration
		// disturb is called while the body of the request arrives.
		disturb func(cl *cluster)
		path    string
		status  int
		reason  string
	}{
		{name: "key is removed", path: "/book/x", disturb: func(cl *cluster) { cl.configureAccounts(shopAccounts()[:1]...) }, status: http.StatusUnauthorized, reason: "the key is unknown"},
		{name: "key moves to another account", path: "/book/x", disturb: func(cl *cluster) {
			cl.configureAccounts(platformtest.Account{Name: "cedar", Keys: []string{otherKey}})
		}, status: http.StatusOK},
		{
			name: "view becomes too old", path: "/book/x", revoke: 1200 * time.Millisecond,
			disturb: func(cl *cluster) {
				cl.storeProxies["host-0"].Set(platformtest.LinkSilent)
				time.Sleep(1200 * time.Millisecond)
			},
			status: http.StatusServiceUnavailable, reason: "the configuration is too old to use keys",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl := newFleet(t, fleet{hosts: 1, revoke: tt.revoke}, target("t-1", platformtest.Behaviour{}))
			h := cl.hosts[0]
			cl.configureAccounts(shopAccounts()...)
			reader, writer := io.Pipe()
			const size, first = 20_000, 19_000
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.cfg.Callers.String()+tt.path, reader)
			require.NoError(t, err)
			req.Host, req.Header, req.ContentLength = "shop.example", credential(otherKey), size
			req.Header.Set("X-Request-Id", "waits")
			statuses := make(chan int, 1)
			go func() {
				res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
				if err != nil {
					statuses <- 0
					return
				}
				_ = res.Body.Close()
				statuses <- res.StatusCode
			}()
			_, err = writer.Write(make([]byte, first))
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
			tt.disturb(cl)
			_, err = writer.Write(make([]byte, size-first))
			require.NoError(t, err)
			_ = writer.Close()
			require.Equal(t, tt.status, <-statuses, "%s", h.log)
			if tt.status == http.StatusOK {
				require.Equal(t, []platformtest.AccountHeaders{{Tenant: []string{"cedar"}}}, cl.accountHeaders("waits"))
				return
			}
			require.Zero(t, cl.runCount("waits"))
			require.Eventually(t, func() bool { return strings.Contains(h.log.String(), tt.reason) }, time.Second, 10*time.Millisecond)
		})
	}
}
