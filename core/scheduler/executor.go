package scheduler

import (
	"time"

	"jacinthwind/core"
)

// executor is the kernel's state of one executor.
type executor struct {
	core.ExecutorLoad
	address     string
	connections int
	// inService means that the executor is registered in this pool, on a VM
	// that is not leaving and in a data centre that is in service.
	inService bool
	// removed means that the executor is no longer registered in this pool.
	removed  bool
	draining bool
	// reconciled means that all tasks that earlier owners started on the
	// executor are known.
	reconciled bool
	// mayRunOrphans means that unknown tasks of a failed owner may run on the
	// executor.
	mayRunOrphans bool
	// instance identifies the incarnation of the executor's process.
	instance string

	attempts []*attempt
	pollAt   time.Time
	polling  bool

	health health
	// freeIndex is the position in the kernel's list of free executors, -1 if
	// it is not in the list.
	freeIndex int
}

// maxTasks returns the number of tasks that the executor may run at once.
func (e *executor) maxTasks() int {
	return min(e.Slots, e.connections)
}

// hasSlot reports whether e has a free slot for a task, regardless of
// quarantine.
func (e *executor) hasSlot() bool {
	return e.inService && !e.draining && e.reconciled && e.Running < e.maxTasks()
}

// isEligible reports whether t may start on e now.
func (e *executor) isEligible(t *task, now time.Time) bool {
	return e.hasSlot() && e.health.admits(e, t, now)
}

// attempt is one execution of a task that may still be running.
type attempt struct {
	id       core.AttemptID
	executor *executor
	team     *team
	// task is nil for attempts of earlier owners whose request is not known.
	task      *task
	startedAt time.Time
	startBy   time.Time
	// leaseUntil is when the executor stops the task unless the lease is
	// renewed.
	leaseUntil time.Time
	// lost means that the sender no longer waits for an answer.
	lost bool
	// foreign means that another owner started the attempt.
	foreign bool
	// chargedSeconds is the slot time charged to the team when the attempt
	// started.
	chargedSeconds float64
}

// needsLeaseRenewal reports whether the task should continue to run.
func (a *attempt) needsLeaseRenewal() bool {
	return a.task != nil && a.task.state == stateRunning && !a.task.cancelled
}
