package balancer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/bench/layout"
	bench "tamaracktiller.example/tamaracktiller/internal/bench/platform"
	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/plan"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/process/client"
	"tamaracktiller.example/tamaracktiller/internal/process/logs"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
	"tamaracktiller.example/tamaracktiller/platform"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// fleet is a fleet of balancers in the test process, with a fake platform and fake targets.
type fleet struct {
	layout *layout.Layout
	store  *platformtest.Store
	hosts  []store.Host
	g      *group.Group
}

// start runs balancers, a fake platform and targets that all use handler. It confirms the
// layout's intents and waits until every balancer is ready.
func start(t *testing.T, size layout.Size, handler http.Handler) *fleet {
	t.Helper()
	f := &fleet{layout: layout.New(t.TempDir(), size), store: platformtest.New(), g: group.New(context.Background())}
	require.NoError(t, f.layout.Write())
	data, err := os.ReadFile(f.layout.Dir + "/hosts.json")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(data, &f.hosts))
	bench.SetHosts(f.store, f.hosts)
	f.serve(t, f.layout.Platform().String(), f.store.Handler())
	for n := 1; n <= size.Targets; n++ {
		f.serve(t, f.layout.Target(n).String(), handler)
	}
	for n := 1; n <= size.Balancers; n++ {
		f.startBalancer(t, n)
	}
	f.confirmAll(t)
	return f
}

func (f *fleet) serve(t *testing.T, address string, h http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server := &http.Server{Handler: h}
	t.Cleanup(func() { _ = server.Close() })
	f.g.Go(address, func(context.Context) error {
		_ = server.Serve(l)
		return nil
	})
}

func (f *fleet) startBalancer(t *testing.T, n int) {
	t.Helper()
	s, err := settings.Load(f.layout.SettingsFile(n))
	require.NoError(t, err)
	s.Limits.DrainTimeout = 0
	log, err := logs.New(io.Discard, "error", s.Name)
	require.NoError(t, err)
	b, err := New(s, platform.OpenStore, log)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	f.g.Go(s.Name, func(context.Context) error {
		defer close(done)
		_ = b.Run(ctx)
		return nil
	})
	t.Cleanup(func() {
		stop()
		<-done
	})
}

func (f *fleet) client(t *testing.T, partner string) *client.Client {
	t.Helper()
	c, err := client.New(client.Config{
		Server: f.layout.Operators(1), Operator: partner + "/ana",
		SecretFile: f.layout.Dir + "/" + partner + ".secret", Authority: f.layout.Dir + "/authority.pem",
	})
	require.NoError(t, err)
	return c
}

func (f *fleet) declare(t *testing.T, partner string) *plan.Plan {
	t.Helper()
	intent, err := os.ReadFile(f.layout.Dir + "/" + partner + ".intent.json")
	require.NoError(t, err)
	var p *plan.Plan
	require.Eventually(t, func() bool {
		p, err = f.client(t, partner).Declare(t.Context(), intent)
		return err == nil
	}, 10*time.Second, 50*time.Millisecond)
	return p
}

// confirmAll confirms the plans of both partners' intents and waits until every host is
// ready.
func (f *fleet) confirmAll(t *testing.T) {
	t.Helper()
	exchange, bitacora := f.client(t, layout.Exchange), f.client(t, layout.Bitacora)
	_, err := exchange.Confirm(t.Context(), f.declare(t, layout.Exchange).ID)
	require.NoError(t, err)
	p := f.declare(t, layout.Bitacora)
	_, err = bitacora.Confirm(t.Context(), p.ID)
	var rejected *client.ResponseError
	require.ErrorAs(t, err, &rejected)
	require.Equal(t, "not-shown", rejected.Kind)
	_, err = exchange.Plan(t.Context(), p.ID)
	require.NoError(t, err)
	require.NoError(t, exchange.MarkShown(t.Context(), p.ID))
	_, err = bitacora.Confirm(t.Context(), p.ID)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		s, err := exchange.Status(t.Context())
		if err != nil || len(s.Hosts) != f.layout.Size.Balancers {
			return false
		}
		for _, h := range s.Hosts {
			if !h.Ready || h.Revision != 2 {
				return false
			}
		}
		return true
	}, 20*time.Second, 50*time.Millisecond)
}

// echo returns the handler of a target, whose response depends on the request's path. It counts the requests, and
// those that were cancelled.
func echo(seen, cancelled *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/early" {
			seen.Add(1)
			_, _ = io.CopyN(io.Discard, r.Body, largeResponse/8)
			_, _ = io.WriteString(w, "early")
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		seen.Add(1)
		switch r.URL.Path {
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		case "/same":
			w.WriteHeader(http.StatusNotModified)
		case "/hints":
			w.Header().Set("Link", "</style.css>")
			w.WriteHeader(http.StatusEarlyHints)
			_, _ = io.WriteString(w, "hinted")
		case "/large":
			w.Header().Set("Content-Length", strconv.Itoa(largeResponse))
			_, _ = w.Write(make([]byte, largeResponse))
		case "/trailer":
			w.Header().Set("Trailer", "Checksum")
			_, _ = io.WriteString(w, "body")
			w.Header().Set("Checksum", r.Trailer.Get("Checksum"))
		case "/cut":
			w.Header().Set("Content-Length", strconv.Itoa(largeResponse))
			_, _ = w.Write(make([]byte, largeResponse/2))
			panic(http.ErrAbortHandler)
		case "/slow":
			time.Sleep(20 * time.Millisecond)
		case "/poison":
			panic(http.ErrAbortHandler)
		case "/wait":
			select {
			case <-r.Context().Done():
				cancelled.Add(1)
			case <-time.After(5 * time.Second):
			}
		case "/hop":
			_ = json.NewEncoder(w).Encode(r.Header)
		default:
			_, _ = w.Write(body)
		}
	})
}

const largeResponse = 1 << 20

// request is a test case for one call: the request and the expected response.
type request struct {
	name, method, path string
	body               io.Reader
	chunked            bool
	trailer            string
	status             int
	want               string
	length             int
	truncated          bool
}

func callCases() []request {
	return []request{
		{name: "get", method: "GET", path: "/", status: 200},
		{name: "head", method: "HEAD", path: "/large", status: 200},
		{name: "small body", method: "POST", path: "/", body: strings.NewReader("two nights"), status: 200, want: "two nights"},
		{name: "streamed body", method: "POST", path: "/", body: strings.NewReader(strings.Repeat("x", 100_000)), chunked: true, status: 200, length: 100_000},
		{name: "no content", method: "GET", path: "/none", status: 204},
		{name: "not modified", method: "GET", path: "/same", status: 304},
		{name: "early hints", method: "GET", path: "/hints", status: 200, want: "hinted"},
		{name: "large response", method: "GET", path: "/large", status: 200, length: largeResponse},
		{name: "trailers", method: "POST", path: "/trailer", body: strings.NewReader("b"), chunked: true, trailer: "abc", status: 200, want: "body"},
		{name: "truncated response", method: "GET", path: "/cut", status: 200, truncated: true},
	}
}

func (req request) send(t *testing.T, c *http.Client, url, host string) {
	t.Helper()
	body := req.body
	if req.chunked {
		body = io.NopCloser(body)
	}
	r, err := http.NewRequestWithContext(t.Context(), req.method, url+req.path, body)
	require.NoError(t, err)
	r.Host = host
	if req.trailer != "" {
		r.Trailer = http.Header{"Checksum": {req.trailer}}
	}
	res, err := c.Do(r)
	require.NoError(t, err)
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	if req.truncated {
		require.Error(t, err, "a truncated response must not end cleanly")
		return
	}
	require.NoError(t, err)
	require.Equal(t, req.status, res.StatusCode, string(got))
	require.Equal(t, string(call.OutcomeRan), res.Header.Get(call.HeaderOutcome))
	require.Equal(t, req.trailer, res.Trailer.Get("Checksum"))
	if req.length > 0 {
		require.Len(t, got, req.length)
		return
	}
	require.Equal(t, req.want, string(got))
}

func TestCallsOverEveryProtocol(t *testing.T) {
	var seen, cancelled atomic.Int64
	var mu sync.Mutex
	perTarget := map[string]int64{}
	served := func(target string) int64 {
		mu.Lock()
		defer mu.Unlock()
		return perTarget[target]
	}
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		perTarget[r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()]++
		mu.Unlock()
		echo(&seen, &cancelled).ServeHTTP(w, r)
	})
	plain := start(t, layout.Size{Balancers: 2, Targets: 8, Domains: 2, Slots: 4, Net: 41}, counted)
	secure := start(t, layout.Size{Balancers: 2, Targets: 4, Domains: 2, Slots: 4, Net: 42, CallerTLS: true}, echo(&seen, &cancelled))
	insecure := &tls.Config{InsecureSkipVerify: true}
	h1, h2, h2c := new(http.Protocols), new(http.Protocols), new(http.Protocols)
	h1.SetHTTP1(true)
	h2.SetHTTP2(true)
	h2c.SetUnencryptedHTTP2(true)
	protocols := []struct {
		name      string
		f         *fleet
		scheme    string
		transport *http.Transport
	}{
		{"http/1.1", plain, "http://", &http.Transport{Protocols: h1}},
		{"http/2 without TLS", plain, "http://", &http.Transport{Protocols: h2c}},
		{"http/1.1 with TLS", secure, "https://", &http.Transport{Protocols: h1, TLSClientConfig: insecure}},
		{"http/2 with TLS", secure, "https://", &http.Transport{Protocols: h2, TLSClientConfig: insecure}},
	}
	for _, p := range protocols {
		for _, req := range callCases() {
			t.Run(p.name+"/"+req.name, func(t *testing.T) {
				for n := 1; n <= 2; n++ {
					req.send(t, &http.Client{Transport: p.transport}, p.scheme+p.f.layout.Callers(n).String(), "notes.test")
					if s, ok := req.body.(io.Seeker); ok {
						_, _ = s.Seek(0, io.SeekStart)
					}
				}
			})
		}
	}
	t.Run("malformed", func(t *testing.T) { malformedRequests(t, plain, &seen) })
	t.Run("early", func(t *testing.T) { earlyResponses(t, plain, &seen) })
	t.Run("closed", func(t *testing.T) { closedConnections(t, plain) })
	t.Run("departed", func(t *testing.T) {
		departedClients(t, &seen, &cancelled, func() (net.Conn, error) { return net.Dial("tcp", plain.layout.Callers(1).String()) })
		departedClients(t, &seen, &cancelled, func() (net.Conn, error) {
			return tls.Dial("tcp", secure.layout.Callers(1).String(), &tls.Config{InsecureSkipVerify: true})
		})
	})
	t.Run("headers", func(t *testing.T) { hopHeaders(t, plain) })
	t.Run("draining", func(t *testing.T) { drainingTarget(t, plain, served) })
	t.Run("deferred", func(t *testing.T) { deferrableWork(t, plain, &seen) })
	t.Run("rejected", func(t *testing.T) { rejectedIntents(t, plain) })
	t.Run("crash", func(t *testing.T) { crashingRequest(t, plain, &seen) })
}

// malformedRequests sends requests that must be rejected, such as those whose end is ambiguous
// or missing. None may reach a target.
func malformedRequests(t *testing.T, f *fleet, seen *atomic.Int64) {
	const header = "POST /x HTTP/1.1\r\nHost: notes.test\r\n"
	tests := []struct{ name, text, status string }{
		{"content length and transfer coding", header + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"two content lengths", header + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "400"},
		{"unknown transfer coding", header + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501"},
		{"truncated body", header + "Content-Length: 50\r\n\r\nhalf", "400"},
		{"oversized header", header + "A: " + strings.Repeat("x", 70_000) + "\r\n\r\n", "431"},
		{"missing Host header", "GET / HTTP/1.1\r\n\r\n", "400"},
		{"unknown service", "GET / HTTP/1.1\r\nHost: nobody.test\r\n\r\n", "404"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := seen.Load()
			nc, err := net.Dial("tcp", f.layout.Callers(1).String())
			require.NoError(t, err)
			defer nc.Close()
			_, err = io.WriteString(nc, tt.text)
			require.NoError(t, err)
			_ = nc.(*net.TCPConn).CloseWrite()
			line, err := bufio.NewReader(nc).ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, line, " "+tt.status+" ")
			require.Equal(t, before, seen.Load(), "the request reached a target")
		})
	}
}

// earlyResponses sends uploads that a target responds to before it has read them. The rest of their
// bodies reads like requests, none of which may reach a target.
func earlyResponses(t *testing.T, f *fleet, seen *atomic.Int64) {
	const uploads, block = 8, 4 << 10
	text := "GET / HTTP/1.1\r\nHost: notes.test\r\nFill: "
	body := strings.Repeat(text+strings.Repeat(".", block-len(text)-4)+"\r\n\r\n", 4*largeResponse/block)
	before := seen.Load()
	for range uploads {
		nc, err := net.Dial("tcp", f.layout.Callers(1).String())
		require.NoError(t, err)
		go func() {
			_, _ = fmt.Fprintf(nc, "POST /early HTTP/1.1\r\nHost: notes.test\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}()
		res, err := http.ReadResponse(bufio.NewReader(nc), nil)
		require.NoError(t, err)
		data, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		require.Equal(t, "early", string(data))
		require.True(t, res.Close)
		_ = nc.Close()
	}
	require.Equal(t, int64(uploads), seen.Load()-before)
}

// closedConnections sends requests whose connections the balancer closes after the response, with further
// bytes behind them that it does not read. The responses must be whole for clients that read slowly.
func closedConnections(t *testing.T, f *fleet) {
	const request = "GET /large HTTP/1.1\r\nHost: notes.test\r\nConnection: close\r\n\r\n"
	for _, behind := range []string{request, request[:20], strings.Repeat("x", 256<<10)} {
		nc, err := net.Dial("tcp", f.layout.Callers(1).String())
		require.NoError(t, err)
		tcp, ok := nc.(*net.TCPConn)
		require.True(t, ok)
		require.NoError(t, tcp.SetReadBuffer(64<<10))
		go func() { _, _ = io.WriteString(nc, request+behind) }()
		res, err := http.ReadResponse(bufio.NewReader(nc), nil)
		require.NoError(t, err)
		time.Sleep(100 * time.Millisecond)
		data, err := io.ReadAll(res.Body)
		require.NoError(t, err, "after %d bytes", len(data))
		require.Len(t, data, largeResponse)
		_ = nc.Close()
	}
}

// departedClients sends requests of clients that send a further one behind the first and leave. The first one
// must be cancelled at its target, and the further one must not reach any.
func departedClients(t *testing.T, seen, cancelled *atomic.Int64, dial func() (net.Conn, error)) {
	const first, further = "POST /wait HTTP/1.1\r\nHost: notes.test\r\nContent-Length: 0\r\n\r\n", "GET / HTTP/1.1\r\nHost: notes.test\r\n\r\n"
	for _, behind := range []string{"", further, further[:10]} {
		before, cancelledBefore := seen.Load(), cancelled.Load()
		nc, err := dial()
		require.NoError(t, err)
		_, err = io.WriteString(nc, first)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return seen.Load() > before }, 2*time.Second, 5*time.Millisecond)
		_, err = io.WriteString(nc, behind)
		require.NoError(t, err)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, cancelledBefore, cancelled.Load(), "the client has not left yet")
		// A hedge of the first request may run beside it.
		before = seen.Load()
		require.NoError(t, nc.Close())
		require.Eventually(t, func() bool { return cancelled.Load() > cancelledBefore }, time.Second, 5*time.Millisecond, "behind: %q", behind)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, before, seen.Load(), "no further request is started")
	}
}

// crashingRequest sends a request that crashes targets through both hosts. After a few
// crashes both must reject it, and other requests must still succeed.
func crashingRequest(t *testing.T, f *fleet, seen *atomic.Int64) {
	var last *http.Response
	before := seen.Load()
	for n := range 12 {
		r, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+f.layout.Callers(1+n%2).String()+"/poison", nil)
		require.NoError(t, err)
		r.Host = "notes.test"
		last, err = http.DefaultClient.Do(r)
		require.NoError(t, err)
		_ = last.Body.Close()
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, http.StatusUnprocessableEntity, last.StatusCode)
	require.Equal(t, string(call.OutcomeNotRun), last.Header.Get(call.HeaderOutcome))
	require.LessOrEqual(t, seen.Load()-before, int64(2*crash.MinTargets), "one request crashed too many targets")
	request{method: "GET", path: "/", status: 200}.send(t, http.DefaultClient, "http://"+f.layout.Callers(1).String(), "notes.test")
}

// drainingTarget changes the platform's host list so that it shows a target as leaving, then,
// as a stale list would, as live again, and finally as live in a new generation.
func drainingTarget(t *testing.T, f *fleet, served func(target string) int64) {
	const target = "target-1"
	address := f.layout.Target(1).String()
	setState := func(state store.HostState, generation uint64) {
		for n := range f.hosts {
			if f.hosts[n].Name == target {
				f.hosts[n].State, f.hosts[n].Generation = state, generation
			}
		}
		bench.SetHosts(f.store, f.hosts)
	}
	// serves reports whether the target serves any of 40 concurrent calls, which are enough
	// to fill the slots of all targets.
	serves := func() bool {
		before := served(address)
		g := group.New(t.Context())
		for n := range 40 {
			g.Go("call", func(context.Context) error {
				request{method: "GET", path: "/slow", status: 200}.send(t, http.DefaultClient, "http://"+f.layout.Callers(1+n%2).String(), "notes.test")
				return nil
			})
		}
		_ = g.Wait()
		return served(address) > before
	}
	require.True(t, serves(), "the target must serve before it drains")
	setState(store.HostDraining, 1)
	require.Eventually(t, func() bool { return !serves() }, 20*time.Second, 100*time.Millisecond)
	setState(store.HostLive, 1)
	for range 6 {
		time.Sleep(time.Second)
		require.False(t, serves(), "a stale host list must not reactivate the target")
	}
	setState(store.HostLive, 2)
	require.Eventually(t, serves, 20*time.Second, 100*time.Millisecond)
}

// deferrableWork submits an export that may wait. It must be rejected while the store is
// unavailable, and accepted and run otherwise.
func deferrableWork(t *testing.T, f *fleet, seen *atomic.Int64) {
	submit := func() *http.Response {
		r, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+f.layout.Callers(1).String()+"/export/7", strings.NewReader("all"))
		require.NoError(t, err)
		r.Host = "notes.test"
		r.Header.Set("Prefer", "respond-async")
		res, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		_ = res.Body.Close()
		return res
	}
	f.store.SetFaults(platformtest.Faults{Down: true})
	rejected := submit()
	require.Equal(t, http.StatusServiceUnavailable, rejected.StatusCode)
	require.Equal(t, string(call.OutcomeNotRun), rejected.Header.Get(call.HeaderOutcome))
	require.NotEmpty(t, rejected.Header.Get("Retry-After"))
	f.store.SetFaults(platformtest.Faults{})
	before := seen.Load()
	accepted := submit()
	require.Equal(t, http.StatusAccepted, accepted.StatusCode)
	require.Eventually(t, func() bool { return seen.Load() > before }, 20*time.Second, 50*time.Millisecond)
	require.Eventually(t, func() bool {
		return len(f.store.Keys("jobs/")) == 0
	}, 20*time.Second, 50*time.Millisecond, "a finished job must be removed from the store")
}

// hopHeaders checks that internal and hop-by-hop headers are not forwarded to the target.
func hopHeaders(t *testing.T, f *fleet) {
	r, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+f.layout.Callers(1).String()+"/hop", nil)
	require.NoError(t, err)
	r.Host = "notes.test"
	for name, value := range map[string]string{
		"Connection": "Secret-Hop", "Secret-Hop": "1", "Tamarack-Weight": "9", "Tamarack-Flags": "i",
		"Keep-Alive": "5", "Te": "trailers", "X-Kept": "yes", "Tamarack-Member": "member-3",
	} {
		r.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer res.Body.Close()
	var got http.Header
	require.NoError(t, json.NewDecoder(res.Body).Decode(&got))
	for _, name := range []string{"Connection", "Secret-Hop", "Tamarack-Weight", "Tamarack-Flags", "Tamarack-Hop", "Tamarack-Cell", "Tamarack-Pool", "Keep-Alive", "Te"} {
		require.Empty(t, got.Get(name), name)
	}
	require.Equal(t, "yes", got.Get("X-Kept"))
	require.Equal(t, "member-3", got.Get("Tamarack-Member"))
	require.Equal(t, res.Header.Get(call.HeaderRequestID), got.Get(call.HeaderRequestID))
}

// rejectedIntents checks that a partner cannot change or confirm what belongs to another
// partner.
func rejectedIntents(t *testing.T, f *fleet) {
	exchange, bitacora := f.client(t, layout.Exchange), f.client(t, layout.Bitacora)
	forged := &catalog.Intent{Partner: layout.Exchange, Reason: "r", Withdraw: []string{"booking"}}
	tests := []struct {
		name, kind string
		intent     any
	}{
		{"intent in the name of another partner", "forbidden", forged},
		{"withdraw a service of another partner", "invalid", &catalog.Intent{Partner: layout.Bitacora, Reason: "r", Withdraw: []string{"booking"}}},
		{"change a share of another partner", "invalid", &catalog.Intent{Partner: layout.Bitacora, Reason: "r", Shares: []catalog.ShareChange{{Service: "availability", Share: 1}}}},
		{"oversized intent", "invalid", strings.Repeat("x", catalog.MaxIntentBytes+10)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data, err := json.Marshal(tt.intent)
			require.NoError(t, err)
			_, err = bitacora.Declare(t.Context(), data)
			var rejected *client.ResponseError
			require.ErrorAs(t, err, &rejected)
			require.Equal(t, tt.kind, rejected.Kind)
		})
	}
	leave, err := json.Marshal(&catalog.Intent{Partner: layout.Exchange, Reason: "r", Leave: []catalog.Leave{{Pool: "booking", Target: "target-5"}}})
	require.NoError(t, err)
	p, err := exchange.Declare(t.Context(), leave)
	require.NoError(t, err)
	_, err = bitacora.Confirm(t.Context(), p.ID)
	require.Error(t, err, "another partner confirmed the plan")
	done, err := exchange.Confirm(t.Context(), p.ID)
	require.NoError(t, err)
	again, err := exchange.Confirm(t.Context(), p.ID)
	require.NoError(t, err)
	require.Equal(t, done, again, "a repeated confirmation must change nothing")
}
