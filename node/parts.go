package node

import (
	"fmt"
	"log/slog"
	"net/url"

	"github.com/asynkron/protoactor-go/actor"

	"jacinthwind/core"
	"jacinthwind/core/membership"
	"jacinthwind/core/scheduler"
	"jacinthwind/io/peer"

	// The plug-ins register themselves.
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

func (m *membershipActor) init() {
	m.received = make(map[membership.Shard]peer.HandoverQuery)
}

// tickPools sends the time to the actors of all pools.
func (n *Node) tickPools() {
	d := n.directory()
	for _, p := range d.pools {
		n.send(p.pid, &scheduler.Tick{OwnedUntil: d.ownedUntil})
	}
	for _, pid := range d.retired {
		n.send(pid, &scheduler.Tick{OwnedUntil: d.ownedUntil})
	}
}

func (n *Node) forgetRetired(pid *actor.PID) {
	n.send(n.membership, &retiredEnded{pid})
}
