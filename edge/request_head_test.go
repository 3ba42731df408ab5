package edge

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHeadTakesMemoryUntilItIsDropped checks that heads of many lines take memory from the budget
// while they are read, and give it back when they are dropped or their connection ends.
func TestHeadTakesMemoryUntilItIsDropped(t *testing.T) {
	s, open := newTestConns(4)
	lines := []byte(strings.Repeat("a:\r\n", 300))
	first, second := open(), open()
	reason, _ := first.addHead(lines[:4*30])
	require.Empty(t, reason)
	require.Zero(t, s.memory.used.Load(), "an ordinary head takes no memory from the budget")
	reason, _ = first.addHead(lines)
	require.Empty(t, reason)
	require.Positive(t, s.memory.used.Load())
	reason, answer := second.addHead([]byte(strings.Repeat("a:\r\n", 500)))
	require.Equal(t, refusedHeadMemory, reason)
	require.True(t, strings.HasPrefix(answer, "HTTP/1.1 503 "))
	require.False(t, second.headRead(&http.Request{Header: largeHeader(500)}))
	r := &http.Request{Header: largeHeader(300)}
	first.dropHead(r)
	require.Nil(t, r.Header)
	require.Zero(t, s.memory.used.Load())
	require.True(t, second.headRead(&http.Request{Header: largeHeader(500)}))
	require.Positive(t, s.memory.used.Load())
	require.NoError(t, second.Close())
	require.Zero(t, s.memory.used.Load())
	_, _ = second.addHead(lines)
	require.Zero(t, s.memory.used.Load(), "a closed connection takes no more memory")
}

// TestHeadOverTheLimitIsRefused checks that a head of legal size passes with what the server
// reads beyond it, and a larger one does not.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	_, open := newTestConns(1)
	c := open()
	reason, _ := c.addHead(make([]byte, 16<<10+readAheadBytes))
	require.Empty(t, reason)
	reason, answer := c.addHead(make([]byte, 1))
	require.Equal(t, closedHeadSize, reason)
	require.True(t, strings.HasPrefix(answer, "HTTP/1.1 431 "))
}

// TestCallerCannotHoldARequestWithoutEnd checks the time that callers get for their deadlines.
func TestCallerCannotHoldARequestWithoutEnd(t *testing.T) {
	for deadline, want := range map[string]time.Duration{
		"": defaultCallerTimeout, "3000": 2850 * time.Millisecond, "100": 50 * time.Millisecond, "-1": defaultCallerTimeout,
		"3600000": maxCallerTimeout - deadlineMargin, "9223372036854775807": maxCallerTimeout - deadlineMargin,
	} {
		r := &http.Request{Header: http.Header{"X-Deadline-Ms": {deadline}}}
		require.Equal(t, want, callerTimeout(r), "deadline %q", deadline)
	}
}

// largeHeader returns a header of distinct names.
func largeHeader(names int) http.Header {
	h := http.Header{}
	for i := range names {
		h[strings.Repeat("x", i+1)] = nil
	}
	return h
}
