package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// executorOf returns the executor that runs a task, or nil.
func (w *world) executorOf(task string) *fakeExecutor {
	for _, x := range w.executors {
		if x.runs[task] != nil {
			return x
		}
	}
	return nil
}

// requireServicesAtWork requires that all service tasks run, and that no service job has
// failed.
func (a *availWorld) requireServicesAtWork() {
	for _, j := range a.services {
		require.Equal(a.t, job.Running, a.jobState(j.ID), "job %s", j.ID)
		for i := range j.Steps[0].Count {
			task := job.TaskID{Job: j.ID, Index: i}.String()
			require.NotNil(a.t, a.executorOf(task), "%s does not run; %v", task, a.explainWait())
		}
	}
}

// TestServiceIsStoppedForTheTaskThatIsBlamed guards against ending a whole service job, with
// its tasks at work, after executors were lost by chance under one of them (AVAIL on
// sellocant-jw).
func TestServiceIsStoppedForTheTaskThatIsBlamed(t *testing.T) {
	for _, after := range []time.Duration{50 * time.Millisecond, 600 * time.Millisecond, 5 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			a := newAvailWorld(&randomWorld{world: newWorld(t, 8)})
			a.advance(time.Second)
			j := a.submitService(4, 500, 1)
			task := job.TaskID{Job: j.ID}.String()
			a.advanceChecked(4 * time.Second)
			for range 8 {
				for a.executorOf(task) == nil {
					a.advanceChecked(testStep)
				}
				a.advanceChecked(after)
				if x := a.executorOf(task); x != nil {
					a.crashAndReplace(x)
				}
				a.advanceChecked(testStep)
			}
			a.advanceChecked(6 * time.Second)
			a.requireServicesAtWork()
		})
	}
}

// TestRandomCrashesKeepServicesAvailable crashes executors that no task harms, one or two a
// second, beside service tasks and other work, while owners are lost. Orders end no more
// service tasks than their step allows, and all of them run again.
func TestRandomCrashesKeepServicesAvailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAvailWorld(&randomWorld{T: t, world: newWorld(t, rapid.IntRange(4, 10).Draw(t, "executors"))})
		a.watchRandomWaits()
		a.advance(time.Second)
		for range rapid.IntRange(1, 3).Draw(t, "services") {
			a.submitService(rapid.IntRange(2, 5).Draw(t, "count"), int64(rapid.IntRange(1, 3).Draw(t, "cpu"))*500, rapid.IntRange(1, 2).Draw(t, "budget"))
		}
		a.advanceChecked(2 * time.Second)
		lostOwners := 0
		for range rapid.IntRange(10, 40).Draw(t, "length") {
			switch rapid.IntRange(0, 9).Draw(t, "act") {
			case 0, 1, 2:
				if x := a.drawExecutor(); !x.down {
					a.crashAndReplace(x)
				}
			case 3, 4, 5:
				// The executor of a task that may be under suspicion.
				j := rapid.SampledFrom(a.services).Draw(t, "service")
				if x := a.executorOf(job.TaskID{Job: j.ID}.String()); x != nil && !x.down {
					a.crashAndReplace(x)
				}
			case 6:
				a.jobs++
				a.submitJob(simpleJob(a.jobs, rapid.IntRange(1, 4).Draw(t, "count"), 1000))
			case 7:
				if lostOwners < 2 && rapid.Bool().Draw(t, "kill") {
					lostOwners++
					a.killOwner()
					a.check()
				}
			}
			a.advanceChecked(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		a.advanceChecked(calmTime + 6*time.Second)
		a.requireServicesAtWork()
	})
}

// TestLongRunsOfServiceAreBlamed guards against suspecting a service task that its executors have
// survived for long each time: it starts again as soon as a loss is noticed.
func TestLongRunsOfServiceAreBlamed(t *testing.T) {
	w := newWorld(t, 8)
	w.advance(time.Second)
	j := simpleJob(1, 4, 500)
	j.Steps[0].Service = true
	w.submitJob(j)
	task := job.TaskID{Job: j.ID}.String()
	for range 5 {
		// Just longer than what proves a task.
		w.advance(10100 * time.Millisecond)
		x := w.executorOf(task)
		require.NotNil(t, x)
		w.crashAndReplace(x)
		for lostAt := w.now; w.executorOf(task) == nil; w.advance(testStep) {
			require.Less(t, w.now, lostAt+time.Second, "it does not run again")
		}
	}
}

// TestFailedStepStopsServiceTasksAtWork guards against ending the service tasks of a job beyond
// their budget since a task of another step has failed for good.
func TestFailedStepStopsServiceTasksAtWork(t *testing.T) {
	a := newAvailWorld(&randomWorld{world: newWorld(t, 4)})
	j := simpleJob(1, 3, 500)
	j.Steps[0].Service, j.Steps[0].MaxUnavailable = true, 1
	j.Steps = append(j.Steps, job.Step{Count: 1, Size: fleet.Vector{CPU: 500, Mem: 100}, EstimateMs: 300})
	a.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 3 * time.Second, fleet.EndFailed }
	a.advance(time.Second)
	a.submitJob(j)
	a.services = append(a.services, j)
	a.advanceChecked(10 * time.Second)
	require.Equal(t, job.Failed, a.jobState(j.ID))
}
