package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

var (
	owner   = Member{Host: "owner", Incarnation: "1"}
	witness = Member{Host: "witness", Incarnation: "2"}
	key     = Key{1}
)

func record(epoch uint64, nonce string) Record {
	return Record{Partition: key.Partition(), Epoch: epoch, Nonce: nonce, Owner: owner, Witnesses: []Member{witness}, UntilMilli: 1 << 40}
}

func update(seq uint64, attempt string, release bool) Update {
	return Update{Partition: key.Partition(), Epoch: 1, Nonce: "a", Seq: seq, Release: release, Entry: Entry{Key: key, Attempt: attempt}}
}

// TestWitnessIgnoresDelayedRequests covers orders of requests in which a key ran twice in
// the randomized simulation.
func TestWitnessIgnoresDelayedRequests(t *testing.T) {
	earlier := record(1, "a")
	earlier.Witnesses = []Member{{Host: witness.Host, Incarnation: "1"}}
	tests := []struct {
		name  string
		steps func(st *state)
		// sealed is whether the host can be sealed as a witness of epoch 1 with nonce a;
		// attempt is the one that its journal then contains for the key.
		sealed  bool
		attempt string
	}{
		{name: "install for an earlier incarnation", steps: func(st *state) { st.install(Install{Record: earlier}) }},
		{name: "delayed install with another nonce", sealed: true, attempt: "x", steps: func(st *state) {
			st.install(Install{Record: record(1, "a"), Journal: Journal{Entries: []Entry{{Key: key, Attempt: "x"}}}})
			st.install(Install{Record: record(1, "b")})
		}},
		{name: "delayed duplicate of the install", sealed: true, attempt: "x", steps: func(st *state) {
			st.install(Install{Record: record(1, "a")})
			st.applyUpdate(update(1, "x", false))
			st.install(Install{Record: record(1, "a")})
		}},
		{name: "delayed update of an earlier attempt", sealed: true, attempt: "y", steps: func(st *state) {
			st.install(Install{Record: record(1, "a")})
			st.applyUpdate(update(3, "y", false))
			st.applyUpdate(update(1, "x", false))
		}},
		{name: "delayed release of an earlier attempt", sealed: true, attempt: "y", steps: func(st *state) {
			st.install(Install{Record: record(1, "a")})
			st.applyUpdate(update(3, "y", false))
			st.applyUpdate(update(2, "x", true))
		}},
		{name: "update after the seal", sealed: true, steps: func(st *state) {
			st.install(Install{Record: record(1, "a")})
			st.seal(Seal{Partition: key.Partition(), Epoch: 1, Nonce: "a"})
			require.False(t, st.applyUpdate(update(1, "x", false)))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			st := newState(witness)
			tt.steps(st)
			content, ok := st.seal(Seal{Partition: key.Partition(), Epoch: 1, Nonce: "a"})
			require.Equal(t, tt.sealed, ok)
			if tt.attempt == "" {
				require.Empty(t, content.Entries)
				return
			}
			require.Len(t, content.Entries, 1)
			require.Equal(t, tt.attempt, content.Entries[0].Attempt)
		})
	}
}

func TestKeysOutsideTimeRangeAreNotGranted(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	at := func(d time.Duration) int64 { return now.Add(d).UnixMilli() }
	tests := []struct {
		name string
		time int64
		want Verdict
	}{
		{"before the range", at(-40 * time.Minute), MayHaveRun},
		{"older than the maximum age", at(-2 * time.Hour), MayHaveRun},
		{"pruned", at(-31 * time.Minute), MayHaveRun},
		{"ahead of the clock", at(2 * time.Minute), Rejected},
		{"after the range", at(50 * time.Second), Rejected},
		{"in the range", at(-time.Second), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			st := newState(owner)
			r := record(2, "a")
			r.AfterMilli, r.UntilMilli = at(-35*time.Minute), at(40*time.Second)
			st.activate(r, Journal{PrunedMilli: at(-30 * time.Minute)})
			reply, e := st.claim(now, Claim{Key: key, TimeMilli: tt.time, Attempt: "x"})
			require.Equal(t, tt.want, reply.Verdict)
			require.Equal(t, tt.want == 0, e != nil)
		})
	}
}

func TestParseKeyRequiresVersion7(t *testing.T) {
	tests := []struct {
		text string
		ok   bool
	}{
		{"0199f3a0-0000-7000-8000-000000000000", true},
		{"8c5d4f4e-1b7a-4c1e-9a55-1f2e3d4c5b6a", false},
		{"booking-17", false},
		{"", false},
	}
	for _, tt := range tests {
		_, at, err := ParseKey("booking", tt.text)
		require.Equal(t, tt.ok, err == nil, tt.text)
		if tt.ok {
			require.Equal(t, int64(0x0199f3a00000), at.UnixMilli())
		}
	}
}

// BenchmarkKeys reports the heap bytes per key at its owner.
func BenchmarkKeys(b *testing.B) {
	for _, keys := range []int{10_000, 40_000, 160_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			for range b.N {
				before := heap()
				st := newState(owner)
				now := time.UnixMilli(1_000_000_000)
				for p := range Partitions {
					r := record(1, "a")
					r.Partition = p
					st.activate(r, Journal{})
				}
				for n := range keys {
					st.claim(now, Claim{Key: Key{byte(n), byte(n >> 8), byte(n >> 16)}, TimeMilli: now.UnixMilli(), Attempt: uuid.NewString()})
				}
				b.ReportMetric(float64(heap()-before)/float64(keys), "bytes/key")
				runtime.KeepAlive(st)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
