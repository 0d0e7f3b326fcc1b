package route_test

// This file defines a discrete-event simulation that compares load balancing policies in
// virtual time.

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// deployment describes the size of one partner's installation.
type deployment struct {
	name             string
	hosts            int
	domains          int
	targets          int
	slots            int
	crossDomainDelay time.Duration
	service          time.Duration
}

var (
	exchange = deployment{name: "exchange", hosts: 16, domains: 4, targets: 8, slots: 2, crossDomainDelay: 1500 * time.Microsecond, service: 20 * time.Millisecond}
	bitacora = deployment{name: "bitacora", hosts: 16, domains: 3, targets: 9, slots: 3, crossDomainDelay: 500 * time.Microsecond, service: 20 * time.Millisecond}
)

const (
	intraDomainDelay = 100 * time.Microsecond
	// sigma is the standard deviation of the logarithm of the service time.
	sigma = 0.8
)

// job is a simulated call.
type job struct {
	id      int
	host    int
	arrived time.Duration
	service time.Duration
	done    bool
}

// simTarget is a simulated target with slots, a queue and a speed that may change while
// calls run.
type simTarget struct {
	sim      *simulation
	domain   int
	slots    int
	running  []*execution
	queue    []func()
	slowdown float64
	fails    bool
}

// execution is a call that runs on a slot. remaining is the service time left at since. A
// new generation replaces the scheduled end after a change of speed.
type execution struct {
	remaining  time.Duration
	since      time.Duration
	generation int
	finish     func()
}

// run occupies a slot for the service time of the job, then calls end.
func (t *simTarget) run(j *job, end func(ok bool)) {
	start := func() {
		ok := !t.fails
		r := &execution{remaining: j.service, since: t.sim.now}
		if t.fails {
			r.remaining = time.Millisecond
		}
		r.finish = func() { t.finish(r, ok, end) }
		t.running = append(t.running, r)
		t.schedule(r)
	}
	if len(t.running) < t.slots {
		start()
		return
	}
	t.queue = append(t.queue, start)
}

func (t *simTarget) schedule(r *execution) {
	r.generation++
	generation := r.generation
	t.sim.after(time.Duration(float64(r.remaining)*t.slowdown), func() {
		if r.generation == generation {
			r.finish()
		}
	})
}

func (t *simTarget) finish(r *execution, ok bool, end func(bool)) {
	t.running = slices.Delete(t.running, slices.Index(t.running, r), slices.Index(t.running, r)+1)
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		next()
	}
	end(ok)
}

// setSlowdown changes the speed of running and future calls.
func (t *simTarget) setSlowdown(slowdown float64) {
	old := t.slowdown
	t.slowdown = slowdown
	for _, r := range t.running {
		r.remaining -= time.Duration(float64(t.sim.now-r.since) / old)
		r.since = t.sim.now
		t.schedule(r)
	}
}

func (t *simTarget) busy() int { return len(t.running) }

// simulation holds the virtual time, the targets and the counters.
type simulation struct {
	dep      deployment
	rng      *rand.Rand
	now      time.Duration
	seq      int
	events   eventHeap
	targets  []*simTarget
	latency  []time.Duration
	failed   int
	rejected int
	messages int
	inFlight int
	sent     int
}

var epoch = time.Unix(1_000_000, 0)

func (sim *simulation) wallTime() time.Time { return epoch.Add(sim.now) }

func (sim *simulation) after(d time.Duration, fn func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now + d, seq: sim.seq, fn: fn})
}

// delay returns the one-way network delay between two domains.
func (sim *simulation) delay(a, b int) time.Duration {
	if a == b {
		return intraDomainDelay
	}
	return sim.dep.crossDomainDelay
}

func newSimulation(dep deployment, seed uint64) *simulation {
	sim := &simulation{dep: dep, rng: rand.New(rand.NewPCG(seed, 17))}
	for i := range dep.targets {
		sim.targets = append(sim.targets, &simTarget{sim: sim, domain: i % dep.domains, slots: dep.slots, slowdown: 1})
	}
	return sim
}

func (sim *simulation) hostDomain(host int) int { return host % sim.dep.domains }

// randServiceTime draws a log-normal service time with the mean of the deployment.
func (sim *simulation) randServiceTime() time.Duration {
	mu := math.Log(float64(sim.dep.service)) - sigma*sigma/2
	return time.Duration(math.Exp(mu + sigma*sim.rng.NormFloat64()))
}

// policy sends a job to a target and calls finish exactly once.
type policy interface {
	send(j *job, finish func(outcome))
}

type outcome int

const (
	succeeded outcome = iota
	failed
	rejected
)

// run generates calls at the given load and returns when all have finished.
func (sim *simulation) run(p policy, load float64, calls int, scenario func(*simulation)) {
	capacity := float64(sim.dep.targets*sim.dep.slots) / sim.dep.service.Seconds()
	gap := float64(time.Second) / (capacity * load)
	if scenario != nil {
		scenario(sim)
	}
	var arrive func(n int)
	arrive = func(n int) {
		if n == calls {
			return
		}
		j := &job{id: n, host: sim.rng.IntN(sim.dep.hosts), arrived: sim.now, service: sim.randServiceTime()}
		sim.inFlight++
		sim.sent++
		p.send(j, func(o outcome) { sim.finish(j, o) })
		sim.after(time.Duration(gap*sim.rng.ExpFloat64()), func() { arrive(n + 1) })
	}
	arrive(0)
	for sim.events.Len() > 0 && (sim.inFlight > 0 || sim.sent < calls) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.fn()
	}
}

func (sim *simulation) finish(j *job, o outcome) {
	if j.done {
		panic("a job finished twice")
	}
	j.done = true
	sim.inFlight--
	switch o {
	case succeeded:
		sim.latency = append(sim.latency, sim.now-j.arrived)
	case failed:
		sim.failed++
	case rejected:
		sim.rejected++
	}
}

func (sim *simulation) percentile(p float64) time.Duration {
	if len(sim.latency) == 0 {
		return 0
	}
	sorted := slices.Clone(sim.latency)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
