package directory

// This file defines wireItem and itemCodec, the encoding of items that hosts send to each
// other. Large values are compressed, because a large configuration takes seconds to
// send over the links of small hosts. A host forwards compressed values as it received them, so
// that each value is compressed once in the fleet.

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

const (
	// compressMinBytes is the size from which values are compressed.
	compressMinBytes = 4 << 10
	// compressMaxRatio is the largest ratio of compressed to original size; values that
	// compress less are sent uncompressed.
	compressMaxRatio = 0.9
)

// wireItem is an item as it is sent between hosts.
type wireItem struct {
	Item store.Item `cbor:"1,keyasint"`
	// Compressed reports whether the value is compressed.
	Compressed bool `cbor:"2,keyasint,omitempty"`
}

// totalBytes returns the size of the keys and values of items.
func totalBytes(wireItems []wireItem) int {
	n := 0
	for _, item := range wireItems {
		n += len(item.Item.Key) + len(item.Item.Value)
	}
	return n
}

// itemCodec compresses values and caches the last encoding of each key. It is safe for
// concurrent use.
type itemCodec struct {
	mu    sync.Mutex
	cache map[string]wireItem
}

func newItemCodec() *itemCodec { return &itemCodec{cache: map[string]wireItem{}} }

// encode returns items in the form in which they are sent.
func (c *itemCodec) encode(items []store.Item) []wireItem {
	wireItems := make([]wireItem, 0, len(items))
	for _, item := range items {
		wireItems = append(wireItems, c.encodeItem(item))
	}
	return wireItems
}

func (c *itemCodec) encodeItem(item store.Item) wireItem {
	if len(item.Value) < compressMinBytes {
		return wireItem{Item: item}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, ok := c.cache[item.Key]; ok && cached.Item.Revision == item.Revision {
		return cached
	}
	next := wireItem{Item: item}
	if compressed := compress(item.Value); float64(len(compressed)) <= compressMaxRatio*float64(len(item.Value)) {
		next.Item.Value, next.Compressed = compressed, true
	}
	c.cache[item.Key] = next
	return next
}

// decode returns the decoded items, and caches the encoding of compressed ones.
func (c *itemCodec) decode(wireItems []wireItem) ([]store.Item, error) {
	items := make([]store.Item, 0, len(wireItems))
	for _, encoded := range wireItems {
		item := encoded.Item
		if encoded.Compressed {
			value, err := decompress(item.Value)
			if err != nil {
				return nil, errors.Wrap(err, item.Key)
			}
			item.Value = value
			c.mu.Lock()
			c.cache[item.Key] = encoded
			c.mu.Unlock()
		}
		items = append(items, item)
	}
	return items, nil
}

func compress(value []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(errors.Wrap(err, "directory: compression level"))
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(value)
	_ = w.Close()
	return out.Bytes()
}

// decompress decompresses a value. It fails if the value is larger than
// store.MaxValueBytes.
func decompress(compressed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), store.MaxValueBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "directory: compressed value")
	}
	if len(value) > store.MaxValueBytes {
		return nil, errors.Wrap(errBadResponse, "value exceeds the limit of the store")
	}
	return value, nil
}
