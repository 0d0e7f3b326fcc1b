// Package group starts goroutines that end together.
//
// Every goroutine of a process belongs to a Group, so that a shutdown can wait
// for all of them and a panic is logged with the name of the part it arose in.
//
// # Usage
//
//	g := group.New(ctx)
//	g.Go("links", func(ctx context.Context) error { return links.Run(ctx) })
//	err := g.Stop() // cancels the context, waits, returns the first error
package group

// This file defines Group, the owner of a set of goroutines.

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Group owns goroutines that share a context. The zero value is not usable.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	eg     *errgroup.Group
}

// New returns a group whose goroutines are cancelled with ctx, or when one of
// them returns an error.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	eg, egCtx := errgroup.WithContext(ctx)
	return &Group{ctx: egCtx, cancel: cancel, eg: eg}
}

// Context returns the context that is cancelled when the group ends.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts fn in the group. The error of fn is wrapped with name. The error
// of a cancelled context is not a failure and is dropped.
func (g *Group) Go(name string, fn func(ctx context.Context) error) {
	g.eg.Go(func() error {
		err := fn(g.ctx)
		if err == nil || errors.Is(err, context.Canceled) {
			return nil
		}
		return errors.Wrap(err, name)
	})
}

// Wait waits for every goroutine and returns the first error.
func (g *Group) Wait() error { return g.eg.Wait() }

// Stop cancels the group, waits for every goroutine and returns the first error.
func (g *Group) Stop() error {
	g.cancel()
	return g.eg.Wait()
}
