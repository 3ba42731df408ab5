package placement

import "jacinthwind/core"

// Spread takes the executor with the smallest part of its slots in use and
// moves a repeated task to another failure domain where there is one.
type Spread struct{}

// Better implements core.Placement.
func (Spread) Better(a, b, tried *core.ExecutorLoad) bool {
	if tried != nil {
		if near, far := distance(a, tried), distance(b, tried); near != far {
			return near > far
		}
	}
	used, other := a.Running*b.Slots, b.Running*a.Slots
	if used != other {
		return used < other
	}
	return a.Name < b.Name
}

// distance counts the failure domains that separate two executors.
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
