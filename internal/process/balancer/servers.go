package balancer

// This file defines the four HTTP servers of a balancer: for callers, peers, operators and
// monitoring.

import (
	"crypto/tls"
	"encoding/json"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/fleet/link"
	"tamaracktiller.example/tamaracktiller/internal/kernel/registry"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/process/front"
	"tamaracktiller.example/tamaracktiller/internal/process/operator"
	"tamaracktiller.example/tamaracktiller/internal/report/burn"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/gateway"
	"tamaracktiller.example/tamaracktiller/internal/traffic/job"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ledger"
)

const (
	// peerIdleTimeout is longer than the idle timeout of the client side, so that the client
	// closes idle connections first.
	peerIdleTimeout = 2 * time.Minute
	// internalHeaderTimeout limits the time to read a request header on every server except
	// that for callers.
	internalHeaderTimeout = 5 * time.Second
)

// addServers adds the HTTP servers. It runs last so that they start last and stop first.
func (b *Balancer) addServers() error {
	c, err := registry.Find[*controller.Controller](b.services, serviceController)
	if err != nil {
		return err
	}
	links, err := registry.Find[*link.Service](b.services, serviceLinks)
	if err != nil {
		return err
	}
	gw, err := registry.Find[*gateway.Gateway](b.services, serviceGateway)
	if err != nil {
		return err
	}
	meter, err := registry.Find[*burn.Meter](b.services, serviceBurn)
	if err != nil {
		return err
	}
	kv, err := registry.Find[*store.KVStore](b.services, serviceStore)
	if err != nil {
		return err
	}
	m, err := registry.Find[*metrics](b.services, serviceMetrics)
	if err != nil {
		return err
	}
	b.services.Provide("observe", b.observeServer(c, m))
	ledgerService, err := registry.Find[*ledger.Service](b.services, serviceLedger)
	if err != nil {
		return err
	}
	jobs, err := registry.Find[*job.Service](b.services, serviceJobs)
	if err != nil {
		return err
	}
	b.services.Provide("peers", b.peerServer(c, links, gw, meter, ledgerService, jobs))
	operators := operator.NewServer(operator.Config{
		Operators: b.s.Operators, Confirmations: b.confirmations(c, kv), Snapshot: c.Snapshot,
		Peers: operator.NewPeers(c.Snapshot, meter, jobs, b.clientTLS), Log: b.log.For("operators"),
	})
	b.services.Provide("operators", b.operatorServer(operators))
	callers, err := b.callerServer(gw)
	if err != nil {
		return err
	}
	b.services.Provide("callers", callers)
	return nil
}

// discardLog discards the error log of net/http, which reports aborted connections.
var discardLog = stdlog.New(io.Discard, "", 0)

func (b *Balancer) observeServer(c *controller.Controller, m *metrics) *httpService {
	r := chi.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		s := c.Snapshot()
		if !s.Ready {
			http.Error(w, s.NotReadyReason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	r.Get("/debug/pprof/profile", pprof.Profile)
	r.Get("/debug/pprof/*", pprof.Index)
	return &httpService{address: b.s.Listen.Observe, g: b.g, server: &http.Server{Handler: r, ReadHeaderTimeout: internalHeaderTimeout, ErrorLog: discardLog}}
}

// peerServer returns the server for links, forwarded calls and requests of other balancers.
func (b *Balancer) peerServer(c *controller.Controller, links *link.Service, gw *gateway.Gateway, meter *burn.Meter, ledgerService *ledger.Service, jobs *job.Service) *httpService {
	r := chi.NewRouter()
	r.Handle(link.Path, links)
	r.Post(ledgerPath, serveLedger(ledgerService))
	r.Post(gateway.OfferPath, gw.ServeOffer)
	r.Get(operator.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(operator.StatusOf(c.Snapshot()))
	})
	r.Get(operator.ReportPath, func(w http.ResponseWriter, _ *http.Request) {
		s := c.Snapshot()
		report := meter.Report(time.Now(), s.Self.Name, operator.Objectives(s.Catalog))
		report.Jobs = jobs.Backlog()
		_ = json.NewEncoder(w).Encode(report)
	})
	hopHandler := gw.PeerHandler()
	handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get(call.HeaderHop) != "" {
			hopHandler.ServeHTTP(w, req)
			return
		}
		r.ServeHTTP(w, req)
	})
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: internalHeaderTimeout, IdleTimeout: peerIdleTimeout,
		MaxHeaderBytes: peerHeaderBytes, ErrorLog: discardLog,
	}
	return &httpService{address: b.s.Listen.Peers, g: b.g, server: server, wrap: func(l net.Listener) net.Listener {
		return tls.NewListener(l, b.serverTLS)
	}}
}

// peerHeaderBytes limits the header of a call from another balancer, which consists of the
// caller's header and the fields that balancers add.
const peerHeaderBytes = 128 << 10

func (b *Balancer) operatorServer(s *operator.Server) *httpService {
	cfg := b.serverTLS.Clone()
	cfg.ClientAuth = tls.NoClientCert
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: internalHeaderTimeout, ReadTimeout: peerIdleTimeout, ErrorLog: discardLog}
	return &httpService{address: b.s.Listen.Operators, g: b.g, server: server, wrap: func(l net.Listener) net.Listener {
		return tls.NewListener(l, cfg)
	}}
}

func (b *Balancer) callerServer(gw *gateway.Gateway) (*httpService, error) {
	timers, err := registry.Find[*timer.Service](b.services, serviceTimer)
	if err != nil {
		return nil, err
	}
	var cfg *tls.Config
	if b.s.CallerTLS != nil {
		if cfg, err = b.s.CallerTLS.Load(); err != nil {
			return nil, err
		}
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	conns := front.NewConnections(nil)
	timers.Every("departed callers", front.DeparturePeriod, conns.CancelDeparted)
	server := &http.Server{
		Handler: conns.Handler(gw, b.log.For("front")), Protocols: protocols, ConnState: conns.Track, ConnContext: conns.Context,
		ReadHeaderTimeout: b.s.Limits.HeaderTimeout.Std(), IdleTimeout: b.s.Limits.IdleTimeout.Std(),
		MaxHeaderBytes: b.s.Limits.MaxHeaderBytes, ErrorLog: discardLog,
	}
	return &httpService{address: b.s.Listen.Callers, g: b.g, server: server, wrap: func(l net.Listener) net.Listener {
		return conns.Listen(front.NewListener(l, front.Config{TLS: cfg, MaxConnections: b.s.Limits.MaxConnections}, b.g))
	}}, nil
}
