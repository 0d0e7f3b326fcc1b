package crash

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashAt is a crash that happens some time after the start of a test, in an attempt that ran for a time.
type crashAt struct {
	after       time.Duration
	fingerprint uint64
	target      string
	ran         time.Duration
}

var start = time.Unix(1_000_000, 0)

func (c crashAt) crash() Crash {
	return Crash{Fingerprint: c.fingerprint, Target: c.target, UnixMilli: start.Add(c.after).UnixMilli(), RanMilli: c.ran.Milliseconds()}
}

const (
	poison, innocent, third = 1, 2, 3
	// runTime is the run time of requests that crash no target.
	runTime = 100 * time.Millisecond
)

// seriesOf returns crashes of requests that are sent again, each after its last crash. Each request crashes n targets
// of its own, one every period.
func seriesOf(n int, period time.Duration, fingerprints ...uint64) []crashAt {
	list := make([]crashAt, 0, n*len(fingerprints))
	for i := range n {
		for _, f := range fingerprints {
			list = append(list, crashAt{time.Duration(i) * period, f, fmt.Sprintf("%d-%d", f, i), time.Millisecond})
		}
	}
	return list
}

// fingerprints returns n of them, from one on.
func fingerprints(from uint64, n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = from + uint64(i)
	}
	return list
}

// rack returns crashes of targets that fail at about the same time, each with two of the requests.
func rack(requests []uint64) []crashAt {
	const targets = 20
	list := make([]crashAt, 0, 2*targets)
	for n := range targets {
		for k := range 2 {
			list = append(list, crashAt{time.Duration(n) * time.Millisecond, requests[(n+7*k)%len(requests)], fmt.Sprintf("rack-%d", n), runTime})
		}
	}
	return list
}

func TestOnlyPoisonRequestsAreRejected(t *testing.T) {
	victims := func(list []crashAt) []crashAt {
		for n, c := range list {
			list = append(list, crashAt{c.after, 1000 + uint64(n), c.target, runTime})
		}
		return list
	}
	tests := []struct {
		name    string
		crashes []crashAt
		at      time.Duration
		// served is the number of other requests that ended well.
		served   int
		poison   bool
		innocent bool
	}{
		{name: "no crash"},
		{name: "two targets crashed", crashes: []crashAt{{0, poison, "a", 0}, {time.Second, poison, "b", 0}}},
		{name: "one target crashed three times", crashes: []crashAt{{0, poison, "a", 0}, {2 * time.Second, poison, "a", 0}, {4 * time.Second, poison, "a", 0}}},
		{name: "three targets crashed", crashes: []crashAt{{0, poison, "a", 0}, {time.Minute, poison, "b", 0}, {2 * time.Minute, poison, "c", 0}}, at: 3 * time.Minute, poison: true},
		{name: "three targets crashed in quick succession, through retries", crashes: []crashAt{{0, poison, "a", 0}, {time.Millisecond, poison, "b", 0}, {2 * time.Millisecond, poison, "c", 0}}, poison: true},
		{name: "the crashes are too old", crashes: []crashAt{{0, poison, "a", 0}, {time.Second, poison, "b", 0}, {2 * time.Second, poison, "c", 0}}, at: time.Hour},
		{
			name:    "other requests ran on the same targets",
			crashes: []crashAt{{0, poison, "a", 0}, {0, innocent, "a", runTime}, {time.Millisecond, poison, "b", 0}, {time.Millisecond, third, "b", runTime}, {2 * time.Millisecond, poison, "c", 0}}, poison: true,
		},
		{
			name:    "each crash also ends two others",
			crashes: victims(victims(seriesOf(3, 3*time.Second, poison))), at: 7 * time.Second, poison: true,
		},
		{
			name: "a rack fails, and with it every attempt of an innocent request",
			crashes: []crashAt{
				{0, innocent, "a", runTime}, {time.Millisecond, innocent, "b", runTime}, {2 * time.Millisecond, innocent, "c", runTime},
				{0, third, "d", runTime}, {0, third, "e", runTime}, {0, poison, "f", runTime},
			},
		},
		{name: "a rack fails under one request", crashes: rack([]uint64{innocent}), served: 100},
		{name: "a rack fails under a few requests", crashes: rack([]uint64{innocent, poison, third}), served: 100},
		{name: "a rack fails under many requests", crashes: rack(fingerprints(1, 12)), served: 100},
		{
			name: "targets fail one after the other, beside requests that run for longer",
			crashes: []crashAt{
				{0, innocent, "a", runTime}, {30 * time.Millisecond, innocent, "b", runTime}, {60 * time.Millisecond, innocent, "c", runTime}, {90 * time.Millisecond, innocent, "d", runTime},
			},
			served: 100,
		},
		{name: "a bad version: all requests crash all targets", crashes: seriesOf(4, time.Second, fingerprints(1, 20)...), at: 5 * time.Second},
		{name: "a bad version on some targets: few requests are served", crashes: seriesOf(4, time.Second, fingerprints(1, 20)...), at: 5 * time.Second, served: 10},
		{name: "two poison requests at once", crashes: seriesOf(3, 3*time.Second, poison, third), at: 7 * time.Second, poison: true},
		{name: "two poison requests at once, and others beside them", crashes: victims(seriesOf(3, 3*time.Second, poison, third)), at: 7 * time.Second, poison: true},
		{
			name: "two poison requests, each repeated at once",
			crashes: []crashAt{
				{0, poison, "a", 0}, {2 * time.Millisecond, third, "b", 0}, {20 * time.Millisecond, poison, "c", 0}, {22 * time.Millisecond, third, "d", 0},
				{3 * time.Second, poison, "e", 0}, {3002 * time.Millisecond, third, "f", 0}, {3020 * time.Millisecond, poison, "g", 0}, {3022 * time.Millisecond, third, "h", 0},
			},
			at: 4 * time.Second, poison: true,
		},
		{name: "three poison requests, a millisecond apart", crashes: seriesOf(3, time.Millisecond, poison, third, 4), poison: true},
		{name: "ten poison requests at once", crashes: victims(seriesOf(3, 3*time.Second, append(fingerprints(3, 9), poison)...)), at: 7 * time.Second, served: 60, poison: true},
		{name: "ten poison requests at once, before others are served", crashes: seriesOf(3, 3*time.Second, append(fingerprints(3, 9), poison)...), at: 7 * time.Second, served: 5},
		{name: "a rack fails beside a poison request", crashes: append(rack(fingerprints(2, 12)), seriesOf(3, time.Second, poison)...), served: 100, at: 3 * time.Second, poison: true},
		{name: "targets failed long before", crashes: append(rack(fingerprints(2, 12)), crashAt{time.Minute, poison, "a", 0}, crashAt{61 * time.Second, poison, "b", 0}, crashAt{62 * time.Second, poison, "c", 0}), at: time.Minute, poison: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				// Messages may arrive in any order, and twice.
				rng := rand.New(rand.NewPCG(seed, 1))
				d := NewDetector()
				now := start.Add(max(tt.at, 2*time.Second))
				for range 2 {
					for _, n := range rng.Perm(len(tt.crashes)) {
						d.Add(now, tt.crashes[n].crash())
					}
				}
				require.Equal(t, tt.poison, d.IsPoison(start.Add(tt.at), poison, tt.served))
				require.Equal(t, tt.innocent, d.IsPoison(start.Add(tt.at), innocent, tt.served))
			}
		})
	}
}

// Guards against evidence that grows without bound, and against poison requests that are forgotten because of many
// other crashes.
func TestCrashesAreBounded(t *testing.T) {
	d := NewDetector()
	for n := range 5 * maxCrashes {
		at := time.Duration(n) * time.Millisecond
		d.Add(start.Add(at), crashAt{at, uint64(100 + n/3), fmt.Sprintf("t-%d", n), 0}.crash())
		d.Add(start.Add(at), crashAt{at, poison, fmt.Sprintf("t-%d", n), 0}.crash())
		require.LessOrEqual(t, d.n, maxCrashes)
		require.Len(t, d.Crashes(), d.n)
	}
	d.Add(start.Add(time.Hour), crashAt{time.Hour, third, "t", 0}.crash())
	require.Equal(t, 1, d.Len())
	d.Clear(third)
	require.False(t, d.Has(third))
	require.Zero(t, d.n)
	require.False(t, d.Add(start.Add(time.Hour), crashAt{0, third, "t", 0}.crash()), "too old")
}

// Guards against a success that is forgotten, or that clears another request.
func TestSuccessClearsTheEvidence(t *testing.T) {
	d := NewDetector()
	for _, c := range seriesOf(2, time.Second, poison, third) {
		d.Add(start, c.crash())
	}
	d.Clear(poison)
	for _, f := range []uint64{poison, third} {
		d.Add(start, crashAt{3 * time.Second, f, "last", 0}.crash())
	}
	require.False(t, d.IsPoison(start, poison, 0))
	require.True(t, d.IsPoison(start, third, 0))
}

func BenchmarkIsPoison(b *testing.B) {
	d := NewDetector()
	for _, c := range seriesOf(3, time.Second, fingerprints(1, maxCrashes/3)...) {
		d.Add(start, c.crash())
	}
	b.ReportAllocs()
	for b.Loop() {
		d.IsPoison(start, poison, 0)
	}
}
