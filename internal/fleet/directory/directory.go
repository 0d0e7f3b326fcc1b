package directory

// This file defines Directory, the shell around the control state: it watches the
// store and publishes snapshots.

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/kernel/control"
	"tamaracktiller.example/tamaracktiller/internal/kernel/dial"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// expirePeriod is the time between two looks for lapsed targets.
const expirePeriod = 200 * time.Millisecond

// Config holds the dependencies of a directory.
type Config struct {
	// Self is the name of the own host.
	Self string
	// Domain is the own failure domain.
	Domain string
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool
	Source     store.Source
	Decoder    Decoder
	Timer      *timer.Service
	Log        *logrus.Entry
	// ReturnTime is the time within which targets are listed again whose entries
	// lapsed during an outage of the store.
	ReturnTime time.Duration
	// Changed is called after each new snapshot with the targets that started
	// again under their id, on the control goroutine. It may be nil.
	Changed func(s *Snapshot, restarted []string)
	// Peers reaches other hosts; nil for the network.
	Peers http.RoundTripper
	// Waited is told how long each piece of news waited for the control goroutine. It
	// may be nil.
	Waited func(wait time.Duration)
}

// Directory is the view of a host. It is safe for concurrent use.
type Directory struct {
	cfg      Config
	g        *group.Group
	loop     *control.Loop[event]
	state    *State
	snapshot atomic.Pointer[Snapshot]
	journal  *journal
	// began is the origin of contact. Differences of times are steady, whatever is done
	// to the time of day.
	began time.Time
	// contact is the time since began at which the store was last heard, directly or
	// through others, in nanoseconds; 0 for never.
	contact atomic.Int64
	peers   *http.Client
	// spread is added to othersAge.
	spread time.Duration
}

// event is what the control goroutine applies. One of the parts is set.
type event struct {
	load  *store.Page
	items []store.Item
	// revision is that of the store after the items.
	revision uint64
	outage   bool
	tick     bool
	// from is the store or the host that told, received the time at which it did, and age
	// that of its words then.
	from     string
	received time.Time
	age      time.Duration
}

// fromStore is the origin of what the store told this host itself.
const fromStore = "store"

// origin returns the log fields that tell where news comes from, and how old it is.
func (e *event) origin(now time.Time) logrus.Fields {
	if e.from == "" {
		return nil
	}
	return logrus.Fields{"from": e.from, "age-ms": e.age.Milliseconds(), "waited-ms": now.Sub(e.received).Milliseconds()}
}

// New returns a directory that is not started. Its goroutines run in g.
func New(cfg Config, g *group.Group) *Directory {
	d := &Directory{cfg: cfg, g: g, journal: newJournal(), began: time.Now().Add(-never), spread: rand.N(othersSpread)}
	d.state = NewState(Host{Name: cfg.Self, Domain: cfg.Domain}, cfg.Decoder, cfg.ReturnTime, d.journal.add)
	if cfg.Peers == nil {
		cfg.Peers = &http.Transport{DialContext: openPeer, MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdle, DisableCompression: true}
	}
	d.peers = &http.Client{Transport: cfg.Peers}
	d.loop = control.New(d.handle)
	d.snapshot.Store(d.state.Snapshot())
	return d
}

// Snapshot returns the latest view.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// Loaded reports whether the store was heard.
func (d *Directory) Loaded() bool { return d.contact.Load() > 0 }

// freshAge is the age of the last word of the store up to which the view counts as
// up to date.
const freshAge = 2 * time.Second

// Fresh reports whether the store has told of its changes until a short time ago.
func (d *Directory) Fresh(now time.Time) bool { return d.Age(now) < freshAge }

// Age returns the time since the store was last heard, directly or through others.
func (d *Directory) Age(now time.Time) time.Duration {
	contact := d.contact.Load()
	if contact == 0 {
		return never
	}
	return max(0, now.Sub(d.began)-time.Duration(contact))
}

// never is the age of what was not heard.
const never = 24 * time.Hour

// peerIdle is the time for which an unused connection to another host is kept.
const peerIdle = 10 * time.Second

func openPeer(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return dial.TCP(ctx, to)
}

// Start implements registry.Starter.
func (d *Directory) Start(ctx context.Context) error {
	if err := d.loop.Start(ctx); err != nil {
		return err
	}
	d.cfg.Timer.Every("directory", expirePeriod, func(time.Time) { d.loop.Post(event{tick: true}) })
	d.g.Go("store watch", d.watch)
	d.g.Go("follow", d.follow)
	d.g.Go("ask spares", d.askSpares)
	return nil
}

// Stop implements registry.Stopper.
func (d *Directory) Stop(ctx context.Context) error { return d.loop.Stop(ctx) }

// handle runs on the control goroutine.
func (d *Directory) handle(e event) {
	now := time.Now()
	if d.cfg.Waited != nil && e.from != "" {
		d.cfg.Waited(now.Sub(e.received))
	}
	changed := true
	switch {
	case e.tick:
		changed = d.state.Tick(now)
	case e.outage:
		d.state.Outage(now)
		changed = false
	case e.load != nil:
		d.state.Load(now, *e.load)
		d.journal.reach(e.load.Revision)
	default:
		for _, item := range e.items {
			d.state.Apply(now, item)
		}
		d.journal.reach(e.revision)
	}
	for _, line := range d.state.TakeLines() {
		entry := d.cfg.Log.WithFields(line.Fields).WithFields(e.origin(now))
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
	d.snapshot.Store(s)
	if d.cfg.Changed != nil {
		d.cfg.Changed(s, d.state.TakeRestarted())
	}
}
