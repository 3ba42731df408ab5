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

// TestEndAfterFailureSurvivesTakeover replays scale-2 with seed 572377398055 of
// sellocant-jw: the stored progress named the run that was under way as ended,
// so that the next owner took its end for a known one and started it again.
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
	w.play(time.Second)
	j := simpleJob(1, 2, 2000)
	w.submit(j)
	w.play(900 * time.Millisecond)
	require.Equal(t, 2, w.starts[j.ID+".0.0.0"])
	// The owner dies; the second run ends before the next owner looks.
	w.later = nil
	w.now += 1500 * time.Millisecond
	for _, x := range w.executors {
		w.endRuns(x)
	}
	w.claim()
	w.play(3 * time.Second)
	require.Equal(t, 2, w.starts[j.ID+".0.0.0"])
	require.Equal(t, job.Succeeded, w.state(j.ID))
}

func TestOwnerStopsAtAHigherToken(t *testing.T) {
	w := newWorld(t, 2)
	w.play(time.Second)
	stale := w.kernel
	w.takeOver()
	w.play(2 * time.Second)
	require.False(t, w.alive[stale], "the stale owner was not deposed")
	require.Empty(t, stale.Step(w.clock(), cell.Tick{}), "the stale owner still acts")
}

// TestNextOwnerLeavesOrderedVMsAlone takes over right after VMs were ordered
// away: the next owner may order for the others at once, for those after the
// lease of the order only (checked by the world).
func TestNextOwnerLeavesOrderedVMsAlone(t *testing.T) {
	for owners := range 5 {
		w := newWorld(t, 6)
		w.play(time.Second + time.Duration(owners)*30*time.Millisecond)
		require.NotEmpty(t, w.moved)
		for range 3 {
			w.later = nil
			w.claim()
			w.play(100 * time.Millisecond)
		}
		w.play(3 * time.Second)
	}
}

// TestFailuresAreCountedInAnyOrder replays scale-1 with seed 190651624141 of
// zkw-tarcza: the next owner saw the end of the second run before that of the
// first, took the first for a known one, and started the task once more.
func TestFailuresAreCountedInAnyOrder(t *testing.T) {
	w := newWorld(t, 2)
	w.play(time.Second)
	j := simpleJob(1, 1, 1000)
	w.submit(j)
	w.play(100 * time.Millisecond)
	for _, x := range w.executors {
		clear(x.runs)
	}
	task := j.ID + ".0.0.0"
	w.executors["e0"].ended = []fleet.EndedRun{{Number: 9, Task: task, Run: 2, How: fleet.EndFailed}}
	w.executors["e1"].ended = []fleet.EndedRun{{Number: 9, Task: task, Run: 1, How: fleet.EndFailed}}
	w.claim()
	w.play(2 * time.Second)
	require.Equal(t, job.Failed, w.state(j.ID))
	require.Equal(t, 1, w.starts[task])
}

// TestFailureBesideALaterRunIsCounted replays owners-change on zkw-tarcza without
// fences: the next owner took over a run that was under way, and then heard of the
// failure of the run before it, which was not stored and which it passed over.
func TestFailureBesideALaterRunIsCounted(t *testing.T) {
	for name, later := range map[string]fleet.RunEnd{"the later run fails": fleet.EndFailed, "the later run succeeds": fleet.EndDone} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2)
			w.play(time.Second)
			j := simpleJob(1, 1, 1000)
			w.submit(j)
			w.play(100 * time.Millisecond)
			for _, x := range w.executors {
				clear(x.runs)
			}
			task := j.ID + ".0.0.0"
			w.executors["e0"].runs[task] = &fakeRun{task: task, run: 2, size: j.Steps[0].Size, ends: w.now + 500*time.Millisecond, how: later}
			w.executors["e1"].ended = []fleet.EndedRun{{Number: 9, Task: task, Run: 1, How: fleet.EndFailed}}
			w.claim()
			w.play(3 * time.Second)
			want := job.Failed
			if later == fleet.EndDone {
				want = job.Succeeded
			}
			require.Equal(t, want, w.state(j.ID))
			require.Equal(t, 1, w.starts[task])
		})
	}
}

// TestWorkGoesOnThroughAnOutage replays store-long-outage: while no node has the
// store, what runs goes on, steps follow, and new jobs are refused at once; without
// the word of the other nodes all runs end some seconds after the owner's proof.
func TestWorkGoesOnThroughAnOutage(t *testing.T) {
	for name, bridged := range map[string]bool{"for all nodes": true, "for the owner alone": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 8 * time.Second, fleet.EndDone }
			w.play(time.Second)
			service := simpleJob(1, 3, 1000)
			service.Steps[0].Service = true
			w.submit(service)
			chain := simpleJob(2, 1, 1000)
			chain.Steps[0].EstimateMs = 8000
			chain.Steps = append(chain.Steps, job.Step{Count: 1, Size: fleet.Vector{CPU: 1000}, EstimateMs: 8000, After: []int{0}})
			w.submit(chain)
			w.play(time.Second)
			w.storeDown, w.unproved, w.bridged = true, true, bridged
			w.play(20 * time.Second)
			call := w.submit(simpleJob(3, 1, 1000))
			require.Equal(t, cell.Refused, w.verdicts[call].Verdict)
			w.storeUp()
			w.unproved, w.bridged = false, false
			w.play(time.Second)
			if !bridged {
				require.Less(t, 1, w.starts[service.ID+".0.0.0"])
				return
			}
			require.Equal(t, 1, w.starts[service.ID+".0.0.0"])
			require.Equal(t, job.Succeeded, w.state(chain.ID))
		})
	}
}

// TestStaleOwnerTakesNoSilenceForAnEnd replays data-centres with seed 908012292356 on
// zkw-tarcza-grown: an owner in a data centre that was cut off took the executors
// outside for lapsed, which the next owner had renewed, and started their tasks again
// on executors that the next owner did not reach. Each owner reaches one of the two;
// the world checks that no second run begins beside the first.
func TestStaleOwnerTakesNoSilenceForAnEnd(t *testing.T) {
	for name, lose := range map[string]func(*world, *fakeExecutor){
		"silent":  func(*world, *fakeExecutor) {},
		"crashed": func(w *world, x *fakeExecutor) { w.crash(x) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2)
			w.play(time.Second)
			j := simpleJob(1, 1, 1000)
			j.Steps[0].Service = true
			w.submit(j)
			w.play(time.Second)
			w.storeDown, w.unproved = true, true
			before := w.kernel
			for _, x := range w.executors {
				x.darkFor = map[*cell.Kernel]bool{before: len(x.runs) > 0}
			}
			w.play(testProof + 10*time.Millisecond)
			w.storeDown, w.unproved = false, false
			w.takeOver()
			var runs *fakeExecutor
			for _, x := range w.executors {
				x.darkFor[w.kernel] = len(x.runs) == 0
				if len(x.runs) > 0 {
					runs = x
				}
			}
			w.play(500 * time.Millisecond)
			lose(w, runs)
			w.stepOf(before, cell.VMsListed{VMs: w.vms, Asked: w.now})
			w.play(10 * time.Second)
		})
	}
}

// TestRecoveryEndsWithProofOnly lets an owner lose its proof while an executor has
// not answered it: by the time at which it would count that executor's runs as ended,
// the next owner may have taken them over. Each owner reaches one of the two.
func TestRecoveryEndsWithProofOnly(t *testing.T) {
	w := newWorld(t, 2)
	w.play(time.Second)
	j := simpleJob(1, 1, 1000)
	j.Steps[0].Service = true
	w.submit(j)
	w.play(time.Second)
	w.claim()
	before := w.kernel
	for _, x := range w.executors {
		x.darkFor = map[*cell.Kernel]bool{before: len(x.runs) > 0}
	}
	w.play(500 * time.Millisecond)
	w.unproved = true
	w.play(testProof + 10*time.Millisecond)
	w.unproved = false
	w.takeOver()
	for _, x := range w.executors {
		x.darkFor[w.kernel] = len(x.runs) == 0
	}
	w.play(10 * time.Second)
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"])
}

// TestProofThatReturnsSettlesWhatWasDoubtful lets an owner that could not renew its
// lease for a while, and lost an executor meanwhile, prove that it owned the pools
// all along.
func TestProofThatReturnsSettlesWhatWasDoubtful(t *testing.T) {
	w := newWorld(t, 2)
	w.play(time.Second)
	j := simpleJob(1, 1, 1000)
	j.Steps[0].Service = true
	w.submit(j)
	w.play(time.Second)
	w.unproved = true
	w.play(testProof + 10*time.Millisecond)
	for _, x := range w.executors {
		if len(x.runs) > 0 {
			w.crash(x)
			w.restart(x)
		}
	}
	w.play(time.Second)
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"], "a task was started again without a proof that no other owner has it")
	w.unproved = false
	w.play(time.Second)
	require.Equal(t, 2, w.starts[j.ID+".0.0.0"])
}
