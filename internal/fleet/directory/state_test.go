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

// plain decodes configurations that end with a version, and targets that are an id.
type plain struct{}

var _ Decoder = plain{}

func (plain) IsConfig(key string) bool { return key == "config" }

func (plain) Config(data []byte) (*routing.Config, error) {
	text := string(data)
	version, err := strconv.ParseUint(text[strings.LastIndexByte(text, ' ')+1:], 10, 64)
	return &routing.Config{Version: version}, err
}

func (plain) TargetID(key string) (string, bool) { return strings.CutPrefix(key, "t/") }

func (plain) Target(id string, data []byte) (roster.Target, error) {
	if string(data) == "bad" {
		return roster.Target{}, errors.New("bad")
	}
	return roster.Target{ID: id, Service: "s"}, nil
}

var now = time.Unix(1000, 0)

func newState() *State { return NewState(Host{}, plain{}, time.Second, func(store.Item) {}) }

func put(key, value string, revision uint64) store.Item {
	return store.Item{Key: key, Value: []byte(value), Revision: store.At(0, revision)}
}

func TestConfigurationOnlyGoesUp(t *testing.T) {
	tests := []struct {
		name  string
		items []store.Item
		want  uint64
	}{
		{name: "newer", items: []store.Item{put("config", "3", 1), put("config", "7", 2)}, want: 7},
		{name: "older under a newer revision", items: []store.Item{put("config", "7", 1), put("config", "3", 2)}, want: 7},
		{name: "older revision comes late", items: []store.Item{put("config", "7", 9), put("config", "8", 2)}, want: 7},
		{name: "unreadable", items: []store.Item{put("config", "7", 1), put("config", "x", 2)}, want: 7},
		{name: "deleted", items: []store.Item{put("config", "7", 1), {Key: "config", Revision: store.At(0, 2), Deleted: true}}, want: 7},
		{name: "good after unreadable", items: []store.Item{put("config", "7", 1), put("config", "x", 2), put("config", "9", 3)}, want: 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newState()
			for _, item := range tt.items {
				s.Apply(now, item)
			}
			require.Equal(t, tt.want, s.Snapshot().Table.Config.Version)
		})
	}
}

func TestUnreadableEntryNamesNoTargetAndOthersHold(t *testing.T) {
	s := newState()
	s.Apply(now, put("t/a", "", 1))
	s.Apply(now, put("t/b", "", 2))
	s.Apply(now, put("t/a", "bad", 3))
	require.Len(t, s.Snapshot().Targets["s"], 1)
	require.Equal(t, "b", s.Snapshot().Targets["s"][0].ID)
	warned := false
	for _, line := range s.TakeLines() {
		warned = warned || line.Warn
	}
	require.True(t, warned)
}

// Two sources tell of the same changes in different orders, with full reads between.
// The view is that of the store at the end.
func TestSourcesMayTellInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := newState()
		live := map[string]uint64{}
		var history []store.Item
		for revision := uint64(1); revision <= 60; revision++ {
			key := "t/" + strconv.Itoa(rng.IntN(6))
			item := put(key, "", revision)
			if rng.IntN(3) == 0 {
				item = store.Item{Key: key, Revision: store.At(0, revision), Deleted: true}
				delete(live, key)
			} else {
				live[key] = revision
			}
			history = append(history, item)
			for range rng.IntN(3) {
				s.Apply(now, history[rng.IntN(len(history))])
			}
			if rng.IntN(10) == 0 {
				page := store.Page{Revision: store.At(0, revision)}
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

func TestJournalTellsWhatChangedOrEverything(t *testing.T) {
	j := newJournal()
	j.add(put("a", "1", 5))
	j.reach(store.At(0, 5), 0)
	e := j.since(store.At(0, 0))
	require.True(t, e.full, "what was before the first full read is not known")
	require.Len(t, e.page.Items, 1)
	e = j.since(store.At(0, 5))
	require.False(t, e.full)
	require.Empty(t, e.page.Items)
	j.add(store.Item{Key: "a", Revision: store.At(0, 8), Deleted: true})
	j.reach(store.At(0, 8), 0)
	<-e.changed
	e = j.since(store.At(0, 5))
	require.False(t, e.full)
	require.Equal(t, []store.Item{{Key: "a", Revision: store.At(0, 8), Deleted: true}}, e.page.Items)
	for n := range uint64(journalLength + 1) {
		j.add(put("b"+strconv.FormatUint(n, 10), "", 9+n))
		j.reach(store.At(0, 9+n), 0)
	}
	require.True(t, j.since(store.At(0, 8)).full, "the change after 8 was dropped")
}

func TestJournalTellsTheNewestItemOfEachKey(t *testing.T) {
	j := newJournal()
	j.reach(store.At(0, 1), 0)
	for _, item := range []store.Item{put("a", "", 2), put("b", "", 5), put("a", "", 4), put("c", "", 3)} {
		j.add(item)
	}
	j.reach(store.At(0, 5), 0)
	e := j.since(store.At(0, 1))
	require.False(t, e.full)
	require.Equal(t, []store.Item{put("b", "", 5), put("a", "", 4), put("c", "", 3)}, e.page.Items)
}

// Hosts that follow one that read everything again get what changed, not everything.
func TestFullReadTellsFollowersOnlyWhatChanged(t *testing.T) {
	j := newJournal()
	s := NewState(Host{}, plain{}, time.Second, j.add)
	s.Load(now, store.Page{Revision: store.At(0, 3), Items: []store.Item{put("t/a", "", 1), put("t/b", "", 2), put("t/c", "", 3)}})
	j.reach(store.At(0, 3), 0)
	s.Load(now, store.Page{Revision: store.At(0, 7), Items: []store.Item{put("t/a", "", 1), put("t/c", "", 6)}})
	j.reach(store.At(0, 7), 0)
	e := j.since(store.At(0, 3))
	require.False(t, e.full)
	require.ElementsMatch(t, []store.Item{put("t/c", "", 6), {Key: "t/b", Revision: store.At(0, 7), Deleted: true}}, e.page.Items)
}

// A step of the time of day neither makes the view old nor keeps it fresh.
func TestAgeIsSteady(t *testing.T) {
	d := New(Config{}, group.New(t.Context()))
	require.Equal(t, never, d.Age(time.Now()))
	d.handle(event{news: &news{received: time.Now(), age: 100 * time.Millisecond}, taken: make(chan struct{})})
	for _, step := range []int64{-30, 30} {
		now := time.Now().Add(time.Second)
		wall := (*uint64)(unsafe.Pointer(&now)) //nolint:gosec // The first field holds the seconds of the day from bit 30 on.
		*wall += uint64(step << 30)             //nolint:gosec // Wraps for steps back.
		require.InDelta(t, 1100*time.Millisecond, d.Age(now), float64(50*time.Millisecond))
	}
}
