package gateway

// This file defines crashTracker, which detects requests that crash targets.

import (
	"net/http"
	"sync"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
)

// reasonPoison is the reason for rejecting a request that crashes targets.
const reasonPoison = "targets that ran this request crashed; it is not sent to further ones"

// crashTracker holds the crashes that this host knows of, and broadcasts new ones.
type crashTracker struct {
	mu        sync.Mutex
	detector  *crash.Detector
	broadcast func(crash.Crash)
}

// isPoison reports whether requests with the fingerprint crash targets.
func (t *crashTracker) isPoison(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.detector.IsPoison(time.Now(), fingerprint, 0)
}

// recordCrash records a crash seen by this host, of an attempt that began at sent, and broadcasts it to other
// hosts.
func (t *crashTracker) recordCrash(fingerprint uint64, target string, sent time.Time) {
	now := time.Now()
	c := crash.Crash{Fingerprint: fingerprint, Target: target, UnixMilli: now.UnixMilli(), RanMilli: now.Sub(sent).Milliseconds()}
	t.mu.Lock()
	t.detector.Add(now, c)
	t.mu.Unlock()
	if t.broadcast != nil {
		t.broadcast(c)
	}
}

// recordSuccess drops the crashes known to this host of a request that a target responded to.
func (t *crashTracker) recordSuccess(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detector.Clear(fingerprint)
}

// MergeCrash records a crash that another host reported. A new one is broadcast again, so
// that it reaches hosts that have no link to the reporting host.
func (g *Gateway) MergeCrash(c crash.Crash) {
	g.crashTracker.mu.Lock()
	isNew := g.crashTracker.detector.Add(time.Now(), c)
	g.crashTracker.mu.Unlock()
	if isNew && g.crashTracker.broadcast != nil {
		g.crashTracker.broadcast(c)
	}
}

func rejectedAsPoison() *call.Result {
	result := call.NotRun(reasonPoison, 0)
	result.Status = http.StatusUnprocessableEntity
	return result
}
