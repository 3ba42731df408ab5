package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"jacinthwind/core/config"
	"jacinthwind/io/operator"
)

type configCommand struct {
	Check   configCheck   `cmd:"" help:"Check files with the register and the rules; changes nothing."`
	Apply   configApply   `cmd:"" help:"Replace the register and the rules by those of the files."`
	Get     configGet     `cmd:"" help:"Print the configuration in force."`
	History configHistory `cmd:"" help:"List the latest changes."`
}

type configCheck struct {
	JSON  bool     `name:"json" help:"Print the findings as JSON."`
	Files []string `arg:"" help:"JSON files that together hold the register and the rules."`
}

// Run implements the command.
func (c *configCheck) Run(s *streams) error {
	doc, findings, err := readDocument(c.Files)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(s.out, struct {
			Findings config.Findings `json:"findings"`
		}{append(config.Findings{}, findings...)}); err != nil {
			return err
		}
		if len(findings) > 0 {
			return &exitError{code: ExitFailed}
		}
		return nil
	}
	if err := findings.Err(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "no faults: %s\n", summary(&doc))
	return err
}

func summary(doc *config.Document) string {
	r := &doc.Register
	return fmt.Sprintf("%d data centres, %d pools, %d queues, %d VMs, %d teams, %d keys",
		len(r.DataCentres), len(r.Pools), len(r.Queues), len(r.VMs), len(r.Teams), len(r.Keys))
}

// readDocument joins the documents of several files and returns every fault.
func readDocument(files []string) (config.Document, config.Findings, error) {
	var joined config.Document
	var findings config.Findings
	parts := make([]config.Part, 0, len(files))
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return joined, nil, err
		}
		doc, faults := config.Decode(file, data)
		findings = append(findings, faults...)
		joined.Merge(&doc)
		parts = append(parts, config.Part{File: file, Document: doc})
	}
	if len(findings) > 0 {
		return joined, findings, nil
	}
	findings = config.Check(&joined)
	config.Locate(findings, parts)
	return joined, findings, nil
}

type configApply struct {
	nodeFlags
	Base  int64    `help:"Revision that the files are based on; the one in force when 0."`
	Files []string `arg:"" help:"JSON files that together hold the register and the rules."`
}

// Run implements the command.
func (c *configApply) Run(ctx context.Context, s *streams) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	doc, findings, err := readDocument(c.Files)
	if err != nil {
		return err
	}
	if err := findings.Err(); err != nil {
		return err
	}
	current, err := c.client().Config(ctx)
	if err != nil {
		return err
	}
	if c.Base == 0 {
		c.Base = current.Revision
	}
	ops, err := config.State{Document: current.Document}.Diff(&doc)
	if err != nil {
		return err
	}
	if len(ops) == 0 {
		_, err := fmt.Fprintf(s.out, "nothing to change at revision %d\n", current.Revision)
		return err
	}
	reply, err := c.client().Apply(ctx, operator.ChangeQuery{Author: author(), BaseRevision: c.Base, Operations: ops})
	if err != nil {
		return err
	}
	return c.printChange(s, reply)
}

type configGet struct {
	nodeFlags
}

// Run implements the command.
func (c *configGet) Run(ctx context.Context, s *streams) error {
	reply, err := c.client().Config(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, reply)
	}
	return printJSON(s.out, reply.Document)
}

type configHistory struct {
	nodeFlags
	Count int `help:"Number of changes." default:"20"`
}

// Run implements the command.
func (c *configHistory) Run(ctx context.Context, s *streams) error {
	reply, err := c.client().History(ctx, c.Count)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, reply)
	}
	printHistory(s.out, reply.Changes)
	return nil
}

// maxListedOperations bounds the operations that a line of the history names.
const maxListedOperations = 3

func printHistory(w io.Writer, changes []config.Change) {
	t := newTable(w, "revision", "time", "author", "changes")
	for _, c := range changes {
		t.AppendRow(table.Row{c.Revision, c.Time.Format(time.RFC3339), c.Author, operationsText(c.Operations)})
	}
	t.Render()
}

func operationsText(ops []config.Operation) string {
	text := ""
	for i, op := range ops {
		if i == maxListedOperations {
			return text + fmt.Sprintf(", and %d more", len(ops)-i)
		}
		if i > 0 {
			text += ", "
		}
		text += op.String()
	}
	return text
}
