package entry

// This file defines how requests and responses reserve memory of the budget for clients.

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
)

const (
	// requestBytes is the fixed cost of a request that is handled: the buffers of the connection to the
	// target, headers, stacks, and the first firstBuffer bytes of a body and of a response.
	requestBytes = 40 << 10
	firstBuffer  = 4 << 10
	// streamBytes is the cost of a response or body that is streamed, besides the buffer of the socket:
	// the buffers of both connections and the one between them.
	streamBytes = 64 << 10
	// maxCopyBytes is the largest piece that is copied at a time of a response that is streamed.
	maxCopyBytes = 32 << 10
	// memoryRetryAfter is the Retry-After of a request that is refused because the budget for clients is
	// short. Connections that hold most are ended within a few hundred milliseconds.
	memoryRetryAfter = 500 * time.Millisecond
	// stalledWriteTime is the time within which a client must take pieceBytes of a response. Without it,
	// a client that stops reading would hold a connection to a target for ever.
	stalledWriteTime = time.Minute
	pieceBytes       = 64 << 10
	// lateStreamTime is the time after the deadline of a request in which the client must take what was
	// read of a streamed response. The rest is not read from the target after the deadline, but a host that
	// waits for the client does not notice that, and would hold the slot of the target.
	lateStreamTime = 5 * time.Second
)

// openLease reserves the fixed cost of a request.
func (req *clientRequest) openLease() *finalResponse {
	lease, ok := resource.NewLease(resource.FromContext(req.incoming.Context()), requestBytes)
	if !ok {
		return req.rejectForMemory("the request")
	}
	req.lease = lease
	return nil
}

// rejectForMemory returns the response to a request that was sent to no target, because the budget for
// clients is short or its connection holds most of it. It returns what the request has reserved.
func (req *clientRequest) rejectForMemory(what string) *finalResponse {
	req.lease.End()
	return reject(http.StatusServiceUnavailable, "no memory is left for "+what, memoryRetryAfter)
}

// readGrowing reads r to its end, or limit bytes of it. The buffer grows as bytes arrive, up to length if
// that is known, which is negative if not; grow reserves each growth. If it can't, what was read is
// returned with resource.ErrShort.
func readGrowing(r io.Reader, length, limit int64, grow func(n int64) bool) ([]byte, error) {
	largest := limit
	if length >= 0 {
		// The additional byte finds the end without another growth.
		largest = min(limit, length+1)
	}
	data := make([]byte, 0, min(firstBuffer, largest))
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) == limit || errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		case len(data) < cap(data):
			continue
		case int64(cap(data)) >= largest:
			largest = limit
		}
		size := min(2*int64(cap(data)), largest)
		if !grow(size - int64(cap(data))) {
			return data, resource.ErrShort
		}
		larger := make([]byte, len(data), size)
		copy(larger, data)
		data = larger
	}
}

// openStream reserves the cost of a body that is streamed to a target.
func (req *clientRequest) openStream() *finalResponse {
	if !req.lease.Grow(streamBytes + req.h.cfg.SocketBytes) {
		return req.rejectForMemory("its stream")
	}
	return nil
}

// uploadReader reads a body that is streamed. The connection is in the phase Upload while the host waits
// for bytes of the client.
type uploadReader struct {
	r     io.Reader
	lease *resource.Lease
}

// Read implements io.Reader.
func (u *uploadReader) Read(p []byte) (int, error) {
	u.lease.SetPhase(resource.Upload)
	defer u.lease.SetPhase(resource.Waiting)
	return u.r.Read(p)
}

// readBuffered reads the body of a response, or its beginning if it exceeds maxBufferedResponse or the
// budget for clients is short. more is set if the rest must be streamed. A short budget is no error then,
// since the request has run: the buffer of the beginning is used for the copy. The error is
// resource.ErrShort if the connection was ended or the request is over.
func (req *clientRequest) readBuffered(res *http.Response) (body []byte, more bool, err error) {
	body, err = readGrowing(res.Body, res.ContentLength, maxBufferedResponse+1, req.lease.NewResponse())
	short := errors.Is(err, resource.ErrShort)
	if more = short || err == nil && len(body) > maxBufferedResponse; !more {
		return body, false, err
	}
	if !short {
		short = !req.lease.Grow(streamBytes + req.h.cfg.SocketBytes)
	}
	if short && req.lease.Over() {
		return body, false, resource.ErrShort
	}
	return body, true, nil
}

// pieceWriter writes a response to a client that must not stop reading. The size of a piece keeps clients
// apart that read slowly and those that have stopped.
type pieceWriter struct {
	w     io.Writer
	rc    *http.ResponseController
	lease *resource.Lease
	// latest is the time by which all of the response must be written; zero for no limit.
	latest time.Time
}

// bodyWriter returns the writer for the body of a response. done must be called after the last write.
// Without a budget and for a response of one piece there is no time limit.
func (req *clientRequest) bodyWriter(w http.ResponseWriter, r attempt) (to io.Writer, done func()) {
	if req.lease == nil || r.unread == nil && len(r.body) <= pieceBytes {
		return w, func() {}
	}
	rc := http.NewResponseController(w)
	p := &pieceWriter{w: w, rc: rc, lease: req.lease}
	if r.unread != nil {
		p.latest = req.deadline.Add(lateStreamTime)
	}
	return p, func() { _ = rc.SetWriteDeadline(time.Time{}) }
}

// Write implements io.Writer.
func (p *pieceWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		deadline := time.Now().Add(stalledWriteTime)
		if !p.latest.IsZero() && p.latest.Before(deadline) {
			deadline = p.latest
		}
		if err := p.rc.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		p.lease.SetPhase(resource.Response)
		n, err := p.w.Write(data[written:min(len(data), written+pieceBytes)])
		p.lease.SetPhase(resource.Waiting)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// endLease returns what the request has reserved. The connection is idle again.
func (req *clientRequest) endLease() { req.lease.End() }
