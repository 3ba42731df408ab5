package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
	"jacinthwind/core/suspicion"
)

const (
	// crashHoldLimit is how long a task waits for its crashes to be stored if all of them
	// had a likelier cause. Others wait until it is done: the owner may be lost as soon as
	// the store is back, and the next one would count from the beginning.
	crashHoldLimit = 1500 * time.Millisecond
	// isolationCloseTime is how long an executor gets no new work so that its runs
	// settle and one can start in isolation.
	isolationCloseTime = 1200 * time.Millisecond
	// proofCloseTime is the same for a run whose crash must leave no doubt.
	proofCloseTime = 2500 * time.Millisecond
	// maxIsolationWait is how long a service task waits to start in isolation. It leaves time
	// to close an executor before the 6 s in which a service task must run again.
	maxIsolationWait = 3 * time.Second
	// maxClosedWait is how long a task that ends waits for an executor that is not closed, below
	// the 3 s in which a job must have something running beside room for it.
	maxClosedWait = 2 * time.Second
	// recentAnswer is how recently an executor must have answered for a run to start there
	// in isolation: one that was lost before says nothing of the run.
	recentAnswer = 200 * time.Millisecond
	// recentGangAnswer is the same for the executors of a gang, which do not answer together.
	recentGangAnswer = 500 * time.Millisecond
	// maxClosedDivisor gives the part of a pool that may be closed for isolated runs.
	maxClosedDivisor = 2
)

// markSilent records since when an executor does not answer, before its misses are counted;
// outcome is empty if that is the effect of an order for its VM.
func (k *Kernel) markSilent(x *executor, outcome fleet.OrderOutcome) {
	if x.misses > 0 {
		return
	}
	x.silentSince, x.silentInIsolation = k.now.Monotonic, x.isolatedRuns > 0
	if outcome != "" {
		k.log(event.ExecutorSilent, "executor", x.ID, "outcome", outcome, "runs", len(x.runs))
	}
}

// survived returns how long the executor is known to have lived after the start of a run. A
// run whose order got no answer may begin much later than its order was sent, or never.
func (r *run) survived() time.Duration {
	if r.beganAt == 0 {
		return 0
	}
	return max(r.executor.aliveAt-r.beganAt, 0)
}

// isYoungSuspect reports whether a task that must be isolated is the likely cause of a crash:
// the executors have not survived this run for longer than the earlier ones.
func (r *run) isYoungSuspect() bool {
	c := r.task().crashes
	return c.NeedsIsolation() && !c.HasOutlived(r.survived())
}

// suspectTask stores the crashes under a task, and gives it up or delays its next start.
func (k *Kernel) suspectTask(r *run) {
	t, j := r.task(), r.step.job
	r.step.suspected = true
	k.holdUntilStored(r.step, r.index)
	switch {
	case r.step.Service:
		k.delayRestart(r.step, r.index)
	case t.crashes.ShouldGiveUp():
		k.log(event.TaskGivenUp, "task", r.name, "run", r.number, "executor", r.executor.ID, "vm", r.executor.lastVM, "crashes", t.crashes,
			"lost_lately", k.countLosses())
		k.endJob(j, job.Failed)
	}
}

// delayRestart lets a service task wait before it starts again if many executors crashed under
// it. Its job goes on: the other tasks are at work, and the crashes may have other causes.
func (k *Kernel) delayRestart(s *stepRun, index int) {
	t := &s.tasks[index]
	delay := t.crashes.RestartDelay()
	if delay == 0 {
		return
	}
	t.retryAt = k.now.Monotonic + delay
	k.log(event.RestartDelayed, "job", s.job.ID, "step", s.index, "task", index, "delay_ms", delay.Milliseconds(),
		"crashes", t.crashes, "lost_lately", k.countLosses())
}

// holdUntilStored stores the crashes under a task and lets it wait for the write.
func (k *Kernel) holdUntilStored(s *stepRun, index int) {
	t := &s.tasks[index]
	t.crashHoldUntil = k.now.Monotonic + crashHoldLimit
	if t.crashes.IsSuspect() {
		t.crashHoldUntil = math.MaxInt64
	}
	k.markTaskDirty(s, index)
	t.crashesVersion = s.job.version
}

// isCrashUnstored reports whether a task must not start yet since a crash under it is
// not stored: the next owner would not know of it.
func (k *Kernel) isCrashUnstored(s *stepRun, t *task) bool {
	return k.now.Monotonic < t.crashHoldUntil && s.job.storedVersion < t.crashesVersion
}

// isClosed reports whether an executor gets no new work because of an isolated run.
func (k *Kernel) isClosed(x *executor) bool {
	return x.isolatedRuns > 0 || k.now.Monotonic < x.closedUntil
}

// canIsolate reports whether a crash of the executor would show what a run does that
// starts now: the executor has answered recently and has survived all its other runs. If
// the crash must leave no doubt, none of them is under suspicion.
func (k *Kernel) canIsolate(x *executor, recent time.Duration, needsProof bool) bool {
	if x.isolatedRuns > 0 || k.now.Monotonic > x.lastAnswerAt+recent {
		return false
	}
	for _, r := range x.runs {
		if r.state != runStopping && (!suspicion.IsSettled(r.survived()) || (needsProof && r.isYoungSuspect())) {
			return false
		}
	}
	return true
}

// executorForIsolation returns the executor on which a run in isolation harms least. If there is
// none, it closes one to new work and returns nil.
func (k *Kernel) executorForIsolation(t *task, free []*executor) *executor {
	var found *executor
	needsProof := t.crashes.NeedsProof()
	for _, x := range free {
		if k.canIsolate(x, recentAnswer, needsProof) && !k.isPromised(x, t) && (found == nil || compareForIsolation(x, found) < 0) {
			found = x
		}
	}
	if found == nil {
		k.closeForIsolation(free, isolationCloseTimeOf(needsProof))
	}
	return found
}

// isolationCloseTimeOf returns how long an executor is closed for a run in isolation.
func isolationCloseTimeOf(needsProof bool) time.Duration {
	if needsProof {
		return proofCloseTime
	}
	return isolationCloseTime
}

// isolateGang returns an executor for each task of a gang that starts in isolation, or nil. It
// closes the executors that the gang needs to new work.
func (k *Kernel) isolateGang(s *stepRun, free []*executor, needsProof bool) []*executor {
	need := s.ReservedSize()
	fitting := slices.DeleteFunc(slices.Clone(free), func(x *executor) bool { return x.isolatedRuns > 0 || !k.fits(x, s, need) })
	slices.SortStableFunc(fitting, func(a, b *executor) int {
		return cmp.Or(cmp.Compare(k.isolationRank(a), k.isolationRank(b)), compareForIsolation(a, b))
	})
	for _, group := range rackGroups(s, fitting) {
		assigned := k.assignGang(s, group, true)
		if assigned == nil {
			continue
		}
		ready := true
		for _, x := range assigned {
			if k.canIsolate(x, recentGangAnswer, needsProof) && !k.isPromised(x, &s.tasks[0]) {
				continue
			}
			ready = false
			if !k.isClosed(x) {
				x.closedUntil = k.now.Monotonic + isolationCloseTimeOf(needsProof)
			}
		}
		if ready {
			return assigned
		}
		return nil
	}
	return nil
}

// isolationRank ranks executors for a gang: those that are closed, which get no other work,
// precede the others.
func (k *Kernel) isolationRank(x *executor) int {
	if k.isClosed(x) {
		return 0
	}
	return 1
}

// compareForIsolation orders executors by the harm of a crash, those that have been up
// for longer first.
func compareForIsolation(a, b *executor) int {
	return cmp.Or(
		cmp.Compare(a.serviceRuns, b.serviceRuns),
		cmp.Compare(len(a.runs), len(b.runs)),
		cmp.Compare(a.knownSince, b.knownSince),
	)
}

// chooseForIsolation returns an executor on which a task can start in isolation, or nil.
// If there is none, it closes an executor to new work. A task that has waited for long may start
// beside others like it; then isolated is false.
func (k *Kernel) chooseForIsolation(s *stepRun, t *task, free []*executor) (x *executor, isolated bool) {
	if k.isCrashUnstored(s, t) {
		return nil, false
	}
	need := s.ReservedSize()
	fitting := slices.DeleteFunc(slices.Clone(free), func(x *executor) bool { return !k.fits(x, s, need) })
	if s.Service && t.crashes.MayJoin() && k.now.Monotonic >= t.waitsSince(s)+maxIsolationWait {
		if x := k.executorOfSuspects(fitting); x != nil {
			x.closedUntil = max(x.closedUntil, k.now.Monotonic+isolationCloseTime)
			return x, false
		}
	}
	if found := k.executorForIsolation(t, fitting); found != nil {
		wasDelayed := s.Service && t.crashes.RestartDelay() > 0
		if wasDelayed && k.now.Monotonic < max(t.waitsSince(s), t.retryAt)+isolationCloseTime {
			found = k.preferLeastHarm(fitting, found)
		}
		return found, true
	}
	if (s.Service || t.crashes.MayJoin()) && k.now.Monotonic >= t.waitsSince(s)+maxIsolationWait {
		return k.executorOfSettledRuns(fitting, s.Service), false
	}
	return nil, false
}

// preferLeastHarm returns the executor that was found for a task in isolation, or nil if a crash
// of another one would harm less: that one is closed to new work, and asked often, until the
// task can start there.
func (k *Kernel) preferLeastHarm(fitting []*executor, found *executor) *executor {
	best := slices.MinFunc(fitting, compareForIsolation)
	if compareForIsolation(best, found) == 0 || best.isolatedRuns > 0 {
		return found
	}
	best.closedUntil = max(best.closedUntil, k.now.Monotonic+isolationCloseTime)
	return nil
}

// executorOfSettledRuns returns the executor with the fewest runs of those that are closed for
// isolated service tasks alone, or for none of them, and have survived them for long, or nil.
func (k *Kernel) executorOfSettledRuns(fitting []*executor, service bool) *executor {
	var best *executor
	for _, x := range fitting {
		if x.isolatedRuns == 0 || (best != nil && compareForIsolation(x, best) >= 0) {
			continue
		}
		settled := true
		for _, r := range x.runs {
			settled = settled && (!r.isolated || (r.step.Service == service && suspicion.IsInnocent(r.survived())))
		}
		if settled {
			best = x
		}
	}
	return best
}

// executorOfSuspects returns the executor with the fewest recent runs of those that have
// survived all runs but those of suspected tasks, or nil if there is none or too many are
// closed.
func (k *Kernel) executorOfSuspects(fitting []*executor) *executor {
	var best *executor
	fewest, closed := 0, 0
	for _, x := range fitting {
		if k.isClosed(x) {
			closed++
		}
	}
	for _, x := range fitting {
		if x.isolatedRuns > 0 || k.now.Monotonic > x.lastAnswerAt+recentAnswer || (!k.isClosed(x) && closed >= max(len(fitting)/maxClosedDivisor, 1)) {
			continue
		}
		recent, others := 0, false
		for _, r := range x.runs {
			if r.state != runStopping && !suspicion.IsSettled(r.survived()) {
				recent++
				others = others || r.task().crashes == (suspicion.Record{})
			}
		}
		if !others && (best == nil || recent < fewest) {
			best, fewest = x, recent
		}
	}
	return best
}

// closeForIsolation closes the executor with the fewest runs to new work for a time, unless
// too many are closed.
func (k *Kernel) closeForIsolation(free []*executor, closeTime time.Duration) {
	var best *executor
	closed := 0
	for _, x := range free {
		if k.isClosed(x) {
			closed++
		} else if best == nil || compareForIsolation(x, best) < 0 {
			best = x
		}
	}
	if best != nil && closed < max(len(free)/maxClosedDivisor, 1) {
		best.closedUntil = k.now.Monotonic + closeTime
	}
}

// endIsolation ends the isolation of a run, if it is isolated.
func (r *run) endIsolation() {
	if r.isolated {
		r.isolated = false
		r.executor.isolatedRuns--
	}
}

// endIsolation opens an executor to new work once it has survived its isolated runs for
// long enough, and ends the suspicion against runs that it has survived for longer.
func (k *Kernel) endIsolation(x *executor) {
	if !x.hasSuspects {
		return
	}
	x.hasSuspects = false
	for _, r := range sortedRuns(x) {
		t := r.task()
		if t.currentRun != r || t.crashes == (suspicion.Record{}) {
			continue
		}
		x.hasSuspects = true
		observation := t.crashes.Observation
		if r.step.Service {
			observation = t.crashes.ServiceObservation
		}
		if r.state == runActive && r.survived() >= observation() {
			r.endIsolation()
		}
		if t.crashes.IsCleared(r.survived()) {
			t.crashes = suspicion.Record{}
			k.markTaskDirty(r.step, r.index)
		}
	}
}
