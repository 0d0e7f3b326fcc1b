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

// faults switches the failures of a store on and off.
type faults func(down bool, loseAnswers int)

func open(t *testing.T) (*platformtest.Store, *store.Keyed) {
	s := platformtest.NewStore()
	t.Cleanup(s.Close)
	return s, store.NewKeyed(platform.NewClient(s.Address(), nil))
}

// The in-memory table of the unit tests and the real client keep the same promises.
func TestStoresKeepTheSamePromises(t *testing.T) {
	served, keyed := open(t)
	memory := table.New()
	tests := []struct {
		name   string
		s      store.Store
		faults faults
	}{
		{name: "client", s: keyed, faults: func(down bool, lose int) {
			served.SetFaults(platformtest.Faults{Down: down, LoseAnswers: lose})
		}},
		{name: "table", s: memory, faults: func(down bool, lose int) { memory.SetFaults(table.Faults{Down: down, LoseAnswers: lose}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx := t.Context()
			_, err := tt.s.Get(ctx, "a/1")
			require.ErrorIs(t, err, store.ErrNotFound)
			first, err := tt.s.Swap(ctx, "a/1", store.Revision{}, []byte("x"))
			require.NoError(t, err)
			_, err = tt.s.Swap(ctx, "a/1", store.Revision{}, []byte("y"))
			require.ErrorIs(t, err, store.ErrConflict)
			second, err := tt.s.Swap(ctx, "a/1", first, []byte("y"))
			require.NoError(t, err)
			require.True(t, second.After(first))
			v, err := tt.s.Get(ctx, "a/1")
			require.NoError(t, err)
			require.Equal(t, store.Value{Key: "a/1", Version: second, Data: []byte("y")}, v)

			_, err = tt.s.Swap(ctx, "a/2", store.Revision{}, []byte("z"))
			require.NoError(t, err)
			values, err := tt.s.List(ctx, "a/")
			require.NoError(t, err)
			require.Len(t, values, 2)
			require.ErrorIs(t, tt.s.Delete(ctx, "a/2", second), store.ErrConflict)
			require.NoError(t, tt.s.Delete(ctx, "a/1", second))
			_, err = tt.s.Swap(ctx, "a/1", second, []byte("x"))
			require.ErrorIs(t, err, store.ErrConflict, "who knew the deleted value does not win")

			tt.faults(false, 1)
			_, err = tt.s.Swap(ctx, "b", store.Revision{}, []byte("x"))
			require.ErrorIs(t, err, store.ErrUnclear)
			_, err = tt.s.Get(ctx, "b")
			require.NoError(t, err, "the write without an answer was performed")
			tt.faults(true, 0)
			_, err = tt.s.Get(ctx, "b")
			require.ErrorIs(t, err, store.ErrDown)
			_, err = tt.s.Swap(ctx, "b", store.Revision{}, nil)
			require.ErrorIs(t, err, store.ErrDown)
			tt.faults(false, 0)
		})
	}
}

func TestKeyedWatchTellsTheNewestVersion(t *testing.T) {
	served, keyed := open(t)
	ctx := t.Context()
	_, err := keyed.Watch(ctx, "k", store.Revision{}, time.Millisecond)
	require.ErrorIs(t, err, store.ErrUnchanged)
	served.Put("k", []byte("1"))
	served.Put("k2", []byte("another key with the prefix"))
	v, err := keyed.Watch(ctx, "k", store.Revision{}, time.Second)
	require.NoError(t, err)
	require.Equal(t, "1", string(v.Data))
	_, err = keyed.Watch(ctx, "k", v.Version, time.Millisecond)
	require.ErrorIs(t, err, store.ErrUnchanged)
	served.Put("k", []byte("2"))
	served.Compact()
	next, err := keyed.Watch(ctx, "k", v.Version, time.Second)
	require.NoError(t, err, "a watch goes on after the history is gone")
	require.Equal(t, "2", string(next.Data))
	again, err := keyed.Watch(ctx, "k", v.Version, time.Second)
	require.NoError(t, err, "one who lost the answer hears it again")
	require.Equal(t, next, again)
	calls := served.Calls("kv-watch") + served.Calls("kv-range")
	_, err = keyed.Watch(ctx, "k", next.Version, 30*time.Millisecond)
	require.ErrorIs(t, err, store.ErrUnchanged)
	require.Equal(t, calls+1, served.Calls("kv-watch")+served.Calls("kv-range"), "a quiet watch is one call")
}

func TestKeyedListsHosts(t *testing.T) {
	served, keyed := open(t)
	served.Put(store.HostsPrefix+"a", []byte(`{"name":"a","address":"127.0.0.1:1","state":"live"}`))
	hosts, err := keyed.Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, "a", hosts[0].Name)
	served.Put(store.HostsPrefix+"b", []byte("{"))
	_, err = keyed.Hosts(t.Context())
	require.ErrorContains(t, err, "hosts/b")
}
