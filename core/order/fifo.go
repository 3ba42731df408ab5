package order

import "jacinthwind/core"

// FIFO selects the team whose first queued request arrived first.
type FIFO struct{}

// Before implements core.Order.
func (FIFO) Before(a, b *core.TeamLoad) bool {
	if !a.HeadArrival.Equal(b.HeadArrival) {
		return a.HeadArrival.Before(b.HeadArrival)
	}
	return a.Name < b.Name
}
