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
	if err != nil {
		h.log.Event(event.ExecutorEntrySkipped, zap.Error(err))
	}
	return e, err == nil
}
