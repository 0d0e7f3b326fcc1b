package call

// This file defines the headers sent between processes, and their encoding.

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatch"
	"tamaracktiller.example/tamaracktiller/internal/traffic/route"
)

// Headers that clients and targets see.
const (
	// HeaderOutcome carries the outcome to the client.
	HeaderOutcome = "Tamarack-Outcome"
	// HeaderRequestID carries the id of the request to the target and the client.
	HeaderRequestID = "Tamarack-Request-Id"
	// HeaderDeadline carries the time left, in milliseconds. Clients may set it.
	HeaderDeadline = "Tamarack-Deadline-Ms"
	// HeaderMember names the member of the partner on whose behalf the client acts.
	HeaderMember = "Tamarack-Member"
	// HeaderNotRun is set by a target that rejects a request before running it.
	HeaderNotRun = "Tamarack-Not-Run"
	// HeaderRetryAfterMS carries the time after which to retry, in milliseconds.
	HeaderRetryAfterMS = "Tamarack-Retry-After-Ms"
)

// Headers between balancers. They are removed from messages of clients and targets.
const (
	headerPrefix      = "Tamarack-"
	HeaderHop         = "Tamarack-Hop"
	headerService     = "Tamarack-Service"
	headerPool        = "Tamarack-Pool"
	headerKind        = "Tamarack-Kind"
	headerPartner     = "Tamarack-Partner"
	headerWeight      = "Tamarack-Weight"
	headerFlags       = "Tamarack-Flags"
	headerAvoid       = "Tamarack-Avoid"
	headerReason      = "Tamarack-Reason"
	headerTarget      = "Tamarack-Target"
	headerReports     = "Tamarack-Cells"
	flagIdempotent    = "i"
	flagMayWait       = "w"
	flagRedirected    = "f"
	flagFailed        = "b"
	flagTargetCrashed = "d"
	maxReportsBytes   = 4 << 10
)

// ErrBadHop reports a malformed request or response of a balancer.
var ErrBadHop = errors.New("call: bad request from a balancer")

// StripInternal removes all Tamarack headers, so that a client or target cannot set them.
func StripInternal(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// SetHopHeaders sets the headers of a request to the host that dispatches the cell of the
// call. reports are the load reports of cells of the pool that the sender holds.
func (c *Call) SetHopHeaders(out *http.Request, now time.Time, reports []route.LoadReport) {
	h := out.Header
	h.Set(HeaderHop, "1")
	h.Set(HeaderRequestID, c.ID)
	h.Set(headerService, c.Service)
	h.Set(headerPool, c.Pool)
	h.Set(headerKind, c.Kind)
	h.Set(headerPartner, c.Partner)
	h.Set(HeaderMember, c.Member)
	h.Set(headerWeight, strconv.Itoa(c.Weight))
	h.Set(HeaderDeadline, formatMillis(c.Deadline.Sub(now)))
	h.Set(headerFlags, c.flags())
	if len(c.Avoid) > 0 {
		h.Set(headerAvoid, strings.Join(c.Avoid, ","))
	}
	setReports(h, now, reports)
}

func (c *Call) flags() string {
	flags := ""
	if c.Idempotent {
		flags += flagIdempotent
	}
	if c.MayWait {
		flags += flagMayWait
	}
	if c.Redirected {
		flags += flagRedirected
	}
	return flags
}

// FromHop decodes the call and the load reports from a request of a balancer, and removes
// the headers. Error: ErrBadHop.
func FromHop(r *http.Request, now time.Time) (*Call, []route.LoadReport, error) {
	h := r.Header
	timeLeftMS, err := strconv.ParseInt(h.Get(HeaderDeadline), 10, 64)
	if err != nil {
		return nil, nil, errors.Wrap(ErrBadHop, "deadline")
	}
	weight, err := strconv.Atoi(h.Get(headerWeight))
	if err != nil {
		return nil, nil, errors.Wrap(ErrBadHop, "weight")
	}
	flags := h.Get(headerFlags)
	c := &Call{
		ID: h.Get(HeaderRequestID), Service: h.Get(headerService), Pool: h.Get(headerPool), Kind: h.Get(headerKind),
		Partner: h.Get(headerPartner), Member: h.Get(HeaderMember), Weight: weight,
		Idempotent: strings.Contains(flags, flagIdempotent),
		MayWait:    strings.Contains(flags, flagMayWait),
		Redirected: strings.Contains(flags, flagRedirected),
		Deadline:   now.Add(time.Duration(timeLeftMS) * time.Millisecond),
		Request:    r,
	}
	if avoid := h.Get(headerAvoid); avoid != "" {
		c.Avoid = strings.Split(avoid, ",")
	}
	reports := getReports(h, c.Pool, now)
	StripInternal(h)
	return c, reports, nil
}

// SetTargetHeaders sets the headers of a request to a target.
func (c *Call) SetTargetHeaders(out *http.Request, now time.Time) {
	out.Header.Set(HeaderRequestID, c.ID)
	out.Header.Set(HeaderDeadline, formatMillis(c.Deadline.Sub(now)))
	if c.Member != "" {
		out.Header.Set(HeaderMember, c.Member)
	}
}

// SetHopResponse encodes the result into the headers of a response to a balancer.
func (r *Result) SetHopResponse(h http.Header, now time.Time) {
	h.Set(HeaderOutcome, string(r.Outcome))
	if r.Reason != "" {
		h.Set(headerReason, r.Reason)
	}
	if r.RetryAfter > 0 {
		h.Set(HeaderRetryAfterMS, formatMillis(r.RetryAfter))
	}
	if r.Target != "" {
		h.Set(headerTarget, r.Target)
	}
	flags := ""
	if r.Failed {
		flags += flagFailed
	}
	if r.TargetCrashed {
		flags += flagTargetCrashed
	}
	if flags != "" {
		h.Set(headerFlags, flags)
	}
	setReports(h, now, r.Reports)
}

// FromHopResponse decodes the result from the response of a balancer, and removes the
// headers. Error: ErrBadHop.
func FromHopResponse(res *http.Response, pool string, now time.Time) (*Result, error) {
	h := res.Header
	result := &Result{
		Outcome:       Outcome(h.Get(HeaderOutcome)),
		Reason:        h.Get(headerReason),
		Target:        h.Get(headerTarget),
		Failed:        strings.Contains(h.Get(headerFlags), flagFailed),
		TargetCrashed: strings.Contains(h.Get(headerFlags), flagTargetCrashed),
		Reports:       getReports(h, pool, now),
	}
	retryAfterMS, _ := strconv.ParseInt(h.Get(HeaderRetryAfterMS), 10, 64)
	result.RetryAfter = time.Duration(retryAfterMS) * time.Millisecond
	switch result.Outcome {
	case OutcomeRan:
		result.Response = res
	case OutcomeNotRun, OutcomeUnknown:
	default:
		return nil, errors.Wrapf(ErrBadHop, "outcome %q", result.Outcome)
	}
	StripInternal(h)
	return result, nil
}

// setReports encodes the reports as domain=free/waiting/slots/service-us/age-us, separated
// by commas. If they exceed maxReportsBytes, none is set.
func setReports(h http.Header, now time.Time, reports []route.LoadReport) {
	if len(reports) == 0 {
		return
	}
	var b strings.Builder
	for i, r := range reports {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%d/%d/%d/%d/%d", r.Cell.Domain, r.Load.Free, r.Load.Waiting, r.Load.Slots,
			r.Load.ServiceTime.Microseconds(), max(0, now.Sub(r.At).Microseconds()))
	}
	if b.Len() <= maxReportsBytes {
		h[headerReports] = []string{b.String()}
	}
}

// getReports decodes what setReports encoded. Malformed reports are skipped, since they
// are only hints.
func getReports(h http.Header, pool string, now time.Time) []route.LoadReport {
	value := h.Get(headerReports)
	if value == "" {
		return nil
	}
	var reports []route.LoadReport
	for item := range strings.SplitSeq(value, ",") {
		if r, ok := parseReport(item, pool, now); ok {
			reports = append(reports, r)
		}
	}
	return reports
}

// reportFields is the number of numeric fields of a report.
const reportFields = 5

func parseReport(item, pool string, now time.Time) (route.LoadReport, bool) {
	domain, rest, ok := strings.Cut(item, "=")
	parts := strings.Split(rest, "/")
	if !ok || len(parts) != reportFields {
		return route.LoadReport{}, false
	}
	var n [reportFields]int64
	for i, part := range parts {
		v, err := strconv.ParseInt(part, 10, 64)
		if err != nil {
			return route.LoadReport{}, false
		}
		n[i] = v
	}
	return route.LoadReport{
		Cell: route.CellID{Pool: pool, Domain: domain},
		Load: dispatch.Load{Free: int(n[0]), Waiting: int(n[1]), Slots: int(n[2]), ServiceTime: time.Duration(n[3]) * time.Microsecond},
		At:   now.Add(-time.Duration(n[4]) * time.Microsecond),
	}, true
}

func formatMillis(d time.Duration) string {
	return strconv.FormatInt(max(0, d.Milliseconds()), 10)
}
