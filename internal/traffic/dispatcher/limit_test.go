package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/packet"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
)

func namedLimit(perSecond float64) ratelimit.Report {
	return ratelimit.Report{Kind: ratelimit.Named, PerSecond: perSecond}
}

// settleRanks makes the ranks of a dispatcher count as held for long.
func settleRanks(d *Dispatcher) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.cells {
		c.rankSince = time.Now().Add(-time.Hour)
		c.topSince = c.rankSince
	}
}

func TestAtMostOneHostUsesFullLimit(t *testing.T) {
	tests := []struct {
		name string
		rank int
		// held is the time for which the host has held its rank, and top that for which it
		// has been one of the first two; zero if it is the same.
		held, top time.Duration
		fresh     bool
		want      float64
	}{
		{name: "first", rank: 0, held: time.Hour, fresh: true, want: 1},
		{name: "first, just now", rank: 0, held: rankSettleTime / 2, fresh: true},
		{name: "first, second before", rank: 0, held: rankSettleTime / 2, top: time.Hour, fresh: true, want: standbyShare},
		{name: "first, second before, by an old view", rank: 0, held: rankSettleTime / 2, top: time.Hour},
		{name: "second, first before", rank: 1, held: rankSettleTime / 2, top: time.Hour, fresh: true, want: standbyShare},
		{name: "first by an old view", rank: 0, held: time.Hour, want: standbyShare},
		{name: "second", rank: 1, held: time.Hour, fresh: true, want: standbyShare},
		{name: "second, just now", rank: 1, held: rankSettleTime / 2, fresh: true},
		{name: "second by an old view", rank: 1, held: time.Hour},
		{name: "third", rank: 2, held: time.Hour, fresh: true},
		{name: "not ranked", rank: unranked, held: time.Hour, fresh: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			d := &Dispatcher{cfg: Config{Fresh: func(time.Time) bool { return tt.fresh }}}
			c := &cell{rank: tt.rank, rankSince: now.Add(-tt.held), topSince: now.Add(-max(tt.held, tt.top))}
			require.Equal(t, tt.want, d.limitShare(now, c))
		})
	}
}

// rankOf returns the rank of a host in the cell of the service, and for how long it has held
// it.
func rankOf(d *Dispatcher) (int, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.cells["s"]
	return c.rank, time.Since(c.rankSince)
}

func TestHostWaitsBeforeItUsesLimitsOfCellThatMovedToIt(t *testing.T) {
	_, list := newFleet(t, 4, 2, 3)
	dispatcher, _ := dispatcherAndOther(list)
	var second *Dispatcher
	for _, d := range list {
		settleRanks(d)
		if rank, _ := rankOf(d); rank == 1 {
			second = d
		}
	}
	s := *second.snapshot
	s.Hosts = map[string]directory.Host{}
	for name, h := range second.snapshot.Hosts {
		if name != dispatcher.cfg.Self {
			s.Hosts[name] = h
		}
	}
	s.HostChanges++
	second.SetSnapshot(&s, nil)
	rank, held := rankOf(second)
	require.Equal(t, 0, rank)
	require.Less(t, held, time.Second)

	// A cell that loses its targets for a moment is not held in the meantime.
	settleRanks(dispatcher)
	s = *dispatcher.snapshot
	before := s.Targets
	s.Targets = map[string][]roster.ActiveTarget{}
	dispatcher.SetSnapshot(&s, nil)
	again := s
	again.Targets = before
	dispatcher.SetSnapshot(&again, nil)
	rank, held = rankOf(dispatcher)
	require.Equal(t, 0, rank)
	require.Less(t, held, time.Second)
}

func TestLimitHeardByOneHostBindsTheOthers(t *testing.T) {
	f, list := newFleet(t, 3, 2, 3)
	dispatcher, other := dispatcherAndOther(list)
	for _, d := range list {
		settleRanks(d)
	}
	grant := f.place(t, other)
	require.Equal(t, dispatcher.cfg.Self, grant.DispatchedBy())
	other.Done(grant, Outcome{Result: placement.Served, Limit: namedLimit(0)})
	require.Eventually(t, func() bool { return len(dispatcher.Limits()) == 1 }, time.Second, time.Millisecond, "the outcome tells the dispatcher")
	for _, d := range list {
		for range 3 {
			grant := f.place(t, d)
			require.NotContains(t, d.Limits(), grant.ID)
			f.finish(d, grant)
		}
		require.Len(t, d.Limits(), 1, "the dispatcher's responses tell the other hosts")
	}

	// A host that can reach no dispatcher does not use the target either.
	for a := range f.hosts {
		f.isolated[a] = true
	}
	for _, d := range list {
		grant := f.place(t, d)
		require.NotContains(t, d.Limits(), grant.ID)
		f.finish(d, grant)
	}
}

func TestNewDispatcherLearnsLimitsFromRequests(t *testing.T) {
	f, list := newFleet(t, 2, 2, 3)
	dispatcher, other := dispatcherAndOther(list)
	other.mu.Lock()
	other.observeLimit(time.Now(), "t-0", ratelimit.Observation{Report: namedLimit(2), SentAt: time.Now(), Source: ratelimit.Response})
	other.mu.Unlock()
	require.Empty(t, dispatcher.Limits())
	grant := f.place(t, other)
	require.Equal(t, "t-1", grant.ID, "the dispatcher has not held its rank for long")
	require.Equal(t, map[string]float64{"t-0": 2}, dispatcher.Limits())
}

func TestHedgeIsNotSentToLimitedTarget(t *testing.T) {
	_, list := newFleet(t, 1, 1, 3)
	d := list[0]
	settleRanks(d)
	d.mu.Lock()
	d.observeLimit(time.Now(), "t-0", ratelimit.Observation{Report: namedLimit(1000), SentAt: time.Now(), Source: ratelimit.Probe})
	d.mu.Unlock()
	req := newRequest(time.Second)
	_, err := d.Place(t.Context(), req)
	require.NoError(t, err)
	req.Hedge = true
	_, err = d.Place(t.Context(), req)
	var rejected *RejectedError
	require.ErrorAs(t, err, &rejected)
}

func TestMessagesWithManyLimitsFitInDatagram(t *testing.T) {
	f, list := newFleet(t, 2, 2000, 2)
	for _, d := range list {
		d.ReportLoads(time.Now())
		d.mu.Lock()
		for n := range 2000 {
			d.observeLimit(time.Now(), fmt.Sprintf("t-%d", n), ratelimit.Observation{Report: namedLimit(1.0 / 3), SentAt: time.Now(), Source: ratelimit.Probe})
		}
		d.mu.Unlock()
		settleRanks(d)
	}
	for n := range 20 {
		req := newRequest(200 * time.Millisecond)
		req.ID, req.Avoid = "9c41d07be2a35f68", []string{"i-0d1542ed79", "i-58ec575445", "i-d5550e88e3", "i-0ce6d5164b", "i-4289377494", "i-54b502e834"}
		_, _ = list[n%2].Place(t.Context(), req)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Positive(t, f.maxMessageBytes)
	require.Less(t, f.maxMessageBytes, packet.MaxBytes*3/4)
}

func TestInvalidLimitsOfOtherHostsHaveNoEffect(t *testing.T) {
	_, list := newFleet(t, 1, 1, 3)
	for _, announced := range []ratelimit.Announcement{{Target: "t-0", PerSecond: -1}, {Target: "t-0", PerSecond: 1, Age: -time.Second}, {Target: "t-9", PerSecond: 1}, {}} {
		list[0].Receive(netip.MustParseAddrPort("10.0.0.9:7200"), Message{Kind: kindRequest, Limits: []ratelimit.Announcement{announced}})
	}
	require.Empty(t, list[0].Limits())
}

func TestHandOverBetweenDispatchersKeepsTheLimit(t *testing.T) {
	const perSecond, length = 3.0, 14 * time.Second
	tests := []struct {
		name string
		// learned is the time at which the former dispatcher learns of the change; it never
		// does if the time exceeds the length of the test.
		learned time.Duration
	}{
		{name: "at once", learned: 0},
		{name: "before its view is old", learned: 1800 * time.Millisecond},
		{name: "never", learned: time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, list := newFleet(t, 4, 1, 3)
				former, _ := dispatcherAndOther(list)
				var next *Dispatcher
				for _, d := range list {
					settleRanks(d)
					if rank, _ := rankOf(d); rank == 1 {
						next = d
					}
				}
				changed := time.Now().Add(4 * time.Second)
				former.cfg.Fresh = func(now time.Time) bool { return now.Before(changed.Add(2*time.Second)) || tt.learned < length }
				after := *former.snapshot
				after.Hosts = map[string]directory.Host{}
				for name, h := range former.snapshot.Hosts {
					if name != former.cfg.Self {
						after.Hosts[name] = h
					}
				}
				after.HostChanges++
				var mu sync.Mutex
				var times []time.Time
				g := group.New(t.Context())
				for _, d := range list {
					g.Go("caller", func(context.Context) error {
						for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
							grant, err := d.Place(t.Context(), newRequest(300*time.Millisecond))
							if err != nil {
								continue
							}
							mu.Lock()
							times = append(times, time.Now())
							mu.Unlock()
							d.Done(grant, Outcome{Result: placement.Served, Limit: namedLimit(perSecond)})
						}
						return nil
					})
				}
				g.Go("tick", func(context.Context) error {
					for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
						for _, d := range list {
							d.Tick(time.Now())
						}
					}
					return nil
				})
				g.Go("change", func(context.Context) error {
					time.Sleep(time.Until(changed))
					for _, d := range list {
						if d != former {
							d.SetSnapshot(&after, nil)
						}
					}
					time.Sleep(min(length, tt.learned))
					if tt.learned < length {
						former.SetSnapshot(&after, nil)
					}
					return nil
				})
				require.NoError(t, g.Wait())
				require.Equal(t, 0, next.cells["s"].rank)
				slices.SortFunc(times, time.Time.Compare)
				began := times[0].Add(3 * time.Second)
				for i, at := range times {
					n := 0
					for _, other := range times[:i+1] {
						if other.After(began) && at.Sub(other) <= 4*time.Second {
							n++
						}
					}
					require.LessOrEqual(t, float64(n), 1.5*perSecond*4+5)
				}
				require.Greater(t, float64(len(times)), 0.5*perSecond*length.Seconds())
			})
		})
	}
}

func TestChangingLimitDoesNotFloodTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, list := newFleet(t, 1, 1, 3)
		var buf bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&buf)
		d := list[0]
		d.cfg.Log = logrus.NewEntry(logger)
		for n := range 500 {
			d.mu.Lock()
			d.observeLimit(time.Now(), "t-0", ratelimit.Observation{Report: namedLimit(float64(500 - n)), SentAt: time.Now(), Source: ratelimit.Response})
			d.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			d.Tick(time.Now())
		}
		time.Sleep(2 * limitLogPeriod)
		d.Tick(time.Now())
		lines := strings.Count(buf.String(), "rate limit of a target")
		require.LessOrEqual(t, lines, 7)
		require.Contains(t, buf.String(), "limit-per-second=1 ", "the last change is logged")
	})
}
