package main

// This file starts the hosts, keeps the record and ends everything.

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program and its argument are the start command of the deploy file.
const program, role = "target/tamaracktiller", "entry"

type host struct {
	name, front, ready string
	settings           string
	cmd                *exec.Cmd
	exited             chan struct{}
}

type world struct {
	dir     string
	net     int
	store   *store
	hosts   []*host
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *os.File
}

func newWorld(recordFile string) (*world, error) {
	w := &world{net: 10 + rand.IntN(200), trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if w.record, err = os.Create(recordFile); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	// Each run uses loopback addresses of its own, so that the fixed ports are free.
	w.net = w.net<<8 | rand.IntN(250)
	w.store, err = startStore(w.ip(250) + ":0")
	return w, err
}

func (w *world) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", w.net>>8, w.net&255, n) }

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  ", time.Since(w.started).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// say writes a line to the record and to the standard output.
func (w *world) say(format string, args ...any) {
	w.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// addHosts writes the settings of n hosts and starts them. They are like those of the deployment
// hcce-let.
func (w *world) addHosts(n int, bounds map[string]any) error {
	zones := map[string]string{"kerr-a": "tx-central", "kerr-b": "tx-central"}
	all := map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "lost_slack_ms": 200,
		"config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56,
		"recovery_s": 15, "probes_per_s": 60,
	}
	for name, v := range bounds {
		all[name] = v
	}
	for i := range n {
		h := &host{name: fmt.Sprintf("front-%d", i+1)}
		ip := w.ip(i + 1)
		h.front, h.ready = ip+":8381", ip+":8388"
		settings := map[string]any{
			"node": h.name, "role": role, "machine_class": "front", "serves": []string{"front"}, "ip": ip, "zone": []string{"kerr-a", "kerr-b"}[i%2], "region": "tx-central", "zones": zones,
			"listen": map[string]any{"front": h.front, "ready": h.ready}, "internal_ports": []int{7200, 7215}, "seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
			"limits":    map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"discovery": "platform", "entry": "vip", "heartbeat_ms": 1500, "tolerate": map[string]any{"machines": 1, "zones": 0, "regions": 0}, "bounds": all,
			"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"},
			"platform":  map[string]any{"address": w.store.address, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
		}
		h.settings = filepath.Join(w.dir, h.name+".json")
		data, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(h.settings, data, 0o600); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		if err := w.start(h); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) start(h *host) error {
	logFile, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(program, role)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TAMARACKTILLER_SETTINGS=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = logFile, logFile
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	w.log("%s starts at %s", h.name, h.front)
	exited := make(chan struct{})
	h.exited = exited
	cmd := h.cmd
	go func() {
		err := cmd.Wait()
		w.log("%s has ended: %v", h.name, err)
		_ = logFile.Close()
		close(exited)
	}()
	return nil
}

// isReady asks a host as the platform does.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + h.ready + "/tamaracktiller/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready and know each other.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range w.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	w.log("all hosts are ready")
	return nil
}

// close ends the processes that were started, by their ids.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	_ = w.record.Close()
}

// route returns a resource of a configuration.
func route(name, hostName, prefix, kind, service string, timeoutMS, attempts int) map[string]any {
	return map[string]any{"resource_kind": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"host": hostName, "prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": timeoutMS / 3, "priority": 1, "service": service, "max_attempts": attempts,
	}}
}

func service(name string) map[string]any {
	return map[string]any{"resource_kind": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{"health_path": "/healthz", "max_connections": 220, "protocol": "h1", "tls": false}}
}

// configure writes a configuration.
func (w *world) configure(version int, resources ...map[string]any) {
	limits := map[string]any{"resource_kind": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}}
	w.store.put("op/config", map[string]any{"version": version, "base_version": version - 1, "resources": append(resources, limits)})
	w.log("the store has acknowledged configuration %d", version)
}
