// Package registry is the micro-kernel: services find each other by name, start
// in the order of their registration and stop in reverse order.
//
// A service is any value. It takes part in start and stop by implementing
// Starter and Stopper; both are found by type assertion.
//
// # Usage
//
//	r := registry.New()
//	r.Provide("timer", timers)
//	r.Provide("links", links)
//	timers, err := registry.Find[*timer.Service](r, "timer")
//	err = r.Start(ctx)
//	defer r.Stop(ctx)
package registry

// This file defines Registry, the table of named services.

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"
)

// Starter is implemented by services that do work on start.
type Starter interface {
	// Start returns when the service is ready for use.
	Start(ctx context.Context) error
}

// Stopper is implemented by services that release something on stop.
type Stopper interface {
	// Stop returns when the service has ended, or when ctx is done.
	Stop(ctx context.Context) error
}

// MissingError reports that no service has the wanted name.
type MissingError struct{ Name string }

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("registry: no service named %q", e.Name)
}

// TypeError reports that a service has another type than the wanted one.
type TypeError struct {
	Name string
	Got  string
	Want string
}

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("registry: service %q is a %s, want a %s", e.Name, e.Got, e.Want)
}

// Registry is a table of named services. It is safe for concurrent use.
type Registry struct {
	mu       sync.RWMutex
	order    []string
	services map[string]any
	started  []string
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{services: make(map[string]any)}
}

// Provide adds a service under a name. It panics when the name is taken, since
// that is a fault of the program.
func (r *Registry) Provide(name string, service any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.services[name]; taken {
		panic(fmt.Sprintf("registry: service %q is provided twice", name))
	}
	r.services[name] = service
	r.order = append(r.order, name)
}

// Find returns the service with the given name and type. The error is a
// *MissingError or a *TypeError.
func Find[T any](r *Registry, name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var zero T
	service, ok := r.services[name]
	if !ok {
		return zero, &MissingError{Name: name}
	}
	typed, ok := service.(T)
	if !ok {
		return zero, &TypeError{Name: name, Got: fmt.Sprintf("%T", service), Want: fmt.Sprintf("%T", zero)}
	}
	return typed, nil
}

// Start starts the services in the order of their registration. When one fails
// the started ones are stopped and the error is returned.
func (r *Registry) Start(ctx context.Context) error {
	for _, name := range r.names() {
		starter, ok := r.services[name].(Starter)
		if ok {
			if err := starter.Start(ctx); err != nil {
				_ = r.Stop(ctx)
				return errors.Wrapf(err, "registry: start %s", name)
			}
		}
		r.started = append(r.started, name)
	}
	return nil
}

// Stop stops the started services in reverse order and returns the first error.
func (r *Registry) Stop(ctx context.Context) error {
	var first error
	for i := len(r.started) - 1; i >= 0; i-- {
		name := r.started[i]
		stopper, ok := r.services[name].(Stopper)
		if !ok {
			continue
		}
		err := stopper.Stop(ctx)
		if err != nil && first == nil {
			first = errors.Wrapf(err, "registry: stop %s", name)
		}
	}
	r.started = nil
	return first
}

func (r *Registry) names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return append([]string(nil), r.order...)
}
