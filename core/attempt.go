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

// String returns the form used on the wire, such as "proofs.3.17".
func (a AttemptID) String() string {
	return a.Pool + "." + strconv.FormatUint(a.Epoch, 10) + "." + strconv.FormatUint(a.Seq, 10)
}

// ParseAttemptID reads the form that String writes.
func ParseAttemptID(s string) (AttemptID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 {
		return AttemptID{}, fmt.Errorf("attempt id %q: want pool.epoch.seq", s)
	}
	epoch, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return AttemptID{}, fmt.Errorf("attempt id %q: epoch: %w", s, err)
	}
	seq, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return AttemptID{}, fmt.Errorf("attempt id %q: sequence: %w", s, err)
	}
	return AttemptID{Pool: parts[0], Epoch: epoch, Seq: seq}, nil
}

// Task is one attempt as it is sent to an executor.
type Task struct {
	Attempt   AttemptID
	RequestID string
	Team      string
	// StartBy is the wall-clock time after which the executor refuses to start.
	StartBy time.Time
	// LeaseUntil is the wall-clock time at which the executor stops the task
	// unless the lease has been renewed.
	LeaseUntil time.Time
	Payload    *Payload
}

// AttemptStatus says how an attempt ended as far as the sender knows.
type AttemptStatus uint8

// The ways in which an attempt ends.
const (
	// AttemptAnswered means that the whole answer arrived.
	AttemptAnswered AttemptStatus = iota
	// AttemptRefused means that the executor proved it did not start the task.
	AttemptRefused
	// AttemptLost means that the attempt may have started and no whole answer
	// arrived.
	AttemptLost
	// AttemptOversized means that the task ran and its answer is over the limit.
	AttemptOversized
	// AttemptStopped means that the executor ended the task early.
	AttemptStopped
)

// AttemptResult is the end of an attempt as seen by the sender.
type AttemptResult struct {
	Status AttemptStatus
	Answer *Answer
	Err    error
}

// RunningTask is one entry of a usage report.
type RunningTask struct {
	Attempt    AttemptID
	RequestID  string
	Team       string
	LeaseUntil time.Time
}

// Usage is what an executor reports about itself.
type Usage struct {
	Executor string
	// Instance changes whenever the executor's process is replaced.
	Instance string
	Slots    int
	Draining bool
	Running  []RunningTask
	// Ended lists attempts that ended lately, oldest first.
	Ended []AttemptID
}

// LeaseRenewal extends the lease of one running task.
type LeaseRenewal struct {
	Attempt    AttemptID
	LeaseUntil time.Time
}
