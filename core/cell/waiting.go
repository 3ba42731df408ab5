package cell

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

const (
	// waitLogInterval is the time between two reports of the tasks that wait.
	waitLogInterval = time.Second
	// minLoggedWait is how long a service task must wait to be reported: a restart and a
	// backoff take less.
	minLoggedWait = 1500 * time.Millisecond
)

// Reasons why a task does not start.
const (
	waitsForRecovery  = "a run of it may exist unseen"
	waitsForBackoff   = "backoff after a failure"
	waitsForLimit     = "limit of the team"
	waitsForCrash     = "a crash under it is not stored"
	waitsForTicket    = "no ticket"
	waitsForExecutor  = "no executor can start tasks"
	waitsForRoom      = "no executor fits"
	waitsForIsolation = "no executor can isolate it"
	waitsForOpening   = "executors that fit are closed for isolation"
	waitsForGang      = "other tasks of its gang"
	waitsForRack      = "rack of its data, or its turn"
)

// logWaits reports, for each pool, the service task that has waited longest and why it
// does not start.
func (k *Kernel) logWaits() {
	if k.now.Monotonic < k.waitsLoggedAt+waitLogInterval {
		return
	}
	k.waitsLoggedAt = k.now.Monotonic
	for _, name := range slices.Sorted(maps.Keys(k.pools)) {
		if s, i, since := k.longestWait(k.pools[name]); s != nil && k.now.Monotonic-since >= minLoggedWait {
			k.logWait(s, i, since)
		}
	}
}

// waitsSince returns since when a task of a step has waited for an executor.
func (t *task) waitsSince(s *stepRun) time.Duration { return max(t.waitingSince, s.readyAt) }

// longestWait returns the step and the index of the service task that has waited longest in
// a pool, and since when; the step is nil if there is none.
func (k *Kernel) longestWait(p *pool) (longest *stepRun, index int, since time.Duration) {
	for _, s := range p.readySteps {
		if !s.Service || s.waitingTasks == 0 || s.job.state.IsFinal() || !k.isDue(s, 0) {
			continue
		}
		for i := range s.tasks {
			t := &s.tasks[i]
			if at := t.waitsSince(s); t.state == taskWaiting && (longest == nil || at < since) {
				longest, index, since = s, i, at
			}
		}
	}
	return longest, index, since
}

// logWait reports a waiting task with the executors that could take it.
func (k *Kernel) logWait(s *stepRun, index int, since time.Duration) {
	t := &s.tasks[index]
	free := k.startableExecutors(s.job.Pool)
	need := s.ReservedSize()
	var fitting, closed, roomy, avoided, cordoned, silent, undescribed int
	for _, x := range k.poolExecutors(s.job.Pool) {
		if hasRoom(x, s, need) && (s.PerExecutor == 0 || x.countRuns(s) < s.PerExecutor) {
			roomy++
			cordoned += countIf(x.cordoned)
			silent += countIf(x.misses > 0 || !x.fenced || !x.listed)
			undescribed += countIf(!x.isDescribed())
			avoided += countIf(x.avoidUntil > k.now.Monotonic)
		}
	}
	for _, x := range free {
		if k.fits(x, s, need) {
			fitting++
			closed += countIf(k.isClosed(x))
		}
	}
	k.log(event.TaskWaits, "pool", s.job.Pool, "job", s.job.ID, "step", s.index, "task", index, "waited_ms", (k.now.Monotonic - since).Milliseconds(),
		"reason", k.waitReason(s, t, len(free), fitting, closed), "crashes", t.crashes, "size", need, "label", s.Label, "rack", s.Rack,
		"executors", len(k.poolExecutors(s.job.Pool)), "startable", len(free), "fitting", fitting, "closed", closed,
		"with_room", roomy, "cordoned", cordoned, "avoided", avoided, "silent", silent, "undescribed", undescribed)
}

// waitReason says why a task does not start, given how many executors of its pool can start
// tasks, how many of them fit it and how many of those are closed.
func (k *Kernel) waitReason(s *stepRun, t *task, free, fitting, closed int) string {
	switch {
	case t.uncertain:
		return waitsForRecovery
	case t.retryAt > k.now.Monotonic:
		return waitsForBackoff
	case k.isCrashUnstored(s, t):
		return waitsForCrash
	case free == 0:
		return waitsForExecutor
	case s.job.queue != nil && s.job.queue.NeedsTicket && (len(s.tickets) == 0 || k.now.Monotonic >= s.ticketsExpireAt):
		return waitsForTicket
	case s.Gang && s.waitingTasks < s.Count:
		return waitsForGang
	case !k.withinTeamLimit(s, 1):
		return waitsForLimit
	case fitting == 0:
		return waitsForRoom
	case t.crashes.NeedsIsolation():
		return waitsForIsolation
	case closed == fitting:
		return waitsForOpening
	}
	return waitsForRack
}

// hasRoom reports whether an executor has room for a task and the label that it requires.
func hasRoom(x *executor, s *stepRun, need fleet.Vector) bool {
	return x.used.Add(need).FitsIn(x.Capacity) && (s.Label == "" || x.HasLabel(s.Label))
}

// countIf returns 1 if a condition holds.
func countIf(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
