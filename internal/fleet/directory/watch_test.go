package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a host that ends when the store refuses its first read, before it knows any host.
func TestHostThatKnowsNoHostsOutlivesARefusedRead(t *testing.T) {
	d := New(Config{Self: Host{Name: "a"}, Source: &checkpointStore{down: true}, Decoder: plainDecoder{}, Log: discardLog()}, nil)
	w := &watcher{d: d, reload: true}
	for range 5 {
		require.NotPanics(t, func() { require.Zero(t, w.step(t.Context())) })
		require.Positive(t, w.untilRetry(time.Now()))
	}
}

// Guards against a host that waits out the failures of an outage when it must watch in the next one.
func TestWatchDoesNotWaitForFailuresBeforeItStopped(t *testing.T) {
	d := New(Config{Self: Host{Name: "a"}, Source: &checkpointStore{down: true}, Decoder: plainDecoder{}, Log: discardLog()}, nil)
	w := &watcher{d: d, active: true, reload: true}
	for range 2 {
		w.step(t.Context())
	}
	require.Positive(t, w.untilRetry(time.Now()))
	w.stop()
	require.Zero(t, w.untilRetry(time.Now()))
	require.False(t, w.failed)
}
