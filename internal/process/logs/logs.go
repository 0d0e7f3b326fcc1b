// Package logs provides the structured log of a process: one JSON object per line, with
// the component in the field "part".
//
// # Usage
//
//	lines := logs.NewAsync(os.Stdout, group)
//	l, err := logs.New(lines, "info", "host-1")
//	l.For("process").WithField("callers", address).Info("balancer started")
//	// {"callers":"...","level":"info","msg":"balancer started","part":"process","self":"host-1","time":"..."}
package logs

// This file defines Log.

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// partKey is the name of the field that holds the component.
const partKey = "part"

// Log creates loggers for the components of a process.
type Log struct {
	logger *logrus.Logger
	self   string
}

// New returns a Log that writes to w. level is the name of a logrus level; self is the
// value of the field "self" in every line.
func New(w io.Writer, level, self string) (*Log, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "logs")
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	logger.AddHook(bounds{})
	return &Log{logger: logger, self: self}, nil
}

// For returns the logger of a component.
func (l *Log) For(part string) *logrus.Entry {
	return l.logger.WithFields(logrus.Fields{partKey: part, "self": l.self})
}
