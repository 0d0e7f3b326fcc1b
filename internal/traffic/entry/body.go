package entry

// This file defines how the body of a request is read, and what becomes of one that is not read to
// its end.

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
)

const (
	// maxBufferedBody is the largest request body that is buffered before the first
	// attempt, so that it can be sent again.
	maxBufferedBody = 1 << 20
	// bodyPrefix is the part of a longer body that is read before the first attempt, to tell requests
	// that crash targets apart.
	bodyPrefix = 64 << 10
	// maxSkippedBody is the length of an unread body up to which the connection is kept after the
	// response, and skipTime the time that the rest of it may take to arrive.
	maxSkippedBody = 256 << 10
	skipTime       = 250 * time.Millisecond
)

// readBody reads the body, or its beginning if it is too long to be buffered. It returns a response
// if the request can't be sent to a target.
func (req *clientRequest) readBody(w http.ResponseWriter, maxBytes int64) *finalResponse {
	r := req.incoming
	if rejection := req.openLease(); rejection != nil {
		return rejection
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		req.bodyRead = true
		req.lease.SetPhase(resource.Waiting)
		return nil
	}
	if maxBytes > 0 {
		if r.ContentLength > maxBytes {
			return reject(http.StatusRequestEntityTooLarge, "the body is too large", 0)
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
	}
	n := int64(maxBufferedBody + 1)
	if r.ContentLength > maxBufferedBody {
		n = bodyPrefix
	}
	limit := req.limitBodyRead(w)
	req.lease.SetPhase(resource.Body)
	data, err := readGrowing(r.Body, r.ContentLength, n, req.lease.Grow)
	limit.clear()
	if err != nil {
		return req.rejectBody(err)
	}
	req.lease.SetPhase(resource.Waiting)
	if int64(len(data)) == n {
		req.streamed, req.prefixHash = true, xxhash.Sum64(data)
		req.upload = &streamedBody{rest: io.MultiReader(bytes.NewReader(data), &uploadReader{r: r.Body, lease: req.lease}), Closer: r.Body}
		r.Body = req.upload
		return req.openStream()
	}
	req.body, req.bodyRead = data, true
	return nil
}

// streamedBody is a body that is read while it is sent to a target. It is safe for concurrent use, since
// that may go on after the response.
type streamedBody struct {
	io.Closer
	// ended is set when the body was read to its end.
	ended atomic.Bool

	mu sync.Mutex
	// rest includes the beginning that was read before.
	rest io.Reader
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, err := b.rest.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// rejectBody returns the response to a request whose body could not be read. One that has not
// arrived in time is not invalid: the client may send it again.
func (req *clientRequest) rejectBody(err error) *finalResponse {
	if errors.Is(err, resource.ErrShort) || req.lease.Ended() {
		req.bodyLate = true
		return req.rejectForMemory("its body")
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return reject(http.StatusBadRequest, "the body could not be read: "+err.Error(), 0)
	}
	req.bodyLate = true
	if latest, ok := req.latestFirstStart(); ok && !time.Now().Before(latest) {
		return req.rejectForShutdown("its body is not complete")
	}
	return reject(http.StatusRequestTimeout, "its body has not arrived in time", 0)
}

// beforeResponse prepares the connection for a response that may not wait for the rest of the body, and
// reports whether abandonBody must be called. The connection must not be used any more then: the server does
// not know how much of a streamed body was read, and would take the rest for requests.
func (req *clientRequest) beforeResponse(w http.ResponseWriter) (abandon bool) {
	r := req.incoming
	if req.bodyRead || r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 || req.streamed && req.upload.ended.Load() {
		return false
	}
	if !req.streamed && !req.bodyLate && r.ContentLength > 0 && r.ContentLength <= maxSkippedBody {
		// The server skips the rest of a short body before it sends the response.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(skipTime))
		return false
	}
	w.Header().Set("Connection", "close")
	return true
}

// abandonBody ends reading the body after the response, for which the server would wait. Closing the
// connection drops what still arrives.
func (req *clientRequest) abandonBody(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// bodyDeadline is the read deadline of a connection while a request body is read. A shutdown
// brings it forward.
type bodyDeadline struct {
	rc   *http.ResponseController
	stop func() bool

	mu   sync.Mutex
	done bool
}

// limitBodyRead sets the time until which the body of a request may take to arrive.
func (req *clientRequest) limitBodyRead(w http.ResponseWriter) *bodyDeadline {
	b := &bodyDeadline{rc: http.NewResponseController(w)}
	b.set(req.deadline)
	b.stop = context.AfterFunc(req.h.shutdown.begun, func() {
		if latest, ok := req.latestFirstStart(); ok {
			b.set(latest)
		}
	})
	return b
}

func (b *bodyDeadline) set(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.done {
		_ = b.rc.SetReadDeadline(at)
	}
}

// clear ends the limit. Without that it would hold for what the client sends next.
func (b *bodyDeadline) clear() {
	b.stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done = true
	_ = b.rc.SetReadDeadline(time.Time{})
}
