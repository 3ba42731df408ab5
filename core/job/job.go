package job

import (
	"fmt"
	"time"

	"jacinthwind/core/fleet"
)

// The limits of a job.
const (
	MaxSpecBytes = 4000
	MaxSteps     = 1000
	// MaxTasks limits the tasks of all occurrences together.
	MaxTasks = 100_000
	// maxTaskWork limits the estimated work of one task, so that sums over MaxTasks do
	// not overflow.
	maxTaskWork = 1 << 45
	// maxEstimateMs limits the estimate of one task, so that sums over MaxSteps and their
	// multiples do not overflow.
	maxEstimateMs = 1 << 30
	// maxStartMs and maxIntervalMs limit the times of occurrences.
	maxStartMs, maxIntervalMs = 1 << 43, 1 << 40
)

// maxSize is the largest size of a task that counts: more than any executor has, and
// so little that sums over MaxTasks do not overflow.
var maxSize = fleet.Vector{CPU: 1 << 40, Mem: 1 << 40, GPU: 1 << 40}

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

// IsFinal reports whether the state is final.
func (s State) IsFinal() bool {
	return s == Succeeded || s == Failed || s == Cancelled
}

// Job is a job as it is stored.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	Team  string `json:"team,omitempty"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// OccurrenceCount is the number of occurrences, zero for a job that runs once.
	OccurrenceCount int `json:"times,omitempty"`
	// StartMs is the Unix time of the first occurrence in milliseconds.
	StartMs    int64 `json:"start_ms,omitempty"`
	IntervalMs int64 `json:"interval_ms,omitempty"`
	// AcceptedMs is the Unix time in milliseconds at which the owner accepted the
	// job.
	AcceptedMs int64 `json:"accepted_ms"`
	// AcceptedQueue and TeamLimit are the queue and the team's limit at that time. They hold
	// while the configuration names neither. Builds that did not store them left the queue nil.
	AcceptedQueue *fleet.Queue `json:"accepted_queue,omitempty"`
	TeamLimit     fleet.Vector `json:"team_limit,omitzero"`
}

// Step is a set of identical tasks.
type Step struct {
	Count int          `json:"count"`
	Size  fleet.Vector `json:"size"`
	// EstimateMs is the caller's rough estimate of a task's run time.
	EstimateMs int64 `json:"estimate_ms,omitempty"`
	// After lists the indexes of earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints means that the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang means that the tasks only work while all of them run.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the executor must have.
	Label string `json:"label,omitempty"`
	// Rack is the rack that holds the step's data.
	Rack string `json:"rack,omitempty"`
	// PerExecutor is the largest number of the step's tasks on one executor, zero
	// for no limit.
	PerExecutor int `json:"per_executor,omitempty"`
	// Speculative tasks may run as several copies at once.
	Speculative bool `json:"speculative,omitempty"`
	// Service tasks run until the job is cancelled.
	Service bool   `json:"service,omitempty"`
	Image   string `json:"image,omitempty"`
	// TargetMs is the target for the tail latency of a service task.
	TargetMs int64 `json:"target_ms,omitempty"`
	// BestEffort means that the tasks only use processor time that others leave
	// free.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is the disruption budget of a service step: how many of its
	// tasks may be down at once; zero means no budget.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
}

// Ended returns the part of the job that is kept after its end: enough to answer for
// it, without the work that it described.
func (j *Job) Ended() *Job {
	return &Job{ID: j.ID, Queue: j.Queue, Pool: j.Pool, Team: j.Team, AcceptedMs: j.AcceptedMs}
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.OccurrenceCount, 1) }

// ReservedSize returns the part of an executor's capacity that a task reserves.
func (s *Step) ReservedSize() fleet.Vector {
	size := s.ChargedSize()
	if s.BestEffort {
		size.CPU = 0
	}
	return size
}

// ChargedSize returns what a task counts against its team's limit, at most maxSize.
func (s *Step) ChargedSize() fleet.Vector { return s.Size.Min(maxSize) }

// TaskWork returns the processor time of one task that runs for the given time, in thousandths
// of a core times milliseconds, at most maxTaskWork.
func (s *Step) TaskWork(runTime time.Duration) int64 {
	if s.Size.CPU > 0 && runTime.Milliseconds() > maxTaskWork/s.Size.CPU {
		return maxTaskWork
	}
	return s.Size.CPU * runTime.Milliseconds()
}

// Estimate returns the caller's estimate of a task's run time, at most maxEstimateMs.
func (s *Step) Estimate() time.Duration {
	return time.Duration(min(s.EstimateMs, maxEstimateMs)) * time.Millisecond
}

// Estimates returns the caller's estimates of the run times of the tasks, by step.
func (j *Job) Estimates() []time.Duration {
	times := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		times[i] = j.Steps[i].Estimate()
	}
	return times
}

// CriticalPath returns the length of the critical path: the largest sum of run times, given by
// step, over steps that depend on each other.
func (j *Job) CriticalPath(times []time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var begin time.Duration
		for _, a := range j.Steps[i].After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + times[i]
		longest = max(longest, ends[i])
	}
	return longest
}

// Work returns the processor time of all tasks that end, in thousandths of a core times
// milliseconds, for run times given by step.
func (j *Job) Work(times []time.Duration) int64 {
	var work int64
	for i := range j.Steps {
		if s := &j.Steps[i]; !s.Service && !s.BestEffort {
			work += int64(s.Count) * s.TaskWork(times[i])
		}
	}
	return work
}

// HasService reports whether the job has a service step, which runs until the job
// is cancelled.
func (j *Job) HasService() bool {
	for i := range j.Steps {
		if j.Steps[i].Service {
			return true
		}
	}
	return false
}

// Check returns an error for the first invalid field of the job, or nil. Callers get
// the text of the error.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return fmt.Errorf("spec has %d bytes, at most %d", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0:
		return fmt.Errorf("a job needs a step")
	case len(j.Steps) > MaxSteps:
		return fmt.Errorf("%d steps, at most %d", len(j.Steps), MaxSteps)
	case j.OccurrenceCount < 0 || j.IntervalMs < 0:
		return fmt.Errorf("negative times or interval")
	case j.StartMs > maxStartMs || j.IntervalMs > maxIntervalMs:
		return fmt.Errorf("start or interval out of range")
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
		if s.Count > MaxTasks {
			return fmt.Errorf("%d tasks, at most %d", s.Count, MaxTasks)
		}
		tasks += s.Count
	}
	if tasks > MaxTasks {
		return fmt.Errorf("%d tasks, at most %d", tasks, MaxTasks)
	}
	if j.Occurrences() > MaxTasks/tasks {
		return fmt.Errorf("%d times %d tasks, at most %d", j.Occurrences(), tasks, MaxTasks)
	}
	return nil
}
