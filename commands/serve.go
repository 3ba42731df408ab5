package commands

import (
	"context"
	"os"

	"jacinthwind/node"
)

type serveCommand struct {
	Settings string `help:"JSON file with the node's settings." required:"" type:"existingfile"`
}

// Run runs the node until it fails or ctx is cancelled, then stops it
// gracefully.
func (c *serveCommand) Run(ctx context.Context) error {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	settings, findings := node.DecodeSettings(c.Settings, data)
	if err := findings.Err(); err != nil {
		return err
	}
	log, err := newLogger(settings.WithDefaults().LogLevel)
	if err != nil {
		return err
	}
	n, err := node.New(settings, node.Dependencies{Log: log})
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- n.Run() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return n.Stop(context.WithoutCancel(ctx))
}
