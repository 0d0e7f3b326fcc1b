// Package crash detects poison requests, which crash the targets that run them, so that
// hosts stop sending them to further targets.
//
// A crash shows as a connection that broke before the response. One crash says little: the target may have
// failed for another reason, and others ran on it at the same time. A request counts as poison when it was
// sent again after it had crashed a target, and crashed another one, until MinTargets targets have crashed one
// after the other, and no attempt has ended well in between. Requests that only happened to run on several
// targets of a rack that fails were sent to these before, so their crashes count as one.
//
// If most requests crash their targets, the targets are at fault, such as those of a bad version. So a request
// is poison only if few others crash targets which it has not crashed, compared with those that are served. Of
// the requests that ran on one target, only the one that has crashed most is counted: two poison requests don't
// excuse each other, and those that ran beside them don't either.
//
// The package does no I/O and does not read the clock. It is not safe for concurrent use.
//
// # Usage
//
//	d := crash.NewDetector()
//	if d.IsPoison(now, fingerprint, served) { ... }
//	isNew := d.Add(now, crash.Crash{Fingerprint: fingerprint, Target: target, UnixMilli: at, RanMilli: ran})
//	d.Clear(fingerprint) // such a request has ended well
package crash

// This file defines Detector, which collects the crashes known to one host.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MinTargets is the number of different targets that must have crashed before a request
	// counts as poison.
	MinTargets = 3
	// EvidenceTTL is the time for which a crash counts.
	EvidenceTTL = 10 * time.Minute
	// eventWindow is the time within which crashes of a target count as one event.
	eventWindow = time.Second
	// orderSlack is the time by which the times of crashes that different hosts observed may be off, since
	// messages take that long.
	orderSlack = 10 * time.Millisecond
	// maxOthers is the number of other requests that may crash targets at the same time, however few requests
	// are served.
	maxOthers = 2
	// maxCrashes bounds the crashes that are kept, and maxCrashesOfOne those of one request, which are more
	// than enough for a decision.
	maxCrashes      = 1024
	maxCrashesOfOne = 32
)

// Crash records a connection that broke while a target ran a request.
type Crash struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Target      string `cbor:"2,keyasint"`
	UnixMilli   int64  `cbor:"3,keyasint"`
	// RanMilli is the time in milliseconds since the request was sent to the target. Builds of earlier versions
	// neither send nor read it.
	RanMilli int64 `cbor:"4,keyasint,omitempty"`
}

// sentMilli returns the time at which the request was sent to the target.
func (c Crash) sentMilli() int64 { return c.UnixMilli - c.RanMilli }

// sameEvent reports whether two crashes of a target are one.
func (c Crash) sameEvent(o Crash) bool {
	return c.Target == o.Target && max(c.UnixMilli-o.UnixMilli, o.UnixMilli-c.UnixMilli) <= eventWindow.Milliseconds()
}

// Detector detects poison requests from the crashes known to one host.
type Detector struct {
	// requests holds the crashes of each request by its fingerprint, in the order of their times, and n their
	// number.
	requests map[uint64][]Crash
	n        int
}

// NewDetector returns a Detector without crashes.
func NewDetector() *Detector { return &Detector{requests: map[uint64][]Crash{}} }

// Add records a crash that this or another host observed, and reports whether it was new.
func (d *Detector) Add(now time.Time, c Crash) bool {
	d.expire(now)
	list := d.requests[c.Fingerprint]
	if c.UnixMilli < now.Add(-EvidenceTTL).UnixMilli() || len(list) >= maxCrashesOfOne || slices.ContainsFunc(list, c.sameEvent) {
		return false
	}
	if d.n >= maxCrashes {
		d.forgetOldest()
	}
	i, _ := slices.BinarySearchFunc(list, c, func(a, b Crash) int { return cmp.Compare(a.UnixMilli, b.UnixMilli) })
	d.requests[c.Fingerprint] = slices.Insert(list, i, c)
	d.n++
	return true
}

// Clear drops the crashes of a request that a target responded to: they had other causes.
func (d *Detector) Clear(fingerprint uint64) {
	d.n -= len(d.requests[fingerprint])
	delete(d.requests, fingerprint)
}

// Has reports whether there is evidence against a request.
func (d *Detector) Has(fingerprint uint64) bool { return len(d.requests[fingerprint]) > 0 }

// Len returns the number of requests with evidence against them.
func (d *Detector) Len() int { return len(d.requests) }

// Crashes returns all crashes.
func (d *Detector) Crashes() []Crash {
	all := make([]Crash, 0, d.n)
	for _, list := range d.requests {
		all = append(all, list...)
	}
	return all
}

// expire forgets crashes that don't count any more.
func (d *Detector) expire(now time.Time) {
	oldest := now.Add(-EvidenceTTL).UnixMilli()
	for fingerprint, list := range d.requests {
		if list[0].UnixMilli >= oldest {
			continue
		}
		left := slices.DeleteFunc(list, func(c Crash) bool { return c.UnixMilli < oldest })
		d.n -= len(list) - len(left)
		d.requests[fingerprint] = left
		if len(left) == 0 {
			delete(d.requests, fingerprint)
		}
	}
}

// forgetOldest forgets the request whose last crash is the oldest.
func (d *Detector) forgetOldest() {
	var oldest uint64
	last := int64(0)
	for fingerprint, list := range d.requests {
		if at := list[len(list)-1].UnixMilli; last == 0 || at < last {
			oldest, last = fingerprint, at
		}
	}
	d.Clear(oldest)
}

// IsPoison reports whether a request counts as poison. served is the number of other requests that ended well since
// its first crash, as far as this host knows. It scans all crashes kept, which are few.
func (d *Detector) IsPoison(now time.Time, fingerprint uint64, served int) bool {
	d.expire(now)
	list := d.requests[fingerprint]
	return len(list) >= MinTargets && series(list) >= MinTargets && d.others(list) <= max(maxOthers, served)
}

// series returns the number of targets that a request crashed one after the other. An attempt counts if it was sent
// after the crash that was counted before.
func series(list []Crash) int {
	targets := make([]string, 0, len(list))
	last := int64(0)
	for _, c := range list {
		if slices.Contains(targets, c.Target) || len(targets) > 0 && c.sentMilli() < last-orderSlack.Milliseconds() {
			continue
		}
		targets, last = append(targets, c.Target), c.UnixMilli
	}
	return len(targets)
}

// others returns the number of other requests that crashed targets which a request with the crashes in list has not
// crashed, since shortly before its first crash. Of those that ran on one target, the one counts that has crashed
// most.
func (d *Detector) others(list []Crash) int {
	fingerprint, since := list[0].Fingerprint, list[0].UnixMilli-eventWindow.Milliseconds()
	// suspects maps targets to the requests with the longest series that crashed there.
	suspects := map[string]uint64{}
	for other, crashes := range d.requests {
		if other == fingerprint {
			continue
		}
		for _, c := range crashes {
			if c.UnixMilli < since || slices.ContainsFunc(list, c.sameEvent) {
				continue
			}
			if best, ok := suspects[c.Target]; !ok || d.precedes(other, best) {
				suspects[c.Target] = other
			}
		}
	}
	counted := map[uint64]bool{}
	for _, other := range suspects {
		counted[other] = true
	}
	return len(counted)
}

// precedes reports whether one request is more likely than another to have crashed a target that ran both.
func (d *Detector) precedes(a, b uint64) bool {
	return cmp.Or(cmp.Compare(series(d.requests[b]), series(d.requests[a])), cmp.Compare(a, b)) < 0
}
