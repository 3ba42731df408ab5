package eventlog

import (
	"io"
	"sync/atomic"
	"time"
)

// Limits of a Writer.
const (
	// maxQueuedLines bounds the memory used while the reader stalls.
	maxQueuedLines = 4096
	// maxBatchBytes is the largest write that a pipe accepts atomically, so that
	// lines are not split.
	maxBatchBytes = 4096
	// maxBatchDelay is how long a line waits for further lines, as each write
	// costs a system call.
	maxBatchDelay = 100 * time.Millisecond
	// closeTimeout bounds how long Close waits for a slow reader.
	closeTimeout = 300 * time.Millisecond
)

// Writer writes lines to an io.Writer whose reader may stall. It drops and
// counts lines while its queue is full.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes to w in its own goroutine.
func NewWriter(w io.Writer) *Writer {
	n := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go n.writeBatches(w)
	return n
}

// Write queues a copy of line, or drops it if the queue is full. It never blocks
// and never returns an error.
func (n *Writer) Write(line []byte) (int, error) {
	select {
	case n.lines <- append([]byte(nil), line...):
	default:
		n.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (n *Writer) Dropped() int64 { return n.dropped.Load() }

// Close writes the queued lines, but gives up after closeTimeout if the reader
// stalls. Write must not be called after Close.
func (n *Writer) Close() {
	close(n.lines)
	select {
	case <-n.done:
	case <-time.After(closeTimeout):
	}
}

// writeBatches writes the queued lines to w in batches of whole lines.
func (n *Writer) writeBatches(w io.Writer) {
	defer close(n.done)
	var batch []byte
	flush := func() {
		if len(batch) > 0 {
			// The log is the only place to report errors, so a failed write is ignored.
			_, _ = w.Write(batch)
			batch = batch[:0]
		}
	}
	timer := time.NewTimer(maxBatchDelay)
	defer timer.Stop()
	for {
		select {
		case line, open := <-n.lines:
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
