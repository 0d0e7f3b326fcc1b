// Package gateway is the HTTP handler for clients: it finds the service and kind of a
// request, sends the request to the host that dispatches a cell, and returns the response
// or the outcome to the client.
//
// # Usage
//
//	g := gateway.New(cfg, group)
//	server := &http.Server{Handler: g}            // clients
//	peerServer := &http.Server{Handler: g.PeerHandler()}  // other balancers
package gateway

// This file defines Gateway, the HTTP handler for clients.

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
	"tamaracktiller.example/tamaracktiller/internal/traffic/relay"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
	"tamaracktiller.example/tamaracktiller/internal/traffic/station"
)

// Limits limits the size of client requests.
type Limits struct {
	// MaxBodyBytes is the largest allowed request body.
	MaxBodyBytes int64
	// BufferBytes is the largest body that is buffered before it is forwarded, so that it
	// can be sent again in a retry.
	BufferBytes int64
}

// Observer observes finished calls.
type Observer interface {
	// Finished is called once per call, before the response is sent.
	Finished(o Observation)
}

// Observation describes a finished call.
type Observation struct {
	Service string
	Partner string
	Kind    string
	Weight  int
	Outcome call.Outcome
	Status  int
	Reason  string
	Target  string
	Domain  string
	Latency time.Duration
}

// Config holds the dependencies of a gateway.
type Config struct {
	Snapshot func() *controller.Snapshot
	Station  *station.Station
	// DialPeer opens a connection to another balancer.
	DialPeer relay.DialFunc
	Limits   Limits
	Observer Observer
	Log      *logrus.Entry
	// Ledger grants or rejects the execution of requests with an idempotency key.
	Ledger Ledger
	// Jobs accepts deferrable requests to be run later.
	Jobs Jobs
	// BroadcastCrash broadcasts a target crash to the linked hosts. It may be nil.
	BroadcastCrash func(crash.Crash)
	// Offers counts the messages that offer free slots to other hosts.
	Offers prometheus.Counter
}

const (
	// maxPeerConnections limits the connections to one other balancer.
	maxPeerConnections = 512
	// peerDialTimeout limits the time to connect to another balancer.
	peerDialTimeout = 300 * time.Millisecond
	// peerMaxNonIdempotentIdle is the idle time up to which a connection to another
	// balancer is reused for a non-idempotent request.
	peerMaxNonIdempotentIdle = time.Second
	// maxAttempts limits the attempts of one call, not counting hedges.
	maxAttempts = 4
	// minRetryTime is the time before the deadline within which calls are not retried.
	minRetryTime = 2 * time.Millisecond
	// unavailableRetryAfter is the retry-after time while this host or the hosts that it
	// needs are not available.
	unavailableRetryAfter = time.Second
)

// Gateway serves clients and sends their calls to the hosts that dispatch cells. It is
// safe for concurrent use.
type Gateway struct {
	cfg Config
	g   *group.Group

	// mu guards router and peers.
	mu           sync.Mutex
	router       *route.Router
	budget       *retryBudget
	latencies    *meanLatencies
	crashTracker *crashTracker
	peers        map[netip.AddrPort]*relay.Pool
}

// New returns a gateway. Its goroutines run in g.
func New(cfg Config, g *group.Group) *Gateway {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := cfg.Snapshot().Self
	return &Gateway{
		cfg: cfg, g: g,
		router:       route.NewRouter(self.Domain, route.DefaultConfig(), rng),
		budget:       newRetryBudget(),
		latencies:    newMeanLatencies(),
		crashTracker: &crashTracker{detector: crash.NewDetector(), broadcast: cfg.BroadcastCrash},
		peers:        map[netip.AddrPort]*relay.Pool{},
	}
}

// ServeHTTP implements http.Handler for client requests.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	startTime := time.Now()
	snapshot := g.cfg.Snapshot()
	if snapshot.Draining {
		w.Header().Set("Connection", "close")
	}
	c, service, rej := g.prepare(snapshot, w, r, startTime)
	if rej != nil {
		writeRejection(w, r, rej, c)
		return
	}
	if c.MayWait && prefersAsync(r) {
		g.acceptDeferred(w, r, service, c)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	result := g.execute(ctx, snapshot, c, forwardInformational(w))
	g.observe(service, c, result, startTime)
	closeUnlessRead(w, c)
	defer abortRequestBody(w, c)
	g.writeResult(w, r, c, result)
}

// closeUnlessRead makes a response close its connection if the request body was not read to its end: the
// server does not know how much of it was read, and would take the rest for requests.
func closeUnlessRead(w http.ResponseWriter, c *call.Call) {
	if c.Stream != nil && c.Stream.Unfinished() && c.Request.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
}

// abortRequestBody stops reading a request body that the client still sends when the
// response is complete. The connection cannot be reused.
func abortRequestBody(w http.ResponseWriter, c *call.Call) {
	if c.Stream != nil && c.Stream.Unfinished() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	}
}

// observe logs a call that no target responded to, and reports every call to the observer.
func (g *Gateway) observe(service catalog.Service, c *call.Call, result *call.Result, startTime time.Time) {
	if result.Outcome != call.OutcomeRan {
		g.cfg.Log.WithFields(logrus.Fields{
			"request-id": c.ID, "service": service.Name, "outcome": result.Outcome, "target": result.Target, "detail": result.Detail,
		}).Debug(result.Reason)
	}
	if g.cfg.Observer == nil {
		return
	}
	o := Observation{
		Service: service.Name, Partner: string(service.Partner), Kind: c.Kind, Weight: c.Weight,
		Outcome: result.Outcome, Reason: result.Reason, Target: result.Target, Domain: result.Domain,
		Latency: time.Since(startTime),
	}
	if result.Response != nil {
		o.Status = result.Response.StatusCode
	}
	g.cfg.Observer.Finished(o)
}
