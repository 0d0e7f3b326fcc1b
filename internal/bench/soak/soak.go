// Package soak runs entry hosts as processes against stand-ins of the platform, breaks
// things around them by a seeded schedule, and holds what callers and targets saw
// against the promises.
//
// Hosts are killed, paused, stopped and reloaded by signals. Loopback links to the store
// and to targets are delayed, silenced in one or both directions, or reset. The store is
// down, slow or silent, loses answers, writes late and drops its history. Targets turn
// slow, fail, shed, lose answers, crash and leave.
//
// # Usage
//
//	result, err := soak.Run(ctx, soak.Config{Seed: 7, Length: 20 * time.Second, Hosts: 5, Targets: 6, Callers: 24, Binary: "bin/tamaracktiller", Dir: "run/soak-7"})
//	if len(result.Violations) > 0 { ... }
//
// Dir keeps the logs of the hosts, the result and a timeline of faults and violations.
package soak

// This file defines Run.

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Config says what to run.
type Config struct {
	Seed   uint64
	Length time.Duration
	// Hosts, Targets and Callers are numbers of each.
	Hosts, Targets, Callers int
	// Only limits the kinds of faults, unless it is empty.
	Only []Kind
	// Binary is the program of the hosts, Dir the directory for files.
	Binary, Dir string
	// Progress is called each second, and may be nil.
	Progress func(at time.Duration, requests int)
}

// DefaultBounds returns the promises of the platform's pages, with the share served
// after all faults that a quiet day exceeds.
func DefaultBounds() Bounds {
	return Bounds{
		Timeout: deadline, Held: 500 * time.Millisecond, ConfigApply: 2500 * time.Millisecond, Rollback: 250 * time.Millisecond,
		Drain: 2500 * time.Millisecond, RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, AsksPerSecond: 60, Recovered: 0.95,
	}
}

// run is a run in progress.
type run struct {
	cfg     Config
	bounds  Bounds
	g       *group.Group
	started time.Time
	store   *platformtest.Store
	hosts   []*host
	targets []*backend
	lastID  atomic.Int64
	// copying says that the store is on its way back from a copy.
	copying atomic.Bool

	mu         sync.Mutex
	inRotation []*host
	history    History
	// storeFaults counts the faults of the store in force, by kind.
	storeFaults map[Kind]int
}

// Run runs a soak. The error tells of a run that could not be made; broken promises
// stand in the result.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := os.MkdirAll(cfg.Dir, 0o750); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{cfg: cfg, bounds: DefaultBounds(), g: group.New(ctx), store: platformtest.NewStore(), storeFaults: map[Kind]int{}}
	r.history.Left = map[string]time.Duration{}
	defer r.close()
	if err := r.build(ctx); err != nil {
		return nil, err
	}
	faults := Schedule(cfg.Seed, cfg.Length, cfg.Hosts, cfg.Targets, cfg.Only)
	r.traffic(ctx, faults)
	r.mu.Lock()
	r.history.Length = r.since(time.Now())
	r.mu.Unlock()
	r.settle()
	r.mu.Lock()
	defer r.mu.Unlock()
	return newResult(cfg, faults, &r.history, Check(&r.history, r.bounds)), nil
}

// settle waits for what links or targets still hold back, so that a request that runs
// after it was told not to have is seen.
func (r *run) settle() {
	const late = 2 * time.Second
	time.Sleep(late)
}

// close ends every process and stand-in.
func (r *run) close() {
	for _, h := range r.hosts {
		h.mu.Lock()
		h.stopped = true
		h.mu.Unlock()
		h.signal(syscall.SIGCONT)
		h.end(syscall.SIGKILL)
	}
	_ = r.g.Stop()
	for _, b := range r.targets {
		b.target.Close()
	}
	r.store.Close()
}

func (r *run) since(t time.Time) time.Duration { return t.Sub(r.started) }

// build starts the store, the targets and the hosts, and waits until the hosts are
// ready.
func (r *run) build(ctx context.Context) error {
	r.started = time.Now()
	r.configure()
	for n := range r.cfg.Targets {
		b := &backend{r: r, index: n}
		if err := b.start(ctx); err != nil {
			return err
		}
		r.targets = append(r.targets, b)
	}
	for n := range r.cfg.Hosts {
		link, err := newProxy(ctx, r.store.Address(), r.g)
		if err != nil {
			return err
		}
		// Outgoing connections use 127.0.0.1, so that none can take a port of a host.
		const firstNet, nets = 100, 100
		ip := netip.AddrFrom4([4]byte{127, byte(firstNet + os.Getpid()%nets), byte(r.cfg.Seed), byte(1 + n)})
		h := &host{index: n, name: fmt.Sprintf("host-%d", n), ip: ip, domain: fmt.Sprintf("d-%d", n%2), dir: r.cfg.Dir, binary: r.cfg.Binary, store: link, g: r.g}
		h.settings = r.hostSettings(h)
		r.hosts = append(r.hosts, h)
		if err := h.start(ctx); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if err := r.waitReady(ctx, h); err != nil {
			return err
		}
	}
	r.inRotation = append(r.inRotation, r.hosts...)
	return nil
}

func (r *run) waitReady(ctx context.Context, h *host) error {
	const limit = 10 * time.Second
	for end := time.Now().Add(limit); !h.ready(ctx); timer.Sleep(ctx, 50*time.Millisecond) {
		if _, ok := h.running(); !ok {
			return errors.Errorf("soak: %s ended at its start, see its log in %s", h.name, h.dir)
		}
		if time.Now().After(end) {
			return errors.Errorf("soak: %s is not ready in %s, see its log in %s", h.name, limit, h.dir)
		}
	}
	return ctx.Err()
}

// traffic runs callers, probes and faults for the length of the run.
func (r *run) traffic(ctx context.Context, faults []Fault) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Length)
	defer cancel()
	g := group.New(ctx)
	r.mu.Lock()
	// Times count from here; what happened while the fleet was built lies before.
	shift := time.Since(r.started)
	r.started = r.started.Add(shift)
	for i := range r.history.Versions {
		r.history.Versions[i].Written -= shift
	}
	r.mu.Unlock()
	for n := range r.cfg.Callers {
		g.Go("caller", func(ctx context.Context) error { r.caller(ctx, n); return nil })
	}
	for _, h := range r.hosts {
		g.Go("probe", func(ctx context.Context) error { r.probe(ctx, h); return nil })
	}
	g.Go("rotation", func(ctx context.Context) error { r.rotate(ctx); return nil })
	for _, f := range faults {
		g.Go(string(f.Kind), func(ctx context.Context) error {
			timer.Sleep(ctx, f.At)
			if ctx.Err() == nil {
				r.inject(ctx, f)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// rotate keeps the list of the hosts that take clients, as the platform's balancer does.
func (r *run) rotate(ctx context.Context) {
	const period = 300 * time.Millisecond
	for ctx.Err() == nil {
		var ready []*host
		for _, h := range r.hosts {
			if h.ready(ctx) {
				ready = append(ready, h)
			}
		}
		r.mu.Lock()
		r.inRotation = ready
		requests := len(r.history.Attempts)
		r.mu.Unlock()
		if r.cfg.Progress != nil {
			r.cfg.Progress(r.since(time.Now()), requests)
		}
		timer.Sleep(ctx, period)
	}
}

// newestVersion returns the number of the newest version of the configuration.
func (r *run) newestVersion() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.history.Versions)
}

// configure writes the next version of the configuration. It adds a route and drops
// the oldest of those that it adds.
func (r *run) configure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := len(r.history.Versions) + 1
	routes := []platformtest.Route{
		{Host: hostName, Prefix: "/read/", Service: service, Safe: true, TimeoutMillis: int(deadline.Milliseconds())},
		{Host: hostName, Prefix: "/book/", Service: service, TimeoutMillis: int(deadline.Milliseconds())},
	}
	for n := max(1, number-keptRoutes+1); n <= number; n++ {
		routes = append(routes, platformtest.Route{Host: hostName, Prefix: fmt.Sprintf("/r%d/", n), Service: service, Safe: true, TimeoutMillis: int(deadline.Milliseconds())})
	}
	r.store.Put(platformtest.ConfigKey, platformtest.Config(number, routes))
	r.history.Versions = append(r.history.Versions, Version{Number: number, Written: r.since(time.Now())})
}
