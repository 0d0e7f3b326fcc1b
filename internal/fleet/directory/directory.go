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
	// contact is the time since began up to which the view holds what the store has taken
	// in, in nanoseconds; 0 for never.
	contact atomic.Int64
	peers   *http.Client
	// turns and packer serve the answers to other hosts.
	turns  turns
	packer *packer
	// spread is added to othersAge.
	spread time.Duration
}

// news is what the store, or another host, told.
type news struct {
	page store.Page
	// full says that the items are all keys.
	full bool
	// from is the store or the host that told, received the time at which it did, and age
	// that of its words then.
	from     string
	received time.Time
	age      time.Duration
}

// follows reports whether news can be taken in by a view that has reached a revision: an
// era that has passed says nothing any more, and a later one begins with everything.
func (n *news) follows(reached store.Revision) bool {
	if n.full {
		return n.page.Revision.Era >= reached.Era
	}
	return n.page.Revision.Era == reached.Era
}

// fromStore is the origin of what the store told this host itself.
const fromStore = "store"

// origin returns the log fields that tell where news comes from, and how old it is.
func (n *news) origin(now time.Time) logrus.Fields {
	return logrus.Fields{"from": n.from, "age-ms": n.age.Milliseconds(), "waited-ms": now.Sub(n.received).Milliseconds()}
}

// event is what the control goroutine applies: news, or a tick if there is none.
type event struct {
	news *news
	// taken is closed when the news is part of the view.
	taken chan struct{}
}

// New returns a directory that is not started. Its goroutines run in g.
func New(cfg Config, g *group.Group) *Directory {
	d := &Directory{
		cfg: cfg, g: g, journal: newJournal(), turns: make(turns, largeAtOnce), packer: newPacker(),
		began: time.Now().Add(-never), spread: rand.N(othersSpread),
	}
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

// Age returns the time since which the view may lack what the store has taken in.
func (d *Directory) Age(now time.Time) time.Duration {
	return d.ageOf(now, time.Duration(d.contact.Load()))
}

// ageOf returns the age of a contact.
func (d *Directory) ageOf(now time.Time, contact time.Duration) time.Duration {
	if contact == 0 {
		return never
	}
	return max(0, now.Sub(d.began)-contact)
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
	d.cfg.Timer.Every("directory", expirePeriod, func(time.Time) { d.loop.Post(event{}) })
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
	if e.news == nil {
		changed := d.state.Tick(now)
		d.publish(changed, nil)
		return
	}
	defer close(e.taken)
	if reached := d.journal.reached(); !e.news.follows(reached) {
		d.cfg.Log.WithFields(e.news.origin(now)).WithFields(logrus.Fields{
			fieldRevision: e.news.page.Revision.String(), "reached": reached.String(),
		}).Info("news of another era is left out")
		return
	}
	if d.cfg.Waited != nil {
		d.cfg.Waited(now.Sub(e.news.received))
	}
	contact := e.news.received.Sub(d.began) - min(e.news.age, never/2)
	last := time.Duration(d.contact.Load())
	if last > 0 && contact-last > outageAge {
		d.state.Outage(now)
	}
	changed := d.apply(now, e.news)
	d.journal.reach(e.news.page.Revision, contact)
	d.publish(changed, e.news.origin(now))
	// The view vouches for a time only once it holds what the store had taken in by then.
	d.contact.Store(int64(max(contact, last)))
}

// apply takes news in, and reports whether it changed the view.
func (d *Directory) apply(now time.Time, n *news) (changed bool) {
	if n.full {
		return d.state.Load(now, n.page)
	}
	for _, item := range n.page.Items {
		changed = d.state.Apply(now, item) || changed
	}
	return changed
}

// publish logs what has happened, with the origin of the news, and replaces the snapshot
// if it changed.
func (d *Directory) publish(changed bool, origin logrus.Fields) {
	for _, line := range d.state.TakeLines() {
		entry := d.cfg.Log.WithFields(line.Fields).WithFields(origin)
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

// take hands news to the control goroutine and waits until it is part of the view, so that
// nobody asks for the same again meanwhile.
func (d *Directory) take(ctx context.Context, n news) {
	e := event{news: &n, taken: make(chan struct{})}
	if !d.loop.Post(e) {
		d.cfg.Log.WithField("from", n.from).Warn("news is dropped, too much waits to be taken in")
		return
	}
	select {
	case <-e.taken:
	case <-ctx.Done():
	}
}
