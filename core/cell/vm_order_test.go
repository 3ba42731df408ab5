package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
)

// TestLateVMOrderStaysInItsRecord guards against a next owner that orders for a VM during the
// lease of an order that was sent long after it was recorded, since the store was slow.
func TestLateVMOrderStaysInItsRecord(t *testing.T) {
	for name, busy := range map[string]bool{"the record is written late": false, "the record waits for another write": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			w.moveOutcome = func(string) fleet.VMOrderOutcome { return fleet.VMOrderRefused }
			w.storeDown = true
			if busy {
				w.advance(10 * time.Millisecond)
				j := simpleJob(2, 1, 1)
				j.Steps[0].Service, j.Steps[0].Label = true, "none"
				w.submitJob(j)
				w.step(cell.Tick{})
			}
			// Idle VMs are ordered into the spare pool.
			w.advance(3 * time.Second)
			require.Empty(t, w.moveOrdered)
			w.restoreStore()
			w.advance(40 * time.Millisecond)
			require.NotEmpty(t, w.moveOrdered)
			if !busy {
				// The next orders replace the record.
				w.submitJob(simpleJob(1, 1, 1000))
				w.advance(1100 * time.Millisecond)
			}
			w.replaceOwner()
			// checkVMOrder fails if the new owner orders too early.
			w.advance(5 * time.Second)
		})
	}
}

// TestBestEffortTaskGetsVMWithItsLabel guards against a best-effort task that never starts,
// since it reserves no processors and so the pool seems not to need a VM with its label.
func TestBestEffortTaskGetsVMWithItsLabel(t *testing.T) {
	w := newWorld(t, 3)
	w.replaceVMs = true
	w.executors["e0"].Labels, w.vms[0].Labels = []string{"b"}, []string{"b"}
	w.listExecutors()
	w.advance(5 * time.Second)
	require.Equal(t, "spare", w.vms[0].Pool)
	j := simpleJob(1, 1, 1000)
	j.Steps[0].BestEffort, j.Steps[0].Label = true, "b"
	w.submitJob(j)
	w.advance(8 * time.Second)
	require.Equal(t, 1, w.starts[j.ID+".0.0.0"])
}

// TestShrunkenVMsAreReplaced guards against a pool that seems to have enough VMs although their
// executors have shrunk to nearly nothing.
func TestShrunkenVMsAreReplaced(t *testing.T) {
	w := newWorld(t, 4)
	w.replaceVMs = true
	w.advance(5 * time.Second)
	require.Len(t, w.executors, 2)
	for _, x := range w.executors {
		w.setRoom(x, fleet.Vector{CPU: 100, Mem: 8000}, 0, -1)
	}
	j := simpleJob(1, 2, 4000)
	j.Steps[0].Service = true
	w.submitJob(j)
	w.advance(5 * time.Second)
	require.Equal(t, 2, w.countAllRuns(j.ID))
}

// TestOldOrdersDoNotBarLaterOwners guards against owners that follow each other quickly and
// each wait again for orders that the first of them sent: VMs that nobody orders any more then
// stay away from the pools that need them for as long as owners change (a rolling restart).
func TestOldOrdersDoNotBarLaterOwners(t *testing.T) {
	w := newWorld(t, 6)
	w.replaceVMs = true
	w.advance(5 * time.Second)
	require.NotEmpty(t, w.moveOrdered, "idle VMs are parked")
	// Each owner writes records of jobs.
	for i := range 3 {
		w.replaceOwner()
		w.advance(500 * time.Millisecond)
		w.submitJob(simpleJob(10+i, 1, 100))
		w.advance(700 * time.Millisecond)
	}
	clear(w.moveOrdered)
	for i := range 4 {
		w.submitJob(simpleJob(20+i, 24, 1000))
	}
	// A lease that began with the last claim would end later.
	w.advance(600 * time.Millisecond)
	require.NotEmpty(t, w.moveOrdered, "the VMs of the spare pool serve the burst")
}
