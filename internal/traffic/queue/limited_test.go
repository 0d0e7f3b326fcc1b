package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
)

func limited(ready int, next time.Duration, perSecond float64) Capacity {
	return Capacity{Limited: true, Flow: ratelimit.Flow{Ready: ready, Next: next, PerSecond: perSecond}}
}

func TestRequestIsRejectedAtOnceIfNoLimitLeavesRoomInTime(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name     string
		capacity Capacity
		deadline time.Duration
		// accepted is how many of 20 equal requests are queued.
		accepted int
	}{
		{name: "none at all", capacity: limited(0, 0, 0), deadline: time.Hour / 2},
		{name: "hardly any", capacity: limited(0, time.Second, 1e-300), deadline: time.Hour / 2, accepted: 1},
		{name: "one every 2.5 seconds", capacity: limited(0, 2500*time.Millisecond, 0.4), deadline: time.Second},
		{name: "the first in time", capacity: limited(0, 500*time.Millisecond, 0.4), deadline: time.Second, accepted: 1},
		{name: "four a second for a second", capacity: limited(0, 250*time.Millisecond, 4), deadline: time.Second, accepted: 3},
		{name: "tokens are ready", capacity: limited(2, 250*time.Millisecond, 4), deadline: time.Second, accepted: 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q, accepted := New(), 0
			for range 20 {
				r := &Request{Objective: now.Add(tt.deadline), Deadline: now.Add(tt.deadline), TypicalTime: 100 * time.Millisecond}
				retryAfter, ok := q.Add(now, r, tt.capacity)
				if ok {
					accepted++
					continue
				}
				require.Positive(t, retryAfter)
				require.LessOrEqual(t, retryAfter, maxRetryAfter)
			}
			require.Equal(t, tt.accepted, accepted)
			require.Empty(t, q.Unservable(now, tt.capacity))
		})
	}
}

func TestUrgentRequestsGetTheRoomThatLimitsLeave(t *testing.T) {
	now := time.Now()
	q, capacity := New(), limited(0, 250*time.Millisecond, 4)
	add := func(priority int) *Request {
		r := &Request{Priority: priority, Objective: now.Add(time.Second), Deadline: now.Add(time.Second), TypicalTime: 100 * time.Millisecond}
		_, ok := q.Add(now, r, capacity)
		require.True(t, ok)
		return r
	}
	low := []*Request{add(2), add(2), add(2)}
	add(0)
	add(1)
	require.Equal(t, low[1:], q.Unservable(now, capacity), "the least urgent ones that arrived last")
}

func TestRejectedRequestsReturnAtTheRateOfTheLimits(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name     string
		capacity Capacity
		perSlot  time.Duration
		first    time.Duration
	}{
		{name: "four a second", capacity: limited(0, 250*time.Millisecond, 4), perSlot: 250 * time.Millisecond, first: 250 * time.Millisecond},
		{name: "none at all", capacity: limited(0, 0, 0), perSlot: time.Second, first: limitedRetryAfter},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New()
			const rejections = 12
			delays := make([]time.Duration, 0, rejections)
			for range rejections {
				delays = append(delays, q.RetryAfter(now, tt.capacity))
			}
			require.Equal(t, tt.first, delays[0])
			require.Equal(t, tt.perSlot, delays[1]-delays[0])
			for _, d := range delays {
				require.LessOrEqual(t, d, maxRetryAfter)
			}
			require.Greater(t, q.RetryAfter(now.Add(time.Minute), tt.capacity), time.Duration(0))
		})
	}
}

func TestLateRequestsAreNotKeptBehindOnesInTime(t *testing.T) {
	now := time.Now()
	q, capacity := New(), limited(0, 50*time.Millisecond, 20)
	for range 8 {
		_, ok := q.Add(now, &Request{Objective: now.Add(100 * time.Millisecond), Deadline: now.Add(3 * time.Second), TypicalTime: 100 * time.Millisecond}, capacity)
		require.True(t, ok, "twenty a second start well before the deadline")
	}
	require.Len(t, q.Unservable(now, capacity), 5, "no late request has started lately, so one a second is assumed")
}
