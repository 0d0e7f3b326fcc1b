// Package group manages goroutines that are canceled and awaited together.
//
// The goroutines of a process run in a Group, so that a shutdown can wait for all of them.
// The first error of a goroutine cancels the others and is returned with the name of that
// goroutine.
//
// # Usage
//
//	g := group.New(ctx)
//	g.Go("links", func(ctx context.Context) error { return links.Run(ctx) })
//	err := g.Stop() // cancels the context, waits, returns the first error
package group

// This file defines Group.

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Group is a set of goroutines that share a context. Use New to create one.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	eg     *errgroup.Group
}

// New returns an empty group. Its context is canceled together with ctx, or when a
// goroutine of the group returns an error.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	eg, egCtx := errgroup.WithContext(ctx)
	return &Group{ctx: egCtx, cancel: cancel, eg: eg}
}

// Context returns the context of the group's goroutines.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs fn in a new goroutine of the group and wraps its error with name. It ignores
// context.Canceled, which is not a failure.
func (g *Group) Go(name string, fn func(ctx context.Context) error) {
	g.eg.Go(func() error {
		err := fn(g.ctx)
		if err == nil || errors.Is(err, context.Canceled) {
			return nil
		}
		return errors.Wrap(err, name)
	})
}

// Wait waits for all goroutines and returns the first error.
func (g *Group) Wait() error { return g.eg.Wait() }

// Stop cancels the context of the group, waits for all goroutines and returns the first
// error.
func (g *Group) Stop() error {
	g.cancel()
	return g.eg.Wait()
}
