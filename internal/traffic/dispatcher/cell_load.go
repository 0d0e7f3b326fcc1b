package dispatcher

// This file defines the load of cells as known to a host, and the selection among the
// cells of a service.

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/rendezvous"
)

const (
	// loadPeriod is the interval at which a dispatcher reports the load of its cells to
	// the other dispatchers of the service.
	loadPeriod = 250 * time.Millisecond
	// maxLoadAge is the age at which a reported load is no longer used.
	maxLoadAge = time.Second
	// unknownLoad is the load assumed for a cell whose load is unknown.
	unknownLoad = 0.3
	// remoteDomainCost is added to the load of cells in other domains. It stands for the
	// cost of traffic between domains.
	remoteDomainCost = 0.3
	// awayCost is added to the load of cells of the request's domain other than this host's
	// home. Hosts that keep to few targets have open connections to them.
	awayCost = 0.15
	// queueWeight is the weight of the number of queued requests per target in the load.
	queueWeight = 2.0
	// loadJitter is the range of random noise that spreads requests over cells of nearly
	// equal load.
	loadJitter = 0.1
	// redirectMargin is how much lower the load of another cell must be for a request to
	// be redirected there instead of waiting.
	redirectMargin = 0.3
	perMille       = 1000
	// maxLoads bounds the loads in one message, so that it fits in a datagram.
	maxLoads = 8
)

// setHome selects this host's home among the cells of a service: the cell of its domain that it
// uses unless that has a higher load than others. The hosts of a domain together spread over its
// cells by their numbers of targets.
func (d *Dispatcher) setHome(cells []*cell) {
	domain := d.snapshot.Hosts[d.cfg.Self].Domain
	var home *cell
	lowest := 0.0
	for _, c := range cells {
		c.home = false
		if c.id.domain != "" && c.id.domain != domain {
			continue
		}
		cost := rendezvous.Cost(d.cfg.Self+"\x00"+c.id.key, float64(max(1, c.registered)))
		if home == nil || cost < lowest {
			home, lowest = c, cost
		}
	}
	if home != nil {
		home.home = true
	}
}

// bestCell returns the cell for a request: it prefers the home of this host, then cells of the
// request's domain, and those with lower load. The caller holds the mutex.
func (d *Dispatcher) bestCell(now time.Time, req Request) *cell {
	var best *cell
	bestCost := 0.0
	for _, c := range d.services[req.Service] {
		if c.targets == 0 && best != nil {
			continue
		}
		cost := d.load(now, c) + loadJitter*d.rng.Float64()
		switch {
		case c.home:
		case c.id.domain != req.Domain:
			cost += remoteDomainCost
		default:
			cost += awayCost
		}
		if best == nil || best.targets == 0 || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// load returns the load of a cell: its utilization plus its weighted queue length. The load
// is measured if this host dispatches the cell, otherwise it is the last reported one.
func (d *Dispatcher) load(now time.Time, c *cell) float64 {
	if c.dispatchedBy(d.cfg.Self) {
		d.measure(now, c)
	}
	if c.loadTime.IsZero() || now.Sub(c.loadTime) > maxLoadAge {
		return unknownLoad
	}
	return c.utilization + queueWeight*float64(c.waiting)/float64(max(1, c.targets))
}

// measure updates the load of a cell from this host's own queue and counts.
func (d *Dispatcher) measure(now time.Time, c *cell) {
	c.utilization, c.waiting, c.loadTime = d.chooser.Utilization(now, c.id.key), c.queue.Len(), now
}

// updateLoad records a load reported by another host, unless a newer one is known.
func (d *Dispatcher) updateLoad(now time.Time, l CellLoad) {
	c := d.cells[l.Cell]
	if c == nil || now.Add(-l.Age).Before(c.loadTime) {
		return
	}
	c.utilization, c.waiting, c.loadTime = float64(l.Utilization)/perMille, l.Waiting, now.Add(-l.Age)
}

// leastLoaded returns the known loads of the least loaded cells of a service, up to
// maxLoads. The caller holds the mutex.
func (d *Dispatcher) leastLoaded(now time.Time, service string) []CellLoad {
	cells := d.services[service]
	if len(cells) < 2 {
		return nil
	}
	var list []CellLoad
	for _, c := range cells {
		if age := now.Sub(c.loadTime); !c.loadTime.IsZero() && age < maxLoadAge {
			list = append(list, CellLoad{Cell: c.id.key, Utilization: int(c.utilization * perMille), Waiting: c.waiting, Age: age})
		}
	}
	slices.SortFunc(list, func(a, b CellLoad) int {
		return cmp.Or(cmp.Compare(a.Waiting, b.Waiting), cmp.Compare(a.Utilization, b.Utilization))
	})
	return list[:min(len(list), maxLoads)]
}

// redirectCell returns the least loaded cell of the same service whose queue is empty
// and whose load is lower by at least redirectMargin, if there is one.
func (d *Dispatcher) redirectCell(now time.Time, c *cell) (*cell, bool) {
	d.measure(now, c)
	least := d.load(now, c) - redirectMargin
	var best *cell
	for _, other := range d.services[c.id.service] {
		load := d.load(now, other)
		if other == c || now.Sub(other.loadTime) > maxLoadAge || other.waiting > 0 || load >= least {
			continue
		}
		best, least = other, load
	}
	return best, best != nil
}

// ReportLoads reports the load of the cells that this host dispatches to the other
// dispatchers of the same service, each of which gets one message.
func (d *Dispatcher) ReportLoads(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, cells := range d.services {
		var own []CellLoad
		others := map[netip.AddrPort]bool{}
		for _, c := range cells {
			host, ok := c.dispatcher()
			switch {
			case !ok:
			case host.Name != d.cfg.Self:
				others[host.PeerAddress] = true
			default:
				d.measure(now, c)
				own = append(own, CellLoad{Cell: c.id.key, Utilization: int(c.utilization * perMille), Waiting: c.waiting})
			}
		}
		for loads := range slices.Chunk(own, maxLoads) {
			for to := range others {
				d.send(to, Message{Kind: kindLoad, Loads: loads})
			}
		}
	}
}

// LoadPeriod returns the interval at which ReportLoads must be called.
func (d *Dispatcher) LoadPeriod() time.Duration { return loadPeriod }

// dispatcher returns the first host of the cell's ranking, which dispatches the cell while
// it responds.
func (c *cell) dispatcher() (directory.Host, bool) {
	if len(c.ranked) == 0 {
		return directory.Host{}, false
	}
	return c.ranked[0], true
}

// dispatchedBy reports whether the named host is the first of the cell's ranking.
func (c *cell) dispatchedBy(self string) bool {
	host, ok := c.dispatcher()
	return ok && host.Name == self
}
