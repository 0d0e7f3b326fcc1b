package main

// This file defines fleet: the hosts under test, the stand-ins around them and the record.

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat  = 1500 * time.Millisecond
	healthPath = "/healthz"
	graceS     = 6
)

// fleet holds everything that a case starts.
type fleet struct {
	dir     string
	program []string
	record  *os.File
	started time.Time
	store   *store
	hosts   []*host
	// graceS is the grace period in the settings, in seconds.
	graceS  int
	servers []*server

	mu   sync.Mutex
	runs []run
}

// host is a process of the load balancer.
type host struct {
	f         *fleet
	name, ip  string
	zone      string
	bootstrap bool
	port      int
	cmd       *exec.Cmd
	exited    chan struct{}
}

func newFleet() (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(os.Getenv("CASE_DIR"), "record.txt"))
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: strings.Fields(os.Getenv("RUN")), record: record, started: time.Now(), graceS: graceS}
	f.store, err = newStore("127.0.0.1:0")
	return f, err
}

// logf writes a line to the record.
func (f *fleet) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%9.3f  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

func (f *fleet) onRun(r run) {
	f.logf("server %s: %s %s %s", r.server, r.what, r.id, r.detail)
	f.mu.Lock()
	f.runs = append(f.runs, r)
	f.mu.Unlock()
}

// events returns the events of a kind at the servers.
func (f *fleet) events(what string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []run
	for _, r := range f.runs {
		if r.what == what {
			list = append(list, r)
		}
	}
	return list
}

func (f *fleet) addServers(service string, n, slots int, work time.Duration, change func(s *server)) error {
	for i := range n {
		s := &server{name: fmt.Sprintf("%s%d", service, i+1), service: service, zone: "z-a", slots: slots, work: work, st: f.store, onRun: f.onRun}
		if change != nil {
			change(s)
		}
		if err := s.start(); err != nil {
			return err
		}
		f.servers = append(f.servers, s)
	}
	return nil
}

// freePort returns a port that is free on an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addHosts starts n hosts. Each has a loopback address of its own, since all serve their metrics
// on the same port.
func (f *fleet) addHosts(n int) error {
	for i := range n {
		h := &host{f: f, name: fmt.Sprintf("front-%d", i+1), zone: "z-a", bootstrap: true}
		h.ip = fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250, 10+i)
		port, err := freePort(h.ip)
		if err != nil {
			return err
		}
		h.port = port
		if err := h.start(); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, h.port) }
func (h *host) ready() string { return fmt.Sprintf("%s:%d", h.ip, h.port+1) }

// settings returns the settings file that the template of the deploy file gives: all fields as
// JSON.
func (h *host) settings() map[string]any {
	return map[string]any{
		"node": h.name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": h.ip, "zone": h.zone, "region": "r-1",
		"zones": map[string]string{"z-a": "r-1"}, "listen": map[string]string{"front": h.front(), "ready": h.ready()},
		"internal_ports": []int{h.port + 2, h.port + 17}, "seeds": []string{}, "bootstrap": h.bootstrap, "counts_as_loss": false,
		"limits":    map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000, "disk_mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"},
		"tolerate":  map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": h.f.graceS,
			"lost_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
			"budget_slack": 60, "recovery_s": 15, "probes_per_s": 60,
		},
		"platform": map[string]any{"address": h.f.store.address(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	}
}

func (h *host) file() string { return filepath.Join(h.f.dir, h.name+".json") }

// writeSettings places the settings file.
func (h *host) writeSettings() error {
	data, err := json.Marshal(h.settings())
	if err != nil {
		return err
	}
	next := h.file() + ".next"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return err
	}
	return os.Rename(next, h.file())
}

func (h *host) start() error {
	if err := h.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.f.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(h.f.program[0], h.f.program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TAMARACKTILLER_SETTINGS=" + h.file()}
	cmd.Stdout, cmd.Stderr = out, out
	// No host outlives the case. The signal is sent when the thread ends that started it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited, h.bootstrap = cmd, exited, false
	h.f.logf("host %s: started at %s", h.name, h.front())
	go func() {
		_ = cmd.Wait()
		h.f.logf("host %s: process has ended, %s", h.name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

func (h *host) signal(sig syscall.Signal) {
	h.f.logf("host %s: signal %s", h.name, sig)
	_ = h.cmd.Process.Signal(sig)
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace period.
func (h *host) terminate() {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(time.Duration(h.f.graceS) * time.Second):
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + h.ready() + "/tamaracktiller/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == 200
}

func (h *host) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
		if !h.running() {
			break
		}
	}
	return fmt.Errorf("%s is not ready", h.name)
}

// sender returns the name of the host whose process opened the connection from an address, as the
// kernel's tables of sockets and of open files say.
func (f *fleet) sender(address string) string {
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return "unknown"
	}
	ip := remote.Addr().As4()
	local := fmt.Sprintf(" %02X%02X%02X%02X:%04X ", ip[3], ip[2], ip[1], ip[0], remote.Port())
	data, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return "unknown"
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if at := strings.Index(line, local); at < 0 || at > 8 {
			continue
		}
		fields := strings.Fields(line)
		want := "socket:[" + fields[9] + "]"
		for _, h := range f.hosts {
			files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", h.cmd.Process.Pid))
			for _, file := range files {
				if link, err := os.Readlink(file); err == nil && link == want {
					return h.name
				}
			}
		}
	}
	return "unknown"
}

// close ends all processes that the case started.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.running() {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("files are kept in", f.dir)
	}
	_ = f.record.Close()
}

// config returns a configuration with one route for each service, /SERVICE/, on the host name
// shop.example.
func config(version int, routes ...map[string]any) map[string]any {
	resources := []any{}
	seen := map[string]bool{}
	for i, r := range routes {
		spec := map[string]any{"host": "shop.example", "priority": 1, "max_attempts": 2}
		for k, v := range r {
			spec[k] = v
		}
		resources = append(resources, map[string]any{"resource_kind": "routes", "metadata": map[string]any{"name": fmt.Sprintf("r-%d", i+1)}, "spec": spec})
		if s := spec["service"].(string); !seen[s] {
			seen[s] = true
			resources = append(resources, map[string]any{"resource_kind": "services", "metadata": map[string]any{"name": s}, "spec": map[string]any{"health_path": healthPath, "max_connections": 240, "protocol": "h1", "tls": false}})
		}
	}
	resources = append(resources, map[string]any{"resource_kind": "limits", "metadata": map[string]any{}, "spec": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	return map[string]any{"version": version, "resources": resources}
}
