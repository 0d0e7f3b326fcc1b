package directory

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// checkpointStore is a store with its history from some revision on.
type checkpointStore struct {
	items     map[string]store.Item
	history   []store.Item
	compacted store.Revision
	revision  store.Revision
	era       uint64
	down      bool
	ranges    int
}

var (
	_ store.Source      = (*checkpointStore)(nil)
	_ store.StaleGetter = (*checkpointStore)(nil)
	_ store.Leaser      = (*checkpointStore)(nil)
)

func (s *checkpointStore) put(key string, value []byte, deleted bool) {
	s.revision = store.NewRevision(s.era, s.revision.Number+1)
	item := store.Item{Key: key, Value: value, Revision: s.revision, Deleted: deleted}
	s.history = append(s.history, item)
	s.items[key] = item
	if deleted {
		delete(s.items, key)
	}
}

func (s *checkpointStore) GetStale(_ context.Context, key string) (store.Item, error) {
	item, ok := s.items[key]
	switch {
	case s.down:
		return item, store.ErrUnavailable
	case !ok:
		return item, store.ErrNotFound
	}
	item.Revision.Era = s.era
	return item, nil
}

func (s *checkpointStore) Range(context.Context, string) (store.Page, error) {
	s.ranges++
	if s.down {
		return store.Page{}, store.ErrUnavailable
	}
	return store.Page{Items: slices.Collect(maps.Values(s.items)), Revision: s.revision}, nil
}

func (s *checkpointStore) Watch(_ context.Context, _ string, after store.Revision, _ time.Duration) (store.Page, error) {
	if s.compacted.After(after) || after.Era != s.era {
		return store.Page{}, store.ErrCompacted
	}
	page := store.Page{Revision: s.revision}
	for _, item := range s.history {
		if item.Revision.After(after) {
			page.Items = append(page.Items, item)
		}
	}
	return page, nil
}

func (s *checkpointStore) Commit(_ context.Context, _ []store.Condition, writes []store.Put, _ []string) (store.Revision, error) {
	s.put(writes[0].Key, writes[0].Value, false)
	return s.revision, nil
}

func (s *checkpointStore) Grant(context.Context, time.Duration) (uint64, error) { return 1, nil }
func (s *checkpointStore) Renew(context.Context, uint64) error                  { return nil }
func (s *checkpointStore) Revoke(context.Context, uint64) error                 { return nil }

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// newLargeStore returns a store with the entries of a fleet of 312 hosts and 600 targets.
func newLargeStore() *checkpointStore {
	s := &checkpointStore{items: map[string]store.Item{}}
	for n := range 312 {
		s.put(fmt.Sprintf("%sfront-fbg-a-%d", HostPrefix, n), fmt.Appendf(nil, `{"name":"front-fbg-a-%d","domain":"fbg-a","peers":"10.%d.0.%d:7200","incarnation":"%08x-4212-47c8-8c2b-46935ada61a2","cores":0.16}`, n, n%6, n, n*2654435761), false)
	}
	for n := range 600 {
		s.put(fmt.Sprintf("servers/i-%010x", n*2654435761), fmt.Appendf(nil, `{"info":{"service":"puye95c","version":"v1","zone":"fbg-a","slots":2},"status":{"state":"ready","sequence":%d,"cold_remaining_ms":0},"address":"10.3.64.%d:8282","born":17900000%05d}`, n%7, n%250, n), false)
	}
	return s
}

func startFrom(s *checkpointStore) *Directory {
	d := New(Config{Self: Host{Name: "front-new", Domain: "fbg-a"}, Source: s, Log: discardLog(), Decoder: plainDecoder{}}, nil)
	w := &watcher{d: d, reload: true}
	page, full, err := w.read(context.Background(), store.Revision{}, 0)
	if err == nil && full {
		d.state.Load(time.Now(), page)
		d.cache.advance(page.Revision, 1, 0)
	}
	return d
}

// Guards against hosts that read all keys of a large fleet when they start together.
func TestHostsStartFromACheckpoint(t *testing.T) {
	tests := []struct {
		name string
		// change is applied after the checkpoint was written.
		change func(s *checkpointStore)
		ranges int
	}{
		{name: "nothing changed", change: func(*checkpointStore) {}},
		{name: "items changed, went and came back", change: func(s *checkpointStore) {
			s.put(HostPrefix+"front-fbg-a-0", nil, true)
			s.put(HostPrefix+"front-fbg-a-1", nil, true)
			s.put(HostPrefix+"front-fbg-a-1", []byte(`{"name":"front-fbg-a-1"}`), false)
			s.put(SizeKey, []byte("312"), false)
		}},
		{name: "history since the checkpoint is gone", change: func(s *checkpointStore) {
			s.put(SizeKey, []byte("312"), false)
			s.compacted = s.revision
		}, ranges: 1},
		{name: "store was restored from a copy", change: func(s *checkpointStore) { s.era, s.revision = 1, store.NewRevision(1, s.revision.Number) }, ranges: 1},
		{name: "checkpoint cannot be read", change: func(s *checkpointStore) { s.put(CheckpointKey, []byte("garbage"), false) }, ranges: 1},
		{name: "no checkpoint", change: func(s *checkpointStore) { s.put(CheckpointKey, nil, true) }, ranges: 1},
		{name: "store is down", change: func(s *checkpointStore) { s.down = true }, ranges: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newLargeStore()
			root := startFrom(s)
			s.ranges = 0
			writer := &Checkpoints{Store: s, Log: discardLog()}
			require.NoError(t, writer.write(t.Context(), root.cache.since(store.Revision{}).page))
			require.Less(t, len(s.items[CheckpointKey].Value), 60<<10, "bytes of a checkpoint; all keys take some 400 KB")
			tt.change(s)
			d := startFrom(s)
			require.Equal(t, tt.ranges, s.ranges, "full reads")
			want := maps.Clone(s.items)
			delete(want, CheckpointKey)
			if s.down {
				want = map[string]store.Item{}
			}
			require.Equal(t, want, d.cache.items)
		})
	}
}

func TestCheckpointIsWrittenByTheRootOfALargeFleetAfterChanges(t *testing.T) {
	s := newLargeStore()
	d := startFrom(s)
	d.snapshot.Store(&Snapshot{})
	_, ok := d.CheckpointDue(store.Revision{})
	require.False(t, ok, "the view is not up to date")
	d.asOf.Store(int64(time.Since(d.baseTime)))
	page, ok := d.CheckpointDue(store.Revision{})
	require.True(t, ok)
	require.Len(t, page.Items, 912)
	_, ok = d.CheckpointDue(page.Revision)
	require.False(t, ok, "nothing changed")
	s.put(CheckpointKey, []byte("x"), false)
	require.False(t, d.state.Apply(time.Now(), s.items[CheckpointKey]))
	_, ok = d.CheckpointDue(page.Revision)
	require.False(t, ok, "a checkpoint is no change")
	s.put(SizeKey, []byte("312"), false)
	d.state.Apply(time.Now(), s.items[SizeKey])
	d.cache.advance(s.revision, 2, 0)
	_, ok = d.CheckpointDue(page.Revision)
	require.True(t, ok)
	d.snapshot.Store(&Snapshot{position: treePosition{rank: 1}})
	_, ok = d.CheckpointDue(page.Revision)
	require.False(t, ok, "another host is the root")
	small := startFrom(&checkpointStore{items: map[string]store.Item{}})
	small.asOf.Store(int64(time.Since(small.baseTime)))
	_, ok = small.CheckpointDue(store.Revision{})
	require.False(t, ok, "all keys fit in one call")
}
