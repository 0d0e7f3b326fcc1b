package balancer

// This file connects the ledger to the fleet: its view of the membership and its transport.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/fleet/member"
	"tamaracktiller.example/tamaracktiller/internal/traffic/gateway"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ledger"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

const (
	// ledgerPath is the path of ledger requests between hosts.
	ledgerPath = "/ledger"
	// maxLedgerBytes limits the size of a ledger request.
	maxLedgerBytes = 64 << 20
	// lostAfter is the time after which a missing incarnation counts as lost, provided that
	// most failure domains are present.
	lostAfter = time.Minute
	// suspectTTL is the time for which a host that did not respond is not used.
	suspectTTL = 3 * time.Second
	// ledgerTimeout limits the wait for the response to a ledger request.
	ledgerTimeout = 600 * time.Millisecond
	// maintainPeriod is the interval at which the owned partitions are maintained.
	maintainPeriod = 30 * time.Second
)

// ledgerFleet is the ledger's view of the fleet. It is safe for concurrent use.
type ledgerFleet struct {
	snapshot func() *controller.Snapshot
	ready    func() bool

	mu sync.Mutex
	// missingSince holds the time at which a member was first found missing.
	missingSince map[ledger.Member]time.Time
	// suspectUntil holds the end of the time for which a host counts as not alive because
	// it did not respond.
	suspectUntil map[string]time.Time
	// maxDomains is the largest number of failure domains seen at the same time.
	maxDomains int
}

var _ ledger.Fleet = (*ledgerFleet)(nil)

func newLedgerFleet(snapshot func() *controller.Snapshot, ready func() bool) *ledgerFleet {
	return &ledgerFleet{snapshot: snapshot, ready: ready, missingSince: map[ledger.Member]time.Time{}, suspectUntil: map[string]time.Time{}}
}

func memberOf(h member.Host) ledger.Member {
	return ledger.Member{Host: h.Name, Incarnation: h.Incarnation}
}

// findHost returns the host with the given name, if it is in the snapshot.
func (f *ledgerFleet) findHost(s *controller.Snapshot, name string) (member.Host, bool) {
	if s.Self.Name == name {
		return s.Self, true
	}
	for _, hosts := range s.View.Domains {
		for _, h := range hosts {
			if h.Name == name {
				return h, true
			}
		}
	}
	return member.Host{}, false
}

// Alive implements ledger.Fleet. A draining host does not count as alive, so that other hosts
// take over its partitions.
func (f *ledgerFleet) Alive(m ledger.Member) bool {
	s := f.snapshot()
	h, ok := f.findHost(s, m.Host)
	return ok && h.Incarnation == m.Incarnation && !h.Draining && !f.suspected(m.Host)
}

// Ready implements ledger.Fleet.
func (f *ledgerFleet) Ready() bool { return f.ready() }

// Suspect implements ledger.Fleet. It detects a failed host sooner than heartbeats do.
func (f *ledgerFleet) Suspect(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspectUntil[host] = time.Now().Add(suspectTTL)
}

func (f *ledgerFleet) suspected(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	until, ok := f.suspectUntil[host]
	if ok && time.Now().After(until) {
		delete(f.suspectUntil, host)
		return false
	}
	return ok
}

// names returns the hosts that may be the owner or a witness of a partition.
func (f *ledgerFleet) names(s *controller.Snapshot) []string {
	names := make([]string, 0, len(s.HostNames()))
	for _, name := range s.HostNames() {
		if !f.suspected(name) {
			names = append(names, name)
		}
	}
	return names
}

// Lost implements ledger.Fleet.
func (f *ledgerFleet) Lost(m ledger.Member) bool {
	s := f.snapshot()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxDomains = max(f.maxDomains, len(s.View.Domains))
	h, ok := f.findHost(s, m.Host)
	if ok && h.Incarnation != "" {
		delete(f.missingSince, m)
		return h.Incarnation != m.Incarnation
	}
	since, known := f.missingSince[m]
	if !known {
		f.missingSince[m] = time.Now()
		return false
	}
	return 2*len(s.View.Domains) > f.maxDomains && time.Since(since) > lostAfter
}

// PreferredOwner implements ledger.Fleet.
func (f *ledgerFleet) PreferredOwner(partition int) ledger.Member {
	s := f.snapshot()
	name := route.RankFirst(rankKey(partition), f.names(s))
	h, _ := f.findHost(s, name)
	return memberOf(h)
}

// Witnesses implements ledger.Fleet. It returns one host of each other domain first, then the
// remaining hosts of other domains, and hosts of the local domain last.
func (f *ledgerFleet) Witnesses(partition int) []ledger.Member {
	s := f.snapshot()
	var firstOfDomain, others, local []ledger.Member
	var seenDomains []string
	for _, name := range route.Rank(rankKey(partition), f.names(s)) {
		h, ok := f.findHost(s, name)
		switch {
		case !ok || name == s.Self.Name:
		case h.Domain == s.Self.Domain:
			local = append(local, memberOf(h))
		case slices.Contains(seenDomains, h.Domain):
			others = append(others, memberOf(h))
		default:
			seenDomains = append(seenDomains, h.Domain)
			firstOfDomain = append(firstOfDomain, memberOf(h))
		}
	}
	return slices.Concat(firstOfDomain, others, local)
}

func rankKey(partition int) string { return fmt.Sprintf("ledger/%d", partition) }

// ledgerTransport sends ledger requests over the gateway's connections to other balancers.
type ledgerTransport struct {
	gateway func() *gateway.Gateway
	fleet   *ledgerFleet
}

var _ ledger.Transport = (*ledgerTransport)(nil)

// Call implements ledger.Transport.
func (t *ledgerTransport) Call(ctx context.Context, host string, req *ledger.Message) (*ledger.Message, error) {
	data, err := cbor.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "balancer: encode ledger request")
	}
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	reply, err := t.gateway().PostToHost(ctx, host, ledgerPath, data)
	if err != nil {
		if parent.Err() == nil {
			t.fleet.Suspect(host)
		}
		return nil, err
	}
	var resp ledger.Message
	if err := cbor.Unmarshal(reply, &resp); err != nil {
		return nil, errors.Wrap(err, "balancer: decode ledger response")
	}
	return &resp, nil
}

// serveLedger returns a handler for ledger requests from other hosts.
func serveLedger(s *ledger.Service) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(io.LimitReader(r.Body, maxLedgerBytes))
		if err != nil {
			return
		}
		var req ledger.Message
		if err := cbor.Unmarshal(data, &req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		resp, err := cbor.Marshal(s.Handle(r.Context(), &req))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(resp)))
		_, _ = w.Write(resp)
	}
}
