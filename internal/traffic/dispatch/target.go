package dispatch

// This file defines the per-target state of a cell and target selection.

import (
	"math"
	"slices"
	"time"
)

// Target describes a target of the cell.
type Target struct {
	Name     string
	Slots    int
	Draining bool
}

// Result is the result of a call, as a signal about its target.
type Result int

// The results.
const (
	// OK is a response that does not count as a failure of the target.
	OK Result = iota
	// Failed is an error of the target: connection refused, reset or an error status.
	Failed
	// Shed is a response by which the target rejects the call before running it.
	Shed
	// Cancelled says nothing about the target.
	Cancelled
)

// Sample is the measurement of a finished call.
type Sample struct {
	Result Result
	// Latency is the time from sending the request to receiving the response header.
	Latency time.Duration
}

const (
	// serviceTimeGain is the weight of a new sample in the service time of a kind.
	serviceTimeGain = 0.05
	// slownessGain is the weight of a new sample in the slowness of a target.
	slownessGain = 0.2
	// minLatencyRatio is the lower bound of the latency ratio, so that the logarithm of
	// very short calls stays bounded.
	minLatencyRatio = 0.05
)

// movingAverage is an exponentially weighted moving average of service times.
type movingAverage struct {
	value time.Duration
	known bool
}

func (m *movingAverage) add(d time.Duration) {
	if !m.known {
		m.value, m.known = d, true
		return
	}
	m.value += time.Duration(serviceTimeGain * float64(d-m.value))
}

// target is the state of one target.
type target struct {
	spec    Target
	running []*Call
	// logSlowness is the moving average of log(latency / service time of the kind). The
	// logarithm keeps a single long call from marking the target as slow.
	logSlowness float64
	// shedsExcess is set once the target has shed a call; such a target gets no calls
	// beyond its slots.
	shedsExcess bool
	// failures counts consecutive failures.
	failures     int
	ejectedUntil time.Time
	// rampStart is the time at which the last slow start began, if any.
	rampStart time.Time
	// overSlots is set while the target runs more calls than it has slots, for instance
	// after its slots were reduced.
	overSlots bool
}

// SetTargets replaces the targets of the cell and keeps the state of those that
// remain. Slow start applies to targets that stop draining, and to new ones unless the cell
// had no targets before. Calls in flight on removed targets still end with Done.
func (c *Cell) SetTargets(now time.Time, specs []Target) {
	old := make(map[string]*target, len(c.targets))
	for _, t := range c.targets {
		old[t.spec.Name] = t
	}
	first := len(c.targets) == 0
	next := make([]*target, 0, len(specs))
	for _, spec := range specs {
		t, ok := old[spec.Name]
		if !ok {
			t = &target{}
			if !first {
				t.rampStart = now
			}
		}
		if t.spec.Draining && !spec.Draining {
			t.rampStart = now
		}
		t.spec = spec
		t.overSlots = len(t.running) > spec.Slots
		next = append(next, t)
	}
	c.targets = next
	c.inFlight = 0
	for _, t := range old {
		c.inFlight += len(t.running)
	}
}

// allowedSlots returns the number of slots that may be used now: none while the target
// drains or is ejected, one for a trial call after an ejection, fewer during slow start.
func (t *target) allowedSlots(now time.Time, cfg Config) int {
	if t.spec.Draining || now.Before(t.ejectedUntil) {
		return 0
	}
	if t.failures >= cfg.EjectAfter {
		return 1
	}
	ramping := now.Sub(t.rampStart)
	if t.rampStart.IsZero() || ramping >= cfg.RampTime {
		return t.spec.Slots
	}
	ramped := int(float64(t.spec.Slots) * float64(ramping) / float64(cfg.RampTime))
	return max(1, ramped)
}

func (t *target) begin(call *Call) { t.running = append(t.running, call) }

func (t *target) finish(call *Call) {
	at := slices.Index(t.running, call)
	if at < 0 {
		return
	}
	t.running = slices.Delete(t.running, at, at+1)
	t.overSlots = len(t.running) > t.spec.Slots
}

// recordSample updates the state of the target and the service time of the kind.
func (c *Cell) recordSample(now time.Time, t *target, call *Call, s Sample) {
	switch s.Result {
	case Cancelled:
		return
	case Failed, Shed:
		t.recordFailure(now, c.cfg, s.Result)
		return
	case OK:
	}
	if t.failures >= c.cfg.EjectAfter {
		t.rampStart = now
	}
	t.failures = 0
	m := c.serviceTimeEntry(call.Kind)
	if m.known && m.value > 0 {
		ratio := math.Log(max(minLatencyRatio, float64(s.Latency)/float64(m.value)))
		t.logSlowness += slownessGain * (ratio - t.logSlowness)
	}
	m.add(s.Latency)
}

// recordFailure counts a failure. After cfg.EjectAfter consecutive ones it ejects the
// target, for twice as long with each further failure; a shed call ejects it at once for
// cfg.EjectTime. Without ejection, a target that returns errors fast would look idle and
// attract calls.
func (t *target) recordFailure(now time.Time, cfg Config, result Result) {
	t.failures++
	if result == Shed {
		t.shedsExcess = true
		t.ejectedUntil = now.Add(cfg.EjectTime)
		return
	}
	excess := t.failures - cfg.EjectAfter
	if excess < 0 {
		return
	}
	ejectTime := cfg.EjectTime << min(excess, maxDoublings)
	t.ejectedUntil = now.Add(min(ejectTime, cfg.MaxEjectTime))
}

// maxDoublings limits the doublings of the ejection time.
const maxDoublings = 10

func (c *Cell) serviceTimeEntry(kind string) *movingAverage {
	m, ok := c.serviceTimes[kind]
	if !ok {
		m = &movingAverage{}
		c.serviceTimes[kind] = m
	}
	return m
}

func (c *Cell) serviceTimeOf(kind string) time.Duration {
	m, ok := c.serviceTimes[kind]
	if !ok {
		return 0
	}
	return m.value
}

// meanServiceTime returns the mean of the service times of all kinds.
func (c *Cell) meanServiceTime() time.Duration {
	var sum time.Duration
	n := 0
	for _, m := range c.serviceTimes {
		if m.known {
			sum += m.value
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// slownessAt returns the factor by which the target is slower than the average, at
// least 1. Running calls count as evidence once they exceed ageTolerance.
func (c *Cell) slownessAt(now time.Time, t *target) float64 {
	slow := max(1, math.Exp(t.logSlowness))
	for _, call := range t.running {
		m := c.serviceTimeOf(call.Kind)
		if m <= 0 {
			continue
		}
		age := float64(now.Sub(call.started)) / float64(m)
		slow = max(slow, ageSlowness(age))
	}
	return slow
}

// ageSlowness returns the slowness that the age of a running call indicates. The age is
// in mean service times; ages up to ageTolerance are common and indicate none.
func ageSlowness(age float64) float64 {
	if age <= ageTolerance {
		return 0
	}
	return age
}

// ageTolerance is the age, in mean service times, that a call often reaches on a target
// of normal speed.
const ageTolerance = 4.0

// chooseTarget returns the least loaded target for a call, or nil if none has a free
// slot. It skips targets in call.Avoid unless no other target is usable.
func (c *Cell) chooseTarget(now time.Time, call *Call) *target {
	var best *target
	var bestSlow float64
	for _, t := range c.targets {
		if len(t.running) >= c.maxRunning(now, t) || slices.Contains(call.Avoid, t.spec.Name) && c.hasOther(t, now) {
			continue
		}
		slow := c.slownessAt(now, t)
		if best == nil || lessLoaded(t, slow, best, bestSlow) {
			best, bestSlow = t, slow
		}
	}
	return best
}

// maxRunning returns the number of calls that the target may hold now.
func (c *Cell) maxRunning(now time.Time, t *target) int {
	allowedSlots := t.allowedSlots(now, c.cfg)
	if !t.shedsExcess && allowedSlots == t.spec.Slots && c.queue.length() >= minQueueForOvercommit {
		return allowedSlots + c.cfg.Overcommit
	}
	return allowedSlots
}

// minQueueForOvercommit is the number of queued calls from which targets may hold more
// calls than they have slots.
const minQueueForOvercommit = 4

// hasOther reports whether a target other than t has usable slots.
func (c *Cell) hasOther(t *target, now time.Time) bool {
	for _, other := range c.targets {
		if other != t && other.allowedSlots(now, c.cfg) > 0 {
			return true
		}
	}
	return false
}

// lessLoaded reports whether a has a lower load than b, where the load per slot is
// multiplied by slowness.
func lessLoaded(a *target, slowA float64, b *target, slowB float64) bool {
	loadA := float64(len(a.running)+1) / float64(a.spec.Slots) * slowA
	loadB := float64(len(b.running)+1) / float64(b.spec.Slots) * slowB
	return loadA < loadB
}
