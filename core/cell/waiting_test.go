package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

// TestWaitingServiceTaskIsExplained guards against a service task that waits without a word
// of why, and against capacities that change unnoticed.
func TestWaitingServiceTaskIsExplained(t *testing.T) {
	w := newWorld(t, 1)
	w.advance(time.Second)
	x := w.executors["e0"]
	x.Capacity = fleet.Vector{CPU: 100, Mem: 8000}
	w.listExecutors()
	j := simpleJob(1, 2, 1000)
	j.Steps[0].Service = true
	w.submitJob(j)
	w.advance(4 * time.Second)
	resized := w.loggedEvents(event.ExecutorResized)
	require.Len(t, resized, 1)
	require.Equal(t, "e0", resized[0]["executor"])
	require.Equal(t, fleet.Vector{CPU: 8000, Mem: 8000}, resized[0]["before"])
	require.Equal(t, fleet.Vector{CPU: 100, Mem: 8000}, resized[0]["now"])
	waits := w.loggedEvents(event.TaskWaits)
	require.GreaterOrEqual(t, len(waits), 2)
	require.LessOrEqual(t, len(waits), 4)
	require.Equal(t, "no executor fits", waits[0]["reason"])
	require.Equal(t, "render", waits[0]["pool"])

	x.Capacity = fleet.Vector{CPU: 8000, Mem: 8000}
	w.listExecutors()
	w.advance(4 * time.Second)
	require.Len(t, w.loggedEvents(event.ExecutorResized), 2)
	require.LessOrEqual(t, len(w.loggedEvents(event.TaskWaits)), len(waits)+1)
}

// loggedEvents returns the fields of the log events with a number, in their order.
func (w *world) loggedEvents(n event.Number) []map[string]any {
	var found []map[string]any
	for _, e := range w.logged {
		if e.Event == n {
			found = append(found, logFields(e))
		}
	}
	return found
}

// logFields returns the fields of a log event by name.
func logFields(e cell.Log) map[string]any {
	fields := map[string]any{}
	for i := 0; i+1 < len(e.Fields); i += 2 {
		name, _ := e.Fields[i].(string)
		fields[name] = e.Fields[i+1]
	}
	return fields
}
