package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// unusableExecutors counts the executors that get no new work.
func (w *world) unusableExecutors() int {
	n := 0
	for _, x := range w.kernel.Dump(w.clock()).Executors {
		if !x.Usable {
			n++
		}
	}
	return n
}

// TestSlowTaskIsRestartedWithoutEnd guards against a task that takes far longer than its
// estimate, reports progress seldom, and is stopped as a straggler wherever it runs.
func TestSlowTaskIsRestartedWithoutEnd(t *testing.T) {
	w := newWorld(t, 4)
	w.advance(time.Second)
	slow := simpleJob(1, 1, 500)
	w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 150 * time.Second, fleet.EndDone }
	w.submitJob(slow)
	mostUnusable := 0
	for range 200 {
		w.advance(time.Second)
		mostUnusable = max(mostUnusable, w.unusableExecutors())
	}
	require.Equal(t, job.Succeeded, w.jobState(slow.ID))
	require.LessOrEqual(t, w.starts[slow.ID+".0.0.0"], 3)
	require.LessOrEqual(t, mostUnusable, 2)
}

// TestFailingServiceTaskIsRestartedWithoutPause guards against a service task that fails
// at once wherever it starts, and takes executor after executor out of use.
func TestFailingServiceTaskIsRestartedWithoutPause(t *testing.T) {
	w := newWorld(t, 4)
	w.advance(time.Second)
	service := simpleJob(1, 1, 500)
	service.Steps[0].Service = true
	w.failServices = func(task string) bool { return task[:16] == service.ID }
	w.submitJob(service)
	mostUnusable := 0
	for range 100 {
		w.advance(100 * time.Millisecond)
		mostUnusable = max(mostUnusable, w.unusableExecutors())
	}
	// Pauses of 50 ms, doubled up to a second.
	require.LessOrEqual(t, w.starts[service.ID+".0.0.0"], 16)
	require.LessOrEqual(t, mostUnusable, 1)
}
