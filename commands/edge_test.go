package commands

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMemoryLimitLeavesRoomForTheProgram checks the runtime's part of the memory of a process.
func TestMemoryLimitLeavesRoomForTheProgram(t *testing.T) {
	for _, mb := range []int64{16, 96, 284, 4096} {
		limit := memoryLimit(mb << 20)
		require.GreaterOrEqual(t, limit, mb<<20/2)
		require.Less(t, limit, mb<<20*9/10)
	}
}
