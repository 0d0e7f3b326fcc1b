package load

// This file defines readiness, by which the load tool stands in for the
// platform's balancer: it asks each balancer and sends nothing to one that is not
// ready, with the lag of its period.

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// readyPeriod is the time between two questions, which is the lag.
const readyPeriod = 500 * time.Millisecond

type readiness struct {
	addresses []netip.AddrPort
	port      uint16
	client    *http.Client
	ready     []atomic.Bool
}

func newReadiness(addresses []netip.AddrPort, port uint16) *readiness {
	r := &readiness{addresses: addresses, port: port, client: &http.Client{Timeout: readyPeriod}, ready: make([]atomic.Bool, len(addresses))}
	for i := range r.ready {
		r.ready[i].Store(true)
	}
	return r
}

// run asks until ctx ends.
func (r *readiness) run(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range r.addresses {
			r.ready[i].Store(r.ask(ctx, r.addresses[i]))
		}
		time.Sleep(readyPeriod)
	}
}

func (r *readiness) ask(ctx context.Context, a netip.AddrPort) bool {
	url := "http://" + netip.AddrPortFrom(a.Addr(), r.port).String() + "/readyz"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := r.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// order returns the balancers from the first one on, those that are ready first.
func (r *readiness) order(first int) []netip.AddrPort {
	n := len(r.addresses)
	var ready, rest []netip.AddrPort
	for i := range n {
		at := (first + i) % n
		if r.ready[at].Load() {
			ready = append(ready, r.addresses[at])
		} else {
			rest = append(rest, r.addresses[at])
		}
	}
	return append(ready, rest...)
}
