package edge

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// largeJobWait is how long a large job waits for those before it to be answered by the owner.
const largeJobWait = noOwnerTimeout

// largeJobs limits the large jobs that this node passes on to the owner at once. All nodes
// together use no more of the owner's memory than one node's callers may use of its own.
type largeJobs struct {
	bytes int64
	slots *semaphore.Weighted
}

// newLargeJobs returns largeJobs for an owner that has the given memory for them.
func newLargeJobs(bytes int64) *largeJobs {
	return &largeJobs{bytes, semaphore.NewWeighted(bytes)}
}

// begin waits until a job that takes the given memory, zero for an ordinary one, may be passed
// on by one of a number of nodes, and reports whether it may. The job is passed on until end
// is called.
func (l *largeJobs) begin(ctx context.Context, bytes int64, nodes func() int) (end func(), ok bool) {
	if bytes == 0 {
		return func() {}, true
	}
	// One job at a time always passes.
	part := min(bytes*int64(nodes()), l.bytes)
	end = func() { l.slots.Release(part) }
	if l.slots.TryAcquire(part) {
		return end, true
	}
	ctx, cancel := context.WithTimeout(ctx, largeJobWait)
	defer cancel()
	return end, l.slots.Acquire(ctx, part) == nil
}
