package edge

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

// readExecutor is an executor as it was read from a revision of its entry.
type readExecutor struct {
	revision int64
	executor fleet.Executor
	valid    bool
}

// runExecutorList follows the list of executors; an entry is read once for each
// of its revisions.
func (h *host) runExecutorList() {
	known := map[string]readExecutor{}
	f := follower{store: h.store, prefix: h.codec.ExecutorPrefix(), changed: func(items map[string]core.Item) {
		next := make(map[string]readExecutor, len(items))
		var executors []fleet.Executor
		for _, key := range slices.Sorted(maps.Keys(items)) {
			r, ok := known[key]
			if !ok || r.revision != items[key].Revision {
				r = h.readExecutor(items[key])
			}
			next[key] = r
			if r.valid {
				executors = append(executors, r.executor)
			}
		}
		known = next
		h.send(cell.Listed{Executors: executors})
	}}
	f.run(h.ctx)
}

func (h *host) readExecutor(item core.Item) readExecutor {
	e, err := h.codec.Executor(item)
	if err != nil {
		h.log.Event(event.ExecutorEntrySkipped, zap.Error(err))
	}
	return readExecutor{item.Revision, e, err == nil}
}
