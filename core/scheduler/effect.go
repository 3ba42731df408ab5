package scheduler

import (
	"time"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

// Start sends a task to an executor.
type Start struct {
	Address string
	Task    core.Task
	// GiveUpAt is when the sender stops waiting for the answer.
	GiveUpAt time.Time
}

// Reply delivers a result to a waiter.
type Reply struct {
	Waiter WaiterID
	Result core.Result
	// Accepted is false if the pool did not accept the request, which may then be
	// sent to another owner.
	Accepted bool
}

// Stop orders an executor to stop a running task.
type Stop struct {
	Address string
	Attempt core.AttemptID
}

// Poll requests a usage report from an executor and renews task leases.
type Poll struct {
	Executor string
	Address  string
	Renew    []core.LeaseRenewal
}

// LimitReport reports to a team's home how much of the limit the pool holds and
// how much more it wants.
type LimitReport struct {
	Team string
	Seq  uint64
	// Held is the number of tasks that the pool commits to stay within, -1 if
	// its owner does not know.
	Held int
	// Want is the number of further tasks that the pool would run.
	Want int
}

// Effects holds the outputs of one step. They are valid until the next step.
type Effects struct {
	Starts       []Start
	Replies      []Reply
	Stops        []Stop
	Polls        []Poll
	LimitReports []LimitReport
	Notes        []event.Note
}

// reset empties the effects and keeps the allocated slices for the next step.
func (e *Effects) reset() {
	clear(e.Starts)
	clear(e.Replies)
	clear(e.Polls)
	e.Starts = e.Starts[:0]
	e.Replies = e.Replies[:0]
	e.Stops = e.Stops[:0]
	e.Polls = e.Polls[:0]
	e.LimitReports = e.LimitReports[:0]
	e.Notes = e.Notes[:0]
}
