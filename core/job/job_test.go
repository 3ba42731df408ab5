package job_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// TestHugeNumbersAreRefused checks that no number that a caller sends makes a sum
// overflow or the owner allocate more than MaxTasks tasks.
func TestHugeNumbersAreRefused(t *testing.T) {
	one := job.Step{Count: 1, Size: fleet.Vector{CPU: 1000}}
	for name, j := range map[string]job.Job{
		"tasks of one step":         {Steps: []job.Step{{Count: job.MaxTasks + 1}}},
		"tasks that overflow":       {Steps: []job.Step{{Count: math.MaxInt}, {Count: math.MaxInt}, {Count: 2}}},
		"occurrences":               {Steps: []job.Step{one}, OccurrenceCount: job.MaxTasks + 1},
		"occurrences and tasks":     {Steps: []job.Step{{Count: 1000}}, OccurrenceCount: 101},
		"start that overflows":      {Steps: []job.Step{one}, OccurrenceCount: 2, StartMs: math.MaxInt64},
		"interval that overflows":   {Steps: []job.Step{one}, OccurrenceCount: 2, IntervalMs: math.MaxInt64},
		"occurrences that overflow": {Steps: []job.Step{one}, OccurrenceCount: math.MaxInt},
	} {
		t.Run(name, func(t *testing.T) { require.Error(t, j.Check()) })
	}
	j := job.Job{Steps: []job.Step{{Count: 1000}}, OccurrenceCount: 100}
	require.NoError(t, j.Check())
}

func TestEstimatedWorkDoesNotOverflow(t *testing.T) {
	j := job.Job{Steps: []job.Step{{Count: job.MaxTasks, Size: fleet.Vector{CPU: math.MaxInt64}, EstimateMs: math.MaxInt64}}}
	require.NoError(t, j.Check())
	require.Positive(t, j.Work(j.Estimates()))
	j.Steps[0] = job.Step{Count: 3, Size: fleet.Vector{CPU: 8500}, EstimateMs: 800}
	require.Equal(t, int64(3*8500*800), j.Work(j.Estimates()))
	j.Steps = nil
	for i := range job.MaxSteps {
		j.Steps = append(j.Steps, job.Step{Count: 1, EstimateMs: math.MaxInt64, Size: fleet.Vector{CPU: math.MaxInt64, Mem: math.MaxInt64, GPU: math.MaxInt64}, After: []int{max(i-1, 0)}[:min(i, 1)]})
	}
	require.NoError(t, j.Check())
	require.Greater(t, j.CriticalPath(j.Estimates()), j.Steps[0].Estimate())
	for _, sum := range []fleet.Vector{j.Steps[0].ReservedSize().Times(job.MaxTasks), j.Steps[0].ChargedSize().Times(job.MaxTasks)} {
		require.Positive(t, min(sum.CPU, sum.Mem, sum.GPU))
	}
}
