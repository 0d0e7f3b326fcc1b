// Package control runs the one goroutine that owns the control state of a
// process.
//
// Parts post typed events; one handler applies them in order. Traffic
// goroutines never take part: they read the snapshots that the handler
// publishes.
//
// # Usage
//
//	loop := control.New(func(e Event) { state.Apply(e) })
//	loop.Start(ctx)
//	loop.Post(HeartbeatReceived{...})
package control

// This file defines Loop, the single consumer of control events.

import (
	"context"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

// queueLength is the number of events that may wait for the handler.
const queueLength = 4096

// Loop applies events one after the other.
type Loop[E any] struct {
	handle  func(E)
	events  chan E
	running *group.Group
}

// New returns a loop that calls handle for each event.
func New[E any](handle func(E)) *Loop[E] {
	return &Loop[E]{handle: handle, events: make(chan E, queueLength)}
}

// Post queues an event and reports whether there was room. A full queue means
// that the handler is stuck; the event is dropped, because a control event is
// always followed by a later one that carries the same state.
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
