package soak

// This file defines host, a process of the product under test.

import (
	"context"
	"encoding/json"
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
	"tamaracktiller.example/tamaracktiller/platform"
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
	settings map[string]any

	mu          sync.Mutex
	process     *os.Process
	incarnation int
	ended       chan struct{}
	// stopped says that the run is over: the process is not started again.
	stopped bool
}

// hostSettings returns the settings of a host, as the platform writes them.
func (r *run) hostSettings(h *host) map[string]any {
	return map[string]any{
		"node": h.name, "ip": h.ip.String(), "zone": h.domain, "internal_ports": []int{portPeers, portPeers + 9},
		"bootstrap": true, "heartbeat_ms": 1000, "zones": map[string]string{"d-0": "r", "d-1": "r"},
		"listen": map[string]string{"front": fmt.Sprintf("%s:%d", h.ip, portCallers), "ready": fmt.Sprintf("%s:%d", h.ip, portReady)},
		"limits": map[string]int{"memory_mb": 200},
		"bounds": map[string]any{
			"drain_ms": r.bounds.Drain.Milliseconds(), "grace_s": graceTime.Seconds(), "config_apply_ms": r.bounds.ConfigApply.Milliseconds(),
			"retry_budget_ratio": r.bounds.RetryRatio, "budget_window_s": r.bounds.RetryWindow.Seconds(), "budget_slack": r.bounds.RetrySlack,
			"probes_per_s": r.bounds.AsksPerSecond,
		},
		"platform": map[string]any{"address": h.store.address().String(), "min_ttl_ms": 1000},
	}
}

func (h *host) file() string { return filepath.Join(h.dir, h.name+".json") }

// writeSettings writes the settings file; the process reads it at its start and on
// SIGHUP.
func (h *host) writeSettings() error {
	data, err := json.Marshal(h.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(h.file(), data, 0o600)
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
	h.settings["bootstrap"] = false
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
