package edge

import "sync/atomic"

// memoryBudget limits the memory of all requests that need more than a connection may use
// without a reservation.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes a number of bytes from the budget and reports whether they fit.
func (b *memoryBudget) reserve(bytes int64) bool {
	if b.used.Add(bytes) > b.limit {
		b.used.Add(-bytes)
		return false
	}
	return true
}

// release returns reserved bytes to the budget.
func (b *memoryBudget) release(bytes int64) { b.used.Add(-bytes) }
