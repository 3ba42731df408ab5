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
	// listed means that the register has the executor in this pool, on a VM
	// that stays and in a data centre in service.
	listed bool
	// removed means that the register no longer has the executor in this pool.
	removed  bool
	draining bool
	// proved means that the tasks of earlier owners on it are known.
	proved bool
	// doubtful means that tasks of a vanished owner may run on it.
	doubtful bool
	instance string

	attempts []*attempt
	pollAt   time.Time
	polling  bool

	health health
	// freeIndex is the place in the kernel's list of free executors, -1 outside.
	freeIndex int
}

// capacity is the number of tasks that the executor may run at once.
func (e *executor) capacity() int {
	return min(e.Slots, e.connections)
}

// hasSlot reports whether e may take a further task unless it is quarantined.
func (e *executor) hasSlot() bool {
	return e.listed && !e.draining && e.proved && e.Running < e.capacity()
}

// isEligible reports whether a task may start on e now.
func (e *executor) isEligible(t *task, now time.Time) bool {
	return e.hasSlot() && e.health.admits(e, t, now)
}

// attempt is one execution that is not proved ended.
type attempt struct {
	id   core.AttemptID
	exec *executor
	team *team
	// task is nil once the request settled without this attempt, and for
	// attempts of earlier owners whose request is not known.
	task      *task
	startedAt time.Time
	startBy   time.Time
	// leaseUntil bounds the run time of a task that nobody renews.
	leaseUntil time.Time
	// lost means that no answer will come from the sender.
	lost bool
	// foreign means that another owner started the attempt.
	foreign bool
	charged float64
}

// wantsRenewal reports whether the task should go on.
func (a *attempt) wantsRenewal() bool {
	return a.task != nil && a.task.state == stateRunning && !a.task.cancelled
}
