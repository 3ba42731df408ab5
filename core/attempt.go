package core

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// AttemptID identifies one execution of a request on one executor.
type AttemptID struct {
	Pool  string
	Epoch uint64
	Seq   uint64
}

// String returns the ID in its wire form, such as "proofs.3.17".
func (a AttemptID) String() string {
	return a.Pool + "." + strconv.FormatUint(a.Epoch, 10) + "." + strconv.FormatUint(a.Seq, 10)
}

// ParseAttemptID parses an ID in the form that String returns.
func ParseAttemptID(s string) (AttemptID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 {
		return AttemptID{}, fmt.Errorf("parse attempt id %q: want pool.epoch.seq", s)
	}
	epoch, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return AttemptID{}, fmt.Errorf("parse attempt id %q: epoch: %w", s, err)
	}
	seq, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return AttemptID{}, fmt.Errorf("parse attempt id %q: sequence number: %w", s, err)
	}
	return AttemptID{Pool: parts[0], Epoch: epoch, Seq: seq}, nil
}

// Task describes an attempt to the executor that runs it.
type Task struct {
	Attempt   AttemptID
	RequestID string
	Team      string
	// StartBy is the wall-clock time after which the executor refuses to start
	// the task.
	StartBy time.Time
	// LeaseUntil is the wall-clock time at which the executor stops the task
	// unless the lease has been renewed.
	LeaseUntil time.Time
	Payload    *Payload
}

// AttemptStatus is how an attempt ended, as far as its sender knows.
type AttemptStatus uint8

// The statuses of an attempt that ended.
const (
	// AttemptAnswered means that the complete answer arrived.
	AttemptAnswered AttemptStatus = iota
	// AttemptRefused means that the executor certainly did not start the task.
	AttemptRefused
	// AttemptLost means that the task may have started and no complete answer
	// arrived.
	AttemptLost
	// AttemptOversized means that the task ran and its answer exceeds the size limit.
	AttemptOversized
	// AttemptStopped means that the executor stopped the task before its end.
	AttemptStopped
)

// AttemptResult holds the end of an attempt as its sender knows it.
type AttemptResult struct {
	Status AttemptStatus
	Answer *Answer
	Err    error
}

// RunningTask describes a running task in an executor's usage report.
type RunningTask struct {
	Attempt    AttemptID
	RequestID  string
	Team       string
	LeaseUntil time.Time
}

// Usage is an executor's report of its slots and its running and ended tasks.
type Usage struct {
	Executor string
	// Instance identifies the incarnation of the executor's process.
	Instance string
	Slots    int
	Draining bool
	Running  []RunningTask
	// Ended lists the attempts that ended recently, oldest first.
	Ended []AttemptID
}

// LeaseRenewal extends the lease of one running task.
type LeaseRenewal struct {
	Attempt    AttemptID
	LeaseUntil time.Time
}
