// Package crowd tests that clients cannot make an entry host exceed its memory or run out of descriptors.
//
// Each test starts the program of an entry host as a process with low limits, lets many clients load it
// in one way, and checks that the process lives, that its memory and its descriptors stay within its
// settings, and that it then answers an ordinary request while the clients are still connected. The tests
// check no times and no share of served requests. They start real processes and must run one at a time;
// scripts/test.sh runs this package after all others.
package crowd

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/internal/traffic/tunnel"
	"tamaracktiller.example/tamaracktiller/platform"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	megabyte = 1 << 20
	// memoryMB is the memory of the host under test. The fault that the tests guard against took 1 to 2
	// MB of 184 for each of 500 clients; the clients are fewer here.
	memoryMB = 96
	// descriptors is the number of descriptors of the host under test.
	descriptors = 900
	// loadTime bounds the time for which the clients of a crowd load the host.
	loadTime = 4 * time.Second
	// samplePeriod is the interval at which memory and descriptors of the host are read.
	samplePeriod = 20 * time.Millisecond
)

// secret is the fleet secret.
const secret = "secret of the fleet"

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "tamaracktiller")
	if out, err := exec.Command("go", "build", "-o", program, "tamaracktiller.example/tamaracktiller/cmd/tamaracktiller").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// host is an entry host that runs as a process.
type host struct {
	t       *testing.T
	cfg     *settings.Entry
	process *os.Process
	exited  atomic.Bool
	log     string
	targets []*platformtest.Target
	store   *platformtest.Store
	// storeIsFaulty makes the address of the store that of a faulty server, see startHostBehind.
	storeIsFaulty atomic.Bool
	// refused counts the refusals of the last crowd.
	refused int
}

// addresses counts the loopback addresses in use.
var addresses atomic.Uint32

// startHost starts a store, four targets and a host.
func startHost(t *testing.T, memory, slots int, b platformtest.Behaviour) *host {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	h := &host{t: t, log: filepath.Join(t.TempDir(), "log"), store: store}
	h.start(memory, slots, b, store.Address())
	return h
}

// start starts four targets and the host, which finds the store at an address.
func (h *host) start(memory, slots int, b platformtest.Behaviour, address netip.AddrPort) {
	t, store := h.t, h.store
	t.Helper()
	for n := range 4 {
		target := platformtest.NewTarget(fmt.Sprintf("t-%d", n), "svc", "d", slots, b)
		t.Cleanup(target.Close)
		h.targets = append(h.targets, target)
		store.Put(platformtest.TargetPrefix+target.ID, target.Entry("ready"))
	}
	store.Put(directory.SecretKey, []byte(secret))
	store.Put(platformtest.ConfigKey, platformtest.Config(3, []platformtest.Route{
		{Host: "shop.example", Prefix: "/search/", Service: "svc", Safe: true, TimeoutMillis: 8000},
		{Host: "shop.example", Prefix: "/book/", Service: "svc", TimeoutMillis: 8000},
	}))
	ip := netip.AddrFrom4([4]byte{127, byte(180 + os.Getpid()>>8%70), byte(os.Getpid()), byte(addresses.Add(1))})
	h.cfg = &settings.Entry{
		Name: "host-0", Domain: "d", Domains: []string{"d"}, Callers: netip.AddrPortFrom(ip, 8381), Observe: netip.AddrPortFrom(ip, 8388),
		Peers: netip.AddrPortFrom(ip, 7200), Metrics: netip.AddrPortFrom(ip, 9464), Store: address, FirstStart: true,
		MemoryBytes: int64(memory) * megabyte, Descriptors: descriptors, Heartbeat: time.Second,
		Bounds: settings.Bounds{
			RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, ProbesPerSecond: 60,
			ConfigApply: 2 * time.Second, Drain: 2 * time.Second, Grace: 6 * time.Second, MinLease: time.Second,
		},
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, platformtest.Settings(h.cfg), 0o600))
	log, err := os.Create(h.log)
	require.NoError(t, err)
	defer log.Close()
	cmd := exec.Command(program, "entry", file)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(t, cmd.Start())
	h.process = cmd.Process
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		h.exited.Store(true)
		close(done)
	}()
	t.Cleanup(func() {
		_ = h.process.Signal(syscall.SIGKILL)
		<-done
	})
	require.Eventually(t, h.ready, 20*time.Second, 20*time.Millisecond)
}

// startHostBehind starts a host whose connections to the store reach a faulty server once storeIsFaulty is
// set.
func startHostBehind(t *testing.T, f *faulty) *host {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	h := &host{t: t, log: filepath.Join(t.TempDir(), "log"), store: store}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go h.forward(conn, store.Address(), f)
		}
	}()
	h.start(memoryMB, 3, platformtest.Behaviour{}, netip.MustParseAddrPort(l.Addr().String()))
	return h
}

// forward connects a connection to the store, or to the faulty server if it is opened after storeIsFaulty
// was set. Earlier ones are closed then.
func (h *host) forward(conn net.Conn, address netip.AddrPort, f *faulty) {
	defer conn.Close()
	if h.storeIsFaulty.Load() {
		f.serve(conn)
		return
	}
	server, err := net.Dial("tcp", address.String())
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		defer conn.Close()
		_, _ = io.Copy(conn, server)
	}()
	buffer := make([]byte, 4<<10)
	for !h.storeIsFaulty.Load() {
		n, err := conn.Read(buffer)
		if err != nil || h.storeIsFaulty.Load() {
			return
		}
		_, _ = server.Write(buffer[:n])
	}
}

func (h *host) ready() bool {
	res, err := http.Get("http://" + h.cfg.Observe.String() + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// usage is what the process of a host holds.
type usage struct {
	// resident is the resident memory, and peak its largest value so far, in bytes.
	resident, peak int64
	// queued is what the sockets of the process have received and the process has not read, in bytes.
	queued int64
	// open is the number of open descriptors.
	open int
}

// usage reads what the process of the host holds now.
func (h *host) usage() usage {
	u := usage{}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Pid))
	if err != nil {
		return u
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) != 3 {
			continue
		}
		kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmRSS:":
			u.resident = kilobytes << 10
		case "VmHWM:":
			u.peak = kilobytes << 10
		}
	}
	dir := fmt.Sprintf("/proc/%d/fd", h.process.Pid)
	list, _ := os.ReadDir(dir)
	u.open = len(list)
	sockets := map[string]bool{}
	for _, entry := range list {
		link, _ := os.Readlink(filepath.Join(dir, entry.Name()))
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	u.queued = h.queued(sockets)
	return u
}

// queued returns the bytes in the receive queues of the sockets of the host, given by their inodes, and of
// the connections to its clients, which it may not have accepted yet.
func (h *host) queued(sockets map[string]bool) int64 {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer table.Close()
	a := h.cfg.Callers.Addr().As4()
	local := strings.ToUpper(hex.EncodeToString([]byte{a[3], a[2], a[1], a[0]})) + fmt.Sprintf(":%04X", h.cfg.Callers.Port())
	sum := int64(0)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		// The receive queue of a listening socket (0A) counts connections.
		if len(fields) < 10 || fields[3] == "0A" || fields[1] != local && !sockets[fields[9]] {
			continue
		}
		_, receive, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(receive, 16, 64)
		sum += bytes
	}
	return sum
}

// client is one client of a crowd. It returns when ctx is done or nothing is left to do; its connection
// stays open until the end of the test.
type client func(ctx context.Context, conn net.Conn, n int)

// dial opens the connection of a client.
func (h *host) dial(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		// What the host sends is to stay with the host.
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	return dialer.DialContext(ctx, "tcp", h.cfg.Callers.String())
}

// load runs a crowd, and checks the host while it does and afterwards.
func (h *host) load(clients int, dial func(ctx context.Context) (net.Conn, error), run client) {
	ctx, cancel := context.WithTimeout(h.t.Context(), loadTime)
	defer cancel()
	var all sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	for n := range clients {
		all.Go(func() {
			conn, err := dial(ctx)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			deadline, _ := ctx.Deadline()
			_ = conn.SetDeadline(deadline)
			run(ctx, conn, n)
		})
	}
	ended := make(chan struct{})
	go func() {
		all.Wait()
		<-ctx.Done()
		close(ended)
	}()
	worst := usage{}
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(samplePeriod):
		}
		u := h.usage()
		worst.resident, worst.peak = max(worst.resident, u.resident+u.queued), max(worst.peak, u.peak)
		worst.queued, worst.open = max(worst.queued, u.queued), max(worst.open, u.open)
	}
	h.t.Logf("peak %d MB, largest with unread bytes %d MB, unread %d MB, %d descriptors", worst.peak>>20, worst.resident>>20, worst.queued>>20, worst.open)
	h.checkAlive(worst)
}

// checkAlive checks the bounds, and that the host answers an ordinary request.
func (h *host) checkAlive(worst usage) {
	h.checkRunning()
	served := false
	for n := 0; n < 40 && !served; n++ {
		r := platformtest.Request{ID: fmt.Sprintf("ordinary-%d", n), Host: "shop.example", Path: "/search/x", TimeLeft: 2 * time.Second}
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
		res, err := r.Send(h.t.Context(), client, h.cfg.Callers)
		served = err == nil && res.Status == http.StatusOK
		if !served {
			h.t.Logf("ordinary request: status %d, %v", res.Status, err)
			if n == 4 {
				h.printLog()
			}
			time.Sleep(250 * time.Millisecond)
		}
	}
	if !served {
		h.printLog()
	}
	require.True(h.t, served, "no ordinary request is answered")
	require.LessOrEqual(h.t, worst.peak, int64(memoryMB*megabyte), "resident memory exceeds the memory of the host")
	require.LessOrEqual(h.t, worst.resident, int64(memoryMB*megabyte), "resident memory and unread bytes exceed the memory of the host")
	require.LessOrEqual(h.t, worst.open, descriptors, "more descriptors are open than the settings allow")
	h.checkRunning()
	h.checkRefusals()
}

// checkRunning checks that the process has not ended.
func (h *host) checkRunning() {
	if h.exited.Load() {
		h.printLog()
	}
	require.False(h.t, h.exited.Load(), "the process has ended")
}

// printLog prints the last lines of the host.
func (h *host) printLog() {
	log, _ := os.ReadFile(h.log)
	h.t.Logf("last lines of the host:\n%s", log[max(0, len(log)-8<<10):])
}

// post returns the header of a request with a body.
func post(path string, n int, framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd-%d\r\nX-Deadline-Ms: 8000\r\n%s\r\n", path, n, framing)
}

// piece is what clients repeat in bodies.
var piece = strings.Repeat("u", 20<<10)

// sendBytes sends a number of bytes, piece by piece, each followed by a pause.
func sendBytes(ctx context.Context, conn net.Conn, size int, pause time.Duration) {
	for size > 0 && ctx.Err() == nil {
		n, err := io.WriteString(conn, piece[:min(size, len(piece))])
		if err != nil {
			return
		}
		size -= n
		if pause > 0 {
			time.Sleep(pause)
		}
	}
}

// body returns a client that announces a body of size bytes and leaves out the last missing ones.
func body(size, missing int, pause time.Duration) client {
	return func(ctx context.Context, conn net.Conn, n int) {
		_, _ = io.WriteString(conn, post("/book/x", n, fmt.Sprintf("Content-Length: %d\r\n", size)))
		sendBytes(ctx, conn, size-missing, pause)
		if missing == 0 {
			readRefusal(conn, n)
		}
	}
}

// refusals holds the responses with status 503 to clients of the current crowd, by their number. The value
// is the Retry-After.
var refusals sync.Map

// badRequests counts responses with 400 to requests that are valid.
var badRequests atomic.Int64

// readRefusal reads a response and records a refusal.
func readRefusal(conn net.Conn, n int) {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusBadRequest {
		badRequests.Add(1)
	}
	if res.StatusCode == http.StatusServiceUnavailable {
		refusals.Store(n, res.Header.Get("Retry-After"))
	}
	_, _ = io.Copy(io.Discard, res.Body)
}

// checkRefusals checks that no refused request has run, that each refusal has a Retry-After, and that no
// valid request got a 400, which clients do not repeat.
func (h *host) checkRefusals() {
	h.refused = 0
	require.Zero(h.t, badRequests.Swap(0), "400 to valid requests")
	refusals.Range(func(n, retryAfter any) bool {
		h.refused++
		require.NotEmpty(h.t, retryAfter, "a refusal without Retry-After")
		for _, target := range h.targets {
			require.Zero(h.t, target.Runs(fmt.Sprintf("crowd-%d", n)), "a refused request has run")
		}
		return true
	})
	refusals.Clear()
}

// chunks returns a client that sends a body of size bytes in chunks, but not the last chunk.
func chunks(size int) client {
	return func(ctx context.Context, conn net.Conn, n int) {
		_, _ = io.WriteString(conn, post("/book/x", n, "Transfer-Encoding: chunked\r\n"))
		for sent := 0; sent < size && ctx.Err() == nil; sent += len(piece) {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				return
			}
		}
	}
}

// slowReader returns a client that requests a response of size bytes and reads it in small pieces.
func slowReader(size int) client {
	return func(ctx context.Context, conn net.Conn, n int) {
		_, _ = fmt.Fprintf(conn, "GET /search/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd-%d\r\nX-Deadline-Ms: 8000\r\nX-Response-Bytes: %d\r\n\r\n", n, size)
		for p := make([]byte, 512); ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
			if _, err := conn.Read(p); err != nil {
				return
			}
		}
	}
}

func silent(context.Context, net.Conn, int) {}

// headerTrickle sends a request header line by line, and never its end.
func headerTrickle(ctx context.Context, conn net.Conn, n int) {
	_, _ = fmt.Fprintf(conn, "GET /search/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd-%d\r\n", n)
	for line := 0; line < 60 && ctx.Err() == nil; line++ {
		if _, err := fmt.Fprintf(conn, "X-Line-%d: %s\r\n", line, strings.Repeat("h", 1000)); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// manyFields sends a request header of 60 kB in short fields, whose end comes after most of the load time.
func manyFields(ctx context.Context, conn net.Conn, n int) {
	var b strings.Builder
	for i := range 10_000 {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(i)+36*36, 36))
	}
	_, _ = fmt.Fprintf(conn, "GET /search/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd-%d\r\nX-Deadline-Ms: 2000\r\n%s", n, b.String())
	select {
	case <-ctx.Done():
	case <-time.After(loadTime / 2):
	}
	_, _ = io.WriteString(conn, "\r\n")
	readRefusal(conn, n)
}

// longHeader sends a request header of almost 1 MB, in fields of n bytes, and never its end.
func longHeader(n int) client {
	return func(ctx context.Context, conn net.Conn, id int) {
		_, _ = fmt.Fprintf(conn, "GET /search/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd-%d\r\n", id)
		for sent := 0; sent < megabyte-1000-n && ctx.Err() == nil; sent += n + 12 {
			if _, err := fmt.Fprintf(conn, "X-%08d: %s\r\n", sent, strings.Repeat("h", n)); err != nil {
				return
			}
		}
	}
}

// pipeline sends requests of 4 MB in total behind one that takes long, and reads no response.
func pipeline(ctx context.Context, conn net.Conn, n int) {
	_, _ = fmt.Fprintf(conn, "GET /search/slow HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd-%d\r\nX-Deadline-Ms: 8000\r\nX-Service-Time: 6s\r\n\r\n", n)
	request := fmt.Sprintf("GET /search/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: crowd-%d-b\r\nX-Deadline-Ms: 8000\r\nX-Filler: %s\r\n\r\n", n, strings.Repeat("p", 4000))
	for range 1000 {
		if _, err := io.WriteString(conn, request); err != nil || ctx.Err() != nil {
			return
		}
	}
}

// Guards against clients that end a host, or push it over its memory or its descriptors, by what they
// send or do not read. On commit b6bd1e4, 500 clients with bodies of 1 MB took 557 to 1,049 MB of a host
// of 184 MB.
func TestHostSurvivesUncontrolledClients(t *testing.T) {
	tests := []struct {
		name    string
		clients int
		// serviceTime and slots are those of each of four targets.
		serviceTime time.Duration
		slots       int
		run         client
	}{
		{name: "whole bodies of 1 MB", clients: 150, serviceTime: time.Second, slots: 3, run: body(megabyte, 0, 0)},
		{name: "bodies of 1 MB without their last ten bytes", clients: 150, slots: 3, run: body(megabyte, 10, 0)},
		{name: "bodies of 1 MB in pieces without their last ten bytes", clients: 150, slots: 3, run: body(megabyte, 10, 10*time.Millisecond)},
		{name: "bodies of 1 MB in chunks without their end", clients: 150, slots: 3, run: chunks(megabyte - len(piece))},
		{name: "bodies of 200 kB without their last byte", clients: 600, slots: 3, run: body(200<<10, 1, 0)},
		{name: "streamed bodies of 8 MB without their last ten bytes", clients: 200, slots: 3, run: body(8*megabyte, 10, 0)},
		{name: "responses of 4 MB read slowly", clients: 150, slots: 150, run: slowReader(4 * megabyte)},
		{name: "responses of 700 kB read slowly", clients: 800, slots: 200, run: slowReader(700 << 10)},
		{name: "connections without a request", clients: 1200, slots: 3, run: silent},
		{name: "header bytes that trickle", clients: 850, slots: 3, run: headerTrickle},
		{name: "headers of many short fields", clients: 800, slots: 3, run: manyFields},
		{name: "headers of 1 MB without an end", clients: 200, slots: 3, run: longHeader(1000)},
		{name: "headers of 1 MB in few fields without an end", clients: 200, slots: 3, run: longHeader(100_000)},
		{name: "headers of 1 MB in short fields without an end", clients: 200, slots: 3, run: longHeader(8)},
		{name: "pipelined requests behind a slow one", clients: 600, slots: 3, run: pipeline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := startHost(t, memoryMB, tt.slots, platformtest.Behaviour{ServiceTime: tt.serviceTime})
			h.load(tt.clients, h.dial, tt.run)
		})
	}
}

// Guards against other hosts that take the memory or the descriptors of a host for their clients: they
// request responses of 4 MB through tunnels and read them slowly.
func TestHostSurvivesTunnelsOfOtherHosts(t *testing.T) {
	h := startHost(t, memoryMB, 150, platformtest.Behaviour{})
	dialer := tunnel.NewDialer(tunnel.DialerConfig{
		Self: "host-1",
		Hosts: func() map[string]directory.Host {
			return map[string]directory.Host{"host-0": {Name: "host-0", PeerAddress: h.cfg.Peers}}
		},
		Secret: func() []byte { return []byte(secret) }, SocketBytes: 4 << 10,
	}, group.New(t.Context()))
	var opened atomic.Int64
	h.load(500, func(ctx context.Context) (net.Conn, error) {
		conn, err := dialer.DialThrough(ctx, "host-0", fmt.Sprintf("t-%d", opened.Add(1)%4), "crowd")
		if err != nil {
			return nil, err
		}
		return conn, nil
	}, slowReader(4*megabyte))
}

// Guards against clients that cannot tell whether their request has run: a body that was ended because it
// held most of the memory was sent to no target, so its client gets 503.
func TestEndedBodiesAreRefused(t *testing.T) {
	h := startHost(t, memoryMB, 3, platformtest.Behaviour{})
	h.load(80, h.dial, func(ctx context.Context, conn net.Conn, n int) {
		if n%2 == 1 {
			// The first half has stalled by then.
			time.Sleep(loadTime / 2)
		}
		body(megabyte, 10, 0)(ctx, conn, n)
		readRefusal(conn, n)
	})
	require.Positive(t, h.refused)
	log, err := os.ReadFile(h.log)
	require.NoError(t, err)
	require.Contains(t, string(log), `"phase-body"`, "connections are ended while their bodies are read")
}

// Guards against limits that refuse what the configuration allows: without overload, the smallest host
// serves one request of any legal size, and a client may read its response slowly.
func TestSmallestHostServesLargeRequests(t *testing.T) {
	const smallestMB, largestBody = 184, 64 * megabyte
	h := startHost(t, smallestMB, 3, platformtest.Behaviour{ResponseBytes: 3 * megabyte})
	for n, size := range []int{1000, 60_000, megabyte - 1, megabyte, megabyte + 1, 8 * megabyte, largestBody} {
		started := time.Now()
		r := platformtest.Request{ID: fmt.Sprintf("large-%d", n), Host: "shop.example", Path: "/book/x", Body: strings.Repeat("u", size), TimeLeft: 8 * time.Second}
		res, err := r.Send(t.Context(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, h.cfg.Callers)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, res.Status, "%d bytes", size)
		require.Contains(t, res.Body, fmt.Sprintf("ran %d bytes", size))
		require.Len(t, res.Body, 3*megabyte)
		t.Logf("%d bytes took %s", size, time.Since(started).Round(time.Millisecond))
	}
	// A client with a header of 15 kB reads 3 MB in pieces, on a connection that was idle before.
	conn, err := net.Dial("tcp", h.cfg.Callers.String())
	require.NoError(t, err)
	defer conn.Close()
	time.Sleep(time.Second)
	_, err = fmt.Fprintf(conn, "GET /search/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: slow-1\r\nX-Deadline-Ms: 8000\r\nX-Filler: %s\r\n\r\n", strings.Repeat("f", 15<<10))
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer res.Body.Close()
	sum := int64(0)
	for range 30 {
		read, err := io.CopyN(io.Discard, res.Body, megabyte/10)
		sum += read
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
	rest, err := io.Copy(io.Discard, res.Body)
	require.NoError(t, err)
	require.EqualValues(t, 3*megabyte, sum+rest)
	require.False(t, h.exited.Load())
}
