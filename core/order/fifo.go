package order

import "jacinthwind/core"

// FIFO starts the request that arrived first.
type FIFO struct{}

// Before implements core.Order.
func (FIFO) Before(a, b *core.TeamLoad) bool {
	if !a.HeadArrival.Equal(b.HeadArrival) {
		return a.HeadArrival.Before(b.HeadArrival)
	}
	return a.Name < b.Name
}
