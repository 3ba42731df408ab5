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
