package directory

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// counting decodes targets whose entry is a state and a count, as in "ready 3".
type counting struct{ plain }

func (counting) Target(id string, data []byte) (roster.Target, error) {
	t := roster.Target{ID: id, Service: "s"}
	var state string
	_, err := fmt.Sscan(string(data), &state, &t.Sequence)
	t.Draining = state == "draining"
	return t, err
}

// in returns an item as a store of an era tells it.
func in(era uint64, key, value string, number uint64) store.Item {
	return store.Item{Key: key, Value: []byte(value), Revision: store.At(era, number)}
}

func ended(era uint64, key string, number uint64) store.Item {
	return store.Item{Key: key, Revision: store.At(era, number), Deleted: true}
}

func loaded(era, number uint64, items ...store.Item) store.Page {
	return store.Page{Revision: store.At(era, number), Items: items}
}

// usable returns the ids of the targets that get new work.
func usable(s *Snapshot) []string {
	ids := []string{}
	for _, t := range s.Targets["s"] {
		if !t.Lapsed {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

func TestStoreThatComesBackFromACopyIsBelieved(t *testing.T) {
	hostEntry := func(incarnation string) string {
		return fmt.Sprintf(`{"name":"b","domain":"d","peers":"10.0.0.2:80","incarnation":%q}`, incarnation)
	}
	tests := []struct {
		name string
		// before is known in the first era, at revision 100.
		before []store.Item
		// copied is what the copy holds, at revision 80, and after what is told then.
		copied, after []store.Item
		check         func(t *testing.T, s *Snapshot)
	}{
		{
			name:   "a host writes its entry again under a revision that was given out before",
			before: []store.Item{in(1, HostPrefix+"b", hostEntry("1"), 90)},
			after:  []store.Item{in(2, HostPrefix+"b", hostEntry("2"), 85)},
			check:  func(t *testing.T, s *Snapshot) { require.Equal(t, "2", s.Hosts["b"].Incarnation) },
		},
		{
			name:   "a host that the copy lacks stays for a moment",
			before: []store.Item{in(1, HostPrefix+"b", hostEntry("1"), 90)},
			check:  func(t *testing.T, s *Snapshot) { require.Contains(t, s.Hosts, "b") },
		},
		{
			name:   "the configuration does not go back",
			before: []store.Item{in(1, "config", "7", 95)},
			copied: []store.Item{in(1, "config", "5", 60)},
			check:  func(t *testing.T, s *Snapshot) { require.EqualValues(t, 7, s.Table.Config.Version) },
		},
		{
			name:   "a newer configuration is taken in under a low revision",
			before: []store.Item{in(1, "config", "7", 95)},
			copied: []store.Item{in(1, "config", "5", 60)},
			after:  []store.Item{in(2, "config", "7", 81), in(2, "config", "8", 82)},
			check:  func(t *testing.T, s *Snapshot) { require.EqualValues(t, 8, s.Table.Config.Version) },
		},
		{
			name:   "targets that the copy lacks lapse, and come back",
			before: []store.Item{in(1, "t/a", "ready 1", 10), in(1, "t/b", "ready 1", 90), in(1, "t/c", "ready 1", 91)},
			copied: []store.Item{in(1, "t/a", "ready 1", 10)},
			after:  []store.Item{in(2, "t/b", "ready 9", 81)},
			check: func(t *testing.T, s *Snapshot) {
				require.Equal(t, []string{"a", "b"}, usable(s))
				require.Len(t, s.Targets["s"], 3)
			},
		},
		{
			name:   "a target that left does not come back with the copy",
			before: []store.Item{in(1, "t/a", "ready 1", 10), in(1, "t/a", "draining 9", 90), ended(1, "t/a", 95)},
			copied: []store.Item{in(1, "t/a", "ready 1", 10)},
			check:  func(t *testing.T, s *Snapshot) { require.Empty(t, usable(s)) },
		},
		{
			name:   "a target that drains goes on to drain",
			before: []store.Item{in(1, "t/a", "ready 1", 10), in(1, "t/a", "draining 9", 90)},
			copied: []store.Item{in(1, "t/a", "ready 1", 10)},
			check:  func(t *testing.T, s *Snapshot) { require.Empty(t, usable(s)) },
		},
		{
			name:   "a target whose entry had ended writes it again",
			before: []store.Item{in(1, "t/a", "ready 1", 10), ended(1, "t/a", 95)},
			copied: []store.Item{in(1, "t/a", "ready 1", 10)},
			after:  []store.Item{in(2, "t/a", "ready 9", 81)},
			check:  func(t *testing.T, s *Snapshot) { require.Equal(t, []string{"a"}, usable(s)) },
		},
		{
			name:   "the secret stays, and counts as not stored",
			before: []store.Item{in(1, KeyKey, "k1", 90)},
			check: func(t *testing.T, s *Snapshot) {
				require.Equal(t, "k1", string(s.Key()))
				require.False(t, s.KeyStored)
			},
		},
		{
			name:   "a new secret replaces the old one, which is still accepted",
			before: []store.Item{in(1, KeyKey, "k1", 90)},
			after:  []store.Item{in(2, KeyKey, "k2", 81)},
			check: func(t *testing.T, s *Snapshot) {
				require.Equal(t, [][]byte{[]byte("k2"), []byte("k1")}, s.Keys)
				require.True(t, s.KeyStored)
			},
		},
		{
			name:   "what the first era told is late",
			before: []store.Item{in(1, "t/a", "ready 1", 10), in(1, "config", "7", 95)},
			copied: []store.Item{in(1, "t/a", "ready 1", 10)},
			after:  []store.Item{ended(1, "t/a", 99)},
			check:  func(t *testing.T, s *Snapshot) { require.Equal(t, []string{"a"}, usable(s)) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(Host{Name: "self"}, counting{}, time.Second, func(store.Item) {})
			s.Load(now, loaded(1, 1))
			for _, item := range tt.before {
				s.Apply(now, item)
			}
			var copied []store.Item
			for _, item := range tt.copied {
				copied = append(copied, in(2, item.Key, string(item.Value), item.Revision.Number))
			}
			s.Load(now, loaded(2, 80, copied...))
			for _, item := range tt.after {
				s.Apply(now, item)
			}
			tt.check(t, s.Snapshot())
		})
	}
}

func TestHostsThatDoNotWriteAgainLeave(t *testing.T) {
	s := newState()
	s.Load(now, loaded(1, 100, in(1, HostPrefix+"b", `{"name":"b","peers":"10.0.0.2:80"}`, 90)))
	s.Load(now, loaded(2, 80))
	require.False(t, s.Tick(now.Add(900*time.Millisecond)))
	require.Contains(t, s.Snapshot().Hosts, "b")
	require.True(t, s.Tick(now.Add(1100*time.Millisecond)))
	require.NotContains(t, s.Snapshot().Hosts, "b")
}

func TestNewsOfAnEraThatHasPassedChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stop()
		h := f.hosts[f.ranked()[0]]
		f.store.restore(f.store.copy())
		time.Sleep(2 * time.Second)
		old := store.Page{Revision: store.At(0, 1000), Items: []store.Item{in(0, "t/new", "", 999), ended(0, "config", 998)}}
		for _, full := range []bool{true, false} {
			h.take(t.Context(), news{page: old, full: full, from: "late", received: time.Now()})
		}
		require.Empty(t, h.Snapshot().Targets)
		require.EqualValues(t, 1, h.Snapshot().Revision.Era)
	})
}

func TestJournalOfAnEraTellsThoseOfAnotherEverything(t *testing.T) {
	j := newJournal()
	j.add(in(1, "a", "1", 5))
	j.reach(store.At(1, 100), 0)
	j.add(in(2, "a", "0", 4))
	j.reach(store.At(2, 80), 0)
	require.True(t, j.since(store.At(1, 90)).full)
	require.False(t, j.since(store.At(2, 80)).full)
	j.add(in(2, "b", "1", 81))
	j.reach(store.At(2, 81), 0)
	require.Equal(t, []store.Item{in(2, "b", "1", 81)}, j.since(store.At(2, 80)).page.Items)
}

// memoryCopy is what a store holds at a moment.
type memoryCopy struct {
	items    map[string]store.Item
	revision store.Revision
}

func (m *memory) copy() memoryCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return memoryCopy{items: maps.Clone(m.items), revision: m.revision}
}

// restore lets the store come back from a copy, in the next era.
func (m *memory) restore(c memoryCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	era := m.revision.Era + 1
	m.items, m.history = map[string]store.Item{}, nil
	for key, item := range c.items {
		item.Revision = store.At(era, item.Revision.Number)
		m.items[key] = item
	}
	m.revision = store.At(era, c.revision.Number)
	close(m.changed)
	m.changed = make(chan struct{})
}

// The store loses two seconds of a storm, and the operator goes on with newer versions.
func TestStoreThatComesBackFromACopyDelaysNoConfiguration(t *testing.T) {
	for _, hosts := range []int{13, 100} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, hosts)
			defer f.stop()
			highest := map[string]uint64{}
			written := map[uint64]time.Time{}
			var c memoryCopy
			for n := range 60 {
				switch n {
				case 10:
					c = f.store.copy()
				case 30, 45:
					f.store.restore(c)
				}
				if n < 35 {
					f.store.put("config", padded(2+n, 12_000))
					written[uint64(2+n)] = time.Now()
				}
				if n == 46 {
					f.store.put("config", padded(36, 12_000))
				}
				time.Sleep(100 * time.Millisecond)
				f.check(written)
				for address, h := range f.hosts {
					version := h.Snapshot().Table.Config.Version
					require.GreaterOrEqual(t, version, highest[address])
					highest[address] = version
				}
			}
			lowest, _ := f.version()
			require.EqualValues(t, 36, lowest)
		})
	}
}
