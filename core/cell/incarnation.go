package cell

import (
	"time"

	"jacinthwind/core/event"
)

// incarnation is what the owner has observed of one incarnation of an executor. Nothing of it
// says anything about the next one.
type incarnation struct {
	// bornMs is the Unix time of its start in milliseconds, zero if no answer has shown it.
	bornMs int64
	// knownSince is when this owner first knew it. It bounds the deadlines that an earlier
	// owner granted.
	knownSince time.Duration
	// noticedAt is when it was noticed. Answers to calls that were sent earlier may come from
	// the previous one.
	noticedAt time.Duration
	// token fences the calls to it. It is higher than that of the previous one if the store
	// has confirmed a change since, so that calls which were meant for that one are refused.
	token int64
	// fenced is true once it has answered a renewal that carried our token; fencedAt is when
	// it did.
	fenced   bool
	fencedAt time.Duration
	// absent is true if the list of VMs, requested at absentSince, shows no VM that is up with
	// this executor.
	absent      bool
	absentSince time.Duration
	// clockMs is the executor's clock, as read at clockReadAt.
	clockMs     int64
	clockReadAt time.Duration
	// leaseUntilMs is until when it may continue its runs, on its clock.
	leaseUntilMs int64
	// seenEnd is the number of the last run end that this owner has handled, and
	// ackedEnd that of the last one that is stored and may be acknowledged.
	ackedEnd int64
	seenEnd  int64
	// forgottenEnd is the number of the last end whose acknowledgement it has answered.
	forgottenEnd int64
	// moreEnded is true while it may hold ends after seenEnd that it has not listed yet.
	moreEnded bool
	// unsizedRuns counts the runs in its last list that nobody wants and whose size is not
	// known. Until a list shows that they have ended nothing starts here.
	unsizedRuns int
	// misses counts the unanswered renewals in a row. An unanswered start or a
	// confirmed order for the VM also raises it to missThreshold.
	misses int
	// lastAnswerAt is when it last answered a call.
	lastAnswerAt time.Duration
	// aliveAt is when the last call that was answered had been sent: it lived then, while
	// its answer may be much older than its arrival.
	aliveAt time.Duration
	// shownAt is when the answer to a renewal last showed that it lives. The answers to other
	// calls do not name the incarnation.
	shownAt time.Duration
	// silentSince is when it first missed a call after its last answer.
	silentSince time.Duration
	// silentInIsolation is true if it had a run in isolation then.
	silentInIsolation bool
	// undescribedSince is when it was found that its own entry has not been read yet, zero if it
	// has.
	undescribedSince time.Duration
	// lossNoted is true once its loss was noted.
	lossNoted bool
	// closedUntil is until when nothing starts here, so that a run can be isolated once the
	// others have settled.
	closedUntil time.Duration
	// failureStreak counts the failed runs since the last success.
	failureStreak int
	lastSuccessAt time.Duration
	// isSlow is true while several runs of different jobs are much slower here than expected.
	isSlow bool
	// endedSpeeds holds the speeds of the last runs that ended here, the oldest first.
	endedSpeeds []endedSpeed
	// refusals counts the starts in a row that it refused for want of capacity or because
	// its deadline had passed.
	refusals int
	// avoidUntil is the time until which it gets no new work.
	avoidUntil time.Duration
}

// newIncarnation returns what is known of an incarnation that is noticed now.
func (k *Kernel) newIncarnation() incarnation {
	return incarnation{token: k.latestToken, knownSince: k.now.Monotonic, noticedAt: k.now.Monotonic}
}

// expectIncarnation notes that the entry of an executor names a later start than its
// answers. Another writer may have left the entry, so only the answer to a renewal that is
// sent at once, or the end of its deadlines, shows whether its runs have ended.
func (k *Kernel) expectIncarnation(x *executor, startedMs int64) {
	if startedMs == x.expectedStartMs || startedMs == x.refutedStartMs {
		return
	}
	x.expectedStartMs = startedMs
	k.renewAtOnce(x)
}

// renewAtOnce lets the next renewal be sent at once. One that is under way may wait for an
// answer of the previous incarnation.
func (k *Kernel) renewAtOnce(x *executor) {
	x.renewing, x.renewalEndedAt, x.renewalsSince = false, 0, k.now.Monotonic
}

// replaceIncarnation forgets an executor's previous incarnation, and the runs that it has shown.
// An answer of the new one has shown its clock; bornMs is zero if its start is not known yet.
func (k *Kernel) replaceIncarnation(x *executor, bornMs, clockMs int64) {
	next := k.newIncarnation()
	next.bornMs = bornMs
	next.clockMs, next.clockReadAt, next.lastAnswerAt = clockMs, k.now.Monotonic, k.now.Monotonic
	// All orders from now on are for the new one.
	x.token = next.token
	k.log(event.ExecutorReborn, "executor", x.ID, "born", bornMs, "runs", len(x.runs), "misses", x.misses, "absent", x.absent)
	k.logExecutorLoss(x, "it has a new incarnation")
	k.blameLoss(x, true)
	for _, r := range sortedRuns(x) {
		if r.isConfirmed() && r.firstReportAt != 0 {
			k.abandonRun(r, "reborn")
			continue
		}
		// The new incarnation may have carried out the start, as the answer to a start does not
		// tell which one did. Only its lists show what became of the run.
		r.unconfirm()
		r.stopConfirmed, r.stopSentAt = false, 0
	}
	x.incarnation = next
	x.expectedStartMs, x.refutedStartMs = 0, 0
	k.assumeLongestLease(x)
	k.renewAtOnce(x)
	k.dropTickets(x)
	k.describeByLatestEntry(x)
}

// clockRegressionSlack is how far an executor's clock may lag behind the expected
// reading, beyond the drift of clockDriftFactorPermille, before it counts as reset.
// It leaves room for the rounding of the readings.
const clockRegressionSlack = 250 * time.Millisecond

// updateClock reads the executor's clock from the answer to a call that was sent at
// the given time. A clock that went back belongs to a new incarnation, whose start
// time comes with the next renewal. Answers may overtake each other, so only a
// call that was sent after the last reading counts as a later one.
func (k *Kernel) updateClock(x *executor, sent time.Duration, clock int64) {
	if clock <= 0 || sent < x.noticedAt {
		return
	}
	if x.hasClockReset(sent, clock) {
		k.replaceIncarnation(x, 0, clock)
		return
	}
	x.lastAnswerAt, x.aliveAt = k.now.Monotonic, max(x.aliveAt, sent)
	x.absent = x.absent && sent < x.absentSince
	if x.clockMs == 0 || sent >= x.clockReadAt {
		x.clockMs, x.clockReadAt = clock, k.now.Monotonic
	}
}

// hasClockReset reports whether the answer to a call that was sent at the given time shows a clock
// that went back.
func (x *executor) hasClockReset(sent time.Duration, clock int64) bool {
	elapsed := sent - x.clockReadAt
	if elapsed > 0 {
		elapsed = elapsed * 1000 / clockDriftFactorPermille
	}
	return x.clockMs > 0 && clock < x.clockMs+(elapsed-clockRegressionSlack).Milliseconds()
}
