package soak

// This file defines how faults are made.

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	service = "svc"
	// slots and usualWork are those of every target.
	slots     = 3
	usualWork = 20 * time.Millisecond
	slowWork  = 8 * usualWork
	slowness  = 800
	// lapse is the time after which the entry of a crashed target ends.
	lapse = 1500 * time.Millisecond
	// storeLatency is that of a slow store, in milliseconds.
	storeLatency = 200
	// manyWrites are lost or late while such a fault is in force.
	manyWrites = 1000
	// stormGap is the time between two versions of a storm.
	stormGap = 120 * time.Millisecond
)

// inject makes a fault, and ends it after its time.
func (r *run) inject(ctx context.Context, f Fault) {
	began := r.since(time.Now())
	switch {
	case f.ofHost():
		r.disturbHost(ctx, r.hosts[f.Index], f)
		r.note(f.Kind, f.Index, began)
	case f.ofStore():
		if f.Kind == StoreCopy {
			began = r.restoreStore(ctx, f.For)
		} else {
			r.disturbStore(ctx, f)
		}
		r.note(f.Kind, everyHost, began)
	case f.Kind == ConfigChange:
		r.configure()
	case f.Kind == ConfigStorm:
		for end := time.Now().Add(f.For); time.Now().Before(end) && ctx.Err() == nil; timer.Sleep(ctx, stormGap) {
			r.configure()
		}
	case f.Kind == StrangeEntry:
		for n, value := range []string{"", "{", `{"address":7}`, `{"address":"127.0.0.1:1","info":{"service":"svc"},"status":{"state":"odd"}}`} {
			r.store.Put(fmt.Sprintf("%sstrange-%d", platformtest.TargetPrefix, n), []byte(value))
		}
	default:
		r.targets[f.Index].disturb(ctx, f)
	}
}

// note records a span of trouble that ends now.
func (r *run) note(kind Kind, host int, began time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Trouble = append(r.history.Trouble, Span{Kind: kind, Host: host, From: began, To: r.since(time.Now())})
}

func (r *run) disturbHost(ctx context.Context, h *host, f Fault) {
	switch f.Kind {
	case HostKill:
		h.end(syscall.SIGKILL)
		timer.Sleep(ctx, f.For)
		r.restart(ctx, h)
	case HostStop:
		h.end(syscall.SIGTERM)
		r.restart(ctx, h)
	case HostPause:
		h.signal(syscall.SIGSTOP)
		timer.Sleep(ctx, f.For)
		h.signal(syscall.SIGCONT)
	case HostReload:
		h.signal(syscall.SIGHUP)
	default:
		links := map[Kind]linkState{HostStoreSlow: linkSlow, HostStoreSilent: linkSilent, HostStoreOneWay: linkOneWay, HostStoreReset: linkReset}
		h.store.set(links[f.Kind])
		timer.Sleep(ctx, f.For)
		h.store.set(linkUp)
	}
}

// restart starts the process again and waits until it is ready, since its start is
// part of the trouble.
func (r *run) restart(ctx context.Context, h *host) {
	if err := h.start(context.WithoutCancel(ctx)); err != nil {
		r.note(HostKill, h.index, r.since(time.Now()))
		return
	}
	for !h.ready(ctx) && ctx.Err() == nil {
		timer.Sleep(ctx, 50*time.Millisecond)
	}
}

func (r *run) disturbStore(ctx context.Context, f Fault) {
	if f.Kind == StoreCompact {
		r.store.Compact()
		return
	}
	r.setStore(f.Kind, 1)
	timer.Sleep(ctx, f.For)
	r.setStore(f.Kind, -1)
	if f.Kind == StoreSilent {
		r.store.Compact()
	}
}

// restoreStore lets the store come back from a copy of some age after it was away for a
// moment. What the operator and the targets wrote is written again soon. It returns when the
// store went away.
func (r *run) restoreStore(ctx context.Context, age time.Duration) (began time.Duration) {
	const (
		away  = 300 * time.Millisecond
		again = 500 * time.Millisecond
	)
	if !r.copying.CompareAndSwap(false, true) {
		// An older copy would lose what is written again after the return.
		return r.since(time.Now())
	}
	defer r.copying.Store(false)
	c := r.store.Copy()
	timer.Sleep(ctx, age)
	began = r.since(time.Now())
	r.setStore(StoreDown, 1)
	timer.Sleep(ctx, away)
	lost := r.store.Restore(c)
	r.setStore(StoreDown, -1)
	timer.Sleep(context.WithoutCancel(ctx), again)
	r.store.WriteAgain(c, lost, func(key string) bool {
		return key == platformtest.ConfigKey || strings.HasPrefix(key, platformtest.TargetPrefix)
	})
	return began
}

// setStore adds a fault of the store, or takes one away.
func (r *run) setStore(kind Kind, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFaults[kind] += change
	var f platformtest.Faults
	f.Down, f.SilentWatches = r.storeFaults[StoreDown] > 0, r.storeFaults[StoreSilent] > 0
	if r.storeFaults[StoreSlow] > 0 {
		f.LatencyMillis = storeLatency
	}
	if r.storeFaults[StoreLost] > 0 {
		f.LoseAnswers = manyWrites
	}
	if r.storeFaults[StoreLate] > 0 {
		f.LateWrites = manyWrites
	}
	r.store.SetFaults(f)
}

// backend is a place for a target, one process of it after the other.
type backend struct {
	r     *run
	index int

	mu     sync.Mutex
	target *platformtest.Target
	link   *proxy
	born   int
}

// start starts a new target and registers it.
func (b *backend) start(ctx context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.born++
	t := platformtest.NewTarget(fmt.Sprintf("t-%d-%d", b.index, b.born), service, fmt.Sprintf("d-%d", b.index%2), slots, platformtest.Behaviour{Work: usualWork})
	id := t.ID
	t.Observe = func(e platformtest.Event) { b.r.saw(id, e) }
	link, err := newProxy(ctx, t.Address(), b.r.g)
	if err != nil {
		return err
	}
	b.target, b.link = t, link
	b.r.store.Put(platformtest.TargetPrefix+id, t.EntryAt(link.address(), "ready"))
	return nil
}

// saw records what a target saw.
func (r *run) saw(target string, e platformtest.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Sights = append(r.history.Sights, Sight{Target: target, Kind: e.Kind, At: r.since(e.At), ID: e.Request})
}

func (b *backend) now() (*platformtest.Target, *proxy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.target, b.link
}

func (b *backend) disturb(ctx context.Context, f Fault) {
	t, link := b.now()
	behaviours := map[Kind]platformtest.Behaviour{
		TargetSlow: {Work: slowWork, Slowness: slowness},
		TargetFail: {Work: usualWork, Fail: true},
		TargetShed: {Work: usualWork, Shed: true},
		TargetLose: {Work: usualWork, LoseAnswers: true},
	}
	links := map[Kind]linkState{TargetSilent: linkSilent, TargetOneWay: linkOneWay, TargetReset: linkReset, TargetDelay: linkSlow}
	switch f.Kind {
	case TargetCrash:
		link.set(linkReset)
		timer.Sleep(ctx, min(f.For, lapse))
		b.r.store.Delete(platformtest.TargetPrefix + t.ID)
		b.replace(ctx)
	case TargetLeave:
		b.r.store.Put(platformtest.TargetPrefix+t.ID, t.EntryAt(link.address(), "draining"))
		b.r.mu.Lock()
		if _, ok := b.r.history.Left[t.ID]; !ok {
			b.r.history.Left[t.ID] = b.r.since(time.Now())
		}
		b.r.mu.Unlock()
		timer.Sleep(ctx, f.For+b.r.bounds.Drain)
		b.r.store.Delete(platformtest.TargetPrefix + t.ID)
		b.replace(ctx)
	default:
		if behaviour, ok := behaviours[f.Kind]; ok {
			t.SetBehaviour(behaviour)
			timer.Sleep(ctx, f.For)
			t.SetBehaviour(platformtest.Behaviour{Work: usualWork})
			return
		}
		link.set(links[f.Kind])
		timer.Sleep(ctx, f.For)
		link.set(linkUp)
	}
}

// replace starts a new target in place of one that ended. The old one stays reachable
// only for what it still holds.
func (b *backend) replace(ctx context.Context) {
	if err := b.start(context.WithoutCancel(ctx)); err != nil {
		b.r.note(TargetCrash, everyHost, b.r.since(time.Now()))
	}
}
