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
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ledger"
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

// refused is a request that is answered without a try.
type refused struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// prepare turns a request into a call, or refuses it.
func (g *Gateway) prepare(s *controller.Snapshot, w http.ResponseWriter, r *http.Request, now time.Time) (*call.Call, catalog.Service, *refused) {
	c := &call.Call{ID: uuid.NewString(), Request: r}
	if !s.Ready && !s.Leaving {
		return c, catalog.Service{}, &refused{http.StatusServiceUnavailable, s.Why, notReadyRetry}
	}
	if isAmbiguous(r) {
		return c, catalog.Service{}, &refused{http.StatusBadRequest, "the length of the body is given twice", 0}
	}
	service, ok := s.ServiceOf(hostOnly(r.Host))
	if !ok {
		return c, service, &refused{http.StatusNotFound, "no service has this host name", 0}
	}
	kind, ok := service.KindOf(r.Method, r.URL.Path)
	if !ok {
		return c, service, &refused{http.StatusNotFound, "the service has no such kind of request", 0}
	}
	if r.ContentLength > g.cfg.Limits.MaxBodyBytes {
		return c, service, &refused{http.StatusRequestEntityTooLarge, "the body is too large", 0}
	}
	member := r.Header.Get(call.HeaderMember)
	idempotencyKey := r.Header.Get(headerIdempotencyKey)
	timeout := callerTimeout(r, kind.Deadline.Std())
	call.StripHopByHop(r.Header)
	call.StripInternal(r.Header)
	*c = call.Call{
		ID: c.ID, Service: service.Name, Pool: service.Pool, Kind: kind.Name, Partner: string(service.Partner),
		Member: member, Weight: kind.Weight, MayWait: kind.MayWait, Idempotent: kind.Idempotent,
		Deadline: now.Add(timeout), Request: r,
	}
	_ = http.NewResponseController(w).SetReadDeadline(c.Deadline)
	err := g.buffer(w, c)
	if err != nil {
		return c, service, &refused{http.StatusBadRequest, "the body could not be read", 0}
	}
	if !kind.Idempotent && idempotencyKey != "" {
		if c.Key, c.KeyTime, err = ledger.ParseKey(service.Name, idempotencyKey); err != nil {
			return c, service, &refused{http.StatusBadRequest, err.Error(), 0}
		}
		c.Keyed = true
	}
	return c, service, nil
}

// hostOnly returns the host of a Host header without its port.
func hostOnly(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// callerTimeout returns the deadline of the kind, or the shorter one that the
// caller asks for.
func callerTimeout(r *http.Request, kind time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(call.HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return kind
	}
	return min(kind, time.Duration(ms)*time.Millisecond)
}

// buffer reads a small body before anything is sent, so that a request whose
// caller fails half way never reaches a target.
func (g *Gateway) buffer(w http.ResponseWriter, c *call.Call) error {
	r := c.Request
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		c.IsBuffered = true
		return nil
	}
	r.Body = http.MaxBytesReader(w, r.Body, g.cfg.Limits.MaxBodyBytes)
	if r.ContentLength < 0 || r.ContentLength > g.cfg.Limits.BufferBytes {
		c.SetStream()
		return nil
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return err
	}
	c.Buffered, c.IsBuffered = body, true
	return nil
}

// carry tries the call until it has its final answer.
func (g *Gateway) carry(ctx context.Context, s *controller.Snapshot, c *call.Call, info informer) *call.Answer {
	var avoid []route.CellID
	var last *call.Answer
	for attempt := range maxAttempts {
		id, ok := g.choose(s, c.Pool, avoid)
		if !ok {
			return call.NotRun("the service has no targets", notReadyRetry)
		}
		began := time.Now()
		id, next := g.race(ctx, s, id, c, info)
		if isGood(next) {
			g.usual.add(c.Service+"/"+c.Kind, time.Since(began))
		}
		if next.Died {
			g.crashes.died(c.Fingerprint, next.Target)
		}
		if !g.again(ctx, c, next, attempt) {
			g.budget.earn()
			return keepUnknown(last, next)
		}
		discard(next)
		last = next
		if next.Target != "" {
			c.Avoid = append(c.Avoid, next.Target)
		} else {
			avoid = append(avoid, id)
		}
		s = g.cfg.Snapshot()
	}
	return last
}

// keepUnknown keeps the worse news: when an earlier try may have run, a refusal
// of the last one does not make the call not run.
func keepUnknown(earlier, last *call.Answer) *call.Answer {
	if earlier != nil && earlier.Outcome != call.OutcomeNotRun && last.Outcome == call.OutcomeNotRun {
		unknown := call.Unknown(last.Reason, earlier.Target)
		unknown.RetryAfter = last.RetryAfter
		return unknown
	}
	return last
}

func discard(a *call.Answer) {
	if a.Response != nil {
		_ = a.Response.Body.Close()
	}
}

// again reports whether the call should be tried once more. A refusal before
// running may always be tried elsewhere; anything else only when the call may be
// repeated. Both need time and budget.
func (g *Gateway) again(ctx context.Context, c *call.Call, a *call.Answer, attempt int) bool {
	if attempt+1 >= maxAttempts || ctx.Err() != nil || time.Until(c.Deadline) < minTimeLeft {
		return false
	}
	if a.Died && g.crashes.refuses(c.Fingerprint) {
		return false
	}
	switch a.Outcome {
	case call.OutcomeNotRun:
		mayMove := a.Failed || attempt == 0
		return c.CanSend() && mayMove && g.budget.spend()
	case call.OutcomeUnknown:
		return c.Repeatable() && g.budget.spend()
	default:
		return a.Failed && c.Repeatable() && g.budget.spend()
	}
}

func (g *Gateway) choose(s *controller.Snapshot, pool string, avoid []route.CellID) (route.CellID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	id, ok := g.router.Choose(now, s.Cells(pool), avoid)
	if ok {
		g.router.Sent(now, id)
	}
	return id, ok
}

// try sends the call to the dispatcher of a cell, or dispatches it here.
func (g *Gateway) try(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call, info informer) *call.Answer {
	host := s.Dispatcher(id)
	var a *call.Answer
	if host == s.Self.Name {
		a = g.dispatchHere(ctx, s, id, c)
	} else {
		a = g.dispatchAt(ctx, s, id, host, c, info)
	}
	a.Domain = id.Domain
	g.learn(id, a)
	return a
}

func (g *Gateway) dispatchHere(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call) *call.Answer {
	a := g.serveCell(ctx, s, id, c)
	now := time.Now()
	a.Reports = append(a.Reports, route.Report{Cell: id, Load: g.cfg.Station.Load(now, id), At: now})
	return a
}

// serveCell dispatches the call in a cell of this host, or passes it on to a cell
// that has a free slot. A call is passed on once.
func (g *Gateway) serveCell(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call) *call.Answer {
	if other, ok := g.freeElsewhere(s, id, c); ok {
		return g.passOn(ctx, s, other, c)
	}
	a := g.cfg.Station.Do(ctx, id, c)
	if a.MoveTo == "" {
		return a
	}
	return g.passOn(ctx, s, route.CellID{Pool: id.Pool, Domain: a.MoveTo}, c)
}

func (g *Gateway) freeElsewhere(s *controller.Snapshot, id route.CellID, c *call.Call) (route.CellID, bool) {
	now := time.Now()
	if c.Forwarded || g.cfg.Station.Load(now, id).Free > 0 {
		return route.CellID{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.FreeElsewhere(now, s.Cells(id.Pool), id)
}

func (g *Gateway) passOn(ctx context.Context, s *controller.Snapshot, id route.CellID, c *call.Call) *call.Answer {
	c.Forwarded = true
	g.mu.Lock()
	g.router.Sent(time.Now(), id)
	g.mu.Unlock()
	return g.try(ctx, s, id, c, nil)
}

func (g *Gateway) learn(id route.CellID, a *call.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.Answered(id)
	for _, r := range a.Reports {
		g.router.Report(r.At, r.Cell, r.Load)
	}
}

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
		return unreachable("host " + host + " is unknown"), false
	}
	now := time.Now()
	out := c.NewRequest(ctx)
	c.HopRequest(out, now, g.known(now, s.Cells(c.Pool)))
	out.Header.Set(headerCell, id.Domain)
	res, err := g.peer(address).RoundTrip(ctx, out, relay.Options{Idempotent: c.Idempotent, Informational: info})
	if err != nil {
		if !relay.MayHaveRun(err) {
			return unreachable(err.Error()), !c.CanSend()
		}
		return call.Unknown(err.Error(), ""), true
	}
	a, err := call.FromHopAnswer(res, c.Pool, time.Now())
	if err != nil {
		_ = res.Body.Close()
		return call.Unknown(err.Error(), ""), true
	}
	if a.Response == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxRefusalBytes))
		_ = res.Body.Close()
	}
	return a, true
}

// maxRefusalBytes bounds the body of a dispatcher's refusal.
const maxRefusalBytes = 4 << 10

func unreachable(reason string) *call.Answer {
	a := call.NotRun(reason, notReadyRetry)
	a.Failed = true
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
