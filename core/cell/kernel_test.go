package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

func TestStepStartsAfterItsDependencies(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	j := simpleJob(1, 4, 2000)
	j.Steps = append(j.Steps, job.Step{Count: 2, Size: fleet.Vector{CPU: 1000}, EstimateMs: 500, After: []int{0}})
	call := w.submitJob(j)
	w.advance(300 * time.Millisecond)
	require.Equal(t, cell.Accepted, w.verdicts[call].Verdict)
	require.Equal(t, job.Running, w.jobState(j.ID))
	require.Zero(t, w.starts[j.ID+".0.1.0"], "the second step started before the first was done")
	w.advance(1500 * time.Millisecond)
	require.Equal(t, job.Succeeded, w.jobState(j.ID))
	require.Len(t, w.starts, 6)
}

// TestUnansweredStopIsRepeated guards against a task that waits for ever because
// its start and the stop that resolves it both got no answer (sellocant-jw, the mix
// with seed 528015371486).
func TestUnansweredStopIsRepeated(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	lost := map[string]int{}
	w.orderDelivery = func(kind, _ string) (time.Duration, bool) {
		lost[kind]++
		if kind != "renew" && lost[kind] == 1 {
			return 4 * time.Second, false
		}
		return time.Millisecond, true
	}
	j := simpleJob(1, 1, 2000)
	w.submitJob(j)
	w.advance(4 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(j.ID))
	w.advance(5 * time.Second)
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"], "the delayed start was executed")
}

// TestSilentExecutorLosesItsRuns guards against granting a later deadline with each
// retry of a renewal: the service tasks of a silent executor were then never given
// up (sellocant-jw, scale-1).
func TestSilentExecutorLosesItsRuns(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	j := simpleJob(1, 1, 2000)
	j.Steps[0].Service = true
	w.submitJob(j)
	w.advance(time.Second)
	for _, x := range w.executors {
		x.unreachable = len(x.runs) > 0
	}
	w.advance(7 * time.Second)
	require.Equal(t, 2, w.starts[j.ID+".0.0.0"])
}

// TestUnwantedRunKeepsItsResourcesUntilItEnds guards against a new owner that stops
// the run of an ended job and reuses its resources before the run has ended
// (zkw-tarcza, scale-1).
func TestUnwantedRunKeepsItsResourcesUntilItEnds(t *testing.T) {
	w := newWorld(t, 1)
	w.advance(time.Second)
	j := simpleJob(1, 1, 8000)
	j.Steps[0].Service = true
	w.submitJob(j)
	w.advance(time.Second)
	// The cancel is stored, but its owner fails before it sends the stop.
	w.stored[j.ID] = job.Progress{State: job.Cancelled, EndedMs: w.now.Milliseconds()}
	w.replaceOwner()
	next := simpleJob(2, 1, 8000)
	next.Steps[0].Service = true
	w.advance(50 * time.Millisecond)
	w.submitJob(next)
	w.advance(4 * time.Second)
	require.Equal(t, 1, w.starts[next.ID+".0.0.0"])
}

func TestCancelStopsAllRuns(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	j := simpleJob(1, 3, 1000)
	j.Steps[0].Service = true
	w.submitJob(j)
	w.advance(time.Second)
	call := w.cancelJob(j.ID)
	require.NotContains(t, w.verdicts, call, "the cancel was answered before it was stored")
	w.advance(2 * time.Second)
	require.Equal(t, cell.JobEnded, w.verdicts[call].Verdict)
	require.Equal(t, job.Cancelled, w.jobState(j.ID))
	for _, x := range w.executors {
		require.Empty(t, x.runs)
	}
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	w := newWorld(t, 3)
	w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 50 * time.Millisecond, fleet.EndFailed }
	w.advance(time.Second)
	j := simpleJob(1, 1, 1000)
	w.submitJob(j)
	w.advance(6 * time.Second)
	require.Equal(t, job.Failed, w.jobState(j.ID))
	require.Equal(t, 2, w.starts[j.ID+".0.0.0"])
}

func TestRunningTasksStayWithinTeamLimit(t *testing.T) {
	w := newWorld(t, 4)
	w.config.Teams[0].Limit = fleet.Vector{CPU: 5000}
	w.advance(time.Second)
	j := simpleJob(1, 10, 2000)
	w.submitJob(j)
	for range 60 {
		w.advance(50 * time.Millisecond)
		running := 0
		for _, x := range w.executors {
			running += len(x.runs)
		}
		require.LessOrEqual(t, running, 2)
	}
	w.advance(2 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(j.ID))
}

func TestJobIsNotAcceptedWhileStoreIsDown(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	w.storeDown = true
	call := w.submitJob(simpleJob(1, 1, 1000))
	w.advance(time.Second)
	require.NotContains(t, w.verdicts, call)
	require.Empty(t, w.starts)
}

// TestVMWithUnstoredRunEndsGetsNoOrder guards against moving a VM that alone knows
// how a run ended while the store is down: the next owner then started the task
// once too often (zkw-tarcza, scale-1 with seed 355961583364).
func TestVMWithUnstoredRunEndsGetsNoOrder(t *testing.T) {
	waves := []fleet.Wave{{Number: 1, VMs: []string{"vm-e0", "vm-e1", "vm-e2", "vm-e3", "vm-e4"}, TimeLimitS: 20, MaxDown: 5}}
	for name, event := range map[string]cell.Event{"lending": cell.Tick{}, "maintenance": cell.WavesUpdated{Waves: waves}} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 5)
			w.advance(time.Second)
			w.submitJob(simpleJob(1, 5, 8000))
			w.advance(200 * time.Millisecond)
			w.storeDown = true
			clear(w.moveOrdered)
			w.step(event)
			w.advance(3 * time.Second)
			for id, x := range w.executors {
				require.NotEmpty(t, x.ended)
				require.False(t, w.moveOrdered[id] || w.maintenanceOrdered[id], "the VM of %s was ordered away", id)
			}
		})
	}
}

// TestStaleVMListDoesNotEndRuns guards against a list of VMs that was requested
// before a new executor's VM appeared in it: the executor's runs were given up and
// started elsewhere while they continued (sellocant-jw-grown, fresh-c05f).
func TestStaleVMListDoesNotEndRuns(t *testing.T) {
	w := newWorld(t, 1)
	w.advance(time.Second)
	before, requestedAt := w.vms, w.now
	w.addExecutor("e9")
	w.executors["e9"].Labels = []string{"new", "r1-1"}
	w.listExecutors()
	w.advance(500 * time.Millisecond)
	j := simpleJob(1, 1, 1000)
	j.Steps[0].Service, j.Steps[0].Label = true, "new"
	w.submitJob(j)
	w.advance(500 * time.Millisecond)
	require.Equal(t, map[string]int{"e9": 1}, w.countRuns(j.ID))
	w.executors["e9"].unreachable = true
	w.advance(900 * time.Millisecond)
	w.step(cell.VMsListed{VMs: before, RequestedAt: requestedAt})
	w.executors["e9"].unreachable = false
	w.advance(3 * time.Second)
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"])
}

// TestRepeatedMaintenanceOrderKeepsRuns lets a new owner repeat a maintenance order
// that was already carried out, in a late wave that does not wait for runs. The
// platform confirms the order, and the runs on the VM must continue.
func TestRepeatedMaintenanceOrderKeepsRuns(t *testing.T) {
	w := newWorld(t, 2)
	w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 5 * time.Second, fleet.EndDone }
	w.maintenanceSucceeds = true
	w.maintainedVMs["vm-e0"], w.maintainedVMs["vm-e1"] = true, true
	w.advance(time.Second)
	j := simpleJob(1, 2, 5000)
	j.Steps[0].EstimateMs = 5000
	w.submitJob(j)
	w.advance(200 * time.Millisecond)
	w.step(cell.WavesUpdated{Waves: []fleet.Wave{{Number: 1, VMs: []string{"vm-e0", "vm-e1"}, TimeLimitS: 0.1, MaxDown: 2}}})
	w.advance(9 * time.Second)
	require.Len(t, w.maintenanceOrdered, 2)
	require.Equal(t, job.Succeeded, w.jobState(j.ID))
	require.Len(t, w.starts, 2)
}

// TestReorderedAnswersKeepRuns guards against taking an older clock for a new
// incarnation: an owner on a slow VM read the answers to starts after those to
// later renewals, and started all tasks again (sellocant-jw, clocks-and-links with
// seed 20).
func TestReorderedAnswersKeepRuns(t *testing.T) {
	for _, kind := range []string{"start", "stop", "renew"} {
		t.Run(kind, func(t *testing.T) {
			w := newWorld(t, 3)
			w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 3 * time.Second, fleet.EndDone }
			w.advance(time.Second)
			stopped := simpleJob(9, 2, 1000)
			stopped.Steps[0].Service = true
			w.submitJob(stopped)
			w.advance(time.Second)
			w.answerDelay = func(k string) time.Duration {
				if k == kind {
					return 600 * time.Millisecond
				}
				return 0
			}
			var jobs []*job.Job
			for n := range 5 {
				j := simpleJob(n+1, 2, 1000)
				j.Steps[0].EstimateMs = 3000
				jobs = append(jobs, j)
				w.submitJob(j)
				w.advance(100 * time.Millisecond)
			}
			w.cancelJob(stopped.ID)
			w.advance(8 * time.Second)
			for _, j := range jobs {
				require.Equal(t, job.Succeeded, w.jobState(j.ID))
				require.Equal(t, 1, w.starts[j.ID+".0.0.0"])
			}
		})
	}
}

// TestAnswerOfPreviousIncarnationIsIgnored restarts an executor while its answer to
// a renewal is in transit. The answer is void, and a job that waits for the
// executor starts once.
func TestAnswerOfPreviousIncarnationIsIgnored(t *testing.T) {
	for ms := range 30 {
		w := newWorld(t, 1)
		w.advance(time.Second)
		x := w.executors["e0"]
		x.unreachable = true
		w.advance(700 * time.Millisecond)
		j := simpleJob(1, 1, 1000)
		j.Steps[0].Service = true
		w.submitJob(j)
		x.unreachable = false
		w.answerDelay = func(kind string) time.Duration {
			if kind == "renew" {
				return 300 * time.Millisecond
			}
			return 0
		}
		w.advance(time.Duration(ms) * 20 * time.Millisecond)
		w.crash(x)
		w.restart(x)
		w.answerDelay = noDelay
		w.advance(3 * time.Second)
		require.Equal(t, map[string]int{"e0": 1}, w.countRuns(j.ID))
		require.LessOrEqual(t, w.starts[j.ID+".0.0.0"], 2, "the task may start once before the crash and once after it")
	}
}

// TestFirstAnswerOfPreviousIncarnationIsIgnored restarts an executor before its
// first answer to a new owner arrives. The owner took the answer of the previous
// incarnation for one of the present, started work, and gave it up when the next
// answer reported the new start time (random test with 40,000 checks, seed 101).
func TestFirstAnswerOfPreviousIncarnationIsIgnored(t *testing.T) {
	for ms := range 40 {
		w := newWorld(t, 1)
		w.advance(time.Second)
		x := w.executors["e0"]
		w.crash(x)
		w.restart(x)
		j := simpleJob(1, 1, 500)
		j.Steps[0].Service = true
		w.submitJob(j)
		w.advance(100 * time.Millisecond)
		w.crash(x)
		w.restart(x)
		w.answerDelay = func(kind string) time.Duration {
			if kind == "renew" {
				return 200 * time.Millisecond
			}
			return 0
		}
		w.replaceOwner()
		w.advance(time.Duration(ms) * 10 * time.Millisecond)
		w.crash(x)
		w.restart(x)
		w.answerDelay = noDelay
		w.advance(2 * time.Second)
		require.Equal(t, map[string]int{"e0": 1}, w.countRuns(j.ID))
	}
}

// TestEndedJobIsStoredWithoutItsWork checks that the record of an ended job is small,
// since a new owner reads all of them, and that it still answers for the job.
func TestEndedJobIsStoredWithoutItsWork(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	j := simpleJob(1, 4, 1000)
	w.submitJob(j)
	w.advance(2 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(j.ID))
	require.Empty(t, w.records[j.ID].Steps)
	require.Empty(t, w.records[j.ID].Spec)
	w.replaceOwner()
	require.Equal(t, job.Succeeded, w.jobState(j.ID))
	again := w.submitJob(simpleJob(1, 4, 1000))
	w.advance(2 * time.Second)
	require.Equal(t, cell.Accepted, w.verdicts[again].Verdict)
	require.Equal(t, 4, w.countStarts(), "an ended job does not run again")
}

// TestExecutorListsNonsense lets an executor list a run of a task that the job does not
// have, with an index that would size a slice of terabytes: the run is stopped, and the
// owner goes on.
func TestExecutorListsNonsense(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	j := simpleJob(1, 1, 1000)
	j.Steps[0].Service = true
	w.submitJob(j)
	w.advance(time.Second)
	x := w.executors["e0"]
	for _, task := range []string{j.ID + ".0.0.99999999999999", j.ID + ".0.99999.0", j.ID + ".7.0.0", "nonsense", ""} {
		x.runs[task] = &fakeRun{task: task, run: 1, service: true}
	}
	w.advance(2 * time.Second)
	require.LessOrEqual(t, len(x.runs), 1, "what nobody wants is stopped")
	require.Equal(t, job.Running, w.jobState(j.ID))
}

// TestMoveIsNotCountedForWaveZero checks that a VM that moves is not taken for
// maintained by a wave with number zero.
func TestMoveIsNotCountedForWaveZero(t *testing.T) {
	w := newWorld(t, 6)
	w.moveOutcome = func(string) fleet.VMOrderOutcome { return fleet.VMOrderInvalid }
	w.step(cell.WavesUpdated{Waves: []fleet.Wave{{Number: 0, VMs: []string{"vm-e0"}, TimeLimitS: 1000, MaxDown: 1}}})
	w.advance(2 * time.Second)
	require.NotEmpty(t, w.moveOrdered)
	require.Empty(t, w.waveRecord.Done)
}

// TestSucceededWaveIsForgotten checks that waves leave memory once operators no longer
// request them, and that one that is requested anew runs again.
func TestSucceededWaveIsForgotten(t *testing.T) {
	w := newWorld(t, 2)
	w.maintenanceSucceeds = true
	w.step(cell.WavesUpdated{Waves: []fleet.Wave{{Number: 7, VMs: []string{"vm-e0"}, TimeLimitS: 10, MaxDown: 1}}})
	w.advance(6 * time.Second)
	waves := w.kernel.Dump(w.clock()).Waves
	require.Len(t, waves, 1)
	require.Equal(t, "succeeded", waves[0].Status)
	w.step(cell.WavesUpdated{})
	require.Empty(t, w.kernel.Dump(w.clock()).Waves)
}
