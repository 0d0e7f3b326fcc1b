// Package call defines a client call that passes through balancers, its result, and the
// HTTP headers that carry both between processes.
//
// # Usage
//
//	out := c.NewRequest(ctx)                // request for the next hop
//	c, reports, err := call.FromHop(r, now) // at the next balancer
//	result := call.NotRun("queue is full", time.Second)
package call

// This file defines Call, its result and outcome.

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/traffic/ledger"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

// Outcome says whether a request ran on a target.
type Outcome string

// The outcomes reported to clients.
const (
	// OutcomeRan: a target ran the request, and its response is available.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun: no target ran the request, and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: a target may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Call is one client request.
type Call struct {
	// ID identifies the request uniquely and is sent to the target and the client.
	ID      string
	Service string
	Pool    string
	Kind    string
	Partner string
	Member  string
	// Weight is the cost of the call in the fair queue of a cell.
	Weight int
	// MayWait marks deferrable calls, which yield to all others.
	MayWait bool
	// Idempotent marks calls that may run more than once.
	Idempotent bool
	Deadline   time.Time
	// Redirected marks calls that were redirected from another cell.
	Redirected bool
	// Avoid names the targets that already failed this call.
	Avoid []string

	// Request is the client request without hop-by-hop headers.
	Request *http.Request
	// Buffered holds the body if it was read before sending. Otherwise the body can be
	// read once, from Request.
	Buffered []byte
	// IsBuffered is set if Buffered holds the whole body.
	IsBuffered bool
	// Stream is the body if it is streamed.
	Stream *Stream

	// Fingerprint is a hash of the content of the request.
	Fingerprint uint64

	// Keyed marks calls with an idempotency key; they run at most once per key.
	Keyed   bool
	Key     ledger.Key
	KeyTime time.Time
}

// Stream is a request body that is read once, while it is forwarded.
type Stream struct {
	io.ReadCloser
	started atomic.Bool
	ended   atomic.Bool
}

// Read implements io.Reader.
func (s *Stream) Read(p []byte) (int, error) {
	s.started.Store(true)
	n, err := s.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		s.ended.Store(true)
	}
	return n, err
}

// Unfinished reports whether the body has not been read to its end.
func (s *Stream) Unfinished() bool { return !s.ended.Load() }

// SetStream makes the body of the request the stream of the call.
func (c *Call) SetStream() {
	c.Stream = &Stream{ReadCloser: c.Request.Body}
	c.Request.Body = c.Stream
}

// CanSend reports whether the complete body can still be sent.
func (c *Call) CanSend() bool { return c.IsBuffered || c.Stream == nil || !c.Stream.started.Load() }

// Repeatable reports whether the request may run a second time and can be sent again.
func (c *Call) Repeatable() bool { return c.Idempotent && c.IsBuffered }

// Result is the result of a call or of one attempt.
type Result struct {
	Outcome Outcome
	// Response is the response of the target; nil unless the outcome is OutcomeRan. Its body
	// must be closed.
	Response *http.Response
	Reason   string
	// Detail is for logs only, since it may contain addresses.
	Detail string
	// Status is the HTTP status of a rejection, or 0 for the default one.
	Status int
	// RetryAfter is the time after which the client may retry.
	RetryAfter time.Duration
	// Target names the target that ran, may have run or rejected the call.
	Target string
	// Domain is the failure domain of the cell that produced the result.
	Domain string
	// Reports holds the load reports of cells of the pool, from the dispatching host.
	Reports []route.LoadReport
	// TargetCrashed is set if the connection to the target broke before a response.
	TargetCrashed bool
	// RedirectTo is the failure domain of the cell that the call must be redirected to.
	RedirectTo string
	// Failed is set if the target or the dispatching host failed, so that a repeatable call
	// should be retried elsewhere.
	Failed bool
}

// Summary combines the results of the attempts of a call.
type Summary struct {
	mayHaveRun bool
	target     string
}

// Add adds the result of an attempt and returns the result of the call if that was the
// last attempt. The outcome is not OutcomeNotRun if an earlier attempt may have run.
func (s *Summary) Add(result *Result) *Result {
	if result.Outcome == OutcomeNotRun && s.mayHaveRun {
		unknown := Unknown(result.Reason, s.target)
		unknown.RetryAfter, unknown.Detail = result.RetryAfter, result.Detail
		return unknown
	}
	if result.Outcome != OutcomeNotRun {
		s.mayHaveRun, s.target = true, result.Target
	}
	return result
}

// NotRun returns the result of a call that did not run.
func NotRun(reason string, retryAfter time.Duration) *Result {
	return &Result{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

// Unknown returns the result of a call that may have run.
func Unknown(reason, target string) *Result {
	return &Result{Outcome: OutcomeUnknown, Reason: reason, Target: target, Failed: true}
}

// NewRequest returns the request for the next hop, with a copy of the headers.
func (c *Call) NewRequest(ctx context.Context) *http.Request {
	out := c.Request.Clone(ctx)
	out.RequestURI = ""
	// Trailer values are set in the original map when the body has been read.
	out.Trailer = c.Request.Trailer
	out.Close = false
	if out.URL.Host == "" {
		out.URL.Host = out.Host
	}
	out.URL.Scheme = "http"
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty value keeps Request.Write from adding a default.
		out.Header.Set("User-Agent", "")
	}
	if c.IsBuffered {
		c.setBufferedBody(out)
	}
	return out
}

func (c *Call) setBufferedBody(out *http.Request) {
	if len(c.Buffered) == 0 {
		out.Body, out.GetBody, out.ContentLength = http.NoBody, nil, 0
		out.TransferEncoding = nil
		return
	}
	out.ContentLength = int64(len(c.Buffered))
	out.TransferEncoding = nil
	out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(c.Buffered)), nil }
	out.Body, _ = out.GetBody()
}

// hopByHopHeaders lists the headers that apply to a single connection (RFC 9110, section
// 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHopByHop removes the hop-by-hop headers and those that the Connection header names.
func StripHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
