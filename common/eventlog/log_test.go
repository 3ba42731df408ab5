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

func TestBudgetAndCountOfDropped(t *testing.T) {
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

// stalled is a reader that takes nothing until it is freed.
type stalled struct {
	free chan struct{}
	got  bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.free
	return s.got.Write(p)
}

// TestStalledReader writes more than there is room for while the reader takes
// nothing; no write waits, and lines stay whole.
func TestStalledReader(t *testing.T) {
	s := &stalled{free: make(chan struct{})}
	w := eventlog.NewWriter(s)
	line := []byte(strings.Repeat("x", 99) + "\n")
	const lines = 10_000
	for range lines {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Positive(t, w.Dropped())
	close(s.free)
	w.Close()
	got := strings.SplitAfter(s.got.String(), "\n")
	require.Len(t, got, lines-int(w.Dropped())+1)
	require.Equal(t, string(line), got[len(got)-2])
}
