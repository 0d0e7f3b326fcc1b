// Package queue orders the requests of a service that wait for a target with capacity,
// and rejects those that would not start in time.
//
// It is designed for bursts that exceed the capacity of the targets for seconds. Requests
// wait at a host and not at a target, since targets that are nearly full have a lower
// throughput, and a waiting request can still go to whichever target has capacity first.
// Requests that can still meet their objective come first, ordered by priority; then
// late ones, ordered by priority and deadline. A request that would start too late for
// its deadline is rejected when it arrives.
//
// The package does no I/O and does not read the clock. It is not safe for concurrent use.
//
// # Usage
//
//	q := queue.New()
//	if retryAfter, ok := q.Add(now, r, capacity); !ok { ... reject, retry after retryAfter ... }
//	for _, r := range q.Ordered(now) { q.Remove(r); q.RecordStart(now, r) }
//	for _, r := range q.Unservable(now, capacity) { q.Remove(r); ... reject, retry after q.RetryAfter(now, capacity) ... }
package queue

// This file defines Queue and Request.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lateFactor is the multiple of its typical service time within which a request is
	// expected to end.
	lateFactor = 1.4
	// rateWindow is the time over which the rate of starts is measured.
	rateWindow = time.Second
	// minBusyShare is the minimum share of the slots that is assumed to run requests at
	// the typical speed.
	minBusyShare = 0.25
	// retryShare is the share of the expected wait after which a rejected request may
	// be retried: by then other requests have been given up.
	retryShare = 0.7
	// minRetryAfter keeps rejected requests from being retried at once.
	minRetryAfter = 50 * time.Millisecond
)

// Request is a waiting request.
type Request struct {
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Objective is the time by which the response should arrive, and Deadline the time
	// after which it is of no use.
	Objective time.Time
	Deadline  time.Time
	// TypicalTime is the typical service time of such a request.
	TypicalTime time.Duration

	// seq is the position in the order of arrival, from 1; zero before Add.
	seq int
}

// late reports whether the request is not expected to meet its objective any more.
func (r *Request) late(now time.Time) bool {
	return now.Add(time.Duration(lateFactor * float64(r.TypicalTime))).After(r.Objective)
}

// Queue holds the waiting requests of one service.
type Queue struct {
	waiting []*Request
	// starts are the times of recent starts, and lateStarts those of requests that were
	// late when they started.
	starts     []time.Time
	lateStarts []time.Time
	lastSeq    int
	// lastReturn is the latest time at which a rejected request may be retried, while all
	// targets have limited rates.
	lastReturn time.Time
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add adds a request, unless it would start too late for its deadline. Then it returns
// the time after which the request may be retried.
func (q *Queue) Add(now time.Time, r *Request, c Capacity) (retryAfter time.Duration, ok bool) {
	wait := q.expectedWait(now, r, c)
	if now.Add(wait + r.TypicalTime).After(r.Deadline) {
		if c.Limited {
			return q.RetryAfter(now, c), false
		}
		return max(minRetryAfter, time.Duration(retryShare*float64(wait))), false
	}
	q.lastSeq++
	r.seq = q.lastSeq
	q.waiting = append(q.waiting, r)
	return 0, true
}

// expectedWait returns the time until all requests ahead of r have started. It assumes the
// recent rate of starts, but at least the rate of minBusyShare of the slots, unless all
// targets have limited rates.
func (q *Queue) expectedWait(now time.Time, r *Request, c Capacity) time.Duration {
	ahead := 0
	for _, other := range q.waiting {
		if precedes(now, other, r) {
			ahead++
		}
	}
	if c.Limited {
		return c.startAfter(ahead)
	}
	if ahead == 0 {
		return 0
	}
	q.dropOldStarts(now)
	rate := max(1, float64(len(q.starts)), minBusyShare*float64(c.Slots)*float64(rateWindow)/float64(max(r.TypicalTime, time.Millisecond)))
	return time.Duration(float64(rateWindow) * float64(ahead) / rate)
}

// Ordered returns the waiting requests in the order in which they should start.
func (q *Queue) Ordered(now time.Time) []*Request { return sorted(now, slices.Clone(q.waiting)) }

// InTime returns the waiting requests that can still meet their objectives, in the order in which
// they should start while more arrive than the targets carry: by priority, and the newest first.
// The oldest would start too late to end in time, and so would all behind them.
func (q *Queue) InTime(now time.Time) []*Request {
	list := slices.DeleteFunc(slices.Clone(q.waiting), func(r *Request) bool { return r.late(now) })
	slices.SortFunc(list, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), b.Objective.Compare(a.Objective), cmp.Compare(b.seq, a.seq))
	})
	return list
}

// sorted sorts list in place by the order of starts, and returns it.
func sorted(now time.Time, list []*Request) []*Request {
	slices.SortFunc(list, func(a, b *Request) int {
		if precedes(now, a, b) {
			return -1
		}
		return 1
	})
	return list
}

// Next returns the request that should start first; nil if none waits.
func (q *Queue) Next(now time.Time) *Request {
	if len(q.waiting) == 0 {
		return nil
	}
	first := q.waiting[0]
	for _, other := range q.waiting[1:] {
		if precedes(now, other, first) {
			first = other
		}
	}
	return first
}

// precedes reports whether a should start before b.
func precedes(now time.Time, a, b *Request) bool {
	lateA, lateB := a.late(now), b.late(now)
	switch {
	case lateA != lateB:
		return lateB
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case lateA && !a.Deadline.Equal(b.Deadline):
		return a.Deadline.Before(b.Deadline)
	case !a.Objective.Equal(b.Objective):
		return a.Objective.Before(b.Objective)
	}
	return b.seq == 0 || a.seq < b.seq
}

// Remove removes a request, and reports whether it was in the queue.
func (q *Queue) Remove(r *Request) bool {
	i := slices.Index(q.waiting, r)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// RecordStart records that a request was sent, whether it waited or not.
func (q *Queue) RecordStart(now time.Time, r *Request) {
	q.dropOldStarts(now)
	q.starts = append(q.starts, now)
	if r.late(now) {
		q.lateStarts = append(q.lateStarts, now)
	}
}

// Unservable returns the late requests that will not start in time for their deadlines,
// given the rate at which late requests started recently. If all targets have limited
// rates, it returns all requests that the rates leave no room for in time. It leaves the
// requests in the queue.
func (q *Queue) Unservable(now time.Time, c Capacity) []*Request {
	if c.Limited {
		return q.beyondLimits(now, c)
	}
	q.dropOldStarts(now)
	var late []*Request
	for _, r := range q.waiting {
		if r.late(now) {
			late = append(late, r)
		}
	}
	var unservable []*Request
	kept := 0
	for _, r := range sorted(now, late) {
		if now.Add(q.lateWait(kept) + r.TypicalTime).After(r.Deadline) {
			unservable = append(unservable, r)
			continue
		}
		kept++
	}
	return unservable
}

// lateWait returns the time until a late request starts that has n other late ones ahead of
// it, at the recent rate.
func (q *Queue) lateWait(n int) time.Duration {
	return rateWindow * time.Duration(n) / time.Duration(max(1, len(q.lateStarts)))
}

func (q *Queue) dropOldStarts(now time.Time) {
	q.starts = dropOld(now, q.starts)
	q.lateStarts = dropOld(now, q.lateStarts)
}

// dropOld removes the times before the rate window. The times are in ascending order.
func dropOld(now time.Time, times []time.Time) []time.Time {
	old := 0
	for old < len(times) && now.Sub(times[old]) > rateWindow {
		old++
	}
	return slices.Delete(times, 0, old)
}
