//go:build review3

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	frontPort    = 8381
	readyPort    = 8388
	internalPort = 7200
	storePort    = 8384
	heartbeat    = 1500 * time.Millisecond
	grace        = 6 * time.Second
	// stableWindow is stable_window_ms of the settings.
	stableWindow = 3 * time.Second
)

// world holds the store, the hosts and the servers of a case.
type world struct {
	rec     *record
	trouble bool
	// control selects a variant of the case in which the rule is expected to hold.
	control bool
	logs    bool
	dir     string
	// net holds the first three bytes of the loopback addresses of this run.
	net   string
	store *platformtest.Store
	http  *http.Server
	hosts []*host
	// extraBounds replaces bounds of the settings.
	extraBounds map[string]any

	mu      sync.Mutex
	servers []*server
	closed  bool
}

func newWorld(r *record, trouble, logs bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: r, trouble: trouble, logs: logs, dir: dir, store: platformtest.New()}
	var l net.Listener
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d", 40+rand.IntN(150), 1+rand.IntN(250))
		if l, err = net.Listen("tcp", fmt.Sprintf("%s.1:%d", w.net, storePort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	w.http = &http.Server{Handler: w.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.http.Serve(l) }()
	return w, nil
}

// close ends all processes that the case started.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	servers := w.servers
	w.mu.Unlock()
	for _, h := range w.hosts {
		h.kill()
	}
	for _, s := range servers {
		s.crash()
	}
	_ = w.http.Close()
	if w.logs {
		w.rec.note("logs of hosts: %s", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// host is a machine of the system with the process that runs on it.
type host struct {
	w     *world
	name  string
	ip    string
	zone  string
	first bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started time.Time
}

// startHosts starts n hosts and waits until all are ready.
func (w *world) startHosts(n int) error {
	for i := range n {
		h := &host{w: w, name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", w.net, 11+i), zone: fmt.Sprintf("zone-%d", i%2), first: true}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	w.rec.note("%d hosts are ready", n)
	return nil
}

func (h *host) settings() ([]byte, error) {
	bounds := map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": stableWindow.Milliseconds(), "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
		"grace_s": grace.Seconds(), "lost_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
		"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56, "recovery_s": 15, "probes_per_s": 60,
	}
	for name, value := range h.w.extraBounds {
		bounds[name] = value
	}
	return json.Marshal(map[string]any{
		"node": h.name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": h.ip, "zone": h.zone, "region": "region",
		"zones": map[string]string{"zone-0": "region", "zone-1": "region"}, "internal_ports": []int{internalPort, internalPort + 15}, "bootstrap": h.first,
		"listen":       map[string]string{"front": fmt.Sprintf("%s:%d", h.ip, frontPort), "ready": fmt.Sprintf("%s:%d", h.ip, readyPort)},
		"limits":       map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"heartbeat_ms": heartbeat.Milliseconds(), "bounds": bounds,
		"platform": map[string]any{"address": fmt.Sprintf("%s.1:%d", h.w.net, storePort), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "min_ttl_ms": 1000},
	})
}

// start starts the process with the command of the deploy file, in the root of the repository.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	data, err := h.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(h.w.dir, h.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	cmd := exec.Command("target/tamaracktiller", "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.w.dir, "TAMARACKTILLER_SETTINGS=" + file}
	if h.w.logs {
		out, err := os.OpenFile(filepath.Join(h.w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer out.Close()
		cmd.Stdout, cmd.Stderr = out, out
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.first = false
	h.cmd, h.exited, h.started = cmd, make(chan struct{}), time.Now()
	exited := h.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	h.w.rec.line("host %s starts", h.name)
	return nil
}

// stop sends SIGTERM, and SIGKILL after the grace period, and waits for the end of the process.
func (h *host) stop() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	h.w.rec.line("host %s gets SIGTERM", h.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		<-exited
	}
	h.w.rec.line("host %s has ended", h.name)
}

func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, frontPort) }

func (h *host) isReady() bool {
	c := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get(fmt.Sprintf("http://%s:%d/tamaracktiller/readyz", h.ip, readyPort))
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (h *host) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return errors.New(h.name + " does not become ready")
}

// putConfig writes a configuration.
func (w *world) putConfig(data []byte) { w.store.Put(platformtest.ConfigKey, data) }
