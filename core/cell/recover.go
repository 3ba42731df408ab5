package cell

import (
	"maps"
	"slices"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
	"jacinthwind/core/suspicion"
)

// LoadJob restores a job from the store; it must be called before the first event.
func (k *Kernel) LoadJob(spec *job.Job, p job.Progress) {
	k.loadTeamLimit(spec)
	j := k.addJob(spec, p, 0, k.foresee(spec))
	j.stored = true
	if p.State.IsFinal() {
		return
	}
	for _, tp := range p.Tasks {
		s := j.stepAt(tp.Occurrence, tp.Step)
		if s == nil || tp.Index < 0 || tp.Index >= len(s.tasks) {
			continue
		}
		t := &s.tasks[tp.Index]
		t.anyRunEnded, t.failedRuns, t.checkpoint = true, tp.Failed, tp.Checkpoint
		t.highestRun, t.highestEndedRun = tp.Run, tp.Run
		if tp.Crashes != nil {
			t.crashes, s.suspected = *tp.Crashes, true
		}
		if tp.Done && t.state != taskDone {
			t.state = taskDone
			s.waitingTasks--
			s.doneTasks++
			k.subtractWork(s)
		}
	}
	if j.parts > 0 && p.Parts == 0 {
		// The next write replaces a record that holds all tasks.
		for n := range j.parts {
			j.markPartDirty(n)
		}
	}
	// A crash may be charged to a start that was never carried out.
	if p.State == job.Running || slices.ContainsFunc(p.Tasks, job.TaskProgress.HasRun) {
		k.markStarted(j)
	}
	for _, s := range j.steps {
		for i := range s.tasks {
			if s.tasks[i].state == taskWaiting {
				s.tasks[i].uncertain = true
			}
		}
	}
	for _, s := range j.steps {
		if s.doneTasks == s.Count {
			s.activated = true
			j.openSteps--
		}
	}
	for _, s := range j.steps {
		if s.doneTasks == s.Count {
			k.activateDependents(s)
		}
	}
	k.beginJob(j)
}

// LoadUnreadableJob restores a job whose record cannot be read. The job is known and can
// be cancelled, but it does not run: what has run of it is not known.
func (k *Kernel) LoadUnreadableJob(id string) {
	k.jobs[id] = &jobState{
		Job: &job.Job{ID: id, AcceptedMs: k.now.UnixMs}, state: job.Running, visibleState: job.Running, stored: true, started: true,
		arrivedAt: k.now.Monotonic,
	}
}

// addEndedJobs adds jobs that ended under earlier owners.
func (k *Kernel) addEndedJobs(jobs []EndedJob) {
	for _, e := range jobs {
		switch {
		case k.jobs[e.ID] != nil:
		case e.State.IsFinal():
			k.jobs[e.ID] = &jobState{
				Job: &job.Job{ID: e.ID}, state: e.State, visibleState: e.State, stored: true, started: true,
				endedMs: e.EndedMs, arrivedAt: k.now.Monotonic, parts: e.Parts,
			}
			k.accountJob(k.jobs[e.ID], endedJobBytes)
		case e.State == "":
			k.LoadUnreadableJob(e.ID)
		}
	}
}

// finishRecovery ends the recovery once no order of an earlier owner can be in effect unnoticed
// but by executors that started again while the earlier owner failed: either every executor has
// answered under our token, or all inherited deadlines have passed; and every executor that
// answers has listed all its ends. The tasks of pools with silent executors wait on.
func (k *Kernel) finishRecovery() {
	if (!k.recovering && len(k.unresolvedPools) == 0) || !k.ownershipProved() {
		// Without a proof a later owner may have taken over the runs that this owner
		// waits for.
		return
	}
	if k.recovering && k.now.Monotonic < k.claimedAt+withClockDrift(k.deadlineSpan())+expirySlack && !k.allFenced() {
		return
	}
	if slices.ContainsFunc(k.sortedExecutors(), func(x *executor) bool { return x.moreEnded }) {
		// Runs whose ends are not listed yet have not lapsed with the inherited deadlines.
		return
	}
	before := len(k.unresolvedPools)
	if k.recovering {
		k.recovering, k.recoveredAt = false, k.now.Monotonic
		k.unresolvedPools, before = k.uncertainPools(), -1
	}
	waiting := k.resolvePools()
	if len(k.unresolvedPools) != before {
		k.log(event.RecoveryEnded, "took_ms", (k.now.Monotonic - k.claimedAt).Milliseconds(), "waiting_tasks", waiting,
			"executors", len(k.executors), "unresolved_pools", k.unresolvedPools)
	}
}

// uncertainPools returns the pools with tasks that an earlier owner may have started.
func (k *Kernel) uncertainPools() []string {
	pools := map[string]bool{}
	for _, j := range k.jobs {
		for _, s := range j.steps {
			if slices.ContainsFunc(s.tasks, func(t task) bool { return t.uncertain }) {
				pools[j.Pool] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(pools))
}

// resolvePools lets the tasks start that no executor of their pool can have, and returns how many
// these are. An executor that is silent may have started again under the earlier owner, and keep
// its runs for the longest lease after the last call of that one.
func (k *Kernel) resolvePools() int {
	expired := k.now.Monotonic >= k.claimedAt+lateCallWindow+k.longestLease()
	waiting := 0
	k.unresolvedPools = slices.DeleteFunc(k.unresolvedPools, func(pool string) bool {
		isResolved := expired || k.isFenced(pool)
		if isResolved {
			waiting += k.resolveTasks(pool)
		}
		return isResolved
	})
	return waiting
}

// resolveTasks lets the tasks of a pool start that an earlier owner may have started, and returns
// how many these are.
func (k *Kernel) resolveTasks(pool string) int {
	waiting := 0
	for _, id := range slices.Sorted(maps.Keys(k.jobs)) {
		j := k.jobs[id]
		if j.Pool != pool {
			continue
		}
		for _, s := range j.steps {
			for i := range s.tasks {
				t := &s.tasks[i]
				if !t.uncertain {
					continue
				}
				t.uncertain = false
				waiting++
				if t.crashes != (suspicion.Record{}) {
					// The earlier owner may have started it, and no executor has it.
					k.presumeCrash(s, i)
				}
			}
		}
	}
	return waiting
}

// allFenced reports whether every executor that may be alive has answered. The list
// of VMs shows which of the registered executors have ended.
func (k *Kernel) allFenced() bool {
	return k.areFenced(func(string) bool { return true })
}

// isFenced reports the same of the executors of a pool.
func (k *Kernel) isFenced(pool string) bool {
	return k.areFenced(func(p string) bool { return p == pool })
}

// areFenced reports whether every executor of some pools that may be alive has answered.
func (k *Kernel) areFenced(includes func(pool string) bool) bool {
	if !k.executorsListed || k.vmsListedAt == 0 {
		return false
	}
	for _, x := range k.executors {
		if includes(x.Pool) && !x.fenced && !x.absent {
			return false
		}
	}
	for _, vm := range k.vms {
		if includes(vm.Pool) && vm.Executor != "" && vm.State == fleet.VMUp && k.executors[vm.Executor] == nil && !k.config.IsSparePool(vm.Pool) {
			return false
		}
	}
	return true
}
