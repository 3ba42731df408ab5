package order

import "jacinthwind/core"

// Fair selects the team with the least charged slot time per share. Over time
// this gives the teams of a full pool weighted max-min fair shares, as in
// "Start-time fair queueing" (Goyal, Vin and Cheng, 1996).
type Fair struct{}

// Before implements core.Order.
func (Fair) Before(a, b *core.TeamLoad) bool {
	if a.VirtualTime != b.VirtualTime {
		return a.VirtualTime < b.VirtualTime
	}
	return a.Name < b.Name
}
