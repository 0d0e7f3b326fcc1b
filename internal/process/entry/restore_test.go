package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Guards against hosts that stop serving or lose contact with each other when the store is
// restored from a backup that has the configuration and the targets, but neither the fleet
// secret nor the entries and leases of the hosts.
func TestHostsKeepServingWhenTheStoreIsRestoredFromABackup(t *testing.T) {
	cl := &cluster{t: t, store: platformtest.NewStore()}
	t.Cleanup(cl.store.Close)
	for n := range 3 {
		target := target(fmt.Sprintf("t-%d", n), platformtest.Behaviour{ServiceTime: 10 * time.Millisecond})
		t.Cleanup(target.Close)
		cl.targets = append(cl.targets, target)
		cl.store.Put("servers/"+target.ID, target.Entry("ready"))
	}
	cl.configure("/search/", "/book/")
	backup := cl.store.Backup()
	for n := range 4 {
		cl.start(fmt.Sprintf("host-%d", n))
	}
	for _, h := range cl.hosts {
		cl.waitReady(h)
	}
	cl.configure("/search/", "/book/", "/added/")
	for _, h := range cl.hosts {
		cl.requireServed(h, "/added/x")
	}

	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, h := range cl.hosts {
		wg.Go(func() { cl.sendContinuously(ctx, h) })
	}
	cl.store.SetFaults(platformtest.Faults{Down: true})
	time.Sleep(300 * time.Millisecond)
	cl.store.Restore(backup)
	cl.store.SetFaults(platformtest.Faults{})
	// A new host finds a store without a fleet secret.
	lateHost := cl.start("host-late")
	cl.configure("/search/", "/book/", "/added/", "/later/")
	cl.waitReady(lateHost)
	for _, h := range cl.hosts {
		cl.requireServed(h, "/later/x")
	}
	require.Eventually(t, func() bool { return len(cl.store.Keys("fleet/hosts/")) == 5 && len(cl.store.Keys("fleet/secret")) == 1 }, 2*time.Second, 20*time.Millisecond)
	cancel()
	wg.Wait()

	// One host watches the store for all of them again, which requires that they accept each
	// other's messages.
	time.Sleep(time.Second)
	before := cl.store.Calls("kv-watch") + cl.store.Calls("kv-range")
	time.Sleep(2 * time.Second)
	require.LessOrEqual(t, cl.store.Calls("kv-watch")+cl.store.Calls("kv-range")-before, 6)
	for _, h := range cl.hosts {
		require.Equal(t, 1, strings.Count(h.log.String(), `"msg":"started"`))
	}
}

// requireServed waits until a host serves a path, within the time that a configuration may
// take to apply.
func (cl *cluster) requireServed(h *host, path string) {
	cl.t.Helper()
	require.Eventually(cl.t, func() bool {
		resp, err := cl.send(cl.t.Context(), h, "r-1", path)
		return err == nil && resp.status == http.StatusOK
	}, 2*time.Second, 20*time.Millisecond, "%s on %s", path, h.cfg.Name)
}

// sendContinuously sends requests until ctx ends, on routes that the hosts serve
// throughout. Each must be served, and those below /book/ must run at most once.
func (cl *cluster) sendContinuously(ctx context.Context, h *host) {
	for n := 0; ctx.Err() == nil; n++ {
		for _, path := range []string{"/search/x", "/added/x", "/book/x"} {
			id := fmt.Sprintf("%s-%s-%d", h.cfg.Name, strings.Trim(path, "/x"), n)
			resp, err := cl.send(cl.t.Context(), h, id, path)
			if err != nil || resp.status != http.StatusOK {
				cl.t.Errorf("%s: %d %s %v", id, resp.status, resp.body, err)
			}
			if ran := cl.runCount(id); ran > 1 && path == "/book/x" {
				cl.t.Errorf("%s ran %d times", id, ran)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}
