package entry

// This file defines what a planned shutdown of the host means for its requests. Those that no
// target has yet are placed again, with the time that the shutdown leaves them: the dispatcher
// rejects at once what it cannot start in time, while the client can still go to another host.
// After a while, a request gets its first target only if its deadline ends before the host does. An
// expected time is not enough: the load of targets shifts, and a request that is cut may have run.
// All requests get their final response before the process ends.

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
)

const (
	// shutdownRetrySpread is the time over which the clients that a host sends away when it shuts
	// down are spread, and shutdownRetryAfter the shortest Retry-After that they get.
	shutdownRetrySpread = 500 * time.Millisecond
	shutdownRetryAfter  = 10 * time.Millisecond
	// reasonShutdown is the reason of responses to requests that end with their host.
	reasonShutdown = "the host shuts down"
)

// shutdown is the state of a planned shutdown.
type shutdown struct {
	// begun is done once the shutdown has begun.
	begun context.Context
	begin context.CancelFunc
	// begunAt is the time at which it has begun; nil before.
	begunAt atomic.Pointer[time.Time]
	// lastStart is the time until which a request that may outlast the host can still get its first
	// target, and end the one at which the last responses are due; not set before the shutdown has
	// begun.
	lastStart, end *timer.Deadline
}

func newShutdown() *shutdown {
	s := &shutdown{lastStart: timer.NewDeadline(), end: timer.NewDeadline()}
	s.begun, s.begin = context.WithCancel(context.Background())
	return s
}

// Drain begins a planned shutdown. Every response closes its client connection from now on, and
// the last ones are sent at endsAt. A request that may outlast the host gets its first target by
// lastStart, or none. Further calls can only bring the two times forward.
func (h *Handler) Drain(lastStart, endsAt time.Time) {
	h.shutdown.lastStart.BringForward(lastStart)
	h.shutdown.end.BringForward(endsAt)
	now := time.Now()
	h.shutdown.begunAt.CompareAndSwap(nil, &now)
	h.shutdown.begin()
}

// logFields returns the fields that relate a time to the shutdown, for the log; none before the
// shutdown has begun.
func (s *shutdown) logFields(name string, at time.Time) logrus.Fields {
	begunAt := s.begunAt.Load()
	if begunAt == nil {
		return nil
	}
	endsAt, _ := s.end.At()
	return logrus.Fields{name: at.Sub(*begunAt).Milliseconds(), "stop-left-ms": time.Until(endsAt).Milliseconds()}
}

// shortens reports whether the shutdown ends before a deadline, and when; false before it has
// begun.
func (s *shutdown) shortens(deadline time.Time) (endsAt time.Time, ok bool) {
	at, ok := s.end.At()
	return at, ok && at.Before(deadline)
}

// untilBegun returns a context that ends with ctx or when a shutdown begins that ends before the
// deadline.
func (s *shutdown) untilBegun(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.begun, func() {
		if _, ok := s.shortens(deadline); ok {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// endsAt returns the time by which the final response is sent: the deadline of the request, or
// the end of the host.
func (req *clientRequest) endsAt() time.Time {
	if at, ok := req.h.shutdown.shortens(req.deadline); ok {
		return at
	}
	return req.deadline
}

// latestFirstStart returns the time until which the request can get its first target, and false if
// the host does not end before the deadline.
func (req *clientRequest) latestFirstStart() (time.Time, bool) {
	latest, ok := req.latestRetry()
	if at, set := req.h.shutdown.lastStart.At(); ok && set && at.Before(latest) {
		latest = at
	}
	return latest, ok
}

// latestRetry returns the time until which the request can be sent again and is expected to end
// before the host does, and false if the host does not end before the deadline.
func (req *clientRequest) latestRetry() (time.Time, bool) {
	endsAt, ok := req.h.shutdown.shortens(req.deadline)
	if !ok {
		return time.Time{}, false
	}
	req.h.mu.Lock()
	defer req.h.mu.Unlock()
	return endsAt.Add(-req.h.typicalTime(req)), true
}

// latestStart returns the time until which the request can be sent to a target, and false if the
// host does not end before the deadline. Once a target may have run it, another attempt can only
// make a response more likely.
func (req *clientRequest) latestStart() (time.Time, bool) {
	if req.mayHaveRun {
		return req.latestRetry()
	}
	return req.latestFirstStart()
}

// place waits for a target. A request that waits when a shutdown begins is placed again if the host
// ends before its deadline.
func (req *clientRequest) place(ctx context.Context) (dispatcher.Grant, error) {
	if _, ok := req.latestStart(); !ok {
		waitCtx, stop := req.h.shutdown.untilBegun(ctx, req.deadline)
		grant, err := req.h.cfg.Placer.Place(waitCtx, req.assignmentRequest(req.avoid, false))
		stop()
		if err == nil {
			return req.returnIfLate(grant)
		}
		if !errors.Is(err, context.Canceled) || ctx.Err() != nil {
			return grant, err
		}
	}
	return req.placeBeforeEnd(ctx)
}

// placeBeforeEnd waits for a target while the request may still be sent to one.
func (req *clientRequest) placeBeforeEnd(ctx context.Context) (dispatcher.Grant, error) {
	latest, _ := req.latestStart()
	left := time.Until(latest)
	req.h.cfg.Log.WithFields(logrus.Fields{fieldRequest: req.id, "waited-ms": time.Since(req.started).Milliseconds(), "left-ms": left.Milliseconds()}).Debug("request is placed with the time that the shutdown leaves")
	switch {
	case left <= 0:
		return dispatcher.Grant{}, &dispatcher.RejectedError{Reason: "too little time is left"}
	case req.streamed:
		// How long the rest of the body takes is up to the client, whenever a target is granted.
		return dispatcher.Grant{}, &dispatcher.RejectedError{Reason: "its body may arrive too late"}
	}
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	grant, err := req.h.cfg.Placer.Place(ctx, req.assignmentRequest(req.avoid, false))
	if err != nil {
		return grant, err
	}
	return req.returnIfLate(grant)
}

// returnIfLate returns a grant to its dispatcher if the request must not be sent any more. The end of
// the host may have come forward while it waited.
func (req *clientRequest) returnIfLate(grant dispatcher.Grant) (dispatcher.Grant, error) {
	latest, ok := req.latestStart()
	if !ok {
		return grant, nil
	}
	reason, now := "", time.Now()
	switch {
	case now.After(latest):
		reason = "the target was granted too late"
	case now.Add(grant.ServiceTime + grant.QueueTime).After(req.endsAt()):
		reason = "the granted target is too slow"
	default:
		return grant, nil
	}
	req.h.cfg.Placer.Done(grant, dispatcher.Outcome{Result: placement.Cancelled})
	return grant, &dispatcher.RejectedError{Reason: reason}
}

// rejectForShutdown returns the response to a request that has not run and cannot end before the
// host does. Its client can be served by another host at once. Those of requests that waited may be
// many, and return spread.
func (req *clientRequest) rejectForShutdown(detail string) *finalResponse {
	retryAfter := shutdownRetryAfter
	if at, ok := req.h.shutdown.lastStart.At(); !ok || req.started.Before(at) {
		retryAfter += rand.N(shutdownRetrySpread)
	}
	return reject(http.StatusServiceUnavailable, reasonShutdown+": "+detail, retryAfter)
}
