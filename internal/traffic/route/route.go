// Package route decides which cell of a pool a call is sent to, and which host
// dispatches a cell.
//
// An entry host knows of each cell only what the answers of its dispatcher
// carried, and how many calls it has sent since. No message is spent on it. The
// package does no I/O and reads no clock.
//
// # Usage
//
//	r := route.NewRouter("domain-a", route.DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
//	cell, ok := r.Choose(now, cells, nil)
//	r.Sent(now, cell)
//	r.Answered(cell)
//	r.Report(now, cell, load)
package route

// This file defines Router, the choice of a cell from stale aggregates.

import (
	"math/rand/v2"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatch"
)

// CellID names the part of a pool that lies in one failure domain.
type CellID struct {
	Pool   string
	Domain string
}

// Config holds the parameters of a router.
type Config struct {
	// Crossing is the cost of a call to another domain and back.
	Crossing time.Duration
	// Memory is the age from which a report counts half.
	Memory time.Duration
}

// DefaultConfig returns the parameters in use.
func DefaultConfig() Config {
	return Config{Crossing: 3 * time.Millisecond, Memory: 20 * time.Millisecond}
}

// view is what a router knows of one cell.
type view struct {
	load  dispatch.Load
	at    time.Time
	known bool
	// sent holds the times of the calls that the report does not count yet.
	sent []time.Time
	// inFlight counts the calls of this host that are not answered.
	inFlight int
	// free is the moving mean of the reported free slots.
	free float64
	// failedAt is the time of the last failure to reach the dispatcher.
	failedAt time.Time
}

// Router chooses cells. It is not safe for concurrent use.
type Router struct {
	domain string
	cfg    Config
	rng    *rand.Rand
	views  map[CellID]*view
}

// NewRouter returns a router of a host in the given domain.
func NewRouter(domain string, cfg Config, rng *rand.Rand) *Router {
	return &Router{domain: domain, cfg: cfg, rng: rng, views: map[CellID]*view{}}
}

func (r *Router) view(id CellID) *view {
	v, ok := r.views[id]
	if !ok {
		v = &view{}
		r.views[id] = v
	}
	return v
}

// failureMemory is the time for which an unreachable cell is passed over.
const failureMemory = time.Second

// Choose returns the cell with the smallest expected wait, crossing included.
// Cells in avoid are used only when there is no other. It reports false when
// cells is empty. Its cost is linear in the cells.
func (r *Router) Choose(now time.Time, cells []CellID, avoid []CellID) (CellID, bool) {
	best, found := CellID{}, false
	var bestWait time.Duration
	ties := 0
	for _, id := range cells {
		wait := r.expectedWait(now, id)
		if slices.Contains(avoid, id) {
			wait += avoidPenalty
		}
		switch {
		case !found || wait < bestWait:
			best, bestWait, found, ties = id, wait, true, 1
		case wait == bestWait:
			ties++
			if r.rng.IntN(ties) == 0 {
				best = id
			}
		}
	}
	return best, found
}

// avoidPenalty puts avoided cells behind all others.
const avoidPenalty = time.Hour

// expectedWait estimates the wait of a call that is sent to the cell now.
func (r *Router) expectedWait(now time.Time, id CellID) time.Duration {
	v := r.view(id)
	var wait time.Duration
	if id.Domain != r.domain {
		wait = r.cfg.Crossing
	}
	if !v.failedAt.IsZero() && now.Sub(v.failedAt) < failureMemory {
		wait += avoidPenalty / 2
	}
	if !v.known {
		return wait + time.Duration(v.inFlight)*time.Millisecond
	}
	if v.load.Slots == 0 {
		return wait + avoidPenalty/4
	}
	free := r.estimateFree(now, v)
	if free >= 1 {
		return wait
	}
	behind := 1 - free
	return wait + time.Duration(behind*float64(v.load.Service)/float64(v.load.Slots))
}

// estimateFree returns the free slots minus the waiting calls that the cell is
// expected to have now. The older the report, the more the moving mean counts.
func (r *Router) estimateFree(now time.Time, v *view) float64 {
	reported := float64(v.load.Free-v.load.Waiting) - float64(len(v.sent))
	age := float64(now.Sub(v.at))
	fresh := float64(r.cfg.Memory) / (float64(r.cfg.Memory) + age)
	return fresh*reported + (1-fresh)*v.free
}

// Sent counts a call that this host sends to the cell.
func (r *Router) Sent(now time.Time, id CellID) {
	v := r.view(id)
	v.inFlight++
	if len(v.sent) < maxSent {
		v.sent = append(v.sent, now)
	}
}

// maxSent bounds the calls that are counted against one report.
const maxSent = 256

// way returns the time that a call takes to reach the cell.
func (r *Router) way(id CellID) time.Duration {
	if id.Domain == r.domain {
		return 0
	}
	return r.cfg.Crossing / 2
}

// Answered counts the end of a call that Sent counted.
func (r *Router) Answered(id CellID) {
	v := r.view(id)
	v.inFlight = max(0, v.inFlight-1)
}

// meanGain is the weight of a new report in the moving mean of free slots.
const meanGain = 0.1

// Report takes in the load that an answer carried, as of the given time.
func (r *Router) Report(at time.Time, id CellID, load dispatch.Load) {
	v := r.view(id)
	if v.known && at.Before(v.at) {
		return
	}
	net := float64(load.Free - load.Waiting)
	if !v.known {
		v.free = net
	}
	v.free += meanGain * (net - v.free)
	v.load, v.at, v.known = load, at, true
	arrived := at.Add(-r.way(id))
	v.sent = slices.DeleteFunc(v.sent, func(t time.Time) bool { return t.Before(arrived) })
	v.failedAt = time.Time{}
}

// Failed notes that the cell's dispatcher could not be reached.
func (r *Router) Failed(now time.Time, id CellID) { r.view(id).failedAt = now }

// FreeElsewhere returns a cell other than self that probably has a free slot
// now, and false when none has. Only reports younger than the memory count.
func (r *Router) FreeElsewhere(now time.Time, cells []CellID, self CellID) (CellID, bool) {
	best, found := CellID{}, false
	bestFree := 1.0
	for _, id := range cells {
		v := r.view(id)
		if id == self || !v.known || now.Sub(v.at) > r.cfg.Memory {
			continue
		}
		free := float64(v.load.Free-v.load.Waiting) - float64(len(v.sent))
		if free >= bestFree {
			best, bestFree, found = id, free, true
		}
	}
	return best, found
}

// Longest returns the cell other than self with the longest queue by the last
// reports, any of them when none is known to wait.
func (r *Router) Longest(cells []CellID, self CellID) (CellID, bool) {
	best, found, most, ties := CellID{}, false, -1, 0
	for _, id := range cells {
		if id == self {
			continue
		}
		waiting := r.view(id).load.Waiting
		switch {
		case waiting > most:
			best, found, most, ties = id, true, waiting, 1
		case waiting == most:
			ties++
			if r.rng.IntN(ties) == 0 {
				best = id
			}
		}
	}
	return best, found
}

// Known returns the reports that this router holds of the cells, for passing on.
func (r *Router) Known(now time.Time, cells []CellID) []Report {
	var reports []Report
	for _, id := range cells {
		v := r.view(id)
		if v.known && now.Sub(v.at) <= r.cfg.Memory {
			reports = append(reports, Report{Cell: id, Load: v.load, At: v.at})
		}
	}
	return reports
}

// Report is a load of a cell as of a time.
type Report struct {
	Cell CellID
	Load dispatch.Load
	At   time.Time
}
