package order

import "jacinthwind/core"

// Names under which the plug-ins are registered.
const (
	NameFair       = "fair"
	NameFIFO       = "fifo"
	NameRoundRobin = "round_robin"
)

func init() {
	core.TeamOrders.Register(NameFair, func() core.TeamOrder { return Fair{} })
	core.TeamOrders.Register(NameFIFO, func() core.TeamOrder { return FIFO{} })
	core.TeamOrders.Register(NameRoundRobin, func() core.TeamOrder { return RoundRobin{} })
}
