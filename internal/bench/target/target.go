// Package target simulates a server of a partner, with slots, a connection limit, cold
// start, load shedding, draining, load reports, cancellation and deadlines. It records
// each run in a journal, which shows which requests were run, and how often.
//
// # Usage
//
//	t, err := target.New(target.Config{Name: "cottage-1", Slots: 2})
//	server := &http.Server{Handler: t.Handler()}
package target

// This file defines Target and its handling of requests.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/bench/proof"
)

// Config configures a target.
type Config struct {
	Name  string
	Slots int
	// Queue is the number of requests that may wait for a slot; more are shed.
	Queue int
	// ColdTime is the time after the start during which requests take longer.
	ColdTime time.Duration
	// ColdFactor is the factor by which they take longer.
	ColdFactor float64
	// Crash terminates the process. It is called for requests with proof.HeaderCrash.
	Crash func()
	// Journal is the file to which each run is appended. If empty, runs are not recorded.
	Journal string
}

// Headers of the protocol between balancers and targets.
const (
	headerNotRun   = "Tamarack-Not-Run"
	headerLoad     = "Target-Load"
	headerDeadline = "Tamarack-Deadline-Ms"
)

// Target is a fake target.
type Target struct {
	cfg        Config
	slots      chan struct{}
	waiting    atomic.Int64
	draining   atomic.Bool
	slowFactor atomic.Int64
	probes     atomic.Int64
	started    time.Time

	mu      sync.Mutex
	journal *os.File
}

// New returns a target. It fails if the journal cannot be opened.
func New(cfg Config) (*Target, error) {
	t := &Target{cfg: cfg, slots: make(chan struct{}, cfg.Slots), started: time.Now()}
	t.slowFactor.Store(1)
	if cfg.Journal != "" {
		f, err := os.OpenFile(cfg.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "target")
		}
		t.journal = f
	}
	return t, nil
}

// Handler returns the handler of the target: paths below /-/ control it, all others are
// requests to run.
func (t *Target) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/-/load", t.handleLoad)
	r.Post("/-/drain", func(http.ResponseWriter, *http.Request) { t.draining.Store(true) })
	r.Post("/-/slow/{factor}", t.handleSlow)
	r.Handle("/*", http.HandlerFunc(t.handleRequest))
	return r
}

// handleLoad responds to a load probe and counts it.
func (t *Target) handleLoad(w http.ResponseWriter, _ *http.Request) {
	t.probes.Add(1)
	_, _ = fmt.Fprintln(w, t.loadReport())
}

func (t *Target) loadReport() string {
	return fmt.Sprintf("busy=%d waiting=%d slots=%d probes=%d", len(t.slots), t.waiting.Load(), t.cfg.Slots, t.probes.Load())
}

func (t *Target) handleSlow(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseInt(chi.URLParam(r, "factor"), 10, 64)
	if err != nil || n < 1 {
		http.Error(w, "want a whole number from 1", http.StatusBadRequest)
		return
	}
	t.slowFactor.Store(n)
}

func (t *Target) handleRequest(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	w.Header().Set(headerLoad, t.loadReport())
	if t.draining.Load() {
		reject(w, "draining")
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !t.acquireSlot(ctx) {
		reject(w, "shed")
		return
	}
	defer func() { <-t.slots }()
	t.recordRun(r)
	if r.Header.Get(proof.HeaderCrash) != "" {
		t.cfg.Crash()
	}
	if !t.simulateWork(ctx, r) {
		http.Error(w, "cancelled", http.StatusServiceUnavailable)
		return
	}
	t.writeResponse(w, r, body, start)
}

func reject(w http.ResponseWriter, reason string) {
	w.Header().Set(headerNotRun, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// acquireSlot waits for a slot. It returns false if the queue is full or ctx is done
// first.
func (t *Target) acquireSlot(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	if t.waiting.Add(1) > int64(t.cfg.Queue) {
		t.waiting.Add(-1)
		return false
	}
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordRun appends a run to the journal. It is called before the run starts.
func (t *Target) recordRun(r *http.Request) {
	if t.journal == nil {
		return
	}
	line := fmt.Sprintf("%s %s\n", r.Header.Get(proof.HeaderID), r.Header.Get("Idempotency-Key"))
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = t.journal.WriteString(line)
}

// simulateWork waits for the service time that the request specifies, multiplied by the
// slow factor and, during the cold time, by the cold factor. It returns false if ctx is done
// first.
func (t *Target) simulateWork(ctx context.Context, r *http.Request) bool {
	us, _ := strconv.ParseInt(r.Header.Get(proof.HeaderServiceTime), 10, 64)
	d := time.Duration(us) * time.Microsecond * time.Duration(t.slowFactor.Load())
	if time.Since(t.started) < t.cfg.ColdTime {
		d = time.Duration(float64(d) * t.cfg.ColdFactor)
	}
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, body []byte, start time.Time) {
	size, _ := strconv.Atoi(r.Header.Get(proof.HeaderResponseBytes))
	digest := proof.Digest(r.Header.Get(proof.HeaderID), r.Method, r.URL.RequestURI(), body)
	w.Header().Set(proof.HeaderTargetTime, strconv.FormatInt(time.Since(start).Microseconds(), 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	if r.Header.Get(proof.HeaderChunked) == "" {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	_, _ = w.Write(proof.Body(digest, size)) //nolint:gosec // The digest is hexadecimal.
}
