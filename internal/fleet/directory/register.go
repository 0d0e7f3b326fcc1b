package directory

// This file defines Registration, the entry of the own host.

import (
	"context"
	"crypto/rand"
	"encoding/json"
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
)

// Registration keeps the entry of the own host in the store.
type Registration struct {
	Self  Host
	Store store.Leaser
	// Loaded reports whether the store was read.
	Loaded func() bool
	// Hosts returns the number of hosts.
	Hosts func() int
	// HasKey reports whether the fleet's secret is known.
	HasKey func() bool
	Log    *logrus.Entry
}

// Run writes the entry and renews its lease until ctx ends.
func (r *Registration) Run(ctx context.Context) error {
	var lease uint64
	pause := retryMin
	for !r.Loaded() && ctx.Err() == nil {
		timer.Sleep(ctx, loadCheck)
	}
	for ctx.Err() == nil {
		var err error
		if err = r.ensureSecret(ctx); err != nil {
			r.Log.WithError(err).Warn("secret of the fleet is not written")
		}
		if lease == 0 {
			lease, err = r.write(ctx)
		} else if err = r.Store.Renew(ctx, lease); errors.Is(err, store.ErrNotFound) {
			r.Log.WithField("lease", lease).Warn("lease of the own entry has ended")
			lease = 0
			continue
		}
		if err != nil {
			r.Log.WithError(err).Warn("own entry is not renewed")
			timer.Sleep(ctx, pause)
			pause = min(retryMax, pause*2)
			continue
		}
		pause = retryMin
		timer.Sleep(ctx, r.period())
	}
	return nil
}

func (r *Registration) write(ctx context.Context) (uint64, error) {
	lease, err := r.Store.Grant(ctx, leasePeriods*r.period())
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(r.Self)
	if err != nil {
		return 0, err
	}
	_, err = r.Store.Commit(ctx, nil, []store.Put{{Key: HostPrefix + r.Self.Name, Value: value, Lease: lease}}, nil)
	return lease, err
}

func (r *Registration) period() time.Duration {
	return renewPeriod + time.Duration(r.Hosts())*renewPerHost
}

// secretBytes is the length of the fleet's secret.
const secretBytes = 32

// ensureSecret writes the fleet's secret unless there is one.
func (r *Registration) ensureSecret(ctx context.Context) error {
	if r.HasKey() {
		return nil
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return err
	}
	_, err := r.Store.Commit(ctx, []store.Condition{{Key: KeyKey}}, []store.Put{{Key: KeyKey, Value: secret}}, nil)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}
