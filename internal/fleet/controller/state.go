package controller

// This file defines state, the state machine of the control plane. It does no I/O: the
// effects of an event are returned as actions.

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/fleet/member"
	"tamaracktiller.example/tamaracktiller/internal/fleet/message"
	"tamaracktiller.example/tamaracktiller/internal/fleet/revision"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

const (
	// watchersPerDomain is the number of hosts per failure domain that watch the store.
	watchersPerDomain = 2
	// observedDrainTTL is how long a target gets no new work after it rejected a request
	// because it is draining. A further rejection restarts the period.
	observedDrainTTL = 30 * time.Second
	// roleBalancer is the role of balancers in the platform's host list.
	roleBalancer = "balancer"
	// maxMissedPeriods is the number of the peer's heartbeat periods without a heartbeat
	// after which a link is closed: a middlebox may have dropped the connection's state
	// without an error at either end.
	maxMissedPeriods = 6
	// peerSyncTime is how long a host waits for newer information from its peers: after it
	// starts while the store does not respond, and after a pause of the process.
	peerSyncTime = 1500 * time.Millisecond
)

// Log field names.
const (
	fieldHost     = "host"
	fieldTarget   = "target"
	fieldRevision = "revision"
	fieldError    = "error"
)

// actions are the effects of an event, which the Controller carries out.
type actions struct {
	connect []member.Host
	close   []string
	send    []outgoing
	logs    []logLine
	// changed requests a new snapshot.
	changed bool
	// viewStale requests that the fleet view be recomputed.
	viewStale bool
}

type outgoing struct {
	to string
	e  *message.Envelope
}

type logLine struct {
	text   string
	fields map[string]any
}

func (a *actions) log(text string, fields map[string]any) {
	a.logs = append(a.logs, logLine{text: text, fields: fields})
}

// state is the control state of one host. It is not safe for concurrent use.
type state struct {
	table  *member.Table
	holder *revision.Holder
	links  map[string]*linkState
	ticks  uint64
	// lastHeartbeatSent is the time at which heartbeats were last sent to all links.
	lastHeartbeatSent time.Time
	marks             *drainMarks
	activeSince       time.Time
	draining          bool
	view              *member.View
	viewDigest        uint64
	firstLinkUp       time.Time
	storeResponded    bool
	lastPull          time.Time
	// resumedAt is the end of the last pause of the process. Until heartbeats arrive
	// again, the state may be out of date.
	resumedAt time.Time
	// hostsBeforePause is the number of hosts in the view before that pause.
	hostsBeforePause int
	// watchesStore reports whether this host watches the store.
	watchesStore bool
}

func newState(self member.Host, cfg member.Config) *state {
	s := &state{
		table:  member.NewTable(self, cfg),
		holder: revision.NewHolder(),
		links:  map[string]*linkState{},
		marks:  newDrainMarks(),
	}
	s.view = s.table.View(time.Time{})
	return s
}

// apply applies one event and returns its effects.
func (s *state) apply(now time.Time, e Event) *actions {
	a := &actions{}
	switch e := e.(type) {
	case tick:
		s.tick(now, a)
	case paused:
		a.log("process was paused", map[string]any{"length": e.length.String()})
		s.resumedAt = now
		s.hostsBeforePause = hostCount(s.view)
		a.viewStale = true
	case messageReceived:
		s.handleMessage(now, e, a)
	case linkUp:
		s.links[e.host] = &linkState{lastHeartbeat: now, period: s.table.Period(0)}
		if s.firstLinkUp.IsZero() {
			s.firstLinkUp = now
		}
		s.sendHeartbeat(now, e.host, a)
	case linkDown:
		s.removeLink(now, e.host)
		a.viewStale = true
	case headRead:
		s.applyHead(now, e, a)
	case headAbsent:
		s.storeResponded = true
	case hostsRead:
		s.applyHostList(now, e.hosts, a)
	case targetDraining:
		if s.marks.observe(e.target, now.Add(observedDrainTTL).UnixMilli()) {
			a.log("target rejected a request because it is draining", map[string]any{fieldTarget: e.target})
		}
		a.changed = true
	case drain:
		s.draining = true
		s.table.SetDraining()
		a.viewStale = true
		s.sendHeartbeats(now, a)
		a.changed = true
	}
	if a.viewStale {
		s.refreshView(now, a)
	}
	return a
}

func (s *state) tick(now time.Time, a *actions) {
	s.ticks++
	a.viewStale = true
	if now.Sub(s.lastHeartbeatSent) >= s.table.Period(len(s.links))-tickTolerance {
		s.sendHeartbeats(now, a)
	}
	for name, l := range s.links {
		if now.Sub(l.lastHeartbeat) > maxMissedPeriods*l.period {
			a.log("no heartbeats on link; closing it", map[string]any{fieldHost: name})
			a.close = append(a.close, name)
		}
	}
	for _, host := range s.table.DesiredLinks(now) {
		if s.links[host.Name] == nil {
			a.connect = append(a.connect, host)
		}
	}
	s.pullIfBehind(now, a)
	if s.marks.expire(now) || s.ticks%ticksPerPublish == 0 {
		a.changed = true
	}
}

// tickTolerance prevents a tick that fires slightly early from skipping a heartbeat.
const tickTolerance = 50 * time.Millisecond

// ticksPerPublish is the number of ticks after which a snapshot is published even without
// a change, to refresh the status of peers.
const ticksPerPublish = 4

// refreshView recomputes the fleet view. It replaces the current view, and decides anew
// whether this host is a watcher, only if the view has changed.
func (s *state) refreshView(now time.Time, a *actions) {
	view := s.table.View(now)
	sum := viewDigest(view)
	if sum == s.viewDigest {
		return
	}
	s.view, s.viewDigest = view, sum
	a.changed = true
	self := s.table.Self()
	ranked := route.Rank("store-watch/"+self.Domain, view.Names(self.Domain))
	at := slices.Index(ranked, self.Name)
	s.watchesStore = at >= 0 && at < watchersPerDomain
	a.log("fleet view changed", map[string]any{"hosts": hostCount(view), "watches-store": s.watchesStore})
}

func viewDigest(v *member.View) uint64 {
	var sum uint64
	for _, hosts := range v.Domains {
		sum += member.Sum(hosts)
	}
	return sum
}

func hostCount(v *member.View) int {
	n := 0
	for _, hosts := range v.Domains {
		n += len(hosts)
	}
	return n
}

func (s *state) handleMessage(now time.Time, r messageReceived, a *actions) {
	switch {
	case r.e.Heartbeat != nil:
		s.handleHeartbeat(now, r.from, *r.e.Heartbeat, a)
	case r.e.Pull != nil:
		if u, ok := s.holder.UpdateSince(r.e.Pull.Revision); ok {
			a.send = append(a.send, outgoing{to: r.from, e: &message.Envelope{Update: &u}})
		}
	case r.e.Update != nil:
		s.applyUpdate(now, r.from, *r.e.Update, a)
	}
}

func (s *state) applyUpdate(now time.Time, from string, u revision.Update, a *actions) {
	changed, err := s.holder.ApplyUpdate(u)
	if err != nil {
		a.log("rejected configuration update", map[string]any{fieldHost: from, fieldError: err.Error()})
		if errors.Is(err, revision.ErrIncomplete) || errors.Is(err, revision.ErrDigestMismatch) {
			a.send = append(a.send, outgoing{to: from, e: &message.Envelope{Pull: &message.Pull{}}})
		}
		return
	}
	if changed {
		s.configActivated(now, "peer "+from, a)
	}
}

func (s *state) applyHead(now time.Time, e headRead, a *actions) {
	s.storeResponded = true
	changed, err := s.holder.ApplyHead(e.head, func(key string) ([]byte, error) {
		content, ok := e.documents[key]
		if !ok {
			return nil, errors.Wrap(revision.ErrIncomplete, key)
		}
		return content, nil
	})
	if err != nil {
		a.log("rejected configuration head", map[string]any{fieldRevision: e.head.Revision, fieldError: err.Error()})
		return
	}
	if !changed {
		if e.head.Revision < s.holder.Head().Revision {
			a.log("ignored an older configuration head", map[string]any{fieldRevision: e.head.Revision, "in-force": s.holder.Head().Revision})
		}
		return
	}
	s.configActivated(now, "store", a)
	s.sendHeartbeats(now, a)
}

func (s *state) configActivated(now time.Time, source string, a *actions) {
	s.activeSince = now
	a.changed = true
	a.log("configuration activated", map[string]any{fieldRevision: s.holder.Head().Revision, "source": source})
}

func (s *state) applyHostList(now time.Time, hosts []store.Host, a *actions) {
	var balancers []member.Host
	for _, h := range hosts {
		switch h.Role {
		case roleBalancer:
			balancers = append(balancers, member.Host{Name: h.Name, Domain: h.Domain, PeerAddress: h.Address, Draining: h.State == store.HostDraining})
		default:
			live := h.State != store.HostDraining
			if s.marks.applyListed(now, h.Name, h.Generation, live) {
				a.log("target state changed in the host list", map[string]any{fieldTarget: h.Name, "live": live})
				a.changed = true
			}
		}
	}
	s.table.Seed(now, balancers)
}

// removeLink removes a link that ended, or records that it could not be opened.
func (s *state) removeLink(now time.Time, host string) {
	if s.links[host] == nil {
		s.table.RecordDialFailure(now, host)
		return
	}
	delete(s.links, host)
	s.table.RecordLinkDown(host)
}

// ready reports whether the host may serve, and the reason if not. A starting host does
// not serve until the store has responded or, if the store is unavailable, until its peers
// had time to send the latest configuration.
func (s *state) ready(now time.Time) (bool, string) {
	switch {
	case s.draining:
		return false, "closing down"
	case !s.holder.Loaded():
		return false, "no configuration yet"
	case now.Sub(s.resumedAt) < peerSyncTime && 2*hostCount(s.view) < s.hostsBeforePause:
		return false, "was paused, listening to peers"
	case s.storeResponded:
		return true, ""
	case s.firstLinkUp.IsZero() || now.Sub(s.firstLinkUp) < peerSyncTime:
		return false, "store is silent, listening to peers"
	}
	return true, ""
}

// snapshot returns an immutable copy of the state. It reuses the lookup tables of last if
// the configuration has not changed.
func (s *state) snapshot(now time.Time, last *Snapshot) *Snapshot {
	next := &Snapshot{
		Self: s.table.Self(), Draining: s.draining, Head: s.holder.Head(), Catalog: s.holder.Catalog(),
		Documents: s.holder.Documents(), ActiveSince: s.activeSince, View: s.view, WatchesStore: s.watchesStore,
		Peers: s.table.Status(now), DrainingTargets: s.marks.targets(),
	}
	next.Ready, next.NotReadyReason = s.ready(now)
	if last != nil && last.Catalog == next.Catalog {
		next.serviceByHost, next.cells = last.serviceByHost, last.cells
	} else {
		next.indexCatalog()
	}
	next.indexView()
	return next
}
