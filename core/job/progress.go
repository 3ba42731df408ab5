package job

import (
	"encoding/json"
	"fmt"
	"sort"

	"jacinthwind/core/suspicion"
)

// DefaultPartTasks is the number of tasks from which on the progress of a job is divided
// into parts, and the number of tasks of each part.
const DefaultPartTasks = 256

// Progress is the stored progress of a job.
type Progress struct {
	State State `json:"state"`
	// EndedMs is the Unix time in milliseconds at which the state became final.
	EndedMs int64 `json:"ended_ms,omitempty"`
	// Tasks holds an entry for each task that had a run that ended or is under suspicion,
	// unless they are stored in parts.
	Tasks []TaskProgress `json:"tasks,omitempty"`
	// PartTasks is the number of tasks of each part, zero if there are no parts, and Parts
	// the number of parts.
	PartTasks int `json:"part_tasks,omitempty"`
	Parts     int `json:"parts,omitempty"`
}

// TaskProgress is the stored progress of one task.
type TaskProgress struct {
	Occurrence int  `json:"k,omitempty"`
	Step       int  `json:"s,omitempty"`
	Index      int  `json:"i,omitempty"`
	Done       bool `json:"d,omitempty"`
	// Failed lists the numbers of the runs that failed. They are listed rather
	// than counted since the end of a run may be seen more than once and in any
	// order.
	Failed []int `json:"f,omitempty"`
	// Run is the highest number of a run that ended.
	Run int `json:"r,omitempty"`
	// Checkpoint is the latest checkpoint, empty if there is none.
	Checkpoint string `json:"c,omitempty"`
	// Crashes holds the crashes of executors under the task, nil if there were none.
	Crashes *suspicion.Record `json:"x,omitempty"`
}

// HasRun reports whether a run of the task has ended.
func (t TaskProgress) HasRun() bool { return t.Done || t.Run > 0 || len(t.Failed) > 0 }

// ProgressPart is the stored progress of some consecutive tasks of a job. Tasks are numbered
// in the order of their occurrences, steps and indexes.
type ProgressPart struct {
	// AcceptedMs is that of the job, so that no part is read for a later job with its id.
	AcceptedMs int64 `json:"accepted_ms"`
	// Done has a bit for each task that is done, that of the first task is the lowest of
	// the first byte.
	Done []byte `json:"done,omitempty"`
	// Tasks holds an entry for each other task that had a run that ended or is under
	// suspicion.
	Tasks []TaskProgress `json:"tasks,omitempty"`
}

// MarkDone marks the task with the given number within the part as done.
func (p *ProgressPart) MarkDone(n int) {
	for len(p.Done) <= n/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[n/8] |= 1 << (n % 8)
}

// plainProgress is a Progress without the methods for its encoding.
type plainProgress Progress

// MarshalJSON encodes the progress. Builds that know no parts must not take a job with parts
// for one of which nothing has run, so they find a text that they cannot decode instead of
// the list of tasks.
func (p Progress) MarshalJSON() ([]byte, error) {
	if p.Parts == 0 || p.State.IsFinal() {
		return json.Marshal(plainProgress(p))
	}
	return json.Marshal(struct {
		plainProgress
		Tasks string `json:"tasks"`
	}{plainProgress(p), "in parts"})
}

// UnmarshalJSON decodes what MarshalJSON encodes, and what builds without parts have stored.
func (p *Progress) UnmarshalJSON(data []byte) error {
	var s struct {
		plainProgress
		Tasks json.RawMessage `json:"tasks"`
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	*p = Progress(s.plainProgress)
	switch {
	case p.Parts < 0 || p.Parts > MaxTasks || p.PartTasks < 0 || (p.Parts > 0 && p.PartTasks == 0):
		return fmt.Errorf("progress in %d parts of %d tasks", p.Parts, p.PartTasks)
	case len(s.Tasks) == 0 || p.Parts > 0:
		return nil
	}
	return json.Unmarshal(s.Tasks, &p.Tasks)
}

// AddPart adds the entries of part n of the job's progress to Tasks. A part of an earlier job
// with the same id is left out.
func (p *Progress) AddPart(j *Job, n int, part ProgressPart) {
	if part.AcceptedMs != j.AcceptedMs {
		return
	}
	p.Tasks = append(p.Tasks, part.Tasks...)
	firstOfStep := j.firstTasks()
	perOccurrence := firstOfStep[len(j.Steps)]
	for i := range len(part.Done) * 8 {
		number := n*p.PartTasks + i
		if part.Done[i/8]&(1<<(i%8)) == 0 || number >= perOccurrence*j.Occurrences() {
			continue
		}
		inOccurrence := number % perOccurrence
		step := sort.SearchInts(firstOfStep, inOccurrence+1) - 1
		p.Tasks = append(p.Tasks, TaskProgress{
			Occurrence: number / perOccurrence, Step: step, Index: inOccurrence - firstOfStep[step], Done: true,
		})
	}
}

// firstTasks returns the number of the first task of each step in an occurrence, and the
// number of tasks of an occurrence behind them.
func (j *Job) firstTasks() []int {
	first := make([]int, len(j.Steps)+1)
	for i := range j.Steps {
		first[i+1] = first[i] + j.Steps[i].Count
	}
	return first
}

// PartCount returns the number of parts of partTasks tasks in which the job's progress is
// stored, zero if it has no more tasks than one part.
func (j *Job) PartCount(partTasks int) int {
	tasks := j.firstTasks()[len(j.Steps)] * j.Occurrences()
	if tasks <= partTasks {
		return 0
	}
	return (tasks + partTasks - 1) / partTasks
}
