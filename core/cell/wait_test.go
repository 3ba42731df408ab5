package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
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

// TestWaveDoesNotHoldRoomFromServiceTask guards against a service task that was stopped for a
// wave and never ran again: the wave held all room, and the budget of the step forbade to
// empty the executors while the task waited.
func TestWaveDoesNotHoldRoomFromServiceTask(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	j := simpleJob(1, 4, 4000)
	j.Steps[0].Service, j.Steps[0].MaxUnavailable = true, 1
	w.submitJob(j)
	w.advance(2 * time.Second)
	require.Equal(t, map[string]int{"e0": 2, "e1": 2}, w.countRuns(j.ID))
	w.step(cell.WavesUpdated{Waves: []fleet.Wave{{Number: 1, VMs: []string{"vm-e0", "vm-e1"}, TimeLimitS: 60, MaxDown: 1}}})
	fewFor := time.Duration(0)
	for range 400 {
		w.advance(50 * time.Millisecond)
		running := 0
		for _, n := range w.countRuns(j.ID) {
			running += n
		}
		if fewFor += 50 * time.Millisecond; running == 4 {
			fewFor = 0
		}
		require.Less(t, fewFor, 6*time.Second, "at %v", w.now)
	}
}

// TestTaskLargerThanRestOfLimitRuns guards against a task that never starts since it is larger
// than what its team may still use, while the team uses less than half of its limit.
func TestTaskLargerThanRestOfLimitRuns(t *testing.T) {
	for name, c := range map[string]struct {
		used, size, want int64
		count            int
		gang             bool
	}{
		"larger than the limit":          {used: 0, size: 7000, count: 3, want: 1},
		"larger than the rest":           {used: 2900, size: 4000, count: 3, want: 1},
		"half of the limit is in use":    {used: 3000, size: 4000, count: 1, want: 0},
		"gang above by one task":         {used: 2900, size: 3000, count: 2, gang: true, want: 2},
		"gang above by more than a task": {used: 2900, size: 2000, count: 4, gang: true, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			config := *w.config
			config.Version++
			config.Teams = []fleet.Team{{Name: "notaries", Keys: []string{"k"}, Share: 1, Limit: fleet.Vector{CPU: 6000}}}
			config.Index()
			w.step(cell.Configured{Configuration: &config})
			w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return time.Minute, fleet.EndDone }
			w.advance(time.Second)
			if c.used > 0 {
				w.submitJob(simpleJob(1, 1, c.used))
				w.advance(200 * time.Millisecond)
			}
			j := simpleJob(2, c.count, c.size)
			j.Steps[0].Gang = c.gang
			w.submitJob(j)
			w.advance(500 * time.Millisecond)
			running := int64(0)
			for _, n := range w.countRuns(j.ID) {
				running += int64(n)
			}
			require.Equal(t, c.want, running)
		})
	}
}

// TestManySuspectsRunSoon guards against service tasks that wait in turn to start in isolation,
// after executors were lost under all tasks of a step.
func TestManySuspectsRunSoon(t *testing.T) {
	for name, c := range map[string]struct {
		rounds int
		after  time.Duration
	}{
		"lost at once":        {1, 90 * time.Millisecond},
		"lost at once, twice": {2, 90 * time.Millisecond},
		"lost later, twice":   {2, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 4)
			for i, id := range []string{"e0", "e1", "e2", "e3"} {
				w.executors[id].Labels = []string{"a", []string{"r1-1", "r1-2"}[i/2]}
			}
			w.listExecutors()
			w.advance(time.Second)
			j := simpleJob(1, 32, 500)
			j.Steps[0].Service = true
			w.submitJob(j)
			for range c.rounds {
				for range 100 {
					if w.advance(50 * time.Millisecond); w.countAllRuns(j.ID) == 32 {
						break
					}
				}
				w.advance(c.after)
				for _, id := range slices.Sorted(maps.Keys(w.executors)) {
					if x := w.executors[id]; len(x.runs) > 0 {
						w.crashAndReplace(x)
					}
				}
				w.advance(rebootDuration)
			}
			w.advance(calmTime)
			require.Equal(t, 32, w.countAllRuns(j.ID), "lost under %v", w.lostUnder)
		})
	}
}

// countAllRuns returns how many runs of a job are active.
func (w *world) countAllRuns(id string) int {
	n := 0
	for _, count := range w.countRuns(id) {
		n += count
	}
	return n
}

// TestAdviceIsAskedOnExecutorsWithRoom guards against a task that never gets a ticket, since
// advice was always asked on the same executors: the first of the pool.
func TestAdviceIsAskedOnExecutorsWithRoom(t *testing.T) {
	for name, c := range map[string]struct{ full, good func(n int) bool }{
		"the first executors are full":        {func(n int) bool { return n < 32 }, func(int) bool { return true }},
		"the first executors are not allowed": {func(int) bool { return false }, func(n int) bool { return n >= 32 }},
		"a late executor is allowed":          {func(n int) bool { return n < 10 }, func(n int) bool { return n < 10 || n == 65 }},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 0)
			config := *w.config
			config.Version++
			config.Queues = slices.Clone(config.Queues)
			config.Queues[0].NeedsTicket = true
			config.Index()
			w.config = &config
			w.step(cell.Configured{Configuration: &config})
			w.tickets = map[string]string{}
			for n := range 70 {
				id := fmt.Sprintf("e%02d", n)
				w.addExecutor(id)
				if c.good(n) {
					w.tickets[id] = "t" + id
				}
				if c.full(n) {
					w.executors[id].Capacity.CPU = 10
				}
			}
			w.listExecutors()
			w.advance(time.Second)
			j := simpleJob(1, 1, 1000)
			j.Steps[0].Service = true
			w.submitJob(j)
			w.advance(4 * time.Second)
			require.Equal(t, 1, w.countAllRuns(j.ID))
		})
	}
}

// TestServiceFailuresDoNotBarTheirExecutors guards against executors that get no work since
// service tasks fail there now and then, long after their start: no service task is ever done,
// so nothing else cleared them.
func TestServiceFailuresDoNotBarTheirExecutors(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(time.Second)
	j := simpleJob(1, 20, 500)
	j.Steps[0].Service = true
	w.submitJob(j)
	w.advance(time.Second)
	waits := map[string]time.Duration{}
	for n := range 60 {
		w.advance(500 * time.Millisecond)
		// The run that has been active for longest fails.
		var oldest *fakeRun
		var on *fakeExecutor
		running := map[string]bool{}
		for _, id := range slices.Sorted(maps.Keys(w.executors)) {
			x := w.executors[id]
			for _, task := range slices.Sorted(maps.Keys(x.runs)) {
				running[task] = true
				if r := x.runs[task]; oldest == nil || r.startAt < oldest.startAt {
					oldest, on = r, x
				}
			}
		}
		if n > 4 && oldest != nil && w.now > oldest.startAt+3*time.Second {
			on.endRun(oldest, fleet.EndFailed)
		}
		for i := range 20 {
			task := fmt.Sprintf("%s.0.0.%d", j.ID, i)
			if waits[task] += 500 * time.Millisecond; running[task] {
				waits[task] = 0
			}
			require.Less(t, waits[task], 3*time.Second, "at %v: %s waits", w.now, task)
		}
	}
}
