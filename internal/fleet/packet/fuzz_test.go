package packet

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

type fuzzMessage struct {
	ID   uint64   `cbor:"1,keyasint"`
	Text string   `cbor:"2,keyasint"`
	List []string `cbor:"3,keyasint"`
}

// A datagram is accepted only with a MAC of the fleet secret over all its bytes.
func FuzzDatagram(f *testing.F) {
	secret := []byte("key")
	data, err := cbor.Marshal(fuzzMessage{ID: 7, Text: "x", List: []string{"a"}})
	require.NoError(f, err)
	f.Add(data, true)
	f.Add(append(data, MAC(secret, data)...), false)
	f.Fuzz(func(t *testing.T, data []byte, signed bool) {
		c := &Conn[fuzzMessage]{secrets: func() [][]byte { return [][]byte{secret} }}
		other := &Conn[fuzzMessage]{secrets: func() [][]byte { return [][]byte{[]byte("other")} }}
		if signed {
			data = append(data, MAC(secret, data)...)
		}
		if _, ok := c.decode(data); ok && len(data) > macBytes {
			end := len(data) - macBytes
			require.Equal(t, MAC(secret, data[:end]), data[end:])
		}
		_, ok := other.decode(data)
		require.False(t, ok)
	})
}
