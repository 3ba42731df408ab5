package job

import (
	"fmt"
	"strconv"
	"strings"
)

const idDigits = 16

// IsValidID reports whether id is a job ID: 16 hexadecimal digits.
func IsValidID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// TaskID identifies a task by its job, the job's occurrence, the step and the
// index in the step.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the ID in the form JOB.OCCURRENCE.STEP.INDEX that executors use.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID parses an ID in the form that String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("parse task id %q: want JOB.OCCURRENCE.STEP.INDEX", s)
	}
	id := TaskID{Job: parts[0]}
	for i, field := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("parse task id %q: number %d after the job is not an integer of zero or more", s, i+1)
		}
		*field = n
	}
	return id, nil
}
