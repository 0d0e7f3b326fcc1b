// Package soak runs hosts as processes against a fake store and fake targets, injects
// faults by a seeded schedule, and verifies the guarantees of the load balancer against
// what callers and targets observed.
//
// Hosts are killed, also in series, paused, stopped and reloaded by signals. Callers hold
// connections to those that are stopped, and send requests until the processes are gone. Some or most of
// them are separated from all targets. The links to the store and to targets are delayed, blocked in one or both directions, or reset. The store is
// unavailable or slow, sends no watch events, drops responses, delays writes, compacts
// its history or is restored from a backup. Targets become slow, fail, shed load, drop
// responses, name rate limits and pauses, say that they leave, crash and drain. Requests of one client account
// crash them. The configuration changes, also in bursts, with parts that cannot be applied, and malformed
// entries appear in the store. Callers have keys of client accounts, which are removed, also while
// the store is down. Some send further requests and leave. Numbered routes are public.
//
// # Usage
//
//	result, err := soak.Run(ctx, soak.Config{Seed: 7, Length: 20 * time.Second, Hosts: 5, Targets: 6, Callers: 24, Binary: "bin/tamaracktiller", Dir: "run/soak-7"})
//	if len(result.Violations) > 0 { ... }
//
// Dir receives the settings and logs of the hosts. Result.Write adds the result, the
// requests and a timeline of faults and violations to a directory.
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

// Config configures a run.
type Config struct {
	Seed   uint64
	Length time.Duration
	// Hosts, Targets and Callers are the numbers of each.
	Hosts, Targets, Callers int
	// Limit adds a target that no fault disturbs, which names this rate limit all the time, in requests
	// a second; 0 for none.
	Limit float64
	// Quota is that of a client account whose requests exceed it; zero for none.
	Quota Quota
	// Only limits the kinds of faults; empty means all.
	Only []Kind
	// UpgradeFrom is the path of an older build; empty for none. Hosts start with it, and each
	// restart brings Binary, or the other way round if Downgrade is set.
	UpgradeFrom string
	Downgrade   bool
	// Binary is the path of the load balancer; Dir is the directory for files.
	Binary, Dir string
	// Progress is called after each poll of the hosts' readiness. It may be nil.
	Progress func(at time.Duration, requests int)
}

// DefaultBounds returns the limits that the platform's documentation requires, and a
// MinServedShare that runs without faults exceed.
func DefaultBounds() Bounds {
	return Bounds{
		Timeout: requestTimeout, ResponseSlack: 500 * time.Millisecond, DropSlack: 200 * time.Millisecond, ConfigApply: 2500 * time.Millisecond, RollbackGrace: 250 * time.Millisecond, MaxSkew: 5 * time.Second,
		Drain: 2500 * time.Millisecond, RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, ProbesPerSecond: 60, MinServedShare: 0.95,
		StableWindow: 3 * time.Second, StopNotice: 3 * time.Second, Grace: gracePeriod, TimeoutMargin: 20 * time.Millisecond,
		LimitNotice: 3 * time.Second, LimitWindow: 4 * time.Second, LimitRatio: 1.5, LimitSlack: 5,
		Leaving: 2 * time.Second, PauseNotice: 500 * time.Millisecond, InPause: 2,
		QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20, Evacuate: 5 * time.Second, Revoke: 3 * time.Second, FreshAge: 2200 * time.Millisecond, WatchTime: 600 * time.Millisecond, RefusalSlack: 3,
		LateCrashes: 3, Departure: 500 * time.Millisecond,
		CutNotice: 3 * time.Second, MinCutRatio: 2.0 / 3, CutSlack: 10, CutShare: 1.0 / 50,
	}
}

// run is the state of a run.
type run struct {
	cfg     Config
	bounds  Bounds
	g       *group.Group
	started time.Time
	store   *platformtest.Store
	hosts   []*host
	targets []*backend
	// allTargets also has the targets that were replaced.
	allTargets []*platformtest.Target
	lastID     atomic.Int64
	// restoring is set from the backup of the store until the lost writes are repeated.
	restoring atomic.Bool
	// quotaKey is the key of quotaAccount; empty for none.
	quotaKey string
	// oddParts are accounts of the configuration that cannot be applied, for oddFaults faults.
	oddParts  []platformtest.Account
	oddFaults int
	// evacuating is set while a failure domain is evacuated.
	evacuating atomic.Bool

	mu         sync.Mutex
	inRotation []*host
	history    History
	// cuts holds the current cuts by host.
	cuts map[int]cutState
	// storeFaults counts the active faults of the store by kind.
	storeFaults map[Kind]int
	// olderSince is the time since which a host runs the older build, by host.
	olderSince map[int]time.Duration
}

// Run runs a soak test. Violations are part of the result; an error means that the run
// could not be carried out.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := os.MkdirAll(cfg.Dir, 0o750); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{cfg: cfg, bounds: DefaultBounds(), g: group.New(ctx), store: platformtest.NewStore(), storeFaults: map[Kind]int{}, cuts: map[int]cutState{}, olderSince: map[int]time.Duration{}}
	r.history.DrainStarts, r.history.Stops, r.history.Domains, r.history.RunEnds = map[string]time.Duration{}, map[process]time.Duration{}, map[string]string{}, map[TargetRun]time.Duration{}
	defer r.close()
	if err := r.startFleet(ctx); err != nil {
		return nil, err
	}
	faults := Schedule(cfg.Seed, cfg.Length, cfg.Hosts, cfg.Targets, cfg.Only)
	r.runTraffic(ctx, faults)
	r.mu.Lock()
	r.history.Length = r.sinceStart(time.Now())
	r.mu.Unlock()
	r.settle()
	r.endBuilds()
	r.recordHeaders()
	r.mu.Lock()
	defer r.mu.Unlock()
	return newResult(cfg, faults, &r.history, r.bounds), nil
}

// settle waits for requests that links or targets still hold back, so that a late run of a
// request that was reported as not run is recorded.
func (r *run) settle() {
	const settleTime = 2 * time.Second
	time.Sleep(settleTime)
}

// close stops all processes, targets and the store.
func (r *run) close() {
	for _, h := range r.hosts {
		h.mu.Lock()
		h.stopped = true
		h.mu.Unlock()
		h.signal(syscall.SIGCONT)
		h.terminate(syscall.SIGKILL)
	}
	_ = r.g.Stop()
	for _, b := range r.targets {
		b.target.Close()
	}
	r.store.Close()
}

func (r *run) sinceStart(t time.Time) time.Duration { return t.Sub(r.started) }

// startFleet writes the first configuration, starts the targets and the hosts, and waits
// until the hosts are ready.
func (r *run) startFleet(ctx context.Context) error {
	r.started = time.Now()
	r.addAccounts()
	r.writeNextVersion()
	first, next := r.cfg.programs(ctx)
	for n := range r.cfg.Targets {
		b := &backend{r: r, index: n}
		if err := b.start(ctx); err != nil {
			return err
		}
		r.targets = append(r.targets, b)
	}
	if r.cfg.Limit > 0 {
		b := &backend{r: r, index: r.cfg.Targets, limit: r.cfg.Limit}
		if err := b.start(ctx); err != nil {
			return err
		}
		r.targets = append(r.targets, b)
	}
	for n := range r.cfg.Hosts {
		link, err := platformtest.NewProxy(ctx, r.store.Address(), r.g)
		if err != nil {
			return err
		}
		// Hosts do not use 127.0.0.1, the source address of outgoing connections, so that no
		// ephemeral port can collide with a port of a host.
		const firstOctet, octets = 100, 80
		ip := netip.AddrFrom4([4]byte{127, byte(firstOctet + os.Getpid()%octets), byte(r.cfg.Seed), byte(1 + n)})
		h := &host{index: n, name: fmt.Sprintf("host-%d", n), ip: ip, domain: domainName(n), dir: r.cfg.Dir, first: first, next: next, storeLink: link, g: r.g}
		h.onStart = func(older bool) { r.recordBuild(h, older) }
		h.settings = r.hostSettings(h)
		r.hosts = append(r.hosts, h)
		r.history.Hosts = append(r.history.Hosts, n)
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
	const timeout = 10 * time.Second
	for end := time.Now().Add(timeout); !h.isReady(ctx); timer.Sleep(ctx, 50*time.Millisecond) {
		if _, ok := h.running(); !ok {
			return errors.Errorf("soak: %s exited during startup; see its log in %s", h.name, h.dir)
		}
		if time.Now().After(end) {
			return errors.Errorf("soak: %s is not ready after %s; see its log in %s", h.name, timeout, h.dir)
		}
	}
	return ctx.Err()
}

// runTraffic runs callers, configuration probes and faults for the length of the run.
func (r *run) runTraffic(ctx context.Context, faults []Fault) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Length)
	defer cancel()
	g := group.New(ctx)
	r.mu.Lock()
	// Times count from here; events during the start of the fleet get negative times.
	startupTime := time.Since(r.started)
	r.started = r.started.Add(startupTime)
	for i := range r.history.Versions {
		r.history.Versions[i].Written -= startupTime
	}
	for _, k := range r.history.Keys {
		k.Added -= startupTime
	}
	for _, span := range r.history.Limits {
		span.From -= startupTime
	}
	for host := range r.olderSince {
		r.olderSince[host] = 0
	}
	r.mu.Unlock()
	for n := range r.cfg.Callers {
		g.Go("caller", func(ctx context.Context) error { r.runCaller(ctx, n); return nil })
	}
	for _, h := range r.hosts {
		g.Go("probe", func(ctx context.Context) error { r.probeConfig(ctx, h); return nil })
	}
	g.Go("rotation", func(ctx context.Context) error { r.updateRotation(ctx); return nil })
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

// updateRotation keeps the list of ready hosts, as the platform's load balancer in front
// of the hosts does.
func (r *run) updateRotation(ctx context.Context) {
	const interval = 300 * time.Millisecond
	for ctx.Err() == nil {
		var ready []*host
		for _, h := range r.hosts {
			if h.isReady(ctx) {
				ready = append(ready, h)
			}
		}
		r.mu.Lock()
		r.inRotation = ready
		requests := len(r.history.Attempts)
		r.mu.Unlock()
		if r.cfg.Progress != nil {
			r.cfg.Progress(r.sinceStart(time.Now()), requests)
		}
		timer.Sleep(ctx, interval)
	}
}

// latestVersion returns the number of the latest version of the configuration.
func (r *run) latestVersion() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.history.Versions)
}

// writeNextVersion writes the next version of the configuration, which adds a numbered
// route and removes the oldest one beyond keptRoutes.
func (r *run) writeNextVersion() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeVersion()
}

// writeVersion is writeNextVersion. The caller holds the mutex.
func (r *run) writeVersion() {
	number := len(r.history.Versions) + 1
	routes := []platformtest.Route{
		{Host: routeHost, Prefix: "/read/", Service: serviceName, Safe: true, TimeoutMillis: int(requestTimeout.Milliseconds())},
		{Host: routeHost, Prefix: "/book/", Service: serviceName, TimeoutMillis: int(requestTimeout.Milliseconds())},
		{Host: routeHost, Prefix: "/long/read/", Service: serviceName, Safe: true, TimeoutMillis: int(longTimeout.Milliseconds())},
		{Host: routeHost, Prefix: "/long/book/", Service: serviceName, TimeoutMillis: int(longTimeout.Milliseconds())},
	}
	for n := max(1, number-keptRoutes+1); n <= number; n++ {
		routes = append(routes, platformtest.Route{Host: routeHost, Prefix: fmt.Sprintf("/r%d/", n), Service: serviceName, Safe: true, TimeoutMillis: int(requestTimeout.Milliseconds()), Public: true})
	}
	r.store.Put(platformtest.ConfigKey, platformtest.ConfigWithAccounts(number, routes, append(r.accounts(), r.oddParts...)))
	r.history.Versions = append(r.history.Versions, Version{Number: number, Written: r.sinceStart(time.Now())})
}
