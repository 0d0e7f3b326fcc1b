package gateway

// This file defines how a call is sent to another host.

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

// dispatchRemote sends the call to the preferred host of a cell. If it cannot be reached,
// it tries the other hosts in the dispatch order of the cell.
func (g *Gateway) dispatchRemote(ctx context.Context, s *controller.Snapshot, id route.CellID, preferred string, c *call.Call, info informationalFunc) *call.Result {
	result, reached := g.sendToHost(ctx, s, id, preferred, c, info)
	if reached {
		return result
	}
	for _, host := range s.Dispatchers(id) {
		if host == preferred {
			continue
		}
		if host == s.Self.Name {
			return g.dispatchLocal(ctx, s, id, c)
		}
		if result, reached = g.sendToHost(ctx, s, id, host, c, info); reached {
			return result
		}
		if ctx.Err() != nil {
			break
		}
	}
	g.mu.Lock()
	g.router.MarkUnreachable(time.Now(), id)
	g.mu.Unlock()
	return result
}

// sendToHost sends the call to another host. It returns false if the host could not be
// reached and the call can still be sent to another one.
func (g *Gateway) sendToHost(ctx context.Context, s *controller.Snapshot, id route.CellID, host string, c *call.Call, info informationalFunc) (*call.Result, bool) {
	address, ok := s.PeerAddress(host)
	if !ok {
		return unreachable("a balancer could not be reached", errors.Errorf("host %s is unknown", host)), false
	}
	now := time.Now()
	out := c.NewRequest(ctx)
	c.SetHopHeaders(out, now, g.recentReports(now, s.Cells(c.Pool)))
	out.Header.Set(headerCell, id.Domain)
	res, err := g.peer(address).RoundTrip(ctx, out, relay.Options{Idempotent: c.Idempotent, Informational: info})
	if err != nil {
		if !relay.MayHaveRun(err) {
			return unreachable("a balancer could not be reached", err), !c.CanSend()
		}
		return unanswered(err), true
	}
	result, err := call.FromHopResponse(res, c.Pool, time.Now())
	if err != nil {
		_ = res.Body.Close()
		return unanswered(err), true
	}
	if result.Response == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxSmallBodyBytes))
		_ = res.Body.Close()
	}
	return result, true
}

// maxSmallBodyBytes limits the bodies of offers and of rejections from other balancers.
const maxSmallBodyBytes = 4 << 10

func unreachable(reason string, err error) *call.Result {
	result := call.NotRun(reason, unavailableRetryAfter)
	result.Failed, result.Detail = true, err.Error()
	return result
}

// unanswered returns the result of a call to another host that did not respond properly.
func unanswered(err error) *call.Result {
	result := call.Unknown("a balancer did not answer", "")
	result.Detail = err.Error()
	return result
}

func (g *Gateway) recentReports(now time.Time, cells []route.CellID) []route.LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.RecentReports(now, cells)
}

func (g *Gateway) peer(address netip.AddrPort) *relay.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[address]
	if !ok {
		cfg := relay.Config{MaxConnections: maxPeerConnections, Dial: g.cfg.DialPeer, DialTimeout: peerDialTimeout, IdleTimeout: time.Minute, MaxNonIdempotentIdle: peerMaxNonIdempotentIdle}
		p = relay.NewPool(address, cfg, g.g)
		g.peers[address] = p
	}
	return p
}

// CloseIdle closes idle connections to other balancers and removes connection pools without
// connections.
func (g *Gateway) CloseIdle(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, p := range g.peers {
		p.CloseIdle(now)
		if p.OpenConnections() == 0 {
			delete(g.peers, address)
		}
	}
}
