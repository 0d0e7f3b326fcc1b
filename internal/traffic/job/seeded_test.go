package job

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/platform/table"
)

// shop is a few hosts that accept and work off jobs against a store with outages,
// lost answers and delayed writes, while runs fail and hosts die.
type shop struct {
	mu       sync.Mutex
	rng      *rand.Rand
	table    *table.Table
	hosts    []*Service
	failing  bool
	ran      map[string]int
	accepted map[string]bool
	refused  map[string]bool
}

func newShop(seed uint64, fences bool) *shop {
	s := &shop{rng: rand.New(rand.NewPCG(seed, 8)), table: table.New(), ran: map[string]int{}, accepted: map[string]bool{}, refused: map[string]bool{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range 3 {
		host := NewService(Config{Holder: fmt.Sprint("host-", i), Store: s.table, Run: s.run, Now: time.Now, Log: logrus.NewEntry(log)})
		host.fences = fences
		s.hosts = append(s.hosts, host)
	}
	return s
}

func (s *shop) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// run runs a job; some runs take long, some fail, some are cut off by the death of
// the host after the work was done.
func (s *shop) run(_ context.Context, j Job) string {
	time.Sleep(time.Duration(s.draw(2000)) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing || s.rng.IntN(4) == 0 {
		return "target failed"
	}
	s.ran[j.ID]++
	if s.rng.IntN(8) == 0 {
		return "answer was lost"
	}
	return ""
}

func (s *shop) submit(n int) {
	id := fmt.Sprint("job-", n)
	now := time.Now()
	err := s.hosts[s.draw(len(s.hosts))].Accept(context.Background(), Job{ID: id, AcceptedMilli: now.UnixMilli(), DueMilli: now.Add(10 * time.Minute).UnixMilli()})
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.accepted[id] = true
	case errors.Is(err, ErrNotAccepted):
		s.refused[id] = true
	}
}

func (s *shop) disturb() {
	faults := []table.Faults{{}, {}, {Down: true}, {LoseAnswers: 2}, {HoldWrites: 2}, {HoldWrites: 1, LoseAnswers: 1}}
	s.table.SetFaults(faults[s.draw(len(faults))])
	if s.draw(2) == 0 {
		s.table.Release()
	}
}

// work lets the hosts that are alive work for a time.
func (s *shop) work(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(WorkPeriod) {
		g := group.New(context.Background())
		for _, host := range s.hosts {
			if s.draw(4) == 0 {
				continue
			}
			g.Go("work", func(ctx context.Context) error {
				host.Work(ctx)
				return nil
			})
		}
		_ = g.Wait()
	}
}

func (s *shop) play(jobs int) {
	g := group.New(context.Background())
	for n := range jobs {
		g.Go("submit", func(context.Context) error {
			s.submit(n)
			return nil
		})
		if n%5 == 0 {
			s.disturb()
			s.work(4 * time.Second)
		}
	}
	_ = g.Wait()
	s.table.SetFaults(table.Faults{})
	s.table.Release()
	s.work(2 * time.Hour)
}

const (
	jobSeeds = 12
	jobCount = 80
)

func TestAcceptedJobsArriveAndRefusedOnesDoNot(t *testing.T) {
	accepted := 0
	for seed := range uint64(jobSeeds) {
		synctest.Test(t, func(t *testing.T) {
			s := newShop(seed, true)
			s.play(jobCount)
			for id := range s.accepted {
				require.Positive(t, s.ran[id], "seed %d: %s was accepted and did not arrive", seed, id)
			}
			for id := range s.refused {
				require.Zero(t, s.ran[id], "seed %d: %s was refused and ran", seed, id)
			}
			require.Zero(t, s.hosts[0].Backlog().Waiting)
			accepted += len(s.accepted)
		})
	}
	require.Greater(t, accepted, jobSeeds*jobCount/4)
}

// naiveSeeds bounds the search for a run in which the naive version fails.
const naiveSeeds = 200

// TestNaiveAcceptanceLies shows that the check above can fail.
func TestNaiveAcceptanceLies(t *testing.T) {
	lies := 0
	for seed := uint64(0); seed < naiveSeeds && lies == 0; seed++ {
		synctest.Test(t, func(*testing.T) {
			s := newShop(seed, false)
			s.play(jobCount)
			for id := range s.refused {
				lies += s.ran[id]
			}
		})
	}
	require.Positive(t, lies)
}

func TestOverdueAndFailingJobsAreSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShop(1, true)
		s.failing = true
		s.submit(1)
		s.work(9 * time.Minute)
		require.Equal(t, 0, s.hosts[0].Backlog().Overdue)
		s.work(5 * time.Minute)
		b := s.hosts[0].Backlog()
		require.Equal(t, 1, b.Waiting)
		require.Equal(t, 1, b.Overdue)
		require.Equal(t, 1, b.Failing)
	})
}
