package entry

// This file defines how a client's request becomes a journey, or is refused.

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
)

const (
	// bufferBytes is the largest body that is read before it is sent on, so that
	// it can be sent again.
	bufferBytes = 1 << 20
	// answerMargin is the time before the end of a request's time at which its
	// last answer is sent, so that it arrives in time.
	answerMargin = 15 * time.Millisecond
	// defaultTime is the time of a request whose client does not say how long it
	// waits, on a route without a timeout.
	defaultTime = 30 * time.Second
	// notReadyRetry is what clients are told while the host has no configuration.
	notReadyRetry = 300 * time.Millisecond
	// usualShare is the share of its objective that a request is expected to take
	// before one was seen.
	usualShare = 0.4
)

// journey is one client request on its way.
type journey struct {
	h       *Handler
	r       *http.Request
	id      string
	route   *routing.Route
	service routing.Service
	// version is that of the configuration, as of a revision of the store.
	version  uint64
	revision store.Revision
	began    time.Time
	// deadline is the time of the last answer; objective is the time up to which
	// an answer counts in full.
	deadline  time.Time
	objective time.Time
	body      []byte
	// stream is set when the body was not buffered; it can be sent once.
	stream bool

	// avoid lists the targets that failed this request.
	avoid []string
	// sends counts the targets that may have received the request.
	sends int
	// unclear says that a target may have run it.
	unclear bool
	target  string
}

// prepare finds the route and reads the body. A request that cannot be sent is
// refused.
func (h *Handler) prepare(w http.ResponseWriter, r *http.Request, now time.Time) (*journey, *verdict) {
	j := &journey{h: h, r: r, id: h.cfg.Dialect.RequestID(r.Header), began: now, route: &routing.Route{}}
	// Asked first: a view that is replaced in between must not be taken for a fresh one.
	fresh := h.cfg.Fresh(now)
	s := h.cfg.Snapshot()
	if s.Table == nil {
		return j, refuse(http.StatusServiceUnavailable, "no configuration is known yet", notReadyRetry)
	}
	j.version, j.revision = s.Table.Config.Version, s.Revision
	route, ok := s.Table.Match(hostOnly(r.Host), r.URL.Path)
	if !ok {
		if !fresh {
			return j, refuse(http.StatusServiceUnavailable, "no route, but the configuration may be old", notReadyRetry)
		}
		return j, refuse(http.StatusNotFound, "no route", 0)
	}
	j.route = route
	h.mu.Lock()
	u := h.rng.Float64()
	h.mu.Unlock()
	j.service = s.Table.Config.Services[route.Pick(u)]
	j.setTimes(now)
	return j, j.readBody(w, s.Table.Config.Limits.BodyBytes)
}

func (j *journey) setTimes(now time.Time) {
	left, ok := j.h.cfg.Dialect.TimeLeft(j.r.Header)
	if !ok {
		left = defaultTime
	}
	if j.route.Timeout > 0 {
		left = min(left, j.route.Timeout)
	}
	j.deadline = now.Add(left - min(answerMargin, left/4))
	j.objective = now.Add(j.route.Objective)
	if j.route.Objective <= 0 {
		j.objective = j.deadline
	}
}

func (j *journey) readBody(w http.ResponseWriter, limit int64) *verdict {
	r := j.r
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	if limit > 0 {
		if r.ContentLength > limit {
			return refuse(http.StatusRequestEntityTooLarge, "the body is too large", 0)
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	if r.ContentLength > bufferBytes {
		j.stream = true
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(j.deadline)
	data, err := io.ReadAll(io.LimitReader(r.Body, bufferBytes+1))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if err != nil {
		return refuse(http.StatusBadRequest, "the body could not be read: "+err.Error(), 0)
	}
	if len(data) > bufferBytes {
		j.stream = true
		r.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(data), r.Body), r.Body}
		return nil
	}
	j.body = data
	return nil
}

// outgoing returns the request for a target.
func (j *journey) outgoing(target string, left time.Duration) *http.Request {
	out := &http.Request{
		Method: j.r.Method, URL: j.r.URL, Host: j.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: j.r.Header.Clone(), ContentLength: j.r.ContentLength, TransferEncoding: j.r.TransferEncoding, Body: j.r.Body,
	}
	call.StripHopByHop(out.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty value keeps Request.Write from adding its own.
		out.Header.Set("User-Agent", "")
	}
	j.h.cfg.Dialect.Address(out.Header, target, left)
	if !j.stream {
		out.TransferEncoding = nil
		out.ContentLength = int64(len(j.body))
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(j.body)), nil }
		out.Body = http.NoBody
		if len(j.body) > 0 {
			out.Body = io.NopCloser(bytes.NewReader(j.body))
		}
	}
	return out
}

// hostOnly returns the host of a Host header without its port.
func hostOnly(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
