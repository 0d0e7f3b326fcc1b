package dispatcher

// This file defines how dispatchers treat evacuated failure domains.
//
// The view leaves out the targets of such domains, so that their cells are empty, and the requests
// that wait there go to other cells. Hosts learn of an evacuation one after the other. A dispatcher
// that knows of it before the host that sent a request redirects the request instead of reporting
// itself as unavailable: otherwise that host would dispatch its own requests for seconds, those for
// other cells included.

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/packet"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
)

const (
	// evacuatedRetryAfter is the minimum retry delay of requests for a service all of whose targets
	// are evacuated: the end of an evacuation takes about as long to reach all hosts.
	// evacuatedRetrySpread is the time over which the retries are spread.
	evacuatedRetryAfter  = time.Second
	evacuatedRetrySpread = time.Second
	// reasonEvacuated is the reason of rejections.
	reasonEvacuated = "all failure domains of the service's targets are evacuated"
)

// withheldTargets returns the targets that get no requests although they have an entry, with the
// reasons; nil if there are none.
func withheldTargets(s *directory.Snapshot) map[string]eligibility.Reason {
	if len(s.Withheld) == 0 {
		return nil
	}
	withheld := map[string]eligibility.Reason{}
	for _, list := range s.Withheld {
		for _, t := range list {
			withheld[t.ID] = t.Reason
		}
	}
	return withheld
}

// countEvacuated returns the number of targets whose failure domain is evacuated.
func countEvacuated(list []roster.WithheldTarget) int {
	n := 0
	for _, t := range list {
		if t.Reason == eligibility.Evacuated {
			n++
		}
	}
	return n
}

// evacuatedTargets returns the evacuated targets of a service that has a single cell. Its dispatcher
// may not know of the evacuation yet, and would grant them one after the other.
func (d *Dispatcher) evacuatedTargets(service string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.snapshot.Withheld[service]
	if len(list) == 0 || len(list)+len(d.snapshot.Targets[service]) > maxCellTargets {
		return nil
	}
	var ids []string
	for _, t := range list {
		if t.Reason == eligibility.Evacuated {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// noTargets returns the rejection of a request for a service without targets.
func (d *Dispatcher) noTargets(service string) *RejectedError {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.noTargetsLocked(service)
}

// noTargetsLocked is noTargets for callers that hold the mutex.
func (d *Dispatcher) noTargetsLocked(service string) *RejectedError {
	if d.evacuated(service, "") {
		return &RejectedError{Reason: reasonEvacuated, RetryAfter: evacuatedRetryAfter + rand.N(evacuatedRetrySpread)}
	}
	return &RejectedError{Reason: "service has no targets", RetryAfter: noTargetsRetryAfter}
}

// evacuated reports whether targets of a service are evacuated, in a failure domain or, if that is
// empty, in any. The caller holds the mutex.
func (d *Dispatcher) evacuated(service, domain string) bool {
	for _, t := range d.snapshot.Withheld[service] {
		if t.Reason == eligibility.Evacuated && (domain == "" || t.Domain == domain) {
			return true
		}
	}
	return false
}

// withheldService returns the name of a service with withheld targets by its short name; the short name itself if
// there is none. The caller holds the mutex.
func (d *Dispatcher) withheldService(short string) string {
	if _, ok := d.snapshot.Withheld[short]; ok {
		return short
	}
	for name := range d.snapshot.Withheld {
		if packet.ShortName(name) == short {
			return name
		}
	}
	return short
}

// redirectEvacuated responds to a request of another host for a cell whose failure domain is
// evacuated, and reports whether it did. The caller holds the mutex.
func (d *Dispatcher) redirectEvacuated(from netip.AddrPort, m *Message) bool {
	id, ok := parseCell(m.Cell)
	id.service = d.withheldService(id.service)
	if c := d.cells[m.Cell]; !ok || c != nil && c.registered > 0 || !d.evacuated(id.service, id.domain) {
		return false
	}
	response := Message{Kind: kindRejected, ID: m.ID}
	if other := d.otherCell(&cell{id: id}); other != nil && !m.Redirected {
		response.Kind, response.Cell = kindRedirect, other.id.key
	} else {
		rejection := d.noTargetsLocked(id.service)
		if other != nil {
			// The request has been redirected once already.
			rejection.RetryAfter = noTargetsRetryAfter
		}
		response.Reason, response.RetryAfter = rejection.Reason, rejection.RetryAfter
	}
	d.send(from, response)
	return true
}
