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

func note(seq uint64, attempt string, release bool) Note {
	return Note{Partition: key.Partition(), Epoch: 1, Nonce: "a", Seq: seq, Release: release, Entry: Entry{Key: key, Attempt: attempt}}
}

// TestWitnessIgnoresLateQuestions covers orders of questions that let a key run
// twice in seeded runs.
func TestWitnessIgnoresLateQuestions(t *testing.T) {
	earlier := record(1, "a")
	earlier.Witnesses = []Member{{Host: witness.Host, Incarnation: "1"}}
	tests := []struct {
		name  string
		steps func(b *book)
		// sealed says that the witness is one of epoch 1, try a; attempt is what
		// its journal then holds for the key.
		sealed  bool
		attempt string
	}{
		{name: "install for an earlier incarnation", steps: func(b *book) { b.install(Install{Record: earlier}) }},
		{name: "earlier try of the epoch comes late", sealed: true, attempt: "x", steps: func(b *book) {
			b.install(Install{Record: record(1, "a"), Journal: Journal{Entries: []Entry{{Key: key, Attempt: "x"}}}})
			b.install(Install{Record: record(1, "b")})
		}},
		{name: "copy of the install comes late", sealed: true, attempt: "x", steps: func(b *book) {
			b.install(Install{Record: record(1, "a")})
			b.note(note(1, "x", false))
			b.install(Install{Record: record(1, "a")})
		}},
		{name: "note of an earlier attempt comes late", sealed: true, attempt: "y", steps: func(b *book) {
			b.install(Install{Record: record(1, "a")})
			b.note(note(3, "y", false))
			b.note(note(1, "x", false))
		}},
		{name: "release of an earlier attempt comes late", sealed: true, attempt: "y", steps: func(b *book) {
			b.install(Install{Record: record(1, "a")})
			b.note(note(3, "y", false))
			b.note(note(2, "x", true))
		}},
		{name: "note after the seal", sealed: true, steps: func(b *book) {
			b.install(Install{Record: record(1, "a")})
			b.seal(Seal{Partition: key.Partition(), Epoch: 1, Nonce: "a"})
			require.False(t, b.note(note(1, "x", false)))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBook(witness)
			tt.steps(b)
			content, ok := b.seal(Seal{Partition: key.Partition(), Epoch: 1, Nonce: "a"})
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

func TestKeysOutsideTheRangeAreNeverGranted(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	at := func(d time.Duration) int64 { return now.Add(d).UnixMilli() }
	tests := []struct {
		name string
		time int64
		want Verdict
	}{
		{"before the range", at(-40 * time.Minute), Uncertain},
		{"out of the window", at(-2 * time.Hour), Uncertain},
		{"pruned", at(-31 * time.Minute), Uncertain},
		{"ahead of the clock", at(2 * time.Minute), Refused},
		{"after the range", at(50 * time.Second), Refused},
		{"in the range", at(-time.Second), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBook(owner)
			r := record(2, "a")
			r.AfterMilli, r.UntilMilli = at(-35*time.Minute), at(40*time.Second)
			b.activate(r, Journal{PrunedMilli: at(-30 * time.Minute)})
			reply, e := b.claim(now, Claim{Key: key, TimeMilli: tt.time, Attempt: "x"})
			require.Equal(t, tt.want, reply.Verdict)
			require.Equal(t, tt.want == 0, e != nil)
		})
	}
}

func TestParseKeyWantsVersionSeven(t *testing.T) {
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

// BenchmarkKeys reports the heap bytes of one key at its owner.
func BenchmarkKeys(b *testing.B) {
	for _, keys := range []int{10_000, 40_000, 160_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			for range b.N {
				before := heap()
				book := newBook(owner)
				now := time.UnixMilli(1_000_000_000)
				for p := range Partitions {
					r := record(1, "a")
					r.Partition = p
					book.activate(r, Journal{})
				}
				for n := range keys {
					book.claim(now, Claim{Key: Key{byte(n), byte(n >> 8), byte(n >> 16)}, TimeMilli: now.UnixMilli(), Attempt: uuid.NewString()})
				}
				b.ReportMetric(float64(heap()-before)/float64(keys), "bytes/key")
				runtime.KeepAlive(book)
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
