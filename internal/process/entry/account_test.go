package entry_test

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	goodKey  = "k-4f1c9a77"
	otherKey = "k-90b2e6d3"
)

// configureAccounts writes a configuration with the routes of configure, a public one, and accounts.
func (cl *cluster) configureAccounts(accounts ...platformtest.Account) {
	cl.putAccounts(accounts...)
	cl.waitConfigured()
}

// putAccounts is configureAccounts without waiting for the hosts.
func (cl *cluster) putAccounts(accounts ...platformtest.Account) {
	cl.version += 3
	routes := []platformtest.Route{
		{Host: "shop.example", Prefix: "/search/", Service: "svc", Safe: true, TimeoutMillis: 1500, ObjectiveMillis: 200},
		{Host: "shop.example", Prefix: "/book/", Service: "svc", TimeoutMillis: 1500},
		{Host: "shop.example", Prefix: "/open/", Service: "svc", Safe: true, TimeoutMillis: 1500, Public: true},
	}
	cl.store.Put("op/config", platformtest.ConfigWithAccounts(cl.version, routes, accounts))
}

// waitConfigured waits until the newest configuration is in force on all hosts.
func (cl *cluster) waitConfigured() {
	cl.t.Helper()
	for _, h := range cl.hosts {
		require.Eventually(cl.t, func() bool {
			return strings.Contains(string(cl.metrics(h, "/metrics")), fmt.Sprintf("tamarack_config_version %d\n", cl.version))
		}, 3*time.Second, 10*time.Millisecond, "%s", h.log)
	}
}

func shopAccounts() []platformtest.Account {
	return []platformtest.Account{{Name: "alder", Keys: []string{goodKey, "k-second"}}, {Name: "birch", Keys: []string{otherKey}}}
}

// sendWith sends a request with headers. A body that is not empty makes it a POST.
func (cl *cluster) sendWith(h *host, id, path, body string, header http.Header) response {
	cl.t.Helper()
	method, reader := http.MethodGet, io.Reader(nil)
	if body != "" {
		method, reader = http.MethodPost, strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(cl.t.Context(), method, "http://"+h.cfg.Callers.String()+path, reader)
	require.NoError(cl.t, err)
	req.Host, req.Header = "shop.example", header.Clone()
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "2000")
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	require.NoError(cl.t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	require.NoError(cl.t, err)
	return response{status: res.StatusCode, body: string(data), header: res.Header}
}

// accountHeaders returns the account headers of all sends of a request.
func (cl *cluster) accountHeaders(id string) []platformtest.AccountHeaders {
	all := make([]platformtest.AccountHeaders, 0, len(cl.targets))
	for _, target := range cl.targets {
		all = append(all, target.AccountHeaders(id)...)
	}
	return all
}

func credential(values ...string) http.Header { return http.Header{"X-Credential": values} }

// Guards against requests that run without a known key, and against keys and account names of clients
// that reach a target.
func TestRequestsNeedTheKeyOfAnAccount(t *testing.T) {
	cl := newCluster(t, 1, target("t-1", platformtest.Behaviour{}))
	h := cl.hosts[0]
	cl.configureAccounts(shopAccounts()...)
	upload := strings.Repeat("0123456789abcdef", 3<<16)
	tests := []struct {
		name, path, body string
		header           http.Header
		status           int
		tenant           []string
	}{
		{name: "known key", path: "/search/x", header: credential(goodKey), status: http.StatusOK, tenant: []string{"alder"}},
		{name: "second key", path: "/search/x", header: credential("k-second"), status: http.StatusOK, tenant: []string{"alder"}},
		{name: "key of another account", path: "/book/x", body: "two nights", header: credential(otherKey), status: http.StatusOK, tenant: []string{"birch"}},
		{name: "streamed body", path: "/book/x", body: upload, header: credential(goodKey), status: http.StatusOK, tenant: []string{"alder"}},
		{name: "account name of the client", path: "/search/x", header: http.Header{"X-Credential": {goodKey}, "X-Tenant": {"birch", "cedar"}}, status: http.StatusOK, tenant: []string{"alder"}},
		{name: "account name as a header of the connection", path: "/search/x", header: http.Header{"X-Credential": {goodKey}, "Connection": {"X-Tenant, X-Credential"}}, status: http.StatusOK, tenant: []string{"alder"}},
		{name: "no key", path: "/search/x", header: http.Header{}, status: http.StatusUnauthorized},
		{name: "empty key", path: "/search/x", header: credential(""), status: http.StatusUnauthorized},
		{name: "unknown key", path: "/search/x", header: credential("k-unknown"), status: http.StatusUnauthorized},
		{name: "beginning of a key", path: "/search/x", header: credential(goodKey[:len(goodKey)-1]), status: http.StatusUnauthorized},
		{name: "repeated key", path: "/search/x", header: credential(goodKey, goodKey), status: http.StatusUnauthorized},
		{name: "two keys", path: "/search/x", header: credential(goodKey, otherKey), status: http.StatusUnauthorized},
		{name: "only an account name", path: "/search/x", header: http.Header{"X-Tenant": {"alder"}}, status: http.StatusUnauthorized},
		{name: "upload without a key", path: "/book/x", body: upload, header: http.Header{}, status: http.StatusUnauthorized},
		{name: "public route without a key", path: "/open/x", header: http.Header{"X-Tenant": {"alder"}}, status: http.StatusOK},
		{name: "public route with a key", path: "/open/x", header: credential(goodKey), status: http.StatusOK, tenant: []string{"alder"}},
		{name: "public route with an unknown key", path: "/open/x", header: http.Header{"X-Credential": {"k-unknown"}, "X-Tenant": {"alder"}}, status: http.StatusOK},
		{name: "no route", path: "/other/x", header: credential(goodKey), status: http.StatusNotFound},
	}
	for n, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			id := fmt.Sprintf("r-%d", n)
			resp := cl.sendWith(h, id, tt.path, tt.body, tt.header)
			require.Equal(t, tt.status, resp.status, "%s", h.log)
			sends := cl.accountHeaders(id)
			if tt.status != http.StatusOK {
				require.Empty(t, sends)
				return
			}
			require.Len(t, sends, 1)
			require.Empty(t, sends[0].Credential)
			require.Equal(t, tt.tenant, sends[0].Tenant)
		})
	}
	require.Contains(t, string(cl.metrics(h, "/metrics")), `tamarack_entry_key_refusals_total{reason="unknown-key"} 8`)
}

// Guards against a configuration that is not in force because of one part of it, so that a key still runs which
// it takes away.
func TestRemovedKeyIsRefusedThoughAPartOfTheConfigurationIsOdd(t *testing.T) {
	const tenth = 41
	longKey, longName := strings.Repeat(goodKey, tenth), strings.Repeat("alder-", 3*tenth)
	odd := func(kind, name, spec string) string {
		return fmt.Sprintf(`{"resource_kind":%q,"metadata":{"name":%q},"spec":%s},`, kind, name, spec)
	}
	tests := []struct {
		name string
		// part is added to a configuration that has account alder with goodKey, and key is one of it.
		part, key string
		// status is that of a request with key, and tenant the name that its target gets.
		status int
		tenant string
		path   string
	}{
		{name: "long key", part: odd("tenants", "cedar", `{"api_keys":["`+longKey+`"]}`), key: longKey, status: http.StatusOK, tenant: "cedar"},
		{name: "long name", part: odd("tenants", longName, `{"api_keys":["k-cedar"]}`), key: "k-cedar", status: http.StatusOK, tenant: longName},
		{name: "negative rate", part: odd("tenants", "cedar", `{"api_keys":["k-cedar"],"rate_per_s":-1}`), key: "k-cedar", status: http.StatusServiceUnavailable},
		{name: "key that is a number", part: odd("tenants", "cedar", `{"api_keys":["k-cedar",7]}`), key: "k-cedar", status: http.StatusOK, tenant: "cedar"},
		{name: "name that a header cannot carry", part: odd("tenants", "cedar ", `{"api_keys":["k-cedar"]}`), key: "k-cedar", status: http.StatusServiceUnavailable},
		{name: "route of the wrong type", part: odd("routes", "odd", `{"host":"shop.example","prefix":"/search/odd/","kind":"safe","service":"svc","priority":"high"}`), key: goodKey, path: "/search/odd/x", status: http.StatusServiceUnavailable},
		{name: "route to an unknown service", part: odd("routes", "odd", `{"host":"shop.example","prefix":"/search/odd/","kind":"safe","service":"other"}`), key: goodKey, path: "/search/odd/x", status: http.StatusServiceUnavailable},
		{name: "route of another one", part: odd("routes", "odd", `{"host":"shop.example","prefix":"/search/odd/","kind":"safe","service":7}`), key: goodKey, status: http.StatusOK, tenant: "alder"},
		{name: "unreadable kind", part: `{"resource_kind":7},`, key: goodKey, status: http.StatusOK, tenant: "alder"},
	}
	cl := newCluster(t, 2, target("t-1", platformtest.Behaviour{}))
	for n, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl.configureAccounts(shopAccounts()...)
			send := func(h *host, id, path, key string) (response, []platformtest.AccountHeaders) {
				id = fmt.Sprintf("%s-%d-%s", h.cfg.Name, n, id)
				resp := cl.sendWith(h, id, path, "", credential(key))
				return resp, cl.accountHeaders(id)
			}
			for _, h := range cl.hosts {
				resp, _ := send(h, "before", "/search/x", otherKey)
				require.Equal(t, http.StatusOK, resp.status)
			}
			config := string(platformtest.ConfigWithAccounts(cl.version+3, []platformtest.Route{
				{Host: "shop.example", Prefix: "/search/", Service: "svc", Safe: true, TimeoutMillis: 1500},
			}, shopAccounts()[:1]))
			cl.version += 3
			cl.store.Put("op/config", []byte(strings.Replace(config, `"resources":[`, `"resources":[`+tt.part, 1)))
			cl.waitConfigured()
			for _, h := range cl.hosts {
				resp, sends := send(h, "removed", "/search/x", otherKey)
				require.NotEqual(t, http.StatusOK, resp.status, "%s", h.log)
				require.Empty(t, sends)
				resp, _ = send(h, "good", "/search/x", goodKey)
				require.Equal(t, http.StatusOK, resp.status, "%s", h.log)
				resp, sends = send(h, "odd", cmp.Or(tt.path, "/search/x"), tt.key)
				require.Equal(t, tt.status, resp.status, "%s", h.log)
				if tt.status == http.StatusOK {
					require.Equal(t, []platformtest.AccountHeaders{{Tenant: []string{tt.tenant}}}, sends)
				} else {
					require.Empty(t, sends)
				}
				require.NotContains(t, h.log.String(), otherKey)
			}
		})
	}
}

// Guards against keys that run, or reach a target, because the configuration has no accounts any more: also at hosts
// that have started since, and though the settings say that there are no accounts.
func TestKeysOfRemovedAccountsAreRefused(t *testing.T) {
	cl := newFleet(t, fleet{hosts: 3, noAccounts: true}, target("t-1", platformtest.Behaviour{}))
	cl.configureAccounts(shopAccounts()...)
	require.Equal(t, http.StatusOK, cl.sendWith(cl.hosts[0], "before", "/search/x", "", credential(goodKey)).status)
	require.Eventually(t, func() bool { return slices.Contains(cl.storeKeys(), "fleet/accounts") }, 5*time.Second, 20*time.Millisecond)
	cl.configureAccounts()
	check := func(round string) {
		for n, h := range cl.hosts {
			id := fmt.Sprintf("%s-%d", round, n)
			for key, header := range map[string]http.Header{"removed": credential(goodKey), "unknown": credential("k-unknown"), "two": credential(goodKey, otherKey), "empty": credential("")} {
				resp := cl.sendWith(h, id+key, "/search/x", "", header)
				require.Equal(t, http.StatusUnauthorized, resp.status, "%s %s\n%s", round, key, h.log)
				require.Empty(t, cl.accountHeaders(id+key))
			}
			require.Equal(t, http.StatusOK, cl.sendWith(h, id+"none", "/search/x", "", http.Header{"X-Tenant": {"alder"}}).status, "without accounts no request needs a key")
			require.Equal(t, []platformtest.AccountHeaders{{}}, cl.accountHeaders(id+"none"))
			require.Equal(t, http.StatusOK, cl.sendWith(h, id+"open", "/open/x", "", credential(goodKey)).status)
			require.Equal(t, []platformtest.AccountHeaders{{}}, cl.accountHeaders(id+"open"), "the key reaches no target")
		}
	}
	check("running")
	for _, h := range cl.hosts {
		h.process.Kill()
	}
	for n := range cl.hosts {
		cl.restart(n)
	}
	for _, h := range cl.hosts {
		cl.waitReady(h)
	}
	check("started")
	cl.configureAccounts(shopAccounts()[:1]...)
	require.Equal(t, http.StatusOK, cl.sendWith(cl.hosts[0], "again", "/search/x", "", credential(goodKey)).status)
	require.Equal(t, http.StatusUnauthorized, cl.sendWith(cl.hosts[0], "again-none", "/search/x", "", http.Header{}).status)
}

// Guards against keys that run, or reach a target, because no host knows that a configuration had accounts: all ended
// before that was recorded, or none has seen such a configuration.
func TestKeysAreRefusedWhateverHostsHaveSeenOfAccounts(t *testing.T) {
	t.Parallel()
	killAll := func(cl *cluster) {
		for _, h := range cl.hosts {
			h.process.Kill()
		}
	}
	startAll := func(cl *cluster) {
		for n := range cl.hosts {
			cl.restart(n)
		}
		for _, h := range cl.hosts {
			cl.waitReady(h)
		}
	}
	tests := []struct {
		name string
		// play takes the accounts away, and ends all hosts that knew of them.
		play func(cl *cluster)
	}{
		{name: "all end when the accounts are gone", play: func(cl *cluster) {
			cl.configureAccounts(shopAccounts()...)
			cl.configureAccounts()
			killAll(cl)
			startAll(cl)
		}},
		{name: "all end in turn when the accounts are gone", play: func(cl *cluster) {
			cl.configureAccounts(shopAccounts()...)
			cl.configureAccounts()
			for n, h := range cl.hosts {
				h.process.Kill()
				cl.restart(n)
				cl.waitReady(cl.hosts[n])
			}
		}},
		{name: "all end while there are accounts", play: func(cl *cluster) {
			cl.configureAccounts(shopAccounts()...)
			killAll(cl)
			cl.putAccounts()
			startAll(cl)
		}},
		{name: "accounts come and go while no host runs", play: func(cl *cluster) {
			killAll(cl)
			cl.putAccounts(shopAccounts()...)
			cl.putAccounts()
			startAll(cl)
		}},
		{name: "the record is deleted", play: func(cl *cluster) {
			cl.configureAccounts(shopAccounts()...)
			cl.configureAccounts()
			killAll(cl)
			cl.store.Delete("fleet/accounts")
			startAll(cl)
		}},
		{name: "the store comes back from a copy without the accounts", play: func(cl *cluster) {
			copied := cl.store.Backup()
			cl.configureAccounts(shopAccounts()...)
			cl.configureAccounts()
			killAll(cl)
			cl.store.Restore(copied)
			cl.putAccounts()
			startAll(cl)
		}},
		{name: "a version that cannot be read", play: func(cl *cluster) {
			cl.store.Put("op/config", []byte(`{"version":`))
			killAll(cl)
			cl.putAccounts()
			startAll(cl)
		}},
		{name: "no configuration has accounts", play: func(cl *cluster) { cl.configureAccounts() }},
	}
	for _, tt := range tests {
		for name, revoke := range map[string]time.Duration{"": 0, ", strict": 5 * time.Second} {
			t.Run(tt.name+name, func(t *testing.T) {
				t.Parallel()
				cl := newFleet(t, fleet{hosts: 3, revoke: revoke}, target("t-1", platformtest.Behaviour{}))
				// Hosts write their records when others join.
				time.Sleep(time.Second)
				tt.play(cl)
				for n, h := range cl.hosts {
					for key, header := range map[string]http.Header{"removed": credential(goodKey), "unknown": credential("k-unknown"), "two": credential(goodKey, otherKey), "empty": credential("")} {
						id := fmt.Sprintf("%s-%d", key, n)
						require.Equal(t, http.StatusUnauthorized, cl.sendWith(h, id, "/search/x", "", header).status, "%s\n%s", key, h.log)
						require.Empty(t, cl.accountHeaders(id))
					}
					id := fmt.Sprintf("none-%d", n)
					require.Equal(t, http.StatusOK, cl.sendWith(h, id, "/search/x", "", http.Header{"X-Tenant": {"alder"}}).status, "without accounts no request needs a key")
					require.Equal(t, []platformtest.AccountHeaders{{}}, cl.accountHeaders(id))
					id = fmt.Sprintf("open-%d", n)
					require.Equal(t, http.StatusOK, cl.sendWith(h, id, "/open/x", "", credential(goodKey)).status)
					require.Equal(t, []platformtest.AccountHeaders{{}}, cl.accountHeaders(id), "the key reaches no target")
				}
			})
		}
	}
}

// Guards against a change for deployments without accounts: both headers belong to their clients.
func TestWithoutAccountsTheirHeadersPassUnchanged(t *testing.T) {
	cl := newFleet(t, fleet{hosts: 1, noAccounts: true}, target("t-1", platformtest.Behaviour{}))
	header := http.Header{"X-Credential": {"a", "b"}, "X-Tenant": {"c", ""}}
	require.Equal(t, http.StatusOK, cl.sendWith(cl.hosts[0], "r-1", "/search/x", "", header).status)
	require.Equal(t, []platformtest.AccountHeaders{{Credential: []string{"a", "b"}, Tenant: []string{"c", ""}}}, cl.accountHeaders("r-1"))
	cl.configureAccounts(shopAccounts()...)
	require.Equal(t, http.StatusUnauthorized, cl.sendWith(cl.hosts[0], "r-2", "/search/x", "", header).status)
	cl.configureAccounts()
	require.Equal(t, http.StatusUnauthorized, cl.sendWith(cl.hosts[0], "r-3", "/search/x", "", header).status)
}

// Guards against keys that reach a target with an attempt other than the first.
func TestKeysReachNoTargetInRetriesAndHedges(t *testing.T) {
	tests := []struct {
		name string
		b    platformtest.Behaviour
	}{
		{name: "retry", b: platformtest.Behaviour{Shed: true}},
		{name: "hedge", b: platformtest.Behaviour{ServiceTime: 1200 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cl := newFirstCluster(t, 1, target("t-1", tt.b), target("t-2", platformtest.Behaviour{}))
			cl.configureAccounts(shopAccounts()...)
			header := http.Header{"X-Credential": {goodKey}, "X-Tenant": {"birch"}}
			for n := range 40 {
				id := fmt.Sprintf("r-%d", n)
				_ = cl.sendWith(cl.hosts[0], id, "/search/x", "", header)
				sends := cl.accountHeaders(id)
				for _, h := range sends {
					require.Equal(t, platformtest.AccountHeaders{Tenant: []string{"alder"}}, h)
				}
				if len(sends) > 1 {
					return
				}
			}
			t.Fatal("no request was sent twice")
		})
	}
}

// Guards against keys that reach a target through another host.
func TestKeysReachNoTargetThroughOtherHosts(t *testing.T) {
	cl := newFleet(t, fleet{hosts: 3, proxied: true}, target("t-1", platformtest.Behaviour{}), target("t-2", platformtest.Behaviour{}), target("t-3", platformtest.Behaviour{}))
	cl.configureAccounts(shopAccounts()...)
	time.Sleep(time.Second) // The hosts must have discovered each other.
	cl.cut(0, platformtest.LinkReset)
	header := http.Header{"X-Credential": {goodKey}, "X-Tenant": {"birch"}}
	n := 0
	require.Eventually(t, func() bool {
		n++
		id := fmt.Sprintf("r-%d", n)
		resp := cl.sendWith(cl.hosts[0], id, "/search/x", "", header)
		for _, h := range cl.accountHeaders(id) {
			require.Equal(t, platformtest.AccountHeaders{Tenant: []string{"alder"}}, h)
		}
		return resp.status == http.StatusOK && strings.Contains(string(cl.metrics(cl.hosts[0], "/metrics")), "tamarack_cut_off 1")
	}, 8*time.Second, 50*time.Millisecond, "%s", cl.hosts[0].log)
}

// Guards against a refusal for good by a host that may not know a key yet.
func TestHostWithAnOldViewDoesNotDenyKeys(t *testing.T) {
	cl := newCluster(t, 1, target("t-1", platformtest.Behaviour{}))
	h := cl.hosts[0]
	cl.configureAccounts(shopAccounts()...)
	cl.store.SetFaults(platformtest.Faults{Down: true})
	time.Sleep(2500 * time.Millisecond)
	for n, key := range []string{"k-unknown", ""} {
		resp := cl.sendWith(h, fmt.Sprintf("r-%d", n), "/search/x", "", credential(key))
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.Equal(t, "0.020", resp.header.Get("Retry-After"))
	}
	resp := cl.sendWith(h, "r-2", "/search/x", "", credential(goodKey))
	require.Equal(t, http.StatusOK, resp.status, "without strict revocation the last known configuration counts")
	cl.store.SetFaults(platformtest.Faults{})
	require.Eventually(t, func() bool {
		return cl.sendWith(h, "r-3", "/search/x", "", credential("k-unknown")).status == http.StatusUnauthorized
	}, 3*time.Second, 50*time.Millisecond)
}
