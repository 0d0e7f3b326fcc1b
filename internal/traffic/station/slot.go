package station

// This file defines slot, which holds a slot of a target until the response is read.

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatch"
)

// slot is the slot of a running call.
type slot struct {
	cell    *cell
	dcall   *dispatch.Call
	latency time.Duration
	cancel  context.CancelFunc
	once    sync.Once
}

const (
	// notRunDraining is the value of call.HeaderNotRun that a draining target sends.
	notRunDraining = "draining"
)

// handleResponse turns the response of the target into the result of the call. Small
// bodies of known length are read completely first: the slot then does not wait for a
// slow client, and a call with a truncated response can be retried elsewhere.
func (s *slot) handleResponse(res *http.Response, target string) *call.Result {
	if reason := res.Header.Get(call.HeaderNotRun); reason != "" && res.StatusCode == http.StatusServiceUnavailable {
		failure := rejectedByTarget(res, target)
		drainBody(res.Body)
		s.release(dispatch.Shed)
		if reason == notRunDraining && s.cell.station.cfg.OnDraining != nil {
			s.cell.station.cfg.OnDraining(target)
		}
		return failure
	}
	call.StripInternal(res.Header)
	result := &call.Result{Outcome: call.OutcomeRan, Response: res, Target: target, Failed: res.StatusCode >= http.StatusInternalServerError}
	if res.ContentLength < 0 || res.ContentLength > maxBufferedBody {
		res.Body = &slotBody{body: res.Body, slot: s, failed: result.Failed}
		return result
	}
	body, err := readBody(res)
	_ = res.Body.Close()
	if err != nil {
		s.release(dispatch.Failed)
		failure := call.Unknown("the answer was cut short", target)
		failure.Detail = err.Error()
		return failure
	}
	res.Body = body
	s.release(resultOfResponse(result.Failed))
	return result
}

func readBody(res *http.Response) (io.ReadCloser, error) {
	if res.Body == http.NoBody || res.ContentLength == 0 {
		return http.NoBody, nil
	}
	body := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, body); err != nil {
		return nil, err
	}
	// Reading up to io.EOF returns the connection to its pool.
	if n, err := res.Body.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		return nil, errors.New("response body is longer than its Content-Length")
	}
	return io.NopCloser(bytes.NewReader(body)), nil
}

func resultOfResponse(failed bool) dispatch.Result {
	if failed {
		return dispatch.Failed
	}
	return dispatch.OK
}

// release releases the slot and records the result. Later calls do nothing.
func (s *slot) release(r dispatch.Result) {
	s.once.Do(func() {
		s.cancel()
		s.cell.done(s.dcall, dispatch.Sample{Result: r, Latency: s.latency})
	})
}

// drainBody reads a short body to its end, so that the connection can be reused.
func drainBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxBufferedBody)
	_ = body.Close()
}

// slotBody is a streamed response body that holds its slot until EOF, error or Close.
type slotBody struct {
	body   io.ReadCloser
	slot   *slot
	failed bool
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.slot.release(resultOfResponse(b.failed))
	case err != nil:
		b.slot.release(dispatch.Failed)
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.body.Close()
	b.slot.release(dispatch.Cancelled)
	return err
}
