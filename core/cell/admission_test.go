package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// TestAdmissionCountsOnlyExecutorsWithLabel guards against admitting jobs by the
// capacity of all executors: jobs that needed the scarcer of two kinds then waited for
// half a minute (a variant of sellocant-jw).
func TestAdmissionCountsOnlyExecutorsWithLabel(t *testing.T) {
	for name, c := range map[string]struct {
		label    string
		jobs     int
		accepted int
	}{
		"no label":                        {"", 6, 6},
		"a label that one executor has":   {"fast", 6, 2},
		"a label that all executors have": {"a", 6, 6},
		"a label that no executor has":    {"none", 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 4)
			w.executors["e2"].Labels = []string{"a", "fast", "r1-1"}
			w.listExecutors()
			w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 2 * time.Second, fleet.EndDone }
			w.advance(time.Second)
			accepted := 0
			for n := range c.jobs {
				j := simpleJob(n+1, 1, 8000)
				j.Steps[0].Label, j.Steps[0].EstimateMs = c.label, 2000
				call := w.submitJob(j)
				w.advance(50 * time.Millisecond)
				if w.verdicts[call].Verdict == cell.Accepted {
					accepted++
				}
			}
			require.Equal(t, c.accepted, accepted)
		})
	}
}

// TestLateJobFinishesWhilePoolIsBusy keeps a pool busy with jobs that can meet
// their objective. A job that became late because its executor crashed must still
// finish.
func TestLateJobFinishesWhilePoolIsBusy(t *testing.T) {
	w := newWorld(t, 2)
	w.config.Queues = append(w.config.Queues, fleet.Queue{Name: "bulk", Host: "h", Prefix: "/b/", Pool: "render", MaxAttempts: 2, ObjectiveFactor: 2, ObjectiveBase: time.Minute})
	w.config.Index()
	w.advance(time.Second)
	for n := range 150 {
		j := simpleJob(n+2, 1, 8000)
		j.Queue = "bulk"
		w.submitJob(j)
	}
	late := simpleJob(1, 1, 8000)
	w.submitJob(late)
	w.advance(100 * time.Millisecond)
	for _, x := range w.executors {
		w.crash(x)
	}
	w.advance(6 * time.Second)
	for _, x := range w.executors {
		w.restart(x)
	}
	w.advance(18 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(late.ID))
}

// TestLateJobIsAcceptedOnlyWhileExecutorsAreFree retries a refused job. While no
// other work waits it is accepted late, as long as its result is useful; otherwise
// it must not displace jobs that can meet their objective.
func TestLateJobIsAcceptedOnlyWhileExecutorsAreFree(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		busy  bool
		want  cell.Verdict
	}{
		"in time":               {time.Second, false, cell.Accepted},
		"late, executors free":  {4 * time.Second, false, cell.Accepted},
		"late, executors busy":  {4 * time.Second, true, cell.Refused},
		"too late to be useful": {12 * time.Second, false, cell.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.executors["e0"].Draining = true
			w.listExecutors()
			w.advance(time.Second)
			j := simpleJob(1, 1, 8000)
			require.Equal(t, cell.Refused, w.verdicts[w.submitJob(j)].Verdict)
			w.executors["e0"].Draining = false
			w.listExecutors()
			w.advance(c.after)
			if c.busy {
				for n := range 6 {
					w.submitJob(simpleJob(n+2, 1, 8000))
				}
			}
			call := w.submitJob(simpleJob(1, 1, 8000))
			w.advance(100 * time.Millisecond)
			require.Equal(t, c.want, w.verdicts[call].Verdict)
		})
	}
}

// TestWorthlessWorkGoesBehindLateWork: a pool that is busy for long, with two accepted jobs that are
// late when room comes: the result of the first is worth nothing any more, that of the second is.
func TestWorthlessWorkGoesBehindLateWork(t *testing.T) {
	w := newWorld(t, 1)
	w.config.Queues = append(w.config.Queues,
		fleet.Queue{Name: "bulk", Host: "h", Prefix: "/b/", Pool: "render", MaxAttempts: 2, ObjectiveFactor: 1, ObjectiveBase: time.Minute},
		fleet.Queue{Name: "short", Host: "h", Prefix: "/s/", Pool: "render", MaxAttempts: 2, ObjectiveFactor: 1, ObjectiveBase: 400 * time.Millisecond})
	w.config.Index()
	w.advance(time.Second)
	submit := func(n int, queue string, estimateMs int64) *job.Job {
		j := simpleJob(n, 1, 8000)
		j.Queue, j.Steps[0].EstimateMs = queue, estimateMs
		w.submitJob(j)
		w.advance(100 * time.Millisecond)
		return j
	}
	w.taskTime = func(task string, _ int) (time.Duration, fleet.RunEnd) {
		if task == simpleJob(1, 1, 1).ID+".0.0.0" {
			return 4 * time.Second, fleet.EndDone
		}
		return 500 * time.Millisecond, fleet.EndDone
	}
	submit(1, "bulk", 500)
	worthless := submit(2, "short", 300)
	late := submit(3, "short", 1500)
	w.advance(4 * time.Second)
	require.Contains(t, w.starts, late.ID+".0.0.0")
	require.NotContains(t, w.starts, worthless.ID+".0.0.0")
	w.advance(2 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(worthless.ID), "it is still done")
}
