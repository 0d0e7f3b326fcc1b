package balancer

// This file defines what ties the ledger to the fleet: who is there, and how
// questions travel.

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
	// ledgerPath is the path of questions between ledgers.
	ledgerPath = "/ledger"
	// maxQuestion bounds one of them, in bytes.
	maxQuestion = 64 << 20
	// lostAfter is the silence after which an incarnation counts as lost, while
	// most domains are heard.
	lostAfter = time.Minute
	// suspectTime is the time for which a host that did not answer is passed over.
	suspectTime = 3 * time.Second
	// askTimeout bounds the wait for an answer.
	askTimeout = 600 * time.Millisecond
	// maintainPeriod is the time between two looks at the owned partitions.
	maintainPeriod = 30 * time.Second
)

// ledgerFleet is the ledger's view of the fleet.
type ledgerFleet struct {
	snapshot func() *controller.Snapshot
	fresh    func() bool

	mu sync.Mutex
	// missing holds since when a member is not in the view.
	missing map[ledger.Member]time.Time
	// suspects holds until when a member that did not answer counts as gone.
	suspects map[string]time.Time
	// domains is the largest number of domains that were heard at a time.
	domains int
}

var _ ledger.Fleet = (*ledgerFleet)(nil)

func newLedgerFleet(snapshot func() *controller.Snapshot, fresh func() bool) *ledgerFleet {
	return &ledgerFleet{snapshot: snapshot, fresh: fresh, missing: map[ledger.Member]time.Time{}, suspects: map[string]time.Time{}}
}

func memberOf(h member.Host) ledger.Member {
	return ledger.Member{Host: h.Name, Incarnation: h.Incarnation}
}

// find returns the host with the name, among those that serve or are leaving.
func (f *ledgerFleet) find(s *controller.Snapshot, name string) (member.Host, bool) {
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

// Alive implements ledger.Fleet. A host that leaves hands its partitions over, so
// it does not count.
func (f *ledgerFleet) Alive(m ledger.Member) bool {
	s := f.snapshot()
	h, ok := f.find(s, m.Host)
	return ok && h.Incarnation == m.Incarnation && !h.Leaving && !f.suspected(m.Host)
}

// Ready implements ledger.Fleet.
func (f *ledgerFleet) Ready() bool { return f.fresh() }

// Suspect implements ledger.Fleet. Heartbeats take longer to tell.
func (f *ledgerFleet) Suspect(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects[host] = time.Now().Add(suspectTime)
}

func (f *ledgerFleet) suspected(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	until, ok := f.suspects[host]
	if ok && time.Now().After(until) {
		delete(f.suspects, host)
		return false
	}
	return ok
}

// names returns the hosts that may take part in a partition.
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
	f.domains = max(f.domains, len(s.View.Domains))
	h, ok := f.find(s, m.Host)
	if ok && h.Incarnation != "" {
		delete(f.missing, m)
		return h.Incarnation != m.Incarnation
	}
	since, known := f.missing[m]
	if !known {
		f.missing[m] = time.Now()
		return false
	}
	return 2*len(s.View.Domains) > f.domains && time.Since(since) > lostAfter
}

// First implements ledger.Fleet.
func (f *ledgerFleet) First(partition int) ledger.Member {
	s := f.snapshot()
	name := route.First(rankKey(partition), f.names(s))
	h, _ := f.find(s, name)
	return memberOf(h)
}

// Witnesses implements ledger.Fleet: first one host of each other domain, then
// the rest, and hosts of the own domain last.
func (f *ledgerFleet) Witnesses(partition int) []ledger.Member {
	s := f.snapshot()
	var first, rest, near []ledger.Member
	var seen []string
	for _, name := range route.Rank(rankKey(partition), f.names(s)) {
		h, ok := f.find(s, name)
		switch {
		case !ok || name == s.Self.Name:
		case h.Domain == s.Self.Domain:
			near = append(near, memberOf(h))
		case slices.Contains(seen, h.Domain):
			rest = append(rest, memberOf(h))
		default:
			seen = append(seen, h.Domain)
			first = append(first, memberOf(h))
		}
	}
	return slices.Concat(first, rest, near)
}

func rankKey(partition int) string { return fmt.Sprintf("ledger/%d", partition) }

// ledgerTransport carries questions over the connections of the gateway.
type ledgerTransport struct {
	gateway func() *gateway.Gateway
	fleet   *ledgerFleet
}

var _ ledger.Transport = (*ledgerTransport)(nil)

// Ask implements ledger.Transport.
func (t *ledgerTransport) Ask(ctx context.Context, host string, q *ledger.Message) (*ledger.Message, error) {
	question, err := cbor.Marshal(q)
	if err != nil {
		return nil, errors.Wrap(err, "balancer: ledger question")
	}
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	data, err := t.gateway().Ask(ctx, host, ledgerPath, question)
	if err != nil {
		if parent.Err() == nil {
			t.fleet.Suspect(host)
		}
		return nil, err
	}
	var answer ledger.Message
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return nil, errors.Wrap(err, "balancer: ledger answer")
	}
	return &answer, nil
}

// serveLedger answers questions of other hosts.
func serveLedger(s *ledger.Service) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(io.LimitReader(r.Body, maxQuestion))
		if err != nil {
			return
		}
		var q ledger.Message
		if err := cbor.Unmarshal(data, &q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := cbor.Marshal(s.Handle(r.Context(), &q))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = w.Write(answer)
	}
}
