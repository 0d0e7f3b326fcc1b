package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const work = 100 * time.Millisecond

// Guards against an account that gets more or less than its weight while all have requests waiting.
func TestBackloggedAccountsShareByWeight(t *testing.T) {
	tests := []struct {
		name string
		// weights are by account; zero for one that is not known.
		weights map[string]float64
		// want are the starts of 1200.
		want map[string]int
	}{
		{name: "equal", weights: map[string]float64{"a": 0, "b": 0, "c": 0}, want: map[string]int{"a": 400, "b": 400, "c": 400}},
		{name: "weighted", weights: map[string]float64{"a": 1, "b": 2, "c": 3}, want: map[string]int{"a": 200, "b": 400, "c": 600}},
		{name: "one weight is not known", weights: map[string]float64{"a": 1, "b": 3, "c": 0}, want: map[string]int{"a": 200, "b": 600, "c": 400}},
		{name: "invalid weights", weights: map[string]float64{"a": math.NaN(), "b": -1, "c": math.Inf(1)}, want: map[string]int{"a": 400, "b": 400, "c": 400}},
		{name: "requests without an account", weights: map[string]float64{"a": 0, "b": 0, "": 0}, want: map[string]int{"a": 300, "b": 300, "": 600}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now, s, got := time.Unix(1000, 0), New(), map[string]int{}
			accounts := map[string]*Account{}
			for _, name := range []string{"a", "b", "c", ""} {
				if weight, ok := tt.weights[name]; ok {
					accounts[name] = s.Account(now, name, weight)
				}
			}
			for _, a := range accounts {
				a.Wait()
			}
			for range 1200 {
				s.Restart()
				first, least := "", math.Inf(1)
				for _, name := range []string{"a", "b", "c", ""} {
					if a := accounts[name]; a != nil {
						if tag := s.NextTag(a, work); tag < least {
							first, least = name, tag
						}
					}
				}
				s.Start(now, accounts[first], work)
				got[first]++
			}
			for name, want := range tt.want {
				require.InDelta(t, want, got[name], 3, name)
			}
		})
	}
}

// Guards against an account that pays for what it got while nobody else waited, and against one that
// saves up capacity while it is idle.
func TestIdleTimeNeitherSavesNorCosts(t *testing.T) {
	now, s := time.Unix(1000, 0), New()
	busy, idle := s.Account(now, "busy", 0), s.Account(now, "idle", 0)
	for range 1000 {
		s.Start(now, busy, work)
	}
	s.Restart()
	require.LessOrEqual(t, s.NextTag(busy, work)-s.NextTag(idle, work), work.Seconds()+1e-9)
	s.Start(now, idle, work)
	s.Restart()
	require.GreaterOrEqual(t, s.NextTag(idle, work), s.NextTag(busy, work)-1e-9)
}

// Guards against an account that claims less work than its requests take, and one that gets a
// discount for more than they take.
func TestAccountsAreChargedForWhatTheirRequestsTake(t *testing.T) {
	now, s := time.Unix(1000, 0), New()
	honest, other := s.Account(now, "honest", 0), s.Account(now, "other", 0)
	for range 200 {
		s.Correct("honest", work, work)
	}
	require.InDelta(t, minWorkRatio*work.Seconds(), s.Work(time.Millisecond), 1e-3, "a claim is believed down to half of the mean")
	for range 10 {
		s.Start(now, other, time.Millisecond)
		s.Correct("other", time.Millisecond, work)
	}
	for range 10 {
		s.Start(now, honest, work)
		s.Correct("honest", work, work)
	}
	require.InDelta(t, honest.used-s.virtual, other.used-s.virtual, 10*work.Seconds())
	before := other.used
	s.Correct("other", work, time.Hour)
	require.LessOrEqual(t, other.used-before, maxWorkRatio*work.Seconds()*1.1, "one request costs a bounded amount")
	s.Correct("unknown", work, work)
	before = s.base(other)
	s.Start(now, other, work)
	s.Refund("other", work)
	require.InDelta(t, before, other.used, 1e-9, "a request that has not run costs nothing")
	s.Refund("unknown", work)
}

// Guards against state that grows with the accounts that were ever seen.
func TestIdleAccountsAreForgotten(t *testing.T) {
	now, s := time.Unix(1000, 0), New()
	waiting := s.Account(now, "waiting", 2)
	waiting.Wait()
	for n := range maxAccounts + 100 {
		a := s.Account(now, fmt.Sprintf("a-%d", n), 3)
		s.Start(now, a, work)
	}
	require.LessOrEqual(t, s.Len(), maxAccounts+1)
	now = now.Add(3 * idleTime)
	require.Same(t, waiting, s.Account(now, "waiting", 2))
	require.Equal(t, 1, s.Len())
	require.InDelta(t, 2, s.weights, 1e-6)
	require.Equal(t, 1, s.weighted)
	require.Equal(t, 1, s.Competing())
	waiting.Leave()
	require.Zero(t, s.Competing())
}

// Guards against precedence for an account that is served like others, that was turned away long ago,
// or that has no name.
func TestStarvedAccounts(t *testing.T) {
	tests := []struct {
		name                string
		account             string
		started, turnedAway int
		after               time.Duration
		want                bool
	}{
		{name: "never served", account: "a", turnedAway: 5, want: true},
		{name: "hardly served", account: "a", started: 1, turnedAway: 9, want: true},
		{name: "served less often", account: "a", started: 4, turnedAway: 6},
		{name: "turned away once", account: "a", turnedAway: 1},
		{name: "turned away long ago", account: "a", turnedAway: 5, after: 20 * time.Second},
		{name: "no account", turnedAway: 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now, s := time.Unix(1000, 0), New()
			others := s.Account(now, "others", 0)
			for range 100 {
				s.Start(now, others, work)
			}
			a := s.Account(now, tt.account, 0)
			for range tt.started {
				s.Start(now, a, work)
			}
			for range tt.turnedAway {
				a.TurnAway(now)
			}
			a = s.Account(now.Add(tt.after), tt.account, 0)
			require.Equal(t, tt.want, s.Starved(a))
		})
	}
}

// Guards against precedence of an account that takes most of a service, and against its loss for one
// that has competitors of its size or a large weight.
func TestDominantAccounts(t *testing.T) {
	tests := []struct {
		name    string
		account string
		weight  float64
		// others is the number of other accounts, which wait; started and othersStarted are the
		// requests of the account and of each of the others.
		others, started, othersStarted int
		after                          time.Duration
		want                           bool
	}{
		{name: "half of the service", account: "a", others: 50, started: 50, othersStarted: 1, want: true},
		{name: "a fifth of the service", account: "a", others: 80, started: 20, othersStarted: 1},
		{name: "two accounts", account: "a", others: 1, started: 60, othersStarted: 40},
		{name: "a large weight", account: "a", weight: 15, others: 50, started: 50, othersStarted: 1},
		{name: "long ago", account: "a", others: 50, started: 50, othersStarted: 1, after: 20 * time.Second},
		{name: "no account", others: 50, started: 50, othersStarted: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now, s := time.Unix(1000, 0), New()
			a := s.Account(now, tt.account, tt.weight)
			a.Wait()
			for range tt.started {
				s.Start(now, a, work)
			}
			now = now.Add(tt.after)
			for n := range tt.others {
				other := s.Account(now, fmt.Sprintf("other-%d", n), min(1, tt.weight))
				other.Wait()
				for range tt.othersStarted {
					s.Start(now, other, work)
				}
			}
			a = s.Account(now, tt.account, tt.weight)
			require.Equal(t, tt.want, s.Dominant(a))
			for range tt.started {
				s.Refund(tt.account, work)
			}
			require.False(t, s.Dominant(a), "requests that have not run do not count")
		})
	}
}
