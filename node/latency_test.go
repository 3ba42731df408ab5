//go:build !race

package node_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/node"
)

const (
	// maxUrgentLatency is the time within which urgent work must start. The test
	// applies it to the time until the answer.
	maxUrgentLatency = 7200 * time.Millisecond
	// maxInForceDelay is the time within which a change must be in force on all nodes.
	maxInForceDelay = 7 * time.Second
	latencySeeds    = 20
)

// submitUrgent submits an idempotent urgent request and returns its result.
func (c *cluster) submitUrgent(n *clusterNode, queue string) core.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return n.Submit(ctx, &core.Request{
		ID: uuid.NewString(), Queue: queue, Team: "large", KeyDigest: config.DigestKey("large"), Priority: core.Urgent,
		Idempotent: true, Deadline: time.Now().Add(30 * time.Second), Payload: &core.Payload{},
	})
}

// TestUrgentRequestCompletesAfterOwnerCrash measures the time from the crash of a
// pool's owner to the answer of a request that was submitted at that moment.
func TestUrgentRequestCompletesAfterOwnerCrash(t *testing.T) {
	var times []time.Duration
	for seed := range uint64(latencySeeds) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, 9, node.DefaultLeaseMS*time.Millisecond)
			defer c.close()
			time.Sleep(time.Duration(c.rand.IntN(5000)) * time.Millisecond)
			i := slices.IndexFunc(c.nodes, func(n *clusterNode) bool { return slices.Contains(n.NodeStatus().Pools, "p0") })
			owner, other := c.nodes[i], c.nodes[(i+1)%len(c.nodes)]
			owner.dead.Store(true)
			owner.Kill()
			killed := time.Now()
			result := c.submitUrgent(other, "p0")
			require.Equal(t, core.Done.String(), result.Outcome.String(), "%v", result)
			times = append(times, time.Since(killed))
		})
	}
	slices.Sort(times)
	t.Logf("time from owner crash to answer over %d seeds: median %v, longest %v", latencySeeds, times[latencySeeds/2], times[latencySeeds-1])
	require.LessOrEqual(t, times[latencySeeds-1], maxUrgentLatency)
}

// TestConfigChangeIsInForceOnAllNodesInTime measures the time from the acceptance
// of a change until the last node has it in force.
func TestConfigChangeIsInForceOnAllNodesInTime(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(latencySeeds) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, 9, clusterLease)
			defer c.close()
			for range 10 {
				c.toggleDataCentreOut()
				accepted := time.Now()
				want := c.nodes[0].NodeStatus().Revision
				for _, n := range c.nodes {
					want = max(want, n.NodeStatus().Revision)
				}
				for slices.ContainsFunc(c.nodes, func(n *clusterNode) bool { return n.NodeStatus().Revision < want }) {
					time.Sleep(time.Millisecond)
				}
				longest = max(longest, time.Since(accepted))
				time.Sleep(time.Duration(c.rand.IntN(2000)) * time.Millisecond)
			}
		})
	}
	t.Logf("time from acceptance until a change is in force on all 9 nodes: longest %v", longest)
	require.LessOrEqual(t, longest, maxInForceDelay)
}
