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

// The copy is as old as the configuration and the targets: the secret, the entries of the
// hosts and their leases are gone.
func TestHostsGoOnWhenTheStoreComesBackFromACopy(t *testing.T) {
	s := &site{t: t, store: platformtest.NewStore()}
	t.Cleanup(s.store.Close)
	for n := range 3 {
		target := target(fmt.Sprintf("t-%d", n), platformtest.Behaviour{Work: 10 * time.Millisecond})
		t.Cleanup(target.Close)
		s.targets = append(s.targets, target)
		s.store.Put("servers/"+target.ID, target.Entry("ready"))
	}
	s.configure("/search/", "/book/")
	c := s.store.Copy()
	for n := range 4 {
		s.start(fmt.Sprintf("host-%d", n))
	}
	for _, h := range s.hosts {
		s.waitReady(h)
	}
	s.configure("/search/", "/book/", "/added/")
	for _, h := range s.hosts {
		s.requireServed(h, "/added/x")
	}

	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, h := range s.hosts {
		wg.Go(func() { s.keepAsking(ctx, h) })
	}
	s.store.SetFaults(platformtest.Faults{Down: true})
	time.Sleep(300 * time.Millisecond)
	s.store.Restore(c)
	s.store.SetFaults(platformtest.Faults{})
	// One host more finds a store without a secret.
	late := s.start("host-late")
	s.configure("/search/", "/book/", "/added/", "/later/")
	s.waitReady(late)
	for _, h := range s.hosts {
		s.requireServed(h, "/later/x")
	}
	require.Eventually(t, func() bool { return len(s.store.Keys("fleet/hosts/")) == 5 && len(s.store.Keys("fleet/secret")) == 1 }, 2*time.Second, 20*time.Millisecond)
	cancel()
	wg.Wait()

	// One host watches for all again: they understand each other.
	time.Sleep(time.Second)
	before := s.store.Calls("kv-watch") + s.store.Calls("kv-range")
	time.Sleep(2 * time.Second)
	require.LessOrEqual(t, s.store.Calls("kv-watch")+s.store.Calls("kv-range")-before, 6)
	for _, h := range s.hosts {
		require.Equal(t, 1, strings.Count(h.log.String(), `"msg":"started"`))
	}
}

// requireServed waits until a host serves a path, as long as a configuration may take.
func (s *site) requireServed(h *host, path string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		answer, err := s.send(s.t.Context(), h, "r-1", path)
		return err == nil && answer.status == http.StatusOK
	}, 2*time.Second, 20*time.Millisecond, "%s on %s", path, h.cfg.Name)
}

// keepAsking sends requests on routes that every version has had since, and one that must
// run once, until ctx ends. Each must be served.
func (s *site) keepAsking(ctx context.Context, h *host) {
	for n := 0; ctx.Err() == nil; n++ {
		for _, path := range []string{"/search/x", "/added/x", "/book/x"} {
			id := fmt.Sprintf("%s-%s-%d", h.cfg.Name, strings.Trim(path, "/x"), n)
			answer, err := s.send(s.t.Context(), h, id, path)
			if err != nil || answer.status != http.StatusOK {
				s.t.Errorf("%s: %d %s %v", id, answer.status, answer.body, err)
			}
			if ran := s.ran(id); ran > 1 && path == "/book/x" {
				s.t.Errorf("%s ran %d times", id, ran)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}
