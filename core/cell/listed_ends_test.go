package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// TestEndsBeyondTheListAreNotLost guards against starting tasks again whose ends an
// executor has not listed yet, since it lists a limited number at a time and none can be
// acknowledged while the store is down (review case 1).
func TestEndsBeyondTheListAreNotLost(t *testing.T) {
	w := newWorld(t, 2)
	w.maxListedEnds = 3
	w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 100 * time.Millisecond, fleet.EndDone }
	w.advance(time.Second)
	j := simpleJob(1, 60, 1000)
	w.submitJob(j)
	w.advance(100 * time.Millisecond)
	w.storeDown = true
	w.advance(4 * time.Second)
	w.restoreStore()
	w.advance(5 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(j.ID))
	for task, starts := range w.starts {
		require.Equal(t, 1, starts, task)
	}
}

// TestNextOwnerWaitsForEndsBeyondTheList guards against a next owner that starts tasks again
// whose ends an executor has not listed yet: the recovery ended with the inherited deadlines,
// although no run had lapsed (review case 1 on a related path).
func TestNextOwnerWaitsForEndsBeyondTheList(t *testing.T) {
	w := newWorld(t, 1)
	w.maxListedEnds = 2
	w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 100 * time.Millisecond, fleet.EndDone }
	w.advance(time.Second)
	j := simpleJob(1, 8, 1000)
	w.submitJob(j)
	w.advance(100 * time.Millisecond)
	w.storeDown = true
	w.advance(300 * time.Millisecond)
	w.replaceOwner()
	w.advance(testMaxRenewalGap + 5*time.Second)
	w.restoreStore()
	w.advance(3 * time.Second)
	require.Equal(t, job.Succeeded, w.jobState(j.ID))
	for task, starts := range w.starts {
		require.Equal(t, 1, starts, task)
	}
}

// TestStragglersAreJudgedByWhatIsListed guards against taking a run that has ended, but whose
// end is not listed yet, for one that makes no progress: its executor gets no new work then
// (review case 1 on a related path).
func TestStragglersAreJudgedByWhatIsListed(t *testing.T) {
	w := newWorld(t, 1)
	w.maxListedEnds = 2
	w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 300 * time.Millisecond, fleet.EndDone }
	stops := 0
	w.orderDelivery = func(kind, task string) (time.Duration, bool) {
		if kind == "stop" {
			stops++
		}
		return deliverPromptly(kind, task)
	}
	w.advance(time.Second)
	w.submitJob(simpleJob(1, 8, 1000))
	w.advance(100 * time.Millisecond)
	w.storeDown = true
	w.advance(3 * time.Second)
	require.Zero(t, stops)
}

// TestVMWithUnlistedRunEndsGetsNoOrder guards against ordering a VM away, for a wave that is
// late, while its executor has ends that it has not listed yet: they would be gone with it,
// and the tasks would run again (review case 1 on a related path).
func TestVMWithUnlistedRunEndsGetsNoOrder(t *testing.T) {
	w := newWorld(t, 2)
	w.maxListedEnds = 1
	w.orderDelivery = func(string, string) (time.Duration, bool) { return 100 * time.Millisecond, true }
	w.advance(time.Second)
	w.submitJob(simpleJob(1, 16, 1000))
	w.advance(100 * time.Millisecond)
	w.storeDown = true
	w.step(cell.WavesUpdated{Waves: []fleet.Wave{{Number: 1, VMs: []string{"vm-e0"}, TimeLimitS: 1, MaxDown: 1}}})
	w.advance(3 * time.Second)
	require.Len(t, w.executors["e0"].ended, 8)
	w.restoreStore()
	for end := w.now + 10*time.Second; w.now < end && !w.maintenanceOrdered["e0"]; {
		w.advance(testStep)
	}
	require.True(t, w.maintenanceOrdered["e0"])
	require.Empty(t, w.executors["e0"].ended)
}
