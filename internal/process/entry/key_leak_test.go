package entry_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// eavesdropper is a registered host that only records what others send to it.
type eavesdropper struct {
	mu       sync.Mutex
	received []byte
}

func (e *eavesdropper) record(data []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, data...)
}

func (e *eavesdropper) all() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return bytes.Clone(e.received)
}

// eavesdrop registers an eavesdropper under so many names that one of them should dispatch the requests.
func (cl *cluster) eavesdrop() *eavesdropper {
	cl.t.Helper()
	e := &eavesdropper{}
	address := netip.AddrPortFrom(freeAddress(), 7200)
	conn, err := net.ListenPacket("udp", address.String())
	require.NoError(cl.t, err)
	cl.t.Cleanup(func() { _ = conn.Close() })
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			e.record(buffer[:n])
		}
	}()
	listener, err := net.Listen("tcp", address.String())
	require.NoError(cl.t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.record(fmt.Appendf(nil, "%s %s %v", r.Method, r.URL, r.Header))
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	cl.t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	for n := range 12 {
		name := fmt.Sprintf("eavesdropper-%d", n)
		cl.store.Put("fleet/hosts/"+name, fmt.Appendf(nil, `{"name":%q,"domain":"d","peers":%q,"incarnation":"x"}`, name, address))
	}
	return e
}

// Guards against keys in what a process writes or sends: logs at the lowest level, metrics, responses,
// messages to other hosts and keys of the store. Only the configuration holds them.
func TestKeysAppearInNoOutput(t *testing.T) {
	// All keys contain secret. One is a number, which errors of the JSON decoder would quote.
	const secret, number = "7731905526", "77319055261234567890"
	key := func(name string) string { return "k-" + secret + "-" + name }
	cl := newCluster(t, 2, target("t-1", platformtest.Behaviour{ServiceTime: 5 * time.Millisecond}), target("t-2", platformtest.Behaviour{Fail: true}))
	e := cl.eavesdrop()
	good := platformtest.Account{Name: "alder", Keys: []string{key("good"), key("second")}, PerSecond: 1000, Burst: 1000}
	gone := platformtest.Account{Name: "birch", Keys: []string{key("gone")}}
	cl.configureAccounts(good, gone)
	var output bytes.Buffer
	send := func(n int, path, body string, header http.Header) {
		for i, h := range cl.hosts {
			resp := cl.sendWith(h, fmt.Sprintf("r-%d-%d", n, i), path, body, header)
			_, _ = fmt.Fprintf(&output, "%d %s %v\n", resp.status, resp.body, resp.header)
		}
	}
	requests := func(round int) {
		for n, header := range []http.Header{credential(key("good")), credential(key("gone")), credential(key("unknown")), credential(key("good"), key("second")), {"X-Credential": {key("good")}, "X-Tenant": {key("tenant")}}, credential(secret + strings.Repeat("x", 300))} {
			for m, path := range []string{"/search/x", "/book/x", "/open/x", "/other/x"} {
				body := ""
				if path == "/book/x" {
					body = "two nights"
				}
				send(round*100+n*10+m, path, body, header)
			}
		}
	}
	requests(0)
	valid := string(platformtest.ConfigWithAccounts(1000, nil, []platformtest.Account{good, gone}))
	// Each of these is logged, as one that cannot be read or in part, or as one that is in force.
	lines := regexp.MustCompile("configuration cannot be read|part of the configuration cannot be applied|configuration is in force")
	for n, odd := range []string{
		valid[:strings.Index(valid, secret)+4],
		strings.Replace(valid, key("gone"), key("good"), 1),
		strings.Replace(valid, key("gone"), secret+strings.Repeat("x", 300), 1),
		strings.Replace(valid, key("gone"), secret+`\u0007`, 1),
		strings.Replace(valid, `"`+key("gone")+`"`, number, 1),
		strings.Replace(valid, `["`+key("gone")+`"]`, `"`+key("gone")+`"`, 1),
		strings.Replace(valid, `"rate_per_s":1000`, `"rate_per_s":"`+key("good")+`"`, 1),
		strings.Replace(valid, `"rate_per_s":1000`, `"rate_per_s":-`+number, 1),
		strings.Replace(valid, `"version":1000`, `"version":-`+number, 1),
	} {
		require.NotEqual(t, valid, odd)
		odd = strings.Replace(odd, `"version":1000`, fmt.Sprintf(`"version":%d`, 1000+n), 1)
		before := len(lines.FindAllString(cl.hosts[0].log.String(), -1))
		cl.store.Put("op/config", []byte(odd))
		require.Eventually(t, func() bool {
			return len(lines.FindAllString(cl.hosts[0].log.String(), -1)) > before
		}, 3*time.Second, 10*time.Millisecond, odd)
	}
	cl.version = 2000
	cl.configureAccounts(good)
	cl.store.SetFaults(platformtest.Faults{Down: true})
	requests(1)
	time.Sleep(2500 * time.Millisecond)
	requests(2)
	cl.store.SetFaults(platformtest.Faults{})

	for _, h := range cl.hosts {
		output.WriteString(h.log.String())
		output.Write(cl.metrics(h, "/metrics"))
		output.Write(cl.metrics(h, "/burn"))
	}
	received := e.all()
	require.Contains(t, string(received), "alder", "the eavesdropper must get requests for a target")
	output.Write(received)
	page, err := platform.NewClient(cl.store.Address(), nil).Range(t.Context(), "")
	require.NoError(t, err)
	for _, item := range page.Items {
		output.WriteString(item.Key + "\n")
		if item.Key != "op/config" {
			output.Write(item.Value)
		}
	}
	for line := range strings.Lines(output.String()) {
		require.NotContains(t, line, secret)
	}
}
