package directory

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// memory is a store without I/O.
type memory struct {
	mu       sync.Mutex
	items    map[string]store.Item
	history  []store.Item
	revision store.Revision
	changed  chan struct{}
	// calls counts reads by host.
	calls map[string]int
	// refused hosts get no answer but an error.
	refused map[string]bool
	// silent watches hear nothing until the time.
	silent time.Time
	// ways are the times that answers take to hosts.
	ways map[string]time.Duration
}

func newMemory() *memory {
	return &memory{items: map[string]store.Item{}, changed: make(chan struct{}), calls: map[string]int{}, refused: map[string]bool{}, ways: map[string]time.Duration{}}
}

func (m *memory) put(key, value string) store.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision.Number++
	item := store.Item{Key: key, Value: []byte(value), Revision: m.revision}
	m.items[key] = item
	m.history = append(m.history, item)
	close(m.changed)
	m.changed = make(chan struct{})
	return m.revision
}

func (m *memory) total() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, calls := range m.calls {
		n += calls
	}
	return n
}

// source is the store as one host reaches it, over its own link.
type source struct {
	m    *memory
	host string
	link *link
}

// link is what a host sends over, one packet after the other.
type link struct {
	mu   sync.Mutex
	busy time.Time
	sent int
}

// send queues a number of bytes and returns when they have left.
func (l *link) send(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent += n
	if now := time.Now(); l.busy.Before(now) {
		l.busy = now
	}
	l.busy = l.busy.Add(time.Duration(n) * time.Second / linkRate)
	return l.busy
}

func (l *link) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// headBytes is the size of a question, or of the head of an answer.
const headBytes = 200

// callTimeout bounds a call of the store without a wait, as that of its client does.
const callTimeout = 1500 * time.Millisecond

var _ store.Source = source{}

// storeDelay is the time that a call of the store takes.
const storeDelay = 4 * time.Millisecond

func (s source) called() error {
	way := storeDelay + time.Until(s.link.send(headBytes))
	time.Sleep(min(way, callTimeout))
	if way > callTimeout {
		return store.ErrUnclear
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.m.calls[s.host]++
	if s.m.refused[s.host] {
		return store.ErrDown
	}
	return nil
}

// arrive waits until an answer has come.
func (s source) arrive() {
	s.m.mu.Lock()
	way := s.m.ways[s.host]
	s.m.mu.Unlock()
	time.Sleep(way)
}

func (s source) Get(context.Context, string) (store.Item, error) {
	return store.Item{}, store.ErrNotFound
}

func (s source) Range(context.Context, string) (store.Page, error) {
	if err := s.called(); err != nil {
		return store.Page{}, err
	}
	defer s.arrive()
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	page := store.Page{Revision: s.m.revision}
	for _, item := range s.m.items {
		page.Items = append(page.Items, item)
	}
	return page, nil
}

func (s source) Watch(ctx context.Context, _ string, after store.Revision, wait time.Duration) (store.Page, error) {
	if err := s.called(); err != nil {
		return store.Page{}, err
	}
	defer s.arrive()
	end := time.After(wait)
	s.m.mu.Lock()
	if silent := time.Until(s.m.silent); silent > 0 {
		s.m.mu.Unlock()
		return store.Page{}, s.hearNothing(ctx, silent, wait)
	}
	s.m.mu.Unlock()
	for {
		s.m.mu.Lock()
		page := store.Page{Revision: s.m.revision}
		if page.Revision.Era != after.Era {
			s.m.mu.Unlock()
			return store.Page{}, store.ErrCompacted
		}
		for _, item := range s.m.history {
			if item.Revision.After(after) {
				page.Items = append(page.Items, item)
			}
		}
		changed := s.m.changed
		s.m.mu.Unlock()
		if len(page.Items) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-end:
			return store.Page{Revision: after}, nil
		case <-ctx.Done():
			return store.Page{}, ctx.Err()
		}
	}
}

// hearNothing is a watch that gets no answer: it is cut when the silence ends, or the
// client gives it up some time after its wait.
func (s source) hearNothing(ctx context.Context, silent, wait time.Duration) error {
	const grace = 300 * time.Millisecond
	select {
	case <-time.After(min(silent, wait+grace)):
		return store.ErrUnclear
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fleet is a number of directories that reach each other over links of a limited
// rate.
type fleet struct {
	t     *testing.T
	store *memory
	g     *group.Group
	hosts map[string]*member
	// dead hosts answer nobody.
	dead map[string]bool
}

// member is a host of the fleet with its uplink.
type member struct {
	*Directory
	link link
	// applyTime is what the host needs to take in a change, in nanoseconds.
	applyTime atomic.Int64
}

// linkRate is the rate of the slowest hosts' links, in bytes a second.
const linkRate = 10_000_000 / 8

// port is how a host asks others.
type port struct {
	f    *fleet
	link *link
}

// RoundTrip implements http.RoundTripper: questions and answers of a host leave over its
// link one after the other.
func (p port) RoundTrip(r *http.Request) (*http.Response, error) {
	h := p.f.hosts[r.URL.Host]
	if p.f.dead[r.URL.Host] {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if !arrives(r.Context(), p.link.send(headBytes).Add(500*time.Microsecond)) {
		return nil, r.Context().Err()
	}
	reader, writer := io.Pipe()
	a := &answer{link: &h.link, head: http.Header{}, status: http.StatusOK, body: writer, begun: make(chan struct{})}
	p.f.g.Go("answer", func(context.Context) error {
		h.ServeHTTP(a, r)
		a.begin()
		return writer.Close()
	})
	select {
	case <-a.begun:
		return &http.Response{StatusCode: a.status, Header: a.head, Body: reader}, nil
	case <-r.Context().Done():
		_ = reader.Close()
		return nil, errors.Wrap(r.Context().Err(), "no answer")
	}
}

// arrives waits until a time, unless ctx ends before.
func arrives(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}

// window is what a connection holds on its way.
const window = 64 << 10

// answer is one on its way over a link. Whoever writes it waits for the link, window by
// window, until the asker has closed the connection.
type answer struct {
	link   *link
	head   http.Header
	status int
	body   *io.PipeWriter
	begun  chan struct{}
	once   sync.Once
}

var _ http.ResponseWriter = (*answer)(nil)

func (a *answer) Header() http.Header { return a.head }

func (a *answer) WriteHeader(status int) {
	a.status = status
	a.begin()
}

// begin lets the head arrive.
func (a *answer) begin() {
	a.once.Do(func() {
		time.Sleep(time.Until(a.link.send(headBytes)))
		close(a.begun)
	})
}

func (a *answer) Write(data []byte) (int, error) {
	a.begin()
	for part := range slices.Chunk(data, window) {
		time.Sleep(time.Until(a.link.send(len(part))))
		if _, err := a.body.Write(part); err != nil {
			return 0, err
		}
	}
	return len(data), nil
}

// newFleet starts n hosts in four domains that know each other. Call it in a bubble.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, store: newMemory(), g: group.New(context.Background()), hosts: map[string]*member{}, dead: map[string]bool{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.store.put(KeyKey, "secret")
	f.store.put("config", "1")
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}), 80)
		name := fmt.Sprintf("host-%d", i)
		f.store.put(HostPrefix+name, fmt.Sprintf(`{"name":%q,"domain":"d-%d","peers":%q}`, name, i%4, address))
		h := &member{}
		h.Directory = New(Config{
			Self: name, Domain: fmt.Sprintf("d-%d", i%4), Source: source{f.store, name, &h.link}, Decoder: plain{}, Timer: timer.New(),
			Log: logrus.NewEntry(log), ReturnTime: time.Second, Peers: port{f, &h.link},
			Changed: func(*Snapshot, []string) { time.Sleep(time.Duration(h.applyTime.Load())) },
		}, f.g)
		f.hosts[address.String()] = h
	}
	for _, h := range f.hosts {
		require.NoError(t, h.Start(t.Context()))
	}
	time.Sleep(3 * time.Second)
	return f
}

func (f *fleet) stop() {
	_ = f.g.Stop()
	for _, h := range f.hosts {
		_ = h.Stop(context.Background())
	}
}

// ranked returns the addresses of the hosts in the order of the ranking.
func (f *fleet) ranked() []string {
	var list []string
	for _, h := range f.hosts {
		for _, peer := range ranking(h.Snapshot().Hosts) {
			list = append(list, peer.Peers.String())
		}
		break
	}
	return list
}

// version returns the lowest version in force on hosts that are neither dead nor slow,
// and how many have it.
func (f *fleet) version() (lowest uint64, hosts int) {
	versions := map[uint64]int{}
	for address, h := range f.hosts {
		if !f.dead[address] && h.applyTime.Load() == 0 {
			versions[h.Snapshot().Table.Config.Version]++
		}
	}
	for v := range versions {
		if lowest == 0 || v < lowest {
			lowest = v
		}
	}
	return lowest, versions[lowest]
}

// inForce is the time within which a configuration must be in force.
const inForce = 2500 * time.Millisecond

// storm writes a configuration of the given size each 100 ms, and checks that each is
// in force in time on all hosts.
func (f *fleet) storm(versions, size int) {
	written := map[uint64]time.Time{}
	for n := range versions {
		version := uint64(2 + n)
		f.store.put("config", padded(2+n, size))
		written[version] = time.Now()
		time.Sleep(100 * time.Millisecond)
		f.check(written)
	}
	for range int(inForce/(100*time.Millisecond)) + 1 {
		time.Sleep(100 * time.Millisecond)
		f.check(written)
	}
}

// padded returns a configuration of a version and a size, which cannot be made much
// smaller.
func padded(version, size int) string {
	const letters = "0123456789abcdef"
	rng := rand.New(rand.NewPCG(uint64(version), 1))
	text := make([]byte, size)
	for i := range text {
		text[i] = letters[rng.IntN(len(letters))]
	}
	return fmt.Sprintf("%s %d", text, version)
}

func (f *fleet) check(written map[uint64]time.Time) {
	lowest, hosts := f.version()
	if at, ok := written[lowest+1]; ok {
		require.Less(f.t, time.Since(at), inForce, "version %d is not in force on %d hosts", lowest+1, hosts)
	}
}

// A storm of configurations of 12 KB, on hosts with links of 10 Mbit/s.
func TestStormOfConfigurationsIsInForceInTime(t *testing.T) {
	tests := []struct {
		name  string
		hosts int
		// trouble happens before the storm.
		trouble func(f *fleet)
	}{
		{name: "13 hosts", hosts: 13},
		{name: "100 hosts", hosts: 100},
		{name: "300 hosts", hosts: 300},
		{name: "watches hear nothing", hosts: 100, trouble: func(f *fleet) {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			f.store.silent = time.Now().Add(5 * time.Second)
		}},
		{name: "the first host is dead", hosts: 100, trouble: func(f *fleet) { f.dead[f.ranked()[0]] = true }},
		{name: "the first host is refused by the store", hosts: 100, trouble: func(f *fleet) {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			f.store.refused[f.hosts[f.ranked()[0]].cfg.Self] = true
		}},
		{name: "ten of the first forty are dead", hosts: 100, trouble: func(f *fleet) {
			for i, address := range f.ranked()[:40] {
				f.dead[address] = i%4 == 1
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, tt.hosts)
				defer f.stop()
				if tt.trouble != nil {
					tt.trouble(f)
				}
				f.storm(30, 12_000)
			})
		})
	}
}

// Reads of the store do not grow with the fleet, nor does what one host sends.
func TestReadsOfTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	const (
		watchesPerSecond = 2
		seconds          = 10
	)
	for _, hosts := range []int{13, 30, 100, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, hosts)
			defer f.stop()
			before, sent := f.store.total(), f.sent()
			time.Sleep(seconds * time.Second)
			idle, idleSent := f.store.total()-before, f.mostSince(sent)
			before, sent = f.store.total(), f.sent()
			f.storm(30, 12_000)
			t.Logf("%d hosts: idle %d reads and at most %d bytes a host in %d s; storm of 30: %d reads, at most %d bytes a host",
				hosts, idle, idleSent, seconds, f.store.total()-before, f.mostSince(sent))
			require.LessOrEqual(t, idle, watchesPerSecond*seconds)
		})
	}
}

func (f *fleet) sent() map[string]int {
	sent := map[string]int{}
	for address, h := range f.hosts {
		sent[address] = h.link.total()
	}
	return sent
}

func (f *fleet) mostSince(before map[string]int) int {
	most := 0
	for address, n := range f.sent() {
		most = max(most, n-before[address])
	}
	return most
}
