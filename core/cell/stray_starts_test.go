package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// TestListThatLagsEndsRunOfStrayStart guards against giving up a run that goes on: the owner has
// noticed an incarnation, which crashes, and the one after it takes a start that was sent before.
// The list of VMs is requested after the answer, and shows what was before it (issue 54, TWICE).
func TestListThatLagsEndsRunOfStrayStart(t *testing.T) {
	w, x := newWorldOfLongTasks(t)
	w.orderDelivery = deliverStartsAfter(480*time.Millisecond, true)
	w.vmListDelay = func() (takes, age time.Duration) { return 5 * time.Millisecond, testVMListLag }
	j := simpleJob(1, 1, 1000)
	w.submitJob(j)
	w.advance(50 * time.Millisecond)
	w.restartUnseen(x)
	w.listExecutors()
	w.advance(40 * time.Millisecond)
	require.NotZero(t, x.token, "the owner has noticed the incarnation")
	entry := x.Executor
	x.oldEntry = &entry
	w.crash(x)
	w.advance(370 * time.Millisecond)
	w.restartUnseen(x)
	w.advance(100 * time.Millisecond)
	require.Len(t, x.runs, 1, "the run starts in the next incarnation")
	w.orderDelivery = deliverPromptly
	w.join("e1")
	w.advance(3 * time.Second)
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"])
	require.Equal(t, fleet.VMUp, w.vms[0].State)
}

// TestStopOfOneIncarnationDoesNotFenceTheNext guards against starting a task elsewhere while its
// unanswered start may still be carried out: the incarnation that confirmed a stop, and does not
// list the run, crashes, and the next one takes the start (issue 54, TWICE).
func TestStopOfOneIncarnationDoesNotFenceTheNext(t *testing.T) {
	for name, c := range map[string]struct {
		delivered, givenUp time.Duration
		isCarried          bool
	}{
		"the call is carried out late":                          {980 * time.Millisecond, 500 * time.Millisecond, false},
		"a node carries the start whose link to the owner ends": {880 * time.Millisecond, 50 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.letRunsTake(20 * time.Second)
			w.advance(20*time.Second + 400*time.Millisecond)
			x := w.executors["e0"]
			w.latestInNext = c.delivered
			w.orderDelivery = deliverStartsAfter(c.delivered, false)
			j := simpleJob(1, 1, 1000)
			sent := w.now
			w.submitJob(j)
			w.advance(50 * time.Millisecond)
			x.Draining = true
			w.join("e1")
			w.orderDelivery = deliverPromptly
			w.advance(sent + c.givenUp - w.now)
			w.step(cell.Started{Executor: x.ID, Task: j.ID + ".0.0.0", Run: 1, Sent: w.now, Answer: fleet.OrderAnswer{Outcome: fleet.OrderUnknown}, IsCarried: c.isCarried})
			for range 100 {
				if x.highestEndedRun[j.ID+".0.0.0"] > 0 {
					break
				}
				w.advance(testStep)
			}
			require.NotZero(t, x.highestEndedRun[j.ID+".0.0.0"], "the executor has got a stop")
			w.advance(40 * time.Millisecond)
			w.crash(x)
			w.advance(80 * time.Millisecond)
			w.restartUnseen(x)
			w.advance(5 * time.Second)
			require.NotZero(t, w.starts[j.ID+".0.0.0"])
		})
	}
}

// TestUnansweredStartKeepsLongListOfEnds guards against a job that never goes on: the end of a run
// whose start got no answer is not listed before others are acknowledged, which waits for the run.
func TestUnansweredStartKeepsLongListOfEnds(t *testing.T) {
	w := newWorld(t, 1)
	w.maxListedEnds = 1
	w.letRunsTake(100 * time.Millisecond)
	w.advance(10 * time.Second)
	x, others, j := w.executors["e0"], simpleJob(9, 2, 1000), simpleJob(1, 1, 1000)
	w.submitJob(others)
	w.advance(30 * time.Millisecond)
	w.orderDelivery = func(kind, _ string) (time.Duration, bool) {
		if kind == "start" {
			return 50 * time.Millisecond, false
		}
		return 300 * time.Millisecond, true
	}
	w.submitJob(j)
	w.advance(200 * time.Millisecond)
	require.Len(t, x.ended, 3)
	w.orderDelivery = deliverPromptly
	w.advance(3 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(j.ID))
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"])
}

// TestStrayAnswerProvesNoLease guards against giving up a run too soon: the owner has noticed an
// incarnation, which crashes, and the one after it takes a start that was sent before, and a renewal
// with a deadline on the clock of the noticed one (issue 54, TWICE).
func TestStrayAnswerProvesNoLease(t *testing.T) {
	isNoticed := false
	w, x := newWorldOfLongTasks(t)
	w.orderDelivery = func(kind, _ string) (time.Duration, bool) {
		switch {
		case kind == "start":
			return 480 * time.Millisecond, true
		case isNoticed:
			return 1500 * time.Millisecond, false
		}
		return time.Millisecond, true
	}
	j := simpleJob(1, 1, 1000)
	w.submitJob(j)
	w.advance(50 * time.Millisecond)
	w.restartUnseen(x)
	// Its clock starts with any reading.
	x.bootedAt = w.now - time.Minute
	w.listExecutors()
	for !isNoticed {
		w.advance(testStep)
		isNoticed = x.token > 1
	}
	w.advance(50 * time.Millisecond)
	entry := x.Executor
	x.oldEntry = &entry
	w.crash(x)
	w.advance(300 * time.Millisecond)
	w.restartUnseen(x)
	w.advance(1250 * time.Millisecond)
	require.Len(t, x.runs, 1, "the run starts in the next incarnation")
	w.cutOff(x)
	w.advance(12 * time.Second)
	require.Empty(t, x.runs)
	require.Equal(t, 2, w.starts[j.ID+".0.0.0"])
}

// TestLeaseOnClockOfUnbornIncarnation guards against a run that is never given up: the owner knows an
// incarnation by its clock only, which is far ahead, and the next one answers the first renewal.
func TestLeaseOnClockOfUnbornIncarnation(t *testing.T) {
	w, x := newWorldOfLongTasks(t)
	w.orderDelivery = deliverStartsAfter(100*time.Millisecond, true)
	entry := x.Executor
	x.oldEntry = &entry
	w.submitJob(simpleJob(1, 1, 1000))
	w.advance(50 * time.Millisecond)
	w.restartUnseen(x)
	// Its clock starts with any reading.
	x.bootedAt = w.now - 10*time.Minute
	w.orderDelivery = func(kind, _ string) (time.Duration, bool) { return time.Millisecond, kind != "renew" }
	w.advance(100 * time.Millisecond)
	require.Len(t, x.runs, 1, "the run starts in the new incarnation")
	w.crash(x)
	w.advance(400 * time.Millisecond)
	w.orderDelivery = deliverPromptly
	w.restartUnseen(x)
	x.oldEntry = nil
	w.advance(3 * time.Second)
	require.Len(t, x.runs, 1, "the task starts again in the next one")
	w.cutOff(x)
	w.advance(testMaxRenewalGap + 2*time.Second)
	require.Len(t, w.executors["e1"].runs, 1, "the run is given up")
}
