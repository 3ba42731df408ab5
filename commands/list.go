package commands

import (
	"context"
	"fmt"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"jacinthwind/core/config"
	"jacinthwind/io/operator"
)

type poolCommand struct {
	List poolList `cmd:"" help:"List the pools with their queues, VMs and slots."`
}

type poolList struct {
	nodeFlags
}

// poolRow holds one pool of the list with its queues, VMs and slots.
type poolRow struct {
	Pool      string   `json:"pool"`
	Spare     bool     `json:"spare"`
	Queues    []string `json:"queues"`
	VMs       int      `json:"vms"`
	InService int      `json:"in_service"`
	Slots     int      `json:"slots"`
}

// Run lists the pools in the configuration.
func (c *poolList) Run(ctx context.Context, s *streams) error {
	reply, err := c.newClient().Config(ctx)
	if err != nil {
		return err
	}
	rows := newPoolRows(&reply.Document)
	if c.JSON {
		return printJSON(s.out, rows)
	}
	t := newTable(s.out, "pool", "spare", "queues", "VMs", "in service", "slots in service")
	for _, row := range rows {
		t.AppendRow(table.Row{row.Pool, row.Spare, strings.Join(row.Queues, " "), row.VMs, row.InService, row.Slots})
	}
	t.Render()
	return nil
}

func newPoolRows(doc *config.Document) []poolRow {
	outOfService := make(map[string]bool)
	for _, name := range doc.Rules.DataCentresOut {
		outOfService[name] = true
	}
	rows := make([]poolRow, 0, len(doc.Register.Pools))
	for _, p := range doc.Register.Pools {
		row := poolRow{Pool: p.Name, Spare: p.Spare}
		for _, q := range doc.Register.Queues {
			if q.Pool == p.Name {
				row.Queues = append(row.Queues, q.Name)
			}
		}
		for _, vm := range doc.Register.VMs {
			if vm.Pool != p.Name {
				continue
			}
			row.VMs++
			if !vm.Leaving && !outOfService[vm.DataCentre] {
				row.InService++
				row.Slots += vm.Executor.Slots
			}
		}
		rows = append(rows, row)
	}
	return rows
}

type teamCommand struct {
	List teamList `cmd:"" help:"List the teams with their shares, limits and keys."`
}

type teamList struct {
	nodeFlags
}

// teamRow holds one team of the list with the names of its keys.
type teamRow struct {
	config.Team
	Keys []string `json:"keys"`
}

// Run lists the teams in the configuration.
func (c *teamList) Run(ctx context.Context, s *streams) error {
	reply, err := c.newClient().Config(ctx)
	if err != nil {
		return err
	}
	rows := make([]teamRow, 0, len(reply.Document.Register.Teams))
	for _, team := range reply.Document.Register.Teams {
		row := teamRow{Team: team, Keys: []string{}}
		for _, k := range reply.Document.Register.Keys {
			if k.Team == team.Name {
				row.Keys = append(row.Keys, k.Name)
			}
		}
		rows = append(rows, row)
	}
	if c.JSON {
		return printJSON(s.out, rows)
	}
	t := newTable(s.out, "team", "share", "limit", "keys")
	for _, row := range rows {
		t.AppendRow(table.Row{row.Name, row.Share, row.Limit, strings.Join(row.Keys, " ")})
	}
	t.Render()
	return nil
}

type statusCommand struct {
	nodeFlags
}

// Run prints the status of every node.
func (c *statusCommand) Run(ctx context.Context, s *streams) error {
	reply, err := c.newClient().Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, reply)
	}
	t := newTable(s.out, "node", "data centre", "ready", "revision", "store heard", "owns for", "pools", "teams", "violations", "error")
	for _, n := range reply.Nodes {
		t.AppendRow(table.Row{
			n.Name, n.DataCentre, n.Ready, n.Revision,
			fmt.Sprintf("%.1f s ago", float64(n.StoreAgeMS)/1000), fmt.Sprintf("%.1f s", float64(n.OwnedForMS)/1000),
			strings.Join(n.Pools, " "), strings.Join(n.Teams, " "), n.Violations, n.Error,
		})
	}
	t.Render()
	return nil
}

type dumpCommand struct {
	nodeFlags
}

// Run prints the full state of the node as JSON.
func (c *dumpCommand) Run(ctx context.Context, s *streams) error {
	dump, err := c.newClient().Dump(ctx)
	if err != nil {
		return err
	}
	return printJSON(s.out, dump)
}

type nodeCommand struct {
	Forget nodeForget `cmd:"" help:"Declare the VM of a node permanently lost, so that its vote is no longer required."`
}

type nodeForget struct {
	nodeFlags
	ID string `arg:"" help:"Node ID, as listed under voters in the output of dump."`
}

// Run declares the VM of the node permanently lost.
func (c *nodeForget) Run(ctx context.Context, s *streams) error {
	if err := c.newClient().Forget(ctx, operator.ForgetQuery{ID: c.ID, Author: currentUser()}); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.out, "node %s is forgotten\n", c.ID)
	return err
}
