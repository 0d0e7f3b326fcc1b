package placement

// This file defines when to hedge a request, that is to send it to a second target while
// the first attempt is still running.

import "time"

const (
	// overdueFactor is the multiple of its expected time after which a request counts
	// as overdue. Few requests take that long.
	overdueFactor = 1.5
	// minCheckFactor is the multiple of its expected time before which a request is not
	// hedged, however close its objective is.
	minCheckFactor = 1.2
	// hedgeFactor is the multiple of the expected time that is reserved for a hedge.
	hedgeFactor = 1.15
	// recheckFactor is the multiple of the expected service time between two checks.
	recheckFactor = 0.5
	// minCheckDelay is the minimum delay of a check.
	minCheckDelay = 10 * time.Millisecond
)

// FirstHedgeCheck returns the delay after which to consider a hedge for a request that was
// sent to c, given the time left to its objective. This is when the request is overdue,
// or earlier if a later hedge could not meet the objective.
func (c Choice) FirstHedgeCheck(left time.Duration) time.Duration {
	expected := c.ServiceTime + c.QueueTime
	scaled := func(factor float64) time.Duration { return time.Duration(factor * float64(expected)) }
	delay := scaled(overdueFactor)
	if last := left - scaled(hedgeFactor); last >= scaled(minCheckFactor) {
		delay = min(delay, last)
	}
	return max(minCheckDelay, delay)
}

// HedgeCheckInterval returns the delay between further checks.
func (c Choice) HedgeCheckInterval() time.Duration {
	return max(minCheckDelay, time.Duration(recheckFactor*float64(c.ServiceTime)))
}

// WorthHedging reports whether to hedge an overdue request at the target of other. This
// is the case if other is expected to meet the objective, or if the objective has passed
// and the request may hang.
func WorthHedging(now, objective, deadline time.Time, other Choice) bool {
	end := now.Add(other.ServiceTime + other.QueueTime)
	if !other.HasCapacity || end.After(deadline) {
		return false
	}
	return !end.After(objective) || now.After(objective)
}
