package directory

import (
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// Arbitrary changes from another host leave the view usable, and the version of the
// configuration never decreases.
func FuzzChanges(f *testing.F) {
	for _, items := range [][]store.Item{
		{put("config", "3", 1), put("t/a", "", 2), {Key: "t/a", Revision: store.NewRevision(0, 3), Deleted: true}},
		{put(HostPrefix+"a", `{"name":"a","domain":"d","peers":"10.0.0.1:80"}`, 4), put(HostPrefix+"b", "{", 5), put(SecretKey, "k", 6)},
	} {
		data, err := cbor.Marshal(changesResponse{Items: newItemCodec().encode(items), Revision: store.NewRevision(0, 9), Full: true})
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var c changesResponse
		if cbor.Unmarshal(data, &c) != nil {
			return
		}
		items, err := newItemCodec().decode(c.Items)
		if err != nil {
			return
		}
		s := newState()
		last := uint64(0)
		for _, item := range items {
			s.Apply(now, item)
			if table := s.Snapshot().Table; table != nil {
				require.GreaterOrEqual(t, table.Config.Version, last)
				last = table.Config.Version
			}
		}
		s.Load(now, store.Page{Items: items, Revision: c.Revision})
		snapshot := s.Snapshot()
		for name, h := range snapshot.Hosts {
			require.Equal(t, name, h.Name)
		}
		s.Apply(now, store.Item{Key: "config", Value: []byte(strconv.FormatUint(last, 10)), Revision: store.NewRevision(c.Revision.Era, c.Revision.Number+1)})
		s.TakeLogLines()
	})
}

// An arbitrary value of the checkpoint is rejected, or yields items that leave the view usable.
func FuzzCheckpoint(f *testing.F) {
	value, err := encodeCheckpoint(store.Page{Items: []store.Item{put("config", "3", 1), put(HostPrefix+"b", "{", 5)}, Revision: store.NewRevision(0, 9)})
	require.NoError(f, err)
	f.Add(value)
	f.Add(value[:len(value)/2])
	f.Add([]byte("garbage"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		page, err := decodeCheckpoint(data)
		if err != nil {
			return
		}
		s := newState()
		s.Load(now, store.Page{Items: mergeItems(page.Items, nil), Revision: page.Revision})
		s.Snapshot()
	})
}
