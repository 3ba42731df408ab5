package eventlog_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"jacinthwind/common/eventlog"
	"jacinthwind/core/event"
)

func TestEventOverItsLimitDropsLinesAndReportsTheirCount(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(100, 0)
	l := eventlog.New(zapcore.AddSync(&out))
	l.Now = func() time.Time { return now }
	for range 2500 {
		l.Event(event.RunStarted)
	}
	require.Equal(t, 2000, strings.Count(out.String(), "\n"))
	now = now.Add(time.Second)
	l.Event(event.RunStarted)
	require.Contains(t, out.String(), `"of":604,"count":500`)
}

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
	w := eventlog.NewWriter(s)
	line := []byte(strings.Repeat("x", 99) + "\n")
	const lines = 10_000
	for range lines {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Positive(t, w.Dropped())
	close(s.released)
	w.Close()
	got := strings.SplitAfter(s.received.String(), "\n")
	require.Len(t, got, lines-int(w.Dropped())+1)
	require.Equal(t, string(line), got[len(got)-2])
}
