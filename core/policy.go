package core

import "time"

// TeamLoad is what an Order knows of a team that waits for a pool.
type TeamLoad struct {
	Name  string
	Share int
	// VirtualTime is the charged slot time in seconds divided by the share.
	VirtualTime float64
	// HeadArrival is when the oldest waiting request of the compared priority
	// arrived.
	HeadArrival time.Time
	// LastStart is the number of the team's latest start.
	LastStart uint64
}

// Order decides which of the waiting teams starts next.
type Order interface {
	// Before reports whether a starts before b.
	Before(a, b *TeamLoad) bool
}

// ExecutorLoad is what a Placement knows of an executor that has a free slot.
type ExecutorLoad struct {
	Name       string
	DataCentre string
	Rack       string
	Slots      int
	// Running counts all attempts that are not proved ended.
	Running int
}

// Placement decides on which of the executors with a free slot a task starts.
type Placement interface {
	// Better reports whether a is a better place than b for a task that has
	// already been tried on the executor in tried, nil where there is none.
	Better(a, b, tried *ExecutorLoad) bool
}

// Orders holds the plug-ins for the order of teams.
var Orders Registry[func() Order]

// Placements holds the plug-ins for the choice of executors.
var Placements Registry[func() Placement]
