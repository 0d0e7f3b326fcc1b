package table

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

func TestTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := New()
		v, err := s.CompareAndSwap(ctx, "k", store.Revision{}, []byte("a"))
		require.NoError(t, err)
		_, err = s.CompareAndSwap(ctx, "k", store.Revision{}, []byte("b"))
		require.ErrorIs(t, err, store.ErrConflict)
		id, err := s.Grant(10 * time.Second)
		require.NoError(t, err)
		require.NoError(t, s.Attach("k", id))
		time.Sleep(8 * time.Second)
		require.NoError(t, s.Renew(id))
		time.Sleep(8 * time.Second)
		_, err = s.Get(ctx, "k")
		require.NoError(t, err, "a renewed lease must keep its value")
		time.Sleep(3 * time.Second)
		_, err = s.Get(ctx, "k")
		require.ErrorIs(t, err, store.ErrNotFound)
		require.ErrorIs(t, s.Renew(id), store.ErrNotFound)
		_, err = s.CompareAndSwap(ctx, "k", v, []byte("c"))
		require.ErrorIs(t, err, store.ErrConflict, "a writer that knew the old value must not succeed")
		s.SetFaults(Faults{HoldWrites: 1})
		_, err = s.CompareAndSwap(ctx, "k", store.Revision{}, []byte("d"))
		require.ErrorIs(t, err, store.ErrOutcomeUnknown)
		_, err = s.Get(ctx, "k")
		require.ErrorIs(t, err, store.ErrNotFound)
		s.ApplyHeldWrites()
		_, err = s.Get(ctx, "k")
		require.NoError(t, err, "a delayed write must be applied")
		s.SetFaults(Faults{Down: true})
		_, err = s.Get(ctx, "k")
		require.ErrorIs(t, err, store.ErrUnavailable)
	})
}
