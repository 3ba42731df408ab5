package scheduler

import (
	"slices"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

// provingInterval is the time between two questions to an executor whose
// running tasks are not known.
const provingInterval = 200 * time.Millisecond

// pollExecutors asks the busy executors, and those not yet proved, for reports.
func (k *Kernel) pollExecutors() {
	for _, e := range k.executors {
		if e.polling || k.now.Before(e.pollAt) {
			continue
		}
		if e.proved && len(e.attempts) == 0 && !e.draining {
			continue
		}
		if !e.proved && k.now.Before(k.provedAfter) {
			continue
		}
		k.poll(e)
	}
}

func (k *Kernel) poll(e *executor) {
	e.polling = true
	e.pollAt = k.now.Add(k.settings.UsageInterval)
	p := Poll{Executor: e.Name, Address: e.address}
	for _, a := range sortedAttempts(e.attempts) {
		if !a.wantsRenewal() {
			continue
		}
		// The lease counts as extended from the moment the renewal may arrive.
		a.leaseUntil = k.now.Add(k.settings.TaskLease)
		p.Renew = append(p.Renew, core.LeaseRenewal{Attempt: a.id, LeaseUntil: a.leaseUntil})
	}
	k.effects.Polls = append(k.effects.Polls, p)
}

// sortedAttempts returns a copy in a fixed order, which the caller may go
// through while attempts end.
func sortedAttempts(attempts []*attempt) []*attempt {
	list := slices.Clone(attempts)
	slices.SortFunc(list, compareAttempts)
	return list
}

func (k *Kernel) usageFailed(ev *UsageFailed) {
	if e := k.executorByName(ev.Executor); e != nil {
		e.polling = false
		e.pollAt = k.now.Add(k.retryPollAfter(e))
	}
}

func (k *Kernel) retryPollAfter(e *executor) time.Duration {
	if !e.proved {
		return provingInterval
	}
	return k.settings.UsageInterval / 4
}

// usageReported compares an executor's report with what is counted.
func (k *Kernel) usageReported(ev *UsageReported) {
	e := k.executorByName(ev.Executor)
	if e == nil {
		return
	}
	e.polling = false
	if ev.Usage.Executor != "" && ev.Usage.Executor != e.Name {
		// The address now belongs to another executor.
		return
	}
	e.draining = ev.Usage.Draining
	k.updateFree(e)
	if e.instance != "" && e.instance != ev.Usage.Instance {
		k.endReplaced(e, ev)
	}
	e.instance = ev.Usage.Instance
	k.countReported(e, ev)
	k.endUnreported(e, ev)
	k.prove(e, ev)
}

// endReplaced ends the attempts of a process that no longer exists.
func (k *Kernel) endReplaced(e *executor, ev *UsageReported) {
	for _, a := range sortedAttempts(e.attempts) {
		if a.startedAt.Before(ev.AskedAt.Add(-k.settings.StartWindow - k.settings.ClockSkew)) {
			k.endUnanswered(a, "the executor was replaced")
		}
	}
}

// countReported counts the reported tasks that this owner did not start.
func (k *Kernel) countReported(e *executor, ev *UsageReported) {
	for _, r := range ev.Usage.Running {
		if _, known := k.attempts[r.Attempt]; known {
			continue
		}
		if r.Attempt.Pool == k.pool && r.Attempt.Epoch == k.epoch {
			// It ended while the report was on its way.
			continue
		}
		a := &attempt{id: r.Attempt, exec: e, startedAt: k.now, leaseUntil: r.LeaseUntil, foreign: true}
		if r.Attempt.Pool == k.pool {
			a.team = k.team(r.Team)
		}
		k.occupy(a)
	}
}

// endUnreported ends the lost and foreign attempts that the executor no longer
// runs, where the report is late enough to prove it.
func (k *Kernel) endUnreported(e *executor, ev *UsageReported) {
	running := make(map[core.AttemptID]bool, len(ev.Usage.Running))
	for _, r := range ev.Usage.Running {
		running[r.Attempt] = true
	}
	for _, a := range sortedAttempts(e.attempts) {
		settledLater := !ev.AskedAt.After(a.startBy.Add(k.settings.ClockSkew))
		if running[a.id] || settledLater || !(a.lost || a.foreign) {
			continue
		}
		k.endUnanswered(a, "the executor no longer runs it")
	}
}

// prove marks e as known once no task of an earlier owner can start any more.
func (k *Kernel) prove(e *executor, ev *UsageReported) {
	if e.proved || ev.AskedAt.Before(k.provedAfter) {
		return
	}
	e.proved = true
	e.doubtful = false
	k.updateFree(e)
	k.note(event.ExecutorProved, e.Name, "")
	k.countDoubt()
}

// countDoubt lets every team's room shrink by the slots of the executors on
// which tasks of a vanished owner may run.
func (k *Kernel) countDoubt() {
	doubt := 0
	for _, e := range k.executors {
		if e.doubtful {
			doubt += e.capacity()
		}
	}
	k.settled = doubt == 0 && !k.now.Before(k.provedAfter)
	k.doubt = doubt
	for _, t := range k.sortedTeams() {
		t.doubt = doubt
		k.updateReady(t)
	}
}

// endDoubt ends the doubt about executors that cannot be asked once the last
// possible task lease of an earlier owner has run out.
func (k *Kernel) endDoubt() {
	if k.settled || k.now.Before(k.provedAfter.Add(k.settings.TaskLease+k.settings.ClockSkew)) {
		return
	}
	for _, e := range k.executors {
		e.doubtful = false
	}
	k.countDoubt()
}
