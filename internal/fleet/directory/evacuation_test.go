package directory

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
)

// domainDecoder decodes targets whose entry is the name of their failure domain.
type domainDecoder struct{ plainDecoder }

func (domainDecoder) Target(id string, data []byte) (roster.Target, error) {
	return roster.Target{ID: id, Service: "s", Domain: string(data)}, nil
}

func newDomainState() *State {
	return NewState(Host{}, domainDecoder{}, time.Second, func(store.Item) {})
}

func activeNames(s *Snapshot) string {
	ids := make([]string, 0, len(s.Targets["s"]))
	for _, t := range s.Targets["s"] {
		ids = append(ids, t.ID)
	}
	return strings.Join(ids, " ")
}

// Guards against views that send requests to an evacuated failure domain, however the key and the
// entries of its targets arrive, and against views that keep an evacuation after its end.
func TestTargetsOfEvacuatedDomainsAreNotActive(t *testing.T) {
	entries := []store.Item{put("t/a", "x", 1), put("t/b", "y", 2), put("t/c", "z", 3)}
	begin := func(domain string, revision uint64) store.Item { return put("e/"+domain, "{}", revision) }
	end := func(domain string, revision uint64) store.Item {
		return store.Item{Key: "e/" + domain, Revision: store.NewRevision(0, revision), Deleted: true}
	}
	tests := []struct {
		name  string
		items []store.Item
		want  string
	}{
		{name: "none", want: "a b c"},
		{name: "one", items: []store.Item{begin("y", 4)}, want: "a c"},
		{name: "two overlap", items: []store.Item{begin("y", 4), begin("z", 5), end("y", 6)}, want: "a b"},
		{name: "all", items: []store.Item{begin("x", 4), begin("y", 5), begin("z", 6)}, want: ""},
		{name: "ended", items: []store.Item{begin("y", 4), end("y", 5)}, want: "a b c"},
		{name: "again", items: []store.Item{begin("y", 4), end("y", 5), begin("y", 6)}, want: "a c"},
		{name: "end arrives first", items: []store.Item{end("y", 5), begin("y", 4)}, want: "a b c"},
		{name: "unknown domain", items: []store.Item{begin("w", 4)}, want: "a b c"},
		{name: "target joins later", items: []store.Item{begin("y", 4), put("t/d", "y", 5)}, want: "a c"},
		{name: "target moves", items: []store.Item{begin("y", 4), put("t/a", "y", 5), put("t/b", "x", 6)}, want: "b c"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newDomainState()
			for _, item := range append(entries[:len(entries):len(entries)], tt.items...) {
				s.Apply(now, item)
			}
			require.Equal(t, tt.want, activeNames(s.Snapshot()))

			loaded := newDomainState()
			byKey := map[string]store.Item{}
			for _, item := range append(entries[:len(entries):len(entries)], tt.items...) {
				if old, ok := byKey[item.Key]; !ok || item.Revision.After(old.Revision) {
					byKey[item.Key] = item
				}
			}
			page := store.Page{Revision: store.NewRevision(0, 9)}
			for _, item := range byKey {
				if !item.Deleted {
					page.Items = append(page.Items, item)
				}
			}
			loaded.Load(now, page)
			require.Equal(t, tt.want, activeNames(loaded.Snapshot()), "a host that starts")
		})
	}
}

func TestEndOfEvacuationMakesColdStateUnknown(t *testing.T) {
	s := newDomainState()
	s.Apply(now, put("t/a", "x", 1))
	s.Apply(now, put("t/b", "y", 2))
	s.Apply(now, put("e/y", "{}", 3))
	require.Equal(t, map[string][]roster.WithheldTarget{"s": {{ID: "b", Service: "s", Domain: "y", Reason: eligibility.Evacuated}}}, s.Snapshot().Withheld)
	require.Equal(t, map[string]bool{"y": true}, s.Snapshot().Evacuated)
	before := s.Snapshot()
	later := now.Add(time.Minute)
	s.Apply(later, store.Item{Key: "e/y", Revision: store.NewRevision(0, 4), Deleted: true})
	list := s.Snapshot().Targets["s"]
	require.Equal(t, now, list[0].UnknownSince)
	require.Equal(t, later, list[1].UnknownSince)
	require.Nil(t, s.Snapshot().Withheld)
	require.Nil(t, s.Snapshot().Evacuated)
	require.Equal(t, map[string]bool{"y": true}, before.Evacuated, "a snapshot does not change")
}

func TestUnknownEvacuatedDomainIsLoggedOnce(t *testing.T) {
	s := newDomainState()
	s.Load(now, store.Page{Revision: store.NewRevision(0, 9), Items: []store.Item{put("e/w", "{}", 1), put("e/x", "{}", 2), put("t/a", "x", 3)}})
	var warned []any
	for range 3 {
		for _, line := range s.TakeLogLines() {
			if line.Warn {
				warned = append(warned, line.Fields[fieldDomain])
			}
		}
		s.Apply(now, put("t/b", "x", 10))
	}
	require.Equal(t, []any{"w"}, warned, "a domain whose targets come later in the first read is known")
}

// Guards against an evacuation that a host of an earlier view forgets when the store returns to a
// copy, or keeps although the copy lacks it.
func TestEvacuationFollowsRestoredStore(t *testing.T) {
	s := newDomainState()
	s.Load(now, store.Page{Revision: store.NewRevision(0, 5), Items: []store.Item{put("t/a", "x", 1), put("t/b", "y", 2), put("e/y", "{}", 3)}})
	s.Load(now, store.Page{Revision: store.NewRevision(1, 3), Items: []store.Item{
		{Key: "t/a", Value: []byte("x"), Revision: store.NewRevision(1, 1)}, {Key: "t/b", Value: []byte("y"), Revision: store.NewRevision(1, 2)}, {Key: "e/y", Value: []byte("{}"), Revision: store.NewRevision(1, 3)},
	}})
	require.Equal(t, "a", activeNames(s.Snapshot()))
	s.Load(now, store.Page{Revision: store.NewRevision(2, 3), Items: []store.Item{
		{Key: "t/a", Value: []byte("x"), Revision: store.NewRevision(2, 1)}, {Key: "t/b", Value: []byte("y"), Revision: store.NewRevision(2, 2)},
	}})
	require.Equal(t, "a b", activeNames(s.Snapshot()))
}
