package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jacinthwind/core/fleet"
)

// Limits of the scheduling.
const (
	// minStartWindow is the shortest time that must be left until the executor's
	// deadline to start a task.
	minStartWindow = 500 * time.Millisecond
	// successWindow is how long an executor counts as reliable after a success.
	successWindow = 5 * time.Second
	// starvationLimit is how late a step may become before it precedes the steps that
	// can still meet their objective, so that all accepted work gets done.
	starvationLimit = 10 * time.Second
	// maxRackWait is the longest time that a step waits for the rack of its data: for 3 s
	// a job may have nothing running while executors have room.
	maxRackWait = 2 * time.Second
	// maxServiceTasksTogether is how many service tasks of a step share an executor
	// while other executors have capacity.
	maxServiceTasksTogether = 2
)

// scheduleTasks starts waiting tasks in all pools.
func (k *Kernel) scheduleTasks() {
	k.releaseAsides()
	for _, name := range slices.Sorted(maps.Keys(k.pools)) {
		p := k.pools[name]
		if len(p.readySteps) == 0 {
			continue
		}
		candidates := k.candidateSteps(p)
		if len(candidates) == 0 {
			continue
		}
		free := k.startableExecutors(name)
		full := fullPool{anyClosed: slices.ContainsFunc(free, k.isClosed)}
		for _, s := range candidates {
			if len(free) > 0 {
				k.startStep(s, free, &full)
			}
			k.closeUnusedStarts(s)
		}
		k.setAsides(p, candidates, free)
	}
	k.requestNextAdvice()
}

// candidateSteps returns the steps with waiting tasks in the order in which they
// are served.
func (k *Kernel) candidateSteps(p *pool) []*stepRun {
	var found []*stepRun
	p.readySteps = slices.DeleteFunc(p.readySteps, func(s *stepRun) bool {
		if s.doneTasks == s.Count || s.job.state.IsFinal() {
			return true
		}
		if s.waitingTasks > 0 && k.isDue(s, 0) {
			found = append(found, s)
		}
		return false
	})
	slices.SortStableFunc(found, k.compareSteps)
	return found
}

// compareSteps orders steps: service steps first, then by priority, best-effort steps
// last. Among equals, steps that can meet their objective precede late ones, steps of jobs whose
// turn has come precede others, and the step with the earlier latest start comes first.
func (k *Kernel) compareSteps(a, b *stepRun) int {
	return cmp.Or(
		cmp.Compare(a.priorityRank(), b.priorityRank()),
		cmp.Compare(k.latenessRank(a), k.latenessRank(b)),
		cmp.Compare(k.turnRank(a), k.turnRank(b)),
		cmp.Compare(a.due-a.criticalPath, b.due-b.criticalPath),
	)
}

// priorityRank returns the rank of a step by kind and priority; lower ranks are
// served first.
func (s *stepRun) priorityRank() int {
	switch {
	case s.BestEffort:
		// After every queue priority.
		return 1 << 20
	case s.Service:
		// Before every queue priority.
		return -1
	}
	return s.job.priority()
}

// latenessRank returns 1 for a step that can no longer meet its objective, and 2 for one whose
// result will be worth nothing. Once the step is later than starvationLimit it returns 0, and the
// step precedes all others of its priority, so that all accepted work gets done.
func (k *Kernel) latenessRank(s *stepRun) int {
	end := k.now.Monotonic + s.criticalPath
	switch {
	case end <= s.due || end >= s.due+starvationLimit:
		return 0
	case end <= s.worthUntil:
		return 1
	}
	return 2
}

// startableExecutors returns the executors of a pool on which a task may start now.
func (k *Kernel) startableExecutors(pool string) []*executor {
	var free []*executor
	for _, x := range k.poolExecutors(pool) {
		// A later owner may claim the pools after our proof has ended without knowing
		// an executor that joined since then.
		if k.now.Monotonic > k.leaseUntil && x.fencedAt > k.leaseUntil {
			continue
		}
		// A later owner may have fenced the executor, and the next incarnation would not know.
		if !k.ownershipProved() && k.now.Monotonic > x.lastAnswerAt+recentAnswer {
			x.answerWanted = true
			continue
		}
		if x.openAcks == 0 && k.now.Monotonic >= x.strayAcksUntil && k.isUsable(x) && k.nextDeadline(x) >= x.clockAt(k.now.Monotonic+minStartWindow) {
			free = append(free, x)
		}
	}
	return free
}

// startStep starts as many waiting tasks of a step as fit. Each start only makes the
// room smaller, so what did not fit for an earlier step does not fit for a later one.
func (k *Kernel) startStep(s *stepRun, free []*executor, full *fullPool) {
	// Executors that are closed to others may be open to suspected tasks and to those that
	// have waited for long.
	mayBeClosed := full.anyClosed && k.now.Monotonic >= s.readyAt+closedWait(s)
	if !s.suspected && !mayBeClosed && s.aside == nil && full.rejects(s, s.ReservedSize()) {
		return
	}
	if s.job.queue != nil && s.job.queue.NeedsTicket && !k.ensureTickets(s, free) {
		return
	}
	if s.Label != "" {
		free = k.shownExecutors(s, free)
	}
	if s.Gang {
		if s.mayAttempt(0) {
			k.startGang(s, free)
		}
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskWaiting || t.uncertain || t.retryAt > k.now.Monotonic || !s.mayAttempt(i) {
			continue
		}
		if !k.withinTeamLimit(s, 1) {
			return
		}
		number := max(t.highestRun, k.RunBase) + 1
		if t.crashes.NeedsIsolation() {
			x, isolated := k.chooseForIsolation(s, t, free)
			switch {
			case x == nil:
			case !k.announceStart(x, s, i, number):
				k.startTask(x, s, i, number, isolated)
			case isolated:
				k.promise(x, t)
			}
			continue
		}
		if k.isCrashUnstored(s, t) {
			continue
		}
		k.isBarred = false
		x := k.chooseExecutor(s, t, free)
		if x == nil {
			// Tasks that have not failed are alike, so none of the others fits either. A
			// failed task ranks executors differently and may wait for its rack alone.
			if len(t.failedRuns) == 0 && !s.suspected {
				if s.isUnconstrained() && k.isBarred {
					full.barred = append(full.barred, barredSize{s.ReservedSize(), s.expectedStay()})
				} else if s.isUnconstrained() {
					full.sizes = append(full.sizes, s.ReservedSize())
				}
				return
			}
			continue
		}
		if !k.announceStart(x, s, i, number) {
			k.startTask(x, s, i, number, false)
		}
	}
}

// isUnconstrained reports whether only the room of an executor decides where a task of
// the step can run.
func (s *stepRun) isUnconstrained() bool {
	return s.Label == "" && s.Rack == "" && s.PerExecutor == 0 && s.tickets == nil
}

// withinTeamLimit reports whether n more tasks stay within the team's limit. A team that
// uses less than half of it may exceed it by one task, since a task or a gang that is larger
// than the rest might never start.
func (k *Kernel) withinTeamLimit(s *stepRun, n int) bool {
	limit, ok := k.teamLimit(s.job.Team)
	if !ok {
		return true
	}
	used := k.teamUsage[s.job.Team]
	if used.Add(s.ChargedSize().Times(int64(n))).Within(limit) {
		return true
	}
	return isBelowHalf(used, limit) && used.Add(s.ChargedSize().Times(int64(n-1))).Within(limit)
}

// isBelowHalf reports whether each limited resource is used to less than half.
func isBelowHalf(used, limit fleet.Vector) bool {
	return (limit.CPU == 0 || used.CPU*2 < limit.CPU) && (limit.Mem == 0 || used.Mem*2 < limit.Mem) && (limit.GPU == 0 || used.GPU*2 < limit.GPU)
}

// closedWait returns how long a task waits for an executor that is not closed for isolated
// runs before it starts on one that is.
func closedWait(s *stepRun) time.Duration {
	if s.Service {
		return maxIsolationWait
	}
	return maxClosedWait
}

// chooseExecutor returns the best executor for a task, or nil.
func (k *Kernel) chooseExecutor(s *stepRun, t *task, free []*executor) *executor {
	x := k.chooseAmong(s, t, free, false)
	if x == nil && k.now.Monotonic >= max(t.waitsSince(s), t.retryAt)+closedWait(s) && slices.ContainsFunc(free, k.isClosed) {
		// A crash is still charged to the run in isolation.
		x = k.chooseAmong(s, t, free, true)
	}
	return x
}

// chooseAmong returns the best executor for a task, closed ones included or not, or nil.
func (k *Kernel) chooseAmong(s *stepRun, t *task, free []*executor, closed bool) *executor {
	need := s.ReservedSize()
	var best *executor
	var bestScore score
	rackFull := false
	for _, x := range free {
		if !k.fits(x, s, need) || (!closed && k.isClosed(x)) {
			rackFull = rackFull || (s.Rack != "" && x.Rack() == s.Rack && x.avoidUntil <= k.now.Monotonic)
			continue
		}
		if sc := k.scoreExecutor(x, s, t); best == nil || sc.less(bestScore) {
			best, bestScore = x, sc
		}
	}
	if best != nil && bestScore.misplacement > 0 && rackFull && k.shouldWaitForRack(s) {
		return nil
	}
	return best
}

// shouldWaitForRack reports whether a step should wait for an executor in the rack
// of its data. It waits for at most half of the time that it would lose elsewhere,
// since the length of the wait is unknown, and only while it can meet its
// objective. A service task has no end that its rack would bring nearer.
func (k *Kernel) shouldWaitForRack(s *stepRun) bool {
	if s.Service {
		return false
	}
	loss := time.Duration((k.OffRackFactor - 1) * float64(s.expected.Typical))
	return k.now.Monotonic < s.readyAt+min(loss/2, maxRackWait) && k.latenessRank(s) == 0
}

// fits reports whether an executor has room for a task and meets its requirements.
func (k *Kernel) fits(x *executor, s *stepRun, need fleet.Vector) bool {
	if s.tickets != nil {
		if _, ok := s.tickets[x.ID]; !ok {
			return false
		}
	}
	return k.fitsWithTicket(x, s, need)
}

// fitsWithTicket reports whether an executor has room for a task and meets its requirements, but
// for a ticket.
func (k *Kernel) fitsWithTicket(x *executor, s *stepRun, need fleet.Vector) bool {
	return x.avoidUntil <= k.now.Monotonic && hasRoom(x, s, need) && (s.PerExecutor == 0 || x.countRuns(s) < s.PerExecutor) && k.mayUse(x, s, need)
}

// countRuns returns how many runs of a step an executor has.
func (x *executor) countRuns(s *stepRun) int {
	n := 0
	for _, r := range x.runs {
		if r.step == s {
			n++
		}
	}
	return n
}

// score ranks executors for a task. Lower values are better; fields are compared in
// their order.
type score struct {
	unreliability int
	// misplacement counts that the executor is outside the rack of the step's data,
	// and that maintenance will take its VM down.
	misplacement int
	crowding     int
	freeCPU      int64
}

// less reports whether a is better than b.
func (a score) less(b score) bool {
	return cmp.Or(cmp.Compare(a.unreliability, b.unreliability), cmp.Compare(a.misplacement, b.misplacement),
		cmp.Compare(a.crowding, b.crowding), cmp.Compare(a.freeCPU, b.freeCPU)) < 0
}

// scoreExecutor rates an executor for a task.
func (k *Kernel) scoreExecutor(x *executor, s *stepRun, t *task) score {
	var sc score
	if len(t.failedRuns) > 0 {
		// One more failure may end the job, so prefer executors with a recent success.
		if t.lastFailedOn == x.ID {
			sc.unreliability += 2
		}
		if x.lastSuccessAt == 0 || x.lastSuccessAt < k.now.Monotonic-successWindow {
			sc.unreliability++
		}
	}
	sc.unreliability += x.failureStreak
	if s.Rack != "" && x.Rack() != s.Rack {
		sc.misplacement = 1
	}
	sc.freeCPU = x.Capacity.CPU - x.used.CPU
	switch {
	case s.BestEffort:
		// Best-effort tasks prefer the executors with the most free CPU and the fewest runs
		// that have a latency target.
		sc.crowding = x.countTargetRuns()
		sc.freeCPU = -sc.freeCPU
	case s.Service:
		// Service tasks are packed on few VMs so that the others can be lent or
		// switched off, but the loss of one VM must hit few tasks of a step.
		sc.crowding = max(x.countRuns(s)-maxServiceTasksTogether+1, 0)
		if x.maintenanceDue {
			// A service task would have to move again.
			sc.misplacement++
		}
	}
	return sc
}

// countTargetRuns counts the runs on an executor that have a latency target.
func (x *executor) countTargetRuns() int {
	n := 0
	for _, r := range x.runs {
		if r.step.TargetMs > 0 {
			n++
		}
	}
	return n
}

// startGang starts all tasks of a gang at once, or none.
func (k *Kernel) startGang(s *stepRun, free []*executor) {
	number := k.RunBase
	isolate, needsProof := false, false
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskWaiting || t.uncertain || t.retryAt > k.now.Monotonic || k.isCrashUnstored(s, t) {
			return
		}
		number = max(number, t.highestRun)
		isolate = isolate || t.crashes.NeedsIsolation()
		needsProof = needsProof || t.crashes.NeedsProof()
	}
	if !k.withinTeamLimit(s, s.Count) {
		return
	}
	if isolate {
		k.startGangOn(s, k.isolateGang(s, free, needsProof), number)
		return
	}
	for _, group := range rackGroups(s, free) {
		if assigned := k.assignGang(s, group, false); assigned != nil {
			k.startGangOn(s, assigned, number)
			return
		}
	}
}

// startGangOn starts the tasks of a gang on the executors that were assigned to them, if any.
func (k *Kernel) startGangOn(s *stepRun, assigned []*executor, number int) {
	waits := false
	for i, x := range assigned {
		waits = k.announceStart(x, s, i, number+1) || waits
	}
	if waits {
		for i, x := range assigned {
			if s.tasks[i].crashes.NeedsIsolation() {
				k.promise(x, &s.tasks[0])
			}
		}
		return
	}
	checkpoint := s.tasks[0].checkpoint
	for i, x := range assigned {
		s.tasks[i].checkpoint = checkpoint
		k.startTask(x, s, i, number+1, s.tasks[i].crashes.NeedsIsolation())
	}
}

// rackGroups returns the groups of executors on which a gang may be placed, in the
// order of preference.
func rackGroups(s *stepRun, free []*executor) [][]*executor {
	if !s.SameRack {
		return [][]*executor{free}
	}
	byRack := map[string][]*executor{}
	for _, x := range free {
		byRack[x.Rack()] = append(byRack[x.Rack()], x)
	}
	var groups [][]*executor
	for _, rack := range slices.Sorted(maps.Keys(byRack)) {
		groups = append(groups, byRack[rack])
	}
	return append(groups, free)
}

// assignGang returns an executor for each task of a gang, or nil if not all tasks
// fit. Executors that are closed for isolated runs only take a gang that is isolated.
func (k *Kernel) assignGang(s *stepRun, free []*executor, isolate bool) []*executor {
	need := s.ReservedSize()
	assigned := map[*executor]int64{}
	var executors []*executor
	for range s.tasks {
		var found *executor
		for _, x := range free {
			taken := assigned[x]
			if !k.fits(x, s, need.Times(taken+1)) || (!isolate && k.isClosed(x)) || (s.PerExecutor > 0 && x.countRuns(s)+int(taken) >= s.PerExecutor) {
				continue
			}
			found = x
			break
		}
		if found == nil {
			return nil
		}
		assigned[found]++
		executors = append(executors, found)
	}
	return executors
}
