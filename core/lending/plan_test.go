package lending_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/lending"
)

func newIdleVMs(names ...string) []lending.VM {
	var vms []lending.VM
	for _, n := range names {
		vms = append(vms, lending.VM{Name: n, IdleTime: time.Second, Cores: 64})
	}
	return vms
}

// newLabelledVMs returns an idle VM for each label, named after it.
func newLabelledVMs(labels ...string) []lending.VM {
	var vms []lending.VM
	for _, l := range labels {
		vms = append(vms, lending.VM{Name: "vm-" + l, IdleTime: time.Second, Cores: 64, Labels: []string{l}})
	}
	return vms
}

// TestPlanMovesIdleVMsByNeed has one row per situation of the pools. Unless a row
// says otherwise a VM has 64 cores.
func TestPlanMovesIdleVMsByNeed(t *testing.T) {
	for name, c := range map[string]struct {
		pools []lending.Pool
		want  []lending.Move
	}{
		"the pool with a burst gets VMs from the quiet and the spare pool": {
			[]lending.Pool{
				{Name: "hot", VMs: 2, NeededCores: 200, MinVMs: 2},
				{Name: "quiet", VMs: 3, IdleVMs: newIdleVMs("q1"), MinVMs: 2},
				{Name: "spare", Spare: true, VMs: 2, IdleVMs: newIdleVMs("s1", "s2")},
			},
			[]lending.Move{{"q1", "hot"}, {"s1", "hot"}},
		},
		"idle VMs beyond the minimum are parked": {
			[]lending.Pool{{Name: "a", VMs: 4, IdleVMs: newIdleVMs("a1", "a2", "a3"), MinVMs: 2}, {Name: "spare", Spare: true}},
			[]lending.Move{{"a1", "spare"}, {"a2", "spare"}},
		},
		"VMs that became idle just now are not parked": {
			[]lending.Pool{{Name: "a", VMs: 4, IdleVMs: []lending.VM{{Name: "a1", IdleTime: 100 * time.Millisecond, Cores: 64}}, MinVMs: 2}, {Name: "spare", Spare: true}},
			nil,
		},
		"a pool at its minimum lends no VM": {
			[]lending.Pool{{Name: "a", VMs: 2, IdleVMs: newIdleVMs("a1", "a2"), MinVMs: 2}, {Name: "hot", VMs: 1, NeededCores: 500}},
			nil,
		},
		"the pool with the largest shortfall goes first": {
			[]lending.Pool{
				{Name: "a", VMs: 4, NeededCores: 270},
				{Name: "b", VMs: 1, NeededCores: 200},
				{Name: "spare", Spare: true, VMs: 1, IdleVMs: newIdleVMs("s1")},
			},
			[]lending.Move{{"s1", "b"}},
		},
		"a pool with enough VMs, moving ones included, gets none": {
			[]lending.Pool{{Name: "hot", VMs: 4, NeededCores: 200}, {Name: "spare", Spare: true, VMs: 1, IdleVMs: newIdleVMs("s1")}},
			nil,
		},
		"a required label selects the VM": {
			[]lending.Pool{
				{Name: "hot", VMs: 2, NeededCores: 100, LabelDemands: []lending.LabelDemand{{Label: "b", NeededCores: 30, Required: true}}},
				{Name: "spare", Spare: true, VMs: 2, IdleVMs: newLabelledVMs("a", "b")},
			},
			[]lending.Move{{"vm-b", "hot"}},
		},
		"without a VM with the required label the next pool is served": {
			[]lending.Pool{
				{Name: "hot", VMs: 2, NeededCores: 100, LabelDemands: []lending.LabelDemand{{Label: "c", NeededCores: 30, Required: true}}},
				{Name: "cold", VMs: 1, NeededCores: 70},
				{Name: "spare", Spare: true, VMs: 2, IdleVMs: newLabelledVMs("a", "b")},
			},
			[]lending.Move{{"vm-a", "cold"}},
		},
		"a VM in the preferred rack goes first": {
			[]lending.Pool{
				{Name: "hot", VMs: 2, NeededCores: 150, LabelDemands: []lending.LabelDemand{{Label: "r1-2", NeededCores: 40}}},
				{Name: "spare", Spare: true, VMs: 2, IdleVMs: newLabelledVMs("r1-1", "r1-2")},
			},
			[]lending.Move{{"vm-r1-2", "hot"}},
		},
		"a preferred rack alone moves no VM": {
			[]lending.Pool{
				{Name: "hot", VMs: 2, NeededCores: 50, LabelDemands: []lending.LabelDemand{{Label: "r1-2", NeededCores: 40}}},
				{Name: "spare", Spare: true, VMs: 2, IdleVMs: newLabelledVMs("r1-1", "r1-2")},
			},
			nil,
		},
		"the last VM with a required label stays": {
			[]lending.Pool{
				{Name: "quiet", VMs: 3, NeededCores: 20, IdleVMs: newLabelledVMs("a", "b"), LabelDemands: []lending.LabelDemand{{Label: "b", NeededCores: 9, PresentCores: 64, Required: true}}},
				{Name: "spare", Spare: true},
			},
			[]lending.Move{{"vm-a", "spare"}},
		},
		"VMs with fewer cores are counted by cores": {
			[]lending.Pool{
				{Name: "hot", VMs: 2, TotalCores: 64, NeededCores: 100},
				{Name: "spare", Spare: true, VMs: 4, IdleVMs: []lending.VM{{Name: "s1", Cores: 32}, {Name: "s2", Cores: 32}, {Name: "s3", Cores: 32}}},
			},
			[]lending.Move{{"s1", "hot"}, {"s2", "hot"}},
		},
		"no VMs give no moves": {[]lending.Pool{{Name: "a", NeededCores: 10}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range c.pools {
				if p := &c.pools[i]; p.TotalCores == 0 {
					p.TotalCores = 64 * float64(p.VMs)
				}
			}
			require.Equal(t, c.want, lending.PlanMoves(c.pools))
		})
	}
}

// TestRequiredLabelPrecedesPreferredRack checks that a pool that lacks all VMs of a
// preferred rack still gets the VM with the label that its work requires.
func TestRequiredLabelPrecedesPreferredRack(t *testing.T) {
	pools := []lending.Pool{
		{Name: "busy", VMs: 4, TotalCores: 256, NeededCores: 100, LabelDemands: []lending.LabelDemand{
			{Label: "r1-1", NeededCores: 64},
			{Label: "gpu", NeededCores: 64, PresentCores: 40, Required: true},
		}},
		{Name: "spare", Spare: true, IdleVMs: []lending.VM{{Name: "vm-1", IdleTime: 1, Cores: 64, Labels: []string{"gpu"}}}},
	}
	require.Equal(t, []lending.Move{{VM: "vm-1", Pool: "busy"}}, lending.PlanMoves(pools))
}
