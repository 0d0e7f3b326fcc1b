// Package member decides which balancers are alive, and whom a host links to.
//
// The hosts of a failure domain all link to each other. Each host also links to
// a few contacts in every other domain. A host counts a mate of its own domain as
// alive when it hears it, and a host of another domain when one of its contacts
// there says that it hears it. Nobody's opinion is passed on further, so a cut
// heals by itself when heartbeats come through again.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	t := member.NewTable(self, member.DefaultConfig())
//	t.Seed(list)
//	t.Heard(now, from, heartbeat)
//	for _, peer := range t.Wanted(now) { dial(peer) }
//	view := t.View(now)
package member

// This file defines Table, the hosts that one host knows of.

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
	Peer        netip.AddrPort `cbor:"4,keyasint"`
	Leaving     bool           `cbor:"5,keyasint,omitempty"`
}

// Heartbeat is what a host tells over each of its links.
type Heartbeat struct {
	// From describes the sender. It is left out while the receiver holds it.
	From *Host `cbor:"1,keyasint,omitempty"`
	// FromHeld says that the sender holds the receiver's description.
	FromHeld bool   `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint"`
	// PeriodMillis is the time until the sender's next heartbeat.
	PeriodMillis uint32 `cbor:"10,keyasint,omitempty"`
	// Hears lists the mates that the sender hears. It is left out while the
	// receiver has the list whose digest is HearsSum.
	Hears    []Host `cbor:"4,keyasint,omitempty"`
	HearsSum uint64 `cbor:"5,keyasint,omitempty"`
	// HearsHeld is the digest of the receiver's list that the sender holds. The
	// receiver sends its list until this matches.
	HearsHeld uint64 `cbor:"6,keyasint,omitempty"`
	// Draining lists what the sender knows of draining targets. It is left out
	// while the receiver holds the list whose digest is DrainingSum.
	Draining    []Drain `cbor:"7,keyasint,omitempty"`
	DrainingSum uint64  `cbor:"8,keyasint,omitempty"`
	// DrainingHeld is the digest of the receiver's marks that the sender took in.
	DrainingHeld uint64 `cbor:"9,keyasint,omitempty"`
}

// Drain says whether a target takes new work.
type Drain struct {
	Target string `cbor:"1,keyasint"`
	// Generation is that of the target in the platform's list.
	Generation uint64 `cbor:"2,keyasint,omitempty"`
	// Live says that the list shows the generation as live, after an older one
	// was leaving.
	Live bool `cbor:"3,keyasint,omitempty"`
	// Observed marks come from traffic and not from the list.
	Observed bool `cbor:"4,keyasint,omitempty"`
	// UntilMilli is the end of an observed or live mark, in Unix milliseconds.
	UntilMilli int64 `cbor:"5,keyasint,omitempty"`
}

// Config holds the parameters of a table.
type Config struct {
	// Period is the least time between two heartbeats on a link.
	Period time.Duration
	// PeriodPerLink makes the period grow with the links of a host, so that
	// heartbeats keep to their share of the bytes.
	PeriodPerLink time.Duration
	// Missed is the number of periods without a heartbeat after which a host is
	// not heard.
	Missed int
	// Contacts is the number of links to every other domain.
	Contacts int
	// Retry is the time after which a failed contact is tried again.
	Retry time.Duration
}

// DefaultConfig returns the parameters in use.
func DefaultConfig() Config {
	return Config{Period: 500 * time.Millisecond, PeriodPerLink: 30 * time.Millisecond, Missed: 4, Contacts: 2, Retry: 3 * time.Second}
}

// record is what a table keeps of one host.
type record struct {
	host     Host
	heard    time.Time
	period   time.Duration
	revision uint64
	// reports holds the mates that this host said it hears.
	reports    []Host
	reportsSum uint64
	// failed is the time of the last failed try to link.
	failed time.Time
	// listed says that the platform's list names the host.
	listed bool
}

// Table holds the known hosts.
type Table struct {
	self    Host
	cfg     Config
	records map[string]*record
}

// NewTable returns a table that knows only its own host.
func NewTable(self Host, cfg Config) *Table {
	return &Table{self: self, cfg: cfg, records: map[string]*record{}}
}

// SetLeaving marks the own host as leaving.
func (t *Table) SetLeaving() { t.self.Leaving = true }

// Self returns the own host.
func (t *Table) Self() Host { return t.self }

func (t *Table) record(h Host) *record {
	r, ok := t.records[h.Name]
	if !ok {
		r = &record{host: h}
		t.records[h.Name] = r
	}
	return r
}

// Seed takes in the platform's list, which lags: it adds hosts to try and never
// removes or revives one that is known better. Unheard hosts that have left the
// list are forgotten.
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
		if !t.hears(now, r) && r.host.Incarnation == "" {
			r.host = h
		}
	}
	for name, r := range t.records {
		if !r.listed && !t.hears(now, r) && now.Sub(r.heard) > forgetAfter {
			delete(t.records, name)
		}
	}
}

// forgetAfter is the silence after which an unlisted host is forgotten.
const forgetAfter = time.Minute

// Heard takes in a heartbeat of a host. It reports whether the host was not heard
// before, is a new incarnation, or leaves.
func (t *Table) Heard(now time.Time, from Host, hb Heartbeat) bool {
	if from.Name == t.self.Name {
		return false
	}
	r := t.record(from)
	isNew := !t.hears(now, r) || r.host.Incarnation != from.Incarnation || r.host.Leaving != from.Leaving
	r.host = from
	r.heard = now
	r.period = max(t.cfg.Period, time.Duration(hb.PeriodMillis)*time.Millisecond)
	r.revision = hb.Revision
	if hb.Hears != nil {
		r.reports = hb.Hears
		r.reportsSum = hb.HearsSum
	}
	t.learn(hb.Hears)
	return isNew
}

// learn adds hosts that others report, as candidates for links.
func (t *Table) learn(hosts []Host) {
	for _, h := range hosts {
		if h.Name == t.self.Name {
			continue
		}
		r := t.record(h)
		if r.heard.IsZero() {
			r.host = h
		}
	}
}

// Failed notes that a link to the host could not be opened. It is tried again
// after a while.
func (t *Table) Failed(now time.Time, name string) {
	if r, ok := t.records[name]; ok {
		r.failed = now
		r.heard = time.Time{}
	}
}

// Broke notes that a link to the host ended. A new one may be opened at once.
func (t *Table) Broke(name string) {
	if r, ok := t.records[name]; ok {
		r.heard = time.Time{}
	}
}

func (t *Table) hears(now time.Time, r *record) bool {
	return !r.heard.IsZero() && now.Sub(r.heard) < time.Duration(t.cfg.Missed)*r.period
}

// Heartbeat returns the heartbeat to send now, with the whole list of heard
// mates.
func (t *Table) Heartbeat(now time.Time, links int, revision uint64) Heartbeat {
	mates := t.Mates(now)
	self := t.self
	return Heartbeat{From: &self, Revision: revision, PeriodMillis: uint32(t.Period(links).Milliseconds()), Hears: mates, HearsSum: Sum(mates)}
}

// Period returns the time between heartbeats of a host with that many links.
func (t *Table) Period(links int) time.Duration {
	return max(t.cfg.Period, time.Duration(links)*t.cfg.PeriodPerLink)
}

// HearsHeld returns the digest of the list of the host that is held here.
func (t *Table) HearsHeld(name string) uint64 {
	if r, ok := t.records[name]; ok {
		return r.reportsSum
	}
	return 0
}

// Mates returns the hosts of the own domain that are heard, without the own one.
func (t *Table) Mates(now time.Time) []Host {
	mates := []Host{}
	for _, r := range t.records {
		if r.host.Domain == t.self.Domain && t.hears(now, r) {
			mates = append(mates, r.host)
		}
	}
	sortHosts(mates)
	return mates
}

// Wanted returns the hosts that this host should be linked to: all mates, and
// the first reachable contacts of every other domain in the host's own
// rendezvous order, so that incoming links spread over the hosts.
func (t *Table) Wanted(now time.Time) []Host {
	var wanted []Host
	others := map[string][]string{}
	for name, r := range t.records {
		switch r.host.Domain {
		case t.self.Domain:
			if t.mayTry(now, r) {
				wanted = append(wanted, r.host)
			}
		default:
			others[r.host.Domain] = append(others[r.host.Domain], name)
		}
	}
	for domain, names := range others {
		wanted = append(wanted, t.contacts(now, domain, names)...)
	}
	sortHosts(wanted)
	return wanted
}

func (t *Table) mayTry(now time.Time, r *record) bool {
	return r.failed.IsZero() || now.Sub(r.failed) >= t.cfg.Retry || t.hears(now, r)
}

func (t *Table) contacts(now time.Time, domain string, names []string) []Host {
	var chosen []Host
	for _, name := range route.Rank(t.self.Name+"/"+domain, names) {
		r := t.records[name]
		if len(chosen) < t.cfg.Contacts && t.mayTry(now, r) {
			chosen = append(chosen, r.host)
		}
	}
	return chosen
}

// View is the set of hosts that count as alive, by domain, in name order.
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

// View returns the hosts that are alive and not leaving, the own one included.
func (t *Table) View(now time.Time) *View {
	v := &View{Domains: map[string][]Host{}}
	seen := map[string]bool{}
	add := func(h Host) {
		if !seen[h.Name] && !h.Leaving {
			seen[h.Name] = true
			v.Domains[h.Domain] = append(v.Domains[h.Domain], h)
		}
	}
	add(t.self)
	for _, r := range t.records {
		if !t.hears(now, r) {
			continue
		}
		add(r.host)
		if r.host.Domain == t.self.Domain {
			continue
		}
		for _, h := range r.reports {
			if h.Domain == r.host.Domain && h.Name != t.self.Name && !t.knownToLeave(h) {
				add(h)
			}
		}
	}
	for _, hosts := range v.Domains {
		sortHosts(hosts)
	}
	return v
}

// knownToLeave keeps a stale report from bringing back a host that said itself
// that it leaves.
func (t *Table) knownToLeave(h Host) bool {
	r, ok := t.records[h.Name]
	return ok && r.host.Incarnation == h.Incarnation && r.host.Leaving
}

// Behind returns the heard host with the highest revision above the given one.
func (t *Table) Behind(now time.Time, revision uint64) (Host, bool) {
	var best *record
	for _, r := range t.records {
		if t.hears(now, r) && r.revision > revision && (best == nil || r.revision > best.revision) {
			best = r
		}
	}
	if best == nil {
		return Host{}, false
	}
	return best.host, true
}

// Status returns what is known of each other host, in name order.
func (t *Table) Status(now time.Time) []Status {
	list := make([]Status, 0, len(t.records))
	for _, r := range t.records {
		list = append(list, Status{Host: r.host, Heard: t.hears(now, r), Revision: r.revision, Since: r.heard})
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.Host.Name, b.Host.Name) })
	return list
}

// Status is what a host knows of another one.
type Status struct {
	Host     Host
	Heard    bool
	Revision uint64
	Since    time.Time
}

func sortHosts(hosts []Host) {
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
}
