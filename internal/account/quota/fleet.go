package quota

// This file defines how a service follows the view of the fleet and exchanges messages.

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/account/credit"
	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/rendezvous"
)

// rankingKey is the key for which hosts are ranked as credit hosts.
const rankingKey = "credit\x00"

// SetSnapshot applies a new view of the fleet and its configuration.
func (s *Service) SetSnapshot(snapshot *directory.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.SinceBoot()
	s.snapshot = snapshot
	if snapshot.Table != nil && !sameQuotas(snapshot.Table.Config.Accounts, s.accounts) {
		s.setLimits(now, snapshot.Table.Config.Accounts)
	}
	if !s.enabled {
		return
	}
	if s.hostChanges != snapshot.HostChanges || s.hosts == 0 {
		s.hostChanges = snapshot.HostChanges
		ranked := rank(snapshot.Hosts, s.cfg.Self)
		s.hosts = len(ranked)
		s.spender.SetCandidates(ranked)
	}
	s.issuer.SetView(now, s.view())
}

// sameQuotas reports whether two lists of accounts have the same names, rates and bursts.
func sameQuotas(a, b []routing.Account) bool {
	return slices.EqualFunc(a, b, func(a, b routing.Account) bool {
		return a.Name == b.Name && a.PerSecond == b.PerSecond && a.Burst == b.Burst
	})
}

func (s *Service) setLimits(now time.Duration, accounts []routing.Account) {
	limits := map[credit.AccountID]credit.Limit{}
	for _, a := range accounts {
		if a.PerSecond > 0 {
			limits[credit.ID(a.Name)] = credit.Limit{PerSecond: a.PerSecond, Burst: a.Burst}
		}
	}
	s.accounts, s.enabled = accounts, len(limits) > 0
	s.issuer.SetLimits(now, limits)
	s.cfg.Log.WithFields(logrus.Fields{"accounts": len(accounts), "with-quota": len(limits)}).Info("quotas of accounts are in force")
	if b := s.cfg.Bounds; s.enabled && (b.QuotaWindow != credit.Window || b.QuotaOverage < credit.Overage || b.QuotaSlack < credit.Slack) {
		s.cfg.Log.WithFields(logrus.Fields{"window-ms": b.QuotaWindow.Milliseconds(), "overage": b.QuotaOverage, "slack": b.QuotaSlack}).
			Warn("settings ask for another tolerance of quotas than 5 s, 0.1 and 20, which are kept")
	}
}

// rank returns the names of the hosts in the order in which they are preferred as credit hosts, with this
// one; nil if no hosts are known.
func rank(hosts map[string]directory.Host, self directory.Host) []string {
	if len(hosts) == 0 {
		return nil
	}
	type candidate struct {
		name string
		cost float64
	}
	weight := directory.HostWeights(hosts)
	list := make([]candidate, 0, len(hosts)+1)
	for name, h := range hosts {
		list = append(list, candidate{name: name, cost: rendezvous.Cost(rankingKey+name, weight(h))})
	}
	if _, ok := hosts[self.Name]; !ok {
		w := weight(self)
		if w <= 0 {
			w = 1
		}
		list = append(list, candidate{name: self.Name, cost: rendezvous.Cost(rankingKey+self.Name, w)})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name)) })
	names := make([]string, len(list))
	for n, c := range list {
		names[n] = c.name
	}
	return names
}

// view returns what the host knows of the fleet. The caller holds the mutex.
func (s *Service) view() credit.View {
	return credit.View{Hosts: s.hosts, Recorded: s.snapshot.RecordedHosts, Age: s.cfg.ViewAge()}
}

// Tick sends the messages that are due. It must be called every credit.PollPeriod.
func (s *Service) Tick(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.enabled || !s.started {
		return
	}
	now := s.cfg.SinceBoot()
	s.issuer.SetView(now, s.view())
	s.poll(now)
	s.logState()
}

// logState logs changes of the credit host. The caller holds the mutex.
func (s *Service) logState() {
	share, followers, hosts := s.issuer.Share()
	next := state{following: s.spender.Following(), issues: share > 0}
	if next == s.logged {
		return
	}
	s.cfg.Log.WithFields(logrus.Fields{
		"credit-host": next.following, "before": s.logged.following, "issues": next.issues, "share": share, "followers": followers, "hosts": hosts, "view-age-ms": s.cfg.ViewAge().Milliseconds(),
	}).Info("credit host has changed")
	s.logged = next
}

// poll sends the messages that are due. The caller holds the mutex.
func (s *Service) poll(now time.Duration) {
	if !s.enabled || !s.started {
		return
	}
	for _, out := range s.spender.Poll(now, s.view()) {
		s.sendTo(now, out.To, out.Message)
	}
}

// sendTo sends a message to a host by name. The caller holds the mutex.
func (s *Service) sendTo(now time.Duration, name string, m credit.Message) {
	if name == s.cfg.Self.Name {
		if response, ok := s.issuer.Handle(now, m); ok {
			s.handleResponse(now, response)
		}
		return
	}
	if h, ok := s.snapshot.Hosts[name]; ok {
		s.send(h.PeerAddress, m)
	}
}

func (s *Service) send(to netip.AddrPort, m credit.Message) {
	if s.cfg.Observer != nil {
		s.cfg.Observer.CreditMessage(true)
	}
	if err := s.cfg.Send(to, m); err != nil {
		s.cfg.Log.WithError(errors.Wrap(err, "quota")).WithField("to", to.String()).Debug("message on credit is not sent")
	}
}

// handleResponse handles a response of a credit host. The caller holds the mutex.
func (s *Service) handleResponse(now time.Duration, m credit.Message) {
	again := s.spender.Receive(now, m)
	s.serveWaiters(now)
	if again {
		s.poll(now)
	}
}

// Receive handles a message of another host. It does not block.
func (s *Service) Receive(from netip.AddrPort, m credit.Message) {
	if s.cfg.Observer != nil {
		s.cfg.Observer.CreditMessage(false)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.SinceBoot()
	if m.Response {
		s.handleResponse(now, m)
		return
	}
	if response, ok := s.issuer.Handle(now, m); ok {
		s.send(from, response)
	}
}

// Resign makes this host issue no more credit, and tells its followers, which follow another host at
// once. It is called when the host shuts down; requests are charged until its end.
func (s *Service) Resign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.SinceBoot()
	names := s.issuer.Resign(now)
	for _, name := range names {
		if name == s.cfg.Self.Name {
			s.handleResponse(now, s.issuer.Resignation(now))
			continue
		}
		s.sendTo(now, name, s.issuer.Resignation(now))
	}
	if len(names) > 0 {
		s.cfg.Log.WithField("followers", len(names)).Info("host issues no more credit")
	}
}

// Status is the state of a service, for metrics.
type Status struct {
	// Share is the part of the quotas that this host issues, to Followers of Hosts.
	Share     float64
	Followers int
	Hosts     int
	// Following is set if this host follows a credit host.
	Following bool
}

// Status returns the current state.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var st Status
	st.Share, st.Followers, st.Hosts = s.issuer.Share()
	st.Following = s.spender.Following() != ""
	return st
}
