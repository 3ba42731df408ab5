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

// cachedExecutor is the decoded form of one revision of an executor's entry.
type cachedExecutor struct {
	revision int64
	executor fleet.Executor
	valid    bool
}

// watchExecutors watches the list of executors and sends each change to the kernel.
// It decodes each revision of an entry once.
func (h *host) watchExecutors() {
	known := map[string]cachedExecutor{}
	w := prefixWatcher{store: h.store, prefix: h.codec.ExecutorPrefix(), onChange: func(items map[string]core.Item) {
		next := make(map[string]cachedExecutor, len(items))
		var executors []fleet.Executor
		for _, key := range slices.Sorted(maps.Keys(items)) {
			r, ok := known[key]
			if !ok || r.revision != items[key].Revision {
				r = h.decodeExecutor(items[key])
			}
			next[key] = r
			if r.valid {
				executors = append(executors, r.executor)
			}
		}
		known = next
		h.send(cell.ExecutorsListed{Executors: executors})
	}}
	w.run(h.ctx)
}

// decodeExecutor decodes an executor's entry, and logs an entry that it cannot
// decode.
func (h *host) decodeExecutor(item core.Item) cachedExecutor {
	e, err := h.codec.DecodeExecutor(item)
	if err != nil {
		h.log.Event(event.ExecutorEntrySkipped, zap.Error(err))
	}
	return cachedExecutor{item.Revision, e, err == nil}
}
