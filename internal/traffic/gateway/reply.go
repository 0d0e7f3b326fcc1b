package gateway

// This file defines what callers are told.

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
)

// slowReader is the longest time that a reader may take for one buffer.
const slowReader = 30 * time.Second

// copyBufferBytes is the size of the buffer that a streamed answer goes through.
const copyBufferBytes = 32 << 10

// informer passes a 1xx answer on.
type informer func(status int, header http.Header)

func informational(w http.ResponseWriter) informer {
	return func(status int, header http.Header) {
		call.StripHopByHop(header)
		call.StripInternal(header)
		copyHeader(w.Header(), header)
		w.WriteHeader(status)
		for name := range header {
			w.Header().Del(name)
		}
	}
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append(dst[name], values...)
	}
}

// reply sends the final answer of a call.
func (g *Gateway) reply(w http.ResponseWriter, r *http.Request, c *call.Call, a *call.Answer) {
	w.Header().Set(call.HeaderRequestID, c.ID)
	if a.Outcome != call.Ran {
		writeNoAnswer(w, r, c, a)
		return
	}
	defer a.Response.Body.Close()
	call.StripHopByHop(a.Response.Header)
	copyHeader(w.Header(), a.Response.Header)
	w.Header().Set(call.HeaderOutcome, string(call.Ran))
	writeResponse(w, a.Response)
}

// writeResponse passes a response on. One that is cut short reaches the reader
// as a broken stream, never as a clean end.
func writeResponse(w http.ResponseWriter, res *http.Response) {
	for name := range res.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(res.StatusCode)
	if err := copyBody(w, res); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range res.Trailer {
		w.Header()[name] = values
	}
}

// copyBody copies the body. A streamed one is flushed as it comes.
func copyBody(w http.ResponseWriter, res *http.Response) error {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(slowReader))
	if res.ContentLength >= 0 && res.ContentLength <= copyBufferBytes {
		_, err := io.Copy(w, res.Body)
		return err
	}
	if res.ContentLength < 0 {
		_ = control.Flush()
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := res.Body.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return werr
			}
			_ = control.SetWriteDeadline(time.Now().Add(slowReader))
			if res.ContentLength < 0 {
				_ = control.Flush()
			}
		}
		if err == io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself.
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// noAnswer is the body that callers get when no target answered.
type noAnswer struct {
	Outcome      call.Outcome `json:"outcome"`
	Reason       string       `json:"reason"`
	RetryAfterMS int64        `json:"retry-after-ms,omitempty"`
	RequestID    string       `json:"request-id"`
}

func writeNoAnswer(w http.ResponseWriter, r *http.Request, c *call.Call, a *call.Answer) {
	status := http.StatusServiceUnavailable
	if a.Outcome == call.OutcomeUnknown {
		status = http.StatusBadGateway
		if time.Now().After(c.Deadline) {
			status = http.StatusGatewayTimeout
		}
	}
	if a.Status != 0 {
		status = a.Status
	}
	writeOutcome(w, r, status, noAnswer{Outcome: a.Outcome, Reason: a.Reason, RetryAfterMS: a.RetryAfter.Milliseconds(), RequestID: c.ID})
}

// writeRefusal answers a request that was refused before any try.
func writeRefusal(w http.ResponseWriter, r *http.Request, f *refused, c *call.Call) {
	w.Header().Set(call.HeaderRequestID, c.ID)
	if f.status == http.StatusBadRequest || f.status == http.StatusRequestEntityTooLarge {
		w.Header().Set("Connection", "close")
	}
	writeOutcome(w, r, f.status, noAnswer{Outcome: call.OutcomeNotRun, Reason: f.reason, RetryAfterMS: f.retryAfter.Milliseconds(), RequestID: c.ID})
}

func writeOutcome(w http.ResponseWriter, r *http.Request, status int, n noAnswer) {
	h := w.Header()
	h.Set(call.HeaderOutcome, string(n.Outcome))
	h.Set("Content-Type", "application/json")
	if n.RetryAfterMS > 0 {
		h.Set(call.HeaderRetryAfterMS, strconv.FormatInt(n.RetryAfterMS, 10))
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(n.RetryAfterMS)/1000))))
	}
	body, _ := json.Marshal(n)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if r.Method != http.MethodHead {
		_, _ = w.Write(body)
	}
}
