package scheduler

import (
	"fmt"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

func refusal(reason core.Reason) core.Result {
	return core.Result{Outcome: core.NotRun, Reason: reason}
}

// submit takes a request in, attaches it to the one it repeats, or refuses it.
func (k *Kernel) submit(ev *Submit) {
	k.counts.Submitted++
	if k.frozen {
		k.reply(ev.Waiter, refusal(core.ReasonNotOwner), false)
		return
	}
	// A copy that was delayed for longer than a refusal is remembered could
	// start work that its caller was told did not run.
	if ev.SentAt.Before(k.now.Add(-k.settings.ForwardWindow)) {
		k.reply(ev.Waiter, refusal(core.ReasonStaleForward), false)
		return
	}
	if known, ok := k.tasks[keyOf(ev.Request)]; ok {
		k.repeat(known, ev)
		return
	}
	k.submitFresh(ev)
}

// repeat handles a request whose id is on record.
func (k *Kernel) repeat(t *task, ev *Submit) {
	if t.state != stateSettled {
		t.waiters = append(t.waiters, ev.Waiter)
		return
	}
	if t.result.Outcome == core.NotRun && ev.SentAt.After(t.settledAt.Add(k.settings.ClockSkew)) {
		// The caller read the refusal before it sent this copy, so the id may run.
		k.forget(t)
		k.submitFresh(ev)
		return
	}
	k.counts.RepliedBefore++
	k.reply(ev.Waiter, k.recorded(t), true)
}

// submitFresh takes in or refuses a request that is not on record.
func (k *Kernel) submitFresh(ev *Submit) {
	if result, ok := k.admit(ev.Request); !ok {
		k.refuse(ev, result)
		return
	}
	k.enqueue(ev)
}

// recorded returns the result of a settled task for one more waiter.
func (k *Kernel) recorded(t *task) core.Result {
	r := t.result
	if r.Outcome == core.Done && r.Answer == nil {
		r.Reason = core.ReasonAnswerExpired
	}
	return r
}

// admit decides whether a request may wait.
func (k *Kernel) admit(r *core.Request) (core.Result, bool) {
	if !r.Deadline.After(k.now) {
		return refusal(core.ReasonDeadlinePassed), false
	}
	if reason := k.keyFault(r); reason != core.ReasonNone {
		return refusal(reason), false
	}
	if !r.Idempotent {
		if result, ok := k.admitID(r); !ok {
			return result, false
		}
	}
	if !k.hasCapacity() && k.view.Scheduling.HoldUnplaceableS == 0 {
		return core.Result{Outcome: core.NotRun, Reason: core.ReasonNoExecutor, RetryAfter: time.Second}, false
	}
	if wait := k.expectedWait(); wait > r.Deadline.Sub(k.now) {
		return k.overloaded(core.ReasonOverloaded), false
	}
	return core.Result{}, true
}

// admitID decides whether a non-idempotent request's id proves that no earlier
// owner ran it and no record of it was forgotten.
func (k *Kernel) admitID(r *core.Request) (core.Result, bool) {
	skew := k.settings.ClockSkew
	switch {
	case r.IssuedAt.IsZero():
		return refusal(core.ReasonBadID), false
	case r.IssuedAt.After(k.now.Add(skew)):
		return core.Result{Outcome: core.NotRun, Reason: core.ReasonIDFromFuture, RetryAfter: r.IssuedAt.Sub(k.now)}, false
	case r.IssuedAt.Before(k.fence):
		return core.Result{Outcome: core.Unknown, Reason: core.ReasonIDBeforeTakeover}, false
	case r.IssuedAt.Before(k.now.Add(-k.idWindow())):
		return core.Result{Outcome: core.Unknown, Reason: core.ReasonIDExpired}, false
	}
	return core.Result{}, true
}

// keyFault returns why the request's key does not let it run now.
func (k *Kernel) keyFault(r *core.Request) core.Reason {
	q, ok := k.view.Queue(r.Queue)
	if !ok || q.Pool != k.pool {
		return core.ReasonQueueUnknown
	}
	if r.Team == AnonymousTeam && q.Open {
		return core.ReasonNone
	}
	if team, ok := k.view.TeamOfKey(r.KeyHash); !ok || team != r.Team {
		return core.ReasonKeyWithdrawn
	}
	return core.ReasonNone
}

// expectedWait estimates how long a new request waits for a slot.
func (k *Kernel) expectedWait() time.Duration {
	slots := 0
	for _, e := range k.executors {
		if e.listed && !e.draining && !e.health.quarantined {
			slots += e.capacity()
		}
	}
	if k.queued < slots || slots == 0 {
		return 0
	}
	return time.Duration(float64(k.queued) / float64(slots) * k.meanRun * float64(time.Second))
}

func (k *Kernel) overloaded(reason core.Reason) core.Result {
	wait := min(max(k.expectedWait()/2, minRetryAfter), maxRetryAfter)
	return core.Result{Outcome: core.NotRun, Reason: reason, RetryAfter: wait}
}

// refuse answers a request that was not taken in. The refusal is remembered
// for as long as a delayed copy of the request may arrive, which must not run.
func (k *Kernel) refuse(ev *Submit, result core.Result) {
	if result.Outcome == core.NotRun {
		t := k.newTask(ev)
		k.settle(t, result)
		return
	}
	k.counts.Unknown++
	k.reply(ev.Waiter, result, true)
}

// mayHaveRun reports whether an earlier copy of the request may have run
// without leaving a record: under a vanished owner, or before the time for
// which records are kept.
func (k *Kernel) mayHaveRun(r *core.Request) bool {
	window := k.idWindow()
	if r.IssuedAt.IsZero() {
		return !k.fence.IsZero() && k.now.Before(k.fence.Add(window))
	}
	return r.IssuedAt.Before(k.fence) || r.IssuedAt.Before(k.now.Add(-window))
}

// idWindow is the time for which settled requests are remembered.
func (k *Kernel) idWindow() time.Duration {
	return time.Duration(k.view.Scheduling.IDWindowS) * time.Second
}

func (k *Kernel) newTask(ev *Submit) *task {
	t := &task{
		key:           keyOf(ev.Request),
		req:           ev.Request,
		team:          k.team(ev.Request.Team),
		arrived:       k.now,
		deadline:      ev.Request.Deadline,
		waiters:       []WaiterID{ev.Waiter},
		mayHaveRun:    k.mayHaveRun(ev.Request),
		deadlineIndex: -1,
		retryIndex:    -1,
	}
	k.tasks[t.key] = t
	return t
}

func (k *Kernel) enqueue(ev *Submit) {
	t := k.newTask(ev)
	if k.queued >= k.view.Scheduling.MaxQueued && !k.makeRoom(t) {
		k.settle(t, k.overloaded(core.ReasonOverloaded))
		return
	}
	k.retryBudget = min(k.retryBudget+float64(k.view.Scheduling.RetryPercent)/100, maxRetryBudget)
	k.deadlines.add(t)
	k.wait(t)
	k.wantTokens(t.team)
}

// wait puts t at the end of its team's list.
func (k *Kernel) wait(t *task) {
	tm := t.team
	if tm.waitingCount() == 0 {
		// A team that had nothing waiting does not save up a claim to slots that
		// it did not use.
		tm.VirtualTime = max(tm.VirtualTime, k.virtualTime)
	}
	t.state = stateQueued
	tm.waiting[t.req.Priority].pushBack(t)
	k.queued++
	k.updateReady(tm)
}

// unwait takes t out of its team's list.
func (k *Kernel) unwait(t *task) {
	t.team.waiting[t.req.Priority].remove(t)
	k.queued--
	k.updateReady(t.team)
}

// makeRoom refuses the newest request of the team that waits with the most
// requests per share, unless that is the team of the newcomer.
func (k *Kernel) makeRoom(newcomer *task) bool {
	var worst *team
	for _, t := range k.teams {
		if t.waitingCount() > 0 && (worst == nil || t.crowds(worst)) {
			worst = t
		}
	}
	if worst == nil || worst == newcomer.team {
		return false
	}
	victim := worst.waiting[core.Normal].tail
	if victim == nil {
		victim = worst.waiting[core.Urgent].tail
	}
	if victim.unproved > 0 {
		return false
	}
	k.unwait(victim)
	k.note(event.RequestShed, victim.key.ID, fmt.Sprintf("team %s waits with the most requests per share", worst.Name))
	k.settle(victim, k.overloaded(core.ReasonShed))
	return true
}

// crowds reports whether t waits with more requests per share than other.
func (t *team) crowds(other *team) bool {
	mine, theirs := t.waitingCount()*other.Share, other.waitingCount()*t.Share
	if mine != theirs {
		return mine > theirs
	}
	return t.Name < other.Name
}

// cancel withdraws a request; a running task is asked to stop and its waiters
// learn how it ended.
func (k *Kernel) cancel(ev *Cancel) {
	t, ok := k.tasks[ev.Key]
	if !ok {
		k.reply(ev.Waiter, k.missing(), !k.frozen)
		return
	}
	switch t.state {
	case stateQueued:
		k.unwait(t)
		k.settleUnstarted(t, core.ReasonCancelled)
	case stateBackoff:
		k.retries.drop(t)
		k.settleUnstarted(t, core.ReasonCancelled)
	case stateRunning:
		t.cancelled = true
		k.stop(t.current)
	}
	k.reply(ev.Waiter, k.state(t), true)
}

// query tells the state of a request.
func (k *Kernel) query(ev *Query) {
	t, ok := k.tasks[ev.Key]
	if !ok {
		k.reply(ev.Waiter, k.missing(), !k.frozen)
		return
	}
	k.reply(ev.Waiter, k.state(t), true)
}

// missing is the answer about an id that is not on record.
func (k *Kernel) missing() core.Result {
	return core.Result{Outcome: core.Unknown, Reason: core.ReasonNotFound}
}

func (k *Kernel) state(t *task) core.Result {
	if t.state == stateSettled {
		return k.recorded(t)
	}
	return core.Result{Outcome: core.Pending, Running: t.state == stateRunning}
}
