package directory

// This file decides whether a host watches the store or polls another host.
//
// The root of the tree watches the store, because each call of the store is billed, and
// every other host long-polls its parent. Each response carries the age of its data, and
// a poll also returns when that age is renewed. A host whose parent does not respond
// polls a fallback host. A host that gets no newer data from others watches the store
// itself, and the second host in the ranking does so first.

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

const (
	// watchWait is the wait of one watch of the store. It bounds the time until a store
	// that stopped responding is detected.
	watchWait = 600 * time.Millisecond
	// minWatchWait is the wait of a watch when the view is old.
	minWatchWait = 100 * time.Millisecond
	// batchDelay is the time between two watches after a change, so that changes in quick
	// succession cost one call of the store, and one poll and one new snapshot on each host.
	batchDelay = 150 * time.Millisecond
	// startJitter is the period over which the hosts spread their first read when the
	// fleet first starts.
	startJitter = 300 * time.Millisecond
	// bootstrapInterval is the time between two calls of the store while this host does
	// not know the fleet secret yet. All hosts of a new fleet watch the store then.
	bootstrapInterval = 250 * time.Millisecond
	// pollWait is the wait of one poll of the parent. The root gets responses from the
	// store more often, so polls rarely return without an update.
	pollWait = 700 * time.Millisecond
	// freshnessStep is the increase of asOf at which waiting polls of followers return.
	freshnessStep = 300 * time.Millisecond
	// suspectTime is the time for which a host that failed to respond is not polled.
	suspectTime = 2 * time.Second
	// fallbackAge is the age of the view above which fallback hosts are polled. It
	// exceeds the time of watches and polls together.
	fallbackAge = 900 * time.Millisecond
	// secondWatchAge and othersWatchAge are the ages of the view above which the second
	// host and the other hosts watch the store themselves. Up to maxWatchRank they do so one
	// after the other, watchAgeStep apart. othersWatchJitter spreads the
	// others, so that most get updates through the first of them. Together with the time
	// of a watch these ages stay below the shortest time in which a configuration must be
	// active on all hosts.
	secondWatchAge    = time.Second
	watchAgeStep      = 100 * time.Millisecond
	maxWatchRank      = 3
	othersWatchAge    = 1400 * time.Millisecond
	othersWatchJitter = 300 * time.Millisecond
	// maxCatchUpHosts bounds the hosts that are polled once after the start.
	maxCatchUpHosts = 3
	// maxCatchUpTime is the time after the first read for which requests wait until these hosts have responded.
	maxCatchUpTime = 100 * time.Millisecond
	// watcherTimeout is the time since the last response of a watcher after which this host may be cut
	// off from all of them. Fallback hosts are polled in turn, so each is polled once in that time.
	watcherTimeout = 1500 * time.Millisecond
	// patientRetryPerHost is the pause for each host after two failed calls of a host beyond the
	// watchers, while these respond: its own calls do not help the fleet if the store refuses all, and
	// the first failure may have been by chance.
	patientRetryPerHost = 50 * time.Millisecond
	// roleCheckInterval is the pause after a failed call, and the time between two polls of
	// fallback hosts.
	roleCheckInterval = 100 * time.Millisecond
	// maxRoleWait bounds the time between two checks of whether this host should watch the
	// store or poll fallback hosts.
	maxRoleWait = time.Second
	// retryMin and retryMax bound the backoff after a failed call of the store.
	// othersRetryMin and othersRetryMax apply to all hosts but the first two, because
	// most of them learn through those two that the store is available again.
	retryMin       = 100 * time.Millisecond
	retryMax       = 600 * time.Millisecond
	othersRetryMin = 400 * time.Millisecond
	othersRetryMax = 1200 * time.Millisecond
	// retryPerHost is added to the longest backoff for each host, up to retryLimit, except for the
	// first two: refused calls are billed, too, and those of a large fleet keep the store busy.
	retryPerHost = 10 * time.Millisecond
	retryLimit   = 5 * time.Second
	// allKeys is the prefix of all keys: one watch covers the configuration, targets and
	// hosts.
	allKeys = ""
)

// untilWatch returns the time after which this host should watch the store if the hosts stay
// the same and no newer data arrives; zero if it should now.
func (d *Directory) untilWatch(now time.Time) time.Duration {
	s := d.Snapshot()
	if len(s.Secrets) == 0 || d.asOf.Load() == 0 || s.position.rank == 0 {
		return 0
	}
	limit := secondWatchAge + time.Duration(s.position.rank-1)*watchAgeStep
	if s.position.rank > maxWatchRank {
		limit = othersWatchAge + d.watchJitter
	}
	return max(0, limit-d.Age(now))
}

// hearsWatchers reports whether a host that should watch the store rather than this one has responded
// a moment ago, even if its data is old.
func (d *Directory) hearsWatchers(now time.Time) bool {
	heard := d.watcherHeard.Load()
	return heard > 0 && now.Sub(d.baseTime)-time.Duration(heard) < watcherTimeout
}

// watcher is the state of this host's watch of the store.
type watcher struct {
	d *Directory
	// replaces is set if the watch began because the view was old: this host watches in place of
	// others that get no data of the store.
	replaces bool
	// active reports whether this host watches, failed whether the last call failed, and
	// reload whether the next call must read all keys.
	active, failed, reload bool
	// checkpointTried is set after the first attempt to start from the checkpoint.
	checkpointTried bool
	// pause is the backoff after the last failure; zero after a success. The next call is due at
	// retryAt, or at patientRetryAt while watchers respond.
	pause                   time.Duration
	retryAt, patientRetryAt time.Time
}

// watch watches the store while this host should. It starts with a full read, also after
// a failure, because a read returns at once, while a watch may get no response.
func (d *Directory) watch(ctx context.Context) error {
	if d.cfg.FirstStart {
		// On the first start of a fleet the hosts read one after the other, so that most
		// of them find what the first ones wrote.
		timer.Sleep(ctx, rand.N(startJitter))
	}
	w := &watcher{d: d}
	for ctx.Err() == nil {
		hostsChanged := d.hostsChanged.wait()
		if wait := d.untilWatch(time.Now()); wait > 0 && !w.isNeeded(time.Now()) {
			w.stop()
			sleepUnless(ctx, hostsChanged, wait)
			continue
		}
		if wait := w.untilRetry(time.Now()); wait > 0 {
			sleepUnless(ctx, hostsChanged, wait)
			continue
		}
		if !w.active {
			d.cfg.Log.WithField("age-ms", d.Age(time.Now()).Milliseconds()).Info("watching the store")
			w.active, w.reload = true, true
			w.replaces = len(d.Snapshot().Secrets) > 0 && d.asOf.Load() > 0
		}
		timer.Sleep(ctx, w.step(ctx))
	}
	return nil
}

// isNeeded reports whether this host still watches in place of others: no host that should watch
// rather than this one has sent new data. Without it, this host would stop after each response
// and start again, with a full read, when its view is old.
func (w *watcher) isNeeded(now time.Time) bool {
	if !w.active || !w.replaces || w.failed {
		return false
	}
	peer := w.d.peerData.Load()
	if peer == nil || w.d.ageOf(now, peer.asOf) > fallbackAge {
		return true
	}
	return peer.origin != "" && watchScore(peer.origin) >= watchScore(w.d.cfg.Self.Name)
}

// stop ends the watch, since others watch again. The next one does not wait for earlier failures.
func (w *watcher) stop() {
	w.active = false
	w.clearFailures()
}

func (w *watcher) clearFailures() {
	w.failed, w.pause = false, 0
	w.retryAt, w.patientRetryAt = time.Time{}, time.Time{}
}

// untilRetry returns the time until the next call after a failure; zero if it is due.
func (w *watcher) untilRetry(now time.Time) time.Duration {
	at := w.retryAt
	if w.d.Snapshot().position.rank > maxWatchRank && w.d.hearsWatchers(now) {
		at = w.patientRetryAt
	}
	return max(0, at.Sub(now))
}

// step makes one call of the store and returns the delay before the next.
func (w *watcher) step(ctx context.Context) time.Duration {
	d := w.d
	after := d.cache.applied()
	start, sent := time.Now(), d.bootNow()
	// A watch that returns changes proves the view complete only as of the time of the
	// request. The wait of the next one is shortened by the age of the view.
	wait := min(watchWait, max(minWatchWait, watchWait-d.Age(start)))
	page, full, err := w.read(ctx, after, wait)
	if err != nil {
		d.endFirstRead.Do(func() { close(d.firstReadEnded) })
	}
	switch {
	case errors.Is(err, store.ErrCompacted):
		d.cfg.Log.WithField("after", after.String()).Info("history is compacted, reading all keys")
		w.reload = true
		return 0
	case err != nil:
		return w.onError(ctx, err, after)
	}
	if w.failed {
		d.cfg.Log.WithField(fieldRevision, page.Revision.String()).Info("store is back")
	}
	receivedAt := time.Now()
	took := receivedAt.Sub(start)
	d.submit(ctx, update{
		page: page, full: full, source: sourceStore, origin: d.cfg.Self.Name, receivedAt: receivedAt,
		afterOutage: w.failed, age: responseAge(took, wait, page, full), soundAsOf: storeSoundAsOf(sent, took, wait, page, full),
	})
	d.endFirstReadSoon()
	w.reload = false
	w.clearFailures()
	switch {
	case len(d.Snapshot().Secrets) == 0:
		return bootstrapInterval
	case len(page.Items) > 0:
		return batchDelay
	}
	return 0
}

// responseAge returns the age of the data in a response of the store that arrived after
// took. The store held an empty watch for the whole wait; any other response may be as
// old as its request.
func responseAge(took, wait time.Duration, page store.Page, full bool) time.Duration {
	if !full && len(page.Items) == 0 {
		return max(0, took-wait)
	}
	return took
}

func (w *watcher) onError(ctx context.Context, err error, revision store.Revision) time.Duration {
	if !w.failed && ctx.Err() == nil {
		w.d.cfg.Log.WithError(err).WithField(fieldRevision, revision.String()).Warn("store is lost")
	}
	watchTimedOut := !w.failed && !w.reload && errors.Is(err, store.ErrOutcomeUnknown)
	w.failed, w.reload = true, true
	if watchTimedOut {
		return 0
	}
	shortest, longest := retryMin, retryMax
	if s := w.d.Snapshot(); s.position.rank > 1 {
		shortest, longest = othersRetryMin, longestRetry(othersRetryMax, s.MaxHosts)
	}
	repeated := w.pause > 0
	w.pause = min(max(shortest, 2*w.pause), longest)
	w.retryAt = time.Now().Add(jitter(w.pause))
	w.patientRetryAt = w.retryAt
	if repeated {
		w.patientRetryAt = w.retryAt.Add(jitter(time.Duration(w.d.Snapshot().MaxHosts) * patientRetryPerHost))
	}
	return 0
}

// longestRetry returns the longest backoff of one of many hosts.
func longestRetry(longest time.Duration, hosts int) time.Duration {
	return max(longest, min(retryLimit, longest+time.Duration(hosts)*retryPerHost))
}

// jitter returns a random time from half of d to d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(max(1, d/2)) }

func (w *watcher) read(ctx context.Context, after store.Revision, wait time.Duration) (page store.Page, full bool, err error) {
	d := w.d
	if after.IsZero() && !d.cfg.FirstStart && !w.checkpointTried {
		w.checkpointTried = true
		page, err = d.readCheckpoint(ctx)
		if err == nil || errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown) {
			return page, true, err
		}
		d.cfg.Log.WithError(err).Info("no checkpoint can be used, reading all keys")
	}
	if w.reload || after.IsZero() {
		page, err = d.cfg.Source.Range(ctx, allKeys)
		return page, true, err
	}
	page, err = d.cfg.Source.Watch(ctx, allKeys, after, wait)
	return page, false, err
}

// follow polls the parent, or a fallback host while the parent does not respond, until
// ctx is done.
func (d *Directory) follow(ctx context.Context) error {
	suspects := map[string]time.Time{}
	for ctx.Err() == nil {
		host, ok := d.pickUpstream(time.Now(), suspects)
		if !ok {
			timer.Sleep(ctx, roleCheckInterval)
			continue
		}
		if err := d.pollPeer(ctx, host, pollWait); errors.Is(err, errBusy) {
			timer.Sleep(ctx, roleCheckInterval)
		} else if err != nil {
			d.cfg.Log.WithError(err).WithField(fieldHost, host.Name).Debug("polling a host failed")
			suspects[host.Name] = time.Now().Add(suspectTime)
		}
	}
	return nil
}

// pickUpstream returns the first host among the parent and the fallbacks that is not
// suspected. The root has none.
func (d *Directory) pickUpstream(now time.Time, suspects map[string]time.Time) (Host, bool) {
	s := d.Snapshot()
	if len(s.Secrets) == 0 || len(s.position.parent) == 0 {
		return Host{}, false
	}
	for _, h := range slices.Concat(s.position.parent, s.position.fallbacks) {
		if now.After(suspects[h.Name]) {
			return h, true
		}
	}
	return Host{}, false
}

// catchUp polls the parent and fallback hosts once when this host has started, and again when the store has come back
// from a copy, for what they know and the store does not hold: entries of targets that late writes have replaced, a
// configuration that the copy lacks, and beliefs. The root would not poll them otherwise.
func (d *Directory) catchUp(ctx context.Context) error {
	era, asked := uint64(0), false
	for ctx.Err() == nil {
		hostsChanged := d.hostsChanged.wait()
		s := d.Snapshot()
		hosts := s.catchUpHosts()
		if d.cfg.FirstStart && !asked && !s.Revision.IsZero() {
			era, asked = s.Revision.Era, true
		}
		if len(hosts) == 0 || asked && s.Revision.Era == era {
			sleepUnless(ctx, hostsChanged, maxRoleWait)
			continue
		}
		era, asked = s.Revision.Era, true
		d.fetchMemories(ctx, hosts)
	}
	return nil
}

// catchUpHosts returns the hosts to ask for what they know. There are none before this host can authenticate messages.
func (s *Snapshot) catchUpHosts() []Host {
	hosts := slices.Concat(s.position.parent, s.position.fallbacks)
	if len(s.Secrets) == 0 {
		return nil
	}
	return hosts[:min(len(hosts), maxCatchUpHosts)]
}

// fetchMemories polls some hosts at the same time. Those whose view is behind this one know of too few ends of targets,
// so they are asked once more, for when they have caught up. Requests wait for that only if the store has come back from
// a copy which such a host has not read yet: what it knew before does not count until then.
func (d *Directory) fetchMemories(ctx context.Context, hosts []Host) {
	applied := d.cache.applied()
	revisions := d.pollMemories(ctx, hosts, 0)
	var behind []Host
	sameEra := true
	for _, host := range hosts {
		if revision, ok := revisions[host.Name]; ok && applied.After(revision) {
			behind = append(behind, host)
			sameEra = sameEra && revision.Era == applied.Era
		}
	}
	if sameEra {
		d.endCatchUp.Do(func() { close(d.caughtUp) })
	}
	d.pollMemories(ctx, behind, pollWait)
	d.endCatchUp.Do(func() { close(d.caughtUp) })
}

// pollMemories polls some hosts at the same time, and returns the revisions of their views when all have responded or
// failed.
func (d *Directory) pollMemories(ctx context.Context, hosts []Host, wait time.Duration) map[string]store.Revision {
	var wg sync.WaitGroup
	var mu sync.Mutex
	revisions := map[string]store.Revision{}
	for _, host := range hosts {
		wg.Add(1)
		d.g.Go("catch up with a host", func(context.Context) error {
			defer wg.Done()
			revision, err := d.fetchMemory(ctx, host, wait)
			if err != nil {
				d.cfg.Log.WithError(err).WithField(fieldHost, host.Name).Debug("polling a host after the start failed")
			}
			mu.Lock()
			defer mu.Unlock()
			if !revision.IsZero() {
				revisions[host.Name] = revision
			}
			return nil
		})
	}
	wg.Wait()
	return revisions
}

// endFirstReadSoon ends the wait for the first read once this host has caught up with others, if there are any, or after
// maxCatchUpTime.
func (d *Directory) endFirstReadSoon() {
	d.endFirstRead.Do(func() {
		if d.cfg.FirstStart || len(d.Snapshot().catchUpHosts()) == 0 {
			close(d.firstReadEnded)
			return
		}
		d.g.Go("end of the first read", func(ctx context.Context) error {
			timer := time.NewTimer(maxCatchUpTime)
			defer timer.Stop()
			select {
			case <-d.caughtUp:
			case <-timer.C:
			case <-ctx.Done():
			}
			close(d.firstReadEnded)
			return nil
		})
	})
}

// fetchMemory requests from another host its beliefs, and what it knows of targets that ended, and returns the revision
// of its view, also if that is not used; zero if the host has not responded.
func (d *Directory) fetchMemory(ctx context.Context, host Host, wait time.Duration) (store.Revision, error) {
	u, err := d.fetchChanges(ctx, host, d.cache.applied(), poll{wait: wait, memory: true})
	if err != nil {
		return store.Revision{}, err
	}
	d.cfg.Beliefs.Import(host.Name, u.beliefs)
	return u.page.Revision, d.submitPolled(ctx, host, u)
}

// pollFallbacks polls the fallback hosts in turn while the view is older than
// fallbackAge.
func (d *Directory) pollFallbacks(ctx context.Context) error {
	for n := 0; ctx.Err() == nil; n++ {
		hostsChanged := d.hostsChanged.wait()
		s := d.Snapshot()
		fallbacks := s.position.fallbacks
		if len(s.Secrets) == 0 || len(fallbacks) == 0 {
			sleepUnless(ctx, hostsChanged, maxRoleWait)
			continue
		}
		if wait := fallbackAge - d.Age(time.Now()); wait > 0 {
			timer.Sleep(ctx, wait)
			continue
		}
		host := fallbacks[n%len(fallbacks)]
		if err := d.pollPeer(ctx, host, 0); err != nil {
			d.cfg.Log.WithError(err).WithField(fieldHost, host.Name).Debug("polling a fallback host failed")
		}
		timer.Sleep(ctx, roleCheckInterval)
	}
	return nil
}

// sleepUnless returns after d, or maxRoleWait if that is shorter, or when changed is closed or
// ctx ends.
func sleepUnless(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(min(d, maxRoleWait))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// pollPeer requests the changes that this view lacks from another host and applies them.
func (d *Directory) pollPeer(ctx context.Context, host Host, wait time.Duration) error {
	u, err := d.fetchChanges(ctx, host, d.cache.applied(), poll{wait: wait})
	if err != nil {
		return err
	}
	return d.submitPolled(ctx, host, u)
}

// submitPolled applies the response of another host to a poll.
func (d *Directory) submitPolled(ctx context.Context, host Host, u update) error {
	if applied := d.cache.applied(); u.page.Revision.Era < applied.Era {
		return errors.Wrapf(errBadResponse, "%s: era %d is outdated", host.Name, u.page.Revision.Era)
	}
	if slices.Contains(d.Snapshot().position.watchers, host.Name) {
		d.watcherHeard.Store(int64(time.Since(d.baseTime)))
	}
	d.submit(ctx, u)
	return nil
}

// outageAge is the time without data from the store that counts as an outage.
const outageAge = 2 * time.Second
