package cell_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/fleet"
)

// TestHugeBestEffortTaskDoesNotVoidTheTeamLimit submits a best-effort task of the largest
// number of cores, which reserves none, among others of a team with a limit.
func TestHugeBestEffortTaskDoesNotVoidTheTeamLimit(t *testing.T) {
	w := newWorld(t, 2)
	w.config.Teams[0].Limit = fleet.Vector{CPU: 2000}
	w.advance(time.Second)
	small := simpleJob(1, 1, 1000)
	small.Steps[0].Service = true
	w.submitJob(small)
	w.advance(time.Second)
	huge := simpleJob(2, 1, math.MaxInt64)
	huge.Steps[0].BestEffort, huge.Steps[0].Service = true, true
	w.submitJob(huge)
	w.advance(time.Second)
	more := simpleJob(3, 8, 1000)
	more.Steps[0].Service = true
	w.submitJob(more)
	w.advance(time.Second)
	require.Empty(t, w.countRuns(huge.ID))
	running := 0
	for _, n := range w.countRuns(more.ID) {
		running += n
	}
	require.Equal(t, 1, running)
}
