// Package member implements failure detection and the link topology of the balancers.
//
// The hosts of a failure domain form a full mesh. Each host also links to a few hosts in
// every other domain. A host considers a peer alive while it receives the peer's
// heartbeats. A host of another domain is also considered alive while a linked host of
// that domain reports it alive. Reports are not forwarded, so the views recover without
// further action once heartbeats arrive again after a network partition.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	t := member.NewTable(self, member.DefaultConfig())
//	t.Seed(now, list)
//	t.RecordHeartbeat(now, from, heartbeat)
//	for _, peer := range t.DesiredLinks(now) { dial(peer) }
//	view := t.View(now)
package member

// This file defines Table, the membership table of a host.

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

// Host describes one balancer process.
type Host struct {
	Name        string         `cbor:"1,keyasint"`
	Incarnation string         `cbor:"2,keyasint"`
	Domain      string         `cbor:"3,keyasint"`
	PeerAddress netip.AddrPort `cbor:"4,keyasint"`
	Draining    bool           `cbor:"5,keyasint,omitempty"`
}

// Heartbeat is the message that a host periodically sends over each of its links.
type Heartbeat struct {
	// From describes the sender. It is omitted once the receiver has acknowledged it.
	From *Host `cbor:"1,keyasint,omitempty"`
	// FromAck acknowledges the receiver's From.
	FromAck  bool   `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint"`
	// PeriodMillis is the sender's heartbeat period.
	PeriodMillis uint32 `cbor:"10,keyasint,omitempty"`
	// Alive lists the hosts of the sender's domain that the sender considers alive. It is
	// omitted once the receiver has acknowledged AliveDigest, the digest of the list.
	Alive       []Host `cbor:"4,keyasint,omitempty"`
	AliveDigest uint64 `cbor:"5,keyasint,omitempty"`
	// AliveAck acknowledges the receiver's list: it is the digest of the last list
	// that the sender received. The receiver sends its list until the digest matches.
	AliveAck uint64 `cbor:"6,keyasint,omitempty"`
	// DrainMarks lists the sender's drain marks. It is omitted once the receiver has
	// acknowledged DrainMarksDigest, the digest of the list.
	DrainMarks       []DrainMark `cbor:"7,keyasint,omitempty"`
	DrainMarksDigest uint64      `cbor:"8,keyasint,omitempty"`
	// DrainMarksAck acknowledges the receiver's drain marks: it is the digest of the list
	// that the sender merged last.
	DrainMarksAck uint64 `cbor:"9,keyasint,omitempty"`
}

// DrainMark states whether a target takes new work.
type DrainMark struct {
	Target string `cbor:"1,keyasint"`
	// Generation is the generation of the target in the platform's host list.
	Generation uint64 `cbor:"2,keyasint,omitempty"`
	// Live is set if the host list shows this generation as live after an older one was
	// draining.
	Live bool `cbor:"3,keyasint,omitempty"`
	// Observed is set if the draining target rejected a request; otherwise the mark
	// comes from the host list.
	Observed bool `cbor:"4,keyasint,omitempty"`
	// UntilMilli is the expiry time of an observed or live mark, in Unix milliseconds.
	UntilMilli int64 `cbor:"5,keyasint,omitempty"`
}

// Config holds the parameters of a table.
type Config struct {
	// Period is the minimum heartbeat period of a link.
	Period time.Duration
	// PeriodPerLink is the minimum period per link of the host. It makes the period grow
	// with the number of links, which bounds the bandwidth of heartbeats.
	PeriodPerLink time.Duration
	// MissedPeriods is the number of periods without a heartbeat after which a host is no
	// longer considered alive.
	MissedPeriods int
	// LinksPerDomain is the number of links to each other failure domain.
	LinksPerDomain int
	// RedialDelay is the delay before a host is dialed again after a failure.
	RedialDelay time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{Period: 500 * time.Millisecond, PeriodPerLink: 30 * time.Millisecond, MissedPeriods: 4, LinksPerDomain: 2, RedialDelay: 3 * time.Second}
}

// record is the table entry of one host.
type record struct {
	host          Host
	lastHeartbeat time.Time
	period        time.Duration
	revision      uint64
	// reportedAlive is the list of alive hosts that this host sent last.
	reportedAlive []Host
	reportedSum   uint64
	// lastDialFailure is the time of the last failed attempt to open a link.
	lastDialFailure time.Time
	// listed is set if the host is in the platform's host list.
	listed bool
}

// Table holds the known hosts and their liveness.
type Table struct {
	self    Host
	cfg     Config
	records map[string]*record
}

// NewTable returns a table that contains only the local host.
func NewTable(self Host, cfg Config) *Table {
	return &Table{self: self, cfg: cfg, records: map[string]*record{}}
}

// SetDraining marks the local host as draining.
func (t *Table) SetDraining() { t.self.Draining = true }

// Self returns the local host.
func (t *Table) Self() Host { return t.self }

func (t *Table) record(h Host) *record {
	r, ok := t.records[h.Name]
	if !ok {
		r = &record{host: h}
		t.records[h.Name] = r
	}
	return r
}

// Seed merges the platform's host list. The list lags, so it only adds candidates for
// links: it neither removes a host that is alive nor replaces what is known from
// heartbeats. Hosts that are neither alive nor listed are removed after a delay.
func (t *Table) Seed(now time.Time, hosts []Host) {
	for _, r := range t.records {
		r.listed = false
	}
	for _, h := range hosts {
		if h.Name == t.self.Name {
			continue
		}
		r := t.record(h)
		r.listed = true
		if !t.alive(now, r) && r.host.Incarnation == "" {
			r.host = h
		}
	}
	for name, r := range t.records {
		if !r.listed && !t.alive(now, r) && now.Sub(r.lastHeartbeat) > unlistedTTL {
			delete(t.records, name)
		}
	}
}

// unlistedTTL is the time since the last heartbeat after which an unlisted host is removed.
const unlistedTTL = time.Minute

// RecordHeartbeat records a heartbeat of a host. It reports whether the host was not
// alive before, has a new incarnation, or has started to drain.
func (t *Table) RecordHeartbeat(now time.Time, from Host, hb Heartbeat) bool {
	if from.Name == t.self.Name {
		return false
	}
	r := t.record(from)
	isNew := !t.alive(now, r) || r.host.Incarnation != from.Incarnation || r.host.Draining != from.Draining
	r.host = from
	r.lastHeartbeat = now
	r.period = max(t.cfg.Period, time.Duration(hb.PeriodMillis)*time.Millisecond)
	r.revision = hb.Revision
	if hb.Alive != nil {
		r.reportedAlive = hb.Alive
		r.reportedSum = hb.AliveDigest
	}
	t.addCandidates(hb.Alive)
	return isNew
}

// addCandidates adds the hosts that a peer reports alive, as candidates for links.
func (t *Table) addCandidates(hosts []Host) {
	for _, h := range hosts {
		if h.Name == t.self.Name {
			continue
		}
		r := t.record(h)
		if r.lastHeartbeat.IsZero() {
			r.host = h
		}
	}
}

// RecordDialFailure records that a link to the host could not be opened. The host is
// dialed again after Config.RedialDelay.
func (t *Table) RecordDialFailure(now time.Time, name string) {
	if r, ok := t.records[name]; ok {
		r.lastDialFailure = now
		r.lastHeartbeat = time.Time{}
	}
}

// RecordLinkDown records that the link to the host ended. A new one may be opened
// immediately.
func (t *Table) RecordLinkDown(name string) {
	if r, ok := t.records[name]; ok {
		r.lastHeartbeat = time.Time{}
	}
}

// alive reports whether the host of r is alive.
func (t *Table) alive(now time.Time, r *record) bool {
	return !r.lastHeartbeat.IsZero() && now.Sub(r.lastHeartbeat) < time.Duration(t.cfg.MissedPeriods)*r.period
}

// Heartbeat returns the heartbeat of a host with the given number of links. It contains
// the full list of alive hosts of the local domain.
func (t *Table) Heartbeat(now time.Time, links int, revision uint64) Heartbeat {
	peers := t.DomainPeers(now)
	self := t.self
	return Heartbeat{From: &self, Revision: revision, PeriodMillis: uint32(t.Period(links).Milliseconds()), Alive: peers, AliveDigest: Sum(peers)}
}

// Period returns the heartbeat period of a host with the given number of links.
func (t *Table) Period(links int) time.Duration {
	return max(t.cfg.Period, time.Duration(links)*t.cfg.PeriodPerLink)
}

// AliveAck returns the digest of the last alive list that the host sent, for the AliveAck
// field of heartbeats to that host.
func (t *Table) AliveAck(name string) uint64 {
	if r, ok := t.records[name]; ok {
		return r.reportedSum
	}
	return 0
}

// DomainPeers returns the alive hosts of the local domain, without the local host.
func (t *Table) DomainPeers(now time.Time) []Host {
	peers := []Host{}
	for _, r := range t.records {
		if r.host.Domain == t.self.Domain && t.alive(now, r) {
			peers = append(peers, r.host)
		}
	}
	sortHosts(peers)
	return peers
}

// DesiredLinks returns the hosts to which the local host should have links: all hosts of
// its domain, and in every other domain the first Config.LinksPerDomain hosts that may be
// dialed, in rendezvous order. The order depends on the local host, so that incoming links
// are distributed over the hosts of a domain.
func (t *Table) DesiredLinks(now time.Time) []Host {
	var desired []Host
	otherDomains := map[string][]string{}
	for name, r := range t.records {
		switch r.host.Domain {
		case t.self.Domain:
			if t.dialAllowed(now, r) {
				desired = append(desired, r.host)
			}
		default:
			otherDomains[r.host.Domain] = append(otherDomains[r.host.Domain], name)
		}
	}
	for domain, names := range otherDomains {
		desired = append(desired, t.selectRemote(now, domain, names)...)
	}
	sortHosts(desired)
	return desired
}

// dialAllowed reports whether the host of r is alive or may be dialed.
func (t *Table) dialAllowed(now time.Time, r *record) bool {
	return r.lastDialFailure.IsZero() || now.Sub(r.lastDialFailure) >= t.cfg.RedialDelay || t.alive(now, r)
}

// selectRemote selects the hosts of another domain to link to.
func (t *Table) selectRemote(now time.Time, domain string, names []string) []Host {
	var chosen []Host
	for _, name := range route.Rank(t.self.Name+"/"+domain, names) {
		r := t.records[name]
		if len(chosen) < t.cfg.LinksPerDomain && t.dialAllowed(now, r) {
			chosen = append(chosen, r.host)
		}
	}
	return chosen
}

// View is the set of hosts considered alive, by failure domain and sorted by name.
type View struct {
	Domains map[string][]Host
}

// Names returns the names of the hosts of a domain.
func (v *View) Names(domain string) []string {
	names := make([]string, len(v.Domains[domain]))
	for i, h := range v.Domains[domain] {
		names[i] = h.Name
	}
	return names
}

// View returns the hosts that are alive and not draining, including the local host.
func (t *Table) View(now time.Time) *View {
	v := &View{Domains: map[string][]Host{}}
	seen := map[string]bool{}
	add := func(h Host) {
		if !seen[h.Name] && !h.Draining {
			seen[h.Name] = true
			v.Domains[h.Domain] = append(v.Domains[h.Domain], h)
		}
	}
	add(t.self)
	for _, r := range t.records {
		if !t.alive(now, r) {
			continue
		}
		add(r.host)
		if r.host.Domain == t.self.Domain {
			continue
		}
		for _, h := range r.reportedAlive {
			if h.Domain == r.host.Domain && h.Name != t.self.Name && !t.announcedDrain(h) {
				add(h)
			}
		}
	}
	for _, hosts := range v.Domains {
		sortHosts(hosts)
	}
	return v
}

// announcedDrain reports whether this incarnation of h has itself announced that it is
// draining. It keeps an outdated report of another host from adding h to the view again.
func (t *Table) announcedDrain(h Host) bool {
	r, ok := t.records[h.Name]
	return ok && r.host.Incarnation == h.Incarnation && r.host.Draining
}

// NewestPeer returns the alive host with the highest revision, if that is above the given
// one.
func (t *Table) NewestPeer(now time.Time, revision uint64) (Host, bool) {
	var newest *record
	for _, r := range t.records {
		if t.alive(now, r) && r.revision > revision && (newest == nil || r.revision > newest.revision) {
			newest = r
		}
	}
	if newest == nil {
		return Host{}, false
	}
	return newest.host, true
}

// Status returns the status of every other known host, sorted by name.
func (t *Table) Status(now time.Time) []Status {
	list := make([]Status, 0, len(t.records))
	for _, r := range t.records {
		list = append(list, Status{Host: r.host, Alive: t.alive(now, r), Revision: r.revision, LastHeartbeat: r.lastHeartbeat})
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.Host.Name, b.Host.Name) })
	return list
}

// Status describes another host as seen by the local host. LastHeartbeat is zero
// if none has arrived on the current link.
type Status struct {
	Host          Host
	Alive         bool
	Revision      uint64
	LastHeartbeat time.Time
}

func sortHosts(hosts []Host) {
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
}
