package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Guards against messages between hosts that cannot be sent because a name in them is too long: hosts waited for
// responses to them, and then passed over the dispatchers of all services.
func TestLongNamesDoNotKeepHostsFromDispatching(t *testing.T) {
	long := strings.Repeat("long-", 400)
	tests := []struct {
		name, service, requestID, account string
		// targetID is the beginning of the IDs of the targets. Requests fail at all of them, so that their
		// messages list several to avoid.
		targetID string
	}{
		{name: "service", service: long},
		{name: "request ID", requestID: long},
		{name: "account", account: long},
		{name: "targets", targetID: strings.Repeat("t", 180)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			service, fail := "svc", tt.targetID != ""
			if tt.service != "" {
				service = tt.service
			}
			list := make([]*platformtest.Target, 0, 10)
			for n := range 10 {
				list = append(list, platformtest.NewTarget(fmt.Sprintf("%s-%d", tt.targetID, n), service, "d", 2, platformtest.Behaviour{Shed: fail}))
			}
			cl := newCluster(t, 3, list...)
			cl.version += 3
			account := "alder" + tt.account
			cl.store.Put("op/config", platformtest.ConfigWithAccounts(cl.version, []platformtest.Route{
				{Host: "shop.example", Prefix: "/search/", Service: service, Safe: true, TimeoutMillis: 1500},
			}, []platformtest.Account{{Name: account, Keys: []string{goodKey}, PerSecond: 1000, Burst: 1000}}))
			time.Sleep(2 * time.Second) // The hosts must have discovered each other to dispatch for each other.
			for n := range 30 {
				id := fmt.Sprintf("r-%d%s", n, tt.requestID)
				resp := cl.sendWith(cl.hosts[n%3], id, "/search/x", "", credential(goodKey))
				if fail {
					require.NotEqual(t, http.StatusOK, resp.status)
					continue
				}
				require.Equal(t, http.StatusOK, resp.status)
				require.Equal(t, []platformtest.AccountHeaders{{Tenant: []string{account}}}, cl.accountHeaders(id))
			}
			for _, h := range cl.hosts {
				require.NotContains(t, h.log.String(), "dispatcher is passed over")
			}
		})
	}
}
