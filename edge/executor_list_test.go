package edge

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"jacinthwind/common/eventlog"
	"jacinthwind/core"
	"jacinthwind/core/fleet"
)

// refusingCodec cannot decode any entry.
type refusingCodec struct{ core.Codec }

func (refusingCodec) DecodeExecutor(core.Item) (fleet.Executor, error) {
	return fleet.Executor{}, errors.New("odd")
}

// TestOddEntriesDoNotFloodTheLog rewrites an odd entry, and many, again and again.
func TestOddEntriesDoNotFloodTheLog(t *testing.T) {
	h, _ := newTestHost(t)
	var out bytes.Buffer
	h.log, h.codec = eventlog.New(zapcore.AddSync(&out)), refusingCodec{}
	for range 1000 {
		_, ok := h.decodeExecutor(core.Item{Key: "p/1"})
		require.False(t, ok)
	}
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	for i := range 1000 {
		h.decodeExecutor(core.Item{Key: fmt.Sprint("p/", i)})
	}
	require.LessOrEqual(t, strings.Count(out.String(), "\n"), maxLoggedEntries)

	var l entryLog
	_, ok := l.admit(0, "a")
	require.True(t, ok)
	_, ok = l.admit(oddEntryLogInterval-1, "a")
	require.False(t, ok)
	unlogged, ok := l.admit(oddEntryLogInterval, "a")
	require.True(t, ok, "it is logged again after a while")
	require.Equal(t, 1, unlogged)
	for i := range maxLoggedEntries {
		l.admit(oddEntryLogInterval, fmt.Sprint(i))
	}
	_, ok = l.admit(3*oddEntryLogInterval, "another")
	require.True(t, ok, "those of earlier intervals are forgotten")
	require.Less(t, len(l.loggedAt), 3)
}
