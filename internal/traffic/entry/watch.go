package entry

// This file defines linkWatch, which notices that an attempt is silent because this host has
// lost its links to the targets.

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/targets"
	"tamaracktiller.example/tamaracktiller/internal/traffic/tunnel"
)

const (
	// silenceFactor is the multiple of its expected time after which an attempt without a
	// response arouses suspicion if no target was heard since, and minSilence the least time.
	silenceFactor = 1.25
	minSilence    = 120 * time.Millisecond
	// silencePeriod is the time between two looks at a silent attempt.
	silencePeriod = 100 * time.Millisecond
)

// errLinkLost reports that an attempt was given up because this host has lost its links to
// the targets.
var errLinkLost = errors.New("host has lost its links to the targets")

// linkWatch watches an attempt while no response has arrived.
type linkWatch struct {
	req     *clientRequest
	grant   dispatcher.Grant
	started time.Time
	// patience is the time without a response after which the attempt is silent.
	patience time.Duration
	// ctx is the context of the attempt, which cancel ends.
	ctx    context.Context
	cancel context.CancelCauseFunc

	// mu guards the fields below.
	mu       sync.Mutex
	timer    *time.Timer
	nc       net.Conn
	stopped  bool
	released bool
}

// watch starts to watch an attempt. The context of the attempt ends with ctx.
func (req *clientRequest) watch(ctx context.Context, grant dispatcher.Grant) *linkWatch {
	expected := time.Duration(silenceFactor * float64(grant.ServiceTime+grant.QueueTime))
	w := &linkWatch{req: req, grant: grant, started: time.Now(), patience: max(minSilence, expected)}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.patience, w.look)
	return w
}

// connected records the connection over which the request is sent.
func (w *linkWatch) connected(nc net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nc = nc
}

// through returns the host through which the request was sent; empty for directly.
func (w *linkWatch) through() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nc == nil {
		return ""
	}
	return targets.ReachedThrough(w.nc)
}

// stop ends the watch after the header of the response, or an error. It returns the host
// through which the request was sent, and whether the dispatcher was told that the attempt is
// lost.
func (w *linkWatch) stop() (via string, released bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.stopped = true
	if w.nc == nil {
		return "", w.released
	}
	return targets.ReachedThrough(w.nc), w.released
}

// look checks a silent attempt. If the host is cut off and hears no target any more, an
// idempotent request is sent again through another host. Others may still get their response,
// but do not count as running any more.
func (w *linkWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.timer.Reset(silencePeriod)
	links := w.req.h.cfg.Links
	if c, ok := w.nc.(*tunnel.Conn); ok {
		c.AvoidIfSilent(w.started)
		return
	}
	if w.nc == nil {
		return
	}
	switch {
	case !links.CutOff():
		if !links.HeardSince(w.started) {
			links.SuspectSilence(w.grant.ID)
		}
	case links.HeardSince(time.Now().Add(-w.patience)):
		// Open connections still work.
	case w.req.route.Idempotent && !w.req.streamed:
		w.cancel(errLinkLost)
	case !w.released:
		w.released = true
		w.req.h.cfg.Placer.Done(w.grant, dispatcher.Outcome{Result: placement.Lost})
	}
}
