// Package crash finds requests that crash the targets that run them, so that no
// host sends them to further targets.
//
// The evidence is a connection that died without an answer. One death says little:
// the target may have failed by itself. A request is refused when several different
// targets died on it, except when other targets died at the same time without it,
// as in the failure of a rack.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	g := crash.NewGuard()
//	if g.Refuses(now, fingerprint) { ... }
//	d := g.Died(now, fingerprint, target) // tell the other hosts
//	isNew := g.Merge(now, d)              // on the other hosts
package crash

// This file defines Guard, the evidence of one host.

import (
	"slices"
	"time"
)

const (
	// Threshold is the number of different targets that must have died.
	Threshold = 3
	// Memory is the time for which evidence counts.
	Memory = 10 * time.Minute
	// together is the time within which deaths count as one event.
	together = time.Second
	// maxOthers is the number of targets that may die in the same event without
	// the request.
	maxOthers = 1
	// maxDeaths bounds the evidence that is kept.
	maxDeaths = 1024
)

// Death says that a connection died while a request ran.
type Death struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Target      string `cbor:"2,keyasint"`
	UnixMilli   int64  `cbor:"3,keyasint"`
}

// Guard holds the evidence of one host.
type Guard struct {
	deaths []Death
}

// NewGuard returns a guard without evidence.
func NewGuard() *Guard { return &Guard{} }

// Died takes in a death that this host saw, and returns it for other hosts.
func (g *Guard) Died(now time.Time, fingerprint uint64, target string) Death {
	d := Death{Fingerprint: fingerprint, Target: target, UnixMilli: now.UnixMilli()}
	g.add(now, d)
	return d
}

// Merge takes in a death that another host saw, and reports whether it was new.
func (g *Guard) Merge(now time.Time, d Death) bool {
	if slices.Contains(g.deaths, d) || now.UnixMilli()-d.UnixMilli > Memory.Milliseconds() {
		return false
	}
	g.add(now, d)
	return true
}

func (g *Guard) add(now time.Time, d Death) {
	oldest := now.Add(-Memory).UnixMilli()
	g.deaths = slices.DeleteFunc(g.deaths, func(o Death) bool { return o.UnixMilli < oldest })
	if len(g.deaths) >= maxDeaths {
		g.deaths = g.deaths[1:]
	}
	g.deaths = append(g.deaths, d)
}

// Clear forgets the deaths of a request: it was answered, so they had other causes.
func (g *Guard) Clear(fingerprint uint64) {
	g.deaths = slices.DeleteFunc(g.deaths, func(d Death) bool { return d.Fingerprint == fingerprint })
}

// Refuses reports whether a request is refused. Its cost is linear in the deaths
// remembered, which are few, and nothing when there are none.
func (g *Guard) Refuses(now time.Time, fingerprint uint64) bool {
	if len(g.deaths) < Threshold {
		return false
	}
	oldest := now.Add(-Memory).UnixMilli()
	own := map[string]bool{}
	for _, d := range g.deaths {
		if d.Fingerprint == fingerprint && d.UnixMilli >= oldest && !g.massFailure(d) {
			own[d.Target] = true
		}
	}
	return len(own) >= Threshold
}

// massFailure reports whether other targets, on which the request did not run,
// died together with this death.
func (g *Guard) massFailure(d Death) bool {
	involved, others := map[string]bool{}, map[string]bool{}
	for _, o := range g.deaths {
		if o.Fingerprint == d.Fingerprint {
			involved[o.Target] = true
		}
	}
	for _, o := range g.deaths {
		apart := max(o.UnixMilli-d.UnixMilli, d.UnixMilli-o.UnixMilli)
		if apart <= together.Milliseconds() && !involved[o.Target] {
			others[o.Target] = true
		}
	}
	return len(others) > maxOthers
}
