package cell

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

// Thresholds on an executor's health.
const (
	// suspectMisses is after how many unanswered renewals an executor gets no
	// more work.
	suspectMisses = 1
	// failStreak is after how many failed runs without a success an executor
	// gets no more work for avoidFor.
	failStreak = 2
	avoidFor   = 4 * time.Second
	// refusedFor is how long an executor that refused an order is left alone.
	refusedFor = time.Second
)

// list takes the executors that are registered.
func (k *Kernel) list(executors []fleet.Executor) {
	k.listSeen = true
	for _, x := range k.executors {
		x.listed = false
	}
	for _, e := range executors {
		x := k.executors[e.ID]
		if x == nil {
			x = &executor{Executor: e, runs: map[runKey]*run{}, knownSince: k.now.Mono}
			k.executors[e.ID] = x
			k.byID = nil
		}
		switch {
		case x.born != 0 && e.Born > x.born:
			k.reborn(x, e.Born)
		case x.born == 0 && e.Born != x.Executor.Born:
			// An answer that is on its way may come from the incarnation before.
			x.incarnationAt = k.now.Mono
		}
		x.Executor = e
		x.listed = true
	}
}

// reborn forgets what an earlier incarnation ran.
func (k *Kernel) reborn(x *executor, born int64) {
	k.log(event.ExecutorReborn, "executor", x.ID, "born", born, "runs", len(x.runs))
	for _, r := range sortedRuns(x) {
		if r.state != runStarting {
			k.dropRun(r, "reborn")
		}
	}
	x.born, x.fenced = born, false
	x.ackSeq, x.seenSeq, x.clock, x.granted = 0, 0, 0, 0
	x.failures, x.knownSince, x.incarnationAt = 0, k.now.Mono, k.now.Mono
}

// regressSlack covers the drift of an executor's clock.
const regressSlack = 250 * time.Millisecond

// readClock takes the clock from the answer to a call that was sent at a time. A
// clock that went back is that of a new incarnation, whose birth the next renewal
// tells; answers overtake each other, so that only a call that was sent after the
// last reading can prove it.
func (k *Kernel) readClock(x *executor, sent time.Duration, clock int64) {
	if clock <= 0 {
		return
	}
	x.reachedAt = k.now.Mono
	if x.clock > 0 && sent < x.clockAt {
		return
	}
	elapsed := sent - x.clockAt
	if x.clock > 0 && clock < x.clock+(elapsed*1000/clockDrift-regressSlack).Milliseconds() {
		k.reborn(x, 0)
	}
	x.clock, x.clockAt = clock, k.now.Mono
}

// usable reports whether an executor may get new work.
func (k *Kernel) usable(x *executor) bool {
	return x.listed && x.fenced && !x.Draining && !x.cordoned && x.misses < suspectMisses &&
		!k.evacuated[x.DataCentre] && x.avoid <= k.now.Mono
}

// lapsed reports whether all deadlines that were granted to an executor have
// passed, also by a slow clock.
func (k *Kernel) lapsed(x *executor) bool {
	if k.now.Mono <= k.claimedAt+k.inheritedHold() {
		return false
	}
	if x.clock == 0 {
		return k.now.Mono > x.knownSince+k.inheritedHold()
	}
	return k.now.Mono > x.clockAt+stretch(time.Duration(x.granted-x.clock)*time.Millisecond)+lapseSlack
}

// inheritedHold bounds how long runs of an earlier owner go on.
func (k *Kernel) inheritedHold() time.Duration {
	return stretch(k.hold()) + lapseSlack
}

// hold is the length of the deadlines that are granted.
func (k *Kernel) hold() time.Duration { return min(holdLength, k.HoldMax-holdMargin) }

// stretch is the longest time by our clock in which a slow clock counts d.
func stretch(d time.Duration) time.Duration { return d * clockDrift / 1000 }

// deadline returns the latest deadline that may be granted now, on the
// executor's clock: what is granted ends a fixed time after our ownership, or after
// the last proof that nobody else can have it.
func (k *Kernel) deadline(x *executor) int64 {
	if x.clock == 0 {
		return 0
	}
	left := min(k.hold(), k.provedUntil()+k.hold()-k.now.Mono)
	elapsed := k.now.Mono - x.clockAt
	return x.clock + (elapsed + left).Milliseconds()
}

// checkExecutors drops the runs of executors that must have ended them.
func (k *Kernel) checkExecutors() {
	for _, x := range slices.Clone(k.sorted()) {
		k.retryStops(x)
		if !k.proved() {
			// A later owner may have renewed what this one takes for ended.
			continue
		}
		silent := x.misses > 0 || !x.listed
		gone := x.absent && x.misses > 0
		if !silent || (!gone && !k.lapsed(x)) {
			continue
		}
		reason := "executor silent past its deadline"
		if gone {
			reason = "its VM is not up"
		}
		for _, r := range sortedRuns(x) {
			k.dropRun(r, reason)
		}
		if !x.listed {
			k.log(event.ExecutorRemoved, "executor", x.ID)
			delete(k.executors, x.ID)
			k.byID = nil
		}
	}
}

// retryStops repeats the stops that got no answer.
func (k *Kernel) retryStops(x *executor) {
	if x.misses > 0 {
		return
	}
	for _, r := range sortedRuns(x) {
		if r.state == runStopping && !r.stopped {
			k.stopRun(r)
		}
	}
}

// dropRun gives up on a run that cannot be at work any more.
func (k *Kernel) dropRun(r *run, reason string) {
	k.log(event.RunLost, "task", r.name, "run", r.number, "executor", r.executor.ID, "reason", reason)
	k.release(r)
	if t := r.task(); t.current == r {
		t.current = nil
		k.waitAgain(r.step, r.index)
		if !k.proved() {
			// A later owner may have the task already, and this one would not know.
			t.uncertain = true
			k.doubted = append(k.doubted, t)
		}
	}
}

// proved reports whether no other node can own the pools now.
func (k *Kernel) proved() bool { return k.now.Mono <= k.provedUntil() }

// provedUntil is until when no other node can own the pools: by our lease, or for want
// of the store.
func (k *Kernel) provedUntil() time.Duration { return max(k.until, k.outage) }

// trustAgain lets the tasks wait again that were lost while the ownership was not
// proved: it is proved to have stood all along.
func (k *Kernel) trustAgain() {
	if len(k.doubted) == 0 || !k.proved() {
		return
	}
	for _, t := range k.doubted {
		t.uncertain = false
	}
	k.doubted = nil
}

// release frees the room of a run.
func (k *Kernel) release(r *run) {
	key := runKey{r.name, r.number}
	if r.executor.runs[key] != r {
		return
	}
	delete(r.executor.runs, key)
	r.executor.busyAt = k.now.Mono
	r.executor.used = r.executor.used.Sub(r.reserved)
	k.usage[r.step.job.Team] = k.usage[r.step.job.Team].Sub(r.charged)
}

func (r *run) task() *task { return &r.step.tasks[r.index] }

// waitAgain lets a task wait for an executor.
func (k *Kernel) waitAgain(s *stepRun, index int) {
	t := &s.tasks[index]
	if t.state != taskPlaced {
		return
	}
	t.state = taskWaiting
	s.waiting++
}

func sortedRuns(x *executor) []*run {
	runs := slices.Collect(maps.Values(x.runs))
	slices.SortFunc(runs, func(a, b *run) int {
		if a.name != b.name {
			if a.name < b.name {
				return -1
			}
			return 1
		}
		return a.number - b.number
	})
	return runs
}
