package scheduler

import (
	"time"

	"jacinthwind/core"
	"jacinthwind/core/config"
)

// Event is an input of the kernel.
type Event interface{ isEvent() }

// WaiterID identifies a party that waits for the result of a request.
type WaiterID uint64

// Submit submits a request.
type Submit struct {
	Request *core.Request
	Waiter  WaiterID
	// SentAt is when the entry node sent this copy of the request.
	SentAt time.Time
}

// Cancel cancels a request.
type Cancel struct {
	Key    RequestKey
	Waiter WaiterID
}

// Query requests the state of a request.
type Query struct {
	Key    RequestKey
	Waiter WaiterID
}

// AttemptEnded reports how an attempt ended, as seen by its sender.
type AttemptEnded struct {
	Attempt core.AttemptID
	Result  core.AttemptResult
}

// UsageReported delivers the usage report that was requested from the executor at an
// address at RequestedAt.
type UsageReported struct {
	Executor    string
	Address     string
	RequestedAt time.Time
	Usage       core.Usage
}

// UsageFailed reports that the executor at an address did not answer a usage poll.
type UsageFailed struct {
	Executor string
	Address  string
}

// LimitGranted delivers the answer of a team's home to a LimitReport.
type LimitGranted struct {
	Team      string
	HomeEpoch uint64
	Seq       uint64
	// Granted is the number of the team's tasks that may run in this pool.
	Granted int
	// Target is the number that the pool should reduce its grant to, negative
	// if there is none.
	Target int
	// Unknown means that the home is recovering and grants nothing yet.
	Unknown bool
}

// HomeChanged reports that another node became the home of a team's limit.
type HomeChanged struct {
	Team string
}

// ConfigChanged puts a configuration in force.
type ConfigChanged struct {
	View *config.View
}

// Freeze stops dispatching before a handover and returns the requests that have
// no attempt in progress.
type Freeze struct{}

// Tick triggers the decisions that depend on time: deadlines, retries, polls
// and limit reports.
type Tick struct {
	// OwnedUntil is when the node's ownership ends. Zero means that it has no
	// end.
	OwnedUntil time.Time
}

func (*Submit) isEvent()        {}
func (*Cancel) isEvent()        {}
func (*Query) isEvent()         {}
func (*AttemptEnded) isEvent()  {}
func (*UsageReported) isEvent() {}
func (*UsageFailed) isEvent()   {}
func (*LimitGranted) isEvent()  {}
func (*HomeChanged) isEvent()   {}
func (*ConfigChanged) isEvent() {}
func (*Freeze) isEvent()        {}
func (*Tick) isEvent()          {}
