package relay

// This file defines RoundTrip, which exchanges one request and its response over a
// connection.

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options are the options of a round trip.
type Options struct {
	// Idempotent allows a connection that has been idle for longer than
	// Config.MaxNonIdempotentIdle.
	Idempotent bool
	// Informational is called for each 1xx response except 100 Continue. It may be nil.
	Informational func(status int, header http.Header)
	// Connected is called with the connection before the request is sent. It may be nil.
	Connected func(nc net.Conn)
	// BeforeSend is called directly before the request is written, and may change its header. If it
	// returns an error, the request is not sent. It may be nil.
	BeforeSend func() error
	// MaySend is called when there is a connection, directly before the request is sent. If it returns
	// an error, the request is not sent. It may be nil.
	MaySend func() error
	// Dial opens the connection for this request only; nil for one of the pool.
	Dial func(ctx context.Context) (net.Conn, error)
	// NewConnection requires a connection that has carried no request before, and IdleOnly one
	// that is open and idle.
	NewConnection, IdleOnly bool
	// AllowCloseDelimited accepts a close-delimited response: one without a length, whose
	// body ends with the connection.
	AllowCloseDelimited bool
	// MatchesRequest reports whether a response belongs to the request. Others, such as a
	// second response to an earlier request, are discarded. It may be nil.
	MatchesRequest func(header http.Header) bool
}

const (
	// maxMismatched bounds the mismatched responses that are discarded for one request, and
	// maxDiscardedBytes the body of each.
	maxMismatched     = 2
	maxDiscardedBytes = 64 << 10
	// maxInformational bounds the informational responses to one request, and maxInformationalBytes
	// their length together. The context of the request bounds their time.
	maxInformational      = 16
	maxInformationalBytes = 32 << 10
)

// discardResponse reads a mismatched response to its end. It returns
// ErrMismatchedResponse if there were too many or the connection closes after this one.
func (x *exchange) discardResponse(res *http.Response) error {
	x.mismatched++
	if x.mismatched > maxMismatched || res.Close {
		return ErrMismatchedResponse
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscardedBytes))
	if n == maxDiscardedBytes {
		return ErrMismatchedResponse
	}
	return err
}

// exchange is a round trip in progress.
type exchange struct {
	pool      *Pool
	c         *conn
	req       *http.Request
	stopWatch func() bool
	// writeDone is closed when the request is completely written or the write has failed.
	writeDone chan struct{}
	writeErr  error
	once      sync.Once
	// mismatched counts the discarded responses.
	mismatched int
	// complete is set when the response was read to its end.
	complete bool
	// closeDelimited allows the body of the response to end with the connection.
	closeDelimited bool
}

// RoundTrip sends the request and returns the response once its header has been read. The
// body of the response must be closed; if it was not read to its end, the connection is
// closed too. The error is an *Error.
func (p *Pool) RoundTrip(ctx context.Context, req *http.Request, o Options) (*http.Response, error) {
	c, err := p.get(ctx, o)
	if err != nil {
		return nil, &Error{Address: p.address, Cause: err}
	}
	if o.MaySend != nil {
		if err := o.MaySend(); err != nil {
			p.discard(c)
			return nil, &Error{Address: p.address, Cause: err}
		}
	}
	if o.Connected != nil {
		o.Connected(c.nc)
	}
	if o.BeforeSend != nil {
		if err := o.BeforeSend(); err != nil {
			p.discard(c)
			return nil, &Error{Address: p.address, Reused: c.reused, Cause: err}
		}
	}
	c.attachBuffers()
	x := &exchange{pool: p, c: c, req: req, writeDone: make(chan struct{}), closeDelimited: o.AllowCloseDelimited}
	before := c.written.n.Load()
	x.watchContext(ctx)
	x.startWrite()
	res, err := x.receive(o)
	if err == nil {
		return res, nil
	}
	x.release(false)
	if writeErr := x.writeError(); writeErr != nil {
		err = writeErr
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if cause := context.Cause(ctx); cause != nil {
		err = errors.Wrap(cause, err.Error())
	}
	return nil, &Error{Address: p.address, Sent: c.written.n.Load() > before, Reused: c.reused, Cause: err}
}

// watchContext applies the deadline and the cancellation of ctx to the connection.
func (x *exchange) watchContext(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	_ = x.c.nc.SetDeadline(deadline)
	x.stopWatch = context.AfterFunc(ctx, func() { _ = x.c.nc.SetDeadline(aLongTimeAgo) })
}

// aLongTimeAgo is a deadline that makes every pending read and write fail.
var aLongTimeAgo = time.Unix(1, 0)

// startWrite writes the request. A large or streamed body is written in the background,
// since the response may arrive before the end of the body.
func (x *exchange) startWrite() {
	if x.req.Body == nil || x.req.Body == http.NoBody || x.hasInlineBody() {
		x.write()
		return
	}
	x.pool.g.Go("relay body", func(context.Context) error {
		x.write()
		return nil
	})
}

// hasInlineBody reports whether the body is in memory and small enough to write inline.
func (x *exchange) hasInlineBody() bool {
	return x.req.GetBody != nil && x.req.ContentLength <= maxInlineBody
}

// maxInlineBody is the size of the largest body that is written before the response is
// read. It fits the buffers of a socket.
const maxInlineBody = 32 << 10

// write writes the complete request. If that fails, for instance because the caller's body
// cannot be read, the deadline of the connection is set to the past, so that the exchange
// fails and the connection is closed: the peer must not take a partial body for a complete
// one.
func (x *exchange) write() {
	defer close(x.writeDone)
	err := x.req.Write(x.c.bw)
	if err == nil {
		err = x.c.bw.Flush()
	}
	if err != nil {
		x.writeErr = err
		_ = x.c.nc.SetDeadline(aLongTimeAgo)
	}
}

// readHeader reads the header of a response and returns its length.
func (x *exchange) readHeader() (*http.Response, int, error) {
	size, err := x.c.checkHeader()
	if err != nil {
		return nil, 0, err
	}
	res, err := http.ReadResponse(x.c.br, x.req)
	return res, size, err
}

// receive returns the final response to the request.
func (x *exchange) receive(o Options) (*http.Response, error) {
	for informational, informationalBytes := 0, 0; ; {
		res, size, err := x.readHeader()
		if err != nil {
			return nil, err
		}
		switch {
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrUnexpectedUpgrade
		case res.StatusCode < http.StatusOK:
			informational++
			informationalBytes += size
			if informational > maxInformational || informationalBytes > maxInformationalBytes {
				return nil, ErrTooManyInformational
			}
			if o.Informational != nil && res.StatusCode != http.StatusContinue {
				o.Informational(res.StatusCode, res.Header)
			}
		case o.MatchesRequest == nil || o.MatchesRequest(res.Header):
			return x.attachBody(res)
		default:
			if err := x.discardResponse(res); err != nil {
				return nil, err
			}
		}
	}
}

// attachBody checks that the end of the response can be recognized and ties the
// connection to the body.
func (x *exchange) attachBody(res *http.Response) (*http.Response, error) {
	x.c.readIdleTimeout(res.Header)
	if res.Body == http.NoBody {
		x.complete = true
		x.release(!res.Close && !x.c.mayHaveHiddenBody(res))
		return res, nil
	}
	if res.ContentLength < 0 && !isChunked(res) && !x.closeDelimited {
		return nil, ErrAmbiguousFraming
	}
	res.Body = &responseBody{x: x, res: res, body: res.Body}
	return res, nil
}

// mayHaveHiddenBody reports whether the header of a response without a body announces one. A faulty
// target may send it, and it must not be taken for the response to the next request. A 304 may give the
// length that a 200 would have: its connection is closed only if more bytes have arrived, which release
// and the check before the next request find. The latter needs a socket.
func (c *conn) mayHaveHiddenBody(res *http.Response) bool {
	length := res.Header.Get("Content-Length")
	hasLength := length != "" && length != "0"
	switch res.StatusCode {
	case http.StatusNoContent:
		return isChunked(res) || hasLength
	case http.StatusNotModified:
		return isChunked(res) || hasLength && c.raw == nil
	}
	return false
}

func isChunked(res *http.Response) bool {
	return len(res.TransferEncoding) == 1 && res.TransferEncoding[0] == "chunked"
}

// release returns the connection to the pool or closes it, once. The connection is reused
// only if the response was read to its end, the request was completely written and
// nothing else was received.
func (x *exchange) release(clean bool) {
	x.once.Do(func() {
		notCancelled := x.stopWatch()
		if clean && notCancelled && x.requestWritten() && x.mismatched == 0 && x.c.br.Buffered() == 0 {
			_ = x.c.nc.SetDeadline(time.Time{})
			x.c.releaseBuffers()
			x.pool.put(x.c)
			return
		}
		if !x.complete {
			x.c.abort()
		}
		x.pool.discard(x.c)
	})
}

func (x *exchange) requestWritten() bool {
	select {
	case <-x.writeDone:
		return x.writeErr == nil
	default:
		return false
	}
}

// writeError returns the error of a finished write. It does not wait for a write in
// progress.
func (x *exchange) writeError() error {
	select {
	case <-x.writeDone:
		return x.writeErr
	default:
		return nil
	}
}

// responseBody is the body of a response. It releases the connection at its end.
type responseBody struct {
	x    *exchange
	res  *http.Response
	body io.ReadCloser
}

// Read implements io.Reader. A truncated body ends with an error other than io.EOF.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		b.x.complete = true
		b.x.release(!b.res.Close)
		return n, err
	}
	if err != nil {
		b.x.release(false)
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.x.release(false)
	return nil
}
