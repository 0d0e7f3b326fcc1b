// Package dispatcher assigns requests to targets.
//
// The targets of a service are divided into cells. One of the hosts dispatches each cell;
// it is selected by rendezvous hashing. The dispatcher of a cell probes the targets for
// their load, counts the requests in flight and keeps the queue of waiting requests. An
// entry host requests a target from the dispatcher, sends the request to the target itself,
// and reports the outcome. So no request is lost when a dispatcher crashes; while it does
// not respond, a host dispatches its own requests. Two dispatchers of one cell reduce
// efficiency. They do not break the rate limits that targets name for all hosts together:
// only the first two hosts of the ranking use targets with limits, each its share (limit.go).
//
// # Usage
//
//	d := dispatcher.New(cfg, group)
//	d.SetSnapshot(snapshot, restarted)
//	grant, err := d.Place(ctx, request)
//	var rejection *dispatcher.RejectedError
//	if errors.As(err, &rejection) { ... retry after rejection.RetryAfter ... }
//	d.Done(grant, dispatcher.Outcome{Result: placement.Served, Load: load})
package dispatcher

// This file defines the requests to a dispatcher and the messages between hosts.

import (
	"fmt"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/account/credit"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
	"tamaracktiller.example/tamaracktiller/internal/traffic/notice"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/queue"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
)

// Request is a request that needs a target.
type Request struct {
	// ID is the request ID, for the log.
	ID      string
	Service string
	// Domain is the failure domain from which the request is sent.
	Domain   string
	Priority int
	// Account is the client account of the request; empty for none.
	Account string
	// Weight is the weight of the account against others; zero if it is not known.
	Weight float64
	// A response has its full value until Objective, and none after Deadline.
	Objective time.Time
	Deadline  time.Time
	// TypicalTime is the run time of such a request on a target of normal speed.
	TypicalTime time.Duration
	// Avoid lists targets that failed the request.
	Avoid []string
	// Paused holds the targets that want no requests of the sending host, with the times until
	// which they don't.
	Paused map[string]time.Time
	// Redirected reports that another cell redirected the request. A request is redirected
	// at most once.
	Redirected bool
	// Hedge marks a hedged request, sent while the first attempt is still running. It
	// is assigned a target at once or rejected; it never waits.
	Hedge bool
}

// queueRequest returns the request in the form that the queue takes.
func (r *Request) queueRequest() *queue.Request {
	return &queue.Request{Priority: r.Priority, Objective: r.Objective, Deadline: r.Deadline, TypicalTime: r.TypicalTime, Account: r.Account, Weight: r.Weight}
}

// placementRequest returns the request in the form that placement takes.
func (r *Request) placementRequest() placement.Request {
	return placement.Request{Domain: r.Domain, Avoid: r.Avoid, Paused: r.Paused, TypicalTime: r.TypicalTime, Objective: r.Objective, SpareLimited: r.Hedge}
}

// Grant is the assignment of a request to a target.
type Grant struct {
	placement.Choice
	// at is the time of the grant by this host's clock.
	at time.Time
	// cell is the key of the cell that the target belongs to.
	cell string
	// dispatchedBy is the host that made the grant; empty for this host.
	dispatchedBy string
	// id is the ID of the request at the other host; unused for this host.
	id uint64
	// through is the host through which the request must be sent; empty for directly.
	through string
	// account and typicalTime are those of the request, if this host made the grant.
	account     string
	typicalTime time.Duration
}

// Through returns the host through which the request must be sent; empty for directly.
func (g Grant) Through() string { return g.through }

// DispatchedBy returns the host that made the grant; empty for this host.
func (g Grant) DispatchedBy() string { return g.dispatchedBy }

// Outcome is the outcome of an attempt.
type Outcome struct {
	Result placement.Result
	// Gone reports that the target no longer serves at its address.
	Gone      bool
	Load      placement.Load
	LoadKnown bool
	// Limit is what the response says about the rate limit of the target.
	Limit ratelimit.Report
	// Pause is the time for which the target wants no requests of the host; zero if it did not
	// say.
	Pause time.Duration
	// Cold is what the response says about the time for which the target stays cold.
	Cold ratelimit.Cold
}

// RejectedError reports that no target was assigned to a request.
type RejectedError struct {
	Reason     string
	RetryAfter time.Duration
	// Limited reports whether the rate limits of the targets are the reason.
	Limited bool
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("dispatcher: %s, retry after %s", e.Reason, e.RetryAfter)
}

// kind is the kind of a message.
type kind uint8

const (
	// kindRequest requests a target. The sender repeats it while the request waits.
	kindRequest kind = iota + 1
	// kindQueued responds that the request is queued.
	kindQueued
	// kindGranted responds with a grant.
	kindGranted
	// kindRejected responds that no target is assigned to the request.
	kindRejected
	// kindUnavailable responds that the host shuts down or has no targets in the cell.
	kindUnavailable
	// kindRedirect responds that another cell of the service has more capacity.
	kindRedirect
	// kindLoad reports the load of cells to another dispatcher of their service.
	kindLoad
	// kindDone reports the outcome of an attempt, or cancels a request.
	kindDone
	// kindEvidence reports a request that may crash targets.
	kindEvidence
	// kindPauses tells a host that targets turned away requests which were sent through it.
	kindPauses
	// kindCredit carries a message on the quotas of client accounts.
	kindCredit
)

// Message is exchanged between hosts. Its times are relative, since the clocks of hosts
// differ.
type Message struct {
	Kind kind   `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
	Cell string `cbor:"3,keyasint,omitempty"`
	// RequestID is the request ID, for the log.
	RequestID string `cbor:"23,keyasint,omitempty"`

	// Fields of a request.
	Domain        string        `cbor:"4,keyasint,omitempty"`
	Priority      int           `cbor:"5,keyasint,omitempty"`
	ObjectiveLeft time.Duration `cbor:"6,keyasint,omitempty"`
	DeadlineLeft  time.Duration `cbor:"7,keyasint,omitempty"`
	TypicalTime   time.Duration `cbor:"8,keyasint,omitempty"`
	Avoid         []string      `cbor:"9,keyasint,omitempty"`
	Hedge         bool          `cbor:"10,keyasint,omitempty"`

	// Fields of a response, from placement.Choice except for RetryAfter and Reason. The
	// report of an outcome has Target, Load and LoadKnown, too.
	Target          string         `cbor:"11,keyasint,omitempty"`
	ServiceTime     time.Duration  `cbor:"12,keyasint,omitempty"`
	QueueTime       time.Duration  `cbor:"13,keyasint,omitempty"`
	Load            placement.Load `cbor:"14,keyasint,omitempty"`
	LoadKnown       bool           `cbor:"15,keyasint,omitempty"`
	Age             time.Duration  `cbor:"16,keyasint,omitempty"`
	RetryAfter      time.Duration  `cbor:"18,keyasint,omitempty"`
	Reason          string         `cbor:"19,keyasint,omitempty"`
	Concurrency     int            `cbor:"27,keyasint,omitempty"`
	Slots           int            `cbor:"28,keyasint,omitempty"`
	UncontendedTime time.Duration  `cbor:"29,keyasint,omitempty"`
	Cold            bool           `cbor:"30,keyasint,omitempty"`

	// Fields of the report of an outcome.
	Result    placement.Result `cbor:"20,keyasint,omitempty"`
	Gone      bool             `cbor:"21,keyasint,omitempty"`
	Cancelled bool             `cbor:"22,keyasint,omitempty"`
	Limit     ratelimit.Report `cbor:"31,keyasint,omitzero"`

	// Redirected is set in requests that another cell redirected.
	Redirected bool `cbor:"24,keyasint,omitempty"`
	// Loads holds loads of cells of the service, in responses and in messages of kindLoad.
	Loads []CellLoad `cbor:"25,keyasint,omitempty"`

	// RateLimited is set in a rejection that is due to the rate limits of the targets.
	RateLimited bool `cbor:"32,keyasint,omitempty"`
	// Limits holds the rate limits of targets of the cell that the sender knows, in requests
	// and responses.
	Limits []ratelimit.Announcement `cbor:"33,keyasint,omitempty"`

	// Departures holds targets of the cell that leave.
	Departures []notice.Incarnation `cbor:"34,keyasint,omitempty"`
	// Pauses holds the targets that want no requests of the sender, in requests, or of the
	// receiver, in messages of kindPauses. Pause is the time for which the target of a rejected
	// attempt wants none, in the report of an outcome. Through is the host through which a granted
	// request must be sent.
	Pauses  []Pause       `cbor:"35,keyasint,omitempty"`
	Pause   time.Duration `cbor:"36,keyasint,omitempty"`
	Through string        `cbor:"37,keyasint,omitempty"`

	// Account is the client account of a request.
	Account string `cbor:"38,keyasint,omitempty"`
	// Weight is the weight of the account against others; zero if it is not known.
	Weight float64 `cbor:"41,keyasint,omitempty"`

	// ColdNotice is about cold targets, in grants and in the reports of outcomes.
	ColdNotice coldNotice `cbor:"40,keyasint,omitzero"`

	// Evidence is set only in messages of kindEvidence, and Credit in those of kindCredit.
	Evidence *crash.Evidence `cbor:"26,keyasint,omitempty"`
	Credit   *credit.Message `cbor:"39,keyasint,omitempty"`
}

// EvidenceMessage returns the message that carries evidence of crashes.
func EvidenceMessage(e crash.Evidence) Message { return Message{Kind: kindEvidence, Evidence: &e} }

// CreditMessage returns the message that carries a message on the quotas of client accounts.
func CreditMessage(m credit.Message) Message { return Message{Kind: kindCredit, Credit: &m} }

// CellLoad is the load of a cell as reported by a host.
type CellLoad struct {
	Cell string `cbor:"1,keyasint"`
	// Utilization is the share of the cell's slots in use, in thousandths.
	Utilization int `cbor:"2,keyasint,omitempty"`
	// Waiting is the number of queued requests.
	Waiting int `cbor:"3,keyasint,omitempty"`
	// Age is the time since the load was measured.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// maxLoggedID bounds the request ID in a message. Clients choose it, and it serves only the log.
const maxLoggedID = 128

func (r *Request) message(now time.Time, id uint64, cell string) Message {
	return Message{
		Kind: kindRequest, ID: id, Cell: cell, RequestID: r.ID[:min(len(r.ID), maxLoggedID)], Domain: r.Domain, Priority: r.Priority,
		ObjectiveLeft: r.Objective.Sub(now), DeadlineLeft: r.Deadline.Sub(now), TypicalTime: r.TypicalTime,
		Avoid: r.Avoid, Hedge: r.Hedge, Redirected: r.Redirected, Account: r.Account, Weight: r.Weight,
	}
}

func (m *Message) request(now time.Time) Request {
	return Request{
		ID: m.RequestID, Account: m.Account, Weight: m.Weight, Domain: m.Domain, Priority: m.Priority, TypicalTime: m.TypicalTime, Avoid: m.Avoid, Hedge: m.Hedge, Redirected: m.Redirected,
		Paused: pausedTargets(now, m.Pauses), Objective: now.Add(m.ObjectiveLeft), Deadline: now.Add(m.DeadlineLeft),
	}
}
