package controller

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/platform/table"
)

const seeds = 16

// TestFleetConvergesDespiteFaults injects store outages, dropped store responses, stale reads,
// partitions, process pauses and restarts, several at a time. It checks after every event
// that no host reverts to an older configuration, and after every step that each reachable
// host has applied the changes whose time limit has passed.
func TestFleetConvergesDespiteFaults(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(seed, 16, 4)
			f.staleReads = true
			require.NoError(t, f.confirmNext("first"))
			f.run(10 * time.Second)
			for step := range 40 {
				f.injectRandomFault()
				if f.rng.IntN(2) == 0 {
					_ = f.confirmNext(fmt.Sprintf("target-%d", step))
				}
				f.run(time.Duration(f.rng.Int64N(int64(6 * time.Second))))
				f.checkApplied()
			}
			f.clearFaults()
			f.run(2 * maxApplyDelay)
			f.checkApplied()
			require.Empty(t, f.failures)
			for _, n := range f.nodes {
				ready, reason := n.state.ready(f.now)
				require.True(t, ready, "%s: %s", n.name, reason)
				require.Equal(t, uint64(len(f.confirmedAt)), n.state.holder.Head().Revision, n.name)
				require.Len(t, n.state.view.Names(n.domain), 4, n.name)
				require.Equal(t, 16, hostCount(n.state.view), n.name)
			}
		})
	}
}

// TestHostWithoutRevisionCheckReverts verifies that the simulation detects a reverted
// configuration: hosts that accept every head from the store revert on a stale read.
func TestHostWithoutRevisionCheckReverts(t *testing.T) {
	f := newFleet(1, 8, 2)
	f.acceptAnyHead, f.staleReads = true, true
	for i := range 5 {
		require.NoError(t, f.confirmNext(fmt.Sprint("target-", i)))
		f.run(10 * time.Second)
	}
	require.NotEmpty(t, f.failures)
	require.Contains(t, f.failures[0], "reverted from revision")
}

// injectRandomFault starts or ends one random fault.
func (f *fleet) injectRandomFault() {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	switch f.rng.IntN(6) {
	case 0:
		f.table.SetFaults(table.Faults{Down: f.rng.IntN(2) == 0})
	case 1:
		f.setIsolated(n.domain, !f.isolated[n.domain])
	case 2:
		if n.suspended {
			f.resume(n)
		} else if !n.down {
			f.suspend(n)
		}
	case 3:
		f.stop(n)
		f.after(time.Second, func() {
			if n.down {
				f.start(n)
			}
		})
	case 4:
		f.table.SetFaults(table.Faults{DropResponses: 2})
	default:
		f.clearFaults()
	}
}

// clearFaults ends all faults.
func (f *fleet) clearFaults() {
	f.table.SetFaults(table.Faults{})
	for _, n := range f.nodes {
		if f.isolated[n.domain] {
			f.setIsolated(n.domain, false)
		}
		if n.suspended {
			f.resume(n)
		}
		if n.down {
			f.start(n)
		}
	}
}

// TestHostStartsFromPeersWhileStoreIsDown restarts every host in turn during a store
// outage of one hour. Each host must load the configuration from its peers.
func TestHostStartsFromPeersWhileStoreIsDown(t *testing.T) {
	f := newFleet(1, 12, 3)
	require.NoError(t, f.confirmNext("first"))
	f.run(10 * time.Second)
	require.NoError(t, f.confirmNext("second"))
	f.run(10 * time.Second)
	f.table.SetFaults(table.Faults{Down: true})
	for _, n := range f.nodes {
		f.stop(n)
		f.run(time.Second)
		f.start(n)
		ready, _ := n.state.ready(f.now)
		require.False(t, ready, "a host must not be ready right after its start")
		f.run(5 * time.Minute)
		ready, reason := n.state.ready(f.now)
		require.True(t, ready, reason)
		require.EqualValues(t, 2, n.state.holder.Head().Revision)
	}
	require.Empty(t, f.failures)
}

// TestStaleListDoesNotReviveDrainingTarget checks that a stale host list does not end the
// draining of a target, and that a newer generation of the target does.
func TestStaleListDoesNotReviveDrainingTarget(t *testing.T) {
	const day = 24 * time.Hour
	now := time.Unix(1000, 0)
	tests := []struct {
		name  string
		steps func(m *drainMarks)
		want  bool
	}{
		{"listed", func(m *drainMarks) { m.applyListed(now, "t", 1, false) }, true},
		{"stale list", func(m *drainMarks) { m.applyListed(now, "t", 1, false); m.applyListed(now, "t", 1, true) }, true},
		{"older generation", func(m *drainMarks) { m.applyListed(now, "t", 2, false); m.applyListed(now, "t", 1, true) }, true},
		{"replaced", func(m *drainMarks) { m.applyListed(now, "t", 1, false); m.applyListed(now, "t", 2, true) }, false},
		{"stale peer after replacement", func(m *drainMarks) {
			m.applyListed(now, "t", 1, false)
			m.applyListed(now, "t", 2, true)
			m.applyListed(now, "t", 1, false)
		}, false},
		{"observed in traffic", func(m *drainMarks) { m.observe("t", now.Add(time.Minute).UnixMilli()); m.expire(now) }, true},
		{"expired observation", func(m *drainMarks) { m.observe("t", now.Add(time.Minute).UnixMilli()); m.expire(now.Add(day)) }, false},
		{"live list does not end an observed mark", func(m *drainMarks) {
			m.observe("t", now.Add(time.Minute).UnixMilli())
			m.applyListed(now, "t", 1, true)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newDrainMarks()
			tt.steps(m)
			require.Equal(t, tt.want, m.targets()["t"])
		})
	}
}

// BenchmarkFleet reports, by fleet size, the cost of the control plane and the time
// until a configuration change reaches all hosts. One iteration simulates one minute with
// a change every 6.6 s (13,000 per day).
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{4, 16, 64, 256} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			const span = time.Minute
			for range b.N {
				f := newFleet(7, hosts, max(2, min(23, hosts/8)))
				_ = f.confirmNext("first")
				f.run(10 * time.Second)
				f.bytes, f.frames, f.applyDelays = 0, 0, nil
				calls := total(f.table.Calls())
				cpu := cpuTime()
				for at := time.Duration(0); at < span; at += 6600 * time.Millisecond {
					_ = f.confirmNext(fmt.Sprint("t", at))
					f.run(6600 * time.Millisecond)
				}
				used := cpuTime() - cpu
				slices.Sort(f.applyDelays)
				perHost := float64(hosts) * span.Seconds()
				b.ReportMetric(float64(f.bytes+f.frames*frameOverhead)/perHost, "bytes-sent/host/s")
				b.ReportMetric(float64(f.frames)/perHost, "frames-sent/host/s")
				b.ReportMetric(100*used.Seconds()/perHost, "%core/host")
				b.ReportMetric(float64(total(f.table.Calls())-calls)/span.Seconds(), "store-calls/s")
				b.ReportMetric(f.applyDelays[len(f.applyDelays)/2].Seconds()*1000, "in-force-p50-ms")
				b.ReportMetric(f.applyDelays[len(f.applyDelays)-1].Seconds()*1000, "in-force-worst-ms")
			}
		})
	}
}

// frameOverhead is the number of bytes that WebSocket, TLS, TCP and IP headers add to a
// frame: 6 + 22 + 32 + 20.
const frameOverhead = 80

func total(calls map[string]int) int {
	n := 0
	for _, c := range calls {
		n += c
	}
	return n
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
