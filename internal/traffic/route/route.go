// Package route decides which cell of a pool a call is sent to, and which host
// dispatches a cell.
//
// A router knows of each cell only the load reports that responses of its dispatcher
// carried, and the calls that it has sent since. It spends no messages on load
// information. The package does no I/O and reads no clock.
//
// # Usage
//
//	r := route.NewRouter("domain-a", route.DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
//	cell, ok := r.Choose(now, cells, nil)
//	r.RecordSent(now, cell)
//	r.RecordDone(cell)
//	r.RecordLoad(now, cell, load)
package route

// This file defines Router, which chooses a cell from stale load reports.

import (
	"math/rand/v2"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatch"
)

// CellID identifies the part of a pool in one failure domain.
type CellID struct {
	Pool   string
	Domain string
}

// Config holds the parameters of a router.
type Config struct {
	// CrossDomainRTT is the round-trip time of a call to another failure domain.
	CrossDomainRTT time.Duration
	// ReportHalfLife is the age at which a report has half its weight, and the maximum age of
	// a recent report.
	ReportHalfLife time.Duration
}

// DefaultConfig returns the parameters used in production.
func DefaultConfig() Config {
	return Config{CrossDomainRTT: 3 * time.Millisecond, ReportHalfLife: 20 * time.Millisecond}
}

// cellState is what a router knows of one cell.
type cellState struct {
	load       dispatch.Load
	reportedAt time.Time
	reported   bool
	// sentSince holds the send times of the calls that the report does not include yet.
	sentSince []time.Time
	// inFlight counts the calls of this host that have no response yet.
	inFlight int
	// meanFree is the moving average of free slots minus waiting calls over the reports.
	meanFree float64
	// unreachableAt is the time of the last failure to reach the dispatcher.
	unreachableAt time.Time
}

// Router chooses cells. It is not safe for concurrent use.
type Router struct {
	domain string
	cfg    Config
	rng    *rand.Rand
	states map[CellID]*cellState
}

// NewRouter returns a router for a host in the given failure domain.
func NewRouter(domain string, cfg Config, rng *rand.Rand) *Router {
	return &Router{domain: domain, cfg: cfg, rng: rng, states: map[CellID]*cellState{}}
}

func (r *Router) state(id CellID) *cellState {
	s, ok := r.states[id]
	if !ok {
		s = &cellState{}
		r.states[id] = s
	}
	return s
}

// unreachableDuration is the time for which an unreachable cell is avoided.
const unreachableDuration = time.Second

// Choose returns the cell with the smallest expected wait, including the network delay.
// Cells in avoid are used only if there is no other. It returns false if cells is empty.
// The cost is linear in the number of cells.
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

// avoidPenalty ranks avoided cells behind all others. Unreachable cells get half of it,
// and cells without slots a quarter.
const avoidPenalty = time.Hour

// expectedWait estimates the wait of a call that is sent to the cell now. Without a report,
// each call in flight counts as one millisecond.
func (r *Router) expectedWait(now time.Time, id CellID) time.Duration {
	s := r.state(id)
	var wait time.Duration
	if id.Domain != r.domain {
		wait = r.cfg.CrossDomainRTT
	}
	if !s.unreachableAt.IsZero() && now.Sub(s.unreachableAt) < unreachableDuration {
		wait += avoidPenalty / 2
	}
	if !s.reported {
		return wait + time.Duration(s.inFlight)*time.Millisecond
	}
	if s.load.Slots == 0 {
		return wait + avoidPenalty/4
	}
	free := r.estimateFree(now, s)
	if free >= 1 {
		return wait
	}
	backlog := 1 - free
	return wait + time.Duration(backlog*float64(s.load.ServiceTime)/float64(s.load.Slots))
}

// estimateFree estimates the current number of free slots minus waiting calls. The older
// the report, the greater the weight of the moving average.
func (r *Router) estimateFree(now time.Time, s *cellState) float64 {
	reported := float64(s.load.Free-s.load.Waiting) - float64(len(s.sentSince))
	age := float64(now.Sub(s.reportedAt))
	weight := float64(r.cfg.ReportHalfLife) / (float64(r.cfg.ReportHalfLife) + age)
	return weight*reported + (1-weight)*s.meanFree
}

// RecordSent records a call that this host sends to the cell.
func (r *Router) RecordSent(now time.Time, id CellID) {
	s := r.state(id)
	s.inFlight++
	if len(s.sentSince) < maxSentSince {
		s.sentSince = append(s.sentSince, now)
	}
}

// maxSentSince bounds the calls that are counted against one report.
const maxSentSince = 256

// oneWayDelay returns the time that a call takes to reach the cell.
func (r *Router) oneWayDelay(id CellID) time.Duration {
	if id.Domain == r.domain {
		return 0
	}
	return r.cfg.CrossDomainRTT / 2
}

// RecordDone records the end of a call recorded by RecordSent.
func (r *Router) RecordDone(id CellID) {
	s := r.state(id)
	s.inFlight = max(0, s.inFlight-1)
}

// meanFreeGain is the weight of a new report in the moving average of free slots.
const meanFreeGain = 0.1

// RecordLoad records the load of a cell at the given time. Reports older than the last are
// ignored.
func (r *Router) RecordLoad(at time.Time, id CellID, load dispatch.Load) {
	s := r.state(id)
	if s.reported && at.Before(s.reportedAt) {
		return
	}
	netFree := float64(load.Free - load.Waiting)
	if !s.reported {
		s.meanFree = netFree
	}
	s.meanFree += meanFreeGain * (netFree - s.meanFree)
	s.load, s.reportedAt, s.reported = load, at, true
	// Calls sent later cannot have reached the dispatcher when it made the report.
	lastIncluded := at.Add(-r.oneWayDelay(id))
	s.sentSince = slices.DeleteFunc(s.sentSince, func(t time.Time) bool { return t.Before(lastIncluded) })
	s.unreachableAt = time.Time{}
}

// MarkUnreachable records that the dispatcher of the cell could not be reached.
func (r *Router) MarkUnreachable(now time.Time, id CellID) { r.state(id).unreachableAt = now }

// FreeElsewhere returns the cell other than self that has the most free slots by recent
// reports, and false if none has one.
func (r *Router) FreeElsewhere(now time.Time, cells []CellID, self CellID) (CellID, bool) {
	best, found := CellID{}, false
	bestFree := 1.0
	for _, id := range cells {
		s := r.state(id)
		if id == self || !s.reported || now.Sub(s.reportedAt) > r.cfg.ReportHalfLife {
			continue
		}
		free := float64(s.load.Free-s.load.Waiting) - float64(len(s.sentSince))
		if free >= bestFree {
			best, bestFree, found = id, free, true
		}
	}
	return best, found
}

// LongestQueue returns the cell other than self with the longest queue by the last reports.
// Ties are broken at random.
func (r *Router) LongestQueue(cells []CellID, self CellID) (CellID, bool) {
	best, found, maxWaiting, ties := CellID{}, false, -1, 0
	for _, id := range cells {
		if id == self {
			continue
		}
		waiting := r.state(id).load.Waiting
		switch {
		case waiting > maxWaiting:
			best, found, maxWaiting, ties = id, true, waiting, 1
		case waiting == maxWaiting:
			ties++
			if r.rng.IntN(ties) == 0 {
				best = id
			}
		}
	}
	return best, found
}

// RecentReports returns the recent load reports of the cells, to be sent to other hosts.
func (r *Router) RecentReports(now time.Time, cells []CellID) []LoadReport {
	var reports []LoadReport
	for _, id := range cells {
		s := r.state(id)
		if s.reported && now.Sub(s.reportedAt) <= r.cfg.ReportHalfLife {
			reports = append(reports, LoadReport{Cell: id, Load: s.load, At: s.reportedAt})
		}
	}
	return reports
}

// LoadReport is the load of a cell at a point in time.
type LoadReport struct {
	Cell CellID
	Load dispatch.Load
	At   time.Time
}
