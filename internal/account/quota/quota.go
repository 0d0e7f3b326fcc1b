// Package quota charges requests to the quotas of client accounts, over all hosts.
//
// It connects the decisions of package credit to the process: to the view of the fleet, to the
// configuration, to messages between hosts and to requests that wait for credit. It handles overload by
// single accounts: a request beyond the quota is refused at once, on every host, without a call of the
// store. Without accounts with a rate it sends no messages and keeps no state.
//
// # Usage
//
//	s := quota.New(cfg)
//	timers.Every("credit", credit.PollPeriod, s.Tick)
//	s.SetSnapshot(snapshot)
//	s.Start() // when messages can be sent
//	refund, err := s.Charge(ctx, requestID, account)
//	var exceeded *quota.ExceededError
//	if errors.As(err, &exceeded) { ... 429, retry after exceeded.RetryAfter ... }
//	s.Resign() // when the host shuts down
package quota

// This file defines Service and how it charges requests.

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/account/credit"
	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
)

// waitDivisor is the part of the time left for which a request waits for credit at most.
const waitDivisor = 10

// Result is the result of a charge.
type Result string

// Results of charges.
const (
	Charged     Result = "charged"
	Exceeded    Result = "exceeded"
	Unavailable Result = "unavailable"
	GivenUp     Result = "given-up"
)

// Observer is notified of charges, refunds and messages.
type Observer interface {
	Charge(account string, result Result)
	Refund(account string)
	CreditMessage(sent bool)
}

// ExceededError reports that an account is beyond its quota.
type ExceededError struct {
	Account    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *ExceededError) Error() string {
	return "quota: account " + e.Account + " is beyond its quota, retry after " + e.RetryAfter.String()
}

// UnavailableError reports that no host issues credit for an account.
type UnavailableError struct {
	Account    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "quota: no host issues credit for account " + e.Account + ", retry after " + e.RetryAfter.String()
}

// Config holds the dependencies of a service.
type Config struct {
	// Self is the entry of this host.
	Self directory.Host
	// Send sends a message to another host.
	Send func(to netip.AddrPort, m credit.Message) error
	// ViewAge returns the age of the view of the fleet.
	ViewAge func() time.Duration
	// SinceBoot returns the time since boot.
	SinceBoot func() time.Duration
	// Bounds hold the tolerance of quotas, which is compared with that of package credit.
	Bounds   settings.Bounds
	Observer Observer
	Log      *logrus.Entry
}

// waiter is a request that waits for credit.
type waiter struct {
	decided chan credit.Decision
}

// Service charges requests. It is safe for concurrent use. Use New to create one.
type Service struct {
	cfg Config

	// mu guards the fields below.
	mu      sync.Mutex
	spender *credit.Spender
	issuer  *credit.Issuer
	// started is set when messages can be sent, and enabled while the configuration has accounts
	// with a rate.
	started, enabled bool
	snapshot         *directory.Snapshot
	// hostChanges is the count of changes up to which hosts are ranked, and hosts their number, with
	// this one.
	hostChanges int
	hosts       int
	accounts    []routing.Account
	// waiters holds the requests that wait for credit, in the order of their arrival.
	waiters map[credit.AccountID][]*waiter
	// logged is the state in the last log line.
	logged state
}

// state is what is logged when it changes.
type state struct {
	following string
	issues    bool
}

// New returns a service that is not enabled.
func New(cfg Config) *Service {
	now, run := cfg.SinceBoot(), xxhash.Sum64String(cfg.Self.Incarnation)
	return &Service{
		cfg: cfg, spender: credit.NewSpender(now, cfg.Self.Name, run), issuer: credit.NewIssuer(now, cfg.Self.Name, run),
		snapshot: &directory.Snapshot{}, hostChanges: -1, waiters: map[credit.AccountID][]*waiter{},
	}
}

// Start makes the service send messages.
func (s *Service) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = true
}

// Charge charges a request to an account. refund must be called if the request has not run. The error
// is an *ExceededError, an *UnavailableError or that of ctx.
func (s *Service) Charge(ctx context.Context, requestID string, a *routing.Account) (refund func(), err error) {
	if a.PerSecond <= 0 {
		return func() {}, nil
	}
	id := credit.ID(a.Name)
	s.mu.Lock()
	now := s.cfg.SinceBoot()
	d := s.spender.Charge(now, id, false)
	var w *waiter
	if d.Outcome == credit.Wait {
		w = &waiter{decided: make(chan credit.Decision, 1)}
		s.waiters[id] = append(s.waiters[id], w)
		s.poll(now)
	}
	s.mu.Unlock()
	if w != nil {
		if d, err = s.await(ctx, id, w); err != nil {
			s.observe(a.Name, GivenUp)
			return nil, err
		}
	}
	return s.conclude(requestID, a, id, d, s.cfg.SinceBoot()-now)
}

// conclude returns the result of a charge.
func (s *Service) conclude(requestID string, a *routing.Account, id credit.AccountID, d credit.Decision, waited time.Duration) (func(), error) {
	var err error
	result := Unavailable
	switch d.Outcome {
	case credit.Charged:
		s.observe(a.Name, Charged)
		return func() { s.refund(a.Name, id, d.Lease) }, nil
	case credit.Exceeded:
		result, err = Exceeded, &ExceededError{Account: a.Name, RetryAfter: d.RetryAfter}
	default:
		err = &UnavailableError{Account: a.Name, RetryAfter: d.RetryAfter}
	}
	s.observe(a.Name, result)
	s.mu.Lock()
	following := s.spender.Following()
	s.mu.Unlock()
	s.cfg.Log.WithFields(logrus.Fields{
		"request": requestID, "account": a.Name, "result": result, "per-second": a.PerSecond, "burst": a.Burst, "waited-ms": waited.Milliseconds(),
		"retry-after-ms": d.RetryAfter.Milliseconds(), "credit-host": following, "view-age-ms": s.cfg.ViewAge().Milliseconds(),
	}).Info("request is not charged")
	return nil, err
}

func (s *Service) observe(account string, r Result) {
	if s.cfg.Observer != nil {
		s.cfg.Observer.Charge(account, r)
	}
}

// await waits for credit.
func (s *Service) await(ctx context.Context, id credit.AccountID, w *waiter) (credit.Decision, error) {
	longest := credit.MaxWait
	if deadline, ok := ctx.Deadline(); ok {
		longest = min(longest, time.Until(deadline)/waitDivisor)
	}
	end := time.NewTimer(longest)
	defer end.Stop()
	poll := time.NewTicker(credit.DemandPeriod)
	defer poll.Stop()
	for {
		select {
		case d := <-w.decided:
			return d, nil
		case <-poll.C:
			s.mu.Lock()
			s.poll(s.cfg.SinceBoot())
			s.mu.Unlock()
		case <-end.C:
			d, _ := s.giveUp(id, w, true)
			return d, nil
		case <-ctx.Done():
			d, decided := s.giveUp(id, w, false)
			if decided && d.Outcome == credit.Charged {
				return d, nil
			}
			return d, ctx.Err()
		}
	}
}

// giveUp ends the wait of a request. decided reports whether it was decided meanwhile. expired is set
// if the request has waited as long as it may.
func (s *Service) giveUp(id credit.AccountID, w *waiter, expired bool) (d credit.Decision, decided bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case d := <-w.decided:
		return d, true
	default:
	}
	s.removeWaiter(id, w)
	if expired {
		return s.spender.Expire(s.cfg.SinceBoot(), id), false
	}
	s.spender.Withdraw(id)
	return credit.Decision{}, false
}

func (s *Service) removeWaiter(id credit.AccountID, w *waiter) {
	list := s.waiters[id]
	for n := range list {
		if list[n] == w {
			list = append(list[:n], list[n+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(s.waiters, id)
		return
	}
	s.waiters[id] = list
}

// serveWaiters decides on the requests that wait. The caller holds the mutex.
func (s *Service) serveWaiters(now time.Duration) {
	for id, list := range s.waiters {
		n := 0
		for ; n < len(list); n++ {
			d := s.spender.Charge(now, id, true)
			if d.Outcome == credit.Wait {
				break
			}
			list[n].decided <- d
		}
		if n == len(list) {
			delete(s.waiters, id)
			continue
		}
		s.waiters[id] = list[n:]
	}
}

func (s *Service) refund(account string, id credit.AccountID, lease credit.Lease) {
	if s.cfg.Observer != nil {
		s.cfg.Observer.Refund(account)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.SinceBoot()
	s.spender.Refund(now, id, lease)
	s.serveWaiters(now)
}
