// Package credit keeps the quotas of client accounts over all hosts by leased credit.
//
// One host, the credit host, holds a token bucket per account and grants credit to the others, its
// followers. The package handles the failures of this arrangement without an election: a credit
// host that is killed, frozen, suspended or cut off, partitions in which each side has a credit host,
// lost, delayed and repeated messages, and views that differ. A credit host with f followers in a
// fleet of n hosts issues the part f/n of each quota. A host counts at one credit host at a time, so the
// parts never add up to more than one.
//
// Times are durations since boot (kernel/clock). Those of different hosts are never compared: a
// message carries the last stamp that its sender received from the other side, and each side judges by
// its own stamps how old a message can be.
//
//   - Grants expire grantTime after the request for them was sent.
//   - A follower counts until followTime after the stamp that its last message returned. It follows
//     another host only when followTime has passed since it received that stamp, or when the credit
//     host confirmed that it no longer counts it.
//
// The package does no I/O, starts no goroutine and reads no clock.
//
// # Usage
//
//	spender := credit.NewSpender(now, name, run)
//	spender.SetCandidates(ranked)
//	switch d := spender.Charge(now, id, false); d.Outcome { ... }
//	for _, out := range spender.Poll(now, view) { send(out.To, out.Message) }
//	spender.Receive(now, response)
//
//	issuer := credit.NewIssuer(now, name, run)
//	issuer.SetLimits(now, limits)
//	response, ok := issuer.Handle(now, request)
package credit

// This file defines the messages between a credit host and its followers.

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeartbeatPeriod is the interval at which a host reports to its credit host.
	HeartbeatPeriod = 200 * time.Millisecond
	// PollPeriod is the interval at which Spender.Poll must be called, and the time after which a
	// message without a response is repeated.
	PollPeriod = 100 * time.Millisecond
	// grantTime is the time after the request for it at which a grant expires. It covers a
	// heartbeat period and half of the next one.
	grantTime = 300 * time.Millisecond
	// followTime is the time for which a follower counts. It covers two heartbeat periods and a
	// repetition, so that one lost message does not end it.
	followTime = 600 * time.Millisecond
	// startCredit is the credit with which buckets start when all hosts change to a credit host. Without
	// it, accounts with a rate far below one request a second were refused for long after each change. A
	// host brings its part at most once in settledTime, or with a new process.
	startCredit = 3.0
	settledTime = 5 * time.Second
	// MaxItems bounds the accounts in a message, which must fit a datagram of 1,400 bytes. An item
	// takes at most 37 bytes.
	MaxItems = 24
)

// AccountID identifies an account in messages. It is a hash of the name, so that long names fit a
// datagram.
type AccountID uint64

// ID returns the ID of the account with a name.
func ID(name string) AccountID { return AccountID(xxhash.Sum64String(name)) }

// Window, Overage and Slack are the tolerance that the constants of this package suit: in any
// Window, the requests of an account exceed its quota by no more than Overage times the quota, plus
// Slack.
const (
	Window  = 5 * time.Second
	Overage = 0.1
	Slack   = 20.0
)

// Message is a request of a host to a credit host, or the response to it. A request without Follow
// asks whether the receiver issues credit; the receiver then no longer counts the sender.
type Message struct {
	Sender string `cbor:"1,keyasint"`
	// Run identifies the process of the sender, and ReceiverRun that of the receiver; zero if it is
	// not known yet.
	Run         uint64 `cbor:"2,keyasint"`
	ReceiverRun uint64 `cbor:"3,keyasint,omitempty"`
	// Stamp is the time since boot of the sender. Each request of a process has a higher one.
	Stamp time.Duration `cbor:"4,keyasint"`
	// Echo is the stamp of the request that a response answers, or the last one that a
	// request's sender has received from the receiver.
	Echo     time.Duration `cbor:"5,keyasint,omitempty"`
	Response bool          `cbor:"6,keyasint,omitempty"`
	// Follow is set in requests of a follower, and in responses if the receiver counts as one.
	Follow bool `cbor:"7,keyasint,omitempty"`
	// Settled is set in the first requests of a follower that followed its former credit host for
	// settledTime or has just started. It brings its part of startCredit.
	Settled bool `cbor:"12,keyasint,omitempty"`
	// Unavailable is set in the response of a host that issues no credit and counts no followers.
	Unavailable bool `cbor:"8,keyasint,omitempty"`
	// Replaced is set in a response if the receiver's host counted as a follower through an earlier
	// process, and does not any more. That process followed no other host.
	Replaced bool `cbor:"13,keyasint,omitempty"`
	// Hosts is the number of hosts in the view of the sender of a request, and ViewAge the age of the view.
	Hosts   int           `cbor:"9,keyasint,omitempty"`
	ViewAge time.Duration `cbor:"10,keyasint,omitempty"`
	Items   []Item        `cbor:"11,keyasint,omitempty"`
}

// Item is the part of a message that concerns one account.
type Item struct {
	Account AccountID `cbor:"1,keyasint"`
	// Need is the credit that a follower needs, and Returned what it will not spend.
	Need     int `cbor:"2,keyasint,omitempty"`
	Returned int `cbor:"3,keyasint,omitempty"`
	// Generation is that in which the returned credit was issued, by the clock of the credit host.
	Generation int64 `cbor:"8,keyasint,omitempty"`
	// Granted is the credit that a response grants. If it is less than was needed, Wait is the time
	// until the next credit for the host, and Gap that between further ones.
	Granted int           `cbor:"4,keyasint,omitempty"`
	Wait    time.Duration `cbor:"5,keyasint,omitempty"`
	Gap     time.Duration `cbor:"6,keyasint,omitempty"`
	// Unknown is set in a response if the credit host can't issue credit for the account now.
	Unknown bool `cbor:"7,keyasint,omitempty"`
}

// View is what a host knows of the fleet.
type View struct {
	// Hosts is the number of hosts, with this one; zero if no view is known.
	Hosts int
	// Recorded is the recorded size of the fleet.
	Recorded int
	// Age is the age of the view.
	Age time.Duration
}
