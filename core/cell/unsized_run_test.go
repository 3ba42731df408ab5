package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/fleet"
)

// TestRunOfUnknownSizeKeepsItsExecutorClosed lets an executor still run a task of a job that
// has ended and whose record no longer holds sizes, while the order to stop it and the
// answers are lost: nothing starts there, which would exceed its capacity (random test,
// seed 5).
func TestRunOfUnknownSizeKeepsItsExecutorClosed(t *testing.T) {
	w := newWorld(t, 1)
	w.advance(time.Second)
	ended := simpleJob(1, 1, 6000)
	ended.Steps[0].Service = true
	w.submitJob(ended)
	w.advance(time.Second)
	lost := true
	w.orderDelivery = func(kind, _ string) (time.Duration, bool) {
		if kind == "stop" && lost {
			return time.Hour, false
		}
		return time.Millisecond, true
	}
	w.cancelJob(ended.ID)
	w.advance(100 * time.Millisecond)
	w.replaceOwner()
	later := simpleJob(2, 1, 6000)
	later.Steps[0].Service = true
	w.submitJob(later)
	w.advance(200 * time.Millisecond)
	w.answerDelay = func(kind string) time.Duration {
		if kind == "renew" {
			return 1500 * time.Millisecond
		}
		return 0
	}
	// The fake executor checks each start against its capacity.
	w.advance(3 * time.Second)
	require.Equal(t, map[string]int{"e0": 1}, w.countRuns(ended.ID))
	lost, w.answerDelay = false, noDelay
	w.advance(6 * time.Second)
	require.Empty(t, w.countRuns(ended.ID))
	require.Equal(t, map[string]int{"e0": 1}, w.countRuns(later.ID))
	require.Equal(t, fleet.Vector{CPU: 6000, Mem: 100}, w.executors["e0"].used())
}
