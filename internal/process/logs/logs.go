// Package logs makes the structured log of a process: one line per event, with a
// fixed prefix per part.
//
// # Usage
//
//	l, err := logs.New(os.Stderr, "info", "host-1")
//	l.For("links").WithField("host", name).Info("link is open")
//	// time=... level=info msg="links: link is open" host=... self=host-1
package logs

// This file defines Log, the source of prefixed entries.

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// partKey is the field that holds the part until the line is formatted.
const partKey = "part"

// Log makes entries for the parts of a process.
type Log struct {
	logger *logrus.Logger
	self   string
}

// New returns a log that writes to w. level is one of logrus' names.
func New(w io.Writer, level, self string) (*Log, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "logs")
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsed)
	logger.SetFormatter(&formatter{text: &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"}})
	return &Log{logger: logger, self: self}, nil
}

// For returns the entry of a part.
func (l *Log) For(part string) *logrus.Entry {
	return l.logger.WithFields(logrus.Fields{partKey: part, "self": l.self})
}

// formatter puts the part in front of the message.
type formatter struct{ text logrus.Formatter }

// Format implements logrus.Formatter.
func (f *formatter) Format(e *logrus.Entry) ([]byte, error) {
	part, ok := e.Data[partKey].(string)
	if !ok {
		return f.text.Format(e)
	}
	line := e.WithFields(nil)
	line.Time, line.Level = e.Time, e.Level
	line.Message = part + ": " + e.Message
	delete(line.Data, partKey)
	return f.text.Format(line)
}
