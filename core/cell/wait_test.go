package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/fleet"
)

// TestLongEstimateDoesNotHoldTaskForItsRack guards against tasks that wait seconds for the
// rack of their data while other executors have room: service tasks at all, and others for
// longer than a job may have nothing running.
func TestLongEstimateDoesNotHoldTaskForItsRack(t *testing.T) {
	for name, c := range map[string]struct {
		service bool
		within  time.Duration
	}{
		"service task": {true, 100 * time.Millisecond},
		"task":         {false, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			w.executors["e0"].Labels = []string{"a", "r9-1"}
			w.listExecutors()
			w.advance(time.Second)
			w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return time.Minute, fleet.EndDone }
			full := simpleJob(1, 1, 8000)
			full.Steps[0].Label = "r9-1"
			w.submitJob(full)
			w.advance(200 * time.Millisecond)
			require.Equal(t, map[string]int{"e0": 1}, w.countRuns(full.ID))
			j := simpleJob(2, 1, 1000)
			j.Steps[0].Rack, j.Steps[0].EstimateMs, j.Steps[0].Service = "r9-1", 30_000, c.service
			w.submitJob(j)
			w.advance(c.within)
			require.Len(t, w.countRuns(j.ID), 1)
		})
	}
}
