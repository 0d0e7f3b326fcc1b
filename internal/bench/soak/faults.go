package soak

// This file injects the faults of a schedule.

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	serviceName = "svc"
	// targetSlots and typicalServiceTime apply to every target; slowServiceTime and
	// slowness, in percent of the typical service time, to slow ones.
	targetSlots        = 3
	typicalServiceTime = 20 * time.Millisecond
	slowServiceTime    = 8 * typicalServiceTime
	slowness           = 800
	// entryTimeout is the maximum time until the store entry of a crashed target is deleted.
	entryTimeout = 1500 * time.Millisecond
	// slowStoreMillis is the latency of a slow store, in milliseconds.
	slowStoreMillis = 200
	// faultyWrites is the number of writes that lose their responses or are delayed while
	// such a fault is active.
	faultyWrites = 1000
	// burstInterval is the pause between two versions of a burst.
	burstInterval = 120 * time.Millisecond
)

// inject starts a fault, ends it after its duration and records it as a disturbance where
// it affects hosts or the store.
func (r *run) inject(ctx context.Context, f Fault) {
	start := r.sinceStart(time.Now())
	switch {
	case f.isCut():
		r.cutHosts(ctx, f)
	case f.Kind == HostStop:
		r.stopHost(ctx, r.hosts[f.Index], f)
	case f.Kind == HostKillSeries:
		r.killInSeries(ctx)
	case f.isHostFault():
		r.injectHostFault(ctx, r.hosts[f.Index], f)
		r.recordSpan(f.Kind, f.Index, start)
	case f.isStoreFault():
		if f.Kind == StoreRestore {
			start = r.restoreStore(ctx, f.Length)
		} else {
			r.injectStoreFault(ctx, f)
		}
		r.recordSpan(f.Kind, allHosts, start)
	case f.Kind == Evacuate:
		r.evacuate(ctx, f)
	case f.Kind == KeyRemove:
		r.removeKey(f.Index)
	case f.Kind == KeyRemoveUnseen:
		r.removeKeyUnseen(ctx, f)
	case f.Kind == RequestCrash:
		r.sendCrashing(ctx, f)
	case f.Kind == ClientLeave:
		r.sendAndLeave(ctx, f)
	case f.Kind == ConfigOddPart:
		r.writeOddParts(ctx, f)
	case f.Kind == ConfigChange:
		r.writeNextVersion()
	case f.Kind == ConfigBurst:
		for end := time.Now().Add(f.Length); time.Now().Before(end) && ctx.Err() == nil; timer.Sleep(ctx, burstInterval) {
			r.writeNextVersion()
		}
	case f.Kind == MalformedEntry:
		for n, value := range []string{"", "{", `{"address":7}`, `{"address":"127.0.0.1:1","info":{"service":"svc"},"status":{"state":"odd"}}`} {
			r.store.Put(fmt.Sprintf("%sstrange-%d", platformtest.TargetPrefix, n), []byte(value))
		}
	default:
		r.targets[f.Index].injectFault(ctx, f)
	}
}

// recordSpan records a disturbance that ends now.
func (r *run) recordSpan(kind Kind, host int, start time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Disturbances = append(r.history.Disturbances, Span{Kind: kind, Host: host, From: start, To: r.sinceStart(time.Now())})
}

func (r *run) injectHostFault(ctx context.Context, h *host, f Fault) {
	switch f.Kind {
	case HostKill:
		h.terminate(syscall.SIGKILL)
		timer.Sleep(ctx, f.Length)
		r.restart(ctx, h)
	case HostPause:
		h.signal(syscall.SIGSTOP)
		timer.Sleep(ctx, f.Length)
		h.signal(syscall.SIGCONT)
	case HostReload:
		h.signal(syscall.SIGHUP)
	default:
		links := map[Kind]platformtest.LinkState{HostStoreSlow: platformtest.LinkSlow, HostStoreSilent: platformtest.LinkSilent, HostStoreOneWay: platformtest.LinkOneWay, HostStoreReset: platformtest.LinkReset}
		h.storeLink.Set(links[f.Kind])
		timer.Sleep(ctx, f.Length)
		h.storeLink.Set(platformtest.LinkUp)
	}
}

// restart starts the process and waits until it is ready, since its start is part of the
// disturbance.
func (r *run) restart(ctx context.Context, h *host) {
	if err := h.start(context.WithoutCancel(ctx)); err != nil {
		r.recordSpan(HostKill, h.index, r.sinceStart(time.Now()))
		return
	}
	for !h.isReady(ctx) && ctx.Err() == nil {
		timer.Sleep(ctx, 50*time.Millisecond)
	}
}

func (r *run) injectStoreFault(ctx context.Context, f Fault) {
	if f.Kind == StoreCompact {
		r.store.Compact()
		return
	}
	r.adjustStoreFaults(f.Kind, 1)
	timer.Sleep(ctx, f.Length)
	r.adjustStoreFaults(f.Kind, -1)
	if f.Kind == StoreSuppressEvents {
		r.store.Compact()
	}
}

// restoreStore simulates an outage after which the store is restored from a backup of the
// given age. The configuration and the targets' entries that this loses are written again
// shortly after. It returns the start of the outage.
func (r *run) restoreStore(ctx context.Context, age time.Duration) (start time.Duration) {
	const (
		outage       = 300 * time.Millisecond
		rewriteDelay = 500 * time.Millisecond
	)
	if !r.restoring.CompareAndSwap(false, true) {
		// A second, older backup would lose the writes that are repeated after the restore.
		return r.sinceStart(time.Now())
	}
	defer r.restoring.Store(false)
	backup := r.store.Backup()
	timer.Sleep(ctx, age)
	start = r.sinceStart(time.Now())
	r.adjustStoreFaults(StoreDown, 1)
	timer.Sleep(ctx, outage)
	lost := r.store.Restore(backup)
	r.adjustStoreFaults(StoreDown, -1)
	timer.Sleep(context.WithoutCancel(ctx), rewriteDelay)
	r.store.Reapply(backup, lost, func(key string) bool {
		return key == platformtest.ConfigKey || strings.HasPrefix(key, platformtest.TargetPrefix) || strings.HasPrefix(key, platformtest.EvacuationPrefix)
	})
	return start
}

// adjustStoreFaults adds change to the count of active store faults of a kind and applies
// the active kinds to the store.
func (r *run) adjustStoreFaults(kind Kind, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFaults[kind] += change
	var f platformtest.Faults
	f.Down, f.SuppressEvents = r.storeFaults[StoreDown] > 0, r.storeFaults[StoreSuppressEvents] > 0
	if r.storeFaults[StoreSlow] > 0 {
		f.LatencyMillis = slowStoreMillis
	}
	if r.storeFaults[StoreDropResponses] > 0 {
		f.DropResponses = faultyWrites
	}
	if r.storeFaults[StoreDelayWrites] > 0 {
		f.DelayedWrites = faultyWrites
	}
	r.store.SetFaults(f)
}

// backend runs one fake target at a time, behind a proxy.
type backend struct {
	r     *run
	index int

	mu         sync.Mutex
	target     *platformtest.Target
	link       *platformtest.Proxy
	generation int
	// limit is the rate limit that the targets name all the time, in requests a second; 0 for none.
	limit float64
}

// start starts a new target and its proxy and writes its entry to the store.
func (b *backend) start(ctx context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.generation++
	t := platformtest.NewTarget(fmt.Sprintf("t-%d-%d", b.index, b.generation), serviceName, domainName(b.index), targetSlots, b.r.crashBehaviour())
	id := t.ID
	link, err := platformtest.NewProxy(ctx, t.Address(), b.r.g)
	if err != nil {
		return err
	}
	t.OnEvent = func(e platformtest.Event) { b.r.recordEvent(id, e) }
	t.OnEnded = func(request string, crashed bool) {
		b.r.recordRunEnd(id, request)
		if crashed {
			b.crashed(t, link)
		}
	}
	t.OnNotice = func(n platformtest.Notice) { b.r.recordNotice(id, n) }
	b.r.applyCutsTo(link)
	b.target, b.link = t, link
	b.r.mu.Lock()
	b.r.allTargets = append(b.r.allTargets, t)
	b.r.history.Domains[id] = t.Zone
	b.r.mu.Unlock()
	if b.limit > 0 {
		b.r.startLimit(t, b.limit)
	}
	b.r.store.Put(platformtest.TargetPrefix+id, t.EntryAt(link.Address(), "ready"))
	return nil
}

// recordEvent records an event of a target.
func (r *run) recordEvent(target string, e platformtest.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.TargetEvents = append(r.history.TargetEvents, TargetEvent{Target: target, Kind: e.Kind, At: r.sinceStart(e.At), ID: e.RequestID, From: r.hostAt(e.From)})
}

func (b *backend) current() (*platformtest.Target, *platformtest.Proxy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.target, b.link
}

func (b *backend) injectFault(ctx context.Context, f Fault) {
	t, link := b.current()
	if f.Kind == TargetCrash || f.Kind == TargetDropResponses {
		defer b.r.recordBreak(t, b.r.sinceStart(time.Now()))
	}
	behaviours := map[Kind]platformtest.Behaviour{
		TargetSlow:          {ServiceTime: slowServiceTime, Slowness: slowness},
		TargetFail:          {ServiceTime: typicalServiceTime, Fail: true},
		TargetShed:          {ServiceTime: typicalServiceTime, Shed: true},
		TargetDropResponses: {ServiceTime: typicalServiceTime, DropResponses: true},
	}
	links := map[Kind]platformtest.LinkState{TargetLinkSilent: platformtest.LinkSilent, TargetLinkOneWay: platformtest.LinkOneWay, TargetLinkReset: platformtest.LinkReset, TargetLinkSlow: platformtest.LinkSlow}
	switch f.Kind {
	case TargetLimit:
		b.nameLimit(ctx, t, f)
	case TargetSayLeaving:
		b.sayLeaving(ctx, t, f)
	case TargetPause:
		b.rejectWithPause(ctx, t, f)
	case TargetCrash:
		link.Set(platformtest.LinkReset)
		timer.Sleep(ctx, min(f.Length, entryTimeout))
		b.r.store.Delete(platformtest.TargetPrefix + t.ID)
		b.replace(ctx, t)
	case TargetDrain:
		b.drain(t, link)
		timer.Sleep(ctx, f.Length+b.r.bounds.Drain)
		b.r.store.Delete(platformtest.TargetPrefix + t.ID)
		b.replace(ctx, t)
	case TargetLateEntry:
		b.drainWithLateEntries(ctx, t, link, f)
	default:
		if behaviour, ok := behaviours[f.Kind]; ok {
			replace := func(next platformtest.Behaviour) {
				t.UpdateBehaviour(func(b *platformtest.Behaviour) {
					next.Limit, next.Leaving, next.Pause, next.CrashPath, next.CrashAccount = b.Limit, b.Leaving, b.Pause, b.CrashPath, b.CrashAccount
					*b = next
				})
			}
			replace(behaviour)
			timer.Sleep(ctx, f.Length)
			replace(platformtest.Behaviour{ServiceTime: typicalServiceTime})
			return
		}
		b.disturbLink(ctx, t, link, links[f.Kind], f.Length)
	}
}

// drain makes a target report that it drains.
func (b *backend) drain(t *platformtest.Target, link *platformtest.Proxy) {
	b.r.store.Put(platformtest.TargetPrefix+t.ID, t.EntryAt(link.Address(), "draining"))
	b.r.mu.Lock()
	defer b.r.mu.Unlock()
	if _, ok := b.r.history.DrainStarts[t.ID]; !ok {
		b.r.history.DrainStarts[t.ID] = b.r.sinceStart(time.Now())
	}
}

// drainWithLateEntries makes a target drain and leave, and applies an older entry of it after each
// of the two. The target reports once more that it drains before it leaves.
func (b *backend) drainWithLateEntries(ctx context.Context, t *platformtest.Target, link *platformtest.Proxy, f Fault) {
	late := t.EntryAt(link.Address(), "ready")
	b.drain(t, link)
	timer.Sleep(ctx, f.Length)
	b.r.store.Put(platformtest.TargetPrefix+t.ID, late)
	timer.Sleep(ctx, b.r.bounds.Drain)
	b.drain(t, link)
	b.r.store.Delete(platformtest.TargetPrefix + t.ID)
	timer.Sleep(ctx, f.Length)
	b.r.store.Put(platformtest.TargetPrefix+t.ID, late)
	timer.Sleep(ctx, entryTimeout)
	b.r.store.Delete(platformtest.TargetPrefix + t.ID)
	b.replace(ctx, t)
}

// limits are the rate limits that targets name, in requests a second.
var limits = []float64{0, 0.4, 1, 2.2, 5, 12}

// nameLimit makes a target name a rate limit for the length of the fault, unless another
// fault changes the limit before.
func (b *backend) nameLimit(ctx context.Context, t *platformtest.Target, f Fault) {
	span := b.r.startLimit(t, limits[int(f.At/time.Millisecond)%len(limits)])
	timer.Sleep(ctx, f.Length)
	b.r.mu.Lock()
	defer b.r.mu.Unlock()
	if span.To == 0 {
		span.To = b.r.setLimit(t, "")
	}
}

// startLimit makes a target name a rate limit in place of its current one.
func (r *run) startLimit(t *platformtest.Target, perSecond float64) *LimitSpan {
	r.mu.Lock()
	defer r.mu.Unlock()
	span := &LimitSpan{Target: t.ID, PerSecond: perSecond, From: r.setLimit(t, strconv.FormatFloat(perSecond, 'f', -1, 64))}
	r.endLimit(t.ID, span.From)
	r.history.Limits = append(r.history.Limits, span)
	return span
}

// setLimit sets the rate limit that a target names and returns the time.
func (r *run) setLimit(t *platformtest.Target, limit string) time.Duration {
	t.UpdateBehaviour(func(b *platformtest.Behaviour) { b.Limit = limit })
	return r.sinceStart(time.Now())
}

// endLimit ends the current rate limit of a target. The caller holds the mutex.
func (r *run) endLimit(target string, at time.Duration) {
	for _, span := range r.history.Limits {
		if span.Target == target && span.To == 0 {
			span.To = at
		}
	}
}

// replace starts a new target in place of one whose entry was deleted, unless there is one already. The old
// target keeps running only for the requests that it still has.
func (b *backend) replace(ctx context.Context, old *platformtest.Target) {
	if t, _ := b.current(); t != old {
		return
	}
	if err := b.start(context.WithoutCancel(ctx)); err != nil {
		b.r.recordSpan(TargetCrash, allHosts, b.r.sinceStart(time.Now()))
	}
}
