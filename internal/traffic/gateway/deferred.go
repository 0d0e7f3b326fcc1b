package gateway

// This file defines deferrable requests, which are accepted as jobs and run later.

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/job"
)

// Jobs accepts jobs into the store of the platform.
type Jobs interface {
	Accept(ctx context.Context, j job.Job) error
}

const (
	// outcomeAccepted is the outcome of a request that is stored as a job.
	outcomeAccepted call.Outcome = "accepted"
	// deferredRetryAfter is the retry-after time while the store accepts no jobs.
	deferredRetryAfter = 10 * time.Second
	// acceptTimeout limits the time to write a job into the store.
	acceptTimeout = 5 * time.Second
)

// prefersAsync reports whether the client prefers an asynchronous response (RFC 7240,
// section 4.1).
func prefersAsync(r *http.Request) bool {
	for _, value := range r.Header.Values("Prefer") {
		if strings.Contains(value, "respond-async") {
			return true
		}
	}
	return false
}

// acceptDeferred stores the request as a job and sends the response.
func (g *Gateway) acceptDeferred(w http.ResponseWriter, r *http.Request, service catalog.Service, c *call.Call) {
	w.Header().Set(call.HeaderRequestID, c.ID)
	if !c.IsBuffered {
		writeOutcome(w, r, http.StatusRequestEntityTooLarge, outcomeBody{Outcome: call.OutcomeNotRun, Reason: "the body is too large for work that may wait", RequestID: c.ID})
		return
	}
	kind, _ := service.KindOf(r.Method, routing.WrittenPath(r.RequestURI))
	now := time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), acceptTimeout)
	defer cancel()
	err := g.cfg.Jobs.Accept(ctx, job.Job{
		ID: c.ID, Service: c.Service, Kind: c.Kind, Member: c.Member, Host: r.Host, Method: r.Method, URI: r.URL.RequestURI(),
		Header: r.Header, Body: c.Buffered, AcceptedMilli: now.UnixMilli(), DueMilli: now.Add(kind.CompleteWithin.Std()).UnixMilli(),
	})
	switch {
	case err == nil:
		writeOutcome(w, r, http.StatusAccepted, outcomeBody{Outcome: outcomeAccepted, Reason: "the work is kept and will be done", RequestID: c.ID})
	case errors.Is(err, job.ErrNotAccepted):
		writeOutcome(w, r, http.StatusServiceUnavailable, outcomeBody{
			Outcome: call.OutcomeNotRun, Reason: "the store does not accept work", RetryAfterMS: deferredRetryAfter.Milliseconds(), RequestID: c.ID,
		})
	default:
		writeOutcome(w, r, http.StatusBadGateway, outcomeBody{Outcome: call.OutcomeUnknown, Reason: "the work may have been accepted", RequestID: c.ID})
	}
}

// RunJob runs an accepted job once. It returns the reason for a failure, or "".
func (g *Gateway) RunJob(ctx context.Context, j job.Job) string {
	s := g.cfg.Snapshot()
	service, ok := s.Catalog.Services[j.Service]
	if !ok {
		return "the service is not fronted any more"
	}
	uri, err := url.ParseRequestURI(j.URI)
	if err != nil {
		return "the request cannot be read"
	}
	kind, ok := service.KindOf(j.Method, uri.Path)
	if !ok {
		return "the service has no such kind any more"
	}
	ctx, cancel := context.WithTimeout(ctx, kind.Deadline.Std())
	defer cancel()
	r := (&http.Request{
		Method: j.Method, URL: uri, Host: j.Host, Header: http.Header(j.Header).Clone(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}).WithContext(ctx)
	deadline, _ := ctx.Deadline()
	c := &call.Call{
		ID: j.ID, Service: service.Name, Pool: service.Pool, Kind: kind.Name, Partner: string(service.Partner), Member: j.Member,
		Weight: kind.Weight, MayWait: true, Idempotent: true, Deadline: deadline, Request: r, Buffered: j.Body, IsBuffered: true,
	}
	startTime := time.Now()
	result := g.execute(ctx, s, c, nil)
	defer discard(result)
	g.observe(service, c, result, startTime)
	if result.Outcome != call.OutcomeRan {
		return result.Reason
	}
	if result.Response.StatusCode >= http.StatusInternalServerError {
		return "status " + strconv.Itoa(result.Response.StatusCode)
	}
	return ""
}
