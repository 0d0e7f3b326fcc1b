// Package balancer assembles and runs a balancer process.
//
// Its components are services in a registry: they find each other by name, start in the
// order of their registration and stop in reverse order.
//
// # Usage
//
//	b, err := balancer.New(settings, openStore, log)
//	err = b.Run(ctx) // shuts down gracefully when ctx is canceled
package balancer

// This file defines Balancer: its components, startup and shutdown.

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/confirmation"
	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/fleet/link"
	"tamaracktiller.example/tamaracktiller/internal/fleet/member"
	"tamaracktiller.example/tamaracktiller/internal/fleet/message"
	"tamaracktiller.example/tamaracktiller/internal/kernel/dial"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/kernel/registry"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/process/logs"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/internal/report/burn"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
	"tamaracktiller.example/tamaracktiller/internal/traffic/gateway"
	"tamaracktiller.example/tamaracktiller/internal/traffic/station"
)

const (
	// ackTimeout closes a connection whose sent bytes are not acknowledged.
	ackTimeout = 2 * time.Second
	// drainNotice is the time between the announcement that the host is draining and the
	// first refused connection.
	drainNotice = 1500 * time.Millisecond
	// closeIdlePeriod is the interval at which idle connections are closed.
	closeIdlePeriod = 5 * time.Second
)

// Names of the services in the registry.
const (
	serviceMetrics    = "metrics"
	serviceTimer      = "timer"
	serviceStore      = "store"
	serviceController = "controller"
	serviceLinks      = "links"
	serviceStation    = "station"
	serviceGateway    = "gateway"
	serviceBurn       = "burn"
	serviceLedger     = "ledger"
	serviceJobs       = "jobs"
)

// Balancer is one balancer process.
type Balancer struct {
	s        *settings.Settings
	log      *logs.Log
	services *registry.Registry
	g        *group.Group

	serverTLS *tls.Config
	clientTLS *tls.Config
	// openStore opens a client of the platform's store.
	openStore store.OpenFunc
}

// New returns a balancer with the given settings, which must be valid.
func New(s *settings.Settings, openStore store.OpenFunc, log *logs.Log) (*Balancer, error) {
	serverTLS, clientTLS, err := s.PeerTLS.Load()
	if err != nil {
		return nil, err
	}
	b := &Balancer{s: s, log: log, services: registry.New(), serverTLS: serverTLS, clientTLS: clientTLS, openStore: openStore}
	b.g = group.New(context.Background())
	steps := []func() error{b.addPlatform, b.addFleet, b.addTraffic, b.addServers}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (b *Balancer) addPlatform() error {
	m := newMetrics()
	b.services.Provide(serviceMetrics, m)
	b.services.Provide(serviceTimer, timer.New())
	b.services.Provide(serviceStore, store.NewKVStore(b.openStore(b.s.StoreAddress(), func(operation string) {
		m.storeCalls.WithLabelValues(operation).Inc()
	})))
	b.services.Provide(serviceBurn, burn.NewMeter())
	return nil
}

// addFleet adds the fleet controller and the links to other balancers. The controller's
// snapshots update the station's pools.
func (b *Balancer) addFleet() error {
	m, err := registry.Find[*metrics](b.services, serviceMetrics)
	if err != nil {
		return err
	}
	timers, err := registry.Find[*timer.Service](b.services, serviceTimer)
	if err != nil {
		return err
	}
	kv, err := registry.Find[*store.KVStore](b.services, serviceStore)
	if err != nil {
		return err
	}
	self := member.Host{Name: b.s.Name, Incarnation: uuid.NewString(), Domain: b.s.Domain, PeerAddress: b.s.Listen.Peers}
	cfg := controller.Config{
		Self: self, Member: member.DefaultConfig(), Store: kv, Lister: kv, Timer: timers,
		Log: b.log.For("control"), OnChange: b.applySnapshot, OnTargetCrash: b.mergeCrash,
	}
	c := controller.New(cfg, b.g)
	links := link.NewService(link.Config{Self: b.s.Name, TLS: b.clientTLS, Log: b.log.For("links"), Bytes: m.linkBytes, Messages: m.linkMessages}, b.g, c)
	c.UseLinks(links)
	b.services.Provide(serviceLinks, links)
	b.services.Provide(serviceController, c)
	return nil
}

// applySnapshot updates the station and the metrics. It runs on the controller's goroutine.
func (b *Balancer) applySnapshot(s *controller.Snapshot) {
	st, err := registry.Find[*station.Station](b.services, serviceStation)
	if err != nil {
		return
	}
	st.SetPools(time.Now(), s.Catalog, s.DrainingTargets)
	if m, err := registry.Find[*metrics](b.services, serviceMetrics); err == nil {
		m.revision.Set(float64(s.Head.Revision))
	}
}

// mergeCrash passes the crash of a target, reported by another host, to the gateway.
func (b *Balancer) mergeCrash(c crash.Crash) {
	if gw, err := registry.Find[*gateway.Gateway](b.services, serviceGateway); err == nil {
		gw.MergeCrash(c)
	}
}

// broadcastCrash reports the crash of a target to all linked hosts.
func (b *Balancer) broadcastCrash(c crash.Crash) {
	links, err := registry.Find[*link.Service](b.services, serviceLinks)
	if err != nil {
		return
	}
	for _, host := range links.Hosts() {
		_ = links.Send(host, &message.Envelope{TargetCrash: &c})
	}
}

// dialPeer opens a connection to another balancer.
func (b *Balancer) dialPeer(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := tls.Dialer{NetDialer: &net.Dialer{Control: dial.UserTimeout(ackTimeout)}, Config: b.clientTLS}
	return d.DialContext(ctx, "tcp", address.String())
}

// Run starts the balancer and serves until ctx is canceled. It then announces the shutdown to
// the fleet, waits for requests in flight and stops the components.
func (b *Balancer) Run(ctx context.Context) error {
	if err := b.services.Start(ctx); err != nil {
		return err
	}
	log := b.log.For("process")
	log.WithField("callers", b.s.Listen.Callers.String()).Info("balancer started")
	<-ctx.Done()
	log.Info("closing down")
	c, err := registry.Find[*controller.Controller](b.services, serviceController)
	if err != nil {
		return err
	}
	c.Drain()
	time.Sleep(drainNotice)
	drain, cancel := context.WithTimeout(context.Background(), b.s.Limits.DrainTimeout.Std())
	defer cancel()
	err = b.services.Stop(drain)
	if groupErr := b.g.Stop(); err == nil {
		err = groupErr
	}
	log.Info("closed down")
	return err
}

// confirmations returns the confirmation service. It reads documents from the controller's
// snapshot if they are there.
func (b *Balancer) confirmations(c *controller.Controller, s store.Store) *confirmation.Service {
	document := func(key string) ([]byte, bool) {
		content, ok := c.Snapshot().Documents[key]
		return content, ok
	}
	return confirmation.New(s, document, time.Now, uuid.NewString)
}

// httpService is an HTTP server on one address, as a service in the registry.
type httpService struct {
	address netip.AddrPort
	server  *http.Server
	g       *group.Group
	wrap    func(net.Listener) net.Listener
}

// Start implements registry.Starter.
func (h *httpService) Start(ctx context.Context) error {
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", h.address.String())
	if err != nil {
		return errors.Wrap(err, "balancer")
	}
	if h.wrap != nil {
		l = h.wrap(l)
	}
	h.g.Go("serve "+h.address.String(), func(context.Context) error {
		err := h.server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	return nil
}

// Stop implements registry.Stopper. It waits for requests in flight until ctx is done, then
// closes their connections.
func (h *httpService) Stop(ctx context.Context) error {
	err := h.server.Shutdown(ctx)
	if err != nil {
		_ = h.server.Close()
	}
	return err
}
