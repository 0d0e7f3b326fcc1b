package directory

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// runDecoder decodes targets whose entry is a state, a start time in Unix seconds and a sequence
// number, as in "ready 900 3".
type runDecoder struct{ plainDecoder }

func (runDecoder) Target(id string, data []byte) (roster.Target, error) {
	t := roster.Target{ID: id, Service: "s"}
	var state string
	var started int64
	_, err := fmt.Sscan(string(data), &state, &started, &t.Sequence)
	t.Draining, t.Started = state == "draining", time.Unix(started, 0)
	return t, err
}

// seen is an item, and the time since the start at which a host sees it. An item without a key lets
// time pass. load makes the host read all of the store, which holds only this item.
type seen struct {
	after time.Duration
	item  store.Item
	load  bool
}

// Guards against entries that the store applies late, which brought targets back that had reported
// that they drain or were gone, however a host learns of them; and against live targets that are
// shut out because of an entry that something else has written.
func TestStateAfterLateEntries(t *testing.T) {
	entry := func(value string, revision uint64) store.Item { return itemIn(1, "t/a", value, revision) }
	const second = time.Second
	tests := []struct {
		name   string
		items  []seen
		active bool
	}{
		{name: "late heartbeat after the target drains", items: []seen{{item: entry("ready 900 5", 10)}, {after: second, item: entry("draining 900 9", 11)}, {after: 3 * second, item: entry("ready 900 7", 12)}}},
		{name: "found by a full read", items: []seen{{item: entry("ready 900 5", 10)}, {after: second, item: entry("draining 900 9", 11)}, {after: 3 * second, load: true, item: entry("ready 900 7", 12)}}},
		{name: "two late heartbeats", items: []seen{{item: entry("draining 900 9", 10)}, {after: second, item: entry("ready 900 7", 11)}, {after: 2 * second, item: entry("ready 900 8", 12)}}},
		{name: "after the entry was removed", items: []seen{{item: entry("ready 900 9", 10)}, {after: second, item: deletedItem(1, "t/a", 11)}, {after: 3 * second, item: entry("ready 900 7", 12)}}},
		{name: "removed again after that", items: []seen{{item: entry("ready 900 9", 10)}, {after: second, item: deletedItem(1, "t/a", 11)}, {after: 3 * second, item: entry("ready 900 7", 12)}, {after: 7 * second, item: deletedItem(1, "t/a", 13)}, {after: 30 * second}}},
		{name: "of an earlier run", items: []seen{{item: entry("draining 950 2", 10)}, {after: second, item: entry("ready 900 77", 11)}}},
		{name: "earlier run drains", items: []seen{{item: entry("ready 995 1", 10)}, {after: second, item: entry("draining 900 77", 11)}}, active: true},
		{name: "target drains on after the late entry", items: []seen{{item: entry("draining 900 9", 10)}, {after: second, item: entry("ready 900 7", 11)}, {after: 2 * second, item: entry("draining 900 10", 12)}, {after: 30 * second}}},

		{name: "restart", items: []seen{{item: entry("draining 900 9", 10)}, {after: second, item: entry("ready 995 1", 11)}}, active: true},
		{name: "restart after the entry was removed", items: []seen{{item: entry("draining 900 9", 10)}, {after: second, item: deletedItem(1, "t/a", 11)}, {after: second, item: entry("ready 995 1", 12)}}, active: true},
		{name: "registers again with a newer entry", items: []seen{{item: entry("ready 900 9", 10)}, {after: second, item: deletedItem(1, "t/a", 11)}, {after: second, item: entry("ready 900 12", 12)}}, active: true},
		{name: "older entry that nothing replaces", items: []seen{{item: entry("draining 900 9", 10)}, {after: second, item: entry("ready 900 7", 11)}, {after: roster.LateWriteTime + second}}, active: true},
		{name: "goes on to be ready below a count far ahead", items: []seen{{item: entry("ready 900 9", 10)}, {after: second, item: entry("draining 900 99999999", 11)}, {after: 2 * second, item: entry("ready 900 10", 12)}}, active: true},
		{name: "goes on to be ready below a start in the future", items: []seen{{item: entry("ready 900 9", 10)}, {after: second, item: entry("draining 99999999 1", 11)}, {after: 2 * second, item: entry("ready 900 10", 12)}}, active: true},
		{name: "goes on to be ready below a count a bit ahead", items: []seen{{item: entry("ready 900 9", 10)}, {after: second, item: entry("draining 900 90", 11)}, {after: 2 * second, item: entry("ready 900 10", 12)}, {after: roster.LateWriteTime + 2*second}}, active: true},
		{name: "drains at once below a count far ahead", items: []seen{{item: entry("ready 900 9", 10)}, {after: second, item: entry("ready 900 99999999", 11)}, {after: 2 * second, item: entry("draining 900 10", 12)}}},
		{name: "drains at once below a count a bit ahead", items: []seen{{item: entry("ready 900 9", 10)}, {after: second, item: entry("ready 900 90", 11)}, {after: 2 * second, item: entry("draining 900 10", 12)}}},
		{name: "drains at once below a start in the future", items: []seen{{item: entry("ready 900 9", 10)}, {after: second, item: entry("ready 99999999 9", 11)}, {after: 2 * second, item: entry("draining 900 10", 12)}}},
		{name: "goes on after an entry that cannot be read", items: []seen{{item: entry("ready 900 9", 10)}, {after: second, item: entry("what", 11)}, {after: 2 * second, item: entry("ready 900 10", 12)}}, active: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(Host{Name: "self"}, runDecoder{}, time.Second, func(store.Item) {})
			s.Load(now, pageIn(1, 1))
			at := now
			for _, i := range tt.items {
				for ; at.Before(now.Add(i.after)); at = at.Add(expirePeriod) {
					s.Tick(at)
				}
				switch {
				case i.load:
					s.Load(at, pageIn(1, i.item.Revision.Number, i.item))
				case i.item.Key != "":
					s.Apply(at, i.item)
				}
			}
			want := []string{}
			if tt.active {
				want = append(want, "a")
			}
			require.Equal(t, want, activeIDs(s.Snapshot()))
		})
	}
}

// viewOf returns a directory whose view is fed by the test.
func viewOf(t *testing.T) *Directory {
	g := group.New(t.Context())
	t.Cleanup(func() { _ = g.Stop() })
	return New(Config{Self: Host{Name: "self"}, Decoder: runDecoder{}, Timer: timer.New(), Log: discardLog(), ReregisterTimeout: time.Second}, g)
}

// feed applies an update to a view, as the control goroutine does.
func (d *Directory) feed(u update) {
	u.receivedAt = time.Now()
	d.handle(event{update: &u, done: make(chan struct{})})
}

// poll returns the update that a host gets which polls a view after a revision.
func (d *Directory) poll(after store.Revision) update {
	cs := d.cache.since(after)
	return update{page: cs.page, full: cs.full, newest: encodeNewest(time.Now(), cs.memory.newest), source: "peer"}
}

// Guards against hosts that never saw the newer entry: they got both changes in one, or have joined
// after the late one was applied.
func TestHostsThatNeverSawTheNewerEntry(t *testing.T) {
	born := time.Now().Add(-time.Hour).Unix()
	entry := func(state string, sequence int, revision uint64) store.Item {
		return itemIn(1, "t/a", fmt.Sprintf("%s %d %d", state, born, sequence), revision)
	}
	late := entry("ready", 7, 12)
	tests := []struct {
		name   string
		newest store.Item
	}{
		{name: "drains", newest: entry("draining", 9, 11)},
		{name: "removed", newest: deletedItem(1, "t/a", 11)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := entry("ready", 8, 10)
			root, follower, joined, later := viewOf(t), viewOf(t), viewOf(t), viewOf(t)
			root.feed(update{page: pageIn(1, 10, first), full: true, source: sourceStore})
			follower.feed(root.poll(store.Revision{}))
			require.Equal(t, []string{"a"}, activeIDs(follower.Snapshot()))
			root.feed(update{page: pageIn(1, 12, tt.newest, late), source: sourceStore})
			require.Empty(t, activeIDs(root.Snapshot()))

			follower.feed(root.poll(follower.cache.applied()))
			require.Empty(t, activeIDs(follower.Snapshot()), "got both changes in one")
			joined.feed(update{page: pageIn(1, 12, late), full: true, source: sourceStore})
			require.Equal(t, []string{"a"}, activeIDs(joined.Snapshot()), "the store alone does not tell")
			joined.feed(follower.poll(joined.cache.applied()))
			require.Empty(t, activeIDs(joined.Snapshot()), "joined later")
			later.feed(joined.poll(store.Revision{}))
			require.Empty(t, activeIDs(later.Snapshot()), "polled one that joined later")

			next := entry("ready", 10, 13)
			root.feed(update{page: pageIn(1, 13, next), source: sourceStore})
			for _, d := range []*Directory{follower, joined, later} {
				d.feed(root.poll(d.cache.applied()))
				require.Equal(t, []string{"a"}, activeIDs(d.Snapshot()))
			}
		})
	}
}

// Hosts that have put an old entry in force again are not taught otherwise by hosts that learned
// of the newer one later.
func TestKnowledgeOfNewerEntriesEndsForAllHosts(t *testing.T) {
	s := NewState(Host{Name: "self"}, runDecoder{}, time.Second, func(store.Item) {})
	s.Load(now, pageIn(1, 12, itemIn(1, "t/a", "ready 900 7", 12)))
	newest := newestEntry{Item: itemIn(1, "t/a", "draining 900 9", 11), Left: 2 * time.Second}
	require.True(t, s.ApplyNewest(now, newest))
	require.False(t, s.ApplyNewest(now, newest))
	require.Len(t, encodeNewest(now, s.newestEntries()), 1)
	require.LessOrEqual(t, encodeNewest(now, s.newestEntries())[0].Left, 2*time.Second)
	s.Tick(now.Add(time.Second))
	require.Empty(t, activeIDs(s.Snapshot()))
	s.Tick(now.Add(2*time.Second + expirePeriod))
	require.Equal(t, []string{"a"}, activeIDs(s.Snapshot()))
	require.Empty(t, s.newestEntries())
}

func TestInvalidNewestEntriesAreIgnored(t *testing.T) {
	tests := []struct {
		name string
		n    newestEntry
	}{
		{name: "no time left", n: newestEntry{Item: itemIn(1, "t/a", "draining 900 9", 11)}},
		{name: "not a target", n: newestEntry{Item: itemIn(1, "config", "9", 11), Left: time.Second}},
		{name: "unknown target", n: newestEntry{Item: itemIn(1, "t/b", "draining 900 9", 11), Left: time.Second}},
		{name: "later revision", n: newestEntry{Item: itemIn(1, "t/a", "draining 900 9", 13), Left: time.Second}},
		{name: "older entry", n: newestEntry{Item: itemIn(1, "t/a", "draining 900 6", 11), Left: time.Second}},
		{name: "earlier run", n: newestEntry{Item: itemIn(1, "t/a", "draining 800 99", 11), Left: time.Second}},
		{name: "cannot be read", n: newestEntry{Item: itemIn(1, "t/a", "what", 11), Left: time.Second}},
		{name: "deletion without the last value", n: newestEntry{Item: deletedItem(1, "t/a", 11), Left: time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(Host{Name: "self"}, runDecoder{}, time.Second, func(store.Item) {})
			s.Load(now, pageIn(1, 12, itemIn(1, "t/a", "ready 900 7", 12)))
			require.False(t, s.ApplyNewest(now, tt.n))
			require.Equal(t, []string{"a"}, activeIDs(s.Snapshot()))
		})
	}
}

// earlierChangesResponse is changesResponse as builds before the newest entries know it.
type earlierChangesResponse struct {
	Items    []wireItem     `cbor:"1,keyasint,omitempty"`
	Revision store.Revision `cbor:"2,keyasint"`
	Full     bool           `cbor:"3,keyasint,omitempty"`
	Age      time.Duration  `cbor:"4,keyasint"`
	Held     time.Duration  `cbor:"5,keyasint,omitempty"`
	Origin   string         `cbor:"6,keyasint,omitempty"`
}

func TestEarlierBuildsReadResponsesWithNewestEntries(t *testing.T) {
	sent := changesResponse{Revision: store.NewRevision(1, 12), Origin: "a", Newest: []newestEntry{{Item: itemIn(1, "t/a", "draining 900 9", 11), Left: time.Second}}}
	data, err := cbor.Marshal(sent)
	require.NoError(t, err)
	var read earlierChangesResponse
	require.NoError(t, cbor.Unmarshal(data, &read))
	require.Equal(t, earlierChangesResponse{Revision: sent.Revision, Origin: "a"}, read)
}

// A host that has started polls others once, although its own view is up to date.
func TestHostCatchesUpAfterItsStart(t *testing.T) {
	tests := []struct {
		name       string
		firstStart bool
		polls      int
	}{
		{name: "joins a fleet", polls: 2},
		{name: "the whole fleet starts", firstStart: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := viewOf(t)
			d.cfg.FirstStart = tt.firstStart
			polled := make(chan struct{}, 8)
			d.peers.Transport = transportFunc(func() { polled <- struct{}{} })
			d.feed(update{page: pageIn(1, 12, itemIn(1, SecretKey, "secret", 3),
				itemIn(1, HostPrefix+"b", `{"name":"b","domain":"d","peers":"10.0.0.2:80"}`, 4),
				itemIn(1, HostPrefix+"c", `{"name":"c","domain":"d","peers":"10.0.0.3:80"}`, 5)), full: true, source: sourceStore})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			require.NoError(t, d.catchUp(ctx))
			require.Len(t, polled, tt.polls)
		})
	}
}

// transportFunc fails all requests, and is called for each.
type transportFunc func()

func (f transportFunc) RoundTrip(*http.Request) (*http.Response, error) {
	f()
	return nil, errors.New("no network")
}
