package controller

// This file defines the events that the control goroutine applies.

import (
	"time"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/fleet/message"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// Event is something that changes the control state.
type Event interface{ isEvent() }

type (
	// tick is the heartbeat period.
	tick struct{ now time.Time }
	// paused reports that the process did not run for a while.
	paused struct{ length time.Duration }
	// received is a message of another host.
	received struct {
		from string
		e    *message.Envelope
	}
	// linkUp and linkDown report a change of a link.
	linkUp   struct{ host string }
	linkDown struct{ host string }
	// headRead is a head from the store with the documents that were missing.
	headRead struct {
		head      *catalog.Head
		documents map[string][]byte
	}
	// headAbsent reports that the store answered and has no head.
	headAbsent struct{}
	// hostsRead is the platform's list.
	hostsRead struct{ hosts []store.Host }
	// targetDrains reports that a target refused work because it drains.
	targetDrains struct{ target string }
	// leave starts the closing down of the own host.
	leave struct{}
)

func (tick) isEvent()         {}
func (paused) isEvent()       {}
func (received) isEvent()     {}
func (linkUp) isEvent()       {}
func (linkDown) isEvent()     {}
func (headRead) isEvent()     {}
func (headAbsent) isEvent()   {}
func (hostsRead) isEvent()    {}
func (targetDrains) isEvent() {}
func (leave) isEvent()        {}
