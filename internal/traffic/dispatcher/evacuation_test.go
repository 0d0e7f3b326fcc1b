package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
)

// evacuate returns a snapshot like s in which failure domains are evacuated.
func evacuate(s *directory.Snapshot, domains ...string) *directory.Snapshot {
	next := *s
	next.Evacuated = map[string]bool{}
	for _, domain := range domains {
		next.Evacuated[domain] = true
	}
	next.Targets, next.Withheld = map[string][]roster.ActiveTarget{}, map[string][]roster.WithheldTarget{}
	for service, list := range s.Targets {
		for _, t := range list {
			if next.Evacuated[t.Domain] {
				next.Withheld[service] = append(next.Withheld[service], roster.WithheldTarget{ID: t.ID, Service: service, Domain: t.Domain, Reason: eligibility.Evacuated})
				continue
			}
			next.Targets[service] = append(next.Targets[service], t)
		}
	}
	next.TargetChanges++
	return &next
}

// newSpreadFleet returns a fleet of hosts and targets in three failure domains, and its snapshot.
func newSpreadFleet(t *testing.T, hosts, targetCount int) (*fleet, []*Dispatcher, *directory.Snapshot) {
	t.Helper()
	f, list := newFleet(t, hosts, targetCount, 3)
	s := *list[0].snapshot
	s.Hosts, s.Targets = map[string]directory.Host{}, map[string][]roster.ActiveTarget{}
	for name, h := range list[0].snapshot.Hosts {
		h.Domain = fmt.Sprintf("d-%d", h.PeerAddress.Addr().As4()[3]%3)
		s.Hosts[name] = h
	}
	for n, target := range list[0].snapshot.Targets["s"] {
		target.Domain = fmt.Sprintf("d-%d", n%3)
		s.Targets["s"] = append(s.Targets["s"], target)
	}
	s.HostChanges++
	for _, d := range list {
		d.SetSnapshot(&s, nil)
	}
	return f, list, &s
}

func domainOf(s *directory.Snapshot, target string) string {
	for _, t := range s.Targets["s"] {
		if t.ID == target {
			return t.Domain
		}
	}
	return ""
}

// Guards against grants of targets whose domain is evacuated while only some hosts know of it, and
// against hosts that take the dispatcher that knows of it for unavailable: they would dispatch their
// own requests for seconds.
func TestRequestsLeaveEvacuatedDomainAlthoughViewsDiffer(t *testing.T) {
	for _, targetCount := range []int{12, 60} {
		for _, knows := range []string{"senders", "dispatchers"} {
			t.Run(fmt.Sprintf("%d targets, only %s know", targetCount, knows), func(t *testing.T) {
				f, list, s := newSpreadFleet(t, 6, targetCount)
				sender := list[0]
				after := evacuate(s, "d-1")
				for _, d := range list {
					if (d == sender) == (knows == "senders") {
						d.SetSnapshot(after, nil)
					}
				}
				for n := range 40 {
					req := newRequest(5 * time.Second)
					req.Domain = fmt.Sprintf("d-%d", n%3)
					grant, err := sender.Place(t.Context(), req)
					require.NoError(t, err)
					if knows == "senders" || grant.DispatchedBy() != "" {
						require.NotEqual(t, "d-1", domainOf(s, grant.ID))
					}
					sender.Done(grant, Outcome{Result: placement.Served})
				}
				sender.mu.Lock()
				defer sender.mu.Unlock()
				require.Empty(t, sender.suspectedUntil, "no dispatcher is passed over")
				_ = f
			})
		}
	}
}

func TestWaitingRequestsLeaveEvacuatedDomain(t *testing.T) {
	f, list, s := newSpreadFleet(t, 1, 27)
	d := list[0]
	f.mu.Lock()
	f.load.Running = 3
	full := f.load
	f.mu.Unlock()
	d.mu.Lock()
	for _, target := range s.Targets["s"] {
		d.chooser.RecordLoad(time.Now(), target.ID, full)
	}
	d.mu.Unlock()
	results := make(chan error, 12)
	for range cap(results) {
		go func() {
			grant, err := d.Place(t.Context(), newRequest(5*time.Second))
			if err == nil && domainOf(s, grant.ID) != "d-2" {
				err = fmt.Errorf("target %s of an evacuated domain", grant.ID)
			}
			results <- err
		}()
	}
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		n := 0
		for _, c := range d.cells {
			n += c.queue.Len()
		}
		return n == cap(results)
	}, 5*time.Second, time.Millisecond)
	d.SetSnapshot(evacuate(s, "d-0", "d-1"), nil)
	f.mu.Lock()
	f.load.Running = 0
	f.mu.Unlock()
	for range cap(results) {
		require.NoError(t, <-results)
	}
}

func TestRequestsForEvacuatedServiceGetReasonAndRetryAfter(t *testing.T) {
	tests := []struct {
		name  string
		knows func(n int) bool
	}{
		{name: "all hosts know", knows: func(int) bool { return true }},
		{name: "all but the sender know", knows: func(n int) bool { return n > 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, list, s := newSpreadFleet(t, 4, 60)
			for n, d := range list {
				if tt.knows(n) {
					d.SetSnapshot(evacuate(s, "d-0", "d-1", "d-2"), nil)
				}
			}
			rejected := 0
			for range 10 {
				grant, err := list[0].Place(t.Context(), newRequest(time.Second))
				if err == nil {
					require.Empty(t, grant.DispatchedBy(), "a host that does not know yet dispatches only cells of its own")
					continue
				}
				var rejection *RejectedError
				require.ErrorAs(t, err, &rejection)
				require.Equal(t, reasonEvacuated, rejection.Reason)
				require.GreaterOrEqual(t, rejection.RetryAfter, evacuatedRetryAfter)
				rejected++
			}
			require.Positive(t, rejected)
		})
	}
}

// Guards against an evacuation that changes the cells of the other domains: their dispatchers would
// change, and the hosts that learn of it later would ask for cells that do not exist.
func TestEvacuationKeepsCellsOfOtherDomains(t *testing.T) {
	_, list, s := newSpreadFleet(t, 1, 30)
	d := list[0]
	before := map[string]bool{}
	for _, c := range d.services["s"] {
		before[c.id.key] = true
	}
	require.Len(t, before, 3)
	d.SetSnapshot(evacuate(s, "d-0", "d-1"), nil)
	require.Len(t, d.services["s"], 1)
	require.True(t, before[d.services["s"][0].id.key])
}

// Guards against probes of targets whose domain is evacuated.
func TestEvacuatedTargetsAreNotProbed(t *testing.T) {
	f, list, s := newSpreadFleet(t, 2, 12)
	for _, d := range list {
		d.SetSnapshot(evacuate(s, "d-1"), nil)
	}
	for range 50 {
		grant := f.place(t, list[0])
		f.finish(list[0], grant)
		list[1].Tick(time.Now())
	}
	for target, n := range f.probes {
		require.NotEqual(t, "d-1", domainOf(s, target), "%d probes of %s", n, target)
	}
	require.Equal(t, map[eligibility.Reason]int{eligibility.Evacuated: 4}, list[0].WithheldTargets())
}
