package entry

// This file defines what a planned shutdown of the host means for its requests. Those that no
// target has yet are placed again, with the time that the shutdown leaves them: the dispatcher
// rejects at once what it cannot start in time, while the client can still go to another host.
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
	// end is the time at which the last responses are due; not set before the shutdown has begun.
	end *timer.Deadline
}

func newShutdown() *shutdown {
	s := &shutdown{end: timer.NewDeadline()}
	s.begun, s.begin = context.WithCancel(context.Background())
	return s
}

// Drain begins a planned shutdown. Every response closes its client connection from now on, and
// the last ones are sent at endsAt. Further calls can only bring that forward.
func (h *Handler) Drain(endsAt time.Time) {
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

// latestStart returns the time until which the request can still be sent to a target and end
// before the host does, and false if the host does not end before the deadline.
func (req *clientRequest) latestStart() (time.Time, bool) {
	endsAt, ok := req.h.shutdown.shortens(req.deadline)
	if !ok {
		return time.Time{}, false
	}
	req.h.mu.Lock()
	defer req.h.mu.Unlock()
	return endsAt.Add(-req.h.typicalTime(req)), true
}

// place waits for a target. A request that waits when a shutdown begins is placed again if the host
// ends before its deadline.
func (req *clientRequest) place(ctx context.Context) (dispatcher.Grant, error) {
	if _, ok := req.latestStart(); !ok {
		waitCtx, stop := req.h.shutdown.untilBegun(ctx, req.deadline)
		grant, err := req.h.cfg.Placer.Place(waitCtx, req.assignmentRequest(req.avoid, false))
		stop()
		if err == nil || !errors.Is(err, context.Canceled) || ctx.Err() != nil {
			return grant, err
		}
	}
	return req.placeBeforeEnd(ctx)
}

// placeBeforeEnd waits for a target where the request is expected to end before the host does.
func (req *clientRequest) placeBeforeEnd(ctx context.Context) (dispatcher.Grant, error) {
	latest, _ := req.latestStart()
	left := time.Until(latest)
	req.h.cfg.Log.WithFields(logrus.Fields{fieldRequest: req.id, "waited-ms": time.Since(req.started).Milliseconds(), "left-ms": left.Milliseconds()}).Debug("request is placed with the time that the shutdown leaves")
	if left <= 0 {
		return dispatcher.Grant{}, &dispatcher.RejectedError{Reason: "too little time is left"}
	}
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	grant, err := req.h.cfg.Placer.Place(ctx, req.assignmentRequest(req.avoid, false))
	if err != nil {
		return grant, err
	}
	if expected := time.Now().Add(grant.ServiceTime + grant.QueueTime); expected.After(req.endsAt()) {
		req.h.cfg.Placer.Done(grant, dispatcher.Outcome{Result: placement.Cancelled})
		return grant, &dispatcher.RejectedError{Reason: "the granted target is too slow"}
	}
	return grant, nil
}

// rejectForShutdown returns the response to a request that has not run and cannot end before the
// host does. Its client can be served by another host at once.
func (req *clientRequest) rejectForShutdown(detail string) *finalResponse {
	return reject(http.StatusServiceUnavailable, reasonShutdown+": "+detail, shutdownRetryAfter+rand.N(shutdownRetrySpread))
}
