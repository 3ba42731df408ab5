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
	Check   configCheck   `cmd:"" help:"Check files with the register and the rules without applying them."`
	Apply   configApply   `cmd:"" help:"Replace the register and the rules in force with those in files."`
	Get     configGet     `cmd:"" help:"Print the configuration in force."`
	History configHistory `cmd:"" help:"List the latest configuration changes."`
}

type configCheck struct {
	JSON  bool     `name:"json" help:"Print the findings as JSON."`
	Files []string `arg:"" help:"JSON files that together contain the register and the rules."`
}

// Run prints the findings of the check, or a summary if there are none.
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
	_, err = fmt.Fprintf(s.out, "no findings: %s\n", formatSummary(&doc))
	return err
}

func formatSummary(doc *config.Document) string {
	r := &doc.Register
	return fmt.Sprintf("%d data centres, %d pools, %d queues, %d VMs, %d teams, %d keys",
		len(r.DataCentres), len(r.Pools), len(r.Queues), len(r.VMs), len(r.Teams), len(r.Keys))
}

// readDocument merges the documents of several files and returns all findings:
// those of decoding if there are any, otherwise those of the check.
func readDocument(files []string) (config.Document, config.Findings, error) {
	var merged config.Document
	var findings config.Findings
	sources := make([]config.SourceFile, 0, len(files))
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return merged, nil, err
		}
		doc, decodeFindings := config.Decode(file, data)
		findings = append(findings, decodeFindings...)
		merged.Merge(&doc)
		sources = append(sources, config.SourceFile{File: file, Document: doc})
	}
	if len(findings) > 0 {
		return merged, findings, nil
	}
	findings = config.CheckReferences(&merged)
	config.LocateFindings(findings, sources)
	return merged, findings, nil
}

type configApply struct {
	nodeFlags
	Base  int64    `help:"Revision that the files are based on; 0 means the revision in force."`
	Files []string `arg:"" help:"JSON files that together contain the register and the rules."`
}

// Run applies the differences between the configuration in force and the files.
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
	current, err := c.newClient().Config(ctx)
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
		_, err := fmt.Fprintf(s.out, "no changes: revision %d matches the files\n", current.Revision)
		return err
	}
	reply, err := c.newClient().Apply(ctx, operator.ChangeQuery{Author: currentUser(), BaseRevision: c.Base, Operations: ops})
	if err != nil {
		return err
	}
	return c.printChangeReply(s, reply)
}

type configGet struct {
	nodeFlags
}

// Run prints the configuration in force as JSON, with its revision if c.JSON is
// set.
func (c *configGet) Run(ctx context.Context, s *streams) error {
	reply, err := c.newClient().Config(ctx)
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
	Count int `help:"Maximum number of changes to list." default:"20"`
}

// Run lists the latest configuration changes.
func (c *configHistory) Run(ctx context.Context, s *streams) error {
	reply, err := c.newClient().History(ctx, c.Count)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, reply)
	}
	printHistory(s.out, reply.Changes)
	return nil
}

// maxListedOperations is the number of operations listed per change of the
// history.
const maxListedOperations = 3

func printHistory(w io.Writer, changes []config.Change) {
	t := newTable(w, "revision", "time", "author", "changes")
	for _, c := range changes {
		t.AppendRow(table.Row{c.Revision, c.Time.Format(time.RFC3339), c.Author, formatOperations(c.Operations)})
	}
	t.Render()
}

func formatOperations(ops []config.Operation) string {
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
