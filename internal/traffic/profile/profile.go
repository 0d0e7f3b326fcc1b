// Package profile learns how the targets of a service behave: how contention slows them
// down, how fast their slowness changes, how slow they are after a start, and whether
// they report their load at all.
//
// It is designed for services whose targets come without a description. The only
// evidence is load reports and completed requests, and both arrive all the time. So a
// profile starts with moderate assumptions, and after some tens of requests reflects what
// was observed.
//
// The package does no I/O and does not read the clock. It is not safe for concurrent use.
//
// # Usage
//
//	p := profile.New()
//	p.RecordSlowness(before, gap, after)  // two consecutive load reports of one target
//	p.RecordRun(now, profile.Run{...})    // a completed request
//	n := p.BestConcurrency(slots)         // run up to n requests at a time
//	factor := p.Slowdown(n, slots)        // relative to a request that runs alone
package profile

// This file defines Profile, and learns whether targets report their load and how slow
// they are after a start.

import (
	"math"
	"time"
)

const (
	// initialColdSlowdown is the assumed slowdown of a cold target until one was
	// observed.
	initialColdSlowdown = 2.0
	// priorRuns is the number of runs that an initial value counts for.
	priorRuns = 6.0
	// minGain is the weight of a new run once many were seen, so that a profile follows
	// targets that change.
	minGain = 0.04
	// maxStep bounds the influence of one run: it counts as at most that many times
	// more or less than the average. Some targets are slow for unrelated reasons.
	maxStep = 2.0
	// minUnreported is the number of consecutive responses without a load report from
	// which targets are assumed not to report it.
	minUnreported = 12
)

// Profile holds what is known about the targets of a service.
type Profile struct {
	contention contention
	forecast   forecaster
	cold       average
	// unreported counts consecutive responses without a load report.
	unreported int
}

// New returns the initial profile of a service.
func New() *Profile {
	return &Profile{cold: newAverage(initialColdSlowdown), forecast: newForecaster()}
}

// Run describes a request that a target ran to its end.
type Run struct {
	// Ratio is the time that the request took, relative to the time to expect at the
	// slowness that the target reported when it started.
	Ratio float64
	// Concurrency is the number of requests at the target at the start, itself included.
	Concurrency int
	Slots       int
	// Cold says that the target was still warming up.
	Cold bool
}

// RecordRun records a run.
func (p *Profile) RecordRun(now time.Time, r Run) {
	switch {
	case r.Ratio <= 0:
	case !r.Cold:
		p.contention.add(now, r)
	default:
		p.cold.add(r.Ratio / p.Slowdown(r.Concurrency, r.Slots))
	}
}

// ColdSlowdown returns how many times longer requests take on a cold target.
func (p *Profile) ColdSlowdown() float64 { return max(1, p.cold.value()) }

// RecordResponse records whether a response of a target carried a load report.
func (p *Profile) RecordResponse(hasLoad bool) {
	if hasLoad {
		p.unreported = 0
		return
	}
	p.unreported++
}

// ReportsLoad reports whether the targets of the service report their load when probed.
func (p *Profile) ReportsLoad() bool { return p.unreported < minUnreported }

// average is an exponentially weighted geometric mean. It is geometric because time
// ratios spread evenly around it on a logarithmic scale.
type average struct {
	log float64
	n   float64
}

var maxLogStep = math.Log(maxStep)

func newAverage(value float64) average { return average{log: math.Log(value)} }

func (a *average) add(value float64) {
	a.n++
	step := max(-maxLogStep, min(maxLogStep, math.Log(value)-a.log))
	a.log += max(minGain, 1/(a.n+priorRuns)) * step
}

func (a *average) value() float64 { return math.Exp(a.log) }
