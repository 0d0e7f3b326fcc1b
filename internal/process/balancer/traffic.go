package balancer

// This file assembles the traffic components of a balancer and their periodic tasks.

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

// traffic holds the traffic components and their dependencies during assembly.
type traffic struct {
	b       *Balancer
	control *controller.Controller
	metrics *metrics
	meter   *burn.Meter
	timers  *timer.Service
	store   *store.KVStore

	station *station.Station
	ledger  *ledger.Service
	jobs    *job.Service
	gateway *gateway.Gateway
}

// addTraffic creates the traffic components and registers them as services.
func (b *Balancer) addTraffic() error {
	t, err := b.findDependencies()
	if err != nil {
		return err
	}
	t.addStation()
	t.addLedger()
	t.addJobs()
	t.addGateway()
	t.addTimers()
	b.services.Provide(serviceJobs, t.jobs)
	b.services.Provide(serviceLedger, t.ledger)
	b.services.Provide(serviceStation, t.station)
	b.services.Provide(serviceGateway, t.gateway)
	return nil
}

// findDependencies looks up the services that the traffic components use.
func (b *Balancer) findDependencies() (*traffic, error) {
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
	t.store, err = registry.Find[*store.KVStore](b.services, serviceStore)
	return t, err
}

func (t *traffic) addStation() {
	t.station = station.New(station.Config{
		Cell: dispatch.DefaultConfig(), OnDraining: t.control.MarkTargetDraining,
		OnFreeSlot: func(from route.CellID) { t.gateway.SendOffer(from) },
	}, t.b.g)
}

func (t *traffic) addLedger() {
	fleet := newLedgerFleet(t.control.Snapshot, t.control.Fresh)
	t.ledger = ledger.NewService(ledger.Config{
		Self: memberOf(t.control.Snapshot().Self), Store: t.store, Now: time.Now, Fleet: fleet,
		Transport: &ledgerTransport{fleet: fleet, gateway: func() *gateway.Gateway { return t.gateway }},
	})
	t.metrics.registerLedger(t.ledger)
}

func (t *traffic) addJobs() {
	t.jobs = job.NewService(job.Config{
		Holder: t.control.Snapshot().Self.Incarnation, Store: t.store, Now: time.Now, Log: t.b.log.For("jobs"),
		Run: func(ctx context.Context, j job.Job) string { return t.gateway.RunJob(ctx, j) },
	})
	t.metrics.registerJobs(t.jobs)
}

func (t *traffic) addGateway() {
	limits := t.b.s.Limits
	t.gateway = gateway.New(gateway.Config{
		Snapshot: t.control.Snapshot, Station: t.station, DialPeer: t.b.dialPeer,
		Limits:   gateway.Limits{MaxBodyBytes: limits.MaxBodyBytes, BufferBytes: limits.BufferBytes},
		Observer: &observer{metrics: t.metrics, meter: t.meter, snapshot: t.control.Snapshot},
		Log:      t.b.log.For("gateway"),
		Ledger:   t.ledger, Jobs: t.jobs,
		Offers: t.metrics.offers, BroadcastCrash: t.b.broadcastCrash,
	}, t.b.g)
}

// addTimers registers the periodic tasks. Tasks that may block run in goroutines of the group.
func (t *traffic) addTimers() {
	t.timers.Every("pump", t.station.DispatchPeriod(), t.station.DispatchQueued)
	t.timers.Every("trim", closeIdlePeriod, func(now time.Time) {
		t.station.CloseIdle(now)
		t.gateway.CloseIdle(now)
	})
	t.every("ledger", maintainPeriod, t.ledger.Maintain)
	t.every("ledger outcomes", ledger.FlushPeriod, t.ledger.Flush)
	t.every("jobs", job.RunPeriod, func(ctx context.Context) {
		if s := t.control.Snapshot(); s.Ready && s.WatchesStore {
			t.jobs.RunDue(ctx)
		}
	})
}

// every runs fn periodically, each time in a new goroutine of the group.
func (t *traffic) every(name string, period time.Duration, fn func(ctx context.Context)) {
	t.timers.Every(name, period, func(time.Time) {
		t.b.g.Go(name, func(ctx context.Context) error {
			fn(ctx)
			return nil
		})
	})
}
