package quota

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/account/credit"
	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
)

// hostClock is a clock that tests set.
type hostClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *hostClock) read() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *hostClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// newService returns the service of a host that is alone in the fleet, and the number of messages that it
// has sent to others.
func newService(clock *hostClock, accounts ...routing.Account) (*Service, *int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := directory.Host{Name: "a", Incarnation: "1", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")}
	sent := new(int)
	s := New(Config{
		Self: self, ViewAge: func() time.Duration { return 0 }, SinceBoot: clock.read, Log: log.WithField("prefix", "quota"),
		Send: func(netip.AddrPort, credit.Message) error { *sent++; return nil },
	})
	s.Start()
	s.SetSnapshot(&directory.Snapshot{Hosts: map[string]directory.Host{"a": self}, Table: &routing.Table{Config: &routing.Config{Accounts: accounts}}})
	return s, sent
}

func run(s *Service, clock *hostClock, length time.Duration) {
	for end := clock.read() + length; clock.read() < end; clock.advance(credit.PollPeriod) {
		s.Tick(time.Time{})
	}
}

// Guards against charges that wait although credit can't arrive in time, and against a host alone that
// finds no credit host.
func TestHostAloneServesTheBurstAndRefusesTheRestAtOnce(t *testing.T) {
	clock := &hostClock{now: time.Hour}
	a := routing.Account{Name: "x", PerSecond: 2, Burst: 10}
	s, sent := newService(clock, a)
	run(s, clock, 7*time.Second)
	served := 0
	var exceeded *ExceededError
	for range 40 {
		clock.advance(credit.DemandPeriod)
		started := time.Now()
		_, err := s.Charge(t.Context(), "r", &a)
		if err == nil {
			served++
			continue
		}
		require.ErrorAs(t, err, &exceeded)
		require.Less(t, time.Since(started), 100*time.Millisecond)
		require.Positive(t, exceeded.RetryAfter)
	}
	require.GreaterOrEqual(t, served, 10)
	require.LessOrEqual(t, served, 13)
	require.Zero(t, *sent)
}

// Guards against refunds that are lost or counted twice.
func TestRefundedRequestIsNotCharged(t *testing.T) {
	clock := &hostClock{now: time.Hour}
	a := routing.Account{Name: "x", PerSecond: 0.001, Burst: 3}
	s, _ := newService(clock, routing.Account{Name: "x", PerSecond: 1000, Burst: 3})
	run(s, clock, 2*time.Second)
	s.SetSnapshot(&directory.Snapshot{Hosts: s.snapshot.Hosts, Table: &routing.Table{Config: &routing.Config{Accounts: []routing.Account{a}}}})
	served := 0
	for n := range 30 {
		clock.advance(credit.DemandPeriod)
		refund, err := s.Charge(t.Context(), "r", &a)
		if err != nil {
			break
		}
		served++
		if n < 20 {
			refund()
		}
	}
	require.Equal(t, 23, served)
}

// Guards against requests that wait for ever, or that keep waiting credit from others, when no credit host
// responds or their client leaves.
func TestWaitsEnd(t *testing.T) {
	clock := &hostClock{now: time.Hour}
	a := routing.Account{Name: "x", PerSecond: 2, Burst: 1}
	s, _ := newService(clock, a)
	s.SetSnapshot(&directory.Snapshot{Table: &routing.Table{Config: &routing.Config{Accounts: []routing.Account{a}}}, HostChanges: 1})
	var unavailable *UnavailableError
	_, err := s.Charge(t.Context(), "r", &a)
	require.ErrorAs(t, err, &unavailable)
	clock.advance(time.Second)
	started := time.Now()
	_, err = s.Charge(t.Context(), "r", &a)
	require.ErrorAs(t, err, &unavailable)
	require.Less(t, time.Since(started), time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = s.Charge(ctx, "r", &a)
	require.True(t, errors.Is(err, context.Canceled), "%v", err)
	require.Empty(t, s.waiters)
}

// Guards against messages and state of fleets without quotas.
func TestWithoutQuotasNothingIsSent(t *testing.T) {
	clock := &hostClock{now: time.Hour}
	unlimited := routing.Account{Name: "x"}
	s, sent := newService(clock, unlimited)
	s.snapshot.Hosts["b"] = directory.Host{Name: "b"}
	s.spender.SetCandidates([]string{"b", "a"})
	run(s, clock, 3*time.Second)
	_, err := s.Charge(t.Context(), "r", &unlimited)
	require.NoError(t, err)
	require.Zero(t, *sent)
	require.Zero(t, s.spender.Accounts())
	require.Equal(t, Status{Hosts: 0}, s.Status())
}

// BenchmarkCharge measures a charge for which the host has credit.
func BenchmarkCharge(b *testing.B) {
	clock := &hostClock{now: time.Hour}
	a := routing.Account{Name: "x", PerSecond: 1e12, Burst: 1e12}
	s, _ := newService(clock, a)
	run(s, clock, 2*time.Second)
	for b.Loop() {
		refund, err := s.Charge(b.Context(), "r", &a)
		if err != nil {
			b.Fatal(err)
		}
		refund()
	}
}
