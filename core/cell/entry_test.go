package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// nextIncarnations changes what an executor is with its next incarnation, so that a task of
// labelledTask may not start there.
var nextIncarnations = map[string]func(*fakeExecutor){
	"another kind": func(x *fakeExecutor) { x.Labels = []string{"b", "r1-1"} },
	"less room": func(x *fakeExecutor) {
		x.Capacity, x.room = fleet.Vector{CPU: 500, Mem: 8000}, fleet.Vector{CPU: 500, Mem: 8000}
	},
	"another pool": func(x *fakeExecutor) { x.Pool = "other" },
	"draining":     func(x *fakeExecutor) { x.Draining = true },
}

// labelledTask returns a job of one task that the first incarnation of each executor may run.
func labelledTask(n int) *job.Job {
	j := simpleJob(n, 1, 1000)
	j.Steps[0].Label = "a"
	return j
}

// restartAs lets an executor crash and start again as another incarnation. Owners still read the
// entry of the one before.
func (w *world) restartAs(x *fakeExecutor, change func(*fakeExecutor)) {
	entry := x.Executor
	x.oldEntry = &entry
	w.crashFor(x, 300*time.Millisecond)
	change(x)
}

// TestTaskStartsByEntryOfEarlierIncarnation guards against starts in a new incarnation by the labels,
// the room, the pool or the state that the entry of the one before names (review/12, ROUTE).
func TestTaskStartsByEntryOfEarlierIncarnation(t *testing.T) {
	for way, learn := range map[string]func(w *world, x *fakeExecutor){
		"the owner learns of it by an answer": func(*world, *fakeExecutor) {},
		"the next owner has known no other":   func(w *world, _ *fakeExecutor) { w.replaceOwner() },
		"its clock is known before its start": func(w *world, x *fakeExecutor) {
			w.step(cell.Stopped{Executor: x.ID, Sent: w.now, Answer: fleet.OrderAnswer{Outcome: fleet.OrderDone, ClockMs: 1}})
		},
		"its entry is replaced by a late write of the one before": func(w *world, x *fakeExecutor) {
			w.step(cell.ExecutorsChanged{Changed: []fleet.Executor{x.Executor}})
			w.advance(100 * time.Millisecond)
			w.listExecutors()
		},
		"its entry is gone for a while, and the one before is back": func(w *world, x *fakeExecutor) {
			w.advance(3 * time.Second)
			w.step(cell.ExecutorsChanged{Removed: []string{x.ID}})
			w.advance(100 * time.Millisecond)
			w.listExecutors()
		},
		"another writer names no start": func(w *world, x *fakeExecutor) {
			w.advance(3 * time.Second)
			other := *x.oldEntry
			other.StartedMs = 0
			w.step(cell.ExecutorsChanged{Changed: []fleet.Executor{other}})
		},
		"another writer names a later start": func(w *world, x *fakeExecutor) {
			w.advance(3 * time.Second)
			other := *x.oldEntry
			other.StartedMs = x.StartedMs + 1
			w.step(cell.ExecutorsChanged{Changed: []fleet.Executor{other}})
		},
	} {
		for change, next := range nextIncarnations {
			t.Run(way+", "+change, func(t *testing.T) {
				w, x := newIdleWorld(t, 5*time.Second, time.Second)
				w.changeConfiguration(func(c *fleet.Configuration) { c.Pools = append(c.Pools, fleet.Pool{Name: "other"}) })
				w.restartAs(x, next)
				learn(w, x)
				w.advance(3 * time.Second)
				j := labelledTask(1)
				j.Steps[0].Service = true
				w.submitJob(j)
				w.advance(time.Second)
				require.Zero(t, w.starts[taskOf(1, 0)], "the task starts by an entry of an earlier incarnation")
				x.oldEntry = nil
				w.listExecutors()
				w.advance(time.Second)
				require.Zero(t, w.starts[taskOf(1, 0)], "the task starts against the entry")
				w.join("e1")
				w.advance(time.Second)
				require.Equal(t, map[string]int{"e1": 1}, w.countRuns(j.ID))
			})
		}
	}
}

// TestNewIncarnationServesByItsOwnEntry guards against executors that stay unused after a restart, or
// because of an entry that another incarnation or another writer has left.
func TestNewIncarnationServesByItsOwnEntry(t *testing.T) {
	become := func(x *fakeExecutor) { x.Labels = []string{"new", "r1-1"} }
	for name, show := range map[string]func(w *world, x *fakeExecutor){
		"the entry comes before the first answer": func(w *world, x *fakeExecutor) {
			w.step(cell.ExecutorsChanged{Changed: []fleet.Executor{x.Executor}})
			w.advance(100 * time.Millisecond)
		},
		"the entry comes before the first answer, which shows the clock alone": func(w *world, x *fakeExecutor) {
			w.step(cell.ExecutorsChanged{Changed: []fleet.Executor{x.Executor}})
			w.step(cell.Stopped{Executor: x.ID, Sent: w.now, Answer: fleet.OrderAnswer{Outcome: fleet.OrderDone, ClockMs: 1}})
			w.advance(100 * time.Millisecond)
		},
		"the entry comes after it": func(w *world, x *fakeExecutor) {
			w.advance(3 * time.Second)
			w.step(cell.ExecutorsChanged{Changed: []fleet.Executor{x.Executor}})
		},
		"an older one comes after it": func(w *world, x *fakeExecutor) {
			w.step(cell.ExecutorsChanged{Changed: []fleet.Executor{x.Executor}})
			w.advance(3 * time.Second)
			w.step(cell.ExecutorsChanged{Changed: []fleet.Executor{*x.oldEntry}})
		},
		"one with a later start, which no answer shows, comes after it": func(w *world, x *fakeExecutor) {
			w.step(cell.ExecutorsChanged{Changed: []fleet.Executor{x.Executor}})
			w.advance(3 * time.Second)
			other := *x.oldEntry
			other.StartedMs = x.StartedMs + 1
			w.step(cell.ExecutorsChanged{Changed: []fleet.Executor{other}})
			w.advance(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w, x := newIdleWorld(t, 5*time.Second, 100*time.Millisecond)
			w.restartAs(x, become)
			show(w, x)
			j := labelledTask(1)
			j.Steps[0].Label = "new"
			w.submitJob(j)
			w.advance(3 * time.Second)
			w.requireSuccess(taskOf(1, 0))
		})
	}
}

// TestIncarnationWithEarlierStartIsReached guards against an executor that is not found again since its
// time of day was set back: its entry names another address, and an earlier start than before.
func TestIncarnationWithEarlierStartIsReached(t *testing.T) {
	w, x := newIdleWorld(t, 5*time.Second, 100*time.Millisecond)
	w.restart(x)
	w.advance(3 * time.Second)
	w.crashFor(x, 300*time.Millisecond)
	x.StartedMs, x.Address = x.StartedMs-10_000, "elsewhere"
	w.listExecutors()
	w.advance(5 * time.Second)
	task := w.submitTask(1)
	w.advance(time.Second)
	w.requireSuccess(task)
}

// TestLabelledTaskStartsInUnnoticedIncarnation guards against a task that runs on an executor without
// its label: the executor has started again as another kind, and no call has shown it yet. A renewal
// may be open, whose connection was not reset (found beside review/12, ROUTE).
func TestLabelledTaskStartsInUnnoticedIncarnation(t *testing.T) {
	for shift := range 25 {
		for name, prepare := range map[string]func(*world, *job.Job){
			"a task":            func(*world, *job.Job) {},
			"a gang":            func(_ *world, j *job.Job) { j.Steps[0].Count, j.Steps[0].Gang = 2, true },
			"a task beside one": func(w *world, _ *job.Job) { w.submitTask(2) },
		} {
			t.Run(fmt.Sprintf("%s after %d", name, shift), func(t *testing.T) {
				w, x := newIdleWorld(t, 5*time.Second+time.Duration(shift)*100*time.Millisecond, 2*time.Second)
				j := labelledTask(1)
				prepare(w, j)
				w.advance(time.Second)
				w.restartAs(x, nextIncarnations["another kind"])
				w.submitJob(j)
				w.advance(3 * time.Second)
				require.Zero(t, w.starts[taskOf(1, 0)])
				w.join("e1")
				w.advance(4 * time.Second)
				require.Equal(t, job.Succeeded, w.jobState(j.ID))
			})
		}
	}
}

// TestLabelledTaskWaitsForOneAnswer guards against labelled tasks that wait for longer than it takes to
// ask an executor that is idle, or whose open renewal waits for the end of a run.
func TestLabelledTaskWaitsForOneAnswer(t *testing.T) {
	w, _ := newIdleWorld(t, 5*time.Second+900*time.Millisecond, time.Second)
	w.submitJob(labelledTask(1))
	w.advance(5 * testStep)
	require.Equal(t, 1, w.starts[taskOf(1, 0)])
	w.holdsRenewals = true
	w.advance(600 * time.Millisecond)
	w.submitJob(labelledTask(2))
	w.advance(5 * testStep)
	require.Equal(t, 1, w.starts[taskOf(2, 0)])
}

// TestLabelledTaskAsksForTicketsAtOnce guards against a call for advice that names no executor, since
// none has been shown yet: the step would wait for the next call.
func TestLabelledTaskAsksForTicketsAtOnce(t *testing.T) {
	w := newAdvisedWorld(t, 2, fleet.AdviceTimes{Base: 5 * time.Millisecond, TicketLife: 3 * time.Second})
	w.advance(4*time.Second + 900*time.Millisecond)
	w.submitJob(labelledTask(1))
	w.advance(10 * testStep)
	require.Equal(t, 1, w.starts[taskOf(1, 0)])
	require.Equal(t, 1, w.advisor.handled)
}

// TestEntriesWithoutStartServe guards against an executor that gets no work since its entries name no
// start, and against starts by those that were read before its incarnation was noticed.
func TestEntriesWithoutStartServe(t *testing.T) {
	w, _ := newIdleWorld(t, time.Second, 100*time.Millisecond)
	w.executors["e0"].Draining = true
	w.addExecutor("e1")
	x := w.executors["e1"]
	list := func() {
		undated := x.Executor
		undated.StartedMs, x.oldEntry = 0, &undated
		w.listExecutors()
		w.advance(time.Second)
	}
	list()
	w.submitJob(labelledTask(1))
	w.advance(time.Second)
	w.requireSuccess(taskOf(1, 0))
	w.crashFor(x, 300*time.Millisecond)
	nextIncarnations["another kind"](x)
	w.advance(3 * time.Second)
	lasting := labelledTask(2)
	lasting.Steps[0].Service = true
	w.submitJob(lasting)
	w.advance(time.Second)
	require.Zero(t, w.starts[taskOf(2, 0)])
	list()
	w.requireSuccess(w.submitAndAwait(3))
	w.replaceOwner()
	w.advance(time.Second)
	w.requireSuccess(w.submitAndAwait(4))
}

// submitAndAwait submits a job of one task, waits for a second, and returns the id of the task.
func (w *world) submitAndAwait(n int) string {
	task := w.submitTask(n)
	w.advance(time.Second)
	return task
}

// TestWaitForEntryIsLogged guards against an executor that gets no work without a line that says why.
func TestWaitForEntryIsLogged(t *testing.T) {
	w, x := newIdleWorld(t, 5*time.Second, time.Second)
	w.restartAs(x, nextIncarnations["another kind"])
	w.advance(3 * time.Second)
	waits := w.loggedEvents(event.ExecutorUndescribed)
	require.Len(t, waits, 1)
	require.Equal(t, map[string]any{"executor": "e0", "born": x.StartedMs, "entry_born": int64(1), "described_born": int64(1)}, waits[0])
	x.oldEntry = nil
	w.listExecutors()
	require.Len(t, w.loggedEvents(event.ExecutorDescribed), 1)
}
