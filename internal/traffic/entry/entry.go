// Package entry serves client requests on an entry host: it finds the route,
// chooses a target by fresh load, sends the request and returns the whole answer,
// or says truthfully that the request has not run.
//
// A request that must not be repeated is sent a second time only when it is
// certain that no target has run it. One that may be repeated is sent again after
// a failure, and beside a send that has become slow, within the fleet's budget.
//
// # Usage
//
//	h := entry.New(cfg, group)
//	server := &http.Server{Handler: h}
package entry

// This file defines Handler and what it depends on.

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/internal/traffic/budget"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
	"tamaracktiller.example/tamaracktiller/internal/traffic/targets"
)

// Dialect reads and writes the headers by which clients, hosts and targets speak.
type Dialect interface {
	targets.Reader
	// RequestID returns the id that the client gave its request.
	RequestID(h http.Header) string
	// TimeLeft returns how long the client will wait.
	TimeLeft(h http.Header) (time.Duration, bool)
	// Address names the target that alone may run the request, and the time left.
	Address(h http.Header, target string, left time.Duration)
	// Refuse sets the headers of an answer of our own.
	Refuse(h http.Header, id string, retryAfter time.Duration)
}

// Placer finds places for requests at targets.
type Placer interface {
	// Place waits for a place. The error is a *dispatcher.RefusedError, or that of
	// ctx.
	Place(ctx context.Context, w dispatcher.Want) (dispatcher.Grant, error)
	// Done tells how the send to a place ended.
	Done(g dispatcher.Grant, e dispatcher.Ending)
}

// Config holds the dependencies of a handler.
type Config struct {
	// Domain is the own failure domain.
	Domain   string
	Dialect  Dialect
	Placer   Placer
	Links    *targets.Links
	Snapshot func() *directory.Snapshot
	// Fresh reports whether the snapshot is up to date.
	Fresh    func(now time.Time) bool
	Bounds   settings.Bounds
	Log      *logrus.Entry
	Observer Observer
	// Crashes finds requests that crash targets; nil for none.
	Crashes *Crashes
}

// Observer is told of each finished request.
type Observer interface {
	Finished(o Observation)
}

// Observation is a finished request.
type Observation struct {
	Service string
	Route   string
	Outcome Outcome
	Status  int
	Sends   int
	Latency time.Duration
	// InTime says that the answer met the route's objective.
	InTime bool
	// Target is the one that the request was sent to last; empty for none.
	Target string
}

// Handler serves client requests. It is safe for concurrent use.
type Handler struct {
	cfg     Config
	g       *group.Group
	leaving atomic.Bool
	open    atomic.Int64

	// mu guards what follows.
	mu      sync.Mutex
	rng     *rand.Rand
	retries *budget.Retries
	usual   map[string]time.Duration
}

// New returns a handler. Its goroutines run in g.
func New(cfg Config, g *group.Group) *Handler {
	return &Handler{
		cfg: cfg, g: g, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		retries: budget.NewRetries(cfg.Bounds.RetryRatio, cfg.Bounds.RetrySlack, cfg.Bounds.RetryWindow),
		usual:   map[string]time.Duration{},
	}
}

// Leave makes every further answer close its connection.
func (h *Handler) Leave() { h.leaving.Store(true) }

// SetBounds puts changed bounds in force.
func (h *Handler) SetBounds(b settings.Bounds) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retries.SetBounds(b.RetryRatio, b.RetrySlack)
}

// Open returns the number of requests in flight.
func (h *Handler) Open() int { return int(h.open.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	now := time.Now()
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	j, refusal := h.prepare(w, r, now)
	if refusal != nil {
		h.finish(w, j, *refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	h.finish(w, j, j.run(ctx))
}
