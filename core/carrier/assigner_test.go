package carrier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/carrier"
)

// newAssigner returns an assigner for executors in two data centres, with large and
// small nodes in both.
func newAssigner(executors, large, small int) *carrier.Assigner {
	a := &carrier.Assigner{OwnerCores: 0.8}
	dataCentres := map[string]string{}
	for i := range executors {
		dataCentres[fmt.Sprint("e", i)] = fmt.Sprint("dc", i%2)
	}
	a.SetExecutors(dataCentres)
	for i := range large {
		a.Join(0, carrier.Node{Name: fmt.Sprintf("large-%02d", i), DataCentre: fmt.Sprint("dc", i%2), Cores: 0.8})
	}
	for i := range small {
		a.Join(0, carrier.Node{Name: fmt.Sprintf("small-%02d", i), DataCentre: fmt.Sprint("dc", i%2), Cores: 0.19})
	}
	a.Check(0)
	return a
}

// assignAll returns how many executors each node carries.
func assignAll(a *carrier.Assigner, now time.Duration, executors int) map[string]int {
	carried := map[string]int{}
	for i := range executors {
		carried[a.CarrierOf(now, fmt.Sprint("e", i))]++
	}
	return carried
}

// runUntil lets all nodes but the given ones read the owner's messages, and returns the
// nodes that lost their executors.
func runUntil(a *carrier.Assigner, from, to time.Duration, nodes []string, silent map[string]bool) []string {
	var lost []string
	for now := from; now <= to; now += 50 * time.Millisecond {
		for _, n := range nodes {
			if !silent[n] {
				a.Echo(now, n, now-10*time.Millisecond)
			}
		}
		suspected, _ := a.Check(now)
		lost = append(lost, suspected...)
	}
	return lost
}

func TestSmallFleetIsCalledByOwner(t *testing.T) {
	require.Equal(t, map[string]int{"": 48}, assignAll(newAssigner(48, 4, 4), 0, 48))
}

func TestFewLargeNodesOfDataCentreCarry(t *testing.T) {
	a := newAssigner(300, 6, 40)
	require.Equal(t, map[string]int{"large-00": 75, "large-01": 75, "large-02": 75, "large-03": 75}, assignAll(a, 0, 300))
	for i := range 300 {
		n := a.CarrierOf(0, fmt.Sprint("e", i))
		var number int
		_, err := fmt.Sscanf(n, "large-%d", &number)
		require.NoError(t, err)
		require.Equal(t, i%2, number%2, "executor %d is carried from its own data centre", i)
	}
}

func TestSmallNodesCarryWhatFits(t *testing.T) {
	carried := assignAll(newAssigner(600, 0, 40), 0, 600)
	for n, count := range carried {
		require.LessOrEqual(t, count, 31, n)
	}
	require.Len(t, carried, 20, "each small node has room for 31")
}

func TestLostNodePassesExecutorsOn(t *testing.T) {
	a := newAssigner(300, 4, 0)
	assignAll(a, 0, 300)
	a.Leave(time.Second, "large-00")
	require.Equal(t, map[string]int{"large-01": 75, "large-03": 75, "large-02": 150}, assignAll(a, time.Second, 300))
	a.Leave(time.Second, "large-02")
	carried := assignAll(a, time.Second, 300)
	require.Equal(t, 300, carried["large-01"]+carried["large-03"], "a data centre without nodes is carried from another")
	a.Leave(time.Second, "large-01")
	a.Leave(time.Second, "large-03")
	require.Equal(t, map[string]int{"": 300}, assignAll(a, time.Second, 300), "without any node the owner calls")
	a.Join(2*time.Second, carrier.Node{Name: "large-01", DataCentre: "dc1", Cores: 0.8})
	require.Equal(t, map[string]int{"large-01": 300}, assignAll(a, 2*time.Second, 300), "a node that comes takes over")
}

// TestSilentNodeLosesExecutors checks that a node that reads nothing for a while loses
// its executors within a second, and gets some again only after it has answered.
func TestSilentNodeLosesExecutors(t *testing.T) {
	a := newAssigner(300, 6, 0)
	assignAll(a, 0, 300)
	nodes := []string{"large-00", "large-01", "large-02", "large-03", "large-04", "large-05"}
	require.Empty(t, runUntil(a, 0, time.Second, nodes, nil))
	silent := map[string]bool{"large-00": true}
	require.Equal(t, []string{"large-00"}, runUntil(a, time.Second, 2*time.Second, nodes, silent))
	require.Equal(t, map[string]int{"large-01": 75, "large-02": 75, "large-03": 75, "large-04": 75}, assignAll(a, 2*time.Second, 300))
	require.Empty(t, runUntil(a, 2*time.Second, 3*time.Second, nodes, nil))
}

// TestNodeWithoutExecutorsIsNoSuspect replays the large deployment: nodes that carry
// nothing exchange few messages, and one of them has to carry when another is lost.
func TestNodeWithoutExecutorsIsNoSuspect(t *testing.T) {
	a := newAssigner(300, 6, 0)
	assignAll(a, 0, 300)
	nodes := []string{"large-00", "large-01", "large-02", "large-03"}
	require.Empty(t, runUntil(a, 0, 5*time.Second, nodes, nil))
	a.Leave(5*time.Second, "large-00")
	require.Equal(t, 75, assignAll(a, 5*time.Second, 300)["large-04"], "it takes over at once")
	nodes = append(nodes[1:], "large-04")
	require.Empty(t, runUntil(a, 5*time.Second, 6*time.Second, nodes, nil))
}

// TestSlowOwnerKeepsCarriers checks that an owner whose messages all arrive late, or
// that was suspended, does not take the executors from all its nodes.
func TestSlowOwnerKeepsCarriers(t *testing.T) {
	a := newAssigner(300, 4, 0)
	before := assignAll(a, 0, 300)
	nodes := []string{"large-00", "large-01", "large-02", "large-03"}
	silent := map[string]bool{"large-00": true, "large-01": true, "large-02": true, "large-03": true}
	require.Empty(t, runUntil(a, 0, 2*time.Second, nodes, silent))
	require.Equal(t, before, assignAll(a, 2*time.Second, 300))
	_, slow := a.Check(2 * time.Second)
	require.True(t, slow)

	require.Empty(t, runUntil(a, 2*time.Second, 3*time.Second, nodes, nil))
	suspected, slow := a.Check(8 * time.Second)
	require.Empty(t, suspected, "the owner was suspended for five seconds")
	require.False(t, slow)
	require.Equal(t, before, assignAll(a, 8*time.Second, 300))
}

// TestOverloadedNodePassesSomeOn checks that a node that linked first after a change of
// owners does not keep all executors of its data centre.
func TestOverloadedNodePassesSomeOn(t *testing.T) {
	a := newAssigner(300, 0, 1)
	require.Equal(t, map[string]int{"small-00": 300}, assignAll(a, 0, 300))
	for i := range 4 {
		a.Join(time.Second, carrier.Node{Name: fmt.Sprintf("large-%02d", i), DataCentre: fmt.Sprint("dc", i%2), Cores: 0.8})
	}
	carried := assignAll(a, time.Second, 300)
	require.LessOrEqual(t, carried["small-00"], 62)
}

// TestExecutorsChangeOneByOne checks that updates have the same result as a new list.
func TestExecutorsChangeOneByOne(t *testing.T) {
	a := newAssigner(300, 4, 0)
	assignAll(a, 0, 300)
	a.UpdateExecutors(map[string]string{"e0": "dc1", "e300": "dc0", "e1": "dc1"}, []string{"e2", "unknown"})
	require.Contains(t, []string{"large-01", "large-03"}, a.CarrierOf(0, "e0"))
	require.Contains(t, []string{"large-00", "large-02"}, a.CarrierOf(0, "e300"))
	total := 0
	for i := range 4 {
		total += a.Carried(fmt.Sprintf("large-%02d", i))
	}
	require.Equal(t, 300, total)
}

func TestFreshness(t *testing.T) {
	const ownerAhead = time.Hour
	for name, c := range map[string]struct {
		sent, received, asked, now time.Duration
		fresh                      bool
	}{
		"at once":               {now: 10 * time.Millisecond, fresh: true},
		"half a second old":     {now: 500 * time.Millisecond, fresh: true},
		"too old":               {now: 700 * time.Millisecond},
		"before a long freeze":  {now: 5 * time.Second},
		"comparison is too old": {sent: 12 * time.Second, now: 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var f carrier.Freshness
			require.False(t, f.IsFresh(c.now, c.sent+ownerAhead), "nothing is known of the owner's clock")
			// The owner's clock is compared within 20 ms at time zero.
			f.Compare(20*time.Millisecond, 0, ownerAhead+10*time.Millisecond)
			require.Equal(t, c.fresh, f.IsFresh(c.now, c.sent+ownerAhead))
		})
	}
}

// TestFreshnessIsNeverOverestimated compares the clocks with answers that were delayed
// by different times: a late answer must not make an old order seem fresh.
func TestFreshnessIsNeverOverestimated(t *testing.T) {
	var f carrier.Freshness
	for i, delay := range []time.Duration{2, 900, 5, 400, 3, 1500} {
		asked := time.Duration(i) * time.Second
		// The owner reads its clock, which equals the node's, when the question arrives.
		f.Compare(asked+2*delay*time.Millisecond, asked, asked+delay*time.Millisecond)
	}
	now := 8 * time.Second
	require.True(t, f.IsFresh(now, now-500*time.Millisecond))
	require.False(t, f.IsFresh(now, now-601*time.Millisecond))
}
