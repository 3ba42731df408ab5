package order

import "jacinthwind/core"

// RoundRobin selects the team whose latest start is the oldest.
type RoundRobin struct{}

// Before implements core.Order.
func (RoundRobin) Before(a, b *core.TeamLoad) bool {
	if a.LastStartSeq != b.LastStartSeq {
		return a.LastStartSeq < b.LastStartSeq
	}
	return a.Name < b.Name
}
