// Package ledger decides who may run a request that must run at most once.
//
// Idempotency keys are split into partitions. Each partition has, per epoch, one
// owner and witnesses in other failure domains, all named by their incarnation in
// a record in the platform's store. A key may be run by the one attempt that the
// owner grants it to, and the owner grants only after every witness of the epoch
// has written the key down, in memory. To take a partition over, a host seals one
// witness of the old epoch, which from then on writes nothing down for it, takes
// its journal, and swaps the next epoch into the store. An owner that was paused
// or cut off meanwhile gets no witness to agree, so it grants nothing.
//
// Safety does not rest on clocks. Keys are UUIDs of version 7 and carry their
// time; an epoch may grant only keys of the time range in its record. When an
// owner and all its witnesses are lost, the next epoch starts after that range.
//
// # Usage
//
//	s := ledger.NewService(cfg)
//	reply := s.Claim(ctx, ledger.Claim{Key: key, Attempt: id, ...})
//	if reply.Verdict == ledger.Granted { run; s.Finish(ctx, ...) }
package ledger

// This file defines the keys, the records and the messages.

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	// Partitions is the number of partitions of the keys.
	Partitions = 64
	// Window is the age from which a key is refused for good.
	Window = time.Hour
	// MaxAhead is how far a key's time may lie ahead of the own clock.
	MaxAhead = time.Minute
	// Horizon is how far ahead of now the time range of an epoch ends.
	Horizon = 2 * time.Hour
	// extendBelow is the rest of the range from which it is extended.
	extendBelow = Horizon - 20*time.Minute
	// MaxWitnesses is the number of witnesses of a partition.
	MaxWitnesses = 2
	// MaxKeys bounds the keys that a host holds as owner or witness.
	MaxKeys = 400_000
	// MaxAnswerBytes is the largest answer that is kept for repeats.
	MaxAnswerBytes = 4 << 10
	// AnswerAge is the time for which answers are kept.
	AnswerAge = 10 * time.Minute
	// MaxAnswersBytes bounds the kept answers of a host.
	MaxAnswersBytes = 64 << 20
)

// ErrKey reports an idempotency key that is not a UUID of version 7.
var ErrKey = errors.New("ledger: the idempotency key must be a UUID of version 7 (RFC 9562)")

// Key identifies a request of one service.
type Key [16]byte

// ParseKey returns the key of a service's idempotency key, and its time.
func ParseKey(service, text string) (Key, time.Time, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return Key{}, time.Time{}, ErrKey
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	sum := sha256.Sum256([]byte(service + "\x00" + id.String()))
	return Key(sum[:16]), time.UnixMilli(ms), nil
}

// Partition returns the partition of the key.
func (k Key) Partition() int { return int(xxhash.Sum64(k[:]) % Partitions) }

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Member is one incarnation of a host.
type Member struct {
	Host        string `json:"host" cbor:"1,keyasint"`
	Incarnation string `json:"incarnation" cbor:"2,keyasint"`
}

// Record is the store's value of a partition.
type Record struct {
	Partition int    `json:"partition" cbor:"1,keyasint"`
	Epoch     uint64 `json:"epoch" cbor:"2,keyasint"`
	// Nonce tells apart the tries to put an epoch in force.
	Nonce     string   `json:"nonce" cbor:"7,keyasint"`
	Owner     Member   `json:"owner" cbor:"3,keyasint"`
	Witnesses []Member `json:"witnesses" cbor:"4,keyasint"`
	// AfterMilli and UntilMilli bound the times of the keys that the epoch may
	// grant, in Unix milliseconds.
	AfterMilli int64 `json:"after-milli" cbor:"5,keyasint"`
	UntilMilli int64 `json:"until-milli" cbor:"6,keyasint"`
}

// storeKey returns the store key of a partition's record.
func storeKey(partition int) string { return fmt.Sprintf("ledger/%03d", partition) }

// Verdict is the answer to a claim.
type Verdict int

// The verdicts.
const (
	// Granted: this attempt, and no other, may run the request.
	Granted Verdict = iota + 1
	// Running: another attempt has the grant and has not ended.
	Running
	// Finished: the request ran; the answer may be included.
	Finished
	// Uncertain: the request may have run, and will not be run again.
	Uncertain
	// Refused: the request was not run and nothing was granted.
	Refused
	// Moved: another host owns the partition.
	Moved
	// Misused: the key was used for another request.
	Misused
)

// Claim asks for the right to run a request.
type Claim struct {
	Key       Key   `cbor:"1,keyasint"`
	TimeMilli int64 `cbor:"2,keyasint"`
	// Attempt is unique per attempt. Repeating a claim with the same attempt
	// gives the same verdict.
	Attempt string `cbor:"3,keyasint"`
	// Fingerprint identifies the content of the request.
	Fingerprint uint64 `cbor:"4,keyasint"`
	// UntilMilli is the end of the attempt, in Unix milliseconds.
	UntilMilli int64 `cbor:"5,keyasint"`
}

// Reply is the answer to a claim.
type Reply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Reason  string  `cbor:"2,keyasint,omitempty"`
	// Owner is set when the verdict is Moved.
	Owner Member `cbor:"3,keyasint,omitempty"`
	// Answer is the kept answer of a finished request; nil when it is not kept.
	Answer *Answer `cbor:"4,keyasint,omitempty"`
	// Epoch is the epoch of the grant.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
}

// Answer is a whole answer of a target.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

// Ending says how an attempt ended.
type Ending int

// The endings.
const (
	// EndedRan: a target answered.
	EndedRan Ending = iota + 1
	// EndedNotRun: nothing was sent, so the key may be granted again.
	EndedNotRun
	// EndedUncertain: the request may have run.
	EndedUncertain
)

// Finish tells the owner how a granted attempt ended.
type Finish struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt string  `cbor:"2,keyasint"`
	Ending  Ending  `cbor:"3,keyasint"`
	Answer  *Answer `cbor:"4,keyasint,omitempty"`
}

// Entry is what a journal holds of one key.
type Entry struct {
	Key         Key    `cbor:"1,keyasint"`
	TimeMilli   int64  `cbor:"2,keyasint"`
	Attempt     string `cbor:"3,keyasint"`
	Fingerprint uint64 `cbor:"4,keyasint"`
	UntilMilli  int64  `cbor:"5,keyasint"`
	Ending      Ending `cbor:"6,keyasint,omitempty"`
	// Granted is set at the owner once all witnesses agreed.
	Granted bool    `cbor:"-"`
	Answer  *Answer `cbor:"7,keyasint,omitempty"`
	// seq is that of the note that a witness wrote down last.
	seq uint64
}

// Note asks a witness to write an entry down, or to update it.
type Note struct {
	Partition int    `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	Nonce     string `cbor:"3,keyasint"`
	Entry     Entry  `cbor:"4,keyasint"`
	// Seq orders the notes of an epoch, since late ones may overtake.
	Seq uint64 `cbor:"7,keyasint"`
	// Release removes the entry of the attempt instead.
	Release bool `cbor:"5,keyasint,omitempty"`
	// PrunedMilli is the time up to which the owner has dropped keys.
	PrunedMilli int64 `cbor:"6,keyasint,omitempty"`
}

// Seal asks a witness to write nothing more down for an epoch, and for its journal.
type Seal struct {
	Partition int    `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	Nonce     string `cbor:"3,keyasint"`
}

// Journal is the content of a partition.
type Journal struct {
	Entries     []Entry `cbor:"1,keyasint"`
	PrunedMilli int64   `cbor:"2,keyasint,omitempty"`
}

// Install asks a host to become a witness of an epoch that may come in force.
type Install struct {
	Record  Record  `cbor:"1,keyasint"`
	Journal Journal `cbor:"2,keyasint"`
}

// Message is one question between hosts, or its answer. One field is set.
type Message struct {
	Claim   *Claim   `cbor:"1,keyasint,omitempty"`
	Reply   *Reply   `cbor:"2,keyasint,omitempty"`
	Finish  *Finish  `cbor:"3,keyasint,omitempty"`
	Note    *Note    `cbor:"4,keyasint,omitempty"`
	Seal    *Seal    `cbor:"5,keyasint,omitempty"`
	Journal *Journal `cbor:"6,keyasint,omitempty"`
	Install *Install `cbor:"7,keyasint,omitempty"`
	// Endings are notes of ended attempts, several at a time.
	Endings []Note `cbor:"9,keyasint,omitempty"`
	// OK answers Note, Install, Finish and Endings.
	OK bool `cbor:"8,keyasint,omitempty"`
}
