package cell_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/estimate"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// learntFactor returns the factor from estimates to run times that the owner has learnt.
func (w *world) learntFactor(queue string) float64 {
	for _, s := range w.kernel.Dump(w.clock()).Estimates {
		if s.Queue == queue {
			return s.Factor
		}
	}
	return 0
}

// runJobs lets n jobs of one task run one after the other.
func (w *world) runJobs(n int) {
	for i := range n {
		w.submitJob(simpleJob(1000+i, 1, 1000))
		w.advance(100 * time.Millisecond)
	}
}

// TestNextOwnerKnowsRunTimes: callers say a third of what their work takes, and the owner is
// lost.
func TestNextOwnerKnowsRunTimes(t *testing.T) {
	w := newWorld(t, 4)
	w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 1500 * time.Millisecond, fleet.EndDone }
	w.advance(time.Second)
	w.runJobs(120)
	w.advance(2 * time.Second)
	require.InDelta(t, 3, w.learntFactor("proofs"), 0.3)
	w.replaceOwner()
	w.advance(time.Second)
	require.InDelta(t, 3, w.learntFactor("proofs"), 0.3)
	w.step(cell.EstimatesLoaded{Estimates: estimate.Stored{Form: 99}})
	require.InDelta(t, 3, w.learntFactor("proofs"), 0.3, "a form of a later build changes nothing")
}

// TestUnderstatedBurstIsTakenAsFarAsItFits: callers say a quarter of what their work takes, and
// a burst comes. Without what was learnt all of it is taken, and nearly all of it ends late.
func TestUnderstatedBurstIsTakenAsFarAsItFits(t *testing.T) {
	lateShare := func(learnt bool) (taken int, late float64) {
		w := newWorld(t, 4)
		w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 2 * time.Second, fleet.EndDone }
		w.advance(time.Second)
		if learnt {
			w.runJobs(120)
			w.advance(3 * time.Second)
		}
		var ids []string
		for i := range 30 {
			j := simpleJob(1+i, 4, 1900)
			call := w.submitJob(j)
			w.advance(50 * time.Millisecond)
			if w.verdicts[call].Verdict == cell.Accepted {
				ids = append(ids, j.ID)
			}
		}
		// The objective of work of 2 s is 6 s.
		w.advance(5 * time.Second)
		n := 0
		for _, id := range ids {
			if w.jobState(id) != job.Succeeded {
				n++
			}
		}
		return len(ids), float64(n) / float64(len(ids))
	}
	_, before := lateShare(false)
	taken, after := lateShare(true)
	require.Positive(t, taken)
	require.Less(t, after, before/2)
}

// TestLongTasksOfTheirOwnAreLeftAlone: one task in thirty takes seven times as long as said, on
// sound executors.
func TestLongTasksOfTheirOwnAreLeftAlone(t *testing.T) {
	w := newWorld(t, 4)
	rng := rand.New(rand.NewPCG(3, 5))
	times := map[string]time.Duration{}
	w.taskTime = func(task string, _ int) (time.Duration, fleet.RunEnd) {
		if times[task] == 0 {
			times[task] = time.Duration(350+rng.IntN(300)) * time.Millisecond
			if rng.IntN(30) == 0 {
				times[task] *= 7
			}
		}
		return times[task], fleet.EndDone
	}
	w.advance(time.Second)
	for i := range 150 {
		w.submitJob(simpleJob(1+i, 4, 1000))
		w.advance(100 * time.Millisecond)
	}
	w.advance(5 * time.Second)
	for task, n := range w.starts {
		require.Equal(t, 1, n, task)
	}
}
