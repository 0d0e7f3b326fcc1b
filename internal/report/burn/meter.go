// Package burn measures how fast each service consumes its error budget.
//
// Requests are counted by the weight of their kind. A request is good when a target
// responded without a server error within the objective's latency. The burn rate is the bad
// share of the total weight divided by the share that the objective allows: at a rate of 1
// the budget lasts exactly as long as the window.
//
// # Usage
//
//	m := burn.NewMeter()
//	m.Add(now, burn.Sample{Service: "availability", Weight: 1, Good: true})
//	report := m.Report(now, "host-1", objective)
//	merged := burn.Merge(reports)
package burn

// This file defines Meter, which counts the requests of one host.

import (
	"sync"
	"time"
)

const (
	// bucket is the time span of one counter.
	bucket = time.Minute
	// buckets is the number of counters kept per service.
	buckets = 360
	// maxCauses is the maximum number of causes kept per service.
	maxCauses = 64
	// causeDecay is the factor by which the weights of causes decay per bucket.
	causeDecay = 0.98
)

// Windows lists the windows for which burn rates are reported, shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Fault is the way in which a request was bad.
type Fault string

// Values of Fault.
const (
	Slow    Fault = "slow"
	Failed  Fault = "failed"
	Refused Fault = "refused"
	Unknown Fault = "unknown"
	// Limited is a refusal because of the rate limits that targets name.
	Limited Fault = "limited"
)

// Sample describes one finished request.
type Sample struct {
	Service string
	Partner string
	Weight  int
	Good    bool
	// Fault, Target and Domain are the cause of a bad request and unused for a good one.
	Fault  Fault
	Target string
	Domain string
}

// Cause groups bad requests by fault, target and failure domain.
type Cause struct {
	Fault  Fault  `json:"fault"`
	Target string `json:"target,omitempty"`
	Domain string `json:"domain,omitempty"`
}

// counter holds the good and the bad weight of one bucket. minute identifies the bucket, in
// minutes since the Unix epoch.
type counter struct {
	minute int64
	good   int64
	bad    int64
}

// series holds the counts of one service.
type series struct {
	partner string
	// counters is a ring buffer indexed by minute modulo buckets.
	counters [buckets]counter
	causes   map[Cause]float64
	// decayedMinute is the minute up to which the decay of causes has been applied.
	decayedMinute int64
}

// Meter counts the requests of one host per service. It is safe for concurrent use.
type Meter struct {
	mu       sync.Mutex
	services map[string]*series
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{services: map[string]*series{}} }

// Add counts one request.
func (m *Meter) Add(now time.Time, s Sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sr, ok := m.services[s.Service]
	if !ok {
		sr = &series{causes: map[Cause]float64{}}
		m.services[s.Service] = sr
	}
	sr.partner = s.Partner
	c := sr.at(now)
	if s.Good {
		c.good += int64(s.Weight)
		return
	}
	c.bad += int64(s.Weight)
	sr.addCause(now, Cause{Fault: s.Fault, Target: s.Target, Domain: s.Domain}, float64(s.Weight))
}

// minuteOf returns now in minutes since the Unix epoch.
func minuteOf(now time.Time) int64 { return now.Unix() / int64(bucket/time.Second) }

// at returns the counter of the current minute. It resets a counter that was last used for
// an earlier minute.
func (sr *series) at(now time.Time) *counter {
	minute := minuteOf(now)
	c := &sr.counters[minute%buckets]
	if c.minute != minute {
		*c = counter{minute: minute}
	}
	return c
}

// addCause adds weight to a cause, after applying the decay that is due. If there are more
// than maxCauses, it drops the one with the smallest weight.
func (sr *series) addCause(now time.Time, cause Cause, weight float64) {
	for ; sr.decayedMinute < minuteOf(now); sr.decayedMinute++ {
		if len(sr.causes) == 0 {
			sr.decayedMinute = minuteOf(now) - 1
			continue
		}
		for k := range sr.causes {
			sr.causes[k] *= causeDecay
		}
	}
	sr.causes[cause] += weight
	if len(sr.causes) > maxCauses {
		delete(sr.causes, smallestCause(sr.causes))
	}
}

// smallestCause returns the cause with the smallest weight.
func smallestCause(causes map[Cause]float64) Cause {
	var smallest Cause
	first := true
	for cause, weight := range causes {
		if first || weight < causes[smallest] {
			smallest, first = cause, false
		}
	}
	return smallest
}

// sum returns the good and the bad weight of the window that ends with the current minute.
func (sr *series) sum(now time.Time, window time.Duration) (good, bad int64) {
	last := minuteOf(now)
	first := last - int64(window/bucket) + 1
	for i := range sr.counters {
		c := &sr.counters[i]
		if c.minute >= first && c.minute <= last {
			good += c.good
			bad += c.bad
		}
	}
	return good, bad
}
