package directory

// This file defines who watches the store, and who follows other hosts.
//
// The root of the tree watches the store, since each call there is priced, and the
// others follow their parents by long polls. Every answer tells the age of what it holds,
// and returns when that is renewed. A host whose parent does not answer
// follows another; one that hears nothing newer through others watches the store
// itself, the second of the ranking soonest.

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

const (
	// watchWait is the wait of one watch of the store. It bounds the time in which
	// a store that went silent is noticed.
	watchWait = 600 * time.Millisecond
	// shortestWait is the wait of a watch when the view is old.
	shortestWait = 100 * time.Millisecond
	// batchPause is the time between two watches after a change, so that changes
	// that come together cost one call.
	batchPause = 60 * time.Millisecond
	// startSpread is the time over which hosts spread at the fleet's first start.
	startSpread = 300 * time.Millisecond
	// startPause is that of a host that does not know the fleet's secret yet, when
	// all hosts start and watch.
	startPause = 250 * time.Millisecond
	// parentWait is the wait of one question to the host that is followed. The root
	// hears from the store more often, so that questions rarely end without news.
	parentWait = 700 * time.Millisecond
	// contactStep is the renewal of the contact with the store that ends the wait of
	// the followers' questions.
	contactStep = 300 * time.Millisecond
	// suspectTime is the time for which a host that did not answer is not followed.
	suspectTime = 2 * time.Second
	// spareAge is the age of the last word of the store from which spares are asked.
	// It exceeds what watches and polls take together.
	spareAge = 900 * time.Millisecond
	// secondAge and othersAge are the ages from which the second host and the others
	// watch the store themselves. othersSpread is the time over which the others
	// spread, so that most hear through the first of them. With the time of a watch
	// they stay below the shortest time in which a configuration must be in force.
	secondAge    = time.Second
	othersAge    = 1400 * time.Millisecond
	othersSpread = 300 * time.Millisecond
	// roleCheck is the time between two looks at whether to watch.
	roleCheck = 100 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call of the store, and
	// othersRetryMin and othersRetryMax that of all hosts but the first two, which
	// mostly hear through those of the store's return.
	retryMin       = 100 * time.Millisecond
	retryMax       = 600 * time.Millisecond
	othersRetryMin = 400 * time.Millisecond
	othersRetryMax = 1200 * time.Millisecond
	// everything is the prefix of all keys: one watch covers configuration,
	// targets and hosts.
	everything = ""
)

// mustWatch reports whether this host should watch the store now.
func (d *Directory) mustWatch(now time.Time) bool {
	s := d.Snapshot()
	if len(s.Keys) == 0 || d.contact.Load() == 0 {
		return true
	}
	switch s.place.rank {
	case 0:
		return true
	case 1:
		return d.Age(now) > secondAge
	}
	return d.Age(now) > othersAge+d.spread
}

// watcher is the state of a host's watch of the store.
type watcher struct {
	d *Directory
	// active says that this host watches, lost that the last call failed, reload that
	// everything must be read.
	active, lost, reload bool
	// pause is that after the last failure; zero after a success.
	pause time.Duration
}

// watch watches the store while this host should. It begins, and goes on after a
// failure, by reading everything: that answers at once, while a watch may be one that
// hears nothing.
func (d *Directory) watch(ctx context.Context) error {
	if d.cfg.FirstStart {
		// Hosts that start together for the first time read one after the other, so
		// that most find what the first ones wrote.
		timer.Sleep(ctx, rand.N(startSpread))
	}
	w := &watcher{d: d}
	for ctx.Err() == nil {
		if !d.mustWatch(time.Now()) {
			w.active, w.lost = false, false
			timer.Sleep(ctx, roleCheck)
			continue
		}
		if !w.active {
			d.cfg.Log.WithField("age-ms", d.Age(time.Now()).Milliseconds()).Info("watching the store")
			w.active, w.reload = true, true
		}
		timer.Sleep(ctx, w.once(ctx))
	}
	return nil
}

// once makes one call of the store and returns the pause until the next.
func (w *watcher) once(ctx context.Context) time.Duration {
	d := w.d
	after := d.journal.reached()
	asked := time.Now()
	// A watch that ends with changes vouches for the time of its question only. The next
	// one ends when that would be too long ago.
	wait := min(watchWait, max(shortestWait, watchWait-d.Age(asked)))
	page, full, err := d.read(ctx, after, wait, w.reload)
	switch {
	case errors.Is(err, store.ErrCompacted):
		d.cfg.Log.WithField("after", after.String()).Info("history is gone, reading everything")
		w.reload = true
		return 0
	case err != nil:
		return w.failed(ctx, err, after)
	}
	if w.lost {
		d.cfg.Log.WithField(fieldRevision, page.Revision.String()).Info("store is back")
	}
	received := time.Now()
	d.take(ctx, news{page: page, full: full, from: fromStore, received: received, age: ageOfAnswer(received.Sub(asked), wait, page, full)})
	w.lost, w.reload, w.pause = false, false, 0
	switch {
	case len(d.Snapshot().Keys) == 0:
		return startPause
	case len(page.Items) > 0:
		return batchPause
	}
	return 0
}

// ageOfAnswer returns the age of an answer of the store that took some time to come. An
// empty watch was held for its wait; anything else may be as old as its question.
func ageOfAnswer(took, wait time.Duration, page store.Page, full bool) time.Duration {
	if !full && len(page.Items) == 0 {
		return max(0, took-wait)
	}
	return took
}

func (w *watcher) failed(ctx context.Context, err error, revision store.Revision) time.Duration {
	if !w.lost && ctx.Err() == nil {
		w.d.cfg.Log.WithError(err).WithField(fieldRevision, revision.String()).Warn("store is lost")
	}
	silent := !w.lost && !w.reload && errors.Is(err, store.ErrUnclear)
	w.lost, w.reload = true, true
	if silent {
		return 0
	}
	shortest, longest := retryMin, retryMax
	if w.d.Snapshot().place.rank > 1 {
		shortest, longest = othersRetryMin, othersRetryMax
	}
	w.pause = min(max(shortest, 2*w.pause), longest)
	return w.pause/2 + rand.N(w.pause/2)
}

func (d *Directory) read(ctx context.Context, after store.Revision, wait time.Duration, reload bool) (page store.Page, full bool, err error) {
	if reload || after.IsZero() {
		page, err = d.cfg.Source.Range(ctx, everything)
		return page, true, err
	}
	page, err = d.cfg.Source.Watch(ctx, everything, after, wait)
	return page, false, err
}

// follow follows the parent, or a spare while the parent does not answer, until ctx
// ends.
func (d *Directory) follow(ctx context.Context) error {
	suspects := map[string]time.Time{}
	for ctx.Err() == nil {
		host, ok := d.followed(time.Now(), suspects)
		if !ok {
			timer.Sleep(ctx, roleCheck)
			continue
		}
		if err := d.hear(ctx, host, parentWait); errors.Is(err, errBusy) {
			timer.Sleep(ctx, roleCheck)
		} else if err != nil {
			d.cfg.Log.WithError(err).WithField(fieldHost, host.Name).Debug("host does not pass changes on")
			suspects[host.Name] = time.Now().Add(suspectTime)
		}
	}
	return nil
}

// followed returns the first host of the line above that is no suspect; none for the
// root.
func (d *Directory) followed(now time.Time, suspects map[string]time.Time) (Host, bool) {
	s := d.Snapshot()
	if len(s.Keys) == 0 || len(s.place.parent) == 0 {
		return Host{}, false
	}
	for _, h := range slices.Concat(s.place.parent, s.place.spares) {
		if now.After(suspects[h.Name]) {
			return h, true
		}
	}
	return Host{}, false
}

// askSpares asks spares in turn while the store was not heard for some time.
func (d *Directory) askSpares(ctx context.Context) error {
	for turn := 0; ctx.Err() == nil; turn++ {
		s := d.Snapshot()
		if spares := s.place.spares; len(s.Keys) > 0 && len(spares) > 0 && d.Age(time.Now()) > spareAge {
			host := spares[turn%len(spares)]
			if err := d.hear(ctx, host, 0); err != nil {
				d.cfg.Log.WithError(err).WithField(fieldHost, host.Name).Debug("spare host does not answer")
			}
		}
		timer.Sleep(ctx, roleCheck)
	}
	return nil
}

// hear takes in what another host knows beyond the own view.
func (d *Directory) hear(ctx context.Context, host Host, wait time.Duration) error {
	n, err := d.askPeer(ctx, host, d.journal.reached(), wait)
	if err != nil {
		return err
	}
	if reached := d.journal.reached(); n.page.Revision.Era < reached.Era {
		return errors.Wrapf(errPeer, "%s: era %d has passed", host.Name, n.page.Revision.Era)
	}
	d.take(ctx, n)
	return nil
}

// outageAge is the time without a word of the store that counts as its outage.
const outageAge = 2 * time.Second
