package dispatch

// This file defines the fair queue of a cell.

import "slices"

// fairQueue is a two-level start-time fair queue (Goyal, Vin and Cheng, 1996):
// partners are served by share, the members of a partner (Call.Member) equally, both
// measured in call weight. Deferrable calls are served only when no other call is queued.
// The cost of peek is linear in the number of partners plus the members of one partner. If
// fair is false, the queue is first in, first out.
type fairQueue struct {
	fair    bool
	shares  map[string]int
	classes [2]*priorityClass
	waiting int
	fifo    []*Call
}

// priorityClass holds the flows of one priority: deferrable calls or all others.
type priorityClass struct {
	partners    map[string]*partnerFlow
	virtualTime float64
	length      int
}

type partnerFlow struct {
	members     map[string]*memberFlow
	startTag    float64
	virtualTime float64
	length      int
}

type memberFlow struct {
	calls    []*Call
	startTag float64
}

func newFairQueue(fair bool) *fairQueue {
	q := &fairQueue{fair: fair, shares: map[string]int{}}
	for i := range q.classes {
		q.classes[i] = &priorityClass{partners: map[string]*partnerFlow{}}
	}
	return q
}

func (q *fairQueue) setShares(shares map[string]int) { q.shares = shares }

func (q *fairQueue) classOf(call *Call) *priorityClass {
	if call.MayWait {
		return q.classes[1]
	}
	return q.classes[0]
}

func (q *fairQueue) length() int { return q.waiting }

// empty reports whether no call of the same or a higher priority is queued.
func (q *fairQueue) empty(mayWait bool) bool {
	if mayWait {
		return q.waiting == 0
	}
	return q.classes[0].length == 0
}

// full reports whether the call exceeds the queue bound of its partner. A member below
// its equal part of the bound may always queue, so that a greedy member cannot lock out
// the others of its partner; at most twice the bound is queued.
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

// callsAhead returns the number of queued calls that would be served before call. Calls
// of other partners count only as far as shares let them go first.
func (q *fairQueue) callsAhead(call *Call) int {
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
		q.fifo = append(q.fifo, call)
		return
	}
	c := q.classOf(call)
	c.length++
	p, ok := c.partners[call.Partner]
	if !ok {
		p = &partnerFlow{members: map[string]*memberFlow{}, startTag: c.virtualTime}
		c.partners[call.Partner] = p
	}
	if p.length == 0 {
		p.startTag = max(p.startTag, c.virtualTime)
	}
	p.length++
	m, ok := p.members[call.Member]
	if !ok {
		m = &memberFlow{startTag: p.virtualTime}
		p.members[call.Member] = m
	}
	if len(m.calls) == 0 {
		m.startTag = max(m.startTag, p.virtualTime)
	}
	m.calls = append(m.calls, call)
}

// peek returns the next call to serve, or nil if the queue is empty.
func (q *fairQueue) peek() *Call {
	if !q.fair {
		if len(q.fifo) == 0 {
			return nil
		}
		return q.fifo[0]
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

func (c *priorityClass) next() (string, *partnerFlow) {
	var best *partnerFlow
	var name string
	for n, p := range c.partners {
		if p.length == 0 {
			continue
		}
		if best == nil || p.startTag < best.startTag || p.startTag == best.startTag && n < name {
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
		if best == nil || m.startTag < best.startTag || m.startTag == best.startTag && n < name {
			best, name = m, n
		}
	}
	return name, best
}

// pop removes the call that peek returned and charges its weight to its flows.
func (q *fairQueue) pop(call *Call) {
	if !q.remove(call) || !q.fair {
		return
	}
	c := q.classOf(call)
	p := c.partners[call.Partner]
	c.virtualTime = p.startTag
	p.startTag += float64(max(1, call.Weight)) / float64(q.share(call.Partner))
	m, ok := p.members[call.Member]
	if !ok {
		return
	}
	p.virtualTime = m.startTag
	m.startTag += float64(max(1, call.Weight))
}

// remove removes a call without charging its flows. It reports whether the call was
// queued.
func (q *fairQueue) remove(call *Call) bool {
	if !call.queued {
		return false
	}
	call.queued = false
	q.waiting--
	if !q.fair {
		at := slices.Index(q.fifo, call)
		q.fifo = slices.Delete(q.fifo, at, at+1)
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

// maxIdleMembers is the number of members of a partner up to which idle ones are kept.
const maxIdleMembers = 256

// prune removes idle members whose start tag is not ahead of the virtual time of the
// partner.
func (q *fairQueue) prune(p *partnerFlow) {
	if len(p.members) <= maxIdleMembers {
		return
	}
	for name, m := range p.members {
		if len(m.calls) == 0 && m.startTag <= p.virtualTime {
			delete(p.members, name)
		}
	}
}
