// Package targets holds the connections of a host to targets, and probes the health and
// load of targets. A host that has lost its own links to the targets, but not to the other
// hosts, opens its connections through these (package tunnel) until it is back.
//
// # Usage
//
//	links := targets.NewLinks(targets.Config{Reader: reader, Tunnels: dialer, Log: log}, group)
//	links.SetTargets(snapshot, restarted)
//	l, ok := links.Find(id)
//	report, err := links.Probe(ctx, id, healthPath)
package targets

// This file defines Links.

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/notice"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
	"tamaracktiller.example/tamaracktiller/internal/traffic/reachability"
	"tamaracktiller.example/tamaracktiller/internal/traffic/relay"
)

const (
	// dialTimeout limits the time to connect to a target. Connecting takes a few
	// milliseconds; a lost SYN packet is retransmitted only after a second.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is the idle time after which a connection is closed. It is below that of
	// targets, which keep idle connections for ten seconds or more.
	idleTimeout = 8 * time.Second
	// maxNonIdempotentIdle is the idle time up to which a connection is reused for a
	// non-idempotent request.
	maxNonIdempotentIdle = 500 * time.Millisecond
	// probeTimeout limits the duration of a probe, and refreshTimeout that of one which delays
	// a request.
	probeTimeout   = 150 * time.Millisecond
	refreshTimeout = 25 * time.Millisecond
	// connectionShare is the fraction of the connection limit of a target that all hosts
	// together may use.
	connectionShare = 0.8
	// minConnections is the number of connections to a target that a host may always open.
	minConnections = 4
	// maxProbeResponseBytes limits the body of a probe response.
	maxProbeResponseBytes = 4 << 10
)

// Errors of Probe.
var (
	// ErrGone reports that the target is unknown or no longer at its address.
	ErrGone = errors.New("targets: target is gone")
	// ErrPaused reports that the target wants no requests of this host for some time.
	ErrPaused = errors.New("targets: target wants no requests of this host for some time")
	// ErrEvacuated reports that the failure domain of the target is evacuated.
	ErrEvacuated = errors.New("targets: failure domain of the target is evacuated")
	// ErrUnresponsive reports that the target did not respond to a probe.
	ErrUnresponsive = errors.New("targets: target did not respond")
)

// ResponseInfo is the information in a response header of a target.
type ResponseInfo struct {
	// NotRun is set if the target did not run the request and never will.
	NotRun bool
	// Misdirected is set if another target has the address.
	Misdirected bool
	// Signed is set if the response carries the signature header of a target.
	Signed bool
	// Encoded is set if the body has a content encoding; the body then is not as the target
	// sent it.
	Encoded bool
	// TargetID is the id of the target that responded, or "" if the header does not say.
	TargetID  string
	Load      placement.Load
	LoadKnown bool
	// Limit is the rate limit that the target reports.
	Limit ratelimit.Report
	// Leaving is set if the target says that it leaves.
	Leaving bool
	// Pause is the time for which the target wants no requests of this host; zero if it does
	// not say.
	Pause time.Duration
	// Cold is what the target says about the time for which it stays cold.
	Cold ratelimit.Cold
}

// Reader reads the response headers of targets.
type Reader interface {
	// MatchesRequest reports whether a response header belongs to the request with the id.
	MatchesRequest(h http.Header, id string) bool
	// ReadHeader returns the information in a response header.
	ReadHeader(res *http.Response) ResponseInfo
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Healthy bool
	// Full is set if the target rejected the probe for lack of capacity.
	Full      bool
	Load      placement.Load
	LoadKnown bool
	// Limit is the rate limit that the target reports.
	Limit ratelimit.Report
	// Cold is what the target says about the time for which it stays cold.
	Cold ratelimit.Cold
}

// Link holds the connections to one target.
type Link struct {
	Target roster.Target
	Pool   *relay.Pool
}

// Links holds the connections to all targets. It is safe for concurrent use.
type Links struct {
	cfg Config
	g   *group.Group

	mu    sync.Mutex
	links map[string]*Link
	// healthPaths holds the health check paths by service.
	healthPaths map[string]string
	// evacuated holds the targets whose failure domain is evacuated; nil if there are none.
	evacuated map[string]bool

	// reachMu guards the fields below.
	reachMu sync.Mutex
	monitor *reachability.Monitor
	// changed is closed and replaced when the verdict of monitor changes. checking is closed
	// at the end of the check in progress; nil while there is none.
	changed  chan struct{}
	checking chan struct{}
}

// Config holds the settings and dependencies of Links.
type Config struct {
	Reader Reader
	// Source is the local address of connections to targets; the zero value leaves the choice
	// to the system.
	Source netip.Addr
	// Tunnels opens connections through other hosts while this one reaches no target. If it
	// is nil, connections are always direct.
	Tunnels Tunnels
	// Limited reports whether a target names a rate limit; nil means that none does.
	Limited func(target string) bool
	Log     *logrus.Entry
	// Paused reports whether a target wants no requests of this host now; nil means that none
	// does.
	Paused func(target string) bool
	// OnNotice is called with what a target says of itself in a response. It may be nil.
	OnNotice func(n notice.Notice)
	// SpendProbe reports whether a target may be probed for a request, and takes the probe from
	// the budget; nil means that none may.
	SpendProbe func(target string) bool
	// OnChange is called when the result of CutOff has changed. It may be nil.
	OnChange func()
	// SocketBytes is the size of each buffer of a connection to a target; 0 leaves it to the system.
	SocketBytes int
}

// NewLinks returns Links without targets. Goroutines of g send the request bodies.
func NewLinks(cfg Config, g *group.Group) *Links {
	return &Links{cfg: cfg, g: g, links: map[string]*Link{}, healthPaths: map[string]string{}, monitor: reachability.NewMonitor(), changed: make(chan struct{})}
}

// SetTargets applies the targets of a snapshot. It closes the connections to removed
// targets and to those in restarted, which restarted under the same id.
func (l *Links) SetTargets(s *directory.Snapshot, restarted []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setEvacuated(s)
	for _, id := range restarted {
		l.remove(id)
	}
	if s.Table != nil {
		for name, service := range s.Table.Config.Services {
			l.healthPaths[name] = service.HealthPath
		}
	}
	seen := map[string]bool{}
	for _, list := range s.Targets {
		for _, t := range list {
			seen[t.ID] = true
			l.update(s, t.Target)
		}
	}
	for id := range l.links {
		if !seen[id] {
			l.remove(id)
		}
	}
}

func (l *Links) update(s *directory.Snapshot, t roster.Target) {
	limit := minConnections
	if s.Table != nil {
		limit = max(limit, int(connectionShare*float64(s.Table.Config.Services[t.Service].MaxConnections))/max(1, s.MaxHosts))
	}
	if old := l.links[t.ID]; old != nil && old.Target.Address == t.Address {
		old.Pool.SetMaxConnections(limit)
		return
	}
	l.remove(t.ID)
	link := &Link{Target: t}
	link.Pool = relay.NewPool(t.Address, relay.Config{
		MaxConnections: limit, DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxNonIdempotentIdle: maxNonIdempotentIdle,
		Dial: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) { return l.connect(ctx, link) }, MayReuse: l.mayReuse,
	}, l.g)
	l.links[t.ID] = link
}

func (l *Links) remove(id string) {
	if old := l.links[id]; old != nil {
		old.Pool.Close()
		delete(l.links, id)
	}
}

// Find returns the link to a target.
func (l *Links) Find(id string) (*Link, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	link, ok := l.links[id]
	return link, ok
}

// ObserveNotice passes on what the target that responded over a link says of itself. That is
// another one if its address has changed hands. through is the host through which the request was
// sent; empty for directly.
func (l *Links) ObserveNotice(link *Link, info ResponseInfo, through string) {
	if l.cfg.OnNotice == nil || !info.Leaving && info.Pause <= 0 {
		return
	}
	if info.TargetID != "" && info.TargetID != link.Target.ID {
		link, _ = l.Find(info.TargetID)
	} else if info.Misdirected {
		link = nil
	}
	if link != nil {
		l.cfg.OnNotice(notice.Notice{Incarnation: notice.NewIncarnation(link.Target.ID, link.Target.Started), Leaving: info.Leaving, Pause: info.Pause, Through: through})
	}
}

// CloseIdle closes connections that exceed the idle timeout.
func (l *Links) CloseIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.links {
		link.Pool.CloseIdle(now)
	}
}

// RefusesConnections reports whether a target refuses connections, that is, whether its
// process has ended while its machine still responds. If another host reaches the target, the
// links of this host are at fault.
func (l *Links) RefusesConnections(ctx context.Context, id string) bool {
	link, ok := l.Find(id)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.connectDirectly(ctx, link)
	if err == nil {
		_ = conn.Close()
	}
	if !errors.Is(err, syscall.ECONNREFUSED) || l.cfg.Tunnels == nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn, err = l.tunnel(ctx, link)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// Probe requests the health and load of a target. Errors: ErrGone, ErrUnresponsive.
func (l *Links) Probe(ctx context.Context, id, healthPath string) (ProbeResult, error) {
	started := time.Now()
	result, err := l.probe(ctx, id, healthPath, relay.Options{Idempotent: true})
	if errors.Is(err, ErrUnresponsive) && !l.HeardSince(started) {
		l.Suspect(id, "a load probe failed")
	}
	return result, err
}

// Refresh probes a target over an idle connection, if there is only one that was idle for too long
// to carry a request which is not idempotent. If the target responds, the next such request takes
// that connection. Opening one takes as long, and costs the target more.
func (l *Links) Refresh(ctx context.Context, link *Link) {
	if !link.Pool.NeedsRefresh() || l.CutOff() || l.cfg.SpendProbe == nil || !l.cfg.SpendProbe(link.Target.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if _, err := l.probe(ctx, link.Target.ID, l.healthPath(link.Target.Service), relay.Options{Idempotent: true, IdleOnly: true}); err != nil {
		l.cfg.Log.WithError(err).WithField("target", link.Target.ID).Debug("idle connection is not used for a request that is not idempotent")
	}
}

func (l *Links) probe(ctx context.Context, id, healthPath string, o relay.Options) (ProbeResult, error) {
	link, ok := l.Find(id)
	if !ok {
		return ProbeResult{}, errors.Wrap(ErrGone, id)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+link.Target.Address.String()+healthPath, nil)
	if err != nil {
		return ProbeResult{}, errors.Wrapf(ErrUnresponsive, "%s: %v", id, err)
	}
	// An empty value keeps Request.Write from adding a default.
	req.Header.Set("User-Agent", "")
	through := ""
	o.Connected = func(nc net.Conn) { through = ReachedThrough(nc) }
	o.MatchesRequest = func(header http.Header) bool { return l.cfg.Reader.MatchesRequest(header, "") }
	o.MaySend = func() error { return l.MaySend(id) }
	res, err := link.Pool.RoundTrip(ctx, req, o)
	if err != nil {
		return ProbeResult{}, errors.Wrapf(ErrUnresponsive, "%s: %v", id, err)
	}
	defer res.Body.Close()
	if _, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxProbeResponseBytes)); err != nil {
		return ProbeResult{}, errors.Wrapf(ErrUnresponsive, "%s: %v", id, err)
	}
	info := l.cfg.Reader.ReadHeader(res)
	l.ObserveNotice(link, info, through)
	if info.TargetID != "" && info.TargetID != id {
		return ProbeResult{}, errors.Wrapf(ErrGone, "%s: %s responded at its address", id, info.TargetID)
	}
	if info.NotRun && info.Limit.Kind == ratelimit.Unlimited {
		info.Limit = ratelimit.Report{}
	}
	return ProbeResult{Healthy: res.StatusCode == http.StatusOK, Full: info.NotRun && !info.LoadKnown, Load: info.Load, LoadKnown: info.LoadKnown, Limit: info.Limit, Cold: info.Cold}, nil
}
