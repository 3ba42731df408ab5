package job

import (
	"fmt"
	"time"

	"jacinthwind/core/fleet"
)

// The largest values that a job may have.
const (
	MaxSpec  = 4000
	MaxSteps = 1000
	MaxTasks = 100_000
)

// State is the state of a job as its caller sees it.
type State string

// The states of a job.
const (
	Pending   State = "pending"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool {
	return s == Succeeded || s == Failed || s == Cancelled
}

// Job is what a caller handed in, as it is stored.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	Team  string `json:"team,omitempty"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Times is how many occurrences there are, zero for a job that runs once.
	Times int `json:"times,omitempty"`
	// StartMs is the Unix time of the first occurrence in milliseconds.
	StartMs    int64 `json:"start_ms,omitempty"`
	IntervalMs int64 `json:"interval_ms,omitempty"`
	// AcceptedMs is the Unix time at which the owner took the job in milliseconds.
	AcceptedMs int64 `json:"accepted_ms"`
}

// Step is a set of equal tasks.
type Step struct {
	Count int          `json:"count"`
	Size  fleet.Vector `json:"size"`
	// EstimateMs is the caller's rough estimate of a task's run time.
	EstimateMs int64 `json:"estimate_ms,omitempty"`
	// After lists the earlier steps that have to be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints says that the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang says that the tasks work only together.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the executor must have.
	Label string `json:"label,omitempty"`
	// Rack is the rack where the step's data is.
	Rack string `json:"rack,omitempty"`
	// PerExecutor bounds the step's tasks on one executor, zero for no bound.
	PerExecutor int `json:"per_executor,omitempty"`
	// Speculative tasks may run as several copies at once.
	Speculative bool `json:"speculative,omitempty"`
	// Service tasks run until the job is cancelled.
	Service bool   `json:"service,omitempty"`
	Image   string `json:"image,omitempty"`
	// TargetMs bounds the tail of a service task's response times.
	TargetMs int64 `json:"target_ms,omitempty"`
	// Fills says that the tasks get the processor time that others leave.
	Fills bool `json:"fills,omitempty"`
	// MaxUnavailable is the disruption budget of a service step, zero for none.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// Reserved returns the part of an executor's room that a task takes.
func (s *Step) Reserved() fleet.Vector {
	size := s.Size
	if s.Fills {
		size.CPU = 0
	}
	return size
}

// Estimate returns the caller's estimate of a task's run time.
func (s *Step) Estimate() time.Duration {
	return time.Duration(s.EstimateMs) * time.Millisecond
}

// Chain returns the longest chain of estimated run times from step i on.
func (j *Job) Chain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var begin time.Duration
		for _, a := range j.Steps[i].After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + j.Steps[i].Estimate()
		longest = max(longest, ends[i])
	}
	return longest
}

// Work returns the estimated processor time in thousandths of a core times
// milliseconds of all tasks that end.
func (j *Job) Work() int64 {
	var work int64
	for i := range j.Steps {
		if s := &j.Steps[i]; !s.Service && !s.Fills {
			work += int64(s.Count) * s.Size.CPU * s.EstimateMs
		}
	}
	return work
}

// Lasting reports whether a step runs until the job is cancelled.
func (j *Job) Lasting() bool {
	for i := range j.Steps {
		if j.Steps[i].Service {
			return true
		}
	}
	return false
}

// Check returns the first fault in the job's form, or nil.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > MaxSpec:
		return fmt.Errorf("spec has %d bytes, at most %d", len(j.Spec), MaxSpec)
	case len(j.Steps) == 0:
		return fmt.Errorf("a job needs a step")
	case len(j.Steps) > MaxSteps:
		return fmt.Errorf("%d steps, at most %d", len(j.Steps), MaxSteps)
	case j.Times < 0 || j.IntervalMs < 0:
		return fmt.Errorf("negative times or interval")
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Size.CPU < 0 || s.Size.Mem < 0 || s.Size.GPU < 0 || s.EstimateMs < 0 {
			return fmt.Errorf("step %d: count or size out of range", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("step %d: after names step %d, which is not an earlier one", i, a)
			}
		}
		tasks += s.Count
	}
	if tasks > MaxTasks {
		return fmt.Errorf("%d tasks, at most %d", tasks, MaxTasks)
	}
	return nil
}
