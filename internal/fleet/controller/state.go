package controller

// This file defines state, the control state and how events change it. It does
// no I/O: what must be done is returned as actions.

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
	// watchersPerDomain is the number of hosts per domain that ask the store.
	watchersPerDomain = 2
	// drainMemory is the time for which a target that refused work as draining
	// gets none, unless it is tried and refuses again.
	drainMemory = 30 * time.Second
	// roleBalancer is the role of balancers in the platform's list.
	roleBalancer = "balancer"
	// linkSilence is the number of the peer's periods without a heartbeat after
	// which a link is closed: something between its ends may have lost track of it.
	linkSilence = 6
	// settleTime is the time that a starting host listens to peers while the
	// store is silent.
	settleTime = 1500 * time.Millisecond
)

// Fields of log lines.
const (
	fieldHost     = "host"
	fieldTarget   = "target"
	fieldRevision = "revision"
	fieldError    = "error"
)

// actions are what the shell must do after an event.
type actions struct {
	connect []member.Host
	close   []string
	send    []outgoing
	logs    []logLine
	// changed says that a new snapshot must be published.
	changed bool
	// viewStale says that the view must be computed anew.
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
	// beaten is the time of the last heartbeat to all links.
	beaten   time.Time
	marks    *drainMarks
	inForce  time.Time
	leaving  bool
	view     *member.View
	viewSum  uint64
	firstUp  time.Time
	storeHas bool
	pulled   time.Time
	// pausedAt is the end of the last pause. Until peers are heard again, what the
	// host knows may be old.
	pausedAt time.Time
	// hostsBefore is the number of hosts in the view before the pause.
	hostsBefore int
	// watches says that this host is one of those that ask the store.
	watches bool
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

// apply changes the state by one event.
func (s *state) apply(now time.Time, e Event) *actions {
	a := &actions{}
	switch e := e.(type) {
	case tick:
		s.tick(now, a)
	case paused:
		a.log("process was paused", map[string]any{"length": e.length.String()})
		s.pausedAt = now
		s.hostsBefore = hostCount(s.view)
		a.viewStale = true
	case received:
		s.receive(now, e, a)
	case linkUp:
		s.links[e.host] = &linkState{heard: now, period: s.table.Period(0)}
		if s.firstUp.IsZero() {
			s.firstUp = now
		}
		s.heartbeatTo(now, e.host, a)
	case linkDown:
		s.dropLink(now, e.host)
		a.viewStale = true
	case headRead:
		s.takeHead(now, e, a)
	case headAbsent:
		s.storeHas = true
	case hostsRead:
		s.takeHosts(now, e.hosts, a)
	case targetDrains:
		if s.marks.observe(e.target, now.Add(drainMemory).UnixMilli()) {
			a.log("target drains", map[string]any{fieldTarget: e.target})
		}
		a.changed = true
	case leave:
		s.leaving = true
		s.table.SetLeaving()
		a.viewStale = true
		s.heartbeatAll(now, a)
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
	if now.Sub(s.beaten) >= s.table.Period(len(s.links))-tickTolerance {
		s.heartbeatAll(now, a)
	}
	for name, l := range s.links {
		if now.Sub(l.heard) > linkSilence*l.period {
			a.log("link is silent", map[string]any{fieldHost: name})
			a.close = append(a.close, name)
		}
	}
	for _, host := range s.table.Wanted(now) {
		if s.links[host.Name] == nil {
			a.connect = append(a.connect, host)
		}
	}
	s.pullIfBehind(now, a)
	if s.marks.expire(now) || s.ticks%publishEvery == 0 {
		a.changed = true
	}
}

// tickTolerance keeps a tick that comes a little early from skipping a heartbeat.
const tickTolerance = 50 * time.Millisecond

// publishEvery is the number of heartbeat periods between two snapshots without
// a change, which keep the status of peers fresh.
const publishEvery = 4

// refreshView publishes a view only when it differs from the last one.
func (s *state) refreshView(now time.Time, a *actions) {
	view := s.table.View(now)
	sum := viewSum(view)
	if sum == s.viewSum {
		return
	}
	s.view, s.viewSum = view, sum
	a.changed = true
	self := s.table.Self()
	ranked := route.Rank("store-watch/"+self.Domain, view.Names(self.Domain))
	at := slices.Index(ranked, self.Name)
	s.watches = at >= 0 && at < watchersPerDomain
	a.log("view changed", map[string]any{"hosts": hostCount(view), "watches-store": s.watches})
}

func viewSum(v *member.View) uint64 {
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

func (s *state) receive(now time.Time, r received, a *actions) {
	switch {
	case r.e.Heartbeat != nil:
		s.takeHeartbeat(now, r.from, *r.e.Heartbeat, a)
	case r.e.Pull != nil:
		if u, ok := s.holder.UpdateSince(r.e.Pull.Revision); ok {
			a.send = append(a.send, outgoing{to: r.from, e: &message.Envelope{Update: &u}})
		}
	case r.e.Update != nil:
		s.takeUpdate(now, r.from, *r.e.Update, a)
	}
}

func (s *state) takeUpdate(now time.Time, from string, u revision.Update, a *actions) {
	changed, err := s.holder.Offer(u)
	if err != nil {
		a.log("update refused", map[string]any{fieldHost: from, fieldError: err.Error()})
		if errors.Is(err, revision.ErrIncomplete) || errors.Is(err, revision.ErrSum) {
			a.send = append(a.send, outgoing{to: from, e: &message.Envelope{Pull: &message.Pull{}}})
		}
		return
	}
	if changed {
		s.accepted(now, "peer "+from, a)
	}
}

func (s *state) takeHead(now time.Time, e headRead, a *actions) {
	s.storeHas = true
	changed, err := s.holder.OfferHead(e.head, func(key string) ([]byte, error) {
		content, ok := e.documents[key]
		if !ok {
			return nil, errors.Wrap(revision.ErrIncomplete, key)
		}
		return content, nil
	})
	if err != nil {
		a.log("head refused", map[string]any{fieldRevision: e.head.Revision, fieldError: err.Error()})
		return
	}
	if !changed {
		if e.head.Revision < s.holder.Head().Revision {
			a.log("older head ignored", map[string]any{fieldRevision: e.head.Revision, "in-force": s.holder.Head().Revision})
		}
		return
	}
	s.accepted(now, "store", a)
	s.heartbeatAll(now, a)
}

func (s *state) accepted(now time.Time, source string, a *actions) {
	s.inForce = now
	a.changed = true
	a.log("configuration in force", map[string]any{fieldRevision: s.holder.Head().Revision, "source": source})
}

func (s *state) takeHosts(now time.Time, hosts []store.Host, a *actions) {
	var balancers []member.Host
	for _, h := range hosts {
		switch h.Role {
		case roleBalancer:
			balancers = append(balancers, member.Host{Name: h.Name, Domain: h.Domain, Peer: h.Address, Leaving: h.State == store.HostLeaving})
		default:
			live := h.State != store.HostLeaving
			if s.marks.list(now, h.Name, h.Generation, live) {
				a.log("target changes by the platform's list", map[string]any{fieldTarget: h.Name, "live": live})
				a.changed = true
			}
		}
	}
	s.table.Seed(now, balancers)
}

// dropLink forgets a link that broke, or notes that none could be opened.
func (s *state) dropLink(now time.Time, host string) {
	if s.links[host] == nil {
		s.table.Failed(now, host)
		return
	}
	delete(s.links, host)
	s.table.Broke(host)
}

// ready reports whether the host may serve, and what is missing. A host that
// starts serves nothing before the store or, while that is silent, its peers had
// time to tell the newest configuration.
func (s *state) ready(now time.Time) (bool, string) {
	switch {
	case s.leaving:
		return false, "closing down"
	case !s.holder.Loaded():
		return false, "no configuration yet"
	case now.Sub(s.pausedAt) < settleTime && 2*hostCount(s.view) < s.hostsBefore:
		return false, "was paused, listening to peers"
	case s.storeHas:
		return true, ""
	case s.firstUp.IsZero() || now.Sub(s.firstUp) < settleTime:
		return false, "store is silent, listening to peers"
	}
	return true, ""
}

// snapshot returns the state for readers.
func (s *state) snapshot(now time.Time, last *Snapshot) *Snapshot {
	next := &Snapshot{
		Self: s.table.Self(), Leaving: s.leaving, Head: s.holder.Head(), Catalog: s.holder.Catalog(),
		Documents: s.holder.Documents(), InForceSince: s.inForce, View: s.view, Watches: s.watches,
		Peers: s.table.Status(now), LeavingTargets: s.marks.names(),
	}
	next.Ready, next.Why = s.ready(now)
	if last != nil && last.Catalog == next.Catalog {
		next.byHost, next.cells = last.byHost, last.cells
	} else {
		next.indexCatalog()
	}
	next.indexView()
	return next
}
