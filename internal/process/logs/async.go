package logs

// This file defines Async, a writer that never blocks.

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

const (
	// queuedLines is the number of lines that may wait for the reader. At 400
	// bytes a line it bounds the memory at about 200 KB.
	queuedLines = 512
	// flushTime bounds the writing of queued lines at the end of the process.
	flushTime = 200 * time.Millisecond
)

// Async hands lines to a writer through a bounded queue. Lines that find the queue
// full are dropped and counted.
type Async struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

var _ io.Writer = (*Async)(nil)

// NewAsync returns a writer in front of w. Its goroutine runs in g.
func NewAsync(w io.Writer, g *group.Group) *Async {
	a := &Async{w: w, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	g.Go("log", a.run)
	return a
}

// Write implements io.Writer. It always takes the whole line.
func (a *Async) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Flush waits until the queued lines are written, for a bounded time.
func (a *Async) Flush() {
	deadline := time.Now().Add(flushTime)
	for len(a.lines) > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

func (a *Async) run(ctx context.Context) error {
	var told int64
	for {
		select {
		case <-ctx.Done():
			return nil
		case line := <-a.lines:
			if _, err := a.w.Write(line); err != nil {
				// Nothing can be said of a log that cannot be written.
				a.dropped.Add(1)
			}
		}
		if n := a.dropped.Load(); n > told && len(a.lines) == 0 {
			fmt.Fprintf(a.w, "{\"level\":\"warning\",\"part\":\"logs\",\"msg\":\"lines were dropped\",\"dropped\":%d}\n", n-told)
			told = n
		}
	}
}
