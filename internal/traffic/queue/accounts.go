package queue

// This file defines how the queue orders and rejects the requests of accounts that compete.

import (
	"cmp"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/fairshare"
)

// join finds the state of the account of a request that arrives.
func (q *Queue) join(now time.Time, r *Request) {
	if q.shares == nil {
		if r.Account == "" {
			return
		}
		q.shares = fairshare.New()
		for _, other := range q.waiting {
			other.account = q.shares.Account(now, other.Account, other.Weight)
			other.account.Wait()
		}
	}
	r.account = q.shares.Account(now, r.Account, r.Weight)
}

// charge charges the account of a request that has started.
func (q *Queue) charge(now time.Time, r *Request) {
	if q.shares == nil && r.Account == "" {
		return
	}
	if r.account == nil {
		q.join(now, r)
	}
	q.shares.Start(now, r.account, r.TypicalTime)
}

// RecordEnd records what a request of an account took, as if at a target of normal speed.
func (q *Queue) RecordEnd(account string, typicalTime, took time.Duration) {
	if q.shares != nil {
		q.shares.Correct(account, typicalTime, took)
	}
}

// RecordNotRun records that a request of an account that was sent has not run.
func (q *Queue) RecordNotRun(account string, typicalTime time.Duration) {
	if q.shares != nil {
		q.shares.Refund(account, typicalTime)
	}
}

// RecordTurnedAway records that a request was rejected or given up by its client.
func (q *Queue) RecordTurnedAway(now time.Time, r *Request) {
	if r.account != nil {
		r.account.TurnAway(now)
	}
}

// competing reports whether requests of several accounts wait.
func (q *Queue) competing() bool { return q.shares != nil && q.shares.Competing() > 1 }

// sort sorts requests of known classes by the order in which they should start: by compare within an
// account, and by fair queueing among accounts.
func (q *Queue) sort(list []*Request, compare func(a, b *Request) int) {
	slices.SortFunc(list, compare)
	if !q.competing() {
		return
	}
	q.shares.Restart()
	for i, r := range list {
		r.rank, r.tag = i, q.shares.NextTag(r.account, r.TypicalTime)
	}
	q.promote(list)
	slices.SortFunc(list, func(a, b *Request) int {
		if c := a.compareFairly(b); c != 0 {
			return c
		}
		return a.rank - b.rank
	})
}

// compareFairly compares requests with known tags of different accounts.
func (r *Request) compareFairly(other *Request) int {
	if c := r.compareUrgency(other); c != 0 {
		return c
	}
	return cmp.Compare(r.tag, other.tag)
}

// promote puts the first request of each starved account into the class starved, if it is in time.
func (q *Queue) promote(list []*Request) {
	var promoted map[*fairshare.Account]bool
	for _, r := range list {
		if r.class == late || !q.shares.Starved(r.account) || promoted[r.account] {
			continue
		}
		if promoted == nil {
			promoted = map[*fairshare.Account]bool{}
		}
		promoted[r.account] = true
		r.class = starved
	}
}

// countAhead returns the number of waiting requests that should start before r, which does not wait
// yet.
func (q *Queue) countAhead(now time.Time, r *Request) int {
	q.classify(now, q.waiting)
	r.class = r.classify(now)
	if q.shares != nil && q.shares.Competing() > 0 {
		return q.countAheadFairly(r)
	}
	ahead := 0
	for _, other := range q.waiting {
		if inOrder(other, r) < 0 {
			ahead++
		}
	}
	return ahead
}

// countAheadFairly is countAhead if accounts compete. The order within other accounts is the one of
// the last call of Ordered.
func (q *Queue) countAheadFairly(r *Request) int {
	if r.class == inTime && q.shares.Dominant(r.account) {
		r.class = excess
	}
	q.shares.Restart()
	ahead, work := 0, 0.0
	for _, other := range q.waiting {
		if other.account != r.account {
			other.tag = q.shares.NextTag(other.account, other.TypicalTime)
		} else if inOrder(other, r) < 0 {
			ahead++
			work += q.shares.Work(other.TypicalTime)
		}
	}
	if ahead == 0 && r.class <= excess && q.shares.Starved(r.account) {
		return 0
	}
	r.tag = q.shares.TagAfter(r.account, work)
	for _, other := range q.waiting {
		if other.account == r.account {
			continue
		}
		if c := other.compareFairly(r); c < 0 || c == 0 && inOrder(other, r) < 0 {
			ahead++
		}
	}
	return ahead
}
