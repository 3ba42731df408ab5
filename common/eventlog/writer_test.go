package eventlog

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stalledWriter blocks every write until released is closed.
type stalledWriter struct {
	released chan struct{}
	received bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.released
	return s.received.Write(p)
}

// TestStalledWriterDropsWholeLinesWithoutBlocking guards against a reader of the log
// that stalls and so blocks the process or cuts lines: it queues more lines than the
// writer holds while the reader is stalled, and expects the excess to be dropped and
// counted.
func TestStalledWriterDropsWholeLinesWithoutBlocking(t *testing.T) {
	s := &stalledWriter{released: make(chan struct{})}
	w := NewWriter(s)
	line := []byte(strings.Repeat("x", 99) + "\n")
	const lines = 10_000
	for range lines {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Positive(t, w.Dropped())
	close(s.released)
	began := time.Now()
	w.Close()
	select {
	case <-w.done:
	default:
		require.GreaterOrEqual(t, time.Since(began), closeTimeout, "Close waits for the queued lines")
	}
	<-w.done
	got := strings.SplitAfter(s.received.String(), "\n")
	require.Len(t, got, lines-int(w.Dropped())+1)
	require.Equal(t, string(line), got[len(got)-2])
}
