// Package gateway serves callers: it finds the service and the kind of a request,
// sends it to the dispatcher of a cell and tells the caller what became of it.
//
// # Usage
//
//	g := gateway.New(cfg, group)
//	server := &http.Server{Handler: g}            // callers
//	peerServer := &http.Server{Handler: g.Hop()}  // other balancers
package gateway

// This file defines Gateway, the handler of callers.

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

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// BufferBytes is the largest body that is read before it is sent on, so that
	// it can be sent again.
	BufferBytes int64
}

// Observer is told of each finished call.
type Observer interface {
	// Finished is called once per call, before the body of the answer is sent.
	Finished(o Observation)
}

// Observation is a finished call.
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
	DialPeer relay.Dial
	Limits   Limits
	Observer Observer
	Log      *logrus.Entry
	// Ledger decides on keyed requests.
	Ledger Ledger
	// Jobs keeps work that may wait.
	Jobs Jobs
	// SpreadDeath tells the linked hosts of a death. It may be nil.
	SpreadDeath func(crash.Death)
	// Offers counts the messages spent on telling of free slots.
	Offers prometheus.Counter
}

const (
	// maxPeerConnections bounds the connections to one other balancer.
	maxPeerConnections = 512
	// peerDialTimeout bounds the opening of one.
	peerDialTimeout = 300 * time.Millisecond
	// peerFresh is the age of the last answer up to which a connection to
	// another balancer may carry a request that must not be repeated.
	peerFresh = time.Second
	// maxAttempts bounds the tries of one call.
	maxAttempts = 4
	// minTimeLeft is the time below which no further try is made.
	minTimeLeft = 2 * time.Millisecond
	// notReadyRetry is what callers are told while the host may not serve.
	notReadyRetry = time.Second
)

// Gateway serves callers and passes calls to dispatchers. It is safe for
// concurrent use.
type Gateway struct {
	cfg Config
	g   *group.Group

	mu      sync.Mutex
	router  *route.Router
	budget  *retryBudget
	usual   *usualTimes
	crashes *crashes
	peers   map[netip.AddrPort]*relay.Pool
}

// New returns a gateway. Its goroutines run in g.
func New(cfg Config, g *group.Group) *Gateway {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := cfg.Snapshot().Self
	return &Gateway{
		cfg: cfg, g: g,
		router:  route.NewRouter(self.Domain, route.DefaultConfig(), rng),
		budget:  newRetryBudget(),
		usual:   newUsualTimes(),
		crashes: &crashes{guard: crash.NewGuard(), spread: cfg.SpreadDeath},
		peers:   map[netip.AddrPort]*relay.Pool{},
	}
}

// ServeHTTP implements http.Handler for callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	snapshot := g.cfg.Snapshot()
	if snapshot.Leaving {
		w.Header().Set("Connection", "close")
	}
	c, service, refusal := g.prepare(snapshot, w, r, began)
	if refusal != nil {
		writeRefusal(w, r, refusal, c)
		return
	}
	if c.MayWait && wantsLater(r) {
		g.acceptLater(w, r, service, c)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	answer := g.decide(ctx, snapshot, c, informational(w))
	g.observe(service, c, answer, began)
	defer abandonBody(w, c)
	g.reply(w, r, c, answer)
}

// abandonBody stops a body that is still being sent when the answer is complete.
// Its connection cannot be used again.
func abandonBody(w http.ResponseWriter, c *call.Call) {
	if c.Stream != nil && c.Stream.Unfinished() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	}
}

func (g *Gateway) observe(service catalog.Service, c *call.Call, a *call.Answer, began time.Time) {
	if a.Outcome != call.Ran {
		g.cfg.Log.WithFields(logrus.Fields{
			"request-id": c.ID, "service": service.Name, "outcome": a.Outcome, "target": a.Target, "detail": a.Detail,
		}).Debug(a.Reason)
	}
	if g.cfg.Observer == nil {
		return
	}
	o := Observation{
		Service: service.Name, Partner: string(service.Partner), Kind: c.Kind, Weight: c.Weight,
		Outcome: a.Outcome, Reason: a.Reason, Target: a.Target, Domain: a.Domain,
		Latency: time.Since(began),
	}
	if a.Response != nil {
		o.Status = a.Response.StatusCode
	}
	g.cfg.Observer.Finished(o)
}
