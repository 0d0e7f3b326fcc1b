package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
)

// Guards against buffers that grow by what a client announces, or beyond what was reserved.
func TestBuffersGrowAsBytesArrive(t *testing.T) {
	const limit = 1 << 20
	tests := []struct {
		name           string
		sent           int
		length, budget int64
		read           int
		err            error
	}{
		{name: "empty", length: 0, read: 0},
		{name: "small", sent: 100, length: 100, read: 100},
		{name: "small, unknown length", sent: 100, length: -1, read: 100},
		{name: "first buffer", sent: firstBuffer, length: firstBuffer, budget: 1, read: firstBuffer},
		{name: "60 kB", sent: 60_000, length: 60_000, budget: 60_001 - firstBuffer, read: 60_000},
		{name: "60 kB, budget short by a byte", sent: 60_000, length: 60_000, budget: 60_000 - firstBuffer, read: 32 << 10, err: resource.ErrShort},
		{name: "announces more than it sends", sent: 5000, length: 1 << 40, budget: firstBuffer, read: 5000},
		{name: "sends more than it announces", sent: 50_000, length: 20_000, budget: limit, read: 50_000},
		{name: "up to the limit", sent: limit, length: limit, budget: limit, read: limit},
		{name: "over the limit", sent: 2 * limit, length: 2 * limit, budget: limit, read: limit},
		{name: "over the limit, unknown length", sent: 2 * limit, length: -1, budget: limit, read: limit},
		{name: "no budget", sent: 10_000, length: 10_000, read: firstBuffer, err: resource.ErrShort},
	}
	for _, tt := range tests {
		for form, wrap := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "in halves": iotest.HalfReader, "with the error": iotest.DataErrReader} {
			t.Run(tt.name+", "+form, func(t *testing.T) {
				reserved := int64(0)
				want := bytes.Repeat([]byte("0123456789"), tt.sent/10+1)[:tt.sent]
				data, err := readGrowing(wrap(bytes.NewReader(want)), tt.length, limit, func(n int64) bool {
					if reserved+n > tt.budget {
						return false
					}
					reserved += n
					return true
				})
				require.ErrorIs(t, err, tt.err)
				require.Equal(t, want[:tt.read], data)
				require.LessOrEqual(t, int64(cap(data)), firstBuffer+reserved)
			})
		}
	}
	broken := errors.New("broken")
	_, err := readGrowing(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)), 10, limit, func(int64) bool { return true })
	require.ErrorIs(t, err, broken)
}

// deadlineWriter records the write deadlines of a response.
type deadlineWriter struct {
	httptest.ResponseRecorder

	deadlines []time.Time
}

func (w *deadlineWriter) SetWriteDeadline(at time.Time) error {
	w.deadlines = append(w.deadlines, at)
	return nil
}

// Guards against clients that stop reading and hold a connection to a target for ever.
func TestStreamedResponsesEndSoonAfterTheirDeadline(t *testing.T) {
	tests := []struct {
		name    string
		left    time.Duration
		allowed time.Duration
	}{
		{name: "deadline near", left: 2 * time.Second, allowed: 2*time.Second + lateStreamTime},
		{name: "deadline far", left: time.Hour, allowed: stalledWriteTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &deadlineWriter{ResponseRecorder: *httptest.NewRecorder()}
			p := &pieceWriter{w: w, rc: http.NewResponseController(w), latest: time.Now().Add(tt.left + lateStreamTime)}
			n, err := p.Write(make([]byte, 3*pieceBytes))
			require.NoError(t, err)
			require.Equal(t, 3*pieceBytes, n)
			require.Len(t, w.deadlines, 3)
			require.LessOrEqual(t, time.Until(w.deadlines[2]), tt.allowed)
			require.Positive(t, time.Until(w.deadlines[2]))
		})
	}
}

// idleDialect is a dialect for requests without headers.
type idleDialect struct{ Dialect }

func (idleDialect) RequestID(http.Header) string                    { return "r-1" }
func (idleDialect) TimeLeft(http.Header) (time.Duration, bool)      { return time.Minute, true }
func (idleDialect) SetRejection(http.Header, string, time.Duration) {}

// abortConn records whether a connection was closed.
type abortConn struct{ aborted atomic.Bool }

func (c *abortConn) Interrupt()    {}
func (c *abortConn) Abort()        { c.aborted.Store(true) }
func (c *abortConn) Queued() int64 { return 0 }

// Guards against connections that count as idle, and are closed for others, while their request waits for
// the first configuration.
func TestConnectionIsNotIdleBeforeTheFirstConfiguration(t *testing.T) {
	var elapsed atomic.Int64
	start := time.Now()
	b := resource.New(resource.Limits{Connections: 1}, resource.Config{
		Now: func() time.Time { return start.Add(time.Duration(elapsed.Load())) }, OnEnd: func(resource.End) {}, OnRefuse: func(string) {},
	})
	c := &abortConn{}
	holder, ok := b.Open(c)
	require.True(t, ok)
	elapsed.Store(int64(time.Minute))
	log, read := logrus.New(), make(chan struct{})
	log.SetOutput(io.Discard)
	h := New(Config{
		Dialect: idleDialect{}, FirstReadEnded: read, Log: logrus.NewEntry(log),
		Fresh: func(time.Time) bool { return false }, Snapshot: func() *directory.Snapshot { return &directory.Snapshot{} },
	}, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil).WithContext(resource.NewContext(t.Context(), holder)))
	}()
	require.Eventually(t, func() bool { return h.InFlight() == 1 }, time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	_, ok = b.Open(&abortConn{})
	require.False(t, ok)
	require.False(t, c.aborted.Load())
	close(read)
	<-done
	elapsed.Store(int64(2 * time.Minute))
	_, ok = b.Open(&abortConn{})
	require.True(t, ok)
	require.True(t, c.aborted.Load(), "it is idle after the response")
}
