// Package registry manages the services of a process: they are looked up by name, started
// in the order of their registration and stopped in reverse order.
//
// A service can be any value. Services that implement Starter or Stopper are called when
// the registry starts or stops.
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

// This file defines Registry.

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"
)

// Starter is implemented by services that must be started.
type Starter interface {
	// Start starts the service and returns when it is ready for use.
	Start(ctx context.Context) error
}

// Stopper is implemented by services that must be stopped.
type Stopper interface {
	// Stop stops the service and returns when it has stopped, or when ctx is done.
	Stop(ctx context.Context) error
}

// MissingError reports that no service is registered under a name.
type MissingError struct{ Name string }

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("registry: no service named %q", e.Name)
}

// TypeError reports that a service does not have the requested type.
type TypeError struct {
	Name string
	Got  string
	Want string
}

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("registry: service %q has type %s, want %s", e.Name, e.Got, e.Want)
}

// Registry holds named services. Provide and Find are safe for concurrent use.
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

// Provide registers a service under a name. It panics if the name is already registered,
// since that is a programming error.
func (r *Registry) Provide(name string, service any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, exists := r.services[name]; exists {
		panic(fmt.Sprintf("registry: service %q is already registered", name))
	}
	r.services[name] = service
	r.order = append(r.order, name)
}

// Find returns the service with the given name and type. It returns a *MissingError or a
// *TypeError if there is none.
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

// Start starts the services in the order of their registration. If one fails, it stops
// those already started and returns the error.
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
