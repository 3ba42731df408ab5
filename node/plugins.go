package node

import (
	"fmt"
	"log/slog"
	"net/url"

	"github.com/asynkron/protoactor-go/actor"

	"jacinthwind/core"
	// These packages register implementations that are looked up by name: the orders
	// of teams, the placements and the store's driver.
	_ "jacinthwind/core/order"
	_ "jacinthwind/core/placement"
	_ "jacinthwind/io/store"
)

// openStore opens the store with the driver registered for the address's scheme.
func openStore(address string) (core.Store, error) {
	u, err := url.Parse(address)
	if err != nil {
		return nil, fmt.Errorf("parse store address %q: %w", address, err)
	}
	open, err := core.Stores.Lookup(u.Scheme)
	if err != nil {
		return nil, fmt.Errorf("open store %q: find driver: %w", address, err)
	}
	return open(address)
}

// newDiscardLogger returns a logger that keeps the actor library's log lines out
// of the node's log.
func newDiscardLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.DiscardHandler)
}
