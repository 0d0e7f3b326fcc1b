package queue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plainPrecedes is the order from before accounts.
func plainPrecedes(now time.Time, a, b *Request) bool {
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

func plainSort(now time.Time, list []*Request) []*Request {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b *Request) int {
		if plainPrecedes(now, a, b) {
			return -1
		}
		return 1
	})
	return out
}

func randomRequest(rng *rand.Rand, now time.Time) *Request {
	in := func(ms int) time.Time { return now.Add(time.Duration(rng.IntN(ms)) * time.Millisecond) }
	return &Request{Priority: rng.IntN(3), Objective: in(800), Deadline: in(3000).Add(time.Second), TypicalTime: time.Duration(50+rng.IntN(200)) * time.Millisecond}
}

// Guards against another order, and other rejections, where no accounts compete.
func TestOrderIsPlainUnlessAccountsCompete(t *testing.T) {
	for _, account := range []string{"", "acme"} {
		t.Run("account "+account, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			now, q := time.Unix(1000, 0), New()
			var waiting []*Request
			rejected := 0
			for range 3000 {
				now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
				r := randomRequest(rng, now)
				r.Account = account
				ahead := 0
				for _, other := range waiting {
					if plainPrecedes(now, other, r) {
						ahead++
					}
				}
				q.join(now, r)
				require.Equal(t, ahead, q.countAhead(now, r))
				if _, ok := q.Add(now, r, Capacity{Slots: 2}); ok {
					waiting = append(waiting, r)
				} else {
					rejected++
				}
				ordered := plainSort(now, waiting)
				require.Equal(t, ordered, q.Ordered(now))
				if len(ordered) > 0 {
					require.Same(t, ordered[0], q.Next(now))
				}
				if rng.IntN(4) > 0 && len(ordered) > 0 {
					q.RecordStart(now, ordered[0])
					q.Remove(ordered[0])
				}
				for _, r := range q.Unservable(now, Capacity{Slots: 2}) {
					q.RecordTurnedAway(now, r)
					q.Remove(r)
					rejected++
				}
				waiting = slices.DeleteFunc(waiting, func(r *Request) bool { return !slices.Contains(q.waiting, r) })
			}
			require.Positive(t, rejected)
		})
	}
}

// Guards against the backlog of one account in front of the requests of others, and against
// rejections of others for it.
func TestBacklogOfAnAccountIsNotAheadOfOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	add := func(account string, priority int, objective time.Duration) (*Request, bool) {
		r := &Request{Account: account, Priority: priority, Objective: now.Add(objective), Deadline: now.Add(objective + time.Second), TypicalTime: 100 * time.Millisecond}
		_, ok := q.Add(now, r, Capacity{Slots: 2})
		return r, ok
	}
	for range 10 {
		q.RecordStart(now, &Request{Objective: now.Add(time.Second)}) // Ten starts per second.
	}
	accepted := 0
	for range 100 {
		if _, ok := add("hot", 0, time.Second); ok {
			accepted++
		}
	}
	require.Equal(t, 20, accepted, "its own backlog counts for an account")
	first, ok := add("calm", 0, 1100*time.Millisecond)
	require.True(t, ok)
	second, ok := add("calm", 0, 1200*time.Millisecond)
	require.True(t, ok)
	urgent, ok := add("other", 0, 400*time.Millisecond)
	require.True(t, ok)
	less, ok := add("other", 1, 500*time.Millisecond)
	require.False(t, ok, "a lower priority waits for the whole backlog")
	require.Zero(t, slices.Index(q.Ordered(now), less)+1)
	order := q.Ordered(now)
	require.Less(t, slices.Index(order, first), 3)
	require.Less(t, slices.Index(order, second), 6)
	require.Less(t, slices.Index(order, urgent), 3)
	require.Less(t, slices.Index(order, first), slices.Index(order, second))
	list := q.InTime(now)
	require.Less(t, slices.Index(list, second), 3, "the newest of an account comes first in an overload")
	require.Less(t, slices.Index(list, first), 6)
}

// Guards against a Retry-After with which a client that waited comes back too late.
func TestRetryAfterOfUnservableRequestsSuitsTheTimeLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		left, want time.Duration
	}{
		{left: 2 * time.Second, want: unservableRetryAfter},
		{left: 400 * time.Millisecond, want: 270 * time.Millisecond},
		{left: 150 * time.Millisecond},
	}
	for _, tt := range tests {
		r := &Request{Deadline: now.Add(tt.left), TypicalTime: 100 * time.Millisecond}
		require.Equal(t, tt.want, New().UnservableRetryAfter(now, r))
	}
}

// BenchmarkDispatch measures what the dispatcher does for a request that arrives while others wait.
func BenchmarkDispatch(b *testing.B) {
	for _, accounts := range []int{0, 88} {
		for _, n := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("%d waiting, %d accounts", n, accounts), func(b *testing.B) {
				rng := rand.New(rand.NewPCG(1, 2))
				now, q := time.Unix(1000, 0), New()
				for range 1000 {
					q.RecordStart(now, &Request{Objective: now.Add(time.Second)})
				}
				next := func() *Request {
					r := randomRequest(rng, now)
					r.Deadline = now.Add(time.Hour)
					if accounts > 0 {
						r.Account = fmt.Sprintf("a-%d", rng.IntN(accounts))
					}
					return r
				}
				for range n {
					_, _ = q.Add(now, next(), Capacity{Slots: 100})
				}
				r := next()
				b.ReportAllocs()
				for b.Loop() {
					_, _ = q.Add(now, r, Capacity{Slots: 100})
					_ = q.InTime(now)
					_ = q.Ordered(now)
					_ = q.Unservable(now, Capacity{Slots: 100})
					q.Remove(r)
				}
			})
		}
	}
}
