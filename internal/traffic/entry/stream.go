package entry

// This file defines how the rest of a long response body is passed on.

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
)

// stream is the rest of a response body on its way to the client. It remembers on which
// side the time was spent, and which side failed.
type stream struct {
	from io.Reader
	to   io.Writer
	// reading and writing are the times spent waiting for the target and for the client.
	reading, writing time.Duration
	readErr          error
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	started := time.Now()
	n, err := s.from.Read(p)
	s.reading += time.Since(started)
	if !errors.Is(err, io.EOF) {
		s.readErr = err
	}
	return n, err
}

// Write implements io.Writer.
func (s *stream) Write(p []byte) (int, error) {
	started := time.Now()
	n, err := s.to.Write(p)
	s.writing += time.Since(started)
	return n, err
}

// targetFailed reports whether the target is the reason why the body was not passed on to its
// end. clientLeft is set if the client closed its connection.
func (s *stream) targetFailed(clientLeft bool) bool {
	switch {
	case errors.Is(s.readErr, errResponseTooLarge):
		// It is that long however fast the client reads.
		return true
	case s.readErr == nil || clientLeft:
		return false
	}
	return s.reading >= s.writing
}

// streamResponse passes on the buffered part of a response body and then the rest, reports
// the outcome of the attempt, and returns whether the body was passed on to its end.
func (req *clientRequest) streamResponse(w io.Writer, r attempt) bool {
	s := &stream{from: io.LimitReader(r.unread, maxStreamedResponse), to: w}
	_, err := s.Write(r.body)
	if err == nil {
		// The buffer of the beginning is reserved already, and no more may be.
		_, err = io.CopyBuffer(s, s, r.body[:min(cap(r.body), maxCopyBytes)])
	}
	if err == nil && !atEnd(r.unread) {
		err, s.readErr = errResponseTooLarge, errResponseTooLarge
	}
	_ = r.unread.Close()
	r.unread = nil
	result := r.result(req.incoming.Context())
	if err != nil {
		clientLeft := req.incoming.Context().Err() != nil
		r.outcome, r.cause, result = outcomeUnknown, err, placement.Cancelled
		r.streamBroke = s.readErr != nil && !clientLeft
		if s.targetFailed(clientLeft) {
			result = placement.Failed
		}
		req.h.cfg.Log.WithError(err).WithFields(logrus.Fields{
			fieldRequest: req.id, fieldTarget: r.grant.ID, "target-ms": s.reading.Milliseconds(), "client-ms": s.writing.Milliseconds(), "target-failed": result == placement.Failed,
		}).Info("response was cut off")
	}
	req.h.reportDone(&r, result)
	return err == nil
}

// atEnd reports whether a body has no more bytes.
func atEnd(body io.Reader) bool {
	n, err := body.Read(make([]byte, 1))
	return n == 0 && errors.Is(err, io.EOF)
}
