package order

import "jacinthwind/core"

// Names under which the plug-ins are registered.
const (
	NameFair       = "fair"
	NameFIFO       = "fifo"
	NameRoundRobin = "round_robin"
)

func init() {
	core.Orders.Register(NameFair, func() core.Order { return Fair{} })
	core.Orders.Register(NameFIFO, func() core.Order { return FIFO{} })
	core.Orders.Register(NameRoundRobin, func() core.Order { return RoundRobin{} })
}
