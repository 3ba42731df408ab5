package cell

import (
	"slices"
	"time"

	"jacinthwind/core/fleet"
)

// fullPool remembers the smallest sizes of tasks for which no executor of a pool has
// room at present, so that the steps behind them need not be tried.
type fullPool struct {
	sizes []fleet.Vector
	// barred holds the sizes for which only places that are set aside had room, with how long the
	// tasks would have stayed.
	barred []barredSize
	// anyClosed is true if an executor is closed for isolated runs.
	anyClosed bool
}

// barredSize is the size of a task, and how long it would have stayed.
type barredSize struct {
	size fleet.Vector
	stay time.Duration
}

// rejects reports whether a task of a step of the given size cannot fit either.
func (f *fullPool) rejects(s *stepRun, size fleet.Vector) bool {
	return slices.ContainsFunc(f.sizes, func(tried fleet.Vector) bool { return tried.FitsIn(size) }) ||
		slices.ContainsFunc(f.barred, func(tried barredSize) bool { return tried.size.FitsIn(size) && tried.stay <= s.expectedStay() })
}
