package scheduler

import (
	"fmt"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

// dispatch starts waiting requests until no slot or no entitled team is left.
func (k *Kernel) dispatch() {
	if k.frozen {
		return
	}
	for k.dispatchOne() {
	}
}

// dispatchOne starts or refuses one waiting request and reports whether it did.
func (k *Kernel) dispatchOne() bool {
	tm, priority, ok := k.nextTeam()
	if !ok {
		return false
	}
	t := tm.waiting[priority].head
	if reason := k.keyFaultSince(t); reason != core.ReasonNone {
		k.unwait(t)
		k.settleUnstarted(t, reason)
		return true
	}
	e := k.pickExecutor(t)
	if e == nil {
		return false
	}
	k.start(t, e)
	return true
}

// keyFaultSince checks the key of a waiting request again where another
// configuration has come into force since the last check.
func (k *Kernel) keyFaultSince(t *task) core.Reason {
	if t.keyRevision == k.view.Revision {
		return core.ReasonNone
	}
	t.keyRevision = k.view.Revision
	return k.keyFault(t.req)
}

// nextTeam returns the team that starts next and the priority it starts with.
func (k *Kernel) nextTeam() (*team, core.Priority, bool) {
	urgent, normal := k.ready[core.Urgent], k.ready[core.Normal]
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

// pickExecutor returns the best eligible executor for t, nil where none is.
func (k *Kernel) pickExecutor(t *task) *executor {
	var tried *core.ExecutorLoad
	if t.lastTried != nil {
		tried = &t.lastTried.ExecutorLoad
	}
	var best *executor
	for _, e := range k.free {
		if !e.isEligible(t, k.now) {
			continue
		}
		if best == nil || k.isBetter(e, best, tried) {
			best = e
		}
	}
	return best
}

// isBetter reports whether a task should rather start on a than on b. An
// executor that has failed lately would otherwise attract work by being free.
func (k *Kernel) isBetter(a, b *executor, tried *core.ExecutorLoad) bool {
	if x, y := a.health.suspicion(), b.health.suspicion(); x != y {
		return x < y
	}
	return k.place.Better(&a.ExecutorLoad, &b.ExecutorLoad, tried)
}

// start sends t to e.
func (k *Kernel) start(t *task, e *executor) {
	k.assertStart(t, e)
	k.unwait(t)
	k.seq++
	k.starts++
	a := k.newAttempt()
	*a = attempt{
		id:         core.AttemptID{Pool: k.pool, Epoch: k.epoch, Seq: k.seq},
		exec:       e,
		team:       t.team,
		task:       t,
		startedAt:  k.now,
		startBy:    k.startBy(t),
		leaseUntil: k.now.Add(k.settings.TaskLease),
	}
	t.state = stateRunning
	t.current = a
	t.attempts++
	t.lastTried = e
	k.occupy(a)
	k.charge(a)
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

// startBy is the latest time at which the executor may start t.
func (k *Kernel) startBy(t *task) time.Time {
	latest := k.now.Add(k.settings.StartWindow)
	if t.deadline.Before(latest) {
		latest = t.deadline
	}
	if !k.ownedUntil.IsZero() && k.ownedUntil.Before(latest) {
		latest = k.ownedUntil
	}
	return latest
}

func (k *Kernel) ownershipOver() bool {
	return !k.ownedUntil.IsZero() && !k.now.Before(k.ownedUntil)
}

// countPriority follows how many urgent requests started in a row.
func (k *Kernel) countPriority(p core.Priority) {
	if p == core.Urgent {
		k.urgentInARow++
		return
	}
	k.urgentInARow = 0
}

// assertStart checks the invariants of a start at the last moment.
func (k *Kernel) assertStart(t *task, e *executor) {
	tm := t.team
	if !tm.unlimited && (tm.running >= tm.escrow.held || tm.running >= tm.limit) {
		k.note(event.ViolationTeamLimit, tm.Name, fmt.Sprintf("%d running, %d held, limit %d", tm.running, tm.escrow.held, tm.limit))
	}
	if e.Running >= e.capacity() {
		k.note(event.ViolationSlots, e.Name, fmt.Sprintf("%d running", e.Running))
	}
	if !t.req.Idempotent && t.unproved > 0 {
		k.note(event.ViolationDoubleStart, t.key.ID, fmt.Sprintf("%d earlier attempts", t.unproved))
	}
	if k.keyFault(t.req) != core.ReasonNone {
		k.note(event.ViolationKey, t.key.ID, tm.Name)
	}
	if !e.listed || k.view.IsOut(e.DataCentre) {
		k.note(event.ViolationDataCentre, t.key.ID, e.Name)
	}
}

// charge adds the expected slot time of a to its team.
func (k *Kernel) charge(a *attempt) {
	tm := a.team
	k.virtualTime = max(k.virtualTime, tm.VirtualTime)
	a.charged = tm.estimate()
	tm.VirtualTime += a.charged / float64(tm.Share)
	tm.LastStart = k.starts
	k.updateReady(tm)
}

// settleCharge replaces the expected slot time of a by the measured one.
func (k *Kernel) settleCharge(a *attempt) {
	if a.foreign || a.team == nil {
		return
	}
	ran := k.now.Sub(a.startedAt)
	a.team.VirtualTime += (ran.Seconds() - a.charged) / float64(a.team.Share)
	a.team.observeRun(ran)
	k.meanRun += (ran.Seconds() - k.meanRun) * runEstimateGain
	k.updateReady(a.team)
}
