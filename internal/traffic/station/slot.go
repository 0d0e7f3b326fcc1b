package station

// This file defines slot, which holds a target's slot until the answer is read.

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

type slot struct {
	cell    *cell
	granted *dispatch.Call
	latency time.Duration
	cancel  context.CancelFunc
	once    sync.Once
}

// Values of call.HeaderNotRun.
const (
	notRunDraining = "draining"
)

// take turns the target's response into the answer. An answer of known and small
// size is read whole first: then the slot does not wait for the caller, and an
// answer that is cut short can be tried elsewhere.
func (s *slot) take(res *http.Response, target string) *call.Answer {
	if reason := res.Header.Get(call.HeaderNotRun); reason != "" && res.StatusCode == http.StatusServiceUnavailable {
		a := refusedByTarget(res, target)
		drain(res.Body)
		s.end(dispatch.Shed)
		if reason == notRunDraining && s.cell.station.cfg.Draining != nil {
			s.cell.station.cfg.Draining(target)
		}
		return a
	}
	call.StripInternal(res.Header)
	answer := &call.Answer{Outcome: call.Ran, Response: res, Target: target, Failed: res.StatusCode >= http.StatusInternalServerError}
	if res.ContentLength < 0 || res.ContentLength > maxBufferedAnswer {
		res.Body = &slotBody{body: res.Body, slot: s, failed: answer.Failed}
		return answer
	}
	whole, err := readWhole(res)
	_ = res.Body.Close()
	if err != nil {
		s.end(dispatch.Failed)
		a := call.Unknown("the answer was cut short", target)
		a.Detail = err.Error()
		return a
	}
	res.Body = whole
	s.end(result(answer.Failed))
	return answer
}

func readWhole(res *http.Response) (io.ReadCloser, error) {
	if res.Body == http.NoBody || res.ContentLength == 0 {
		return http.NoBody, nil
	}
	whole := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, whole); err != nil {
		return nil, err
	}
	// One more read meets the end, which gives the connection back.
	if n, err := res.Body.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		return nil, errors.New("answer goes on after its end")
	}
	return io.NopCloser(bytes.NewReader(whole)), nil
}

func result(failed bool) dispatch.Result {
	if failed {
		return dispatch.Failed
	}
	return dispatch.OK
}

// end gives the slot back once.
func (s *slot) end(r dispatch.Result) {
	s.once.Do(func() {
		s.cancel()
		s.cell.done(s.granted, dispatch.Sample{Result: r, Latency: s.latency})
	})
}

// drain reads a short body to its end, so that the connection can be reused.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxBufferedAnswer)
	_ = body.Close()
}

// slotBody is a streamed answer that holds its slot.
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
		b.slot.end(result(b.failed))
	case err != nil:
		b.slot.end(dispatch.Failed)
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.body.Close()
	b.slot.end(dispatch.Cancelled)
	return err
}
