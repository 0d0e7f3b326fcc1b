package directory

// This file defines Directory, which keeps a State up to date with the store and
// publishes snapshots of it.

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/fleet/belief"
	"tamaracktiller.example/tamaracktiller/internal/kernel/clock"
	"tamaracktiller.example/tamaracktiller/internal/kernel/control"
	"tamaracktiller.example/tamaracktiller/internal/kernel/dial"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// expirePeriod is the time between two checks for lapsed targets.
const expirePeriod = 200 * time.Millisecond

// Config holds the settings and dependencies of a Directory.
type Config struct {
	// Self is the entry of this host.
	Self Host
	// FirstStart reports whether the whole fleet is starting for the first time.
	FirstStart bool
	Source     store.Source
	Decoder    Decoder
	Timer      *timer.Service
	Log        *logrus.Entry
	// ReregisterTimeout is the time in which targets whose entries lapsed during an
	// outage of the store must register again.
	ReregisterTimeout time.Duration
	// OnChange is called on the control goroutine after each new snapshot, with the IDs
	// of the targets that restarted. It may be nil.
	OnChange func(s *Snapshot, restarted []string)
	// PeerTransport is the transport for requests to other hosts; nil means the network.
	PeerTransport http.RoundTripper
	// OnQueueWait is called with the time that each update waited for the control
	// goroutine. It may be nil.
	OnQueueWait func(wait time.Duration)
	// Beliefs holds what hosts tell one that starts; nil for nothing.
	Beliefs *belief.Registry
	// HasAccounts reports whether the deployment has client accounts, even while the configuration has none.
	HasAccounts bool
	// Heartbeat is the interval at which targets write their entries; zero if unknown.
	Heartbeat time.Duration
	// SinceBoot returns the time since the machine was started, with the time in which it was
	// suspended; nil means that of the system.
	SinceBoot func() time.Duration
}

// Directory maintains the view of the fleet on one host. It is safe for concurrent use.
type Directory struct {
	cfg      Config
	g        *group.Group
	loop     *control.Loop[event]
	state    *State
	snapshot atomic.Pointer[Snapshot]
	cache    *watchCache
	// baseTime is the origin of asOf. Durations since it use the monotonic clock, so
	// changes of the wall clock do not affect them.
	baseTime time.Time
	// asOf is the time since baseTime, in nanoseconds, up to which the view contains
	// every write to the store; 0 means never.
	asOf atomic.Int64
	// baseBoot is the origin of soundAsOf, by the time since boot. soundAsOf is the time since
	// baseBoot, in nanoseconds, up to which the view contains every write to the store; 0 means never.
	baseBoot  time.Duration
	soundAsOf atomic.Int64
	peers     *http.Client
	// largeResponses and codec are used for responses to other hosts.
	largeResponses semaphore
	codec          *itemCodec
	// watchJitter is added to othersWatchAge.
	watchJitter time.Duration
	// origin is the name of the host that read the data of asOf from the store, and peerData
	// describes the newest data that another host has sent.
	origin   atomic.Pointer[string]
	peerData atomic.Pointer[peerData]
	// watcherHeard is the time since baseTime, in nanoseconds, at which a watcher last responded to a
	// poll; 0 means never.
	watcherHeard atomic.Int64
	// hostsChanged is notified when the hosts, the secrets or the era of the view have changed, or there are client
	// accounts for the first time.
	hostsChanged *broadcast
	// firstReadEnded is closed when the first read of the store is part of the view and this host has caught up
	// with others, or the read has failed.
	firstReadEnded chan struct{}
	endFirstRead   sync.Once
	// caughtUp is closed when this host has asked others once for what they know, or there are none.
	caughtUp   chan struct{}
	endCatchUp sync.Once
}

// update holds changes received from the store or from another host.
type update struct {
	page store.Page
	// full reports whether the items are all keys of the store.
	full bool
	// newest holds the entries of targets that another host knows to be newer than those in the
	// store, and memory what it knows of targets that ended; nil if it did not tell.
	newest []newestEntry
	memory *peerMemory
	// beliefs holds the records of the other host, if it was asked for them.
	beliefs map[string][]byte
	// afterOutage reports whether the store did not respond before.
	afterOutage bool
	// source names the store or the host that sent the update, and origin the host that read it
	// from the store; empty if unknown. receivedAt is the time of receipt, and age is the age of
	// the data at that time.
	source     string
	origin     string
	receivedAt time.Time
	age        time.Duration
	// soundAsOf is the time since Directory.baseBoot up to which the data is complete; 0 if unknown.
	soundAsOf time.Duration
}

// peerData describes data that another host has sent.
type peerData struct {
	asOf time.Duration
	// origin is the name of the host that read it from the store; empty if unknown.
	origin string
}

// appliesTo reports whether the update can be applied to a view at the revision applied.
// Updates of an earlier era are outdated, and a later era starts with a full read.
func (u *update) appliesTo(applied store.Revision) bool {
	if u.full {
		return u.page.Revision.Era >= applied.Era
	}
	return u.page.Revision.Era == applied.Era
}

// sourceStore is the source of updates that this host read from the store itself.
const sourceStore = "store"

// logFields returns log fields for the source and the age of the update.
func (u *update) logFields(now time.Time) logrus.Fields {
	return logrus.Fields{"from": u.source, "age-ms": u.age.Milliseconds(), "waited-ms": now.Sub(u.receivedAt).Milliseconds()}
}

// event is processed by the control goroutine. An event without an update is a tick.
type event struct {
	update *update
	// done is closed when the update is part of the view.
	done chan struct{}
}

// New returns a directory that is not started yet. Its goroutines run in g.
func New(cfg Config, g *group.Group) *Directory {
	if cfg.SinceBoot == nil {
		cfg.SinceBoot = clock.SinceBoot
	}
	d := &Directory{
		cfg: cfg, g: g, cache: newWatchCache(), largeResponses: make(semaphore, maxLargeResponses), codec: newItemCodec(),
		baseTime: time.Now().Add(-unknownAge), baseBoot: cfg.SinceBoot() - unknownAge, watchJitter: rand.N(othersWatchJitter), hostsChanged: newBroadcast(), firstReadEnded: make(chan struct{}), caughtUp: make(chan struct{}),
	}
	d.state = NewState(cfg.Self, cfg.Decoder, cfg.ReregisterTimeout, d.cache.add)
	d.state.hasAccounts = cfg.HasAccounts
	d.state.order.SetHeartbeat(cfg.Heartbeat)
	if cfg.PeerTransport == nil {
		cfg.PeerTransport = &http.Transport{DialContext: dialPeer, MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout, MaxResponseHeaderBytes: maxPeerHeaderBytes, DisableCompression: true}
	}
	d.peers = &http.Client{Transport: cfg.PeerTransport}
	d.loop = control.New(d.handle)
	d.snapshot.Store(d.state.Snapshot())
	return d
}

// Snapshot returns the latest snapshot.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// Loaded reports whether the view has received data from the store.
func (d *Directory) Loaded() bool { return d.asOf.Load() > 0 }

// FirstReadEnded returns a channel that is closed when the first read of the store is part of the
// view and what other hosts know, too, or when the read has failed. The wait for other hosts is bounded.
func (d *Directory) FirstReadEnded() <-chan struct{} { return d.firstReadEnded }

// FreshAge is the age below which the view is considered up to date.
const FreshAge = 2 * time.Second

// Fresh reports whether the view is up to date.
func (d *Directory) Fresh(now time.Time) bool { return d.Age(now) < FreshAge }

// Age returns the age of the view: it contains every write to the store before now minus
// the age.
func (d *Directory) Age(now time.Time) time.Duration {
	return d.ageOf(now, time.Duration(d.asOf.Load()))
}

// ageOf returns the age at now of a view that is complete up to asOf.
func (d *Directory) ageOf(now time.Time, asOf time.Duration) time.Duration {
	if asOf == 0 {
		return unknownAge
	}
	return max(0, now.Sub(d.baseTime)-asOf)
}

// unknownAge is the age of a view that has received no data yet.
const unknownAge = 24 * time.Hour

// peerIdleTimeout is the time after which an idle connection to another host is closed.
const peerIdleTimeout = 10 * time.Second

func dialPeer(ctx context.Context, _, address string) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return dial.TCP(ctx, addr)
}

// Start implements registry.Starter.
func (d *Directory) Start(ctx context.Context) error {
	if err := d.loop.Start(ctx); err != nil {
		return err
	}
	d.cfg.Timer.Every("directory", expirePeriod, func(time.Time) { d.loop.Post(event{}) })
	d.g.Go("store watch", d.watch)
	d.g.Go("catch up", d.catchUp)
	d.g.Go("follow", d.follow)
	d.g.Go("poll fallbacks", d.pollFallbacks)
	return nil
}

// Stop implements registry.Stopper.
func (d *Directory) Stop(ctx context.Context) error { return d.loop.Stop(ctx) }

// handle processes an event. It runs on the control goroutine.
func (d *Directory) handle(e event) {
	now := time.Now()
	if e.update == nil {
		changed := d.state.Tick(now)
		d.publish(changed, nil)
		return
	}
	defer close(e.done)
	if applied := d.cache.applied(); !e.update.appliesTo(applied) {
		d.cfg.Log.WithFields(e.update.logFields(now)).WithFields(logrus.Fields{
			fieldRevision: e.update.page.Revision.String(), "reached": applied.String(),
		}).Info("ignoring an update of another era")
		return
	}
	if d.cfg.OnQueueWait != nil {
		d.cfg.OnQueueWait(now.Sub(e.update.receivedAt))
	}
	asOf := e.update.receivedAt.Sub(d.baseTime) - min(e.update.age, unknownAge/2)
	last := time.Duration(d.asOf.Load())
	if last > 0 && asOf-last > outageAge || last == 0 && e.update.afterOutage {
		d.state.RecordOutage(now)
	}
	changed := d.apply(now, e.update)
	d.cache.setMemory(d.state.memory(now))
	d.cache.advance(e.update.page.Revision, asOf, e.update.soundAsOf)
	d.publish(changed, e.update.logFields(now))
	d.recordOrigin(e.update, asOf, last)
	// The view may report the new age only after it contains the data.
	d.asOf.Store(int64(max(asOf, last)))
	d.soundAsOf.Store(max(int64(e.update.soundAsOf), d.soundAsOf.Load()))
}

// recordOrigin records where the data of an update that is complete up to asOf comes from. last is
// the time up to which the view was complete before.
func (d *Directory) recordOrigin(u *update, asOf, last time.Duration) {
	if asOf >= last {
		d.origin.Store(&u.origin)
	}
	if u.source == sourceStore {
		return
	}
	if peer := d.peerData.Load(); peer == nil || asOf >= peer.asOf {
		d.peerData.Store(&peerData{asOf: asOf, origin: u.origin})
	}
}

// originName returns the name of the host that read the data of the view; empty if unknown.
func (d *Directory) originName() string {
	if name := d.origin.Load(); name != nil {
		return *name
	}
	return ""
}

// apply applies an update and reports whether the view changed.
func (d *Directory) apply(now time.Time, u *update) (changed bool) {
	if u.full {
		changed = d.state.Load(now, u.page)
	} else {
		for _, item := range u.page.Items {
			changed = d.state.Apply(now, item) || changed
		}
	}
	for _, n := range u.newest {
		changed = d.state.ApplyNewest(now, n) || changed
	}
	if u.memory != nil {
		changed = d.state.ApplyMemory(now, u.page.Revision, u.memory) || changed
	}
	return changed
}

// publish logs the changes with the log fields of the update, and stores a new snapshot
// if the view changed.
func (d *Directory) publish(changed bool, fields logrus.Fields) {
	for _, line := range d.state.TakeLogLines() {
		entry := d.cfg.Log.WithFields(line.Fields).WithFields(fields)
		if line.Warn {
			entry.Warn(line.Text)
		} else {
			entry.Info(line.Text)
		}
	}
	if !changed {
		return
	}
	s := d.state.Snapshot()
	before := d.snapshot.Swap(s)
	if s.HostChanges != before.HostChanges || len(s.Secrets) != len(before.Secrets) || s.Revision.Era != before.Revision.Era || s.AccountsSeen != before.AccountsSeen {
		d.hostsChanged.notify()
	}
	if d.cfg.OnChange != nil {
		d.cfg.OnChange(s, d.state.TakeRestarted())
	}
}

// submit passes an update to the control goroutine and waits until it is part of the
// view. The caller would request the same changes again if it did not wait.
func (d *Directory) submit(ctx context.Context, u update) {
	e := event{update: &u, done: make(chan struct{})}
	if !d.loop.Post(e) {
		d.cfg.Log.WithField("from", u.source).Warn("update dropped: the queue of the control goroutine is full")
		return
	}
	select {
	case <-e.done:
	case <-ctx.Done():
	}
}

// broadcast wakes all goroutines that wait for an event. It is safe for concurrent use.
type broadcast struct {
	mu       sync.Mutex
	notified chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{notified: make(chan struct{})} }

// wait returns a channel that is closed at the next event.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notified
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.notified)
	b.notified = make(chan struct{})
}
