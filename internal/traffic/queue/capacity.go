package queue

// This file defines Capacity, and how the queue treats requests while all targets have
// limited rates.

import (
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
)

const (
	// never is the wait for a start that no rate allows. It exceeds all deadlines.
	never = time.Hour
	// limitedRetryAfter is the minimum delay of a retry while targets take no requests at
	// all. An end of their limits is noticed within that time.
	limitedRetryAfter = 2 * time.Second
	// maxRetryAfter is the delay beyond which the retries of rejected requests are not
	// spread any further, since limits change.
	maxRetryAfter = 5 * time.Second
	// minReturnRate is the minimum rate of retries, per second.
	minReturnRate = 1.0
)

// Capacity is what the targets of a service can run.
type Capacity struct {
	// Slots is the number of requests that run at a time.
	Slots int
	// Limited reports whether all targets have limited rates. Flow is then what they take.
	Limited bool
	Flow    ratelimit.Flow
}

// startAfter returns the time until a request starts that has n others ahead of it.
func (c Capacity) startAfter(n int) time.Duration {
	switch n -= c.Flow.Ready; {
	case n < 0:
		return 0
	case c.Flow.PerSecond <= 0:
		return never
	default:
		return c.Flow.Next + ratelimit.Wait(float64(n), c.Flow.PerSecond)
	}
}

// beyondLimits returns the waiting requests that the rates of the targets leave no room for
// before their deadlines. The most urgent ones get the room.
func (q *Queue) beyondLimits(now time.Time, c Capacity) []*Request {
	q.dropOldStarts(now)
	var rejected []*Request
	kept, keptLate := 0, 0
	for _, r := range q.Ordered(now) {
		wait, late := c.startAfter(kept), r.late(now)
		if late {
			// Requests that arrive later but in time go first.
			wait = max(wait, q.lateWait(keptLate))
		}
		if now.Add(wait + r.TypicalTime).After(r.Deadline) {
			rejected = append(rejected, r)
			continue
		}
		kept++
		if late {
			keptLate++
		}
	}
	return rejected
}

// RetryAfter returns the time after which a rejected request may be retried while all
// targets have limited rates. Requests rejected one after the other return at the rate that
// the targets take, or minReturnRate, behind those that wait now.
func (q *Queue) RetryAfter(now time.Time, c Capacity) time.Duration {
	earliest := now.Add(max(minRetryAfter, min(limitedRetryAfter, c.startAfter(len(q.waiting)))))
	at := q.lastReturn.Add(time.Duration(float64(time.Second) / max(minReturnRate, c.Flow.PerSecond)))
	if at.Before(earliest) || at.Sub(now) > maxRetryAfter {
		at = earliest
	}
	q.lastReturn = at
	return at.Sub(now)
}
