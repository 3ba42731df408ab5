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

// Reply gives a result to a waiter.
type Reply struct {
	Waiter WaiterID
	Result core.Result
	// Taken is false when the request was not taken and may be sent elsewhere.
	Taken bool
}

// Stop ends a running task early.
type Stop struct {
	Address string
	Attempt core.AttemptID
}

// Poll asks an executor for its usage and renews task leases.
type Poll struct {
	Executor string
	Address  string
	Renew    []core.LeaseRenewal
}

// Exchange tells a team's home what the pool holds of the limit and wants.
type Exchange struct {
	Team string
	Seq  uint64
	// Held is the number of tasks the pool commits itself to stay within; -1
	// where the pool does not know.
	Held int
	// Want is the number of further tasks that the pool would run.
	Want int
}

// Effects are the outputs of one step; they are valid until the next step.
type Effects struct {
	Starts    []Start
	Replies   []Reply
	Stops     []Stop
	Polls     []Poll
	Exchanges []Exchange
	Notes     []event.Note
}

func (e *Effects) reset() {
	clear(e.Starts)
	clear(e.Replies)
	clear(e.Polls)
	e.Starts = e.Starts[:0]
	e.Replies = e.Replies[:0]
	e.Stops = e.Stops[:0]
	e.Polls = e.Polls[:0]
	e.Exchanges = e.Exchanges[:0]
	e.Notes = e.Notes[:0]
}
