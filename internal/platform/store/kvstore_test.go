package store_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/platform/table"
	"tamaracktiller.example/tamaracktiller/platform"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// setFaults sets the faults of a store.
type setFaults func(down bool, dropResponses int)

func open(t *testing.T) (*platformtest.Store, *store.KVStore) {
	s := platformtest.NewStore()
	t.Cleanup(s.Close)
	return s, store.NewKVStore(platform.NewClient(s.Address(), nil))
}

// The in-memory table of the unit tests and the client of the real service behave the
// same.
func TestStoreImplementations(t *testing.T) {
	server, kv := open(t)
	inMemory := table.New()
	tests := []struct {
		name      string
		s         store.Store
		setFaults setFaults
	}{
		{name: "client", s: kv, setFaults: func(down bool, drop int) {
			server.SetFaults(platformtest.Faults{Down: down, DropResponses: drop})
		}},
		{name: "table", s: inMemory, setFaults: func(down bool, drop int) { inMemory.SetFaults(table.Faults{Down: down, DropResponses: drop}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx := t.Context()
			_, err := tt.s.Get(ctx, "a/1")
			require.ErrorIs(t, err, store.ErrNotFound)
			first, err := tt.s.CompareAndSwap(ctx, "a/1", store.Revision{}, []byte("x"))
			require.NoError(t, err)
			_, err = tt.s.CompareAndSwap(ctx, "a/1", store.Revision{}, []byte("y"))
			require.ErrorIs(t, err, store.ErrConflict)
			second, err := tt.s.CompareAndSwap(ctx, "a/1", first, []byte("y"))
			require.NoError(t, err)
			require.True(t, second.After(first))
			v, err := tt.s.Get(ctx, "a/1")
			require.NoError(t, err)
			require.Equal(t, store.Value{Key: "a/1", Version: second, Data: []byte("y")}, v)

			_, err = tt.s.CompareAndSwap(ctx, "a/2", store.Revision{}, []byte("z"))
			require.NoError(t, err)
			values, err := tt.s.List(ctx, "a/")
			require.NoError(t, err)
			require.Len(t, values, 2)
			require.ErrorIs(t, tt.s.Delete(ctx, "a/2", second), store.ErrConflict)
			require.NoError(t, tt.s.Delete(ctx, "a/1", second))
			_, err = tt.s.CompareAndSwap(ctx, "a/1", second, []byte("x"))
			require.ErrorIs(t, err, store.ErrConflict, "a writer that knew the deleted value must not succeed")

			tt.setFaults(false, 1)
			_, err = tt.s.CompareAndSwap(ctx, "b", store.Revision{}, []byte("x"))
			require.ErrorIs(t, err, store.ErrOutcomeUnknown)
			_, err = tt.s.Get(ctx, "b")
			require.NoError(t, err, "the write whose response was dropped must be applied")
			tt.setFaults(true, 0)
			_, err = tt.s.Get(ctx, "b")
			require.ErrorIs(t, err, store.ErrUnavailable)
			_, err = tt.s.CompareAndSwap(ctx, "b", store.Revision{}, nil)
			require.ErrorIs(t, err, store.ErrUnavailable)
			tt.setFaults(false, 0)
		})
	}
}

func TestKeyWatchReturnsNewestVersion(t *testing.T) {
	server, kv := open(t)
	ctx := t.Context()
	_, err := kv.Watch(ctx, "k", store.Revision{}, time.Millisecond)
	require.ErrorIs(t, err, store.ErrUnchanged)
	server.Put("k", []byte("1"))
	server.Put("k2", []byte("another key with the prefix"))
	v, err := kv.Watch(ctx, "k", store.Revision{}, time.Second)
	require.NoError(t, err)
	require.Equal(t, "1", string(v.Data))
	_, err = kv.Watch(ctx, "k", v.Version, time.Millisecond)
	require.ErrorIs(t, err, store.ErrUnchanged)
	server.Put("k", []byte("2"))
	server.Compact()
	next, err := kv.Watch(ctx, "k", v.Version, time.Second)
	require.NoError(t, err, "a watch continues after a compaction")
	require.Equal(t, "2", string(next.Data))
	again, err := kv.Watch(ctx, "k", v.Version, time.Second)
	require.NoError(t, err, "a caller that did not get the response gets the same value again")
	require.Equal(t, next, again)
	calls := server.Calls("kv-watch") + server.Calls("kv-range")
	_, err = kv.Watch(ctx, "k", next.Version, 30*time.Millisecond)
	require.ErrorIs(t, err, store.ErrUnchanged)
	require.Equal(t, calls+1, server.Calls("kv-watch")+server.Calls("kv-range"), "a watch without changes is one call")
}

func TestHostsAreListed(t *testing.T) {
	server, kv := open(t)
	server.Put(store.HostsPrefix+"a", []byte(`{"name":"a","address":"127.0.0.1:1","state":"live"}`))
	hosts, err := kv.Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, "a", hosts[0].Name)
	server.Put(store.HostsPrefix+"b", []byte("{"))
	_, err = kv.Hosts(t.Context())
	require.ErrorContains(t, err, "hosts/b")
}
