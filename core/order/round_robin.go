package order

import "jacinthwind/core"

// RoundRobin starts the team whose latest start lies furthest back.
type RoundRobin struct{}

// Before implements core.Order.
func (RoundRobin) Before(a, b *core.TeamLoad) bool {
	if a.LastStart != b.LastStart {
		return a.LastStart < b.LastStart
	}
	return a.Name < b.Name
}
