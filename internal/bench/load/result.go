package load

// This file defines Result, the measurements of a run.

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Outcome is what a caller learned about its call.
type Outcome string

// The outcomes. OutcomeError means that the caller got no complete response.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeError   Outcome = "error"
)

// Result holds the measurements of a run. Times are in milliseconds.
type Result struct {
	Calls            int `json:"calls"`
	ValidResponses   int `json:"whole-answers"`
	InvalidResponses int `json:"wrong-answers"`
	// Errors counts calls that got no response, or one without an outcome.
	Errors          int     `json:"errors"`
	Ran             int     `json:"ran"`
	NotRun          int     `json:"not-run"`
	Unknown         int     `json:"unknown"`
	FailedResponses int     `json:"failed-answers"`
	DoubleRuns      int     `json:"double-runs"`
	FalseNotRun     int     `json:"false-not-run"`
	Seconds         float64 `json:"seconds"`
	P50             float64 `json:"p50-ms"`
	P99             float64 `json:"p99-ms"`
	P999            float64 `json:"p999-ms"`
	// Overhead is the latency of calls through balancers without the time in the target.
	OverheadP50 float64 `json:"overhead-p50-ms"`
	OverheadP99 float64 `json:"overhead-p99-ms"`
	// Direct is the overhead of calls that went directly to a target.
	DirectCalls int     `json:"direct-calls"`
	DirectP50   float64 `json:"direct-overhead-p50-ms"`
	DirectP99   float64 `json:"direct-overhead-p99-ms"`
	// P50Added and P99Added are the overhead that balancers add to direct calls.
	P50Added float64 `json:"p50-added-ms"`
	P99Added float64 `json:"p99-added-ms"`

	start      time.Time
	latency    *hdrhistogram.Histogram
	overhead   *hdrhistogram.Histogram
	direct     *hdrhistogram.Histogram
	outcomes   map[string]Outcome
	atMostOnce map[string]bool
	errors     map[string]int
	statuses   map[int]int
	reasons    map[string]int
}

const (
	// maxLatencyMicros is the highest latency that the histograms record, in microseconds.
	maxLatencyMicros = 120_000_000
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

func newResult() *Result {
	return &Result{
		latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits), overhead: hdrhistogram.New(1, maxLatencyMicros, significantDigits), direct: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		outcomes: map[string]Outcome{}, atMostOnce: map[string]bool{}, errors: map[string]int{}, statuses: map[int]int{}, reasons: map[string]int{},
	}
}

func (r *Result) add(c *call, res response, latency time.Duration) {
	overhead := max(1, (latency - res.targetTime).Microseconds())
	if c.direct {
		r.DirectCalls++
		if res.valid {
			_ = r.direct.RecordValue(overhead)
		}
		return
	}
	r.Calls++
	r.outcomes[c.id] = res.outcome
	r.atMostOnce[c.id] = c.kind.AtMostOnce
	switch res.outcome {
	case OutcomeRan:
		r.Ran++
		r.addResponse(res, latency, overhead)
	case OutcomeNotRun:
		r.NotRun++
	case OutcomeUnknown:
		r.Unknown++
	default:
		r.Errors++
		r.recordError(res.err)
	}
	r.statuses[res.status]++
	if res.reason != "" {
		r.reasons[fmt.Sprintf("%s: %s", res.outcome, stripPorts(res.reason))]++
	}
}

func (r *Result) addResponse(res response, latency time.Duration, overhead int64) {
	switch {
	case res.valid:
		r.ValidResponses++
		_ = r.latency.RecordValue(latency.Microseconds())
		_ = r.overhead.RecordValue(overhead)
	case res.status == 200:
		r.InvalidResponses++
	default:
		r.FailedResponses++
	}
}

// stripPorts replaces port numbers, so that reasons which differ only in them are counted
// together.
func stripPorts(reason string) string { return portPattern.ReplaceAllString(reason, ":*") }

var portPattern = regexp.MustCompile(`:[0-9]{4,5}`)

func (r *Result) recordError(err error) {
	text := "response has no outcome"
	if err != nil {
		text = errors.Cause(err).Error()
		if i := strings.LastIndex(text, ": "); i >= 0 {
			text = text[i+2:]
		}
	}
	r.errors[text]++
}

func (r *Result) finish() {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r.Seconds = time.Since(r.start).Seconds()
	r.P50, r.P99, r.P999 = ms(r.latency, 50), ms(r.latency, 99), ms(r.latency, 99.9)
	r.OverheadP50, r.OverheadP99 = ms(r.overhead, 50), ms(r.overhead, 99)
	r.DirectP50, r.DirectP99 = ms(r.direct, 50), ms(r.direct, 99)
	if r.DirectCalls > 0 {
		r.P50Added, r.P99Added = r.OverheadP50-r.DirectP50, r.OverheadP99-r.DirectP99
	}
}

// ReadJournals reads the runs that the targets recorded in dir, and counts the double
// runs and the calls that ran although their outcome was OutcomeNotRun.
func (r *Result) ReadJournals(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.runs"))
	if err != nil {
		return errors.Wrap(err, "load")
	}
	runs := map[string]int{}
	for _, file := range files {
		if err := countRuns(file, runs); err != nil {
			return err
		}
	}
	for id, outcome := range r.outcomes {
		if r.atMostOnce[id] && runs[id] > 1 {
			r.DoubleRuns++
		}
		if outcome == OutcomeNotRun && runs[id] > 0 {
			r.FalseNotRun++
		}
	}
	return nil
}

func countRuns(file string, runs map[string]int) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		id, _, _ := strings.Cut(scanner.Text(), " ")
		runs[id]++
	}
	return errors.Wrap(scanner.Err(), "load")
}

// Consistent reports whether the counts by outcome add up to the number of calls.
func (r *Result) Consistent() bool {
	return r.Calls == r.Ran+r.NotRun+r.Unknown+r.Errors && r.Ran == r.ValidResponses+r.InvalidResponses+r.FailedResponses
}

// Passed reports whether no guarantee was violated.
func (r *Result) Passed() bool {
	return r.Consistent() && r.InvalidResponses == 0 && r.DoubleRuns == 0 && r.FalseNotRun == 0
}

// WriteText writes the result in human-readable form.
func (r *Result) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%d calls in %.1f s: %d ran (%d valid, %d invalid, %d failed), %d not run, %d unknown, %d errors\n",
		r.Calls, r.Seconds, r.Ran, r.ValidResponses, r.InvalidResponses, r.FailedResponses, r.NotRun, r.Unknown, r.Errors)
	fmt.Fprintf(w, "latency p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n", r.P50, r.P99, r.P999)
	fmt.Fprintf(w, "overhead outside the target: p50 %.2f ms, p99 %.2f ms", r.OverheadP50, r.OverheadP99)
	if r.DirectCalls > 0 {
		fmt.Fprintf(w, "; direct p50 %.2f ms, p99 %.2f ms (%d calls)", r.DirectP50, r.DirectP99, r.DirectCalls)
	}
	fmt.Fprintf(w, "\ndouble runs %d, false not-run %d\n", r.DoubleRuns, r.FalseNotRun)
	for text, n := range r.errors {
		fmt.Fprintf(w, "  error %q: %d\n", text, n)
	}
	for text, n := range r.reasons {
		fmt.Fprintf(w, "  %s: %d\n", text, n)
	}
	for status, n := range r.statuses {
		if status >= 400 {
			fmt.Fprintf(w, "  status %d: %d\n", status, n)
		}
	}
}
