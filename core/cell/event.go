package cell

import (
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// Now is the time of an event.
type Now struct {
	// Mono is a clock that also counts while the VM is suspended.
	Mono time.Duration
	// UnixMs is the time of day in milliseconds.
	UnixMs int64
}

// Event is what happens to the kernel.
type Event interface{ event() }

// Effect is what the kernel asks its host to do.
type Effect interface{ effect() }

// CallID names a waiting caller.
type CallID int64

// The events.
type (
	// Tick lets time pass.
	Tick struct{}
	// Configured brings a configuration into force.
	Configured struct{ Configuration *fleet.Configuration }
	// Listed replaces the list of executors.
	Listed struct{ Executors []fleet.Executor }
	// Evacuated replaces the set of data centres that are out of service.
	Evacuated struct{ DataCentres []string }
	// WavesAsked replaces the list of maintenance waves.
	WavesAsked struct{ Waves []fleet.Wave }
	// VMsListed replaces the list of VMs by the answer to a question that was
	// asked at a time.
	VMsListed struct {
		VMs   []fleet.VM
		Asked time.Duration
	}
	// LeaseExtended says until when the ownership is proved.
	LeaseExtended struct{ Until time.Duration }
	// OutageConfirmed says that no other node has the store, so that none can claim
	// the pools before a time.
	OutageConfirmed struct{ Until time.Duration }
	// Submitted hands a job in.
	Submitted struct {
		Call CallID
		Job  *job.Job
	}
	// CancelAsked cancels a job.
	CancelAsked struct {
		Call CallID
		Job  string
	}
	// Started is the answer to a Start.
	Started struct {
		Executor string
		Task     string
		Run      int
		Sent     time.Duration
		Answer   fleet.OrderAnswer
	}
	// Stopped is the answer to a Stop.
	Stopped struct {
		Executor string
		Task     string
		Run      int
		Sent     time.Duration
		Answer   fleet.OrderAnswer
	}
	// Renewed is the answer to a Renew.
	Renewed struct {
		Executor string
		Sent     time.Duration
		State    fleet.ExecutorState
	}
	// Written says that a Write is stored.
	Written struct{ Write int64 }
	// VMOrdered is the answer to an order for a VM.
	VMOrdered struct {
		VM      string
		Outcome fleet.VMOrderOutcome
	}
	// Advised is the answer to an AskAdvice; it names nobody when the call failed.
	Advised struct {
		Step   string
		Asked  []string
		Sent   time.Duration
		Advice fleet.Advice
	}
)

func (Tick) event()            {}
func (Configured) event()      {}
func (Listed) event()          {}
func (Evacuated) event()       {}
func (WavesAsked) event()      {}
func (VMsListed) event()       {}
func (LeaseExtended) event()   {}
func (OutageConfirmed) event() {}
func (Submitted) event()       {}
func (CancelAsked) event()     {}
func (Started) event()         {}
func (Stopped) event()         {}
func (Renewed) event()         {}
func (Written) event()         {}
func (VMOrdered) event()       {}
func (Advised) event()         {}

// The effects.
type (
	// Start sends a start order.
	Start struct{ Order fleet.StartOrder }
	// Stop sends a stop order.
	Stop struct{ Order fleet.StopOrder }
	// Pace sends a pace order.
	Pace struct{ Order fleet.PaceOrder }
	// Renew sends a renewal.
	Renew struct{ Order fleet.Renewal }
	// Write stores records; Written follows with its number.
	Write struct {
		Number int64
		Puts   []Record
		// Remove lists jobs whose records are no longer needed.
		Remove []string
	}
	// Reply answers a waiting caller.
	Reply struct {
		Call   CallID
		Answer Answer
	}
	// MaintainVM orders a VM's maintenance.
	MaintainVM struct {
		VM    string
		Wave  int
		Token int64
	}
	// MoveVM orders a VM into another pool.
	MoveVM struct {
		VM    string
		Pool  string
		Token int64
	}
	// ListVMs asks for the list of VMs.
	ListVMs struct{}
	// AskAdvice asks which executors may run a step.
	AskAdvice struct {
		Step      string
		Executors []string
	}
	// Depose says that a later owner was met; the kernel must not be used again.
	Depose struct{ Reason string }
	// Log is a line on a decision.
	Log struct {
		Event  event.Number
		Fields []any
	}
)

func (Start) effect()      {}
func (Stop) effect()       {}
func (Pace) effect()       {}
func (Renew) effect()      {}
func (Write) effect()      {}
func (Reply) effect()      {}
func (MaintainVM) effect() {}
func (MoveVM) effect()     {}
func (ListVMs) effect()    {}
func (AskAdvice) effect()  {}
func (Depose) effect()     {}
func (Log) effect()        {}

// RecordKind tells what a stored record holds.
type RecordKind string

// The kinds of records.
const (
	JobRecord      RecordKind = "job"
	ProgressRecord RecordKind = "progress"
	WaveRecord     RecordKind = "wave"
	// WaveStatus is the record by which operators see a wave's state.
	WaveStatus RecordKind = "wave_status"
	// VMOrders is the record of the VMs that were ordered for lately.
	VMOrders RecordKind = "vm_orders"
)

// Record is a value to store under a kind and a name.
type Record struct {
	Kind  RecordKind
	Name  string
	Value any
}

// Verdict is the kind of an answer to a caller.
type Verdict string

// The verdicts.
const (
	Accepted Verdict = "accepted"
	// Refused means that the job was not taken and never runs from this call.
	Refused Verdict = "refused"
	// Unservable means that no executor can ever run the job.
	Unservable Verdict = "unservable"
	// Ended means that the job was cancelled.
	Ended Verdict = "ended"
	// Absent means that there is no such job.
	Absent Verdict = "absent"
)

// Answer is what a caller is told.
type Answer struct {
	Verdict Verdict `json:"verdict"`
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	Reason     string        `json:"reason,omitempty"`
	// Wait is how long the job would have waited for executors.
	Wait time.Duration `json:"wait,omitempty"`
}
