package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	uploadBytes = 2 << 20
	// earlyAfter is the part of an upload that an earlyTarget reads before it responds.
	earlyAfter = 200 << 10
	// uploadBlock is the size of the blocks in which a host reads the body of an upload.
	uploadBlock = 4 << 10
)

// earlyTarget is a target that responds to long requests before it has read them.
type earlyTarget struct {
	status string
	// after is what it does after an early response: "reads on", "closes" or "resets".
	after string

	mu  sync.Mutex
	ran map[string]int
}

// start listens and registers the target under an ID.
func (e *earlyTarget) start(t *testing.T, cl *cluster, id string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, id)
		}
	}()
	cl.store.Put("servers/"+id, []byte(fmt.Sprintf(`{"address":%q,"born":1,"info":{"service":"svc","zone":"d","slots":8,"version":"v1"},"status":{"state":"ready","sequence":1,"cold_remaining_ms":0}}`, l.Addr())))
}

func (e *earlyTarget) serve(conn net.Conn, id string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		request := req.Header.Get("X-Request-Id")
		if request == "" {
			// A health check.
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: 0,0,8,100\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		e.mu.Lock()
		e.ran[request]++
		e.mu.Unlock()
		status := "200 OK"
		early := strings.HasPrefix(request, "upload")
		if early {
			status = e.status
			_, _ = io.CopyN(io.Discard, req.Body, earlyAfter)
		} else {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Server-Signature: s\r\nContent-Length: %d\r\n\r\n%s", status, request, len(request), request)
		if !early {
			continue
		}
		switch e.after {
		case "closes":
			return
		case "resets":
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

// upload returns the text of an upload whose body consists of blocks that read like requests.
func upload(id, smuggled string, chunked, expect bool) (header, body []byte) {
	text := "GET /search/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + smuggled + "\r\nX-Fill: "
	block := text + strings.Repeat(".", uploadBlock-len(text)-4) + "\r\n\r\n"
	body = []byte(strings.Repeat(block, uploadBytes/uploadBlock))
	framing := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if chunked {
		framing = "Transfer-Encoding: chunked\r\n"
		body = bytes.Join([][]byte{[]byte(strconv.FormatInt(uploadBytes, 16) + "\r\n"), body, []byte("\r\n0\r\n\r\n")}, nil)
	}
	if expect {
		framing += "Expect: 100-continue\r\n"
	}
	return []byte("POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 4000\r\n" + framing + "\r\n"), body
}

// Guards against the rest of an upload that is read as further requests after a target has responded
// early, and against clients that lose such a response.
func TestUploadThatIsAnsweredEarlyEndsItsConnection(t *testing.T) {
	tests := []struct {
		name    string
		status  string
		after   string
		chunked bool
		expect  bool
		pause   time.Duration
		// own is the status of the response of the host in place of that of the target; 0 for none.
		own int
	}{
		{name: "200", status: "200 OK", after: "reads on"},
		{name: "413", status: "413 Content Too Large", after: "reads on"},
		{name: "500", status: "500 Internal Server Error", after: "reads on"},
		{name: "503", status: "503 Service Unavailable", after: "reads on", own: http.StatusBadGateway},
		{name: "413, in chunks", status: "413 Content Too Large", after: "reads on", chunked: true},
		{name: "200, in chunks", status: "200 OK", after: "reads on", chunked: true},
		{name: "413, expects to continue", status: "413 Content Too Large", after: "reads on", expect: true},
		{name: "413, target closes", status: "413 Content Too Large", after: "closes"},
		{name: "200, target closes", status: "200 OK", after: "closes"},
		{name: "413, target resets", status: "413 Content Too Large", after: "resets"},
		{name: "413, client pauses", status: "413 Content Too Large", after: "reads on", pause: 300 * time.Millisecond},
		{name: "200, client pauses, in chunks", status: "200 OK", after: "reads on", pause: 300 * time.Millisecond, chunked: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl := newCluster(t, 1)
			e := &earlyTarget{status: tt.status, after: tt.after, ran: map[string]int{}}
			e.start(t, cl, "t-early")
			require.Eventually(t, func() bool {
				resp, err := cl.send(t.Context(), cl.hosts[0], "warm", "/search/x")
				return err == nil && resp.status == http.StatusOK
			}, 5*time.Second, 50*time.Millisecond)
			sent := map[string]bool{"warm": true}
			for n := range 8 {
				id, next := fmt.Sprintf("upload-%d", n), fmt.Sprintf("next-%d", n)
				sent[id], sent[next] = true, true
				status, data := tt.status, id
				if tt.own != 0 {
					status, data = strconv.Itoa(tt.own), `{"outcome":"unknown","reason":"`+http.StatusText(tt.own)+`"}`
				}
				requireAnsweredEarly(t, openConn(t, cl.hosts[0]), status, data, next, func(conn net.Conn) {
					header, body := upload(id, fmt.Sprintf("smuggled-%d", n), tt.chunked, tt.expect)
					_, _ = conn.Write(header)
					half := len(body) / 4
					_, _ = conn.Write(body[:half])
					time.Sleep(tt.pause)
					_, _ = conn.Write(body[half:])
				}, tt.after != "reads on")
			}
			time.Sleep(300 * time.Millisecond)
			e.mu.Lock()
			defer e.mu.Unlock()
			for id := range e.ran {
				require.True(t, sent[id], "the target has run %s, which no client sent", id)
			}
		})
	}
}

// requireAnsweredEarly sends an upload and then another request on the same connection, unless the
// response to the upload closes it. The response must have a status and a body; if mayFail is set, it may
// also be a failure of the host.
func requireAnsweredEarly(t *testing.T, conn net.Conn, status, want, next string, send func(net.Conn), mayFail bool) {
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	written := make(chan struct{})
	go func() {
		defer close(written)
		send(conn)
	}()
	r := bufio.NewReader(conn)
	res, err := http.ReadResponse(r, nil)
	for err == nil && res.StatusCode == http.StatusContinue {
		res, err = http.ReadResponse(r, nil)
	}
	require.NoError(t, err)
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	if !mayFail || res.StatusCode < http.StatusInternalServerError {
		require.Equal(t, status[:3], strconv.Itoa(res.StatusCode))
		require.Equal(t, want, string(data))
	}
	if res.Close {
		return
	}
	<-written
	_, err = io.WriteString(conn, lateRequest(next, "/search/x"))
	require.NoError(t, err)
	res, err = http.ReadResponse(r, nil)
	require.NoError(t, err, "the response has not closed the connection")
	data, err = io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, next, string(data))
}

// Guards against connections that are closed although an upload was read to its end.
func TestConnectionIsKeptAfterAnUploadThatWasRead(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			cl := newCluster(t, 1, target("t-0", platformtest.Behaviour{}))
			conn := openConn(t, cl.hosts[0])
			r := bufio.NewReader(conn)
			for n := range 3 {
				header, body := upload(fmt.Sprintf("upload-%d", n), "smuggled", chunked, false)
				_, err := conn.Write(append(header, body...))
				require.NoError(t, err)
				res, err := http.ReadResponse(r, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, res.Body)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, res.StatusCode)
				require.False(t, res.Close)
			}
		})
	}
}
