package soak

// This file defines History, what callers and targets saw, and Check, which holds it
// against the promises.

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Attempt is a request as its caller saw it. Times count from the start of the run.
type Attempt struct {
	ID   string `json:"id"`
	Host int    `json:"host"`
	// Incarnation counts the starts of the host's process.
	Incarnation int           `json:"incarnation"`
	Unsafe      bool          `json:"unsafe"`
	Began       time.Duration `json:"began-ns"`
	Ended       time.Duration `json:"ended-ns"`
	// Status is 0 when no whole answer came; Error says why.
	Status int    `json:"status"`
	Error  string `json:"error"`
	Signed bool   `json:"signed"`
	Body   string `json:"body"`
	// Route is the number of the route asked for to see which configuration is in
	// force; 0 for other requests.
	Route int `json:"route"`
}

// Sight is what a target saw.
type Sight struct {
	Target string
	Kind   platformtest.EventKind
	At     time.Duration
	ID     string
}

// Span is a time in which something was wrong with a host, or planned.
type Span struct {
	Kind     Kind          `json:"kind"`
	Host     int           `json:"host"`
	From, To time.Duration `json:"-"`
}

// Version is a version of the configuration. It has the last keptRoutes routes up to
// its number.
type Version struct {
	Number int
	// Written is the time of its acknowledgement.
	Written time.Duration
}

// History is all that was seen in a run.
type History struct {
	Attempts []Attempt
	Sights   []Sight
	// Trouble lists spans of hosts; those of the store have host everyHost.
	Trouble  []Span
	Versions []Version
	// Left is the time at which a target reported that it leaves.
	Left   map[string]time.Duration
	Length time.Duration
}

// everyHost is the host of a span that concerns all.
const everyHost = -1

// Bounds are the figures of the promises.
type Bounds struct {
	// Timeout is the time within which a request has its answer, and Held that which
	// may pass beyond it.
	Timeout, Held time.Duration
	// ConfigApply is the time within which a version is in force on hosts in touch
	// with the store, and Rollback that after which a host that showed a version may
	// not act by an older one.
	ConfigApply, Rollback time.Duration
	// Drain is the time after which a target that leaves gets no new work.
	Drain time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the sends beyond the first.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// AsksPerSecond bounds the questions to a target.
	AsksPerSecond float64
	// Recovered is the share of the requests that is served once all faults are over.
	Recovered float64
}

// Violation is a promise that was broken.
type Violation struct {
	Promise string        `json:"promise"`
	At      time.Duration `json:"at-ns"`
	Request string        `json:"request"`
	Text    string        `json:"text"`
}

// keptRoutes is the number of routes that a version keeps.
const keptRoutes = 4

// Check returns the promises that a history breaks.
func Check(h *History, b Bounds) []Violation {
	c := &checker{h: h, b: b, sights: map[string][]Sight{}}
	for _, s := range h.Sights {
		if s.Kind != platformtest.Asked {
			c.sights[s.ID] = append(c.sights[s.ID], s)
		}
	}
	for _, a := range h.Attempts {
		c.answer(a)
		c.outcome(a)
		c.cut(a)
		c.wait(a)
	}
	c.configuration()
	c.leaving()
	c.budgets()
	c.recovery()
	return c.found
}

type checker struct {
	h      *History
	b      Bounds
	sights map[string][]Sight
	found  []Violation
}

func (c *checker) report(promise string, at time.Duration, request, format string, args ...any) {
	c.found = append(c.found, Violation{Promise: promise, At: at, Request: request, Text: fmt.Sprintf(format, args...)})
}

// disturbed reports whether one of the kinds, or any if none is given, concerned the
// host between two times.
func (c *checker) disturbed(host int, from, to time.Duration, kinds ...Kind) bool {
	return slices.ContainsFunc(c.h.Trouble, func(s Span) bool {
		return (s.Host == host || s.Host == everyHost) && s.From <= to && s.To >= from && (len(kinds) == 0 || slices.Contains(kinds, s.Kind))
	})
}

// answer: an answer with success is whole, signed and that of the request.
func (c *checker) answer(a Attempt) {
	if a.Status != http.StatusOK {
		return
	}
	size := 0
	if a.Unsafe {
		size = len(unsafeBody)
	}
	if !a.Signed || !strings.HasSuffix(a.Body, fmt.Sprintf(" for %s ran %d bytes", a.ID, size)) {
		c.report("own whole answer", a.Ended, a.ID, "signed %t, body %q", a.Signed, a.Body)
	}
}

// promisesNotRun are the statuses which say that a request has not run.
var promisesNotRun = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// ran returns where and when a request began to run.
func (c *checker) ran(a Attempt) []Sight {
	return slices.DeleteFunc(slices.Clone(c.sights[a.ID]), func(s Sight) bool { return s.Kind != platformtest.Ran })
}

// outcome: an unsafe request runs at most once, and one that is told not to have run
// never does.
func (c *checker) outcome(a Attempt) {
	ran := c.ran(a)
	if a.Unsafe && len(ran) > 1 {
		c.report("at most once", ran[1].At, a.ID, "ran %d times: %s, then %s", len(ran), ran[0].Target, ran[1].Target)
	}
	if len(ran) > 0 && slices.Contains(promisesNotRun, a.Status) {
		c.report("true not-run", ran[0].At, a.ID, "status %d at %s, ran at %s on %s", a.Status, a.Ended, ran[0].At, ran[0].Target)
	}
}

// cut: a request that began to run has an answer, also from a host that is stopped or
// reloaded. An answer that had begun was cut by its target.
func (c *checker) cut(a Attempt) {
	if a.Status != 0 || a.Signed || c.disturbed(a.Host, a.Began, a.Ended, HostKill, HostPause) {
		return
	}
	if ran := c.ran(a); len(ran) > 0 {
		c.report("nothing cut", a.Ended, a.ID, "%s; ran at %s on %s", a.Error, ran[0].At, ran[0].Target)
	}
}

// wait: a caller has an answer within the timeout.
func (c *checker) wait(a Attempt) {
	if a.Ended-a.Began > c.b.Timeout+c.b.Held && !c.disturbed(a.Host, a.Began, a.Ended, HostKill, HostPause) {
		c.report("prompt answer", a.Ended, a.ID, "took %s: status %d %s", a.Ended-a.Began, a.Status, a.Error)
	}
}

// inTouch reports whether a host could hear the store for as long as a version may take
// to be in force.
func (c *checker) inTouch(host int, at time.Duration) bool {
	from := at - c.b.ConfigApply
	for _, s := range c.h.Trouble {
		planned := s.Kind == HostReload || s.Kind == StoreSilent || s.Kind == StoreCompact || s.Kind == StoreLost || s.Kind == StoreLate
		if (s.Host == host || s.Host == everyHost) && !planned && s.From <= at && s.To >= from {
			return false
		}
	}
	return true
}

// process is one run of a host's program.
type process struct{ host, incarnation int }

// configuration: a version is in force in time, and no host goes back to an older one.
func (c *checker) configuration() {
	shown := map[process][]Attempt{}
	probes := slices.DeleteFunc(slices.Clone(c.h.Attempts), func(a Attempt) bool {
		return a.Route == 0 || a.Status == 0 || a.Status == http.StatusServiceUnavailable
	})
	slices.SortFunc(probes, func(a, b Attempt) int { return int(a.Began - b.Began) })
	for _, a := range probes {
		p := process{a.Host, a.Incarnation}
		oldest, newest := c.mayBeInForce(a)
		oldest = max(oldest, c.shownBefore(a, shown[p]))
		if a.Status != http.StatusNotFound {
			shown[p] = append(shown[p], a)
		}
		if !allowed(a, oldest, newest) {
			c.report("configuration in force", a.Began, a.ID, "host %d answered %d for route %d; versions %d to %d may be in force", a.Host, a.Status, a.Route, oldest, newest)
		}
	}
}

// mayBeInForce returns the oldest and the newest version by which a probe may be
// answered.
func (c *checker) mayBeInForce(a Attempt) (oldest, newest int) {
	inTouch := c.inTouch(a.Host, a.Began)
	for _, v := range c.h.Versions {
		if v.Written <= a.Ended {
			newest = v.Number
		}
		if inTouch && v.Written <= a.Began-c.b.ConfigApply {
			oldest = v.Number
		}
	}
	return oldest, newest
}

// shownBefore returns the newest version that earlier answers of the same process gave
// away; 0 for a process that was paused meanwhile.
func (c *checker) shownBefore(a Attempt, shown []Attempt) int {
	version := 0
	if c.disturbed(a.Host, a.Began-c.b.Rollback, a.Ended, HostPause) {
		return version
	}
	for _, before := range shown {
		if before.Ended+c.b.Rollback < a.Began {
			version = max(version, before.Route)
		}
	}
	return version
}

// allowed reports whether a version between two allows the answer to a probe.
func allowed(a Attempt, oldest, newest int) bool {
	for v := oldest; v <= newest; v++ {
		has := a.Route <= v && a.Route > v-keptRoutes
		if has == (a.Status != http.StatusNotFound) {
			return true
		}
	}
	return false
}

// leaving: a target that leaves gets no new work.
func (c *checker) leaving() {
	hosts := map[string]Attempt{}
	for _, a := range c.h.Attempts {
		hosts[a.ID] = a
	}
	for _, s := range c.h.Sights {
		left, ok := c.h.Left[s.Target]
		if !ok || s.Kind == platformtest.Asked || s.At < left+c.b.Drain {
			continue
		}
		a := hosts[s.ID]
		if c.inTouch(a.Host, s.At) && a.Began > left+c.b.Drain {
			c.report("no work for a target that leaves", s.At, s.ID, "%s left at %s; host %d", s.Target, left, a.Host)
		}
	}
}

// budgets: sends beyond the first and questions stay within their budgets, over all
// hosts together.
func (c *checker) budgets() {
	var first, again []time.Duration
	for _, list := range c.sights {
		slices.SortFunc(list, func(a, b Sight) int { return int(a.At - b.At) })
		for i, s := range list {
			if i == 0 {
				first = append(first, s.At)
			} else {
				again = append(again, s.At)
			}
		}
	}
	slices.Sort(first)
	slices.Sort(again)
	for i, at := range again {
		from := at - c.b.RetryWindow
		sends := i + 1 - before(again, from)
		requests := before(first, at) - before(first, from)
		if limit := c.b.RetryRatio*float64(requests) + c.b.RetrySlack; float64(sends) > limit {
			c.report("retry budget", at, "", "%d sends beyond the first for %d requests in %s", sends, requests, c.b.RetryWindow)
			break
		}
	}
	c.questions()
}

// before returns how many of the sorted times lie before t.
func before(times []time.Duration, t time.Duration) int {
	n, _ := slices.BinarySearch(times, t)
	return n
}

// questions: targets are asked within the budget, which holds over the whole run.
func (c *checker) questions() {
	asked := map[string]int{}
	for _, s := range c.h.Sights {
		if s.Kind == platformtest.Asked {
			asked[s.Target]++
		}
	}
	for target, n := range asked {
		if float64(n) > c.b.AsksPerSecond*c.h.Length.Seconds() {
			c.report("questions to targets", c.h.Length, "", "%s was asked %d times in %s", target, n, c.h.Length)
		}
	}
}

// recovery: once all faults are over the fleet serves.
func (c *checker) recovery() {
	const settle = 3 * time.Second
	served, all := 0, 0
	for _, a := range c.h.Attempts {
		if a.Route == 0 && a.Began > c.h.Length-quiet+settle && a.Ended < c.h.Length {
			all++
			if a.Status == http.StatusOK {
				served++
			}
		}
	}
	if all == 0 || float64(served) < c.b.Recovered*float64(all) {
		c.report("service after the faults", c.h.Length, "", "%d of %d requests were served", served, all)
	}
}
