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
	// begins and ends bound the run; a slow executor moves the end away.
	begins  time.Duration
	ends    time.Duration
	how     fleet.RunEnd
	service bool
}

// fakeExecutor behaves as the platform's executors do: it keeps the highest
// token, ends its runs at their deadline, and lists ends until acknowledged.
type fakeExecutor struct {
	fleet.Executor
	// loads holds what is reported of tasks, by task.
	loads map[string]int64
	// given holds the tickets of the starts, by task.
	given map[string]string
	// bootedAt is when its clock began.
	bootedAt time.Duration
	token    int64
	deadline int64
	runs     map[string]*fakeRun
	// ended and stopped hold the highest run of a task that ended or was stopped.
	dead   map[string]int
	ended  []fleet.EndedRun
	number int64
	ack    int64
	// void is the number up to which ends do not count any more.
	void int64
	// dark executors answer nothing.
	dark bool
	// darkFor holds the owners that do not reach it.
	darkFor map[*cell.Kernel]bool
	down    bool
}

func (x *fakeExecutor) end(r *fakeRun, how fleet.RunEnd) {
	delete(x.runs, r.task)
	x.dead[r.task] = max(x.dead[r.task], r.run)
	x.number++
	x.ended = append(x.ended, fleet.EndedRun{Number: x.number, Task: r.task, Run: r.run, How: how})
}

func (x *fakeExecutor) used() fleet.Vector {
	var sum fleet.Vector
	for _, r := range x.runs {
		sum = sum.Add(r.size)
	}
	return sum
}

// start carries a start order out and checks that it breaks no rule.
func (w *world) start(o fleet.StartOrder) fleet.OrderAnswer {
	x := w.executors[o.Executor]
	if x.dark || x.down {
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
		return answer(fleet.OrderLate)
	}
	x.deadline = max(x.deadline, min(o.DeadlineMs, clock+testHoldMax.Milliseconds()))
	if r := x.runs[o.Task]; r != nil && r.run == o.Run {
		return answer(fleet.OrderDone)
	}
	if o.Run <= x.dead[o.Task] {
		return answer(fleet.OrderOld)
	}
	id, err := job.ParseTaskID(o.Task)
	require.NoError(w.t, err)
	spec := w.specs[id.Job]
	require.NotNil(w.t, spec, "a task of a job that is not stored was started: %s", o.Task)
	step := spec.Steps[id.Step]
	for _, other := range w.executors {
		require.Nil(w.t, other.runs[o.Task], "at %v: %s run %d starts on %s beside a run on %s", w.now, o.Task, o.Run, x.ID, other.ID)
	}
	require.False(w.t, w.acknowledged[o.Task], "at %v: %s starts after its done end was acknowledged", w.now, o.Task)
	require.True(w.t, x.used().Add(step.Reserved()).FitsIn(x.Room), "at %v: %s brings %s over its room", w.now, o.Task, x.ID)
	if o.Ticket != "" {
		x.given = map[string]string{o.Task: o.Ticket}
	}
	took, how := w.taskTime(o.Task, o.Run)
	x.runs[o.Task] = &fakeRun{task: o.Task, run: o.Run, size: step.Reserved(), begins: w.now, ends: w.now + took, how: how, service: step.Service}
	w.starts[o.Task]++
	return answer(fleet.OrderDone)
}

func (w *world) stop(o fleet.StopOrder) fleet.OrderAnswer {
	x := w.executors[o.Executor]
	if x == nil || x.dark || x.down {
		return fleet.OrderAnswer{Outcome: fleet.OrderUnknown}
	}
	if o.Token < x.token {
		return fleet.OrderAnswer{Outcome: fleet.OrderFenced}
	}
	x.token = o.Token
	if r := x.runs[o.Task]; r != nil && r.run <= o.Run {
		r.service, r.ends, r.how = false, min(r.ends, w.now+testStop/2), fleet.EndStopped
		if r.ends <= w.now {
			r.ends = w.now + testStop/2
		}
	}
	x.dead[o.Task] = max(x.dead[o.Task], o.Run)
	return fleet.OrderAnswer{Outcome: fleet.OrderDone, ClockMs: w.clockOf(x)}
}

// renew carries a renewal out.
func (w *world) renew(k *cell.Kernel, o fleet.Renewal) {
	sent := w.now
	delay, answered := w.orders("renew", "")
	w.after(max(delay, 5*time.Millisecond), func() {
		x := w.executors[o.Executor]
		if x == nil || x.dark || x.darkFor[k] || x.down || !answered {
			w.after(600*time.Millisecond, func() {
				w.tell(k, cell.Renewed{Executor: o.Executor, Sent: sent, State: fleet.ExecutorState{Outcome: fleet.OrderUnknown}})
			})
			return
		}
		s := w.look(x, o)
		w.after(w.answers("renew"), func() {
			w.tell(k, cell.Renewed{Executor: o.Executor, Sent: sent, State: s})
		})
	})
}

func (w *world) look(x *fakeExecutor, o fleet.Renewal) fleet.ExecutorState {
	clock := w.clockOf(x)
	s := fleet.ExecutorState{Outcome: fleet.OrderDone, ClockMs: clock, Born: x.Born}
	if o.Token < x.token {
		s.Outcome = fleet.OrderFenced
		return s
	}
	x.token = o.Token
	if x.bootedAt == 0 {
		// Beyond it a deadline may only be on the clock of an earlier incarnation.
		require.LessOrEqual(w.t, o.DeadlineMs-clock, testHoldMax.Milliseconds(), "a deadline beyond what is allowed")
	}
	x.deadline = max(x.deadline, min(o.DeadlineMs, clock+testHoldMax.Milliseconds()))
	if o.Acknowledged > x.ack {
		x.ack = o.Acknowledged
		x.ended = slices.DeleteFunc(x.ended, func(e fleet.EndedRun) bool {
			if e.Number > x.ack {
				return false
			}
			if e.How == fleet.EndDone && e.Number > x.void {
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

// percent returns the progress of a run; a service task is at work at once, and
// until its stop is done.
func (r *fakeRun) percent(now time.Duration) int {
	if r.service || r.how == fleet.EndStopped {
		return 100
	}
	return int((now - r.begins) * 100 / max(r.ends-r.begins, 1))
}
