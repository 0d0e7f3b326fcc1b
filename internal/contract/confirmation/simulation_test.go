package confirmation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/document"
	"tamaracktiller.example/tamaracktiller/internal/contract/plan"
	"tamaracktiller.example/tamaracktiller/internal/platform/table"
)

var ctx = context.Background()

// simulation runs random operations by operators of two partners against a store that
// loses responses, delays writes and becomes unavailable.
type simulation struct {
	rng     *rand.Rand
	table   *table.Table
	service *Service
	now     time.Time
	ids     int
	plans   []*plan.Plan
	// reportedFailed holds plans whose last confirmation failed with a definite outcome.
	reportedFailed map[string]bool
	// reportedConfirmed holds the revision of each plan whose confirmation succeeded.
	reportedConfirmed map[string]uint64
	shown             map[string][]catalog.Partner
	// lastHead is the head seen by the previous check.
	lastHead *catalog.Head
	failures []string
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 5)), table: table.New(), now: time.Unix(1_000_000, 0), lastHead: &catalog.Head{},
		reportedFailed: map[string]bool{}, reportedConfirmed: map[string]uint64{}, shown: map[string][]catalog.Partner{},
	}
	s.service = New(s.table, nil, func() time.Time { return s.now }, func() string {
		s.ids++
		return fmt.Sprint(s.ids)
	})
	return s
}

var operators = []Operator{{Partner: "exchange", Name: "ana"}, {Partner: "exchange", Name: "ben"}, {Partner: "bitacora", Name: "eva"}}

func service(partner catalog.Partner, share int) catalog.Service {
	name := "service-" + string(partner)
	return catalog.Service{
		Name: name, Partner: partner, Hosts: []string{name}, Pool: "common", Share: share,
		Kinds:     []catalog.Kind{{Name: "k", PathPrefix: "/", Weight: 1, Deadline: document.Duration(time.Second)}},
		Objective: catalog.Objective{Latency: document.Duration(time.Second), GoodPerThousand: 990},
	}
}

// randomIntent returns a random intent. Changes to the common pool affect both partners.
func (s *simulation) randomIntent(by Operator) *catalog.Intent {
	in := &catalog.Intent{Partner: by.Partner, Reason: "race"}
	n := s.rng.IntN(250) + 1
	target := catalog.Target{Name: fmt.Sprint("t", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n)}), 80), Domain: "d", Slots: 1 + n%3, Connections: 10}
	switch s.rng.IntN(3) {
	case 0:
		in.Front = []catalog.Service{service(by.Partner, 1+s.rng.IntN(5))}
		in.Join = []catalog.Join{{Pool: "common", Target: target}}
	case 1:
		in.Join = []catalog.Join{{Pool: "common", Target: target}}
	default:
		in.Leave = []catalog.Leave{{Pool: "common", Target: target.Name, Remove: true}}
	}
	return in
}

func (s *simulation) step() {
	s.now = s.now.Add(time.Second)
	by := operators[s.rng.IntN(len(operators))]
	switch s.rng.IntN(8) {
	case 0, 1:
		if p, err := s.service.Declare(ctx, by, s.randomIntent(by)); err == nil {
			s.plans = append(s.plans, p)
		}
	case 2, 3:
		if p := s.pickPlan(); p != nil {
			if _, err := s.service.Show(ctx, by, p.ID); err == nil {
				s.shown[p.ID] = append(s.shown[p.ID], by.Partner)
				_ = s.service.MarkShown(ctx, by, p.ID)
			}
		}
	case 4, 5:
		if p := s.pickPlan(); p != nil {
			s.confirm(by, p)
		}
	case 6:
		faults := []table.Faults{{}, {}, {Down: true}, {DropResponses: 1 + s.rng.IntN(3)}, {HoldWrites: 1 + s.rng.IntN(3)}, {HoldWrites: 1 + s.rng.IntN(2), OnlyKey: HeadKey}, {DropResponses: 1 + s.rng.IntN(3), OnlyKey: HeadKey}}
		s.table.SetFaults(faults[s.rng.IntN(len(faults))])
	default:
		s.table.ApplyHeldWrites()
	}
	s.check()
}

func (s *simulation) pickPlan() *plan.Plan {
	if len(s.plans) == 0 {
		return nil
	}
	return s.plans[max(0, len(s.plans)-1-s.rng.IntN(6))]
}

func (s *simulation) confirm(by Operator, p *plan.Plan) {
	conf, err := s.service.Confirm(ctx, by, p.ID)
	var unknown *OutcomeUnknownError
	switch {
	case err == nil:
		s.reportedConfirmed[p.ID] = conf.Revision
		delete(s.reportedFailed, p.ID)
	case errors.As(err, &unknown):
		delete(s.reportedFailed, p.ID)
	default:
		s.reportedFailed[p.ID] = true
	}
}

// check compares the outcomes reported to operators with the head in the store. It also
// checks that the revision never decreases and that plans were confirmed by their own
// partner after they had been shown to all affected partners.
func (s *simulation) check() {
	faults := s.table.Faults()
	s.table.SetFaults(table.Faults{})
	head, _, err := loadHead(ctx, s.table)
	s.table.SetFaults(faults)
	if err != nil {
		return
	}
	if head.Revision < s.lastHead.Revision {
		s.failf("revision decreased from %d to %d", s.lastHead.Revision, head.Revision)
	}
	for _, c := range head.History {
		if c.Revision <= s.lastHead.Revision {
			continue
		}
		s.checkConfirmed(c)
	}
	for id, revision := range s.reportedConfirmed {
		if conf, ok := head.FindConfirmation(id); revision > head.Revision || len(head.History) < catalog.HistoryLength && (!ok || conf.Revision != revision) {
			s.failf("plan %s was reported as active at revision %d", id, revision)
		}
	}
	s.lastHead = head
}

func (s *simulation) checkConfirmed(c catalog.Confirmation) {
	if s.reportedFailed[c.ID] {
		s.failf("plan %s was activated after its confirmation was reported as failed", c.ID)
	}
	at := slices.IndexFunc(s.plans, func(p *plan.Plan) bool { return p.ID == c.ID })
	if at < 0 {
		return
	}
	p := s.plans[at]
	if p.Partner != c.Partner {
		s.failf("plan %s of %s was confirmed by %s", c.ID, p.Partner, c.Partner)
	}
	for _, partner := range p.MustBeShownTo() {
		if !slices.Contains(s.shown[c.ID], partner) {
			s.failf("plan %s was not shown to %s", c.ID, partner)
		}
	}
}

func (s *simulation) failf(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

const (
	simulationSeeds = 40
	simulationSteps = 400
)

// TestReportedOutcomesMatchStore checks that no confirmation that was reported as failed is
// applied later, and that none that was reported as successful is missing.
func TestReportedOutcomesMatchStore(t *testing.T) {
	confirmed := 0
	for seed := range uint64(simulationSeeds) {
		s := newSimulation(seed)
		for range simulationSteps {
			s.step()
		}
		require.Empty(t, s.failures, "seed %d", seed)
		confirmed += len(s.reportedConfirmed)
	}
	require.Greater(t, confirmed, simulationSeeds, "the simulations must confirm plans")
}

// TestUnfencedSwapsAreMisreported checks that the simulation detects the failure that the
// fence prevents: a delayed write is applied after the operator got the response that
// nothing changed.
func TestUnfencedSwapsAreMisreported(t *testing.T) {
	var failures []string
	for seed := range uint64(simulationSeeds) {
		s := newSimulation(seed)
		s.service.fenceSwaps = false
		for range simulationSteps {
			s.step()
		}
		failures = append(failures, s.failures...)
	}
	require.NotEmpty(t, failures)
	require.Contains(t, failures[0], "after its confirmation was reported as failed")
}

func TestOpenPlansAreLimitedPerPartner(t *testing.T) {
	s := newSimulation(1)
	in := &catalog.Intent{Partner: "exchange", Reason: "flood", Front: []catalog.Service{service("exchange", 1)}, Join: []catalog.Join{{
		Pool: "common", Target: catalog.Target{Name: "t", Address: netip.MustParseAddrPort("192.0.2.1:80"), Domain: "d", Slots: 1, Connections: 1},
	}}}
	for range MaxOpenPlans {
		_, err := s.service.Declare(ctx, operators[0], in)
		require.NoError(t, err)
	}
	_, err := s.service.Declare(ctx, operators[1], in)
	require.ErrorIs(t, err, ErrTooManyPlans)
	other := *in
	other.Partner, other.Front = "bitacora", []catalog.Service{service("bitacora", 1)}
	_, err = s.service.Declare(ctx, operators[2], &other)
	require.NoError(t, err, "the limit must not affect other partners")
	s.now = s.now.Add(PlanLifetime + time.Second)
	_, err = s.service.Declare(ctx, operators[0], in)
	require.NoError(t, err, "expired plans must not count")
}

func TestStalePlanIsRejectedWithNewPlan(t *testing.T) {
	s := newSimulation(1)
	declare := func(by Operator, n byte) *plan.Plan {
		p, err := s.service.Declare(ctx, by, &catalog.Intent{Partner: by.Partner, Reason: "r", Join: []catalog.Join{{
			Pool: "common", Target: catalog.Target{Name: fmt.Sprint("t", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, n}), 80), Domain: "d", Slots: 1, Connections: 1},
		}}})
		require.NoError(t, err)
		return p
	}
	first, second := declare(operators[0], 1), declare(operators[2], 2)
	_, err := s.service.Confirm(ctx, operators[0], first.ID)
	require.NoError(t, err)
	_, err = s.service.Confirm(ctx, operators[2], second.ID)
	var stale *StaleError
	require.ErrorAs(t, err, &stale)
	require.EqualValues(t, 1, stale.NewPlan.BaseRevision)
	_, err = s.service.Confirm(ctx, operators[2], stale.NewPlan.ID)
	require.NoError(t, err)
}

// TestReplacedAddressMustBeShown checks that a target cannot be replaced by one of the same
// name with another address without showing the plan to the affected partner.
func TestReplacedAddressMustBeShown(t *testing.T) {
	base := catalog.New()
	base.Services["service-exchange"] = service("exchange", 1)
	target := catalog.Target{Name: "t", Address: netip.MustParseAddrPort("192.0.2.1:80"), Domain: "d", Slots: 1, Connections: 1}
	base.Pools["common"] = catalog.Pool{Name: "common", Targets: []catalog.Target{target}}
	target.Address = netip.MustParseAddrPort("192.0.2.66:80")
	p, _, err := plan.Compute(base, &catalog.Intent{
		Partner: "bitacora", Reason: "r", Leave: []catalog.Leave{{Pool: "common", Target: "t", Remove: true}}, Join: []catalog.Join{{Pool: "common", Target: target}},
	})
	require.NoError(t, err)
	require.Equal(t, []catalog.Partner{"exchange"}, p.MustBeShownTo())
}
