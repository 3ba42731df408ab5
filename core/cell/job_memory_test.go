package cell_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/job"
)

// distantJob returns a job that is due in the far future.
func distantJob(n, times, steps, count int) *job.Job {
	j := simpleJob(n, count, 1)
	for len(j.Steps) < steps {
		j.Steps = append(j.Steps, j.Steps[0])
	}
	j.OccurrenceCount, j.StartMs, j.IntervalMs = times, 1<<42, 1000
	return j
}

// TestJobsBeyondTheMemoryOfTheOwnerAreRefused guards against accepted jobs that end the owner
// (issue 38): large jobs are refused while small ones are still accepted, until a large one
// has ended.
func TestJobsBeyondTheMemoryOfTheOwnerAreRefused(t *testing.T) {
	w := newWorld(t, 1)
	w.kernel.MaxJobBytes = 10 << 20
	w.advance(time.Second)
	submit := func(j *job.Job) cell.Answer {
		call := w.submitJob(j)
		w.advance(200 * time.Millisecond)
		return w.verdicts[call]
	}
	a := submit(distantJob(1, 1000, 1, 100))
	require.Equal(t, cell.Unservable, a.Verdict, "the job needs more memory than there is")
	require.Zero(t, a.RetryAfter)
	const first = 10
	accepted := 0
	for submit(distantJob(first+accepted, 100, 10, 10)).Verdict == cell.Accepted {
		accepted++
	}
	require.Equal(t, 3, accepted)
	a = submit(distantJob(first+accepted, 100, 10, 10))
	require.Equal(t, cell.Refused, a.Verdict)
	require.Positive(t, a.RetryAfter)
	require.Equal(t, cell.Accepted, submit(simpleJob(2, 2, 100)).Verdict)
	held := w.kernel.Dump(w.clock()).JobBytes
	call := w.cancelJob(distantJob(first, 1, 1, 1).ID)
	w.advance(200 * time.Millisecond)
	require.Equal(t, cell.JobEnded, w.verdicts[call].Verdict)
	require.Less(t, w.kernel.Dump(w.clock()).JobBytes, held)
	require.Equal(t, cell.Accepted, submit(distantJob(first+accepted, 100, 10, 10)).Verdict)
	w.replaceOwner()
	require.InDelta(t, held, w.kernel.Dump(w.clock()).JobBytes, 4096, "the next owner counts the same")
}

// TestMemoryOfJobsIsNotUnderestimated compares the estimate with the memory that is taken.
func TestMemoryOfJobsIsNotUnderestimated(t *testing.T) {
	for _, j := range []*job.Job{distantJob(1, 1000, 1, 100), distantJob(1, 1, 1, 100_000), distantJob(1, 100, 1000, 1), distantJob(1, 1440, 2, 12)} {
		w := newWorld(t, 1)
		w.advance(time.Second)
		before := w.kernel.Dump(w.clock()).JobBytes
		taken := liveBytes()
		call := w.submitJob(j)
		w.advance(200 * time.Millisecond)
		require.Equal(t, cell.Accepted, w.verdicts[call].Verdict)
		taken = liveBytes() - taken
		estimate := w.kernel.Dump(w.clock()).JobBytes - before
		require.Greater(t, estimate, taken, "%d times %d steps of %d tasks", j.OccurrenceCount, len(j.Steps), j.Steps[0].Count)
		require.Less(t, estimate, 2*taken, "%d times %d steps of %d tasks", j.OccurrenceCount, len(j.Steps), j.Steps[0].Count)
		runtime.KeepAlive(w)
	}
}

// liveBytes returns the memory of all objects in use.
func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
