package scheduler

import (
	"fmt"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

// dispatch starts queued requests until no eligible executor or no team below
// its limit is left.
func (k *Kernel) dispatch() {
	if k.frozen {
		return
	}
	for k.dispatchNext() {
	}
}

// dispatchNext starts or refuses the next queued request and reports whether it
// did.
func (k *Kernel) dispatchNext() bool {
	tm, priority, ok := k.nextTeam()
	if !ok {
		return false
	}
	t := tm.queues[priority].head
	if reason := k.recheckKey(t); reason != core.ReasonNone {
		k.dequeue(t)
		k.settleWithoutAnswer(t, reason)
		return true
	}
	e := k.pickExecutor(t)
	if e == nil {
		return false
	}
	k.startTask(t, e)
	return true
}

// recheckKey checks the key of a queued request again if the configuration has
// changed since the last check.
func (k *Kernel) recheckKey(t *task) core.Reason {
	if t.keyCheckedRevision == k.view.Revision {
		return core.ReasonNone
	}
	t.keyCheckedRevision = k.view.Revision
	return k.checkKey(t.req)
}

// nextTeam returns the team whose request starts next and the priority of that
// request.
func (k *Kernel) nextTeam() (*team, core.Priority, bool) {
	urgent, normal := k.readyHeaps[core.Urgent], k.readyHeaps[core.Normal]
	switch {
	case urgent.Len() == 0 && normal.Len() == 0:
		return nil, core.Normal, false
	case urgent.Len() == 0:
		return normal.items[0], core.Normal, true
	case normal.Len() > 0 && k.urgentInARow >= k.view.Scheduling.UrgentInARow:
		return normal.items[0], core.Normal, true
	}
	return urgent.items[0], core.Urgent, true
}

// pickExecutor returns the best eligible executor for t, or nil.
func (k *Kernel) pickExecutor(t *task) *executor {
	var tried *core.ExecutorLoad
	if t.lastExecutor != nil {
		tried = &t.lastExecutor.ExecutorLoad
	}
	var best *executor
	for _, e := range k.freeExecutors {
		if !e.isEligible(t, k.now) {
			continue
		}
		if best == nil || k.isBetter(e, best, tried) {
			best = e
		}
	}
	return best
}

// isBetter reports whether a is a better executor than b for a task. It
// compares recent failures before the load, because an executor that fails its
// tasks quickly would otherwise always look free and attract more of them.
func (k *Kernel) isBetter(a, b *executor, tried *core.ExecutorLoad) bool {
	if failuresA, failuresB := a.health.wholeFailures(), b.health.wholeFailures(); failuresA != failuresB {
		return failuresA < failuresB
	}
	return k.placement.Better(&a.ExecutorLoad, &b.ExecutorLoad, tried)
}

// startTask sends t to e.
func (k *Kernel) startTask(t *task, e *executor) {
	k.checkStart(t, e)
	k.dequeue(t)
	k.attemptSeq++
	k.startCount++
	a := k.newAttempt()
	*a = attempt{
		id:         core.AttemptID{Pool: k.pool, Epoch: k.epoch, Seq: k.attemptSeq},
		executor:   e,
		team:       t.team,
		task:       t,
		startedAt:  k.now,
		startBy:    k.latestStart(t),
		leaseUntil: k.now.Add(k.settings.TaskLease),
	}
	t.state = stateRunning
	t.current = a
	t.attempts++
	t.lastExecutor = e
	k.occupySlot(a)
	k.chargeTeam(a)
	k.countPriority(t.req.Priority)
	k.counts.Started++
	k.effects.Starts = append(k.effects.Starts, Start{
		Address:  e.address,
		GiveUpAt: t.deadline.Add(k.settings.TaskLease),
		Task: core.Task{
			Attempt:    a.id,
			RequestID:  t.key.ID,
			Team:       t.key.Team,
			StartBy:    a.startBy,
			LeaseUntil: a.leaseUntil,
			Payload:    t.req.Payload,
		},
	})
}

// latestStart returns the latest time at which an executor may start t.
func (k *Kernel) latestStart(t *task) time.Time {
	latest := k.now.Add(k.settings.StartWindow)
	if t.deadline.Before(latest) {
		latest = t.deadline
	}
	if !k.ownedUntil.IsZero() && k.ownedUntil.Before(latest) {
		latest = k.ownedUntil
	}
	return latest
}

// hasOwnershipEnded reports whether the node's ownership of the pool has ended.
func (k *Kernel) hasOwnershipEnded() bool {
	return !k.ownedUntil.IsZero() && !k.now.Before(k.ownedUntil)
}

// countPriority counts how many urgent requests started in a row.
func (k *Kernel) countPriority(p core.Priority) {
	if p == core.Urgent {
		k.urgentInARow++
		return
	}
	k.urgentInARow = 0
}

// checkStart checks the invariants of a start immediately before the task is
// sent, and notes every violation.
func (k *Kernel) checkStart(t *task, e *executor) {
	tm := t.team
	if !tm.unlimited && (tm.running >= tm.grant.held || tm.running >= tm.limit) {
		k.addNote(event.ViolationTeamLimit, tm.Name, fmt.Sprintf("%d running, %d held, limit %d", tm.running, tm.grant.held, tm.limit))
	}
	if e.Running >= e.maxTasks() {
		k.addNote(event.ViolationSlots, e.Name, fmt.Sprintf("%d running", e.Running))
	}
	if !t.req.Idempotent && t.uncertainAttempts > 0 {
		k.addNote(event.ViolationDoubleStart, t.key.ID, fmt.Sprintf("%d earlier attempts", t.uncertainAttempts))
	}
	if k.checkKey(t.req) != core.ReasonNone {
		k.addNote(event.ViolationKey, t.key.ID, tm.Name)
	}
	if !e.inService || k.view.IsDataCentreOut(e.DataCentre) {
		k.addNote(event.ViolationDataCentre, t.key.ID, e.Name)
	}
}

// chargeTeam charges the expected slot time of a to its team.
func (k *Kernel) chargeTeam(a *attempt) {
	tm := a.team
	k.virtualTime = max(k.virtualTime, tm.VirtualTime)
	a.chargedSeconds = tm.expectedRunSeconds()
	tm.VirtualTime += a.chargedSeconds / float64(tm.Share)
	tm.LastStartSeq = k.startCount
	k.updateReadyHeaps(tm)
}

// correctCharge replaces the expected slot time charged for a by the measured
// one.
func (k *Kernel) correctCharge(a *attempt) {
	if a.foreign || a.team == nil {
		return
	}
	runTime := k.now.Sub(a.startedAt)
	a.team.VirtualTime += (runTime.Seconds() - a.chargedSeconds) / float64(a.team.Share)
	a.team.recordRunTime(runTime)
	k.meanRunSeconds += (runTime.Seconds() - k.meanRunSeconds) * runEstimateGain
	k.updateReadyHeaps(a.team)
}
