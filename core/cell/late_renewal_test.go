package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// TestRunThatOutlivesTheRecoveryIsNotDoubled guards against starting a task beside its run on an
// executor that answers after the recovery has ended. The run outlived the inherited deadlines:
// its executor had started again under its id, and took a late renewal, whose deadline was on
// the clock of its earlier incarnation, for as long as it ever grants.
func TestRunThatOutlivesTheRecoveryIsNotDoubled(t *testing.T) {
	w := newWorld(t, 1)
	w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 8 * time.Second, fleet.EndDone }
	w.advance(time.Second)
	x := w.executors["e0"]
	w.crash(x)
	w.advance(50 * time.Millisecond)
	w.restart(x)
	w.advance(2 * time.Second)
	j := simpleJob(1, 1, 1000)
	w.submitJob(j)
	w.advance(100 * time.Millisecond)
	require.Len(t, x.runs, 1)
	w.answerRenewal(x, fleet.Renewal{Executor: x.ID, Token: w.token, DeadlineMs: w.now.Milliseconds()})
	w.replaceOwner()
	w.delayedActions = nil
	x.unreachable = true
	w.advance(5 * time.Second)
	require.Len(t, x.runs, 1)
	x.unreachable = false
	w.advance(15 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(j.ID))
}
