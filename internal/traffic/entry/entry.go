// Package entry serves client requests on an entry host: it finds the route, gets a target
// assigned by current load, sends the request and returns the complete response, or
// reports whether the request may have run.
//
// A request that is not idempotent is sent a second time only when it is certain that no
// target has run it. An idempotent request is retried after a failure and hedged when an
// attempt has become slow, within the retry budget of the fleet.
//
// # Usage
//
//	h := entry.New(cfg, group)
//	server := &http.Server{Handler: h}
package entry

// This file defines Handler and its dependencies.

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/internal/traffic/budget"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
	"tamaracktiller.example/tamaracktiller/internal/traffic/targets"
)

// Dialect reads and writes the protocol headers of clients and targets.
type Dialect interface {
	targets.Reader
	// RequestID returns the id that the client gave its request.
	RequestID(h http.Header) string
	// TimeLeft returns how long the client waits for the response.
	TimeLeft(h http.Header) (time.Duration, bool)
	// SetTarget sets the only target that may run the request, and the time left.
	SetTarget(h http.Header, target string, left time.Duration)
	// Credential returns the key of a client account; ok only for exactly one value that is not
	// empty.
	Credential(h http.Header) (key string, ok bool)
	// HasCredential reports whether there is a key of a client account, valid or not.
	HasCredential(h http.Header) bool
	// SetAccount removes the key, and sets the name of the client account; an empty name removes it.
	SetAccount(h http.Header, name string)
	// SetRejection sets the headers of a response that the load balancer generates itself.
	SetRejection(h http.Header, id string, retryAfter time.Duration)
}

// Placer assigns requests to targets.
type Placer interface {
	// Place waits until a target is assigned. The error is a *dispatcher.RejectedError or
	// that of ctx.
	Place(ctx context.Context, req dispatcher.Request) (dispatcher.Grant, error)
	// Done reports how the attempt at an assigned target ended.
	Done(g dispatcher.Grant, o dispatcher.Outcome)
}

// Config holds the dependencies of a handler.
type Config struct {
	// Domain is the failure domain of this host.
	Domain string
	// FirstStart reports whether the whole fleet starts for the first time.
	FirstStart bool
	Dialect    Dialect
	Placer     Placer
	Links      *targets.Links
	Snapshot   func() *directory.Snapshot
	// FirstReadEnded is closed when the first read of the configuration has ended or failed; nil if
	// it has before New.
	FirstReadEnded <-chan struct{}
	// Fresh reports whether the snapshot is up to date.
	Fresh func(now time.Time) bool
	// SoundAge returns the age of the snapshot by a clock that counts the time in which the machine
	// was suspended.
	SoundAge func() time.Duration
	Bounds   settings.Bounds
	Log      *logrus.Entry
	Observer Observer
	// CrashTracker detects requests that crash targets; nil to disable.
	CrashTracker *CrashTracker
	// Quotas charges requests to client accounts; nil to disable.
	Quotas Quotas
	// SocketBytes is the size of each buffer of a connection to a target; 0 if the system chooses it.
	SocketBytes int64
}

// Observer is notified of finished requests and extra attempts.
type Observer interface {
	Finished(o Observation)
	// ExtraAttempt is called for each extra attempt that the retry budget of a service
	// permits or not.
	ExtraAttempt(service string, kind ExtraAttempt, permitted bool)
}

// ExtraAttempt is the kind of an attempt beyond the first one of a request.
type ExtraAttempt string

// Kinds of extra attempts.
const (
	Retry ExtraAttempt = "retry"
	Hedge ExtraAttempt = "hedge"
)

// Observation describes a finished request.
type Observation struct {
	Service  string
	Route    string
	Outcome  Outcome
	Status   int
	Attempts int
	Latency  time.Duration
	// MetObjective is set if the response met the objective of the route.
	MetObjective bool
	// Target is the target of the last attempt; empty for none.
	Target string
	// RateLimited is set if the request was rejected because of the rate limits of targets.
	RateLimited bool
	// KeyRefusal is why a request was refused that needs the key of a client account; empty if it
	// was not.
	KeyRefusal KeyRefusal
}

// Handler serves client requests. It is safe for concurrent use.
type Handler struct {
	cfg      Config
	g        *group.Group
	started  time.Time
	shutdown *shutdown
	inFlight atomic.Int64
	// maxKeyAge is the age of the view, in nanoseconds, from which on keys are not used; 0 means no
	// limit.
	maxKeyAge atomic.Int64
	// awaitBudget is the number of requests that wait for the retry budget.
	awaitBudget atomic.Int64

	// mu guards the fields below.
	mu           sync.Mutex
	rng          *rand.Rand
	retries      *budget.Retries
	typicalTimes map[string]time.Duration
	// waits are by route.
	waits map[string]*clientWait
}

// New returns a handler. Its goroutines run in g.
func New(cfg Config, g *group.Group) *Handler {
	h := &Handler{
		cfg: cfg, g: g, started: time.Now(), shutdown: newShutdown(), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		retries:      budget.NewRetries(cfg.Bounds.RetryRatio, cfg.Bounds.RetrySlack, cfg.Bounds.RetryWindow),
		typicalTimes: map[string]time.Duration{}, waits: map[string]*clientWait{},
	}
	h.setRevocation(cfg.Bounds)
	return h
}

// SetBounds applies changed bounds of the retry budget and of the revocation of keys.
func (h *Handler) SetBounds(b settings.Bounds) {
	h.setRevocation(b)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retries.SetBounds(b.RetryRatio, b.RetrySlack)
}

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	holder := resource.FromContext(r.Context())
	holder.SetPhase(resource.Waiting)
	defer holder.SetPhase(resource.Idle)
	now := time.Now()
	req, rejection := h.prepare(w, r, now)
	defer req.endLease()
	if rejection != nil {
		h.finish(w, req, *rejection)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	defer context.AfterFunc(h.shutdown.end.Context(), cancel)()
	h.finish(w, req, req.run(ctx))
}
