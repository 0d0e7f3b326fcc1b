// Package timer is the timer service that the parts of a process subscribe to.
//
// One goroutine holds all periods of a process. It also detects that the
// process was paused: when a tick arrives much later than it was due, the pause
// listeners run before any other subscriber.
//
// # Usage
//
//	s := timer.New()
//	s.OnPause(func(p timer.Pause) { loop.Post(...) })
//	s.Every("heartbeat", 500*time.Millisecond, func(now time.Time) { loop.Post(...) })
//	s.Start(ctx)
package timer

// This file defines Service, the periodic subscriptions and the pause detector.

import (
	"context"
	"sync"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

const (
	// resolution is the longest sleep of the timer goroutine. A shorter one
	// detects pauses sooner.
	resolution = 50 * time.Millisecond
	// PauseThreshold is the delay of a tick from which the process counts as paused.
	PauseThreshold = 700 * time.Millisecond
)

// Pause describes a time in which the process did not run.
type Pause struct {
	// Length is the time between the two ticks around the pause.
	Length time.Duration
	// Ended is the time of the first tick after the pause.
	Ended time.Time
}

type subscription struct {
	name  string
	every time.Duration
	next  time.Time
	fn    func(now time.Time)
}

// Service calls subscribers periodically. Subscribers must not block: they post
// to a control loop or set a flag.
type Service struct {
	mu      sync.Mutex
	subs    []*subscription
	pauses  []func(Pause)
	last    time.Time
	running *group.Group
}

// New returns a timer service without subscribers.
func New() *Service { return &Service{} }

// Every calls fn once per period, first after one period.
func (s *Service) Every(name string, period time.Duration, fn func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs = append(s.subs, &subscription{name: name, every: period, fn: fn})
}

// OnPause calls fn after each detected pause, before any subscriber of Every.
func (s *Service) OnPause(fn func(Pause)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauses = append(s.pauses, fn)
}

// Start implements registry.Starter.
func (s *Service) Start(ctx context.Context) error {
	s.running = group.New(context.WithoutCancel(ctx))
	s.running.Go("timer", s.run)
	return nil
}

// Stop implements registry.Stopper.
func (s *Service) Stop(context.Context) error {
	return s.running.Stop()
}

func (s *Service) run(ctx context.Context) error {
	ticker := time.NewTicker(resolution)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.Tick(time.Now())
		}
	}
}

// Stale reports whether the timer has not run for so long that the process must
// have been paused, although no tick has noticed it yet.
func (s *Service) Stale(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.last.IsZero() && now.Sub(s.last) >= PauseThreshold
}

// Tick runs what is due at now. The timer goroutine calls it; tests call it
// with virtual times.
func (s *Service) Tick(now time.Time) {
	s.mu.Lock()
	pause, paused := s.detectPause(now)
	pauseFns := s.pauses
	due := s.due(now)
	s.mu.Unlock()
	if paused {
		for _, fn := range pauseFns {
			fn(pause)
		}
	}
	for _, fn := range due {
		fn(now)
	}
}

func (s *Service) detectPause(now time.Time) (Pause, bool) {
	last := s.last
	s.last = now
	if last.IsZero() || now.Sub(last) < PauseThreshold {
		return Pause{}, false
	}
	return Pause{Length: now.Sub(last), Ended: now}, true
}

// due returns the callbacks whose period is over. A missed period is not made up.
func (s *Service) due(now time.Time) []func(time.Time) {
	var fns []func(time.Time)
	for _, sub := range s.subs {
		if sub.next.IsZero() {
			sub.next = now.Add(sub.every)
			continue
		}
		if now.Before(sub.next) {
			continue
		}
		sub.next = now.Add(sub.every)
		fns = append(fns, sub.fn)
	}
	return fns
}
