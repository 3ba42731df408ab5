package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// Limits of the admission, and when refused callers should retry.
const (
	// minRetryAfter and maxRetryAfter bound the time after which refused callers
	// retry; four retries fit into the usual deadline for submitting a job.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// storeRetryAfter is the time after which to retry a job that was refused because
	// the store does not respond.
	storeRetryAfter = time.Second
	// minStoreTime is the shortest time that a caller must still wait for a new job to
	// be accepted: less than the wait for the next write and the write usually take.
	minStoreTime     = 60 * time.Millisecond
	defaultObjective = 600 * time.Millisecond
	// maxLateFactor times the latency objective is the time until which a result is
	// still useful.
	maxLateFactor = 3
)

// submitJob accepts or refuses a job; a job with a known id is not added again, and
// its caller gets the answer for the known one.
func (k *Kernel) submitJob(e Submitted) {
	if j := k.jobs[e.Job.ID]; j != nil {
		if j.stored {
			k.emit(Reply{e.Call, Answer{Verdict: Accepted}})
			return
		}
		j.submitCalls = append(j.submitCalls, e.Call)
		return
	}
	earlier, isRetry := k.refusals[e.Job.ID]
	if isRetry && e.Sent <= earlier.refusedAt {
		// Its caller was told that the job never runs.
		k.refuseJob(e, earlier.firstTry, Answer{Verdict: Refused, RetryAfter: minRetryAfter, Reason: "the job was refused after this call was sent"}, outlook{})
		if e.Sent == 0 {
			// Such a call never looks younger, and must not bar the ones that follow for good.
			k.refusals[e.Job.ID] = earlier
		}
		return
	}
	firstTry := k.now.Monotonic
	if isRetry {
		firstTry = earlier.firstTry
	}
	queue := k.config.Queue(e.Job.Queue)
	if queue == nil {
		k.refuseJob(e, firstTry, Answer{Verdict: NotFound, Reason: "no such queue"}, outlook{})
		return
	}
	e.Job.Pool = queue.Pool
	e.Job.AcceptedMs = k.now.UnixMs
	o := k.foresee(e.Job)
	if !earlier.counted {
		earlier.counted = true
		k.refusals[e.Job.ID] = earlier
		k.ensurePool(queue.Pool).demand.AddJob(firstTry, float64(o.work)/coreSecond)
	}
	// The objective counts from the caller's first attempt.
	e.Job.AcceptedMs -= (k.now.Monotonic - firstTry).Milliseconds()
	a := k.admitJob(e.Job, o, queue, firstTry)
	turnAt := k.now.Monotonic + min(a.ShareWait, maxTurn)
	if e.Deadline != 0 && e.Deadline < k.now.Monotonic+minStoreTime && a.Verdict == Accepted {
		a = Answer{Verdict: Refused, RetryAfter: minRetryAfter, Reason: "the caller does not wait long enough for the job to be stored"}
	}
	if k.storeUnresponsive() && a.Verdict != Unservable {
		a = Answer{Verdict: Refused, RetryAfter: storeRetryAfter, Reason: "the store does not answer"}
	}
	if a.Verdict == Accepted {
		a = k.admitToMemory(e.Job)
	}
	if a.Verdict != Accepted {
		k.refuseJob(e, firstTry, a, o)
		return
	}
	delete(k.refusals, e.Job.ID)
	k.recordRules(e.Job, queue)
	j := k.addJob(e.Job, job.Progress{State: job.Pending}, turnAt, o)
	k.chargeShare(j)
	j.submitCalls = append(j.submitCalls, e.Call)
	k.markDirty(j)
}

// refuseJob refuses a job that was first submitted at a given time. No call that was sent
// before is accepted afterwards.
func (k *Kernel) refuseJob(e Submitted, firstTry time.Duration, a Answer, o outlook) {
	k.refusals[e.Job.ID] = refusal{firstTry, k.now.Monotonic, k.refusals[e.Job.ID].counted}
	k.log(event.JobRefused, "job", e.Job.ID, "queue", e.Job.Queue, "team", e.Job.Team, "reason", a.Reason,
		"retry_after_ms", a.RetryAfter.Milliseconds(), "expected_wait_ms", a.Wait.Milliseconds(), "share_wait_ms", a.ShareWait.Milliseconds(), "beyond_share", a.BeyondShare,
		"chain_ms", o.chain.Milliseconds(), "said_chain_ms", e.Job.CriticalPath(e.Job.Estimates()).Milliseconds(), "asked_first_ms", (k.now.Monotonic - firstTry).Milliseconds(), "attempt", e.Attempt)
	k.emit(Reply{e.Call, a})
}

// admitJob decides whether a job that was first submitted at a given time can meet
// its latency objective.
func (k *Kernel) admitJob(j *job.Job, o outlook, queue *fleet.Queue, first time.Duration) Answer {
	c := k.poolCapacity(queue.Pool, "")
	for i := range j.Steps {
		if r := j.Steps[i].ReservedSize(); !r.FitsIn(c.largest) && c.largest != (fleet.Vector{}) {
			return Answer{Verdict: Unservable, Reason: "a task is larger than every executor"}
		}
	}
	if j.HasService() || j.OccurrenceCount > 0 {
		return Answer{Verdict: Accepted}
	}
	for i := range j.Steps {
		if r := j.Steps[i].ReservedSize(); !r.FitsIn(c.largestNow) && c.largestNow != (fleet.Vector{}) {
			return Answer{Verdict: Refused, RetryAfter: maxRetryAfter, Reason: "a task is larger than every executor at present"}
		}
	}
	criticalPath := o.chain
	due := first + latencyObjective(queue, criticalPath)
	ahead := &k.ensurePool(queue.Pool).backlog
	wait, ok := k.expectedWait(j, queue, due, c, ahead)
	if !ok {
		return Answer{Verdict: Refused, RetryAfter: maxRetryAfter, Reason: "no executor to serve the queue"}
	}
	// The backlog is worked off while the job is stored, and its end shows once that is stored.
	stored, shown := k.outbox.expectStored()
	slack := due - k.now.Monotonic - criticalPath - shown
	shareWait := k.shareWait(j.Team, queue.Pool, c)
	answer := Answer{Wait: wait, ShareWait: shareWait, BeyondShare: max(shareWait, stored) > slack && shareWait > 0}
	late := max(wait, stored) - slack
	if late <= 0 {
		answer.Verdict = Accepted
		return answer
	}
	if k.shares.apply && !answer.BeyondShare {
		// The turn of the job comes in time by its team's share: it waits behind those alone
		// whose turn comes before.
		turns := &k.ensurePool(queue.Pool).turns
		if within, _ := k.expectedWait(j, queue, k.now.Monotonic+shareWait, c, turns); max(within, shareWait, stored) <= slack {
			answer.Verdict = Accepted
			return answer
		}
	}
	if k.now.Monotonic+criticalPath <= first+maxLateFactor*(due-first) {
		// A late job is served after all others. If no other work waits for the free
		// executors, a late result is better than none.
		if all, _ := k.expectedWait(j, queue, math.MaxInt64, c, ahead); all == 0 {
			answer.Verdict = Accepted
			return answer
		}
	}
	answer.Verdict, answer.RetryAfter, answer.Reason = Refused, min(max(late, minRetryAfter), maxRetryAfter), "the backlog exceeds the latency objective"
	if answer.BeyondShare {
		answer.Reason = "the team has used its share, and the backlog exceeds the latency objective"
	}
	return answer
}

// expectedWait returns how long a job would wait for executors behind the work of a backlog that
// is due before it, and false if there are no executors for it; whole is the
// capacity of the entire pool.
func (k *Kernel) expectedWait(j *job.Job, queue *fleet.Queue, due time.Duration, whole capacity, ahead *backlog) (time.Duration, bool) {
	var wait time.Duration
	for _, label := range requiredLabels(j) {
		c := whole
		if label != "" {
			c = k.poolCapacity(queue.Pool, label)
		}
		if c.currentCores+c.upcomingCores <= 0 {
			return 0, false
		}
		wait = max(wait, c.estimateWait(k.workAhead(queue, due, label, ahead), k.MoveDuration+servingDelay))
	}
	return wait, true
}

// requiredLabels returns the labels that a job's steps require, and the empty label
// for the whole pool.
func requiredLabels(j *job.Job) []string {
	labels := []string{""}
	for i := range j.Steps {
		if l := j.Steps[i].Label; !slices.Contains(labels, l) {
			labels = append(labels, l)
		}
	}
	return labels
}

// workAhead returns the work in core-seconds of a backlog that is served before a job due at a
// given time: all such work, or only the work that requires a label.
func (k *Kernel) workAhead(queue *fleet.Queue, due time.Duration, label string, ahead *backlog) float64 {
	left := ahead.before(label, queue.Priority, due)
	// Of the scheduled jobs only the occurrences that are due compete.
	for _, s := range k.ensurePool(queue.Pool).readySteps {
		if s.job.OccurrenceCount > 0 && k.isDue(s, 0) && s.due <= due && (label == "" || s.Label == label) {
			left += int64(s.waitingTasks) * s.expectedTaskWork()
		}
	}
	return float64(left) / coreSecond
}

// isDue reports whether a step may start within the given time.
func (k *Kernel) isDue(s *stepRun, within time.Duration) bool {
	return s.notBeforeMs <= k.now.UnixMs+within.Milliseconds()
}

// latencyObjective returns how long a job with the given critical path may take.
func latencyObjective(queue *fleet.Queue, criticalPath time.Duration) time.Duration {
	if queue == nil {
		return criticalPath + defaultObjective
	}
	return time.Duration(queue.ObjectiveFactor*float64(criticalPath)) + queue.ObjectiveBase
}

// addJob creates the state of a new or a stored job.
func (k *Kernel) addJob(spec *job.Job, p job.Progress, turnAt time.Duration, o outlook) *jobState {
	queue := k.queueOf(spec, spec.AcceptedQueue)
	age := time.Duration(max(k.now.UnixMs-spec.AcceptedMs, 0)) * time.Millisecond
	j := &jobState{Job: spec, state: p.State, visibleState: p.State, queue: queue, endedMs: p.EndedMs, turnAt: turnAt, outlook: o}
	j.arrivedAt = k.now.Monotonic - age
	objective := latencyObjective(queue, j.outlook.chain)
	j.due = j.arrivedAt + objective
	k.jobs[spec.ID] = j
	if p.State.IsFinal() {
		k.accountJob(j, endedJobBytes)
		j.stored, j.started, j.parts = true, true, p.Parts
		return j
	}
	k.accountJob(j, jobBytes(spec))
	j.partTasks = cmp.Or(p.PartTasks, k.PartTasks, job.DefaultPartTasks)
	if j.parts = spec.PartCount(j.partTasks); j.parts == 0 {
		j.partTasks = 0
	}
	paths := j.outlook.criticalPaths(spec)
	firstTask := 0
	for occ := range spec.Occurrences() {
		first := len(j.steps)
		for i := range spec.Steps {
			s := &stepRun{job: j, occurrence: occ, index: i, Step: &spec.Steps[i], expected: j.outlook.steps[i], criticalPath: paths[i], due: j.due, worthUntil: j.due + (maxLateFactor-1)*objective, firstTask: firstTask}
			firstTask += s.Count
			s.tasks = make([]task, s.Count)
			s.waitingTasks = s.Count
			if spec.OccurrenceCount > 0 {
				s.notBeforeMs = spec.StartMs + int64(occ)*spec.IntervalMs
				s.due = k.now.Monotonic + time.Duration(s.notBeforeMs-k.now.UnixMs)*time.Millisecond + objective
				s.worthUntil = s.due + (maxLateFactor-1)*objective
			}
			j.steps = append(j.steps, s)
		}
		for _, s := range j.steps[first:] {
			s.pendingDependencies = len(s.After)
		}
	}
	j.openSteps = len(j.steps)
	if spec.OccurrenceCount == 0 {
		k.queueDepth[j.queueName()]++
	}
	j.remainingWork = j.outlook.work
	if j.remainingWork > 0 && spec.OccurrenceCount == 0 {
		k.openJob(j)
	}
	return j
}

// beginJob activates the steps of a stored job that have no open dependencies.
func (k *Kernel) beginJob(j *jobState) {
	if j.state.IsFinal() {
		return
	}
	for _, s := range j.steps {
		if s.pendingDependencies == 0 && !s.activated {
			k.activateStep(s)
		}
	}
}

// activateStep queues a step whose dependencies are done for executors.
func (k *Kernel) activateStep(s *stepRun) {
	s.activated = true
	s.readyAt = k.now.Monotonic
	p := k.ensurePool(s.job.Pool)
	p.readySteps = append(p.readySteps, s)
}

// cancelJob ends a job on behalf of its caller.
func (k *Kernel) cancelJob(e CancelRequested) {
	j := k.jobs[e.Job]
	if j == nil {
		// Who is told that there is no such job is not to see it run.
		r, ok := k.refusals[e.Job]
		if !ok {
			r.firstTry = k.now.Monotonic
		}
		r.refusedAt = k.now.Monotonic
		k.refusals[e.Job] = r
		k.emit(Reply{e.Call, Answer{Verdict: NotFound}})
		return
	}
	if j.state.IsFinal() {
		if j.dirty || j.visibleState != j.state {
			j.cancelCalls = append(j.cancelCalls, e.Call)
			return
		}
		k.emit(Reply{e.Call, Answer{Verdict: JobEnded}})
		return
	}
	j.cancelCalls = append(j.cancelCalls, e.Call)
	k.log(event.JobCancelled, "job", j.ID)
	k.endJob(j, job.Cancelled)
}

// endJob sets a job's final state and stops its runs.
func (k *Kernel) endJob(j *jobState, state job.State) {
	k.markStarted(j)
	k.closeJob(j)
	stopped, services := 0, 0
	for _, s := range j.steps {
		for i := range s.tasks {
			if r := s.tasks[i].currentRun; r != nil {
				k.stopRun(r)
				stopped++
				services += countIf(s.Service)
			}
		}
	}
	if stopped > 0 {
		k.log(event.JobRunsStopped, "job", j.ID, "state", state, "runs", stopped, "services", services)
	}
	j.state = state
	j.endedMs = k.now.UnixMs
	k.markDirty(j)
}

// markStarted records that a task of a job has begun, or that the job has ended, and removes the
// job from its queue's depth. An order to start shows nothing: the executor may refuse it.
func (k *Kernel) markStarted(j *jobState) {
	if j.started {
		return
	}
	j.started = true
	if j.OccurrenceCount == 0 {
		k.queueDepth[j.queueName()]--
	}
	if !j.state.IsFinal() {
		j.state = job.Running
		j.visibleState = job.Running
	}
}

// JobState returns a job's state as its caller may see it, and false if the job is
// not stored.
func (k *Kernel) JobState(id string) (job.State, bool) {
	j := k.jobs[id]
	if j == nil || !j.stored {
		return "", false
	}
	return j.visibleState, true
}

// QueueDepth returns how many accepted jobs of a queue have not started.
func (k *Kernel) QueueDepth(queue string) int { return max(k.queueDepth[queue], 0) }

// IsLeaseProved reports whether the lease proves the ownership at the given time.
// While it does, a job that the kernel does not know does not exist, unless it ended
// under an earlier owner and is not loaded yet.
func (k *Kernel) IsLeaseProved(now time.Duration) bool { return !k.deposed && now < k.leaseUntil }
