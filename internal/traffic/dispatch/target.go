package dispatch

// This file defines the state that a cell keeps of a target, and the choice
// among targets.

import (
	"math"
	"slices"
	"time"
)

// Target describes a target of the cell.
type Target struct {
	Name    string
	Slots   int
	Leaving bool
}

// Result is how a call ended.
type Result int

// The results.
const (
	// OK is an answer of the target, whatever its status says to the caller.
	OK Result = iota
	// Failed is an error of the target: refused, reset or a failure status.
	Failed
	// Shed is an answer by which the target refuses work.
	Shed
	// Cancelled says nothing about the target.
	Cancelled
)

// Sample is what a finished call tells about its target.
type Sample struct {
	Result Result
	// Latency is the time from sending to the head of the answer.
	Latency time.Duration
}

const (
	// gain is the weight of a new sample in the moving means of a kind.
	gain = 0.05
	// slownessGain is the weight of a new sample in the slowness of a target.
	slownessGain = 0.2
	// minRatio bounds the logarithm of very short calls.
	minRatio = 0.05
)

// mean is a moving mean of service times.
type mean struct {
	value time.Duration
	known bool
}

func (m *mean) add(d time.Duration) {
	if !m.known {
		m.value, m.known = d, true
		return
	}
	m.value += time.Duration(gain * float64(d-m.value))
}

// target is the state of one target.
type target struct {
	spec    Target
	running []*Call
	// logSlowness is the moving mean of the logarithm of its latencies over the
	// mean of their kind. A logarithm keeps one long call from looking slow.
	logSlowness float64
	// strict targets shed what exceeds their slots.
	strict bool
	// failures counts failures in a row.
	failures int
	ejected  time.Time
	// rampFrom is the time since which the target is being filled.
	rampFrom time.Time
	// shrunk is set while more calls run than a reduced number of slots.
	shrunk bool
}

// SetTargets replaces the targets of the cell and keeps the state of those that
// stay. Calls in flight on targets that are gone end as usual.
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
				t.rampFrom = now
			}
		}
		if t.spec.Leaving && !spec.Leaving {
			t.rampFrom = now
		}
		t.spec = spec
		t.shrunk = len(t.running) > spec.Slots
		next = append(next, t)
	}
	c.targets = next
	c.runs = 0
	for _, t := range old {
		c.runs += len(t.running)
	}
}

// allowed returns the number of calls that the target may run now.
func (t *target) allowed(now time.Time, cfg Config) int {
	if t.spec.Leaving || now.Before(t.ejected) {
		return 0
	}
	if t.failures >= cfg.EjectAfter {
		return 1
	}
	filling := now.Sub(t.rampFrom)
	if t.rampFrom.IsZero() || filling >= cfg.RampTime {
		return t.spec.Slots
	}
	ramped := int(float64(t.spec.Slots) * float64(filling) / float64(cfg.RampTime))
	return max(1, ramped)
}

func (t *target) begin(call *Call) { t.running = append(t.running, call) }

func (t *target) finish(call *Call) {
	at := slices.Index(t.running, call)
	if at < 0 {
		return
	}
	t.running = slices.Delete(t.running, at, at+1)
	t.shrunk = len(t.running) > t.spec.Slots
}

// learn updates what is known of the target and of the kind.
func (c *Cell) learn(now time.Time, t *target, call *Call, s Sample) {
	switch s.Result {
	case Cancelled:
		return
	case Failed, Shed:
		t.fail(now, c.cfg, s.Result)
		return
	case OK:
	}
	if t.failures >= c.cfg.EjectAfter {
		t.rampFrom = now
	}
	t.failures = 0
	m := c.meanFor(call.Kind)
	if m.known && m.value > 0 {
		ratio := math.Log(max(minRatio, float64(s.Latency)/float64(m.value)))
		t.logSlowness += slownessGain * (ratio - t.logSlowness)
	}
	m.add(s.Latency)
}

// fail counts a failure. A target that answers errors fast would look idle, so
// it is paused, for twice as long each time.
func (t *target) fail(now time.Time, cfg Config, result Result) {
	t.failures++
	if result == Shed {
		t.strict = true
		t.ejected = now.Add(cfg.EjectTime)
		return
	}
	over := t.failures - cfg.EjectAfter
	if over < 0 {
		return
	}
	pause := cfg.EjectTime << min(over, maxDoublings)
	t.ejected = now.Add(min(pause, cfg.MaxEjectTime))
}

// maxDoublings bounds the shift of the pause.
const maxDoublings = 10

func (c *Cell) meanFor(kind string) *mean {
	m, ok := c.means[kind]
	if !ok {
		m = &mean{}
		c.means[kind] = m
	}
	return m
}

func (c *Cell) meanOf(kind string) time.Duration {
	m, ok := c.means[kind]
	if !ok {
		return 0
	}
	return m.value
}

// meanService returns the mean over the kinds of the cell.
func (c *Cell) meanService() time.Duration {
	var sum time.Duration
	n := 0
	for _, m := range c.means {
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

// slownessAt returns how many times slower than usual the target is. Calls that
// run for longer than usual are evidence before they end.
func (c *Cell) slownessAt(now time.Time, t *target) float64 {
	slow := max(1, math.Exp(t.logSlowness))
	for _, call := range t.running {
		m := c.meanOf(call.Kind)
		if m <= 0 {
			continue
		}
		age := float64(now.Sub(call.started)) / float64(m)
		slow = max(slow, slowness(age))
	}
	return slow
}

// slowness turns the age of a running call, in mean service times, into the
// slowness that it proves. Ages up to ageTolerance are common.
func slowness(age float64) float64 {
	if age <= ageTolerance {
		return 0
	}
	return age
}

// ageTolerance is the age, in mean service times, that a call often reaches on a
// target of usual speed.
const ageTolerance = 4.0

// choose returns the target for a call that starts now, or nil when it should
// wait.
func (c *Cell) choose(now time.Time, call *Call) *target {
	var best *target
	var bestSlow float64
	for _, t := range c.targets {
		if len(t.running) >= c.limit(now, t) || slices.Contains(call.Avoid, t.spec.Name) && c.others(t, now) {
			continue
		}
		slow := c.slownessAt(now, t)
		if best == nil || better(t, slow, best, bestSlow) {
			best, bestSlow = t, slow
		}
	}
	return best
}

// limit returns the number of calls that the target may hold now.
func (c *Cell) limit(now time.Time, t *target) int {
	allowed := t.allowed(now, c.cfg)
	if !t.strict && allowed == t.spec.Slots && c.queue.length() >= aheadFrom {
		return allowed + c.cfg.Ahead
	}
	return allowed
}

// aheadFrom is the number of waiting calls from which targets hold more than they
// have slots.
const aheadFrom = 4

// others reports whether a target besides t may run calls.
func (c *Cell) others(t *target, now time.Time) bool {
	for _, other := range c.targets {
		if other != t && other.allowed(now, c.cfg) > 0 {
			return true
		}
	}
	return false
}

// better prefers the target with the lower load; slowness counts as load.
func better(a *target, slowA float64, b *target, slowB float64) bool {
	loadA := float64(len(a.running)+1) / float64(a.spec.Slots) * slowA
	loadB := float64(len(b.running)+1) / float64(b.spec.Slots) * slowB
	return loadA < loadB
}
