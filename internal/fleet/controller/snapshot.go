package controller

// This file defines Snapshot, the published control state.

import (
	"net/netip"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/fleet/member"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

// Snapshot is the control state at one point in time. It is immutable.
type Snapshot struct {
	Self member.Host
	// Ready reports whether the host may serve traffic.
	Ready bool
	// NotReadyReason is the reason why the host is not ready.
	NotReadyReason string
	// Draining reports whether the local host is shutting down.
	Draining bool

	Head      *catalog.Head
	Catalog   *catalog.Catalog
	Documents map[string][]byte
	// ActiveSince is the time at which this host activated the configuration.
	ActiveSince time.Time

	// WatchesStore reports whether this host watches the store.
	WatchesStore bool
	View         *member.View
	// Peers is the status of every other known host.
	Peers []member.Status
	// DrainingTargets are the targets that take no new work, from all sources of drain
	// marks.
	DrainingTargets map[string]bool

	serviceByHost map[string]string
	cells         map[string][]route.CellID
	hosts         map[string][]string
	peers         map[string]netip.AddrPort
}

// ServiceOf returns the service for a Host header.
func (s *Snapshot) ServiceOf(host string) (catalog.Service, bool) {
	name, ok := s.serviceByHost[host]
	if !ok {
		return catalog.Service{}, false
	}
	return s.Catalog.Services[name], true
}

// Cells returns the cells of a pool, one for each failure domain that has targets, in
// domain order.
func (s *Snapshot) Cells(pool string) []route.CellID { return s.cells[pool] }

// Dispatchers returns the hosts that may dispatch for a cell, by descending rank: the
// hosts of the cell's domain, or all hosts if that domain has none.
func (s *Snapshot) Dispatchers(id route.CellID) []string {
	hosts := s.hosts[id.Domain]
	if len(hosts) == 0 {
		hosts = s.hosts[""]
	}
	return route.Rank(id.Pool+"/"+id.Domain, hosts)
}

// Dispatcher returns the highest-ranked host of Dispatchers.
func (s *Snapshot) Dispatcher(id route.CellID) string {
	hosts := s.hosts[id.Domain]
	if len(hosts) == 0 {
		hosts = s.hosts[""]
	}
	return route.RankFirst(id.Pool+"/"+id.Domain, hosts)
}

// HostNames returns the names of all hosts in the view.
func (s *Snapshot) HostNames() []string { return s.hosts[""] }

// PeerAddress returns the address on which a host serves its peers.
func (s *Snapshot) PeerAddress(host string) (netip.AddrPort, bool) {
	a, ok := s.peers[host]
	return a, ok
}

// indexCatalog builds the lookup tables of the configuration.
func (s *Snapshot) indexCatalog() {
	s.serviceByHost = make(map[string]string)
	for name, service := range s.Catalog.Services {
		for _, host := range service.Hosts {
			s.serviceByHost[host] = name
		}
	}
	s.cells = make(map[string][]route.CellID, len(s.Catalog.Pools))
	for name, pool := range s.Catalog.Pools {
		s.cells[name] = cellsOf(name, pool)
	}
}

func cellsOf(name string, pool catalog.Pool) []route.CellID {
	var domains []string
	for _, t := range pool.Targets {
		if !slices.Contains(domains, t.Domain) {
			domains = append(domains, t.Domain)
		}
	}
	slices.Sort(domains)
	cells := make([]route.CellID, len(domains))
	for i, d := range domains {
		cells[i] = route.CellID{Pool: name, Domain: d}
	}
	return cells
}

// indexView builds the lookup tables of the fleet view.
func (s *Snapshot) indexView() {
	s.hosts = make(map[string][]string, len(s.View.Domains)+1)
	s.peers = make(map[string]netip.AddrPort)
	for domain, hosts := range s.View.Domains {
		for _, h := range hosts {
			s.hosts[domain] = append(s.hosts[domain], h.Name)
			s.hosts[""] = append(s.hosts[""], h.Name)
			s.peers[h.Name] = h.PeerAddress
		}
	}
	slices.Sort(s.hosts[""])
}
