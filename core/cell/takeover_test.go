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

// TestEndAfterFailureSurvivesTakeover guards against storing an active run as
// ended: the next owner then took its end for a known one and started the task
// again (sellocant-jw, scale-2 with seed 572377398055).
func TestEndAfterFailureSurvivesTakeover(t *testing.T) {
	w := newWorld(t, 2)
	w.taskTime = func(task string, run int) (time.Duration, fleet.RunEnd) {
		switch {
		case strings.HasSuffix(task, ".0") && run == 1:
			return 100 * time.Millisecond, fleet.EndFailed
		case strings.HasSuffix(task, ".0"):
			return time.Second, fleet.EndDone
		}
		return 600 * time.Millisecond, fleet.EndDone
	}
	w.advance(time.Second)
	j := simpleJob(1, 2, 2000)
	w.submitJob(j)
	w.advance(900 * time.Millisecond)
	require.Equal(t, 2, w.starts[j.ID+".0.0.0"])
	// The owner fails; the second run ends before the next owner's first renewal.
	w.delayedActions = nil
	w.now += 1500 * time.Millisecond
	for _, x := range w.executors {
		w.endRuns(x)
	}
	w.replaceOwner()
	w.advance(3 * time.Second)
	require.Equal(t, 2, w.starts[j.ID+".0.0.0"])
	require.Equal(t, job.Succeeded, w.jobState(j.ID))
}

func TestOwnerIsDeposedByHigherToken(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	stale := w.kernel
	w.addOwner()
	w.advance(2 * time.Second)
	require.False(t, w.alive[stale], "the stale owner was not deposed")
	require.Empty(t, stale.Step(w.clock(), cell.Tick{}), "the stale owner still acts")
}

// TestDeposedOwnerDeniesJobs guards against an owner that says of a job that it does not
// exist after a later owner may have accepted it, or while it takes up no more ended jobs.
func TestDeposedOwnerDeniesJobs(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	stale := w.kernel
	stale.Step(w.clock(), cell.LeaseExtended{Until: w.now + time.Minute})
	require.True(t, stale.IsLeaseProved(w.now))
	w.addOwner()
	w.advance(2 * time.Second)
	require.False(t, w.alive[stale], "the stale owner was not deposed")
	require.False(t, stale.IsLeaseProved(w.now))
}

// TestNextOwnerWaitsForVMOrderLease replaces the owner right after it sent orders
// for VMs. The next owner may send orders for other VMs at once, but for these only
// after the lease of the order (checked by world).
func TestNextOwnerWaitsForVMOrderLease(t *testing.T) {
	for shift := range 5 {
		w := newWorld(t, 6)
		w.advance(time.Second + time.Duration(shift)*30*time.Millisecond)
		require.NotEmpty(t, w.moveOrdered)
		for range 3 {
			w.delayedActions = nil
			w.replaceOwner()
			w.advance(100 * time.Millisecond)
		}
		w.advance(3 * time.Second)
	}
}

// TestFailuresAreCountedInAnyOrder guards against a next owner that learns of the
// second run's end before the first's, takes the first for a known one, and starts
// the task once more (zkw-tarcza, scale-1 with seed 190651624141).
func TestFailuresAreCountedInAnyOrder(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	j := simpleJob(1, 1, 1000)
	w.submitJob(j)
	w.advance(100 * time.Millisecond)
	for _, x := range w.executors {
		clear(x.runs)
	}
	task := j.ID + ".0.0.0"
	w.executors["e0"].ended = []fleet.EndedRun{{Number: 9, Task: task, Run: 2, End: fleet.EndFailed}}
	w.executors["e1"].ended = []fleet.EndedRun{{Number: 9, Task: task, Run: 1, End: fleet.EndFailed}}
	w.replaceOwner()
	w.advance(2 * time.Second)
	require.Equal(t, job.Failed, w.jobState(j.ID))
	require.Equal(t, 1, w.starts[task])
}

// TestFailureIsCountedWhileLaterRunIsActive guards against a next owner that adopts
// an active run and ignores the failure of the run before it, which was not stored
// (zkw-tarcza, owners-change without fences).
func TestFailureIsCountedWhileLaterRunIsActive(t *testing.T) {
	for name, later := range map[string]fleet.RunEnd{"the later run fails": fleet.EndFailed, "the later run succeeds": fleet.EndDone} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2)
			w.advance(time.Second)
			j := simpleJob(1, 1, 1000)
			w.submitJob(j)
			w.advance(100 * time.Millisecond)
			for _, x := range w.executors {
				clear(x.runs)
			}
			task := j.ID + ".0.0.0"
			w.executors["e0"].runs[task] = &fakeRun{task: task, run: 2, size: j.Steps[0].Size, endAt: w.now + 500*time.Millisecond, end: later}
			w.executors["e1"].ended = []fleet.EndedRun{{Number: 9, Task: task, Run: 1, End: fleet.EndFailed}}
			w.replaceOwner()
			w.advance(3 * time.Second)
			want := job.Failed
			if later == fleet.EndDone {
				want = job.Succeeded
			}
			require.Equal(t, want, w.jobState(j.ID))
			require.Equal(t, 1, w.starts[task])
		})
	}
}

// TestRunsContinueDuringConfirmedStoreOutage checks that, while no node reaches the
// store, runs continue, dependent steps start, and new jobs are refused at once.
// Without confirmation from the other nodes all runs end some seconds after the
// owner's proof (store-long-outage).
func TestRunsContinueDuringConfirmedStoreOutage(t *testing.T) {
	for name, confirmed := range map[string]bool{"outage confirmed by all nodes": true, "outage of the owner alone": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 8 * time.Second, fleet.EndDone }
			w.advance(time.Second)
			service := simpleJob(1, 3, 1000)
			service.Steps[0].Service = true
			w.submitJob(service)
			twoSteps := simpleJob(2, 1, 1000)
			twoSteps.Steps[0].EstimateMs = 8000
			twoSteps.Steps = append(twoSteps.Steps, job.Step{Count: 1, Size: fleet.Vector{CPU: 1000}, EstimateMs: 8000, After: []int{0}})
			w.submitJob(twoSteps)
			w.advance(time.Second)
			w.storeDown, w.unproved, w.outageConfirmed = true, true, confirmed
			w.advance(20 * time.Second)
			call := w.submitJob(simpleJob(3, 1, 1000))
			require.Equal(t, cell.Refused, w.verdicts[call].Verdict)
			w.restoreStore()
			w.unproved, w.outageConfirmed = false, false
			w.advance(time.Second)
			if !confirmed {
				require.Less(t, 1, w.starts[service.ID+".0.0.0"])
				return
			}
			require.Equal(t, 1, w.starts[service.ID+".0.0.0"])
			require.Equal(t, job.Succeeded, w.jobState(twoSteps.ID))
		})
	}
}

// TestStaleOwnerKeepsRunsOfSilentExecutors guards against an owner in an isolated
// data centre that took the deadlines of executors outside for expired. The next
// owner had renewed them, but could not reach the executors on which the stale
// owner started their tasks again (zkw-tarcza-grown, data-centres with seed
// 908012292356). Each owner reaches one of the two executors; world checks that no
// second run starts beside the first.
func TestStaleOwnerKeepsRunsOfSilentExecutors(t *testing.T) {
	for name, failExecutor := range map[string]func(*world, *fakeExecutor){
		"silent":  func(*world, *fakeExecutor) {},
		"crashed": func(w *world, x *fakeExecutor) { w.crash(x) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2)
			w.advance(time.Second)
			j := simpleJob(1, 1, 1000)
			j.Steps[0].Service = true
			w.submitJob(j)
			w.advance(time.Second)
			w.storeDown, w.unproved = true, true
			previousOwner := w.kernel
			for _, x := range w.executors {
				x.unreachableFor = map[*cell.Kernel]bool{previousOwner: len(x.runs) > 0}
			}
			w.advance(testLease + 10*time.Millisecond)
			w.storeDown, w.unproved = false, false
			w.addOwner()
			var busy *fakeExecutor
			for _, x := range w.executors {
				x.unreachableFor[w.kernel] = len(x.runs) == 0
				if len(x.runs) > 0 {
					busy = x
				}
			}
			w.advance(500 * time.Millisecond)
			failExecutor(w, busy)
			w.stepKernel(previousOwner, cell.VMsListed{VMs: w.vms, RequestedAt: w.now})
			w.advance(10 * time.Second)
		})
	}
}

// TestRecoveryWaitsForOwnershipProof lets an owner lose its proof before an
// executor has answered it. By the time at which the owner would count that
// executor's runs as ended, the next owner may have adopted them. Each owner
// reaches one of the two executors.
func TestRecoveryWaitsForOwnershipProof(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	j := simpleJob(1, 1, 1000)
	j.Steps[0].Service = true
	w.submitJob(j)
	w.advance(time.Second)
	w.replaceOwner()
	previousOwner := w.kernel
	for _, x := range w.executors {
		x.unreachableFor = map[*cell.Kernel]bool{previousOwner: len(x.runs) > 0}
	}
	w.advance(500 * time.Millisecond)
	w.unproved = true
	w.advance(testLease + 10*time.Millisecond)
	w.unproved = false
	w.addOwner()
	for _, x := range w.executors {
		x.unreachableFor[w.kernel] = len(x.runs) == 0
	}
	w.advance(10 * time.Second)
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"])
}

// TestRenewedProofReleasesUnprovedTasks lets an owner fail to renew its lease for a
// while and lose an executor meanwhile. The renewed lease proves that it owned the
// pools all along, so the executor's tasks may start again.
func TestRenewedProofReleasesUnprovedTasks(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	j := simpleJob(1, 1, 1000)
	j.Steps[0].Service = true
	w.submitJob(j)
	w.advance(time.Second)
	w.unproved = true
	w.advance(testLease + 10*time.Millisecond)
	for _, x := range w.executors {
		if len(x.runs) > 0 {
			w.crash(x)
			w.restart(x)
		}
	}
	w.advance(time.Second)
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"], "a task was started again without a proof that no other owner has it")
	w.unproved = false
	w.advance(time.Second)
	require.Equal(t, 2, w.starts[j.ID+".0.0.0"])
}

// TestRunOfEndedJobKeepsItsRoom guards against starts beside a run whose size is no longer
// known, since its job has ended, while the order to stop it is late.
func TestRunOfEndedJobKeepsItsRoom(t *testing.T) {
	w := newWorld(t, 1)
	w.advance(time.Second)
	ended := simpleJob(1, 1, 8000)
	w.submitJob(ended)
	w.advance(2 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(ended.ID))
	w.orderDelivery = func(kind, _ string) (time.Duration, bool) {
		if kind == "stop" {
			return 3 * time.Second, false
		}
		return time.Millisecond, true
	}
	task := ended.ID + ".0.0.0"
	delete(w.acknowledged, task)
	w.executors["e0"].runs[task] = &fakeRun{task: task, run: 9, size: fleet.Vector{CPU: 8000}, startAt: w.now, endAt: w.now + time.Minute, end: fleet.EndDone}
	w.advance(2100 * time.Millisecond)
	// executeStart fails if the task starts beside the run.
	j := simpleJob(2, 1, 4000)
	j.Steps[0].Service = true
	w.submitJob(j)
	w.advance(2 * time.Second)
	require.Zero(t, w.starts[j.ID+".0.0.0"])
	w.advance(6 * time.Second)
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"])
}

// TestEndedJobRunsAgainBeforeItIsLoaded guards against a new owner that has not loaded the
// ended jobs, and starts one anew that is submitted again, or does not know it.
func TestEndedJobRunsAgainBeforeItIsLoaded(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	j := simpleJob(1, 2, 1000)
	w.submitJob(j)
	w.advance(2 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(j.ID))
	w.endedDelay = time.Hour
	w.replaceOwner()
	require.Empty(t, w.jobState(j.ID), "the next owner has not loaded it")
	again, cancel := w.submitJob(simpleJob(1, 2, 1000)), w.cancelJob(j.ID)
	w.advance(2 * time.Second)
	require.Equal(t, cell.Accepted, w.verdicts[again].Verdict)
	require.Equal(t, cell.JobEnded, w.verdicts[cancel].Verdict)
	require.Equal(t, job.Succeeded, w.jobState(j.ID), "its end stands")
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"])
}

// TestEndedJobsOfEarlierOwnersAreNeverRemoved guards against records of ended jobs that
// stay in the store because the owner under which they expire has not run the jobs.
func TestEndedJobsOfEarlierOwnersAreNeverRemoved(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	j := simpleJob(1, 1, 1000)
	w.submitJob(j)
	w.advance(2 * time.Second)
	w.endedDelay = 10 * time.Second
	w.replaceOwner()
	w.advance(100 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(j.ID))
	require.Empty(t, w.removed)
	w.advance(30 * time.Second)
	require.Equal(t, []string{j.ID}, w.removed, "two minutes after the end")
	require.Empty(t, w.jobState(j.ID))
}

// TestLoadedEndChangesKnownJob guards against a read of the store that overtakes what the
// owner has decided since: a job that it knows stays as it is.
func TestLoadedEndChangesKnownJob(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	j := simpleJob(1, 1, 1000)
	j.Steps[0].Service = true
	w.submitJob(j)
	w.advance(time.Second)
	w.step(cell.EndedJobsLoaded{Jobs: []cell.EndedJob{
		{ID: j.ID, State: job.Failed}, {ID: "00000000000000aa", State: job.Running}, {ID: "00000000000000ab"},
	}})
	w.advance(time.Second)
	require.Equal(t, job.Running, w.jobState(j.ID))
	require.Empty(t, w.jobState("00000000000000aa"), "an open job is loaded before the owner serves")
	require.Equal(t, job.Running, w.jobState("00000000000000ab"), "what cannot be read is known and does not run")
}

// TestWaveKeepsItsTimeOverTakeovers guards against owners that each count the time that the
// operators allow for a wave from their own claim, so that the wave ends late by as much.
func TestWaveKeepsItsTimeOverTakeovers(t *testing.T) {
	w := newWorld(t, 4)
	w.advance(time.Second)
	w.waves = []fleet.Wave{{Number: 1, VMs: []string{"vm-e0", "vm-e1", "vm-e2", "vm-e3"}, TimeLimitS: 60, MaxDown: 1}}
	w.step(cell.WavesUpdated{Waves: w.waves})
	w.advance(4 * time.Second)
	for range 2 {
		w.replaceOwner()
		w.advance(2 * time.Second)
	}
	d := w.kernel.Dump(w.clock())
	require.Len(t, d.Waves, 1)
	require.GreaterOrEqual(t, d.Waves[0].AgeMs, int64(8000))
	// A record of a build that did not store the time.
	w.waveRecord.AskedMs = 0
	w.replaceOwner()
	require.Less(t, w.kernel.Dump(w.clock()).Waves[0].AgeMs, int64(1000))
}
