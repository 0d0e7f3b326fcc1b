package route_test

// This file defines the virtual-time loop that compares the shapes of a call.

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

// size is one partner's installation.
type size struct {
	name     string
	entries  int
	domains  int
	targets  int
	slots    int
	crossing time.Duration
	service  time.Duration
}

var (
	exchange = size{name: "exchange", entries: 16, domains: 4, targets: 8, slots: 2, crossing: 1500 * time.Microsecond, service: 20 * time.Millisecond}
	bitacora = size{name: "bitacora", entries: 16, domains: 3, targets: 9, slots: 3, crossing: 500 * time.Microsecond, service: 20 * time.Millisecond}
)

const (
	within = 100 * time.Microsecond
	sigma  = 0.8
)

// job is one call in the loop.
type job struct {
	id      int
	entry   int
	arrived time.Duration
	service time.Duration
	done    bool
}

// slotTarget is a fake target: slots, a queue and a speed that changes while
// calls run.
type slotTarget struct {
	loop    *loop
	domain  int
	slots   int
	running []*running
	waiting []func()
	slow    float64
	fails   bool
}

// running is a call on a slot. left is the work that remains as of since.
type running struct {
	left  time.Duration
	since time.Duration
	round int
	end   func()
}

// run occupies a slot until the job's work is done, then calls end.
func (t *slotTarget) run(j *job, end func(ok bool)) {
	start := func() {
		ok := !t.fails
		r := &running{left: j.service, since: t.loop.now}
		if t.fails {
			r.left = time.Millisecond
		}
		r.end = func() { t.finish(r, ok, end) }
		t.running = append(t.running, r)
		t.schedule(r)
	}
	if len(t.running) < t.slots {
		start()
		return
	}
	t.waiting = append(t.waiting, start)
}

func (t *slotTarget) schedule(r *running) {
	r.round++
	round := r.round
	t.loop.after(time.Duration(float64(r.left)*t.slow), func() {
		if r.round == round {
			r.end()
		}
	})
}

func (t *slotTarget) finish(r *running, ok bool, end func(bool)) {
	t.running = slices.Delete(t.running, slices.Index(t.running, r), slices.Index(t.running, r)+1)
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		next()
	}
	end(ok)
}

// setSlow changes the speed of the calls that run and of those to come.
func (t *slotTarget) setSlow(slow float64) {
	old := t.slow
	t.slow = slow
	for _, r := range t.running {
		r.left -= time.Duration(float64(t.loop.now-r.since) / old)
		r.since = t.loop.now
		t.schedule(r)
	}
}

func (t *slotTarget) busy() int { return len(t.running) }

// loop is the virtual time, the targets and the counters.
type loop struct {
	size     size
	rng      *rand.Rand
	now      time.Duration
	seq      int
	events   eventHeap
	targets  []*slotTarget
	latency  []time.Duration
	failed   int
	refused  int
	messages int
	open     int
	sent     int
}

var epoch = time.Unix(1_000_000, 0)

func (l *loop) clock() time.Time { return epoch.Add(l.now) }

func (l *loop) after(d time.Duration, fn func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now + d, seq: l.seq, fn: fn})
}

// distance is the one-way time between domains.
func (l *loop) distance(a, b int) time.Duration {
	if a == b {
		return within
	}
	return l.size.crossing
}

func newLoop(s size, seed uint64) *loop {
	l := &loop{size: s, rng: rand.New(rand.NewPCG(seed, 17))}
	for i := range s.targets {
		l.targets = append(l.targets, &slotTarget{loop: l, domain: i % s.domains, slots: s.slots, slow: 1})
	}
	return l
}

func (l *loop) entryDomain(entry int) int { return entry % l.size.domains }

// lognormal draws a service time with the mean of the size.
func (l *loop) lognormal() time.Duration {
	mu := math.Log(float64(l.size.service)) - sigma*sigma/2
	return time.Duration(math.Exp(mu + sigma*l.rng.NormFloat64()))
}

// policy sends a job on its way; it calls finish exactly once.
type policy interface {
	send(j *job, finish func(outcome))
}

type outcome int

const (
	answered outcome = iota
	failed
	refused
)

// run offers calls at the given load and returns when all have ended.
func (l *loop) run(p policy, load float64, calls int, scenario func(*loop)) {
	capacity := float64(l.size.targets*l.size.slots) / l.size.service.Seconds()
	gap := float64(time.Second) / (capacity * load)
	if scenario != nil {
		scenario(l)
	}
	var arrive func(n int)
	arrive = func(n int) {
		if n == calls {
			return
		}
		j := &job{id: n, entry: l.rng.IntN(l.size.entries), arrived: l.now, service: l.lognormal()}
		l.open++
		l.sent++
		p.send(j, func(o outcome) { l.finish(j, o) })
		l.after(time.Duration(gap*l.rng.ExpFloat64()), func() { arrive(n + 1) })
	}
	arrive(0)
	for l.events.Len() > 0 && (l.open > 0 || l.sent < calls) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.fn()
	}
}

func (l *loop) finish(j *job, o outcome) {
	if j.done {
		panic("a job ended twice")
	}
	j.done = true
	l.open--
	switch o {
	case answered:
		l.latency = append(l.latency, l.now-j.arrived)
	case failed:
		l.failed++
	case refused:
		l.refused++
	}
}

func (l *loop) percentile(p float64) time.Duration {
	if len(l.latency) == 0 {
		return 0
	}
	sorted := slices.Clone(l.latency)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
