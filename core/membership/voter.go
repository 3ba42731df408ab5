package membership

import "time"

const (
	// PromiseTime is how long a promise lasts.
	PromiseTime = 3 * time.Second
	// promiseMargin ends an ownership before the promises that carry it.
	promiseMargin = 300 * time.Millisecond
)

// Voter is a node's part in the decisions of a majority: it promises an owner
// that cannot reach the store to let it go on, and promises one that proposes
// another assignment to let nobody go on under the present one. Its zero value
// knows of no assignment.
type Voter struct {
	// revision is the assignment that this node knows.
	revision int64
	// locked is the assignment under which no more promises are given.
	locked int64
	// promisedUntil is the end of the latest promise.
	promisedUntil time.Time
}

// PromiseQuery is what an owner asks the voters for.
type PromiseQuery struct {
	ID string `json:"id"`
	// Assignment and Config are the revisions that the owner knows.
	Assignment int64 `json:"assignment"`
	Config     int64 `json:"config"`
}

// LockQuery is what a proposer asks the voters for.
type LockQuery struct {
	Assignment int64 `json:"assignment"`
}

// Learn takes the revision of an assignment that this node knows.
func (v *Voter) Learn(revision int64) {
	v.revision = max(v.revision, revision)
}

// Promise reports whether the owner may go on for PromiseTime from now.
// isStoreSilent says that this node does not reach the store either, and config
// is the configuration that it has in force.
func (v *Voter) Promise(now time.Time, q PromiseQuery, isStoreSilent bool, config int64) bool {
	if !isStoreSilent || q.Assignment != v.revision || q.Assignment <= v.locked || q.Config < config {
		return false
	}
	v.promisedUntil = now.Add(PromiseTime)
	return true
}

// Lock reports whether this node gives no more promises under the assignment,
// and for how long the latest one still lasts.
func (v *Voter) Lock(now time.Time, q LockQuery) (bool, time.Duration) {
	if q.Assignment < v.revision {
		return false, 0
	}
	v.locked = max(v.locked, q.Assignment)
	return true, max(0, v.promisedUntil.Sub(now))
}

// PromisedUntil is the end of an ownership that a majority promised when asked
// at askedAt.
func PromisedUntil(askedAt time.Time) time.Time {
	return askedAt.Add(PromiseTime - promiseMargin)
}

// IsMajority reports whether n of the voters are more than half of them; where
// there are no voters nobody has to be asked.
func (a Assignment) IsMajority(n int) bool {
	return 2*n > len(a.Voters) || len(a.Voters) == 0
}
