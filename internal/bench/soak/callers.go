package soak

// This file defines the callers, and the probes of the configuration.

import (
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
	hostName = "soak.example"
	// unsafeBody is the body of every unsafe request.
	unsafeBody = "two nights"
	// deadline is the time that callers say they wait, and patience the time after
	// which they give up on a host that holds them.
	deadline = 1500 * time.Millisecond
	patience = 6 * time.Second
	// thinkTime bounds the pause of a caller between two requests, stay the time for
	// which it keeps to one host and its open connections.
	thinkTime = 60 * time.Millisecond
	stay      = 2 * time.Second
	// probeEvery is the time between two probes of a host.
	probeEvery = 150 * time.Millisecond
)

// caller sends requests one after the other, for some time to the same host, also when
// that stops being ready.
func (r *run) caller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(n)))
	for ctx.Err() == nil {
		h := r.pick(rng)
		if h == nil {
			timer.Sleep(ctx, thinkTime)
			continue
		}
		client := newClient()
		for end := time.Now().Add(upTo(rng, stay)); time.Now().Before(end) && ctx.Err() == nil; {
			path, unsafe := "/read/x", rng.IntN(2) == 0
			if unsafe {
				path = "/book/x"
			}
			if r.send(ctx, client, h, path, unsafe, 0).Status == 0 {
				break
			}
			timer.Sleep(ctx, upTo(rng, thinkTime))
		}
		client.CloseIdleConnections()
	}
}

// newClient returns a client that does not repeat requests by itself and keeps its
// connection.
func newClient() *http.Client {
	dialer := net.Dialer{Timeout: time.Second}
	return &http.Client{Timeout: patience, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

// pick returns a host that takes clients.
func (r *run) pick(rng *rand.Rand) *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.inRotation) == 0 {
		return nil
	}
	return r.inRotation[rng.IntN(len(r.inRotation))]
}

// probe asks a host for routes that were added and removed a short time ago.
func (r *run) probe(ctx context.Context, h *host) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000+h.index)))
	client := newClient()
	for ctx.Err() == nil {
		if _, ok := h.running(); ok {
			newest := r.newestVersion()
			route := max(1, newest-rng.IntN(keptRoutes+2))
			r.send(ctx, client, h, fmt.Sprintf("/r%d/x", route), false, route)
		}
		timer.Sleep(ctx, probeEvery)
	}
}

// send sends a request and notes what became of it.
func (r *run) send(ctx context.Context, client *http.Client, h *host, path string, unsafe bool, route int) Attempt {
	a := Attempt{ID: fmt.Sprintf("s%d-%d", r.cfg.Seed, r.lastID.Add(1)), Host: h.index, Unsafe: unsafe, Route: route}
	a.Incarnation, _ = h.running()
	a.Began = r.since(time.Now())
	request := platformtest.Request{ID: a.ID, Host: hostName, Path: path, TimeLeft: deadline}
	if unsafe {
		request.Body = unsafeBody
	}
	answer, err := request.Send(ctx, client, h.callers())
	a.Status, a.Signed, a.Body, a.Ended = answer.Status, answer.Signed, answer.Body, r.since(time.Now())
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
