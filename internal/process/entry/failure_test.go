package entry

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/platform"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

type safeBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// failedProcesses counts the processes that the test has started.
var failedProcesses atomic.Uint32

// Guards against a host that goes on serving with a view that never changes again.
func TestProcessEndsWithTheErrorOfAFailedGoroutine(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	// The sockets of the process stay open until the test binary ends.
	ip := netip.AddrFrom4([4]byte{127, 253, byte(os.Getpid()), byte(failedProcesses.Add(1))})
	loopback := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }
	cfg := &settings.Entry{
		Name: "host", Domain: "d", Callers: loopback(8481), Observe: loopback(8488), Peers: loopback(7300), Metrics: loopback(7301), Store: store.Address(), LogLevel: "info",
		Bounds: settings.Bounds{RetryWindow: 10 * time.Second, Grace: 2 * time.Second, ReregisterTimeout: time.Second},
	}
	log := &safeBuffer{}
	p, err := New(cfg, Platform{Dialect: platform.Dialect{}, Decoder: platform.Decoder{}, OpenStore: platform.OpenStore, ReadyPath: platform.ReadyPath}, func() (*settings.Entry, error) { return cfg, nil }, log)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	time.Sleep(200 * time.Millisecond)
	p.g.Go("test", func(context.Context) error { return errors.New("disk on fire") })
	select {
	case err := <-done:
		require.ErrorContains(t, err, "disk on fire")
	case <-time.After(5 * time.Second):
		t.Fatal("the process goes on")
	}
	require.Contains(t, log.String(), "disk on fire")
}
