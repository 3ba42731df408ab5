package scheduler

import (
	"cmp"
	"slices"
	"time"

	"jacinthwind/core"
)

// sweepInterval is the time between two looks at all executors and teams.
const sweepInterval = 100 * time.Millisecond

func (k *Kernel) tick() {
	k.passDeadlines()
	k.queueRetries()
	k.expire()
	if k.now.Before(k.nextSweep) {
		return
	}
	k.nextSweep = k.now.Add(sweepInterval)
	k.sweepAttempts()
	k.endDoubt()
	k.pollExecutors()
	k.sweepEscrows()
	k.refuseUnplaceable()
}

// passDeadlines settles the requests whose deadline has passed.
func (k *Kernel) passDeadlines() {
	for t := k.deadlines.due(k.now); t != nil; t = k.deadlines.due(k.now) {
		switch t.state {
		case stateQueued:
			k.unwait(t)
			k.settleUnstarted(t, core.ReasonDeadlinePassed)
		case stateBackoff:
			k.retries.drop(t)
			k.settleUnstarted(t, core.ReasonDeadlinePassed)
		default:
			// The attempt goes on being counted; a late answer still improves
			// the record.
			t.current = nil
			t.unproved++
			k.settle(t, core.Result{Outcome: core.Unknown, Reason: core.ReasonDeadlineRunning})
		}
	}
}

func (k *Kernel) queueRetries() {
	for t := k.retries.due(k.now); t != nil; t = k.retries.due(k.now) {
		k.retries.drop(t)
		k.wait(t)
		k.wantTokens(t.team)
	}
}

// sweepAttempts ends the attempts whose task lease has run out.
func (k *Kernel) sweepAttempts() {
	var over []*attempt
	for _, a := range k.attempts {
		if k.now.After(a.leaseUntil.Add(k.settings.ClockSkew)) {
			over = append(over, a)
		}
	}
	slices.SortFunc(over, compareAttempts)
	for _, a := range over {
		k.leaseRanOut(a)
	}
}

func compareAttempts(a, b *attempt) int {
	return cmp.Or(
		cmp.Compare(a.id.Pool, b.id.Pool),
		cmp.Compare(a.id.Epoch, b.id.Epoch),
		cmp.Compare(a.id.Seq, b.id.Seq),
	)
}

// refuseUnplaceable refuses what has waited too long for a pool without any
// executor in service.
func (k *Kernel) refuseUnplaceable() {
	if k.hasCapacity() {
		k.noCapacityAt = time.Time{}
		return
	}
	if k.noCapacityAt.IsZero() {
		k.noCapacityAt = k.now
	}
	hold := time.Duration(k.view.Scheduling.HoldUnplaceableS) * time.Second
	if k.now.Sub(k.noCapacityAt) < hold {
		return
	}
	k.refuseWaiting(core.ReasonNoExecutor)
}

// refuseWaiting settles every waiting request.
func (k *Kernel) refuseWaiting(reason core.Reason) {
	for _, t := range k.waitingTasks() {
		k.unwait(t)
		k.settleUnstarted(t, reason)
	}
}

// waitingTasks returns the queued tasks team by team, each in queue order.
func (k *Kernel) waitingTasks() []*task {
	tasks := make([]*task, 0, k.queued)
	for _, tm := range k.sortedTeams() {
		for p := range tm.waiting {
			for t := tm.waiting[p].head; t != nil; t = t.next {
				tasks = append(tasks, t)
			}
		}
	}
	return tasks
}

func (k *Kernel) sortedTeams() []*team {
	teams := make([]*team, 0, len(k.teams))
	for _, t := range k.teams {
		teams = append(teams, t)
	}
	slices.SortFunc(teams, func(a, b *team) int { return cmp.Compare(a.Name, b.Name) })
	return teams
}
