package balancer

// This file defines the traffic side of a balancer: how its parts are made and
// what runs periodically.

import (
	"context"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/kernel/registry"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/report/burn"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatch"
	"tamaracktiller.example/tamaracktiller/internal/traffic/gateway"
	"tamaracktiller.example/tamaracktiller/internal/traffic/job"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ledger"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
	"tamaracktiller.example/tamaracktiller/internal/traffic/station"
)

// traffic holds the parts of the traffic side while they are put together.
type traffic struct {
	b       *Balancer
	control *controller.Controller
	metrics *metrics
	meter   *burn.Meter
	timers  *timer.Service
	store   *store.Keyed

	station *station.Station
	ledger  *ledger.Service
	jobs    *job.Service
	gateway *gateway.Gateway
}

// addTraffic makes the traffic side and provides its services.
func (b *Balancer) addTraffic() error {
	t, err := b.findParts()
	if err != nil {
		return err
	}
	t.makeStation()
	t.makeLedger()
	t.makeJobs()
	t.makeGateway()
	t.addTimers()
	b.services.Provide(serviceJobs, t.jobs)
	b.services.Provide(serviceLedger, t.ledger)
	b.services.Provide(serviceStation, t.station)
	b.services.Provide(serviceGateway, t.gateway)
	return nil
}

// findParts finds the services that the traffic side builds on.
func (b *Balancer) findParts() (*traffic, error) {
	t := &traffic{b: b}
	var err error
	if t.control, err = registry.Find[*controller.Controller](b.services, serviceController); err != nil {
		return nil, err
	}
	if t.metrics, err = registry.Find[*metrics](b.services, serviceMetrics); err != nil {
		return nil, err
	}
	if t.meter, err = registry.Find[*burn.Meter](b.services, serviceBurn); err != nil {
		return nil, err
	}
	if t.timers, err = registry.Find[*timer.Service](b.services, serviceTimer); err != nil {
		return nil, err
	}
	t.store, err = registry.Find[*store.Keyed](b.services, serviceStore)
	return t, err
}

func (t *traffic) makeStation() {
	t.station = station.New(station.Config{
		Cell: dispatch.DefaultConfig(), Draining: t.control.TargetDrains,
		Offering: func(from route.CellID) { t.gateway.Offer(from) },
	}, t.b.g)
}

func (t *traffic) makeLedger() {
	fleet := newLedgerFleet(t.control.Snapshot, t.control.Fresh)
	t.ledger = ledger.NewService(ledger.Config{
		Self: memberOf(t.control.Snapshot().Self), Store: t.store, Now: time.Now, Fleet: fleet,
		Transport: &ledgerTransport{fleet: fleet, gateway: func() *gateway.Gateway { return t.gateway }},
	})
	t.metrics.watchLedger(t.ledger)
}

func (t *traffic) makeJobs() {
	t.jobs = job.NewService(job.Config{
		Holder: t.control.Snapshot().Self.Incarnation, Store: t.store, Now: time.Now, Log: t.b.log.For("jobs"),
		Run: func(ctx context.Context, j job.Job) string { return t.gateway.RunJob(ctx, j) },
	})
	t.metrics.watchJobs(t.jobs)
}

func (t *traffic) makeGateway() {
	limits := t.b.s.Limits
	t.gateway = gateway.New(gateway.Config{
		Snapshot: t.control.Snapshot, Station: t.station, DialPeer: t.b.dialPeer,
		Limits:   gateway.Limits{MaxBodyBytes: limits.MaxBodyBytes, BufferBytes: limits.BufferBytes},
		Observer: &observer{metrics: t.metrics, meter: t.meter, snapshot: t.control.Snapshot},
		Log:      t.b.log.For("gateway"),
		Ledger:   t.ledger, Jobs: t.jobs,
		Offers: t.metrics.offers, SpreadDeath: t.b.spreadDeath,
	}, t.b.g)
}

// addTimers subscribes what runs periodically. What may block runs in a goroutine
// of the group.
func (t *traffic) addTimers() {
	t.timers.Every("pump", t.station.PumpPeriod(), t.station.Pump)
	t.timers.Every("trim", trimPeriod, func(now time.Time) {
		t.station.Trim(now)
		t.gateway.Trim(now)
	})
	t.every("ledger", maintainPeriod, t.ledger.Maintain)
	t.every("ledger endings", ledger.FlushPeriod, t.ledger.Flush)
	t.every("jobs", job.WorkPeriod, func(ctx context.Context) {
		if s := t.control.Snapshot(); s.Ready && s.Watches {
			t.jobs.Work(ctx)
		}
	})
}

func (t *traffic) every(name string, period time.Duration, fn func(ctx context.Context)) {
	t.timers.Every(name, period, func(time.Time) {
		t.b.g.Go(name, func(ctx context.Context) error {
			fn(ctx)
			return nil
		})
	})
}
