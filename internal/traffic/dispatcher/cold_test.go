package dispatcher

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/queue"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
	"tamaracktiller.example/tamaracktiller/internal/traffic/targets"
)

const (
	coldPerSecond = 3.6
	coldTime      = 8 * time.Second
	// mostToCold is the number of requests that a cold target may get in any second.
	mostToCold = 1.5*coldPerSecond + 8
	// disturbedDomain is the failure domain whose targets become cold.
	disturbedDomain = "d-1"
	// runTime is the time for which a request runs at a target.
	runTime = 60 * time.Millisecond
)

// coldSite is a fleet whose targets may be cold, in virtual time. It counts the requests and the probes
// that each target gets.
type coldSite struct {
	*fleet
	list []*Dispatcher
	s    *directory.Snapshot

	// oldViews is set while no host has an up-to-date view.
	oldViews atomic.Bool

	mu sync.Mutex
	// coldUntil holds the times until which targets are cold, and down the targets that do not respond.
	coldUntil map[string]time.Time
	down      map[string]bool
	// silent is set if health responses do not say whether a target is cold.
	silent bool
	// sent holds the times at which requests were sent, by target, with those of probes in probed.
	sent, probed map[string][]time.Time
	// mostRunning is the highest number of requests that ran at a target together.
	mostRunning map[string]int
	served      int
	refused     int
	// outOfRank holds the times at which hosts that are not among the first two of a cell's ranking
	// placed requests at cold targets.
	outOfRank []time.Time
}

// Probe implements Prober.
func (cs *coldSite) Probe(ctx context.Context, id, path string) (targets.ProbeResult, error) {
	cs.mu.Lock()
	cs.probed[id] = append(cs.probed[id], time.Now())
	left, down, silent := max(0, time.Until(cs.coldUntil[id])), cs.down[id], cs.silent
	cs.mu.Unlock()
	time.Sleep(time.Millisecond)
	if down {
		return targets.ProbeResult{}, errors.Wrap(targets.ErrUnresponsive, id)
	}
	result, err := cs.fleet.Probe(ctx, id, path)
	if !silent {
		result.Cold = ratelimit.Cold{Known: true, Left: left}
	}
	return result, err
}

// newColdSite returns a fleet whose targets are not cold, and whose hosts know that.
func newColdSite(t *testing.T, hosts, targetCount int) *coldSite {
	t.Helper()
	f, list, s := newSpreadFleet(t, hosts, targetCount)
	cs := &coldSite{
		fleet: f, list: list, coldUntil: map[string]time.Time{}, down: map[string]bool{}, sent: map[string][]time.Time{}, probed: map[string][]time.Time{}, mostRunning: map[string]int{},
	}
	next := *s
	next.Table = routing.NewTable(&routing.Config{Services: map[string]routing.Service{"s": {Name: "s", HealthPath: "/h", ColdPerSecond: coldPerSecond, ColdTime: coldTime}}})
	cs.s = &next
	long := time.Now().Add(-time.Hour)
	cs.update(func(target *roster.ActiveTarget) {
		target.ColdUntil, target.UnknownSince, target.Started = long, long, long
	})
	for _, d := range list {
		d.cfg.Prober = cs
		d.cfg.Fresh = func(time.Time) bool { return !cs.oldViews.Load() }
		d.SetSnapshot(cs.s, nil)
		settleRanks(d)
	}
	return cs
}

// update replaces the snapshot by one in which the entries of targets are changed. It does not tell the
// hosts.
func (cs *coldSite) update(change func(target *roster.ActiveTarget)) {
	next := *cs.s
	next.Targets = map[string][]roster.ActiveTarget{}
	for service, list := range cs.s.Targets {
		next.Targets[service] = slices.Clone(list)
		for n := range next.Targets[service] {
			change(&next.Targets[service][n])
		}
	}
	next.TargetChanges++
	cs.s = &next
}

// restart makes targets cold, and returns a function that makes their entries say so, with the IDs for
// SetSnapshot.
func (cs *coldSite) restart(selected func(target roster.ActiveTarget) bool) (register func() (restarted []string)) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	until := time.Now().Add(coldTime)
	var ids []string
	for _, target := range cs.s.Targets["s"] {
		if selected(target) {
			cs.coldUntil[target.ID] = until
			ids = append(ids, target.ID)
		}
	}
	return func() []string {
		now := time.Now()
		cs.update(func(target *roster.ActiveTarget) {
			if slices.Contains(ids, target.ID) {
				target.Started, target.UnknownSince, target.ColdTime, target.ColdUntil = now, now, max(0, until.Sub(now)), until
			}
		})
		return ids
	}
}

// tell gives all hosts but some the current snapshot.
func (cs *coldSite) tell(s *directory.Snapshot, restarted []string, but ...*Dispatcher) {
	for _, d := range cs.list {
		if !slices.Contains(but, d) {
			d.SetSnapshot(s, restarted)
		}
	}
}

// play sends requests from all hosts for some time, each host every interval, and runs what is to happen
// meanwhile.
func (cs *coldSite) play(t *testing.T, length, interval time.Duration, events func()) {
	t.Helper()
	g := group.New(t.Context())
	end := time.Now().Add(length)
	for n, d := range cs.list {
		g.Go("caller", func(ctx context.Context) error {
			time.Sleep(interval * time.Duration(n) / time.Duration(len(cs.list)))
			for i := 0; time.Now().Before(end); i++ {
				req := newRequest(2 * time.Second)
				req.TypicalTime, req.Domain = runTime, d.snapshotDomain()
				g.Go("request", func(context.Context) error {
					cs.request(ctx, d, req)
					return nil
				})
				time.Sleep(interval)
			}
			return nil
		})
		g.Go("tick", func(context.Context) error {
			for time.Now().Before(end) {
				time.Sleep(100 * time.Millisecond)
				d.Tick(time.Now())
				d.ReportLoads(time.Now())
			}
			return nil
		})
	}
	g.Go("events", func(context.Context) error {
		events()
		return nil
	})
	require.NoError(t, g.Wait())
}

func (d *Dispatcher) snapshotDomain() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot.Hosts[d.cfg.Self].Domain
}

// isTopFor reports whether this host is one of the first two of the ranking of the cell of a grant.
func (d *Dispatcher) isTopFor(g Grant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cells[g.cell].isTop()
}

// request places a request and runs it at its target.
func (cs *coldSite) request(ctx context.Context, d *Dispatcher, req Request) {
	grant, err := d.Place(ctx, req)
	cs.mu.Lock()
	if err != nil {
		cs.refused++
		cs.mu.Unlock()
		return
	}
	now := time.Now()
	cs.sent[grant.ID] = append(cs.sent[grant.ID], now)
	if grant.DispatchedBy() == "" && now.Before(cs.coldUntil[grant.ID]) && !d.isTopFor(grant) {
		cs.outOfRank = append(cs.outOfRank, now)
	}
	down := cs.down[grant.ID]
	cs.served++
	cs.fleet.mu.Lock()
	cs.running[grant.ID]++
	cs.mostRunning[grant.ID] = max(cs.mostRunning[grant.ID], cs.running[grant.ID])
	cs.fleet.mu.Unlock()
	cs.mu.Unlock()
	if down {
		cs.fleet.mu.Lock()
		cs.running[grant.ID]--
		cs.fleet.mu.Unlock()
		d.Done(grant, Outcome{Result: placement.Unreachable})
		return
	}
	time.Sleep(runTime)
	cs.fleet.mu.Lock()
	cs.running[grant.ID]--
	load := cs.load
	load.Running += cs.running[grant.ID]
	cs.fleet.mu.Unlock()
	d.Done(grant, Outcome{Result: placement.Served, Load: load, LoadKnown: true})
}

// mostIn returns the highest number of times in a second.
func mostIn(times []time.Time, from, to time.Time) int {
	times = slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return at.Before(from) || !at.Before(to) })
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// isDisturbed selects the targets of the failure domain that becomes cold.
func isDisturbed(target roster.ActiveTarget) bool { return target.Domain == disturbedDomain }

// Guards against more requests to cold targets than all hosts together may send, whichever hosts know
// what: in a hand-over between dispatchers, on hosts without messages, and for targets that become cold
// without an entry that says so.
func TestColdTargetsGetFewRequestsFromAllHosts(t *testing.T) {
	tests := []struct {
		name string
		// play makes the targets of domain d-1 cold. It returns the time from which the bound holds.
		play func(cs *coldSite) (from time.Time)
		// used is set if the cold targets must get some requests.
		used bool
		// mostRunning is the highest number of requests that may run at a target that is not cold,
		// with three slots. Targets queue six more.
		mostRunning int
	}{
		{name: "restart", used: true, mostRunning: 5, play: func(cs *coldSite) time.Time {
			cs.tell(cs.s, cs.restart(isDisturbed)())
			return time.Now()
		}},
		{name: "evacuated and taken back cold", used: true, mostRunning: 5, play: func(cs *coldSite) time.Time {
			cs.tell(evacuate(cs.s, disturbedDomain), nil)
			time.Sleep(3 * time.Second)
			register := cs.restart(isDisturbed)
			cs.update(func(target *roster.ActiveTarget) {
				if target.Domain == disturbedDomain {
					target.UnknownSince = time.Now()
				}
			})
			cs.tell(cs.s, nil)
			from := time.Now()
			time.Sleep(time.Second)
			cs.tell(cs.s, register())
			return from
		}},
		{name: "evacuated and taken back cold, entries say nothing", used: true, mostRunning: 5, play: func(cs *coldSite) time.Time {
			cs.tell(evacuate(cs.s, disturbedDomain), nil)
			time.Sleep(3 * time.Second)
			cs.restart(isDisturbed)
			cs.update(func(target *roster.ActiveTarget) {
				if target.Domain == disturbedDomain {
					target.UnknownSince = time.Now()
				}
			})
			// Hosts learn of the end one after the other.
			for _, d := range cs.list {
				d.SetSnapshot(cs.s, nil)
				time.Sleep(300 * time.Millisecond)
			}
			return time.Now()
		}},
		{name: "dispatchers are killed", used: true, mostRunning: 5, play: func(cs *coldSite) time.Time {
			cs.tell(cs.s, cs.restart(isDisturbed)())
			from := time.Now()
			time.Sleep(1500 * time.Millisecond)
			for _, d := range cs.list[:2] {
				cs.isolate(d)
			}
			time.Sleep(time.Second)
			next := *cs.s
			next.Hosts = maps.Clone(cs.s.Hosts)
			for _, d := range cs.list[:2] {
				delete(next.Hosts, d.cfg.Self)
			}
			next.HostChanges++
			cs.s = &next
			cs.tell(cs.s, nil, cs.list[:2]...)
			return from
		}},
		{name: "no host receives messages", mostRunning: 9, play: func(cs *coldSite) time.Time {
			for _, d := range cs.list {
				cs.isolate(d)
			}
			cs.tell(cs.s, cs.restart(isDisturbed)())
			return time.Now()
		}},
		{name: "no host receives messages, and the views are old", mostRunning: 9, play: func(cs *coldSite) time.Time {
			for _, d := range cs.list {
				cs.isolate(d)
			}
			cs.oldViews.Store(true)
			cs.setDown(true)
			time.Sleep(2 * time.Second)
			cs.restart(isDisturbed)
			cs.setDown(false)
			return time.Now()
		}},
		{name: "only health responses say so", used: true, mostRunning: 5, play: func(cs *coldSite) time.Time {
			cs.restart(isDisturbed)
			return time.Now().Add(time.Second)
		}},
		{name: "half of the hosts learn late", used: true, mostRunning: 5, play: func(cs *coldSite) time.Time {
			restarted := cs.restart(isDisturbed)()
			cs.tell(cs.s, restarted, cs.list[:3]...)
			from := time.Now().Add(time.Second)
			time.Sleep(1800 * time.Millisecond)
			for _, d := range cs.list[:3] {
				d.SetSnapshot(cs.s, restarted)
			}
			return from
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cs := newColdSite(t, 6, 30)
				var from time.Time
				cs.play(t, 18*time.Second, 12*time.Millisecond, func() {
					time.Sleep(2 * time.Second)
					from = tt.play(cs)
				})
				total := 0
				for _, target := range cs.s.Targets["s"] {
					if target.Domain != disturbedDomain {
						require.LessOrEqual(t, cs.mostRunning[target.ID], tt.mostRunning, "%s is overloaded", target.ID)
						continue
					}
					until := cs.coldUntil[target.ID]
					require.LessOrEqual(t, float64(mostIn(cs.sent[target.ID], from, until)), mostToCold, "requests to %s in a second", target.ID)
					require.LessOrEqual(t, float64(mostIn(append(slices.Clone(cs.sent[target.ID]), cs.probed[target.ID]...), from, until)), 2*mostToCold, "requests and probes")
					total += len(slices.DeleteFunc(slices.Clone(cs.sent[target.ID]), func(at time.Time) bool { return at.Before(from) || at.After(until) }))
					if tt.used {
						require.Positive(t, mostIn(cs.sent[target.ID], until, time.Now()), "%s gets requests when it is warm", target.ID)
					}
				}
				require.Zero(t, mostIn(cs.outOfRank, from, time.Now()), "requests to cold targets by hosts that are not among the first two")
				if tt.used {
					require.Positive(t, total, "requests to cold targets")
				}
				require.GreaterOrEqual(t, float64(cs.served), 0.9*float64(cs.served+cs.refused), "%d served, %d refused", cs.served, cs.refused)
			})
		})
	}
}

// Guards against a rush to 132 targets that come back at once, and against an overload of the 66 others
// meanwhile.
func TestManyTargetsThatComeBackGetTheirLoadsGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs := newColdSite(t, 12, 198)
		back := func(target roster.ActiveTarget) bool { return target.Domain != "d-2" }
		var from time.Time
		cs.play(t, 18*time.Second, 9*time.Millisecond, func() {
			cs.tell(evacuate(cs.s, "d-0", "d-1"), nil)
			time.Sleep(4 * time.Second)
			from = time.Now()
			register := cs.restart(back)
			register()
			cs.tell(cs.s, nil)
			time.Sleep(2 * time.Second)
			cs.isolate(cs.list[3])
		})
		warm, perSecond := from.Add(coldTime), make([]int, 14)
		for _, target := range cs.s.Targets["s"] {
			require.LessOrEqual(t, cs.mostRunning[target.ID], 5, target.ID)
			if !back(target) {
				continue
			}
			require.LessOrEqual(t, float64(mostIn(cs.sent[target.ID], from, warm)), mostToCold, target.ID)
			for _, at := range cs.sent[target.ID] {
				if n := int(at.Sub(from).Seconds()); !at.Before(from) && n < len(perSecond) {
					perSecond[n]++
				}
			}
		}
		t.Log("requests a second to the targets that are back:", perSecond)
		// Four hosts of each domain send 444 requests a second.
		require.Positive(t, perSecond[4], "cold targets take their part")
		require.Greater(t, perSecond[12], 700, "warm targets take theirs")
		require.GreaterOrEqual(t, float64(cs.served), 0.97*float64(cs.served+cs.refused), "%d served, %d refused", cs.served, cs.refused)
	})
}

// Shows that the load of the test above exceeds the bound if the rate of cold targets is not limited.
func TestLoadExceedsWhatColdTargetsTake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs := newColdSite(t, 6, 30)
		cs.s.Table = routing.NewTable(&routing.Config{Services: map[string]routing.Service{"s": {Name: "s", HealthPath: "/h"}}})
		cs.tell(cs.s, nil)
		cs.restart(isDisturbed)
		cs.play(t, 4*time.Second, 12*time.Millisecond, func() {})
		most := 0
		for _, target := range cs.s.Targets["s"] {
			if target.Domain == disturbedDomain {
				most = max(most, mostIn(cs.sent[target.ID], time.Time{}, time.Now()))
			}
		}
		require.Greater(t, float64(most), 1.2*mostToCold)
	})
}

// isolate makes a host neither send nor receive messages.
func (cs *coldSite) isolate(d *Dispatcher) {
	cs.fleet.mu.Lock()
	defer cs.fleet.mu.Unlock()
	for a, other := range cs.hosts {
		if other == d {
			cs.isolated[a] = true
		}
	}
}

func (cs *coldSite) setDown(down bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, target := range cs.s.Targets["s"] {
		if isDisturbed(target) {
			cs.down[target.ID] = down
		}
	}
}

// Guards against a fleet that serves nobody after all hosts have restarted at once, because it is not
// known of any target whether it is cold.
func TestFleetThatStartsServesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs := newColdSite(t, 6, 60)
		started := time.Now()
		cs.update(func(target *roster.ActiveTarget) { target.ColdUntil, target.UnknownSince = started, started })
		for _, d := range cs.list {
			d.SetSnapshot(cs.s, nil)
		}
		for _, d := range cs.list {
			d.mu.Lock()
			for _, c := range d.cells {
				c.rankSince, c.topSince = started, started
			}
			d.mu.Unlock()
		}
		cs.play(t, 500*time.Millisecond, 20*time.Millisecond, func() {})
		require.GreaterOrEqual(t, float64(cs.served), 0.97*float64(cs.served+cs.refused), "%d served, %d refused", cs.served, cs.refused)
		for _, d := range cs.list {
			for _, c := range d.cells {
				if c.dispatchedBy(d.cfg.Self) {
					require.Empty(t, d.chooser.ColdCandidates(time.Now(), c.id.key, 60, false), c.id.key)
				}
			}
		}
	})
}

// Guards against targets that count as cold forever, because their health responses never say whether
// they are.
func TestTargetThatSaysNothingCountsAsColdForItsColdTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs := newColdSite(t, 2, 6)
		cs.silent = true
		cs.tell(cs.s, cs.restart(func(roster.ActiveTarget) bool { return true })())
		require.Equal(t, map[eligibility.Reason]int{eligibility.Cold: 6}, cs.list[0].WithheldTargets())
		cs.play(t, coldTime+3*time.Second, 20*time.Millisecond, func() {})
		require.Empty(t, cs.list[0].WithheldTargets())
	})
}

// Guards against requests that wait for cold targets which cannot serve them, and against clients that
// are not told when to return.
func TestRequestsBeyondRateOfColdTargetsAreRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs := newColdSite(t, 2, 6)
		cs.tell(cs.s, cs.restart(func(roster.ActiveTarget) bool { return true })())
		time.Sleep(time.Second)
		rejected := 0
		for range 200 {
			began := time.Now()
			grant, err := cs.list[0].Place(t.Context(), newRequest(300*time.Millisecond))
			if err == nil {
				cs.list[0].Done(grant, Outcome{Result: placement.Served})
				continue
			}
			var rejection *RejectedError
			require.ErrorAs(t, err, &rejection)
			require.Positive(t, rejection.RetryAfter)
			require.Less(t, time.Since(began), 250*time.Millisecond)
			require.Equal(t, "all targets limit their rate or are cold", rejection.Reason)
			rejected++
		}
		require.Positive(t, rejected)
	})
}

// Guards against a change of what deployments without rates of cold targets do.
func TestServiceWithoutColdRateIsNotLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs := newColdSite(t, 2, 6)
		cs.s.Table = routing.NewTable(&routing.Config{Services: map[string]routing.Service{"s": {Name: "s", HealthPath: "/h"}}})
		cs.tell(cs.s, cs.restart(func(roster.ActiveTarget) bool { return true })())
		cs.tell(cs.s, nil)
		for _, d := range cs.list {
			require.Empty(t, d.WithheldTargets())
		}
		cs.play(t, time.Second, 10*time.Millisecond, func() {})
		for _, d := range cs.list {
			require.Empty(t, d.WithheldTargets())
		}
	})
}

func TestGrantOfTargetThatHasJustBecomeColdIsReturned(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name  string
		grant Grant
		heard time.Duration
		cold  bool
		want  bool
	}{
		{name: "dispatcher does not know", grant: Grant{dispatchedBy: "host-1"}, heard: time.Second, cold: true, want: true},
		{name: "dispatcher knows", grant: Grant{dispatchedBy: "host-1", Choice: placement.Choice{Restricted: true}}, heard: time.Second, cold: true},
		{name: "heard a while ago", grant: Grant{dispatchedBy: "host-1"}, heard: coldNewsTime, cold: true},
		{name: "not known whether cold", grant: Grant{dispatchedBy: "host-1"}, heard: time.Second},
		{name: "own grant", grant: Grant{}, heard: time.Second, cold: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, list := newFleet(t, 1, 1, 3)
			d := list[0]
			entry := ratelimit.ColdEntry{PerSecond: 3.6, ColdTime: time.Minute, AppliedAt: now.Add(-tt.heard), UnknownSince: now.Add(-tt.heard), Renewed: true}
			if tt.cold {
				entry.Left = time.Minute
			}
			d.limits.ObserveColdEntry(now, "t-0", entry)
			tt.grant.ID = "t-0"
			require.Equal(t, tt.want, d.isColdNews(now, tt.grant))
		})
	}
}

// Guards against grants that pile up for a host that is frozen: it would send them all at once.
func TestSilentHostIsNotGrantedColdTargets(t *testing.T) {
	_, list := newFleet(t, 1, 1, 3)
	d := list[0]
	now := time.Now()
	a := netip.MustParseAddrPort("10.0.0.9:7200")
	d.lastReceived[a] = now.Add(-hostTimeout)
	require.False(t, d.isSilent(now, &waiter{address: a}))
	require.True(t, d.isSilent(now.Add(time.Millisecond), &waiter{address: a}))
	require.False(t, d.isSilent(now.Add(time.Hour), &waiter{}), "requests of this host")
}

func TestRejectionByHostThatMayNotUseColdTargetsSendsClientToAnotherHost(t *testing.T) {
	tests := []struct {
		name string
		flow ratelimit.Flow
		want time.Duration
	}{
		{name: "cold, no share", flow: ratelimit.Flow{Cold: true}, want: noTargetsRetryAfter},
		{name: "cold, a share", flow: ratelimit.Flow{Cold: true, PerSecond: 3.6}, want: 2 * time.Second},
		{name: "limits of zero", flow: ratelimit.Flow{}, want: 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, coldRetryAfter(queue.Capacity{Limited: true, Flow: tt.flow}, 2*time.Second))
		})
	}
}
