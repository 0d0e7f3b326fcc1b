package entry

// This file defines clientWait, which finds requests that come back.

import "time"

const (
	// minWaitVotes is the number of votes from which on the usual wait of a route is trusted, and
	// maxWaitVotes bounds them, so that another wait can replace it.
	minWaitVotes = 8
	maxWaitVotes = 64
)

// clientWait learns how long the clients of a route usually wait for a response. A client that
// tries again after a rejection states what is left of that time, so that a request with less than
// the usual wait has spent the difference. If clients state all kinds of times, none is usual.
type clientWait struct {
	usual time.Duration
	// votes are the requests that stated the usual wait, less those that stated another one.
	votes int
}

// record records the wait that a request states, and returns the time that its client has spent on
// earlier attempts; zero if that is not known.
func (c *clientWait) record(wait time.Duration) (spent time.Duration) {
	switch {
	case wait == c.usual:
		c.votes = min(c.votes+1, maxWaitVotes)
	case c.votes == 0:
		c.usual, c.votes = wait, 1
	default:
		c.votes--
	}
	if c.votes < minWaitVotes {
		return 0
	}
	return max(0, c.usual-wait)
}

// timeSpent returns the time that a client has spent on earlier attempts of a request which states
// how long it still waits; zero if that is not known.
func (h *Handler) timeSpent(route string, wait time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.waits[route]
	if c == nil {
		c = &clientWait{}
		h.waits[route] = c
	}
	return c.record(wait)
}
