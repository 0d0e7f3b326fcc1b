package soak

// This file defines Result, its files and its timeline.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Result is the outcome of a run.
type Result struct {
	Seed   uint64  `json:"seed"`
	Hosts  int     `json:"hosts"`
	Faults []Fault `json:"faults"`
	// Statuses counts the callers' requests by response status; 0 means no complete
	// response. Configuration probes are counted in Probes instead.
	Statuses map[int]int `json:"statuses"`
	// BadKeyStatuses counts the requests with removed, unknown or missing keys. RemovedKeyRequests
	// counts those with keys whose removal had to be in force, and RefusedKeys those that got 401.
	BadKeyStatuses     map[int]int `json:"bad-key-statuses"`
	RemovedKeyRequests int         `json:"removed-key-requests"`
	RefusedKeys        int         `json:"refused-keys"`
	// LimitedStatuses counts the requests of the account with a quota.
	LimitedStatuses map[int]int `json:"limited-statuses"`
	// EvacuationRequests counts the requests that were judged while a failure domain was evacuated.
	EvacuationRequests int `json:"evacuation-requests"`
	// LateStatuses counts the requests on connections that are held open in planned stops.
	LateStatuses map[int]int `json:"late-statuses"`
	Probes       int         `json:"probes"`
	Versions     int         `json:"versions"`
	// LimitedRequests counts the requests to targets with rate limits that were judged.
	LimitedRequests int `json:"limited-requests"`
	// JudgedPauses counts the pauses of targets that were judged, and Leavers the targets of
	// which hosts passed on that they leave.
	JudgedPauses int `json:"judged-pauses"`
	Leavers      int `json:"leavers"`
	// LateRequests counts the judged requests that were sent late in a planned stop and got a response.
	LateRequests int `json:"late-requests"`
	// CrashPaths counts the judged paths of requests that crash targets, and LeftRuns the judged runs of requests
	// whose clients left.
	CrashPaths int `json:"crash-paths"`
	LeftRuns   int `json:"left-runs"`
	// CutRequests counts the requests to hosts separated from all targets that were judged.
	CutRequests  int         `json:"cut-requests"`
	Violations   []Violation `json:"violations"`
	attempts     []Attempt
	disturbances []Span
}

func newResult(cfg Config, faults []Fault, h *History, b Bounds) *Result {
	r := &Result{Seed: cfg.Seed, Hosts: cfg.Hosts, Faults: faults, Statuses: map[int]int{}, LateStatuses: map[int]int{}, BadKeyStatuses: map[int]int{}, LimitedStatuses: map[int]int{}, Versions: len(h.Versions), Violations: Check(h, b), CutRequests: (&checker{h: h, b: b}).checkCuts(), attempts: h.Attempts, disturbances: h.Disturbances}
	r.LimitedRequests = (&checker{h: h, b: b}).checkLimits()
	r.EvacuationRequests = (&checker{h: h, b: b}).checkEvacuations()
	keys := (&checker{h: h, b: b}).checkKeys()
	r.RemovedKeyRequests, r.RefusedKeys = keys.removed, keys.refused
	r.LateRequests = (&checker{h: h, b: b}).checkStops()
	r.JudgedPauses = (&checker{h: h, b: b}).checkPauses()
	r.CrashPaths, r.LeftRuns = newChecker(h, b).checkCrashing(), newChecker(h, b).checkDepartures()
	leavers := map[string]bool{}
	for _, a := range h.Attempts {
		if a.Leaver != "" {
			leavers[a.Leaver] = true
		}
	}
	r.Leavers = len(leavers)
	for _, a := range h.Attempts {
		switch {
		case a.Route > 0:
			r.Probes++
		case a.Limited:
			r.LimitedStatuses[a.Status]++
		case a.Crashing != "":
		case a.BadKey:
			r.BadKeyStatuses[a.Status]++
		case a.Late:
			r.LateStatuses[a.Status]++
		default:
			r.Statuses[a.Status]++
		}
	}
	return r
}

// Write writes the result as JSON, the callers' requests as JSON lines, and the
// timeline of faults and violations to a directory.
func (r *Result) Write(dir string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), data, 0o600); err != nil {
		return err
	}
	var lines bytes.Buffer
	for _, a := range r.attempts {
		if err := json.NewEncoder(&lines).Encode(a); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "requests.jsonl"), lines.Bytes(), 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "timeline.txt"), []byte(r.Timeline()), 0o600)
}

// Timeline returns the faults, the ends of the disturbances that they caused and the
// violations in chronological order, one per line.
func (r *Result) Timeline() string {
	type line struct {
		at   time.Duration
		text string
	}
	lines := make([]line, 0, len(r.Faults)+len(r.disturbances)+len(r.Violations))
	for _, f := range r.Faults {
		lines = append(lines, line{f.At, fmt.Sprintf("%-22s %d for %s", f.Kind, f.Index, f.Length.Round(time.Millisecond))})
	}
	for _, s := range r.disturbances {
		lines = append(lines, line{s.To, fmt.Sprintf("%-22s %d ended, began at %s", s.Kind, s.Host, s.From.Round(time.Millisecond))})
	}
	for _, v := range r.Violations {
		lines = append(lines, line{v.At, fmt.Sprintf("BROKEN %s: %s %s", v.Guarantee, v.Request, v.Text)})
	}
	slices.SortStableFunc(lines, func(a, b line) int { return int(a.at - b.at) })
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "%9.3f s  %s\n", l.at.Seconds(), l.text)
	}
	return b.String()
}
