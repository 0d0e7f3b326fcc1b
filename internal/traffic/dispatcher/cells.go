package dispatcher

// This file defines how the targets of a service are divided into cells, and who
// dispatches a cell.

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
)

// cellTargets is the number of targets up to which a service is one cell. One host
// can ask that many for their load as often as they may be asked.
const cellTargets = 24

// cellID names a cell. Domain is empty for a cell over all domains.
type cellID struct {
	key     string
	service string
	domain  string
}

// split divides the targets of a service into cells. Every host that knows the
// same targets comes to the same cells.
func split(service string, targets []roster.Active) map[cellID][]roster.Active {
	if len(targets) <= cellTargets {
		return map[cellID][]roster.Active{{key: service, service: service}: targets}
	}
	byDomain := map[string][]roster.Active{}
	for _, t := range targets {
		byDomain[t.Domain] = append(byDomain[t.Domain], t)
	}
	cells := map[cellID][]roster.Active{}
	for domain, list := range byDomain {
		parts := (len(list) + cellTargets - 1) / cellTargets
		for _, t := range list {
			part := int(xxhash.Sum64String(t.ID) % uint64(parts))
			id := cellID{key: service + "/" + domain + "/" + strconv.Itoa(part), service: service, domain: domain}
			cells[id] = append(cells[id], t)
		}
	}
	return cells
}

// maxRanked is the number of hosts that are kept of a cell's ranking: the first two
// that are not suspected are asked.
const maxRanked = 8

// rank returns the first hosts in the order in which they should dispatch a cell. Hosts
// of the cell's domain come first.
func rank(id cellID, hosts map[string]directory.Host) []directory.Host {
	type scored struct {
		host  directory.Host
		near  bool
		score uint64
	}
	list := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, scored{host: h, near: h.Domain == id.domain, score: xxhash.Sum64String(id.key + "\x00" + h.Name)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		switch {
		case a.near != b.near && a.near:
			return -1
		case a.near != b.near:
			return 1
		case a.score > b.score:
			return -1
		}
		return 1
	})
	list = list[:min(maxRanked, len(list))]
	ranked := make([]directory.Host, 0, len(list))
	for _, s := range list {
		ranked = append(ranked, s.host)
	}
	return ranked
}
