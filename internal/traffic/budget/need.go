package budget

// This file defines Need, by which extra attempts get a budget that does not suffice for all.

import (
	"math"
	"time"
)

// Need ranks extra attempts by what callers lose without them. A budget that is short goes to
// those with the greater need: each need leaves in the budget what requests with a greater one
// are likely to ask for soon.
type Need int

// Needs, the greatest first.
const (
	// NeedFinal is that of a request whose client will not come back: without an extra attempt it
	// is lost.
	NeedFinal Need = iota
	// NeedRetry is that of other requests that failed. Their clients may try again.
	NeedRetry
	// NeedHedge is that of requests that run and may only be late.
	NeedHedge
	needs
)

// reserveTime is the time for which the demand of requests with a greater need is kept in the
// budget. It is also the time constant with which that demand is measured, so that one that has
// ended keeps nothing back for long.
const reserveTime = time.Second

// demand measures how often extra attempts are asked for.
type demand struct {
	// level is the number asked for in reserveTime, at time at.
	level float64
	at    time.Time
}

// in returns the number that is likely to be asked for within reserveTime from now on.
func (d *demand) in(now time.Time) float64 {
	if d.level == 0 {
		return 0
	}
	return d.level * math.Exp(-now.Sub(d.at).Seconds()/reserveTime.Seconds())
}

func (d *demand) record(now time.Time) { d.level, d.at = d.in(now)+1, now }

// reserve returns what an extra attempt must leave in the budget for those with a greater need.
func (u *usage) reserve(now time.Time, need Need) float64 {
	sum := 0.0
	for greater := range need {
		sum += u.demands[greater].in(now)
	}
	return sum
}

// RemainingFor returns the number of extra attempts of a need that this host may still spend on a
// service.
func (r *Retries) RemainingFor(now time.Time, service string, share Share, need Need) float64 {
	return r.Remaining(now, service, share) - r.usage(now, service).reserve(now, need)
}

// Ask records that a request needs an extra attempt. It is called once, however often SpendFor is
// called until there is one.
func (r *Retries) Ask(now time.Time, service string, need Need) {
	r.usage(now, service).demands[need].record(now)
}

// SpendFor is Spend for an extra attempt that leaves the budget to those with a greater need.
func (r *Retries) SpendFor(now time.Time, service string, share Share, need Need) bool {
	return r.RemainingFor(now, service, share, need) >= 1 && r.Spend(now, service, share)
}
