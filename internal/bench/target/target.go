// Package target is a stand-in for a server of the partners: slots, a bound on
// connections, cold start, shedding, draining, a load report, cancellation and
// deadlines. It writes down each run, as the witness of what was run.
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

// Config holds the behaviour of a target.
type Config struct {
	Name  string
	Slots int
	// Queue is the number of requests that may wait for a slot; more are shed.
	Queue int
	// ColdTime is the time after the start in which requests take longer.
	ColdTime time.Duration
	// ColdFactor is how many times longer they take.
	ColdFactor float64
	// Crash ends the process.
	Crash func()
	// Journal is the file that each run is appended to. It may be empty.
	Journal string
}

// Headers of the answers, as the balancers read them.
const (
	headerNotRun = "Tamarack-Not-Run"
	headerLoad   = "Target-Load"
	headerLeft   = "Tamarack-Deadline-Ms"
)

// Target is one stand-in server.
type Target struct {
	cfg      Config
	slots    chan struct{}
	waiting  atomic.Int64
	draining atomic.Bool
	slow     atomic.Int64
	probes   atomic.Int64
	started  time.Time

	mu      sync.Mutex
	journal *os.File
}

// New returns a target. Error: the journal cannot be opened.
func New(cfg Config) (*Target, error) {
	t := &Target{cfg: cfg, slots: make(chan struct{}, cfg.Slots), started: time.Now()}
	t.slow.Store(1)
	if cfg.Journal != "" {
		f, err := os.OpenFile(cfg.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "target")
		}
		t.journal = f
	}
	return t, nil
}

// Handler returns the routes: /-/ for the bench, everything else is work.
func (t *Target) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/-/load", t.load)
	r.Post("/-/drain", func(http.ResponseWriter, *http.Request) { t.draining.Store(true) })
	r.Post("/-/slow/{factor}", t.setSlow)
	r.Handle("/*", http.HandlerFunc(t.work))
	return r
}

// load answers a probe for the load; probes are counted.
func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	t.probes.Add(1)
	_, _ = fmt.Fprintln(w, t.report())
}

func (t *Target) report() string {
	return fmt.Sprintf("busy=%d waiting=%d slots=%d probes=%d", len(t.slots), t.waiting.Load(), t.cfg.Slots, t.probes.Load())
}

func (t *Target) setSlow(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseInt(chi.URLParam(r, "factor"), 10, 64)
	if err != nil || n < 1 {
		http.Error(w, "want a whole number from 1", http.StatusBadRequest)
		return
	}
	t.slow.Store(n)
}

func (t *Target) work(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	w.Header().Set(headerLoad, t.report())
	if t.draining.Load() {
		refuse(w, "draining")
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !t.enter(ctx) {
		refuse(w, "shed")
		return
	}
	defer func() { <-t.slots }()
	t.record(r)
	if r.Header.Get(proof.HeaderCrash) != "" {
		t.cfg.Crash()
	}
	if !t.spend(ctx, r) {
		http.Error(w, "cancelled", http.StatusServiceUnavailable)
		return
	}
	t.answer(w, r, body, began)
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(headerNotRun, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerLeft), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// enter waits for a slot and reports false when the request is shed.
func (t *Target) enter(ctx context.Context) bool {
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

// record writes down the run before it starts.
func (t *Target) record(r *http.Request) {
	if t.journal == nil {
		return
	}
	line := fmt.Sprintf("%s %s\n", r.Header.Get(proof.HeaderID), r.Header.Get("Idempotency-Key"))
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = t.journal.WriteString(line)
}

// spend takes the service time that the request asks for.
func (t *Target) spend(ctx context.Context, r *http.Request) bool {
	us, _ := strconv.ParseInt(r.Header.Get(proof.HeaderWork), 10, 64)
	d := time.Duration(us) * time.Microsecond * time.Duration(t.slow.Load())
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

func (t *Target) answer(w http.ResponseWriter, r *http.Request, body []byte, began time.Time) {
	size, _ := strconv.Atoi(r.Header.Get(proof.HeaderSize))
	digest := proof.Digest(r.Header.Get(proof.HeaderID), r.Method, r.URL.RequestURI(), body)
	w.Header().Set(proof.HeaderInside, strconv.FormatInt(time.Since(began).Microseconds(), 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	if r.Header.Get(proof.HeaderChunked) == "" {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	_, _ = w.Write(proof.Answer(digest, size)) //nolint:gosec // The digest is hexadecimal.
}
