// Package crash detects poison requests, which crash the targets that run them, so that
// hosts stop sending them to further targets.
//
// A crash shows as a connection that broke before the response. One crash says little:
// the target may have failed for another reason. A request counts as poison when several
// different targets crashed while running it, except when other targets crashed at the
// same time without it, as when a rack fails.
//
// The package does no I/O and does not read the clock. It is not safe for concurrent use.
//
// # Usage
//
//	g := crash.NewGuard()
//	if g.Refuses(now, fingerprint) { ... }
//	d := g.Died(now, fingerprint, target) // send d to the other hosts
//	isNew := g.Merge(now, d)              // on the other hosts
package crash

// This file defines Guard, which collects the crashes known to one host.

import (
	"slices"
	"time"
)

const (
	// MinTargets is the number of different targets that must have crashed.
	MinTargets = 3
	// EvidenceTTL is the time for which a crash counts.
	EvidenceTTL = 10 * time.Minute
	// eventWindow is the time within which crashes count as one event.
	eventWindow = time.Second
	// maxUnrelated is the number of targets without the request that may crash in an
	// event before it counts as a mass failure.
	maxUnrelated = 1
	// maxCrashes bounds the crashes that are kept.
	maxCrashes = 1024
)

// Crash records a connection that broke while a target ran a request.
type Crash struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Target      string `cbor:"2,keyasint"`
	UnixMilli   int64  `cbor:"3,keyasint"`
}

// Detector detects poison requests from the crashes known to one host.
type Detector struct {
	crashes []Crash
}

// NewDetector returns a Guard without crashes.
func NewDetector() *Detector { return &Detector{} }

// RecordCrash records a crash that this host observed, and returns it for the other hosts.
func (g *Detector) RecordCrash(now time.Time, fingerprint uint64, target string) Crash {
	d := Crash{Fingerprint: fingerprint, Target: target, UnixMilli: now.UnixMilli()}
	g.add(now, d)
	return d
}

// Merge records a crash that another host observed, and reports whether it was new.
func (g *Detector) Merge(now time.Time, d Crash) bool {
	if slices.Contains(g.crashes, d) || now.UnixMilli()-d.UnixMilli > EvidenceTTL.Milliseconds() {
		return false
	}
	g.add(now, d)
	return true
}

func (g *Detector) add(now time.Time, d Crash) {
	oldest := now.Add(-EvidenceTTL).UnixMilli()
	g.crashes = slices.DeleteFunc(g.crashes, func(o Crash) bool { return o.UnixMilli < oldest })
	if len(g.crashes) >= maxCrashes {
		g.crashes = g.crashes[1:]
	}
	g.crashes = append(g.crashes, d)
}

// Clear drops the crashes of a request that was answered: they had other causes.
func (g *Detector) Clear(fingerprint uint64) {
	g.crashes = slices.DeleteFunc(g.crashes, func(d Crash) bool { return d.Fingerprint == fingerprint })
}

// Refuses reports whether to reject a request as poison. It scans all crashes kept, which
// are few, and returns at once if there are fewer than Threshold.
func (g *Detector) Refuses(now time.Time, fingerprint uint64) bool {
	if len(g.crashes) < MinTargets {
		return false
	}
	oldest := now.Add(-EvidenceTTL).UnixMilli()
	crashed := map[string]bool{}
	for _, d := range g.crashes {
		if d.Fingerprint == fingerprint && d.UnixMilli >= oldest && !g.massFailure(d) {
			crashed[d.Target] = true
		}
	}
	return len(crashed) >= MinTargets
}

// massFailure reports whether more than maxUnrelated targets that never ran the request
// crashed at about the same time as d.
func (g *Detector) massFailure(d Crash) bool {
	involved, unrelated := map[string]bool{}, map[string]bool{}
	for _, o := range g.crashes {
		if o.Fingerprint == d.Fingerprint {
			involved[o.Target] = true
		}
	}
	for _, o := range g.crashes {
		gap := max(o.UnixMilli-d.UnixMilli, d.UnixMilli-o.UnixMilli)
		if gap <= eventWindow.Milliseconds() && !involved[o.Target] {
			unrelated[o.Target] = true
		}
	}
	return len(unrelated) > maxUnrelated
}
