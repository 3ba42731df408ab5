package edge

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"jacinthwind/core"
)

// Timeouts and intervals of a prefixWatcher.
const (
	// watchWait limits how long a silent connection can hide changes; a configuration
	// has to be in force within 2 s.
	watchWait       = time.Second
	watchRetryDelay = 150 * time.Millisecond
	maxPageAttempts = 3
)

// prefixWatcher keeps a copy of the items under a prefix and reports each change.
type prefixWatcher struct {
	store  core.MetadataStore
	prefix string
	// onChange receives a copy of all items after each full read and, unless onDelta is
	// set, after each change.
	onChange func(items map[string]core.Item)
	// onDelta receives the items that changed, or were deleted, since the last call of
	// onChange or onDelta. It spares the copy where there are many items.
	onDelta func(changed []core.Item)
	// onLost and onRegained report that the store stopped answering or answers again;
	// both may be nil.
	onLost     func(error)
	onRegained func()
	// onRead receives after each call that was answered how new the copy is at least, as a
	// reading of the clock of monotonicNow. It may be nil.
	onRead func(asOf time.Duration)

	items    map[string]core.Item
	revision int64
}

// run watches the prefix until ctx ends.
func (w *prefixWatcher) run(ctx context.Context) {
	synced, disconnected := false, false
	for ctx.Err() == nil {
		var err error
		if synced {
			err = w.watch(ctx)
		} else {
			err = w.resync(ctx)
		}
		switch {
		case err == nil:
			synced = true
			if disconnected && w.onRegained != nil {
				w.onRegained()
			}
			disconnected = false
		case errors.Is(err, core.ErrCompacted):
			synced = false
		default:
			if !disconnected && w.onLost != nil && ctx.Err() == nil {
				w.onLost(err)
			}
			disconnected = true
			if errors.Is(err, core.ErrUnreadable) {
				// A watch from the same revision gets the same answer, all items may not.
				synced = false
			}
			sleep(ctx, watchRetryDelay)
		}
	}
}

// resync replaces the copy by all items in the store.
func (w *prefixWatcher) resync(ctx context.Context) error {
	sent := monotonicNow()
	items, revision, err := readPrefix(ctx, w.store, w.prefix)
	if err != nil {
		return err
	}
	defer w.recordRead(sent)
	w.revision = revision
	if w.onDelta != nil {
		w.onChange(items)
		return nil
	}
	w.items = items
	w.onChange(maps.Clone(items))
	return nil
}

// readPrefix returns all items under a prefix and the revision from which a watch
// continues. That is the revision of the first page, since the pages together are
// no consistent snapshot. A page that fails is read again, up to maxPageAttempts times.
func readPrefix(ctx context.Context, store core.MetadataStore, prefix string) (map[string]core.Item, int64, error) {
	items := map[string]core.Item{}
	var revision int64
	after := ""
	for {
		page, err := store.Range(ctx, prefix, after)
		for attempt := 1; err != nil && attempt < maxPageAttempts && ctx.Err() == nil; attempt++ {
			sleep(ctx, watchRetryDelay)
			page, err = store.Range(ctx, prefix, after)
		}
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		last := after
		for _, item := range page.Items {
			items[item.Key] = item
			last = item.Key
		}
		// A key that is not UTF-8 arrives changed, and the next page after it may be the same.
		if !page.More || last <= after {
			return items, revision, nil
		}
		after = last
	}
}

// watch waits for the next changes and applies them to the copy.
func (w *prefixWatcher) watch(ctx context.Context) error {
	asOf := monotonicNow()
	page, err := w.store.Watch(ctx, w.prefix, w.revision, watchWait)
	if err != nil {
		return err
	}
	if len(page.Items) == 0 {
		// The store has waited for a change all the while.
		asOf = min(asOf+watchWait, monotonicNow())
	}
	defer w.recordRead(asOf)
	w.revision = max(w.revision, page.Revision)
	if len(page.Items) == 0 {
		return nil
	}
	changed := slices.DeleteFunc(page.Items, func(item core.Item) bool { return !strings.HasPrefix(item.Key, w.prefix) })
	if w.onDelta != nil {
		w.onDelta(changed)
		return nil
	}
	for _, item := range changed {
		if item.Deleted {
			delete(w.items, item.Key)
		} else {
			w.items[item.Key] = item
		}
	}
	w.onChange(maps.Clone(w.items))
	return nil
}

// recordRead reports how new the copy is.
func (w *prefixWatcher) recordRead(asOf time.Duration) {
	if w.onRead != nil {
		w.onRead(asOf)
	}
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
