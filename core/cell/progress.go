package cell

import (
	"maps"
	"slices"

	"jacinthwind/core/job"
	"jacinthwind/core/suspicion"
)

// markDirty marks a job's state for the next write.
func (k *Kernel) markDirty(j *jobState) {
	j.dirty = true
	j.version++
	k.outbox.dirty[j.ID] = j
}

// markTaskDirty marks the progress of a task, and its job's state, for the next write.
func (k *Kernel) markTaskDirty(s *stepRun, index int) {
	if s.job.parts > 0 {
		s.job.markPartDirty((s.firstTask + index) / s.job.partTasks)
	}
	k.markDirty(s.job)
}

// markPartDirty marks a part of the progress for the next write of the job.
func (j *jobState) markPartDirty(n int) {
	if j.dirtyParts == nil {
		j.dirtyParts = map[int]bool{}
	}
	j.dirtyParts[n] = true
}

// jobRecords returns the records of a job that have changed. The parts of its progress come
// first: they may be stored before the record that names them.
func (k *Kernel) jobRecords(j *jobState) []Record {
	var records []Record
	if !j.state.IsFinal() {
		for _, n := range slices.Sorted(maps.Keys(j.dirtyParts)) {
			records = append(records, Record{Kind: ProgressPartRecord, Name: j.ID, Part: n, Value: k.storedPart(j, n)})
		}
	}
	j.dirtyParts = nil
	switch {
	case j.state.IsFinal():
		// The next owner reads the records of all jobs before it can serve.
		records = append(records, Record{Kind: JobRecord, Name: j.ID, Value: j.Ended()})
	case !j.stored:
		records = append(records, Record{Kind: JobRecord, Name: j.ID, Value: j.Job})
	}
	return append(records, Record{Kind: ProgressRecord, Name: j.ID, Value: k.storedProgress(j)})
}

// storedProgress returns the progress of a job in its stored form, without its parts.
func (k *Kernel) storedProgress(j *jobState) job.Progress {
	p := job.Progress{State: j.state, EndedMs: j.endedMs, PartTasks: j.partTasks, Parts: j.parts}
	if j.state.IsFinal() || j.parts > 0 {
		return p
	}
	for _, s := range j.steps {
		for i := range s.tasks {
			if tp, ok := s.storedTask(i); ok {
				p.Tasks = append(p.Tasks, tp)
			}
		}
	}
	k.limitCheckpoints(p.Tasks)
	return p
}

// storedPart returns a part of the progress of a job in its stored form.
func (k *Kernel) storedPart(j *jobState, n int) job.ProgressPart {
	p := job.ProgressPart{AcceptedMs: j.AcceptedMs}
	first := n * j.partTasks
	next, _ := slices.BinarySearchFunc(j.steps, first+1, func(s *stepRun, number int) int { return s.firstTask - number })
	for _, s := range j.steps[next-1:] {
		if s.firstTask >= first+j.partTasks {
			break
		}
		for i := max(first-s.firstTask, 0); i < min(first+j.partTasks-s.firstTask, len(s.tasks)); i++ {
			if s.tasks[i].state == taskDone {
				p.MarkDone(s.firstTask + i - first)
			} else if tp, ok := s.storedTask(i); ok {
				p.Tasks = append(p.Tasks, tp)
			}
		}
	}
	k.limitCheckpoints(p.Tasks)
	return p
}

// storedTask returns the progress of a task in its stored form, and false if there is
// nothing to store of it.
func (s *stepRun) storedTask(i int) (job.TaskProgress, bool) {
	t := &s.tasks[i]
	suspected := t.crashes != suspicion.Record{} && t.state != taskDone
	if !t.anyRunEnded && !suspected {
		return job.TaskProgress{}, false
	}
	tp := job.TaskProgress{
		Occurrence: s.occurrence, Step: s.index, Index: i,
		Done: t.state == taskDone, Failed: t.failedRuns, Run: t.highestEndedRun, Checkpoint: t.checkpoint,
	}
	if suspected {
		// A copy, since the record is encoded after later crashes.
		crashes := t.crashes
		tp.Crashes = &crashes
	}
	return tp, true
}

// The largest sizes in bytes of the parts of a stored task.
const (
	// maxTaskBytes leaves out its checkpoint and the runs that failed.
	maxTaskBytes      = 400
	maxFailedRunBytes = 8
	// maxEscapedBytes is the size of a byte of a checkpoint in JSON.
	maxEscapedBytes = 6
)

// limitCheckpoints leaves out checkpoints with which the tasks might not fit into one record.
// The tasks concerned start from the beginning if the next owner does not find their runs.
func (k *Kernel) limitCheckpoints(tasks []job.TaskProgress) {
	if k.MaxRecordBytes == 0 || len(tasks) == 0 {
		return
	}
	sizeOf := func(tp *job.TaskProgress) int {
		return maxTaskBytes + maxFailedRunBytes*len(tp.Failed) + maxEscapedBytes*len(tp.Checkpoint)
	}
	size := 0
	for i := range tasks {
		size += sizeOf(&tasks[i])
	}
	if size <= k.MaxRecordBytes {
		return
	}
	for i := range tasks {
		if tp := &tasks[i]; sizeOf(tp) > k.MaxRecordBytes/len(tasks) {
			tp.Checkpoint = ""
		}
	}
}
