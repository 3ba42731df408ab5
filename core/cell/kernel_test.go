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

func TestJobRunsStepByStep(t *testing.T) {
	w := newWorld(t, 2)
	w.play(time.Second)
	j := simpleJob(1, 4, 2000)
	j.Steps = append(j.Steps, job.Step{Count: 2, Size: fleet.Vector{CPU: 1000}, EstimateMs: 500, After: []int{0}})
	call := w.submit(j)
	w.play(300 * time.Millisecond)
	require.Equal(t, cell.Accepted, w.verdicts[call].Verdict)
	require.Equal(t, job.Running, w.state(j.ID))
	require.Zero(t, w.starts[j.ID+".0.1.0"], "the second step started before the first was done")
	w.play(1500 * time.Millisecond)
	require.Equal(t, job.Succeeded, w.state(j.ID))
	require.Len(t, w.starts, 6)
}

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

// TestUnansweredStopIsRepeated replays the mix with seed 528015371486 of
// sellocant-jw: a start and the stop that settles it both got no answer, and
// the task waited for ever.
func TestUnansweredStopIsRepeated(t *testing.T) {
	w := newWorld(t, 2)
	w.play(time.Second)
	lost := map[string]int{}
	w.orders = func(kind, _ string) (time.Duration, bool) {
		lost[kind]++
		if kind != "renew" && lost[kind] == 1 {
			return 4 * time.Second, false
		}
		return time.Millisecond, true
	}
	j := simpleJob(1, 1, 2000)
	w.submit(j)
	w.play(4 * time.Second)
	require.Equal(t, job.Succeeded, w.state(j.ID))
	w.play(5 * time.Second)
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"], "the late start was carried out")
}

// TestSilentExecutorLapses replays scale-1 of sellocant-jw: each retry granted a
// dark executor a later deadline, so that its service tasks were never given up.
func TestSilentExecutorLapses(t *testing.T) {
	w := newWorld(t, 2)
	w.play(time.Second)
	j := simpleJob(1, 1, 2000)
	j.Steps[0].Service = true
	w.submit(j)
	w.play(time.Second)
	for _, x := range w.executors {
		x.dark = len(x.runs) > 0
	}
	w.play(7 * time.Second)
	require.Equal(t, 2, w.starts[j.ID+".0.0.0"])
}

// TestUnwantedRunHoldsItsRoom replays scale-1 of zkw-tarcza: a new owner stops
// the run of a job that had ended, and filled its room before it was free.
func TestUnwantedRunHoldsItsRoom(t *testing.T) {
	w := newWorld(t, 1)
	w.play(time.Second)
	j := simpleJob(1, 1, 8000)
	j.Steps[0].Service = true
	w.submit(j)
	w.play(time.Second)
	// The cancel is stored, but its owner dies before the stop arrives.
	w.stored[j.ID] = job.Progress{State: job.Cancelled, EndedMs: w.now.Milliseconds()}
	w.claim()
	next := simpleJob(2, 1, 8000)
	next.Steps[0].Service = true
	w.play(50 * time.Millisecond)
	w.submit(next)
	w.play(4 * time.Second)
	require.Equal(t, 1, w.starts[next.ID+".0.0.0"])
}

func TestCancelStopsWhatRuns(t *testing.T) {
	w := newWorld(t, 2)
	w.play(time.Second)
	j := simpleJob(1, 3, 1000)
	j.Steps[0].Service = true
	w.submit(j)
	w.play(time.Second)
	call := w.cancel(j.ID)
	require.NotContains(t, w.verdicts, call, "a cancel is answered before it is stored")
	w.play(2 * time.Second)
	require.Equal(t, cell.Ended, w.verdicts[call].Verdict)
	require.Equal(t, job.Cancelled, w.state(j.ID))
	for _, x := range w.executors {
		require.Empty(t, x.runs)
	}
}

func TestFailedAttemptsEndTheJob(t *testing.T) {
	w := newWorld(t, 3)
	w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 50 * time.Millisecond, fleet.EndFailed }
	w.play(time.Second)
	j := simpleJob(1, 1, 1000)
	w.submit(j)
	w.play(6 * time.Second)
	require.Equal(t, job.Failed, w.state(j.ID))
	require.Equal(t, 2, w.starts[j.ID+".0.0.0"])
}

// TestLateJobIsTakenWhileExecutorsAreFree is a row for when a refused job comes
// back: while nothing waits it is done late, as long as that is of use; otherwise
// it does not take the place of those that can be in time.
func TestLateJobIsTakenWhileExecutorsAreFree(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		busy  bool
		want  cell.Verdict
	}{
		"in time":             {time.Second, false, cell.Accepted},
		"late and free":       {4 * time.Second, false, cell.Accepted},
		"late and busy":       {4 * time.Second, true, cell.Refused},
		"too late for anyone": {12 * time.Second, false, cell.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.executors["e0"].Draining = true
			w.list()
			w.play(time.Second)
			j := simpleJob(1, 1, 8000)
			require.Equal(t, cell.Refused, w.verdicts[w.submit(j)].Verdict)
			w.executors["e0"].Draining = false
			w.list()
			w.play(c.after)
			if c.busy {
				for n := range 6 {
					w.submit(simpleJob(n+2, 1, 8000))
				}
			}
			call := w.submit(simpleJob(1, 1, 8000))
			w.play(100 * time.Millisecond)
			require.Equal(t, c.want, w.verdicts[call].Verdict)
		})
	}
}

func TestTeamLimit(t *testing.T) {
	w := newWorld(t, 4)
	w.config.Teams[0].Limit = fleet.Vector{CPU: 5000}
	w.play(time.Second)
	j := simpleJob(1, 10, 2000)
	w.submit(j)
	for range 60 {
		w.play(50 * time.Millisecond)
		running := 0
		for _, x := range w.executors {
			running += len(x.runs)
		}
		require.LessOrEqual(t, running, 2)
	}
	w.play(2 * time.Second)
	require.Equal(t, job.Succeeded, w.state(j.ID))
}

func TestNothingIsAcceptedWithoutTheStore(t *testing.T) {
	w := newWorld(t, 2)
	w.play(time.Second)
	w.storeDown = true
	call := w.submit(simpleJob(1, 1, 1000))
	w.play(time.Second)
	require.NotContains(t, w.verdicts, call)
	require.Empty(t, w.starts)
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

// TestUnstoredEndKeepsItsVM replays scale-1 with seed 355961583364 of
// zkw-tarcza: while the store was down a VM was moved that alone knew how a run
// had ended, so that the next owner started the task once too often.
func TestUnstoredEndKeepsItsVM(t *testing.T) {
	waves := []fleet.Wave{{Number: 1, VMs: []string{"vm-e0", "vm-e1", "vm-e2", "vm-e3", "vm-e4"}, Within: 20, Cap: 5}}
	for name, event := range map[string]cell.Event{"lending": cell.Tick{}, "maintenance": cell.WavesAsked{Waves: waves}} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 5)
			w.play(time.Second)
			w.submit(simpleJob(1, 5, 8000))
			w.play(200 * time.Millisecond)
			w.storeDown = true
			clear(w.moved)
			w.step(event)
			w.play(3 * time.Second)
			for id, x := range w.executors {
				require.NotEmpty(t, x.ended)
				require.False(t, w.moved[id] || w.maintained[id], "the VM of %s was ordered away", id)
			}
		})
	}
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

// TestOldListOfVMsProvesNothing replays fresh-c05f of sellocant-jw-grown: the
// answer to an earlier question did not name the VM of a new executor yet, whose
// runs were given up and started elsewhere while they went on.
func TestOldListOfVMsProvesNothing(t *testing.T) {
	w := newWorld(t, 1)
	w.play(time.Second)
	before, asked := w.vms, w.now
	w.addExecutor("e9")
	w.executors["e9"].Labels = []string{"new", "r1-1"}
	w.list()
	w.play(500 * time.Millisecond)
	j := simpleJob(1, 1, 1000)
	j.Steps[0].Service, j.Steps[0].Label = true, "new"
	w.submit(j)
	w.play(500 * time.Millisecond)
	require.Equal(t, map[string]int{"e9": 1}, w.placed(j.ID))
	w.executors["e9"].dark = true
	w.play(900 * time.Millisecond)
	w.step(cell.VMsListed{VMs: before, Asked: asked})
	w.executors["e9"].dark = false
	w.play(3 * time.Second)
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"])
}

// TestRepeatedOrderEndsNothing lets a new owner order a maintenance that was done
// before, in a wave that is late, so that work at the VM does not hold it: the
// order is answered as done, and the runs there go on.
func TestRepeatedOrderEndsNothing(t *testing.T) {
	w := newWorld(t, 2)
	w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 5 * time.Second, fleet.EndDone }
	w.maintains = true
	w.wellKept["vm-e0"], w.wellKept["vm-e1"] = true, true
	w.play(time.Second)
	j := simpleJob(1, 2, 5000)
	j.Steps[0].EstimateMs = 5000
	w.submit(j)
	w.play(200 * time.Millisecond)
	w.step(cell.WavesAsked{Waves: []fleet.Wave{{Number: 1, VMs: []string{"vm-e0", "vm-e1"}, Within: 0.1, Cap: 2}}})
	w.play(9 * time.Second)
	require.Len(t, w.maintained, 2)
	require.Equal(t, job.Succeeded, w.state(j.ID))
	require.Len(t, w.starts, 2)
}

// TestOvertakingAnswersEndNothing replays clocks-and-links with seed 20 on
// sellocant-jw: an owner on a slow VM read the answers to its starts after those
// to later renewals, took the older clocks for new incarnations, and started
// everything again.
func TestOvertakingAnswersEndNothing(t *testing.T) {
	for _, kind := range []string{"start", "stop", "renew"} {
		t.Run(kind, func(t *testing.T) {
			w := newWorld(t, 3)
			w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 3 * time.Second, fleet.EndDone }
			w.play(time.Second)
			stopped := simpleJob(9, 2, 1000)
			stopped.Steps[0].Service = true
			w.submit(stopped)
			w.play(time.Second)
			w.answers = func(k string) time.Duration {
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
				w.submit(j)
				w.play(100 * time.Millisecond)
			}
			w.cancel(stopped.ID)
			w.play(8 * time.Second)
			for _, j := range jobs {
				require.Equal(t, job.Succeeded, w.state(j.ID))
				require.Equal(t, 1, w.starts[j.ID+".0.0.0"])
			}
		})
	}
}

// TestAnswerOfAnEarlierIncarnation lets an executor crash and come back while its
// answer to a renewal is on its way: what the earlier incarnation said is void, and
// a job that waits for the executor starts once.
func TestAnswerOfAnEarlierIncarnation(t *testing.T) {
	for ms := range 30 {
		w := newWorld(t, 1)
		w.play(time.Second)
		x := w.executors["e0"]
		x.dark = true
		w.play(700 * time.Millisecond)
		j := simpleJob(1, 1, 1000)
		j.Steps[0].Service = true
		w.submit(j)
		x.dark = false
		w.answers = func(kind string) time.Duration {
			if kind == "renew" {
				return 300 * time.Millisecond
			}
			return 0
		}
		w.play(time.Duration(ms) * 20 * time.Millisecond)
		w.crash(x)
		w.restart(x)
		w.answers = atOnce
		w.play(3 * time.Second)
		require.Equal(t, map[string]int{"e0": 1}, w.placed(j.ID))
		require.LessOrEqual(t, w.starts[j.ID+".0.0.0"], 2, "it may have begun before the crash, and begins once after it")
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
