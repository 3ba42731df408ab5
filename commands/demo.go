package commands

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"jacinthwind/demo"
)

type demoCommand struct {
	Seconds int    `help:"Duration of the load in seconds." default:"20"`
	JSON    bool   `name:"json" help:"Print the report as a JSON object."`
	Seed    uint64 `help:"Seed of the generated load; 0 chooses a random seed."`
	Log     string `help:"Log level of the nodes, which log to standard error: debug, info, warn or error." default:"error" enum:"debug,info,warn,error"`
}

// Run runs the demo and prints its report. It fails if a promise was violated or
// not tried.
func (c *demoCommand) Run(ctx context.Context, s *streams) error {
	log, err := newLogger(c.Log)
	if err != nil {
		return err
	}
	options := demo.Options{Duration: time.Duration(c.Seconds) * time.Second, Seed: c.Seed, Log: log}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	startedAt := time.Now()
	options.Progress = func(text string) {
		fmt.Fprintf(s.err, "%6.1fs  %s\n", time.Since(startedAt).Seconds(), text)
	}
	report, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := c.printReport(s, report); err != nil {
		return err
	}
	if !report.Held() {
		return &exitError{code: ExitFailed, message: "a promise was violated or not tried"}
	}
	return nil
}

func (c *demoCommand) printReport(s *streams, r *demo.Report) error {
	if c.JSON {
		return printJSON(s.out, r)
	}
	teams := newTable(s.out, "team", "share", "limit", "max running", "sent", "done", "not_run", "unknown", "p50 ms", "p99 ms")
	for _, t := range r.Teams {
		teams.AppendRow(table.Row{
			t.Team, t.Share, t.Limit, t.MaxRunning, t.Sent, t.Done, t.NotRun, t.Unknown,
			fmt.Sprintf("%.1f", t.P50MS), fmt.Sprintf("%.1f", t.P99MS),
		})
	}
	teams.Render()
	promises := newTable(s.out, "promise", "tried", "held", "violated")
	for _, p := range r.Promises {
		promises.AppendRow(table.Row{p.Name, p.Tried, p.Tried - p.Violated, p.Violated})
	}
	promises.Render()
	for _, p := range r.Promises {
		if p.Violated > 0 {
			fmt.Fprintf(s.out, "violated: %s: %s\n", p.Name, p.Example)
		}
	}
	_, err := fmt.Fprintf(s.out, "requests: %d sent, %d done, %d not_run, %d unknown; seed %d\n",
		r.Requests.Sent, r.Requests.Done, r.Requests.NotRun, r.Requests.Unknown, r.Seed)
	return err
}
