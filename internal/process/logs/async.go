package logs

// This file defines Async, a non-blocking writer.

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

const (
	// queueLength is the capacity of the queue in lines. At 400 bytes per line it limits
	// the memory to about 200 KB.
	queueLength = 512
	// flushTimeout limits the time that Flush waits at the end of the process.
	flushTimeout = 200 * time.Millisecond
	// maxWriteBytes is the size from which on a write takes no further lines.
	maxWriteBytes = 16 << 10
)

// Async passes lines to a writer through a bounded queue. If the queue is full, lines are
// dropped and counted.
type Async struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// unwritten counts the lines that were accepted and not written yet.
	unwritten atomic.Int64
	// buf holds the lines of one write. Only run uses it.
	buf []byte
}

var _ io.Writer = (*Async)(nil)

// NewAsync returns an Async that writes to w from a goroutine in g.
func NewAsync(w io.Writer, g *group.Group) *Async {
	a := &Async{w: w, lines: make(chan []byte, queueLength)}
	g.Go("log", a.run)
	return a
}

// Write implements io.Writer. It neither blocks nor fails.
func (a *Async) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	a.unwritten.Add(1)
	select {
	case a.lines <- line:
	default:
		a.unwritten.Add(-1)
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Flush waits for a limited time until all lines are written.
func (a *Async) Flush() {
	deadline := time.Now().Add(flushTimeout)
	for a.unwritten.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

// run writes queued lines to w. After lines were dropped, it logs their number as soon as
// the queue is empty.
func (a *Async) run(ctx context.Context) error {
	var reported int64
	for {
		select {
		case <-ctx.Done():
			return nil
		case line := <-a.lines:
			a.writeQueued(line)
		}
		if n := a.dropped.Load(); n > reported && len(a.lines) == 0 {
			fmt.Fprintf(a.w, "{\"level\":\"warning\",\"part\":\"logs\",\"msg\":\"lines were dropped\",\"dropped\":%d}\n", n-reported)
			reported = n
		}
	}
}

// writeQueued writes a line and those queued behind it, up to maxWriteBytes, in one call.
func (a *Async) writeQueued(line []byte) {
	a.buf = append(a.buf[:0], line...)
	count := int64(1)
	for len(a.buf) < maxWriteBytes && len(a.lines) > 0 {
		a.buf = append(a.buf, <-a.lines...)
		count++
	}
	if _, err := a.w.Write(a.buf); err != nil {
		// The error cannot be logged, because the log itself is not writable.
		a.dropped.Add(count)
	}
	a.unwritten.Add(-count)
}
