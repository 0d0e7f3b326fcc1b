// Package budget limits what all hosts together may spend on extra attempts (retries and
// hedges) and on load probes of targets.
//
// No host knows what the others spend, and some may not be able to reach each other. So
// each host spends only what its own requests earn, plus its part of a fixed allowance,
// which is divided by the maximum number of hosts. Even if hosts disagree about the
// fleet, the sum of the parts does not exceed the whole.
//
// The sum also covers the successive processes of a host: one that starts does not know what
// its predecessor spent, so it uses its part of the allowance only after a full window. What
// requests earn is saved up for a short time only, since a host that spends all that it has saved
// and restarts earns anew.
//
// If all targets of a service reject much of what they get, a host's part does not suffice for all
// of its requests. Those that are lost without an extra attempt get it first (Need).
//
// The package does not read the clock. It is not safe for concurrent use.
//
// # Usage
//
//	r := budget.NewRetries(0.2, 56, 10*time.Second)
//	r.RecordRequest(now, service)
//	r.Ask(now, service, budget.NeedRetry)
//	share := budget.Share{Hosts: hosts, SlackFrom: started.Add(10 * time.Second)}
//	if r.SpendFor(now, service, share, budget.NeedRetry) {
//		... send the request again ...
//		r.End(time.Now(), service)
//	}
package budget

// This file defines Retries and Probes.

import (
	"fmt"
	"math"
	"time"
)

const (
	// usableShare is the share of a budget that is spent. The rest covers requests that
	// fall into a different window here than at the host where they arrive.
	usableShare = 0.9
	// earningTime is the time for which what requests earn is saved up. A process that restarts
	// soon after it has spent all that it had saved must not have saved much.
	earningTime = time.Second
	perMille    = 1000
	// windowSteps is the number of steps of a sliding window.
	windowSteps = 50
)

// window counts events in a sliding window, with a resolution of one step. It covers up to one
// step less than its length, or up to one step more.
type window struct {
	length time.Duration
	// steps is windowSteps, or one more for a window that covers its whole length at any time.
	steps int64
	// origin is the time of step zero. Steps are computed from time differences, which
	// use the monotonic clock, so that changes of the wall clock have no effect.
	origin time.Time
	counts [windowSteps + 1]int
	// last is the last step that the window covers.
	last int64
}

func (w *window) step() time.Duration { return w.length / windowSteps }

// advance moves the window to now, and clears the counts of the steps that it passes.
func (w *window) advance(now time.Time) {
	current := int64(now.Sub(w.origin) / w.step())
	if current-w.last >= w.steps {
		w.counts = [windowSteps + 1]int{}
		w.last = current
		return
	}
	for w.last < current {
		w.last++
		w.counts[w.last%w.steps] = 0
	}
}

func (w *window) add(now time.Time, n int) {
	w.advance(now)
	w.counts[w.last%w.steps] += n
}

func (w *window) sum(now time.Time) int {
	w.advance(now)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}

// usage counts the requests and extra attempts of one service. An extra attempt counts from
// its start to a window after its end, since it may reach its target at any moment until then.
type usage struct {
	requests window
	running  int
	// ended covers the whole length of the window, so that no attempt is forgotten too early.
	ended window
	// earned is what requests have earned and extra attempts have not used, up to what they
	// earn in earningTime. slackUsed is the part of the slack that was used, in thousandths.
	earned    float64
	slackUsed window
	// demands are by need.
	demands [needs]demand
}

// spent returns the extra attempts that may have reached a target in the window that ends now.
func (u *usage) spent(now time.Time) int { return u.running + u.ended.sum(now) }

// Share is one process's part of the slack of a budget.
type Share struct {
	// Hosts is the maximum number of hosts among which the slack is divided.
	Hosts int
	// SlackFrom is the time from which the process may use its part. An earlier process of
	// the host may have spent it in the window before.
	SlackFrom time.Time
}

// Retries is one host's part of the budget for retries and hedges.
type Retries struct {
	ratio  float64
	slack  float64
	length time.Duration
	// usages are by service.
	usages map[string]*usage
}

// NewRetries returns one host's part of the budget of a fleet. In any window of the given
// length, all hosts together may spend ratio times the requests for a service, plus slack.
func NewRetries(ratio, slack float64, length time.Duration) *Retries {
	return &Retries{ratio: ratio, slack: slack, length: length, usages: map[string]*usage{}}
}

// SetBounds changes the ratio and the slack.
func (r *Retries) SetBounds(ratio, slack float64) { r.ratio, r.slack = ratio, slack }

func (r *Retries) usage(now time.Time, service string) *usage {
	u := r.usages[service]
	if u == nil {
		u = &usage{requests: window{length: r.length, steps: windowSteps, origin: now}, ended: window{length: r.length, steps: windowSteps + 1, origin: now}, slackUsed: window{length: r.length, steps: windowSteps + 1, origin: now}}
		r.usages[service] = u
	}
	return u
}

// RecordRequest counts a request for a service.
func (r *Retries) RecordRequest(now time.Time, service string) {
	u := r.usage(now, service)
	u.requests.add(now, 1)
	u.earned = min(max(1, r.earnedIn(now, u, earningTime)), u.earned+usableShare*r.ratio)
}

// earnedIn returns what the requests of a service earn in some time, at their mean rate.
func (r *Retries) earnedIn(now time.Time, u *usage, d time.Duration) float64 {
	return usableShare * r.ratio * float64(u.requests.sum(now)) * d.Seconds() / r.length.Seconds()
}

// slackLeft returns the part of the slack that this process may still use. A host with few
// requests may save up a whole extra attempt, which takes longer than earningTime; what it saves
// beyond that is taken from its slack.
func (r *Retries) slackLeft(now time.Time, u *usage, share Share) float64 {
	if now.Before(share.SlackFrom) {
		return 0
	}
	saved := max(0, min(1, r.earnedIn(now, u, r.length))-r.earnedIn(now, u, earningTime))
	return max(0, usableShare*r.slack/float64(max(1, share.Hosts))-saved-float64(u.slackUsed.sum(now))/perMille)
}

// Remaining returns the number of extra attempts that this host may still spend on a
// service.
func (r *Retries) Remaining(now time.Time, service string, share Share) float64 {
	u := r.usage(now, service)
	return min(r.allowed(now, u, share)-float64(u.spent(now)), u.earned+r.slackLeft(now, u, share))
}

func (r *Retries) allowed(now time.Time, u *usage, share Share) float64 {
	earned := r.ratio * float64(u.requests.sum(now))
	if !now.Before(share.SlackFrom) {
		earned += r.slack / float64(max(1, share.Hosts))
	}
	return usableShare * earned
}

// Usage describes how much of a host's part of a budget is used in the window that ends now.
type Usage struct {
	// Requests and Spent count the requests and the extra attempts; Allowed is the highest
	// permitted number of extra attempts.
	Requests, Spent int
	Allowed         float64
}

// Usage returns how much of this host's part of the budget of a service is used.
func (r *Retries) Usage(now time.Time, service string, share Share) Usage {
	u := r.usage(now, service)
	return Usage{Requests: u.requests.sum(now), Spent: u.spent(now), Allowed: r.allowed(now, u, share)}
}

// Spend takes one extra attempt from the budget of a service, and reports whether there
// was one left. End must be called when the attempt has ended.
func (r *Retries) Spend(now time.Time, service string, share Share) bool {
	if r.Remaining(now, service, share) < 1 {
		return false
	}
	u := r.usage(now, service)
	fromEarned := min(1, u.earned)
	u.earned -= fromEarned
	u.slackUsed.add(now, int(math.Ceil(perMille*(1-fromEarned))))
	u.running++
	if spent := u.spent(now); float64(spent) > r.allowed(now, u, share) {
		panic(fmt.Sprintf("budget: %d extra attempts spent, %.1f allowed", spent, r.allowed(now, u, share)))
	}
	return true
}

// End records that an extra attempt has ended: from now on it cannot reach its target any more.
func (r *Retries) End(now time.Time, service string) {
	u := r.usage(now, service)
	u.running--
	u.ended.add(now, 1)
	if u.running < 0 {
		panic(fmt.Sprintf("budget: more extra attempts of %s ended than started", service))
	}
}

// Probes is one host's part of the budget for load probes. Each target has its own token
// bucket, so that tokens saved for one target cannot be spent on another.
type Probes struct {
	perSecond float64
	// started is the time from which tokens accumulate. A process that restarts has none
	// saved up, since the previous one may have spent them.
	started time.Time
	buckets map[string]*tokenBucket
}

type tokenBucket struct {
	tokens   float64
	refilled time.Time
}

const (
	// probeBurst is the time for which tokens accumulate.
	probeBurst = 2 * time.Second
	// startupBurst is the time whose tokens a process gets when it starts, up to one per
	// target, so that the load of targets is known soon.
	startupBurst = time.Second
)

// NewProbes returns one host's part of the budget of a fleet, in probes per target and
// second, for a process that starts now.
func NewProbes(now time.Time, perSecond float64) *Probes {
	return &Probes{perSecond: perSecond, started: now, buckets: map[string]*tokenBucket{}}
}

// SetRate changes the number of probes per target and second.
func (p *Probes) SetRate(perSecond float64) { p.perSecond = perSecond }

// Spend takes one probe from the budget of a target, and reports whether there was one
// left. This host's part of the budget is 1/divisor: the number of probing hosts, or less
// for a host with a larger part.
func (p *Probes) Spend(now time.Time, target string, divisor float64) bool {
	rate := usableShare * p.perSecond / max(1, divisor)
	b := p.buckets[target]
	if b == nil {
		b = &tokenBucket{tokens: min(1, rate*startupBurst.Seconds()), refilled: p.started}
		p.buckets[target] = b
	}
	b.tokens = min(max(1, rate*probeBurst.Seconds()), b.tokens+rate*now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Retain drops the state of targets that do not exist any more.
func (p *Probes) Retain(exists func(target string) bool) {
	for target := range p.buckets {
		if !exists(target) {
			delete(p.buckets, target)
		}
	}
}
