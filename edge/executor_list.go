package edge

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

// watchExecutors watches the list of executors and sends it, and then each change, to
// the kernel.
func (h *host) watchExecutors() {
	// ids holds the id of each valid entry by key: an entry that is deleted, or that
	// turns invalid, names none.
	ids := map[string]string{}
	w := prefixWatcher{
		store: h.store, prefix: h.codec.ExecutorPrefix(),
		onChange: func(items map[string]core.Item) {
			clear(ids)
			var listed []fleet.Executor
			for _, key := range slices.Sorted(maps.Keys(items)) {
				if e, ok := h.decodeExecutor(items[key]); ok {
					ids[key] = e.ID
					listed = append(listed, e)
				}
			}
			h.send(cell.ExecutorsListed{Executors: listed})
		},
		onDelta: func(changed []core.Item) {
			var update cell.ExecutorsChanged
			for _, item := range changed {
				if !item.Deleted {
					if e, ok := h.decodeExecutor(item); ok {
						ids[item.Key] = e.ID
						update.Changed = append(update.Changed, e)
						// An entry that was deleted and written again is listed.
						update.Removed = slices.DeleteFunc(update.Removed, func(id string) bool { return id == e.ID })
						continue
					}
				}
				if id, ok := ids[item.Key]; ok {
					delete(ids, item.Key)
					update.Removed = append(update.Removed, id)
				}
			}
			h.send(update)
		},
	}
	w.run(h.ctx)
}

// decodeExecutor decodes an executor's entry, and logs an entry that it cannot
// decode.
func (h *host) decodeExecutor(item core.Item) (fleet.Executor, bool) {
	e, err := h.codec.DecodeExecutor(item)
	if err == nil {
		return e, true
	}
	if unlogged, ok := h.oddEntries.admit(monotonicNow(), item.Key); ok {
		h.log.Event(event.ExecutorEntrySkipped, zap.Error(err), zap.Int("unlogged", unlogged))
	}
	return e, false
}

// Limits of the lines about entries that cannot be decoded. Their writer may write as
// often as an executor does, or more often.
const (
	oddEntryLogInterval = 10 * time.Second
	// maxLoggedEntries is the number of entries that are logged in one interval.
	maxLoggedEntries = 50
)

// entryLog limits the log lines about entries to one per entry and interval.
type entryLog struct {
	loggedAt map[string]time.Duration
	// unlogged counts the entries without a line since the last line.
	unlogged int
}

// admit reports whether an entry may be logged now, and how many were not since the last
// one that was.
func (l *entryLog) admit(now time.Duration, key string) (unlogged int, ok bool) {
	if l.loggedAt == nil {
		l.loggedAt = map[string]time.Duration{}
	}
	at, known := l.loggedAt[key]
	if known && now >= at+oddEntryLogInterval {
		known = false
	}
	if !known && len(l.loggedAt) >= maxLoggedEntries {
		maps.DeleteFunc(l.loggedAt, func(_ string, at time.Duration) bool { return now >= at+oddEntryLogInterval })
	}
	if known || len(l.loggedAt) >= maxLoggedEntries {
		l.unlogged++
		return 0, false
	}
	l.loggedAt[key] = now
	unlogged, l.unlogged = l.unlogged, 0
	return unlogged, true
}
