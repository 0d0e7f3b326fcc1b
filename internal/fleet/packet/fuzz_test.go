package packet

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

type letter struct {
	ID   uint64   `cbor:"1,keyasint"`
	Text string   `cbor:"2,keyasint"`
	List []string `cbor:"3,keyasint"`
}

// A datagram is taken in only with the code of the fleet's key over all its bytes.
func FuzzDatagram(f *testing.F) {
	key := []byte("key")
	data, err := cbor.Marshal(letter{ID: 7, Text: "x", List: []string{"a"}})
	require.NoError(f, err)
	f.Add(data, true)
	f.Add(append(data, code(key, data)...), false)
	f.Fuzz(func(t *testing.T, data []byte, sealed bool) {
		c := &Conn[letter]{keys: func() [][]byte { return [][]byte{key} }}
		other := &Conn[letter]{keys: func() [][]byte { return [][]byte{[]byte("other")} }}
		if sealed {
			data = append(data, code(key, data)...)
		}
		if _, ok := c.decode(data); ok && len(data) > codeBytes {
			cut := len(data) - codeBytes
			require.Equal(t, code(key, data[:cut]), data[cut:])
		}
		_, ok := other.decode(data)
		require.False(t, ok)
	})
}
