package cell_test

import (
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

// TestAnswerFromBeforeTheFirst replays a random play (40,000 checks, seed 101): an
// executor came back before its first answer to a new owner had arrived. The owner
// took that answer, of the incarnation before, for the present one's, started work,
// and gave it up when the next answer told the birth.
func TestAnswerFromBeforeTheFirst(t *testing.T) {
	for ms := range 40 {
		w := newWorld(t, 1)
		w.play(time.Second)
		x := w.executors["e0"]
		w.crash(x)
		w.restart(x)
		j := simpleJob(1, 1, 500)
		j.Steps[0].Service = true
		w.submit(j)
		w.play(100 * time.Millisecond)
		w.crash(x)
		w.restart(x)
		w.answers = func(kind string) time.Duration {
			if kind == "renew" {
				return 200 * time.Millisecond
			}
			return 0
		}
		w.claim()
		w.play(time.Duration(ms) * 10 * time.Millisecond)
		w.crash(x)
		w.restart(x)
		w.answers = atOnce
		w.play(2 * time.Second)
		require.Equal(t, map[string]int{"e0": 1}, w.placed(j.ID))
	}
}
