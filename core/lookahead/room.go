package lookahead

import (
	"cmp"
	"slices"
	"time"

	"jacinthwind/core/fleet"
)

// Run is a run in progress.
type Run struct {
	Size fleet.Vector
	// End is when the run is expected to end. Runs that last do not.
	End   time.Duration
	Lasts bool
}

// Room is an executor with its runs. Used may be more than the sum of the runs.
type Room struct {
	Capacity, Used fleet.Vector
	Runs           []Run
}

// FreeAt returns when a task of the given size is expected to fit, now at the earliest, and what
// else is free then. It returns false if the task does not fit before a limit.
func (r Room) FreeAt(now, limit time.Duration, need fleet.Vector) (at time.Duration, spare fleet.Vector, ok bool) {
	free := r.Capacity.Sub(r.Used)
	if need.FitsIn(free) {
		return now, free.Sub(need), true
	}
	runs := slices.DeleteFunc(slices.Clone(r.Runs), func(run Run) bool { return run.Lasts })
	slices.SortStableFunc(runs, func(a, b Run) int { return cmp.Compare(a.End, b.End) })
	for i, run := range runs {
		if run.End > limit {
			break
		}
		free = free.Add(run.Size)
		isLastOfMoment := i+1 == len(runs) || runs[i+1].End > run.End
		if isLastOfMoment && need.FitsIn(free) {
			return max(run.End, now), free.Sub(need), true
		}
	}
	return 0, fleet.Vector{}, false
}

// Place is a place that is set aside for a task of the given size.
type Place struct {
	Need fleet.Vector
	// At is when the task is expected to fit.
	At time.Duration
	// Spare is what is expected to be free at At beside the task.
	Spare fleet.Vector
}

// Admits reports whether other work of the given size that ends at the given time may start at
// the place: it is gone when the task comes, or both fit.
func (p *Place) Admits(size fleet.Vector, end time.Duration) bool {
	return end <= p.At || size.FitsIn(p.Spare)
}

// Fill notes that other work has started at the place.
func (p *Place) Fill(size fleet.Vector, end time.Duration) {
	if end > p.At {
		p.Spare = p.Spare.Sub(size)
	}
}

// Earliest returns the indexes of the rooms in which n tasks of the given size, at most perRoom in
// each (0: no limit), are expected to fit at the earliest, with the place in each. It returns nothing
// if not all of them fit before the limit. Rooms that are not open are left out.
func Earliest(now, limit time.Duration, rooms []Room, open func(i int) bool, need fleet.Vector, n, perRoom int) map[int]Place {
	type candidate struct {
		index int
		place Place
	}
	var found []candidate
	for i := range rooms {
		if !open(i) {
			continue
		}
		if at, spare, ok := rooms[i].FreeAt(now, limit, need); ok {
			found = append(found, candidate{i, Place{Need: need, At: at, Spare: spare}})
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return cmp.Compare(a.place.At, b.place.At) })
	places := map[int]Place{}
	for _, c := range found {
		if n <= 0 {
			break
		}
		taken := 1
		// Further tasks fit beside the first as far as room is spare at that time.
		for taken < n && (perRoom == 0 || taken < perRoom) && need.FitsIn(c.place.Spare) {
			c.place.Need, c.place.Spare = c.place.Need.Add(need), c.place.Spare.Sub(need)
			taken++
		}
		places[c.index] = c.place
		n -= taken
	}
	if n > 0 {
		return nil
	}
	return places
}
