package store_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/platform"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

func TestRevisionsCompareByEraFirst(t *testing.T) {
	tests := []struct {
		a, b store.Revision
		want int
	}{
		{a: store.NewRevision(1, 5), b: store.NewRevision(1, 5), want: 0},
		{a: store.NewRevision(1, 5), b: store.NewRevision(1, 6), want: -1},
		{a: store.NewRevision(2, 5), b: store.NewRevision(1, 6), want: 1},
		{a: store.Revision{}, b: store.NewRevision(0, 1), want: -1},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, tt.a.Compare(tt.b), "%s, %s", tt.a, tt.b)
		data, err := cbor.Marshal(tt.a)
		require.NoError(t, err)
		var got store.Revision
		require.NoError(t, cbor.Unmarshal(data, &got))
		require.Equal(t, tt.a, got)
		got, err = store.ParseRevision(tt.a.String())
		require.NoError(t, err)
		require.Equal(t, tt.a, got)
	}
	for _, bad := range []string{"", "7", "1.", ".1", "1.-1", "a.1"} {
		_, err := store.ParseRevision(bad)
		require.Error(t, err, bad)
	}
}

func TestRestoreInvalidatesEarlierRevisions(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	ctx := t.Context()
	client := platform.NewClient(s.Address(), nil)
	guarded := store.NewEraGuard(client)
	put := func(value string) []store.Put { return []store.Put{{Key: "k", Value: []byte(value)}} }

	first, err := guarded.Commit(ctx, nil, put("1"), nil)
	require.NoError(t, err)
	backup := s.Backup()
	second, err := guarded.Commit(ctx, []store.Condition{{Key: "k", Revision: first}}, put("2"), nil)
	require.NoError(t, err)
	s.Restore(backup)
	s.Put("other", nil)
	s.Put("k", []byte("3"))

	_, err = client.Watch(ctx, "", second, time.Second)
	require.NoError(t, err, "the store itself accepts the revision, because its number is in use again")
	_, err = guarded.Watch(ctx, "", second, time.Second)
	require.ErrorIs(t, err, store.ErrCompacted)
	_, err = guarded.Commit(ctx, []store.Condition{{Key: "k", Revision: second}}, put("4"), nil)
	require.ErrorIs(t, err, store.ErrConflict)
	item, err := guarded.Get(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, "3", string(item.Value))
	require.EqualValues(t, 2, item.Revision.Era)
	_, err = guarded.Commit(ctx, []store.Condition{{Key: "k", Revision: item.Revision}}, put("5"), nil)
	require.NoError(t, err)
}

func TestConditionalCommitAcrossRestoreHasUnknownOutcome(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	ctx := t.Context()
	guarded := store.NewEraGuard(platform.NewClient(s.Address(), nil))
	first, err := guarded.Commit(ctx, nil, []store.Put{{Key: "k", Value: []byte("1")}}, nil)
	require.NoError(t, err)
	s.Restore(s.Backup())
	_, err = guarded.Commit(ctx, []store.Condition{{Key: "k", Revision: first}}, []store.Put{{Key: "k", Value: []byte("2")}}, nil)
	require.ErrorIs(t, err, store.ErrOutcomeUnknown)
}

func TestKeyWatchContinuesInNewEra(t *testing.T) {
	server, kv := open(t)
	ctx := t.Context()
	first, err := kv.CompareAndSwap(ctx, "k", store.Revision{}, []byte("1"))
	require.NoError(t, err)
	backup := server.Backup()
	second, err := kv.CompareAndSwap(ctx, "k", first, []byte("2"))
	require.NoError(t, err)
	_, err = kv.Watch(ctx, "k", second, time.Millisecond)
	require.ErrorIs(t, err, store.ErrUnchanged)
	server.Restore(backup)
	v, err := kv.Watch(ctx, "k", second, time.Second)
	require.NoError(t, err, "the value differs from the last one seen")
	require.Equal(t, "1", string(v.Data))
	third, err := kv.CompareAndSwap(ctx, "k", v.Version, []byte("3"))
	require.NoError(t, err)
	require.True(t, third.After(second))
}
