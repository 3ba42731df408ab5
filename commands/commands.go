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

// Exit codes of the command line.
const (
	ExitOK = 0
	// ExitFailed means that a check or a promise failed, or an error without a code
	// of its own occurred.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitUnreachable means that a node or the store is unreachable.
	ExitUnreachable = 3
	// ExitConflict means that the change conflicts with one that another operator
	// made first.
	ExitConflict = 4
	// ExitNotRun means that a submitted request was refused without running.
	ExitNotRun = 5
	// ExitUnknown means that the command cannot tell whether the request or the
	// change took effect.
	ExitUnknown = 6
)

// cli declares the commands for kong.
type cli struct {
	Demo  demoCommand  `cmd:"" help:"Run the whole system in one process with simulated services and check its promises."`
	Serve serveCommand `cmd:"" help:"Run an entry node."`
	Edge  edgeCommand  `cmd:"" help:"Run an entry node on the prepared platform."`

	Config configCommand `cmd:"" help:"Check, apply and print the register and the rules."`
	Zone   zoneCommand   `cmd:"" help:"Take data centres out of service or return them to service."`
	Key    keyCommand    `cmd:"" help:"Grant and withdraw team keys."`
	Pool   poolCommand   `cmd:"" help:"Show pools."`
	Team   teamCommand   `cmd:"" help:"Show teams."`
	Node   nodeCommand   `cmd:"" help:"Manage the membership of nodes."`
	Status statusCommand `cmd:"" help:"Show all nodes and the configuration revision that each has in force."`
	Dump   dumpCommand   `cmd:"" help:"Print the full state of a node as JSON."`
	Submit submitCommand `cmd:"" help:"Submit a request as a caller."`

	Fleet   fleetCommand   `cmd:"" help:"Show pools, VMs, jobs and waves on the prepared platform."`
	Explain explainCommand `cmd:"" help:"Show the events of one job from the logs of several VMs."`

	StandIn standInCommand `cmd:"" name:"stand-in" help:"Run simulated services to try the daemon on one machine."`
}

// streams holds the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// exitError is an error with an exit code. Nothing is printed if its message is
// empty.
type exitError struct {
	code    int
	message string
}

// Error returns the message.
func (e *exitError) Error() string { return e.message }

// Execute parses args, runs the command and returns its exit code. SIGINT and
// SIGTERM cancel the command's context.
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
	return printError(errOut, parsed.Run())
}

// printError prints err, if it has a message, and returns its exit code.
func printError(w io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	if message := err.Error(); message != "" {
		fmt.Fprintf(w, "jacinthwind: %s\n", message)
	}
	return exitCodeFor(err)
}

func exitCodeFor(err error) int {
	var (
		exit        *exitError
		unreachable *operator.UnreachableError
		conflict    *operator.ConflictError
		uncertain   *operator.ChangeUncertainError
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
