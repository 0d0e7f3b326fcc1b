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

// race is a run in which operators of two partners plan and confirm against a
// store that loses answers and delays writes.
type race struct {
	rng     *rand.Rand
	table   *table.Table
	service *Service
	now     time.Time
	ids     int
	plans   []*plan.Plan
	// toldFailed holds plans whose confirmation was refused for good.
	toldFailed map[string]bool
	toldDone   map[string]uint64
	shown      map[string][]catalog.Partner
	head       *catalog.Head
	failures   []string
}

func newRace(seed uint64) *race {
	r := &race{
		rng: rand.New(rand.NewPCG(seed, 5)), table: table.New(), now: time.Unix(1_000_000, 0), head: &catalog.Head{},
		toldFailed: map[string]bool{}, toldDone: map[string]uint64{}, shown: map[string][]catalog.Partner{},
	}
	r.service = New(r.table, nil, func() time.Time { return r.now }, func() string {
		r.ids++
		return fmt.Sprint(r.ids)
	})
	return r
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

// intent draws a change; those to the common pool touch both partners.
func (r *race) intent(by Operator) *catalog.Intent {
	in := &catalog.Intent{Partner: by.Partner, Reason: "race"}
	n := r.rng.IntN(250) + 1
	target := catalog.Target{Name: fmt.Sprint("t", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n)}), 80), Domain: "d", Slots: 1 + n%3, Connections: 10}
	switch r.rng.IntN(3) {
	case 0:
		in.Front = []catalog.Service{service(by.Partner, 1+r.rng.IntN(5))}
		in.Join = []catalog.Join{{Pool: "common", Target: target}}
	case 1:
		in.Join = []catalog.Join{{Pool: "common", Target: target}}
	default:
		in.Leave = []catalog.Leave{{Pool: "common", Target: target.Name, Remove: true}}
	}
	return in
}

func (r *race) step() {
	r.now = r.now.Add(time.Second)
	by := operators[r.rng.IntN(len(operators))]
	switch r.rng.IntN(8) {
	case 0, 1:
		if p, err := r.service.Declare(ctx, by, r.intent(by)); err == nil {
			r.plans = append(r.plans, p)
		}
	case 2, 3:
		if p := r.pick(); p != nil {
			if _, err := r.service.Show(ctx, by, p.ID); err == nil {
				r.shown[p.ID] = append(r.shown[p.ID], by.Partner)
				_ = r.service.MarkShown(ctx, by, p.ID)
			}
		}
	case 4, 5:
		if p := r.pick(); p != nil {
			r.confirm(by, p)
		}
	case 6:
		faults := []table.Faults{{}, {}, {Down: true}, {LoseAnswers: 1 + r.rng.IntN(3)}, {HoldWrites: 1 + r.rng.IntN(3)}, {HoldWrites: 1 + r.rng.IntN(2), OnlyKey: HeadKey}, {LoseAnswers: 1 + r.rng.IntN(3), OnlyKey: HeadKey}}
		r.table.SetFaults(faults[r.rng.IntN(len(faults))])
	default:
		r.table.Release()
	}
	r.check()
}

func (r *race) pick() *plan.Plan {
	if len(r.plans) == 0 {
		return nil
	}
	return r.plans[max(0, len(r.plans)-1-r.rng.IntN(6))]
}

func (r *race) confirm(by Operator, p *plan.Plan) {
	done, err := r.service.Confirm(ctx, by, p.ID)
	var undecided *UndecidedError
	switch {
	case err == nil:
		r.toldDone[p.ID] = done.Revision
		delete(r.toldFailed, p.ID)
	case errors.As(err, &undecided):
		delete(r.toldFailed, p.ID)
	default:
		r.toldFailed[p.ID] = true
	}
}

// check asserts after every step, against the store itself, that what operators
// were told is true and that nothing went back or past a partner.
func (r *race) check() {
	faults := r.table.Faults()
	r.table.SetFaults(table.Faults{})
	head, _, err := loadHead(ctx, r.table)
	r.table.SetFaults(faults)
	if err != nil {
		return
	}
	if head.Revision < r.head.Revision {
		r.fail("revision went from %d back to %d", r.head.Revision, head.Revision)
	}
	for _, c := range head.History {
		if c.Revision <= r.head.Revision {
			continue
		}
		r.checkConfirmed(c)
	}
	for id, revision := range r.toldDone {
		if done, ok := head.Confirmed(id); revision > head.Revision || len(head.History) < catalog.HistoryLength && (!ok || done.Revision != revision) {
			r.fail("plan %s was said to be in force at %d", id, revision)
		}
	}
	r.head = head
}

func (r *race) checkConfirmed(c catalog.Confirmation) {
	if r.toldFailed[c.ID] {
		r.fail("plan %s came in force after it was said to have failed", c.ID)
	}
	at := slices.IndexFunc(r.plans, func(p *plan.Plan) bool { return p.ID == c.ID })
	if at < 0 {
		return
	}
	p := r.plans[at]
	if p.Partner != c.Partner {
		r.fail("plan %s of %s was confirmed by %s", c.ID, p.Partner, c.Partner)
	}
	for _, partner := range p.MustBeShownTo() {
		if !slices.Contains(r.shown[c.ID], partner) {
			r.fail("plan %s was not shown to %s", c.ID, partner)
		}
	}
}

func (r *race) fail(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

const (
	raceSeeds = 40
	raceSteps = 400
)

func TestOperatorsAreToldTheTruth(t *testing.T) {
	confirmed := 0
	for seed := range uint64(raceSeeds) {
		r := newRace(seed)
		for range raceSteps {
			r.step()
		}
		require.Empty(t, r.failures, "seed %d", seed)
		confirmed += len(r.toldDone)
	}
	require.Greater(t, confirmed, raceSeeds, "the runs must confirm plans")
}

// TestNaiveSettlementLies shows that the check above can fail: without the fence
// a delayed write lands after the operator was told that nothing changed.
func TestNaiveSettlementLies(t *testing.T) {
	var failures []string
	for seed := range uint64(raceSeeds) {
		r := newRace(seed)
		r.service.fences = false
		for range raceSteps {
			r.step()
		}
		failures = append(failures, r.failures...)
	}
	require.NotEmpty(t, failures)
	require.Contains(t, failures[0], "after it was said to have failed")
}

func TestFloodOfPlansIsRefused(t *testing.T) {
	r := newRace(1)
	in := &catalog.Intent{Partner: "exchange", Reason: "flood", Front: []catalog.Service{service("exchange", 1)}, Join: []catalog.Join{{
		Pool: "common", Target: catalog.Target{Name: "t", Address: netip.MustParseAddrPort("192.0.2.1:80"), Domain: "d", Slots: 1, Connections: 1},
	}}}
	for range MaxOpenPlans {
		_, err := r.service.Declare(ctx, operators[0], in)
		require.NoError(t, err)
	}
	_, err := r.service.Declare(ctx, operators[1], in)
	require.ErrorIs(t, err, ErrTooManyPlans)
	other := *in
	other.Partner, other.Front = "bitacora", []catalog.Service{service("bitacora", 1)}
	_, err = r.service.Declare(ctx, operators[2], &other)
	require.NoError(t, err, "one partner's flood must not stop the other")
	r.now = r.now.Add(PlanLifetime + time.Second)
	_, err = r.service.Declare(ctx, operators[0], in)
	require.NoError(t, err, "old plans must make room")
}

func TestStalePlanIsRefusedWithAFreshOne(t *testing.T) {
	r := newRace(1)
	declare := func(by Operator, n byte) *plan.Plan {
		p, err := r.service.Declare(ctx, by, &catalog.Intent{Partner: by.Partner, Reason: "r", Join: []catalog.Join{{
			Pool: "common", Target: catalog.Target{Name: fmt.Sprint("t", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, n}), 80), Domain: "d", Slots: 1, Connections: 1},
		}}})
		require.NoError(t, err)
		return p
	}
	first, second := declare(operators[0], 1), declare(operators[2], 2)
	_, err := r.service.Confirm(ctx, operators[0], first.ID)
	require.NoError(t, err)
	_, err = r.service.Confirm(ctx, operators[2], second.ID)
	var stale *StaleError
	require.ErrorAs(t, err, &stale)
	require.EqualValues(t, 1, stale.Fresh.BaseRevision)
	_, err = r.service.Confirm(ctx, operators[2], stale.Fresh.ID)
	require.NoError(t, err)
}

// TestReplacedAddressIsShown checks that a target cannot be swapped for another
// address under its name unseen.
func TestReplacedAddressIsShown(t *testing.T) {
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
