// Package eligibility decides what a target may get now and why: requests as usual, requests at a
// limited rate, or none.
//
// Several causes may hold at a time: an operator evacuates the failure domain of the target, its
// entry says that it drains or has lapsed, it has said that it leaves or wants no requests of a
// host, names a rate limit, or is cold. The other packages find out each of these facts. Only this
// one combines them, so that all places that exclude a target do it by one rule, and the log and the
// metrics name the cause that decided.
//
// The package does no I/O, reads no clock and holds no state.
//
// # Usage
//
//	v := eligibility.Decide(eligibility.Facts{Cold: true, ColdPerSecond: 3.6})
//	switch v.Grade {
//	case eligibility.Limited: ... send at v.PerSecond, over all hosts ...
//	case eligibility.Nothing: log.Info(v.Reason)
//	}
package eligibility

// This file defines Facts, Verdict and Decide.

// Reason is why a target gets less than usual. It is used in logs and metrics.
type Reason string

// Reasons. Normal targets have none.
const (
	Normal Reason = ""
	// Evacuated: the failure domain of the target is evacuated.
	Evacuated Reason = "evacuated"
	// Draining: the entry of the target says that it drains.
	Draining Reason = "draining"
	// Leaving: a response of the target said that it leaves.
	Leaving Reason = "leaving"
	// Lapsed: the entry of the target was deleted around an outage of the store.
	Lapsed Reason = "lapsed"
	// Paused: the target wants no requests of the sending host, or has just turned hosts away.
	Paused Reason = "paused"
	// RateLimit: the target names a rate limit.
	RateLimit Reason = "rate-limit"
	// Cold: the target has said that it is cold.
	Cold Reason = "cold"
	// ColdUnknown: it is not known whether the target is cold.
	ColdUnknown Reason = "cold-unknown"
)

// Grade is what a target may get.
type Grade uint8

// Grades.
const (
	// Unlimited targets get requests as usual.
	Unlimited Grade = iota
	// Limited targets get requests at a rate.
	Limited
	// Nothing is for targets that get no requests.
	Nothing
)

// Facts is what a host knows of a target.
type Facts struct {
	Evacuated, Draining, Leaving bool
	// Lapsed is set if the entry of the target has lapsed, and those of most other targets of the
	// service have not.
	Lapsed bool
	// Paused is set if the target wants no requests of the sending host.
	Paused bool
	// RateLimited is set if the target names a rate limit, or the rate is raised after the end of
	// one, and LimitPerSecond is the rate.
	RateLimited    bool
	LimitPerSecond float64
	// Cold is set if the target is cold, or if that is not known and ColdUnknown is set.
	// ColdPerSecond is the rate that cold targets of the service take.
	Cold, ColdUnknown bool
	ColdPerSecond     float64
}

// Verdict is what a target may get now and why.
type Verdict struct {
	Grade Grade
	// PerSecond is the number of requests a second, over all hosts, that a limited target may get.
	PerSecond float64
	Reason    Reason
}

// Decide returns what a target may get. If several facts exclude it, the one that takes longest to
// change is the reason. Of two rates the lower one applies.
func Decide(f Facts) Verdict {
	switch {
	case f.Evacuated:
		return Verdict{Grade: Nothing, Reason: Evacuated}
	case f.Draining:
		return Verdict{Grade: Nothing, Reason: Draining}
	case f.Leaving:
		return Verdict{Grade: Nothing, Reason: Leaving}
	case f.Lapsed:
		return Verdict{Grade: Nothing, Reason: Lapsed}
	case f.Paused:
		return Verdict{Grade: Nothing, Reason: Paused}
	case f.Cold && (!f.RateLimited || f.ColdPerSecond <= f.LimitPerSecond):
		reason := Cold
		if f.ColdUnknown {
			reason = ColdUnknown
		}
		return Verdict{Grade: Limited, PerSecond: f.ColdPerSecond, Reason: reason}
	case f.RateLimited:
		return Verdict{Grade: Limited, PerSecond: f.LimitPerSecond, Reason: RateLimit}
	}
	return Verdict{}
}
