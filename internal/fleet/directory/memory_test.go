package directory

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

const testHeartbeat = 1500 * time.Millisecond

// Guards against late entries of targets that ended before any of the hosts started; and against
// live targets that are withheld from a host that has just started.
func TestHostThatStartedAfterTheEndOfATarget(t *testing.T) {
	const second = time.Second
	entry := func(value string, revision uint64) store.Item { return itemIn(1, "t/a", value, revision) }
	other := itemIn(1, "t/b", "ready 900 9", 2)
	silence := 3*testHeartbeat + 2*second
	tests := []struct {
		name   string
		first  []store.Item
		items  []seen
		active bool
	}{
		{name: "late heartbeat", items: []seen{{after: second, item: entry("ready 900 7", 12)}}},
		{name: "only target of its service", items: []seen{{after: second, item: entry("ready 900 7", 12)}}},
		{name: "late heartbeat of another target's service", first: []store.Item{other}, items: []seen{{after: second, item: entry("ready 900 7", 12)}}},
		{name: "late heartbeat, as long after the start as the store may delay it", items: []seen{{after: roster.LateWriteTime - expirePeriod, item: entry("ready 900 7", 12)}}},
		{name: "found by a later read", first: []store.Item{other}, items: []seen{{after: second, load: true, item: entry("ready 900 7", 12)}}},
		{name: "no start time", items: []seen{{after: second, item: entry("ready -62135596800 7", 12)}}},
		{name: "count that the target cannot have reached", items: []seen{{after: second, item: entry("ready 900 7000000", 12)}}},
		{name: "two late heartbeats in a row", items: []seen{{after: second, item: entry("ready 900 7", 12)}, {after: second + testHeartbeat/4, item: entry("ready 900 8", 13)}}},
		{name: "two late heartbeats that are not as far apart as heartbeats", items: []seen{{after: second, item: entry("ready 900 7", 12)}, {after: second + testHeartbeat/2, item: entry("ready 900 8", 13)}}},
		{name: "two late heartbeats, others are missing between them", items: []seen{{after: second, item: entry("ready 900 7", 12)}, {after: second + testHeartbeat, item: entry("ready 900 11", 13)}}},
		{name: "three late heartbeats", items: []seen{{after: second, item: entry("ready 900 7", 12)}, {after: 2 * second, item: entry("ready 900 5", 13)}, {after: 2*second + testHeartbeat/4, item: entry("ready 900 9", 14)}}},
		{name: "two late heartbeats in the wrong order", items: []seen{{after: second, item: entry("ready 900 8", 12)}, {after: 2 * second, item: entry("ready 900 7", 13)}}},
		{name: "removed again", items: []seen{{after: second, item: entry("ready 900 7", 12)}, {after: second + 3*testHeartbeat, item: deletedItem(1, "t/a", 13)}, {after: 20 * second}}},
		{name: "another one after that", items: []seen{{after: second, item: entry("ready 900 7", 12)}, {after: 2 * second, item: deletedItem(1, "t/a", 13)}, {after: 9 * second, item: entry("ready 900 6", 14)}}},
		{name: "drains", items: []seen{{after: second, item: entry("draining 900 7", 12)}}},

		{name: "found by the first read", first: []store.Item{entry("ready 900 7", 1)}, active: true},
		{name: "lives and writes on", first: []store.Item{entry("ready 900 7", 1)}, items: []seen{{after: second, item: entry("ready 900 8", 12)}}, active: true},
		{name: "joins", items: []seen{{after: second, item: entry("ready 1001 1", 12)}}, active: true},
		{name: "restarts", first: []store.Item{entry("ready 900 7", 1)}, items: []seen{{after: second, item: entry("ready 1001 1", 12)}}, active: true},
		{name: "restarts after a late heartbeat", items: []seen{{after: second, item: entry("ready 900 7", 12)}, {after: 2 * second, item: entry("ready 1002 2", 13)}}, active: true},
		{name: "writes another heartbeat", items: []seen{{after: second, item: entry("ready 900 7", 12)}, {after: second + testHeartbeat, item: entry("ready 900 8", 13)}}, active: true},
		{name: "writes another heartbeat, after one that was lost", items: []seen{{after: second, item: entry("ready 900 7", 12)}, {after: second + 2*testHeartbeat, item: entry("ready 900 9", 13)}}, active: true},
		{name: "writes on after a late heartbeat", items: []seen{{after: second, item: entry("ready 900 7", 12)}, {after: second + testHeartbeat/2, item: entry("ready 900 9", 13)}, {after: second + testHeartbeat*3/2, item: entry("ready 900 10", 14)}}, active: true},
		{name: "stays for longer than a silent one", items: []seen{{after: second, item: entry("ready 900 7", 12)}, {after: second + silence}}, active: true},
		{name: "registers when no late one can arrive any more", items: []seen{{after: roster.LateWriteTime + expirePeriod, item: entry("ready 900 7", 12)}}, active: true},
		{name: "neither start nor count", items: []seen{{after: second, item: entry("ready -62135596800 0", 12)}}, active: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(Host{Name: "self"}, runDecoder{}, time.Second, func(store.Item) {})
			s.order.SetHeartbeat(testHeartbeat)
			s.Load(now, pageIn(1, 2, append(tt.first, itemIn(1, "config", "1", 1))...))
			at := now
			for _, i := range tt.items {
				for ; at.Before(now.Add(i.after)); at = at.Add(expirePeriod) {
					s.Tick(at)
				}
				switch {
				case i.load:
					s.Load(at, pageIn(1, i.item.Revision.Number, append(tt.first, i.item)...))
				case i.item.Key != "":
					s.Apply(at, i.item)
				}
			}
			if tt.active {
				require.Contains(t, activeIDs(s.Snapshot()), "a")
			} else {
				require.NotContains(t, activeIDs(s.Snapshot()), "a")
			}
		})
	}
}

// Guards against targets that a host withholds after an outage of the store, in which their entries
// were lost.
func TestHostThatStartedInAnOutageUsesTargetsThatRegisterAgain(t *testing.T) {
	born := time.Now().Add(-time.Hour).Unix()
	late := itemIn(1, "t/a", fmt.Sprintf("ready %d 7", born), 12)
	for _, afterOutage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage %t", afterOutage), func(t *testing.T) {
			d := viewOf(t)
			d.feed(update{page: pageIn(1, 2, itemIn(1, "config", "1", 1)), full: true, source: sourceStore, afterOutage: afterOutage})
			d.feed(update{page: pageIn(1, 12, late), source: sourceStore})
			require.Equal(t, afterOutage, len(activeIDs(d.Snapshot())) == 1)
		})
	}
}

// askMemory returns the update that a host gets which asks a view for its memory.
func (d *Directory) askMemory(after store.Revision) update {
	u := d.poll(after)
	m := d.cache.since(after).memory
	u.memory = m.encode(time.Now(), d.Snapshot().configVersion())
	return u
}

// Guards against a host that forgets at its start which targets have ended, although other hosts
// remember; and against one that withholds a target although others know that it lives.
func TestHostThatStartsLearnsWhichTargetsEnded(t *testing.T) {
	born := time.Now().Add(-time.Hour).Unix()
	entry := func(id string, sequence int, revision uint64) store.Item {
		return itemIn(1, "t/"+id, fmt.Sprintf("ready %d %d", born, sequence), revision)
	}
	old := viewOf(t)
	old.feed(update{page: pageIn(1, 10, entry("a", 8, 9), entry("b", 8, 10)), full: true, source: sourceStore})
	old.state.order.Extend(time.Now().Add(-time.Minute))
	old.feed(update{page: pageIn(1, 12, deletedItem(1, "t/a", 11), deletedItem(1, "t/b", 12)), source: sourceStore})

	tests := []struct {
		name string
		// ask is what the host that starts gets from the old one.
		ask       func(after store.Revision) (u update, ok bool)
		withholds bool
	}{
		{name: "nothing is told", ask: func(store.Revision) (update, bool) { return update{}, false }, withholds: true},
		{name: "told", ask: func(after store.Revision) (update, bool) { return old.askMemory(after), true }},
		{name: "told by a host that is behind", ask: func(store.Revision) (update, bool) {
			u := old.askMemory(store.NewRevision(1, 12))
			u.page.Revision = store.NewRevision(1, 10)
			return u, true
		}, withholds: true},
		{name: "told by a host that has just started", ask: func(after store.Revision) (update, bool) {
			u := old.askMemory(after)
			u.memory.Since = time.Millisecond
			return u, true
		}, withholds: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := viewOf(t)
			d.feed(update{page: pageIn(1, 12, itemIn(1, "config", "1", 1)), full: true, source: sourceStore})
			if u, ok := tt.ask(store.NewRevision(1, 12)); ok {
				d.feed(u)
			}
			d.feed(update{page: pageIn(1, 13, entry("a", 7, 13)), source: sourceStore})
			require.Empty(t, activeIDs(d.Snapshot()), "written before the end")
			d.feed(update{page: pageIn(1, 14, entry("c", 8, 14)), source: sourceStore})
			require.Equal(t, tt.withholds, len(activeIDs(d.Snapshot())) == 0, "of a target that nobody knows to have ended")
		})
	}
	t.Run("a late entry is found by the first read", func(t *testing.T) {
		d := viewOf(t)
		d.feed(update{page: pageIn(1, 13, entry("a", 7, 13)), full: true, source: sourceStore})
		require.Equal(t, []string{"a"}, activeIDs(d.Snapshot()))
		d.feed(old.askMemory(store.NewRevision(1, 13)))
		require.Empty(t, activeIDs(d.Snapshot()))
	})
}

// Guards against hosts that started at different times and contradict each other, and against hosts
// that withhold a target because one that has just started does.
func TestHostsAgreeOnUncertainEntries(t *testing.T) {
	born := time.Now().Add(-time.Hour).Unix()
	late := itemIn(1, "t/a", fmt.Sprintf("ready %d 7", born), 12)
	config := itemIn(1, "config", "1", 1)
	first, later, longer := viewOf(t), viewOf(t), viewOf(t)
	first.feed(update{page: pageIn(1, 2, config), full: true, source: sourceStore})
	first.feed(update{page: pageIn(1, 12, late), source: sourceStore})
	require.Empty(t, activeIDs(first.Snapshot()))

	later.feed(update{page: pageIn(1, 12, config, late), full: true, source: sourceStore})
	require.Equal(t, []string{"a"}, activeIDs(later.Snapshot()), "the store alone does not tell")
	later.feed(first.askMemory(store.NewRevision(1, 12)))
	require.Empty(t, activeIDs(later.Snapshot()))

	longer.feed(update{page: pageIn(1, 2, config), full: true, source: sourceStore})
	longer.state.order.Extend(time.Now().Add(-time.Minute))
	longer.feed(update{page: pageIn(1, 12, late), source: sourceStore})
	longer.feed(first.askMemory(store.NewRevision(1, 12)))
	require.Equal(t, []string{"a"}, activeIDs(longer.Snapshot()), "it has seen that the target did not end")

	next := update{page: pageIn(1, 13, itemIn(1, "t/a", fmt.Sprintf("ready %d 8", born), 13)), source: sourceStore}
	for _, d := range []*Directory{first, later, longer} {
		d.feed(next)
		require.Equal(t, []string{"a"}, activeIDs(d.Snapshot()))
	}
}

func TestInvalidMemoryIsIgnored(t *testing.T) {
	tests := []struct {
		name string
		m    peerMemory
	}{
		{name: "empty", m: peerMemory{}},
		{name: "time in the future", m: peerMemory{Since: -time.Hour}},
		{name: "not a target", m: peerMemory{Ended: []newestEntry{{Item: deletedItem(1, "config", 11), Left: time.Second}}, Uncertain: []newestEntry{{Item: itemIn(1, "config", "9", 12), Left: time.Second}}}},
		{name: "unknown target is uncertain", m: peerMemory{Uncertain: []newestEntry{{Item: itemIn(1, "t/b", "ready 900 7", 12), Left: time.Second}}}},
		{name: "another entry is uncertain", m: peerMemory{Uncertain: []newestEntry{{Item: itemIn(1, "t/a", "ready 900 6", 11), Left: time.Second}}}},
		{name: "no time left", m: peerMemory{Uncertain: []newestEntry{{Item: itemIn(1, "t/a", "ready 900 7", 12)}}}},
		{name: "last entry cannot be read", m: peerMemory{Ended: []newestEntry{{Item: store.Item{Key: "t/b", Value: []byte("what"), Revision: store.NewRevision(1, 11), Deleted: true}, Left: time.Second}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(Host{Name: "self"}, runDecoder{}, time.Second, func(store.Item) {})
			s.Load(now, pageIn(1, 12, itemIn(1, "t/a", "ready 900 7", 12)))
			require.False(t, s.ApplyMemory(now, store.NewRevision(1, 12), &tt.m))
			require.Equal(t, []string{"a"}, activeIDs(s.Snapshot()))
			require.Equal(t, now, s.order.Since())
		})
	}
}

func TestEarlierBuildsReadResponsesWithMemory(t *testing.T) {
	sent := changesResponse{Revision: store.NewRevision(1, 12), Origin: "a", Memory: &peerMemory{Since: time.Second, Uncertain: []newestEntry{{Item: itemIn(1, "t/a", "ready 900 9", 11), Left: time.Second}}}}
	data, err := cbor.Marshal(sent)
	require.NoError(t, err)
	var read earlierChangesResponse
	require.NoError(t, cbor.Unmarshal(data, &read))
	require.Equal(t, earlierChangesResponse{Revision: sent.Revision, Origin: "a"}, read)
	var current changesResponse
	require.NoError(t, cbor.Unmarshal(data, &current))
	require.Equal(t, sent.Memory.Since, current.Memory.Since)
	require.Len(t, current.Memory.Uncertain, 1)
}

// Guards against a host that uses the configuration of a copy of the store, with keys that were removed since, although
// another host has the newer one in force.
func TestHostLearnsAConfigurationThatACopyOfTheStoreLacks(t *testing.T) {
	load := func(d *Directory, era, revision uint64, config string) {
		d.feed(update{page: pageIn(era, revision, itemIn(era, "config", config, revision)), full: true, source: sourceStore})
	}
	tests := []struct {
		name string
		// knows is what happened at the host that is asked, and asks what happened at the one that asks.
		knows, asks func(d *Directory)
		want        uint64
		sent        bool
	}{
		{
			name:  "started from the copy",
			knows: func(d *Directory) { load(d, 1, 5, "7"); load(d, 2, 3, "4") },
			asks:  func(d *Directory) { load(d, 2, 3, "4") }, want: 7, sent: true,
		},
		{
			name:  "was cut off before, and reads the copy",
			knows: func(d *Directory) { load(d, 1, 5, "7"); load(d, 2, 3, "4") },
			asks:  func(d *Directory) { load(d, 1, 3, "4"); load(d, 2, 3, "4") }, want: 7, sent: true,
		},
		{
			name:  "has it",
			knows: func(d *Directory) { load(d, 1, 5, "7"); load(d, 2, 3, "4") },
			asks:  func(d *Directory) { load(d, 1, 5, "7"); load(d, 2, 3, "4") }, want: 7,
		},
		{
			name:  "the operator has written since",
			knows: func(d *Directory) { load(d, 1, 5, "7"); load(d, 2, 3, "4"); load(d, 2, 6, "8") },
			asks:  func(d *Directory) { load(d, 2, 6, "8") }, want: 8,
		},
		{
			name:  "the operator has written the same again",
			knows: func(d *Directory) { load(d, 1, 5, "7"); load(d, 2, 3, "4"); load(d, 2, 6, "7") },
			asks:  func(d *Directory) { load(d, 2, 6, "7") }, want: 7,
		},
		{
			name:  "no copy",
			knows: func(d *Directory) { load(d, 1, 5, "7") },
			asks:  func(d *Directory) { load(d, 1, 5, "7") }, want: 7,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			knows, asks := viewOf(t), viewOf(t)
			tt.knows(knows)
			tt.asks(asks)
			m := knows.cache.since(asks.cache.applied()).memory
			p := m.encode(time.Now(), asks.Snapshot().configVersion())
			require.Equal(t, tt.sent, len(p.Config) > 0, "a configuration is large")
			for range 2 {
				asks.feed(update{page: store.Page{Revision: asks.cache.applied()}, memory: p, source: "peer"})
			}
			require.Equal(t, tt.want, asks.Snapshot().configVersion())
			// A host that learned it tells it, too.
			again := asks.cache.since(asks.cache.applied()).memory
			require.Equal(t, tt.sent || tt.name == "has it", len(again.encode(time.Now(), 0).Config) > 0)
		})
	}
	require.Nil(t, (&memory{since: time.Now(), config: []byte("x"), version: 9}).encode(time.Now(), configVersion(httptest.NewRequest(http.MethodGet, ChangesPath+"?memory=", nil))).Config, "builds that don't say which version they have")
}
