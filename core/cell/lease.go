package cell

import (
	"time"

	"jacinthwind/core/fleet"
)

// strayCallWindow is how long after the start of an incarnation calls that were meant for the
// previous one may reach it: the time between two renewals of an idle executor, the wait for
// an answer, as long as an owner may be suspended without losing its pools, and as far as the
// time of day may differ between VMs.
const strayCallWindow = 10 * time.Second

// lateCallWindow is how long after its end without an answer a call may still be carried out.
// Its connection is reset then, so that only what is in the network is left of it.
const lateCallWindow = 500 * time.Millisecond

// MaxOrderTime is how long after it was sent a node may carry an order that is no renewal and that
// the owner has given up: the node may outlive its link to the owner.
const MaxOrderTime = 900 * time.Millisecond

// maxRenewalTime is the same for a renewal, beyond the time for which the executor may wait: it is
// at most 0.6 s old when a node sends it, and its answer begins within 0.6 s.
const maxRenewalTime = 1200 * time.Millisecond

// callEnd returns when a call ends that is not awaited any more: now, unless a node may still carry
// it for as long as limit after it was sent.
func (k *Kernel) callEnd(sent time.Duration, isCarried bool, limit time.Duration) time.Duration {
	if !isCarried {
		return k.now.Monotonic
	}
	return max(k.now.Monotonic, sent+limit)
}

// deadlineSpan returns the time from the grant of a deadline to the deadline.
func (k *Kernel) deadlineSpan() time.Duration {
	return min(maxDeadlineSpan, k.MaxRenewalGap-deadlineMargin)
}

// withClockDrift returns the longest time on our clock in which a slow clock
// advances by d.
func withClockDrift(d time.Duration) time.Duration { return d * clockDriftFactorPermille / 1000 }

// longestLease returns the longest time for which an executor keeps its runs going after a
// call. An executor that has started again takes the deadlines that were meant for its
// previous incarnation for as long as it ever grants, since its clock began anew.
func (k *Kernel) longestLease() time.Duration {
	return withClockDrift(k.MaxRenewalGap) + expirySlack
}

// nextDeadline returns the latest deadline that may be granted now, on the
// executor's clock. It is at most deadlineSpan after the time until which the
// ownership is proved.
func (k *Kernel) nextDeadline(x *executor) int64 {
	if x.clockMs == 0 {
		return 0
	}
	left := min(k.deadlineSpan(), k.ownershipProvedUntil()+k.deadlineSpan()-k.now.Monotonic)
	return x.clockAt(k.now.Monotonic + left)
}

// clockAt returns the reading of the executor's clock at a time.
func (x *executor) clockAt(at time.Duration) int64 {
	return x.clockMs + (at - x.clockReadAt).Milliseconds()
}

// grantDeadline returns the deadline that the next call grants, and notes it.
func (k *Kernel) grantDeadline(x *executor) int64 {
	deadline := k.nextDeadline(x)
	x.leaseUntilMs = max(x.leaseUntilMs, deadline)
	return deadline
}

// assumeInheritedLease notes for how long an incarnation that answers this owner for the first
// time may continue its runs. An earlier owner may have granted as much as this one does, and
// calls that were meant for its previous incarnation more than that.
func (k *Kernel) assumeInheritedLease(x *executor) {
	// The clock does not tell the age: it may start with any reading.
	age := time.Duration(k.now.UnixMs-x.bornMs) * time.Millisecond
	if x.bornMs == 0 || age < strayCallWindow+k.MaxRenewalGap {
		k.assumeLongestLease(x)
		return
	}
	x.leaseUntilMs = max(x.leaseUntilMs, x.clockAt(k.now.Monotonic+k.deadlineSpan()))
}

// assumeLongestLease notes that a call which was meant for the previous incarnation of an
// executor may have been carried out until now, or may still be if it got no answer.
func (k *Kernel) assumeLongestLease(x *executor) {
	if x.clockMs == 0 {
		return
	}
	carriedOutAt := max(k.now.Monotonic, x.strayCallsUntil)
	x.leaseUntilMs = max(x.leaseUntilMs, x.clockAt(carriedOutAt+k.MaxRenewalGap))
}

// deadlinesExpired reports whether all deadlines that were granted to the known incarnation
// of an executor have passed, even on a slow clock.
func (k *Kernel) deadlinesExpired(x *executor) bool {
	if x.clockMs == 0 {
		return k.now.Monotonic > x.knownSince+k.longestLease()
	}
	return k.now.Monotonic > x.clockReadAt+withClockDrift(time.Duration(x.leaseUntilMs-x.clockMs)*time.Millisecond)+expirySlack
}

// isConfirmed reports whether the known incarnation of the executor has shown that it has the
// run. The start of any other run may have been carried out by a later incarnation.
func (r *run) isConfirmed() bool { return r.beganAt != 0 }

// noteUnanswered notes that a call which may extend the lease ends at the given time without an
// answer. It may still be carried out, also by a later incarnation.
func (k *Kernel) noteUnanswered(x *executor, endsAt time.Duration) {
	x.strayCallsUntil = max(x.strayCallsUntil, endsAt+lateCallWindow)
}

// noteStrayCall notes that a call which was sent before the known incarnation was noticed ends at the
// given time. It may have had a deadline on the clock of the previous one.
func (k *Kernel) noteStrayCall(x *executor, outcome fleet.OrderOutcome, endsAt time.Duration) {
	x.strayCallsUntil = max(x.strayCallsUntil, k.now.Monotonic)
	if outcome == fleet.OrderUnknown {
		k.noteUnanswered(x, endsAt)
	}
	k.assumeLongestLease(x)
}

// strayUntil returns until when the start of a run without an answer may be carried out.
func (r *run) strayUntil() time.Duration {
	return max(r.sentAt, r.answeredAt, r.unansweredEnd) + lateCallWindow
}

// mayStartAfter reports whether the start of a run, which got no answer, may be carried out after a
// time. What an incarnation has said or confirmed before tells nothing of the next one.
func (r *run) mayStartAfter(at time.Duration) bool {
	return r.unansweredEnd != 0 && !r.isConfirmed() && at <= r.unansweredEnd+lateCallWindow
}

// isCoveredByList reports whether a list of VMs that was requested at the given time is young enough
// to show the executor if its present incarnation has the run. The answer to a start from before an
// incarnation was noticed may be a later one's.
func (r *run) isCoveredByList(requested time.Duration) bool {
	if r.isConfirmed() {
		return requested > r.beganAt+vmListLag
	}
	return r.answeredAt != 0 && requested > r.strayUntil()+vmListLag
}

// hasStrayRunEnded reports whether a run that is not confirmed must have ended, even if a later
// incarnation of its silent executor started it and took all deadlines that were sent.
func (k *Kernel) hasStrayRunEnded(r *run) bool {
	x := r.executor
	if x.absent && r.isCoveredByList(x.absentSince) {
		return true
	}
	return k.now.Monotonic > max(r.strayUntil(), x.strayCallsUntil)+k.longestLease()
}

// needsLaterVMList reports whether a list of VMs that is requested now can show the end of runs of
// an executor, which the last one did not.
func (k *Kernel) needsLaterVMList(x *executor) bool {
	for _, r := range x.runs {
		if !r.isCoveredByList(x.absentSince) && r.isCoveredByList(k.now.Monotonic) {
			return true
		}
	}
	return false
}
