//go:build !race

package node_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/io/operator"
	"jacinthwind/standin/store"
	"jacinthwind/standin/target"
)

const defaultSeedCount = 50

// readSeedRange returns the first seed and the number of seeds to run. SOAK_FIRST
// and SOAK_SEEDS override the defaults.
func readSeedRange(t *testing.T) (first, count uint64) {
	count = defaultSeedCount
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		count = n
	}
	if text := os.Getenv("SOAK_FIRST"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		first = n
	}
	return first, count
}

// TestInvariantsHoldUnderRandomFaults runs a cluster of nine complete nodes with
// random faults that are derived from a seed.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	first, count := readSeedRange(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, seed) })
		})
	}
}

// runFaults submits requests while it injects faults, and checks the invariants
// once the faults are cleared.
func runFaults(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 9, clusterLease)
	defer c.close()
	for range 20 {
		for range c.rand.IntN(40) {
			c.submit()
			time.Sleep(time.Duration(c.rand.IntN(40)) * time.Millisecond)
		}
		c.injectFault()
	}
	c.clearFaults()
	c.pendingRequests.Wait()
	c.checkInvariants()
	c.checkRequestsAreServed()
}

// injectFault starts or ends a random fault.
func (c *cluster) injectFault() {
	live := c.liveNodes()
	n := live[c.rand.IntN(len(live))]
	e := c.executors[c.rand.IntN(len(c.executors))]
	switch c.rand.IntN(13) {
	case 0:
		c.store.SetFaults(store.Faults{Down: true})
	case 1:
		c.store.SetFaults(store.Faults{Delay: 200 * time.Millisecond})
	case 2:
		c.store.SetFaults(store.Faults{LoseAnswers: 3})
	case 3, 4:
		c.store.SetFaults(store.Faults{})
	case 5:
		c.store.Compact()
	case 6:
		c.replaceNode(n, false)
	case 7:
		c.replaceNode(n, true)
	case 8:
		n.store.unreachable.Store(!n.store.unreachable.Load())
	case 9:
		e.SetFaults(target.Faults{CutAnswers: c.rand.IntN(2) == 0, RefuseAll: c.rand.IntN(4) == 0})
	case 10:
		c.toggleDataCentreOut()
	case 12:
		c.network.toggleDisconnected(n.name)
	case 11:
		// All leases expire at the same time.
		c.store.SetFaults(store.Faults{Down: true})
		time.Sleep(clusterLease + time.Second)
		c.store.SetFaults(store.Faults{})
	}
}

// replaceNode stops a node, gracefully or not, and starts a new one.
func (c *cluster) replaceNode(n *clusterNode, graceful bool) {
	if len(c.liveNodes()) < 5 {
		return
	}
	n.dead.Store(true)
	if graceful {
		// Other faults may make the graceful stop exceed its time limit.
		_ = n.Stop(context.Background())
	} else {
		n.Kill()
	}
	c.startNode(fmt.Sprintf("n%d", len(c.nodes)))
}

// toggleDataCentreOut takes the data centre dc1 out of service, or back into it.
func (c *cluster) toggleDataCentreOut() {
	current, err := c.liveNodes()[0].Config(c.t.Context())
	require.NoError(c.t, err)
	op := config.Operation{Kind: config.KindDataCentreOut, Name: "dc1"}
	if len(current.Document.Rules.DataCentresOut) == 0 {
		op.Value = []byte(`"dc1"`)
	}
	c.applyChange(op)
}

// clearFaults ends all faults and waits until every shard has an owner.
func (c *cluster) clearFaults() {
	c.store.SetFaults(store.Faults{})
	for _, n := range c.liveNodes() {
		n.store.unreachable.Store(false)
		c.network.setDisconnected(n.name, false)
	}
	for _, e := range c.executors {
		e.SetFaults(target.Faults{})
	}
	// Some seconds after the faults have ended, an operator declares the stopped
	// nodes permanently gone.
	time.Sleep(5 * time.Second)
	for id := range c.liveNodes()[0].Dump(c.t.Context()).Assignment.Voters {
		for _, n := range c.nodes {
			if n.dead.Load() && strings.HasPrefix(id, n.name+"-") {
				// This fails if the node is no longer a voter of the assignment.
				_, _ = c.liveNodes()[0].Forget(c.t.Context(), operator.ForgetQuery{ID: id})
			}
		}
	}
	c.waitReady()
}

// checkRequestsAreServed checks that requests are served after all faults have
// ended.
func (c *cluster) checkRequestsAreServed() {
	time.Sleep(20 * time.Second)
	for range 20 {
		r := c.submit()
		c.pendingRequests.Wait()
		require.Equal(c.t, core.Done.String(), r.results[0].Outcome.String(), "%v", r.results[0])
	}
}
