package cell_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// fakeRun is a run on a fake executor.
type fakeRun struct {
	task string
	run  int
	size fleet.Vector
	// startAt and endAt bound the run; on a slow executor endAt is later.
	startAt time.Duration
	endAt   time.Duration
	end     fleet.RunEnd
	service bool
	gang    bool
}

// fakeExecutor behaves like the platform's executors: it keeps the highest token,
// ends its runs at their deadline, and lists ended runs until they are
// acknowledged.
type fakeExecutor struct {
	fleet.Executor
	// loads holds the reported load by task.
	loads map[string]int64
	// ticketsByTask holds the ticket of the last start, by task.
	ticketsByTask map[string]string
	// room is what the executor has; Capacity is what its entry says. entries holds what
	// the entry said at earlier times.
	room    fleet.Vector
	entries []entry
	// bootedAt is when the executor's clock was zero.
	bootedAt time.Duration
	token    int64
	deadline int64
	runs     map[string]*fakeRun
	// highestEndedRun holds, by task, the highest run that ended or was ordered to
	// stop.
	highestEndedRun map[string]int
	ended           []fleet.EndedRun
	lastEnd         int64
	// voidedEnd is the number up to which ended runs no longer count.
	voidedEnd int64
	// unreachable is true while the executor answers no call.
	unreachable bool
	// unreachableFor holds the owners that cannot reach the executor.
	unreachableFor map[*cell.Kernel]bool
	down           bool
	// oldEntry is what the list of executors still says of the earlier incarnation, nil if it
	// says what is so.
	oldEntry *fleet.Executor
	// restartsUnseen is true if an owner reads the entries of its incarnations only after answers.
	restartsUnseen bool
	// replacing is true if another executor is about to start on the VM.
	replacing bool
}

// entry is a capacity that an executor's entry stopped to name at a time.
type entry struct {
	until    time.Duration
	capacity fleet.Vector
}

// capacitySince returns the largest capacity that the executor's entry has named since a
// time, per resource.
func (x *fakeExecutor) capacitySince(at time.Duration) fleet.Vector {
	largest := x.Capacity
	for _, e := range x.entries {
		if e.until >= at {
			largest = largest.Max(e.capacity)
		}
	}
	return largest
}

// endRun ends a run and lists its end.
func (x *fakeExecutor) endRun(r *fakeRun, end fleet.RunEnd) {
	delete(x.runs, r.task)
	x.highestEndedRun[r.task] = max(x.highestEndedRun[r.task], r.run)
	x.lastEnd++
	x.ended = append(x.ended, fleet.EndedRun{Number: x.lastEnd, Task: r.task, Run: r.run, End: end})
}

// testGangWait is how long a member of a gang waits for the others.
const testGangWait = 2 * time.Second

// endRun ends a run, and with it the other members of a gang. A gang can only be done or fail
// once all its members are there.
func (w *world) endRun(x *fakeExecutor, r *fakeRun, end fleet.RunEnd) {
	if end == fleet.EndFailed {
		w.failedEnds[r.task]++
	}
	if !r.gang {
		x.endRun(r, end)
		return
	}
	id, err := job.ParseTaskID(r.task)
	require.NoError(w.t, err)
	members := map[*fakeRun]*fakeExecutor{}
	for _, other := range w.executors {
		for _, run := range other.runs {
			if o, err := job.ParseTaskID(run.task); err == nil && o.Job == id.Job && o.Step == id.Step && run.run == r.run {
				members[run] = other
			}
		}
	}
	isComplete := len(members) == w.specs[id.Job].Steps[id.Step].Count
	switch {
	case !isComplete && (end == fleet.EndDone || end == fleet.EndFailed):
		if w.now < r.startAt+testGangWait {
			return
		}
		x.endRun(r, fleet.EndGangIncomplete)
	case end == fleet.EndDone:
		for _, member := range slices.SortedFunc(maps.Keys(members), compareRuns) {
			members[member].endRun(member, end)
		}
	default:
		x.endRun(r, end)
		delete(members, r)
		for _, member := range slices.SortedFunc(maps.Keys(members), compareRuns) {
			members[member].endRun(member, fleet.EndGangBroken)
		}
	}
}

// compareRuns orders runs by their tasks.
func compareRuns(a, b *fakeRun) int { return cmp.Compare(a.task, b.task) }

func (x *fakeExecutor) used() fleet.Vector {
	var sum fleet.Vector
	for _, r := range x.runs {
		sum = sum.Add(r.size)
	}
	return sum
}

// executeStart executes a start order that was sent at the given time and checks that it
// violates no invariant.
func (w *world) executeStart(o fleet.StartOrder, sent time.Duration) fleet.OrderAnswer {
	x := w.executors[o.Executor]
	if x.unreachable || x.down || x.Address != o.Address {
		return fleet.OrderAnswer{Outcome: fleet.OrderUnknown}
	}
	clock := w.clockOf(x)
	answer := func(outcome fleet.OrderOutcome) fleet.OrderAnswer {
		return fleet.OrderAnswer{Outcome: outcome, ClockMs: clock}
	}
	if o.Token < x.token {
		return answer(fleet.OrderFenced)
	}
	x.token = o.Token
	if o.DeadlineMs < clock {
		return answer(fleet.OrderDeadlinePassed)
	}
	x.deadline = max(x.deadline, min(o.DeadlineMs, clock+testMaxRenewalGap.Milliseconds()))
	if r := x.runs[o.Task]; r != nil && r.run == o.Run {
		return answer(fleet.OrderDone)
	}
	if o.Run <= x.highestEndedRun[o.Task] {
		return answer(fleet.OrderSuperseded)
	}
	if w.refuseStarts() {
		return answer(fleet.OrderNoCapacity)
	}
	id, err := job.ParseTaskID(o.Task)
	require.NoError(w.t, err)
	spec := w.specs[id.Job]
	require.NotNil(w.t, spec, "task %s was started before its job was stored", o.Task)
	step := spec.Steps[id.Step]
	for _, other := range w.executors {
		require.Nil(w.t, other.runs[o.Task], "at %v: %s run %d starts on %s while a run is active on %s", w.now, o.Task, o.Run, x.ID, other.ID)
	}
	require.False(w.t, w.acknowledged[o.Task], "at %v: %s starts after its successful end was acknowledged", w.now, o.Task)
	require.True(w.t, step.Label == "" || x.HasLabel(step.Label), "at %v: %s requires the label %s and starts on %s, which has %v", w.now, o.Task, step.Label, x.ID, x.Labels)
	require.Equal(w.t, spec.Pool, x.Pool, "at %v: %s starts on %s of another pool", w.now, o.Task, x.ID)
	if w.guardsRoom && !x.used().Add(step.ReservedSize()).FitsIn(x.room) {
		return answer(fleet.OrderNoCapacity)
	}
	require.True(w.t, x.used().Add(step.ReservedSize()).FitsIn(x.capacitySince(sent)), "at %v: the start of %s exceeds the capacity of %s", w.now, o.Task, x.ID)
	if o.Ticket != "" {
		x.ticketsByTask = map[string]string{o.Task: o.Ticket}
	}
	took, end := w.taskTime(o.Task, o.Run)
	x.runs[o.Task] = &fakeRun{task: o.Task, run: o.Run, size: step.ReservedSize(), startAt: w.now, endAt: w.now + took, end: end, service: step.Service, gang: step.Gang}
	if step.Service && w.failServices(o.Task) {
		x.runs[o.Task].service, x.runs[o.Task].end, x.runs[o.Task].endAt = false, fleet.EndFailed, w.now+10*time.Millisecond
	}
	w.starts[o.Task]++
	if w.watch != nil {
		// The run may be shorter than the time between two checks.
		w.watch.ranAt[o.Task], w.watch.busyAt[id.Job] = w.now, w.now
	}
	if d := w.crashAfter(o.Task); d > 0 {
		w.runAfter(d, func() { w.crashUnder(x, o.Task) })
	}
	return answer(fleet.OrderDone)
}

// executeStop executes a stop order.
func (w *world) executeStop(o fleet.StopOrder) fleet.OrderAnswer {
	x := w.executors[o.Executor]
	if x == nil || x.unreachable || x.down || x.Address != o.Address {
		return fleet.OrderAnswer{Outcome: fleet.OrderUnknown}
	}
	if o.Token < x.token {
		return fleet.OrderAnswer{Outcome: fleet.OrderFenced}
	}
	x.token = o.Token
	if r := x.runs[o.Task]; r != nil && r.run <= o.Run {
		r.service, r.endAt, r.end = false, min(r.endAt, w.now+testMaxStopDuration/2), fleet.EndStopped
		if r.endAt <= w.now {
			r.endAt = w.now + testMaxStopDuration/2
		}
	}
	x.highestEndedRun[o.Task] = max(x.highestEndedRun[o.Task], o.Run)
	return fleet.OrderAnswer{Outcome: fleet.OrderDone, ClockMs: w.clockOf(x)}
}

// testRenewalWait is how much longer than another call a renewal may be open.
const testRenewalWait = time.Second

// executeRenewal executes a renewal and sends the answer.
func (w *world) executeRenewal(k *cell.Kernel, o fleet.Renewal) {
	sent := w.now
	delay, answered := w.orderDelivery("renew", "")
	failAfter := func(d time.Duration) {
		w.runAfter(d, func() {
			w.answerOwner(k, cell.Renewed{Order: o, Sent: sent, State: fleet.ExecutorState{Outcome: fleet.OrderUnknown}})
		})
	}
	if !answered {
		failAfter(min(delay, testRenewalWait) + testCallTimeout)
	}
	w.runAfter(max(delay, 5*time.Millisecond), func() {
		x := w.executors[o.Executor]
		if x == nil || x.unreachable || x.unreachableFor[k] || x.down || x.Address != o.Address {
			if answered {
				failAfter(testCallTimeout)
			}
			return
		}
		s := w.answerRenewal(x, o)
		if !answered {
			return
		}
		if w.holdsRenewals && o.WaitMs > 0 && len(s.Ended) == 0 {
			w.holdRenewal(k, x, o, sent, w.now+time.Duration(o.WaitMs)*time.Millisecond)
			return
		}
		w.runAfter(w.answerDelay("renew"), func() {
			w.answerOwner(k, cell.Renewed{Order: o, Sent: sent, State: s})
		})
	})
}

// holdRenewal answers a renewal once a run has ended, or at the given time. There is no answer if
// the executor has crashed or is out of reach by then.
func (w *world) holdRenewal(k *cell.Kernel, x *fakeExecutor, o fleet.Renewal, sent, until time.Duration) {
	startedMs := x.StartedMs
	var check func()
	check = func() {
		switch {
		case x.down || x.StartedMs != startedMs || x.unreachable || x.unreachableFor[k]:
			w.runAfter(max(until-w.now, 0)+testCallTimeout, func() {
				w.answerOwner(k, cell.Renewed{Order: o, Sent: sent, State: fleet.ExecutorState{Outcome: fleet.OrderUnknown}})
			})
		case len(x.ended) > 0 || w.now >= until:
			s := w.answerRenewal(x, fleet.Renewal{Token: x.token})
			w.answerOwner(k, cell.Renewed{Order: o, Sent: sent, State: s})
		default:
			w.runAfter(testStep, check)
		}
	}
	w.runAfter(testStep, check)
}

// answerRenewal applies a renewal to an executor and returns its state.
func (w *world) answerRenewal(x *fakeExecutor, o fleet.Renewal) fleet.ExecutorState {
	clock := w.clockOf(x)
	s := fleet.ExecutorState{Outcome: fleet.OrderDone, ClockMs: clock, StartedMs: x.StartedMs}
	if o.Token < x.token {
		s.Outcome = fleet.OrderFenced
		return s
	}
	x.token = o.Token
	if x.bootedAt == 0 {
		// A later deadline is possible only on the clock of an earlier incarnation.
		require.LessOrEqual(w.t, o.DeadlineMs-clock, testMaxRenewalGap.Milliseconds(), "the granted deadline exceeds MaxRenewalGap")
	}
	x.deadline = max(x.deadline, min(o.DeadlineMs, clock+testMaxRenewalGap.Milliseconds()))
	x.ended = slices.DeleteFunc(x.ended, func(e fleet.EndedRun) bool {
		if e.Number > o.Acknowledged {
			return false
		}
		if e.End == fleet.EndDone && e.Number > x.voidedEnd {
			w.acknowledged[e.Task] = true
		}
		return true
	})
	for _, task := range slices.Sorted(maps.Keys(x.runs)) {
		s.Active = append(s.Active, fleet.ActiveRun{Task: task, Run: x.runs[task].run, Percent: x.runs[task].percent(w.now), Load: x.loads[task]})
	}
	s.Ended = append(s.Ended, x.ended...)
	if w.maxListedEnds > 0 && len(s.Ended) >= w.maxListedEnds {
		s.Ended, s.MoreEnded = s.Ended[:w.maxListedEnds], true
	}
	return s
}

// percent returns the progress of a run. A service task reports 100 from its start,
// also while it stops.
func (r *fakeRun) percent(now time.Duration) int {
	if r.service || r.end == fleet.EndStopped {
		return 100
	}
	return int((now - r.startAt) * 100 / max(r.endAt-r.startAt, 1))
}
