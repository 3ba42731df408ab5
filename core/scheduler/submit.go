package scheduler

import (
	"fmt"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay advised to a caller
	// whose request was refused for overload.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// newRefusal returns a not_run result with the given reason.
func newRefusal(reason core.Reason) core.Result {
	return core.Result{Outcome: core.NotRun, Reason: reason}
}

// submit accepts a request, attaches it to an earlier copy with the same id, or
// refuses it.
func (k *Kernel) submit(ev *Submit) {
	k.counts.Submitted++
	if k.frozen {
		k.addReply(ev.Waiter, newRefusal(core.ReasonNotOwner), false)
		return
	}
	// A refusal is remembered only for MaxForwardAge. A copy delayed for longer
	// could start a request whose caller was told that it did not run.
	if ev.SentAt.Before(k.now.Add(-k.settings.MaxForwardAge)) {
		k.addReply(ev.Waiter, newRefusal(core.ReasonStaleForward), false)
		return
	}
	if known, ok := k.tasks[requestKeyOf(ev.Request)]; ok {
		k.submitRepeated(known, ev)
		return
	}
	k.submitNew(ev)
}

// submitRepeated handles a request whose id is on record as t.
func (k *Kernel) submitRepeated(t *task, ev *Submit) {
	if t.state != stateSettled {
		t.waiters = append(t.waiters, ev.Waiter)
		return
	}
	if t.result.Outcome == core.NotRun && ev.SentAt.After(t.settledAt.Add(k.settings.ClockSkew)) {
		// This copy was sent after the refusal, so it is a new try by the caller
		// and may run.
		k.removeRecord(t)
		k.submitNew(ev)
		return
	}
	k.counts.RepliedBefore++
	k.addReply(ev.Waiter, k.recordedResult(t), true)
}

// submitNew accepts or refuses a request whose id is not on record.
func (k *Kernel) submitNew(ev *Submit) {
	if result, ok := k.admit(ev.Request); !ok {
		k.refuse(ev, result)
		return
	}
	k.acceptRequest(ev)
}

// recordedResult returns the result of a settled task, with a reason if its
// answer is no longer kept.
func (k *Kernel) recordedResult(t *task) core.Result {
	r := t.result
	if r.Outcome == core.Done && r.Answer == nil {
		r.Reason = core.ReasonAnswerExpired
	}
	return r
}

// admit reports whether a request may enter the queue, and the result to reply
// with if it may not.
func (k *Kernel) admit(r *core.Request) (core.Result, bool) {
	if !r.Deadline.After(k.now) {
		return newRefusal(core.ReasonDeadlinePassed), false
	}
	if reason := k.checkKey(r); reason != core.ReasonNone {
		return newRefusal(reason), false
	}
	if !r.Idempotent {
		if result, ok := k.admitID(r); !ok {
			return result, false
		}
	}
	if !k.hasUsableExecutor() && k.view.Scheduling.HoldUnplaceableS == 0 {
		return core.Result{Outcome: core.NotRun, Reason: core.ReasonNoExecutor, RetryAfter: time.Second}, false
	}
	if wait := k.estimateWait(); wait > r.Deadline.Sub(k.now) {
		return k.overloadRefusal(core.ReasonOverloaded), false
	}
	return core.Result{}, true
}

// admitID reports whether the id of a non-idempotent request is recent enough
// to prove that no earlier owner ran it and no record of it has expired.
func (k *Kernel) admitID(r *core.Request) (core.Result, bool) {
	skew := k.settings.ClockSkew
	switch {
	case r.IssuedAt.IsZero():
		return newRefusal(core.ReasonBadID), false
	case r.IssuedAt.After(k.now.Add(skew)):
		return core.Result{Outcome: core.NotRun, Reason: core.ReasonIDFromFuture, RetryAfter: r.IssuedAt.Sub(k.now)}, false
	case r.IssuedAt.Before(k.minIssuedAt):
		return core.Result{Outcome: core.Unknown, Reason: core.ReasonIDBeforeTakeover}, false
	case r.IssuedAt.Before(k.now.Add(-k.idWindow())):
		return core.Result{Outcome: core.Unknown, Reason: core.ReasonIDExpired}, false
	}
	return core.Result{}, true
}

// checkKey returns the reason why the request's key does not allow it to run
// now, or ReasonNone.
func (k *Kernel) checkKey(r *core.Request) core.Reason {
	q, ok := k.view.Queue(r.Queue)
	if !ok || q.Pool != k.pool {
		return core.ReasonQueueUnknown
	}
	if r.Team == AnonymousTeam && q.Open {
		return core.ReasonNone
	}
	if team, ok := k.view.TeamOfKey(r.KeyDigest); !ok || team != r.Team {
		return core.ReasonKeyWithdrawn
	}
	return core.ReasonNone
}

// estimateWait estimates how long a new request waits for a slot.
func (k *Kernel) estimateWait() time.Duration {
	slots := 0
	for _, e := range k.executors {
		if e.inService && !e.draining && !e.health.quarantined {
			slots += e.maxTasks()
		}
	}
	if k.queued < slots || slots == 0 {
		return 0
	}
	return time.Duration(float64(k.queued) / float64(slots) * k.meanRunSeconds * float64(time.Second))
}

// overloadRefusal returns a not_run result that advises the caller to retry
// after half the estimated wait.
func (k *Kernel) overloadRefusal(reason core.Reason) core.Result {
	wait := min(max(k.estimateWait()/2, minRetryAfter), maxRetryAfter)
	return core.Result{Outcome: core.NotRun, Reason: reason, RetryAfter: wait}
}

// refuse replies to a request that was not accepted. A not_run result is kept
// on record for as long as a delayed copy of the request may arrive, because
// that copy must not run.
func (k *Kernel) refuse(ev *Submit, result core.Result) {
	if result.Outcome == core.NotRun {
		t := k.newTask(ev)
		k.settle(t, result)
		return
	}
	k.counts.Unknown++
	k.addReply(ev.Waiter, result, true)
}

// mayHaveRun reports whether an earlier copy of the request may have run
// without leaving a record, under a failed owner or before the period for which
// records are kept.
func (k *Kernel) mayHaveRun(r *core.Request) bool {
	window := k.idWindow()
	if r.IssuedAt.IsZero() {
		return !k.minIssuedAt.IsZero() && k.now.Before(k.minIssuedAt.Add(window))
	}
	return r.IssuedAt.Before(k.minIssuedAt) || r.IssuedAt.Before(k.now.Add(-window))
}

// idWindow returns how long settled requests are kept on record.
func (k *Kernel) idWindow() time.Duration {
	return time.Duration(k.view.Scheduling.IDWindowS) * time.Second
}

// newTask adds a record for the request of ev.
func (k *Kernel) newTask(ev *Submit) *task {
	t := &task{
		key:           requestKeyOf(ev.Request),
		req:           ev.Request,
		team:          k.ensureTeam(ev.Request.Team),
		arrivedAt:     k.now,
		deadline:      ev.Request.Deadline,
		waiters:       []WaiterID{ev.Waiter},
		mayHaveRun:    k.mayHaveRun(ev.Request),
		deadlineIndex: -1,
		retryIndex:    -1,
	}
	k.tasks[t.key] = t
	return t
}

// acceptRequest queues an admitted request. If the queue is full, it sheds
// another request or refuses this one.
func (k *Kernel) acceptRequest(ev *Submit) {
	t := k.newTask(ev)
	if k.queued >= k.view.Scheduling.MaxQueued && !k.shedRequest(t) {
		k.settle(t, k.overloadRefusal(core.ReasonOverloaded))
		return
	}
	k.retryBudget = min(k.retryBudget+float64(k.view.Scheduling.RetryPercent)/100, maxRetryBudget)
	k.deadlines.add(t)
	k.enqueue(t)
	k.requestLimit(t.team)
}

// enqueue appends t to its team's queue.
func (k *Kernel) enqueue(t *task) {
	tm := t.team
	if tm.queuedCount() == 0 {
		// A team gets no credit for slots that it left unused while its queue was
		// empty.
		tm.VirtualTime = max(tm.VirtualTime, k.virtualTime)
	}
	t.state = stateQueued
	tm.queues[t.req.Priority].pushBack(t)
	k.queued++
	k.updateReadyHeaps(tm)
}

// dequeue removes t from its team's queue.
func (k *Kernel) dequeue(t *task) {
	t.team.queues[t.req.Priority].remove(t)
	k.queued--
	k.updateReadyHeaps(t.team)
}

// shedRequest refuses the newest queued request of the team with the most
// queued requests per share and reports whether it did. It refuses none if that
// is the team of newcomer, or if an attempt of the request may have started.
func (k *Kernel) shedRequest(newcomer *task) bool {
	var longest *team
	for _, t := range k.teams {
		if t.queuedCount() > 0 && (longest == nil || t.queuesMorePerShare(longest)) {
			longest = t
		}
	}
	if longest == nil || longest == newcomer.team {
		return false
	}
	shed := longest.queues[core.Normal].tail
	if shed == nil {
		shed = longest.queues[core.Urgent].tail
	}
	if shed.uncertainAttempts > 0 {
		return false
	}
	k.dequeue(shed)
	k.addNote(event.RequestShed, shed.key.ID, fmt.Sprintf("team %s has the most queued requests per share", longest.Name))
	k.settle(shed, k.overloadRefusal(core.ReasonShed))
	return true
}

// queuesMorePerShare reports whether t has more queued requests per share than
// other. Ties are broken by name.
func (t *team) queuesMorePerShare(other *team) bool {
	mine, theirs := t.queuedCount()*other.Share, other.queuedCount()*t.Share
	if mine != theirs {
		return mine > theirs
	}
	return t.Name < other.Name
}

// cancel cancels a request. A running task is asked to stop, and its waiters
// learn how it ended.
func (k *Kernel) cancel(ev *Cancel) {
	t, ok := k.tasks[ev.Key]
	if !ok {
		k.addReply(ev.Waiter, k.notFoundResult(), !k.frozen)
		return
	}
	switch t.state {
	case stateQueued:
		k.dequeue(t)
		k.settleWithoutAnswer(t, core.ReasonCancelled)
	case stateBackoff:
		k.retries.remove(t)
		k.settleWithoutAnswer(t, core.ReasonCancelled)
	case stateRunning:
		t.cancelled = true
		k.stopAttempt(t.current)
	}
	k.addReply(ev.Waiter, k.currentResult(t), true)
}

// query replies with the state of a request.
func (k *Kernel) query(ev *Query) {
	t, ok := k.tasks[ev.Key]
	if !ok {
		k.addReply(ev.Waiter, k.notFoundResult(), !k.frozen)
		return
	}
	k.addReply(ev.Waiter, k.currentResult(t), true)
}

// notFoundResult returns the result for an id that is not on record.
func (k *Kernel) notFoundResult() core.Result {
	return core.Result{Outcome: core.Unknown, Reason: core.ReasonNotFound}
}

// currentResult returns the result of t, or pending if it has not settled.
func (k *Kernel) currentResult(t *task) core.Result {
	if t.state == stateSettled {
		return k.recordedResult(t)
	}
	return core.Result{Outcome: core.Pending, Running: t.state == stateRunning}
}
