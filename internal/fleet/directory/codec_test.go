package directory

import (
	"crypto/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

func TestItemCodecRoundTrip(t *testing.T) {
	random := make([]byte, 20_000)
	_, _ = rand.Read(random)
	tests := []struct {
		name       string
		value      []byte
		compressed bool
	}{
		{name: "none"},
		{name: "small", value: []byte(strings.Repeat("a", compressMinBytes-1))},
		{name: "large", value: []byte(strings.Repeat("route ", 50_000)), compressed: true},
		{name: "as large as the store allows", value: make([]byte, store.MaxValueBytes), compressed: true},
		{name: "large and incompressible", value: random},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			item := store.Item{Key: "k", Value: tt.value, Revision: store.NewRevision(1, 2)}
			root, follower := newItemCodec(), newItemCodec()
			wireItems := root.encode([]store.Item{item})
			require.Equal(t, tt.compressed, wireItems[0].Compressed)
			items, err := follower.decode(wireItems)
			require.NoError(t, err)
			require.Equal(t, []store.Item{item}, items)
			again := follower.encode(items)
			require.Equal(t, wireItems, again)
			if tt.compressed {
				require.Same(t, &wireItems[0].Item.Value[0], &again[0].Item.Value[0], "the value must not be compressed again")
			}
		})
	}
}

func TestItemCodecEncodesNewRevision(t *testing.T) {
	codec := newItemCodec()
	for number, text := range []string{"first ", "second "} {
		item := store.Item{Key: "k", Value: []byte(strings.Repeat(text, 5_000)), Revision: store.NewRevision(1, uint64(number+1))}
		items, err := newItemCodec().decode(codec.encode([]store.Item{item}))
		require.NoError(t, err)
		require.Equal(t, item, items[0])
	}
}

func TestItemCodecRejectsInvalidValues(t *testing.T) {
	for _, value := range [][]byte{nil, []byte("not compressed"), compress(make([]byte, store.MaxValueBytes+1))} {
		_, err := newItemCodec().decode([]wireItem{{Item: store.Item{Key: "k", Value: value}, Compressed: true}})
		require.Error(t, err)
	}
}
