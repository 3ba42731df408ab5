package cell

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxCordonedWait is how long a service task waits while only executors fit that a wave
	// is emptying. It is well below the 6 s in which a service task must run again.
	maxCordonedWait = 2 * time.Second
	// cordonPause is how long an executor that was opened again for a waiting task is not
	// emptied for a wave.
	cordonPause = 8 * time.Second
)

// openForWaiting opens executors that a wave is emptying to service tasks that have waited
// too long for another one. Without that, a task that was stopped to empty its executor waits
// for as long as the disruption budgets of the other tasks there forbid to stop them, and
// these forbid it while the task waits.
func (k *Kernel) openForWaiting() {
	if !slices.ContainsFunc(k.executorOrder, k.isBeingEmptied) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(k.pools)) {
		for _, s := range k.pools[name].readySteps {
			if k.waitsTooLong(s) && k.withinTeamLimit(s, 1) {
				k.openFor(s)
			}
		}
	}
}

// isBeingEmptied reports whether an executor gets no new work although no order for its VM is
// in progress.
func (k *Kernel) isBeingEmptied(x *executor) bool {
	_, ordered := k.vmOrders[x.lastVM]
	return x.cordoned && !ordered
}

// waitsTooLong reports whether a task of a service step has waited for maxCordonedWait.
func (k *Kernel) waitsTooLong(s *stepRun) bool {
	if !s.Service || s.waitingTasks == 0 || s.job.state.IsFinal() || !k.isDue(s, 0) {
		return false
	}
	return slices.ContainsFunc(s.tasks, func(t task) bool {
		return t.state == taskWaiting && !t.uncertain && t.retryAt <= k.now.Monotonic &&
			k.now.Monotonic >= t.waitsSince(s)+maxCordonedWait
	})
}

// openFor opens the executor that costs a wave the most to empty, unless a task of the step
// fits on another one.
func (k *Kernel) openFor(s *stepRun) {
	need := s.ReservedSize()
	var best *executor
	for _, x := range k.poolExecutors(s.job.Pool) {
		if !k.fits(x, s, need) {
			continue
		}
		if k.isUsable(x) {
			return
		}
		if k.isBeingEmptied(x) && (best == nil || len(x.runs) > len(best.runs)) && k.isUsableUncordoned(x) {
			best = x
		}
	}
	if best != nil {
		best.cordoned, best.cordonAfter = false, k.now.Monotonic+cordonPause
	}
}
