package commands

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"jacinthwind/common/jsonhttp"
	"jacinthwind/edge"
)

// fleetTimeout limits the time for a node to answer.
const fleetTimeout = 5 * time.Second

type fleetCommand struct {
	Status fleetStatus `cmd:"" help:"Show a node, the owner of the pools, the configuration in force and the time since the store last answered."`
	Pools  fleetPools  `cmd:"" help:"List the pools with their VMs and demand."`
	VMs    fleetVMs    `cmd:"" name:"vms" help:"List the VMs with their current orders."`
	Jobs   fleetJobs   `cmd:"" help:"List the unfinished jobs."`
	Waves  fleetWaves  `cmd:"" help:"List the maintenance waves."`
	Dump   fleetDump   `cmd:"" help:"Print the full state of a node as JSON."`
}

// peerFlags holds the flags of the commands that query an entry node on the
// prepared platform.
type peerFlags struct {
	Peer string `help:"Peer address of the entry node to query." required:"" placeholder:"HOST:PORT"`
	JSON bool   `help:"Print the result as JSON."`
}

// fetchDump returns the state of the node. It fails if ownerOnly is set and the
// node does not own the pools.
func (f *peerFlags) fetchDump(ctx context.Context, ownerOnly bool) (edge.ProcessDump, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	d, err := jsonhttp.Call[edge.ProcessDump](ctx, http.DefaultClient, http.MethodGet, "http://"+f.Peer+"/dump", nil)
	if err != nil {
		return d, &exitError{ExitUnreachable, err.Error()}
	}
	if ownerOnly && d.Cell == nil {
		return d, &exitError{ExitFailed, fmt.Sprintf("read the owner's state from node %q: it does not own the pools, the owner is %q", d.Node, d.Owner)}
	}
	return d, nil
}

// printRows prints rows as a table, or v as JSON if f.JSON is set.
func (f *peerFlags) printRows(s *streams, v any, columns []any, rows []table.Row) error {
	if f.JSON {
		return printJSON(s.out, v)
	}
	t := newTable(s.out, columns...)
	t.AppendRows(rows)
	t.Render()
	return nil
}

type fleetStatus struct{ peerFlags }

// Run prints the node, the owner and the time since the store last answered.
func (c *fleetStatus) Run(ctx context.Context, s *streams) error {
	d, err := c.fetchDump(ctx, false)
	if err != nil {
		return err
	}
	ownedFor := "not the owner"
	if d.Cell != nil {
		ownedFor = fmt.Sprintf("%d ms", d.Cell.LeaseProvedMs)
	}
	return c.printRows(s, d, []any{"node", "owner", "owns for", "configuration", "store heard", "peers"},
		[]table.Row{{d.Node, d.Owner, ownedFor, d.Configuration, fmt.Sprintf("%d ms ago", d.StoreMs), len(d.Peers)}})
}

type fleetPools struct{ peerFlags }

// Run prints one row per pool.
func (c *fleetPools) Run(ctx context.Context, s *streams) error {
	d, err := c.fetchDump(ctx, true)
	if err != nil {
		return err
	}
	var rows []table.Row
	for _, p := range d.Cell.Pools {
		vms := 0
		for _, vm := range d.Cell.VMs {
			if vm.Pool == p.Name {
				vms++
			}
		}
		rows = append(rows, table.Row{p.Name, vms, int(p.Rate), int(p.Needed), p.OpenJobs, p.WaitingSteps})
	}
	return c.printRows(s, d.Cell.Pools, []any{"pool", "VMs", "cores asked for", "cores needed", "open jobs", "waiting steps"}, rows)
}

type fleetVMs struct{ peerFlags }

// Run prints one row per VM.
func (c *fleetVMs) Run(ctx context.Context, s *streams) error {
	d, err := c.fetchDump(ctx, true)
	if err != nil {
		return err
	}
	var rows []table.Row
	for _, vm := range d.Cell.VMs {
		rows = append(rows, table.Row{vm.Name, vm.Pool, vm.State, vm.Order, fmt.Sprintf("%d ms", d.Cell.VMsAgeMs)})
	}
	return c.printRows(s, d.Cell.VMs, []any{"VM", "pool", "state", "order", "age"}, rows)
}

type fleetJobs struct{ peerFlags }

// Run prints one row per unfinished job.
func (c *fleetJobs) Run(ctx context.Context, s *streams) error {
	d, err := c.fetchDump(ctx, true)
	if err != nil {
		return err
	}
	var rows []table.Row
	for _, j := range d.Cell.Jobs {
		rows = append(rows, table.Row{j.ID, j.Queue, j.Team, j.State, j.AgeMs, j.DueMs, j.Waiting, j.Placed, j.Done})
	}
	return c.printRows(s, d.Cell.Jobs, []any{"job", "queue", "team", "state", "age ms", "due in ms", "waiting", "placed", "done"}, rows)
}

type fleetWaves struct{ peerFlags }

// Run prints one row per maintenance wave.
func (c *fleetWaves) Run(ctx context.Context, s *streams) error {
	d, err := c.fetchDump(ctx, true)
	if err != nil {
		return err
	}
	var rows []table.Row
	for _, w := range d.Cell.Waves {
		rows = append(rows, table.Row{w.Number, w.Status, fmt.Sprintf("%d of %d", w.Done, w.VMs), fmt.Sprintf("%d ms", w.AgeMs)})
	}
	return c.printRows(s, d.Cell.Waves, []any{"wave", "status", "VMs done", "age"}, rows)
}

type fleetDump struct{ peerFlags }

// Run prints the state of the node as JSON.
func (c *fleetDump) Run(ctx context.Context, s *streams) error {
	d, err := c.fetchDump(ctx, false)
	if err != nil {
		return err
	}
	return printJSON(s.out, d)
}
