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

// fleetTimeout bounds the wait for a node.
const fleetTimeout = 5 * time.Second

type fleetCommand struct {
	Status fleetStatus `cmd:"" help:"Show a node, the owner, the configuration in force and the store's age."`
	Pools  fleetPools  `cmd:"" help:"List the pools with what is asked of them."`
	VMs    fleetVMs    `cmd:"" name:"vms" help:"List the VMs with the orders under way."`
	Jobs   fleetJobs   `cmd:"" help:"List the jobs that have not ended."`
	Waves  fleetWaves  `cmd:"" help:"List the waves of maintenance."`
	Dump   fleetDump   `cmd:"" help:"Print the whole state of a node as JSON."`
}

// peerFlags name the node to ask.
type peerFlags struct {
	Peer string `help:"Peer address of an entry node, HOST:PORT." required:"" placeholder:"HOST:PORT"`
	JSON bool   `help:"Print JSON."`
}

// dump asks the node for its state, and the owner where ownerOnly is set.
func (f *peerFlags) dump(ctx context.Context, ownerOnly bool) (edge.ProcessDump, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	d, err := jsonhttp.Call[edge.ProcessDump](ctx, http.DefaultClient, http.MethodGet, "http://"+f.Peer+"/dump", nil)
	if err != nil {
		return d, &exitError{ExitUnreachable, err.Error()}
	}
	if ownerOnly && d.Cell == nil {
		return d, &exitError{ExitFailed, fmt.Sprintf("%s does not own the pools, ask %s", d.Node, d.Owner)}
	}
	return d, nil
}

// list prints rows of the owner's state as a table, or v as JSON.
func (f *peerFlags) list(s *streams, v any, columns []any, rows []table.Row) error {
	if f.JSON {
		return printJSON(s.out, v)
	}
	t := newTable(s.out, columns...)
	t.AppendRows(rows)
	t.Render()
	return nil
}

type fleetStatus struct{ peerFlags }

// Run implements the command.
func (c *fleetStatus) Run(ctx context.Context, s *streams) error {
	d, err := c.dump(ctx, false)
	if err != nil {
		return err
	}
	proved := "not the owner"
	if d.Cell != nil {
		proved = fmt.Sprintf("%d ms", d.Cell.ProvedMs)
	}
	return c.list(s, d, []any{"node", "owner", "owns for", "configuration", "store heard", "peers"},
		[]table.Row{{d.Node, d.Owner, proved, d.Configuration, fmt.Sprintf("%d ms ago", d.StoreMs), len(d.Peers)}})
}

type fleetPools struct{ peerFlags }

// Run implements the command.
func (c *fleetPools) Run(ctx context.Context, s *streams) error {
	d, err := c.dump(ctx, true)
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
	return c.list(s, d.Cell.Pools, []any{"pool", "VMs", "cores asked for", "cores needed", "open jobs", "waiting steps"}, rows)
}

type fleetVMs struct{ peerFlags }

// Run implements the command.
func (c *fleetVMs) Run(ctx context.Context, s *streams) error {
	d, err := c.dump(ctx, true)
	if err != nil {
		return err
	}
	var rows []table.Row
	for _, vm := range d.Cell.VMs {
		rows = append(rows, table.Row{vm.Name, vm.Pool, vm.State, vm.Order, fmt.Sprintf("%d ms", d.Cell.VMsAgeMs)})
	}
	return c.list(s, d.Cell.VMs, []any{"VM", "pool", "state", "order", "age"}, rows)
}

type fleetJobs struct{ peerFlags }

// Run implements the command.
func (c *fleetJobs) Run(ctx context.Context, s *streams) error {
	d, err := c.dump(ctx, true)
	if err != nil {
		return err
	}
	var rows []table.Row
	for _, j := range d.Cell.Jobs {
		rows = append(rows, table.Row{j.ID, j.Queue, j.Team, j.State, j.AgeMs, j.DueMs, j.Waiting, j.Placed, j.Done})
	}
	return c.list(s, d.Cell.Jobs, []any{"job", "queue", "team", "state", "age ms", "due in ms", "waiting", "placed", "done"}, rows)
}

type fleetWaves struct{ peerFlags }

// Run implements the command.
func (c *fleetWaves) Run(ctx context.Context, s *streams) error {
	d, err := c.dump(ctx, true)
	if err != nil {
		return err
	}
	var rows []table.Row
	for _, w := range d.Cell.Waves {
		rows = append(rows, table.Row{w.Number, w.Status, fmt.Sprintf("%d of %d", w.Done, w.VMs), fmt.Sprintf("%d ms", w.AgeMs)})
	}
	return c.list(s, d.Cell.Waves, []any{"wave", "status", "VMs done", "age"}, rows)
}

type fleetDump struct{ peerFlags }

// Run implements the command.
func (c *fleetDump) Run(ctx context.Context, s *streams) error {
	d, err := c.dump(ctx, false)
	if err != nil {
		return err
	}
	return printJSON(s.out, d)
}
