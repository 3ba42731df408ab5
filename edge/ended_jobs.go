package edge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
)

// The ended jobs are read in the background: not while a new owner links, lists and fences,
// and in small parts with pauses, which leave most of a slow link to renewals and writes.
const (
	endedDelay       = 2 * time.Second
	endedPauseFactor = 2
	minEndedPause    = 25 * time.Millisecond
	// maxEndedPart is the number of records in a part from which on smaller parts are read.
	maxEndedPart = 100
	// idDigitsInOrder holds all digits of ids in the order of their bytes.
	idDigitsInOrder = "0123456789ABCDEFabcdef"
)

// endedJobs tells which of the jobs that ended under earlier owners the kernel knows.
type endedJobs struct {
	mu sync.Mutex
	// after is the key of the last record of progress that was passed to the kernel.
	after    string
	complete bool
}

// cover reports whether the kernel knows a job if it has ended.
func (e *endedJobs) cover(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.complete || prefixProgress+id <= e.after
}

// advance records that all jobs up to the key of a record are passed to the kernel.
func (e *endedJobs) advance(after string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.after = max(e.after, after)
}

// finish records that all jobs are passed to the kernel.
func (e *endedJobs) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.complete = true
}

// loadEndedJobs passes all jobs that ended under earlier owners to the kernel.
func (h *host) loadEndedJobs() {
	sleep(h.ctx, endedDelay)
	began, count, split := monotonicNow(), 0, false
	for _, first := range idDigitsInOrder {
		parts := []string{string(first)}
		if split {
			parts = nil
			for _, second := range idDigitsInOrder {
				parts = append(parts, string(first)+string(second))
			}
		}
		for _, part := range parts {
			n := h.loadEndedPart(prefixProgress + part)
			split = split || n > maxEndedPart
			count += n
			if h.ctx.Err() != nil {
				return
			}
		}
	}
	h.ended.finish()
	h.log.Event(event.EndedJobsLoaded, zap.Int("records", count), zap.Int64("took_ms", (monotonicNow()-began).Milliseconds()))
}

// loadEndedPart passes the ended jobs under a prefix to the kernel, and returns the number
// of records. It repeats reads that fail until the ownership ends.
func (h *host) loadEndedPart(prefix string) int {
	count, after := 0, ""
	for h.ctx.Err() == nil {
		sent := monotonicNow()
		page, err := h.store.Range(h.ctx, prefix, after)
		if err != nil {
			sleep(h.ctx, watchRetryDelay)
			continue
		}
		var jobs []cell.EndedJob
		for _, item := range page.Items {
			jobs = append(jobs, endedJob(item, h.log))
			after = item.Key
		}
		count += len(jobs)
		// A request about one of the jobs reaches the kernel after them.
		h.send(cell.EndedJobsLoaded{Jobs: jobs})
		h.ended.advance(after)
		sleep(h.ctx, max(endedPauseFactor*(monotonicNow()-sent), minEndedPause))
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	return count
}

// ensureKnown makes sure that the kernel knows a job if it has ended. Until the ended jobs
// are loaded it looks in the store; without an answer the outcome of the request that is
// about the job is unknown: the job may have been accepted before.
func (h *host) ensureKnown(ctx context.Context, id string) error {
	if h.ended == nil || h.ended.cover(id) {
		return nil
	}
	known := false
	if err := h.inspect(ctx, func(k *cell.Kernel) { _, known = k.JobState(id) }); err != nil || known {
		return err
	}
	var item core.Item
	err := h.lookups.do(ctx, func() (err error) {
		item, err = h.store.Get(ctx, prefixProgress+id)
		return err
	})
	switch {
	case errors.Is(err, core.ErrNotFound):
		return nil
	case err != nil:
		return fmt.Errorf("%w: look up an ended job: %v", errUncertain, err)
	}
	item.Key = prefixProgress + id
	h.send(cell.EndedJobsLoaded{Jobs: []cell.EndedJob{endedJob(item, h.log)}})
	return nil
}
