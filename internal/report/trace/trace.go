// Package trace reconstructs the timeline of one request from the logs of several hosts.
//
// # Usage
//
//	t := trace.New("9c41d07be2a35f68")
//	err := t.Read(file)
//	err = t.Write(os.Stdout) // trace.ErrNotFound if the logs do not mention the request
package trace

// This file defines Trace.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrNotFound reports that no log line mentions the request.
var ErrNotFound = errors.New("trace: no log line mentions the request")

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// line is a log line about the request.
type line struct {
	timestamp time.Time
	fields    map[string]any
}

// Trace collects the log lines about one request.
type Trace struct {
	id    string
	lines []line
	// unreadable counts lines that contain the request ID but cannot be parsed.
	unreadable int
}

// New returns an empty trace of the request with the given ID.
func New(id string) *Trace { return &Trace{id: id} }

// Read adds the lines of a log that are about the request. Text before the JSON object of
// a line is ignored.
func (t *Trace) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		t.addLine(scanner.Bytes())
	}
	return errors.Wrap(scanner.Err(), "trace")
}

func (t *Trace) addLine(text []byte) {
	if !bytes.Contains(text, []byte(t.id)) {
		return
	}
	start := bytes.IndexByte(text, '{')
	var fields map[string]any
	if start < 0 || json.Unmarshal(text[start:], &fields) != nil {
		t.unreadable++
		return
	}
	if fields["request"] != t.id {
		return
	}
	timeText, _ := fields["time"].(string)
	timestamp, err := time.Parse(time.RFC3339Nano, timeText)
	if err != nil {
		t.unreadable++
		return
	}
	t.lines = append(t.lines, line{timestamp: timestamp, fields: fields})
}

// Write writes the lines in order of time, with the time since the first line, followed by
// the cause of the request's outcome. It returns ErrNotFound if there are no lines.
func (t *Trace) Write(w io.Writer) error {
	if len(t.lines) == 0 {
		return errors.Wrapf(ErrNotFound, "%s (%d unreadable lines)", t.id, t.unreadable)
	}
	slices.SortStableFunc(t.lines, func(a, b line) int { return a.timestamp.Compare(b.timestamp) })
	start := t.lines[0].timestamp
	for _, l := range t.lines {
		if _, err := fmt.Fprintf(w, "%8.1f ms  %-16v %-10v %v%s\n", float64(l.timestamp.Sub(start).Microseconds())/1000, l.fields["self"], l.fields["part"], l.fields["msg"], details(l.fields)); err != nil {
			return errors.Wrap(err, "trace")
		}
	}
	if t.unreadable > 0 {
		fmt.Fprintf(w, "%d lines could not be read\n", t.unreadable)
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", t.cause())
	return errors.Wrap(err, "trace")
}

// omittedFields lists the fields that details leaves out: those that Write prints in
// columns, and request, time and level.
var omittedFields = []string{"self", "part", "msg", "request", "time", "level"}

// details formats the other non-empty fields of a line, sorted by name.
func details(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if !slices.Contains(omittedFields, name) && fields[name] != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, fields[name])
	}
	return b.String()
}

// cause describes the outcome of the request, taken from the latest line that reports its
// end.
func (t *Trace) cause() string {
	for _, l := range slices.Backward(t.lines) {
		if l.fields["msg"] != "request finished" {
			continue
		}
		f := l.fields
		switch f["outcome"] {
		case "served":
			return fmt.Sprintf("served by %v after %v ms", f["target"], f["ms"])
		case "refused":
			return fmt.Sprintf("refused before it ran: %v", f["reason"])
		case "denied":
			return fmt.Sprintf("version %v of the configuration does not allow it: %v", f["version"], f["reason"])
		case "client-left":
			return "its client closed the connection"
		default:
			return fmt.Sprintf("may have run at %v: %v", f["target"], f["reason"])
		}
	}
	return "no host told of its end: the host that had it was lost, or its lines are missing"
}
