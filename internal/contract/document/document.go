// Package document decodes hand-written JSON documents, such as settings and intents, and
// reports errors with their line and field.
//
// # Usage
//
//	var s Settings
//	err := document.Decode("balancer.json", data, &s)
//	// balancer.json:12: domian: unknown field
//	line := document.Line(data, "services[0].kinds[1].deadline")
package document

// This file defines Decode, a strict JSON decoder whose errors carry line numbers.

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

// Error describes an error in a document.
type Error struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// Error returns the error in the form file:line: field: reason.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// Decode decodes exactly one JSON value into v. It rejects unknown fields and trailing
// data. The error is an *Error.
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

// Invalid returns an *Error for a field whose value is well formed but not valid. For the
// form of field, see Line.
func Invalid(file string, data []byte, field, reason string) error {
	return &Error{File: file, Line: Line(data, field), Field: field, Reason: reason}
}

// describe converts an error of encoding/json or a *ValueError to an *Error.
func describe(file string, data []byte, err error) error {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return &Error{File: file, Line: lineAt(data, syntaxErr.Offset), Reason: syntaxErr.Error()}
	case errors.As(err, &typeErr):
		reason := fmt.Sprintf("want %s, got %s", typeErr.Type, typeErr.Value)
		return &Error{File: file, Line: lineAt(data, typeErr.Offset), Field: typeErr.Field, Reason: reason}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name = strings.Trim(name, `"`)
		return &Error{File: file, Line: lineOfKey(data, name), Field: name, Reason: "unknown field"}
	}
	var valueErr *ValueError
	if errors.As(err, &valueErr) {
		return &Error{File: file, Line: lineOfText(data, strconv.Quote(valueErr.Text)), Reason: valueErr.Error()}
	}
	return &Error{File: file, Line: 1, Reason: err.Error()}
}

// Line returns the line of the field with the given path, such as
// services[0].kinds[1].deadline. If the document lacks the field, it returns the line of
// the nearest enclosing value.
func Line(data []byte, path string) int {
	w := &walker{dec: json.NewDecoder(bytes.NewReader(data)), wantPath: path}
	w.value("")
	return lineAt(data, w.offset)
}

// walker walks the tokens of a document and records the offset of the value whose path is
// the longest prefix of wantPath.
type walker struct {
	dec      *json.Decoder
	wantPath string
	// matched is the length of the longest matching path so far.
	matched int
	offset  int64
}

func (w *walker) visit(path string) {
	if strings.HasPrefix(w.wantPath, path) && len(path) > w.matched {
		w.matched = len(path)
		w.offset = w.dec.InputOffset()
	}
}

func (w *walker) value(path string) {
	tok, err := w.dec.Token()
	if err != nil {
		return
	}
	w.visit(path)
	switch tok {
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

// lineAt returns the line that contains the byte at offset, starting from 1.
func lineAt(data []byte, offset int64) int {
	offset = min(offset, int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// lineOfKey returns the line of the first object key with the given name, or 1 if there is
// none.
func lineOfKey(data []byte, key string) int {
	quoted := []byte(strconv.Quote(key))
	for pos := 0; ; {
		i := bytes.Index(data[pos:], quoted)
		if i < 0 {
			return 1
		}
		pos += i + len(quoted)
		if bytes.HasPrefix(bytes.TrimLeft(data[pos:], " \t\r\n"), []byte(":")) {
			return lineAt(data, int64(pos))
		}
	}
}

// lineOfText returns the line of the first occurrence of text, or 1 if there is none.
func lineOfText(data []byte, text string) int {
	i := max(bytes.Index(data, []byte(text)), 0)
	return lineAt(data, int64(i))
}

// ValueError reports a JSON string that cannot be parsed as a value of its type.
type ValueError struct {
	Text   string
	Reason string
}

// Error implements error.
func (e *ValueError) Error() string { return fmt.Sprintf("%q: %s", e.Text, e.Reason) }

// Duration is a time.Duration that is encoded as text, for example "150ms".
type Duration time.Duration

// Std returns d as a time.Duration.
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
