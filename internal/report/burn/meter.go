// Package burn measures how fast each service uses up its error budget.
//
// Service is counted per request, weighted by kind. A request is good when a
// target answered it without a server error within the objective's latency. The
// burn rate is the share of bad weight over the share that the objective allows:
// at 1 the budget lasts exactly as long as the window.
//
// # Usage
//
//	m := burn.NewMeter()
//	m.Add(now, burn.Sample{Service: "availability", Weight: 1, Good: true})
//	report := m.Report(now, "host-1", objective)
//	merged := burn.Merge(reports)
package burn

// This file defines Meter, the counts of one host.

import (
	"sync"
	"time"
)

const (
	// bucket is the width of one counter.
	bucket = time.Minute
	// buckets is the number of counters kept per service.
	buckets = 360
	// maxCauses bounds the causes kept per service.
	maxCauses = 64
	// causeDecay is the factor by which causes fade per bucket.
	causeDecay = 0.98
)

// Windows are the spans over which burn is reported, shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Fault says how a request was bad.
type Fault string

// The faults.
const (
	Slow    Fault = "slow"
	Failed  Fault = "failed"
	Refused Fault = "refused"
	Unknown Fault = "unknown"
)

// Sample is one finished request.
type Sample struct {
	Service string
	Partner string
	Weight  int
	Good    bool
	// Fault, Target and Domain tell the cause of a bad request.
	Fault  Fault
	Target string
	Domain string
}

// Cause is a reason for burn.
type Cause struct {
	Fault  Fault  `json:"fault"`
	Target string `json:"target,omitempty"`
	Domain string `json:"domain,omitempty"`
}

type counter struct {
	minute int64
	good   int64
	bad    int64
}

type series struct {
	partner  string
	counters [buckets]counter
	causes   map[Cause]float64
	faded    int64
}

// Meter counts the requests of one host. It is safe for concurrent use.
type Meter struct {
	mu       sync.Mutex
	services map[string]*series
}

// NewMeter returns a meter without counts.
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
	sr.blame(now, Cause{Fault: s.Fault, Target: s.Target, Domain: s.Domain}, float64(s.Weight))
}

func minuteOf(now time.Time) int64 { return now.Unix() / int64(bucket/time.Second) }

func (sr *series) at(now time.Time) *counter {
	minute := minuteOf(now)
	c := &sr.counters[minute%buckets]
	if c.minute != minute {
		*c = counter{minute: minute}
	}
	return c
}

// blame adds weight to a cause. When there are too many, the smallest goes.
func (sr *series) blame(now time.Time, cause Cause, weight float64) {
	for ; sr.faded < minuteOf(now); sr.faded++ {
		if len(sr.causes) == 0 {
			sr.faded = minuteOf(now) - 1
			continue
		}
		for k := range sr.causes {
			sr.causes[k] *= causeDecay
		}
	}
	sr.causes[cause] += weight
	if len(sr.causes) > maxCauses {
		delete(sr.causes, smallest(sr.causes))
	}
}

func smallest(causes map[Cause]float64) Cause {
	var least Cause
	first := true
	for cause, weight := range causes {
		if first || weight < causes[least] {
			least, first = cause, false
		}
	}
	return least
}

// sum returns the good and bad weight of the latest window.
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
