package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const typicalTime = 100 * time.Millisecond

// r is the request for which most tests choose a target.
var r = Request{Domain: "d", TypicalTime: typicalTime}

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// chooser returns a chooser with one target per load, named a, b, and so on.
func chooser(loads ...Load) *Chooser {
	c := NewChooser(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	specs := make([]Spec, 0, len(loads))
	for i, l := range loads {
		specs = append(specs, Spec{ID: string(rune('a' + i)), Domain: "d", Slots: l.Slots})
	}
	c.SetTargets(map[string][]Spec{"s": specs})
	for i, l := range loads {
		c.RecordLoad(start, string(rune('a'+i)), l)
	}
	return c
}

func TestBest(t *testing.T) {
	tests := []struct {
		name        string
		loads       []Load
		setup       func(c *Chooser)
		want        string
		hasCapacity bool
	}{
		{name: "an idle target is preferred to a busy one", loads: []Load{{Running: 1, Slots: 2, Slowness: 1}, {Slots: 2, Slowness: 1}}, want: "b", hasCapacity: true},
		{name: "a fast busy target is preferred to a slow idle one", loads: []Load{{Running: 1, Slots: 2, Slowness: 1}, {Slots: 2, Slowness: 4}}, want: "a", hasCapacity: true},
		{name: "a slow target has no capacity", loads: []Load{{Slots: 2, Slowness: 4}}, want: "a"},
		{name: "a target with two of three slots in use has no capacity", loads: []Load{{Running: 2, Slots: 3, Slowness: 1}}, want: "a"},
		{name: "a target with one of two slots in use has capacity", loads: []Load{{Running: 1, Slots: 2, Slowness: 1}}, want: "a", hasCapacity: true},
		{name: "attempts since the last load report count", loads: []Load{{Slots: 3, Slowness: 1}, {Running: 1, Slots: 3, Slowness: 1}}, setup: func(c *Chooser) {
			c.RecordAttempt(at(1), Choice{ID: "a", ServiceTime: typicalTime})
			c.RecordAttempt(at(1), Choice{ID: "a", ServiceTime: typicalTime})
		}, want: "b", hasCapacity: true},
		{name: "a target that rejected a request is full", loads: []Load{{Slots: 2, Slowness: 1}}, setup: func(c *Chooser) {
			c.RecordAttempt(at(1), Choice{ID: "a", ServiceTime: typicalTime})
			c.Done(at(2), at(1), "a", Rejected)
		}, want: "a"},
		{name: "a target that failed is avoided", loads: []Load{{Slots: 2, Slowness: 1}, {Running: 1, Slots: 2, Slowness: 1}}, setup: func(c *Chooser) {
			c.RecordAttempt(at(1), Choice{ID: "a", ServiceTime: typicalTime})
			c.Done(at(2), at(1), "a", Failed)
		}, want: "b", hasCapacity: true},
		{name: "an unreported slowdown is learned", loads: []Load{{Slots: 2, Slowness: 1}, {Running: 1, Slots: 2, Slowness: 1}}, setup: func(c *Chooser) {
			c.RecordAttempt(at(-900), Choice{ID: "a", ServiceTime: typicalTime})
			c.Done(at(0), at(-900), "a", Served)
		}, want: "b", hasCapacity: true},
		{name: "an unresponsive target is avoided", loads: []Load{{Slots: 2, Slowness: 1}, {Running: 1, Slots: 2, Slowness: 1}}, setup: func(c *Chooser) { c.MarkUnresponsive("a") }, want: "b", hasCapacity: true},
		{name: "a target that is gone is avoided", loads: []Load{{Slots: 2, Slowness: 1}, {Running: 1, Slots: 2, Slowness: 1}}, setup: func(c *Chooser) { c.MarkGone(at(1), "a") }, want: "b", hasCapacity: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := chooser(tt.loads...)
			if tt.setup != nil {
				tt.setup(c)
			}
			got, ok := c.Best(at(3), "s", r)
			require.True(t, ok)
			require.Equal(t, tt.want, got.ID)
			require.Equal(t, tt.hasCapacity, got.HasCapacity)
		})
	}
}

// Guards against losing the state of a target that moves to another group: the group that
// it left must not remove it from the index.
func TestTargetsKeepTheirStateWhenTheyChangeGroups(t *testing.T) {
	for range 20 {
		c := chooser(Load{Running: 2, Slots: 2, Slowness: 1}, Load{Slots: 2, Slowness: 1})
		c.SetTargets(map[string][]Spec{"s": {{ID: "b", Slots: 2}}, "other": {{ID: "a", Slots: 2}}})
		got, ok := c.Best(at(1), "other", r)
		require.True(t, ok)
		require.True(t, got.LoadKnown)
		require.False(t, got.HasCapacity)
		c.RecordLoad(at(2), "a", Load{Slots: 2, Slowness: 1})
		got, _ = c.Best(at(3), "other", r)
		require.True(t, got.HasCapacity, "load reports after the move are recorded")
	}
}

func TestTargetWithUnknownLoadGetsOneRequestAtATime(t *testing.T) {
	c := NewChooser(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	c.SetTargets(map[string][]Spec{"s": {{ID: "a", Slots: 8}}})
	got, _ := c.Best(start, "s", r)
	require.True(t, got.HasCapacity)
	c.RecordAttempt(start, Choice{ID: "a", ServiceTime: typicalTime})
	got, _ = c.Best(start, "s", r)
	require.False(t, got.HasCapacity)
}

func TestLapsedTargetsAreUsedOnlyWhenMostAreLapsed(t *testing.T) {
	tests := []struct {
		name   string
		lapsed int
		want   int
	}{
		{name: "one", lapsed: 1, want: 3},
		{name: "all", lapsed: 4, want: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewChooser(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
			specs := make([]Spec, 0, 4)
			for i := range 4 {
				specs = append(specs, Spec{ID: string(rune('a' + i)), Slots: 2, Lapsed: i < tt.lapsed})
			}
			c.SetTargets(map[string][]Spec{"s": specs})
			require.Len(t, c.ProbeCandidates(start, "s", r, 9), tt.want)
		})
	}
}

func TestTargetIsEjectedAfterConsecutiveFailures(t *testing.T) {
	c := chooser(Load{Slots: 2, Slowness: 1}, Load{Running: 2, Waiting: 4, Slots: 2, Slowness: 4})
	for n := range 3 {
		c.RecordAttempt(at(n), Choice{ID: "a", ServiceTime: typicalTime})
		c.Done(at(n), at(n), "a", Failed)
	}
	got, _ := c.Best(at(5), "s", r)
	require.Equal(t, "b", got.ID)
	got, ok := c.Best(at(5), "s", Request{Domain: "d", Avoid: []string{"b"}, TypicalTime: typicalTime})
	require.True(t, ok, "ejected targets and those to avoid are used when there is no other")
	require.NotEmpty(t, got.ID)
	require.NotEmpty(t, c.ProbeCandidates(at(600), "s", Request{Domain: "d", Avoid: []string{"b"}}, 3), "the ejection is over")
}

func TestWorthHedging(t *testing.T) {
	other := Choice{HasCapacity: true, ServiceTime: 100 * time.Millisecond}
	tests := []struct {
		name      string
		now       int
		objective int
		other     Choice
		want      bool
	}{
		{name: "meets the objective", now: 150, objective: 300, other: other, want: true},
		{name: "would miss the objective too", now: 250, objective: 300, other: other},
		{name: "past the objective, the first attempt may hang", now: 400, objective: 300, other: other, want: true},
		{name: "past the deadline", now: 950, objective: 300, other: other},
		{name: "no capacity", now: 150, objective: 300, other: Choice{ServiceTime: 100 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, WorthHedging(at(tt.now), at(tt.objective), at(1000), tt.other))
		})
	}
}

// A host crashes with requests in flight at two targets, so their results are never reported.
// The targets stop running them, which their load reports show.
func TestTargetsAreReusedAfterTheSendingHostCrashes(t *testing.T) {
	c := chooser(Load{Slots: 3, Slowness: 1}, Load{Slots: 3, Slowness: 1})
	for _, id := range []string{"a", "b"} {
		c.RecordAttempt(at(1), Choice{ID: id, ServiceTime: typicalTime})
		c.RecordAttempt(at(2), Choice{ID: id, ServiceTime: typicalTime})
	}
	c.MarkSuspect(at(1), "a")
	c.MarkSuspect(at(2), "a")
	c.RecordLoad(at(500), "a", Load{Slots: 3, Slowness: 1})
	choice, _ := c.Best(at(501), "s", r)
	require.Equal(t, "a", choice.ID)
	require.True(t, choice.HasCapacity, "a target that reports no requests does not run the suspect ones any more")
	require.InDelta(t, typicalTime, choice.ServiceTime, float64(time.Millisecond))
	for _, id := range []string{"a", "b"} {
		c.Done(at(2500), at(1), id, Lost)
		c.Done(at(2500), at(2), id, Lost)
		c.RecordLoad(at(2500), id, Load{Slots: 3, Slowness: 1})
	}
	for range 2 {
		choice, _ = c.Best(at(2501), "s", r)
		require.True(t, choice.HasCapacity, "a lost request says nothing about its target")
		require.InDelta(t, typicalTime, choice.ServiceTime, float64(time.Millisecond))
		c.RecordAttempt(at(2501), Choice{ID: choice.ID, ServiceTime: typicalTime})
	}
}

// A target that runs a request for too long is slow, whatever load it reports.
func TestOverdueRequestShowsASlowTarget(t *testing.T) {
	tests := []struct {
		name    string
		suspect bool
		running int
	}{
		{name: "the sending host is suspect, the target reports the request", suspect: true, running: 1},
		{name: "the sending host is alive, the target does not report the request", running: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := chooser(Load{Slots: 3, Slowness: 1})
			c.RecordAttempt(at(1), Choice{ID: "a", ServiceTime: typicalTime})
			if tt.suspect {
				c.MarkSuspect(at(1), "a")
			}
			c.RecordLoad(at(900), "a", Load{Running: tt.running, Slots: 3, Slowness: 1})
			choice, _ := c.Best(at(901), "s", r)
			require.False(t, choice.HasCapacity)
		})
	}
}

// nonReportingChooser returns a chooser of targets whose service does not report its load.
func nonReportingChooser(targets, slots int) *Chooser {
	c := NewChooser(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	specs := make([]Spec, 0, targets)
	for i := range targets {
		specs = append(specs, Spec{ID: string(rune('a' + i)), Domain: "d", Slots: slots})
	}
	c.SetTargets(map[string][]Spec{"s": specs})
	for range 20 {
		c.RecordResponse("a", false)
	}
	return c
}

func TestNonReportingTargetsAreFilledByRequestCount(t *testing.T) {
	c := nonReportingChooser(2, 4)
	require.Empty(t, c.ProbeCandidates(start, "s", r, 3), "targets that do not report load are not probed")
	for n := range 4 {
		got, ok := c.Best(at(n), "s", r)
		require.True(t, ok)
		require.True(t, got.HasCapacity)
		c.RecordAttempt(at(n), got)
	}
	require.Equal(t, 2, c.InFlightAt("a"))
	require.Equal(t, 2, c.InFlightAt("b"))
	got, _ := c.Best(at(5), "s", r)
	require.False(t, got.HasCapacity, "only half of the slots are used until a higher concurrency was tried")
}

// Guards against a target that does not report its load being full forever after one
// rejection.
func TestNonReportingTargetHasCapacityAgainAfterARejection(t *testing.T) {
	c := nonReportingChooser(1, 4)
	c.RecordAttempt(at(1), Choice{ID: "a", ServiceTime: typicalTime})
	c.Done(at(2), at(1), "a", Rejected)
	got, _ := c.Best(at(3), "s", r)
	require.False(t, got.HasCapacity)
	got, _ = c.Best(at(200), "s", r)
	require.True(t, got.HasCapacity)
}

func TestCapacityDependsOnTheObjective(t *testing.T) {
	tests := []struct {
		name        string
		objective   int
		backlogged  bool
		hasCapacity bool
	}{
		{name: "the slow target meets it", objective: 400, hasCapacity: true},
		{name: "the slow target would miss it", objective: 200},
		{name: "many requests wait", objective: 200, backlogged: true, hasCapacity: true},
		{name: "the request is late anyway", objective: 120, hasCapacity: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := chooser(Load{Slots: 2, Slowness: 2.2})
			got, _ := c.Best(start, "s", Request{Domain: "d", TypicalTime: typicalTime, Objective: at(tt.objective), Backlogged: tt.backlogged})
			require.Equal(t, tt.hasCapacity, got.HasCapacity)
		})
	}
}

func TestOldEvidenceOfASlowdownIsNotRevivedByAFastRequest(t *testing.T) {
	load := Load{Slots: 8, Slowness: 1}
	c := chooser(load)
	run := func(sent, took int, result Result) {
		c.RecordAttempt(at(sent), Choice{ID: "a", ServiceTime: typicalTime})
		c.Done(at(sent+took), at(sent), "a", result)
	}
	run(0, 3000, Cancelled)
	c.RecordLoad(at(9000), "a", load)
	before, _ := c.Best(at(9000), "s", r)
	run(9000, 100, Served)
	after, _ := c.Best(at(9100), "s", r)
	require.True(t, before.HasCapacity)
	require.LessOrEqual(t, after.ServiceTime, before.ServiceTime)
	require.True(t, after.HasCapacity)
}

// Guards against refusals for as long as the evidence of a short stall lasts.
func TestIdleTargetsAreUsedWhileAllSeemSlow(t *testing.T) {
	idle := Load{Slots: 8, Slowness: 1}
	c := chooser(idle, idle)
	for _, id := range []string{"a", "b"} {
		for n := range 8 {
			c.RecordAttempt(at(n), Choice{ID: id, ServiceTime: 43 * time.Millisecond})
			c.Done(at(200+n), at(n), id, Served)
		}
		c.RecordLoad(at(210), id, idle)
	}
	got, _ := c.Best(at(211), "s", Request{Domain: "d", TypicalTime: 43 * time.Millisecond, Objective: at(1600), Backlogged: true})
	require.True(t, got.HasCapacity)
}

func TestHigherConcurrencyIsTriedWhenManyRequestsWait(t *testing.T) {
	c := chooser(Load{Running: 2, Slots: 3, Slowness: 1})
	got, _ := c.Best(at(1), "s", r)
	require.False(t, got.HasCapacity)
	backlogged := Request{Domain: "d", TypicalTime: typicalTime, Backlogged: true}
	got, _ = c.Best(at(1), "s", backlogged)
	require.True(t, got.HasCapacity)
	c.RecordAttempt(at(1), got)
	c.RecordLoad(at(10), "a", Load{Running: 2, Slots: 3, Slowness: 1})
	got, _ = c.Best(at(11), "s", backlogged)
	require.False(t, got.HasCapacity, "one trial at a time")
}

func TestHigherConcurrencyIsTriedWhenFreeTargetsAreLikelyToFail(t *testing.T) {
	tests := []struct {
		name     string
		failures int
		want     string
	}{
		{name: "no failure", want: "b"},
		{name: "two failures", failures: 2, want: "b"},
		{name: "three failures", failures: 3, want: "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			busy, free := Load{Running: 2, Slots: 3, Slowness: 1}, Load{Slots: 3, Slowness: 1}
			c := chooser(busy, free)
			for n := range tt.failures {
				c.RecordAttempt(at(n), Choice{ID: "b", ServiceTime: typicalTime})
				c.Done(at(n), at(n), "b", Failed)
			}
			// The ejection of b is over.
			c.RecordLoad(at(1000), "a", busy)
			c.RecordLoad(at(1000), "b", free)
			got, _ := c.Best(at(1001), "s", r)
			require.Equal(t, tt.want, got.ID)
			require.True(t, got.HasCapacity)
			c.RecordAttempt(at(1001), got)
			c.RecordLoad(at(1010), "a", busy)
			c.RecordLoad(at(1010), "b", free)
			got, _ = c.Best(at(1011), "s", r)
			require.Equal(t, "b", got.ID, "one trial at a time")
		})
	}
}

// Guards against ejecting the targets of a service one after the other when all of them
// reject half of their requests although they have capacity: the few that are left would
// get all requests.
func TestTargetsAreNotEjectedWhenManyFail(t *testing.T) {
	tests := []struct {
		name    string
		failing []string
		want    int
	}{
		{name: "one of six", failing: []string{"a"}, want: 5},
		{name: "two of six", failing: []string{"a", "b"}, want: 4},
		{name: "three of six", failing: []string{"a", "b", "c"}, want: 6},
		{name: "all", failing: []string{"a", "b", "c", "d", "e", "f"}, want: 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			idle := Load{Slots: 2, Slowness: 1}
			c := chooser(idle, idle, idle, idle, idle, idle)
			for _, id := range tt.failing {
				for n := range 3 {
					c.RecordAttempt(at(n), Choice{ID: id, ServiceTime: typicalTime})
					c.Done(at(n), at(n), id, Rejected)
					c.RecordLoad(at(n), id, idle)
				}
			}
			require.Len(t, c.ProbeCandidates(at(50), "s", r, 9), tt.want)
		})
	}
}

// Guards against taking requests that hang on the link of one host for slow ones: they are
// sent and never arrive, and the target goes on to serve others.
func TestAttemptsThatNeverArriveDoNotMakeTheirTargetSlow(t *testing.T) {
	tests := []struct {
		name string
		// running is the number of requests that the target reports, and reports are the times
		// of its reports.
		running int
		reports []int
		// later adds an attempt shortly before the choice.
		later bool
		want  bool
	}{
		{name: "the target runs nothing", reports: []int{100, 130, 170, 400}, want: true},
		{name: "the target runs a later request", later: true, running: 1, reports: []int{100, 130, 170, 400}, want: true},
		{name: "the target runs one of the two", running: 1, reports: []int{100, 130, 170, 400}},
		{name: "a single report", reports: []int{400}},
		{name: "the target runs the attempts", running: 2, reports: []int{100, 130, 170, 400}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := chooser(Load{Slots: 8, Slowness: 1})
			c.RecordAttempt(at(1), Choice{ID: "a", ServiceTime: typicalTime})
			c.RecordAttempt(at(2), Choice{ID: "a", ServiceTime: typicalTime})
			for _, ms := range tt.reports {
				if tt.later && ms == 400 {
					c.RecordAttempt(at(350), Choice{ID: "a", ServiceTime: typicalTime})
				}
				c.RecordLoad(at(ms), "a", Load{Running: tt.running, Slots: 8, Slowness: 1})
			}
			got, ok := c.Best(at(401), "s", r)
			require.True(t, ok)
			require.Equal(t, tt.want, got.HasCapacity)
		})
	}
}

// Guards against ejecting a target because the link of one host to it is broken.
func TestFailuresOfOneHostCountUnlessAnotherHearsFromTheTarget(t *testing.T) {
	tests := []struct {
		name string
		// heard holds the hosts that are served by the target between the failures.
		heard  []string
		result Result
		want   string
	}{
		{name: "nobody hears from it", result: Unreachable, want: "b"},
		{name: "only the host that fails hears from it", heard: []string{"h1"}, result: Unreachable, want: "b"},
		{name: "another host hears from it", heard: []string{"h2"}, result: Unreachable, want: "a"},
		{name: "this host hears from it", heard: []string{ThisHost}, result: Unreachable, want: "a"},
		{name: "an error of the target", heard: nil, result: Failed, want: "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := chooser(Load{Slots: 8, Slowness: 1}, Load{Slots: 8, Running: 1, Slowness: 1})
			for n := range 6 {
				sent := at(10 * n)
				c.RecordAttempt(sent, Choice{ID: "a", ServiceTime: typicalTime})
				for _, host := range tt.heard {
					c.RecordAttempt(sent.Add(time.Microsecond), Choice{ID: "a", ServiceTime: typicalTime})
					c.DoneBy(sent.Add(5*time.Millisecond), host, sent.Add(time.Microsecond), "a", Served)
				}
				c.DoneBy(sent.Add(9*time.Millisecond), "h1", sent, "a", tt.result)
			}
			c.RecordLoad(at(60), "a", Load{Slots: 8, Slowness: 1})
			got, ok := c.Best(at(61), "s", r)
			require.True(t, ok)
			require.Equal(t, tt.want, got.ID)
		})
	}
}
