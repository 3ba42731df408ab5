package cell

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

// Thresholds of an executor's health.
const (
	// missThreshold is the number of unanswered renewals from which an executor gets no
	// new work.
	missThreshold = 1
	// failureThreshold is the number of failed runs without a success after which an
	// executor gets no new work for failureAvoidance.
	failureThreshold = 2
	failureAvoidance = 4 * time.Second
	// ownFaultAfter is how often in a row a task may straggle, or fail soon after its
	// start, until that is charged to the task and no longer to its executors.
	ownFaultAfter = 1
	// refusalAvoidance is the longest time that an executor gets no new work because it
	// refused an order.
	refusalAvoidance = time.Second
)

// replaceExecutors replaces the list of registered executors.
func (k *Kernel) replaceExecutors(executors []fleet.Executor) {
	k.executorsListed = true
	clear(k.unnamedPools)
	for _, x := range k.executors {
		x.listed = false
	}
	k.updateExecutors(executors)
}

// removeExecutors removes executors from the list of registered ones.
func (k *Kernel) removeExecutors(ids []string) {
	for _, id := range ids {
		delete(k.unnamedPools, id)
		if x := k.executors[id]; x != nil {
			x.listed = false
		}
	}
}

// listNamedPools lists the executors whose pool only the present configuration names.
func (k *Kernel) listNamedPools() {
	var named []fleet.Executor
	for _, id := range slices.Sorted(maps.Keys(k.unnamedPools)) {
		if e := k.unnamedPools[id]; k.config.Pool(e.Pool) != nil {
			named = append(named, e)
		}
	}
	k.updateExecutors(named)
}

// updateExecutors adds or updates executors in the list of registered ones. An entry of a
// pool that the configuration does not name lists no executor, and changes nothing of one
// that is known.
func (k *Kernel) updateExecutors(executors []fleet.Executor) {
	k.forgetExecutorIndexes()
	for _, e := range executors {
		if k.config.Pool(e.Pool) == nil {
			k.removeExecutors([]string{e.ID})
			k.unnamedPools[e.ID] = e
			continue
		}
		delete(k.unnamedPools, e.ID)
		x := k.executors[e.ID]
		if x == nil {
			x = k.addExecutor(e)
		}
		k.noteEntry(x, e)
	}
}

// addExecutor adds an executor that is registered for the first time, or again. Calls to an earlier
// incarnation may still be under way.
func (k *Kernel) addExecutor(e fleet.Executor) *executor {
	x := &executor{Executor: e, incarnation: k.newIncarnation(), renewalsSince: k.now.Monotonic, runs: map[runKey]*run{}}
	k.executors[e.ID] = x
	k.insertInOrder(x)
	for _, o := range k.vmOrders {
		x.cordoned = x.cordoned || (o.executor == e.ID && !o.confirmed)
	}
	return x
}

// changeAddress makes the next call go to the address in the entry if the last one went
// to the address that answered before, and the other way round.
func (x *executor) changeAddress() {
	if x.Address == x.listedAddress && x.answeredAddress != "" {
		x.Address = x.answeredAddress
		return
	}
	x.Address = x.listedAddress
}

// isUsable reports whether an executor may get new work.
func (k *Kernel) isUsable(x *executor) bool { return !x.cordoned && k.isUsableUncordoned(x) }

// isUsableUncordoned reports whether an executor might get new work if it were not cordoned.
func (k *Kernel) isUsableUncordoned(x *executor) bool {
	return x.listed && x.fenced && !x.unplaced && x.isDescribed() && x.expectedStartMs == 0 && x.unsizedRuns == 0 && !x.Draining && x.misses < missThreshold &&
		!k.evacuated[x.DataCentre] && x.avoidUntil <= k.now.Monotonic
}

// checkExecutors repeats unanswered stops and gives up the runs of executors that
// must have ended them.
func (k *Kernel) checkExecutors() {
	retry := k.now.Monotonic >= k.stopsCheckedAt+stopCheckInterval
	if retry {
		k.stopsCheckedAt = k.now.Monotonic
	}
	// The order is not changed in place when an executor is removed.
	for _, x := range k.sortedExecutors() {
		if retry {
			k.retryStops(x)
		}
		if !k.ownershipProved() {
			// A later owner may have renewed the runs that seem to have ended.
			continue
		}
		silent := x.misses > 0 || !x.listed
		gone := x.absent && x.misses > 0
		if !silent || (!gone && !k.deadlinesExpired(x)) {
			continue
		}
		k.giveUpRuns(x, gone)
		if len(x.runs) > 0 {
			continue
		}
		x.moreEnded = false
		if !x.listed {
			k.log(event.ExecutorRemoved, "executor", x.ID)
			delete(k.executors, x.ID)
			k.executorOrder = slices.DeleteFunc(slices.Clone(k.executorOrder), func(o *executor) bool { return o == x })
			k.forgetExecutorIndexes()
		}
	}
}

// giveUpRuns gives up the runs of a silent executor that must have ended, which are all of
// them but for those that a later incarnation may have started.
func (k *Kernel) giveUpRuns(x *executor, gone bool) {
	reason := "the executor was silent until its deadline passed"
	if gone {
		reason = "the VM of the executor is not up"
	}
	expired := k.deadlinesExpired(x)
	ended := slices.DeleteFunc(slices.Clone(sortedRuns(x)), func(r *run) bool {
		if !r.isConfirmed() {
			return !k.hasStrayRunEnded(r)
		}
		// A list of VMs ends only what had begun before the time that it shows.
		return !expired && !r.isCoveredByList(x.absentSince)
	})
	if len(ended) == 0 && len(x.runs) > 0 {
		return
	}
	k.logExecutorLoss(x, reason)
	k.blameLoss(x, gone)
	for _, r := range ended {
		k.abandonRun(r, reason)
	}
}

// retryStops repeats stop orders that got no answer.
func (k *Kernel) retryStops(x *executor) {
	if x.misses > 0 {
		return
	}
	for _, r := range x.runs {
		if r.state == runStopping && !r.stopConfirmed {
			k.retryStopsInOrder(x)
			return
		}
	}
}

// retryStopsInOrder repeats the unanswered stop orders in the order of the runs.
func (k *Kernel) retryStopsInOrder(x *executor) {
	for _, r := range sortedRuns(x) {
		if r.state == runStopping && !r.stopConfirmed {
			k.stopRun(r)
		}
	}
}

// logExecutorLoss logs the loss of an executor with what may have caused it: an order for
// its VM, its announced end, or the run that had started last.
func (k *Kernel) logExecutorLoss(x *executor, reason string) {
	if len(x.runs) == 0 {
		return
	}
	var youngest *run
	for _, r := range sortedRuns(x) {
		if youngest == nil || r.startedAt() > youngest.startedAt() {
			youngest = r
		}
	}
	_, ordered := k.vmOrders[x.lastVM]
	k.log(event.ExecutorLost, "executor", x.ID, "vm", x.lastVM, "address", x.Address, "reason", reason,
		"draining", x.Draining, "ordered", ordered, "known_ms", (k.now.Monotonic - x.knownSince).Milliseconds(),
		"silent_ms", (k.now.Monotonic - x.lastAnswerAt).Milliseconds(), "runs", len(x.runs),
		"youngest", youngest.name, "youngest_ms", (k.now.Monotonic - youngest.startedAt()).Milliseconds())
}

// startedAt returns when the start order was sent, or when the run was adopted.
func (r *run) startedAt() time.Duration {
	if r.sentAt != 0 {
		return r.sentAt
	}
	return r.beganAt
}

// abandonRun gives up a run that can no longer be active and requeues its task.
func (k *Kernel) abandonRun(r *run, reason string) {
	k.chargePending(r)
	k.log(event.RunLost, "task", r.name, "run", r.number, "executor", r.executor.ID, "reason", reason,
		"age_ms", (k.now.Monotonic - r.startedAt()).Milliseconds(), "confirmed", r.isConfirmed(), "isolated", r.isolated, "crashes", r.task().crashes)
	k.releaseRun(r)
	if t := r.task(); t.currentRun == r {
		t.currentRun = nil
		k.requeueTask(r.step, r.index)
		if !k.ownershipProved() {
			// A later owner may already run the task, and this owner would not know.
			t.uncertain = true
			k.unprovedTasks = append(k.unprovedTasks, t)
		}
	}
}

// ownershipProved reports whether it is certain that no other node owns the pools
// now.
func (k *Kernel) ownershipProved() bool { return k.now.Monotonic <= k.ownershipProvedUntil() }

// ownershipProvedUntil returns the time until which no other node can own the
// pools, either by our lease or because no node reaches the store.
func (k *Kernel) ownershipProvedUntil() time.Duration { return max(k.leaseUntil, k.outageUntil) }

// resolveUnprovedTasks releases the tasks whose runs were lost while the ownership
// was not proved, once a new proof shows that it never changed.
func (k *Kernel) resolveUnprovedTasks() {
	if len(k.unprovedTasks) == 0 || !k.ownershipProved() {
		return
	}
	for _, t := range k.unprovedTasks {
		t.uncertain = false
	}
	k.unprovedTasks = nil
}

// releaseRun frees the resources that a run has reserved.
func (k *Kernel) releaseRun(r *run) {
	key := runKey{r.name, r.number}
	if r.executor.runs[key] != r {
		return
	}
	delete(r.executor.runs, key)
	r.executor.runOrder = nil
	r.endIsolation()
	if r.step.Service {
		r.executor.serviceUsed = r.executor.serviceUsed.Sub(r.reserved)
		r.executor.serviceRuns--
	}
	r.executor.lastBusyAt = k.now.Monotonic
	r.executor.used = r.executor.used.Sub(r.reserved)
	k.teamUsage[r.step.job.Team] = k.teamUsage[r.step.job.Team].Sub(r.charged)
}

// task returns the task that r runs.
func (r *run) task() *task { return &r.step.tasks[r.index] }

// requeueTask makes a task wait for an executor again.
func (k *Kernel) requeueTask(s *stepRun, index int) {
	t := &s.tasks[index]
	if t.state != taskPlaced {
		return
	}
	t.state, t.waitingSince = taskWaiting, k.now.Monotonic
	s.waitingTasks++
}

// sortedRuns returns the runs of an executor by task name and run number. The slice
// is not changed when a run begins or ends.
func sortedRuns(x *executor) []*run {
	if x.runOrder != nil || len(x.runs) == 0 {
		return x.runOrder
	}
	runs := slices.Collect(maps.Values(x.runs))
	slices.SortFunc(runs, func(a, b *run) int {
		if a.name != b.name {
			if a.name < b.name {
				return -1
			}
			return 1
		}
		return a.number - b.number
	})
	x.runOrder = runs
	return runs
}
