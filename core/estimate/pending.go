package estimate

import "time"

// pendingReport is a report that counts from ripeAt on.
type pendingReport struct {
	Report
	ripeAt time.Duration
}

// reports is a heap of pending reports, the ripest on top.
type reports []pendingReport

// Len returns the number of reports.
func (r reports) Len() int { return len(r) }

// Less orders by the time from which on the reports count.
func (r reports) Less(i, j int) bool { return r[i].ripeAt < r[j].ripeAt }

// Swap swaps two reports.
func (r reports) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push adds a report.
func (r *reports) Push(x any) { *r = append(*r, x.(pendingReport)) }

// Pop removes the last report.
func (r *reports) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}
