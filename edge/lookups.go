package edge

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// lookups limits how many reads of the store callers' requests have in progress at once, so
// that their connections leave descriptors to other calls. A nil lookups has no limit.
type lookups struct{ slots *semaphore.Weighted }

// newLookups returns lookups for the given number of reads.
func newLookups(reads int) *lookups {
	return &lookups{semaphore.NewWeighted(int64(reads))}
}

// do calls read once fewer reads than the limit are in progress.
func (l *lookups) do(ctx context.Context, read func() error) error {
	if l == nil {
		return read()
	}
	if err := l.slots.Acquire(ctx, 1); err != nil {
		return err
	}
	defer l.slots.Release(1)
	return read()
}
