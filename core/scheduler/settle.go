package scheduler

import (
	"jacinthwind/core"
	"jacinthwind/core/event"
)

// settleWithoutAnswer settles a request that has no attempt in progress. The
// outcome is not_run unless an earlier attempt may have started.
func (k *Kernel) settleWithoutAnswer(t *task, reason core.Reason) {
	if t.uncertainAttempts > 0 {
		k.settle(t, core.Result{Outcome: core.Unknown, Reason: reason})
		return
	}
	k.settle(t, newRefusal(reason))
}

// settle delivers the result to all waiters and keeps the record.
func (k *Kernel) settle(t *task, r core.Result) {
	// Another copy may have run, with its record lost, or may run under a later
	// owner after this node's ownership has ended.
	if r.Outcome == core.NotRun && (t.mayHaveRun || k.frozen) {
		r = core.Result{Outcome: core.Unknown, Reason: r.Reason}
	}
	k.checkNotRun(t, r)
	k.countOutcome(r.Outcome)
	k.deadlines.remove(t)
	t.state = stateSettled
	t.settledAt = k.now
	t.result = r
	for _, w := range t.waiters {
		k.addReply(w, r, true)
	}
	t.waiters = nil
	t.req = nil
	t.lastExecutor = nil
	k.keepRecord(t)
}

// checkNotRun notes a violation if a request settles as not_run although an
// attempt may have started.
func (k *Kernel) checkNotRun(t *task, r core.Result) {
	if r.Outcome == core.NotRun && (t.uncertainAttempts > 0 || t.current != nil) {
		k.addNote(event.ViolationNotRun, t.key.ID, string(r.Reason))
	}
}

// countOutcome adds a settled request to the totals.
func (k *Kernel) countOutcome(o core.Outcome) {
	switch o {
	case core.Done:
		k.counts.Done++
	case core.NotRun:
		k.counts.NotRun++
	case core.Unknown:
		k.counts.Unknown++
	}
}

// keepRecord keeps a settled task on record for repeated requests: a refusal
// for as long as a delayed copy may arrive, any other result for the whole id
// window.
func (k *Kernel) keepRecord(t *task) {
	window := k.idWindow() + 2*k.settings.ClockSkew
	if t.result.Outcome == core.NotRun {
		window = k.settings.MaxForwardAge + 2*k.settings.ClockSkew
	}
	t.expireAt = k.now.Add(window)
	k.recordQueueOf(t).push(t)
	if t.result.Answer != nil {
		k.holdAnswer(t)
	}
}

// recordQueueOf returns the queue in which t expires. All records in one queue
// are kept equally long.
func (k *Kernel) recordQueueOf(t *task) *recordQueue {
	if t.result.Outcome == core.NotRun {
		return &k.refusals
	}
	return &k.settledTasks
}

// holdAnswer keeps the answer of t and drops the oldest answers that exceed
// MaxHeldAnswerBytes.
func (k *Kernel) holdAnswer(t *task) {
	k.heldAnswers = append(k.heldAnswers, t)
	k.heldAnswerBytes += len(t.result.Answer.Body)
	for k.heldAnswerBytes > k.settings.MaxHeldAnswerBytes {
		k.dropOldestAnswer()
	}
}

// dropOldestAnswer removes the answer that has been kept longest.
func (k *Kernel) dropOldestAnswer() {
	oldest := k.heldAnswers[0]
	k.heldAnswers[0] = nil
	k.heldAnswers = k.heldAnswers[1:]
	k.heldAnswerBytes -= len(oldest.result.Answer.Body)
	oldest.result.Answer = nil
}

// removeRecord removes the record of a settled task unless a newer task has the
// same key.
func (k *Kernel) removeRecord(t *task) {
	if k.tasks[t.key] == t {
		delete(k.tasks, t.key)
	}
}

// expireRecords removes the records that have expired, and their answers.
func (k *Kernel) expireRecords() {
	for _, q := range []*recordQueue{&k.refusals, &k.settledTasks} {
		for t := q.popExpired(k.now); t != nil; t = q.popExpired(k.now) {
			k.removeRecord(t)
		}
	}
	for len(k.heldAnswers) > 0 && k.tasks[k.heldAnswers[0].key] != k.heldAnswers[0] {
		k.dropOldestAnswer()
	}
}
