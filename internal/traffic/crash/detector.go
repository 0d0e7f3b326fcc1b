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
//	d := crash.NewDetector()
//	if d.IsPoison(now, fingerprint) { ... }
//	c := d.RecordCrash(now, fingerprint, target) // send c to the other hosts
//	isNew := d.Merge(now, c)                     // on the other hosts
package crash

// This file defines Detector, which collects the crashes known to one host.

import (
	"slices"
	"time"
)

const (
	// MinTargets is the number of different targets that must have crashed before a request
	// counts as poison.
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

// NewDetector returns a Detector without crashes.
func NewDetector() *Detector { return &Detector{} }

// RecordCrash records a crash that this host observed, and returns it for the other hosts.
func (d *Detector) RecordCrash(now time.Time, fingerprint uint64, target string) Crash {
	c := Crash{Fingerprint: fingerprint, Target: target, UnixMilli: now.UnixMilli()}
	d.add(now, c)
	return c
}

// Merge records a crash that another host observed, and reports whether it was new.
func (d *Detector) Merge(now time.Time, c Crash) bool {
	if slices.Contains(d.crashes, c) || now.UnixMilli()-c.UnixMilli > EvidenceTTL.Milliseconds() {
		return false
	}
	d.add(now, c)
	return true
}

func (d *Detector) add(now time.Time, c Crash) {
	oldest := now.Add(-EvidenceTTL).UnixMilli()
	d.crashes = slices.DeleteFunc(d.crashes, func(o Crash) bool { return o.UnixMilli < oldest })
	if len(d.crashes) >= maxCrashes {
		d.crashes = d.crashes[1:]
	}
	d.crashes = append(d.crashes, c)
}

// Clear drops the crashes of a request that a target responded to: they had other causes.
func (d *Detector) Clear(fingerprint uint64) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c Crash) bool { return c.Fingerprint == fingerprint })
}

// IsPoison reports whether a request counts as poison. It scans all crashes kept, which
// are few, and returns at once if there are fewer than MinTargets.
func (d *Detector) IsPoison(now time.Time, fingerprint uint64) bool {
	if len(d.crashes) < MinTargets {
		return false
	}
	oldest := now.Add(-EvidenceTTL).UnixMilli()
	crashed := map[string]bool{}
	for _, c := range d.crashes {
		if c.Fingerprint == fingerprint && c.UnixMilli >= oldest && !d.massFailure(c) {
			crashed[c.Target] = true
		}
	}
	return len(crashed) >= MinTargets
}

// massFailure reports whether more than maxUnrelated targets that never ran the request
// crashed at about the same time as c.
func (d *Detector) massFailure(c Crash) bool {
	involved, unrelated := map[string]bool{}, map[string]bool{}
	for _, o := range d.crashes {
		if o.Fingerprint == c.Fingerprint {
			involved[o.Target] = true
		}
	}
	for _, o := range d.crashes {
		gap := max(o.UnixMilli-c.UnixMilli, c.UnixMilli-o.UnixMilli)
		if gap <= eventWindow.Milliseconds() && !involved[o.Target] {
			unrelated[o.Target] = true
		}
	}
	return len(unrelated) > maxUnrelated
}
