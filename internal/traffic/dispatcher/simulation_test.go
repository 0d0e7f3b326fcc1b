package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/targets"
)

// This file simulates loads in virtual time. It compares how many calls end in time with
// the dispatchers and with an oracle, which knows the state of all targets at any time.

// callKind describes calls of one kind.
type callKind struct {
	name string
	// account is the client account; empty for none.
	account     string
	priority    int
	perSecond   float64
	serviceTime time.Duration
	objective   time.Duration
	deadline    time.Duration
}

// scenario is a load on a fleet.
type scenario struct {
	hosts, targets, slots int
	kinds                 []callKind
	length                time.Duration
	// burst is the factor on the rate of calls at a time; nil for none.
	burst func(at time.Duration) float64
	// unreportedSlowdown is the slowdown of a target that its load reports do not include;
	// nil for none.
	unreportedSlowdown func(target int, at time.Duration) float64
	behavior           behavior
	// crashAt is the time at which one host that does not dispatch crashes; zero for none.
	// Targets stop the calls that this host sent.
	crashAt time.Duration
}

// behavior is the performance of targets. Its zero value stands for defaultBehavior.
type behavior struct {
	// A request takes contentionFactor times longer if, when it starts, at least the share
	// contentionAt of the slots is in use, its own slot included.
	contentionAt, contentionFactor float64
	// Targets are slow for the share slowShare of the time, by slowFactor. The mean time
	// between two slow periods is meanFast.
	slowShare, slowFactor float64
	meanFast              time.Duration
	// hidesLoad is set for targets that do not report their load.
	hidesLoad bool
}

var defaultBehavior = behavior{contentionAt: 0.8, contentionFactor: 1.7, slowShare: 0.23, slowFactor: 4, meanFast: 400 * time.Millisecond}

// tally counts the results of the calls of one kind.
type tally struct {
	calls, inTime, late, rejected int
	// maxRejectionTime is the longest time that a call waited for a rejection.
	maxRejectionTime time.Duration
}

func (t tally) share() float64 { return float64(t.inTime) / float64(max(1, t.calls)) }

// placer assigns targets: a dispatcher, or the oracle.
type placer interface {
	Place(ctx context.Context, req Request) (Grant, error)
	Done(g Grant, o Outcome)
}

var (
	_ placer = (*Dispatcher)(nil)
	_ placer = (*oracle)(nil)
)

// simulatedTarget is a target whose speed changes at random times. A call keeps the speed
// at which it started.
type simulatedTarget struct {
	id      string
	index   int
	running int
	// speedChanges are the times at which the target alternately becomes slow and fast.
	speedChanges []time.Duration
}

// slow reports whether the target is slow at a time after the start.
func (s *simulatedTarget) slow(at time.Duration) bool {
	n, _ := slices.BinarySearch(s.speedChanges, at)
	return n%2 == 1
}

// transit is the one-way delay between two processes.
const transit = 500 * time.Microsecond

// simulation holds the simulated targets of a scenario and the results of its calls.
type simulation struct {
	scenario scenario
	started  time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	targets map[string]*simulatedTarget
	tallies map[string]*tally
	// crashedHost is the host that crashes at the time crashAt of the scenario.
	crashedHost string
}

func newSimulation(sc scenario, seed uint64) *simulation {
	if sc.behavior == (behavior{}) {
		sc.behavior = defaultBehavior
	}
	slow := time.Duration(float64(sc.behavior.meanFast) * sc.behavior.slowShare / (1 - sc.behavior.slowShare))
	sim := &simulation{scenario: sc, started: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)), targets: map[string]*simulatedTarget{}, tallies: map[string]*tally{}}
	for n := range sc.targets {
		s := &simulatedTarget{id: fmt.Sprintf("t-%d", n), index: n}
		for at := time.Duration(0); at < 2*sc.length; {
			at += time.Duration(sim.rng.ExpFloat64() * float64(sc.behavior.meanFast))
			s.speedChanges = append(s.speedChanges, at)
			at += time.Duration(sim.rng.ExpFloat64() * float64(slow))
			s.speedChanges = append(s.speedChanges, at)
		}
		sim.targets[s.id] = s
	}
	for _, k := range sc.kinds {
		sim.tallies[k.name] = &tally{}
	}
	return sim
}

func (sim *simulation) load(s *simulatedTarget) placement.Load {
	l := placement.Load{Running: s.running, Slots: sim.scenario.slots, Slowness: 1}
	if s.slow(time.Since(sim.started)) {
		l.Slowness = sim.scenario.behavior.slowFactor
	}
	return l
}

// Probe implements Prober.
func (sim *simulation) Probe(_ context.Context, id, _ string) (targets.ProbeResult, error) {
	time.Sleep(2 * transit)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return targets.ProbeResult{Healthy: true, Load: sim.load(sim.targets[id]), LoadKnown: !sim.scenario.behavior.hidesLoad}, nil
}

// run runs a call at a target, until it ends or its host crashes. It returns the target's
// load afterwards, and false if the target rejected the call since all slots were in use.
func (sim *simulation) run(host, id string, serviceTime time.Duration) (placement.Load, bool) {
	sim.mu.Lock()
	s := sim.targets[id]
	if s.running >= sim.scenario.slots {
		sim.mu.Unlock()
		return placement.Load{}, false
	}
	at := time.Since(sim.started)
	took := float64(serviceTime) * sim.load(s).Slowness * (0.6 + 0.8*sim.rng.Float64())
	s.running++
	if float64(s.running) >= sim.scenario.behavior.contentionAt*float64(sim.scenario.slots) {
		took *= sim.scenario.behavior.contentionFactor
	}
	if sim.scenario.unreportedSlowdown != nil {
		took *= sim.scenario.unreportedSlowdown(s.index, at)
	}
	sim.mu.Unlock()
	for end := time.Now().Add(time.Duration(took)); time.Now().Before(end) && !sim.crashed(host); {
		time.Sleep(min(5*time.Millisecond, time.Until(end)))
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	l := sim.load(s)
	l.Running--
	s.running--
	return l, true
}

func (sim *simulation) crashed(host string) bool {
	return host == sim.crashedHost && sim.scenario.crashAt > 0 && time.Since(sim.started) > sim.scenario.crashAt
}

// call simulates one call: it waits for a target, retries once after a rejection if the
// deadline permits, and sends the call again if a target rejects it.
func (sim *simulation) call(ctx context.Context, p placer, host string, k callKind) {
	started := time.Now()
	req := Request{Service: "s", Domain: "d", Priority: k.priority, Objective: started.Add(k.objective), Deadline: started.Add(k.deadline), TypicalTime: k.serviceTime, Account: k.account}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	rejections, requested := 0, time.Now()
	for ctx.Err() == nil && !sim.crashed(host) {
		grant, err := p.Place(ctx, req)
		var rejected *RejectedError
		if errors.As(err, &rejected) && rejections == 0 && time.Now().Add(rejected.RetryAfter+k.serviceTime).Before(req.Deadline) {
			sim.countRejection(k, time.Since(requested), false)
			rejections++
			time.Sleep(rejected.RetryAfter)
			requested = time.Now()
			continue
		}
		if err != nil {
			break
		}
		time.Sleep(transit)
		load, ran := sim.run(host, grant.ID, k.serviceTime)
		time.Sleep(transit)
		if sim.crashed(host) {
			return
		}
		if !ran {
			p.Done(grant, Outcome{Result: placement.Rejected})
			req.Avoid = append(req.Avoid, grant.ID)
			continue
		}
		p.Done(grant, Outcome{Result: placement.Served, Load: load, LoadKnown: !sim.scenario.behavior.hidesLoad})
		sim.countServed(k, time.Since(started))
		return
	}
	if !sim.crashed(host) {
		sim.countRejection(k, time.Since(requested), true)
	}
}

func (sim *simulation) countServed(k callKind, took time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	t := sim.tallies[k.name]
	t.calls++
	if took <= k.objective {
		t.inTime++
	} else {
		t.late++
	}
}

func (sim *simulation) countRejection(k callKind, waited time.Duration, final bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	t := sim.tallies[k.name]
	t.maxRejectionTime = max(t.maxRejectionTime, waited)
	if final {
		t.calls++
		t.rejected++
	}
}

// sendCalls sends the calls of all kinds to random hosts until the scenario ends, and waits
// for them.
func (sim *simulation) sendCalls(ctx context.Context, placers []placer, hosts []string) {
	var calls sync.WaitGroup
	for i, k := range sim.scenario.kinds {
		rng := rand.New(rand.NewPCG(uint64(i), 7))
		calls.Go(func() {
			for time.Since(sim.started) < sim.scenario.length {
				rate := k.perSecond
				if sim.scenario.burst != nil {
					rate *= sim.scenario.burst(time.Since(sim.started))
				}
				time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				n := rng.IntN(len(placers))
				if sim.crashed(hosts[n]) {
					continue
				}
				calls.Go(func() { sim.call(ctx, placers[n], hosts[n], k) })
			}
		})
	}
	calls.Wait()
}

// oracle assigns fast targets with capacity to the waiting calls in the order of the queue.
// It knows the exact state of all targets.
type oracle struct {
	sim *simulation
	// newestFirst makes the newest of equally urgent calls the first.
	newestFirst bool
	mu          sync.Mutex
	assigned    map[string]int
	waiting     []*Request
}

func (o *oracle) Place(ctx context.Context, req Request) (Grant, error) {
	o.mu.Lock()
	o.waiting = append(o.waiting, &req)
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.waiting = slices.DeleteFunc(o.waiting, func(other *Request) bool { return other == &req })
	}()
	for ; ; time.Sleep(time.Millisecond) {
		if ctx.Err() != nil || time.Now().Add(req.TypicalTime).After(req.Deadline) {
			return Grant{}, &RejectedError{}
		}
		if id, ok := o.assign(&req); ok {
			return Grant{Choice: placement.Choice{ID: id}}, nil
		}
	}
}

// assign returns a fast target with capacity if the request is the first of the queue.
func (o *oracle) assign(req *Request) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	late := func(r *Request) bool { return now.Add(r.TypicalTime).After(r.Objective) }
	first := slices.MinFunc(o.waiting, func(a, b *Request) int {
		switch {
		case late(a) != late(b):
			if late(b) {
				return -1
			}
			return 1
		case a.Priority != b.Priority:
			return a.Priority - b.Priority
		case o.newestFirst:
			return b.Objective.Compare(a.Objective)
		}
		return a.Objective.Compare(b.Objective)
	})
	if first != req {
		return "", false
	}
	o.sim.mu.Lock()
	defer o.sim.mu.Unlock()
	for _, s := range o.sim.targets {
		slowed := o.sim.scenario.unreportedSlowdown != nil && o.sim.scenario.unreportedSlowdown(s.index, time.Since(o.sim.started)) > 1
		if o.assigned[s.id] < o.sim.scenario.behavior.bestConcurrency(o.sim.scenario.slots) && !s.slow(time.Since(o.sim.started)) && !slowed {
			o.assigned[s.id]++
			return s.id, true
		}
	}
	return "", false
}

// bestConcurrency returns the number of concurrent requests at which a target has the
// highest throughput.
func (b behavior) bestConcurrency(slots int) int {
	below := max(1, int(math.Ceil(b.contentionAt*float64(slots)))-1)
	if float64(slots)/b.contentionFactor > float64(below) {
		return slots
	}
	return below
}

func (o *oracle) Done(g Grant, _ Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.assigned[g.ID]--
}

// runOracle runs a scenario with targets assigned by the oracle.
func runOracle(t *testing.T, sc scenario, newestFirst bool) map[string]*tally {
	var tallies map[string]*tally
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(sc, 3)
		o := &oracle{sim: sim, newestFirst: newestFirst, assigned: map[string]int{}}
		sim.sendCalls(t.Context(), []placer{o}, []string{"oracle"})
		tallies = sim.tallies
	})
	return tallies
}

// runDispatchers runs a scenario with dispatchers. The hosts share one dispatcher, or each
// host dispatches its own calls if standalone is set.
func runDispatchers(t *testing.T, sc scenario, standalone bool) map[string]*tally {
	var tallies map[string]*tally
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		sim := newSimulation(sc, 3)
		g := group.New(context.Background())
		s := &directory.Snapshot{Hosts: map[string]directory.Host{}, Targets: map[string][]roster.ActiveTarget{}, MaxHosts: sc.hosts, HostChanges: 1}
		s.Table = routing.NewTable(&routing.Config{Services: map[string]routing.Service{"s": {Name: "s", HealthPath: "/h"}}})
		for n := range sc.targets {
			s.Targets["s"] = append(s.Targets["s"], roster.ActiveTarget{Target: roster.Target{ID: fmt.Sprintf("t-%d", n), Service: "s", Domain: "d", Slots: sc.slots}})
		}
		names, list := make([]string, 0, sc.hosts), make([]*Dispatcher, 0, sc.hosts)
		byAddress := map[netip.AddrPort]*Dispatcher{}
		for n := range sc.hosts {
			name := fmt.Sprintf("host-%d", n)
			s.Hosts[name] = directory.Host{Name: name, Domain: "d", PeerAddress: address(n)}
			cfg := Config{Self: name, Prober: sim, Placement: placement.DefaultConfig(), ProbesPerSecond: 60, OnProbe: func(string, ProbeCause) {}, Log: logrus.NewEntry(logger)}
			if !standalone {
				cfg.Send = func(to netip.AddrPort, m Message) error {
					from := address(n)
					time.AfterFunc(transit, func() {
						if !sim.crashed(name) {
							byAddress[to].Receive(from, m)
						}
					})
					return nil
				}
			}
			d := New(cfg, g)
			names, list, byAddress[address(n)] = append(names, name), append(list, d), d
		}
		ticks, stop := context.WithCancel(context.Background())
		for _, d := range list {
			d.SetSnapshot(s, nil)
			g.Go("tick", func(context.Context) error {
				for ticks.Err() == nil {
					time.Sleep(100 * time.Millisecond)
					d.Tick(time.Now())
				}
				return nil
			})
		}
		placers := make([]placer, 0, sc.hosts)
		for n, d := range list {
			placers = append(placers, d)
			if !d.cells["s"].dispatchedBy(names[n]) {
				sim.crashedHost = names[n]
			}
		}
		sim.sendCalls(t.Context(), placers, names)
		stop()
		_ = g.Stop()
		tallies = sim.tallies
	})
	return tallies
}

// between returns a function of time with the value inside between two times, and
// 1 otherwise.
func between(from, to time.Duration, inside float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return inside
		}
		return 1
	}
}

// The dispatchers must serve nearly as many calls in time as an oracle does, in bursts, with
// an unreported slowdown of targets, and after the crash of a host. The test also fails if
// a rejection comes too late for a retry.
func TestCallersGetNearlyWhatAnOracleGives(t *testing.T) {
	reads := callKind{name: "read", priority: 1, perSecond: 90, serviceTime: 120 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 1200 * time.Millisecond}
	books := callKind{name: "book", priority: 0, perSecond: 25, serviceTime: 160 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond}
	reports := callKind{name: "report", priority: 2, perSecond: 16, serviceTime: 300 * time.Millisecond, objective: 800 * time.Millisecond, deadline: 2 * time.Second}
	short := callKind{name: "read", perSecond: 400, serviceTime: 20 * time.Millisecond, objective: 100 * time.Millisecond, deadline: 1500 * time.Millisecond}
	kinds := []callKind{reads, books, reports}
	tests := []struct {
		name     string
		scenario scenario
	}{
		{name: "calm", scenario: scenario{kinds: kinds}},
		{name: "burst", scenario: scenario{kinds: kinds, burst: between(2*time.Second, 4*time.Second, 2.5)}},
		{name: "a third of the targets is slow without reporting it", scenario: scenario{kinds: kinds, unreportedSlowdown: func(target int, at time.Duration) float64 {
			if target%3 == 0 {
				return between(2*time.Second, 5*time.Second, 6)(at)
			}
			return 1
		}}},
		{name: "a host crashes with its requests", scenario: scenario{kinds: kinds, crashAt: 2 * time.Second}},
		{name: "one of two hosts crashes with its requests", scenario: scenario{kinds: []callKind{short}, hosts: 2, targets: 6, crashAt: 2 * time.Second}},
	}
	// minShare is the minimum ratio of calls within their objectives to those of the oracle.
	// The oracle's knowledge is never stale and costs no messages.
	const minShare = 0.8
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.scenario.slots, tt.scenario.length = 3, 7*time.Second
			if tt.scenario.hosts == 0 {
				tt.scenario.hosts, tt.scenario.targets = 4, 16
			}
			oracleResult := runOracle(t, tt.scenario, false)
			shared := runDispatchers(t, tt.scenario, false)
			standalone := runDispatchers(t, tt.scenario, true)
			for _, k := range tt.scenario.kinds {
				t.Logf("%-6s in time, late, rejected: oracle %.3f %d %d; shared %.3f %d %d; standalone %.3f %d %d of %d", k.name,
					oracleResult[k.name].share(), oracleResult[k.name].late, oracleResult[k.name].rejected,
					shared[k.name].share(), shared[k.name].late, shared[k.name].rejected,
					standalone[k.name].share(), standalone[k.name].late, standalone[k.name].rejected, shared[k.name].calls)
				require.GreaterOrEqual(t, shared[k.name].share(), minShare*oracleResult[k.name].share(), k.name)
				require.LessOrEqual(t, shared[k.name].maxRejectionTime, k.deadline-k.serviceTime/2, "rejections must come early enough for a retry")
			}
		})
	}
}
