package cell

import (
	"time"

	"jacinthwind/core/estimate"
	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// Now is the time of an event.
type Now struct {
	// Monotonic is a monotonic clock that also advances while the VM is suspended.
	Monotonic time.Duration
	// UnixMs is the wall clock as Unix time in milliseconds.
	UnixMs int64
}

// Event is an input of the kernel.
type Event interface{ event() }

// Effect is an action that the kernel requests from its host.
type Effect interface{ effect() }

// CallID identifies a caller that waits for an answer.
type CallID int64

// The events that the host passes to Kernel.Step.
type (
	// Tick advances the time and triggers all decisions.
	Tick struct{}
	// Configured puts a configuration into force.
	Configured struct{ Configuration *fleet.Configuration }
	// ExecutorsListed replaces the list of executors.
	ExecutorsListed struct{ Executors []fleet.Executor }
	// ExecutorsChanged adds or updates executors in the list, and then removes others.
	ExecutorsChanged struct {
		Changed []fleet.Executor
		// Removed holds ids.
		Removed []string
	}
	// DataCentresEvacuated replaces the set of evacuated data centres.
	DataCentresEvacuated struct{ DataCentres []string }
	// WavesUpdated adds or updates maintenance waves.
	WavesUpdated struct{ Waves []fleet.Wave }
	// VMsListed replaces the list of VMs with the answer to a call that was sent at
	// RequestedAt.
	VMsListed struct {
		VMs         []fleet.VM
		RequestedAt time.Duration
	}
	// LeaseExtended reports the time until which the lease proves the ownership.
	LeaseExtended struct{ Until time.Duration }
	// OutageConfirmed reports that no other node reaches the store, so that none can
	// claim the pools before Until.
	OutageConfirmed struct{ Until time.Duration }
	// Submitted submits a job.
	Submitted struct {
		Call CallID
		Job  *job.Job
		// Attempt numbers the copies of a call that was sent again for want of an answer.
		Attempt int
		// Sent is when the caller asked at the earliest, and Deadline when it stops waiting;
		// both are zero if they are not known.
		Sent, Deadline time.Duration
	}
	// CancelRequested requests that a job be cancelled.
	CancelRequested struct {
		Call CallID
		Job  string
	}
	// Started is the answer to a Start with a token.
	Started struct {
		Executor string
		Task     string
		Run      int
		Token    int64
		Sent     time.Duration
		Answer   fleet.OrderAnswer
		// IsCarried is as in Renewed.
		IsCarried bool
	}
	// Stopped is the answer to a Stop with a token.
	Stopped struct {
		Executor string
		Task     string
		Run      int
		Token    int64
		Sent     time.Duration
		Answer   fleet.OrderAnswer
	}
	// Renewed is the answer to a Renew.
	Renewed struct {
		Order fleet.Renewal
		Sent  time.Duration
		State fleet.ExecutorState
		// IsCarried is set if the answer is not awaited any more, while a node may still carry
		// the renewal.
		IsCarried bool
	}
	// EndedJobsLoaded adds jobs that ended under earlier owners, so that callers get
	// answers for them and their records are removed in time. Jobs that the kernel knows
	// stay as they are.
	EndedJobsLoaded struct{ Jobs []EndedJob }
	// EstimatesLoaded passes what earlier owners have learnt of run times.
	EstimatesLoaded struct{ Estimates estimate.Stored }
	// Written reports that a Write is stored, but for the records of the rejected jobs.
	Written struct {
		Write int64
		// Revision is the latest revision of the store at which this owner is known to have
		// owned the pools. The claim of the next one has a higher one.
		Revision int64
		// Rejected holds the ids of the jobs whose records the store does not take.
		Rejected []string
	}
	// VMOrdered is the answer to an order for a VM.
	VMOrdered struct {
		VM      string
		Outcome fleet.VMOrderOutcome
	}
	// AdviceReceived is the answer to a RequestAdvice, or reports that there was none.
	AdviceReceived struct {
		Step      string
		Executors []string
		Sent      time.Duration
		Advice    fleet.Advice
		// Failed is set if the call was refused or got no answer.
		Failed bool
	}
)

func (Tick) event()                 {}
func (Configured) event()           {}
func (ExecutorsListed) event()      {}
func (ExecutorsChanged) event()     {}
func (DataCentresEvacuated) event() {}
func (WavesUpdated) event()         {}
func (VMsListed) event()            {}
func (LeaseExtended) event()        {}
func (OutageConfirmed) event()      {}
func (Submitted) event()            {}
func (CancelRequested) event()      {}
func (Started) event()              {}
func (Stopped) event()              {}
func (Renewed) event()              {}
func (EndedJobsLoaded) event()      {}
func (EstimatesLoaded) event()      {}
func (Written) event()              {}
func (VMOrdered) event()            {}
func (AdviceReceived) event()       {}

// EndedJob is a job that ended under an earlier owner.
type EndedJob struct {
	ID string
	// State is the final state, empty if it cannot be read.
	State job.State
	// EndedMs is the Unix time of the end in milliseconds.
	EndedMs int64
	// Parts is the number of parts of its stored progress.
	Parts int
}

// RemovedJob is a job whose records are no longer needed.
type RemovedJob struct {
	ID string
	// Parts is the number of parts of its stored progress.
	Parts int
}

// The effects that Kernel.Step returns.
type (
	// Start sends a start order.
	Start struct{ Order fleet.StartOrder }
	// Stop sends a stop order.
	Stop struct{ Order fleet.StopOrder }
	// Throttle sends a throttle order.
	Throttle struct{ Order fleet.ThrottleOrder }
	// Renew sends a renewal.
	Renew struct{ Order fleet.Renewal }
	// Write stores records; the host confirms it with Written and the same number.
	Write struct {
		Number int64
		Puts   []Record
		// Remove lists jobs whose records are no longer needed.
		Remove []RemovedJob
	}
	// Reply answers a waiting caller.
	Reply struct {
		Call   CallID
		Answer Answer
	}
	// MaintainVM orders the maintenance of a VM.
	MaintainVM struct {
		VM    string
		Wave  int
		Token int64
	}
	// MoveVM orders a VM to be moved into another pool.
	MoveVM struct {
		VM    string
		Pool  string
		Token int64
	}
	// ListVMs requests the list of VMs.
	ListVMs struct{}
	// RequestAdvice requests from the advice service which executors may run a step. The
	// host reports the answer, or that there was none within Timeout, with AdviceReceived.
	RequestAdvice struct {
		Step      string
		Executors []string
		Timeout   time.Duration
	}
	// Depose reports that a later owner exists; the kernel must not be used again.
	Depose struct{ Reason string }
	// Log reports a decision as a log event.
	Log struct {
		Event  event.Number
		Fields []any
	}
)

func (Start) effect()         {}
func (Stop) effect()          {}
func (Throttle) effect()      {}
func (Renew) effect()         {}
func (Write) effect()         {}
func (Reply) effect()         {}
func (MaintainVM) effect()    {}
func (MoveVM) effect()        {}
func (ListVMs) effect()       {}
func (RequestAdvice) effect() {}
func (Depose) effect()        {}
func (Log) effect()           {}

// RecordKind is the kind of a stored record.
type RecordKind string

// The kinds of records.
const (
	JobRecord      RecordKind = "job"
	ProgressRecord RecordKind = "progress"
	// ProgressPartRecord is a part of the progress of a job with many tasks.
	ProgressPartRecord RecordKind = "progress_part"
	WaveRecord         RecordKind = "wave"
	// WaveStatusRecord is the record that shows operators the state of a wave.
	WaveStatusRecord RecordKind = "wave_status"
	// VMOrdersRecord is the record of the VMs for which orders were recently sent.
	VMOrdersRecord RecordKind = "vm_orders"
	// EstimatesRecord is the record of what was learnt of run times.
	EstimatesRecord RecordKind = "estimates"
)

// Record is a value to be stored under a kind and a name.
type Record struct {
	Kind RecordKind
	Name string
	// Part is the number of a ProgressPartRecord within its job.
	Part  int
	Value any
}

// Verdict is the kind of an answer to a caller.
type Verdict string

// The verdicts.
const (
	Accepted Verdict = "accepted"
	// Refused means that the job was not accepted and will not run because of this
	// call.
	Refused Verdict = "refused"
	// Unservable means that no executor can ever run the job.
	Unservable Verdict = "unservable"
	// JobEnded means that the job has ended, by this cancel or before it.
	JobEnded Verdict = "ended"
	// NotFound means that the job or its queue does not exist.
	NotFound Verdict = "absent"
)

// Answer is the answer to a caller.
type Answer struct {
	Verdict Verdict `json:"verdict"`
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	Reason     string        `json:"reason,omitempty"`
	// Wait is how long the job would have waited for executors.
	Wait time.Duration `json:"wait,omitempty"`
	// ShareWait is how long the job would have waited if its team had its share and no more,
	// and BeyondShare is set if that is too long for its objective.
	ShareWait   time.Duration `json:"share_wait,omitempty"`
	BeyondShare bool          `json:"beyond_share,omitempty"`
}
