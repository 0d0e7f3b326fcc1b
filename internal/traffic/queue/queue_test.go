package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	urgent := &Request{Priority: 1, Objective: in(500), Deadline: in(2000), TypicalTime: 100 * time.Millisecond}
	early := &Request{Priority: 2, Objective: in(300), Deadline: in(2000), TypicalTime: 100 * time.Millisecond}
	relaxed := &Request{Priority: 2, Objective: in(900), Deadline: in(2000), TypicalTime: 100 * time.Millisecond}
	late := &Request{Priority: 0, Objective: in(100), Deadline: in(900), TypicalTime: 100 * time.Millisecond}
	later := &Request{Priority: 0, Objective: in(50), Deadline: in(1500), TypicalTime: 100 * time.Millisecond}
	q := New()
	for _, r := range []*Request{later, late, relaxed, early, urgent} {
		_, ok := q.Add(now, r, Capacity{Slots: 2})
		require.True(t, ok)
	}
	for _, want := range []*Request{urgent, early, relaxed, late, later} {
		got := q.Next(now)
		require.Same(t, want, got)
		require.True(t, q.Remove(got))
	}
	require.Nil(t, q.Next(now))
}

func TestUnservableRequestsAreRejectedOnArrival(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	add := func() (time.Duration, bool) {
		return q.Add(now, &Request{Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(time.Second), TypicalTime: 100 * time.Millisecond}, Capacity{Slots: 2})
	}
	for range 10 {
		q.RecordStart(now, &Request{Objective: now.Add(time.Second)}) // Ten starts per second.
	}
	accepted := 0
	for range 50 {
		retryAfter, ok := add()
		if ok {
			accepted++
			continue
		}
		require.Greater(t, retryAfter, 500*time.Millisecond, "a rejected request may be retried when others have been given up")
		require.Less(t, retryAfter, time.Second)
	}
	require.Equal(t, 10, accepted, "as many requests are queued as start within the deadline")
}

// Late requests do not start any more in a lasting overload. They are given up early enough
// for the client to get a response, and not at their deadlines.
func TestLateRequestsAreGivenUpWhenNoneStarts(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	for range 5 {
		_, ok := q.Add(now, &Request{Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond), TypicalTime: 100 * time.Millisecond}, Capacity{Slots: 2})
		require.True(t, ok)
	}
	require.Empty(t, q.Unservable(now.Add(100*time.Millisecond), Capacity{Slots: 2}), "the requests are not late yet")
	late := now.Add(200 * time.Millisecond)
	require.Len(t, q.Unservable(late, Capacity{Slots: 2}), 3, "at one start per second, two start within the time left")
	for range 10 {
		q.RecordStart(late, &Request{Objective: now})
	}
	require.Empty(t, q.Unservable(late, Capacity{Slots: 2}))
}
