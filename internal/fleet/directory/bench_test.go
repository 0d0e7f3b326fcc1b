package directory

import (
	"testing"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// BenchmarkFirstLoad measures what a host does with the first read of a fleet of 312 hosts and 600
// targets before it serves requests.
func BenchmarkFirstLoad(b *testing.B) {
	s := newLargeStore()
	page := startFrom(s).cache.since(store.Revision{}).page
	b.ReportAllocs()
	for b.Loop() {
		d := New(Config{Self: Host{Name: "front-new", Domain: "fbg-a"}, Source: s, Log: discardLog(), Decoder: plainDecoder{}}, nil)
		d.state.Load(time.Now(), page)
		d.state.Snapshot()
	}
}
