package balancer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
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

// installation is a fleet of real balancers in this process.
type installation struct {
	l     *layout.Layout
	store *platformtest.Store
	hosts []store.Host
	g     *group.Group
}

// start runs balancers, the platform's stand-in and targets that all use handler,
// and puts the layout's intents in force.
func start(t *testing.T, size layout.Size, handler http.Handler) *installation {
	t.Helper()
	i := &installation{l: layout.New(t.TempDir(), size), store: platformtest.New(), g: group.New(context.Background())}
	require.NoError(t, i.l.Write())
	data, err := os.ReadFile(i.l.Dir + "/hosts.json")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(data, &i.hosts))
	bench.SetHosts(i.store, i.hosts)
	i.serve(t, i.l.Platform().String(), i.store.Handler())
	for n := 1; n <= size.Targets; n++ {
		i.serve(t, i.l.Target(n).String(), handler)
	}
	for n := 1; n <= size.Balancers; n++ {
		i.startBalancer(t, n)
	}
	i.confirmAll(t)
	return i
}

func (i *installation) serve(t *testing.T, address string, h http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server := &http.Server{Handler: h}
	t.Cleanup(func() { _ = server.Close() })
	i.g.Go(address, func(context.Context) error {
		_ = server.Serve(l)
		return nil
	})
}

func (i *installation) startBalancer(t *testing.T, n int) {
	t.Helper()
	s, err := settings.Load(i.l.Balancer(n))
	require.NoError(t, err)
	s.Limits.DrainTimeout = 0
	log, err := logs.New(io.Discard, "error", s.Name)
	require.NoError(t, err)
	b, err := New(s, platform.OpenStore, log)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	i.g.Go(s.Name, func(context.Context) error {
		defer close(done)
		_ = b.Run(ctx)
		return nil
	})
	t.Cleanup(func() {
		stop()
		<-done
	})
}

func (i *installation) client(t *testing.T, partner string) *client.Client {
	t.Helper()
	c, err := client.New(client.Config{
		Server: i.l.Operators(1), Operator: partner + "/ana",
		SecretFile: i.l.Dir + "/" + partner + ".secret", Authority: i.l.Dir + "/authority.pem",
	})
	require.NoError(t, err)
	return c
}

func (i *installation) declare(t *testing.T, partner string) *plan.Plan {
	t.Helper()
	intent, err := os.ReadFile(i.l.Dir + "/" + partner + ".intent.json")
	require.NoError(t, err)
	var p *plan.Plan
	require.Eventually(t, func() bool {
		p, err = i.client(t, partner).Declare(t.Context(), intent)
		return err == nil
	}, 10*time.Second, 50*time.Millisecond)
	return p
}

// confirmAll puts both intents in force and waits until every host is ready.
func (i *installation) confirmAll(t *testing.T) {
	t.Helper()
	exchange, bitacora := i.client(t, layout.Exchange), i.client(t, layout.Bitacora)
	_, err := exchange.Confirm(t.Context(), i.declare(t, layout.Exchange).ID)
	require.NoError(t, err)
	p := i.declare(t, layout.Bitacora)
	_, err = bitacora.Confirm(t.Context(), p.ID)
	var refused *client.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, "not-shown", refused.Kind)
	_, err = exchange.Plan(t.Context(), p.ID)
	require.NoError(t, err)
	require.NoError(t, exchange.MarkShown(t.Context(), p.ID))
	_, err = bitacora.Confirm(t.Context(), p.ID)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		s, err := exchange.Status(t.Context())
		if err != nil || len(s.Hosts) != i.l.Size.Balancers {
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

// echo is a target that answers by path.
func echo(seen *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
			w.Header().Set("Content-Length", strconv.Itoa(largeAnswer))
			_, _ = w.Write(make([]byte, largeAnswer))
		case "/trailer":
			w.Header().Set("Trailer", "Checksum")
			_, _ = io.WriteString(w, "body")
			w.Header().Set("Checksum", r.Trailer.Get("Checksum"))
		case "/cut":
			w.Header().Set("Content-Length", strconv.Itoa(largeAnswer))
			_, _ = w.Write(make([]byte, largeAnswer/2))
			panic(http.ErrAbortHandler)
		case "/slow":
			time.Sleep(20 * time.Millisecond)
		case "/poison":
			panic(http.ErrAbortHandler)
		case "/hop":
			_ = json.NewEncoder(w).Encode(r.Header)
		default:
			_, _ = w.Write(body)
		}
	})
}

const largeAnswer = 1 << 20

// request is one row of the table of calls.
type request struct {
	name, method, path string
	body               io.Reader
	chunked            bool
	trailer            string
	status             int
	want               string
	length             int
	broken             bool
}

func rows() []request {
	return []request{
		{name: "get", method: "GET", path: "/", status: 200},
		{name: "head", method: "HEAD", path: "/large", status: 200},
		{name: "small body", method: "POST", path: "/", body: strings.NewReader("two nights"), status: 200, want: "two nights"},
		{name: "streamed body", method: "POST", path: "/", body: strings.NewReader(strings.Repeat("x", 100_000)), chunked: true, status: 200, length: 100_000},
		{name: "no content", method: "GET", path: "/none", status: 204},
		{name: "not modified", method: "GET", path: "/same", status: 304},
		{name: "early hints", method: "GET", path: "/hints", status: 200, want: "hinted"},
		{name: "large answer", method: "GET", path: "/large", status: 200, length: largeAnswer},
		{name: "trailers", method: "POST", path: "/trailer", body: strings.NewReader("b"), chunked: true, trailer: "abc", status: 200, want: "body"},
		{name: "cut answer", method: "GET", path: "/cut", status: 200, broken: true},
	}
}

func (q request) send(t *testing.T, c *http.Client, url, host string) {
	t.Helper()
	body := q.body
	if q.chunked {
		body = io.NopCloser(body)
	}
	r, err := http.NewRequestWithContext(t.Context(), q.method, url+q.path, body)
	require.NoError(t, err)
	r.Host = host
	if q.trailer != "" {
		r.Trailer = http.Header{"Checksum": {q.trailer}}
	}
	res, err := c.Do(r)
	require.NoError(t, err)
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	if q.broken {
		require.Error(t, err, "a cut answer must not end cleanly")
		return
	}
	require.NoError(t, err)
	require.Equal(t, q.status, res.StatusCode, string(got))
	require.Equal(t, string(call.Ran), res.Header.Get(call.HeaderOutcome))
	require.Equal(t, q.trailer, res.Trailer.Get("Checksum"))
	if q.length > 0 {
		require.Len(t, got, q.length)
		return
	}
	require.Equal(t, q.want, string(got))
}

func TestCallsOverEveryProtocol(t *testing.T) {
	var seen atomic.Int64
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
		echo(&seen).ServeHTTP(w, r)
	})
	plain := start(t, layout.Size{Balancers: 2, Targets: 8, Domains: 2, Slots: 4, Net: 41}, counted)
	secure := start(t, layout.Size{Balancers: 2, Targets: 4, Domains: 2, Slots: 4, Net: 42, CallerTLS: true}, echo(&seen))
	insecure := &tls.Config{InsecureSkipVerify: true}
	h1, h2, h2c := new(http.Protocols), new(http.Protocols), new(http.Protocols)
	h1.SetHTTP1(true)
	h2.SetHTTP2(true)
	h2c.SetUnencryptedHTTP2(true)
	protocols := []struct {
		name      string
		i         *installation
		scheme    string
		transport *http.Transport
	}{
		{"http/1.1", plain, "http://", &http.Transport{Protocols: h1}},
		{"http/2 without TLS", plain, "http://", &http.Transport{Protocols: h2c}},
		{"http/1.1 with TLS", secure, "https://", &http.Transport{Protocols: h1, TLSClientConfig: insecure}},
		{"http/2 with TLS", secure, "https://", &http.Transport{Protocols: h2, TLSClientConfig: insecure}},
	}
	for _, p := range protocols {
		for _, q := range rows() {
			t.Run(p.name+"/"+q.name, func(t *testing.T) {
				for n := 1; n <= 2; n++ {
					q.send(t, &http.Client{Transport: p.transport}, p.scheme+p.i.l.Callers(n).String(), "notes.test")
					if s, ok := q.body.(io.Seeker); ok {
						_, _ = s.Seek(0, io.SeekStart)
					}
				}
			})
		}
	}
	t.Run("raw", func(t *testing.T) { rawRequests(t, plain, &seen) })
	t.Run("headers", func(t *testing.T) { hopHeaders(t, plain) })
	t.Run("leaving", func(t *testing.T) { leavingTarget(t, plain, served) })
	t.Run("later", func(t *testing.T) { workThatMayWait(t, plain, &seen) })
	t.Run("harm", func(t *testing.T) { harmfulIntents(t, plain) })
	t.Run("crash", func(t *testing.T) { crashingRequest(t, plain, &seen) })
}

// rawRequests sends requests whose end is ambiguous or missing. None may reach a
// target.
func rawRequests(t *testing.T, i *installation, seen *atomic.Int64) {
	const head = "POST /x HTTP/1.1\r\nHost: notes.test\r\n"
	tests := []struct{ name, text, status string }{
		{"length and coding", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"two lengths", head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "400"},
		{"unknown coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501"},
		{"body cut short", head + "Content-Length: 50\r\n\r\nhalf", "400"},
		{"huge head", head + "A: " + strings.Repeat("x", 70_000) + "\r\n\r\n", "431"},
		{"no host", "GET / HTTP/1.1\r\n\r\n", "400"},
		{"unknown host", "GET / HTTP/1.1\r\nHost: nobody.test\r\n\r\n", "404"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := seen.Load()
			nc, err := net.Dial("tcp", i.l.Callers(1).String())
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

// crashingRequest sends a request on which targets die through both hosts. After
// few deaths it must be refused everywhere, and other requests must go on.
func crashingRequest(t *testing.T, i *installation, seen *atomic.Int64) {
	var last *http.Response
	before := seen.Load()
	for n := range 12 {
		r, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+i.l.Callers(1+n%2).String()+"/poison", nil)
		require.NoError(t, err)
		r.Host = "notes.test"
		last, err = http.DefaultClient.Do(r)
		require.NoError(t, err)
		_ = last.Body.Close()
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, http.StatusUnprocessableEntity, last.StatusCode)
	require.Equal(t, string(call.OutcomeNotRun), last.Header.Get(call.HeaderOutcome))
	require.LessOrEqual(t, seen.Load()-before, int64(2*crash.Threshold), "few targets may die of one request")
	request{method: "GET", path: "/", status: 200}.send(t, http.DefaultClient, "http://"+i.l.Callers(1).String(), "notes.test")
}

// leavingTarget lets the platform's list show a target as leaving, then, stale, as
// live again, and at last as replaced.
func leavingTarget(t *testing.T, i *installation, served func(target string) int64) {
	const target = "target-1"
	address := i.l.Target(1).String()
	list := func(state store.HostState, generation uint64) {
		for n := range i.hosts {
			if i.hosts[n].Name == target {
				i.hosts[n].State, i.hosts[n].Generation = state, generation
			}
		}
		bench.SetHosts(i.store, i.hosts)
	}
	// gets reports whether the target serves any of 40 calls at once, which fill
	// the slots of all targets.
	gets := func() bool {
		before := served(address)
		g := group.New(t.Context())
		for n := range 40 {
			g.Go("call", func(context.Context) error {
				request{method: "GET", path: "/slow", status: 200}.send(t, http.DefaultClient, "http://"+i.l.Callers(1+n%2).String(), "notes.test")
				return nil
			})
		}
		_ = g.Wait()
		return served(address) > before
	}
	require.True(t, gets(), "the target must serve before it leaves")
	list(store.HostLeaving, 1)
	require.Eventually(t, func() bool { return !gets() }, 20*time.Second, 100*time.Millisecond)
	list(store.HostLive, 1)
	for range 6 {
		time.Sleep(time.Second)
		require.False(t, gets(), "a stale list must not bring the target back")
	}
	list(store.HostLive, 2)
	require.Eventually(t, gets, 20*time.Second, 100*time.Millisecond)
}

// workThatMayWait accepts an export while targets fail, and refuses one while the
// store is down.
func workThatMayWait(t *testing.T, i *installation, seen *atomic.Int64) {
	submit := func() *http.Response {
		r, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+i.l.Callers(1).String()+"/export/7", strings.NewReader("all"))
		require.NoError(t, err)
		r.Host = "notes.test"
		r.Header.Set("Prefer", "respond-async")
		res, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		_ = res.Body.Close()
		return res
	}
	i.store.SetFaults(platformtest.Faults{Down: true})
	refused := submit()
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.Equal(t, string(call.OutcomeNotRun), refused.Header.Get(call.HeaderOutcome))
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	i.store.SetFaults(platformtest.Faults{})
	before := seen.Load()
	accepted := submit()
	require.Equal(t, http.StatusAccepted, accepted.StatusCode)
	require.Eventually(t, func() bool { return seen.Load() > before }, 20*time.Second, 50*time.Millisecond)
	require.Eventually(t, func() bool {
		return len(i.store.Keys("jobs/")) == 0
	}, 20*time.Second, 50*time.Millisecond, "a job that is done must leave the store")
}

// hopHeaders checks that internal and hop-by-hop headers do not pass.
func hopHeaders(t *testing.T, i *installation) {
	r, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+i.l.Callers(1).String()+"/hop", nil)
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

// harmfulIntents tries what one partner could do to the other.
func harmfulIntents(t *testing.T, i *installation) {
	exchange, bitacora := i.client(t, layout.Exchange), i.client(t, layout.Bitacora)
	forged := &catalog.Intent{Partner: layout.Exchange, Reason: "r", Withdraw: []string{"booking"}}
	tests := []struct {
		name, kind string
		intent     any
	}{
		{"intent in the other's name", "forbidden", forged},
		{"withdraw the other's service", "invalid", &catalog.Intent{Partner: layout.Bitacora, Reason: "r", Withdraw: []string{"booking"}}},
		{"change the other's share", "invalid", &catalog.Intent{Partner: layout.Bitacora, Reason: "r", Shares: []catalog.ShareChange{{Service: "availability", Share: 1}}}},
		{"huge intent", "invalid", strings.Repeat("x", catalog.MaxIntentBytes+10)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data, err := json.Marshal(tt.intent)
			require.NoError(t, err)
			_, err = bitacora.Declare(t.Context(), data)
			var refused *client.RefusedError
			require.ErrorAs(t, err, &refused)
			require.Equal(t, tt.kind, refused.Kind)
		})
	}
	drain, err := json.Marshal(&catalog.Intent{Partner: layout.Exchange, Reason: "r", Leave: []catalog.Leave{{Pool: "booking", Target: "target-5"}}})
	require.NoError(t, err)
	p, err := exchange.Declare(t.Context(), drain)
	require.NoError(t, err)
	_, err = bitacora.Confirm(t.Context(), p.ID)
	require.Error(t, err, "the other partner confirmed the plan")
	done, err := exchange.Confirm(t.Context(), p.ID)
	require.NoError(t, err)
	again, err := exchange.Confirm(t.Context(), p.ID)
	require.NoError(t, err)
	require.Equal(t, done, again, "a replayed confirmation must change nothing")
}
