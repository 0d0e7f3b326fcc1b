package resource

// This file defines which connections are ended when the budget is short.

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection does. It decides whether its client is the reason why it holds bytes.
type Phase int32

// The phases of a connection.
const (
	// Idle: no request is handled. The client may be sending a header.
	Idle Phase = iota
	// Body: a body is read that has been sent to no target.
	Body
	// Upload: the host waits for the next bytes of a body that it sends to a target at the same time.
	Upload
	// Waiting: the host or a target works on a request.
	Waiting
	// Response: the host waits for the client to take the next piece of a response.
	Response
)

func (p Phase) String() string {
	return [...]string{"idle", "body", "upload", "waiting", "response"}[p]
}

const (
	// minStall is the time in a phase from which on a connection may be ended. Clients that arrive
	// together would otherwise end each other, so that none is served.
	minStall = 250 * time.Millisecond
	// freeQueue is the part of the bytes in the buffers of a socket that is not held against its client:
	// small pipelined requests and responses on their way.
	freeQueue = 16 << 10
	// maxTargetStall is the time in the phases Upload and Response from which on a connection is ended once
	// pressedDivisor of the budget is in use, or there are more than maxStalled of them: it may hold a
	// connection and a slot of a target. Without that, some 30 clients that read 4 MB at 5 kB/s kept others
	// waiting for targets until their deadline.
	maxTargetStall = 3 * time.Second
	pressedDivisor = 2
	maxStalled     = 8
)

// candidate is a connection that may be ended.
type candidate struct {
	holder *Holder
	// bytes is what its end frees, and cost what its client makes the host hold, in byte seconds.
	bytes int64
	cost  float64
}

// newCandidate returns the candidate for a connection that has been in a phase for some time. It returns
// false for one that must not be ended: its client is not the reason, or the phase has just begun.
func newCandidate(h *Holder, phase Phase, held, queued int64, since time.Duration) (candidate, bool) {
	charged := max(0, queued-freeQueue)
	if phase != Waiting {
		charged += max(0, held-ConnectionBytes)
	}
	if charged == 0 || since < minStall {
		return candidate{}, false
	}
	return candidate{holder: h, bytes: held + queued, cost: float64(charged) * since.Seconds()}, true
}

// holdsTarget reports whether a connection may hold a target while its client does nothing.
func holdsTarget(phase Phase, since time.Duration) bool {
	return (phase == Upload || phase == Response) && since >= maxTargetStall
}

// choose returns the candidates that are ended to free a number of bytes, the most expensive first.
func choose(list []candidate, need int64) []candidate {
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.cost, a.cost) })
	for i, c := range list {
		if need <= 0 {
			return list[:i]
		}
		need -= c.bytes
	}
	return list
}
