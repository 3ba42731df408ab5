package eventlog

import (
	"io"
	"sync/atomic"
	"time"
)

// Limits of a Writer.
const (
	// maxQueuedLines limits the memory used while the reader stalls.
	maxQueuedLines = 4096
	// maxBatchBytes is the largest write that a pipe accepts atomically, so that
	// lines are not split.
	maxBatchBytes = 4096
	// maxBatchDelay is how long a line waits for further lines, as each write
	// costs a system call.
	maxBatchDelay = 100 * time.Millisecond
	// closeTimeout limits how long Close waits for a slow reader.
	closeTimeout = 300 * time.Millisecond
)

// Writer writes lines to an io.Writer whose reader may stall. It drops and
// counts lines while its queue is full.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes to out in its own goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.writeBatches(out)
	return w
}

// Write queues a copy of line, or drops it if the queue is full. It never blocks
// and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines, but gives up after closeTimeout if the reader
// stalls. Write must not be called after Close.
func (w *Writer) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// writeBatches writes the queued lines to out in batches of whole lines.
func (w *Writer) writeBatches(out io.Writer) {
	defer close(w.done)
	var batch []byte
	flush := func() {
		if len(batch) > 0 {
			// The log is the only place to report errors, so a failed write is ignored.
			_, _ = out.Write(batch)
			batch = batch[:0]
		}
	}
	timer := time.NewTimer(maxBatchDelay)
	defer timer.Stop()
	for {
		select {
		case line, open := <-w.lines:
			if !open {
				flush()
				return
			}
			if len(batch)+len(line) > maxBatchBytes {
				flush()
			}
			if len(batch) == 0 {
				timer.Reset(maxBatchDelay)
			}
			batch = append(batch, line...)
		case <-timer.C:
			flush()
		}
	}
}
