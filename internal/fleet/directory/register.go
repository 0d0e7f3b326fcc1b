package directory

// This file defines Registration, the entry of the own host.

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

const (
	// loadCheck is the time between two looks at whether the store was read.
	loadCheck = 20 * time.Millisecond
	// renewPeriod is the time between two renewals of a small fleet's host, and
	// renewPerHost what each host adds to it, so that the renewals of a large fleet
	// stay cheap.
	renewPeriod  = 2500 * time.Millisecond
	renewPerHost = 75 * time.Millisecond
	// leasePeriods is the number of periods after which the entry of a dead host
	// ends. Others notice a dead host sooner, by its silence.
	leasePeriods = 4
	// listTime is the time after its write within which the own entry is part of a fresh
	// view.
	listTime = 3 * time.Second
	// maxReturnSpread bounds the time over which hosts spread that write their entries
	// again, and returnPerHost is what each adds to it.
	maxReturnSpread = time.Second
	returnPerHost   = 3 * time.Millisecond
)

// Standing is what a host knows of its own entry, and of what it takes to write it.
type Standing struct {
	// Loaded says that the store was read, Fresh that its changes are known until a short
	// time ago, and Era counts how often it came back from a copy.
	Loaded, Fresh bool
	Era           uint64
	// Hosts is the number of hosts.
	Hosts int
	// Entry is the own entry in the store; the zero value if there is none.
	Entry Host
	// Secret is the newest secret that is known, and Stored says that the store holds it.
	Secret []byte
	Stored bool
}

// Standing returns what the view says of the own host.
func (d *Directory) Standing() Standing {
	s := d.Snapshot()
	return Standing{Loaded: d.Loaded(), Fresh: d.Fresh(time.Now()), Era: s.Revision.Era, Hosts: s.MaxHosts, Entry: s.Entry, Secret: s.Key(), Stored: s.KeyStored}
}

// Registration keeps the entry of the own host in the store.
type Registration struct {
	Self  Host
	Store store.Leaser
	// Standing returns what is known now.
	Standing func() Standing
	Log      *logrus.Entry
}

// registered is an entry that was written.
type registered struct {
	// lease is zero while there is none.
	lease uint64
	// era is that of the store when the entry was last known to be there, and at the time
	// at which it was written.
	era uint64
	at  time.Time
}

// isLost reports whether the store does not hold the entry any more: it came back from a
// copy without it, or the write was not performed, although nobody said so.
func (w *registered) isLost(s Standing, self Host) bool {
	if w.lease == 0 || s.Entry == self {
		return false
	}
	return s.Era > w.era || s.Fresh && time.Since(w.at) > listTime
}

// Run writes the entry and renews its lease until ctx ends.
func (r *Registration) Run(ctx context.Context) error {
	var written registered
	pause := retryMin
	for !r.Standing().Loaded && ctx.Err() == nil {
		timer.Sleep(ctx, loadCheck)
	}
	for ctx.Err() == nil {
		if err := r.ensureSecret(ctx); err != nil {
			r.Log.WithError(err).Warn("secret of the fleet is not written")
		}
		if err := r.keep(ctx, &written); err != nil {
			r.Log.WithError(err).Warn("own entry is not renewed")
			timer.Sleep(ctx, pause)
			pause = min(retryMax, pause*2)
			continue
		}
		pause = retryMin
		if written.lease != 0 {
			r.rest(ctx, written.era)
		}
	}
	return nil
}

// keep renews the lease, or writes the entry if there is none. When the lease has ended
// nothing is left of the entry.
func (r *Registration) keep(ctx context.Context, written *registered) (err error) {
	s := r.Standing()
	if written.isLost(s, r.Self) {
		r.Log.WithFields(logrus.Fields{"era": s.Era, "written-in": written.era, "lease": written.lease}).Info("own entry is missing")
		*written = registered{}
	}
	if written.lease == 0 {
		*written, err = r.write(ctx)
		return err
	}
	err = r.Store.Renew(ctx, written.lease)
	if errors.Is(err, store.ErrNotFound) {
		r.Log.WithField("lease", written.lease).Warn("lease of the own entry has ended")
		*written = registered{}
		return nil
	}
	written.era = max(written.era, s.Era)
	return err
}

// rest waits until the lease should be renewed, or the store has come back from a copy.
// The hosts of a large fleet spread then.
func (r *Registration) rest(ctx context.Context, era uint64) {
	end := time.Now().Add(r.period())
	for ctx.Err() == nil && time.Now().Before(end) {
		if r.Standing().Era > era {
			timer.Sleep(ctx, rand.N(min(maxReturnSpread, time.Millisecond+time.Duration(r.Standing().Hosts)*returnPerHost)))
			return
		}
		timer.Sleep(ctx, min(roleCheck, time.Until(end)))
	}
}

func (r *Registration) write(ctx context.Context) (registered, error) {
	lease, err := r.Store.Grant(ctx, leasePeriods*r.period())
	if err != nil {
		return registered{}, err
	}
	value, err := json.Marshal(r.Self)
	if err != nil {
		return registered{}, err
	}
	revision, err := r.Store.Commit(ctx, nil, []store.Put{{Key: HostPrefix + r.Self.Name, Value: value, Lease: lease}}, nil)
	if errors.Is(err, store.ErrNotFound) {
		// The lease is gone already, so nothing was written.
		return registered{}, err
	}
	return registered{lease: lease, era: revision.Era, at: time.Now()}, err
}

func (r *Registration) period() time.Duration {
	return renewPeriod + time.Duration(r.Standing().Hosts)*renewPerHost
}

// secretBytes is the length of the fleet's secret.
const secretBytes = 32

// ensureSecret writes the fleet's secret unless the store holds one: that which is known, so
// that hosts go on to understand each other.
func (r *Registration) ensureSecret(ctx context.Context) error {
	s := r.Standing()
	if s.Stored {
		return nil
	}
	secret := s.Secret
	if secret == nil {
		secret = make([]byte, secretBytes)
		if _, err := crand.Read(secret); err != nil {
			return err
		}
	}
	_, err := r.Store.Commit(ctx, []store.Condition{{Key: KeyKey}}, []store.Put{{Key: KeyKey, Value: secret}}, nil)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}
