package load

// This file defines readiness, which polls the readiness of the balancers. It simulates
// the platform's load balancer, which sends nothing to a balancer that is not ready and
// notices changes with the delay of its polling interval.

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// readinessInterval is the pause between two polls.
const readinessInterval = 500 * time.Millisecond

// readiness holds the last known readiness of the balancers. All count as ready at first.
type readiness struct {
	addresses []netip.AddrPort
	port      uint16
	client    *http.Client
	ready     []atomic.Bool
}

func newReadiness(addresses []netip.AddrPort, port uint16) *readiness {
	r := &readiness{addresses: addresses, port: port, client: &http.Client{Timeout: readinessInterval}, ready: make([]atomic.Bool, len(addresses))}
	for i := range r.ready {
		r.ready[i].Store(true)
	}
	return r
}

// run polls the balancers until ctx is done.
func (r *readiness) run(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range r.addresses {
			r.ready[i].Store(r.isReady(ctx, r.addresses[i]))
		}
		time.Sleep(readinessInterval)
	}
}

func (r *readiness) isReady(ctx context.Context, a netip.AddrPort) bool {
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

// order returns all balancers in cyclic order from index first, with the ready ones
// before the others.
func (r *readiness) order(first int) []netip.AddrPort {
	n := len(r.addresses)
	var ready, notReady []netip.AddrPort
	for i := range n {
		index := (first + i) % n
		if r.ready[index].Load() {
			ready = append(ready, r.addresses[index])
		} else {
			notReady = append(notReady, r.addresses[index])
		}
	}
	return append(ready, notReady...)
}
