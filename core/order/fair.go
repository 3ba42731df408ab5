package order

import "jacinthwind/core"

// Fair starts the team with the least charged slot time per share; over time
// this is the weighted max-min division of a full pool, after "start-time fair
// queueing" (Goyal, Vin and Cheng, 1996).
type Fair struct{}

// Before implements core.Order.
func (Fair) Before(a, b *core.TeamLoad) bool {
	if a.VirtualTime != b.VirtualTime {
		return a.VirtualTime < b.VirtualTime
	}
	return a.Name < b.Name
}
