package soak

// This file defines History, the record of a run, and Check, which verifies the guarantees
// of the load balancer against it.

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Attempt is a request as its caller observed it. Times count from the start of the run.
type Attempt struct {
	ID   string `json:"id"`
	Host int    `json:"host"`
	// Incarnation is the number of times that the host's process had been started.
	Incarnation int           `json:"incarnation"`
	Unsafe      bool          `json:"unsafe"`
	Start       time.Duration `json:"began-ns"`
	End         time.Duration `json:"ended-ns"`
	// Status is 0 if no complete response arrived; Error is the reason.
	Status int    `json:"status"`
	Error  string `json:"error"`
	Signed bool   `json:"signed"`
	Body   string `json:"body"`
	// Leaver is the target that said in the response that it leaves; empty for none.
	Leaver string `json:"leaver,omitempty"`
	// Route is the number of the route that a configuration probe requested; 0 for other
	// requests.
	Route int `json:"route"`
	// Late is set for requests on connections that are held open in a planned stop.
	Late bool `json:"late,omitempty"`
	// Timeout is that of the request, if it is not Bounds.Timeout. ServiceTime is the service time
	// that it asked for, if not the usual one.
	Timeout time.Duration `json:"timeout-ns,omitempty"`
	// Key is the key of a client account. BadKey is set if it was removed or unknown, or if there is none.
	Key    string `json:"key,omitempty"`
	BadKey bool   `json:"bad-key,omitempty"`
	// Limited is set for requests of the account with a quota.
	Limited bool `json:"limited,omitempty"`
	// Crashing is the path of a request that crashes targets; empty for others.
	Crashing    string        `json:"crashing,omitempty"`
	ServiceTime time.Duration `json:"service-time-ns,omitempty"`
}

// mayBeRefused reports whether hosts may refuse a request because of its account or because it crashes targets.
func (a Attempt) mayBeRefused() bool { return a.BadKey || a.Limited || a.Crashing != "" }

// TargetEvent is an event that a target recorded.
type TargetEvent struct {
	Target string
	Kind   platformtest.EventKind
	At     time.Duration
	ID     string
	// From is the host from which it arrived.
	From int
}

// Span is a period in which a fault or a planned disturbance affected a host.
type Span struct {
	Kind     Kind          `json:"kind"`
	Host     int           `json:"host"`
	From, To time.Duration `json:"-"`
}

// Version is a version of the configuration. It contains the numbered routes from
// Number-keptRoutes+1 to Number, without those below 1.
type Version struct {
	Number int
	// Written is the time at which the write was acknowledged.
	Written time.Duration
}

// History is the record of a run.
type History struct {
	Attempts     []Attempt
	TargetEvents []TargetEvent
	// Disturbances are the periods in which hosts were disturbed. Those caused by faults of
	// the store have host allHosts.
	Disturbances []Span
	Versions     []Version
	// DrainStarts maps a target to the time at which it started draining.
	DrainStarts map[string]time.Duration
	// Limits are the rate limits that targets named.
	Limits []*LimitSpan
	// Pauses are those that targets named, and LinkFaults the disturbances of links to targets.
	Pauses     []PauseSpan
	LinkFaults []LinkSpan
	// Breaks are the periods in which targets ended connections without responses.
	Breaks []LinkSpan
	// Stops maps processes that were stopped as planned to the times of their SIGTERM.
	Stops map[process]time.Duration
	// Hosts are the indexes of all hosts.
	Hosts []int
	// Cuts are the periods in which hosts were separated from all targets.
	Cuts []*CutSpan
	// Quota is that of quotaAccount.
	Quota Quota
	// Evacuations are those of failure domains, and Domains maps targets to theirs.
	Evacuations []EvacuationSpan
	Domains     map[string]string
	// Keys are those of all client accounts, and Headers the account headers that targets saw, by request.
	Keys    []*KeySpan
	Headers map[string][]platformtest.AccountHeaders
	// Departures are those of clients that left, and RunEnds the ends of runs on targets.
	Departures []Departure
	RunEnds    map[TargetRun]time.Duration
	Length     time.Duration
}

// LimitSpan is a period in which a target named a rate limit. To is 0 until it ends.
type LimitSpan struct {
	Target    string
	PerSecond float64
	From, To  time.Duration
}

// allHosts is the host of a Span that affects all hosts.
const allHosts = -1

// Bounds are the limits that Check verifies.
type Bounds struct {
	// Timeout is the timeout of a request. ResponseSlack is the time by which a response may
	// exceed it.
	Timeout, ResponseSlack time.Duration
	// DropSlack is the time for which a request may cross the end of its connection.
	DropSlack time.Duration
	// ConfigApply is the time within which a version is active on hosts that are connected
	// to the store. RollbackGrace is the time after which a host that used a version must not
	// use an older one.
	ConfigApply, RollbackGrace time.Duration
	// MaxSkew is the time by which ConfigApply is longer while watches of the store hear nothing
	// of changes or its history is dropped.
	MaxSkew time.Duration
	// Drain is the time after which a draining target gets no new requests.
	Drain time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the extra attempts (retries and hedges)
	// in RetryWindow: RetryRatio per request plus RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ProbesPerSecond bounds the load probes of a target.
	ProbesPerSecond float64
	// LimitNotice is the time from which the rate limit of a target must hold. In each
	// LimitWindow it gets at most LimitRatio times the limit, plus LimitSlack requests.
	LimitNotice, LimitWindow time.Duration
	LimitRatio, LimitSlack   float64
	// CutNotice is the time from which hosts that are separated from all targets must serve at
	// least MinCutRatio times as large a share of their requests as the others, or fail at most
	// CutSlack requests and CutShare of all.
	CutNotice          time.Duration
	MinCutRatio        float64
	CutSlack, CutShare float64
	// Leaving is the time after which a host that passed on that a target leaves sends it no new
	// requests.
	Leaving time.Duration
	// PauseNotice is the time from which a pause must hold, and InPause the number of requests
	// of a host that a target may get in one.
	PauseNotice time.Duration
	InPause     int
	// StableWindow is the time before a request from which on nothing unplanned may disturb its host
	// for it to be judged by a planned stop of that host, with a grace period of Grace. The end of
	// that is no reason to break off requests sent later than StopNotice after the SIGTERM.
	// TimeoutMargin is the time by which a host may respond before the timeout.
	StableWindow, StopNotice, Grace, TimeoutMargin time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack bound the requests of an account with a quota.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
	// Evacuate is the time after which an evacuated domain gets no new requests.
	Evacuate time.Duration
	// Revoke is the time after which no new request with a removed key runs.
	Revoke time.Duration
	// FreshAge is the time within which a host learns of a new key, or notices that its view is old.
	// RefusalSlack is the number of refusals by hosts with an old view in one outage of the store.
	// WatchTime is the time for which the store answers watches that began before an outage.
	FreshAge, WatchTime time.Duration
	RefusalSlack        int
	// LateCrashes is the number of requests that crash targets which may run once hosts must know them, and
	// Departure the time after which targets must have been told that a client has left.
	LateCrashes int
	Departure   time.Duration
	// MinServedShare is the minimum share of requests that are served after all faults ended.
	MinServedShare float64
}

// Violation is a violated guarantee.
type Violation struct {
	Guarantee string        `json:"promise"`
	At        time.Duration `json:"at-ns"`
	Request   string        `json:"request"`
	Text      string        `json:"text"`
}

// keptRoutes is the number of numbered routes in a version.
const keptRoutes = 4

// Check returns the violations of the guarantees in a history.
func Check(h *History, b Bounds) []Violation {
	c := newChecker(h, b)
	for _, a := range h.Attempts {
		c.checkResponse(a)
		c.checkRuns(a)
		c.checkDropped(a)
		c.checkDuration(a)
	}
	c.checkStops()
	c.checkConfiguration()
	c.checkDraining()
	c.checkBudgets()
	c.checkLimits()
	c.checkLeaving()
	c.checkPauses()
	c.checkCuts()
	c.checkKeys()
	c.checkEvacuations()
	c.checkCrashing()
	c.checkDepartures()
	c.checkQuota()
	c.checkRecovery()
	return c.violations
}

// newChecker returns a checker of a history.
func newChecker(h *History, b Bounds) *checker {
	c := &checker{h: h, b: b, events: map[string][]TargetEvent{}}
	for _, e := range h.TargetEvents {
		if e.Kind != platformtest.Probed {
			c.events[e.ID] = append(c.events[e.ID], e)
		}
	}
	return c
}

type checker struct {
	h *History
	b Bounds
	// events maps request IDs to the events of targets, without load probes.
	events     map[string][]TargetEvent
	violations []Violation
}

func (c *checker) report(guarantee string, at time.Duration, request, format string, args ...any) {
	c.violations = append(c.violations, Violation{Guarantee: guarantee, At: at, Request: request, Text: fmt.Sprintf(format, args...)})
}

// disturbed reports whether a disturbance of one of the kinds, or of any kind if none is
// given, affected the host between from and to.
func (c *checker) disturbed(host int, from, to time.Duration, kinds ...Kind) bool {
	return slices.ContainsFunc(c.h.Disturbances, func(s Span) bool {
		return (s.Host == host || s.Host == allHosts) && s.From <= to && s.To >= from && (len(kinds) == 0 || slices.Contains(kinds, s.Kind))
	})
}

// checkResponse verifies that a response with status 200 is complete, signed by a target
// and belongs to the request.
func (c *checker) checkResponse(a Attempt) {
	if a.Status != http.StatusOK {
		return
	}
	size := 0
	if a.Unsafe {
		size = len(unsafeBody)
	}
	if !a.Signed || !strings.HasSuffix(a.Body, fmt.Sprintf(" for %s ran %d bytes", a.ID, size)) {
		c.report("complete response to the request", a.End, a.ID, "signed %t, body %q", a.Signed, a.Body)
	}
}

// notRunStatuses are the statuses which guarantee that the request has not run and will
// not run.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// runs returns the events of targets that started to run a request.
func (c *checker) runs(a Attempt) []TargetEvent {
	return slices.DeleteFunc(slices.Clone(c.events[a.ID]), func(e TargetEvent) bool { return e.Kind != platformtest.Started })
}

// checkRuns verifies that an unsafe request runs at most once, and that a request with one
// of notRunStatuses never runs.
func (c *checker) checkRuns(a Attempt) {
	runs := c.runs(a)
	if a.Unsafe && len(runs) > 1 {
		c.report("at most once", runs[1].At, a.ID, "ran %d times: on %s, then on %s", len(runs), runs[0].Target, runs[1].Target)
	}
	if len(runs) > 0 && slices.Contains(notRunStatuses, a.Status) {
		c.report("no run after a not-run status", runs[0].At, a.ID, "status %d at %s, started at %s on %s", a.Status, a.End, runs[0].At, runs[0].Target)
	}
}

// checkDropped verifies that a request that started to run, or that its host had for longer
// than DropSlack, gets a response, even if its host is stopped or reloaded. It ignores signed
// responses, since those were interrupted by the target.
func (c *checker) checkDropped(a Attempt) {
	if a.Status != 0 || a.Signed || c.disturbed(a.Host, a.Start, a.End, HostKill, HostPause) {
		return
	}
	if runs := c.runs(a); len(runs) > 0 {
		c.report("response to every started request", a.End, a.ID, "%s; started at %s on %s", a.Error, runs[0].At, runs[0].Target)
	} else if a.End-a.Start > c.b.DropSlack {
		c.report("response to every accepted request", a.End, a.ID, "%s after %s", a.Error, a.End-a.Start)
	}
}

// timeout returns the timeout of a request.
func (c *checker) timeout(a Attempt) time.Duration { return cmp.Or(a.Timeout, c.b.Timeout) }

// checkDuration verifies that a caller gets a response within the timeout.
func (c *checker) checkDuration(a Attempt) {
	if a.End-a.Start > c.timeout(a)+c.b.ResponseSlack && !c.disturbed(a.Host, a.Start, a.End, HostKill, HostPause) {
		c.report("response within the timeout", a.End, a.ID, "took %s: status %d %s", a.End-a.Start, a.Status, a.Error)
	}
}

// connected reports whether a host ran and was connected to the store for ConfigApply
// before at. It ignores faults that must not delay the activation of a version.
func (c *checker) connected(host int, at time.Duration) bool {
	from := at - c.b.ConfigApply
	for _, s := range c.h.Disturbances {
		harmless := s.Kind == HostReload || s.Kind == StoreSuppressEvents || s.Kind == StoreCompact || s.Kind == StoreDropResponses || s.Kind == StoreDelayWrites || s.Kind == OlderBuild
		if (s.Host == host || s.Host == allHosts) && !harmless && s.From <= at && s.To >= from {
			return false
		}
	}
	return true
}

// process identifies one process of a host.
type process struct{ host, incarnation int }

// checkConfiguration verifies that hosts activate versions in time and do not go back to
// older ones.
func (c *checker) checkConfiguration() {
	observed := map[process][]Attempt{}
	probes := slices.DeleteFunc(slices.Clone(c.h.Attempts), func(a Attempt) bool {
		return a.Route == 0 || a.Status == 0 || a.Status == http.StatusServiceUnavailable
	})
	slices.SortFunc(probes, func(a, b Attempt) int { return int(a.Start - b.Start) })
	for _, a := range probes {
		p := process{a.Host, a.Incarnation}
		oldest, newest := c.allowedVersions(a)
		oldest = max(oldest, c.provenVersion(a, observed[p]))
		if a.Status != http.StatusNotFound {
			observed[p] = append(observed[p], a)
		}
		if !consistent(a, oldest, newest) {
			c.report("active configuration", a.Start, a.ID, "host %d responded with status %d for route %d; versions %d to %d may be active", a.Host, a.Status, a.Route, oldest, newest)
		}
	}
}

// allowedVersions returns the oldest and the newest version that may be active when a host
// responds to a probe.
func (c *checker) allowedVersions(a Attempt) (oldest, newest int) {
	connected, apply := c.connected(a.Host, a.Start), c.b.ConfigApply
	if c.disturbed(a.Host, a.Start-c.b.ConfigApply, a.Start, StoreSuppressEvents, StoreCompact) {
		apply += c.b.MaxSkew
	}
	for _, v := range c.h.Versions {
		if v.Written <= a.End {
			newest = v.Number
		}
		if connected && v.Written <= a.Start-apply {
			oldest = v.Number
		}
	}
	return oldest, newest
}

// provenVersion returns the newest version that earlier responses prove to have been
// active in the same process. It is 0 if the process was paused in the meantime.
func (c *checker) provenVersion(a Attempt, observed []Attempt) int {
	version := 0
	if c.disturbed(a.Host, a.Start-c.b.RollbackGrace, a.End, HostPause) {
		return version
	}
	for _, earlier := range observed {
		if earlier.End+c.b.RollbackGrace < a.Start {
			version = max(version, earlier.Route)
		}
	}
	return version
}

// consistent reports whether the response to a probe matches any version from oldest to
// newest.
func consistent(a Attempt, oldest, newest int) bool {
	for v := oldest; v <= newest; v++ {
		hasRoute := a.Route <= v && a.Route > v-keptRoutes
		if hasRoute == (a.Status != http.StatusNotFound) {
			return true
		}
	}
	return false
}

// checkDraining verifies that a draining target gets no new requests.
func (c *checker) checkDraining() {
	attempts := map[string]Attempt{}
	for _, a := range c.h.Attempts {
		attempts[a.ID] = a
	}
	for _, e := range c.h.TargetEvents {
		drainStarted, ok := c.h.DrainStarts[e.Target]
		if !ok || e.Kind == platformtest.Probed || e.At < drainStarted+c.b.Drain {
			continue
		}
		a := attempts[e.ID]
		if c.connected(a.Host, e.At) && a.Start > drainStarted+c.b.Drain {
			c.report("no new requests to draining targets", e.At, e.ID, "%s started draining at %s; sent by host %d", e.Target, drainStarted, a.Host)
		}
	}
}

// checkLimits verifies that targets get no more requests than their rate limits allow. It
// ignores requests of hosts that were killed, stopped or paused. It returns the number of requests
// that were judged.
func (c *checker) checkLimits() (judged int) {
	hosts := map[string]int{}
	for _, a := range c.h.Attempts {
		hosts[a.ID] = a.Host
	}
	for _, span := range c.h.Limits {
		times := c.limitedRequests(span, hosts)
		judged += len(times)
		allowed := c.b.LimitRatio*span.PerSecond*c.b.LimitWindow.Seconds() + c.b.LimitSlack
		for i, at := range times {
			if n := i + 1 - countBefore(times, at-c.b.LimitWindow); float64(n) > allowed {
				c.report("rate limit of a target", at, "", "%s got %d requests in %s at %g a second, named at %s", span.Target, n, c.b.LimitWindow, span.PerSecond, span.From)
				break
			}
		}
	}
	return judged
}

// limitedRequests returns the sorted times of the requests that a target got while its rate
// limit had to hold. hosts maps request IDs to hosts.
func (c *checker) limitedRequests(span *LimitSpan, hosts map[string]int) []time.Duration {
	var times []time.Duration
	for _, e := range c.h.TargetEvents {
		if e.Target != span.Target || e.Kind == platformtest.Probed || e.At < span.From+c.b.LimitNotice || span.To != 0 && e.At > span.To {
			continue
		}
		if host, ok := hosts[e.ID]; ok && !c.excusedFromLimits(host, e.At) {
			times = append(times, e.At)
		}
	}
	slices.Sort(times)
	return times
}

// excusedFromLimits reports whether a host was disturbed so that it may not know the limits
// of targets.
func (c *checker) excusedFromLimits(host int, at time.Duration) bool {
	return c.disturbed(host, at-c.b.LimitNotice, at, HostKill, HostStop, HostPause)
}

// checkBudgets verifies that the extra attempts and the load probes of all hosts together
// stay within their budgets.
func (c *checker) checkBudgets() {
	var first, extra []time.Duration
	for _, list := range c.events {
		slices.SortFunc(list, func(a, b TargetEvent) int { return int(a.At - b.At) })
		for i, e := range list {
			if i == 0 {
				first = append(first, e.At)
			} else {
				extra = append(extra, e.At)
			}
		}
	}
	slices.Sort(first)
	slices.Sort(extra)
	for i, at := range extra {
		from := at - c.b.RetryWindow
		extraAttempts := i + 1 - countBefore(extra, from)
		requests := countBefore(first, at) - countBefore(first, from)
		if limit := c.b.RetryRatio*float64(requests) + c.b.RetrySlack; float64(extraAttempts) > limit {
			c.report("retry budget", at, "", "%d extra attempts for %d requests in %s", extraAttempts, requests, c.b.RetryWindow)
			break
		}
	}
	c.checkProbeBudget()
}

// countBefore returns the number of sorted times before t.
func countBefore(times []time.Duration, t time.Duration) int {
	n, _ := slices.BinarySearch(times, t)
	return n
}

// checkProbeBudget verifies the number of load probes of each target over the whole run.
func (c *checker) checkProbeBudget() {
	probes := map[string]int{}
	for _, e := range c.h.TargetEvents {
		if e.Kind == platformtest.Probed {
			probes[e.Target]++
		}
	}
	for target, n := range probes {
		if float64(n) > c.b.ProbesPerSecond*c.h.Length.Seconds() {
			c.report("load probe budget", c.h.Length, "", "%s got %d load probes in %s", target, n, c.h.Length)
		}
	}
}

// checkRecovery verifies that the fleet serves requests again after all faults ended.
func (c *checker) checkRecovery() {
	const settleTime = 3 * time.Second
	served, total := 0, 0
	for _, a := range c.h.Attempts {
		if a.Route == 0 && !a.Late && !a.mayBeRefused() && a.Start > c.h.Length-recoveryTime+settleTime && a.End < c.h.Length {
			total++
			if a.Status == http.StatusOK {
				served++
			}
		}
	}
	if total == 0 || float64(served) < c.b.MinServedShare*float64(total) {
		c.report("recovery after the faults", c.h.Length, "", "%d of %d requests were served", served, total)
	}
}
