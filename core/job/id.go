package job

import (
	"fmt"
	"strconv"
	"strings"
)

const idDigits = 16

// ValidID reports whether id has the form of a job id: 16 hexadecimal digits.
func ValidID(id string) bool {
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

// TaskID names a task: a job, an occurrence, a step and an index.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the id as executors know it.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID reads what String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task %q has not four parts", s)
	}
	id := TaskID{Job: parts[0]}
	for i, field := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task %q: part %d is not a number", s, i+1)
		}
		*field = n
	}
	return id, nil
}
