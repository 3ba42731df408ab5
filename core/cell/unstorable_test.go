package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// rejectJob makes the store reject a kind of records of a job that have not ended.
func (w *world) rejectJob(id string, kind cell.RecordKind) {
	w.rejects = func(r cell.Record) bool {
		p, isProgress := r.Value.(job.Progress)
		return r.Name == id && r.Kind == kind && !(isProgress && p.State.IsFinal())
	}
}

// TestRejectedProgressFailsItsJobAlone guards against a job whose progress the store rejects
// and which stops all other writes: no cancel is answered, no end acknowledged, no job
// accepted (review case 2).
func TestRejectedProgressFailsItsJobAlone(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	faulty, other := simpleJob(1, 30, 1000), simpleJob(2, 30, 1000)
	lasting := simpleJob(3, 1, 1000)
	lasting.Steps[0].Service = true
	for _, j := range []*job.Job{faulty, other, lasting} {
		w.submitJob(j)
	}
	w.advance(200 * time.Millisecond)
	w.rejectJob(faulty.ID, cell.ProgressRecord)
	w.advance(6 * time.Second)
	require.Equal(t, job.Failed, w.jobState(faulty.ID))
	require.Equal(t, job.Succeeded, w.jobState(other.ID))
	cancel := w.cancelJob(lasting.ID)
	w.advance(500 * time.Millisecond)
	require.Equal(t, cell.JobEnded, w.verdicts[cancel].Verdict)
	w.advance(3 * time.Second)
	for _, x := range w.executors {
		require.Empty(t, x.ended, "ends are not acknowledged")
	}
}

// TestEndsOfRejectedJobAreNotAcknowledgedEarly guards against acknowledging ends whose record
// the store has rejected, before the end of their job is stored: the next owner would start
// the tasks again.
func TestEndsOfRejectedJobAreNotAcknowledgedEarly(t *testing.T) {
	w := newWorld(t, 1)
	w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 100 * time.Millisecond, fleet.EndDone }
	w.advance(time.Second)
	j := simpleJob(1, 12, 1000)
	w.submitJob(j)
	w.advance(50 * time.Millisecond)
	w.rejectJob(j.ID, cell.ProgressRecord)
	isRejected := w.rejects
	w.rejects = func(r cell.Record) bool {
		// The writes that follow are held back.
		w.storeDown = w.storeDown || isRejected(r)
		return isRejected(r)
	}
	w.advance(2 * time.Second)
	require.True(t, w.storeDown)
	require.Empty(t, w.acknowledged)
	w.restoreStore()
	w.advance(3 * time.Second)
	require.Equal(t, job.Failed, w.jobState(j.ID))
	require.Empty(t, w.executors["e0"].ended)
}

// TestJobWithRejectedRecordIsRefused guards against a caller that gets no answer, and a store
// that serves nobody, because of one job that is too large for it (review case 2).
func TestJobWithRejectedRecordIsRefused(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	large, other := simpleJob(1, 5, 1000), simpleJob(2, 5, 1000)
	w.rejectJob(large.ID, cell.JobRecord)
	refused, accepted := w.submitJob(large), w.submitJob(other)
	w.advance(300 * time.Millisecond)
	require.Equal(t, cell.Unservable, w.verdicts[refused].Verdict)
	require.Equal(t, cell.Accepted, w.verdicts[accepted].Verdict)
	_, known := w.kernel.JobState(large.ID)
	require.False(t, known)
	w.advance(2 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(other.ID))
	require.Zero(t, w.starts[large.ID+".0.0.0"])
}
