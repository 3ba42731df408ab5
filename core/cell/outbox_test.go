package cell_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// TestSlowWriteHoldsUpNoOtherJob: one transaction of a slow store takes a second, the others a
// few milliseconds.
func TestSlowWriteHoldsUpNoOtherJob(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	first := true
	w.writeTime = func(int64) time.Duration {
		if first {
			first = false
			return time.Second
		}
		return 5 * time.Millisecond
	}
	held := w.submitJob(simpleJob(1, 1, 1000))
	w.advance(100 * time.Millisecond)
	other := w.submitJob(simpleJob(2, 1, 1000))
	w.advance(100 * time.Millisecond)
	require.NotContains(t, w.verdicts, held)
	require.Equal(t, cell.Accepted, w.verdicts[other].Verdict)
	w.advance(2 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(simpleJob(1, 1, 1000).ID))
}

// TestEndIsAcknowledgedOnceAllWritesThatHoldItAreDone: the write with the end of a run is slow, and
// later ones overtake it. The next owner must not start the task again.
func TestEndIsAcknowledgedOnceAllWritesThatHoldItAreDone(t *testing.T) {
	w := newWorld(t, 2)
	w.taskTime = func(task string, _ int) (time.Duration, fleet.RunEnd) {
		if strings.HasSuffix(task, ".1.0") {
			return 30 * time.Second, fleet.EndDone
		}
		return 300 * time.Millisecond, fleet.EndDone
	}
	w.advance(time.Second)
	j := simpleJob(1, 1, 1000)
	j.Steps = append(j.Steps, job.Step{Count: 1, Size: fleet.Vector{CPU: 1000}, EstimateMs: 30_000, After: []int{0}})
	w.submitJob(j)
	w.advance(250 * time.Millisecond)
	w.writeTime = func(int64) time.Duration { return time.Minute }
	w.advance(400 * time.Millisecond)
	w.writeTime = func(int64) time.Duration { return 5 * time.Millisecond }
	for n := range 10 {
		w.submitJob(simpleJob(10+n, 1, 500))
		w.advance(200 * time.Millisecond)
	}
	require.False(t, w.acknowledged[j.ID+".0.0.0"])
	w.replaceOwner()
	w.advance(5 * time.Second)
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"])
}

// TestFewLargeJobsAreWrittenAtATime: jobs of the largest size arrive at once, and small ones after
// them. Each record is held in several forms while it is written.
func TestFewLargeJobsAreWrittenAtATime(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	w.storeDown = true
	for n := range 5 {
		w.submitJob(distantJob(1+n, 1, 1000, 1))
	}
	for n := range 5 {
		w.submitJob(simpleJob(20+n, 1, 1000))
	}
	w.advance(400 * time.Millisecond)
	large, small := 0, 0
	for _, e := range w.heldWrites {
		for _, r := range e.Puts {
			if j, ok := r.Value.(*job.Job); ok && len(j.Steps) > 100 {
				large++
			} else if ok {
				small++
			}
		}
	}
	require.Equal(t, 1, large)
	require.Equal(t, 5, small)
	w.restoreStore()
	w.advance(2 * time.Second)
	for n := range 5 {
		require.NotEmpty(t, w.jobState(distantJob(1+n, 1, 1, 1).ID))
	}
}
