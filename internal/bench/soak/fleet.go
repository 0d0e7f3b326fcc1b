package soak

// This file defines host, a process of the product under test.

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/platform"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	portCallers = 8381
	portReady   = 8388
	portPeers   = 7200
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 6 * time.Second
)

// host is a process with its settings and its link to the store.
type host struct {
	index    int
	name     string
	ip       netip.Addr
	domain   string
	dir      string
	binary   string
	store    *proxy
	g        *group.Group
	settings *settings.Entry

	mu          sync.Mutex
	process     *os.Process
	incarnation int
	ended       chan struct{}
	// stopped says that the run is over: the process is not started again.
	stopped bool
}

// hostSettings returns the settings of a host.
func (r *run) hostSettings(h *host) *settings.Entry {
	const megabyte = 1 << 20
	return &settings.Entry{
		Name: h.name, Domain: h.domain, Domains: []string{"d-0", "d-1"}, FirstStart: true,
		Callers: h.callers(), Observe: netip.AddrPortFrom(h.ip, portReady), Peers: netip.AddrPortFrom(h.ip, portPeers), Store: h.store.address(),
		MemoryBytes: 200 * megabyte, Heartbeat: time.Second,
		Bounds: settings.Bounds{
			RetryRatio: r.bounds.RetryRatio, RetrySlack: r.bounds.RetrySlack, RetryWindow: r.bounds.RetryWindow, ProbesPerSecond: r.bounds.AsksPerSecond,
			ConfigApply: r.bounds.ConfigApply, Drain: r.bounds.Drain, Grace: graceTime, MinLease: time.Second,
		},
	}
}

// callers returns the address for callers.
func (h *host) callers() netip.AddrPort { return netip.AddrPortFrom(h.ip, portCallers) }

func (h *host) file() string { return filepath.Join(h.dir, h.name+".json") }

// writeSettings writes the settings file; the process reads it at its start and on
// SIGHUP.
func (h *host) writeSettings() error {
	return os.WriteFile(h.file(), platformtest.Settings(h.settings), 0o600)
}

// start starts the process. Its log is appended to a file beside the settings.
func (h *host) start(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || h.process != nil {
		return nil
	}
	if err := h.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.CommandContext(ctx, h.binary, "entry", h.file()) //nolint:gosec // The program under test.
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, h.name)
	}
	h.settings.FirstStart = false
	h.process, h.ended = cmd.Process, make(chan struct{})
	h.incarnation++
	ended := h.ended
	h.g.Go(h.name, func(context.Context) error {
		_ = cmd.Wait()
		h.mu.Lock()
		h.process = nil
		h.mu.Unlock()
		close(ended)
		return nil
	})
	return nil
}

// signal sends a signal to the process, if it runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Signal(s)
	}
}

// end sends a signal, waits for the end of the process and kills it after the grace
// time.
func (h *host) end(s syscall.Signal) {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended == nil {
		return
	}
	h.signal(s)
	select {
	case <-ended:
	case <-time.After(graceTime):
		h.signal(syscall.SIGKILL)
		<-ended
	}
}

// running returns the number of the process that runs, and whether one does.
func (h *host) running() (incarnation int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation, h.process != nil
}

// ready asks the process whether it takes clients.
func (h *host) ready(ctx context.Context) bool {
	const patience = 300 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", h.ip, portReady, platform.ReadyPath), nil)
	if err != nil {
		return false
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}
