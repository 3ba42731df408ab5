package core

import "time"

// TeamLoad describes a team with waiting requests to a TeamOrder.
type TeamLoad struct {
	Name  string
	Share int
	// VirtualTime is the slot time charged to the team in seconds, divided by its
	// share.
	VirtualTime float64
	// HeadArrival is the arrival time of the team's oldest waiting request of the
	// priority that is compared.
	HeadArrival time.Time
	// LastStartSeq is the sequence number of the team's latest start.
	LastStartSeq uint64
}

// TeamOrder ranks the teams with waiting requests for the next start.
type TeamOrder interface {
	// Before reports whether a request of team a starts before one of team b.
	Before(a, b *TeamLoad) bool
}

// ExecutorLoad describes an executor with a free slot to a Placement.
type ExecutorLoad struct {
	// Name is the name of its VM.
	Name       string
	DataCentre string
	Rack       string
	Slots      int
	// Running counts the attempts that are not known to have ended.
	Running int
}

// Placement ranks the executors with a free slot for the start of a task.
type Placement interface {
	// Better reports whether executor a suits a task better than b; tried is the
	// executor of an earlier attempt, or nil.
	Better(a, b, tried *ExecutorLoad) bool
}

// TeamOrders registers the plug-ins that order teams.
var TeamOrders Registry[func() TeamOrder]

// Placements registers the plug-ins that choose executors.
var Placements Registry[func() Placement]
