package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/fleet"
)

// TestLateVMOrderStaysInItsRecord guards against a next owner that orders for a VM during the
// lease of an order that was sent long after it was recorded, since the store was slow.
func TestLateVMOrderStaysInItsRecord(t *testing.T) {
	w := newWorld(t, 3)
	w.moveOutcome = func(string) fleet.VMOrderOutcome { return fleet.VMOrderRefused }
	w.storeDown = true
	// Idle VMs are ordered into the spare pool.
	w.advance(3 * time.Second)
	require.Empty(t, w.moveOrdered)
	w.restoreStore()
	w.advance(100 * time.Millisecond)
	require.NotEmpty(t, w.moveOrdered)
	w.submitJob(simpleJob(1, 1, 1000))
	w.advance(1100 * time.Millisecond)
	w.replaceOwner()
	// checkVMOrder fails if the new owner orders too early.
	w.advance(5 * time.Second)
}
