package lending_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/lending"
)

func idle(names ...string) []lending.VM {
	var vms []lending.VM
	for _, n := range names {
		vms = append(vms, lending.VM{Name: n, Idle: time.Second, Cores: 64})
	}
	return vms
}

// labelled returns idle VMs that each have one label, named after it.
func labelled(labels ...string) []lending.VM {
	var vms []lending.VM
	for _, l := range labels {
		vms = append(vms, lending.VM{Name: "vm-" + l, Idle: time.Second, Cores: 64, Labels: []string{l}})
	}
	return vms
}

// TestPlan is a row for each situation of the pools; a VM has 64 cores.
func TestPlan(t *testing.T) {
	for name, c := range map[string]struct {
		pools []lending.Pool
		want  []lending.Move
	}{
		"a turn begins": {
			[]lending.Pool{
				{Name: "hot", VMs: 2, Cores: 200, Floor: 2},
				{Name: "quiet", VMs: 3, Idle: idle("q1"), Floor: 2},
				{Name: "spare", Spare: true, VMs: 2, Idle: idle("s1", "s2")},
			},
			[]lending.Move{{"q1", "hot"}, {"s1", "hot"}},
		},
		"idle VMs are parked": {
			[]lending.Pool{{Name: "a", VMs: 4, Idle: idle("a1", "a2", "a3"), Floor: 2}, {Name: "spare", Spare: true}},
			[]lending.Move{{"a1", "spare"}, {"a2", "spare"}},
		},
		"not before they were idle for a while": {
			[]lending.Pool{{Name: "a", VMs: 4, Idle: []lending.VM{{Name: "a1", Idle: 100 * time.Millisecond, Cores: 64}}, Floor: 2}, {Name: "spare", Spare: true}},
			nil,
		},
		"the floor stays": {
			[]lending.Pool{{Name: "a", VMs: 2, Idle: idle("a1", "a2"), Floor: 2}, {Name: "hot", VMs: 1, Cores: 500}},
			nil,
		},
		"the one that lacks most goes first": {
			[]lending.Pool{
				{Name: "a", VMs: 4, Cores: 270},
				{Name: "b", VMs: 1, Cores: 200},
				{Name: "spare", Spare: true, VMs: 1, Idle: idle("s1")},
			},
			[]lending.Move{{"s1", "b"}},
		},
		"what is on its way counts": {
			[]lending.Pool{{Name: "hot", VMs: 4, Cores: 200}, {Name: "spare", Spare: true, VMs: 1, Idle: idle("s1")}},
			nil,
		},
		"the label that is required": {
			[]lending.Pool{
				{Name: "hot", VMs: 2, Cores: 100, Wants: []lending.Want{{Label: "b", Cores: 30, Required: true}}},
				{Name: "spare", Spare: true, VMs: 2, Idle: labelled("a", "b")},
			},
			[]lending.Move{{"vm-b", "hot"}},
		},
		"no VM has the label that is required": {
			[]lending.Pool{
				{Name: "hot", VMs: 2, Cores: 100, Wants: []lending.Want{{Label: "c", Cores: 30, Required: true}}},
				{Name: "cold", VMs: 1, Cores: 70},
				{Name: "spare", Spare: true, VMs: 2, Idle: labelled("a", "b")},
			},
			[]lending.Move{{"vm-a", "cold"}},
		},
		"the rack of the data first": {
			[]lending.Pool{
				{Name: "hot", VMs: 2, Cores: 150, Wants: []lending.Want{{Label: "r1-2", Cores: 40}}},
				{Name: "spare", Spare: true, VMs: 2, Idle: labelled("r1-1", "r1-2")},
			},
			[]lending.Move{{"vm-r1-2", "hot"}},
		},
		"a rack alone lends nothing": {
			[]lending.Pool{
				{Name: "hot", VMs: 2, Cores: 50, Wants: []lending.Want{{Label: "r1-2", Cores: 40}}},
				{Name: "spare", Spare: true, VMs: 2, Idle: labelled("r1-1", "r1-2")},
			},
			nil,
		},
		"the last VM with a label stays": {
			[]lending.Pool{
				{Name: "quiet", VMs: 3, Cores: 20, Idle: labelled("a", "b"), Wants: []lending.Want{{Label: "b", Cores: 9, Have: 64, Required: true}}},
				{Name: "spare", Spare: true},
			},
			[]lending.Move{{"vm-a", "spare"}},
		},
		"small VMs": {
			[]lending.Pool{
				{Name: "hot", VMs: 2, Room: 64, Cores: 100},
				{Name: "spare", Spare: true, VMs: 4, Idle: []lending.VM{{Name: "s1", Cores: 32}, {Name: "s2", Cores: 32}, {Name: "s3", Cores: 32}}},
			},
			[]lending.Move{{"s1", "hot"}, {"s2", "hot"}},
		},
		"nothing is known of VMs": {[]lending.Pool{{Name: "a", Cores: 10}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range c.pools {
				if p := &c.pools[i]; p.Room == 0 {
					p.Room = 64 * float64(p.VMs)
				}
			}
			require.Equal(t, c.want, lending.Plan(c.pools))
		})
	}
}
