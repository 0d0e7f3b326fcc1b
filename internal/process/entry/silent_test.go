package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

func TestTargetThatLeftIsNotUsedAfterRestartsOfHosts(t *testing.T) {
	cl := newCluster(t, 3, target("t-1", platformtest.Behaviour{}), target("t-2", platformtest.Behaviour{}))
	cl.store.Delete("servers/t-1")
	time.Sleep(500 * time.Millisecond)
	before := cl.targets[0].TotalRuns()
	for n, h := range cl.hosts[:3] {
		h.cancel()
		require.NoError(t, <-h.done)
		again := cl.start(h.cfg.Name)
		cl.waitReady(again)
		for i := range 20 {
			resp, err := cl.send(t.Context(), again, fmt.Sprintf("r-%d-%d", n, i), []string{"/search/x", "/book/x"}[i%2])
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.status)
		}
	}
	require.Equal(t, before, cl.targets[0].TotalRuns())
}

func TestRunningRequestIsNeitherRepeatedNorGivenUpWhenReportsStop(t *testing.T) {
	tests := []struct {
		name string
		// silence takes away what a process reports about itself, while its request runs.
		silence func(cl *cluster)
	}{
		{name: "target", silence: func(cl *cluster) {
			for _, target := range cl.targets {
				cl.store.Delete("servers/" + target.ID)
			}
		}},
		{name: "target in an outage of the store", silence: func(cl *cluster) {
			cl.store.SetFaults(platformtest.Faults{Down: true})
			for _, target := range cl.targets {
				cl.store.Delete("servers/" + target.ID)
			}
			time.Sleep(300 * time.Millisecond)
			cl.store.SetFaults(platformtest.Faults{})
		}},
		{name: "hosts", silence: func(cl *cluster) {
			for _, h := range cl.hosts {
				cl.store.Delete("fleet/hosts/" + h.cfg.Name)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := platformtest.Behaviour{ServiceTime: 1100 * time.Millisecond}
			cl := newCluster(t, 3, target("t-1", b), target("t-2", b))
			time.Sleep(500 * time.Millisecond)
			time.AfterFunc(200*time.Millisecond, func() { tt.silence(cl) })
			for n, result := range cl.sendAll(4) {
				require.Equal(t, http.StatusOK, result.status, "%d: %s", n, cl.hosts[n%3].log)
				require.Equal(t, 1, cl.runCount(fmt.Sprintf("r-%d", n)))
			}
		})
	}
}

// sendAll sends bookings to the hosts in turn at the same time, at most two for each target,
// and returns their responses.
func (cl *cluster) sendAll(n int) []response {
	responses := make([]response, n)
	done := make(chan struct{})
	for i := range n {
		go func() {
			defer func() { done <- struct{}{} }()
			resp, err := cl.send(cl.t.Context(), cl.hosts[i%len(cl.hosts)], fmt.Sprintf("r-%d", i), "/book/x")
			if err == nil {
				responses[i] = resp
			}
		}()
	}
	for range n {
		<-done
	}
	return responses
}
