package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// TestAdmissionByLabel replays a variant of sellocant-jw with two kinds of
// executors: jobs were admitted by the room of all, and those that needed the
// scarce kind waited for half a minute.
func TestAdmissionByLabel(t *testing.T) {
	for name, c := range map[string]struct {
		label string
		jobs  int
		taken int
	}{
		"no label":            {"", 6, 6},
		"a scarce label":      {"fast", 6, 2},
		"a label of no use":   {"a", 6, 6},
		"a label that is not": {"none", 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 4)
			w.executors["e2"].Labels = []string{"a", "fast", "r1-1"}
			w.list()
			w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 2 * time.Second, fleet.EndDone }
			w.play(time.Second)
			taken := 0
			for n := range c.jobs {
				j := simpleJob(n+1, 1, 8000)
				j.Steps[0].Label, j.Steps[0].EstimateMs = c.label, 2000
				call := w.submit(j)
				w.play(50 * time.Millisecond)
				if w.verdicts[call].Verdict == cell.Accepted {
					taken++
				}
			}
			require.Equal(t, c.taken, taken)
		})
	}
}

// TestLateWorkIsFinished keeps a pool busy with jobs that can be in time: one that
// was late before, since its executor crashed, is done all the same.
func TestLateWorkIsFinished(t *testing.T) {
	w := newWorld(t, 2)
	w.config.Queues = append(w.config.Queues, fleet.Queue{Name: "bulk", Host: "h", Prefix: "/b/", Pool: "render", Attempts: 2, Stretch: 2, Objective: time.Minute})
	w.config.Index()
	w.play(time.Second)
	for n := range 150 {
		j := simpleJob(n+2, 1, 8000)
		j.Queue = "bulk"
		w.submit(j)
	}
	late := simpleJob(1, 1, 8000)
	w.submit(late)
	w.play(100 * time.Millisecond)
	for _, x := range w.executors {
		w.crash(x)
	}
	w.play(6 * time.Second)
	for _, x := range w.executors {
		w.restart(x)
	}
	w.play(18 * time.Second)
	require.Equal(t, job.Succeeded, w.state(late.ID))
}

// TestLateJobIsTakenWhileExecutorsAreFree is a row for when a refused job comes
// back: while nothing waits it is done late, as long as that is of use; otherwise
// it does not take the place of those that can be in time.
func TestLateJobIsTakenWhileExecutorsAreFree(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		busy  bool
		want  cell.Verdict
	}{
		"in time":             {time.Second, false, cell.Accepted},
		"late and free":       {4 * time.Second, false, cell.Accepted},
		"late and busy":       {4 * time.Second, true, cell.Refused},
		"too late for anyone": {12 * time.Second, false, cell.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.executors["e0"].Draining = true
			w.list()
			w.play(time.Second)
			j := simpleJob(1, 1, 8000)
			require.Equal(t, cell.Refused, w.verdicts[w.submit(j)].Verdict)
			w.executors["e0"].Draining = false
			w.list()
			w.play(c.after)
			if c.busy {
				for n := range 6 {
					w.submit(simpleJob(n+2, 1, 8000))
				}
			}
			call := w.submit(simpleJob(1, 1, 8000))
			w.play(100 * time.Millisecond)
			require.Equal(t, c.want, w.verdicts[call].Verdict)
		})
	}
}
