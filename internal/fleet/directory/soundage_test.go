package directory

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// virtualBoot returns a clock since boot for a synctest bubble, which began offset after the boot.
func virtualBoot(offset time.Duration) func() time.Duration {
	start := time.Now()
	return func() time.Duration { return offset + time.Since(start) }
}

// suspension is time that only clocks since boot count, on all machines of a test.
type suspension struct{ total atomic.Int64 }

func (s *suspension) add(d time.Duration) { s.total.Add(int64(d)) }

// clock returns a clock since boot of a machine.
func (s *suspension) clock(offset time.Duration) func() time.Duration {
	awake := virtualBoot(offset)
	return func() time.Duration { return awake() + time.Duration(s.total.Load()) }
}

// scriptedSource is a store whose watches do what a test says.
type scriptedSource struct {
	revision uint64
	config   string
	watch    func(wait time.Duration) []store.Item
	read     func()
}

func (s *scriptedSource) Range(context.Context, string) (store.Page, error) {
	s.revision++
	if s.read != nil {
		s.read()
	}
	return store.Page{Items: []store.Item{put(SecretKey, "secret", 1), put("config", s.config, s.revision)}, Revision: store.NewRevision(0, s.revision)}, nil
}

func (s *scriptedSource) Watch(_ context.Context, _ string, after store.Revision, wait time.Duration) (store.Page, error) {
	items := s.watch(wait)
	page := store.Page{Items: items, Revision: after}
	for _, item := range items {
		page.Revision = store.MaxRevision(page.Revision, item.Revision)
	}
	return page, nil
}

// startDirectory returns a directory that applies updates, and watches and polls only when a test says.
func startDirectory(t *testing.T, cfg Config) *Directory {
	t.Helper()
	cfg.Decoder, cfg.Log, cfg.FirstStart = plainDecoder{}, discardLog(), true
	d := New(cfg, group.New(context.Background()))
	require.NoError(t, d.loop.Start(context.Background()))
	t.Cleanup(func() { _ = d.loop.Stop(context.Background()) })
	return d
}

const suspended = 10 * time.Second

// peerA is the host that is polled.
var peerA = Host{Name: "a", PeerAddress: netip.MustParseAddrPort("10.0.0.1:80")}

// Guards against a view that seems younger than it is, because this host was suspended while it waited
// for the store, or because the store did not hold the watch.
func TestSoundAgeOfResponsesOfTheStore(t *testing.T) {
	pause := time.Sleep
	changes := []store.Item{put("t/x", "", 9)}
	tests := []struct {
		name string
		full bool
		run  func(s *suspension, wait time.Duration) []store.Item
		want time.Duration
		// monotonic is the age by the monotonic clock.
		monotonic time.Duration
	}{
		{name: "empty watch, held", run: func(_ *suspension, wait time.Duration) []store.Item { pause(wait); return nil }},
		{name: "empty watch, held, arrives late", run: func(_ *suspension, wait time.Duration) []store.Item { pause(wait + time.Second); return nil }, want: time.Second, monotonic: time.Second},
		{name: "empty watch that was not held", run: func(*suspension, time.Duration) []store.Item { pause(200 * time.Millisecond); return nil }, want: 200 * time.Millisecond},
		{name: "empty watch, suspended before the response", run: func(s *suspension, _ time.Duration) []store.Item {
			pause(200 * time.Millisecond)
			s.add(suspended)
			return nil
		}, want: suspended + 200*time.Millisecond},
		{name: "empty watch, suspended after the response", run: func(s *suspension, wait time.Duration) []store.Item { pause(wait); s.add(suspended); return nil }, want: suspended},
		{name: "changes", run: func(*suspension, time.Duration) []store.Item { pause(300 * time.Millisecond); return changes }, want: 300 * time.Millisecond, monotonic: 300 * time.Millisecond},
		{name: "changes, suspended", run: func(s *suspension, _ time.Duration) []store.Item {
			pause(300 * time.Millisecond)
			s.add(suspended)
			return changes
		}, want: suspended + 300*time.Millisecond, monotonic: 300 * time.Millisecond},
		{name: "full read, suspended", full: true, run: func(s *suspension, _ time.Duration) []store.Item {
			pause(100 * time.Millisecond)
			s.add(suspended)
			return nil
		}, want: suspended + 100*time.Millisecond, monotonic: 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &suspension{}
				source := &scriptedSource{config: "1", watch: func(wait time.Duration) []store.Item { return tt.run(s, wait) }}
				d := startDirectory(t, Config{Source: source, SinceBoot: s.clock(time.Hour)})
				require.Equal(t, unknownAge, d.SoundAge(), "nothing is known yet")
				w := &watcher{d: d, active: true}
				w.step(t.Context())
				require.Zero(t, d.SoundAge())
				// Until the next call the view grows older than any of the results.
				s.add(time.Minute)
				if tt.full {
					w.reload, source.read = true, func() { tt.run(s, 0) }
				}
				w.step(t.Context())
				require.Equal(t, tt.want, d.SoundAge())
				require.Equal(t, tt.monotonic, d.Age(time.Now()))
				s.add(suspended)
				require.Equal(t, tt.want+suspended, d.SoundAge(), "a suspension afterwards counts")
			})
		})
	}
}

// pollTransport calls the handler of another host directly.
type pollTransport struct {
	to *Directory
	// request and response are called while each of them is in transit.
	request, response func()
	// rewrite changes the body of the response.
	rewrite func(body []byte) []byte
}

func (p *pollTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	p.request()
	w := httptest.NewRecorder()
	p.to.ServeHTTP(w, r)
	p.response()
	res := w.Result()
	if p.rewrite != nil {
		body := p.rewrite(w.Body.Bytes())
		w = httptest.NewRecorder()
		_, _ = w.Write(body)
		res = w.Result()
		res.Header.Set(headerMAC, computeMAC([]byte("secret"), body))
	}
	return res, nil
}

// changesResponseWithoutSoundAge is changesResponse as earlier builds know it.
type changesResponseWithoutSoundAge struct {
	Items    []wireItem     `cbor:"1,keyasint,omitempty"`
	Revision store.Revision `cbor:"2,keyasint"`
	Full     bool           `cbor:"3,keyasint,omitempty"`
	Age      time.Duration  `cbor:"4,keyasint"`
	Held     time.Duration  `cbor:"5,keyasint,omitempty"`
	Origin   string         `cbor:"6,keyasint,omitempty"`
	Newest   []newestEntry  `cbor:"7,keyasint,omitempty"`
}

// Guards against a view that seems younger than it is, because this host or the one that it polls was
// suspended.
func TestSoundAgeOfResponsesOfOtherHosts(t *testing.T) {
	const hold = 500 * time.Millisecond
	tests := []struct {
		name string
		// Each suspension is at one point of the poll.
		before, request, hold, response bool
		// want is the age beyond the true one, which includes hold and the suspensions.
		want time.Duration
	}{
		{name: "no suspension"},
		{name: "the other host before the poll", before: true},
		{name: "this host before the request arrives", request: true, want: suspended},
		{name: "the other host while it holds the poll", hold: true},
		{name: "this host before the response arrives", response: true},
		{name: "at each point", before: true, request: true, hold: true, response: true, want: suspended},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &suspension{}
				suspend := func(now bool) {
					if now {
						s.add(suspended)
					}
				}
				server := startDirectory(t, Config{Self: Host{Name: "a"}, Source: &scriptedSource{config: accountsPrefix + "1"}, SinceBoot: s.clock(time.Hour)})
				(&watcher{d: server, active: true}).step(t.Context())
				complete := s.clock(0)
				read := complete()
				transport := &pollTransport{to: server, request: func() { suspend(tt.request) }, response: func() { suspend(tt.response) }}
				d := startDirectory(t, Config{Self: Host{Name: "b"}, Source: &scriptedSource{config: accountsPrefix + "1"}, SinceBoot: s.clock(7 * time.Hour), PeerTransport: transport})
				(&watcher{d: d, active: true}).step(t.Context())
				// The own read of the client is older than that of the server from here on.
				d.soundAsOf.Store(1)
				suspend(tt.before)
				time.AfterFunc(hold/2, func() { suspend(tt.hold) })
				require.NoError(t, d.pollPeer(t.Context(), peerA, hold))
				require.Equal(t, complete()-read+tt.want, d.SoundAge())
			})
		})
	}
}

// Guards against hosts of different builds that don't understand each other, and against a hold time
// that is added although the other host may have been suspended in it.
func TestSoundAgeOfResponsesOfEarlierBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &suspension{}
		server := startDirectory(t, Config{Self: Host{Name: "a"}, Source: &scriptedSource{config: accountsPrefix + "1"}, SinceBoot: s.clock(time.Hour)})
		(&watcher{d: server, active: true}).step(t.Context())
		time.Sleep(100 * time.Millisecond)
		var sent []byte
		transport := &pollTransport{to: server, request: func() {}, response: func() {}, rewrite: func(body []byte) []byte {
			sent = body
			var earlier changesResponseWithoutSoundAge
			require.NoError(t, cbor.Unmarshal(body, &earlier), "an earlier build must read the response")
			rewritten, err := cbor.Marshal(earlier)
			require.NoError(t, err)
			return rewritten
		}}
		d := startDirectory(t, Config{Self: Host{Name: "b"}, Source: &scriptedSource{config: accountsPrefix + "1"}, SinceBoot: s.clock(7 * time.Hour), PeerTransport: transport})
		(&watcher{d: d, active: true}).step(t.Context())
		d.soundAsOf.Store(1)
		time.AfterFunc(200*time.Millisecond, func() { s.add(suspended) })
		require.NoError(t, d.pollPeer(t.Context(), peerA, 500*time.Millisecond))
		// The poll was sent 100 ms after the read, and held 500 ms. Its end says that the read is 600 ms old.
		require.Equal(t, 500*time.Millisecond+suspended+600*time.Millisecond, d.SoundAge())
		var now changesResponse
		require.NoError(t, cbor.Unmarshal(sent, &now))
		require.NotNil(t, now.SoundAge)
	})
}

// Guards against messages that grow in deployments without client accounts.
func TestResponsesWithoutAccountsCarryNoSoundAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := startDirectory(t, Config{Self: Host{Name: "a"}, Source: &scriptedSource{config: "1"}})
		(&watcher{d: server, active: true}).step(t.Context())
		w := httptest.NewRecorder()
		server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, ChangesPath+"?after=0.0&wait=0s", strings.NewReader("")))
		var fields map[int]any
		require.NoError(t, cbor.Unmarshal(w.Body.Bytes(), &fields))
		require.Contains(t, fields, 4)
		require.NotContains(t, fields, 8)
		require.NotContains(t, fields, 9)
	})
}

// Guards against a key that is used too long: a host whose view has no accounts does not send its sound
// age, so that its age says nothing of a suspension after its last read.
func TestSuspendedHostWithoutAccountsDoesNotRenewTheSoundAgeOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &suspension{}
		server := startDirectory(t, Config{Self: Host{Name: "a"}, Source: &scriptedSource{config: "1"}, SinceBoot: s.clock(time.Hour)})
		(&watcher{d: server, active: true}).step(t.Context())
		time.Sleep(100 * time.Millisecond)
		transport := &pollTransport{to: server, request: func() {}, response: func() {}}
		d := startDirectory(t, Config{Self: Host{Name: "b"}, Source: &scriptedSource{revision: 1, config: accountsPrefix + "1"}, SinceBoot: s.clock(7 * time.Hour), PeerTransport: transport})
		(&watcher{d: d, active: true}).step(t.Context())
		require.NotNil(t, d.Snapshot().Keys)
		s.add(suspended)
		require.NoError(t, d.pollPeer(t.Context(), peerA, 0))
		require.GreaterOrEqual(t, d.SoundAge(), suspended)
	})
}
