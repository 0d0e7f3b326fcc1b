package credit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refusals below the quota without disturbances: one account sends many times its
// rate, the others less than theirs.
func TestQuotasAreUsedFullyWithoutDisturbances(t *testing.T) {
	tests := []struct {
		name  string
		hosts int
		hot   Limit
		times float64
	}{
		{name: "one host", hosts: 1, hot: Limit{PerSecond: 50, Burst: 20}, times: 6},
		{name: "few hosts, four times", hosts: 5, hot: Limit{PerSecond: 100, Burst: 50}, times: 4},
		{name: "30 hosts, 12 times", hosts: 30, hot: Limit{PerSecond: 200, Burst: 100}, times: 12},
		{name: "146 hosts, six times", hosts: 146, hot: Limit{PerSecond: 200, Burst: 100}, times: 6},
		{name: "146 hosts, small burst", hosts: 146, hot: Limit{PerSecond: 100, Burst: 5}, times: 4},
		{name: "146 hosts, small rate", hosts: 146, hot: Limit{PerSecond: 10, Burst: 10}, times: 4},
		{name: "146 hosts, no burst", hosts: 146, hot: Limit{PerSecond: 300}, times: 8},
	}
	for n, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(uint64(n), tt.hosts, quota{name: "hot", limit: tt.hot, demand: tt.times * tt.hot.PerSecond},
				quota{name: "usual", limit: Limit{PerSecond: 64, Burst: 32}, demand: 40}, quota{name: "small", limit: Limit{PerSecond: 3, Burst: 5}, demand: 1.9})
			// A bucket that all hosts share refuses bursts of small accounts, too.
			ideal := newIdeal(f.quotas)
			f.onRequest = func(account string) { ideal.request(f.now, account) }
			f.run(5 * time.Second)
			from := f.now
			clear(ideal.refused)
			f.run(20 * time.Second)
			served := since(f.charges["hot"], from)
			share := float64(served) / (20 * tt.hot.PerSecond)
			usual, small := since(f.refused["usual"], from)+since(f.failed["usual"], from), since(f.refused["small"], from)+since(f.failed["small"], from)
			t.Logf("hot: %d served, %.3f of the rate, failed %d; usual: %d refused of %d; small: %d refused of %d (%d by one bucket); %.2f messages a second and host", served, share, since(f.failed["hot"], from), usual, usual+since(f.charges["usual"], from), small, small+since(f.charges["small"], from), ideal.refused["small"], float64(f.messages)/f.now.Seconds()/float64(tt.hosts))
			slices.Sort(f.waited)
			if n := len(f.waited); n > 0 {
				first, _ := slices.BinarySearch(f.waited, 20*ms)
				t.Logf("of %d refused requests of all accounts %d waited 20 ms or more, the longest %v", len(f.refused["hot"]), n-first, f.waited[n-1])
				require.LessOrEqual(t, n-first, len(f.refused["hot"])/10, "refused requests must not wait for credit in vain")
			}
			require.Negative(t, excess(f.charges["hot"], tt.hot))
			require.GreaterOrEqual(t, share, 0.98)
			require.LessOrEqual(t, usual, ideal.refused["usual"]+1)
			require.LessOrEqual(t, small, ideal.refused["small"]+1)
		})
	}
}

// failure is a disturbance of a fleet in which host 0 is the first of the ranking.
type failure struct {
	name string
	do   func(f *fleet)
}

func stopFor(hosts []int, length time.Duration) func(f *fleet) {
	return func(f *fleet) {
		for _, n := range hosts {
			f.members[n].stopped = true
		}
		f.run(length)
		for _, n := range hosts {
			f.wake(f.members[n])
		}
	}
}

// cutFor cuts the connections between the first n hosts and the others for a time.
func cutFor(n int, length time.Duration) func(f *fleet) {
	return func(f *fleet) {
		first := map[string]bool{}
		for _, m := range f.members[:n] {
			first[m.name] = true
		}
		f.cut = func(from, to string) bool { return first[from] != first[to] }
		f.run(length)
		f.cut = nil
	}
}

func failures() []failure {
	return []failure{
		{name: "none", do: func(*fleet) {}},
		{name: "credit host is killed", do: func(f *fleet) { f.members[0].dead = true }},
		{name: "credit host is killed and restarted", do: func(f *fleet) {
			f.members[0].dead = true
			f.run(3 * time.Second)
			f.restart(f.members[0])
		}},
		{name: "credit host is restarted at once, again and again", do: func(f *fleet) {
			for range 8 {
				f.restart(f.members[0])
				f.run(900 * ms)
			}
		}},
		{name: "all hosts are restarted at once", do: func(f *fleet) {
			for _, m := range f.members {
				f.restart(m)
			}
		}},
		{name: "hosts are restarted one after the other", do: func(f *fleet) {
			for _, m := range f.members {
				f.restart(m)
				f.run(150 * ms)
			}
		}},
		{name: "credit host shuts down", do: func(f *fleet) {
			m := f.members[0]
			for _, name := range m.issuer.Resign(f.now + m.offset) {
				f.send(m, name, m.issuer.Resignation(f.now+m.offset))
			}
			f.run(3 * time.Second)
			m.dead = true
		}},
		{name: "credit host is frozen for 280 ms", do: stopFor([]int{0}, 280*ms)},
		{name: "credit host is frozen for 450 ms", do: stopFor([]int{0}, 450*ms)},
		{name: "credit host is frozen for 700 ms", do: stopFor([]int{0}, 700*ms)},
		{name: "credit host is frozen for 8 s", do: stopFor([]int{0}, 8*time.Second)},
		{name: "several hosts are frozen", do: stopFor([]int{0, 1, 2, 5}, 3*time.Second)},
		{name: "partition in halves", do: func(f *fleet) { cutFor(len(f.members)/2, 6*time.Second)(f) }},
		{name: "credit host alone", do: cutFor(1, 6*time.Second)},
		{name: "short partitions", do: func(f *fleet) {
			for range 6 {
				cutFor(len(f.members)/2, 500*ms)(f)
				f.run(700 * ms)
			}
		}},
		{name: "messages are lost", do: func(f *fleet) {
			f.loss = 0.2
			f.run(5 * time.Second)
			f.loss = 0
		}},
		{name: "messages arrive repeatedly", do: func(f *fleet) {
			f.repeated, f.jitter = 0.5, 50*ms
			f.run(5 * time.Second)
			f.repeated, f.jitter = 0, ms
		}},
		{name: "credit host is suspended and loses its messages", do: func(f *fleet) {
			f.members[0].stopped = true
			f.run(2 * time.Second)
			f.members[0].inbox = nil
			f.wake(f.members[0])
		}},
		{name: "all hosts are frozen", do: func(f *fleet) {
			all := make([]int, len(f.members))
			for n := range all {
				all[n] = n
			}
			stopFor(all, 4*time.Second)(f)
		}},
		{name: "messages are late", do: func(f *fleet) {
			f.delay, f.jitter = 20*ms, 500*ms
			f.run(5 * time.Second)
			f.delay, f.jitter = ms/2, ms
		}},
		{name: "requests do not run", do: func(f *fleet) {
			f.unrun, f.refundTime = 0.7, 2*time.Second
			f.run(5 * time.Second)
			f.unrun = 0
		}},
		{name: "requests do not run, then the credit host shuts down", do: func(f *fleet) {
			f.unrun, f.refundTime = 0.7, 2*time.Second
			f.run(5 * time.Second)
			f.unrun = 0
			f.run(1700 * ms)
			m := f.members[0]
			for _, name := range m.issuer.Resign(f.now + m.offset) {
				f.send(m, name, m.issuer.Resignation(f.now+m.offset))
			}
		}},
	}
}

// Guards against quotas that are exceeded or lost for long around failures of one kind.
func TestQuotasHoldAroundFailures(t *testing.T) {
	for _, fail := range failures() {
		t.Run(fail.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(1, 12, quota{name: "hot", limit: Limit{PerSecond: 300, Burst: 150}, demand: 1800}, quota{name: "usual", limit: Limit{PerSecond: 160, Burst: 80}, demand: 100})
			f.run(6 * time.Second)
			from := f.now
			fail.do(f)
			f.run(8 * time.Second)
			t.Logf("excess of hot %.0f, of usual %.0f; usual: %d served, %d refused, %d without a credit host", excess(f.charges["hot"], f.quotas[0].limit), excess(f.charges["usual"], f.quotas[1].limit),
				since(f.charges["usual"], from), since(f.refused["usual"], from), since(f.failed["usual"], from))
			for _, q := range f.quotas {
				require.Negative(t, excess(f.charges[q.name], q.limit), q.name)
			}
			last := f.now - 3*time.Second
			require.GreaterOrEqual(t, since(f.charges["hot"], last), 800, "the quota must be in use again")
			require.LessOrEqual(t, since(f.refused["usual"], last)+since(f.failed["usual"], last), 3)
		})
	}
}

// Guards against sequences of failures that exceed quotas together though none does alone.
func TestQuotasHoldAroundRandomFailures(t *testing.T) {
	list := failures()
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(seed, 3+int(seed%40), quota{name: "hot", limit: Limit{PerSecond: 200, Burst: 40 * float64(seed%12)}, demand: 1500}, quota{name: "small", limit: Limit{PerSecond: 5, Burst: 2}, demand: 40})
			f.run(2 * time.Second)
			for range 8 {
				fail := list[f.rng.IntN(len(list))]
				if len(f.members) < 6 && fail.name == "several hosts are frozen" {
					continue
				}
				fail.do(f)
				f.run(time.Duration(f.rng.Int64N(int64(2 * time.Second))))
			}
			for _, q := range f.quotas {
				require.Negative(t, excess(f.charges[q.name], q.limit), q.name)
			}
		})
	}
}

// Shows that the check of the bound can fail: hosts that take the fleet for one of half its size exceed
// quotas in a partition.
func TestCheckFindsExceededQuotas(t *testing.T) {
	f := newFleet(1, 12, quota{name: "hot", limit: Limit{PerSecond: 300, Burst: 150}, demand: 1800})
	for _, m := range f.members {
		m.view.Hosts, m.view.Recorded = 6, 6
		m.issuer = NewIssuer(m.offset, m.name, m.spender.run)
		m.issuer.SetLimits(m.offset, f.limits())
	}
	cutFor(6, 20*time.Second)(f)
	require.Positive(t, excess(f.charges["hot"], f.quotas[0].limit))
}

// Guards against a credit host that counts hosts which follow another one: a host must wait until the
// former credit host no longer counts it.
func TestHostCountsAtOneCreditHostAtATime(t *testing.T) {
	for _, fail := range failures() {
		t.Run(fail.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(2, 9, quota{name: "a", limit: Limit{PerSecond: 10, Burst: 10}, demand: 20})
			worst := 0.0
			f.onSend = func(Message) {
				sum := 0.0
				for _, m := range f.members {
					if !m.dead && !m.stopped {
						m.issuer.advance(f.now + m.offset)
						sum += m.issuer.share
					}
				}
				worst = max(worst, sum)
			}
			f.run(4 * time.Second)
			fail.do(f)
			f.run(4 * time.Second)
			require.LessOrEqual(t, worst, 1+1e-9)
		})
	}
}

// Guards against quotas that are exceeded after a part of the fleet was cut off from the store and the
// other hosts, and these have removed it from their views.
func TestHostsCutOffFromTheStoreCeaseToIssueBeforeOthersForgetThem(t *testing.T) {
	f := newFleet(3, 12, quota{name: "hot", limit: Limit{PerSecond: 300, Burst: 150}, demand: 1800})
	f.run(2 * time.Second)
	gone := f.members[:5]
	f.cut = func(from, to string) bool { return (f.byName[from].view.Age > 0) != (f.byName[to].view.Age > 0) }
	for n := range 400 {
		for _, m := range gone {
			m.view.Age = time.Duration(n+1) * 100 * ms
		}
		if n == 2 {
			// The leases of the entries had almost ended.
			for _, m := range f.members[5:] {
				m.view.Hosts = 7
			}
		}
		f.run(100 * ms)
	}
	require.Negative(t, excess(f.charges["hot"], f.quotas[0].limit))
	require.GreaterOrEqual(t, since(f.charges["hot"], f.now-5*time.Second), 1450, "the hosts that remain must issue the whole quota")
}

// Guards against a store that is down for long: hosts that all follow one credit host serve on.
func TestQuotasAreIssuedWhileTheStoreIsDown(t *testing.T) {
	f := newFleet(3, 8, quota{name: "usual", limit: Limit{PerSecond: 160, Burst: 80}, demand: 100})
	for n := range 400 {
		for _, m := range f.members {
			m.view.Age = time.Duration(n) * 100 * ms
		}
		f.run(100 * ms)
	}
	require.Zero(t, since(f.refused["usual"], 2*time.Second))
	require.Zero(t, since(f.failed["usual"], 2*time.Second))
}

// Guards against a lower limit that does not take effect, and against credit that is lost with a
// change: the limit changes several times a second at hosts one after the other.
func TestChangedLimitsTakeEffect(t *testing.T) {
	high, low := Limit{PerSecond: 400, Burst: 300}, Limit{PerSecond: 40, Burst: 10}
	f := newFleet(4, 10, quota{name: "hot", limit: high, demand: 2000})
	set := func(l Limit) {
		f.quotas[0].limit = l
		for _, m := range f.members {
			m.issuer.SetLimits(f.now+m.offset, f.limits())
			f.run(20 * ms)
		}
	}
	f.run(8 * time.Second)
	for range 5 {
		set(low)
		set(high)
	}
	require.Negative(t, excess(f.charges["hot"], high))
	set(low)
	known := f.now
	f.run(6 * time.Second)
	n := len(f.charges["hot"]) - since(f.charges["hot"], known)
	require.Negative(t, excess(f.charges["hot"][n:], low))
	require.GreaterOrEqual(t, since(f.charges["hot"], known), int(low.PerSecond*6*0.95))
	set(high)
	from := f.now
	f.run(5 * time.Second)
	require.GreaterOrEqual(t, since(f.charges["hot"], from), 1950)
	require.Negative(t, excess(f.charges["hot"], high))
}

// Measures how long a fleet that starts refuses requests, and how many.
func TestDemandBelowTheRateIsServedSoonAfterTheStart(t *testing.T) {
	for _, hosts := range []int{1, 5, 30, 146} {
		f := newFleet(5, hosts, quota{name: "large", limit: Limit{PerSecond: 160, Burst: 80}, demand: 96}, quota{name: "small", limit: Limit{PerSecond: 3, Burst: 3}, demand: 1.8})
		f.run(10 * time.Second)
		for _, q := range f.quotas {
			lost := append(append([]time.Duration{0}, f.refused[q.name]...), f.failed[q.name]...)
			t.Logf("%d hosts, %s: %d refused, %d without a credit host, the last after %v; served %d", hosts, q.name, len(f.refused[q.name]), len(f.failed[q.name]), slices.Max(lost), len(f.charges[q.name]))
			require.LessOrEqual(t, since(f.refused[q.name], 2500*ms)+since(f.failed[q.name], 2500*ms), 1)
		}
	}
}

// Guards against a credit host that is flooded by an account beyond its quota, and against refused
// requests that wait or come back together.
func TestRefusalsAreImmediateAndStaggered(t *testing.T) {
	now := time.Second
	s := NewSpender(now, "a", 1)
	s.SetCandidates([]string{"a"})
	i := NewIssuer(now, "a", 1)
	id := ID("hot")
	i.SetLimits(now, map[AccountID]Limit{id: {PerSecond: 2, Burst: 1}})
	requests := 0
	poll := func(now time.Duration) {
		for again := true; again; {
			again = false
			for _, out := range s.Poll(now, View{Hosts: 1}) {
				requests++
				i.SetView(now, View{Hosts: 1})
				response, ok := i.Handle(now, out.Message)
				require.True(t, ok)
				again = s.Receive(now, response) || again
			}
		}
	}
	for ; now < 3*time.Second; now += PollPeriod {
		poll(now)
	}
	requests = 0
	served, last := 0, time.Duration(0)
	for range 100 {
		d := s.Charge(now, id, false)
		if d.Outcome == Wait {
			now += DemandPeriod
			poll(now)
			d = s.Charge(now, id, true)
		}
		if d.Outcome == Charged {
			served++
			continue
		}
		require.Equal(t, Exceeded, d.Outcome)
		if d.RetryAfter < last {
			require.Greater(t, last, 4*time.Second, "the order starts anew only at the highest value")
		}
		last = d.RetryAfter
	}
	require.Equal(t, 1, served)
	require.LessOrEqual(t, requests, 3)
}

// Guards against hosts that look for a credit host for long, because many better candidates do not respond:
// hosts of an earlier version, or beyond a partition. The last host of the ranking is cut off from all.
func TestCreditHostIsFoundBehindManyThatDoNotRespond(t *testing.T) {
	for _, dead := range []int{3, 20, 70} {
		f := newFleet(6, 100, quota{name: "usual", limit: Limit{PerSecond: 320, Burst: 160}, demand: 60})
		for _, m := range f.members[:dead] {
			m.dead = true
		}
		last := f.members[99]
		f.cut = func(from, to string) bool { return (from == last.name) != (to == last.name) }
		found, alone := time.Duration(0), time.Duration(0)
		first := f.members[dead]
		for f.now < 10*time.Second {
			f.run(100 * ms)
			if _, followers, _ := first.issuer.Share(); found == 0 && followers == 99-dead {
				found = f.now
			}
			if alone == 0 && last.spender.Following() == last.name {
				alone = f.now
			}
		}
		_, followers, _ := first.issuer.Share()
		t.Logf("%d of 100 hosts do not respond: all others follow one after %v, the host alone itself after %v", dead, found, alone)
		require.Equal(t, 99-dead, followers, "no host may change again")
		require.Positive(t, found)
		require.LessOrEqual(t, found, 3*time.Second)
		require.Positive(t, alone)
		require.LessOrEqual(t, alone, 3*time.Second)
	}
}
