package dispatch

// This file defines the queue that serves partners by share and the Members of
// a partner equally.

import "slices"

// fairQueue is a two-level start-time fair queue (Goyal, Vin and Cheng, 1996):
// partners are served by share, the Members of a partner equally, each in units
// of request weight. Work that may wait is served only when nothing else waits.
// A push, pop or peek costs the number of partners plus Members that wait.
type fairQueue struct {
	fair     bool
	shares   map[string]int
	classes  [2]*class
	waiting  int
	arrivals []*Call
}

// class holds the flows of one class of work.
type class struct {
	partners map[string]*partnerFlow
	virtual  float64
	length   int
}

type partnerFlow struct {
	members map[string]*memberFlow
	tag     float64
	virtual float64
	length  int
}

type memberFlow struct {
	calls []*Call
	tag   float64
}

func newFairQueue(fair bool) *fairQueue {
	q := &fairQueue{fair: fair, shares: map[string]int{}}
	for i := range q.classes {
		q.classes[i] = &class{partners: map[string]*partnerFlow{}}
	}
	return q
}

func (q *fairQueue) setShares(shares map[string]int) { q.shares = shares }

func (q *fairQueue) classOf(call *Call) *class {
	if call.MayWait {
		return q.classes[1]
	}
	return q.classes[0]
}

func (q *fairQueue) length() int { return q.waiting }

// empty reports whether no call of the class, or of one before it, waits.
func (q *fairQueue) empty(mayWait bool) bool {
	if mayWait {
		return q.waiting == 0
	}
	return q.classes[0].length == 0
}

// full reports whether the call exceeds its partner's bound. A Member below its
// equal part of the bound may always wait, so that a greedy Member cannot fill the
// queue for the others of its partner; at most twice the bound waits.
func (q *fairQueue) full(call *Call, bound int) bool {
	waiting, own, members := 0, 0, 1
	for _, c := range q.classes {
		p, ok := c.partners[call.Partner]
		if !ok {
			continue
		}
		waiting += p.length
		for name, m := range p.members {
			switch {
			case name == call.Member:
				own += len(m.calls)
			case len(m.calls) > 0:
				members++
			}
		}
	}
	return waiting >= bound && (!q.fair || own >= bound/members)
}

// ahead returns the number of waiting calls that would be served before call.
// Another partner's calls count only as far as shares let them go first.
func (q *fairQueue) ahead(call *Call) int {
	if !q.fair || call.MayWait {
		return q.waiting
	}
	c := q.classes[0]
	own := 0
	if p, ok := c.partners[call.Partner]; ok {
		own = p.length
	}
	others := c.length - own
	return own + min(others, (own+1)*q.otherShares(call.Partner)/q.share(call.Partner))
}

func (q *fairQueue) share(partner string) int { return max(1, q.shares[partner]) }

func (q *fairQueue) otherShares(partner string) int {
	sum := 0
	for name := range q.classes[0].partners {
		if name != partner {
			sum += q.share(name)
		}
	}
	return sum
}

func (q *fairQueue) push(call *Call) {
	call.queued = true
	q.waiting++
	if !q.fair {
		q.arrivals = append(q.arrivals, call)
		return
	}
	c := q.classOf(call)
	c.length++
	p, ok := c.partners[call.Partner]
	if !ok {
		p = &partnerFlow{members: map[string]*memberFlow{}, tag: c.virtual}
		c.partners[call.Partner] = p
	}
	if p.length == 0 {
		p.tag = max(p.tag, c.virtual)
	}
	p.length++
	m, ok := p.members[call.Member]
	if !ok {
		m = &memberFlow{tag: p.virtual}
		p.members[call.Member] = m
	}
	if len(m.calls) == 0 {
		m.tag = max(m.tag, p.virtual)
	}
	m.calls = append(m.calls, call)
}

// peek returns the call to serve next, or nil.
func (q *fairQueue) peek() *Call {
	if !q.fair {
		if len(q.arrivals) == 0 {
			return nil
		}
		return q.arrivals[0]
	}
	for _, c := range q.classes {
		if c.length == 0 {
			continue
		}
		_, p := c.next()
		_, m := p.next()
		return m.calls[0]
	}
	return nil
}

func (c *class) next() (string, *partnerFlow) {
	var best *partnerFlow
	var name string
	for n, p := range c.partners {
		if p.length == 0 {
			continue
		}
		if best == nil || p.tag < best.tag || p.tag == best.tag && n < name {
			best, name = p, n
		}
	}
	return name, best
}

func (p *partnerFlow) next() (string, *memberFlow) {
	var best *memberFlow
	var name string
	for n, m := range p.members {
		if len(m.calls) == 0 {
			continue
		}
		if best == nil || m.tag < best.tag || m.tag == best.tag && n < name {
			best, name = m, n
		}
	}
	return name, best
}

// pop takes the call that peek returned and charges its flows.
func (q *fairQueue) pop(call *Call) {
	if !q.remove(call) || !q.fair {
		return
	}
	c := q.classOf(call)
	p := c.partners[call.Partner]
	c.virtual = p.tag
	p.tag += float64(max(1, call.Weight)) / float64(q.share(call.Partner))
	m, ok := p.members[call.Member]
	if !ok {
		return
	}
	p.virtual = m.tag
	m.tag += float64(max(1, call.Weight))
}

// remove takes a call out of the queue without charging it.
func (q *fairQueue) remove(call *Call) bool {
	if !call.queued {
		return false
	}
	call.queued = false
	q.waiting--
	if !q.fair {
		at := slices.Index(q.arrivals, call)
		q.arrivals = slices.Delete(q.arrivals, at, at+1)
		return true
	}
	c := q.classOf(call)
	p := c.partners[call.Partner]
	m := p.members[call.Member]
	at := slices.Index(m.calls, call)
	m.calls = slices.Delete(m.calls, at, at+1)
	p.length--
	c.length--
	q.prune(p)
	return true
}

// maxIdleMembers bounds the Members that a partner keeps without waiting calls.
const maxIdleMembers = 256

// prune forgets Members without waiting calls whose tag is in the past.
func (q *fairQueue) prune(p *partnerFlow) {
	if len(p.members) <= maxIdleMembers {
		return
	}
	for name, m := range p.members {
		if len(m.calls) == 0 && m.tag <= p.virtual {
			delete(p.members, name)
		}
	}
}
