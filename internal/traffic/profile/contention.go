package profile

// This file defines contention: how much longer requests take while others run at the same
// target.

import "time"

const (
	// contendedShare is the share of a target's slots from which contention is assumed
	// to slow requests down by initialSlowdown, until runs have shown otherwise.
	contendedShare  = 0.8
	initialSlowdown = 1.7
	// minThroughputGain is the factor by which a higher concurrency must increase the
	// throughput to be preferred.
	minThroughputGain = 1.05
	// minRuns is the number of runs from which a concurrency is known well enough.
	minRuns = 8
	// maxRunAge is the age of the last run at a concurrency from which a new trial is
	// needed.
	maxRunAge = 5 * time.Second
)

// level holds the average time ratio of requests that started at one concurrency.
type level struct {
	average
	last time.Time
}

// curve holds the slowdown by concurrency of targets with a given number of slots. The
// level at index i is that of i+1 concurrent requests.
type curve struct {
	levels []level
	// slowdown is the time ratio of each level relative to the first.
	slowdown []float64
}

func newCurve(slots int) *curve {
	c := &curve{levels: make([]level, slots), slowdown: make([]float64, slots)}
	for i := range c.levels {
		c.levels[i].average = newAverage(1)
		if i > 0 && float64(i+1) >= contendedShare*float64(slots) {
			c.levels[i].average = newAverage(initialSlowdown)
		}
	}
	c.updateSlowdown()
	return c
}

// updateSlowdown recomputes the slowdown of all levels.
func (c *curve) updateSlowdown() {
	alone := c.levels[0].value()
	for i := range c.levels {
		c.slowdown[i] = max(1, c.levels[i].value()/alone)
	}
}

// bestConcurrency returns the concurrency with the highest throughput, up to maxLevel. A
// higher one must be better by minThroughputGain.
func (c *curve) bestConcurrency(maxLevel int) int {
	best, bestRate := 1, 0.0
	for n := 1; n <= maxLevel; n++ {
		if rate := float64(n) / c.slowdown[n-1]; rate > minThroughputGain*bestRate {
			best, bestRate = n, rate
		}
	}
	return best
}

// contention holds the curves of targets by their number of slots.
type contention struct {
	curves map[int]*curve
}

// forSlots returns the curve of targets with a number of slots, and creates it if needed.
func (c *contention) forSlots(slots int) *curve {
	if found := c.curves[slots]; found != nil {
		return found
	}
	if c.curves == nil {
		c.curves = map[int]*curve{}
	}
	c.curves[slots] = newCurve(slots)
	return c.curves[slots]
}

func (c *contention) add(now time.Time, r Run) {
	slots := max(1, r.Slots)
	curve := c.forSlots(slots)
	l := &curve.levels[min(max(1, r.Concurrency), slots)-1]
	l.add(r.Ratio)
	l.last = now
	curve.updateSlowdown()
}

// Slowdown returns how many times longer a request takes if it is one of running
// requests at a target, relative to a request that runs alone.
func (p *Profile) Slowdown(running, slots int) float64 {
	slots = max(1, slots)
	return p.contention.forSlots(slots).slowdown[min(max(1, running), slots)-1]
}

// BestConcurrency returns the number of concurrent requests at which a target with that many
// slots has the highest throughput.
func (p *Profile) BestConcurrency(slots int) int {
	slots = max(1, slots)
	return p.contention.forSlots(slots).bestConcurrency(p.maxConcurrency(slots))
}

// maxConcurrency returns the highest concurrency that may be used. If targets do not
// report their load, a concurrency above half of the slots must have enough runs.
func (p *Profile) maxConcurrency(slots int) int {
	if p.ReportsLoad() {
		return slots
	}
	n := (slots + 1) / 2
	levels := p.contention.forSlots(slots).levels
	for n < slots && levels[n].n >= minRuns {
		n++
	}
	return n
}

// NeedsTrial reports whether a concurrency has too few or only old runs, so that its
// slowdown is not known well enough.
func (p *Profile) NeedsTrial(now time.Time, running, slots int) bool {
	if running < 1 || running > slots {
		return false
	}
	l := p.contention.forSlots(slots).levels[running-1]
	return l.n < minRuns || now.Sub(l.last) > maxRunAge
}
