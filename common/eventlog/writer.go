package eventlog

import (
	"io"
	"sync/atomic"
	"time"
)

// Writer limits.
const (
	// queueLines bounds the memory that lines take while the reader stalls.
	queueLines = 4096
	// batchBytes is what a pipe takes in one piece, so that lines stay whole.
	batchBytes = 4096
	// batchDelay is how long a line may wait for others; each write costs a call.
	batchDelay = 100 * time.Millisecond
	// closeWithin bounds the wait for a reader at the end.
	closeWithin = 300 * time.Millisecond
)

// Writer passes lines on to a reader that may stall: lines that find no room are
// dropped and counted.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a writer to w.
func NewWriter(w io.Writer) *Writer {
	n := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go n.run(w)
	return n
}

// Write implements io.Writer and never blocks.
func (n *Writer) Write(line []byte) (int, error) {
	select {
	case n.lines <- append([]byte(nil), line...):
	default:
		n.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found no room.
func (n *Writer) Dropped() int64 { return n.dropped.Load() }

// Close writes what waits, unless the reader stalls. Nothing may be written
// afterwards.
func (n *Writer) Close() {
	close(n.lines)
	select {
	case <-n.done:
	case <-time.After(closeWithin):
	}
}

// run writes lines together, whole lines at a time.
func (n *Writer) run(w io.Writer) {
	defer close(n.done)
	var batch []byte
	flush := func() {
		if len(batch) > 0 {
			// There is no place to report a failed write to.
			_, _ = w.Write(batch)
			batch = batch[:0]
		}
	}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for {
		select {
		case line, open := <-n.lines:
			if !open {
				flush()
				return
			}
			if len(batch)+len(line) > batchBytes {
				flush()
			}
			if len(batch) == 0 {
				timer.Reset(batchDelay)
			}
			batch = append(batch, line...)
		case <-timer.C:
			flush()
		}
	}
}
