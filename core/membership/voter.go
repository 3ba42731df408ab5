package membership

import "time"

const (
	// PromiseDuration is how long a promise lasts.
	PromiseDuration = 3 * time.Second
	// promiseMargin is how long an ownership ends before the promises on which it
	// relies.
	promiseMargin = 300 * time.Millisecond
)

// Voter is a node's vote in the decisions of a majority. To an owner that cannot
// reach the store it promises that the owner may continue. To a node that
// proposes a new assignment it grants a lock: from then on it makes no promises
// under the current assignment. Its zero value knows no assignment.
type Voter struct {
	// revision is the latest assignment that this node knows.
	revision int64
	// lockedRevision is the latest assignment under which no more promises are
	// made.
	lockedRevision int64
	// promisedUntil is when the latest promise ends.
	promisedUntil time.Time
}

// PromiseQuery is an owner's request to the voters for a promise.
type PromiseQuery struct {
	ID string `json:"id"`
	// Assignment and Config are the latest revisions that the owner knows.
	Assignment int64 `json:"assignment"`
	Config     int64 `json:"config"`
}

// LockQuery is a request to the voters to lock an assignment.
type LockQuery struct {
	Assignment int64 `json:"assignment"`
}

// UpdateRevision records the revision of an assignment that this node knows.
func (v *Voter) UpdateRevision(revision int64) {
	v.revision = max(v.revision, revision)
}

// GrantPromise reports whether the owner may continue for PromiseDuration from
// now. isStoreUnreachable means that this node cannot reach the store either,
// and config is the revision of its configuration.
func (v *Voter) GrantPromise(now time.Time, q PromiseQuery, isStoreUnreachable bool, config int64) bool {
	if !isStoreUnreachable || q.Assignment != v.revision || q.Assignment <= v.lockedRevision || q.Config < config {
		return false
	}
	v.promisedUntil = now.Add(PromiseDuration)
	return true
}

// GrantLock stops promises under the assignment unless a later one is known. It
// reports whether it did, and for how long the latest promise still lasts.
func (v *Voter) GrantLock(now time.Time, q LockQuery) (bool, time.Duration) {
	if q.Assignment < v.revision {
		return false, 0
	}
	v.lockedRevision = max(v.lockedRevision, q.Assignment)
	return true, max(0, v.promisedUntil.Sub(now))
}

// PromisedUntil returns when an ownership ends for which a majority made promises
// that were requested at requestedAt.
func PromisedUntil(requestedAt time.Time) time.Time {
	return requestedAt.Add(PromiseDuration - promiseMargin)
}

// IsMajority reports whether n voters are more than half of all. It is true for
// any n if there are no voters, since then nobody has to be asked.
func (a Assignment) IsMajority(n int) bool {
	return 2*n > len(a.Voters) || len(a.Voters) == 0
}
