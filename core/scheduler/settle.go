package scheduler

import (
	"jacinthwind/core"
	"jacinthwind/core/event"
)

// settleUnstarted ends a request that has no attempt in progress: it is
// not_run unless an earlier attempt may have started.
func (k *Kernel) settleUnstarted(t *task, reason core.Reason) {
	if t.unproved > 0 {
		k.settle(t, core.Result{Outcome: core.Unknown, Reason: reason})
		return
	}
	k.settle(t, refusal(reason))
}

// settle gives the result to all waiters and keeps the record.
func (k *Kernel) settle(t *task, r core.Result) {
	// After the end of its ownership a node cannot know whether a later owner
	// runs another copy of the request.
	if r.Outcome == core.NotRun && (t.mayHaveRun || k.frozen) {
		r = core.Result{Outcome: core.Unknown, Reason: r.Reason}
	}
	k.assertNotRun(t, r)
	k.count(r.Outcome)
	k.deadlines.drop(t)
	t.state = stateSettled
	t.settledAt = k.now
	t.result = r
	for _, w := range t.waiters {
		k.reply(w, r, true)
	}
	t.waiters = nil
	t.req = nil
	t.lastTried = nil
	k.keep(t)
}

// assertNotRun checks that no attempt can have started behind a refusal.
func (k *Kernel) assertNotRun(t *task, r core.Result) {
	if r.Outcome == core.NotRun && (t.unproved > 0 || t.current != nil) {
		k.note(event.ViolationNotRun, t.key.ID, string(r.Reason))
	}
}

func (k *Kernel) count(o core.Outcome) {
	switch o {
	case core.Done:
		k.counts.Done++
	case core.NotRun:
		k.counts.NotRun++
	case core.Unknown:
		k.counts.Unknown++
	}
}

// keep remembers a settled task for repeated requests: a refusal as long as a
// delayed copy may arrive, anything else for the whole window.
func (k *Kernel) keep(t *task) {
	window := k.idWindow() + 2*k.settings.ClockSkew
	if t.result.Outcome == core.NotRun {
		window = k.settings.ForwardWindow + 2*k.settings.ClockSkew
	}
	t.expireAt = k.now.Add(window)
	k.records(t).push(t)
	if t.result.Answer != nil {
		k.hold(t)
	}
}

// records returns the queue for t; within one queue all are kept equally long.
func (k *Kernel) records(t *task) *recordQueue {
	if t.result.Outcome == core.NotRun {
		return &k.refusals
	}
	return &k.settledTasks
}

// hold keeps the answer of t and drops the oldest ones over the bound.
func (k *Kernel) hold(t *task) {
	k.held = append(k.held, t)
	k.heldBytes += len(t.result.Answer.Body)
	for k.heldBytes > k.settings.MaxHeldAnswers {
		k.dropAnswer()
	}
}

func (k *Kernel) dropAnswer() {
	oldest := k.held[0]
	k.held[0] = nil
	k.held = k.held[1:]
	k.heldBytes -= len(oldest.result.Answer.Body)
	oldest.result.Answer = nil
}

// forget removes a settled record.
func (k *Kernel) forget(t *task) {
	if k.tasks[t.key] == t {
		delete(k.tasks, t.key)
	}
}

// expire forgets the records whose time has come.
func (k *Kernel) expire() {
	for _, q := range []*recordQueue{&k.refusals, &k.settledTasks} {
		for t := q.pop(k.now); t != nil; t = q.pop(k.now) {
			k.forget(t)
		}
	}
	for len(k.held) > 0 && k.tasks[k.held[0].key] != k.held[0] {
		k.dropAnswer()
	}
}
