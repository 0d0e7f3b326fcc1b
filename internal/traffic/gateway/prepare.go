package gateway

// This file defines how a client request becomes a call or is rejected.

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ledger"
)

// rejection is the response to a request that is rejected before any attempt.
type rejection struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// prepare turns a request into a call, or returns a rejection.
func (g *Gateway) prepare(s *controller.Snapshot, w http.ResponseWriter, r *http.Request, now time.Time) (*call.Call, catalog.Service, *rejection) {
	c := &call.Call{ID: uuid.NewString(), Request: r}
	if !s.Ready && !s.Draining {
		return c, catalog.Service{}, &rejection{http.StatusServiceUnavailable, s.NotReadyReason, unavailableRetryAfter}
	}
	service, ok := s.ServiceOf(routing.HostName(r.Host))
	if !ok {
		return c, service, &rejection{http.StatusNotFound, "no service has this host name", 0}
	}
	path := routing.WrittenPath(r.RequestURI)
	kind, ok := service.KindOf(r.Method, path)
	if other, _ := service.KindOf(r.Method, routing.NormalPath(path)); other != kind {
		return c, service, &rejection{http.StatusBadRequest, "the path is equivalent to one of another kind of request", 0}
	}
	if !ok {
		return c, service, &rejection{http.StatusNotFound, "the service has no such kind of request", 0}
	}
	if r.ContentLength > g.cfg.Limits.MaxBodyBytes {
		return c, service, &rejection{http.StatusRequestEntityTooLarge, "the body is too large", 0}
	}
	member := r.Header.Get(call.HeaderMember)
	idempotencyKey := r.Header.Get(headerIdempotencyKey)
	timeout := requestTimeout(r, kind.Deadline.Std())
	call.StripHopByHop(r.Header)
	call.StripInternal(r.Header)
	*c = call.Call{
		ID: c.ID, Service: service.Name, Pool: service.Pool, Kind: kind.Name, Partner: string(service.Partner),
		Member: member, Weight: kind.Weight, MayWait: kind.MayWait, Idempotent: kind.Idempotent,
		Deadline: now.Add(timeout), Request: r,
	}
	_ = http.NewResponseController(w).SetReadDeadline(c.Deadline)
	err := g.bufferBody(w, c)
	if err != nil {
		return c, service, &rejection{http.StatusBadRequest, "the body could not be read", 0}
	}
	if !kind.Idempotent && idempotencyKey != "" {
		if c.Key, c.KeyTime, err = ledger.ParseKey(service.Name, idempotencyKey); err != nil {
			return c, service, &rejection{http.StatusBadRequest, err.Error(), 0}
		}
		c.Keyed = true
	}
	return c, service, nil
}

// requestTimeout returns the timeout of the kind, or a shorter one that the client
// requests.
func requestTimeout(r *http.Request, kind time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(call.HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return kind
	}
	return min(kind, time.Duration(ms)*time.Millisecond)
}

// bufferBody reads a small body completely before the call is sent, so that a request
// whose client fails while sending never reaches a target. Large bodies and those of
// unknown length are streamed.
func (g *Gateway) bufferBody(w http.ResponseWriter, c *call.Call) error {
	r := c.Request
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		c.IsBuffered = true
		return nil
	}
	r.Body = http.MaxBytesReader(w, r.Body, g.cfg.Limits.MaxBodyBytes)
	if r.ContentLength < 0 || r.ContentLength > g.cfg.Limits.BufferBytes {
		c.SetStream()
		return nil
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return err
	}
	c.Buffered, c.IsBuffered = body, true
	return nil
}
