package credit

// This file defines Spender, the decisions of a host that charges requests.

import (
	"time"
)

const (
	// MaxWait bounds the wait of a request for credit from the time on at which this host may follow a
	// credit host.
	MaxWait = 150 * time.Millisecond
	// scarceTime is the time after a refusal for which the credit of an account is scarce.
	scarceTime = time.Second
	// UnavailableRetryAfter is the Retry-After of requests while no credit host responds.
	UnavailableRetryAfter = 300 * time.Millisecond
	// DemandPeriod is the shortest interval of messages with needs that arise between heartbeats.
	DemandPeriod = 20 * time.Millisecond
	// tickJitter is the time by which a call of Poll may come too early.
	tickJitter = 20 * time.Millisecond
	// responseTimeout is the time without a response after which a candidate that was sent
	// maxUnanswered messages is skipped. A host that has used up its processor time stops for 100 ms or
	// so; a switch to another host could not end before followTime in any case.
	responseTimeout = 250 * time.Millisecond
	// skipTime is the time for which a candidate that did not respond is skipped.
	skipTime = 2 * time.Second
	// maxUnanswered is the least number of messages without a response for that.
	maxUnanswered = 2
	// maxRetryAfter bounds the staggered Retry-After of refused requests.
	maxRetryAfter = 5 * time.Second
	// demandGain is the weight of the last period in the demand per period.
	demandGain = 0.5
	// minPrefetch is the demand per period from which on a host that was refused credit asks for one
	// with each heartbeat; minDemand that below which an account is forgotten.
	minPrefetch = 0.5
	minDemand   = 0.01
	// maxPending bounds the requests of a contact whose responses are awaited.
	maxPending = 512
)

// Outcome is the outcome of a charge.
type Outcome int

// Outcomes of charges.
const (
	// Charged: the request may run.
	Charged Outcome = iota
	// Wait: credit was asked for. The caller calls Charge again after each response, and Withdraw
	// if it gives up.
	Wait
	// Exceeded: the account is beyond its quota.
	Exceeded
	// Unavailable: no credit host responds.
	Unavailable
)

// Decision is the decision on a charge.
type Decision struct {
	Outcome Outcome
	// RetryAfter is the time after which the client may come again, for Exceeded and Unavailable.
	RetryAfter time.Duration
	// Lease is that of the spent credit, for Refund.
	Lease Lease
}

// Lease describes credit of one grant.
type Lease struct {
	// issuer is the process that issued the credit, in a generation of its clock.
	issuer     uint64
	generation int64
	// expires is the time at which the credit expires.
	expires time.Duration
}

// batch is credit of one grant.
type batch struct {
	Lease
	amount int
}

// account is the state of an account at a host.
type account struct {
	batches []batch
	// returned is the credit to return with the next heartbeat, at most one batch a generation.
	returned []batch
	// attempts counts the charges since the last heartbeat, and demand estimates those per period.
	attempts int
	demand   float64
	// waiting is the number of requests that wait for credit, and asked the credit that was asked
	// for them at askedAt.
	waiting int
	asked   int
	askedAt time.Duration
	// askAt is the time from which on credit is asked for again after a refusal.
	askAt time.Duration
	// deniedUntil is the time until which requests are refused without asking for credit, retryAt
	// the time at which the client of the next refused request should come back, and gap the time
	// between such requests.
	deniedUntil time.Duration
	retryAt     time.Duration
	gap         time.Duration
	// creditAt is the time at which the credit host expected to have credit.
	creditAt time.Duration
	// scarceUntil is the time until which the credit of the account is scarce.
	scarceUntil time.Duration
	// unknownUntil is the time until which the credit host can't issue credit for the account.
	unknownUntil time.Duration
}

// contact is a candidate that this host sends requests to.
type contact struct {
	name string
	// run is the process that responded last, stamp the highest stamp of its responses, and stampAt
	// the time at which that was received.
	run     uint64
	stamp   time.Duration
	stampAt time.Duration
	// pending holds the stamps of requests without a response.
	pending []time.Duration
	sentAt  time.Duration
	// unanswered counts the requests since the last response, and unansweredAt is the time of the
	// first of them.
	unanswered   int
	unansweredAt time.Duration
	// available is set if the last response allows this host to follow.
	available bool
}

// Outgoing is a message to another host, or to this one.
type Outgoing struct {
	To      string
	Message Message
}

// Spender decides on the charges of a host. Use NewSpender to create one.
type Spender struct {
	self       string
	run        uint64
	candidates []string
	// skipped holds the times until which candidates are skipped.
	skipped  map[string]time.Duration
	contacts map[string]*contact
	// current is the credit host that this host follows, and leaving the one that it stopped to
	// follow without a confirmation; nil for none.
	current, leaving *contact
	// freeAt is the time from which on this host may follow another one.
	freeAt time.Duration
	// echoedAt is the time at which the last stamp that was returned to the followed host was
	// received; followStamp is the stamp of the last request that followed it.
	echoedAt    time.Duration
	followStamp time.Duration
	// followedAt is the time from which on the current or last credit host was followed; zero for
	// none. settled is set until the current one counts this host, if it brings start credit.
	followedAt time.Duration
	settled    bool
	lastStamp  time.Duration
	// width is the number of candidates that are asked at once while none is followed.
	width         int
	widenAt       time.Duration
	nextHeartbeat time.Duration
	lastHeartbeat time.Duration
	demandAt      time.Duration
	accounts      map[AccountID]*account
	// wanting holds the accounts with waiting requests.
	wanting map[AccountID]*account
}

// NewSpender returns a spender without candidates. run identifies the process. It follows no host for
// followTime, since an earlier process of this host may still count elsewhere.
func NewSpender(now time.Duration, self string, run uint64) *Spender {
	return &Spender{
		self: self, run: run, skipped: map[string]time.Duration{}, contacts: map[string]*contact{}, freeAt: now + followTime,
		width: 1, accounts: map[AccountID]*account{}, wanting: map[AccountID]*account{},
	}
}

// SetCandidates sets the hosts that may be credit hosts, best first, with this one.
func (s *Spender) SetCandidates(ranked []string) { s.candidates = ranked }

// Following returns the name of the credit host that this host follows; empty for none.
func (s *Spender) Following() string {
	if s.current == nil {
		return ""
	}
	return s.current.name
}

// Accounts returns the number of accounts with state.
func (s *Spender) Accounts() int { return len(s.accounts) }

// Charge charges a request to an account. waited is set if an earlier Charge of the request returned
// Wait.
func (s *Spender) Charge(now time.Duration, id AccountID, waited bool) Decision {
	a := s.accounts[id]
	if a == nil {
		a = &account{}
		s.accounts[id] = a
	}
	if !waited {
		a.attempts++
	}
	d := s.decide(now, a, waited)
	switch {
	case d.Outcome == Wait && !waited:
		a.waiting++
		s.wanting[id] = a
	case d.Outcome != Wait && waited:
		s.Withdraw(id)
	}
	return d
}

func (s *Spender) decide(now time.Duration, a *account, waited bool) Decision {
	a.expire(now)
	switch {
	// Requests that came earlier go first.
	case len(a.batches) > 0 && (waited || a.waiting == 0):
		b := &a.batches[0]
		b.amount--
		lease := b.Lease
		if b.amount == 0 {
			a.batches = a.batches[1:]
		}
		return Decision{Outcome: Charged, Lease: lease}
	case now < a.unknownUntil:
		return Decision{Outcome: Unavailable, RetryAfter: UnavailableRetryAfter}
	case now < a.deniedUntil:
		return Decision{Outcome: Exceeded, RetryAfter: a.nextRetry(now)}
	}
	return Decision{Outcome: Wait}
}

// WaitTime returns the longest time for which a request should wait for credit. While this host may not
// follow a credit host yet, that includes the time until it may: a client that is turned away would come
// back no earlier, and to a host that may have none either.
func (s *Spender) WaitTime(now time.Duration) time.Duration {
	if s.current != nil {
		return MaxWait
	}
	return MaxWait + max(0, s.freeAt-now)
}

// Scarce reports whether requests of an account were refused a moment ago, and the Retry-After of one
// that is refused now.
func (s *Spender) Scarce(now time.Duration, id AccountID) (retryAfter time.Duration, scarce bool) {
	a := s.accounts[id]
	if a == nil || now >= a.scarceUntil {
		return 0, false
	}
	return a.nextRetry(now), true
}

// nextRetry returns the staggered Retry-After of a refused request.
func (a *account) nextRetry(now time.Duration) time.Duration {
	if a.retryAt < now || a.retryAt-now > maxRetryAfter {
		a.retryAt = max(a.creditAt, now+DemandPeriod)
	}
	after := min(a.retryAt-now, maxRetryAfter)
	a.retryAt += a.gap
	return after
}

// Withdraw ends the wait of a request without credit.
func (s *Spender) Withdraw(id AccountID) {
	a := s.wanting[id]
	if a == nil {
		return
	}
	a.waiting--
	if a.waiting == 0 {
		a.asked = 0
		delete(s.wanting, id)
	}
}

// Expire ends the wait of a request that has waited as long as it may.
func (s *Spender) Expire(now time.Duration, id AccountID) Decision {
	a := s.wanting[id]
	s.Withdraw(id)
	if a == nil || s.current == nil || s.current.unanswered >= maxUnanswered || a.askAt == 0 {
		return Decision{Outcome: Unavailable, RetryAfter: UnavailableRetryAfter}
	}
	return Decision{Outcome: Exceeded, RetryAfter: a.nextRetry(now)}
}

// Refund takes back the credit of a request that has not run.
func (s *Spender) Refund(now time.Duration, id AccountID, lease Lease) {
	a := s.accounts[id]
	if a == nil {
		a = &account{}
		s.accounts[id] = a
	}
	if now < lease.expires {
		a.batches = append([]batch{{Lease: lease, amount: 1}}, a.batches...)
		return
	}
	a.addReturned(lease, 1)
}

// addReturned marks credit to be returned.
func (a *account) addReturned(lease Lease, amount int) {
	for n := range a.returned {
		if r := &a.returned[n]; r.issuer == lease.issuer && r.generation == lease.generation {
			r.amount += amount
			return
		}
	}
	a.returned = append(a.returned, batch{Lease: lease, amount: amount})
}

// expire moves expired credit to the credit that is returned.
func (a *account) expire(now time.Duration) {
	kept := a.batches[:0]
	for _, b := range a.batches {
		if now < b.expires {
			kept = append(kept, b)
			continue
		}
		a.addReturned(b.Lease, b.amount)
	}
	a.batches = kept
}

// balance returns the credit that was not spent.
func (a *account) balance() int {
	n := 0
	for _, b := range a.batches {
		n += b.amount
	}
	return n
}

// giveBack marks n credits to be returned, those that expire first.
func (a *account) giveBack(n int) {
	for n > 0 && len(a.batches) > 0 {
		m := min(n, a.batches[0].amount)
		a.batches[0].amount -= m
		a.addReturned(a.batches[0].Lease, m)
		n -= m
		if a.batches[0].amount == 0 {
			a.batches = a.batches[1:]
		}
	}
}

// Poll returns the messages that are due. It is called every PollPeriod, when Receive says so, and
// from time to time by requests that wait.
func (s *Spender) Poll(now time.Duration, v View) []Outgoing {
	if v.Hosts == 0 {
		return nil
	}
	s.dropUnresponsive(now)
	query := s.choose(now)
	var out []Outgoing
	if c := s.current; c != nil {
		switch {
		case now >= s.nextHeartbeat-tickJitter, c.unanswered > 0 && now-c.sentAt >= PollPeriod-tickJitter:
			out = s.heartbeat(now, v)
		case now >= s.demandAt:
			if items := s.demandItems(now); len(items) > 0 {
				out = s.requests(now, v, c, true, items)
			}
		}
	}
	for _, c := range query {
		if c.sentAt == 0 || now-c.sentAt >= s.queryPeriod(c) {
			out = append(out, s.requests(now, v, c, false, nil)...)
		}
	}
	return out
}

// queryPeriod returns the interval of requests to a contact that is not followed.
func (s *Spender) queryPeriod(c *contact) time.Duration {
	if c.unanswered > 0 || s.current == nil {
		return PollPeriod - tickJitter
	}
	return HeartbeatPeriod - tickJitter
}

// dropUnresponsive skips contacts that have not responded for responseTimeout.
func (s *Spender) dropUnresponsive(now time.Duration) {
	for name, c := range s.contacts {
		if c.unanswered >= maxUnanswered && now-c.unansweredAt >= responseTimeout-tickJitter {
			s.skip(now, name)
		}
	}
}

// skip stops sending requests to a candidate for some time.
func (s *Spender) skip(now time.Duration, name string) {
	c := s.contacts[name]
	delete(s.contacts, name)
	s.skipped[name] = now + skipTime
	if c == s.current {
		s.unfollow()
	}
	if c == s.leaving {
		s.leaving = nil
	}
}

// unfollow ends following the current credit host, which may still count this host.
func (s *Spender) unfollow() {
	s.current = nil
	s.freeAt = s.echoedAt + followTime
	s.width, s.widenAt = 1, 0
	for _, a := range s.accounts {
		a.returned, a.asked = nil, 0
		// The next credit host decides anew.
		a.askAt, a.deniedUntil, a.unknownUntil = 0, 0, 0
	}
}

// best returns the first n candidates that are not skipped.
func (s *Spender) best(now time.Duration, n int) []*contact {
	list := make([]*contact, 0, min(n, len(s.candidates)))
	for _, name := range s.candidates {
		if now < s.skipped[name] {
			continue
		}
		if len(list) == n {
			break
		}
		c := s.contacts[name]
		if c == nil {
			c = &contact{name: name}
			s.contacts[name] = c
		}
		list = append(list, c)
	}
	return list
}

// choose selects the credit host to follow, and returns the contacts to query.
func (s *Spender) choose(now time.Duration) []*contact {
	if s.current != nil {
		list := s.best(now, 1)
		if len(list) == 0 || list[0] == s.current {
			s.retain(s.current, s.leaving)
			return nil
		}
		if !list[0].responded(now) {
			return list
		}
		s.leaving = s.current
		s.leaving.sentAt = 0
		s.unfollow()
	}
	if now >= s.widenAt {
		if s.widenAt > 0 {
			s.width = min(2*s.width, len(s.candidates))
		}
		s.widenAt = now + PollPeriod
	}
	list := s.best(now, s.width)
	if len(list) > 0 && list[0].responded(now) && now >= s.freeAt {
		s.current, s.leaving = list[0], nil
		s.nextHeartbeat = now
		s.settled = s.followedAt == 0 || now-s.followedAt >= settledTime
		s.followedAt = now
		s.retain(s.current, nil)
		return nil
	}
	if s.leaving != nil && s.leaving != s.current {
		list = append(list, s.leaving)
	}
	return list
}

// responded reports whether a contact may be followed.
func (c *contact) responded(now time.Duration) bool {
	return c.available && now-c.stampAt < followTime/2
}

// retain drops all contacts but two.
func (s *Spender) retain(a, b *contact) {
	if len(s.contacts) <= 1 {
		return
	}
	for name, c := range s.contacts {
		if c != a && c != b {
			delete(s.contacts, name)
		}
	}
}

// requests returns a request to a contact, or several if the items do not fit one.
func (s *Spender) requests(now time.Duration, v View, c *contact, follow bool, items []Item) []Outgoing {
	var out []Outgoing
	for first := true; first || len(items) > 0; first = false {
		n := min(len(items), MaxItems)
		s.lastStamp = max(now, s.lastStamp+1)
		out = append(out, Outgoing{To: c.name, Message: Message{
			Sender: s.self, Run: s.run, ReceiverRun: c.run, Stamp: s.lastStamp, Echo: c.stamp, Follow: follow, Settled: follow && s.settled,
			Hosts: v.Hosts, ViewAge: v.Age, Items: items[:n:n],
		}})
		items = items[n:]
		c.pending = append(c.pending, s.lastStamp)
		if follow {
			s.followStamp, s.echoedAt = s.lastStamp, c.stampAt
		}
	}
	if len(c.pending) > maxPending {
		c.pending = c.pending[len(c.pending)-maxPending:]
	}
	c.sentAt = now
	if c.unanswered == 0 {
		c.unansweredAt = now
	}
	c.unanswered++
	return out
}

// heartbeat returns the heartbeat to the current credit host.
func (s *Spender) heartbeat(now time.Duration, v View) []Outgoing {
	period := max(now-s.lastHeartbeat, PollPeriod/2)
	s.lastHeartbeat, s.nextHeartbeat, s.demandAt = now, now+HeartbeatPeriod, now+DemandPeriod
	var items []Item
	for id, a := range s.accounts {
		a.expire(now)
		sample := float64(a.attempts) * min(1, float64(HeartbeatPeriod)/float64(period))
		a.demand += demandGain * (sample - a.demand)
		a.attempts = 0
		predicted := int(a.demand)
		if now < a.deniedUntil && a.demand >= minPrefetch {
			predicted = max(1, predicted)
		}
		// Credit that is older than a period expires within half of the next one.
		kept := min(a.balance(), predicted/2)
		a.giveBack(a.balance() - kept)
		before := len(items)
		for _, b := range a.returned {
			// Another host takes back no credit that it has not issued.
			if b.issuer == s.current.run {
				items = append(items, Item{Account: id, Returned: b.amount, Generation: b.generation})
			}
		}
		if need := predicted - kept + a.waiting; need > 0 && len(items) > before {
			items[len(items)-1].Need = need
		} else if need > 0 {
			items = append(items, Item{Account: id, Need: need})
		}
		a.returned, a.asked, a.askedAt = nil, a.waiting, now
		if len(items) == before && a.demand < minDemand && now >= a.deniedUntil && now >= a.unknownUntil {
			delete(s.accounts, id)
		}
	}
	return s.requests(now, v, s.current, true, items)
}

// demandItems returns the needs that arose since the last message.
func (s *Spender) demandItems(now time.Duration) []Item {
	var items []Item
	for id, a := range s.wanting {
		if now-a.askedAt >= PollPeriod {
			a.asked = 0
		}
		if a.asked >= a.waiting || now < a.askAt || now < a.deniedUntil {
			continue
		}
		left := min(1, max(0, (s.nextHeartbeat-now).Seconds()/HeartbeatPeriod.Seconds()))
		need := a.waiting - a.asked + int(a.demand*left)
		a.asked, a.askedAt = a.waiting, now
		items = append(items, Item{Account: id, Need: need})
	}
	if len(items) > 0 {
		s.demandAt = now + DemandPeriod
	}
	return items
}

// Receive handles a response. again reports whether Poll should be called at once.
func (s *Spender) Receive(now time.Duration, m Message) (again bool) {
	c := s.contacts[m.Sender]
	if c == nil || !m.Response {
		return false
	}
	if m.Echo == 0 {
		// The host shuts down; its process never counts followers again.
		if m.Unavailable && m.Run == c.run {
			s.release(now, c)
			s.skip(now, c.name)
			return true
		}
		return false
	}
	if m.ReceiverRun != s.run || !c.answered(m.Echo) {
		return false
	}
	s.observe(now, c, &m)
	again = s.observeEnd(now, c, &m)
	if m.Unavailable {
		s.skip(now, c.name)
		return true
	}
	if c != s.current {
		return again || s.current == nil
	}
	if m.Follow {
		s.settled = false
	} else {
		s.nextHeartbeat = min(s.nextHeartbeat, now+DemandPeriod)
	}
	for _, item := range m.Items {
		s.apply(now, &m, item)
	}
	return false
}

// observeEnd handles what a response says of the end of following its sender, by this process or by an
// earlier one of this host. again reports whether Poll should be called at once.
func (s *Spender) observeEnd(now time.Duration, c *contact, m *Message) (again bool) {
	if m.Replaced && s.current == nil && s.leaving == nil {
		// The earlier process counted there and nowhere else.
		s.freeAt, again = now, true
	}
	if m.Echo >= s.followStamp && !m.Follow && (c == s.leaving || c == s.current && m.Unavailable) {
		s.release(now, c)
		again = true
	}
	return again
}

// observe records the process and the stamp of a response.
func (s *Spender) observe(now time.Duration, c *contact, m *Message) {
	c.unanswered, c.available = 0, !m.Unavailable
	if m.Run != c.run {
		// The process that counted this host has ended. It may have been replaced while it was
		// frozen.
		if c == s.current {
			s.unfollow()
		}
		if c == s.leaving {
			s.leaving = nil
		}
		c.run, c.stamp = m.Run, 0
	}
	if m.Stamp > c.stamp {
		c.stamp, c.stampAt = m.Stamp, now
	}
}

// release ends following a host that no longer counts this one.
func (s *Spender) release(now time.Duration, c *contact) {
	if c == s.current {
		s.unfollow()
	} else if c != s.leaving {
		return
	}
	s.leaving = nil
	s.freeAt = now
}

// answered removes a stamp from those of the requests without a response.
func (c *contact) answered(stamp time.Duration) bool {
	for i, p := range c.pending {
		if p == stamp {
			c.pending = append(c.pending[:i], c.pending[i+1:]...)
			return true
		}
	}
	return false
}

// apply records the part of a response for an account.
func (s *Spender) apply(now time.Duration, m *Message, item Item) {
	a := s.accounts[item.Account]
	if a == nil {
		return
	}
	if item.Granted > 0 {
		a.batches = append(a.batches, batch{amount: item.Granted, Lease: Lease{issuer: m.Run, generation: int64(m.Stamp / generationTime), expires: m.Echo + grantTime}})
	}
	a.asked = 0
	a.askAt, a.deniedUntil = now, 0
	switch {
	case item.Unknown:
		a.unknownUntil = now + UnavailableRetryAfter
	case item.Wait > MaxWait:
		// The wait is that at the present rate, which rises with the followers and with the limit.
		a.deniedUntil, a.creditAt, a.gap, a.scarceUntil = now+min(item.Wait, scarceTime), now+item.Wait, item.Gap, now+scarceTime
		a.retryAt = max(a.retryAt, a.creditAt)
	case item.Wait > 0:
		a.askAt, a.gap = now+max(item.Wait, DemandPeriod), item.Gap
	}
}
