package logs

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

// blockedWriter blocks every Write until unblock is closed.
type blockedWriter struct {
	mu      sync.Mutex
	text    strings.Builder
	unblock chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	g := group.New(t.Context())
	defer func() { _ = g.Stop() }()
	w := &blockedWriter{unblock: make(chan struct{})}
	a := NewAsync(w, g)
	l, err := New(a, "info", "host-1")
	require.NoError(t, err)
	start := time.Now()
	for range 3 * queueLength {
		l.For("entry").WithField("request", "r-1").Info("request finished")
	}
	require.Less(t, time.Since(start), 2*time.Second)
	require.Positive(t, a.Dropped())
	close(w.unblock)
	require.Eventually(t, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return strings.Contains(w.text.String(), "lines were dropped")
	}, 5*time.Second, 10*time.Millisecond)
	require.Contains(t, w.text.String(), `"part":"entry"`)
}

func TestFlushWaitsForTheLineThatIsBeingWritten(t *testing.T) {
	g := group.New(t.Context())
	defer func() { _ = g.Stop() }()
	w := &blockedWriter{unblock: make(chan struct{})}
	a := NewAsync(w, g)
	_, err := a.Write([]byte("closed down\n"))
	require.NoError(t, err)
	time.AfterFunc(flushTimeout/4, func() { close(w.unblock) })
	a.Flush()
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Equal(t, "closed down\n", w.text.String())
}
