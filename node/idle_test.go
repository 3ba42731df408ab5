//go:build !race

package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/node"
	"jacinthwind/standin/store"
)

// countIdleStoreCalls returns the number of store calls that an idle cluster makes
// in one minute.
func countIdleStoreCalls(t *testing.T, nodes int) store.Calls {
	var idleCalls store.Calls
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nodes, node.DefaultLeaseMS*time.Millisecond)
		defer c.close()
		time.Sleep(30 * time.Second)
		before := c.store.Calls()
		time.Sleep(time.Minute)
		after := c.store.Calls()
		idleCalls = store.Calls{
			Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes,
			Watches: after.Watches - before.Watches, Renews: after.Renews - before.Renews,
		}
	})
	return idleCalls
}

// TestIdleClusterStaysWithinStoreCallLimits allows an idle cluster of nine nodes 5
// writes and 20 reads per second.
func TestIdleClusterStaysWithinStoreCallLimits(t *testing.T) {
	idleCalls := countIdleStoreCalls(t, 9)
	t.Logf("9 idle nodes within 60 s: %+v", idleCalls)
	require.LessOrEqual(t, idleCalls.Writes+idleCalls.Renews, int64(5*60))
	require.LessOrEqual(t, idleCalls.Reads+idleCalls.Watches, int64(20*60))
}

// TestIdleStoreCallsPerNodeDoNotGrow compares the writes per node and minute to the
// store of idle clusters of 3 to 27 nodes.
func TestIdleStoreCallsPerNodeDoNotGrow(t *testing.T) {
	perNode := make(map[int]float64)
	for _, nodes := range []int{3, 9, 27} {
		idleCalls := countIdleStoreCalls(t, nodes)
		perNode[nodes] = float64(idleCalls.Renews+idleCalls.Writes) / float64(nodes)
		t.Logf("%d nodes: %.2f writes and %.2f reads per second", nodes,
			float64(idleCalls.Writes+idleCalls.Renews)/60, float64(idleCalls.Reads+idleCalls.Watches)/60)
	}
	require.InDelta(t, perNode[3], perNode[27], 2, "the writes per node and minute must not grow with the number of nodes")
}
