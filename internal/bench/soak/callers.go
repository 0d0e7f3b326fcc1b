package soak

// This file defines the callers and the configuration probes.

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	routeHost = "soak.example"
	// unsafeBody is the body of every unsafe (non-idempotent) request.
	unsafeBody = "two nights"
	// requestTimeout is the timeout that callers announce in their requests. clientTimeout
	// is that of their HTTP client, for hosts that do not respond in time.
	requestTimeout = 1500 * time.Millisecond
	clientTimeout  = 6 * time.Second
	// thinkTime is the maximum pause of a caller between two requests. maxSession
	// is the maximum time for which it uses one host and its open connections.
	thinkTime  = 60 * time.Millisecond
	maxSession = 2 * time.Second
	// configProbeInterval is the pause between two configuration probes of a host.
	configProbeInterval = 150 * time.Millisecond
)

// runCaller sends requests one at a time until ctx is done. It uses a host for a random
// time, even if the host stops being ready, and picks another one early if a request gets no
// complete response.
func (r *run) runCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(n)))
	for ctx.Err() == nil {
		h := r.pickHost(rng)
		if h == nil {
			timer.Sleep(ctx, thinkTime)
			continue
		}
		client := newClient()
		for end := time.Now().Add(randomDuration(rng, maxSession)); time.Now().Before(end) && ctx.Err() == nil; {
			path, unsafe := "/read/x", rng.IntN(2) == 0
			if unsafe {
				path = "/book/x"
			}
			a := Attempt{Unsafe: unsafe}
			r.drawKey(rng, &a)
			if r.send(ctx, client, h, path, a).Status == 0 {
				break
			}
			timer.Sleep(ctx, randomDuration(rng, thinkTime))
		}
		client.CloseIdleConnections()
	}
}

// newClient returns a client that keeps one idle connection per host.
func newClient() *http.Client {
	dialer := net.Dialer{Timeout: time.Second}
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

// pickHost returns a random host in rotation, or nil if there is none.
func (r *run) pickHost(rng *rand.Rand) *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.inRotation) == 0 {
		return nil
	}
	return r.inRotation[rng.IntN(len(r.inRotation))]
}

// probeConfig requests recently added and removed routes from a host, to observe which
// configuration is active there.
func (r *run) probeConfig(ctx context.Context, h *host) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000+h.index)))
	client := newClient()
	for ctx.Err() == nil {
		if _, ok := h.running(); ok {
			latest := r.latestVersion()
			route := max(1, latest-rng.IntN(keptRoutes+2))
			a := Attempt{Route: route}
			r.drawKey(rng, &a)
			r.send(ctx, client, h, fmt.Sprintf("/r%d/x", route), a)
		}
		timer.Sleep(ctx, configProbeInterval)
	}
}

// send sends a request to a host and adds the attempt to the history, unless ctx is done. a holds
// what the attempt says of the request; without an incarnation it is sent to the running process,
// without a timeout it has requestTimeout, and without a key or BadKey it has the current key of an account.
func (r *run) send(ctx context.Context, client *http.Client, h *host, path string, a Attempt) Attempt {
	a.ID, a.Host = fmt.Sprintf("s%d-%d", r.cfg.Seed, r.lastID.Add(1)), h.index
	if a.Incarnation == 0 {
		a.Incarnation, _ = h.running()
	}
	if a.Key == "" && !a.BadKey {
		r.mu.Lock()
		if k := r.currentKey(int(r.lastID.Load())); k != nil {
			a.Key = k.Key
		}
		r.mu.Unlock()
	}
	a.Start = r.sinceStart(time.Now())
	req := platformtest.Request{ID: a.ID, Host: routeHost, Path: path, TimeLeft: cmp.Or(a.Timeout, requestTimeout), ServiceTime: a.ServiceTime, Key: a.Key}
	if a.Unsafe {
		req.Body = unsafeBody
	}
	if a.Key != "" {
		req.Account = claimedAccount
	}
	resp, err := req.Send(ctx, client, h.callerAddress())
	a.Status, a.Signed, a.Body, a.Leaver, a.End = resp.Status, resp.Signed, resp.Body, resp.Leaver, r.sinceStart(time.Now())
	if err != nil {
		a.Status, a.Error = 0, err.Error()
	}
	if ctx.Err() == nil {
		r.mu.Lock()
		r.history.Attempts = append(r.history.Attempts, a)
		r.mu.Unlock()
	}
	return a
}
