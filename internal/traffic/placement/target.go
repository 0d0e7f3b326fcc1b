// Package placement selects the target of a request from the load that the targets
// reported a few milliseconds ago.
//
// It is designed for targets with two or three slots on shared machines, whose speed
// changes several times a second. A load report is useful for tens of milliseconds only,
// so a Chooser names the targets to probe before each attempt, and ranks them by the time
// that the request would take there. This follows from the target's slowness, the slots
// in use, its queue and its recent failures. How contention slows targets down, how fast
// reports age and whether targets report load at all is learned per service (package
// profile). Targets that do not report their load are filled by the number of requests
// that the chooser has in flight there.
//
// The package does no I/O, does not read the clock and takes its source of randomness
// from the caller. It is not safe for concurrent use.
//
// # Usage
//
//	c := placement.NewChooser(placement.DefaultConfig(), rng)
//	c.SetTargets(map[string][]placement.Spec{service: specs})
//	ids := c.ProbeCandidates(now, group, r, 3) // targets to probe
//	c.RecordLoad(now, id, load)
//	choice, ok := c.Best(now, group, r)
//	c.RecordAttempt(now, choice)
//	c.Done(now, sent, choice.ID, placement.Served)
package placement

// This file defines the state of a target and the estimated cost of a request there.

import (
	"math"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/notice"
	"tamaracktiller.example/tamaracktiller/internal/traffic/profile"
)

// Load is a target's report of its own load. Hosts send it to each other under its field
// names.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the current service time relative to the typical one.
	Slowness float64
}

// Spec describes a target.
type Spec struct {
	ID string
	// Service selects the profile that the target shares.
	Service string
	Domain  string
	Slots   int
	// ColdUntil is the end of the target's warm-up after a start.
	ColdUntil time.Time
	// Started is the start of the target by its own clock; zero if unknown.
	Started time.Time
	// Lapsed says that the target's entry expired around an outage of the store.
	Lapsed bool
}

// Config holds the parameters of a Chooser.
type Config struct {
	// FreshAge is the age up to which a load report counts as current.
	FreshAge time.Duration
	// PollAge is the age from which a load report is renewed while requests wait.
	PollAge time.Duration
	// Transit is the time that a request takes to reach its target. A load report
	// received within that time of an attempt may not include it.
	Transit time.Duration
	// CrossDomainCost is the extra cost of a target in another domain, in typical service
	// times. It stands for the cost of traffic between domains.
	CrossDomainCost float64
	// ReportTTL is the age at which a load report expires. After that only the
	// attempts that the chooser recorded are counted.
	ReportTTL time.Duration
	// RejectionTTL is the time for which a target that does not report its load counts
	// as full after a rejection, unless it serves a request before that.
	RejectionTTL time.Duration
	// TrialPeriod is the minimum time between two requests in a service that try a
	// higher concurrency at a target; zero disables them.
	TrialPeriod time.Duration
	// MaxSlowness is the slowness up to which a target has capacity. A request keeps the
	// speed that it started with, so waiting is better than starting on a slow target.
	// MaxContendedSlowness is the limit where contention slows the request too.
	MaxSlowness          float64
	MaxContendedSlowness float64
	// MaxUnreportedSlowdown is the product of unreported slowdown and contention up to
	// which a target has capacity.
	MaxUnreportedSlowdown float64
	// LatencyRatioDecay is the time constant with which evidence of an unreported
	// slowdown decays.
	LatencyRatioDecay time.Duration
	// EjectAfter is the number of consecutive failures that eject a target.
	EjectAfter int
	// EjectTime is the duration of the first ejection; it doubles with each further
	// one, up to MaxEjectTime.
	EjectTime    time.Duration
	MaxEjectTime time.Duration
	// PauseBackoff is the time for which no host sends to a target that turned one away for
	// some time; it doubles with each further host, up to MaxPauseBackoff.
	PauseBackoff    time.Duration
	MaxPauseBackoff time.Duration
	// FailureCost is the extra cost of a target that always fails, in typical service
	// times.
	FailureCost float64
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		FreshAge: 8 * time.Millisecond, PollAge: 30 * time.Millisecond, Transit: 4 * time.Millisecond, CrossDomainCost: 0.15,
		ReportTTL: 2 * time.Second, RejectionTTL: 150 * time.Millisecond, TrialPeriod: 250 * time.Millisecond,
		MaxSlowness: 2.4, MaxContendedSlowness: 2, MaxUnreportedSlowdown: 2.8, LatencyRatioDecay: 3 * time.Second,
		EjectAfter: 3, EjectTime: 500 * time.Millisecond, MaxEjectTime: 4 * time.Second, FailureCost: 6,
		PauseBackoff: 50 * time.Millisecond, MaxPauseBackoff: 800 * time.Millisecond,
	}
}

// Result is the outcome of an attempt with regard to its target.
type Result int

// Results of an attempt.
const (
	// Served means that the target returned a response that is not a server error.
	Served Result = iota
	// Failed means an error that counts against the target.
	Failed
	// Rejected means that the target rejected the request before running it.
	Rejected
	// Cancelled means that the sender gave up. The time that the request ran is only a
	// lower bound of its service time.
	Cancelled
	// Lost means that the outcome was never reported, for example because the sending
	// host crashed. It says nothing about the target.
	Lost
	// Unreachable means that the connection could not be opened or went silent. It counts
	// as Failed unless another host has heard from the target since the attempt was sent:
	// then the link of the sending host is broken, and not the target.
	Unreachable
)

// attempt is a request in flight at a target.
type attempt struct {
	sentAt time.Time
	// expected is the predicted time until its end.
	expected time.Duration
	// suspect says that the host that sent it may be dead.
	suspect bool
	// choice is the choice that led to the attempt.
	choice Choice
}

// target is the state of one target.
type target struct {
	spec    Spec
	group   string
	profile *profile.Profile
	transit time.Duration
	load    Load
	// reportedAt is the time of load; zero when no load is known.
	reportedAt time.Time
	// rejectedAt is the time of the last rejection that came without a load report.
	rejectedAt time.Time
	// attempts are the requests in flight that this chooser recorded.
	attempts []attempt
	// surplusSince is the time since which every load report accounted for fewer requests
	// than attempts; zero if the last one did not.
	surplusSince time.Time
	// heardBy is the host that heard from the target last, at heardAt. othersHeardAt is the
	// last time at which another host did.
	heardBy                string
	heardAt, othersHeardAt time.Time
	// latencyRatio is a moving average of actual over expected time of the attempts, as
	// of latencyRatioAt. It exceeds 1 if the target is slower than it reports.
	latencyRatio   float64
	latencyRatioAt time.Time
	// consecutiveFailures counts failures since the last success, and failureRate is the
	// moving average of failures.
	consecutiveFailures int
	failureRate         float64
	// ejections counts the ejections since the last success.
	ejections    int
	ejectedUntil time.Time
	// turnedAway counts the hosts that the target turned away for some time since it last
	// served a request that was sent after that. It gets no request until backoffUntil, and
	// then one at a time.
	turnedAway   int
	backoffUntil time.Time
	// unresponsive says that the target did not respond to the last probe.
	unresponsive bool
	unhealthy    bool
	// cold is nil if the rate of cold targets of the service is not limited.
	cold *coldTarget
}

// sentSinceReport returns the number of attempts that are too recent for the last load
// report to include them.
func (t *target) sentSinceReport(transit time.Duration) int {
	n := 0
	for _, a := range t.attempts {
		if !a.sentAt.Add(transit).Before(t.reportedAt) {
			n++
		}
	}
	return n
}

// surplus returns the number of attempts for which the last load report does not account.
func (t *target) surplus() int {
	return len(t.attempts) - t.sentSinceReport(t.transit) - t.load.Running - t.load.Waiting
}

// dropSuspects drops suspect attempts, oldest first, as long as there are more attempts
// than the last load report accounts for: the target does not run the surplus any more.
func (t *target) dropSuspects() {
	t.dropSurplus(func(a attempt) bool { return a.suspect && a.sentAt.Add(t.transit).Before(t.reportedAt) })
}

// dropUnaccounted drops attempts, oldest first, for which no load report has accounted for
// surplusTime: they never reached the target, since the link between it and the host that sent
// them is broken, or their outcome was lost on the way. The host may wait for them much longer.
func (t *target) dropUnaccounted(now time.Time) {
	switch {
	case t.surplus() <= 0:
		t.surplusSince = time.Time{}
	case t.surplusSince.IsZero():
		t.surplusSince = now
	case now.Sub(t.surplusSince) >= surplusTime:
		t.dropSurplus(func(a attempt) bool { return a.sentAt.Before(t.surplusSince) })
	}
}

// surplusTime is the time after which an attempt that is missing in load reports is dropped.
// It exceeds the time that a request or an outcome takes to arrive.
const surplusTime = 60 * time.Millisecond

// dropSurplus drops attempts for which drop returns true, oldest first, as long as there is a
// surplus.
func (t *target) dropSurplus(drop func(a attempt) bool) {
	surplus := t.surplus()
	t.attempts = slices.DeleteFunc(t.attempts, func(a attempt) bool {
		if surplus <= 0 || !drop(a) {
			return false
		}
		surplus--
		return true
	})
}

// loadKnown reports whether there is a load report that has not expired.
func (t *target) loadKnown(now time.Time, cfg Config) bool {
	return !t.reportedAt.IsZero() && now.Sub(t.reportedAt) < cfg.ReportTTL
}

// slowness returns the slowness to expect now: the reported one, which tends to the
// service's mean as the report ages. It is 1 for services whose targets do not report
// load, since their typical service time already includes it.
func (t *target) slowness(now time.Time, cfg Config) float64 {
	switch {
	case t.loadKnown(now, cfg):
		return t.profile.Forecast(t.load.Slowness, now.Sub(t.reportedAt))
	case t.profile.ReportsLoad():
		return t.profile.MeanSlowness()
	}
	return 1
}

// unreportedSlowdown returns how many times longer attempts take than the target's load
// reports predict. Overdue attempts count before they end.
func (t *target) unreportedSlowdown(now time.Time, cfg Config) float64 {
	ratio := t.decayedLatencyRatio(now, cfg)
	for _, a := range t.attempts {
		if a.expected > 0 {
			ratio = max(ratio, float64(now.Sub(a.sentAt))/float64(a.expected))
		}
	}
	if ratio < latencyRatioTolerance {
		return 1
	}
	return ratio
}

// decayedLatencyRatio returns the latency ratio of the ended attempts, which tends to 1 as the
// last one ages.
func (t *target) decayedLatencyRatio(now time.Time, cfg Config) float64 {
	age := float64(now.Sub(t.latencyRatioAt)) / float64(cfg.LatencyRatioDecay)
	return 1 + max(0, t.latencyRatio-1)*math.Exp(-age)
}

// latencyRatioTolerance is the latency ratio below which a target is not considered slow:
// requests differ in size, so many take that much longer than expected.
const latencyRatioTolerance = 1.6

// updateLatencyRatio records how long an attempt took. A cancelled one would have taken
// longer, so it counts only if it raises the ratio.
func (t *target) updateLatencyRatio(now time.Time, cfg Config, a attempt, ended bool) {
	if a.expected <= 0 {
		return
	}
	ratio, previous := float64(now.Sub(a.sentAt))/float64(a.expected), t.decayedLatencyRatio(now, cfg)
	if !ended && ratio < max(previous, latencyRatioTolerance) {
		return
	}
	t.latencyRatio = previous + latencyRatioGain*(ratio-previous)
	t.latencyRatioAt = now
}

// latencyRatioGain is the weight of a new attempt in a target's latency ratio.
const latencyRatioGain = 0.4

// running returns the number of requests at the target, including those on their way.
func (t *target) running(now time.Time, cfg Config) int {
	if t.turnedAway > 0 && t.reportedAt.Before(t.backoffUntil) {
		// Hosts that were turned away may not probe it, so its load is no longer known.
		return t.sentAfterBackoff()
	}
	if t.loadKnown(now, cfg) {
		return t.load.Running + t.load.Waiting + t.sentSinceReport(t.transit)
	}
	if now.Sub(t.rejectedAt) < cfg.RejectionTTL {
		return max(t.slots(), len(t.attempts))
	}
	return len(t.attempts)
}

// incarnation returns the run of the target that is known.
func (t *target) incarnation() notice.Incarnation {
	return notice.NewIncarnation(t.spec.ID, t.spec.Started)
}

func (t *target) slots() int { return max(1, t.spec.Slots) }

// estimate predicts how a request would run at a target.
type estimate struct {
	// serviceTime and queueTime are the expected times of running and of queueing.
	serviceTime, queueTime time.Duration
	// cost is their sum plus the cost of distance and of likely failures.
	cost time.Duration
	// concurrency is the number of requests that would run at the target, this one
	// included.
	concurrency int
	// cold says that the target is still warming up.
	cold bool
	// hasCapacity says that the target would run the request at once, at a good speed
	// and without slowing others down.
	hasCapacity bool
	// trial says that the request would measure a concurrency that is one above the best
	// known one and has too few samples.
	trial bool
	// full says that all slots are in use.
	full bool
	// idle says that nothing runs at the target, and that the request would meet its objective
	// there although the target seems slower than it reports.
	idle bool
}

func (t *target) estimate(now time.Time, cfg Config, r Request) estimate {
	slots, running := t.slots(), t.running(now, cfg)
	e := estimate{concurrency: min(running, slots-1) + 1, cold: now.Before(t.spec.ColdUntil), full: running >= slots}
	reported, unreported, contention := t.slowness(now, cfg), t.unreportedSlowdown(now, cfg), t.profile.Slowdown(e.concurrency, slots)
	slowness := reported * unreported * contention
	if e.cold {
		slowness *= t.profile.ColdSlowdown()
	}
	e.serviceTime = time.Duration(float64(r.TypicalTime) * slowness)
	if e.full {
		e.queueTime = time.Duration(float64(e.serviceTime) * (float64(running-slots) + firstWaitShare) / float64(slots))
	}
	best := t.profile.BestConcurrency(slots)
	e.hasCapacity = running < best && unreported*contention <= cfg.MaxUnreportedSlowdown && t.fastEnough(cfg, reported, contention) && r.meetsObjective(now, e.serviceTime)
	if t.profile.ReportsLoad() && !t.loadKnown(now, cfg) {
		// Send one request at a time to a target that should report its load but has not.
		e.hasCapacity = running == 0 && t.consecutiveFailures == 0
	}
	e.idle = running == 0 && t.fastEnough(cfg, reported, contention) && !r.Objective.IsZero() && !now.Add(e.serviceTime).After(r.Objective)
	e.trial = running == best && !e.full && reported*unreported <= maxTrialSlowness && t.profile.NeedsTrial(now, e.concurrency, slots)
	e.cost = e.serviceTime + e.queueTime + time.Duration(t.penalty(cfg, r)*float64(r.TypicalTime))
	return e
}

// fastEnough reports whether a target of that slowness has capacity. The limit is lower
// where contention slows the request down too.
func (t *target) fastEnough(cfg Config, slowness, contention float64) bool {
	if contention > contendedSlowdown {
		return slowness <= cfg.MaxContendedSlowness
	}
	return slowness <= cfg.MaxSlowness
}

// contendedSlowdown is the slowdown by other requests above which a target counts as
// contended.
const contendedSlowdown = 1.2

// penalty returns the cost of distance, likely failures and bad health, in typical service
// times.
func (t *target) penalty(cfg Config, r Request) float64 {
	penalty := cfg.FailureCost * t.failureRate
	if t.spec.Domain != r.Domain {
		penalty += cfg.CrossDomainCost
	}
	if t.unresponsive {
		penalty += unresponsiveCost
	}
	if t.unhealthy {
		penalty += unhealthyCost
	}
	return penalty
}

// maxTrialSlowness is the slowness up to which a trial measures contention and not the
// slowness of the target itself.
const maxTrialSlowness = 1.25

const (
	// firstWaitShare is the share of a service time for which the first request in a
	// queue waits.
	firstWaitShare = 0.7
	// unresponsiveCost is the extra cost of a target that did not respond to the last
	// probe, in typical service times.
	unresponsiveCost = 8.0
	// unhealthyCost is the extra cost of a target that reports bad health, in typical
	// service times. Such reports can be wrong.
	unhealthyCost = 3.0
	// failureRateGain is the weight of a new result in the failure rate.
	failureRateGain = 0.25
)

// recordHeard records that a host got a response of the target.
func (t *target) recordHeard(now time.Time, host string) {
	if host != t.heardBy {
		t.othersHeardAt, t.heardBy = t.heardAt, host
	}
	t.heardAt = now
}

// heardByOther returns the last time at which a host other than the given one heard from the
// target; zero for never.
func (t *target) heardByOther(host string) time.Time {
	if host == t.heardBy {
		return t.othersHeardAt
	}
	return t.heardAt
}

// recordResult updates the failure statistics and ejects the target if needed.
func (t *target) recordResult(now time.Time, cfg Config, result Result) {
	switch result {
	case Cancelled, Lost:
		return
	case Served:
		t.consecutiveFailures, t.ejections = 0, 0
		t.failureRate -= failureRateGain * t.failureRate
		return
	case Failed, Rejected, Unreachable:
		t.consecutiveFailures++
		t.failureRate += failureRateGain * (1 - t.failureRate)
	}
	if t.consecutiveFailures >= cfg.EjectAfter {
		t.eject(now, cfg)
	}
}

// markFull records that the target rejected a request without reporting its load.
func (t *target) markFull(now time.Time, cfg Config) {
	t.rejectedAt = now
	if !t.loadKnown(now, cfg) {
		return
	}
	t.load.Running, t.load.Waiting, t.load.Slots = t.spec.Slots, t.spec.Slots, t.spec.Slots
	t.load.Slowness = max(1, t.load.Slowness)
	t.reportedAt = now
}

func (t *target) eject(now time.Time, cfg Config) {
	t.ejectedUntil = now.Add(min(cfg.MaxEjectTime, cfg.EjectTime<<min(t.ejections, maxEjectShift)))
	t.ejections++
	// A single failure after the ejection ejects the target again.
	t.consecutiveFailures = cfg.EjectAfter - 1
}

// maxEjectShift bounds the doubling of the ejection time, so that the shift does not
// overflow.
const maxEjectShift = 8
