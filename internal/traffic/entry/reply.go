package entry

// This file defines what the client is told, and the log line of a request.

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
)

// Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	// Served: a target's answer was returned.
	Served Outcome = "served"
	// TargetFailed: the answer of a target that failed was returned.
	TargetFailed Outcome = "target-failed"
	// Refused: the request has not run and never will.
	Refused Outcome = "refused"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
	// ClientLeft: the client closed its connection.
	ClientLeft Outcome = "client-left"
	// Denied: the configuration does not allow the request.
	Denied Outcome = "denied"
)

// Names of log fields.
const (
	fieldRequest     = "request"
	fieldTarget      = "target"
	fieldFingerprint = "fingerprint"
)

// statusClientLeft is logged for a client that closed its connection.
const statusClientLeft = 499

// verdict is the final answer to a request.
type verdict struct {
	outcome    Outcome
	status     int
	reason     string
	retryAfter time.Duration
	result     result
}

// refuse returns the answer to a request that has not run.
func refuse(status int, reason string, retryAfter time.Duration) *verdict {
	outcome := Denied
	if status == http.StatusServiceUnavailable {
		outcome = Refused
	}
	return &verdict{outcome: outcome, status: status, reason: reason, retryAfter: retryAfter}
}

// finish sends the final answer and reports it.
func (h *Handler) finish(w http.ResponseWriter, j *journey, v verdict) {
	h.report(j, v)
	switch v.outcome {
	case Served:
		j.writeAnswer(w, v.result)
	case TargetFailed:
		if v.result.reading.Signed {
			j.writeAnswer(w, v.result)
			return
		}
		v.status = http.StatusBadGateway
		j.writeOwn(w, v)
	case ClientLeft:
		panic(http.ErrAbortHandler)
	default:
		j.writeOwn(w, v)
	}
}

// writeAnswer returns a target's answer. One that is cut short reaches the client
// as a broken connection, never as a clean end.
func (j *journey) writeAnswer(w http.ResponseWriter, r result) {
	call.StripHopByHop(r.header)
	header := w.Header()
	for name, values := range r.header {
		header[name] = values
	}
	if r.rest == nil {
		if j.r.Method != http.MethodHead && r.status != http.StatusNoContent && r.status != http.StatusNotModified {
			header.Set("Content-Length", strconv.Itoa(len(r.body)))
		}
		w.WriteHeader(r.status)
		_, err := w.Write(r.body)
		j.logUndelivered(err)
		return
	}
	defer r.rest.Close()
	w.WriteHeader(r.status)
	if _, err := w.Write(r.body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(w, r.rest); err != nil {
		j.logUndelivered(err)
		panic(http.ErrAbortHandler)
	}
}

func (j *journey) logUndelivered(err error) {
	if err != nil && j.r.Method != http.MethodHead {
		j.h.cfg.Log.WithError(err).WithField(fieldRequest, j.id).Info("answer was not delivered")
	}
}

// ownAnswer is the body of an answer of our own.
type ownAnswer struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
}

// writeOwn sends an answer that no target gave. The reason may name addresses, so
// the client gets the outcome only.
func (j *journey) writeOwn(w http.ResponseWriter, v verdict) {
	j.h.cfg.Dialect.Refuse(w.Header(), j.id, min(v.retryAfter, max(0, time.Until(j.deadline))))
	w.Header().Set("Content-Type", "application/json")
	body, err := json.Marshal(ownAnswer{Outcome: v.outcome, Reason: http.StatusText(v.status)})
	if err != nil {
		body = nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(v.status)
	_, err = w.Write(body)
	j.logUndelivered(err)
}

// report counts the request and writes its line, unless it is an ordinary success.
func (h *Handler) report(j *journey, v verdict) {
	now := time.Now()
	inTime := v.outcome == Served && !now.After(j.objective)
	if h.cfg.Observer != nil {
		h.cfg.Observer.Finished(Observation{
			Service: j.service.Name, Route: j.route.Name, Outcome: v.outcome, Status: v.status,
			Sends: j.sends, Latency: now.Sub(j.began), InTime: inTime, Target: j.target,
		})
	}
	level := logrus.InfoLevel
	if v.outcome == Served && inTime {
		level = logrus.DebugLevel
	}
	if !h.cfg.Log.Logger.IsLevelEnabled(level) {
		return
	}
	line := h.cfg.Log
	if v.outcome == Denied {
		line = line.WithFields(logrus.Fields{"host": j.r.Host, "path": j.r.URL.Path, "revision": j.revision.String()})
	}
	line.WithFields(logrus.Fields{
		fieldRequest: j.id, "route": j.route.Name, "service": j.service.Name, "version": j.version,
		"outcome": v.outcome, "status": v.status, "reason": v.reason, "sends": j.sends, fieldTarget: j.target,
		"ms": now.Sub(j.began).Milliseconds(), "retry-after-ms": v.retryAfter.Milliseconds(),
	}).Log(level, "request finished")
}

// logSend writes the line of a send that did not end well, or took long.
func (j *journey) logSend(r result) {
	if r.meaning == answered && !time.Now().After(j.objective) {
		return
	}
	fields := logrus.Fields{
		fieldRequest: j.id, fieldTarget: r.grant.ID, "meaning": r.meaning.String(), "status": r.status,
		"took-ms": r.took.Milliseconds(), "send": j.sends,
		"running": r.grant.Load.Running, "waiting": r.grant.Load.Waiting, "slots": r.grant.Load.Slots,
		"slowness": r.grant.Load.Slowness, "load-age-ms": r.grant.Age.Milliseconds(), "expected-ms": (r.grant.Work + r.grant.Wait).Milliseconds(), "dispatcher": r.grant.By(),
	}
	if r.cause != nil {
		fields["error"] = r.cause.Error()
	}
	j.h.cfg.Log.WithFields(fields).Info("send ended")
}
