package cell

import (
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
	"jacinthwind/core/suspicion"
)

// reserveRun creates a run of a task and reserves its resources on an executor.
func (k *Kernel) reserveRun(x *executor, s *stepRun, index, number int) *run {
	t := &s.tasks[index]
	r := &run{
		step: s, index: index, number: number, executor: x,
		name:     job.TaskID{Job: s.job.ID, Occurrence: s.occurrence, Step: s.index, Index: index}.String(),
		reserved: s.ReservedSize(), charged: s.ChargedSize(), throttlePercent: 100,
	}
	x.runs[runKey{r.name, number}] = r
	x.runOrder = nil
	x.used = x.used.Add(r.reserved)
	if s.Service {
		x.serviceUsed = x.serviceUsed.Add(r.reserved)
		x.serviceRuns++
	}
	k.teamUsage[s.job.Team] = k.teamUsage[s.job.Team].Add(r.charged)
	if t.state == taskWaiting {
		s.waitingTasks--
	}
	t.state, t.currentRun = taskPlaced, r
	x.hasSuspects = x.hasSuspects || t.crashes != suspicion.Record{}
	t.highestRun = max(t.highestRun, number)
	k.noteStart(r)
	k.fillPlace(x, s, r.reserved)
	return r
}

// startTask sends a start order for a task to an executor.
func (k *Kernel) startTask(x *executor, s *stepRun, index, number int, isolated bool) {
	r := k.reserveRun(x, s, index, number)
	if isolated {
		r.isolated = true
		x.isolatedRuns++
	}
	r.state, r.sentAt, r.resumed = runStarting, k.now.Monotonic, s.tasks[index].checkpoint != ""
	k.emit(Start{fleet.StartOrder{
		Address: x.Address, Executor: x.ID, Task: r.name, Run: number, Spec: s.job.Spec,
		DeadlineMs: k.grantDeadline(x), Token: x.token, Checkpoint: s.tasks[index].checkpoint,
		Ticket: s.tickets[x.ID],
	}})
	k.log(event.RunStarted, "task", r.name, "run", number, "executor", x.ID, "waited_ms", (k.now.Monotonic - s.readyAt).Milliseconds(),
		"size_band", k.ensurePool(s.job.Pool).sizeBand(r.reserved), "isolated", r.isolated, "born", x.bornMs)
}

// handleStartAnswer handles an executor's answer to a start order.
func (k *Kernel) handleStartAnswer(e Started) {
	x := k.executors[e.Executor]
	if x == nil {
		return
	}
	endsAt := k.callEnd(e.Sent, e.IsCarried, MaxOrderTime)
	isStray := e.Sent < x.noticedAt
	if isStray {
		k.noteStrayCall(x, e.Answer.Outcome, endsAt)
	}
	r := x.runs[runKey{e.Task, e.Run}]
	if r == nil {
		return
	}
	if e.Answer.Outcome != fleet.OrderDone {
		k.log(event.StartAnswered, "task", e.Task, "run", e.Run, "executor", x.ID, "outcome", e.Answer.Outcome)
	}
	k.updateClock(x, e.Sent, e.Answer.ClockMs)
	r.answeredAt = k.now.Monotonic
	switch e.Answer.Outcome {
	case fleet.OrderDone:
		x.refusals = 0
		r.isCarriedOut = true
		if r.state == runStarting || r.state == runUnknown {
			r.state, r.progressedAt = runActive, k.now.Monotonic
			if !isStray {
				r.beganAt, r.blamed, r.pendingCharge = k.now.Monotonic, false, nil
			}
		}
		k.markStarted(r.step.job)
	case fleet.OrderUnknown:
		r.unansweredEnd = endsAt
		if r.state == runStarting {
			r.state = runUnknown
		}
		if isStray {
			// It tells nothing of the known incarnation.
			return
		}
		k.noteUnanswered(x, endsAt)
		k.markSilent(x, e.Answer.Outcome)
		x.misses = max(x.misses, missThreshold)
	case fleet.OrderFenced:
		k.handleFenced(x, e.Token)
		// No incarnation has carried the start out.
		r.pendingCharge = nil
		if r.state == runStarting {
			r.state = runUnknown
		}
	default:
		k.handleStartRefusal(x, r, e.Answer.Outcome)
	}
}

// handleStartRefusal requeues a task that the executor refused to start.
func (k *Kernel) handleStartRefusal(x *executor, r *run, outcome fleet.OrderOutcome) {
	k.releaseRun(r)
	t := r.task()
	if t.currentRun == r {
		t.currentRun = nil
		k.requeueTask(r.step, r.index)
	}
	switch outcome {
	case fleet.OrderOtherIncarnation, fleet.OrderRefused, fleet.OrderInvalid:
		x.avoidUntil = k.now.Monotonic + refusalAvoidance
	case fleet.OrderNoCapacity, fleet.OrderDeadlinePassed:
		if k.now.Monotonic < x.avoidUntil {
			// It was sent together with one that was refused.
			return
		}
		x.avoidUntil = k.now.Monotonic + min(minRenewalInterval<<min(x.refusals, 10), refusalAvoidance)
		x.refusals++
	case fleet.OrderNoTicket:
		delete(r.step.tickets, x.ID)
	}
}

// stopRun orders a run to stop; its resources stay reserved until its end is
// reported.
func (k *Kernel) stopRun(r *run) {
	if r.state == runStopping && (r.stopConfirmed || k.now.Monotonic < r.stopSentAt+stopRetryInterval) {
		return
	}
	r.state, r.stopSentAt = runStopping, k.now.Monotonic
	x := r.executor
	k.emit(Stop{fleet.StopOrder{Address: x.Address, Executor: x.ID, Task: r.name, Run: r.number, Token: x.token}})
}

// handleStopAnswer handles an executor's answer to a stop order.
func (k *Kernel) handleStopAnswer(e Stopped) {
	x := k.executors[e.Executor]
	if x == nil {
		return
	}
	if e.Answer.Outcome == fleet.OrderFenced {
		k.handleFenced(x, e.Token)
		return
	}
	k.updateClock(x, e.Sent, e.Answer.ClockMs)
	r := x.runs[runKey{e.Task, e.Run}]
	if r == nil || r.state != runStopping {
		return
	}
	// An answer that was asked for earlier may be the previous incarnation's.
	if e.Answer.Outcome == fleet.OrderDone && e.Sent >= x.noticedAt {
		r.stopConfirmed, r.answeredAt = true, k.now.Monotonic
	}
}

// handleRunEnd handles the reported end of a run.
func (k *Kernel) handleRunEnd(x *executor, e fleet.EndedRun) {
	r := x.runs[runKey{e.Task, e.Run}]
	if r == nil {
		k.handleUntrackedEnd(e)
		return
	}
	k.releaseRun(r)
	k.markStarted(r.step.job)
	switch e.End {
	case fleet.EndDone:
		k.learnFromEnd(r, runWhole)
	case fleet.EndFailed:
		k.learnFromEnd(r, runFailed)
	default:
		k.learnFromEnd(r, runCut)
	}
	t := r.task()
	if t.currentRun != r {
		return
	}
	t.currentRun = nil
	if suspicion.IsInnocent(k.now.Monotonic - r.startedAt()) {
		t.promptFailures = 0
		if r.step.Service {
			// It ran well here for some time, and it is never done.
			x.failureStreak = 0
		}
	}
	k.applyRunEnd(r.step, r.index, x, e)
}

// handleUntrackedEnd handles the end of a run that this owner does not track,
// because an earlier owner started it or because it was given up. The end counts
// unless the task was started again.
func (k *Kernel) handleUntrackedEnd(e fleet.EndedRun) {
	id, err := job.ParseTaskID(e.Task)
	if err != nil {
		return
	}
	j := k.jobs[id.Job]
	if j == nil || j.state.IsFinal() {
		return
	}
	s := j.stepAt(id.Occurrence, id.Step)
	if s == nil || id.Index >= len(s.tasks) {
		return
	}
	t := &s.tasks[id.Index]
	if t.hasRecorded(e) {
		return
	}
	if t.state != taskWaiting {
		k.countEarlierFailure(s, id.Index, e)
		return
	}
	t.state = taskPlaced
	s.waitingTasks--
	k.markStarted(j)
	k.applyRunEnd(s, id.Index, nil, e)
}

// countEarlierFailure counts the failure of an earlier run of a task while a later
// run is active. A new owner may learn of the later run first.
func (k *Kernel) countEarlierFailure(s *stepRun, index int, e fleet.EndedRun) {
	t := &s.tasks[index]
	if t.state != taskPlaced || e.End != fleet.EndFailed || s.Service {
		return
	}
	k.log(event.RunEnded, "task", e.Task, "run", e.Run, "how", e.End)
	t.anyRunEnded, t.highestEndedRun = true, max(t.highestEndedRun, e.Run)
	t.failedRuns = append(t.failedRuns, e.Run)
	if s.failureCount(index) >= s.job.maxAttempts() {
		k.failJob(s, index)
	}
	k.markTaskDirty(s, index)
}

// failureCount returns how often a task has failed. For a gang it counts the runs of all
// members that failed, however many of them have failed in one run: the failure of one ends
// the run of all.
func (s *stepRun) failureCount(index int) int {
	if !s.Gang {
		return len(s.tasks[index].failedRuns)
	}
	runs := map[int]bool{}
	for i := range s.tasks {
		for _, run := range s.tasks[i].failedRuns {
			runs[run] = true
		}
	}
	return len(runs)
}

// failJob ends a job because a task has used up its attempts.
func (k *Kernel) failJob(s *stepRun, index int) {
	k.log(event.JobFailed, "job", s.job.ID, "step", s.index, "task", index, "failures", s.failureCount(index))
	k.endJob(s.job, job.Failed)
}

// hasRecorded reports whether the end of a run was already recorded. Executors list
// ends until they are acknowledged, and answers arrive in any order. A successful end
// always counts: it makes the task done, and a done task is never requeued, so that a
// repeated report has no effect.
func (t *task) hasRecorded(e fleet.EndedRun) bool {
	if e.End == fleet.EndFailed {
		return slices.Contains(t.failedRuns, e.Run)
	}
	return e.End != fleet.EndDone && e.Run <= t.highestEndedRun
}

// applyRunEnd updates a task with the end of its current run; x is nil if an
// earlier owner started the run.
func (k *Kernel) applyRunEnd(s *stepRun, index int, x *executor, e fleet.EndedRun) {
	t := &s.tasks[index]
	t.anyRunEnded = true
	t.highestRun, t.highestEndedRun = max(t.highestRun, e.Run), max(t.highestEndedRun, e.Run)
	if e.End == fleet.EndDone {
		t.crashes = suspicion.Record{}
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	k.log(event.RunEnded, "task", e.Task, "run", e.Run, "how", e.End)
	j := s.job
	if j.state.IsFinal() {
		t.state = taskDone
		return
	}
	switch {
	case e.End == fleet.EndDone && !s.Service:
		k.completeTask(s, index, x)
	case e.End == fleet.EndFailed:
		k.handleTaskFailure(s, index, x, e.Run)
	default:
		k.requeueTask(s, index)
	}
	k.markTaskDirty(s, index)
}

// completeTask marks a task as done, and its step and job if it was their last.
func (k *Kernel) completeTask(s *stepRun, index int, x *executor) {
	if x != nil {
		x.failureStreak, x.lastSuccessAt = 0, k.now.Monotonic
	}
	t := &s.tasks[index]
	t.state, t.uncertain = taskDone, false
	s.doneTasks++
	j := s.job
	k.subtractWork(s)
	if s.Gang {
		k.completeGang(s)
	}
	if s.doneTasks < s.Count {
		return
	}
	j.openSteps--
	if j.openSteps == 0 {
		k.log(event.JobSucceeded, "job", j.ID, "took_ms", (k.now.Monotonic - j.arrivedAt).Milliseconds(), "objective_ms", (j.due - j.arrivedAt).Milliseconds())
		j.state, j.endedMs = job.Succeeded, k.now.UnixMs
		k.closeJob(j)
		return
	}
	k.activateDependents(s)
}

// activateDependents activates the steps for which s was the last dependency.
func (k *Kernel) activateDependents(s *stepRun) {
	j := s.job
	for _, next := range j.steps {
		if next.occurrence != s.occurrence {
			continue
		}
		for _, a := range next.After {
			if a == s.index {
				next.pendingDependencies--
			}
		}
		if next.pendingDependencies == 0 && !next.activated && j.stored {
			k.activateStep(next)
		}
	}
}

// completeGang marks all members of a gang as done when one is done.
func (k *Kernel) completeGang(s *stepRun) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state == taskDone {
			continue
		}
		if t.state == taskWaiting {
			s.waitingTasks--
		}
		if t.currentRun != nil {
			k.releaseRun(t.currentRun)
			t.currentRun = nil
		}
		t.state, t.anyRunEnded = taskDone, true
		s.doneTasks++
		k.subtractWork(s)
		k.markTaskDirty(s, i)
	}
}

// Backoff before a failed task starts again.
const (
	minFailureBackoff = 50 * time.Millisecond
	maxFailureBackoff = time.Second
)

// handleTaskFailure requeues a failed task after a backoff, or fails its job if the
// task has used up its attempts.
func (k *Kernel) handleTaskFailure(s *stepRun, index int, x *executor, run int) {
	t := &s.tasks[index]
	failures := len(t.failedRuns)
	if s.Service {
		// Service tasks may fail without limit. Only the last failure is kept, and those
		// soon after the start set the backoff.
		t.failedRuns, failures = nil, t.promptFailures
		t.promptFailures++
	}
	t.failedRuns = append(t.failedRuns, run)
	if x != nil {
		t.lastFailedOn = x.ID
	}
	if x != nil && t.promptFailures <= ownFaultAfter {
		x.failureStreak++
		if x.failureStreak >= failureThreshold {
			x.avoidUntil = k.now.Monotonic + failureAvoidance
			k.log(event.ExecutorAvoided, "executor", x.ID, "failures", x.failureStreak)
		}
	}
	if !s.Service && s.failureCount(index) >= s.job.maxAttempts() {
		t.state = taskFailed
		k.failJob(s, index)
		return
	}
	backoff := min(minFailureBackoff<<min(failures, 5), maxFailureBackoff)
	t.retryAt = k.now.Monotonic + backoff
	k.requeueTask(s, index)
}
