package cell_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// newIdleWorld returns a world whose only executor has been idle for some time. Each run takes as
// long as given.
func newIdleWorld(t require.TestingT, idle, takes time.Duration) (w *world, x *fakeExecutor) {
	w = newWorld(t, 1)
	w.letRunsTake(takes)
	w.advance(idle)
	return w, w.executors["e0"]
}

// newWorldOfCrash returns the same world just after the crash of the executor.
func newWorldOfCrash(t require.TestingT, idle, takes time.Duration) (w *world, x *fakeExecutor) {
	w, x = newIdleWorld(t, idle, takes)
	w.crash(x)
	return w, x
}

// newWorldOfRestart returns the same world after the executor has started again between two
// renewals.
func newWorldOfRestart(t require.TestingT, takes time.Duration) (w *world, x *fakeExecutor) {
	w, x = newIdleWorld(t, 20*time.Second, takes)
	w.restartUnseen(x)
	return w, x
}

// newWorldOfUnseenRestart returns the same world after the new incarnation has taken the start of
// a long task, and another executor has joined.
func newWorldOfUnseenRestart(t require.TestingT) (w *world, x *fakeExecutor, task string) {
	w, x = newWorldOfRestart(t, 20*time.Second)
	task = w.submitTask(1)
	w.advance(100 * time.Millisecond)
	require.Len(t, x.runs, 1, "the run starts in the new incarnation")
	w.join("e1")
	return w, x, task
}

// letRunsTake lets each run be done after some time.
func (w *world) letRunsTake(d time.Duration) {
	w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return d, fleet.EndDone }
}

// restartUnseen lets an executor crash, unless it is down, and start again under its id. Its answers
// show the new incarnation before its entry does.
func (w *world) restartUnseen(x *fakeExecutor) {
	if !x.down {
		w.crash(x)
		w.advance(300 * time.Millisecond)
	}
	x.down, x.bootedAt, x.StartedMs = false, w.now, w.now.Milliseconds()
	x.restartsUnseen = true
	w.setVM(x.ID, fleet.VMUp)
}

// showUnseenEntry lets an owner read the entry of an incarnation that has answered it before.
func (w *world) showUnseenEntry(k *cell.Kernel, answer cell.Renewed) {
	x := w.executors[answer.Order.Executor]
	if x == nil || !x.restartsUnseen || x.oldEntry != nil || answer.State.StartedMs == 0 {
		return
	}
	entry := x.Executor
	// The one that answered may have crashed since.
	entry.StartedMs = answer.State.StartedMs
	w.stepKernel(k, cell.ExecutorsChanged{Changed: []fleet.Executor{entry}})
}

// crashFor lets an executor crash and start again under its id after some time, unseen.
func (w *world) crashFor(x *fakeExecutor, away time.Duration) {
	w.crash(x)
	w.advance(away)
	w.restartUnseen(x)
}

// crashAllFor does the same with all executors at once.
func (w *world) crashAllFor(away time.Duration) {
	for _, x := range w.executors {
		w.crash(x)
	}
	w.advance(away)
	for _, x := range w.executors {
		w.restartUnseen(x)
	}
}

// join lets another executor join.
func (w *world) join(id string) {
	w.addExecutor(id)
	w.listExecutors()
}

// cutOff cuts an executor off, and lets another one join.
func (w *world) cutOff(x *fakeExecutor) {
	x.unreachable = true
	w.orderDelivery = deliverPromptly
	w.join("e1")
}

// submitTask submits a job of one task, and returns the id of the task.
func (w *world) submitTask(n int) string {
	w.submitJob(simpleJob(n, 1, 1000))
	return taskOf(n, 0)
}

// taskOf returns the id of a task of the first step of a simple job.
func taskOf(n, index int) string { return fmt.Sprintf("%016x.0.0.%d", n, index) }

// jobOf returns the id of a task's job.
func jobOf(task string) string { return task[:16] }

// requireSuccess checks that a task has started once and was done.
func (w *world) requireSuccess(task string) {
	require.Equal(w.t, 1, w.starts[task])
	require.Equal(w.t, job.Succeeded, w.jobState(jobOf(task)))
}

// requireRepeatedOnceLapsed checks that an executor that is cut off ends its run of a task, and that
// the task starts elsewhere, within some time. The world checks that the run ends first.
func (w *world) requireRepeatedOnceLapsed(x *fakeExecutor, task string, within time.Duration) {
	w.advance(within)
	require.Empty(w.t, x.runs)
	require.Equal(w.t, 2, w.starts[task])
}

// requireNoCrashStored checks that no crash is charged to a task of a job.
func (w *world) requireNoCrashStored(id string) {
	for _, p := range w.stored[id].Tasks {
		require.Nil(w.t, p.Crashes, "%+v", p)
	}
}

// deliverAfter delivers orders late by task or else by kind, and all others promptly. Those whose
// task or kind is named after that get no answer.
func deliverAfter(delays map[string]time.Duration, unanswered ...string) func(kind, task string) (time.Duration, bool) {
	return func(kind, task string) (time.Duration, bool) {
		answered := !slices.Contains(unanswered, kind) && !slices.Contains(unanswered, task)
		for _, key := range []string{task, kind} {
			if delay, ok := delays[key]; ok {
				return delay, answered
			}
		}
		return time.Millisecond, answered
	}
}

// deliverStartsAfter delivers starts late, and all else promptly.
func deliverStartsAfter(delay time.Duration, answered bool) func(kind, task string) (time.Duration, bool) {
	return func(kind, task string) (time.Duration, bool) {
		if kind == "start" {
			return delay, answered
		}
		return deliverPromptly(kind, task)
	}
}

// deliverUnanswered delivers orders late, and none gets an answer.
func deliverUnanswered(delay time.Duration) func(kind, task string) (time.Duration, bool) {
	return func(string, string) (time.Duration, bool) { return delay, false }
}

// delayNextRenewal lets the next renewal arrive late, without an answer, and others as given.
func (w *world) delayNextRenewal(delay time.Duration, others func(kind, task string) (time.Duration, bool)) (isSent *bool) {
	isSent = new(bool)
	w.orderDelivery = func(kind, task string) (time.Duration, bool) {
		if kind == "renew" && !*isSent {
			*isSent = true
			return delay, false
		}
		return others(kind, task)
	}
	return isSent
}

// delayAnswers lets the answers to one kind of orders arrive late.
func delayAnswers(kind string, delay time.Duration) func(kind string) time.Duration {
	return func(k string) time.Duration {
		if k == kind {
			return delay
		}
		return 0
	}
}
