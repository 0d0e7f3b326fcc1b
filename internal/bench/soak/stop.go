package soak

// This file defines planned stops, the callers that send requests late in one, and the check of
// what these get.

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	// longTimeout is the timeout of the routes that late callers use beside the usual ones.
	longTimeout = 10 * time.Second
	// lateCallers is the number of late callers of a stop. They open their connections from
	// holdTime before the SIGTERM on, until openTime after it at most.
	lateCallers = 8
	holdTime    = 500 * time.Millisecond
	openTime    = 3300 * time.Millisecond
	// maxLateService bounds the service time of their requests, which hosts don't expect.
	maxLateService = 4 * time.Second
	// unprolonged is the time at the end of a run in which stops begin without late callers, so
	// that all hosts are up again when the fleet must have recovered.
	unprolonged = recoveryTime + 5*time.Second
)

// stopHost stops a host as planned and starts it again.
func (r *run) stopHost(ctx context.Context, h *host, f Fault) {
	g := group.New(ctx)
	sigterm := time.Now()
	if f.At < r.cfg.Length-unprolonged {
		sigterm = sigterm.Add(holdTime)
		for n := range lateCallers {
			rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(f.At)+uint64(n)))
			g.Go("late caller", func(ctx context.Context) error {
				r.runLateCaller(ctx, h, sigterm, rng, n == 0 && rng.IntN(2) == 0)
				return nil
			})
		}
		timer.Sleep(ctx, holdTime)
	}
	start := r.sinceStart(time.Now())
	if incarnation, ok := h.running(); ok {
		r.mu.Lock()
		if p := (process{h.index, incarnation}); r.history.Stops[p] == 0 {
			r.history.Stops[p] = start
		}
		r.mu.Unlock()
	}
	h.terminate(syscall.SIGTERM)
	r.restart(ctx, h)
	r.recordSpan(HostStop, h.index, start)
	_ = g.Wait()
}

// runLateCaller opens a connection to the process of a host and sends a request on it at a random
// time in the grace period, mostly as the first one, whose first byte may be sent at once. If outlasts is
// set, it sends the request early, which takes longer than the grace period.
func (r *run) runLateCaller(ctx context.Context, h *host, sigterm time.Time, rng *rand.Rand, outlasts bool) {
	opened := sigterm.Add(-randomDuration(rng, holdTime))
	if rng.IntN(2) == 0 {
		opened = opened.Add(randomDuration(rng, openTime))
	}
	sent := opened.Add(randomDuration(rng, sigterm.Add(gracePeriod).Sub(opened)))
	path, method, a := "/read/x", http.MethodGet, Attempt{Late: true, Unsafe: rng.IntN(2) == 0}
	if a.Unsafe {
		path, method = "/book/x", http.MethodPost
	}
	serviceTime := typicalServiceTime + randomDuration(rng, time.Millisecond+randomDuration(rng, maxLateService))
	if outlasts {
		opened, sent, serviceTime = sigterm, sigterm.Add(randomDuration(rng, r.bounds.StopNotice)), gracePeriod
	}
	if outlasts || rng.IntN(2) == 0 {
		path, a.Timeout = "/long"+path, longTimeout
	}
	// Once a host is stopped, its responses close their connections.
	used := opened.Before(sigterm) && rng.IntN(3) == 0
	begun := !used && rng.IntN(2) == 0
	timer.Sleep(ctx, time.Until(opened))
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", h.callerAddress().String())
	if err == nil {
		defer conn.Close()
	}
	a.Incarnation, _ = h.running()
	if begun && err == nil {
		_, err = conn.Write([]byte(method[:1]))
		conn = &begunConn{Conn: conn}
	}
	// A failed dial is the error of the request.
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, err }}}
	if used {
		r.send(ctx, client, h, path, a)
	}
	timer.Sleep(ctx, time.Until(sent))
	a.ServiceTime = serviceTime
	r.send(ctx, client, h, path, a)
}

// begunConn is a connection on which the first byte of a request was sent early. Hosts may close one
// without that before the request arrives.
type begunConn struct {
	net.Conn
	begun bool
}

// Write implements net.Conn.
func (c *begunConn) Write(p []byte) (int, error) {
	if c.begun || len(p) == 0 {
		return c.Conn.Write(p)
	}
	c.begun = true
	n, err := c.Conn.Write(p[1:])
	return n + 1, err
}

// checkStops verifies that a process which is stopped as planned passes on the complete response
// of a target that has started a request, unless the timeout of the request is reached. The
// end of the grace period excuses it only for requests sent within Bounds.StopNotice of the SIGTERM.
// checkDropped judges requests without a response, and checkRuns those that have not run. It
// returns the number of judged requests that were sent later than that and got a response.
func (c *checker) checkStops() (judged int) {
	for _, a := range c.h.Attempts {
		at, ok := c.h.Stops[process{a.Host, a.Incarnation}]
		runs := c.runs(a)
		if !ok || a.End < at || c.disruptedStop(a, runs) {
			continue
		}
		late := a.Start > at+c.b.StopNotice
		if late && a.Status != 0 {
			judged++
		}
		timedOut := a.Status == http.StatusGatewayTimeout && a.End-a.Start >= c.timeout(a)-c.b.TimeoutMargin
		outlasts := !late && a.End >= at+c.b.Grace*5/6
		noResponse := a.Status == 0 && !a.Signed
		complete := a.Status != 0 && a.Signed
		if len(runs) > 0 && !complete && !noResponse && !timedOut && !outlasts && !slices.Contains(notRunStatuses, a.Status) {
			c.report("response of the target around a planned stop", a.End, a.ID, "status %d after %s, sent %s after the SIGTERM; started at %s on %s", a.Status, a.End-a.Start, a.Start-at, runs[0].At, runs[0].Target)
		}
	}
	return judged
}

// disruptedStop reports whether anything but planned work disturbed a request from
// Bounds.StableWindow before it, or a target on which it ran ended connections.
func (c *checker) disruptedStop(a Attempt, runs []TargetEvent) bool {
	from := a.Start - c.b.StableWindow
	unplanned := slices.ContainsFunc(c.h.Disturbances, func(s Span) bool {
		return (s.Host == a.Host || s.Host == allHosts) && s.From <= a.End && s.To >= from && s.Kind != HostStop && s.Kind != HostReload
	})
	return unplanned || c.cut(a.Host, from, a.End) || slices.ContainsFunc(runs, func(e TargetEvent) bool {
		return c.linkDisturbed(e.Target, from, a.End) || slices.ContainsFunc(c.h.Breaks, func(s LinkSpan) bool {
			return s.Target == e.Target && s.From <= a.End && s.To >= e.At
		})
	})
}

// recordBreak records a period, until now, in which a target ended connections without responses.
func (r *run) recordBreak(t *platformtest.Target, from time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Breaks = append(r.history.Breaks, LinkSpan{Target: t.ID, From: from, To: r.sinceStart(time.Now())})
}
