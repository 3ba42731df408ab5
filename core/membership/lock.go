package membership

import (
	"slices"
	"time"
)

// lockRequest is the state of the request to the voters to lock an assignment.
type lockRequest struct {
	revision int64
	sent     bool
	sentAt   time.Time
	// promisesEndAt is when the earlier promises of the voters have ended. It is
	// set once a majority granted the lock.
	promisesEndAt time.Time
	granted       bool
}

// PromisesGranted extends the ownership by the promises of a majority of the
// voters.
func (k *Kernel) PromisesGranted(now, until time.Time) *Effects {
	k.beginStep(now)
	k.extendOwnership(until)
	return k.computeEffects()
}

// MemberRestored records that this node was listed again under its ID at a
// revision of the store, after its lease expired while promises extended its
// ownership.
// Another node may have read the member list without it. The lease therefore
// counts only after the assignment has been rewritten, since only a node that
// has read the current member list can replace that assignment.
func (k *Kernel) MemberRestored(now time.Time, revision int64) *Effects {
	k.beginStep(now)
	k.restoredRevision = revision
	return k.computeEffects()
}

// needsRewrite reports whether the assignment is older than the restoration of
// this node.
func (k *Kernel) needsRewrite() bool {
	return k.assignment.Revision < k.restoredRevision
}

// selectVoters returns the voters of the next assignment: the current ones that
// are still members, filled up to maxVoters with members from the data centres
// with the fewest voters.
func (k *Kernel) selectVoters() map[string]string {
	voters := make(map[string]string, maxVoters)
	perDataCentre := make(map[string]int)
	var candidates []Member
	for _, m := range k.listMembers() {
		if _, votes := k.assignment.Voters[m.ID]; !votes {
			candidates = append(candidates, m)
			continue
		}
		voters[m.ID] = m.Address
		perDataCentre[m.DataCentre]++
	}
	for len(voters) < maxVoters && len(candidates) > 0 {
		i := findLeastRepresented(candidates, perDataCentre)
		m := candidates[i]
		candidates = slices.Delete(candidates, i, i+1)
		voters[m.ID] = m.Address
		perDataCentre[m.DataCentre]++
	}
	return voters
}

// findLeastRepresented returns the index of the first member whose data centre
// has the smallest count.
func findLeastRepresented(members []Member, perDataCentre map[string]int) int {
	best := 0
	for i, m := range members {
		if perDataCentre[m.DataCentre] < perDataCentre[members[best].DataCentre] {
			best = i
		}
	}
	return best
}

// requestLock requests a lock of the current assignment from the voters, and
// repeats the request after lockRetryInterval without success.
func (k *Kernel) requestLock() {
	if k.hasRequestedLock() && (k.lockRequest.granted || k.now.Sub(k.lockRequest.sentAt) < lockRetryInterval) {
		return
	}
	k.lockRequest = lockRequest{revision: k.assignment.Revision, sent: true, sentAt: k.now}
	k.effects.Lock = true
}

// hasRequestedLock reports whether a lock of the current assignment was
// requested. Then a new assignment must be written, since voters that granted
// the lock make no promises before that.
func (k *Kernel) hasRequestedLock() bool {
	return k.lockRequest.sent && k.lockRequest.revision == k.assignment.Revision
}

// hasLock reports whether no owner can rely on promises any more: a majority of
// the voters granted the lock and their earlier promises have ended.
func (k *Kernel) hasLock() bool {
	if len(k.assignment.Voters) == 0 {
		return true
	}
	return k.lockRequest.granted && k.lockRequest.revision == k.assignment.Revision && !k.now.Before(k.lockRequest.promisesEndAt)
}

// LocksGranted processes the voters' answers to a lock request for an
// assignment: how many granted the lock, and when their latest promise ends.
func (k *Kernel) LocksGranted(now time.Time, revision int64, granted int, until time.Time) *Effects {
	k.beginStep(now)
	if revision == k.lockRequest.revision && revision == k.assignment.Revision && k.assignment.IsMajority(granted) {
		k.lockRequest.granted = true
		k.lockRequest.promisesEndAt = until
	}
	return k.computeEffects()
}
