package cell

import (
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// Times of renewals.
const (
	// renewWait is how long an executor may hold a renewal back for an end.
	renewWait = 1000
	// endsPause is the shortest time between renewals of one executor, so that
	// ends that come together are reported together.
	endsPause = 30 * time.Millisecond
	// unackedPause is the time between renewals while ends wait to be stored.
	unackedPause = 250 * time.Millisecond
	missPause    = 300 * time.Millisecond
	// idleEvery is how often an executor without runs is looked at; each look is
	// priced, and a dark one costs the next start half a second.
	idleEvery = 2 * time.Second
)

// renew keeps a renewal under way at every executor.
func (k *Kernel) renew() {
	for _, x := range k.sorted() {
		if x.renewing || k.orderedAway(x) {
			continue
		}
		var pause time.Duration
		wait := int64(renewWait)
		switch {
		case x.misses > 0:
			pause, wait = missPause, 0
		case !x.fenced:
			wait = 0
		case x.seenSeq > x.ackSeq:
			pause, wait = unackedPause, 0
		case len(x.runs) == 0:
			// Nothing can end; the deadline only matters for starts.
			pause, wait = idleEvery, 0
		case k.hasUnresolved(x):
			pause, wait = endsPause, 0
		default:
			pause = endsPause
		}
		if x.answeredAt != 0 && k.now.Mono < x.answeredAt+pause {
			continue
		}
		x.renewing = true
		order := fleet.Renewal{
			Address: x.Address, Executor: x.ID, Token: k.Token,
			Acknowledged: x.ackSeq, WaitMs: wait, DeadlineMs: k.deadline(x),
		}
		if x.misses > 0 {
			// A new incarnation numbers its ends anew: an old number would
			// acknowledge ends that nobody has seen.
			order.Acknowledged = 0
		}
		// A silent executor is not granted more, so that its runs lapse.
		if x.misses > 0 || order.DeadlineMs <= x.granted {
			order.DeadlineMs = x.granted
		}
		x.granted = order.DeadlineMs
		k.emit(Renew{order})
	}
}

// hasUnresolved reports whether a look at the executor would settle a run.
func (k *Kernel) hasUnresolved(x *executor) bool {
	for _, r := range x.runs {
		if r.state == runUnknown || (r.state == runStopping && r.stopped) {
			return true
		}
	}
	return false
}

// renewed takes an executor's answer to a renewal.
func (k *Kernel) renewed(e Renewed) {
	x := k.executors[e.Executor]
	if x == nil {
		return
	}
	x.renewing = false
	x.answeredAt = k.now.Mono
	if e.Sent < x.incarnationAt {
		return
	}
	s := e.State
	switch s.Outcome {
	case fleet.OrderDone:
	case fleet.OrderFenced:
		k.depose("executor " + x.ID + " has seen a higher token")
		return
	default:
		x.misses++
		if x.misses == 1 {
			k.log(event.ExecutorSilent, "executor", x.ID, "outcome", s.Outcome, "runs", len(x.runs))
		}
		return
	}
	if s.Born != 0 && s.Born != x.born {
		if x.born != 0 {
			k.reborn(x, s.Born)
		}
		x.born = s.Born
	}
	if x.misses > 0 {
		k.log(event.ExecutorAnswers, "executor", x.ID, "misses", x.misses)
	}
	x.misses = 0
	first := !x.fenced
	if first {
		x.fencedAt = k.now.Mono
	}
	x.fenced, x.absent, x.reachedAt = true, false, k.now.Mono
	x.clock, x.clockAt = s.ClockMs, k.now.Mono
	for _, end := range s.Ended {
		if end.Number > x.seenSeq {
			k.ended(x, end)
			x.seenSeq = end.Number
		}
	}
	if x.seenSeq > x.ackSeq {
		k.out.acks = append(k.out.acks, ack{x, x.born, x.seenSeq})
	}
	k.reconcile(x, e.Sent, s.Active, first)
	if first {
		// The first answer only fences; the next one grants a deadline.
		x.answeredAt = 0
	}
	k.stragglers(x)
	k.pace(x)
}

// reconcile compares what an executor runs with what it should run.
func (k *Kernel) reconcile(x *executor, sent time.Duration, active []fleet.ActiveRun, first bool) {
	there := make(map[runKey]bool, len(active))
	for _, a := range active {
		key := runKey{a.Task, a.Run}
		there[key] = true
		r := x.runs[key]
		if r == nil {
			r = k.adopt(x, a)
		}
		if r == nil {
			r = k.endUnwanted(x, a)
		}
		if r == nil {
			continue
		}
		if r.state == runStarting || r.state == runUnknown {
			r.state = runActive
			r.settled, r.began = k.now.Mono, k.now.Mono
		}
		if r.seen == 0 {
			r.seen, r.seenPercent = k.now.Mono, a.Percent
		}
		if a.Percent != r.percent || r.moved == 0 {
			r.percent, r.moved = a.Percent, k.now.Mono
		}
		r.load = a.Load
		if a.Checkpoint != "" {
			r.task().saved = a.Checkpoint
		}
	}
	for _, r := range sortedRuns(x) {
		if there[runKey{r.name, r.number}] || r.settled == 0 || sent <= r.settled {
			continue
		}
		switch {
		case r.state == runUnknown:
			k.stopRun(r)
		case r.state == runStopping && !r.stopped:
		case r.state != runStarting:
			k.dropRun(r, "not listed by the executor")
		}
	}
}

// adopt takes over a run that an earlier owner started.
func (k *Kernel) adopt(x *executor, a fleet.ActiveRun) *run {
	id, err := job.ParseTaskID(a.Task)
	if err != nil {
		return nil
	}
	j := k.jobs[id.Job]
	if j == nil || j.state.Ended() || !j.stored {
		return nil
	}
	s := j.stepAt(id.Occurrence, id.Step)
	if s == nil || id.Index >= len(s.tasks) {
		return nil
	}
	t := &s.tasks[id.Index]
	if !t.uncertain || t.state != taskWaiting || t.current != nil {
		return nil
	}
	t.uncertain = false
	r := k.place(x, s, id.Index, a.Run)
	r.state, r.settled, r.began = runActive, k.now.Mono, k.now.Mono
	k.markStarted(j)
	k.log(event.RunAdopted, "task", a.Task, "run", a.Run, "executor", x.ID)
	return r
}

// endUnwanted stops a run that should not be. Until its end it holds its room,
// which nothing else may take.
func (k *Kernel) endUnwanted(x *executor, a fleet.ActiveRun) *run {
	k.log(event.RunNotWanted, "task", a.Task, "run", a.Run, "executor", x.ID)
	id, err := job.ParseTaskID(a.Task)
	j := k.jobs[id.Job]
	if err != nil || j == nil || id.Step >= len(j.Steps) {
		// The size is not known: the executor gets nothing until it is gone.
		x.avoid = max(x.avoid, k.now.Mono+k.StopMax)
		k.emit(Stop{fleet.StopOrder{Address: x.Address, Executor: x.ID, Task: a.Task, Run: a.Run, Token: k.Token}})
		return nil
	}
	// A step of its own keeps the run's end from touching the job's tasks.
	s := &stepRun{job: j, k: id.Occurrence, index: id.Step, Step: &j.Steps[id.Step], tasks: make([]task, id.Index+1)}
	r := k.place(x, s, id.Index, a.Run)
	s.tasks[id.Index].current = nil
	r.state, r.settled = runActive, k.now.Mono
	k.stopRun(r)
	return r
}

// stepAt returns a step of an occurrence, or nil.
func (j *jobState) stepAt(occurrence, step int) *stepRun {
	i := occurrence*len(j.Steps) + step
	if step >= len(j.Steps) || i >= len(j.steps) {
		return nil
	}
	return j.steps[i]
}
