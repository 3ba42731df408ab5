package scheduler

import (
	"slices"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

// reconcilePollInterval is the delay before a failed poll of an executor that
// is not reconciled is repeated.
const reconcilePollInterval = 200 * time.Millisecond

// pollExecutors polls the executors that are due: those that are busy, draining
// or not yet reconciled.
func (k *Kernel) pollExecutors() {
	for _, e := range k.executors {
		if e.polling || k.now.Before(e.pollAt) {
			continue
		}
		if e.reconciled && len(e.attempts) == 0 && !e.draining {
			continue
		}
		if !e.reconciled && k.now.Before(k.reconcileAfter) {
			continue
		}
		k.pollExecutor(e)
	}
}

// pollExecutor requests a usage report from e and renews the leases of its tasks.
func (k *Kernel) pollExecutor(e *executor) {
	e.polling = true
	e.pollAt = k.now.Add(k.settings.UsageInterval)
	p := Poll{Executor: e.Name, Address: e.address}
	for _, a := range sortedAttempts(e.attempts) {
		if !a.needsLeaseRenewal() {
			continue
		}
		// The executor may receive the renewal at any time from now on, so the
		// lease counts as extended at once.
		a.leaseUntil = k.now.Add(k.settings.TaskLease)
		p.Renew = append(p.Renew, core.LeaseRenewal{Attempt: a.id, LeaseUntil: a.leaseUntil})
	}
	k.effects.Polls = append(k.effects.Polls, p)
}

// sortedAttempts returns a copy of attempts sorted by id. The caller may
// iterate over it while attempts end.
func sortedAttempts(attempts []*attempt) []*attempt {
	list := slices.Clone(attempts)
	slices.SortFunc(list, compareAttempts)
	return list
}

// handleUsageFailed schedules another poll of an executor that did not answer.
func (k *Kernel) handleUsageFailed(ev *UsageFailed) {
	if e := k.findExecutor(ev.Executor, ev.Address); e != nil {
		e.polling = false
		e.pollAt = k.now.Add(k.pollRetryDelay(e))
	}
}

// pollRetryDelay returns the delay before a failed poll of e is repeated.
func (k *Kernel) pollRetryDelay(e *executor) time.Duration {
	if !e.reconciled {
		return reconcilePollInterval
	}
	return k.settings.UsageInterval / 4
}

// handleUsageReported compares an executor's usage report with the attempts
// that the kernel counts as running there.
func (k *Kernel) handleUsageReported(ev *UsageReported) {
	e := k.findExecutor(ev.Executor, ev.Address)
	if e == nil {
		return
	}
	e.polling = false
	if ev.Usage.Executor != "" && ev.Usage.Executor != e.Name {
		// Another executor now answers at this address.
		return
	}
	e.draining = ev.Usage.Draining
	k.updateFreeExecutor(e)
	if e.instance != "" && e.instance != ev.Usage.Instance {
		k.endReplacedAttempts(e, ev)
	}
	e.instance = ev.Usage.Instance
	k.addReportedAttempts(e, ev)
	k.endUnreportedAttempts(e, ev)
	k.reconcileExecutor(e, ev)
}

// endReplacedAttempts ends the attempts that ran in an executor process that
// has been replaced. Those that the new process lists began in it.
func (k *Kernel) endReplacedAttempts(e *executor, ev *UsageReported) {
	running := runningAttempts(&ev.Usage)
	for _, a := range sortedAttempts(e.attempts) {
		if running[a.id] || slices.Contains(ev.Usage.Ended, a.id) {
			continue
		}
		if a.startedAt.Before(ev.RequestedAt.Add(-k.settings.StartWindow - k.settings.ClockSkew)) {
			k.endWithoutAnswer(a, "the executor process was replaced")
		}
	}
}

// runningAttempts returns the set of the attempts that a report lists as running.
func runningAttempts(u *core.Usage) map[core.AttemptID]bool {
	running := make(map[core.AttemptID]bool, len(u.Running))
	for _, r := range u.Running {
		running[r.Attempt] = true
	}
	return running
}

// addReportedAttempts counts the reported tasks that this owner did not start.
func (k *Kernel) addReportedAttempts(e *executor, ev *UsageReported) {
	for _, r := range ev.Usage.Running {
		if _, known := k.attempts[r.Attempt]; known {
			continue
		}
		if r.Attempt.Pool == k.pool && r.Attempt.Epoch == k.epoch {
			// The attempt ended after the executor sent the report.
			continue
		}
		a := &attempt{id: r.Attempt, executor: e, startedAt: k.now, leaseUntil: r.LeaseUntil, foreign: true}
		if r.Attempt.Pool == k.pool {
			a.team = k.ensureTeam(r.Team)
		}
		k.occupySlot(a)
	}
}

// endUnreportedAttempts ends the lost and foreign attempts that the executor no
// longer reports, if the report was requested after the last time at which they
// could have started.
func (k *Kernel) endUnreportedAttempts(e *executor, ev *UsageReported) {
	running := runningAttempts(&ev.Usage)
	for _, a := range sortedAttempts(e.attempts) {
		mayStillStart := !ev.RequestedAt.After(a.startBy.Add(k.settings.ClockSkew))
		if running[a.id] || mayStillStart || !(a.lost || a.foreign) {
			continue
		}
		k.endWithoutAnswer(a, "the executor no longer runs it")
	}
}

// reconcileExecutor marks e as reconciled if the report was requested when no
// task of an earlier owner could start any more.
func (k *Kernel) reconcileExecutor(e *executor, ev *UsageReported) {
	if e.reconciled || ev.RequestedAt.Before(k.reconcileAfter) {
		return
	}
	e.reconciled = true
	e.mayRunOrphans = false
	k.updateFreeExecutor(e)
	k.addNote(event.ExecutorProved, e.Name, "")
	k.updateOrphanSlots()
}

// updateOrphanSlots counts the slots in which unknown tasks of a failed owner
// may run, and reserves them in every team's limit.
func (k *Kernel) updateOrphanSlots() {
	slots := 0
	for _, e := range k.executors {
		if e.mayRunOrphans {
			slots += e.maxTasks()
		}
	}
	k.reconciled = slots == 0 && !k.now.Before(k.reconcileAfter)
	k.orphanSlots = slots
	for _, t := range k.sortedTeams() {
		t.orphanSlots = slots
		k.updateReadyHeaps(t)
	}
}

// expireOrphanSlots stops reserving the slots of executors that cannot be
// polled, once the last possible task lease of an earlier owner has expired.
func (k *Kernel) expireOrphanSlots() {
	if k.reconciled || k.now.Before(k.reconcileAfter.Add(k.settings.TaskLease+k.settings.ClockSkew)) {
		return
	}
	for _, e := range k.executors {
		e.mayRunOrphans = false
	}
	k.updateOrphanSlots()
}
