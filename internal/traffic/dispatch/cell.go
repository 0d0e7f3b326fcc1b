// Package dispatch assigns the calls of one cell to targets and queues calls while
// no slot is free.
//
// A cell is the part of a pool that lies in one failure domain. One balancer at a
// time dispatches a cell, so its count of calls in flight is exact and needs no load
// probes. Two balancers may dispatch the same cell while their membership views
// differ; this costs efficiency but not correctness.
//
// The package does no I/O, reads no clock and uses no random numbers. It is not safe
// for concurrent use.
//
// # Usage
//
//	c := dispatch.NewCell(dispatch.DefaultConfig())
//	c.SetTargets(now, targets)
//	switch d := c.Admit(now, call); d.Action {
//	case dispatch.Run:    // send to d.Target, then c.Done(now, call, sample)
//	case dispatch.Queue:  // wait for a Grant from Done or DispatchQueued
//	case dispatch.Reject: // reject the call with d.RetryAfter
//	}
package dispatch

// This file defines Cell, which admits calls, queues them and grants them targets.

import (
	"fmt"
	"time"
)

// Config holds the parameters of a cell.
type Config struct {
	// QueuePerSlot limits the queued calls of one partner, per usable slot.
	QueuePerSlot int
	// RampTime is the slow-start period in which a new or recovered target ramps up to
	// all its slots.
	RampTime time.Duration
	// EjectTime is the first ejection time of a failing target; it doubles with each
	// further failure.
	EjectTime time.Duration
	// MaxEjectTime limits the ejection time.
	MaxEjectTime time.Duration
	// EjectAfter is the number of consecutive failures that eject a target.
	EjectAfter int
	// Overcommit is the number of calls that a target may hold beyond its slots while calls
	// are queued, so that its slots do not idle for a network round trip.
	Overcommit int
	// Fair selects fair queueing: partners are served by share, the members of a
	// partner equally. Otherwise the queue is first in, first out.
	Fair bool
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		QueuePerSlot: 8,
		RampTime:     2 * time.Second,
		EjectTime:    100 * time.Millisecond,
		MaxEjectTime: 5 * time.Second,
		EjectAfter:   3,
		Overcommit:   1,
		Fair:         true,
	}
}

// Call is a call that needs a slot of a target.
type Call struct {
	// Partner and Member identify the flow of the call in the fair queue.
	Partner string
	Member  string
	// Kind groups calls of similar service time.
	Kind string
	// Weight is the cost of the call in the fair queue.
	Weight int
	// MayWait marks deferrable calls, which yield to all others.
	MayWait bool
	// Pinned marks calls that came from another cell; they are not redirected again.
	Pinned   bool
	Deadline time.Time
	// Avoid names the targets that already failed this call.
	Avoid []string

	target  *target
	started time.Time
	queued  bool
}

// Target returns the name of the target that runs the call, or "" if none does.
func (c *Call) Target() string {
	if c.target == nil {
		return ""
	}
	return c.target.spec.Name
}

// Action says what to do with a call.
type Action int

// The actions.
const (
	Run Action = iota
	Queue
	Reject
	// Redirect redirects the call to another cell of the pool; Decision.Target holds the
	// failure domain of that cell.
	Redirect
)

// Reason says why a call was rejected.
type Reason string

// The reasons for a rejection.
const (
	ReasonNone      Reason = ""
	ReasonDeadline  Reason = "deadline cannot be met"
	ReasonQueueFull Reason = "queue is full"
	ReasonNoTarget  Reason = "no target takes new work"
)

// Decision is the decision on a call.
type Decision struct {
	Action     Action
	Target     string
	Reason     Reason
	RetryAfter time.Duration
}

// Grant carries the decision on a queued call.
type Grant struct {
	Call     *Call
	Decision Decision
}

// Cell holds the targets and the queue of one cell.
type Cell struct {
	cfg          Config
	targets      []*target
	queue        *fairQueue
	serviceTimes map[string]*movingAverage
	// inFlight counts the calls in flight; checkInvariants compares it with the targets.
	inFlight int
	// offerTokens is the number of offers that may be made now. offersEarned and
	// offersMade are totals since the cell was created.
	offerTokens  float64
	offersEarned float64
	offersMade   int
}

// NewCell returns a cell without targets.
func NewCell(cfg Config) *Cell {
	return &Cell{cfg: cfg, queue: newFairQueue(cfg.Fair), serviceTimes: map[string]*movingAverage{}}
}

// SetShares sets the share of each partner of the pool.
func (c *Cell) SetShares(shares map[string]int) { c.queue.setShares(shares) }

// Admit runs, queues or rejects a new call. Its cost is linear in the number of
// targets.
func (c *Cell) Admit(now time.Time, call *Call) Decision {
	if c.usableSlots(now) == 0 {
		return reject(ReasonNoTarget, c.cfg.EjectTime)
	}
	wait := c.expectedQueueTime(now, call)
	if now.Add(wait + c.serviceTimeOf(call.Kind)).After(call.Deadline) {
		return reject(ReasonDeadline, wait)
	}
	if c.queue.empty(call.MayWait) {
		if t := c.chooseTarget(now, call); t != nil {
			c.start(now, call, t)
			return Decision{Action: Run, Target: t.spec.Name}
		}
	}
	if c.queue.full(call, c.cfg.QueuePerSlot*c.usableSlots(now)) {
		return reject(ReasonQueueFull, wait)
	}
	c.queue.push(call)
	return Decision{Action: Queue}
}

func reject(reason Reason, wait time.Duration) Decision {
	return Decision{Action: Reject, Reason: reason, RetryAfter: max(wait, minRetryAfter)}
}

// minRetryAfter is the shortest retry-after time of a rejection.
const minRetryAfter = 50 * time.Millisecond

// Done ends a call in flight, releases its slot and returns the resulting grants.
func (c *Cell) Done(now time.Time, call *Call, s Sample) []Grant {
	t := call.target
	if t == nil {
		panic(fmt.Sprintf("dispatch: Done for a call that is not running: %+v", call))
	}
	call.target = nil
	c.inFlight--
	t.finish(call)
	c.recordSample(now, t, call, s)
	c.checkInvariants()
	return c.DispatchQueued(now)
}

// Withdraw removes a call from the queue and reports whether it was queued.
func (c *Cell) Withdraw(call *Call) bool { return c.queue.remove(call) }

// TakeForRedirect removes the next call from the queue, so that it can be redirected to a
// cell with a free slot. It returns nil if the queue is empty or the call is pinned.
func (c *Cell) TakeForRedirect() *Call {
	call := c.queue.peek()
	if call == nil || call.Pinned {
		return nil
	}
	c.queue.pop(call)
	return call
}

// EarnOffers credits a finished call to the offer budget, at perThousand offers per
// thousand calls.
func (c *Cell) EarnOffers(perThousand int) {
	c.offerTokens = min(maxOfferTokens, c.offerTokens+float64(perThousand)/perMille)
	c.offersEarned += float64(perThousand) / perMille
}

const (
	perMille = 1000
	// maxOfferTokens limits the unused offers that accumulate.
	maxOfferTokens = 5
)

// AllowOffer reports whether the cell should offer a free slot to another cell, and
// charges the offer to the budget. A cell never makes more offers than it earned. This
// holds even while several hosts dispatch the cell, since each earns offers only from
// calls that it served itself.
func (c *Cell) AllowOffer(now time.Time) bool {
	if c.offerTokens < 1 || c.queue.length() > 0 || c.Load(now).Free == 0 {
		return false
	}
	c.offerTokens--
	c.offersMade++
	if float64(c.offersMade) > c.offersEarned+offerTolerance {
		panic(fmt.Sprintf("dispatch: %d offers made, but only %.1f earned", c.offersMade, c.offersEarned))
	}
	return true
}

// offerTolerance absorbs rounding errors in offersEarned.
const offerTolerance = 1e-6

// DispatchQueued grants free slots to queued calls and rejects those that can no longer
// meet their deadline. It must be called periodically, since slots also become usable when
// an ejection ends or during slow start.
func (c *Cell) DispatchQueued(now time.Time) []Grant {
	var grants []Grant
	for {
		call := c.queue.peek()
		if call == nil {
			return grants
		}
		if now.Add(c.serviceTimeOf(call.Kind)).After(call.Deadline) {
			c.queue.remove(call)
			grants = append(grants, Grant{Call: call, Decision: reject(ReasonDeadline, c.queueTime(now))})
			continue
		}
		t := c.chooseTarget(now, call)
		if t == nil {
			return grants
		}
		c.queue.pop(call)
		c.start(now, call, t)
		grants = append(grants, Grant{Call: call, Decision: Decision{Action: Run, Target: t.spec.Name}})
	}
}

func (c *Cell) start(now time.Time, call *Call, t *target) {
	if t.spec.Draining {
		panic(fmt.Sprintf("dispatch: call assigned to draining target %s", t.spec.Name))
	}
	call.target = t
	call.started = now
	t.begin(call)
	c.inFlight++
	c.checkInvariants()
}

// checkInvariants panics if a target runs more calls than its slots and cfg.Overcommit
// allow (unless its slots were reduced), or if the targets run more calls than the cell
// started.
func (c *Cell) checkInvariants() {
	total := 0
	for _, t := range c.targets {
		if len(t.running) > t.spec.Slots+c.cfg.Overcommit && !t.overSlots {
			panic(fmt.Sprintf("dispatch: target %s runs %d calls on %d slots", t.spec.Name, len(t.running), t.spec.Slots))
		}
		total += len(t.running)
	}
	if total > c.inFlight {
		panic(fmt.Sprintf("dispatch: targets run %d calls, the cell started %d", total, c.inFlight))
	}
}

// Load is the load report of a cell, sent to other hosts with responses.
type Load struct {
	// Free is the number of usable slots without a call.
	Free int `json:"f"`
	// Waiting is the number of queued calls.
	Waiting int `json:"w"`
	// Slots is the number of usable slots.
	Slots int `json:"s"`
	// ServiceTime is the mean service time of a call.
	ServiceTime time.Duration `json:"t"`
}

// Load returns the current load of the cell.
func (c *Cell) Load(now time.Time) Load {
	free := 0
	for _, t := range c.targets {
		free += max(0, t.allowedSlots(now, c.cfg)-len(t.running))
	}
	return Load{Free: free, Waiting: c.queue.length(), Slots: c.usableSlots(now), ServiceTime: c.meanServiceTime()}
}

// usableSlots returns the number of slots that may be used now, free or not.
func (c *Cell) usableSlots(now time.Time) int {
	n := 0
	for _, t := range c.targets {
		n += t.allowedSlots(now, c.cfg)
	}
	return n
}

// queueTime estimates the time until all queued calls have started.
func (c *Cell) queueTime(now time.Time) time.Duration {
	usableSlots := max(1, c.usableSlots(now))
	return time.Duration(float64(c.meanServiceTime()) * float64(c.queue.length()) / float64(usableSlots))
}

// expectedQueueTime estimates the queue time of a new call. It counts calls of other
// partners only as far as shares let them go first.
func (c *Cell) expectedQueueTime(now time.Time, call *Call) time.Duration {
	callsAhead := c.queue.callsAhead(call)
	if callsAhead == 0 {
		return 0
	}
	usableSlots := max(1, c.usableSlots(now))
	return time.Duration(float64(c.meanServiceTime()) * float64(callsAhead) / float64(usableSlots))
}
