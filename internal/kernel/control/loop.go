// Package control provides an event loop: a single goroutine that owns the control state
// of a process.
//
// Components post events, which one handler applies in order. The data path does not use
// the loop; it reads the snapshots that the handler publishes.
//
// # Usage
//
//	loop := control.New(func(e Event) { state.Apply(e) })
//	loop.Start(ctx)
//	ok := loop.Post(event)
package control

// This file defines Loop.

import (
	"context"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

// queueLength is the capacity of the event queue.
const queueLength = 4096

// Loop passes events to a handler, one at a time.
type Loop[E any] struct {
	handle  func(E)
	events  chan E
	running *group.Group
}

// New returns a loop that calls handle for each event.
func New[E any](handle func(E)) *Loop[E] {
	return &Loop[E]{handle: handle, events: make(chan E, queueLength)}
}

// Post queues an event. If the queue is full, which means that the handler is stuck, Post
// drops the event and returns false. Dropping is safe, because every control event is
// followed by a later one with the same information.
func (l *Loop[E]) Post(e E) bool {
	select {
	case l.events <- e:
		return true
	default:
		return false
	}
}

// Start implements registry.Starter.
func (l *Loop[E]) Start(ctx context.Context) error {
	l.running = group.New(context.WithoutCancel(ctx))
	l.running.Go("control", func(ctx context.Context) error {
		l.run(ctx)
		return nil
	})
	return nil
}

// Stop implements registry.Stopper.
func (l *Loop[E]) Stop(context.Context) error { return l.running.Stop() }

func (l *Loop[E]) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.handle(e)
		}
	}
}
