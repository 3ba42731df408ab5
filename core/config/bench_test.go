package config_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/config"
)

// newLargeDocument returns a configuration with the given numbers of entries, up
// to those of the target size.
func newLargeDocument(vms, pools, teams, keys int) config.Document {
	var doc config.Document
	r := &doc.Register
	for i := range 6 {
		r.DataCentres = append(r.DataCentres, config.DataCentre{Name: fmt.Sprintf("dc%d", i)})
	}
	for i := range pools {
		name := fmt.Sprintf("pool%d", i)
		r.Pools = append(r.Pools, config.Pool{Name: name})
		r.Queues = append(r.Queues, config.Queue{Name: name, Pool: name})
	}
	for i := range vms {
		r.VMs = append(r.VMs, config.VM{
			Name: fmt.Sprintf("vm%d", i), Pool: fmt.Sprintf("pool%d", i%pools), DataCentre: fmt.Sprintf("dc%d", i%6), Rack: "r",
			Executor: config.Executor{Address: fmt.Sprintf("10.%d.%d.%d:1", i/62500, i/250%250, i%250+1), Slots: 8, Connections: 64},
		})
	}
	for i := range teams {
		r.Teams = append(r.Teams, config.Team{Name: fmt.Sprintf("team%d", i), Share: 1, Limit: 100})
	}
	for i := range keys {
		name := fmt.Sprintf("key%d", i)
		r.Keys = append(r.Keys, config.Key{Name: name, Team: fmt.Sprintf("team%d", i%teams), SHA256: config.DigestKey(name)})
	}
	return doc
}

func newLargeState(tb testing.TB, doc *config.Document) config.State {
	ops, err := config.State{}.Diff(doc)
	require.NoError(tb, err)
	state, err := config.State{}.Apply(&config.Change{Revision: 1, Operations: ops})
	require.NoError(tb, err)
	return state
}

// BenchmarkChange measures how a node applies and indexes a change of one entry.
func BenchmarkChange(b *testing.B) {
	for _, vms := range []int{50, 500, 5_000} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			doc := newLargeDocument(vms, max(5, vms*339/5000), max(6, vms*240/5000), vms*2)
			state := newLargeState(b, &doc)
			op, err := config.NewPut(config.KindTeam, "team0", config.Team{Name: "team0", Share: 2, Limit: 10})
			require.NoError(b, err)
			view := config.NewView(state, nil)
			b.ReportAllocs()
			for b.Loop() {
				next, err := state.Apply(&config.Change{Revision: state.Revision + 1, Operations: []config.Operation{op}})
				require.NoError(b, err)
				require.NotNil(b, config.NewView(next, view))
			}
		})
	}
}

// BenchmarkTeamOfKey measures the lookup of a key among 10,000.
func BenchmarkTeamOfKey(b *testing.B) {
	doc := newLargeDocument(50, 5, 240, 10_000)
	view := config.NewView(newLargeState(b, &doc), nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := view.TeamOfKey(config.DigestKey("key9999")); !ok {
			b.Fatal("key not found")
		}
	}
}
