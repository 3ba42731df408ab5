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

// Submit hands in a request.
type Submit struct {
	Request *core.Request
	Waiter  WaiterID
	// SentAt is when the entry node sent this copy of the request.
	SentAt time.Time
}

// Cancel withdraws a request.
type Cancel struct {
	Key    RequestKey
	Waiter WaiterID
}

// Query asks for the state of a request.
type Query struct {
	Key    RequestKey
	Waiter WaiterID
}

// AttemptEnded tells how an attempt that this kernel started has ended.
type AttemptEnded struct {
	Attempt core.AttemptID
	Result  core.AttemptResult
}

// UsageReported is an executor's report, asked for at AskedAt.
type UsageReported struct {
	Executor string
	AskedAt  time.Time
	Usage    core.Usage
}

// UsageFailed tells that an executor gave no report.
type UsageFailed struct {
	Executor string
}

// LimitGranted is the answer of a team's home to an Exchange.
type LimitGranted struct {
	Team      string
	HomeEpoch uint64
	Seq       uint64
	// Granted is the number of tasks that may run in this pool.
	Granted int
	// Target is the part of the limit that the pool should come down to.
	Target int
	// Unknown means that the home is recovering and gives nothing yet.
	Unknown bool
}

// HomeChanged tells that another node became the home of a team's limit.
type HomeChanged struct {
	Team string
}

// ConfigChanged puts a configuration in force.
type ConfigChanged struct {
	View *config.View
}

// Freeze stops dispatching and returns waiting requests, before a handover.
type Freeze struct{}

// Tick lets time-driven decisions happen.
type Tick struct {
	// OwnedUntil is when the node's ownership ends, zero where it has no end.
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
