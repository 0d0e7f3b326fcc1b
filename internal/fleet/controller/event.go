package controller

// This file defines the events that the control goroutine applies.

import (
	"time"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/fleet/message"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// Event is an input of the control state.
type Event interface{ isEvent() }

type (
	// tick is sent once per minimum heartbeat period.
	tick struct{ now time.Time }
	// paused reports that the process did not run for the given time.
	paused struct{ length time.Duration }
	// messageReceived is a message from another host.
	messageReceived struct {
		from string
		e    *message.Envelope
	}
	// linkUp reports an open link, linkDown one that ended or could not be opened.
	linkUp   struct{ host string }
	linkDown struct{ host string }
	// headRead is a configuration head from the store, with the documents that this
	// host lacked.
	headRead struct {
		head      *catalog.Head
		documents map[string][]byte
	}
	// headAbsent reports that the store is reachable but holds no configuration.
	headAbsent struct{}
	// hostsRead is the platform's host list.
	hostsRead struct{ hosts []store.Host }
	// targetDraining reports that a target rejected a request because it is draining.
	targetDraining struct{ target string }
	// drain reports that the local host is shutting down.
	drain struct{}
)

func (tick) isEvent()            {}
func (paused) isEvent()          {}
func (messageReceived) isEvent() {}
func (linkUp) isEvent()          {}
func (linkDown) isEvent()        {}
func (headRead) isEvent()        {}
func (headAbsent) isEvent()      {}
func (hostsRead) isEvent()       {}
func (targetDraining) isEvent()  {}
func (drain) isEvent()           {}
