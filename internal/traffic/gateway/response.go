package gateway

// This file defines the responses to clients.

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
)

// writeTimeout is the time in which a client must read one buffer of the response.
const writeTimeout = 30 * time.Second

// copyBufferBytes is the buffer size for streamed response bodies.
const copyBufferBytes = 32 << 10

// informationalFunc forwards a 1xx response.
type informationalFunc func(status int, header http.Header)

func forwardInformational(w http.ResponseWriter) informationalFunc {
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

// writeResult sends the result of a call to the client.
func (g *Gateway) writeResult(w http.ResponseWriter, r *http.Request, c *call.Call, result *call.Result) {
	w.Header().Set(call.HeaderRequestID, c.ID)
	if result.Outcome != call.OutcomeRan {
		writeFailure(w, r, c, result)
		return
	}
	defer result.Response.Body.Close()
	call.StripHopByHop(result.Response.Header)
	copyHeader(w.Header(), result.Response.Header)
	w.Header().Set(call.HeaderOutcome, string(call.OutcomeRan))
	writeResponse(w, result.Response)
}

// writeResponse forwards a response. If its body is truncated, the connection to the
// recipient is aborted, so that it cannot take the response for complete.
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

// copyBody copies the body. A body of unknown length is flushed after each read.
func copyBody(w http.ResponseWriter, res *http.Response) error {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
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
			_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
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

// outcomeBody is the JSON body of responses that do not come from a target.
type outcomeBody struct {
	Outcome      call.Outcome `json:"outcome"`
	Reason       string       `json:"reason"`
	RetryAfterMS int64        `json:"retry-after-ms,omitempty"`
	RequestID    string       `json:"request-id"`
}

// writeFailure sends the response to a call that has no response of a target.
func writeFailure(w http.ResponseWriter, r *http.Request, c *call.Call, result *call.Result) {
	status := http.StatusServiceUnavailable
	if result.Outcome == call.OutcomeUnknown {
		status = http.StatusBadGateway
		if time.Now().After(c.Deadline) {
			status = http.StatusGatewayTimeout
		}
	}
	if result.Status != 0 {
		status = result.Status
	}
	writeOutcome(w, r, status, outcomeBody{Outcome: result.Outcome, Reason: result.Reason, RetryAfterMS: result.RetryAfter.Milliseconds(), RequestID: c.ID})
}

// writeRejection sends the response to a request that was rejected before any attempt.
func writeRejection(w http.ResponseWriter, r *http.Request, rej *rejection, c *call.Call) {
	w.Header().Set(call.HeaderRequestID, c.ID)
	if rej.status == http.StatusBadRequest || rej.status == http.StatusRequestEntityTooLarge {
		w.Header().Set("Connection", "close")
	}
	writeOutcome(w, r, rej.status, outcomeBody{Outcome: call.OutcomeNotRun, Reason: rej.reason, RetryAfterMS: rej.retryAfter.Milliseconds(), RequestID: c.ID})
}

// writeOutcome sends an outcome as a JSON response.
func writeOutcome(w http.ResponseWriter, r *http.Request, status int, o outcomeBody) {
	h := w.Header()
	h.Set(call.HeaderOutcome, string(o.Outcome))
	h.Set("Content-Type", "application/json")
	if o.RetryAfterMS > 0 {
		h.Set(call.HeaderRetryAfterMS, strconv.FormatInt(o.RetryAfterMS, 10))
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(o.RetryAfterMS)/1000))))
	}
	body, _ := json.Marshal(o)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if r.Method != http.MethodHead {
		_, _ = w.Write(body)
	}
}
