package queue

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/traffic/fairshare"
)

// This file plays loads with too little capacity in virtual time: on the queue, on one with the
// order from before accounts, and on an oracle that knows the work of each request.

// order is the order of a queue that is played.
type order interface {
	add(now time.Time, r *job) (retryAfter time.Duration, ok bool)
	// starts returns the requests in the order in which they should start.
	starts(now time.Time, backlogged bool) []*job
	started(now time.Time, r *job)
	ended(r *job, took time.Duration)
	// hopeless removes and returns the requests that are to be rejected.
	hopeless(now time.Time) []*job
	len() int
}

// job is a request of a load.
type job struct {
	Request
	kind    *loadKind
	account string
	work    time.Duration
	tries   int
}

// loadKind is a kind of request of a load.
type loadKind struct {
	name                string
	priority            int
	perSecond           float64
	work                time.Duration
	objective, deadline time.Duration
	// burst is the factor on the rate at a time; nil for none.
	burst func(at time.Duration) float64
	// claimed is the typical time that hotAccount claims; zero for the true one.
	claimed time.Duration
	// maxWork is the factor up to which the work of requests differs from work, and 1/maxWork the
	// one down to which it does.
	maxWork float64
}

// load is a load on a service.
type load struct {
	targets, slots int
	kinds          []*loadKind
	length         time.Duration
	// accounts is the number of accounts, of which the rates fall with their rank (Zipf); zero for
	// none. Account a-0 has the highest rate. Its usual rate weighs an account if weighted is set.
	accounts int
	weighted bool
	// hotRate is the factor on the rate of a-0 at a time; nil for none.
	hotRate func(at time.Duration) float64
	// lowPriority is an account whose requests have a priority of 9; empty for none.
	lowPriority string
	// slowdown is how much longer requests take at a target; nil for none.
	slowdown func(target int, at time.Duration) float64
	// down reports whether the targets are out of reach.
	down func(at time.Duration) bool
	// impatient is the share of the clients that come back at once, up to returns times. Others come
	// back once after the Retry-After.
	impatient float64
	returns   int
}

// result counts what callers got.
type result struct{ calls, served, inTime int }

func (r result) share() float64       { return float64(r.served) / float64(max(1, r.calls)) }
func (r result) inTimeShare() float64 { return float64(r.inTime) / float64(max(1, r.calls)) }
func (r *result) add(o result) {
	r.calls, r.served, r.inTime = r.calls+o.calls, r.served+o.served, r.inTime+o.inTime
}

func (r result) String() string {
	return fmt.Sprintf("%d calls, %.3f served, %.3f in time", r.calls, r.share(), r.inTimeShare())
}

// results are by kind and by account.
type results struct {
	all       result
	byKind    map[string]*result
	byAccount map[string]*result
	// othersByKind counts the requests of other accounts than hotAccount.
	othersByKind map[string]*result
}

func newResults() *results {
	return &results{byKind: map[string]*result{}, byAccount: map[string]*result{}, othersByKind: map[string]*result{}}
}

func (r *results) count(j *job, served, inTime bool) {
	one := result{calls: 1}
	if served {
		one.served = 1
	}
	if inTime {
		one.inTime = 1
	}
	r.all.add(one)
	entryOf(r.byKind, j.kind.name).add(one)
	entryOf(r.byAccount, j.account).add(one)
	if j.account != hotAccount {
		entryOf(r.othersByKind, j.kind.name).add(one)
	}
}

// add adds the results of another run.
func (r *results) add(o *results) {
	r.all.add(o.all)
	for name, one := range o.byKind {
		entryOf(r.byKind, name).add(*one)
	}
	for name, one := range o.byAccount {
		entryOf(r.byAccount, name).add(*one)
	}
	for name, one := range o.othersByKind {
		entryOf(r.othersByKind, name).add(*one)
	}
}

// worst returns the account of which the smallest share is served, of those with enough calls.
func (r *results) worst() (account string, share float64) {
	const minCalls = 30
	share = 2
	for _, name := range slices.Sorted(maps.Keys(r.byAccount)) {
		if one := r.byAccount[name]; one.calls >= minCalls && one.share() < share {
			account, share = name, one.share()
		}
	}
	return account, share
}

func entryOf(m map[string]*result, key string) *result {
	if m[key] == nil {
		m[key] = &result{}
	}
	return m[key]
}

// others returns the sum of all accounts but hotAccount.
func (r *results) others() result {
	out := r.all
	if one := r.byAccount[hotAccount]; one != nil {
		out.calls, out.served, out.inTime = out.calls-one.calls, out.served-one.served, out.inTime-one.inTime
	}
	return out
}

// hotAccount is the account with the highest rate.
const hotAccount = "a-0"

// drawAccount returns a random account and its usual rate, relative to that of a-0. hot is the factor
// on the rate of a-0.
func drawAccount(rng *rand.Rand, accounts int, hot float64) (string, float64) {
	u := rng.Float64() * (hot - 1 + usualRate(accounts))
	if u -= hot; u <= 0 {
		return hotAccount, 1
	}
	n := 1
	for ; n < accounts-1; n++ {
		if u -= 1 / float64(n+1); u <= 0 {
			break
		}
	}
	return fmt.Sprintf("a-%d", n), 1 / float64(n+1)
}

// usualRate returns the sum of the usual rates of all accounts, relative to that of a-0.
func usualRate(accounts int) float64 {
	sum := 0.0
	for n := range accounts {
		sum += 1 / float64(n+1)
	}
	return sum
}

// arrivalsOf returns the requests of a load by the millisecond of their arrival.
func (l *load) arrivalsOf(rng *rand.Rand, start time.Time) map[int][]*job {
	arrivals := map[int][]*job{}
	for _, k := range l.kinds {
		for at := time.Duration(0); at < l.length; {
			rate, hot := k.perSecond, 1.0
			if k.burst != nil {
				rate *= k.burst(at)
			}
			if l.hotRate != nil {
				hot = l.hotRate(at)
				rate *= 1 + (hot-1)/usualRate(l.accounts)
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			account, weight, priority := "", 0.0, k.priority
			if l.accounts > 0 {
				account, weight = drawAccount(rng, l.accounts, hot)
				if account == l.lowPriority {
					priority = 9
				}
			}
			if !l.weighted {
				weight = 0
			}
			spread := max(1, k.maxWork)
			work := time.Duration(float64(k.work) * math.Pow(spread, 2*rng.Float64()-1))
			typical := k.work
			if k.claimed > 0 && account == hotAccount {
				typical = k.claimed
			}
			born := start.Add(at)
			j := &job{kind: k, account: account, work: work}
			j.Request = Request{Priority: priority, Objective: born.Add(k.objective), Deadline: born.Add(k.deadline), TypicalTime: typical, Account: account, Weight: fairshare.Weight(weight)}
			arrivals[int(at/time.Millisecond)] = append(arrivals[int(at/time.Millisecond)], j)
		}
	}
	return arrivals
}

// play plays a load in steps of a millisecond.
func (l *load) play(seed uint64, o order) *results {
	type run struct {
		job    *job
		target int
		from   time.Time
	}
	rng, start := rand.New(rand.NewPCG(seed, 9)), time.Unix(1000, 0)
	arrivals := l.arrivalsOf(rng, start)
	res := newResults()
	running, ends := make([]int, l.targets), map[int][]run{}
	refuse := func(ms int, now time.Time, j *job, retryAfter time.Duration) {
		left, returns := j.Deadline.Sub(now), 1
		retryAfter = min(retryAfter, left/3)
		if rng.Float64() < l.impatient {
			returns, retryAfter = l.returns, time.Millisecond
		}
		if j.tries >= returns || left <= 0 {
			res.count(j, false, false)
			return
		}
		again := &job{kind: j.kind, account: j.account, work: j.work, tries: j.tries + 1}
		again.Request = Request{Priority: j.Priority, Objective: j.Objective, Deadline: j.Deadline, TypicalTime: j.TypicalTime, Account: j.Account, Weight: j.Weight}
		at := ms + 2 + int(retryAfter/time.Millisecond)
		arrivals[at] = append(arrivals[at], again)
	}
	slowdown := func(target int, at time.Duration) float64 {
		if l.slowdown == nil {
			return 1
		}
		return l.slowdown(target, at)
	}
	for ms := range int((l.length + 10*time.Second) / time.Millisecond) {
		at := time.Duration(ms) * time.Millisecond
		now := start.Add(at)
		for _, e := range ends[ms] {
			running[e.target]--
			o.ended(e.job, time.Duration(float64(now.Sub(e.from))/slowdown(e.target, e.from.Sub(start))))
			res.count(e.job, !now.After(e.job.Deadline), !now.After(e.job.Objective))
		}
		delete(ends, ms)
		for _, j := range arrivals[ms] {
			if retryAfter, ok := o.add(now, j); !ok {
				refuse(ms, now, j, retryAfter)
			}
		}
		delete(arrivals, ms)
		if o.len() == 0 || l.down != nil && l.down(at) {
			continue
		}
		free := func() int {
			best := -1
			for t := range running {
				if running[t] < l.slots && (best < 0 || slowdown(t, at) < slowdown(best, at) || slowdown(t, at) == slowdown(best, at) && running[t] < running[best]) {
					best = t
				}
			}
			return best
		}
		if t := free(); t >= 0 {
			for _, j := range o.starts(now, float64(o.len()) > 0.25*float64(l.targets)) {
				if t = free(); t < 0 {
					break
				}
				o.started(now, j)
				running[t]++
				end := ms + max(1, int(float64(j.work)*slowdown(t, at)/float64(time.Millisecond)))
				ends[end] = append(ends[end], run{job: j, target: t, from: now})
			}
		}
		for _, j := range o.hopeless(now) {
			refuse(ms, now, j, 400*time.Millisecond)
		}
	}
	return res
}

// fairOrder plays a Queue.
type fairOrder struct {
	q     *Queue
	slots int
	jobs  map[*Request]*job
}

func newFairOrder(slots int) *fairOrder {
	return &fairOrder{q: New(), slots: slots, jobs: map[*Request]*job{}}
}

func (f *fairOrder) add(now time.Time, j *job) (time.Duration, bool) {
	retryAfter, ok := f.q.Add(now, &j.Request, Capacity{Slots: f.slots})
	if ok {
		f.jobs[&j.Request] = j
	}
	return retryAfter, ok
}

func (f *fairOrder) starts(now time.Time, backlogged bool) []*job {
	var list []*Request
	if backlogged {
		list = f.q.InTime(now)
	}
	seen := map[*Request]bool{}
	for _, r := range list {
		seen[r] = true
	}
	out := make([]*job, 0, f.q.Len())
	for _, r := range append(list, slices.DeleteFunc(f.q.Ordered(now), func(r *Request) bool { return seen[r] })...) {
		out = append(out, f.jobs[r])
	}
	return out
}

func (f *fairOrder) started(now time.Time, j *job) {
	f.q.Remove(&j.Request)
	delete(f.jobs, &j.Request)
	f.q.RecordStart(now, &j.Request)
}

func (f *fairOrder) ended(j *job, took time.Duration) {
	f.q.RecordEnd(j.account, j.TypicalTime, took)
}

func (f *fairOrder) hopeless(now time.Time) []*job {
	list := f.q.Unservable(now, Capacity{Slots: f.slots})
	out := make([]*job, 0, len(list))
	for _, r := range list {
		f.q.RecordTurnedAway(now, r)
		out = append(out, f.jobs[r])
		f.q.Remove(r)
		delete(f.jobs, r)
	}
	return out
}

func (f *fairOrder) len() int { return f.q.Len() }

// plainOrder is the order of the queue from before accounts: by lateness, priority and objective.
type plainOrder struct {
	fairOrder
}

func newPlainOrder(slots int) *plainOrder { return &plainOrder{fairOrder: *newFairOrder(slots)} }

func (p *plainOrder) add(now time.Time, j *job) (time.Duration, bool) {
	j.Account = ""
	return p.fairOrder.add(now, j)
}

// oracle knows the work of each request. It starts those that end in time first, by priority and
// then by their work, and rejects those that cannot end before their deadlines.
type oracle struct{ waiting []*job }

func (o *oracle) add(_ time.Time, j *job) (time.Duration, bool) {
	o.waiting = append(o.waiting, j)
	return 0, true
}

func (o *oracle) starts(now time.Time, _ bool) []*job {
	list := slices.Clone(o.waiting)
	late := func(j *job) int {
		if now.Add(j.work).After(j.Objective) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(list, func(a, b *job) int {
		return cmp.Or(late(a)-late(b), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.work, b.work))
	})
	return list
}

func (o *oracle) started(_ time.Time, j *job) { o.leave(j) }
func (o *oracle) ended(*job, time.Duration)   {}

func (o *oracle) hopeless(now time.Time) []*job {
	var out []*job
	for _, j := range slices.Clone(o.waiting) {
		if now.Add(j.work).After(j.Deadline) {
			o.leave(j)
			out = append(out, j)
		}
	}
	return out
}

func (o *oracle) leave(j *job) {
	o.waiting = slices.DeleteFunc(o.waiting, func(other *job) bool { return other == j })
}
func (o *oracle) len() int { return len(o.waiting) }

// between returns a function of time with a value inside a period, and 1 otherwise.
func between(from, to time.Duration, inside float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return inside
		}
		return 1
	}
}

// playOn plays a load with several seeds on an order.
func (l *load) playOn(newOrder func() order) *results {
	const seeds = 2
	sum := newResults()
	for seed := range uint64(seeds) {
		sum.add(l.play(seed, newOrder()))
	}
	return sum
}

func lookups() *loadKind {
	return &loadKind{name: "lookup", perSecond: 220, work: 180 * time.Millisecond, objective: 500 * time.Millisecond, deadline: 2 * time.Second, maxWork: 1.6}
}

func uploads() *loadKind {
	return &loadKind{name: "upload", priority: 1, perSecond: 23, work: 210 * time.Millisecond, objective: 1200 * time.Millisecond, deadline: 3 * time.Second, maxWork: 1.6}
}

func reports(perSecond float64) *loadKind {
	return &loadKind{name: "report", priority: 2, perSecond: perSecond, work: 700 * time.Millisecond, objective: 3 * time.Second, deadline: 6 * time.Second, maxWork: 1.6}
}

func (k *loadKind) withBurst(burst func(at time.Duration) float64) *loadKind {
	k.burst = burst
	return k
}

func (k *loadKind) withEqualWork() *loadKind {
	k.maxWork = 1
	return k
}

func (k *loadKind) claiming(claimed time.Duration) *loadKind {
	k.claimed = claimed
	return k
}

// Guards against callers who get less of a capacity that does not suffice than the order allows: all
// of them, those of a kind, and those of an account that did not cause the overload.
func TestLoadsWithTooLittleCapacity(t *testing.T) {
	burst := between(2*time.Second, 6*time.Second, 1.9)
	hot := between(2*time.Second, 8500*time.Millisecond, 6)
	quarterSlow := func(target int, at time.Duration) float64 {
		if target%4 == 0 {
			return between(2*time.Second, 8*time.Second, 3+float64(target%3))(at)
		}
		return 1
	}
	outage := func(at time.Duration) bool { return at > 3*time.Second && at < 5*time.Second }
	tests := []struct {
		name string
		load load
		// minOthers is the minimum share that is served of the requests of accounts other than
		// hotAccount, and minOthersGain the minimum gain of that share.
		minOthers, minOthersGain float64
		// minUploadsGain is the minimum gain of the share of their uploads, which are less urgent.
		minUploadsGain float64
	}{
		{name: "burst beside uploads", load: load{kinds: []*loadKind{lookups().withBurst(burst), uploads()}}},
		{name: "burst beside uploads and reports", load: load{kinds: []*loadKind{lookups().withBurst(burst), uploads(), reports(10)}}},
		{name: "burst of all accounts", load: load{kinds: []*loadKind{lookups().withBurst(burst), uploads()}, accounts: 88}},
		{name: "burst of all accounts, weighted", load: load{kinds: []*loadKind{lookups().withBurst(burst), uploads()}, accounts: 88, weighted: true}},
		{name: "hot account", load: load{kinds: []*loadKind{lookups(), uploads()}, accounts: 88, hotRate: hot}, minOthers: 0.9, minOthersGain: 0.08, minUploadsGain: 0.2},
		{name: "hot account, weighted", load: load{kinds: []*loadKind{lookups(), uploads(), reports(10)}, accounts: 88, weighted: true, hotRate: hot}, minOthers: 0.87, minOthersGain: 0.08, minUploadsGain: 0.05},
		{name: "hot account that claims little work", load: load{kinds: []*loadKind{lookups().claiming(20 * time.Millisecond), uploads()}, accounts: 88, hotRate: hot}, minOthers: 0.9, minOthersGain: 0.08, minUploadsGain: 0.2},
		{name: "account with a low priority", load: load{kinds: []*loadKind{lookups().withBurst(between(time.Second, 9*time.Second, 4)).withEqualWork()}, accounts: 10, lowPriority: "a-3"}},
		{name: "a quarter of the targets is slow", load: load{kinds: []*loadKind{lookups(), uploads(), reports(15)}, accounts: 88, slowdown: quarterSlow}},
		{name: "impatient clients", load: load{kinds: []*loadKind{lookups().withBurst(burst), uploads()}, accounts: 88, impatient: 0.3, returns: 8}},
		{name: "all targets are back after an outage", load: load{kinds: []*loadKind{lookups(), uploads(), reports(10)}, accounts: 88, down: outage}},
	}
	const (
		// maxLoss is what all callers together may lose against the order without accounts, and
		// minOracleRatio the least ratio to what the oracle serves in time.
		maxLoss        = 0.01
		minOracleRatio = 0.9
		// minAccountRatio is the least ratio of the share of an account to that of all requests,
		// and maxInversion how much less often a kind may be served than a less urgent one.
		minAccountRatio = 0.25
		maxInversion    = 0.05
	)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.load.targets, tt.load.slots, tt.load.length = 20, 3, 10*time.Second
			slots := tt.load.targets * tt.load.slots
			plain := tt.load.playOn(func() order { return newPlainOrder(slots) })
			fair := tt.load.playOn(func() order { return newFairOrder(slots) })
			best := tt.load.playOn(func() order { return &oracle{} })
			for i, r := range []*results{plain, fair, best} {
				account, worst := r.worst()
				t.Logf("%-6s %v; by kind %v; %s %v, others %v %v; least served %s %.3f", []string{"before", "now", "oracle"}[i], r.all, r.byKind, hotAccount, r.byAccount[hotAccount], r.others(), r.othersByKind, account, worst)
			}
			require.GreaterOrEqual(t, fair.all.share(), plain.all.share()-maxLoss)
			require.GreaterOrEqual(t, fair.all.inTimeShare(), plain.all.inTimeShare()-maxLoss)
			require.GreaterOrEqual(t, fair.all.inTimeShare(), minOracleRatio*best.all.inTimeShare())
			if tt.load.accounts == 0 {
				require.Equal(t, plain, fair, "nothing changes without accounts")
			}
			require.GreaterOrEqual(t, fair.others().share(), tt.minOthers)
			require.GreaterOrEqual(t, fair.others().share(), plain.others().share()+tt.minOthersGain-maxLoss)
			if tt.minUploadsGain > 0 {
				require.GreaterOrEqual(t, fair.othersByKind["upload"].share(), plain.othersByKind["upload"].share()+tt.minUploadsGain)
			}
			account, worst := fair.worst()
			require.GreaterOrEqual(t, worst, minAccountRatio*fair.all.share(), account)
			for i, k := range tt.load.kinds[1:] {
				inversion := func(r *results) float64 {
					return r.byKind[k.name].share() - r.byKind[tt.load.kinds[i].name].share()
				}
				// While nothing is left for two kinds for longer than the deadline of the urgent one,
				// requests of the other one outlive that time.
				require.LessOrEqual(t, inversion(fair), max(maxInversion, inversion(best)+maxLoss), "%s before %s", k.name, tt.load.kinds[i].name)
				require.LessOrEqual(t, inversion(fair), max(maxInversion, inversion(plain)+maxLoss), "%s before %s", k.name, tt.load.kinds[i].name)
			}
		})
	}
}

// Guards against an account that gains by claiming less work than its requests take.
func TestClaimingLittleWorkGainsNothing(t *testing.T) {
	const maxGain = 0.02
	hot := between(2*time.Second, 8500*time.Millisecond, 6)
	play := func(claimed time.Duration) *results {
		l := load{targets: 20, slots: 3, length: 10 * time.Second, kinds: []*loadKind{lookups().claiming(claimed), uploads()}, accounts: 88, hotRate: hot}
		fair := l.playOn(func() order { return newFairOrder(l.targets * l.slots) })
		t.Logf("claimed %s: itself %v, others %v", claimed, fair.byAccount[hotAccount], fair.others())
		return fair
	}
	honest := play(0)
	for _, claimed := range []time.Duration{time.Millisecond, 60 * time.Millisecond} {
		got := play(claimed)
		require.LessOrEqual(t, got.byAccount[hotAccount].share(), honest.byAccount[hotAccount].share()+maxGain)
		require.GreaterOrEqual(t, got.others().share(), honest.others().share()-maxGain)
	}
}
