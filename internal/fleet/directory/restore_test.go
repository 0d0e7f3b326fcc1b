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

// sequenceDecoder decodes targets whose entry is a state and a sequence number, as in
// "ready 3".
type sequenceDecoder struct{ plainDecoder }

func (sequenceDecoder) Target(id string, data []byte) (roster.Target, error) {
	t := roster.Target{ID: id, Service: "s"}
	var state string
	_, err := fmt.Sscan(string(data), &state, &t.Sequence)
	t.Draining = state == "draining"
	return t, err
}

// itemIn returns an item with a revision of the given era.
func itemIn(era uint64, key, value string, number uint64) store.Item {
	return store.Item{Key: key, Value: []byte(value), Revision: store.NewRevision(era, number)}
}

func deletedItem(era uint64, key string, number uint64) store.Item {
	return store.Item{Key: key, Revision: store.NewRevision(era, number), Deleted: true}
}

func pageIn(era, number uint64, items ...store.Item) store.Page {
	return store.Page{Revision: store.NewRevision(era, number), Items: items}
}

// activeIDs returns the IDs of the targets of service s that have not lapsed.
func activeIDs(s *Snapshot) []string {
	ids := []string{}
	for _, t := range s.Targets["s"] {
		if !t.Lapsed {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

func TestStateAfterRestore(t *testing.T) {
	hostEntry := func(incarnation string) string {
		return fmt.Sprintf(`{"name":"b","domain":"d","peers":"10.0.0.2:80","incarnation":%q}`, incarnation)
	}
	tests := []struct {
		name string
		// before holds the items known in the first era, at revision 100.
		before []store.Item
		// restored holds the items of the backup, at revision 80, and after the items
		// received later.
		restored, after []store.Item
		check           func(t *testing.T, s *Snapshot)
	}{
		{
			name:   "a host writes its entry again under a revision number that was used before",
			before: []store.Item{itemIn(1, HostPrefix+"b", hostEntry("1"), 90)},
			after:  []store.Item{itemIn(2, HostPrefix+"b", hostEntry("2"), 85)},
			check:  func(t *testing.T, s *Snapshot) { require.Equal(t, "2", s.Hosts["b"].Incarnation) },
		},
		{
			name:   "a host that the backup lacks is kept for some time",
			before: []store.Item{itemIn(1, HostPrefix+"b", hostEntry("1"), 90)},
			check:  func(t *testing.T, s *Snapshot) { require.Contains(t, s.Hosts, "b") },
		},
		{
			name:     "the configuration does not revert to an older version",
			before:   []store.Item{itemIn(1, "config", "7", 95)},
			restored: []store.Item{itemIn(1, "config", "5", 60)},
			check:    func(t *testing.T, s *Snapshot) { require.EqualValues(t, 7, s.Table.Config.Version) },
		},
		{
			name:     "a newer configuration is applied under a low revision number",
			before:   []store.Item{itemIn(1, "config", "7", 95)},
			restored: []store.Item{itemIn(1, "config", "5", 60)},
			after:    []store.Item{itemIn(2, "config", "7", 81), itemIn(2, "config", "8", 82)},
			check:    func(t *testing.T, s *Snapshot) { require.EqualValues(t, 8, s.Table.Config.Version) },
		},
		{
			name:     "targets that the backup lacks lapse, and return when they register again",
			before:   []store.Item{itemIn(1, "t/a", "ready 1", 10), itemIn(1, "t/b", "ready 1", 90), itemIn(1, "t/c", "ready 1", 91)},
			restored: []store.Item{itemIn(1, "t/a", "ready 1", 10)},
			after:    []store.Item{itemIn(2, "t/b", "ready 9", 81)},
			check: func(t *testing.T, s *Snapshot) {
				require.Equal(t, []string{"a", "b"}, activeIDs(s))
				require.Len(t, s.Targets["s"], 3)
			},
		},
		{
			name:     "a target that left does not return with the backup",
			before:   []store.Item{itemIn(1, "t/a", "ready 1", 10), itemIn(1, "t/a", "draining 9", 90), deletedItem(1, "t/a", 95)},
			restored: []store.Item{itemIn(1, "t/a", "ready 1", 10)},
			check:    func(t *testing.T, s *Snapshot) { require.Empty(t, activeIDs(s)) },
		},
		{
			name:     "a draining target continues to drain",
			before:   []store.Item{itemIn(1, "t/a", "ready 1", 10), itemIn(1, "t/a", "draining 9", 90)},
			restored: []store.Item{itemIn(1, "t/a", "ready 1", 10)},
			check:    func(t *testing.T, s *Snapshot) { require.Empty(t, activeIDs(s)) },
		},
		{
			name:     "a target whose entry was deleted writes it again",
			before:   []store.Item{itemIn(1, "t/a", "ready 1", 10), deletedItem(1, "t/a", 95)},
			restored: []store.Item{itemIn(1, "t/a", "ready 1", 10)},
			after:    []store.Item{itemIn(2, "t/a", "ready 9", 81)},
			check:    func(t *testing.T, s *Snapshot) { require.Equal(t, []string{"a"}, activeIDs(s)) },
		},
		{
			name:   "the secret stays, and counts as not stored",
			before: []store.Item{itemIn(1, SecretKey, "k1", 90)},
			check: func(t *testing.T, s *Snapshot) {
				require.Equal(t, "k1", string(s.Secret()))
				require.False(t, s.SecretStored)
			},
		},
		{
			name:   "a new secret replaces the old one, which is still accepted",
			before: []store.Item{itemIn(1, SecretKey, "k1", 90)},
			after:  []store.Item{itemIn(2, SecretKey, "k2", 81)},
			check: func(t *testing.T, s *Snapshot) {
				require.Equal(t, [][]byte{[]byte("k2"), []byte("k1")}, s.Secrets)
				require.True(t, s.SecretStored)
			},
		},
		{
			name:     "items of the first era are ignored",
			before:   []store.Item{itemIn(1, "t/a", "ready 1", 10), itemIn(1, "config", "7", 95)},
			restored: []store.Item{itemIn(1, "t/a", "ready 1", 10)},
			after:    []store.Item{deletedItem(1, "t/a", 99)},
			check:    func(t *testing.T, s *Snapshot) { require.Equal(t, []string{"a"}, activeIDs(s)) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(Host{Name: "self"}, sequenceDecoder{}, time.Second, func(store.Item) {})
			s.Load(now, pageIn(1, 1))
			for _, item := range tt.before {
				s.Apply(now, item)
			}
			var restored []store.Item
			for _, item := range tt.restored {
				restored = append(restored, itemIn(2, item.Key, string(item.Value), item.Revision.Number))
			}
			s.Load(now, pageIn(2, 80, restored...))
			for _, item := range tt.after {
				s.Apply(now, item)
			}
			tt.check(t, s.Snapshot())
		})
	}
}

func TestHostsMissingFromBackupAreRemoved(t *testing.T) {
	s := newState()
	s.Load(now, pageIn(1, 100, itemIn(1, HostPrefix+"b", `{"name":"b","peers":"10.0.0.2:80"}`, 90)))
	s.Load(now, pageIn(2, 80))
	require.False(t, s.Tick(now.Add(900*time.Millisecond)))
	require.Contains(t, s.Snapshot().Hosts, "b")
	require.True(t, s.Tick(now.Add(1100*time.Millisecond)))
	require.NotContains(t, s.Snapshot().Hosts, "b")
}

func TestUpdateOfEarlierEraIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stop()
		h := f.hosts[f.ranked()[0]]
		f.store.restore(f.store.backup())
		time.Sleep(2 * time.Second)
		old := store.Page{Revision: store.NewRevision(0, 1000), Items: []store.Item{itemIn(0, "t/new", "", 999), deletedItem(0, "config", 998)}}
		for _, full := range []bool{true, false} {
			h.submit(t.Context(), update{page: old, full: full, source: "late", receivedAt: time.Now()})
		}
		require.Empty(t, h.Snapshot().Targets)
		require.EqualValues(t, 1, h.Snapshot().Revision.Era)
	})
}

func TestCacheServesAllItemsToFollowersOfAnotherEra(t *testing.T) {
	c := newWatchCache()
	c.add(itemIn(1, "a", "1", 5))
	c.advance(store.NewRevision(1, 100), 0, 0)
	c.add(itemIn(2, "a", "0", 4))
	c.advance(store.NewRevision(2, 80), 0, 0)
	require.True(t, c.since(store.NewRevision(1, 90)).full)
	require.False(t, c.since(store.NewRevision(2, 80)).full)
	c.add(itemIn(2, "b", "1", 81))
	c.advance(store.NewRevision(2, 81), 0, 0)
	require.Equal(t, []store.Item{itemIn(2, "b", "1", 81)}, c.since(store.NewRevision(2, 80)).page.Items)
}

// storeBackup is a backup of a fakeStore.
type storeBackup struct {
	items    map[string]store.Item
	revision store.Revision
}

func (s *fakeStore) backup() storeBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeBackup{items: maps.Clone(s.items), revision: s.revision}
}

// restore restores the store from a backup and starts the next era.
func (s *fakeStore) restore(b storeBackup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era + 1
	s.items, s.history = map[string]store.Item{}, nil
	for key, item := range b.items {
		item.Revision = store.NewRevision(era, item.Revision.Number)
		s.items[key] = item
	}
	s.revision = store.NewRevision(era, b.revision.Number)
	close(s.changed)
	s.changed = make(chan struct{})
}

// The store is restored twice from a backup, which loses up to two seconds of a burst. The
// operator then continues with newer versions.
func TestRestoreDoesNotDelayConfigurations(t *testing.T) {
	for _, hosts := range []int{13, 100} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, hosts)
			defer f.stop()
			highest := map[string]uint64{}
			written := map[uint64]time.Time{}
			var b storeBackup
			for n := range 60 {
				switch n {
				case 10:
					b = f.store.backup()
				case 30, 45:
					f.store.restore(b)
				}
				if n < 35 {
					f.store.put("config", paddedConfig(2+n, 12_000))
					written[uint64(2+n)] = time.Now()
				}
				if n == 46 {
					f.store.put("config", paddedConfig(36, 12_000))
				}
				time.Sleep(100 * time.Millisecond)
				f.checkActive(written)
				for address, h := range f.hosts {
					version := h.Snapshot().Table.Config.Version
					require.GreaterOrEqual(t, version, highest[address])
					highest[address] = version
				}
			}
			lowest, _ := f.lowestVersion()
			require.EqualValues(t, 36, lowest)
		})
	}
}
