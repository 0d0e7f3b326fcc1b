package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Guards against rejections by hosts that read the configuration after a loss of power.
func TestRequestsDuringTheFirstReadOfAHost(t *testing.T) {
	tests := []struct {
		name   string
		faults platformtest.Faults
		status int
		// longest bounds the time until the response.
		longest time.Duration
	}{
		{name: "read takes a while", faults: platformtest.Faults{LatencyMillis: 250}, status: http.StatusOK, longest: 600 * time.Millisecond},
		{name: "read takes too long for the client", faults: platformtest.Faults{LatencyMillis: 1200}, status: http.StatusServiceUnavailable, longest: 750 * time.Millisecond},
		{name: "store refuses the read", faults: platformtest.Faults{Down: true}, status: http.StatusServiceUnavailable, longest: 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, 1, target("t-1", platformtest.Behaviour{}))
			cl.store.SetFaults(tt.faults)
			h := cl.start("host-new")
			var resp response
			var took time.Duration
			require.Eventually(t, func() bool {
				started := time.Now()
				var err error
				resp, err = cl.send(t.Context(), h, "r-1", "/search/x")
				took = time.Since(started)
				return err == nil
			}, 2*time.Second, 5*time.Millisecond)
			require.Equal(t, tt.status, resp.status)
			require.Less(t, took, tt.longest)
			if tt.status != http.StatusOK {
				require.NotEmpty(t, resp.header.Get("Retry-After"))
			}
		})
	}
}
