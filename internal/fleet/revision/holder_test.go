package revision

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/document"
)

// newCatalog returns a configuration with the given number of services and one pool with
// the given number of targets per service.
func newCatalog(services, targets int) *catalog.Catalog {
	c := catalog.New()
	c.Revision = 1
	for i := range services {
		name := fmt.Sprintf("service-%03d", i)
		c.Services[name] = catalog.Service{
			Name: name, Partner: "exchange", Hosts: []string{name + ".example"}, Pool: name, Share: 1,
			Kinds:     []catalog.Kind{{Name: "search", PathPrefix: "/", Weight: 1, Deadline: document.Duration(time.Second), Idempotent: true}},
			Objective: catalog.Objective{Latency: document.Duration(time.Second), GoodPerThousand: 990},
		}
		pool := catalog.Pool{Name: name}
		for j := range targets {
			n := i*targets + j
			pool.Targets = append(pool.Targets, catalog.Target{
				Name: fmt.Sprintf("target-%05d", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 8080),
				Domain: fmt.Sprintf("domain-%02d", n%23), Slots: 3, Connections: 240,
			})
		}
		c.Pools[name] = pool
	}
	return c
}

// changeOneTarget returns the next revision, in which the slots of one target differ.
func changeOneTarget(c *catalog.Catalog, n int) *catalog.Catalog {
	next := c.Clone()
	next.Revision++
	name := fmt.Sprintf("service-%03d", n%len(c.Pools))
	pool := next.Pools[name]
	pool.Targets[n%len(pool.Targets)].Slots++
	next.Pools[name] = pool
	return next
}

// fakeStore holds a head and its documents, as the store does.
type fakeStore struct {
	head      *catalog.Head
	documents map[string][]byte
}

func (s *fakeStore) put(c *catalog.Catalog) {
	for _, d := range c.Documents() {
		s.documents[d.Key()] = d.Content
	}
	s.head = c.HeadAfter(s.head, catalog.Confirmation{ID: fmt.Sprint(c.Revision), Revision: c.Revision})
}

func (s *fakeStore) fetch(key string) ([]byte, error) {
	content, ok := s.documents[key]
	if !ok {
		return nil, errors.New("no such document")
	}
	return content, nil
}

// TestUpdatesYieldTheSameConfiguration applies updates that span random numbers of
// revisions to a follower, each of them twice, and compares the follower with a leader that
// reads every revision from the store.
func TestUpdatesYieldTheSameConfiguration(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	s := &fakeStore{head: &catalog.Head{}, documents: map[string][]byte{}}
	leader, follower := NewHolder(), NewHolder()
	c := newCatalog(6, 4)
	for n := range 600 {
		s.put(c)
		_, err := leader.ApplyHead(s.head, s.fetch)
		require.NoError(t, err)
		if rng.IntN(3) > 0 {
			u, ok := leader.UpdateSince(follower.Head().Revision)
			require.True(t, ok)
			_, err = follower.ApplyUpdate(u)
			require.NoError(t, err)
			changed, err := follower.ApplyUpdate(u)
			require.NoError(t, err)
			require.False(t, changed, "a repeated update must not change the configuration")
			require.Equal(t, leader.Sum(), follower.Sum())
			require.Equal(t, leader.Catalog(), follower.Catalog())
		}
		c = changeOneTarget(c, n+rng.IntN(50))
	}
}

func TestOlderHeadIsIgnored(t *testing.T) {
	s := &fakeStore{head: &catalog.Head{}, documents: map[string][]byte{}}
	c := newCatalog(2, 2)
	s.put(c)
	older := s.head
	s.put(changeOneTarget(c, 1))
	h := NewHolder()
	_, err := h.ApplyHead(s.head, s.fetch)
	require.NoError(t, err)
	changed, err := h.ApplyHead(older, s.fetch)
	require.NoError(t, err)
	require.False(t, changed)
	require.EqualValues(t, 2, h.Head().Revision)
}

// BenchmarkHolder reports the cost of a configuration for a host: heap bytes, the size of
// the head in the store, the size of one change on a link, and the time to apply a change.
func BenchmarkHolder(b *testing.B) {
	sizes := []struct{ services, targets int }{{40, 40}, {160, 40}, {630, 40}, {630, 10}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size.services, size.targets), func(b *testing.B) {
			s := &fakeStore{head: &catalog.Head{}, documents: map[string][]byte{}}
			c := newCatalog(size.services, size.targets)
			s.put(c)
			before := heap()
			h := NewHolder()
			_, _ = h.ApplyHead(s.head, s.fetch)
			used := heap() - before
			next := changeOneTarget(c, 1)
			s.put(next)
			var spent time.Duration
			for n := range b.N {
				start := time.Now()
				_, _ = h.ApplyHead(s.head, s.fetch)
				spent += time.Since(start)
				next = changeOneTarget(next, n+2)
				s.put(next)
			}
			u, _ := h.UpdateSince(h.Head().Revision - 1)
			changeBytes := 0
			for _, d := range u.Documents {
				changeBytes += len(d.Content)
			}
			b.ReportMetric(float64(used), "heap-bytes")
			b.ReportMetric(float64(changeBytes), "change-bytes")
			b.ReportMetric(float64(len(s.head.Services)+len(s.head.Pools))*60, "head-bytes")
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "take-in-us")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
