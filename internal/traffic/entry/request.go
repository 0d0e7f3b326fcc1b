package entry

// This file defines clientRequest and how it is built from an HTTP request.

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/account/keyring"
	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
)

const (
	// responseMargin is the time before the client's deadline at which the last response is
	// sent, so that it arrives in time.
	responseMargin = 15 * time.Millisecond
	// defaultTimeout is the timeout of a request whose client gives none, on a route without
	// a timeout.
	defaultTimeout = 30 * time.Second
	// notReadyRetryAfter is the Retry-After while the host has no configuration.
	notReadyRetryAfter = 300 * time.Millisecond
	// maxFirstReadWait bounds the wait of a request for the first configuration, and
	// firstReadDivisor the part of its time that it may wait.
	maxFirstReadWait = 600 * time.Millisecond
	firstReadDivisor = 3
	// initialTypicalShare is the initial typical service time of a route, as a share of its
	// objective.
	initialTypicalShare = 0.4
)

// clientRequest is a client request in flight.
type clientRequest struct {
	h        *Handler
	incoming *http.Request
	id       string
	route    *routing.Route
	// account is the client account of the key; nil for none. keys is the index in which it was
	// found; nil if the configuration has no accounts.
	account *routing.Account
	keys    *keyring.Keyring
	service routing.Service
	// version is the version of the configuration, and revision the store revision of
	// the snapshot that holds it.
	version  uint64
	revision store.Revision
	started  time.Time
	// deadline is the time by which the final response is sent; objective is the time
	// by which it should be sent, counted from the client's first attempt.
	deadline  time.Time
	objective time.Time
	// returned is set if the client was refused before and has come back.
	returned bool
	body     []byte
	// streamed is set when the body was not buffered, and upload is that body. The request can then be
	// sent only once, and prefixHash is the hash of what was read of the body before.
	streamed   bool
	upload     *streamedBody
	prefixHash uint64
	// bodyRead is set when the body was read to its end, and bodyLate when it has not arrived in time.
	bodyRead, bodyLate bool

	// avoid lists the targets whose attempts failed.
	avoid []string
	// attempts counts the attempts that may have reached a target.
	attempts int
	// mayHaveRun is set when a target may have run the request.
	mayHaveRun bool
	target     string
	// lease is what the request holds of the budget for clients; nil without one.
	lease *resource.Lease
}

// prepare finds the route and reads the body. It returns a response if the request can't be
// sent to a target.
func (h *Handler) prepare(w http.ResponseWriter, r *http.Request, now time.Time) (*clientRequest, *finalResponse) {
	req := &clientRequest{h: h, incoming: r, id: h.cfg.Dialect.RequestID(r.Header), started: now, route: &routing.Route{}, deadline: now.Add(h.timeLeft(r))}
	h.awaitFirstRead(r)
	// Fresh is called before Snapshot: if the snapshot is replaced in between, an outdated
	// one must not be taken for an up-to-date one.
	fresh := h.cfg.Fresh(time.Now())
	s := h.cfg.Snapshot()
	if s.Table == nil {
		return req, reject(http.StatusServiceUnavailable, "no configuration is known yet", notReadyRetryAfter)
	}
	req.version, req.revision = s.Table.Config.Version, s.Revision
	route, ambiguous := s.Table.MatchTarget(r.Host, r.RequestURI)
	if ambiguous {
		return req, reject(http.StatusBadRequest, "the path is equivalent to one of another route", 0)
	}
	if route == nil {
		if !fresh {
			return req, reject(http.StatusServiceUnavailable, "no route, but the configuration may be old", notReadyRetryAfter)
		}
		if s.Table.Config.MissesRoutes {
			return req, reject(http.StatusServiceUnavailable, "no route, but one of the configuration cannot be read", 0)
		}
		return req, reject(http.StatusNotFound, "no route", 0)
	}
	if route.Unusable {
		return req, reject(http.StatusServiceUnavailable, "the route cannot be applied as it is configured", 0)
	}
	if !keepsPath(r) {
		return req, reject(http.StatusBadRequest, "the path contains bytes that a URL must not contain", 0)
	}
	req.route = route
	if rejection := req.authenticate(s); rejection != nil {
		return req, rejection
	}
	h.mu.Lock()
	u := h.rng.Float64()
	h.mu.Unlock()
	req.service = s.Table.Config.Services[route.Pick(u)]
	if req.service.Unusable {
		return req, reject(http.StatusServiceUnavailable, "the service cannot be applied as it is configured", 0)
	}
	req.setDeadlines(now)
	return req, req.readBody(w, s.Table.Config.Limits.BodyBytes)
}

// awaitFirstRead holds a request that arrives while a process that has just started reads the
// configuration, which takes less time than a rejected client needs to come back. It returns at once
// if the read has failed, and early enough for the client to try another host.
func (h *Handler) awaitFirstRead(r *http.Request) {
	if h.cfg.FirstReadEnded == nil {
		return
	}
	select {
	case <-h.cfg.FirstReadEnded:
		return
	default:
	}
	timer := time.NewTimer(min(maxFirstReadWait, h.timeLeft(r)/firstReadDivisor))
	defer timer.Stop()
	select {
	case <-h.cfg.FirstReadEnded:
	case <-timer.C:
	case <-h.shutdown.begun.Done():
	case <-r.Context().Done():
	}
}

// timeLeft returns how long the client of a request waits.
func (h *Handler) timeLeft(r *http.Request) time.Duration {
	if left, ok := h.cfg.Dialect.TimeLeft(r.Header); ok {
		return left
	}
	return defaultTimeout
}

func (req *clientRequest) setDeadlines(now time.Time) {
	left, ok := req.h.cfg.Dialect.TimeLeft(req.incoming.Header)
	spent := time.Duration(0)
	if ok {
		spent = req.h.timeSpent(req.route.Name, left)
	} else {
		left = defaultTimeout
	}
	if req.route.Timeout > 0 {
		left = min(left, req.route.Timeout)
	}
	req.returned = spent > 0
	req.deadline = now.Add(left - min(responseMargin, left/4))
	req.objective = now.Add(req.route.Objective - spent)
	if req.route.Objective <= 0 {
		req.objective = req.deadline
	}
}

// targetRequest returns the request to send to a target.
func (req *clientRequest) targetRequest(target string, left time.Duration) *http.Request {
	out := &http.Request{
		Method: req.incoming.Method, URL: targetURL(req.incoming), Host: req.incoming.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: req.incoming.Header.Clone(), ContentLength: req.incoming.ContentLength, TransferEncoding: req.incoming.TransferEncoding, Body: req.incoming.Body,
	}
	call.StripHopByHop(out.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty value keeps Request.Write from adding its own.
		out.Header.Set("User-Agent", "")
	}
	req.h.cfg.Dialect.SetTarget(out.Header, target, left)
	if !req.streamed {
		out.TransferEncoding = nil
		out.ContentLength = int64(len(req.body))
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(req.body)), nil }
		out.Body = http.NoBody
		if len(req.body) > 0 {
			out.Body = io.NopCloser(bytes.NewReader(req.body))
		}
	}
	return out
}

// targetURL returns a URL that is written as the client wrote the path and the query. A URL with a
// path would be encoded anew if that contains bytes which a URL must not contain.
func targetURL(r *http.Request) *url.URL {
	if isOriginForm(r.RequestURI) && !startsWithTwoSlashes(r.RequestURI) {
		return &url.URL{Opaque: r.RequestURI}
	}
	return r.URL
}

// keepsPath reports whether the path and the query of a request can be passed on unchanged.
func keepsPath(r *http.Request) bool {
	return !startsWithTwoSlashes(r.RequestURI) || r.URL.RequestURI() == r.RequestURI
}

func isOriginForm(uri string) bool { return strings.HasPrefix(uri, "/") }

// startsWithTwoSlashes reports whether url.URL would take a path for a host.
func startsWithTwoSlashes(uri string) bool { return strings.HasPrefix(uri, "//") }
