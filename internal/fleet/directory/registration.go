package directory

// This file defines Registration, which maintains the entry of this host in the store.

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

const (
	// loadCheckInterval is the time between two checks of whether the store was read.
	loadCheckInterval = 20 * time.Millisecond
	// renewPeriod is the time between two renewals of a lease in a small fleet, and
	// renewPerHost is added for each host to limit the cost of renewals in a large fleet.
	renewPeriod  = 2500 * time.Millisecond
	renewPerHost = 75 * time.Millisecond
	// leasePeriods is the number of periods after which the entry of a crashed host
	// expires. Other hosts detect a crashed host sooner, because it does not respond.
	leasePeriods = 4
	// entryVisibleTime is the time after a write within which the entry must appear in a
	// view that is up to date.
	entryVisibleTime = 3 * time.Second
	// sizeSettleTime is the time for which the fleet must not have grown before its size is
	// recorded, so that the hosts of a first start are counted together.
	sizeSettleTime = 2 * time.Second
	// accountsStep is the time after which the next host of the ranking records that there were client accounts,
	// if the ones before it have not.
	accountsStep = 2 * time.Second
	// maxRewriteJitter bounds the period over which hosts spread the rewrites of their
	// entries after a restore of the store, and rewriteJitterPerHost is the part of it
	// for each host.
	maxRewriteJitter     = time.Second
	rewriteJitterPerHost = 3 * time.Millisecond
)

// RegistrationState is what this host knows about its own entry, and what it needs to
// write it.
type RegistrationState struct {
	// Loaded reports whether the store was read, and Fresh whether the view is up to
	// date. Era counts the restores of the store from a backup.
	Loaded, Fresh bool
	Era           uint64
	// Hosts is the largest number of hosts seen so far, RecordedHosts the one that the store
	// holds, and SizeRevision the revision of that record.
	Hosts         int
	RecordedHosts int
	SizeRevision  store.Revision
	// AccountsSeen reports whether any configuration had client accounts, and AccountsStored whether the store
	// holds that.
	AccountsSeen, AccountsStored bool
	// First reports whether this host is the first of the ranking, which writes the records, and Rank its place there.
	First bool
	Rank  int
	// Entry is the entry of this host in the store; the zero value if there is none.
	Entry Host
	// Secret is the newest known fleet secret, and SecretStored reports whether the store
	// holds it.
	Secret       []byte
	SecretStored bool
}

// RegistrationState returns the state of this host's registration according to the view.
func (d *Directory) RegistrationState() RegistrationState {
	s := d.Snapshot()
	return RegistrationState{Loaded: d.Loaded(), Fresh: d.Fresh(time.Now()), Era: s.Revision.Era, Hosts: s.MaxHosts, RecordedHosts: s.RecordedHosts, SizeRevision: s.SizeRevision, AccountsSeen: s.AccountsSeen, AccountsStored: s.AccountsStored, First: s.position.rank == 0, Rank: s.position.rank, Entry: s.Entry, Secret: s.Secret(), SecretStored: s.SecretStored}
}

// HostsChanged returns a channel that is closed when the hosts, the secrets or the era of the
// view change, or there are client accounts for the first time.
func (d *Directory) HostsChanged() <-chan struct{} { return d.hostsChanged.wait() }

// Registration maintains the entry of this host in the store, and the fleet secret.
type Registration struct {
	Self  Host
	Store store.Leaser
	// State returns the current state.
	State func() RegistrationState
	// HostsChanged returns a channel that is closed when the hosts or the era of the state
	// change.
	HostsChanged func() <-chan struct{}
	Log          *logrus.Entry

	// largest is the largest number of hosts seen so far, since grownAt.
	largest int
	grownAt time.Time
	// accountsDue is the time since which the store lacks the record of client accounts; zero if it has it or
	// there were none.
	accountsDue time.Time
}

// writtenEntry describes an entry that was written.
type writtenEntry struct {
	// lease is zero if there is no entry. period is the time between renewals for which its duration
	// was chosen.
	lease  uint64
	period time.Duration
	// era is the era of the store in which the entry was last known to exist, and
	// writtenAt the time of the write.
	era       uint64
	writtenAt time.Time
}

// isLost reports whether the store does not hold the entry, for example because it was
// restored from a backup without the entry, or because a write with an unknown outcome
// was not applied.
func (w *writtenEntry) isLost(s RegistrationState, self Host) bool {
	if w.lease == 0 || s.Entry == self {
		return false
	}
	return s.Era > w.era || s.Fresh && time.Since(w.writtenAt) > entryVisibleTime
}

// Run writes the entry and renews its lease until ctx is done.
func (r *Registration) Run(ctx context.Context) error {
	var written writtenEntry
	pause := retryMin
	for !r.State().Loaded && ctx.Err() == nil {
		timer.Sleep(ctx, loadCheckInterval)
	}
	for ctx.Err() == nil {
		if err := r.ensureSecret(ctx); err != nil {
			r.Log.WithError(err).Warn("writing the fleet secret failed")
		}
		if err := r.maintain(ctx, &written); err != nil {
			r.Log.WithError(err).Warn("renewing the entry of this host failed")
			longest := longestRetry(retryMax, r.State().Hosts)
			if written.lease != 0 {
				// A lease outlasts several periods, so its renewal is less urgent than an entry.
				pause = longest
			}
			timer.Sleep(ctx, jitter(pause))
			pause = min(longest, pause*2)
			continue
		}
		pause = retryMin
		if written.lease != 0 {
			r.waitForRenewal(ctx, &written)
		}
	}
	return nil
}

// maintain renews the lease, or writes the entry if there is none. An expired lease has
// deleted the entry.
func (r *Registration) maintain(ctx context.Context, written *writtenEntry) (err error) {
	s := r.State()
	if written.isLost(s, r.Self) {
		r.Log.WithFields(logrus.Fields{"era": s.Era, "written-in": written.era, "lease": written.lease}).Info("own entry is missing")
		*written = writtenEntry{}
	}
	if written.lease == 0 {
		*written, err = r.writeEntry(ctx)
		return err
	}
	err = r.Store.Renew(ctx, written.lease)
	if errors.Is(err, store.ErrNotFound) {
		r.Log.WithField("lease", written.lease).Warn("lease of the entry of this host has expired")
		*written = writtenEntry{}
		return nil
	}
	written.era = max(written.era, s.Era)
	return err
}

// waitForRenewal waits until the lease should be renewed, or the store has been restored
// from a backup. In that case the hosts of a large fleet spread their rewrites. Meanwhile it
// records the size of the fleet when that is due. A lease that was granted while the host knew of few
// others is short, and must be renewed as often as then.
func (r *Registration) waitForRenewal(ctx context.Context, written *writtenEntry) {
	end := time.Now().Add(min(r.period(), written.period))
	for ctx.Err() == nil && time.Now().Before(end) {
		changed := r.HostsChanged()
		if r.State().Era > written.era {
			timer.Sleep(ctx, rand.N(min(maxRewriteJitter, time.Millisecond+time.Duration(r.State().Hosts)*rewriteJitterPerHost)))
			return
		}
		if err := r.recordSettledSize(ctx, time.Now()); err != nil {
			r.Log.WithError(err).Warn("recording the size of the fleet failed")
		}
		if err := r.recordAccounts(ctx, time.Now()); err != nil {
			r.Log.WithError(err).Warn("recording that there are client accounts failed")
		}
		sleepUnless(ctx, changed, time.Until(end))
	}
}

func (r *Registration) writeEntry(ctx context.Context) (writtenEntry, error) {
	period := r.period()
	lease, err := r.Store.Grant(ctx, leasePeriods*period)
	if err != nil {
		return writtenEntry{}, err
	}
	value, err := json.Marshal(r.Self)
	if err != nil {
		return writtenEntry{}, err
	}
	revision, err := r.Store.Commit(ctx, nil, []store.Put{{Key: HostPrefix + r.Self.Name, Value: value, Lease: lease}}, nil)
	if errors.Is(err, store.ErrNotFound) {
		// The lease has already expired, so nothing was written.
		return writtenEntry{}, err
	}
	return writtenEntry{lease: lease, period: period, era: revision.Era, writtenAt: time.Now()}, err
}

func (r *Registration) period() time.Duration {
	return renewPeriod + time.Duration(r.State().Hosts)*renewPerHost
}

// secretBytes is the length of the fleet secret.
const secretBytes = 32

// ensureSecret writes the fleet secret unless the store holds one. It writes the known
// secret if there is one, so that hosts continue to authenticate each other's messages.
func (r *Registration) ensureSecret(ctx context.Context) error {
	s := r.State()
	if s.SecretStored {
		return nil
	}
	secret := s.Secret
	if secret == nil {
		secret = make([]byte, secretBytes)
		if _, err := crand.Read(secret); err != nil {
			return err
		}
	}
	_, err := r.Store.Commit(ctx, []store.Condition{{Key: SecretKey}}, []store.Put{{Key: SecretKey, Value: secret}}, nil)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// recordAccounts records that a configuration had client accounts. The first host of the ranking does so at once,
// unless the fleet still grows and many hosts take themselves for the first. The others wait longer the later they come,
// in case that those before them cannot reach the store.
func (r *Registration) recordAccounts(ctx context.Context, now time.Time) error {
	s := r.State()
	if !s.AccountsSeen || s.AccountsStored {
		r.accountsDue = time.Time{}
		return nil
	}
	if r.accountsDue.IsZero() {
		r.accountsDue = now
	}
	if now.Sub(r.grownAt) < sizeSettleTime || now.Sub(r.accountsDue) < time.Duration(s.Rank)*accountsStep {
		return nil
	}
	_, err := r.Store.Commit(ctx, []store.Condition{{Key: AccountsKey}}, []store.Put{{Key: AccountsKey}}, nil)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// recordSettledSize records the size of the fleet once it has not grown for sizeSettleTime.
// After an error it waits as long again.
func (r *Registration) recordSettledSize(ctx context.Context, now time.Time) error {
	if hosts := r.State().Hosts; hosts > r.largest {
		r.largest, r.grownAt = hosts, now
	}
	if now.Sub(r.grownAt) < sizeSettleTime {
		return nil
	}
	err := r.recordSize(ctx)
	if err != nil {
		r.grownAt = now
	}
	return err
}

// recordSize raises the recorded size of the fleet to the largest number of hosts that this
// process has seen.
func (r *Registration) recordSize(ctx context.Context) error {
	s := r.State()
	if !s.First || s.Hosts <= s.RecordedHosts {
		return nil
	}
	_, err := r.Store.Commit(ctx, []store.Condition{{Key: SizeKey, Revision: s.SizeRevision}}, []store.Put{{Key: SizeKey, Value: []byte(strconv.Itoa(s.Hosts))}}, nil)
	if errors.Is(err, store.ErrConflict) {
		// Another host wrote it. The view contains that write by the next renewal.
		return nil
	}
	return err
}
