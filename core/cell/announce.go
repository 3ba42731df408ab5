package cell

import (
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/job"
	"jacinthwind/core/suspicion"
)

const (
	// promiseTime is how long an executor is kept for a task whose start in isolation was
	// announced: as long as it mostly takes to store that.
	promiseTime = 500 * time.Millisecond
	// maxAnnouncedIDBytes is the longest executor id that an announced start names.
	maxAnnouncedIDBytes = 64
)

// closeUnusedStarts notes of the suspected tasks of a step that wait on, although they might have
// started, that they have not. Otherwise the next owner would presume that each of them was
// started and lost.
func (k *Kernel) closeUnusedStarts(s *stepRun) {
	if !s.suspected {
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskWaiting || t.uncertain || t.crashes == (suspicion.Record{}) || t.crashes.Unstarted || k.isCrashUnstored(s, t) {
			continue
		}
		if t.crashes.Announced().Run > t.highestRun {
			// It is about to start.
			continue
		}
		t.crashes.CloseStart()
		k.markTaskDirty(s, i)
	}
}

// announceStart lets a suspected task wait whose start the next owner would not presume, until
// it is stored that it starts. It reports whether the task has to wait.
func (k *Kernel) announceStart(x *executor, s *stepRun, index, number int) bool {
	t := &s.tasks[index]
	announced, start := t.crashes.Announced(), startOn(x, number)
	switch {
	case t.crashes.Unstarted:
	case announced.Run != number || announced == start || announced.Executor == "":
		return false
	default:
		// Another executor suits better by now. It is not awaited that one suits for long.
		start = suspicion.Start{Run: number}
	}
	t.crashes.Announce(start)
	k.holdUntilStored(s, index)
	return true
}

// startOn returns the announcement of a run on an executor.
func startOn(x *executor, number int) suspicion.Start {
	if len(x.ID) > maxAnnouncedIDBytes {
		return suspicion.Start{Run: number}
	}
	return suspicion.Start{Run: number, Executor: x.ID, BornMs: x.bornMs}
}

// promise keeps an executor for a task, or a gang by its first task, that waits until its
// start in isolation is stored.
func (k *Kernel) promise(x *executor, t *task) {
	x.promisedTo, x.promisedUntil = t, k.now.Monotonic+promiseTime
	x.closedUntil = max(x.closedUntil, x.promisedUntil)
}

// isPromised reports whether an executor is kept for another task.
func (k *Kernel) isPromised(x *executor, t *task) bool {
	return x.promisedTo != nil && x.promisedTo != t && x.promisedTo.state == taskWaiting && k.now.Monotonic < x.promisedUntil
}

// noteStart notes in the record of a suspected task where a run of it is.
func (k *Kernel) noteStart(r *run) {
	t := r.task()
	start := startOn(r.executor, r.number)
	if t.crashes == (suspicion.Record{}) || t.crashes.Announced() == start {
		return
	}
	t.crashes.Announce(start)
	k.markTaskDirty(r.step, r.index)
}

// presumeCrash counts a crash under a suspected task whose start by the earlier owner was lost
// together with its executor.
func (k *Kernel) presumeCrash(s *stepRun, index int) {
	t := &s.tasks[index]
	if t.crashes.Unstarted {
		return
	}
	start := t.crashes.Announced()
	if k.isStartResolved(t) {
		t.crashes.CloseStart()
		k.markTaskDirty(s, index)
		return
	}
	t.crashes.PresumeCrash()
	k.log(event.CrashPresumed, "job", s.job.ID, "step", s.index, "task", index, "run", start.Run, "executor", start.Executor,
		"crashes", t.crashes)
	k.holdUntilStored(s, index)
	switch {
	case s.Service:
		k.delayRestart(s, index)
	case t.crashes.ShouldGiveUp() && !s.job.state.IsFinal():
		k.log(event.TaskGivenUp, "job", s.job.ID, "step", s.index, "task", index, "crashes", t.crashes, "lost_lately", k.countLosses())
		k.endJob(s.job, job.Failed)
	}
}

// isStartResolved reports whether the start of a task that was announced last did not crash its
// executor: its run has ended, or the executor lives and does not have it.
func (k *Kernel) isStartResolved(t *task) bool {
	start := t.crashes.Announced()
	if start.Run != 0 && start.Run <= t.highestEndedRun {
		return true
	}
	x := k.executors[start.Executor]
	return x != nil && x.fenced && x.misses == 0 && x.bornMs == start.BornMs
}
