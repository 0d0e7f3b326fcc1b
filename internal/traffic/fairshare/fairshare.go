// Package fairshare divides the capacity of a service among the client accounts that compete for
// it, by start-time fair queueing.
//
// It is designed for an account that sends many times its usual rate: its requests wait behind each
// other and not in front of those of other accounts. Each account has a virtual time, the work that
// it got divided by its weight. A waiting request has a start tag: the virtual time of its account
// when all requests of the account before it have started. Requests start in the order of their
// tags. An account that had nothing to do begins at the virtual time of the service, so it neither
// saves up capacity nor pays for what it got while nobody else needed it.
//
// What an account is charged is corrected by what its requests really took, so that one that claims
// little work and takes much does not gain. An account that is served much less often than all
// requests are, because requests with a higher priority leave nothing, is starved; its caller gives
// it precedence until it is not any more. One that has got a large part of the service and much more
// than its weight is dominant; its caller lets it wait behind requests with a lower priority, too.
//
// Requests without an account share like an account whose weight is that of all others that wait
// together. The state of an account that is idle is forgotten.
//
// The package does no I/O and does not read the clock. It is not safe for concurrent use.
//
// # Usage
//
//	s := fairshare.New()
//	a := s.Account(now, "acme", weight)
//	a.Wait()
//	if s.Competing() > 1 {
//		s.Restart()
//		for ... { tag := s.NextTag(a, claimed) }
//	}
//	a.Leave()
//	s.Start(now, a, claimed)
//	s.Correct("acme", claimed, took)
package fairshare

// This file defines Shares and Account.

import (
	"math"
	"time"
)

const (
	// idleTime is the time after which an account without waiting requests is forgotten.
	idleTime = 10 * time.Second
	// maxAccounts bounds the accounts with a state of their own. Others share one.
	maxAccounts = 20_000
	// dominantShare is the share of the work that a service has started lately above which an account
	// is dominant, and dominantRatio the ratio of that share to the account's share by weight that it
	// must exceed, too. The largest of 88 accounts usually has a fifth of the work (Zipf).
	dominantShare = 1.0 / 3
	dominantRatio = 3.0
	// memory is the time constant of the share of an account's requests that were served.
	memory = 4 * time.Second
	// starvedRatio is the ratio of the served share of an account to that of all requests below
	// which the account is starved. No account may fall below a quarter. An account that sends many
	// times its usual rate falls below, too, and must not gain more than that.
	starvedRatio = 0.3
	// minTurnedAway is the number of recent requests that were turned away from which on an account
	// can be starved.
	minTurnedAway = 2
	// minWorkRatio is the ratio to the mean work of a service below which the work that a request
	// claims is not believed before it has run.
	minWorkRatio = 0.5
	// maxWorkRatio is the ratio to the mean work up to which a request that took long is charged.
	maxWorkRatio = 8
	// workGain is the weight of a new sample in the mean work.
	workGain = 0.05
)

// Weight returns the weight of an account with a quota in requests a second; zero if it has none.
// With the quota itself as the weight, accounts with a small one would wait whenever they send a few
// requests at once; with equal weights, only the largest accounts would wait in a burst of all.
func Weight(perSecond float64) float64 { return math.Sqrt(max(0, perSecond)) }

// Shares divides the capacity of one service. Times of work are in seconds.
type Shares struct {
	accounts map[string]*Account
	// virtual is the largest start tag of the requests that have started.
	virtual float64
	// competing is the number of accounts with waiting requests, named that of those which have a
	// name, and waitingWeight the sum of the weights of the latter.
	competing     int
	named         int
	waitingWeight float64
	// weights and weighted are the sum and the number of the weights that are known.
	weights  float64
	weighted int
	// all counts the requests of all accounts.
	all      counts
	meanWork float64
	swept    time.Time
	// round counts the calls of Restart.
	round int
}

// Account is the state of an account.
type Account struct {
	shares *Shares
	name   string
	// weight is zero if it is not known.
	weight float64
	// used is the start tag of the account's next request unless it was idle.
	used    float64
	waiting int
	counts  counts
	seen    time.Time
	// counted is the part of the account in waitingWeight.
	counted float64
	// next is the start tag of the next request that is ranked in a round.
	next  float64
	round int
}

// counts counts requests that have started or were turned away. Old ones lose weight with the time
// constant memory.
type counts struct {
	started, turnedAway float64
	// work is that of the requests that have started, in seconds.
	work float64
	at   time.Time
}

func (c *counts) decay(now time.Time) {
	factor := math.Exp(-now.Sub(c.at).Seconds() / memory.Seconds())
	c.started, c.turnedAway, c.work, c.at = c.started*factor, c.turnedAway*factor, c.work*factor, now
}

// share returns the share of requests that have started.
func (c *counts) share() float64 { return c.started / max(1e-9, c.started+c.turnedAway) }

// New returns shares without accounts.
func New() *Shares { return &Shares{accounts: map[string]*Account{}} }

// Account returns the account of a request that arrives. weight is zero if it is not known: then the
// account has the mean of the known ones.
func (s *Shares) Account(now time.Time, name string, weight float64) *Account {
	s.forget(now)
	a := s.accounts[name]
	if a == nil && len(s.accounts) >= maxAccounts {
		name = overflow
		a = s.accounts[name]
	}
	if a == nil {
		a = &Account{shares: s, name: name}
		s.accounts[name] = a
	}
	a.seen = now
	a.counts.decay(now)
	if weight > 0 && !math.IsInf(weight, 0) && weight != a.weight && a.waiting == 0 {
		s.forgetWeight(a)
		a.weight = weight
		s.weights += weight
		s.weighted++
	}
	return a
}

// overflow is the name of the account that all share beyond maxAccounts. It is not a valid name.
const overflow = "\x00"

func (s *Shares) forgetWeight(a *Account) {
	if a.weight > 0 {
		s.weights -= a.weight
		s.weighted--
	}
}

// forget drops the accounts that have been idle.
func (s *Shares) forget(now time.Time) {
	if now.Sub(s.swept) < idleTime {
		return
	}
	s.swept = now
	for name, a := range s.accounts {
		if a.waiting == 0 && now.Sub(a.seen) > idleTime {
			s.forgetWeight(a)
			delete(s.accounts, name)
		}
	}
	if s.weighted == 0 {
		// Rounding errors do not add up.
		s.weights = 0
	}
}

// Len returns the number of accounts that have a state.
func (s *Shares) Len() int { return len(s.accounts) }

// Competing returns the number of accounts that have waiting requests.
func (s *Shares) Competing() int { return s.competing }

// effective returns the weight by which the account shares.
func (a *Account) effective() float64 {
	switch {
	case a.name == "":
		return max(1, a.shares.waitingWeight)
	case a.weight > 0:
		return a.weight
	case a.shares.weighted > 0:
		return a.shares.weights / float64(a.shares.weighted)
	}
	return 1
}

// Wait records that a request of the account waits.
func (a *Account) Wait() {
	a.waiting++
	if a.waiting > 1 {
		return
	}
	a.shares.competing++
	if a.name != "" {
		a.counted = a.effective()
		a.shares.named++
		a.shares.waitingWeight += a.counted
	}
}

// Leave records that a request of the account does not wait any more.
func (a *Account) Leave() {
	a.waiting--
	if a.waiting > 0 {
		return
	}
	a.shares.competing--
	if a.name == "" {
		return
	}
	a.shares.named--
	a.shares.waitingWeight -= a.counted
	if a.shares.named == 0 {
		// Rounding errors do not add up.
		a.shares.waitingWeight = 0
	}
}

// Work returns the work that a request is taken to need before it has run.
func (s *Shares) Work(claimed time.Duration) float64 {
	return max(claimed.Seconds(), minWorkRatio*s.meanWork, time.Millisecond.Seconds())
}

// Start records that a request of the account has started.
func (s *Shares) Start(now time.Time, a *Account, claimed time.Duration) {
	tag := s.base(a)
	s.virtual = max(s.virtual, tag)
	work := s.Work(claimed)
	a.used = tag + work/a.effective()
	a.count(now, func(c *counts) {
		c.started++
		c.work += work
	})
}

// TurnAway records that a request of the account was rejected or given up by its client.
func (a *Account) TurnAway(now time.Time) { a.count(now, func(c *counts) { c.turnedAway++ }) }

func (a *Account) count(now time.Time, add func(c *counts)) {
	a.seen = now
	for _, c := range []*counts{&a.counts, &a.shares.all} {
		c.decay(now)
		add(c)
	}
}

// Correct replaces what an account was charged for a request by what it took at a target of normal
// speed.
func (s *Shares) Correct(name string, claimed, took time.Duration) {
	charged := s.Work(claimed)
	if s.meanWork == 0 {
		s.meanWork = took.Seconds()
	}
	work := min(took.Seconds(), maxWorkRatio*s.meanWork)
	s.meanWork += workGain * (work - s.meanWork)
	s.adjust(name, work-charged)
}

// adjust changes what an account was charged.
func (s *Shares) adjust(name string, work float64) {
	a := s.accounts[name]
	if a == nil {
		return
	}
	a.used += work / a.effective()
	a.counts.work = max(0, a.counts.work+work)
	s.all.work = max(0, s.all.work+work)
}

// Refund returns what an account was charged for a request that has not run.
func (s *Shares) Refund(name string, claimed time.Duration) {
	s.adjust(name, -s.Work(claimed))
}

// Starved reports whether the account is served much less often than all requests are.
func (s *Shares) Starved(a *Account) bool {
	return a.name != "" && a.counts.turnedAway >= minTurnedAway && a.counts.share() < starvedRatio*s.all.share()
}

// Dominant reports whether the account has got a large part of the service lately, and much more
// than its weight against the accounts that wait.
func (s *Shares) Dominant(a *Account) bool {
	share := a.counts.work / max(1e-9, s.all.work)
	return a.name != "" && share > dominantShare && share*s.waitingWeight > dominantRatio*a.effective()
}

// base returns the start tag of the account's next request.
func (s *Shares) base(a *Account) float64 { return max(s.virtual, a.used) }

// Restart begins a new round of tags.
func (s *Shares) Restart() { s.round++ }

// NextTag returns the start tag of the next request of the account in a round. The requests of an
// account must come in the order in which they should start.
func (s *Shares) NextTag(a *Account, claimed time.Duration) float64 {
	if a.round != s.round {
		a.round, a.next = s.round, s.base(a)
	}
	tag := a.next
	a.next += s.Work(claimed) / a.effective()
	return tag
}

// TagAfter returns the start tag of a request of the account behind others that need some work.
func (s *Shares) TagAfter(a *Account, work float64) float64 {
	return s.base(a) + work/a.effective()
}
