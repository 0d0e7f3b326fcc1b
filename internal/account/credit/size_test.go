package credit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// sizes are the fleets for which messages and state are measured, with the demand of 925 requests a
// second on 146 hosts, spread over accounts as 1/n, and one account at six times its usual rate. A
// quota is 1.6 times the usual rate.
var sizes = []struct{ hosts, accounts int }{{30, 88}, {30, 10_000}, {300, 88}, {300, 10_000}, {1000, 88}, {1000, 10_000}}

func zipfQuotas(hosts, accounts int) []quota {
	sum := 0.0
	for n := range accounts {
		sum += 1 / float64(n+1)
	}
	quotas := make([]quota, accounts)
	for n := range quotas {
		demand := 925.0 / 146 * float64(hosts) / sum / float64(n+1)
		quotas[n] = quota{name: fmt.Sprintf("account-%d", n), limit: Limit{PerSecond: 1.6 * demand, Burst: 1.6*demand + 2}, demand: demand}
	}
	quotas[3].demand *= 6
	return quotas
}

// ideal holds a token bucket per account that all hosts use at once.
type ideal struct {
	limits  map[string]Limit
	tokens  map[string]float64
	at      map[string]time.Duration
	refused map[string]int
}

func newIdeal(quotas []quota) *ideal {
	o := &ideal{limits: map[string]Limit{}, tokens: map[string]float64{}, at: map[string]time.Duration{}, refused: map[string]int{}}
	for _, q := range quotas {
		o.limits[q.name], o.tokens[q.name] = q.limit, max(1, q.limit.Burst)
	}
	return o
}

func (o *ideal) request(now time.Duration, account string) {
	l := o.limits[account]
	o.tokens[account] = min(max(1, l.Burst), o.tokens[account]+l.PerSecond*(now-o.at[account]).Seconds())
	o.at[account] = now
	if o.tokens[account] < 1 {
		o.refused[account]++
		return
	}
	o.tokens[account]--
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFleetSizes reports messages and bytes a second and host, and the state of the credit host and
// of another host.
func BenchmarkFleetSizes(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-%d", size.hosts, size.accounts), func(b *testing.B) {
			for b.Loop() {
				quotas := zipfQuotas(size.hosts, size.accounts)
				f := newFleet(1, size.hosts, quotas...)
				ideal := newIdeal(quotas)
				f.onRequest = func(account string) { ideal.request(f.now, account) }
				f.run(3 * time.Second)
				from, messages, bytes, atIssuer := f.now, f.messages, 0, 0
				f.onSend = func(m Message) {
					data, err := cbor.Marshal(m)
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(data)
					atIssuer++
				}
				clear(ideal.refused)
				f.run(4 * time.Second)
				seconds := (f.now - from).Seconds()
				b.ReportMetric(float64(f.messages-messages)/seconds/float64(size.hosts), "messages/s/host")
				b.ReportMetric(float64(bytes)/seconds/float64(size.hosts), "bytes/s/host")
				refused, charged, refusedIdeally := 0, 0, 0
				for n, q := range quotas {
					if n != 3 {
						refused += since(f.refused[q.name], from) + since(f.failed[q.name], from)
						charged += since(f.charges[q.name], from)
						refusedIdeally += ideal.refused[q.name]
					}
				}
				b.ReportMetric(float64(refused)/float64(refused+charged)*1e6, "refused-per-million")
				b.ReportMetric(float64(refusedIdeally)/float64(refused+charged)*1e6, "ideally-refused-per-million")
				before := heapBytes()
				accounts := f.members[1].spender.Accounts()
				f.members[1].spender = nil
				middle := heapBytes()
				f.members[0].issuer = nil
				after := heapBytes()
				b.ReportMetric(float64(accounts), "accounts-at-a-host")
				b.ReportMetric(float64(before-middle), "spender-bytes")
				b.ReportMetric(float64(middle-after), "issuer-bytes")
				runtime.KeepAlive(f)
			}
		})
	}
}

// BenchmarkHandle measures a heartbeat at a credit host with 1,000 followers and 10,000 accounts.
func BenchmarkHandle(b *testing.B) {
	limits := map[AccountID]Limit{}
	for n := range 10_000 {
		limits[AccountID(n)] = Limit{PerSecond: 10, Burst: 10}
	}
	i := NewIssuer(0, "issuer", 1)
	i.SetLimits(0, limits)
	i.SetView(0, View{Hosts: 1000})
	names := make([]string, 1000)
	for n := range names {
		names[n] = fmt.Sprintf("host-%d", n)
	}
	now := time.Duration(1)
	n := 0
	for b.Loop() {
		now += HeartbeatPeriod / 1000
		m := Message{Sender: names[n%1000], Run: 1, ReceiverRun: 1, Stamp: now, Echo: max(1, now-HeartbeatPeriod), Follow: true, Hosts: 1000, Items: []Item{{Account: AccountID(n % 10_000), Need: 2}, {Account: AccountID(n * 7 % 10_000), Need: 1}}}
		if _, ok := i.Handle(now, m); !ok {
			b.Fatal("request is not answered")
		}
		n++
	}
}
