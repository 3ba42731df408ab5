package commands

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"jacinthwind/standin/store"
	"jacinthwind/standin/target"
)

type standInCommand struct {
	Store  standInStore  `cmd:"" help:"Run an in-memory store in place of the platform's key-value service."`
	Target standInTarget `cmd:"" help:"Run simulated executors."`
}

const standInHeaderTimeout = 10 * time.Second

type standInStore struct {
	Address string `help:"Address to listen on." default:"127.0.0.1:7100"`
}

// Run serves an in-memory store until ctx is cancelled.
func (c *standInStore) Run(ctx context.Context, s *streams) error {
	return serveUntilDone(ctx, s, c.Address, store.Handler(&store.Memory{}))
}

type standInTarget struct {
	VMs        []string `name:"vm" help:"Name of a VM and the address to listen on, such as proofs-1=127.0.0.1:7201; may be repeated." required:""`
	DataCentre string   `help:"Data centre of the VMs." default:"dc1"`
	Slots      int      `help:"Number of slots of each executor." default:"8"`
}

// Run serves one simulated executor per VM until ctx is cancelled or one of them
// fails.
func (c *standInTarget) Run(ctx context.Context, s *streams) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, len(c.VMs))
	for _, vm := range c.VMs {
		name, address, ok := strings.Cut(vm, "=")
		if !ok {
			return fmt.Errorf("parse VM %q: want NAME=ADDRESS", vm)
		}
		e := &target.Executor{VM: name, DataCentre: c.DataCentre, Instance: uuid.NewString(), Slots: c.Slots}
		go func() { failed <- serveUntilDone(ctx, s, address, e.Handler()) }()
	}
	var errs error
	for range c.VMs {
		if err := <-failed; err != nil {
			cancel()
			errs = errors.Join(errs, err)
		}
	}
	return errs
}

func serveUntilDone(ctx context.Context, s *streams, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	fmt.Fprintf(s.err, "listening on %s\n", l.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: standInHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
