package node

import (
	"fmt"
	"log/slog"
	"net/url"

	"github.com/asynkron/protoactor-go/actor"

	"jacinthwind/core"
	_ "jacinthwind/core/order"
	_ "jacinthwind/core/placement"
	_ "jacinthwind/io/store"
)

// openStore returns the store driver for the scheme of address.
func openStore(address string) (core.Store, error) {
	u, err := url.Parse(address)
	if err != nil {
		return nil, fmt.Errorf("store address %q: %w", address, err)
	}
	open, err := core.Stores.Lookup(u.Scheme)
	if err != nil {
		return nil, fmt.Errorf("store address %q: %w", address, err)
	}
	return open(address)
}

// quietLogger keeps the actor library's own log out of the node's.
func quietLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.DiscardHandler)
}
