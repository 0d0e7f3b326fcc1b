package logs

// This file defines bounds, which limits the length of log lines.

import (
	"strconv"
	"unicode/utf8"

	"github.com/sirupsen/logrus"
)

const (
	// maxValueBytes bounds a text in a field, which may come from a request or an entry of the store.
	maxValueBytes = 1 << 10
	// maxListed bounds the entries of a list.
	maxListed = 512
)

// bounds shortens the values of the fields of a line.
type bounds struct{}

var _ logrus.Hook = bounds{}

// Levels implements logrus.Hook.
func (bounds) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook. The fields are those of this line only.
func (bounds) Fire(e *logrus.Entry) error {
	for name, value := range e.Data {
		switch v := value.(type) {
		case string:
			if len(v) > maxValueBytes {
				e.Data[name] = shorten(v)
			}
		case error:
			if text := v.Error(); len(text) > maxValueBytes {
				e.Data[name] = shorten(text)
			}
		case []string:
			if len(v) > maxListed {
				e.Data[name] = append(v[:maxListed:maxListed], "and "+strconv.Itoa(len(v)-maxListed)+" more")
			}
		}
	}
	return nil
}

// shorten returns the beginning of a text and the number of bytes that it leaves out.
func shorten(text string) string {
	n := maxValueBytes
	for n > 0 && !utf8.RuneStart(text[n]) {
		n--
	}
	return text[:n] + "... (" + strconv.Itoa(len(text)-n) + " more bytes)"
}
