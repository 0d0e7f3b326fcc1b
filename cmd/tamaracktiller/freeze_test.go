package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Guards against a removed key that works at a process which was frozen: a request that lies in the
// buffer of a connection is read before the removal is. The client sent it after the bound.
func TestRemovedKeyIsRefusedByAFrozenProcess(t *testing.T) {
	const (
		revoke = 1500 * time.Millisecond
		rounds = 3
	)
	binary := filepath.Join(t.TempDir(), "tamaracktiller")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	target := platformtest.NewTarget("t-1", "svc", "d", 8, platformtest.Behaviour{})
	t.Cleanup(target.Close)
	store.Put("servers/t-1", target.Entry("ready"))
	version := 0
	configure := func(keys ...string) {
		version++
		store.Put("op/config", platformtest.ConfigWithAccounts(version, []platformtest.Route{{Host: "shop.example", Prefix: "/x/", Service: "svc", Safe: true, TimeoutMillis: 1000}}, []platformtest.Account{{Name: "alder", Keys: keys}}))
	}
	configure("k-1", "k-2")
	address := netip.AddrFrom4([4]byte{127, 98, byte(os.Getpid() >> 8), byte(os.Getpid())})
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, platformtest.Settings(&settings.Entry{
		Name: "host", Domain: "d", Callers: netip.AddrPortFrom(address, 8381), Observe: netip.AddrPortFrom(address, 8388), Peers: netip.AddrPortFrom(address, 7200), Store: store.Address(),
		Bounds: settings.Bounds{
			RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, ProbesPerSecond: 60, ConfigApply: 2 * time.Second, Drain: 2 * time.Second, Grace: 2 * time.Second,
			StrictRevoke: true, Revoke: revoke,
		},
	}), 0o600))
	log := &output{}
	cmd := exec.CommandContext(t.Context(), binary, "entry", file)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	send := func(id, key string) (status int) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+netip.AddrPortFrom(address, 8381).String()+"/x/1", nil)
		require.NoError(t, err)
		req.Host = "shop.example"
		req.Header.Set("X-Credential", key)
		req.Header.Set("X-Request-Id", id)
		res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		if err != nil {
			return 0
		}
		_ = res.Body.Close()
		return res.StatusCode
	}
	for round := range rounds {
		configure("k-1", "k-2")
		require.Eventually(t, func() bool { return send("warm-up", "k-2") == http.StatusOK }, 10*time.Second, 20*time.Millisecond, "%s", log)
		require.NoError(t, cmd.Process.Signal(syscall.SIGSTOP))
		configure("k-1")
		time.Sleep(revoke + 50*time.Millisecond)
		id := fmt.Sprintf("r-%d", round)
		statuses := make(chan int, 1)
		go func() { statuses <- send(id, "k-2") }()
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
		status := <-statuses
		require.Contains(t, []int{http.StatusUnauthorized, http.StatusServiceUnavailable}, status, "%s", log)
		require.Zero(t, target.Runs(id))
		require.Eventually(t, func() bool { return send("after", "k-1") == http.StatusOK }, 5*time.Second, 20*time.Millisecond, "%s", log)
	}
}
