package gateway

// This file defines what the gateway does about requests that crash targets.

import (
	"net/http"
	"sync"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
)

// reasonCrash is the final answer to a request that crashes targets.
const reasonCrash = "targets that ran this request crashed; it is not sent to further ones"

// crashes holds the evidence of this host and spreads it.
type crashes struct {
	mu     sync.Mutex
	guard  *crash.Guard
	spread func(crash.Death)
}

// refuses reports whether a request crashes targets.
func (k *crashes) refuses(fingerprint uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.guard.Refuses(time.Now(), fingerprint)
}

// died takes in a death seen here and tells the other hosts.
func (k *crashes) died(fingerprint uint64, target string) {
	k.mu.Lock()
	d := k.guard.Died(time.Now(), fingerprint, target)
	k.mu.Unlock()
	if k.spread != nil {
		k.spread(d)
	}
}

// MergeDeath takes in a death that another host saw. A new one is passed on, so
// that it reaches hosts that are not linked to the first one.
func (g *Gateway) MergeDeath(d crash.Death) {
	g.crashes.mu.Lock()
	isNew := g.crashes.guard.Merge(time.Now(), d)
	g.crashes.mu.Unlock()
	if isNew && g.crashes.spread != nil {
		g.crashes.spread(d)
	}
}

func refusedAsCrash() *call.Answer {
	a := call.NotRun(reasonCrash, 0)
	a.Status = http.StatusUnprocessableEntity
	return a
}
