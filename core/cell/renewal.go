package cell

import (
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// Intervals of the renewals.
const (
	// renewalWaitMs is how long an executor may wait for a run to end before it
	// answers a renewal.
	renewalWaitMs = 1000
	// minRenewalInterval is the shortest time between renewals of one executor, so
	// that runs that end together are reported together.
	minRenewalInterval = 30 * time.Millisecond
	// unackedRenewalInterval is the time between renewals while run ends wait to be
	// stored, or a run of unknown size to end.
	unackedRenewalInterval = 250 * time.Millisecond
	missedRenewalInterval  = 300 * time.Millisecond
	// isolationRenewalInterval is the time between renewals of an executor that is closed
	// for an isolated run.
	isolationRenewalInterval = 80 * time.Millisecond
	// idleRenewalInterval is the time between renewals of an executor without runs.
	// Each renewal has a price, and if an idle executor is silent unnoticed, the next
	// start loses half a second.
	idleRenewalInterval = 2 * time.Second
)

// sendRenewals sends the renewals that are due, at most one at a time per executor.
func (k *Kernel) sendRenewals() {
	for _, x := range k.sortedExecutors() {
		if x.renewing {
			continue
		}
		interval, wait := k.renewalInterval(x)
		if x.renewalEndedAt != 0 && k.now.Monotonic < x.renewalEndedAt+interval {
			continue
		}
		if k.isDownByOrder(x) {
			continue
		}
		if wait > 0 && (k.hasUnresolvedRuns(x) || x.expectedStartMs != 0) {
			wait = 0
		}
		x.renewing, x.renewalWaits, x.answerWanted = true, wait > 0, false
		k.emit(Renew{k.newRenewal(x, wait)})
	}
}

// newRenewal returns the next renewal of an executor. One that a new incarnation may get
// acknowledges nothing and grants no deadline. That incarnation numbers its ends from the
// beginning, so that an old number would acknowledge ends that this owner has not seen, and it
// takes a deadline on the clock of the old one for as long as it ever grants. The runs of a silent
// executor have to expire, too.
func (k *Kernel) newRenewal(x *executor, waitMs int64) fleet.Renewal {
	order := fleet.Renewal{Address: x.Address, Executor: x.ID, Token: x.token, WaitMs: waitMs}
	if x.misses > 0 || x.expectedStartMs != 0 {
		return order
	}
	order.DeadlineMs = k.grantDeadline(x)
	if x.ackedEnd > x.forgottenEnd && !x.hasOpenStarts(k.now.Monotonic) {
		// Nothing starts there until it is answered.
		order.Acknowledged, order.WaitMs = x.ackedEnd, 0
		x.openAcks++
	}
	return order
}

// hasOpenStarts reports whether a start is under way, or got no answer and is not known to be void.
// If the next incarnation of the executor carried it out, and an acknowledgement, it would forget
// the end of the run unseen. Ends that are not listed yet are only listed once others are
// acknowledged.
func (x *executor) hasOpenStarts(now time.Duration) bool {
	for _, r := range x.runs {
		if !r.isConfirmed() && (!r.unlisted || r.mayStartAfter(now)) {
			return true
		}
	}
	return false
}

// renewalInterval returns the time between two renewals of an executor, and how long it
// may wait for a run to end before it answers.
func (k *Kernel) renewalInterval(x *executor) (interval time.Duration, waitMs int64) {
	switch {
	case x.misses > 0:
		return missedRenewalInterval, 0
	case !x.fenced:
		return 0, 0
	case k.isClosed(x):
		return isolationRenewalInterval, 0
	case x.moreEnded && x.seenEnd == x.ackedEnd:
		return minRenewalInterval, 0
	case x.answerWanted:
		return minRenewalInterval, 0
	case x.unsizedRuns > 0, x.seenEnd > x.ackedEnd, len(x.runs) > 0 && !k.ownershipProved():
		return unackedRenewalInterval, 0
	case len(x.runs) == 0:
		// No run can end, and the deadline only matters for starts.
		return idleRenewalInterval, 0
	}
	return minRenewalInterval, renewalWaitMs
}

// hasUnresolvedRuns reports whether a renewal would resolve the state of a run.
func (k *Kernel) hasUnresolvedRuns(x *executor) bool {
	for _, r := range x.runs {
		if r.state == runUnknown || (r.state == runStopping && r.stopConfirmed) {
			return true
		}
	}
	return false
}

// handleRenewal handles the end of a renewal, with an executor's answer or without.
func (k *Kernel) handleRenewal(e Renewed) {
	x := k.executors[e.Order.Executor]
	if x == nil {
		return
	}
	endsAt := k.callEnd(e.Sent, e.IsCarried, time.Duration(e.Order.WaitMs)*time.Millisecond+maxRenewalTime)
	if e.Order.Acknowledged != 0 {
		// The executor may have been forgotten since.
		x.openAcks = max(x.openAcks-1, 0)
		if e.State.Outcome == fleet.OrderUnknown || e.State.IsCopy {
			x.strayAcksUntil = max(x.strayAcksUntil, endsAt+lateCallWindow)
		}
	}
	if e.Sent >= x.renewalsSince {
		x.renewing = false
		x.renewalEndedAt = k.now.Monotonic
	}
	if e.State.IsCopy && e.Order.DeadlineMs != 0 {
		k.noteUnanswered(x, endsAt)
	}
	if e.Sent < x.noticedAt {
		k.noteStrayCall(x, e.State.Outcome, endsAt)
		return
	}
	switch e.State.Outcome {
	case fleet.OrderDone:
		k.handleRenewalAnswer(x, e)
	case fleet.OrderFenced:
		k.handleFenced(x, e.Order.Token)
	default:
		if e.Order.DeadlineMs != 0 {
			k.noteUnanswered(x, endsAt)
		}
		k.markSilent(x, e.State.Outcome)
		x.misses++
		x.changeAddress()
	}
}

// handleFenced handles the answer of an executor that has seen a higher token than that of a call.
// If the call carried an earlier one of this owner's tokens, the higher one may be its own.
func (k *Kernel) handleFenced(x *executor, token int64) {
	if token == x.token {
		k.depose("executor " + x.ID + " has seen a higher token")
	}
}

// handleRenewalAnswer handles an executor's answer to a renewal.
func (k *Kernel) handleRenewalAnswer(x *executor, e Renewed) {
	s := e.State
	if !k.noteIncarnation(x, e.Sent, s) {
		return
	}
	if x.expectedStartMs != 0 && e.Sent >= x.renewalsSince {
		x.expectedStartMs, x.refutedStartMs = 0, x.expectedStartMs
		// The next renewal grants a deadline again.
		x.renewalEndedAt = 0
	}
	if e.Sent >= x.knownSince && !s.IsCopy {
		x.forgottenEnd = max(x.forgottenEnd, e.Order.Acknowledged)
	}
	if x.misses > 0 {
		k.log(event.ExecutorAnswers, "executor", x.ID, "misses", x.misses)
	}
	x.misses, x.lossNoted = 0, false
	firstAnswer := !x.fenced
	if firstAnswer {
		x.fencedAt = k.now.Monotonic
	}
	x.answeredAddress = x.Address
	x.fenced, x.absent, x.lastAnswerAt, x.aliveAt = true, false, k.now.Monotonic, max(x.aliveAt, e.Sent)
	x.clockMs, x.clockReadAt, x.shownAt = s.ClockMs, k.now.Monotonic, k.now.Monotonic
	if firstAnswer {
		k.assumeInheritedLease(x)
	}
	k.handleRunEnds(x, s)
	k.reconcileRuns(x, e.Sent, s.Active)
	if firstAnswer {
		// The first answer only fences the executor; the next renewal grants a
		// deadline.
		x.renewalEndedAt = 0
	}
	k.endIsolation(x)
	k.stopStragglers(x)
	k.adjustThrottles(x)
}

// noteIncarnation notes which incarnation of an executor has answered a renewal that was sent at the
// given time. It returns false if the answer does not count: only one to the new incarnation's token
// shows all that calls have done which were meant for the previous one.
func (k *Kernel) noteIncarnation(x *executor, sent time.Duration, s fleet.ExecutorState) bool {
	if s.StartedMs == 0 || s.StartedMs == x.bornMs {
		return true
	}
	if x.bornMs == 0 && !x.hasClockReset(sent, s.ClockMs) {
		x.bornMs = s.StartedMs
		k.describeByLatestEntry(x)
		return true
	}
	earlierToken := x.token
	x.unconfirmRuns(s.Active)
	k.replaceIncarnation(x, s.StartedMs, s.ClockMs)
	if x.token > earlierToken {
		x.answeredAddress = x.Address
		return false
	}
	return true
}

// handleRunEnds handles the run ends that an executor has listed, and acknowledges them once they
// are stored.
func (k *Kernel) handleRunEnds(x *executor, s fleet.ExecutorState) {
	for _, end := range s.Ended {
		if end.Number > x.seenEnd {
			k.handleRunEnd(x, end)
			x.seenEnd = end.Number
		}
	}
	if s.MoreEnded != x.moreEnded {
		x.moreEnded = s.MoreEnded
		k.log(event.EndsWithheld, "executor", x.ID, "more", x.moreEnded, "seen", x.seenEnd, "acknowledged", x.ackedEnd, "runs", len(x.runs))
	}
	if x.seenEnd > x.ackedEnd {
		k.outbox.acks = append(k.outbox.acks, ack{x, x.bornMs, x.seenEnd})
	}
}

// unconfirmRuns takes back what is known of the runs that a new incarnation lists: it has
// started them, and not the one that was known.
func (x *executor) unconfirmRuns(active []fleet.ActiveRun) {
	for _, a := range active {
		r := x.runs[runKey{a.Task, a.Run}]
		if r == nil {
			continue
		}
		r.unconfirm()
		r.blamed = true
	}
}

// unconfirm takes back that the executor has shown the run.
func (r *run) unconfirm() {
	r.beganAt = 0
	if r.state == runActive {
		r.state = runUnknown
	}
}

// reconcileRuns compares the runs that an executor lists with those that this owner
// tracks.
func (k *Kernel) reconcileRuns(x *executor, sent time.Duration, active []fleet.ActiveRun) {
	listed := make(map[runKey]bool, len(active))
	x.unsizedRuns = 0
	for _, a := range active {
		key := runKey{a.Task, a.Run}
		listed[key] = true
		r := x.runs[key]
		if r == nil {
			r = k.adoptRun(x, a)
		}
		if r == nil {
			r = k.stopUnwantedRun(x, a)
		}
		if r != nil {
			k.noteListedRun(r, a, sent)
		}
	}
	for _, r := range sortedRuns(x) {
		if listed[runKey{r.name, r.number}] || r.answeredAt == 0 || sent <= r.answeredAt {
			continue
		}
		r.unlisted = x.moreEnded
		switch {
		case r.unlisted:
			// Its end may be among those that are not listed yet.
		case r.state == runUnknown:
			k.stopRun(r)
		case r.state == runStopping && !r.stopConfirmed:
		case r.mayStartAfter(sent):
		case r.state != runStarting:
			k.abandonRun(r, "not listed by the executor")
		}
	}
}

// noteListedRun notes what an executor, asked at the given time, says of a run that it has.
func (k *Kernel) noteListedRun(r *run, a fleet.ActiveRun, sent time.Duration) {
	if r.state == runStarting || r.state == runUnknown {
		r.state, r.answeredAt = runActive, k.now.Monotonic
	}
	if r.stopConfirmed && sent > r.answeredAt+k.MaxStopDuration+stopListSlack {
		// Another incarnation had confirmed it.
		r.stopConfirmed = false
	}
	if !r.isConfirmed() {
		r.beganAt, r.blamed, r.pendingCharge = k.now.Monotonic, false, nil
		k.markStarted(r.step.job)
	}
	r.unlisted = false
	if r.firstReportAt == 0 {
		r.firstReportAt, r.firstPercent = k.now.Monotonic, a.Percent
	}
	if a.Percent != r.percent || r.progressedAt == 0 {
		r.percent, r.progressedAt = a.Percent, k.now.Monotonic
	}
	r.load = a.Load
	if a.Checkpoint != "" {
		r.task().checkpoint = a.Checkpoint
	}
}

// adoptRun takes over a run that an earlier owner started, or returns nil.
func (k *Kernel) adoptRun(x *executor, a fleet.ActiveRun) *run {
	id, err := job.ParseTaskID(a.Task)
	if err != nil {
		return nil
	}
	j := k.jobs[id.Job]
	if j == nil || j.state.IsFinal() || !j.stored {
		return nil
	}
	s := j.stepAt(id.Occurrence, id.Step)
	if s == nil || id.Index >= len(s.tasks) {
		return nil
	}
	t := &s.tasks[id.Index]
	if !t.uncertain || t.state != taskWaiting || t.currentRun != nil {
		return nil
	}
	t.uncertain = false
	r := k.reserveRun(x, s, id.Index, a.Run)
	r.state, r.answeredAt, r.beganAt = runActive, k.now.Monotonic, k.now.Monotonic
	k.markStarted(j)
	k.log(event.RunAdopted, "task", a.Task, "run", a.Run, "executor", x.ID)
	return r
}

// stopUnwantedRun stops a run that should not exist and returns it if its size is
// known. Its resources stay reserved until it has ended.
func (k *Kernel) stopUnwantedRun(x *executor, a fleet.ActiveRun) *run {
	k.log(event.RunNotWanted, "task", a.Task, "run", a.Run, "executor", x.ID)
	id, err := job.ParseTaskID(a.Task)
	j := k.jobs[id.Job]
	if err != nil || j == nil || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Count {
		x.unsizedRuns++
		k.emit(Stop{fleet.StopOrder{Address: x.Address, Executor: x.ID, Task: a.Task, Run: a.Run, Token: x.token}})
		return nil
	}
	// A separate step keeps the end of this run from changing the job's tasks.
	s := &stepRun{job: j, occurrence: id.Occurrence, index: id.Step, Step: &j.Steps[id.Step], tasks: make([]task, id.Index+1)}
	r := k.reserveRun(x, s, id.Index, a.Run)
	s.tasks[id.Index].currentRun = nil
	r.state, r.answeredAt, r.beganAt = runActive, k.now.Monotonic, k.now.Monotonic
	k.stopRun(r)
	return r
}

// stepAt returns a step of an occurrence, or nil.
func (j *jobState) stepAt(occurrence, step int) *stepRun {
	i := occurrence*len(j.Steps) + step
	if occurrence < 0 || step < 0 || step >= len(j.Steps) || i >= len(j.steps) {
		return nil
	}
	return j.steps[i]
}
