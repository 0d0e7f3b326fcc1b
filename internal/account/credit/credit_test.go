package credit

import (
	"fmt"
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
			f.run(5 * time.Second)
			from := f.now
			f.run(20 * time.Second)
			served := since(f.charges["hot"], from)
			share := float64(served) / (20 * tt.hot.PerSecond)
			usual, small := since(f.refused["usual"], from)+since(f.failed["usual"], from), since(f.refused["small"], from)+since(f.failed["small"], from)
			t.Logf("hot: %d served, %.3f of the rate, failed %d; usual: %d refused of %d; small: %d refused of %d; %.2f messages a second and host", served, share, since(f.failed["hot"], from), usual, usual+since(f.charges["usual"], from), small, small+since(f.charges["small"], from), float64(f.messages)/f.now.Seconds()/float64(tt.hosts))
			require.Negative(t, excess(f.charges["hot"], 0, tt.hot))
			require.GreaterOrEqual(t, share, 0.98)
			require.LessOrEqual(t, usual, 4)
			require.LessOrEqual(t, small, 2)
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
			t.Logf("excess of hot %.0f, of usual %.0f; usual: %d served, %d refused, %d without a credit host", excess(f.charges["hot"], 0, f.quotas[0].limit), excess(f.charges["usual"], 0, f.quotas[1].limit),
				since(f.charges["usual"], from), since(f.refused["usual"], from), since(f.failed["usual"], from))
			for _, q := range f.quotas {
				require.Negative(t, excess(f.charges[q.name], 0, q.limit), q.name)
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
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(seed, 3+int(seed), quota{name: "hot", limit: Limit{PerSecond: 200, Burst: 40 * float64(seed)}, demand: 1500}, quota{name: "small", limit: Limit{PerSecond: 5, Burst: 2}, demand: 40})
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
				require.Negative(t, excess(f.charges[q.name], 0, q.limit), q.name)
			}
		})
	}
}
