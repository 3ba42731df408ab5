package cell

import (
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// place reserves room for a run of a task.
func (k *Kernel) place(x *executor, s *stepRun, index, number int) *run {
	t := &s.tasks[index]
	r := &run{
		step: s, index: index, number: number, executor: x,
		name:     job.TaskID{Job: s.job.ID, Occurrence: s.k, Step: s.index, Index: index}.String(),
		reserved: s.Reserved(), charged: s.Size, pace: 100,
	}
	x.runs[runKey{r.name, number}] = r
	x.used = x.used.Add(r.reserved)
	k.usage[s.job.Team] = k.usage[s.job.Team].Add(r.charged)
	if t.state == taskWaiting {
		s.waiting--
	}
	t.state, t.current = taskPlaced, r
	t.run = max(t.run, number)
	return r
}

// start sends a task to an executor.
func (k *Kernel) start(x *executor, s *stepRun, index, number int) {
	r := k.place(x, s, index, number)
	r.state, r.sent = runStarting, k.now.Mono
	deadline := max(k.deadline(x), x.granted)
	x.granted = deadline
	k.emit(Start{fleet.StartOrder{
		Address: x.Address, Executor: x.ID, Task: r.name, Run: number, Spec: s.job.Spec,
		DeadlineMs: deadline, Token: k.Token, Checkpoint: s.tasks[index].saved,
		Ticket: s.tickets[x.ID],
	}})
	k.log(event.RunStarted, "task", r.name, "run", number, "executor", x.ID, "waited_ms", (k.now.Mono - s.readyAt).Milliseconds())
	k.markStarted(s.job)
}

// startAnswered takes an executor's answer to a start.
func (k *Kernel) startAnswered(e Started) {
	x := k.executors[e.Executor]
	if x == nil {
		return
	}
	r := x.runs[runKey{e.Task, e.Run}]
	if r == nil {
		return
	}
	if e.Answer.Outcome != fleet.OrderDone {
		k.log(event.StartAnswered, "task", e.Task, "run", e.Run, "executor", x.ID, "outcome", e.Answer.Outcome)
	}
	k.readClock(x, e.Sent, e.Answer.ClockMs)
	r.settled = k.now.Mono
	switch e.Answer.Outcome {
	case fleet.OrderDone:
		if r.state == runStarting || r.state == runUnknown {
			r.state, r.began, r.moved = runActive, k.now.Mono, k.now.Mono
		}
	case fleet.OrderUnknown:
		if r.state == runStarting {
			r.state = runUnknown
		}
		x.misses = max(x.misses, suspectMisses)
	case fleet.OrderFenced:
		k.depose("executor " + x.ID + " has seen a higher token")
	default:
		k.startRefused(x, r, e.Answer.Outcome)
	}
}

// startRefused lets a task that did not start wait again.
func (k *Kernel) startRefused(x *executor, r *run, outcome fleet.OrderOutcome) {
	k.release(r)
	t := r.task()
	if t.current == r {
		t.current = nil
		k.waitAgain(r.step, r.index)
	}
	switch outcome {
	case fleet.OrderOtherIncarnation, fleet.OrderRefused, fleet.OrderInvalid:
		x.avoid = k.now.Mono + refusedFor
	case fleet.OrderNoRoom, fleet.OrderLate:
		x.avoid = k.now.Mono + endsPause
	case fleet.OrderNoTicket:
		delete(r.step.tickets, x.ID)
	}
}

// stopRun ends a run; its room is free once its end is listed.
func (k *Kernel) stopRun(r *run) {
	if r.state == runStopping && (r.stopped || k.now.Mono < r.stopSent+stopRetry) {
		return
	}
	r.state, r.stopSent = runStopping, k.now.Mono
	x := r.executor
	k.emit(Stop{fleet.StopOrder{Address: x.Address, Executor: x.ID, Task: r.name, Run: r.number, Token: k.Token}})
}

// stopAnswered takes an executor's answer to a stop.
func (k *Kernel) stopAnswered(e Stopped) {
	x := k.executors[e.Executor]
	if x == nil {
		return
	}
	if e.Answer.Outcome == fleet.OrderFenced {
		k.depose("executor " + x.ID + " has seen a higher token")
		return
	}
	k.readClock(x, e.Sent, e.Answer.ClockMs)
	r := x.runs[runKey{e.Task, e.Run}]
	if r == nil || r.state != runStopping {
		return
	}
	if e.Answer.Outcome == fleet.OrderDone {
		r.stopped, r.settled = true, k.now.Mono
	}
}

// ended takes the end of a run.
func (k *Kernel) ended(x *executor, e fleet.EndedRun) {
	r := x.runs[runKey{e.Task, e.Run}]
	if r == nil {
		k.endedUnplaced(e)
		return
	}
	k.release(r)
	t := r.task()
	if t.current != r {
		return
	}
	t.current = nil
	k.settleEnd(r.step, r.index, x, e)
}

// endedUnplaced takes the end of a run that an earlier owner started, or that
// was given up; it counts unless the task was started again.
func (k *Kernel) endedUnplaced(e fleet.EndedRun) {
	id, err := job.ParseTaskID(e.Task)
	if err != nil {
		return
	}
	j := k.jobs[id.Job]
	if j == nil || j.state.Ended() {
		return
	}
	s := j.stepAt(id.Occurrence, id.Step)
	if s == nil || id.Index >= len(s.tasks) {
		return
	}
	t := &s.tasks[id.Index]
	if t.knows(e) {
		return
	}
	if t.state != taskWaiting {
		k.failedBefore(s, id.Index, e)
		return
	}
	t.state = taskPlaced
	s.waiting--
	k.markStarted(j)
	k.settleEnd(s, id.Index, nil, e)
}

// failedBefore counts the failure of an earlier run of a task whose later run is at
// work: a new owner may hear of the later one first.
func (k *Kernel) failedBefore(s *stepRun, index int, e fleet.EndedRun) {
	t := &s.tasks[index]
	if t.state != taskPlaced || e.How != fleet.EndFailed || s.Service {
		return
	}
	k.log(event.RunEnded, "task", e.Task, "run", e.Run, "how", e.How)
	t.ended, t.endedRun = true, max(t.endedRun, e.Run)
	t.failed = append(t.failed, e.Run)
	if s.failures(index) >= s.job.attempts() {
		k.failJob(s, index)
	}
	k.touch(s.job)
}

// failures returns how often a task has failed, or the gang that it belongs to,
// since one member's failure ends the runs of all.
func (s *stepRun) failures(index int) int {
	if !s.Gang {
		return len(s.tasks[index].failed)
	}
	n := 0
	for i := range s.tasks {
		n += len(s.tasks[i].failed)
	}
	return n
}

// attempts returns how often a task of a job may fail.
func (j *jobState) attempts() int {
	if j.queue == nil {
		return 1
	}
	return max(j.queue.Attempts, 1)
}

// failJob ends a job by a task that has failed as often as it may.
func (k *Kernel) failJob(s *stepRun, index int) {
	k.log(event.JobFailed, "job", s.job.ID, "step", s.index, "task", index, "failures", s.failures(index))
	k.endJob(s.job, job.Failed)
}

// knows reports whether an end was taken before: ends are listed again until
// they are acknowledged, and executors answer in any order.
func (t *task) knows(e fleet.EndedRun) bool {
	if e.How == fleet.EndFailed {
		return slices.Contains(t.failed, e.Run)
	}
	return e.How != fleet.EndDone && e.Run <= t.endedRun
}

// settleEnd changes a task by the end of its current run; x is nil where an
// earlier owner started it.
func (k *Kernel) settleEnd(s *stepRun, index int, x *executor, e fleet.EndedRun) {
	t := &s.tasks[index]
	t.ended = true
	t.run, t.endedRun = max(t.run, e.Run), max(t.endedRun, e.Run)
	if e.Checkpoint != "" {
		t.saved = e.Checkpoint
	}
	k.log(event.RunEnded, "task", e.Task, "run", e.Run, "how", e.How)
	j := s.job
	if j.state.Ended() {
		t.state = taskDone
		return
	}
	switch {
	case e.How == fleet.EndDone && !s.Service:
		k.taskDone(s, index, x)
	case e.How == fleet.EndFailed:
		k.taskFailed(s, index, x, e.Run)
	default:
		k.waitAgain(s, index)
	}
	k.touch(j)
}

func (k *Kernel) taskDone(s *stepRun, index int, x *executor) {
	if x != nil {
		x.failures, x.succeeded = 0, k.now.Mono
	}
	t := &s.tasks[index]
	t.state, t.uncertain = taskDone, false
	s.done++
	j := s.job
	j.worked(s)
	if s.Gang {
		k.gangDone(s)
	}
	if s.done < s.Count {
		return
	}
	j.open--
	if j.open == 0 {
		k.log(event.JobSucceeded, "job", j.ID, "took_ms", (k.now.Mono - j.arrived).Milliseconds(), "objective_ms", (j.due - j.arrived).Milliseconds())
		j.state, j.endedMs = job.Succeeded, k.now.UnixMs
		delete(k.pool(j.Pool).jobs, j.ID)
		return
	}
	k.unblock(s)
}

// worked takes a task that is done from the work that is left.
func (j *jobState) worked(s *stepRun) {
	if !s.Fills && !s.Service {
		j.left = max(j.left-s.Size.CPU*s.EstimateMs, 0)
	}
}

// unblock activates the steps that waited for s alone.
func (k *Kernel) unblock(s *stepRun) {
	j := s.job
	for _, next := range j.steps {
		if next.k != s.k {
			continue
		}
		for _, a := range next.After {
			if a == s.index {
				next.waitsFor--
			}
		}
		if next.waitsFor == 0 && !next.active && j.stored {
			k.activate(next)
		}
	}
}

// gangDone settles all members by the end of one.
func (k *Kernel) gangDone(s *stepRun) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state == taskDone {
			continue
		}
		if t.state == taskWaiting {
			s.waiting--
		}
		if t.current != nil {
			k.release(t.current)
			t.current = nil
		}
		t.state, t.ended = taskDone, true
		s.done++
		s.job.worked(s)
	}
}

// Pauses before a failed task starts again.
const (
	firstFailPause = 50 * time.Millisecond
	maxFailPause   = time.Second
)

func (k *Kernel) taskFailed(s *stepRun, index int, x *executor, run int) {
	t := &s.tasks[index]
	if s.Service {
		// Service tasks fail without limit; the last one sets the pause.
		t.failed = nil
	}
	t.failed = append(t.failed, run)
	if x != nil {
		t.failedOn = x.ID
		x.failures++
		if x.failures >= failStreak {
			x.avoid = k.now.Mono + avoidFor
			k.log(event.ExecutorAvoided, "executor", x.ID, "failures", x.failures)
		}
	}
	if !s.Service && s.failures(index) >= s.job.attempts() {
		t.state = taskFailed
		k.failJob(s, index)
		return
	}
	pause := min(firstFailPause<<min(len(t.failed)-1, 5), maxFailPause)
	t.notBefore = k.now.Mono + pause
	k.waitAgain(s, index)
}
