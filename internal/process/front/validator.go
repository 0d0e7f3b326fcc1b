package front

// This file defines validator, which tracks the boundaries of HTTP/1 requests on a connection
// and rejects requests that two parsers could read differently.

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Errors for ambiguous or malformed requests. They cause the connection to be closed.
var (
	// ErrLineEnd reports a line that does not end with CR LF, or that contains a CR or NUL.
	ErrLineEnd = errors.New("front: bad line ending or control character")
	// ErrRequestLine reports a malformed request line.
	ErrRequestLine = errors.New("front: malformed request line")
	// ErrHeaderLine reports a folded header line or one without a valid field name.
	ErrHeaderLine = errors.New("front: malformed header line")
	// ErrBodyLength reports a body whose length is invalid, given more than once or not
	// determined by the header.
	ErrBodyLength = errors.New("front: ambiguous body length")
	// ErrHost reports a second Host field, or a request target with a different host.
	ErrHost = errors.New("front: ambiguous host")
	// ErrChunk reports a malformed chunk.
	ErrChunk = errors.New("front: malformed chunk")
	// ErrLineTooLong reports a line longer than maxLineBytes.
	ErrLineTooLong = errors.New("front: line is too long")
)

const (
	// maxLineBytes limits the length of a line. The server itself limits the total size of a
	// header, to less.
	maxLineBytes = 1<<20 + 16<<10
	// maxChunkDigits limits the hexadecimal digits of a chunk size.
	maxChunkDigits = 15
	// http2Preface is the first line of an HTTP/2 connection.
	http2Preface = "PRI * HTTP/2.0"
)

// state is the part of a request that is expected next.
type state int

const (
	atRequestLine state = iota
	atHeader
	atBody
	atChunkSize
	atChunkEnd
	atTrailer
	// atUnknown follows the header of a request whose transfer coding the server rejects.
	atUnknown
	// atFrames follows the HTTP/2 preface. HTTP/2 frames are unambiguous.
	atFrames
)

// validator validates the framing of the requests on one connection. It does no I/O.
type validator struct {
	// http2 allows the connection to start with the HTTP/2 preface.
	http2 bool

	state state
	// partial is the start of a line whose end has not been read yet.
	partial []byte
	// remaining is the number of unread bytes of the body or chunk.
	remaining int64
	// requests counts the request lines that have been read.
	requests int
	// headerBytes counts the bytes of request lines, headers and trailers, and fields their fields, since
	// takeHeader.
	headerBytes, fields int64

	// The remaining fields describe the current request.
	method    string
	version   string
	authority string
	host      string
	hosts     int
	lengths   int
	codings   int
	chunked   bool
}

// feed validates the next bytes of the connection. It returns how many of them are valid,
// which is less than len(p) only with an error.
func (v *validator) feed(p []byte) (int, error) {
	for at := 0; at < len(p); {
		switch v.state {
		case atFrames:
			return len(p), nil
		case atUnknown:
			return at, ErrBodyLength
		case atBody:
			n := min(v.remaining, int64(len(p)-at))
			v.remaining -= n
			at += int(n)
			v.endBody()
		default:
			before := v.state
			n, err := v.feedLine(p[at:])
			if err != nil {
				return at, err
			}
			if before == atRequestLine || before == atHeader || before == atTrailer {
				v.headerBytes += int64(n)
			}
			if before == v.state && (before == atHeader || before == atTrailer) && len(v.partial) == 0 {
				v.fields++
			}
			at += n
		}
	}
	return len(p), nil
}

// takeHeader returns the number of bytes of request lines, headers and trailers that were fed since the last
// call, those of a line whose end is missing included, and the number of their fields.
func (v *validator) takeHeader() (bytes, fields int64) {
	bytes, fields = v.headerBytes, v.fields
	v.headerBytes, v.fields = 0, 0
	return bytes, fields
}

// partialChunkLine returns the length of the stored start of a line between chunks.
func (v *validator) partialChunkLine() int64 {
	if v.state != atChunkSize && v.state != atChunkEnd {
		return 0
	}
	return int64(len(v.partial))
}

// begun returns the number of requests of which bytes have been read.
func (v *validator) begun() int {
	if v.state == atRequestLine && len(v.partial) > 0 {
		return v.requests + 1
	}
	return v.requests
}

// endBody sets the next state if the body or chunk is complete.
func (v *validator) endBody() {
	switch {
	case v.remaining > 0:
	case v.chunked:
		v.state = atChunkEnd
	default:
		v.state = atRequestLine
	}
}

// feedLine processes the next line in p, or stores p if it contains no line end. It returns
// the number of bytes processed.
func (v *validator) feedLine(p []byte) (int, error) {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		v.partial = append(v.partial, p...)
		if len(v.partial) > maxLineBytes {
			return 0, ErrLineTooLong
		}
		return len(p), nil
	}
	line := p[:end]
	if len(v.partial) > 0 {
		line = append(v.partial, line...)
		v.partial = v.partial[:0]
	}
	line, ok := bytes.CutSuffix(line, []byte("\r"))
	if !ok || bytes.ContainsAny(line, "\r\x00") {
		return 0, ErrLineEnd
	}
	return end + 1, v.parseLine(string(line))
}

func (v *validator) parseLine(line string) error {
	switch v.state {
	case atRequestLine:
		return v.parseRequestLine(line)
	case atHeader:
		return v.parseHeader(line)
	case atChunkSize:
		return v.parseChunkSize(line)
	case atChunkEnd:
		v.state = atChunkSize
		if line != "" {
			return ErrChunk
		}
	case atTrailer:
		return v.parseTrailer(line)
	case atBody, atUnknown, atFrames:
	}
	return nil
}

func (v *validator) parseRequestLine(line string) error {
	if line == "" {
		// The server handles empty lines between requests.
		return nil
	}
	if v.http2 && v.requests == 0 && line == http2Preface {
		v.state = atFrames
		return nil
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" || strings.Contains(line, "\t") {
		return ErrRequestLine
	}
	*v = validator{http2: v.http2, partial: v.partial, requests: v.requests + 1, headerBytes: v.headerBytes, fields: v.fields, state: atHeader, method: parts[0], version: parts[2]}
	if v.method == "CONNECT" {
		return errors.Wrap(ErrRequestLine, "CONNECT")
	}
	if _, rest, ok := strings.Cut(parts[1], "://"); ok && !strings.HasPrefix(parts[1], "/") {
		v.authority, _, _ = strings.Cut(rest, "/")
	}
	return nil
}

func (v *validator) parseHeader(line string) error {
	if line == "" {
		return v.endHeader()
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return ErrHeaderLine
	}
	value = strings.Trim(value, " \t")
	switch strings.ToLower(name) {
	case "host":
		v.hosts++
		v.host = value
	case "content-length":
		v.lengths++
		length, err := strconv.ParseUint(value, 10, 63)
		if err != nil || value[0] == '+' {
			return errors.Wrap(ErrBodyLength, value)
		}
		v.remaining = int64(min(length, math.MaxInt64))
	case "transfer-encoding":
		v.codings++
		v.chunked = strings.EqualFold(value, "chunked")
	}
	if v.hosts > 1 {
		return errors.Wrap(ErrHost, "more than one Host field")
	}
	if v.lengths+v.codings > 1 || v.codings > 0 && v.version == "HTTP/1.0" {
		return ErrBodyLength
	}
	return nil
}

// endHeader sets the state that follows the header.
func (v *validator) endHeader() error {
	switch {
	case v.authority != "" && !strings.EqualFold(v.authority, v.host):
		return errors.Wrap(ErrHost, "request target and Host field differ")
	case v.chunked:
		v.state = atChunkSize
	case v.codings > 0:
		v.state = atUnknown
	case v.remaining > 0:
		v.state = atBody
	default:
		v.state = atRequestLine
	}
	return nil
}

func (v *validator) parseChunkSize(line string) error {
	digits, _, _ := strings.Cut(line, ";")
	if len(digits) > maxChunkDigits {
		return ErrChunk
	}
	size, err := strconv.ParseUint(digits, 16, 63)
	if err != nil {
		return ErrChunk
	}
	v.remaining, v.state = int64(size), atBody
	if size == 0 {
		v.state = atTrailer
	}
	return nil
}

func (v *validator) parseTrailer(line string) error {
	if line == "" {
		v.state = atRequestLine
		return nil
	}
	name, _, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return ErrHeaderLine
	}
	switch strings.ToLower(name) {
	case "content-length", "transfer-encoding", "host":
		return errors.Wrap(ErrBodyLength, "framing or Host field in a trailer")
	}
	return nil
}

// isToken reports whether s is a token as defined in RFC 9110, section 5.6.2.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}
