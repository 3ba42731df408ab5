package cell_test

import (
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
	ackedEnd        int64
	// voidedEnd is the number up to which ended runs no longer count.
	voidedEnd int64
	// unreachable is true while the executor answers no call.
	unreachable bool
	// unreachableFor holds the owners that cannot reach the executor.
	unreachableFor map[*cell.Kernel]bool
	down           bool
	// replacing is true if another executor is about to start on the VM.
	replacing bool
}

// endRun ends a run and lists its end.
func (x *fakeExecutor) endRun(r *fakeRun, end fleet.RunEnd) {
	delete(x.runs, r.task)
	x.highestEndedRun[r.task] = max(x.highestEndedRun[r.task], r.run)
	x.lastEnd++
	x.ended = append(x.ended, fleet.EndedRun{Number: x.lastEnd, Task: r.task, Run: r.run, End: end})
}

func (x *fakeExecutor) used() fleet.Vector {
	var sum fleet.Vector
	for _, r := range x.runs {
		sum = sum.Add(r.size)
	}
	return sum
}

// executeStart executes a start order and checks that it violates no invariant.
func (w *world) executeStart(o fleet.StartOrder) fleet.OrderAnswer {
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
	require.True(w.t, x.used().Add(step.ReservedSize()).FitsIn(x.Capacity), "at %v: the start of %s exceeds the capacity of %s", w.now, o.Task, x.ID)
	if o.Ticket != "" {
		x.ticketsByTask = map[string]string{o.Task: o.Ticket}
	}
	took, end := w.taskTime(o.Task, o.Run)
	x.runs[o.Task] = &fakeRun{task: o.Task, run: o.Run, size: step.ReservedSize(), startAt: w.now, endAt: w.now + took, end: end, service: step.Service}
	if step.Service && w.failServices(o.Task) {
		x.runs[o.Task].service, x.runs[o.Task].end, x.runs[o.Task].endAt = false, fleet.EndFailed, w.now+10*time.Millisecond
	}
	w.starts[o.Task]++
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

// executeRenewal executes a renewal and sends the answer.
func (w *world) executeRenewal(k *cell.Kernel, o fleet.Renewal) {
	sent := w.now
	delay, answered := w.orderDelivery("renew", "")
	w.runAfter(max(delay, 5*time.Millisecond), func() {
		x := w.executors[o.Executor]
		if x == nil || x.unreachable || x.unreachableFor[k] || x.down || x.Address != o.Address || !answered {
			w.runAfter(600*time.Millisecond, func() {
				w.answerOwner(k, cell.Renewed{Executor: o.Executor, Sent: sent, State: fleet.ExecutorState{Outcome: fleet.OrderUnknown}})
			})
			return
		}
		s := w.answerRenewal(x, o)
		w.runAfter(w.answerDelay("renew"), func() {
			w.answerOwner(k, cell.Renewed{Executor: o.Executor, Sent: sent, State: s})
		})
	})
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
	if o.Acknowledged > x.ackedEnd {
		x.ackedEnd = o.Acknowledged
		x.ended = slices.DeleteFunc(x.ended, func(e fleet.EndedRun) bool {
			if e.Number > x.ackedEnd {
				return false
			}
			if e.End == fleet.EndDone && e.Number > x.voidedEnd {
				w.acknowledged[e.Task] = true
			}
			return true
		})
	}
	for _, task := range slices.Sorted(maps.Keys(x.runs)) {
		s.Active = append(s.Active, fleet.ActiveRun{Task: task, Run: x.runs[task].run, Percent: x.runs[task].percent(w.now), Load: x.loads[task]})
	}
	s.Ended = append(s.Ended, x.ended...)
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
