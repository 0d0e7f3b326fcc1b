package entry

// This file defines the responses to clients and the log lines of requests.

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
)

// Outcome is the final outcome of a request.
type Outcome string

// Outcomes of requests.
const (
	// Served: the response of a target was returned.
	Served Outcome = "served"
	// TargetFailed: the server error of a target was returned.
	TargetFailed Outcome = "target-failed"
	// Refused: the request has not run and never will.
	Refused Outcome = "refused"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
	// ClientDisconnected: the client closed its connection.
	ClientDisconnected Outcome = "client-left"
	// Denied: the request is invalid or the configuration does not allow it.
	Denied Outcome = "denied"
)

// Log fields.
const (
	fieldRequest     = "request"
	fieldTarget      = "target"
	fieldFingerprint = "fingerprint"
)

// statusClientClosed is the status logged for a client that closed its connection.
const statusClientClosed = 499

// finalResponse is the final response to a client request.
type finalResponse struct {
	outcome    Outcome
	status     int
	reason     string
	retryAfter time.Duration
	attempt    attempt
	// rateLimited is set if the rate limits of the targets are the reason.
	rateLimited bool
	// closeConnection is set if the client should go to another host.
	closeConnection bool
	// keyRefusal is set if the request was refused because of its key, and fields holds the inputs of
	// that decision, for the log.
	keyRefusal KeyRefusal
	fields     logrus.Fields
}

// reject returns the response to a request that has not run.
func reject(status int, reason string, retryAfter time.Duration) *finalResponse {
	outcome := Denied
	if status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout {
		outcome = Refused
	}
	return &finalResponse{outcome: outcome, status: status, reason: reason, retryAfter: retryAfter}
}

// promisesNotRun reports whether a status says that a request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// withoutFalsePromise returns the response in place of one of a target whose status would say that the request has not
// run, although the target has not said so. Clients would send a request again that is not idempotent.
func (req *clientRequest) withoutFalsePromise(resp finalResponse) finalResponse {
	fromTarget := resp.outcome == Served || resp.outcome == TargetFailed
	if !fromTarget || req.route.Idempotent || resp.attempt.info.NotRun || !promisesNotRun(resp.attempt.status) {
		return resp
	}
	resp.attempt.discard()
	return finalResponse{outcome: Unknown, status: http.StatusBadGateway, reason: "target answered " + strconv.Itoa(resp.attempt.status) + " to a request that it may have run"}
}

// finish reports the final response and sends it.
func (h *Handler) finish(w http.ResponseWriter, req *clientRequest, resp finalResponse) {
	resp = req.withoutFalsePromise(resp)
	h.report(req, resp)
	req.lease.SetPhase(resource.Response)
	if h.shutdown.begun.Err() != nil || resp.closeConnection || req.lease.Ended() {
		w.Header().Set("Connection", "close")
	}
	switch resp.outcome {
	case Served:
		req.writeTargetResponse(w, resp.attempt)
	case TargetFailed:
		if resp.attempt.info.Signed {
			req.writeTargetResponse(w, resp.attempt)
			return
		}
		resp.status = http.StatusBadGateway
		req.writeError(w, resp)
	case ClientDisconnected:
		panic(http.ErrAbortHandler)
	default:
		req.writeError(w, resp)
	}
}

// writeTargetResponse returns the response of a target. If the body is truncated, the
// client connection is aborted, so that the client can't take the response for complete.
func (req *clientRequest) writeTargetResponse(w http.ResponseWriter, r attempt) {
	call.StripHopByHop(r.header)
	header := w.Header()
	for name, values := range r.header {
		header[name] = values
	}
	if r.status == http.StatusNoContent {
		// A faulty target may announce a body, which the client would wait for.
		header.Del("Content-Length")
	}
	abandon := req.beforeResponse(w)
	req.writeTargetBody(w, r)
	if abandon {
		req.abandonBody(w)
	}
}

// writeTargetBody sends the header, which is set already, and the body of the response of a target.
func (req *clientRequest) writeTargetBody(w http.ResponseWriter, r attempt) {
	to, done := req.bodyWriter(w, r)
	defer done()
	if r.unread == nil {
		if req.incoming.Method != http.MethodHead && r.status != http.StatusNoContent && r.status != http.StatusNotModified {
			w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
		}
		w.WriteHeader(r.status)
		_, err := to.Write(r.body)
		req.logWriteError(err)
		return
	}
	w.WriteHeader(r.status)
	if !req.streamResponse(to, r) {
		panic(http.ErrAbortHandler)
	}
}

func (req *clientRequest) logWriteError(err error) {
	if err != nil && req.incoming.Method != http.MethodHead {
		req.h.cfg.Log.WithError(err).WithField(fieldRequest, req.id).Info("failed to write the response to the client")
	}
}

// errorBody is the body of a response that the load balancer generates itself.
type errorBody struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
}

// writeError sends a response that the load balancer generates itself. The reason may
// contain addresses, so the client gets only the outcome and the status text.
func (req *clientRequest) writeError(w http.ResponseWriter, resp finalResponse) {
	retryAfter := resp.retryAfter
	if resp.status != http.StatusTooManyRequests {
		retryAfter = min(retryAfter, max(0, time.Until(req.deadline)))
	}
	req.h.cfg.Dialect.SetRejection(w.Header(), req.id, retryAfter)
	w.Header().Set("Content-Type", "application/json")
	body, err := json.Marshal(errorBody{Outcome: resp.outcome, Reason: http.StatusText(resp.status)})
	if err != nil {
		body = nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	abandon := req.beforeResponse(w)
	w.WriteHeader(resp.status)
	_, err = w.Write(body)
	req.logWriteError(err)
	if abandon {
		req.abandonBody(w)
	}
}

// report notifies the observer and logs the request: requests served within the objective
// at level debug, all others at level info.
func (h *Handler) report(req *clientRequest, resp finalResponse) {
	now := time.Now()
	metObjective := resp.outcome == Served && !now.After(req.objective)
	if h.cfg.Observer != nil {
		h.cfg.Observer.Finished(Observation{
			Service: req.service.Name, Route: req.route.Name, Outcome: resp.outcome, Status: resp.status,
			Attempts: req.attempts, Latency: now.Sub(req.started), MetObjective: metObjective, Target: req.target, RateLimited: resp.rateLimited, KeyRefusal: resp.keyRefusal,
		})
	}
	level := logrus.InfoLevel
	if resp.outcome == Served && metObjective {
		level = logrus.DebugLevel
	}
	if !h.cfg.Log.Logger.IsLevelEnabled(level) {
		return
	}
	line := h.cfg.Log.WithFields(h.shutdown.logFields("arrived-after-stop-ms", req.started))
	if resp.outcome == Denied {
		line = line.WithFields(logrus.Fields{"host": req.incoming.Host, "path": routing.WrittenPath(req.incoming.RequestURI), "revision": req.revision.String()})
	}
	if req.account != nil {
		line = line.WithField("account", req.account.Name)
	}
	line.WithFields(resp.fields).WithFields(logrus.Fields{
		fieldRequest: req.id, "route": req.route.Name, "service": req.service.Name, "version": req.version,
		"outcome": resp.outcome, "status": resp.status, "reason": resp.reason, "sends": req.attempts, fieldTarget: req.target,
		"ms": now.Sub(req.started).Milliseconds(), "retry-after-ms": resp.retryAfter.Milliseconds(),
	}).Log(level, "request finished")
}

// logAttempt logs an attempt that failed or missed the objective.
func (req *clientRequest) logAttempt(r attempt) {
	if r.outcome == succeeded && !time.Now().After(req.objective) {
		return
	}
	fields := logrus.Fields{
		fieldRequest: req.id, fieldTarget: r.grant.ID, "meaning": r.outcome.String(), "status": r.status,
		"took-ms": r.elapsed.Milliseconds(), "send": req.attempts,
		"running": r.grant.Load.Running, "waiting": r.grant.Load.Waiting, "slots": r.grant.Load.Slots,
		"slowness": r.grant.Load.Slowness, "load-age-ms": r.grant.Age.Milliseconds(), "expected-ms": (r.grant.ServiceTime + r.grant.QueueTime).Milliseconds(), "dispatcher": r.grant.DispatchedBy(),
	}
	if r.via != "" {
		fields["via"] = r.via
	}
	if r.cause != nil {
		fields["error"] = r.cause.Error()
	}
	req.h.cfg.Log.WithFields(fields).WithFields(req.h.shutdown.logFields("sent-after-stop-ms", time.Now().Add(-r.elapsed))).Info("send ended")
}
