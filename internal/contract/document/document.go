// Package document reads the JSON documents that people write: settings and
// intents. An error names the line and the field.
//
// # Usage
//
//	var s Settings
//	err := document.Decode("balancer.json", data, &s)
//	// balancer.json:12: domian: unknown field
//	line := document.Line(data, "services[0].kinds[1].deadline")
package document

// This file defines Decode, the strict JSON reader with line numbers.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Error is a fault in a document.
type Error struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// Error implements error as file:line: field: reason.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// Decode reads exactly one JSON value into v and refuses unknown fields. The
// error is an *Error.
func Decode(file string, data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return describe(file, data, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &Error{File: file, Line: lineAt(data, dec.InputOffset()), Reason: "text after the end of the document"}
	}
	return nil
}

// Invalid returns the error for a field whose value is well formed but wrong.
func Invalid(file string, data []byte, field, reason string) error {
	return &Error{File: file, Line: Line(data, field), Field: field, Reason: reason}
}

func describe(file string, data []byte, err error) error {
	var syntax *json.SyntaxError
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return &Error{File: file, Line: lineAt(data, syntax.Offset), Reason: syntax.Error()}
	case errors.As(err, &mistyped):
		reason := fmt.Sprintf("want %s, got %s", mistyped.Type, mistyped.Value)
		return &Error{File: file, Line: lineAt(data, mistyped.Offset), Field: mistyped.Field, Reason: reason}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name = strings.Trim(name, `"`)
		return &Error{File: file, Line: lineOfKey(data, name), Field: name, Reason: "unknown field"}
	}
	var value *ValueError
	if errors.As(err, &value) {
		return &Error{File: file, Line: lineOfText(data, strconv.Quote(value.Text)), Reason: value.Error()}
	}
	return &Error{File: file, Line: 1, Reason: err.Error()}
}

// Line returns the line of a field given as a path such as
// services[0].kinds[1].deadline, or the line of its nearest parent.
func Line(data []byte, path string) int {
	w := &walker{dec: json.NewDecoder(bytes.NewReader(data)), want: path}
	w.value("")
	return lineAt(data, w.offset)
}

// walker remembers the offset of the longest prefix of the wanted path.
type walker struct {
	dec    *json.Decoder
	want   string
	best   int
	offset int64
}

func (w *walker) visit(path string) {
	if strings.HasPrefix(w.want, path) && len(path) > w.best {
		w.best = len(path)
		w.offset = w.dec.InputOffset()
	}
}

func (w *walker) value(path string) {
	token, err := w.dec.Token()
	if err != nil {
		return
	}
	w.visit(path)
	switch token {
	case json.Delim('{'):
		for w.dec.More() {
			key, err := w.dec.Token()
			if err != nil {
				return
			}
			child := strings.TrimPrefix(fmt.Sprintf("%s.%v", path, key), ".")
			w.value(child)
		}
		_, _ = w.dec.Token()
	case json.Delim('['):
		for i := 0; w.dec.More(); i++ {
			w.value(fmt.Sprintf("%s[%d]", path, i))
		}
		_, _ = w.dec.Token()
	}
}

func lineAt(data []byte, offset int64) int {
	offset = min(offset, int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

func lineOfKey(data []byte, key string) int {
	quoted := []byte(strconv.Quote(key))
	for from := 0; ; {
		i := bytes.Index(data[from:], quoted)
		if i < 0 {
			return 1
		}
		from += i + len(quoted)
		if bytes.HasPrefix(bytes.TrimLeft(data[from:], " \t\r\n"), []byte(":")) {
			return lineAt(data, int64(from))
		}
	}
}

func lineOfText(data []byte, text string) int {
	i := max(bytes.Index(data, []byte(text)), 0)
	return lineAt(data, int64(i))
}

// ValueError reports a text that does not have the form its type asks for.
type ValueError struct {
	Text   string
	Reason string
}

// Error implements error.
func (e *ValueError) Error() string { return fmt.Sprintf("%q: %s", e.Text, e.Reason) }

// Duration is a time.Duration that is written as text, for example "150ms".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &ValueError{Text: string(text), Reason: `not a duration such as "150ms"`}
	}
	*d = Duration(parsed)
	return nil
}
