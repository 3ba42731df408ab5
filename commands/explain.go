package commands

import (
	"fmt"
	"io"
	"os"
	"time"

	"jacinthwind/common/eventlog"
)

type explainCommand struct {
	ID   string   `arg:"" help:"Job ID, 16 hexadecimal digits."`
	Log  []string `help:"Log file of a VM; may be repeated." required:"" type:"existingfile" sep:"none"`
	JSON bool     `help:"Print the events as JSON."`
}

// Run prints the events of the job in the order of their times.
func (c *explainCommand) Run(s *streams) error {
	logs := map[string]io.Reader{}
	for _, name := range c.Log {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		logs[name] = f
	}
	lines, err := eventlog.ReadTimeline(c.ID, logs)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &exitError{ExitFailed, "explain job " + c.ID + ": no event of it in the logs"}
	}
	if c.JSON {
		return printJSON(s.out, lines)
	}
	t := newTable(s.out, "after", "VM", "event", "what", "inputs and outcome")
	for _, l := range lines {
		after := time.Duration((l.TimeMs - lines[0].TimeMs) * float64(time.Millisecond))
		t.AppendRow([]any{after.Round(time.Millisecond).String(), l.Source, fmt.Sprint(l.Event), l.Text, l.String()})
	}
	t.Render()
	return nil
}
