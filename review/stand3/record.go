//go:build review3

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// line writes a line with the seconds since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// note writes a line and prints it.
func (r *record) note(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
