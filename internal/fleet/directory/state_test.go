package directory

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"
	"unsafe"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// accountsPrefix precedes configurations that have a client account. The whole rest is its key.
const accountsPrefix = "accounts "

// plainDecoder decodes configurations that end with a version, and targets without any
// fields but the ID.
type plainDecoder struct{}

var _ Decoder = plainDecoder{}

func (plainDecoder) IsConfig(key string) bool { return key == "config" }

func (plainDecoder) Config(data []byte) (*routing.Config, error) {
	text := string(data)
	version, err := strconv.ParseUint(text[strings.LastIndexByte(text, ' ')+1:], 10, 64)
	c := &routing.Config{Version: version}
	if key, ok := strings.CutPrefix(text, accountsPrefix); ok {
		c.Accounts = []routing.Account{{Name: "a", Keys: []string{key}}}
	}
	return c, err
}

func (plainDecoder) TargetID(key string) (string, bool) { return strings.CutPrefix(key, "t/") }

func (plainDecoder) EvacuatedDomain(key string) (string, bool) { return strings.CutPrefix(key, "e/") }

func (plainDecoder) Target(id string, data []byte) (roster.Target, error) {
	if string(data) == "bad" {
		return roster.Target{}, errors.New("bad")
	}
	return roster.Target{ID: id, Service: "s"}, nil
}

var now = time.Unix(1000, 0)

func newState() *State { return NewState(Host{}, plainDecoder{}, time.Second, func(store.Item) {}) }

func put(key, value string, revision uint64) store.Item {
	return store.Item{Key: key, Value: []byte(value), Revision: store.NewRevision(0, revision)}
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	tests := []struct {
		name  string
		items []store.Item
		want  uint64
		// unreadable is set if the store holds a newer configuration that cannot be read.
		unreadable bool
	}{
		{name: "newer", items: []store.Item{put("config", "3", 1), put("config", "7", 2)}, want: 7},
		{name: "older under a newer revision", items: []store.Item{put("config", "7", 1), put("config", "3", 2)}, want: 7},
		{name: "older revision arrives late", items: []store.Item{put("config", "7", 9), put("config", "8", 2)}, want: 7},
		{name: "unreadable", items: []store.Item{put("config", "7", 1), put("config", "x", 2)}, want: 7, unreadable: true},
		{name: "unreadable and late", items: []store.Item{put("config", "7", 3), put("config", "x", 2)}, want: 7},
		{name: "deleted", items: []store.Item{put("config", "7", 1), {Key: "config", Revision: store.NewRevision(0, 2), Deleted: true}}, want: 7},
		{name: "good after unreadable", items: []store.Item{put("config", "7", 1), put("config", "x", 2), put("config", "9", 3)}, want: 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newState()
			for _, item := range tt.items {
				s.Apply(now, item)
			}
			require.Equal(t, tt.want, s.Snapshot().Table.Config.Version)
			require.Equal(t, tt.unreadable, s.Snapshot().ConfigUnreadable)
		})
	}
}

func TestInvalidEntryRemovesOnlyItsTarget(t *testing.T) {
	s := newState()
	s.Apply(now, put("t/a", "", 1))
	s.Apply(now, put("t/b", "", 2))
	s.Apply(now, put("t/a", "bad", 3))
	require.Len(t, s.Snapshot().Targets["s"], 1)
	require.Equal(t, "b", s.Snapshot().Targets["s"][0].ID)
	warned := false
	for _, line := range s.TakeLogLines() {
		warned = warned || line.Warn
	}
	require.True(t, warned)
}

// Guards against readers that keep what they know of the earlier run of a target: they get one
// snapshot for all changes in a response of the store.
func TestRestartsWithinOneUpdateAreReported(t *testing.T) {
	entry := func(value string, revision uint64) store.Item { return itemIn(0, "t/a", value, revision) }
	tests := []struct {
		name      string
		items     []store.Item
		restarted bool
	}{
		{name: "new run", items: []store.Item{entry("ready 995 1", 11)}, restarted: true},
		{name: "deletion and new run", items: []store.Item{deletedItem(0, "t/a", 11), entry("ready 995 1", 12)}, restarted: true},
		{name: "drains, is deleted and starts again", items: []store.Item{entry("draining 900 4", 11), deletedItem(0, "t/a", 12), entry("ready 995 1", 13)}, restarted: true},
		{name: "entry that cannot be read, and new run", items: []store.Item{entry("what", 11), entry("ready 995 1", 12)}, restarted: true},
		{name: "two new runs", items: []store.Item{entry("ready 995 1", 11), entry("ready 997 1", 12)}, restarted: true},
		{name: "deletion and next entry of the same run", items: []store.Item{deletedItem(0, "t/a", 11), entry("ready 900 4", 12)}},
		{name: "next entry", items: []store.Item{entry("ready 900 4", 11)}},
		{name: "deletion", items: []store.Item{deletedItem(0, "t/a", 11)}},
		{name: "another target", items: []store.Item{itemIn(0, "t/b", "ready 995 1", 11)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(Host{}, runDecoder{}, time.Second, func(store.Item) {})
			s.Apply(now, entry("ready 900 3", 10))
			require.Empty(t, s.TakeRestarted())
			for _, item := range tt.items {
				s.Apply(now, item)
			}
			var want []string
			if tt.restarted {
				want = []string{"a"}
			}
			require.Equal(t, want, s.TakeRestarted())
			require.Empty(t, s.TakeRestarted())
		})
	}
}

// Guards against memory that grows with every target and host that has ever been there.
func TestDeletedKeysAreForgotten(t *testing.T) {
	s := newState()
	revision := uint64(0)
	remove := func(at time.Time, key string) {
		revision += 2
		s.Apply(at, put(key, "", revision-1))
		s.Apply(at, store.Item{Key: key, Revision: store.NewRevision(0, revision), Deleted: true})
	}
	for n := range maxTombstones + 100 {
		remove(now, "t/"+strconv.Itoa(n))
	}
	s.Apply(now, put("t/0", "", revision+1))
	s.Tick(now)
	require.Len(t, s.keys, maxTombstones+1, "the first ones are forgotten, and one that is back is kept")
	require.False(t, s.Apply(now, put("t/200", "", 1)), "an old item of a key that was deleted lately")
	s.Tick(now.Add(tombstoneRetention + time.Second))
	require.Len(t, s.keys, 1)
	require.Empty(t, s.tombstones)
}

// The items may arrive in any order and more than once, with full reads in between. The
// final view equals the state of the store.
func TestItemsMayArriveInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := newState()
		live := map[string]uint64{}
		var history []store.Item
		for revision := uint64(1); revision <= 60; revision++ {
			key := "t/" + strconv.Itoa(rng.IntN(6))
			item := put(key, "", revision)
			if rng.IntN(3) == 0 {
				item = store.Item{Key: key, Revision: store.NewRevision(0, revision), Deleted: true}
				delete(live, key)
			} else {
				live[key] = revision
			}
			history = append(history, item)
			for range rng.IntN(3) {
				s.Apply(now, history[rng.IntN(len(history))])
			}
			if rng.IntN(10) == 0 {
				page := store.Page{Revision: store.NewRevision(0, revision)}
				for k, rev := range live {
					page.Items = append(page.Items, put(k, "", rev))
				}
				s.Load(now, page)
			}
		}
		for _, i := range rng.Perm(len(history)) {
			s.Apply(now, history[i])
		}
		require.Len(t, s.Snapshot().Targets["s"], len(live), "seed %d", seed)
	}
}

func TestCacheServesChangesOrAllItems(t *testing.T) {
	c := newWatchCache()
	c.add(put("a", "1", 5))
	c.advance(store.NewRevision(0, 5), 0, 0)
	cs := c.since(store.NewRevision(0, 0))
	require.True(t, cs.full, "changes before the first full read are not known")
	require.Len(t, cs.page.Items, 1)
	cs = c.since(store.NewRevision(0, 5))
	require.False(t, cs.full)
	require.Empty(t, cs.page.Items)
	c.add(store.Item{Key: "a", Revision: store.NewRevision(0, 8), Deleted: true})
	c.advance(store.NewRevision(0, 8), 0, 0)
	<-cs.changed
	cs = c.since(store.NewRevision(0, 5))
	require.False(t, cs.full)
	require.Equal(t, []store.Item{{Key: "a", Revision: store.NewRevision(0, 8), Deleted: true}}, cs.page.Items)
	for n := range uint64(maxRecentChanges + 1) {
		c.add(put("b"+strconv.FormatUint(n, 10), "", 9+n))
		c.advance(store.NewRevision(0, 9+n), 0, 0)
	}
	require.True(t, c.since(store.NewRevision(0, 8)).full, "the first change after revision 8 was dropped")
}

func TestCacheServesNewestItemOfEachKey(t *testing.T) {
	c := newWatchCache()
	c.advance(store.NewRevision(0, 1), 0, 0)
	for _, item := range []store.Item{put("a", "", 2), put("b", "", 5), put("a", "", 4), put("c", "", 3)} {
		c.add(item)
	}
	c.advance(store.NewRevision(0, 5), 0, 0)
	cs := c.since(store.NewRevision(0, 1))
	require.False(t, cs.full)
	require.Equal(t, []store.Item{put("b", "", 5), put("a", "", 4), put("c", "", 3)}, cs.page.Items)
}

// A full read passes only the changes on to followers, not all items.
func TestFullReadPassesOnlyChangesToFollowers(t *testing.T) {
	c := newWatchCache()
	s := NewState(Host{}, plainDecoder{}, time.Second, c.add)
	s.Load(now, store.Page{Revision: store.NewRevision(0, 3), Items: []store.Item{put("t/a", "", 1), put("t/b", "", 2), put("t/c", "", 3)}})
	c.advance(store.NewRevision(0, 3), 0, 0)
	s.Load(now, store.Page{Revision: store.NewRevision(0, 7), Items: []store.Item{put("t/a", "", 1), put("t/c", "", 6)}})
	c.advance(store.NewRevision(0, 7), 0, 0)
	cs := c.since(store.NewRevision(0, 3))
	require.False(t, cs.full)
	require.ElementsMatch(t, []store.Item{put("t/c", "", 6), {Key: "t/b", Revision: store.NewRevision(0, 7), Deleted: true}}, cs.page.Items)
}

// Steps of the wall clock do not affect the age of the view.
func TestAgeIgnoresWallClockSteps(t *testing.T) {
	d := New(Config{}, group.New(t.Context()))
	require.Equal(t, unknownAge, d.Age(time.Now()))
	d.handle(event{update: &update{receivedAt: time.Now(), age: 100 * time.Millisecond}, done: make(chan struct{})})
	for _, step := range []int64{-30, 30} {
		now := time.Now().Add(time.Second)
		wall := (*uint64)(unsafe.Pointer(&now)) //nolint:gosec // The first field holds the seconds of the wall clock from bit 30 on.
		*wall += uint64(step << 30)             //nolint:gosec // A step back wraps around.
		require.InDelta(t, 1100*time.Millisecond, d.Age(now), float64(50*time.Millisecond))
	}
}
