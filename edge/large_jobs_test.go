package edge

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNodesSharePassingOnOfLargeJobs checks how many large jobs a node passes on at once, and
// that one always passes.
func TestNodesSharePassingOnOfLargeJobs(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for nodes, want := range map[int]int{1: 10, 3: 3, 100: 1} {
		l := newLargeJobs(1000)
		passing := 0
		for {
			end, ok := l.begin(ended, 100, func() int { return nodes })
			if !ok {
				break
			}
			defer end()
			passing++
		}
		require.Equal(t, want, passing, "with %d nodes", nodes)
		end, ok := l.begin(ended, 0, func() int { panic("an ordinary job needs no part") })
		require.True(t, ok)
		end()
	}
}
