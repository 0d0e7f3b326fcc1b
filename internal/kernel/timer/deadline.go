package timer

// This file defines Deadline.

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Deadline is a time that is not known at first and may then only come forward. It is safe for
// concurrent use.
type Deadline struct {
	ctx    context.Context
	cancel context.CancelFunc
	at     atomic.Pointer[time.Time]

	mu    sync.Mutex
	timer *time.Timer
}

// NewDeadline returns a deadline that is not set.
func NewDeadline() *Deadline {
	d := &Deadline{}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Context returns a context that is done at the deadline.
func (d *Deadline) Context() context.Context { return d.ctx }

// At returns the deadline, and false if it is not set.
func (d *Deadline) At() (time.Time, bool) {
	if at := d.at.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

// BringForward sets the deadline unless an earlier one is set, and reports whether it did.
func (d *Deadline) BringForward(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before, ok := d.At(); ok && !at.Before(before) {
		return false
	}
	d.at.Store(&at)
	if d.timer != nil {
		d.timer.Stop()
	}
	d.timer = time.AfterFunc(time.Until(at), d.end)
	return true
}

func (d *Deadline) end() { d.cancel() }
