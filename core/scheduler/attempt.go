package scheduler

import (
	"fmt"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

const (
	initialRetryBudget = 10
	maxRetryBudget     = 100
	retryBase          = 20 * time.Millisecond
	retryCap           = time.Second
	// maxRefusals bounds how often a task is refused by executors without
	// having started.
	maxRefusals = 8
)

// attemptEnded handles what the sender of an attempt saw.
func (k *Kernel) attemptEnded(ev *AttemptEnded) {
	a, ok := k.attempts[ev.Attempt]
	if !ok || a.lost {
		k.lateResult(ev)
		return
	}
	k.observeHealth(a, &ev.Result)
	t := a.task
	switch ev.Result.Status {
	case core.AttemptAnswered:
		k.settleCharge(a)
		k.release(a)
		k.finish(t, a, core.Result{Outcome: core.Done, Answer: ev.Result.Answer})
	case core.AttemptOversized:
		k.settleCharge(a)
		k.release(a)
		k.finish(t, a, core.Result{Outcome: core.Unknown, Reason: core.ReasonAnswerTooLarge})
	case core.AttemptStopped:
		k.settleCharge(a)
		k.release(a)
		k.finish(t, a, core.Result{Outcome: core.Unknown, Reason: stopReason(t)})
	case core.AttemptRefused:
		k.settleCharge(a)
		k.release(a)
		k.retryRefused(t, a)
	case core.AttemptLost:
		a.lost = true
		k.note(event.AttemptLost, a.id.String(), errorText(ev.Result.Err))
		k.retryLost(t, a)
	}
}

func stopReason(t *task) core.Reason {
	if t != nil && t.cancelled {
		return core.ReasonCancelledRunning
	}
	return core.ReasonStopped
}

func errorText(err error) string {
	if err == nil {
		return "no whole answer"
	}
	return err.Error()
}

func (k *Kernel) observeHealth(a *attempt, r *core.AttemptResult) {
	if a.task == nil || a.team == nil {
		return
	}
	if isFailure(r) {
		k.observeFailure(a.exec, a.team, a.task.key)
		return
	}
	k.observeSuccess(a.exec, a.team)
}

// finish settles the request of a, unless it settled before.
func (k *Kernel) finish(t *task, a *attempt, r core.Result) {
	if t == nil {
		return
	}
	if t.state == stateSettled {
		k.improve(t, r)
		return
	}
	if t.current == a {
		t.current = nil
	}
	switch t.state {
	case stateQueued:
		k.unwait(t)
	case stateBackoff:
		k.retries.drop(t)
	}
	k.settle(t, r)
}

// improve turns an unknown result into the answer that came late.
func (k *Kernel) improve(t *task, r core.Result) {
	k.counts.LateAnswers++
	if t.result.Outcome != core.Unknown || r.Outcome != core.Done {
		return
	}
	t.result = r
	if r.Answer != nil {
		k.hold(t)
	}
}

// lateResult handles the end of an attempt that is no longer counted or was
// given up; an answer is still good for its own request.
func (k *Kernel) lateResult(ev *AttemptEnded) {
	a, ok := k.attempts[ev.Attempt]
	if !ok {
		k.counts.LateAnswers++
		return
	}
	if ev.Result.Status != core.AttemptAnswered {
		return
	}
	k.release(a)
	k.finish(a.task, a, core.Result{Outcome: core.Done, Answer: ev.Result.Answer})
}

// retryRefused lets a task that did not start wait again.
func (k *Kernel) retryRefused(t *task, a *attempt) {
	if t == nil || t.state != stateRunning || t.current != a {
		return
	}
	t.current = nil
	switch {
	case t.cancelled:
		k.settleUnstarted(t, core.ReasonCancelled)
	case k.frozen || t.isAdopted():
		k.bounce(t)
	case t.attempts >= maxRefusals:
		k.settleUnstarted(t, core.ReasonAttemptsSpent)
	default:
		k.backOff(t)
	}
}

// retryLost tries an idempotent request again; a non-idempotent one may have
// started and settles as unknown.
func (k *Kernel) retryLost(t *task, a *attempt) {
	if t == nil || t.state != stateRunning || t.current != a {
		return
	}
	t.current = nil
	t.unproved++
	switch {
	case t.cancelled:
		k.settleUnstarted(t, core.ReasonCancelledRunning)
	case k.frozen && t.req.Idempotent:
		k.bounce(t)
	case !t.req.Idempotent:
		k.settleUnstarted(t, core.ReasonAttemptLost)
	case t.attempts >= k.view.Scheduling.MaxAttempts || k.retryBudget < 1:
		k.settleUnstarted(t, core.ReasonAttemptsSpent)
	default:
		k.retryBudget--
		k.counts.Retried++
		k.backOff(t)
	}
}

// backOff lets t wait for a random time before it is queued again, after
// "Exponential Backoff And Jitter" (Brooker, 2015), full jitter.
func (k *Kernel) backOff(t *task) {
	ceiling := min(retryBase<<min(t.attempts, maxRefusals), retryCap)
	t.state = stateBackoff
	t.retryAt = k.now.Add(time.Duration(k.rand.Int64N(int64(ceiling))))
	k.retries.add(t)
}

// stop asks the executor to end an attempt early.
func (k *Kernel) stop(a *attempt) {
	k.effects.Stops = append(k.effects.Stops, Stop{Address: a.exec.address, Attempt: a.id})
}

// endUnanswered counts an attempt as ended that will not answer.
func (k *Kernel) endUnanswered(a *attempt, reason string) {
	k.release(a)
	t := a.task
	if t == nil || t.current != a {
		return
	}
	k.note(event.AttemptLost, a.id.String(), reason)
	k.retryLost(t, a)
}

// leaseRanOut ends an attempt whose task lease has run out.
func (k *Kernel) leaseRanOut(a *attempt) {
	k.note(event.AttemptLeaseRanOut, a.id.String(), fmt.Sprintf("on %s", a.exec.Name))
	k.endUnanswered(a, "the task lease ran out")
}
