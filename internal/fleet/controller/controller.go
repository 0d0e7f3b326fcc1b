// Package controller implements the control plane of a balancer: it maintains the
// active configuration and the view of the fleet, and publishes both as a Snapshot.
//
// A single goroutine applies events to the control state; the data path reads
// snapshots. In each failure domain the few highest-ranked hosts watch the store and
// poll the platform's host list. The other hosts learn of changes from heartbeats and
// pull new configurations from their peers.
//
// # Usage
//
//	c := controller.New(cfg, group)
//	links := link.NewService(linkConfig, group, c)
//	c.UseLinks(links)
//	c.Start(ctx)
//	snapshot := c.Snapshot()
package controller

// This file defines Controller, which does the I/O for the control state.

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/confirmation"
	"tamaracktiller.example/tamaracktiller/internal/fleet/link"
	"tamaracktiller.example/tamaracktiller/internal/fleet/member"
	"tamaracktiller.example/tamaracktiller/internal/fleet/message"
	"tamaracktiller.example/tamaracktiller/internal/kernel/control"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
)

const (
	// watchTimeout is the maximum duration of one watch request to the store.
	watchTimeout = 30 * time.Second
	// storeRetryDelay is the delay before the next request after the store failed.
	storeRetryDelay = time.Second
	// hostListInterval is the polling interval of the platform's host list.
	hostListInterval = 2 * time.Second
	// watcherCheckInterval is the interval at which a host that does not watch the store
	// checks whether it has become a watcher.
	watcherCheckInterval = 500 * time.Millisecond
)

// Config holds the dependencies of a controller.
type Config struct {
	Self   member.Host
	Member member.Config
	Store  store.Store
	Lister store.HostLister
	Timer  *timer.Service
	Log    *logrus.Entry
	// OnChange is called on the control goroutine after each new snapshot. It may be
	// nil.
	OnChange func(*Snapshot)
	// OnTargetCrash is called for each target crash that another host reports. It must not
	// block, and may be nil.
	OnTargetCrash func(crash.Crash)
}

// Controller is the control plane of a balancer.
type Controller struct {
	cfg          Config
	g            *group.Group
	loop         *control.Loop[Event]
	state        *state
	links        *link.Service
	snapshot     atomic.Pointer[Snapshot]
	watchesStore atomic.Bool
	// pausePending is set while a detected pause has not been applied to the control state.
	pausePending atomic.Bool
}

var _ link.Handler = (*Controller)(nil)

// New returns a controller that has not been started. Its goroutines run in g.
func New(cfg Config, g *group.Group) *Controller {
	c := &Controller{cfg: cfg, g: g, state: newState(cfg.Self, cfg.Member)}
	c.loop = control.New(c.handle)
	c.snapshot.Store(c.state.snapshot(time.Now(), nil))
	return c
}

// UseLinks sets the service that carries messages to peers. It must be called before
// Start.
func (c *Controller) UseLinks(links *link.Service) { c.links = links }

// Snapshot returns the latest published control state.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// Fresh reports whether traffic may rely on the snapshot: the host is ready, and the
// process was not paused since the snapshot was taken.
func (c *Controller) Fresh() bool {
	return !c.pausePending.Load() && !c.cfg.Timer.Stale(time.Now()) && c.Snapshot().Ready
}

// Start implements registry.Starter.
func (c *Controller) Start(ctx context.Context) error {
	c.cfg.Timer.OnPause(func(p timer.Pause) {
		c.pausePending.Store(true)
		c.loop.Post(paused{length: p.Length})
	})
	c.cfg.Timer.Every("heartbeat", c.cfg.Member.Period, func(now time.Time) { c.loop.Post(tick{now: now}) })
	c.g.Go("store watch", c.watchStore)
	c.g.Go("host list", c.pollHosts)
	return c.loop.Start(ctx)
}

// Stop implements registry.Stopper.
func (c *Controller) Stop(ctx context.Context) error { return c.loop.Stop(ctx) }

// Drain announces to the fleet that this host is shutting down.
func (c *Controller) Drain() { c.loop.Post(drain{}) }

// MarkTargetDraining records that a target rejected a request because it is draining.
func (c *Controller) MarkTargetDraining(target string) { c.loop.Post(targetDraining{target: target}) }

// MessageReceived implements link.Handler.
func (c *Controller) MessageReceived(from string, e *message.Envelope) {
	if e.TargetCrash != nil {
		if c.cfg.OnTargetCrash != nil {
			c.cfg.OnTargetCrash(*e.TargetCrash)
		}
		return
	}
	c.loop.Post(messageReceived{from: from, e: e})
}

// LinkUp implements link.Handler.
func (c *Controller) LinkUp(host string) { c.loop.Post(linkUp{host: host}) }

// LinkDown implements link.Handler.
func (c *Controller) LinkDown(host string) { c.loop.Post(linkDown{host: host}) }

// handle applies an event and carries out the resulting actions. It runs on the control
// goroutine.
func (c *Controller) handle(e Event) {
	now := time.Now()
	a := c.state.apply(now, e)
	for _, line := range a.logs {
		c.cfg.Log.WithFields(line.fields).Info(line.text)
	}
	for _, host := range a.connect {
		c.links.Connect(host)
	}
	for _, host := range a.close {
		c.links.Disconnect(host)
	}
	for _, m := range a.send {
		_ = c.links.Send(m.to, m.e)
	}
	if _, wasPaused := e.(paused); wasPaused {
		defer c.pausePending.Store(false)
	}
	last := c.snapshot.Load()
	ready, _ := c.state.ready(now)
	if a.changed || ready != last.Ready {
		c.publish(now, last)
	}
}

func (c *Controller) publish(now time.Time, last *Snapshot) {
	next := c.state.snapshot(now, last)
	c.watchesStore.Store(c.state.watchesStore)
	c.snapshot.Store(next)
	if next.Ready != last.Ready {
		c.cfg.Log.WithFields(logrus.Fields{"ready": next.Ready, "why": next.NotReadyReason}).Info("readiness changed")
	}
	if c.cfg.OnChange != nil {
		c.cfg.OnChange(next)
	}
}

// watchStore reads the configuration head from the store while this host is a watcher or
// has no configuration yet.
func (c *Controller) watchStore(ctx context.Context) error {
	var version store.Revision
	for ctx.Err() == nil {
		loaded := c.Snapshot().Head.Revision > 0
		if loaded && !c.watchesStore.Load() {
			timer.Sleep(ctx, watcherCheckInterval)
			continue
		}
		next, err := c.readHead(ctx, version, loaded)
		if err != nil {
			c.cfg.Log.WithError(err).Warn("reading the configuration from the store failed; will retry")
			timer.Sleep(ctx, storeRetryDelay)
			continue
		}
		version = next
	}
	return nil
}

// readHead reads the configuration head once: with a plain read as long as no
// configuration is loaded, otherwise with a watch. It returns the version from which the
// next watch continues.
func (c *Controller) readHead(ctx context.Context, version store.Revision, loaded bool) (store.Revision, error) {
	var v store.Value
	var err error
	if loaded {
		v, err = c.cfg.Store.Watch(ctx, confirmation.HeadKey, version, watchTimeout)
	} else {
		v, err = c.cfg.Store.Get(ctx, confirmation.HeadKey)
	}
	switch {
	case errors.Is(err, store.ErrUnchanged):
		return version, nil
	case errors.Is(err, store.ErrNotFound):
		c.loop.Post(headAbsent{})
		timer.Sleep(ctx, watcherCheckInterval)
		return version, nil
	case err != nil:
		return version, err
	}
	if err := c.postHead(ctx, v); err != nil {
		return version, err
	}
	return v.Version, nil
}

// postHead decodes the head v, fetches the documents that the host does not have, and posts
// both to the control loop.
func (c *Controller) postHead(ctx context.Context, v store.Value) error {
	var head catalog.Head
	if err := json.Unmarshal(v.Data, &head); err != nil {
		return errors.Wrap(err, "controller: decode head")
	}
	snapshot := c.Snapshot()
	documents := map[string][]byte{}
	if head.Revision > snapshot.Head.Revision || snapshot.Head.Revision == 0 {
		_, err := catalog.Assemble(&head, func(isPool bool, name string, digest catalog.Digest) ([]byte, error) {
			key := catalog.DocumentKey(isPool, name, digest)
			if content, ok := snapshot.Documents[key]; ok {
				return content, nil
			}
			d, err := c.cfg.Store.Get(ctx, key)
			documents[key] = d.Data
			return d.Data, err
		})
		if err != nil {
			return err
		}
	}
	c.loop.Post(headRead{head: &head, documents: documents})
	return nil
}

// pollHosts polls the platform's host list while this host is a watcher or has no links.
func (c *Controller) pollHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.watchesStore.Load() || len(c.links.Hosts()) == 0 {
			hosts, err := c.cfg.Lister.Hosts(ctx)
			if err == nil {
				c.loop.Post(hostsRead{hosts: hosts})
			}
		}
		timer.Sleep(ctx, hostListInterval)
	}
	return nil
}
