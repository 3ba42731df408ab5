package job_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/job"
)

// earlierProgress is a record of progress as builds without parts decode it.
type earlierProgress struct {
	State   job.State          `json:"state"`
	EndedMs int64              `json:"ended_ms,omitempty"`
	Tasks   []job.TaskProgress `json:"tasks,omitempty"`
}

// TestEarlierBuildsDoNotReadParts guards against an owner of an earlier build, during a rolling
// upgrade, that takes a job in parts for one of which nothing has run. It must know how the job
// ended, though.
func TestEarlierBuildsDoNotReadParts(t *testing.T) {
	for name, c := range map[string]struct {
		progress job.Progress
		readable bool
	}{
		"without parts": {job.Progress{State: job.Running, Tasks: []job.TaskProgress{{Index: 3, Done: true}}}, true},
		"in parts":      {job.Progress{State: job.Running, PartTasks: 256, Parts: 3}, false},
		"pending":       {job.Progress{State: job.Pending, PartTasks: 256, Parts: 3}, false},
		"ended":         {job.Progress{State: job.Succeeded, EndedMs: 7, PartTasks: 256, Parts: 3}, true},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := json.Marshal(c.progress)
			require.NoError(t, err)
			var earlier earlierProgress
			err = json.Unmarshal(data, &earlier)
			require.Equal(t, c.readable, err == nil)
			if c.readable {
				require.Equal(t, earlierProgress{c.progress.State, c.progress.EndedMs, c.progress.Tasks}, earlier)
			}
			var p job.Progress
			require.NoError(t, json.Unmarshal(data, &p))
			require.Equal(t, c.progress, p)
		})
	}
}

// TestPartsHoldEachTaskOnce checks the numbers of the tasks over occurrences and steps.
func TestPartsHoldEachTaskOnce(t *testing.T) {
	j := &job.Job{Steps: []job.Step{{Count: 2}, {Count: 3}}, OccurrenceCount: 3, AcceptedMs: 5}
	const partTasks = 4
	require.Equal(t, 4, j.PartCount(partTasks))
	require.Zero(t, j.PartCount(15))
	p := job.Progress{PartTasks: partTasks, Parts: 4}
	for n := range 4 {
		part := job.ProgressPart{AcceptedMs: 5}
		for i := range partTasks {
			part.MarkDone(i)
		}
		p.AddPart(j, n, part)
	}
	var want []job.TaskProgress
	for occurrence := range 3 {
		for step, s := range j.Steps {
			for i := range s.Count {
				want = append(want, job.TaskProgress{Occurrence: occurrence, Step: step, Index: i, Done: true})
			}
		}
	}
	require.Equal(t, want, p.Tasks)
	p.AddPart(j, 0, job.ProgressPart{AcceptedMs: 4, Done: []byte{1}})
	require.Len(t, p.Tasks, 15, "a part of another job is read")
}

// TestMalformedPartsAreRefused guards against sizes from a damaged record.
func TestMalformedPartsAreRefused(t *testing.T) {
	for _, data := range []string{
		`{"state":"running","parts":-1,"part_tasks":256,"tasks":"in parts"}`, `{"state":"running","parts":3,"tasks":"in parts"}`,
		`{"state":"running","parts":1000000000,"part_tasks":1,"tasks":"in parts"}`, `{"state":"running","part_tasks":-4}`, `{"state":"running","tasks":"in parts"}`,
	} {
		var p job.Progress
		require.Error(t, json.Unmarshal([]byte(data), &p), data)
	}
}
