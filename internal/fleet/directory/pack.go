package directory

// This file defines parcel and packer: items on their way between hosts. Large values
// travel compressed, since the links of small hosts take seconds for a large
// configuration. A host passes on what it got as it got it, so that each value is
// compressed once in the fleet.

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

const (
	// packFrom is the size of a value from which it is compressed.
	packFrom = 4 << 10
	// packGain is the part of its size that a compressed value has at most; others are
	// passed on as they are.
	packGain = 0.9
)

// parcel is an item on its way.
type parcel struct {
	Item store.Item `cbor:"1,keyasint"`
	// Packed says that the value is compressed.
	Packed bool `cbor:"2,keyasint,omitempty"`
}

// bytesOf returns the size of a list of parcels.
func bytesOf(parcels []parcel) int {
	n := 0
	for _, p := range parcels {
		n += len(p.Item.Key) + len(p.Item.Value)
	}
	return n
}

// packer compresses values and remembers the last form of each. It is safe for
// concurrent use.
type packer struct {
	mu    sync.Mutex
	forms map[string]parcel
}

func newPacker() *packer { return &packer{forms: map[string]parcel{}} }

// pack returns items as they are passed on.
func (p *packer) pack(items []store.Item) []parcel {
	parcels := make([]parcel, 0, len(items))
	for _, item := range items {
		parcels = append(parcels, p.form(item))
	}
	return parcels
}

func (p *packer) form(item store.Item) parcel {
	if len(item.Value) < packFrom {
		return parcel{Item: item}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.forms[item.Key]; ok && known.Item.Revision == item.Revision {
		return known
	}
	next := parcel{Item: item}
	if packed := compress(item.Value); float64(len(packed)) <= packGain*float64(len(item.Value)) {
		next.Item.Value, next.Packed = packed, true
	}
	p.forms[item.Key] = next
	return next
}

// unpack returns the items of parcels, and remembers their forms.
func (p *packer) unpack(parcels []parcel) ([]store.Item, error) {
	items := make([]store.Item, 0, len(parcels))
	for _, got := range parcels {
		item := got.Item
		if got.Packed {
			value, err := decompress(item.Value)
			if err != nil {
				return nil, errors.Wrap(err, item.Key)
			}
			item.Value = value
			p.mu.Lock()
			p.forms[item.Key] = got
			p.mu.Unlock()
		}
		items = append(items, item)
	}
	return items, nil
}

func compress(value []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(errors.Wrap(err, "directory: level of compression"))
	}
	// Writes to a buffer do not fail.
	_, _ = w.Write(value)
	_ = w.Close()
	return out.Bytes()
}

// decompress returns a value of at most the size that the store holds.
func decompress(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), store.MaxValueBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "directory: compressed value")
	}
	if len(value) > store.MaxValueBytes {
		return nil, errors.Wrap(errPeer, "value is larger than the store holds")
	}
	return value, nil
}
