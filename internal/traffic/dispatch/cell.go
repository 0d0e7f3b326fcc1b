// Package dispatch decides, for the targets of one cell, which call runs where
// and when.
//
// A cell is the part of a pool that lies in one failure domain. One balancer at
// a time dispatches a cell, so its count of calls in flight is exact and no
// message is spent on measuring load. Two dispatchers of one cell, during a
// change of view, cost efficiency and never safety.
//
// The package does no I/O, reads no clock and draws no random numbers. It is not
// safe for concurrent use.
//
// # Usage
//
//	c := dispatch.NewCell(dispatch.DefaultConfig())
//	c.SetTargets(now, targets)
//	switch v := c.Offer(now, call); v.Action {
//	case dispatch.Run:    // send to v.Target, then c.Done(now, call, sample)
//	case dispatch.Queue:  // wait for a Grant from Done, Withdraw or Expire
//	case dispatch.Refuse: // answer at once with v.RetryAfter
//	}
package dispatch

// This file defines Cell: admission, the queue and the grants.

import (
	"fmt"
	"time"
)

// Config holds the parameters of a cell.
type Config struct {
	// QueuePerSlot bounds the waiting calls of one partner, per slot.
	QueuePerSlot int
	// RampTime is the time over which a new or recovered target is filled.
	RampTime time.Duration
	// EjectTime is the first pause of a target after failures; it doubles.
	EjectTime time.Duration
	// MaxEjectTime bounds the pause of a target.
	MaxEjectTime time.Duration
	// EjectAfter is the number of failures in a row that pause a target.
	EjectAfter int
	// Ahead is the number of calls that a target may hold beyond its slots while
	// others wait, so that its slots do not idle for the time of a crossing.
	Ahead int
	// Fair serves partners by share and Members equally; otherwise first come
	// first served.
	Fair bool
}

// DefaultConfig returns the parameters in use.
func DefaultConfig() Config {
	return Config{
		QueuePerSlot: 8,
		RampTime:     2 * time.Second,
		EjectTime:    100 * time.Millisecond,
		MaxEjectTime: 5 * time.Second,
		EjectAfter:   3,
		Ahead:        1,
		Fair:         true,
	}
}

// Call is one request for a slot.
type Call struct {
	// Partner and Member identify whom the call is served for.
	Partner string
	Member  string
	// Kind identifies calls of similar service time.
	Kind string
	// Weight is the service units that the call counts.
	Weight int
	// MayWait calls yield to all others.
	MayWait bool
	// Pinned calls came from another cell and are not given to a third.
	Pinned   bool
	Deadline time.Time
	// Avoid names targets that failed this call before.
	Avoid []string

	target  *target
	started time.Time
	queued  bool
}

// Target returns the name of the target that the call was granted, or "".
func (c *Call) Target() string {
	if c.target == nil {
		return ""
	}
	return c.target.spec.Name
}

// Action is what becomes of an offered call.
type Action int

// The actions.
const (
	Run Action = iota
	Queue
	Refuse
	// Move gives the call to another cell, which Target names by its domain.
	Move
)

// Reason says why a call was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonNone      Reason = ""
	ReasonDeadline  Reason = "deadline cannot be met"
	ReasonQueueFull Reason = "queue is full"
	ReasonNoTarget  Reason = "no target takes new work"
)

// Verdict is the answer to an offered call.
type Verdict struct {
	Action     Action
	Target     string
	Reason     Reason
	RetryAfter time.Duration
}

// Grant gives a queued call a target, or refuses it.
type Grant struct {
	Call    *Call
	Verdict Verdict
}

// Cell holds the targets and the queue of one cell.
type Cell struct {
	cfg     Config
	targets []*target
	queue   *fairQueue
	means   map[string]*mean
	// runs counts the calls in flight and is checked against the targets.
	runs int
	// offers is the number of offers that may be made now; earned and made count
	// since the start.
	offers float64
	earned float64
	made   int
}

// NewCell returns a cell without targets.
func NewCell(cfg Config) *Cell {
	return &Cell{cfg: cfg, queue: newFairQueue(cfg.Fair), means: map[string]*mean{}}
}

// SetShares sets the share of each partner in the pool.
func (c *Cell) SetShares(shares map[string]int) { c.queue.setShares(shares) }

// Offer decides on a new call. Its cost is linear in the targets of the cell.
func (c *Cell) Offer(now time.Time, call *Call) Verdict {
	if c.slots(now) == 0 {
		return refusal(ReasonNoTarget, c.cfg.EjectTime)
	}
	wait := c.expectedWait(now, call)
	if now.Add(wait + c.meanOf(call.Kind)).After(call.Deadline) {
		return refusal(ReasonDeadline, wait)
	}
	if c.queue.empty(call.MayWait) {
		if t := c.choose(now, call); t != nil {
			c.start(now, call, t)
			return Verdict{Action: Run, Target: t.spec.Name}
		}
	}
	if c.queue.full(call, c.cfg.QueuePerSlot*c.slots(now)) {
		return refusal(ReasonQueueFull, wait)
	}
	c.queue.push(call)
	return Verdict{Action: Queue}
}

func refusal(reason Reason, wait time.Duration) Verdict {
	return Verdict{Action: Refuse, Reason: reason, RetryAfter: max(wait, minRetryAfter)}
}

// minRetryAfter is the shortest time that a refused caller is told to wait.
const minRetryAfter = 50 * time.Millisecond

// Done ends a call in flight and returns the grants that its slot makes possible.
func (c *Cell) Done(now time.Time, call *Call, s Sample) []Grant {
	t := call.target
	if t == nil {
		panic(fmt.Sprintf("dispatch: Done of a call that does not run: %+v", call))
	}
	call.target = nil
	c.runs--
	t.finish(call)
	c.learn(now, t, call, s)
	c.check()
	return c.Pump(now)
}

// Withdraw removes a queued call and reports whether it was queued.
func (c *Cell) Withdraw(call *Call) bool { return c.queue.remove(call) }

// Yield takes the call that is to be served next out of the queue, for a cell
// that has a free slot. It returns nil when none waits or the call is pinned.
func (c *Cell) Yield() *Call {
	call := c.queue.peek()
	if call == nil || call.Pinned {
		return nil
	}
	c.queue.pop(call)
	return call
}

// Earn counts a finished call towards the offers that the cell may make; the
// share is in offers per thousand calls.
func (c *Cell) Earn(perThousand int) {
	c.offers = min(maxOffers, c.offers+float64(perThousand)/perMille)
	c.earned += float64(perThousand) / perMille
}

const (
	perMille = 1000
	// maxOffers bounds the offers that may be saved up.
	maxOffers = 5
)

// Offers reports whether the cell should tell another one of a free slot, and
// counts the message. The budget is an invariant: a cell never makes more offers
// than it earned, whoever else believes that it dispatches the cell, since each
// earns only by the calls that it served itself.
func (c *Cell) Offers(now time.Time) bool {
	if c.offers < 1 || c.queue.length() > 0 || c.Load(now).Free == 0 {
		return false
	}
	c.offers--
	c.made++
	if float64(c.made) > c.earned+budgetTolerance {
		panic(fmt.Sprintf("dispatch: %d offers made, %.1f earned", c.made, c.earned))
	}
	return true
}

// budgetTolerance absorbs the rounding of sums of shares.
const budgetTolerance = 1e-6

// Pump grants free slots to queued calls and refuses those that cannot make
// their deadline any more. Shells call it after Done and periodically, since
// slots also come back with time.
func (c *Cell) Pump(now time.Time) []Grant {
	var grants []Grant
	for {
		call := c.queue.peek()
		if call == nil {
			return grants
		}
		if now.Add(c.meanOf(call.Kind)).After(call.Deadline) {
			c.queue.remove(call)
			grants = append(grants, Grant{Call: call, Verdict: refusal(ReasonDeadline, c.backlog(now))})
			continue
		}
		t := c.choose(now, call)
		if t == nil {
			return grants
		}
		c.queue.pop(call)
		c.start(now, call, t)
		grants = append(grants, Grant{Call: call, Verdict: Verdict{Action: Run, Target: t.spec.Name}})
	}
}

func (c *Cell) start(now time.Time, call *Call, t *target) {
	if t.spec.Leaving {
		panic(fmt.Sprintf("dispatch: new work for leaving target %s", t.spec.Name))
	}
	call.target = t
	call.started = now
	t.begin(call)
	c.runs++
	c.check()
}

// check asserts that no target runs more calls than it has slots.
func (c *Cell) check() {
	total := 0
	for _, t := range c.targets {
		if len(t.running) > t.spec.Slots+c.cfg.Ahead && !t.shrunk {
			panic(fmt.Sprintf("dispatch: target %s runs %d calls on %d slots", t.spec.Name, len(t.running), t.spec.Slots))
		}
		total += len(t.running)
	}
	if total > c.runs {
		panic(fmt.Sprintf("dispatch: targets run %d calls, the cell started %d", total, c.runs))
	}
}

// Load is what a cell tells others about itself, on its answers.
type Load struct {
	// Free is the number of slots without a call.
	Free int `json:"f"`
	// Waiting is the number of queued calls.
	Waiting int `json:"w"`
	// Slots is the number of slots that take work.
	Slots int `json:"s"`
	// Service is the mean service time of a call.
	Service time.Duration `json:"t"`
}

// Load returns the present load of the cell.
func (c *Cell) Load(now time.Time) Load {
	free := 0
	for _, t := range c.targets {
		free += max(0, t.allowed(now, c.cfg)-len(t.running))
	}
	return Load{Free: free, Waiting: c.queue.length(), Slots: c.slots(now), Service: c.meanService()}
}

// slots returns the number of slots that may be used now.
func (c *Cell) slots(now time.Time) int {
	n := 0
	for _, t := range c.targets {
		n += t.allowed(now, c.cfg)
	}
	return n
}

// backlog returns the time that the waiting calls will take.
func (c *Cell) backlog(now time.Time) time.Duration {
	slots := max(1, c.slots(now))
	return time.Duration(float64(c.meanService()) * float64(c.queue.length()) / float64(slots))
}

// expectedWait estimates the time until an offered call would start. A call of
// a partner that is below its share waits for its own partner's calls only.
func (c *Cell) expectedWait(now time.Time, call *Call) time.Duration {
	ahead := c.queue.ahead(call)
	if ahead == 0 {
		return 0
	}
	slots := max(1, c.slots(now))
	return time.Duration(float64(c.meanService()) * float64(ahead) / float64(slots))
}
