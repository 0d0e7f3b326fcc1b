// Package call defines a call on its way through the balancers: what is known of
// it, what becomes of it, and the headers that carry both between processes.
//
// # Usage
//
//	out := c.NewRequest(ctx)             // request for the next hop
//	c, err := call.FromHop(r)            // at the next balancer
//	answer := call.NotRun("queue is full", time.Second)
package call

// This file defines Call, Answer and Outcome.

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

// The three outcomes that a caller may be told.
const (
	// Ran: a target answered, and its answer is the caller's.
	Ran Outcome = "ran"
	// OutcomeNotRun: the request was not run, and no copy of it will be.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Call is one request of a caller.
type Call struct {
	// ID is unique per request and goes to the target and back.
	ID      string
	Service string
	Pool    string
	Kind    string
	Partner string
	Member  string
	Weight  int
	MayWait bool
	// Idempotent calls may be sent to a target more than once.
	Idempotent bool
	Deadline   time.Time
	// Forwarded says that another dispatcher passed the call on.
	Forwarded bool
	// Avoid names targets that failed this call before.
	Avoid []string

	// Request is the caller's request without hop-by-hop headers.
	Request *http.Request
	// Buffered holds the body when it was read before sending. Otherwise the
	// body is read from Request once.
	Buffered []byte
	// IsBuffered says that Buffered is the whole body.
	IsBuffered bool
	// Stream is the body that was not buffered.
	Stream *Stream

	// Fingerprint identifies the content of the request.
	Fingerprint uint64

	// Keyed calls carry an idempotency key and run at most once under it.
	Keyed   bool
	Key     ledger.Key
	KeyTime time.Time
}

// Stream is a body that is read once, while it is sent on.
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

// Unfinished reports whether the body was not read to its end.
func (s *Stream) Unfinished() bool { return !s.ended.Load() }

// SetStream makes the request's body the stream of the call.
func (c *Call) SetStream() {
	c.Stream = &Stream{ReadCloser: c.Request.Body}
	c.Request.Body = c.Stream
}

// CanSend reports whether the body is still whole for another try.
func (c *Call) CanSend() bool { return c.IsBuffered || c.Stream == nil || !c.Stream.started.Load() }

// Repeatable reports whether the request can be sent a second time.
func (c *Call) Repeatable() bool { return c.Idempotent && c.IsBuffered }

// Answer is what became of a call.
type Answer struct {
	Outcome Outcome
	// Response is the target's answer; nil unless the outcome is Ran. Its body
	// must be closed.
	Response *http.Response
	Reason   string
	// Detail is for the log only: it may name addresses.
	Detail string
	// Status is the HTTP status of a refusal when it is not the usual one.
	Status int
	// RetryAfter tells when to come back after a refusal.
	RetryAfter time.Duration
	// Target names the target that ran the call or may have.
	Target string
	// Domain is the failure domain of the cell that answered.
	Domain string
	// Reports holds what the dispatcher knows of the cells of the pool.
	Reports []route.Report
	// Died says that the target's connection died without an answer.
	Died bool
	// MoveTo is the domain of the cell that the call must be passed on to.
	MoveTo string
	// Failed says that the answer speaks against the target or the dispatcher, so
	// that a repeatable call is better tried elsewhere.
	Failed bool
}

// Summary remembers whether any try of a call may have run.
type Summary struct {
	mayHaveRun bool
	target     string
}

// Add takes in the answer of a try and returns what the caller is told if it was
// the last one: a refusal after a try that may have run is not a not-run.
func (s *Summary) Add(a *Answer) *Answer {
	if a.Outcome == OutcomeNotRun && s.mayHaveRun {
		unknown := Unknown(a.Reason, s.target)
		unknown.RetryAfter, unknown.Detail = a.RetryAfter, a.Detail
		return unknown
	}
	if a.Outcome != OutcomeNotRun {
		s.mayHaveRun, s.target = true, a.Target
	}
	return a
}

// NotRun returns the answer of a refused call.
func NotRun(reason string, retryAfter time.Duration) *Answer {
	return &Answer{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

// Unknown returns the answer of a call that may have run.
func Unknown(reason, target string) *Answer {
	return &Answer{Outcome: OutcomeUnknown, Reason: reason, Target: target, Failed: true}
}

// NewRequest returns the request for the next hop, with a copy of the headers.
func (c *Call) NewRequest(ctx context.Context) *http.Request {
	out := c.Request.Clone(ctx)
	out.RequestURI = ""
	// The values of trailers come at the end of the body, into this very map.
	out.Trailer = c.Request.Trailer
	out.Close = false
	if out.URL.Host == "" {
		out.URL.Host = out.Host
	}
	out.URL.Scheme = "http"
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty value keeps Request.Write from adding its own.
		out.Header.Set("User-Agent", "")
	}
	if c.IsBuffered {
		c.useBuffer(out)
	}
	return out
}

func (c *Call) useBuffer(out *http.Request) {
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

// hopByHop lists the headers that concern one connection only (RFC 9110, section
// 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHopByHop removes the headers that concern one connection, and those that
// the Connection header names.
func StripHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
