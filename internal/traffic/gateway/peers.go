package gateway

// This file defines the way of a call to another host.

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/relay"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

// dispatchAt sends the call to the dispatcher on another host. When that host
// cannot be reached, the next one in the cell's order takes its place.
func (g *Gateway) dispatchAt(ctx context.Context, s *controller.Snapshot, id route.CellID, first string, c *call.Call, info informer) *call.Answer {
	a, reached := g.hop(ctx, s, id, first, c, info)
	if reached {
		return a
	}
	for _, host := range s.Dispatchers(id) {
		if host == first {
			continue
		}
		if host == s.Self.Name {
			return g.dispatchHere(ctx, s, id, c)
		}
		if a, reached = g.hop(ctx, s, id, host, c, info); reached {
			return a
		}
		if ctx.Err() != nil {
			break
		}
	}
	g.mu.Lock()
	g.router.Failed(time.Now(), id)
	g.mu.Unlock()
	return a
}

// hop sends the call to another host. It reports false when no byte of the call
// can have reached it.
func (g *Gateway) hop(ctx context.Context, s *controller.Snapshot, id route.CellID, host string, c *call.Call, info informer) (*call.Answer, bool) {
	address, ok := s.PeerAddress(host)
	if !ok {
		return unreachable("a balancer could not be reached", errors.Errorf("host %s is unknown", host)), false
	}
	now := time.Now()
	out := c.NewRequest(ctx)
	c.HopRequest(out, now, g.known(now, s.Cells(c.Pool)))
	out.Header.Set(headerCell, id.Domain)
	res, err := g.peer(address).RoundTrip(ctx, out, relay.Options{Idempotent: c.Idempotent, Informational: info})
	if err != nil {
		if !relay.MayHaveRun(err) {
			return unreachable("a balancer could not be reached", err), !c.CanSend()
		}
		return lost(err), true
	}
	a, err := call.FromHopAnswer(res, c.Pool, time.Now())
	if err != nil {
		_ = res.Body.Close()
		return lost(err), true
	}
	if a.Response == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxRefusalBytes))
		_ = res.Body.Close()
	}
	return a, true
}

// maxRefusalBytes bounds the body of a dispatcher's refusal.
const maxRefusalBytes = 4 << 10

func unreachable(reason string, err error) *call.Answer {
	a := call.NotRun(reason, notReadyRetry)
	a.Failed, a.Detail = true, err.Error()
	return a
}

// lost returns the answer of a call whose dispatcher did not answer.
func lost(err error) *call.Answer {
	a := call.Unknown("a balancer did not answer", "")
	a.Detail = err.Error()
	return a
}

func (g *Gateway) known(now time.Time, cells []route.CellID) []route.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.Known(now, cells)
}

func (g *Gateway) peer(address netip.AddrPort) *relay.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[address]
	if !ok {
		cfg := relay.Config{MaxConnections: maxPeerConnections, Dial: g.cfg.DialPeer, DialTimeout: peerDialTimeout, IdleTimeout: time.Minute, Fresh: peerFresh}
		p = relay.NewPool(address, cfg, g.g)
		g.peers[address] = p
	}
	return p
}

// Trim closes idle connections to other balancers and forgets those that are
// gone.
func (g *Gateway) Trim(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, p := range g.peers {
		p.Trim(now)
		if p.Open() == 0 {
			delete(g.peers, address)
		}
	}
}
