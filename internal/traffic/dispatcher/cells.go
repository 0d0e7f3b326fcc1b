package dispatcher

// This file defines how the targets of a service are divided into cells, and which host
// dispatches a cell.

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/packet"
	"tamaracktiller.example/tamaracktiller/internal/fleet/rendezvous"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
)

// maxCellTargets is the number of targets up to which a service is a single cell. One host
// can probe that many targets at the full permitted rate.
const maxCellTargets = 24

// cellID identifies a cell. domain is empty for a cell that spans all domains. Messages contain the key, which
// has the short name of the service.
type cellID struct {
	key     string
	service string
	domain  string
}

// splitCells divides the targets of a service into cells. It is deterministic: all hosts
// that know the same targets compute the same cells. evacuated is the number of further targets that
// are evacuated: they have no cells, but those of the others stay the same.
func splitCells(service string, targets []roster.ActiveTarget, evacuated int) map[cellID][]roster.ActiveTarget {
	name := packet.ShortName(service)
	if len(targets)+evacuated <= maxCellTargets {
		return map[cellID][]roster.ActiveTarget{{key: name, service: service}: targets}
	}
	byDomain := map[string][]roster.ActiveTarget{}
	for _, t := range targets {
		byDomain[t.Domain] = append(byDomain[t.Domain], t)
	}
	cells := map[cellID][]roster.ActiveTarget{}
	for domain, list := range byDomain {
		parts := (len(list) + maxCellTargets - 1) / maxCellTargets
		for _, t := range list {
			part := int(xxhash.Sum64String(t.ID) % uint64(parts))
			id := cellID{key: name + "/" + domain + "/" + strconv.Itoa(part), service: service, domain: domain}
			cells[id] = append(cells[id], t)
		}
	}
	return cells
}

// parseCell returns the cell with a key, and false if the key is not that of a cell. The service is its short
// name. The names of services and failure domains may contain the separator; then the result may be another
// service, and no cell of it is found.
func parseCell(key string) (cellID, bool) {
	rest, _, ok := cutLast(key)
	if !ok {
		return cellID{key: key, service: key}, key != ""
	}
	service, domain, ok := cutLast(rest)
	return cellID{key: key, service: service, domain: domain}, ok
}

// cutLast cuts a string at its last separator of the parts of a cell's key.
func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// maxRankedHosts bounds the ranking of hosts that is kept for a cell. Requests go to the
// first two that are not suspected.
const maxRankedHosts = 8

// rankHosts returns the first hosts in the order of preference for dispatching a cell, by
// weighted rendezvous hashing. Hosts in the cell's domain come first.
func rankHosts(id cellID, hosts map[string]directory.Host) []directory.Host {
	weigh := directory.HostWeights(hosts)
	top := make([]rankedHost, 0, maxRankedHosts+1)
	for _, h := range hosts {
		r := rankedHost{host: h, sameDomain: h.Domain == id.domain, cost: rendezvous.Cost(id.key+"\x00"+h.Name, weigh(h))}
		if len(top) == maxRankedHosts && !r.precedes(&top[maxRankedHosts-1]) {
			continue
		}
		i, _ := slices.BinarySearchFunc(top, r, func(a, b rankedHost) int {
			if a.precedes(&b) {
				return -1
			}
			return 1
		})
		top = slices.Insert(top, i, r)[:min(len(top)+1, maxRankedHosts)]
	}
	ranked := make([]directory.Host, 0, len(top))
	for _, r := range top {
		ranked = append(ranked, r.host)
	}
	return ranked
}

// rankedHost is a host in the ranking of a cell.
type rankedHost struct {
	host       directory.Host
	sameDomain bool
	// cost orders hosts of equal distance.
	cost float64
}

func (r *rankedHost) precedes(other *rankedHost) bool {
	if r.sameDomain != other.sameDomain {
		return r.sameDomain
	}
	return r.cost < other.cost
}
