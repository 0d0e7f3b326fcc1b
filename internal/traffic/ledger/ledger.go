// Package ledger ensures that a request with an idempotency key runs at most once.
//
// Keys are split into partitions. Each partition has, per epoch, one owner and up to
// MaxWitnesses witnesses, preferably in other failure domains. A record in the platform's
// store names them by host and incarnation. Only the attempt to which the owner grants a
// key may run the request, and the owner grants a key only after every witness of the
// epoch has recorded it in memory. To take over a partition, a host seals one witness of
// the old epoch, which then records no more keys for it, copies the witness's journal, and
// writes the next epoch to the store with a compare-and-swap. An owner that was paused or
// cut off from the network in the meantime no longer gets the consent of all witnesses, so
// it grants nothing.
//
// Safety does not depend on clocks. Keys are UUIDs of version 7 and contain a timestamp;
// an epoch grants only keys in the time range of its record. If an owner and all its
// witnesses are lost, the range of the next epoch starts where the old one ends.
//
// # Usage
//
//	s := ledger.NewService(cfg)
//	reply := s.Claim(ctx, ledger.Claim{Key: key, Attempt: id, ...})
//	if reply.Verdict == ledger.Granted { /* run the request */; s.Finish(ctx, ...) }
package ledger

// This file defines keys, partition records and the messages between hosts.

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
	// Partitions is the number of partitions of the key space.
	Partitions = 64
	// MaxKeyAge is the age from which a new key is never granted.
	MaxKeyAge = time.Hour
	// MaxClockSkew is how far a key's timestamp may be ahead of the owner's clock.
	MaxClockSkew = time.Minute
	// Horizon is how far in the future the time range of a new or extended epoch ends.
	Horizon = 2 * time.Hour
	// extendBelow is the remaining time range below which a range is extended.
	extendBelow = Horizon - 20*time.Minute
	// MaxWitnesses is the maximum number of witnesses of a partition.
	MaxWitnesses = 2
	// MaxKeys limits the keys that a host holds as owner and witness together.
	MaxKeys = 400_000
	// MaxResponseBytes is the largest response body that is kept for repeated requests.
	MaxResponseBytes = 4 << 10
	// ResponseTTL is the age of a key from which its response is no longer kept.
	ResponseTTL = 10 * time.Minute
	// MaxTotalResponseBytes limits the total size of the response bodies that a host keeps.
	MaxTotalResponseBytes = 64 << 20
)

// ErrInvalidKey is returned for an idempotency key that is not a UUID of version 7.
var ErrInvalidKey = errors.New("ledger: the idempotency key must be a UUID of version 7 (RFC 9562)")

// Key is a hash of a service's name and an idempotency key.
type Key [16]byte

// ParseKey parses an idempotency key of a service and returns its Key and its timestamp.
func ParseKey(service, text string) (Key, time.Time, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return Key{}, time.Time{}, ErrInvalidKey
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

// Record is the record of a partition in the store.
type Record struct {
	Partition int    `json:"partition" cbor:"1,keyasint"`
	Epoch     uint64 `json:"epoch" cbor:"2,keyasint"`
	// Nonce distinguishes attempts to activate the same epoch.
	Nonce     string   `json:"nonce" cbor:"7,keyasint"`
	Owner     Member   `json:"owner" cbor:"3,keyasint"`
	Witnesses []Member `json:"witnesses" cbor:"4,keyasint"`
	// AfterMilli (exclusive) and UntilMilli (inclusive) limit the timestamps of the keys
	// that the epoch may grant, in Unix milliseconds.
	AfterMilli int64 `json:"after-milli" cbor:"5,keyasint"`
	UntilMilli int64 `json:"until-milli" cbor:"6,keyasint"`
}

// storeKey returns the store key of a partition's record.
func storeKey(partition int) string { return fmt.Sprintf("ledger/%03d", partition) }

// Verdict is the owner's decision on a claim.
type Verdict int

// The verdicts.
const (
	// Granted: only this attempt may run the request.
	Granted Verdict = iota + 1
	// Running: another attempt has claimed the key and may be running.
	Running
	// Finished: the request ran. The reply contains the response if it was kept.
	Finished
	// MayHaveRun: the request may have run, and the key is not granted again.
	MayHaveRun
	// Rejected: the claim was rejected and nothing was granted.
	Rejected
	// NotOwner: the host does not own the partition.
	NotOwner
	// KeyReused: the key was already used for a different request.
	KeyReused
)

// Claim requests the grant to run a request.
type Claim struct {
	Key       Key   `cbor:"1,keyasint"`
	TimeMilli int64 `cbor:"2,keyasint"`
	// Attempt is the unique ID of the attempt. A claim that is granted to an attempt is
	// granted again if the same attempt repeats it before it finishes.
	Attempt string `cbor:"3,keyasint"`
	// Fingerprint is a hash of the request's content.
	Fingerprint uint64 `cbor:"4,keyasint"`
	// UntilMilli is the deadline of the attempt, in Unix milliseconds.
	UntilMilli int64 `cbor:"5,keyasint"`
}

// Reply is the response to a claim.
type Reply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Reason  string  `cbor:"2,keyasint,omitempty"`
	// Owner is the owner of the partition if the verdict is NotOwner and the owner is known.
	Owner Member `cbor:"3,keyasint,omitempty"`
	// Response is the response of a finished request, or nil if it was not kept.
	Response *Response `cbor:"4,keyasint,omitempty"`
	// Epoch is the epoch in which the key was granted.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
}

// Response is the complete HTTP response of a target.
type Response struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

// Outcome is the outcome of an attempt.
type Outcome int

// The outcomes of an attempt. The zero value means that none was reported.
const (
	// OutcomeRan: a target ran the request and responded.
	OutcomeRan Outcome = iota + 1
	// OutcomeNotRun: the request did not run, so the key may be granted again.
	OutcomeNotRun
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown
)

// Finish reports the outcome of a granted attempt to the owner.
type Finish struct {
	Key      Key       `cbor:"1,keyasint"`
	Attempt  string    `cbor:"2,keyasint"`
	Outcome  Outcome   `cbor:"3,keyasint"`
	Response *Response `cbor:"4,keyasint,omitempty"`
}

// Entry is the record of a key in a journal.
type Entry struct {
	Key         Key     `cbor:"1,keyasint"`
	TimeMilli   int64   `cbor:"2,keyasint"`
	Attempt     string  `cbor:"3,keyasint"`
	Fingerprint uint64  `cbor:"4,keyasint"`
	UntilMilli  int64   `cbor:"5,keyasint"`
	Outcome     Outcome `cbor:"6,keyasint,omitempty"`
	// Granted is set by the owner when all witnesses have recorded the entry.
	Granted  bool      `cbor:"-"`
	Response *Response `cbor:"7,keyasint,omitempty"`
	// seq is the sequence number of the update that a witness applied last.
	seq uint64
}

// Update is sent to a witness to add, replace or remove an entry of its journal.
type Update struct {
	Partition int    `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	Nonce     string `cbor:"3,keyasint"`
	Entry     Entry  `cbor:"4,keyasint"`
	// Seq orders the updates of an epoch, since the network may reorder them.
	Seq uint64 `cbor:"7,keyasint"`
	// Release removes the entry.
	Release bool `cbor:"5,keyasint,omitempty"`
	// PrunedMilli is the timestamp up to which the owner has removed keys.
	PrunedMilli int64 `cbor:"6,keyasint,omitempty"`
}

// Seal makes a witness reject all further updates of an epoch and return its journal.
type Seal struct {
	Partition int    `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	Nonce     string `cbor:"3,keyasint"`
}

// Journal holds the entries of a partition. Keys up to PrunedMilli have been removed.
type Journal struct {
	Entries     []Entry `cbor:"1,keyasint"`
	PrunedMilli int64   `cbor:"2,keyasint,omitempty"`
}

// Install makes a host a witness of an epoch that may be activated later. Journal holds the
// initial entries.
type Install struct {
	Record  Record  `cbor:"1,keyasint"`
	Journal Journal `cbor:"2,keyasint"`
}

// Message is a request between hosts, with one field set, or its response.
type Message struct {
	Claim   *Claim   `cbor:"1,keyasint,omitempty"`
	Reply   *Reply   `cbor:"2,keyasint,omitempty"`
	Finish  *Finish  `cbor:"3,keyasint,omitempty"`
	Update  *Update  `cbor:"4,keyasint,omitempty"`
	Seal    *Seal    `cbor:"5,keyasint,omitempty"`
	Journal *Journal `cbor:"6,keyasint,omitempty"`
	Install *Install `cbor:"7,keyasint,omitempty"`
	// Updates is a batch of updates for attempts that have ended.
	Updates []Update `cbor:"9,keyasint,omitempty"`
	// OK reports success in the response to every request except Claim.
	OK bool `cbor:"8,keyasint,omitempty"`
}
