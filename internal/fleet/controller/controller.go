// Package controller ties a host into the fleet: it keeps the configuration in
// force and the view of the other hosts, and publishes both as a Snapshot.
//
// One goroutine applies events to the control state; traffic reads snapshots. A
// few hosts per failure domain, by rank, watch the store and read the platform's
// list; the others learn from heartbeats and pull what they lack.
//
// # Usage
//
//	c := controller.New(cfg, group)
//	links := link.NewService(linkConfig, group, c)
//	c.UseLinks(links)
//	c.Start(ctx)
//	snapshot := c.Snapshot()
package controller

// This file defines Controller, the shell around the control state.

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
	// watchWait is the longest wait of one watch.
	watchWait = 30 * time.Second
	// storeRetry is the pause after a failed call of the store.
	storeRetry = time.Second
	// hostsPeriod is the time between two reads of the platform's list.
	hostsPeriod = 2 * time.Second
	// idleCheck is the time after which a host that does not watch looks again
	// whether it should.
	idleCheck = 500 * time.Millisecond
)

// Config holds the dependencies of a controller.
type Config struct {
	Self   member.Host
	Member member.Config
	Store  store.Store
	Lister store.HostLister
	Timer  *timer.Service
	Log    *logrus.Entry
	// Changed is called after each new snapshot, on the control goroutine. It
	// may be nil.
	Changed func(*Snapshot)
	// Death is called for each death of a target that another host tells of. It
	// must not block, and may be nil.
	Death func(crash.Death)
}

// Controller is the control side of a balancer.
type Controller struct {
	cfg      Config
	g        *group.Group
	loop     *control.Loop[Event]
	state    *state
	links    *link.Service
	snapshot atomic.Pointer[Snapshot]
	watches  atomic.Bool
	// pausing is set from the moment a pause is noticed until the control state
	// knows of it.
	pausing atomic.Bool
}

var _ link.Handler = (*Controller)(nil)

// New returns a controller that is not started. Its goroutines run in g.
func New(cfg Config, g *group.Group) *Controller {
	c := &Controller{cfg: cfg, g: g, state: newState(cfg.Self, cfg.Member)}
	c.loop = control.New(c.handle)
	c.snapshot.Store(c.state.snapshot(time.Now(), nil))
	return c
}

// UseLinks sets the links. It must be called before Start.
func (c *Controller) UseLinks(links *link.Service) { c.links = links }

// Snapshot returns the latest control state.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// Fresh reports whether the snapshot may be acted on: the host may serve, and was
// not paused since the snapshot was made.
func (c *Controller) Fresh() bool {
	return !c.pausing.Load() && !c.cfg.Timer.Stale(time.Now()) && c.Snapshot().Ready
}

// Start implements registry.Starter.
func (c *Controller) Start(ctx context.Context) error {
	c.cfg.Timer.OnPause(func(p timer.Pause) {
		c.pausing.Store(true)
		c.loop.Post(paused{length: p.Length})
	})
	c.cfg.Timer.Every("heartbeat", c.cfg.Member.Period, func(now time.Time) { c.loop.Post(tick{now: now}) })
	c.g.Go("store watch", c.watchStore)
	c.g.Go("host list", c.readHosts)
	return c.loop.Start(ctx)
}

// Stop implements registry.Stopper.
func (c *Controller) Stop(ctx context.Context) error { return c.loop.Stop(ctx) }

// Leave tells the fleet that this host closes down.
func (c *Controller) Leave() { c.loop.Post(leave{}) }

// TargetDrains takes in that a target refused work because it drains.
func (c *Controller) TargetDrains(target string) { c.loop.Post(targetDrains{target: target}) }

// Received implements link.Handler.
func (c *Controller) Received(from string, e *message.Envelope) {
	if e.Death != nil {
		if c.cfg.Death != nil {
			c.cfg.Death(*e.Death)
		}
		return
	}
	c.loop.Post(received{from: from, e: e})
}

// Up implements link.Handler.
func (c *Controller) Up(host string) { c.loop.Post(linkUp{host: host}) }

// Down implements link.Handler.
func (c *Controller) Down(host string) { c.loop.Post(linkDown{host: host}) }

// handle runs on the control goroutine.
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
		defer c.pausing.Store(false)
	}
	last := c.snapshot.Load()
	ready, _ := c.state.ready(now)
	if a.changed || ready != last.Ready {
		c.publish(now, last)
	}
}

func (c *Controller) publish(now time.Time, last *Snapshot) {
	next := c.state.snapshot(now, last)
	c.watches.Store(c.state.watches)
	c.snapshot.Store(next)
	if next.Ready != last.Ready {
		c.cfg.Log.WithFields(logrus.Fields{"ready": next.Ready, "why": next.Why}).Info("readiness changed")
	}
	if c.cfg.Changed != nil {
		c.cfg.Changed(next)
	}
}

// watchStore follows the head in the store while this host is a watcher, or has
// no configuration.
func (c *Controller) watchStore(ctx context.Context) error {
	var version store.Revision
	for ctx.Err() == nil {
		loaded := c.Snapshot().Head.Revision > 0
		if loaded && !c.watches.Load() {
			timer.Sleep(ctx, idleCheck)
			continue
		}
		next, err := c.readHead(ctx, version, loaded)
		if err != nil {
			c.cfg.Log.WithError(err).Warn("store is unavailable")
			timer.Sleep(ctx, storeRetry)
			continue
		}
		version = next
	}
	return nil
}

// readHead reads the head once: at once while there is no configuration, by a
// watch otherwise. It returns the version to watch after.
func (c *Controller) readHead(ctx context.Context, version store.Revision, loaded bool) (store.Revision, error) {
	var v store.Value
	var err error
	if loaded {
		v, err = c.cfg.Store.Watch(ctx, confirmation.HeadKey, version, watchWait)
	} else {
		v, err = c.cfg.Store.Get(ctx, confirmation.HeadKey)
	}
	switch {
	case errors.Is(err, store.ErrUnchanged):
		return version, nil
	case errors.Is(err, store.ErrNotFound):
		c.loop.Post(headAbsent{})
		timer.Sleep(ctx, idleCheck)
		return version, nil
	case err != nil:
		return version, err
	}
	if err := c.offer(ctx, v); err != nil {
		return version, err
	}
	return v.Version, nil
}

// offer fetches the documents that the host lacks and posts the head.
func (c *Controller) offer(ctx context.Context, v store.Value) error {
	var head catalog.Head
	if err := json.Unmarshal(v.Data, &head); err != nil {
		return errors.Wrap(err, "controller: head")
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

// readHosts reads the platform's list while this host is a watcher, or hears
// nobody.
func (c *Controller) readHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.watches.Load() || len(c.links.Hosts()) == 0 {
			hosts, err := c.cfg.Lister.Hosts(ctx)
			if err == nil {
				c.loop.Post(hostsRead{hosts: hosts})
			}
		}
		timer.Sleep(ctx, hostsPeriod)
	}
	return nil
}
