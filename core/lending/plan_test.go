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
		vms = append(vms, lending.VM{Name: n, Idle: time.Second})
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
			[]lending.Pool{{Name: "a", VMs: 4, Idle: []lending.VM{{"a1", 100 * time.Millisecond}}, Floor: 2}, {Name: "spare", Spare: true}},
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
		"nothing is known of VMs": {[]lending.Pool{{Name: "a", Cores: 10}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			cores := 64.0
			if name == "nothing is known of VMs" {
				cores = 0
			}
			require.Equal(t, c.want, lending.Plan(c.pools, cores))
		})
	}
}
