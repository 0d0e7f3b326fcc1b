package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

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
