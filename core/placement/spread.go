package placement

import "jacinthwind/core"

// Spread selects the executor with the smallest fraction of its slots in use.
// It moves a retried task to another failure domain if there is one.
type Spread struct{}

// Better implements core.Placement.
func (Spread) Better(a, b, tried *core.ExecutorLoad) bool {
	if tried != nil {
		if distanceA, distanceB := distance(a, tried), distance(b, tried); distanceA != distanceB {
			return distanceA > distanceB
		}
	}
	loadA, loadB := a.Running*b.Slots, b.Running*a.Slots
	if loadA != loadB {
		return loadA < loadB
	}
	return a.Name < b.Name
}

// distance returns how far apart two executors are: 3 in different data
// centres, 2 in different racks, 1 on different executors of one rack, 0 for
// the same executor.
func distance(a, b *core.ExecutorLoad) int {
	switch {
	case a.DataCentre != b.DataCentre:
		return 3
	case a.Rack != b.Rack:
		return 2
	case a.Name != b.Name:
		return 1
	}
	return 0
}
