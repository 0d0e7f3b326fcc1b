// Package timer provides the periodic callbacks of a process and detects process pauses.
//
// A single goroutine runs all callbacks. When a tick arrives much later than expected, the
// process must have been paused; the pause callbacks then run before all others.
//
// # Usage
//
//	s := timer.New()
//	s.OnPause(func(p timer.Pause) { loop.Post(...) })
//	s.Every("heartbeat", 500*time.Millisecond, func(now time.Time) { loop.Post(...) })
//	s.Start(ctx)
package timer

// This file defines Service.

import (
	"context"
	"sync"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

const (
	// resolution is the tick interval while pauses are to be detected, and of a service
	// without callbacks. A shorter interval detects pauses sooner.
	resolution = 50 * time.Millisecond
	// PauseThreshold is the time between two ticks from which on the process is considered
	// to have been paused.
	PauseThreshold = 700 * time.Millisecond
)

// Pause describes a period in which the process did not run.
type Pause struct {
	// Length is the time from the last tick before the pause to the first tick after it.
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

// Service calls functions periodically. These must not block; typically they post to a
// control loop or set a flag.
type Service struct {
	mu            sync.Mutex
	subscriptions []*subscription
	onPause       []func(Pause)
	lastTick      time.Time
	running       *group.Group
}

// New returns a Service without callbacks.
func New() *Service { return &Service{} }

// Every registers fn to be called once per period, starting one period after the next
// tick.
func (s *Service) Every(name string, period time.Duration, fn func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscriptions = append(s.subscriptions, &subscription{name: name, every: period, fn: fn})
}

// OnPause registers fn to be called after each detected pause, before the callbacks of
// Every.
func (s *Service) OnPause(fn func(Pause)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onPause = append(s.onPause, fn)
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
	t := time.NewTimer(resolution)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			s.Tick(time.Now())
			t.Reset(s.untilTick(time.Now()))
		}
	}
}

// untilTick returns the time until the next tick is needed. Each tick wakes the process, so
// without pause callbacks there is none before a callback is due.
func (s *Service) untilTick(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.onPause) > 0 || len(s.subscriptions) == 0 {
		return resolution
	}
	next := now.Add(s.subscriptions[0].every)
	for _, sub := range s.subscriptions {
		if sub.next.Before(next) {
			next = sub.next
		}
	}
	return max(0, next.Sub(now))
}

// Stale reports whether the last tick is so long ago that the process must have been
// paused, but the pause callbacks have not run yet.
func (s *Service) Stale(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastTick.IsZero() && now.Sub(s.lastTick) >= PauseThreshold
}

// Tick calls the functions that are due at now. The timer goroutine calls it regularly;
// tests call it with virtual times.
func (s *Service) Tick(now time.Time) {
	s.mu.Lock()
	pause, paused := s.detectPause(now)
	pauseFns := s.onPause
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
	lastTick := s.lastTick
	s.lastTick = now
	if lastTick.IsZero() || now.Sub(lastTick) < PauseThreshold {
		return Pause{}, false
	}
	return Pause{Length: now.Sub(lastTick), Ended: now}, true
}

// due returns the callbacks that are due at now. Missed periods are skipped. Due times are
// multiples of the period, so that callbacks whose periods are multiples of each other share
// their ticks.
func (s *Service) due(now time.Time) []func(time.Time) {
	var fns []func(time.Time)
	for _, sub := range s.subscriptions {
		if sub.next.IsZero() {
			sub.next = now.Add(sub.every)
			continue
		}
		if now.Before(sub.next) {
			continue
		}
		sub.next = sub.next.Add((now.Sub(sub.next)/sub.every + 1) * sub.every)
		fns = append(fns, sub.fn)
	}
	return fns
}
