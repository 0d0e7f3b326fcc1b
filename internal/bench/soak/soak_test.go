package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// build builds the load balancer in a directory and returns its path.
func build(t *testing.T, dir string) string {
	t.Helper()
	binary := filepath.Join(dir, "tamaracktiller")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../../cmd/tamaracktiller").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return binary
}

// TestSoakCutsHostsOff does a short run with real processes in which hosts lose their links to
// all targets.
func TestSoakCutsHostsOff(t *testing.T) {
	dir := t.TempDir()
	result, err := Run(t.Context(), Config{
		Seed: 2, Length: 24 * time.Second, Hosts: 5, Targets: 6, Callers: 16, Binary: build(t, dir), Dir: filepath.Join(dir, "run"),
		// Frequent changes of the configuration leave times in which few hosts are cut off.
		Only: []Kind{CutSilent, CutReset, CutRefuse, ConfigChange, ConfigChange, ConfigChange, ConfigChange, ConfigChange, Evacuate},
	})
	require.NoError(t, err)
	require.Empty(t, result.Violations, result.Timeline())
	t.Logf("judged requests: %d at separated hosts, %d during evacuations", result.CutRequests, result.EvacuationRequests)
	require.Positive(t, result.CutRequests, "requests at hosts that are separated from all targets")
	require.Positive(t, result.EvacuationRequests, "requests during evacuations")
}

// TestSoakStopsHosts does a short run with real processes in which hosts are stopped as planned, and
// nothing else disturbs them.
func TestSoakStopsHosts(t *testing.T) {
	dir := t.TempDir()
	result, err := Run(t.Context(), Config{
		Seed: 2, Length: 20 * time.Second, Hosts: 3, Targets: 4, Callers: 8, Binary: build(t, dir), Dir: filepath.Join(dir, "run"),
		Only: []Kind{HostStop},
	})
	require.NoError(t, err)
	require.Empty(t, result.Violations, result.Timeline())
	require.Positive(t, result.LateRequests, "requests late in planned stops")
}

// TestSoakRepeatsRequestsThatCrashTargets does a short run with real processes in which hosts are replaced, while
// requests crash targets, clients leave and the configuration has parts that cannot be applied.
func TestSoakRepeatsRequestsThatCrashTargets(t *testing.T) {
	dir := t.TempDir()
	result, err := Run(t.Context(), Config{
		Seed: 3, Length: 24 * time.Second, Hosts: 4, Targets: 8, Callers: 8, Binary: build(t, dir), Dir: filepath.Join(dir, "run"),
		Only: []Kind{HostKill, HostStop, HostKillSeries, RequestCrash, ClientLeave, ClientLeave, ConfigOddPart, ConfigOddPart},
	})
	require.NoError(t, err)
	require.Empty(t, result.Violations, result.Timeline())
	t.Logf("judged: %d paths of requests that crash targets, %d runs of clients that left, %d requests with removed keys", result.CrashPaths, result.LeftRuns, result.RemovedKeyRequests)
	require.Positive(t, result.CrashPaths, "paths of requests that crash targets")
	require.Positive(t, result.LeftRuns, "runs of clients that left")
	require.Positive(t, result.RemovedKeyRequests, "requests with removed keys")
}

// TestSoak does a short run with real processes.
func TestSoak(t *testing.T) {
	dir := t.TempDir()
	binary := build(t, dir)
	result, err := Run(t.Context(), Config{
		Seed: 6, Length: 24 * time.Second, Hosts: 3, Targets: 4, Callers: 10, Limit: 12, Quota: Quota{PerSecond: 5, Burst: 5}, Binary: binary, Dir: filepath.Join(dir, "run"),
		Only: []Kind{HostKill, HostKillSeries, HostPause, HostStop, HostReload, StoreSuppressEvents, StoreDown, StoreRestore, TargetCrash, TargetDrain, TargetLateEntry, TargetDropResponses, TargetLimit, TargetLimit, TargetSayLeaving, TargetSayLeaving, TargetPause, TargetPause, ConfigChange, KeyRemove, KeyRemove, KeyRemoveUnseen},
	})
	require.NoError(t, err)
	require.Empty(t, result.Violations, result.Timeline())
	require.Greater(t, result.Statuses[200], 100)
	require.Positive(t, result.Probes)
	t.Logf("judged requests: %d to targets with rate limits, %d with removed keys, %d refused; bad keys %v", result.LimitedRequests, result.RemovedKeyRequests, result.RefusedKeys, result.BadKeyStatuses)
	require.Greater(t, result.LimitedRequests, 20, "requests to targets while their rate limits had to hold")
	require.Positive(t, result.RemovedKeyRequests, "requests with removed keys")
	require.Positive(t, result.RefusedKeys, "bad keys that got 401")
	t.Log("requests of the account with a quota:", result.LimitedStatuses)
	require.Positive(t, result.LimitedStatuses[200], "served requests of the account with a quota")
	require.Positive(t, result.LimitedStatuses[429], "requests beyond the quota")
	require.Positive(t, result.JudgedPauses, "pauses of targets")
	require.Positive(t, result.Leavers, "targets that said that they leave")
}
