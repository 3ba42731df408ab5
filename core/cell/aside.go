package cell

import (
	"math"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/lookahead"
)

// Limits of what is set aside for large tasks.
const (
	// minAsideWait is the shortest time that a task waits before places are set aside for it,
	// and asideSlackShare the share of its slack: most tasks start earlier by themselves.
	minAsideWait    = 80 * time.Millisecond
	asideSlackShare = 0.2
	// maxAside is how long a place is set aside at most, so that no pool stands idle for it.
	maxAside = 2 * time.Second
	// asidePause is how long a step whose places were given back unused gets no others.
	asidePause = time.Second
	// asideShare bounds the executors of a pool that are set aside, one in so many.
	asideShare = 8
	// maxPlaces is for how many tasks of a step that is no gang places are set aside at a time.
	maxPlaces = 4
	// largeFactor is by how much larger than the usual task of the pool a task must be, in one
	// resource: what is alike finds a place in its turn.
	largeFactor = 1.5
	// usualSizeWeight is the weight of the last task in the usual size.
	usualSizeWeight = 1.0 / 32
	// asideInterval is the time between two searches in a pool.
	asideInterval = 40 * time.Millisecond
	// minRunLeft is how long a run takes at least that should have ended.
	minRunLeft = 20 * time.Millisecond
)

// aside is the set of places that are set aside for the tasks of a step. It lives with the owner
// and is worked out anew by the next one.
type aside struct {
	step      *stepRun
	executors []*executor
	since     time.Duration
	until     time.Duration
	used      int
}

// setPlace is the place on an executor that is set aside.
type setPlace struct {
	lookahead.Place
	*aside
	bornMs int64
}

// mayUse reports whether a task may start on an executor although a place there may be set aside
// for others: a service goes first, as does what is more urgent, and other work may fill the place
// if it does not stand in the way.
func (k *Kernel) mayUse(x *executor, s *stepRun, need fleet.Vector) bool {
	p := x.place
	if p == nil || p.step == s || s.priorityRank() < p.step.priorityRank() {
		return true
	}
	if p.Admits(need, k.now.Monotonic+s.expectedStay()) {
		return true
	}
	k.isBarred = true
	return false
}

// expectedStay returns how long a task of the step is expected to stay on an executor.
func (s *stepRun) expectedStay() time.Duration {
	if s.Service || s.BestEffort || s.expected.Typical <= 0 {
		return math.MaxInt64 / 2
	}
	return s.expected.Mean
}

// noteSize notes the size of a task that starts in the pool.
func (p *pool) noteSize(size fleet.Vector) {
	for i, v := range []int64{size.CPU, size.Mem, size.GPU} {
		p.usualSize[i] += usualSizeWeight * (float64(v) - p.usualSize[i])
	}
}

// isLarge reports whether a task of the given size is clearly larger than the usual task of the
// pool in one resource.
func (p *pool) isLarge(size fleet.Vector) bool {
	for i, v := range []int64{size.CPU, size.Mem, size.GPU} {
		if float64(v) > largeFactor*p.usualSize[i] {
			return true
		}
	}
	return false
}

// sizeBand names the size of a task compared with the usual task of the pool.
func (p *pool) sizeBand(size fleet.Vector) string {
	switch {
	case p.isLarge(size):
		return "large"
	case float64(size.CPU)*largeFactor < p.usualSize[0]:
		return "small"
	}
	return "usual"
}

// fillPlace notes that a run begins on an executor with a place that is set aside.
func (k *Kernel) fillPlace(x *executor, s *stepRun, size fleet.Vector) {
	if !s.Service && !s.BestEffort {
		k.ensurePool(s.job.Pool).noteSize(size)
	}
	p := x.place
	switch {
	case p == nil:
	case p.step != s:
		p.Fill(size, k.now.Monotonic+s.expectedStay())
	default:
		p.used++
		if p.Need = p.Need.Sub(size); !size.FitsIn(p.Need) {
			x.place = nil
		}
	}
}

// runEnd returns when a run is expected to end, and false if that is not known or it lasts.
func (k *Kernel) runEnd(r *run) (time.Duration, bool) {
	now := k.now.Monotonic
	began := r.beganAt
	if began == 0 {
		began = now
	}
	expected := time.Duration(float64(r.step.expected.Typical) * k.awayFactor(r))
	switch {
	case r.state == runStopping:
		return max(r.stopSentAt+k.MaxStopDuration, now+minRunLeft), true
	case r.step.Service || r.step.BestEffort || expected <= 0:
		return 0, false
	case r.percent > r.firstPercent && r.firstReportAt > 0 && now-r.firstReportAt >= minSpeedWindow/2:
		left := float64(100-r.percent) / float64(r.percent-r.firstPercent) * float64(now-r.firstReportAt)
		return now + max(time.Duration(left), minRunLeft), true
	case now < began+expected:
		return began + expected, true
	}
	// It takes longer than expected; how much longer is as uncertain as it is late.
	return now + max((now-began)/2, minRunLeft), true
}

// releaseAsides gives back the places that serve nothing any more.
func (k *Kernel) releaseAsides() {
	k.asides = slices.DeleteFunc(k.asides, func(a *aside) bool {
		a.executors = slices.DeleteFunc(a.executors, func(x *executor) bool {
			if p := x.place; p == nil || p.aside != a {
				return true
			}
			if k.isUsable(x) && x.place.bornMs == x.bornMs && x.Pool == a.step.job.Pool {
				return false
			}
			x.place = nil
			return true
		})
		reason := ""
		switch {
		case a.step.job.state.IsFinal():
			reason = "the job ended"
		case a.step.waitingTasks == 0:
			reason = "placed"
		case len(a.executors) == 0:
			reason = "used or lost"
		case k.now.Monotonic >= a.until:
			reason = "not free in time"
		default:
			return false
		}
		for _, x := range a.executors {
			x.place = nil
		}
		a.step.aside = nil
		if a.used == 0 {
			a.step.noAsideUntil = k.now.Monotonic + asidePause
		}
		k.log(event.PlaceGivenBack, "job", a.step.job.ID, "step", a.step.index, "reason", reason, "used", a.used, "held_ms", (k.now.Monotonic - a.since).Milliseconds())
		return true
	})
}

// setAsides sets places aside for the first steps of a pool that have waited long for one.
func (k *Kernel) setAsides(p *pool, candidates []*stepRun, free []*executor) {
	if k.now.Monotonic < p.asidesAt+asideInterval || len(free) == 0 {
		return
	}
	p.asidesAt = k.now.Monotonic
	left := max(len(free)/asideShare, 1)
	for _, x := range free {
		if x.place != nil {
			left--
		}
	}
	if left <= 0 {
		return
	}
	for _, s := range candidates {
		if !k.deservesPlace(p, s) {
			continue
		}
		k.setAside(s, free, left)
		// One search in a pool at a time.
		return
	}
}

// deservesPlace reports whether a step has waited beyond a share of its slack for room that
// smaller work would take.
func (k *Kernel) deservesPlace(p *pool, s *stepRun) bool {
	if s.waitingTasks == 0 || s.aside != nil || s.Service || s.BestEffort || s.suspected || s.tickets != nil || k.now.Monotonic < s.noAsideUntil {
		return false
	}
	if !p.isLarge(s.ReservedSize()) && !s.Gang {
		return false
	}
	slack := s.due - s.criticalPath - s.readyAt
	if slack <= 0 || k.latenessRank(s) != 0 || k.now.Monotonic < s.readyAt+max(minAsideWait, time.Duration(asideSlackShare*float64(slack))) {
		return false
	}
	n := 1
	if s.Gang {
		n = s.Count
	}
	return k.withinTeamLimit(s, n) && slices.ContainsFunc(s.tasks, func(t task) bool {
		return t.state == taskWaiting && !t.uncertain && t.retryAt <= k.now.Monotonic
	})
}

// setAside sets places aside for the tasks of a step on at most the given number of executors.
func (k *Kernel) setAside(s *stepRun, free []*executor, most int) {
	n := min(s.waitingTasks, maxPlaces, most)
	if s.Gang {
		n = s.waitingTasks
	}
	groups := [][]*executor{free}
	if s.Gang {
		groups = rackGroups(s, free)
	}
	a := &aside{step: s, since: k.now.Monotonic, until: k.now.Monotonic + maxAside}
	for _, group := range groups {
		rooms := make([]lookahead.Room, len(group))
		for i, x := range group {
			rooms[i] = k.describeRoom(x)
		}
		isOpen := func(i int) bool {
			x := group[i]
			return x.place == nil && !k.isClosed(x) && (s.Label == "" || x.HasLabel(s.Label)) && (s.PerExecutor == 0 || x.countRuns(s) < s.PerExecutor)
		}
		places := lookahead.Earliest(k.now.Monotonic, a.until, rooms, isOpen, s.ReservedSize(), n, s.PerExecutor)
		if len(places) == 0 || len(places) > most {
			continue
		}
		var last time.Duration
		for i, x := range group {
			if p, ok := places[i]; ok {
				x.place = &setPlace{p, a, x.bornMs}
				a.executors = append(a.executors, x)
				last = max(last, p.At)
			}
		}
		s.aside = a
		k.asides = append(k.asides, a)
		k.log(event.PlaceSetAside, "job", s.job.ID, "step", s.index, "tasks", n, "size", s.ReservedSize(), "gang", s.Gang, "executors", len(a.executors),
			"expected_in_ms", (last - k.now.Monotonic).Milliseconds(), "waited_ms", (k.now.Monotonic - s.readyAt).Milliseconds())
		return
	}
	s.noAsideUntil = k.now.Monotonic + asidePause/4
}

// describeRoom returns an executor with its runs and their expected ends.
func (k *Kernel) describeRoom(x *executor) lookahead.Room {
	room := lookahead.Room{Capacity: x.Capacity, Used: x.used, Runs: make([]lookahead.Run, 0, len(x.runs))}
	for _, r := range sortedRuns(x) {
		end, ok := k.runEnd(r)
		room.Runs = append(room.Runs, lookahead.Run{Size: r.reserved, End: end, Lasts: !ok})
	}
	return room
}
