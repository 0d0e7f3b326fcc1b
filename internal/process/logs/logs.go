// Package logs makes the structured log of a process: one line per event, with the
// part in a field of its own.
//
// # Usage
//
//	lines := logs.NewAsync(os.Stdout, group)
//	l, err := logs.New(lines, "info", "host-1")
//	l.For("links").WithField("host", name).Info("link is open")
//	// {"host":"...","level":"info","msg":"link is open","part":"links","self":"host-1","time":"..."}
package logs

// This file defines Log, the source of prefixed entries.

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// partKey is the field that holds the part.
const partKey = "part"

// Log makes entries for the parts of a process.
type Log struct {
	logger *logrus.Logger
	self   string
}

// New returns a log that writes one JSON object per line to w. level is one of logrus'
// names.
func New(w io.Writer, level, self string) (*Log, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "logs")
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return &Log{logger: logger, self: self}, nil
}

// For returns the entry of a part.
func (l *Log) For(part string) *logrus.Entry {
	return l.logger.WithFields(logrus.Fields{partKey: part, "self": l.self})
}
