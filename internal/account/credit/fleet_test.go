package credit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// This file defines fleet, which runs spenders and issuers of several hosts in virtual time.

const ms = time.Millisecond

// delivery is a message on its way.
type delivery struct {
	at  time.Duration
	to  string
	msg Message
}

type deliveries []delivery

func (q deliveries) Len() int           { return len(q) }
func (q deliveries) Less(a, b int) bool { return q[a].at < q[b].at }
func (q deliveries) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *deliveries) Push(x any)        { *q = append(*q, x.(delivery)) }
func (q *deliveries) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// waiter is a request that waits for credit.
type waiter struct {
	account string
	until   time.Duration
	arrived time.Duration
}

// member is a host of a fleet. Its clock is ahead of the fleet's by offset.
type member struct {
	name    string
	offset  time.Duration
	spender *Spender
	issuer  *Issuer
	view    View
	// stopped is set while the host is frozen: it processes nothing, but its clock advances.
	stopped, dead bool
	inbox         []delivery
	waiters       []waiter
	pollAt        time.Duration
}

// quota is an account with its demand in requests a second over all hosts.
type quota struct {
	name   string
	limit  Limit
	demand float64
}

// fleet is a set of hosts with a network between them.
type fleet struct {
	now     time.Duration
	rng     *rand.Rand
	members []*member
	quotas  []quota
	queue   deliveries
	byName  map[string]*member
	// loss and repeated are the shares of messages that are lost or arrive twice.
	loss, repeated float64
	delay          time.Duration
	jitter         time.Duration
	// cut reports whether no message gets from one host to another.
	cut func(from, to string) bool
	// unrun is the share of charged requests that do not run, and are refunded after refundTime.
	unrun      float64
	refundTime time.Duration

	charges map[string][]time.Duration
	refused map[string][]time.Duration
	failed  map[string][]time.Duration
	// waited holds the waits of requests that were refused.
	waited   []time.Duration
	messages int
	entries  int
	runs     uint64
	refunds  []refund
	// onSend is called with each message that goes over the network; nil for nothing.
	onSend func(m Message)
	// onRequest is called with each request; nil for nothing.
	onRequest func(account string)
}

// refund is a charged request that will not run.
type refund struct {
	at      time.Duration
	m       *member
	account string
	lease   Lease
	spender *Spender
}

func newFleet(seed uint64, hosts int, quotas ...quota) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), quotas: quotas, byName: map[string]*member{}, delay: ms / 2, jitter: ms, charges: map[string][]time.Duration{}, refused: map[string][]time.Duration{}, failed: map[string][]time.Duration{}}
	for n := range hosts {
		f.members = append(f.members, &member{name: fmt.Sprintf("host-%d", n), offset: time.Duration(f.rng.Int64N(int64(time.Hour)))})
	}
	for _, m := range f.members {
		f.byName[m.name] = m
		f.restart(m)
	}
	return f
}

func (f *fleet) limits() map[AccountID]Limit {
	limits := map[AccountID]Limit{}
	for _, q := range f.quotas {
		limits[ID(q.name)] = q.limit
	}
	return limits
}

// restart starts a new process of a host. Host 0 is the first of the ranking.
func (f *fleet) restart(m *member) {
	f.runs++
	now := f.now + m.offset
	*m = member{name: m.name, offset: m.offset, spender: NewSpender(now, m.name, f.runs), issuer: NewIssuer(now, m.name, f.runs), view: View{Hosts: len(f.members), Recorded: len(f.members)}, pollAt: f.now + time.Duration(f.rng.Int64N(int64(PollPeriod)))}
	ranked := make([]string, 0, len(f.members))
	for _, other := range f.members {
		ranked = append(ranked, other.name)
	}
	m.spender.SetCandidates(ranked)
	m.issuer.SetLimits(now, f.limits())
	m.issuer.SetView(now, m.view)
}

func (f *fleet) send(from *member, to string, msg Message) {
	if from.name == to {
		f.receive(from, msg)
		return
	}
	f.messages++
	f.entries += len(msg.Items)
	if f.onSend != nil {
		f.onSend(msg)
	}
	if f.rng.Float64() < f.loss || f.cut != nil && f.cut(from.name, to) {
		return
	}
	for copies := 1; copies > 0; copies-- {
		if f.rng.Float64() < f.repeated {
			copies++
		}
		heap.Push(&f.queue, delivery{at: f.now + f.delay + time.Duration(f.rng.Int64N(int64(f.jitter))), to: to, msg: msg})
	}
}

func (f *fleet) receive(m *member, msg Message) {
	now := f.now + m.offset
	if !msg.Response {
		if response, ok := m.issuer.Handle(now, msg); ok {
			f.send(m, msg.Sender, response)
		}
		return
	}
	again := m.spender.Receive(now, msg)
	f.serveWaiters(m)
	if again {
		f.poll(m)
	}
}

func (f *fleet) poll(m *member) {
	for _, out := range m.spender.Poll(f.now+m.offset, m.view) {
		f.send(m, out.To, out.Message)
	}
}

func (f *fleet) serveWaiters(m *member) {
	var rest []waiter
	for _, w := range m.waiters {
		now := f.now + m.offset
		d := m.spender.Charge(now, ID(w.account), true)
		if d.Outcome == Wait && f.now >= w.until {
			d = m.spender.Expire(now, ID(w.account))
		}
		if d.Outcome == Wait {
			rest = append(rest, w)
			continue
		}
		if d.Outcome == Exceeded {
			f.waited = append(f.waited, f.now-w.arrived)
		}
		f.record(m, w.account, d)
	}
	m.waiters = rest
}

func (f *fleet) record(m *member, account string, d Decision) {
	switch d.Outcome {
	case Charged:
		if f.rng.Float64() < f.unrun {
			f.refunds = append(f.refunds, refund{at: f.now + time.Duration(f.rng.Int64N(int64(f.refundTime))), m: m, account: account, lease: d.Lease, spender: m.spender})
			return
		}
		f.charges[account] = append(f.charges[account], f.now)
	case Exceeded:
		f.refused[account] = append(f.refused[account], f.now)
	default:
		f.failed[account] = append(f.failed[account], f.now)
	}
}

// run runs the fleet for a time, in steps of a millisecond.
func (f *fleet) run(length time.Duration) {
	for end := f.now + length; f.now < end; f.now += ms {
		for len(f.queue) > 0 && f.queue[0].at <= f.now {
			d := heap.Pop(&f.queue).(delivery)
			switch m := f.byName[d.to]; {
			case m.dead:
			case m.stopped:
				m.inbox = append(m.inbox, d)
			default:
				f.receive(m, d.msg)
			}
		}
		f.refunds = slices.DeleteFunc(f.refunds, func(r refund) bool {
			if r.at <= f.now && r.spender == r.m.spender && !r.m.stopped {
				r.spender.Refund(f.now+r.m.offset, ID(r.account), r.lease)
			}
			return r.at <= f.now
		})
		for _, q := range f.quotas {
			for n := f.rng.ExpFloat64() / q.demand; n < ms.Seconds(); n += f.rng.ExpFloat64() / q.demand {
				f.request(q.name)
			}
		}
		for _, m := range f.members {
			f.step(m)
		}
	}
}

// request sends a request to a host that serves.
func (f *fleet) request(account string) {
	if f.onRequest != nil {
		f.onRequest(account)
	}
	m := f.members[f.rng.IntN(len(f.members))]
	if m.dead || m.stopped {
		return
	}
	d := m.spender.Charge(f.now+m.offset, ID(account), false)
	if d.Outcome == Wait {
		m.waiters = append(m.waiters, waiter{account: account, until: f.now + MaxWait, arrived: f.now})
		f.poll(m)
		return
	}
	f.record(m, account, d)
}

func (f *fleet) step(m *member) {
	if m.dead || m.stopped {
		return
	}
	if f.now >= m.pollAt {
		m.pollAt = f.now + PollPeriod
		m.issuer.SetView(f.now+m.offset, m.view)
		f.poll(m)
	}
	if len(m.waiters) > 0 && f.now%(DemandPeriod) == 0 {
		f.poll(m)
		f.serveWaiters(m)
	}
}

// wake continues a stopped host, which first processes what it has missed.
func (f *fleet) wake(m *member) {
	m.stopped = false
	inbox := m.inbox
	m.inbox = nil
	for _, d := range inbox {
		f.receive(m, d.msg)
	}
}

// excess returns by how many requests an account exceeds its bound in the worst span of 5 s;
// negative if it stays below.
func excess(charges []time.Duration, limit Limit) float64 {
	const window = 5 * time.Second
	allowed := (limit.PerSecond*window.Seconds()+limit.Burst)*1.1 + 20
	worst, first := -allowed, 0
	for n, at := range charges {
		for at-charges[first] > window {
			first++
		}
		worst = max(worst, float64(n-first+1)-allowed)
	}
	return worst
}

// since returns the number of times at or after from.
func since(times []time.Duration, from time.Duration) int {
	n, _ := slices.BinarySearch(times, from)
	return len(times) - n
}
