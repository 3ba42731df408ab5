package scheduler

import (
	"fmt"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

const (
	// initialRetryBudget and maxRetryBudget are numbers of retries of lost
	// attempts.
	initialRetryBudget = 10
	maxRetryBudget     = 100
	// retryBackoffBase is doubled with every attempt to give the ceiling of the
	// random retry delay: 40 ms after the first, and at most retryBackoffCap.
	retryBackoffBase = 20 * time.Millisecond
	retryBackoffCap  = time.Second
	// maxRefusedAttempts is the number of attempts after which a task that
	// executors refused to start is settled instead of sent again.
	maxRefusedAttempts = 8
)

// handleAttemptEnded handles the result of an attempt, as seen by its sender.
func (k *Kernel) handleAttemptEnded(ev *AttemptEnded) {
	a, ok := k.attempts[ev.Attempt]
	if !ok || a.lost {
		k.handleLateResult(ev)
		return
	}
	k.updateHealth(a, &ev.Result)
	t := a.task
	switch ev.Result.Status {
	case core.AttemptAnswered:
		k.correctCharge(a)
		k.releaseSlot(a)
		k.finishTask(t, a, core.Result{Outcome: core.Done, Answer: ev.Result.Answer})
	case core.AttemptOversized:
		k.correctCharge(a)
		k.releaseSlot(a)
		k.finishTask(t, a, core.Result{Outcome: core.Unknown, Reason: core.ReasonAnswerTooLarge})
	case core.AttemptStopped:
		k.correctCharge(a)
		k.releaseSlot(a)
		k.finishTask(t, a, core.Result{Outcome: core.Unknown, Reason: stopReason(t)})
	case core.AttemptRefused:
		k.correctCharge(a)
		k.releaseSlot(a)
		k.retryRefused(t, a)
	case core.AttemptLost:
		a.lost = true
		k.addNote(event.AttemptLost, a.id.String(), errorText(ev.Result.Err))
		k.retryLost(t, a)
	}
}

// stopReason returns the reason for the unknown outcome of a task that an
// executor stopped.
func stopReason(t *task) core.Reason {
	if t != nil && t.cancelled {
		return core.ReasonCancelledRunning
	}
	return core.ReasonStopped
}

// errorText returns the text of err, or a default if there is none.
func errorText(err error) string {
	if err == nil {
		return "no complete answer"
	}
	return err.Error()
}

// updateHealth records the result of an attempt in the health of its executor.
func (k *Kernel) updateHealth(a *attempt, r *core.AttemptResult) {
	if a.task == nil || a.team == nil {
		return
	}
	if isFailure(r) {
		k.recordFailure(a.executor, a.team, a.task.key)
		return
	}
	k.recordSuccess(a.executor, a.team)
}

// finishTask settles t with the result of its attempt a. If t settled before,
// it applies a late answer.
func (k *Kernel) finishTask(t *task, a *attempt, r core.Result) {
	if t == nil {
		return
	}
	if t.state == stateSettled {
		k.applyLateAnswer(t, r)
		return
	}
	if t.current == a {
		t.current = nil
	}
	switch t.state {
	case stateQueued:
		k.dequeue(t)
	case stateBackoff:
		k.retries.remove(t)
	}
	k.settle(t, r)
}

// applyLateAnswer replaces an unknown result by an answer that arrived late.
func (k *Kernel) applyLateAnswer(t *task, r core.Result) {
	k.counts.LateAnswers++
	if t.result.Outcome != core.Unknown || r.Outcome != core.Done {
		return
	}
	t.result = r
	if r.Answer != nil {
		k.holdAnswer(t)
	}
}

// handleLateResult handles the result of an attempt that was already removed or
// reported lost. An answer still settles its request.
func (k *Kernel) handleLateResult(ev *AttemptEnded) {
	a, ok := k.attempts[ev.Attempt]
	if !ok {
		k.counts.LateAnswers++
		return
	}
	if ev.Result.Status != core.AttemptAnswered {
		return
	}
	k.releaseSlot(a)
	k.finishTask(a.task, a, core.Result{Outcome: core.Done, Answer: ev.Result.Answer})
}

// retryRefused schedules a retry of a task that did not start, or settles it.
func (k *Kernel) retryRefused(t *task, a *attempt) {
	if t == nil || t.state != stateRunning || t.current != a {
		return
	}
	t.current = nil
	switch {
	case t.cancelled:
		k.settleWithoutAnswer(t, core.ReasonCancelled)
	case k.frozen || t.isRestored():
		k.returnRequest(t)
	case t.attempts >= maxRefusedAttempts:
		k.settleWithoutAnswer(t, core.ReasonAttemptsSpent)
	default:
		k.backOff(t)
	}
}

// retryLost schedules a retry of an idempotent request whose attempt was lost.
// A non-idempotent request may have started and settles as unknown.
func (k *Kernel) retryLost(t *task, a *attempt) {
	if t == nil || t.state != stateRunning || t.current != a {
		return
	}
	t.current = nil
	t.uncertainAttempts++
	switch {
	case t.cancelled:
		k.settleWithoutAnswer(t, core.ReasonCancelledRunning)
	case k.frozen && t.req.Idempotent:
		k.returnRequest(t)
	case !t.req.Idempotent:
		k.settleWithoutAnswer(t, core.ReasonAttemptLost)
	case t.attempts >= k.view.Scheduling.MaxAttempts || k.retryBudget < 1:
		k.settleWithoutAnswer(t, core.ReasonAttemptsSpent)
	default:
		k.retryBudget--
		k.counts.Retried++
		k.backOff(t)
	}
}

// backOff schedules t to be queued again after a random delay, using full
// jitter as in "Exponential Backoff And Jitter" (Brooker, 2015).
func (k *Kernel) backOff(t *task) {
	ceiling := min(retryBackoffBase<<min(t.attempts, maxRefusedAttempts), retryBackoffCap)
	t.state = stateBackoff
	t.retryAt = k.now.Add(time.Duration(k.rand.Int64N(int64(ceiling))))
	k.retries.add(t)
}

// stopAttempt orders the executor to stop an attempt.
func (k *Kernel) stopAttempt(a *attempt) {
	k.effects.Stops = append(k.effects.Stops, Stop{Address: a.executor.address, Attempt: a.id})
}

// endWithoutAnswer ends an attempt that will not return an answer.
func (k *Kernel) endWithoutAnswer(a *attempt, reason string) {
	k.releaseSlot(a)
	t := a.task
	if t == nil || t.current != a {
		return
	}
	k.addNote(event.AttemptLost, a.id.String(), reason)
	k.retryLost(t, a)
}

// expireLease ends an attempt whose task lease has expired.
func (k *Kernel) expireLease(a *attempt) {
	k.addNote(event.AttemptLeaseRanOut, a.id.String(), fmt.Sprintf("on executor %s", a.executor.Name))
	k.endWithoutAnswer(a, "the task lease expired")
}
