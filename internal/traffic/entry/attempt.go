package entry

// This file defines attempts: the exchange with a target and the interpretation of its
// response.

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
	"tamaracktiller.example/tamaracktiller/internal/traffic/relay"
	"tamaracktiller.example/tamaracktiller/internal/traffic/targets"
)

// maxBufferedResponse bounds the part of a response body that is buffered. The rest of a
// longer body is streamed to the client.
const maxBufferedResponse = 1 << 20

// maxStreamedResponse bounds a response body that is streamed, since that of a faulty target
// may have no end.
const maxStreamedResponse = 256 << 20

// attemptOutcome is how an attempt ended.
type attemptOutcome int

const (
	// succeeded: the target returned a complete response for the client.
	succeeded attemptOutcome = iota
	// targetError: the target returned a complete response with a server error.
	targetError
	// rejected: the target did not run the request.
	rejected
	// notSent: no byte of the request reached the target.
	notSent
	// outcomeUnknown: there is no valid response, and the target may have run the request.
	outcomeUnknown
)

func (o attemptOutcome) String() string {
	return [...]string{"answered", "target failed", "target refused", "not sent", "answer lost"}[o]
}

// attempt is the result of sending a request to a target.
type attempt struct {
	req     *clientRequest
	outcome attemptOutcome
	grant   dispatcher.Grant
	status  int
	header  http.Header
	body    []byte
	// unread is the part of a long response body that is not buffered. While it is set, the
	// outcome has not been reported yet.
	unread io.ReadCloser
	// info holds the protocol headers of the response.
	info    targets.ResponseInfo
	cause   error
	elapsed time.Duration
	// via is the host through which the request was sent; empty for none.
	via string
	// streamBroke is set if the target broke off a response that was passed on while it arrived.
	streamBroke bool
	// released is set if the dispatcher was told before the end that the attempt is lost.
	released bool
}

// errResponseTooLarge reports a response body that exceeds maxStreamedResponse.
var errResponseTooLarge = errors.New("response body is too large")

// errNotFromTarget reports a response that the target did not generate itself.
var errNotFromTarget = errors.New("response has no target signature, or its body is encoded")

// send sends the request to its assigned target. extra is set for an extra attempt, which was
// taken from the retry budget.
func (req *clientRequest) send(ctx context.Context, grant dispatcher.Grant, extra bool) attempt {
	return req.sendOn(ctx, grant, req.needsNewConnection(grant), extra)
}

// needsNewConnection reports whether an earlier attempt at the target has failed. Attempts that run must not
// call it, since the list of failed ones grows meanwhile.
func (req *clientRequest) needsNewConnection(grant dispatcher.Grant) bool {
	return slices.Contains(req.avoid, grant.ID)
}

// sendOn is send, on a new connection if newConnection is set. It may run beside other attempts.
func (req *clientRequest) sendOn(ctx context.Context, grant dispatcher.Grant, newConnection, extra bool) attempt {
	started := time.Now()
	if extra {
		defer req.endExtraAttempt()
	}
	out := attempt{grant: grant, outcome: notSent, cause: targets.ErrGone}
	if err := req.h.cfg.Links.MaySend(grant.ID); err != nil {
		out.cause = err
	} else if l, ok := req.h.cfg.Links.Find(grant.ID); ok {
		w := req.watch(ctx, grant)
		out = req.roundTrip(w, l, grant, newConnection)
		out.via, out.released = w.stop()
		if out.outcome == outcomeUnknown && out.via == "" && out.status == 0 && !req.isDone(ctx) && !req.h.cfg.Links.HeardSince(started) {
			req.h.cfg.Links.Suspect(grant.ID, "a connection broke")
		}
	}
	out.req, out.elapsed = req, time.Since(started)
	if out.unread == nil {
		req.h.reportDone(&out, out.result(ctx))
	}
	return out
}

// discard closes the rest of a response that is not used, and reports the outcome.
func (r *attempt) discard() {
	if r.unread == nil {
		return
	}
	_ = r.unread.Close()
	r.unread = nil
	result := placement.Cancelled
	if r.outcome != succeeded {
		result = r.result(context.Background())
	}
	r.req.h.reportDone(r, result)
}

func (req *clientRequest) roundTrip(w *linkWatch, l *targets.Link, grant dispatcher.Grant, newConnection bool) attempt {
	if !req.route.Idempotent && !newConnection && grant.Through() == "" {
		req.h.cfg.Links.Refresh(w.ctx, l)
	}
	out := req.targetRequest(grant.ID, time.Until(req.endsAt()))
	res, err := l.Pool.RoundTrip(targets.WithRequestID(w.ctx, req.id), out, relay.Options{
		Idempotent: req.route.Idempotent, AllowCloseDelimited: true, Connected: w.connected, Dial: req.dialThrough(grant), BeforeSend: req.beforeSend(out),
		// A late copy of the response to the first attempt has the same ID.
		NewConnection:  newConnection,
		MaySend:        func() error { return req.h.cfg.Links.MaySend(grant.ID) },
		MatchesRequest: func(header http.Header) bool { return req.h.cfg.Dialect.MatchesRequest(header, req.id) },
	})
	switch {
	case err == nil:
		return req.readResponse(res, l, w.through(), grant)
	case relay.MayHaveRun(err):
		return attempt{grant: grant, cause: err, outcome: outcomeUnknown}
	}
	return attempt{grant: grant, cause: err, outcome: notSent}
}

// dialThrough returns how to open a connection through the host that a grant names; nil if it
// names none.
func (req *clientRequest) dialThrough(grant dispatcher.Grant) func(ctx context.Context) (net.Conn, error) {
	if grant.Through() == "" {
		return nil
	}
	return func(ctx context.Context) (net.Conn, error) {
		return req.h.cfg.Links.ConnectThrough(ctx, grant.Through(), grant.ID)
	}
}

// readResponse reads a response and determines the outcome of the attempt.
func (req *clientRequest) readResponse(res *http.Response, l *targets.Link, through string, grant dispatcher.Grant) attempt {
	info := req.h.cfg.Dialect.ReadHeader(res)
	req.h.cfg.Links.ObserveNotice(l, info, through)
	if !info.NotRun {
		// The reported load includes the request that this response answers.
		info.Load.Running = max(0, info.Load.Running-1)
	}
	out := attempt{grant: grant, status: res.StatusCode, header: res.Header, info: info}
	body, more, err := req.readBuffered(res)
	out.body = body
	if res.ContentLength > maxStreamedResponse {
		err = errResponseTooLarge
	}
	if err == nil && more {
		out.unread = res.Body
	} else {
		defer res.Body.Close()
	}
	switch {
	case info.NotRun:
		out.outcome = rejected
	case err != nil:
		out.outcome, out.cause = outcomeUnknown, err
	case !info.Signed || info.Encoded:
		out.outcome, out.cause = outcomeUnknown, errNotFromTarget
	case res.StatusCode >= http.StatusInternalServerError:
		out.outcome = targetError
	default:
		out.outcome = succeeded
	}
	return out
}

// limit returns what the response says about the rate limit of the target. Only a response
// that the target certainly generated itself can say that there is none.
func (r *attempt) limit() ratelimit.Report {
	if r.info.Misdirected || r.info.Limit.Kind == ratelimit.Unlimited && !r.info.Signed {
		return ratelimit.Report{}
	}
	return r.info.Limit
}

// cold returns what the response says about the cold time of the target. Only a response that the
// target certainly generated itself can say that it is not cold.
func (r *attempt) cold() ratelimit.Cold {
	if r.info.Misdirected || r.info.Cold.Left == 0 && !r.info.Signed {
		return ratelimit.Cold{}
	}
	return r.info.Cold
}

// typicalTimeGain is the weight of a new sample in the typical service time of a route.
const typicalTimeGain = 0.05

// result returns the outcome of the attempt with regard to its target.
func (r *attempt) result(ctx context.Context) placement.Result {
	switch r.outcome {
	case succeeded:
		return placement.Served
	case rejected:
		return placement.Rejected
	case notSent, outcomeUnknown:
		if r.req.isDone(ctx) || r.refusal() != nil || errors.Is(r.cause, targets.ErrEvacuated) || errors.Is(r.cause, resource.ErrShort) {
			return placement.Cancelled
		}
		if errors.Is(r.cause, errLinkLost) || r.outcome == notSent && r.grant.Through() != "" {
			return placement.Lost
		}
		if r.outcome == notSent || relay.IsTimeout(r.cause) {
			return placement.Unreachable
		}
	case targetError:
	}
	return placement.Failed
}

// reportDone reports the end of an attempt to the dispatcher and the crash tracker.
func (h *Handler) reportDone(r *attempt, result placement.Result) {
	if !r.released {
		h.cfg.Placer.Done(r.grant, dispatcher.Outcome{Result: result, Gone: r.info.Misdirected, Load: r.info.Load, LoadKnown: r.info.LoadKnown, Limit: r.limit(), Pause: r.info.Pause, Cold: r.cold()})
	}
	if result == placement.Served {
		h.updateTypicalTime(r.req, r)
	}
	if r.outcome == succeeded || result == placement.Failed || result == placement.Unreachable || r.streamBroke {
		h.cfg.CrashTracker.attemptEnded(r.req, r)
	}
}

// updateTypicalTime adds the duration of an attempt at a target of normal speed. Where
// targets don't report their load, the typical service time is a quantile of all attempts.
func (h *Handler) updateTypicalTime(req *clientRequest, r *attempt) {
	g := r.grant
	if g.QueueTime > 0 || g.Load.Running > 0 || g.LoadKnown && g.Load.Slowness > maxNormalSlowness || g.LoadKnown != r.info.LoadKnown {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	typical := h.typicalTime(req)
	step := typicalTimeGain * float64(min(r.elapsed, maxTypicalRatio*typical)-typical)
	if !g.LoadKnown {
		step = typicalTimeGain * float64(typical) * typicalTimeQuantile
		if r.elapsed < typical {
			step = -typicalTimeGain * float64(typical) * (1 - typicalTimeQuantile)
		}
	}
	h.typicalTimes[req.route.Name] = typical + time.Duration(step)
}

// typicalTimeQuantile is the share of attempts that take less than the typical service time
// where it is not known which targets are slow.
const typicalTimeQuantile = 0.4

// maxTypicalRatio bounds the effect of a slow sample, as a multiple of the typical service
// time.
const maxTypicalRatio = 3

// maxNormalSlowness is the slowness up to which a target counts as one of normal speed.
const maxNormalSlowness = 1.2

// typicalTime returns the typical service time of the route. The caller holds h.mu.
func (h *Handler) typicalTime(req *clientRequest) time.Duration {
	if typical, ok := h.typicalTimes[req.route.Name]; ok {
		return typical
	}
	objective := req.route.Objective
	if objective <= 0 {
		objective = req.deadline.Sub(req.started)
	}
	return time.Duration(initialTypicalShare * float64(objective))
}
