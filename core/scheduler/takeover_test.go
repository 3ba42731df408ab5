package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/core/scheduler"
)

// handOver freezes the owner and makes the next one from its state.
func (b *bench) handOver() *scheduler.Kernel {
	b.step(&scheduler.Freeze{})
	old := b.kernel
	b.own(scheduler.Activation{State: old.Snapshot()})
	return old
}

func TestIDsFromBeforeATakeoverDoNotRun(t *testing.T) {
	b := newBench(t, nil)
	before := b.request("before", "a", nil)
	b.advance(time.Second)
	b.own(scheduler.Activation{})
	w := b.submit(before)
	b.requireReply(w, core.Unknown, core.ReasonIDBeforeTakeover)
	b.advance(1200 * time.Millisecond)
	b.usage(nil)
	after := b.submit(b.request("after", "a", nil))
	b.advance(time.Second)
	require.Len(t, b.starts, 1)
	require.Equal(t, "after", b.starts[0].Task.RequestID)
	require.NotContains(t, b.replies, after)
}

// TestRefusalAfterATakeoverIsUnknown covers idempotent work that the vanished
// owner may have run.
func TestRefusalAfterATakeoverIsUnknown(t *testing.T) {
	b := newBench(t, nil)
	r := b.request("r", "a", func(r *core.Request) { r.Idempotent = true })
	b.advance(time.Second)
	b.own(scheduler.Activation{})
	r.Deadline = b.now
	b.requireReply(b.submit(r), core.Unknown, core.ReasonDeadlinePassed)
}

func TestUnprovedTasksCountAfterATakeover(t *testing.T) {
	b := newBench(t, func(d *config.Document) { d.Register.Teams[0].Limit = 3 })
	b.submit(b.request("r", "a", nil))
	running := core.RunningTask{
		Attempt: b.starts[0].Task.Attempt, RequestID: "r", Team: "a", LeaseUntil: b.now.Add(10 * time.Second),
	}
	b.own(scheduler.Activation{})
	for i := range 5 {
		b.submit(b.request(fmt.Sprint(i), "a", func(r *core.Request) { r.Idempotent = true }))
	}
	require.Len(t, b.starts, 1, "nothing starts before the executors have reported")
	b.advance(1500 * time.Millisecond)
	b.usage(map[string][]core.RunningTask{"vm0": {running}})
	b.advance(200 * time.Millisecond)
	require.Len(t, b.starts, 3, "the task of the vanished owner counts")
}

// TestPausedOwnerRefusesNothing covers an owner that wakes up after the end of
// its ownership with a request whose deadline has passed meanwhile.
func TestPausedOwnerRefusesNothing(t *testing.T) {
	b := newBench(t, nil)
	for i := range 8 {
		b.submit(b.request(fmt.Sprint(i), "a", nil))
	}
	waiting := b.submit(b.request("waiting", "a", func(r *core.Request) { r.Deadline = b.now.Add(time.Second) }))
	b.until = b.now.Add(500 * time.Millisecond)
	b.step(&scheduler.Tick{OwnedUntil: b.until})
	b.now = b.now.Add(time.Minute)
	b.step(&scheduler.Tick{OwnedUntil: b.until})
	require.False(t, b.replies[waiting].Taken)
	require.Equal(t, core.ReasonNotOwner, b.replies[waiting].Result.Reason)
	late := b.submit(b.request("late", "a", nil))
	require.False(t, b.replies[late].Taken)
	require.Len(t, b.starts, 8)
}

// TestFrozenOwnerSaysNothingIsNotRun covers a cancelled task that an executor
// refuses after the handover, while the next owner may run another copy.
func TestFrozenOwnerSaysNothingIsNotRun(t *testing.T) {
	b := newBench(t, nil)
	w := b.submit(b.request("r", "a", nil))
	b.step(&scheduler.Cancel{Key: scheduler.RequestKey{Queue: "q", Team: "a", ID: "r"}})
	b.step(&scheduler.Freeze{})
	b.end(0, core.AttemptRefused)
	b.requireReply(w, core.Unknown, core.ReasonCancelled)
}

func TestFrozenOwnerReportsNothing(t *testing.T) {
	b := newBench(t, nil)
	b.submit(b.request("r", "a", nil))
	b.step(&scheduler.Freeze{})
	b.reports = nil
	b.end(0, core.AttemptAnswered)
	b.advance(5 * time.Second)
	require.Empty(t, b.reports, "the next owner speaks for the pool")
}

func TestHandoverKeepsRecordsAndRunningTasks(t *testing.T) {
	b := newBench(t, nil)
	done := b.request("done", "a", nil)
	b.submit(done)
	b.end(0, core.AttemptAnswered)
	running := b.request("running", "a", nil)
	b.submit(running)
	b.handOver()
	repeated := b.submit(done)
	b.requireReply(repeated, core.Done, core.ReasonAnswerExpired)
	attached := b.submit(running)
	require.NotContains(t, b.replies, attached)
	b.step(&scheduler.AttemptEnded{Attempt: b.starts[1].Task.Attempt, Result: core.AttemptResult{}})
	b.requireReply(attached, core.Done, core.ReasonNone)
	require.Len(t, b.starts, 2)
}

func TestAdoptedTasks(t *testing.T) {
	tests := []struct {
		name  string
		lost  bool
		end   core.AttemptStatus
		taken bool
		reply core.Outcome
	}{
		{"a refused task goes back to its entry node", false, core.AttemptRefused, false, core.NotRun},
		{"a task with an earlier lost attempt goes back in doubt", true, core.AttemptRefused, false, core.Unknown},
		{"a lost task is unknown", false, core.AttemptLost, true, core.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, nil)
			r := b.request("r", "a", func(r *core.Request) { r.Idempotent = true })
			b.submit(r)
			if tt.lost {
				b.end(0, core.AttemptLost)
				b.advance(time.Second)
			}
			last := b.starts[len(b.starts)-1].Task.Attempt
			started := len(b.starts)
			b.handOver()
			w := b.submit(r)
			b.step(&scheduler.AttemptEnded{Attempt: last, Result: core.AttemptResult{Status: tt.end}})
			b.advance(time.Second)
			require.Equal(t, tt.taken, b.replies[w].Taken)
			require.Equal(t, tt.reply, b.replies[w].Result.Outcome)
			require.Len(t, b.starts, started, "the request itself stayed with the predecessor")
		})
	}
}

// TestDoubtSurvivesAHandover covers an owner that took over from a vanished
// one and hands over before the executors have reported.
func TestDoubtSurvivesAHandover(t *testing.T) {
	b := newBench(t, nil)
	b.advance(time.Second)
	b.own(scheduler.Activation{})
	b.handOver()
	b.submit(b.request("r", "a", func(r *core.Request) { r.Idempotent = true }))
	b.advance(300 * time.Millisecond)
	require.Empty(t, b.starts)
}

// TestStartsOfTheOwnerBeforeLast covers a task that an owner sent just before
// it handed over to one that vanished at once.
func TestStartsOfTheOwnerBeforeLast(t *testing.T) {
	b := newBench(t, nil)
	b.submit(b.request("r", "a", nil))
	startBy := b.starts[0].Task.StartBy
	b.handOver()
	b.own(scheduler.Activation{})
	b.submit(b.request("r2", "a", func(r *core.Request) { r.Idempotent = true }))
	for b.now.Before(startBy) {
		b.advance(25 * time.Millisecond)
		b.usage(nil)
		require.Len(t, b.starts, 1, "an executor counts as proved only when no earlier task can start")
	}
}

func TestLateCopiesAreNotTaken(t *testing.T) {
	b := newBench(t, nil)
	r := b.request("r", "a", nil)
	b.step(&scheduler.Submit{Request: r, Waiter: 50, SentAt: b.now.Add(-scheduler.DefaultForwardWindow - time.Millisecond)})
	require.False(t, b.replies[50].Taken)
	require.Equal(t, core.ReasonStaleForward, b.replies[50].Result.Reason)
	require.Empty(t, b.starts)
}

// report gives an unsolicited report of executors without running tasks.
func (b *bench) report(executors ...string) {
	for _, name := range executors {
		b.step(&scheduler.UsageReported{
			Executor: name, AskedAt: b.now, Usage: core.Usage{Executor: name, Instance: "1", Slots: 2},
		})
	}
}

func TestDoubtfulExecutorsCountAgainstTheRoom(t *testing.T) {
	b := newBench(t, func(d *config.Document) { d.Register.Teams[0].Limit = 7 })
	b.advance(time.Second)
	b.grants = false
	b.own(scheduler.Activation{})
	b.submit(b.request("r", "a", func(r *core.Request) { r.Idempotent = true }))
	b.advance(1200 * time.Millisecond)
	last := b.reports[len(b.reports)-1]
	require.Equal(t, -1, last.Held, "the new owner does not know what the pool holds")
	b.step(&scheduler.LimitGranted{Team: "a", HomeEpoch: 1, Seq: last.Seq, Granted: 6, Target: -1})
	b.report("vm0")
	require.Empty(t, b.starts, "six tasks of the vanished owner may run on the others")
	b.report("vm1")
	require.Len(t, b.starts, 1, "at most four may")
}

func TestReportsFromBeforeTheLastStartProveNothing(t *testing.T) {
	b := newBench(t, func(d *config.Document) { d.Register.Queues[0].Open = true })
	b.advance(time.Second)
	b.own(scheduler.Activation{})
	b.report("vm0", "vm1", "vm2", "vm3")
	b.submit(b.request("r", scheduler.AnonymousTeam, func(r *core.Request) { r.Idempotent = true }))
	require.Empty(t, b.starts)
	b.advance(1200 * time.Millisecond)
	b.usage(nil)
	require.Len(t, b.starts, 1)
}
