package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"jacinthwind/core/config"
	"jacinthwind/io/operator"
)

// The exit codes of the command line.
const (
	ExitOK = 0
	// ExitFailed means that a check or a promise failed.
	ExitFailed = 1
	// ExitUsage means that the command line was wrong.
	ExitUsage = 2
	// ExitUnreachable means that a node or the store could not be reached.
	ExitUnreachable = 3
	// ExitConflict means that another operator's change came first.
	ExitConflict = 4
	// ExitNotRun means that a submitted request was refused and did not run.
	ExitNotRun = 5
	// ExitUnknown means that it is not known whether something took effect.
	ExitUnknown = 6
)

// cli is the command line.
type cli struct {
	Demo  demoCommand  `cmd:"" help:"Run the whole system in one process against stand-ins and count which promises held."`
	Serve serveCommand `cmd:"" help:"Run one entry node."`
	Edge  edgeCommand  `cmd:"" help:"Run one entry node on the prepared platform."`

	Config configCommand `cmd:"" help:"Check, apply and read the register and the rules."`
	Zone   zoneCommand   `cmd:"" help:"Take data centres out of service and bring them back."`
	Key    keyCommand    `cmd:"" help:"Grant and withdraw the teams' keys."`
	Pool   poolCommand   `cmd:"" help:"Look at pools."`
	Team   teamCommand   `cmd:"" help:"Look at teams."`
	Node   nodeCommand   `cmd:"" help:"Tell what is known of nodes."`
	Status statusCommand `cmd:"" help:"Show every node with the revision that it has in force."`
	Dump   dumpCommand   `cmd:"" help:"Print the whole state of one node as JSON."`
	Submit submitCommand `cmd:"" help:"Hand in a request as a caller."`

	Fleet   fleetCommand   `cmd:"" help:"Look at the pools, VMs, jobs and waves on the prepared platform."`
	Explain explainCommand `cmd:"" help:"Follow one job over the logs of all VMs."`

	StandIn standInCommand `cmd:"" name:"stand-in" help:"Run stand-ins for trying the daemon on one machine."`
}

// streams are the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// exitError is an error with an exit code; its text may be empty.
type exitError struct {
	code int
	text string
}

// Error returns the text.
func (e *exitError) Error() string { return e.text }

// Execute runs a command and returns its exit code.
func Execute(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var c cli
	exited := -1
	parser, err := kong.New(&c,
		kong.Name("jacinthwind"),
		kong.Description("Fleet capacity and maintenance manager."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exited = code }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(&streams{in: in, out: out, err: errOut}),
	)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(errOut, "jacinthwind: %v\n", err)
		return ExitUsage
	}
	return report(errOut, parsed.Run())
}

// report prints an error and returns the exit code for it.
func report(w io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	if text := err.Error(); text != "" {
		fmt.Fprintf(w, "jacinthwind: %s\n", text)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		exit        *exitError
		unreachable *operator.UnreachableError
		conflict    *operator.ConflictError
		uncertain   *operator.UncertainError
		findings    config.Findings
	)
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &uncertain):
		return ExitUnknown
	case errors.As(err, &findings):
		return ExitFailed
	}
	return ExitFailed
}
