package scheduler

import (
	"cmp"
	"slices"
	"time"

	"jacinthwind/core"
)

// sweepInterval is the time between two checks of all executors and teams.
const sweepInterval = 100 * time.Millisecond

// handleTick makes the decisions that depend on time.
func (k *Kernel) handleTick() {
	k.expireDeadlines()
	k.requeueRetries()
	k.expireRecords()
	if k.now.Before(k.nextSweep) {
		return
	}
	k.nextSweep = k.now.Add(sweepInterval)
	k.expireLeases()
	k.expireOrphanSlots()
	k.pollExecutors()
	k.refreshGrants()
	k.refuseUnplaceable()
}

// expireDeadlines settles the requests whose deadline has passed.
func (k *Kernel) expireDeadlines() {
	for t := k.deadlines.nextDue(k.now); t != nil; t = k.deadlines.nextDue(k.now) {
		switch t.state {
		case stateQueued:
			k.dequeue(t)
			k.settleWithoutAnswer(t, core.ReasonDeadlinePassed)
		case stateBackoff:
			k.retries.remove(t)
			k.settleWithoutAnswer(t, core.ReasonDeadlinePassed)
		default:
			// The attempt still counts as running, and its late answer replaces
			// the unknown result.
			t.current = nil
			t.uncertainAttempts++
			k.settle(t, core.Result{Outcome: core.Unknown, Reason: core.ReasonDeadlineRunning})
		}
	}
}

// requeueRetries queues the tasks whose retry delay is over.
func (k *Kernel) requeueRetries() {
	for t := k.retries.nextDue(k.now); t != nil; t = k.retries.nextDue(k.now) {
		k.retries.remove(t)
		k.enqueue(t)
		k.requestLimit(t.team)
	}
}

// expireLeases ends the attempts whose task lease has expired.
func (k *Kernel) expireLeases() {
	var expired []*attempt
	for _, a := range k.attempts {
		if k.now.After(a.leaseUntil.Add(k.settings.ClockSkew)) {
			expired = append(expired, a)
		}
	}
	slices.SortFunc(expired, compareAttempts)
	for _, a := range expired {
		k.expireLease(a)
	}
}

// compareAttempts orders attempts by id.
func compareAttempts(a, b *attempt) int {
	return cmp.Or(
		cmp.Compare(a.id.Pool, b.id.Pool),
		cmp.Compare(a.id.Epoch, b.id.Epoch),
		cmp.Compare(a.id.Seq, b.id.Seq),
	)
}

// refuseUnplaceable refuses all queued requests if the pool has had no executor
// in service for longer than the configured hold time.
func (k *Kernel) refuseUnplaceable() {
	if k.hasUsableExecutor() {
		k.noUsableExecutorSince = time.Time{}
		return
	}
	if k.noUsableExecutorSince.IsZero() {
		k.noUsableExecutorSince = k.now
	}
	hold := time.Duration(k.view.Scheduling.HoldUnplaceableS) * time.Second
	if k.now.Sub(k.noUsableExecutorSince) < hold {
		return
	}
	k.refuseQueued(core.ReasonNoExecutor)
}

// refuseQueued settles all queued requests without an answer.
func (k *Kernel) refuseQueued(reason core.Reason) {
	for _, t := range k.queuedTasks() {
		k.dequeue(t)
		k.settleWithoutAnswer(t, reason)
	}
}

// queuedTasks returns the queued tasks team by team, in queue order.
func (k *Kernel) queuedTasks() []*task {
	tasks := make([]*task, 0, k.queued)
	for _, tm := range k.sortedTeams() {
		for p := range tm.queues {
			for t := tm.queues[p].head; t != nil; t = t.next {
				tasks = append(tasks, t)
			}
		}
	}
	return tasks
}

// sortedTeams returns the teams sorted by name.
func (k *Kernel) sortedTeams() []*team {
	teams := make([]*team, 0, len(k.teams))
	for _, t := range k.teams {
		teams = append(teams, t)
	}
	slices.SortFunc(teams, func(a, b *team) int { return cmp.Compare(a.Name, b.Name) })
	return teams
}
