package placement

// This file defines Request and Choice, the input and the result of a selection.

import (
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/profile"
)

// Request is a request that needs a target.
type Request struct {
	// Domain is the domain of the sending host.
	Domain string
	// Avoid lists targets that failed the request.
	Avoid []string
	// Paused holds the targets that want no requests of the sending host, with the times until
	// which they don't.
	Paused map[string]time.Time
	// TypicalTime is the typical service time of such a request on a target of normal
	// speed.
	TypicalTime time.Duration
	// Objective is the time by which the response should arrive; zero for none.
	Objective time.Time
	// Backlogged says that many requests wait. Then targets that would miss the objective
	// can have capacity too, and a higher concurrency may be tried.
	Backlogged bool
	// SpareLimited excludes targets with a limited rate, for requests that are optional.
	SpareLimited bool
	// SpareCold excludes cold targets, for requests that may be sent much later.
	SpareCold bool
}

// meetsObjective reports whether a service time meets the objective, or waiting for a
// faster target would not help.
func (r *Request) meetsObjective(now time.Time, serviceTime time.Duration) bool {
	late := now.Add(time.Duration(lateFactor * float64(r.TypicalTime))).After(r.Objective)
	return r.Backlogged || r.Objective.IsZero() || late || !now.Add(serviceTime).After(r.Objective)
}

// lateFactor is the time to its objective, in typical service times, below which a
// request is not held back for a faster target any more.
const lateFactor = 1.4

// Choice is a selected target with the estimate that led to the selection.
type Choice struct {
	ID string
	// ServiceTime and QueueTime are the expected times of running and of queueing at the
	// target; Cost adds the cost of distance and of likely failures.
	ServiceTime time.Duration
	QueueTime   time.Duration
	Cost        time.Duration
	// Load is the load report behind the choice, and Age its age. If LoadKnown is
	// false, there is none, and Load counts the attempts in flight.
	Load      Load
	LoadKnown bool
	Age       time.Duration
	// Concurrency is the number of requests at the target after this one starts, itself
	// included, out of Slots.
	Concurrency int
	Slots       int
	// UncontendedTime is the service time to expect without other requests at the
	// target. It is zero if the load report is old or missing although the service's
	// targets report load, or if the target is slow for reasons other than contention.
	UncontendedTime time.Duration
	// Cold says that the target was still warming up.
	Cold bool
	// HasCapacity says that the target would run the request at once, without slowing
	// others down.
	HasCapacity bool
	// Full says that the request would queue at the target.
	Full bool
	// Restricted says that the rate of the target is restricted, and that the choice took a token.
	Restricted bool

	trial bool
}

// ProfileRun returns what to record in the service's profile for a request that took that
// long at the target of c. It returns false if the request says nothing about contention.
func (c Choice) ProfileRun(took time.Duration, result Result) (profile.Run, bool) {
	if c.UncontendedTime <= 0 || c.Full || result != Served {
		return profile.Run{}, false
	}
	return profile.Run{
		Ratio: float64(took) / float64(c.UncontendedTime), Concurrency: c.Concurrency, Slots: c.Slots, Cold: c.Cold,
	}, true
}
