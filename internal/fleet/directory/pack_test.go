package directory

import (
	"crypto/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

func TestValuesArriveAsTheyWere(t *testing.T) {
	noise := make([]byte, 20_000)
	_, _ = rand.Read(noise)
	tests := []struct {
		name   string
		value  []byte
		packed bool
	}{
		{name: "none"},
		{name: "small", value: []byte(strings.Repeat("a", packFrom-1))},
		{name: "large", value: []byte(strings.Repeat("route ", 50_000)), packed: true},
		{name: "as large as the store holds", value: make([]byte, store.MaxValueBytes), packed: true},
		{name: "large and without a pattern", value: noise},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			item := store.Item{Key: "k", Value: tt.value, Revision: store.At(1, 2)}
			root, follower := newPacker(), newPacker()
			parcels := root.pack([]store.Item{item})
			require.Equal(t, tt.packed, parcels[0].Packed)
			items, err := follower.unpack(parcels)
			require.NoError(t, err)
			require.Equal(t, []store.Item{item}, items)
			again := follower.pack(items)
			require.Equal(t, parcels, again)
			if tt.packed {
				require.Same(t, &parcels[0].Item.Value[0], &again[0].Item.Value[0], "it is not compressed again")
			}
		})
	}
}

func TestNewValueIsNotTakenForTheOldOne(t *testing.T) {
	p := newPacker()
	for number, text := range []string{"first ", "second "} {
		item := store.Item{Key: "k", Value: []byte(strings.Repeat(text, 5_000)), Revision: store.At(1, uint64(number+1))}
		items, err := newPacker().unpack(p.pack([]store.Item{item}))
		require.NoError(t, err)
		require.Equal(t, item, items[0])
	}
}

func TestBrokenParcelsAreRefused(t *testing.T) {
	for _, value := range [][]byte{nil, []byte("not compressed"), compress(make([]byte, store.MaxValueBytes+1))} {
		_, err := newPacker().unpack([]parcel{{Item: store.Item{Key: "k", Value: value}, Packed: true}})
		require.Error(t, err)
	}
}
