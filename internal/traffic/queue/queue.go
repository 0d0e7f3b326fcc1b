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
// If requests of several client accounts wait, those of the same priority start in the order of
// fair queueing (fairshare), and those of one account in the order above. So an account that sends
// many times its usual rate waits behind its own requests, and only they are rejected. Requests of an
// account that has got most of the service wait behind those of others that are in time.
//
// The package does no I/O and does not read the clock. It is not safe for concurrent use.
//
// # Usage
//
//	q := queue.New()
//	if retryAfter, ok := q.Add(now, r, capacity); !ok { ... reject, retry after retryAfter ... }
//	for _, r := range q.Ordered(now) { q.Remove(r); q.RecordStart(now, r) }
//	for _, r := range q.Unservable(now, capacity) { q.Remove(r); q.RecordTurnedAway(now, r); ... reject, retry after q.UnservableRetryAfter(now, r) ... }
package queue

// This file defines Queue and Request.

import (
	"cmp"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/fairshare"
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
	// unservableRetryAfter is the retry delay of a request that was queued and then rejected. The
	// overload lasts longer than that, but the client has little time left.
	unservableRetryAfter = 400 * time.Millisecond
	// returnMargin is the time that a rejected client needs to come back, beyond the retry delay.
	returnMargin = 30 * time.Millisecond
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
	// Account is the client account; empty for none. Weight is its weight against other accounts;
	// zero if it is not known.
	Account string
	Weight  float64

	// seq is the position in the order of arrival, from 1; zero before Add.
	seq int
	// account is the state of the account; nil while no request names one.
	account *fairshare.Account
	// class, tag and rank are the position in the order of starts as last computed.
	class class
	tag   float64
	rank  int
}

// class is the first criterion of the order of starts.
type class int8

const (
	// starved: the first request of an account that is served much less often than all requests.
	starved class = iota
	// inTime: the request is expected to meet its objective.
	inTime
	// excess: so is this one, but its account has got far more than others.
	excess
	// late: it is not expected to meet its objective.
	late
)

// classify returns the class of the request, apart from those of its account.
func (r *Request) classify(now time.Time) class {
	if r.late(now) {
		return late
	}
	return inTime
}

// late reports whether the request is not expected to meet its objective any more.
func (r *Request) late(now time.Time) bool {
	return now.Add(time.Duration(lateFactor * float64(r.TypicalTime))).After(r.Objective)
}

// Queue holds the waiting requests of one service.
type Queue struct {
	// waiting is in the order of the last call of Ordered; later requests are at its end.
	waiting []*Request
	// starts are the times of recent starts, and lateStarts those of requests that were
	// late when they started.
	starts     []time.Time
	lateStarts []time.Time
	lastSeq    int
	// lastReturn is the latest time at which a rejected request may be retried, while all
	// targets have limited rates.
	lastReturn time.Time
	// shares divides the capacity among accounts; nil while no request names one.
	shares *fairshare.Shares
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add adds a request, unless it would start too late for its deadline. Then it returns
// the time after which the request may be retried.
func (q *Queue) Add(now time.Time, r *Request, c Capacity) (retryAfter time.Duration, ok bool) {
	q.join(now, r)
	wait := q.expectedWait(now, r, c)
	if now.Add(wait + r.TypicalTime).After(r.Deadline) {
		q.RecordTurnedAway(now, r)
		if c.Limited {
			return q.RetryAfter(now, c), false
		}
		return max(minRetryAfter, time.Duration(retryShare*float64(wait))), false
	}
	q.lastSeq++
	r.seq = q.lastSeq
	q.waiting = append(q.waiting, r)
	if r.account != nil {
		r.account.Wait()
	}
	return 0, true
}

// expectedWait returns the time until all requests ahead of r have started. It assumes the
// recent rate of starts, but at least the rate of minBusyShare of the slots, unless all
// targets have limited rates.
func (q *Queue) expectedWait(now time.Time, r *Request, c Capacity) time.Duration {
	ahead := q.countAhead(now, r)
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
func (q *Queue) Ordered(now time.Time) []*Request {
	q.classify(now, q.waiting)
	q.sort(q.waiting, inOrder)
	return slices.Clone(q.waiting)
}

// InTime returns the waiting requests that can still meet their objectives, in the order in which
// they should start while more arrive than the targets carry: by priority, and the newest first.
// The oldest would start too late to end in time, and so would all behind them.
func (q *Queue) InTime(now time.Time) []*Request {
	list := slices.DeleteFunc(slices.Clone(q.waiting), func(r *Request) bool { return r.late(now) })
	q.classify(now, list)
	q.sort(list, newestFirst)
	return list
}

func (q *Queue) classify(now time.Time, list []*Request) {
	competing := q.competing()
	for _, r := range list {
		r.class = r.classify(now)
		if competing && r.class == inTime && q.shares.Dominant(r.account) {
			r.class = excess
		}
	}
}

// inOrder compares requests of known classes by the order in which they should start, apart from
// that of accounts.
func inOrder(a, b *Request) int {
	if c := a.compareUrgency(b); c != 0 {
		return c
	}
	if a.class == late {
		if c := a.Deadline.Compare(b.Deadline); c != 0 {
			return c
		}
	}
	if c := a.Objective.Compare(b.Objective); c != 0 {
		return c
	}
	return a.compareSeq(b)
}

// compareUrgency compares requests of known classes by what takes precedence over all else.
func (r *Request) compareUrgency(other *Request) int {
	if r.class != other.class {
		return int(r.class) - int(other.class)
	}
	return cmp.Compare(r.Priority, other.Priority)
}

// compareSeq compares requests by their arrival. One that has not been added is the last.
func (r *Request) compareSeq(other *Request) int {
	if r.seq == 0 || other.seq == 0 {
		return cmp.Compare(other.seq, r.seq)
	}
	return cmp.Compare(r.seq, other.seq)
}

// newestFirst compares requests of known classes by the order in which they should start while more
// arrive than the targets carry, apart from that of accounts.
func newestFirst(a, b *Request) int {
	if c := a.compareUrgency(b); c != 0 {
		return c
	}
	if c := b.Objective.Compare(a.Objective); c != 0 {
		return c
	}
	return cmp.Compare(b.seq, a.seq)
}

// Next returns the request that should start first; nil if none waits.
func (q *Queue) Next(now time.Time) *Request {
	switch {
	case len(q.waiting) == 0:
		return nil
	case q.competing():
		return q.Ordered(now)[0]
	}
	q.classify(now, q.waiting)
	return slices.MinFunc(q.waiting, inOrder)
}

// Remove removes a request, and reports whether it was in the queue.
func (q *Queue) Remove(r *Request) bool {
	i := slices.Index(q.waiting, r)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	if r.account != nil {
		r.account.Leave()
	}
	return true
}

// RecordStart records that a request was sent, whether it waited or not.
func (q *Queue) RecordStart(now time.Time, r *Request) {
	q.dropOldStarts(now)
	q.starts = append(q.starts, now)
	if r.late(now) {
		q.lateStarts = append(q.lateStarts, now)
	}
	q.charge(now, r)
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
	lateOnes := make([]*Request, 0, len(q.waiting))
	for _, r := range q.waiting {
		if r.late(now) {
			r.class = late
			lateOnes = append(lateOnes, r)
		}
	}
	q.sort(lateOnes, inOrder)
	var unservable []*Request
	kept := 0
	for _, r := range lateOnes {
		if now.Add(q.lateWait(kept) + r.TypicalTime).After(r.Deadline) {
			unservable = append(unservable, r)
			continue
		}
		kept++
	}
	return unservable
}

// UnservableRetryAfter returns the time after which a request that was queued and then rejected may
// be retried: early enough to be served in time. It is zero if the client has too little time left
// to come back at all.
func (q *Queue) UnservableRetryAfter(now time.Time, r *Request) time.Duration {
	latest := r.Deadline.Sub(now) - r.TypicalTime - returnMargin
	if latest < minRetryAfter {
		return 0
	}
	return min(unservableRetryAfter, latest)
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
