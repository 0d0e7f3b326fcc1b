package soak

// This file defines clients that send a further request and leave while the first one runs, and the check that the
// targets of both are told.

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	// leaveInterval is the time between two clients that leave, and leaveAfter the time for which each stays.
	leaveInterval = 250 * time.Millisecond
	leaveAfter    = 400 * time.Millisecond
	// furtherAfter is the time between their two requests: the host runs the first one when the second one arrives.
	furtherAfter = 50 * time.Millisecond
	// leftService is the service time of their first requests.
	leftService = 3 * time.Second
)

// Departure is a client that closed its connection while its requests were running or waiting.
type Departure struct {
	Host int
	At   time.Duration
	// IDs are those of its requests.
	IDs []string
}

// sendAndLeave sends two requests on each of several connections, and closes these before the first one has a
// response.
func (r *run) sendAndLeave(ctx context.Context, f Fault) {
	h := r.hosts[f.Index%len(r.hosts)]
	for end := time.Now().Add(f.Length); time.Now().Before(end) && ctx.Err() == nil; timer.Sleep(ctx, leaveInterval) {
		r.leaveOnce(ctx, h)
	}
}

func (r *run) leaveOnce(ctx context.Context, h *host) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", h.callerAddress().String())
	if err != nil {
		return
	}
	defer conn.Close()
	d := Departure{Host: h.index}
	for range 2 {
		id := fmt.Sprintf("s%d-%d", r.cfg.Seed, r.lastID.Add(1))
		d.IDs = append(d.IDs, id)
		req := platformtest.Request{ID: id, Host: routeHost, Path: "/long/read/x", TimeLeft: longTimeout, ServiceTime: leftService, Key: r.keyOf(crashAccount + 1)}
		if err := req.Write(ctx, conn, h.callerAddress()); err != nil {
			return
		}
		timer.Sleep(ctx, furtherAfter)
	}
	timer.Sleep(ctx, leaveAfter)
	_ = conn.Close()
	d.At = r.sinceStart(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Departures = append(r.history.Departures, d)
}

// checkDepartures verifies that no target works on a request later than Bounds.Departure after its client has left.
// It ignores hosts that were disturbed and targets whose links or connections were. It returns the number of requests
// that were judged.
func (c *checker) checkDepartures() (judged int) {
	for _, d := range c.h.Departures {
		limit := d.At + c.b.Departure
		if c.disturbed(d.Host, d.At-leaveAfter, limit, HostKill, HostPause, HostStop) || c.cut(d.Host, d.At-leaveAfter, limit) {
			continue
		}
		for _, id := range d.IDs {
			judged += c.checkDeparture(d, id, limit)
		}
	}
	return judged
}

// checkDeparture verifies that no target works after limit on a request of a client that has left. It returns the
// number of runs that were judged.
func (c *checker) checkDeparture(d Departure, id string, limit time.Duration) (judged int) {
	for _, e := range c.events[id] {
		if e.Kind != platformtest.Started || c.linkDisturbed(e.Target, e.At, limit) || c.broken(e.Target, e.At, limit) {
			continue
		}
		judged++
		if ended, ok := c.h.RunEnds[TargetRun{Target: e.Target, ID: id}]; !ok || ended > limit {
			c.report("targets learn that clients have left", limit, id, "%s started it at %s, the client left host %d at %s; ended at %s", e.Target, e.At, d.Host, d.At, ended)
		}
	}
	return judged
}

// TargetRun identifies the run of a request on a target.
type TargetRun struct{ Target, ID string }

// recordRunEnd records the end of a run.
func (r *run) recordRunEnd(target, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.RunEnds[TargetRun{Target: target, ID: request}] = r.sinceStart(time.Now())
}

// broken reports whether a target ended connections without responses at some time between from and to.
func (c *checker) broken(target string, from, to time.Duration) bool {
	return slices.ContainsFunc(c.h.Breaks, func(s LinkSpan) bool { return s.Target == target && s.From <= to && s.To >= from })
}
