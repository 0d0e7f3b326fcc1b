// Package entry assembles the process of an entry host.
//
// # Usage
//
//	p, err := entry.New(settings, platform, reload, os.Stdout)
//	err = p.Run(ctx) // returns after a graceful shutdown when ctx ends
package entry

// This file defines Process: its components, startup and graceful shutdown.

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/account/credit"
	"tamaracktiller.example/tamaracktiller/internal/account/quota"
	"tamaracktiller.example/tamaracktiller/internal/fleet/belief"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/packet"
	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
	"tamaracktiller.example/tamaracktiller/internal/kernel/clock"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/kernel/registry"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/process/front"
	"tamaracktiller.example/tamaracktiller/internal/process/logs"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
	"tamaracktiller.example/tamaracktiller/internal/traffic/entry"
	"tamaracktiller.example/tamaracktiller/internal/traffic/notice"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/targets"
	"tamaracktiller.example/tamaracktiller/internal/traffic/tunnel"
)

const (
	// drainNotice is the time between the first failing readiness check and the end of
	// accepting connections. The platform checks once a second and takes a host out of
	// service after two failures.
	drainNotice = 3200 * time.Millisecond
	// lastStartTime is the time from the beginning of a shutdown after which a request that may outlast
	// the host gets no first target. By then the platform has taken the host out of service, unless most
	// hosts of its domain are. A process with a short grace period uses lastStartShare of its time.
	lastStartTime  = 2800 * time.Millisecond
	lastStartShare = 0.75
	// exitMargin is the time before the end of the grace period at which the process
	// exits, even if requests are still in flight.
	exitMargin = 300 * time.Millisecond
	// finalResponseTime is the time before that for the responses to the requests that are still
	// in flight.
	finalResponseTime = 100 * time.Millisecond
	// headerTimeout bounds the time to read a request header; it exceeds the timeouts that
	// configurations set for clients.
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds the idle timeouts that configurations set for clients.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes bounds the header of a request. It exceeds what configurations allow clients; what headers take
	// counts against the budget for clients.
	maxHeaderBytes = 1 << 20
	// settingsPeriod is the interval at which the settings are read again without a signal.
	settingsPeriod = 10 * time.Second
	// dispatcherTickPeriod is the interval at which the dispatcher drops expired requests
	// and checks for unresponsive hosts.
	dispatcherTickPeriod = 100 * time.Millisecond
	// finishPollPeriod is the interval at which a host that shuts down checks for requests.
	finishPollPeriod = 10 * time.Millisecond
	// closeIdlePeriod is the interval at which idle connections to targets are closed.
	closeIdlePeriod = time.Second
)

// BurnPath is the path of the burn rate report on the metrics address.
const BurnPath = "/burn"

// Platform holds the platform-specific parts of an entry host.
type Platform struct {
	Dialect   entry.Dialect
	Decoder   directory.Decoder
	OpenStore store.OpenFunc
	// ReadyPath is the path of the readiness check of the platform's balancer.
	ReadyPath string
	// Hangups receives SIGHUP, which makes the host reload its settings; nil if the host should ask
	// for it itself.
	Hangups <-chan os.Signal
}

// Reload reads the settings again. If it returns an error, the current settings remain
// active.
type Reload func() (*settings.Entry, error)

// Process is the process of an entry host.
type Process struct {
	cfg       *settings.Entry
	platform  Platform
	store     store.Service
	log       *logs.Log
	logWriter *logs.Async
	g         *group.Group
	services  *registry.Registry
	directory *directory.Directory
	handler   *entry.Handler
	links     *targets.Links
	tunnels   *tunnel.Server
	// clientBudget is what clients may make the host hold; nil for no limit.
	clientBudget    *resource.Budget
	dispatcher      *dispatcher.Dispatcher
	quotas          *quota.Service
	crashes         *entry.CrashTracker
	packets         *packet.Conn[dispatcher.Message]
	metrics         *metrics
	clientServer    *http.Server
	clientListener  *front.StoppableListener
	clientConns     *front.Connections
	readinessServer *http.Server
	peerServer      *http.Server
	draining        chan struct{}
	// keysUnusable is set if the last readiness check failed because the view was too old to use keys.
	keysUnusable atomic.Bool
	reload       Reload
	incarnation  string
	// end is the time at which the process exits; not set before it shuts down.
	end *timer.Deadline

	// mu guards the fields below.
	mu sync.Mutex
	// current holds the settings that were read last; cfg those of the start.
	current *settings.Entry
	// stopped is the time at which the shutdown began; zero before.
	stopped time.Time
}

// New returns a process with validated settings. It logs to w.
func New(cfg *settings.Entry, platform Platform, reload Reload, w io.Writer) (*Process, error) {
	p := &Process{cfg: cfg, platform: platform, reload: reload, current: cfg, end: timer.NewDeadline(), services: registry.New(), metrics: newMetrics(), draining: make(chan struct{}), incarnation: uuid.NewString()}
	p.g = group.New(context.Background())
	// The log has its own group, so that a failure of another goroutine can be logged.
	p.logWriter = logs.NewAsync(w, group.New(context.Background()))
	var err error
	if p.log, err = logs.New(p.logWriter, cfg.LogLevel, cfg.Name); err != nil {
		return nil, err
	}
	p.metrics.registerLogs(p.logWriter)
	p.metrics.registerDirectory(func() *directory.Snapshot { return p.directory.Snapshot() }, func() time.Duration { return p.directory.Age(time.Now()) }, func() time.Duration { return p.directory.SoundAge() })
	p.store = store.NewEraGuard(platform.OpenStore(cfg.Store, p.metrics.CountStoreCall))
	timers := timer.New()
	p.services.Provide("timer", timers)
	p.addClientBudget(timers)
	limits := resource.LimitsOf(cfg.MemoryBytes, cfg.Descriptors)
	beliefs := belief.NewRegistry(p.log.For("beliefs"))
	p.directory = directory.New(directory.Config{
		Self: p.self(), FirstStart: cfg.FirstStart, Source: p.store, Decoder: platform.Decoder, Timer: timers, Log: p.log.For("directory"),
		ReregisterTimeout: cfg.Bounds.ReregisterTimeout, Beliefs: beliefs, HasAccounts: cfg.HasAccounts(), Heartbeat: cfg.Heartbeat, OnChange: p.applySnapshot, OnQueueWait: p.metrics.ObserveUpdateDelay,
	}, p.g)
	p.links = targets.NewLinks(targets.Config{
		Reader: platform.Dialect, Source: cfg.Source, Log: p.log.For("links"), OnChange: p.applyReachability,
		Limited:    func(target string) bool { return p.dispatcher.Limited(target) },
		Paused:     func(target string) bool { return p.dispatcher.Paused(target) },
		SpendProbe: func(target string) bool { return p.dispatcher.SpendProbe(target) },
		OnNotice:   func(n notice.Notice) { p.dispatcher.ObserveNotice(n) },
		Tunnels: tunnel.NewDialer(tunnel.DialerConfig{
			Self: cfg.Name, Hosts: func() map[string]directory.Host { return p.directory.Snapshot().Hosts }, Secret: func() []byte { return p.directory.Snapshot().Secret() },
			SocketBytes: limits.SocketBytes,
		}, p.g),
		SocketBytes: limits.SocketBytes,
	}, p.g)
	p.tunnels = tunnel.NewServer(tunnel.ServerConfig{
		Secrets: p.fleetSecrets, Connect: p.links.ConnectFor, Available: func() bool { return !p.links.CutOff() }, Log: p.log.For("tunnels"), OnOpen: p.metrics.CountTunnel,
		Reserve: p.clientBudget.OpenTunnel,
	}, p.g)
	p.metrics.registerReachability(p.links.CutOff)
	p.crashes = entry.NewCrashTracker(entry.CrashTrackerConfig{
		Self: cfg.Name, Hosts: func() map[string]directory.Host { return p.directory.Snapshot().Hosts },
		Send: p.sendEvidence, ConnectionRefused: p.links.RefusesConnections, Store: directory.Blocks{Store: p.store}, Log: p.log.For("crashes"),
	}, p.g)
	beliefs.Register(p.crashes)
	p.metrics.registerCrashes(p.crashes.Blocked)
	p.quotas = quota.New(quota.Config{
		Self: p.self(), Send: p.sendCredit, ViewAge: p.directory.SoundAge, SinceBoot: clock.SinceBoot, Bounds: cfg.Bounds, Observer: p.metrics, Log: p.log.For("quota"),
	})
	p.metrics.registerQuotas(p.quotas.Status)
	p.dispatcher = dispatcher.New(dispatcher.Config{
		Self: cfg.Name, Prober: p.links, Placement: placement.DefaultConfig(), ProbesPerSecond: cfg.Bounds.ProbesPerSecond,
		Send: p.send, Fresh: p.directory.Fresh, Log: p.log.For("dispatcher"), OnProbe: p.metrics.CountProbe, OnEvidence: p.crashes.HandleEvidence, OnCredit: p.quotas.Receive,
	}, p.g)
	p.metrics.registerDispatcher(p.dispatcher)
	p.handler = entry.New(entry.Config{
		Domain: cfg.Domain, FirstStart: cfg.FirstStart, Dialect: platform.Dialect, Placer: p.dispatcher, Links: p.links,
		Snapshot: p.directory.Snapshot, FirstReadEnded: p.directory.FirstReadEnded(), Fresh: p.directory.Fresh, SoundAge: p.directory.SoundAge, Bounds: cfg.Bounds, Log: p.log.For("entry"), Observer: p.metrics, CrashTracker: p.crashes, Quotas: p.quotas,
		SocketBytes: int64(limits.SocketBytes),
	}, p.g)
	p.services.Provide("directory", p.directory)
	p.addServers()
	p.addTimers(timers)
	return p, nil
}

// addTimers adds what the host does at fixed intervals.
func (p *Process) addTimers(timers *timer.Service) {
	timers.Every("trim", closeIdlePeriod, p.links.CloseIdle)
	timers.Every("wants", dispatcherTickPeriod, p.dispatcher.Tick)
	timers.Every("credit", credit.PollPeriod, p.quotas.Tick)
	timers.Every("loads", p.dispatcher.LoadPeriod(), p.dispatcher.ReportLoads)
	timers.Every("blocks", entry.BlockKeepPeriod, p.crashes.KeepBlocks)
	timers.Every("departed clients", front.DeparturePeriod, p.clientConns.CancelDeparted)
}

func (p *Process) applySnapshot(s *directory.Snapshot, restarted []string) {
	p.links.SetTargets(s, restarted)
	p.dispatcher.SetSnapshot(s, restarted)
	p.quotas.SetSnapshot(s)
	p.crashes.SetSnapshot(s)
}

// applyReachability makes other hosts dispatch while this host does not reach the targets by
// itself.
func (p *Process) applyReachability() { p.dispatcher.SetCutOff(p.links.CutOff()) }

func (p *Process) addServers() {
	errorLog := stdlog.New(p.log.For("http").WriterLevel(logrus.DebugLevel), "", 0)
	p.clientConns = front.NewConnections(p.clientBudget)
	p.clientServer = &http.Server{
		Handler: p.clientConns.Handler(p.handler, p.log.For("front")), ErrorLog: errorLog, ConnState: p.clientConns.Track, ConnContext: p.clientConns.Context,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	mux := http.NewServeMux()
	mux.HandleFunc(p.platform.ReadyPath, p.serveReadiness)
	p.readinessServer = &http.Server{Handler: mux, ErrorLog: errorLog, ReadHeaderTimeout: headerTimeout}
}

// self returns the entry of this host.
func (p *Process) self() directory.Host {
	return directory.Host{Name: p.cfg.Name, Domain: p.cfg.Domain, PeerAddress: p.cfg.Peers, Incarnation: p.incarnation, Cores: p.cfg.Cores}
}

// serveReadiness responds to readiness checks: a host is ready when it has a configuration, can use
// the keys of accounts if some route needs one, and is not draining.
func (p *Process) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-p.draining:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
	}
	if p.directory.Snapshot().Table == nil || !p.checksKeys() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// checksKeys reports whether this host can admit requests that need a key, and logs when that changes.
func (p *Process) checksKeys() bool {
	ok := p.handler.CanCheckKeys()
	if p.keysUnusable.Swap(!ok) == !ok {
		return ok
	}
	log := p.log.For("process").WithField("view-age-ms", p.directory.SoundAge().Milliseconds())
	if ok {
		log.Info("the view is recent enough again to use keys of accounts")
	} else {
		log.Warn("not ready: the view is too old to use keys of accounts")
	}
	return ok
}

// Run starts the process and serves until ctx ends. It then shuts down gracefully: the
// readiness check fails, the host keeps serving until the platform has noticed, and
// requests in flight may finish within the grace period.
func (p *Process) Run(ctx context.Context) error {
	log := p.log.For("process")
	if err := p.services.Start(ctx); err != nil {
		return err
	}
	registration := &directory.Registration{
		Self: p.self(), Store: p.store, State: p.directory.RegistrationState, HostsChanged: p.directory.HostsChanged, Log: p.log.For("directory"),
	}
	p.g.Go("registration", registration.Run)
	checkpoints := &directory.Checkpoints{Store: p.store, Due: p.directory.CheckpointDue, Log: p.log.For("directory")}
	p.g.Go("checkpoints", checkpoints.Run)
	if err := p.servePeers(ctx); err != nil {
		return err
	}
	p.quotas.Start()
	if err := p.serveClients(ctx); err != nil {
		return err
	}
	if err := p.serve(ctx, p.cfg.Observe, p.readinessServer); err != nil {
		return err
	}
	if err := p.serve(ctx, p.cfg.Metrics, p.metricsServer()); err != nil {
		return err
	}
	log.WithFields(logrus.Fields{"callers": p.cfg.Callers.String(), "domain": p.cfg.Domain, "incarnation": p.incarnation, "client-accounts": p.cfg.HasAccounts()}).Info("started")
	p.g.Go("reload", func(ctx context.Context) error {
		p.watchSettings(ctx, log)
		return nil
	})
	select {
	case <-ctx.Done():
	case <-p.g.Context().Done():
		// Without its goroutines the host would serve with a view that never changes.
		err := context.Cause(p.g.Context())
		log.WithError(err).Error("a goroutine of the host has failed")
		p.logWriter.Flush()
		return errors.Wrap(err, "entry")
	}
	p.shutdown(log)
	return nil
}

// watchSettings reloads the settings on SIGHUP and periodically, since they may change
// without a signal.
func (p *Process) watchSettings(ctx context.Context, log *logrus.Entry) {
	hangups := p.platform.Hangups
	if hangups == nil {
		own := make(chan os.Signal, 1)
		signal.Notify(own, syscall.SIGHUP)
		defer signal.Stop(own)
		hangups = own
	}
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	for {
		reason := "period"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			reason = "signal"
		case <-ticker.C:
		}
		p.applySettings(log.WithField("reason", reason))
	}
}

// applySettings applies changed bounds. Addresses and names don't change while the process
// runs.
func (p *Process) applySettings(log *logrus.Entry) {
	next, err := p.reload()
	if err != nil {
		log.WithError(err).Warn("settings cannot be read; the ones in force stay")
		return
	}
	p.mu.Lock()
	changes := settings.Compare(p.current, next)
	p.current = next
	p.mu.Unlock()
	if len(changes) == 0 {
		log.Debug("settings are unchanged")
		return
	}
	p.handler.SetBounds(next.Bounds)
	p.dispatcher.SetProbeRate(next.Bounds.ProbesPerSecond)
	p.limitShutdown(log)
	log = log.WithFields(logrus.Fields{"in-force": settings.Names(changes, settings.Immediate), "unused": settings.Names(changes, settings.Unused)})
	if names := settings.Names(changes, settings.AfterRestart); len(names) > 0 {
		log.WithField("after-restart", names).Warn("settings are reloaded; some need a restart")
		return
	}
	log.Info("settings are reloaded")
}

// beginShutdown fixes the time at which the process exits.
func (p *Process) beginShutdown(now time.Time, log *logrus.Entry) {
	p.mu.Lock()
	p.stopped = now
	p.mu.Unlock()
	p.limitShutdown(log)
}

// limitShutdown makes a process that shuts down exit within the grace period. One that becomes
// shorter meanwhile brings its end forward; a longer one does not delay it, since the platform may
// keep to the one of the beginning.
func (p *Process) limitShutdown(log *logrus.Entry) {
	p.mu.Lock()
	stopped, grace := p.stopped, p.current.Bounds.Grace
	p.mu.Unlock()
	if stopped.IsZero() {
		return
	}
	at := stopped.Add(grace - exitMargin)
	if earliest := time.Now().Add(finalResponseTime); at.Before(earliest) {
		at = earliest
	}
	p.handler.Drain(lastStart(stopped, at), at.Add(-finalResponseTime))
	if p.end.BringForward(at) {
		log.WithFields(logrus.Fields{"grace-ms": grace.Milliseconds(), "left-ms": time.Until(at).Milliseconds()}).Info("end of the process is fixed")
	}
}

// lastStart returns the time until which a process that shuts down from begun to end sends requests
// that may outlast it to their first targets.
func lastStart(begun, end time.Time) time.Time {
	return begun.Add(min(lastStartTime, time.Duration(lastStartShare*float64(end.Sub(begun)))))
}

func (p *Process) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(p.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc(BurnPath, p.metrics.serveBurn(p.cfg.Name))
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// fleetSecrets returns the secrets that authenticate messages between hosts.
func (p *Process) fleetSecrets() [][]byte { return p.directory.Snapshot().Secrets }

func (p *Process) servePeers(ctx context.Context) error {
	var err error
	if p.packets, err = packet.Listen[dispatcher.Message](ctx, p.cfg.Peers, p.fleetSecrets); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(directory.ChangesPath, p.directory)
	mux.Handle(tunnel.Path, p.tunnels)
	p.peerServer = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	if err := p.serve(ctx, p.cfg.Peers, p.peerServer); err != nil {
		return err
	}
	p.g.Go("packets", func(ctx context.Context) error {
		return p.packets.Run(ctx, p.dispatcher.Receive, func(err error) {
			p.log.For("process").WithError(err).Warn("failed to read a message of another host")
		})
	})
	return nil
}

func (p *Process) send(to netip.AddrPort, m dispatcher.Message) error { return p.packets.Send(to, m) }

func (p *Process) sendCredit(to netip.AddrPort, m credit.Message) error {
	return p.send(to, dispatcher.CreditMessage(m))
}

// sendEvidence sends crash evidence to other hosts. If the message is lost, one more
// target crashes before the request is blocked.
func (p *Process) sendEvidence(to []netip.AddrPort, e crash.Evidence) {
	if err := p.packets.SendAll(to, dispatcher.EvidenceMessage(e)); err != nil {
		p.log.For("crashes").WithError(err).WithField("hosts", len(to)).Warn("failed to send crash evidence")
	}
}

// serveClients serves clients and closes connections that carry ambiguous requests.
func (p *Process) serveClients(ctx context.Context) error {
	l, err := p.listen(ctx, p.cfg.Callers)
	if err != nil {
		return err
	}
	log := p.log.For("front")
	p.clientListener = front.NewStoppableListener(l)
	p.serveOn(p.clientConns.Listen(front.NewStrictListener(front.NewLingeringListener(p.clientListener, p.g), func(caller netip.AddrPort, reason error) {
		log.WithError(reason).WithField("caller", caller.String()).Info("connection is closed for an ambiguous request")
	})), p.clientServer)
	return nil
}

func (p *Process) serve(ctx context.Context, address netip.AddrPort, server *http.Server) error {
	l, err := p.listen(ctx, address)
	if err != nil {
		return err
	}
	p.serveOn(l, server)
	return nil
}

func (p *Process) serveOn(l net.Listener, server *http.Server) {
	p.g.Go("serve "+l.Addr().String(), func(context.Context) error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
}

// finishRequests stops accepting connections, and closes the open ones when they carry no request, until
// none is left or ctx is done. Responses of a host that shuts down close their connections.
func (p *Process) finishRequests(ctx context.Context, log *logrus.Entry) {
	if err := p.clientListener.Stop(); err != nil {
		log.WithError(err).Warn("listener for clients cannot be closed")
	}
	log.WithFields(p.connectionFields()).Info("no more connections of clients are accepted")
	for open := 1; open > 0 && ctx.Err() == nil; {
		// The connection that was accepted last may not be tracked yet.
		timer.Sleep(ctx, finishPollPeriod)
		open = p.clientConns.CloseIdle(time.Now())
	}
}

func (p *Process) connectionFields() logrus.Fields {
	unused, active := p.clientConns.Count()
	return logrus.Fields{"connections-unused": unused, "connections-active": active, "open": p.handler.InFlight()}
}

func (p *Process) shutdown(log *logrus.Entry) {
	started := time.Now()
	log.WithField("open", p.handler.InFlight()).Info("closing down")
	close(p.draining)
	p.beginShutdown(started, log)
	p.dispatcher.Drain()
	p.quotas.Resign()
	p.tunnels.Refuse()
	drainCtx := p.end.Context()
	deadline, _ := p.end.At()
	timer.Sleep(drainCtx, min(drainNotice, time.Until(deadline)/2))
	p.dispatcher.HandOver()
	p.finishRequests(drainCtx, log)
	if err := p.clientServer.Shutdown(drainCtx); err != nil {
		log.WithError(err).WithFields(p.connectionFields()).Warn("connections of clients are still open at the end of the grace period")
	}
	if open := p.tunnels.Drain(drainCtx); open > 0 {
		log.WithField("open", open).Warn("tunnels of other hosts are still open at the end of the grace period")
	}
	log.WithField("ms", time.Since(started).Milliseconds()).Info("closed down")
	p.logWriter.Flush()
}
