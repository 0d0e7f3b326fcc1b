// Package budget holds what all hosts together may spend: sends beyond the first
// of each request, and questions for the load of targets.
//
// No host knows what the others spend, and some may not hear each other. So each
// host spends only what it earned by its own requests, and its part of what is
// free, which is divided by the highest number of hosts that may exist. However
// the views differ, the parts add up to no more than the whole.
//
// The package reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	r := budget.NewRetries(0.2, 56, 10*time.Second)
//	r.Request(now, service)
//	if r.Spend(now, service, hosts) { ... }
package budget

// This file defines Retries and Probes.

import (
	"fmt"
	"time"
)

const (
	// reserve is the share of a budget that is used. The rest covers requests that
	// are counted in another window here than where they arrive.
	reserve = 0.9
	// buckets is the number of parts of a sliding window.
	buckets = 50
)

// window counts events in a sliding window, in steps of a part of it.
type window struct {
	length time.Duration
	// began is the origin of the steps: differences of times are steady, whatever is
	// done to the time of day.
	began  time.Time
	counts [buckets]int
	last   int64
}

func (w *window) step() time.Duration { return w.length / buckets }

func (w *window) advance(now time.Time) {
	at := int64(now.Sub(w.began) / w.step())
	if at-w.last >= buckets {
		w.counts = [buckets]int{}
		w.last = at
		return
	}
	for w.last < at {
		w.last++
		w.counts[w.last%buckets] = 0
	}
}

func (w *window) add(now time.Time) {
	w.advance(now)
	w.counts[w.last%buckets]++
}

func (w *window) sum(now time.Time) int {
	w.advance(now)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}

// account is the state of one service.
type account struct {
	requests window
	spent    window
}

// Retries is a host's part of the budget for sends beyond the first.
type Retries struct {
	ratio    float64
	slack    float64
	length   time.Duration
	accounts map[string]*account
}

// NewRetries returns the budget of a fleet: in any window of that length, ratio
// times the requests for a service, plus slack.
func NewRetries(ratio, slack float64, length time.Duration) *Retries {
	return &Retries{ratio: ratio, slack: slack, length: length, accounts: map[string]*account{}}
}

// SetBounds changes the ratio and the slack.
func (r *Retries) SetBounds(ratio, slack float64) { r.ratio, r.slack = ratio, slack }

func (r *Retries) account(now time.Time, service string) *account {
	a := r.accounts[service]
	if a == nil {
		a = &account{requests: window{length: r.length, began: now}, spent: window{length: r.length, began: now}}
		r.accounts[service] = a
	}
	return a
}

// Request counts a request for a service.
func (r *Retries) Request(now time.Time, service string) { r.account(now, service).requests.add(now) }

// Left returns what this host may still spend on a service, when there are at
// most that many hosts.
func (r *Retries) Left(now time.Time, service string, hosts int) float64 {
	a := r.account(now, service)
	return r.allowed(now, a, hosts) - float64(a.spent.sum(now))
}

func (r *Retries) allowed(now time.Time, a *account, hosts int) float64 {
	return reserve * (r.ratio*float64(a.requests.sum(now)) + r.slack/float64(max(1, hosts)))
}

// Spend takes one send from the budget of a service, if there is one left.
func (r *Retries) Spend(now time.Time, service string, hosts int) bool {
	if r.Left(now, service, hosts) < 1 {
		return false
	}
	a := r.account(now, service)
	a.spent.add(now)
	if spent := a.spent.sum(now); float64(spent) > r.allowed(now, a, hosts) {
		panic(fmt.Sprintf("budget: %d sends beyond the first, %.1f allowed", spent, r.allowed(now, a, hosts)))
	}
	return true
}

// Probes is a host's part of the budget for questions to targets. Each target has an
// account of its own, so that no one is asked more often while others are left out.
type Probes struct {
	perSecond float64
	// started is the time from which unused questions are saved up. A process that
	// starts again has none, since the one before may have spent them.
	started time.Time
	tokens  map[string]*bucket
}

type bucket struct {
	tokens float64
	filled time.Time
}

const (
	// probeBurst is the time for which unused questions may be saved up.
	probeBurst = 2 * time.Second
	// firstProbe is the time whose questions a process may ask at its start, but no
	// more than one a target, so that the load of targets is known soon.
	firstProbe = time.Second
)

// NewProbes returns the budget of a fleet, in questions per target and second, for a
// process that starts now.
func NewProbes(now time.Time, perSecond float64) *Probes {
	return &Probes{perSecond: perSecond, started: now, tokens: map[string]*bucket{}}
}

// SetRate changes the questions per target and second.
func (p *Probes) SetRate(perSecond float64) { p.perSecond = perSecond }

// Spend takes a question from the budget of a target. The budget is divided by the
// number of hosts that ask, or by less for a host with a larger part.
func (p *Probes) Spend(now time.Time, target string, askers float64) bool {
	rate := reserve * p.perSecond / max(1, askers)
	b := p.tokens[target]
	if b == nil {
		b = &bucket{tokens: min(1, rate*firstProbe.Seconds()), filled: p.started}
		p.tokens[target] = b
	}
	b.tokens = min(max(1, rate*probeBurst.Seconds()), b.tokens+rate*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Keep forgets the accounts of all targets but those that exist.
func (p *Probes) Keep(exists func(target string) bool) {
	for target := range p.tokens {
		if !exists(target) {
			delete(p.tokens, target)
		}
	}
}
