package cell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"jacinthwind/core/fleet"
)

// Scheduling constants.
const (
	// minLease is the shortest time that a start must have before its deadline.
	minLease = 500 * time.Millisecond
	// provenFor is how long a success speaks for an executor.
	provenFor = 5 * time.Second
	// starving is how late a step may become while others that can be in time go
	// before it: what is accepted is finished.
	starving = 10 * time.Second
	// maxTogether is how many service tasks of a step share an executor while
	// there are others.
	maxTogether = 2
	// adviceMost is the largest number of executors that a call may name.
	adviceMost = 30
	// adviceRetry is when advice that did not come is asked for again.
	adviceRetry = 500 * time.Millisecond
	// adviceSlack ends the use of a ticket before the executor refuses it.
	adviceSlack = 200 * time.Millisecond
)

// schedule starts what may run, pool by pool.
func (k *Kernel) schedule() {
	for _, name := range slices.Sorted(maps.Keys(k.pools)) {
		p := k.pools[name]
		if len(p.ready) == 0 {
			continue
		}
		candidates := k.candidates(p)
		if len(candidates) == 0 {
			continue
		}
		free := k.freeExecutors(name)
		if len(free) == 0 {
			continue
		}
		for _, s := range candidates {
			k.placeStep(s, free)
		}
	}
}

// candidates returns the steps with waiting tasks in the order of service.
func (k *Kernel) candidates(p *pool) []*stepRun {
	var found []*stepRun
	p.ready = slices.DeleteFunc(p.ready, func(s *stepRun) bool {
		if s.done == s.Count || s.job.state.Ended() {
			return true
		}
		if s.waiting > 0 && k.isDue(s, 0) {
			found = append(found, s)
		}
		return false
	})
	slices.SortStableFunc(found, k.compare)
	return found
}

// compare orders steps: service tasks, then priority, then those that can meet
// their objective by their slack, then the late ones.
func (k *Kernel) compare(a, b *stepRun) int {
	return cmp.Or(
		cmp.Compare(a.rank(), b.rank()),
		cmp.Compare(k.lateness(a), k.lateness(b)),
		cmp.Compare(a.due-a.tail, b.due-b.tail),
	)
}

func (s *stepRun) rank() int {
	switch {
	case s.Fills:
		return 1 << 20
	case s.Service:
		return -1
	case s.job.queue != nil:
		return s.job.queue.Priority
	}
	return 0
}

// lateness is 1 for a step whose objective cannot be met any more, until it has
// waited so long that it goes before all others of its priority.
func (k *Kernel) lateness(s *stepRun) int {
	if late := k.now.Mono + s.tail - s.due; late > 0 && late < starving {
		return 1
	}
	return 0
}

func (k *Kernel) freeExecutors(pool string) []*executor {
	var free []*executor
	for _, x := range k.sorted() {
		// A later owner, which claims after our proof has ended, may not know an
		// executor that joined since.
		if k.now.Mono > k.until && x.fencedAt > k.until {
			continue
		}
		if x.Pool == pool && k.usable(x) && k.deadline(x) >= x.clock+(k.now.Mono-x.clockAt+minLease).Milliseconds() {
			free = append(free, x)
		}
	}
	return free
}

// placeStep starts as many waiting tasks of a step as fit.
func (k *Kernel) placeStep(s *stepRun, free []*executor) {
	if s.job.queue != nil && s.job.queue.Advised && !k.haveAdvice(s, free) {
		return
	}
	if s.Gang {
		k.placeGang(s, free)
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskWaiting || t.uncertain || t.notBefore > k.now.Mono {
			continue
		}
		if !k.withinLimit(s, 1) {
			return
		}
		x := k.choose(s, t, free)
		if x == nil {
			// Equal tasks need equal room; only a failed one is more choosy.
			if len(t.failed) == 0 {
				return
			}
			continue
		}
		k.start(x, s, i, max(t.run, k.RunBase)+1)
	}
}

// withinLimit reports whether n more tasks keep the team's limit.
func (k *Kernel) withinLimit(s *stepRun, n int) bool {
	team := k.config.Team(s.job.Team)
	if team == nil {
		return true
	}
	return k.usage[team.Name].Add(s.Size.Times(int64(n))).Within(team.Limit)
}

// choose returns the best executor for a task, or nil.
func (k *Kernel) choose(s *stepRun, t *task, free []*executor) *executor {
	need := s.Reserved()
	var best *executor
	var bestScore score
	full := false
	for _, x := range free {
		if !k.mayRun(x, s, need) {
			full = full || (s.Rack != "" && x.Rack() == s.Rack && x.avoid <= k.now.Mono)
			continue
		}
		if sc := k.score(x, s, t); best == nil || sc.less(bestScore) {
			best, bestScore = x, sc
		}
	}
	if best != nil && bestScore.far > 0 && full && k.waitsForRack(s) {
		return nil
	}
	return best
}

// waitsForRack reports whether a step had better wait for an executor in the rack of
// its data: for half of the time that it would lose elsewhere, since the wait is not
// known, and while it can be in time.
func (k *Kernel) waitsForRack(s *stepRun) bool {
	loss := time.Duration((k.Far - 1) * float64(s.Estimate()))
	return k.now.Mono < s.readyAt+loss/2 && k.lateness(s) == 0
}

// mayRun reports whether an executor fulfils what a step requires.
func (k *Kernel) mayRun(x *executor, s *stepRun, need fleet.Vector) bool {
	if x.avoid > k.now.Mono || !x.used.Add(need).FitsIn(x.Room) || (s.Label != "" && !x.HasLabel(s.Label)) {
		return false
	}
	if s.tickets != nil {
		if _, ok := s.tickets[x.ID]; !ok {
			return false
		}
	}
	return s.PerExecutor == 0 || x.count(s) < s.PerExecutor
}

// count returns how many runs of a step an executor has.
func (x *executor) count(s *stepRun) int {
	n := 0
	for _, r := range x.runs {
		if r.step == s {
			n++
		}
	}
	return n
}

// score ranks executors for a task; lower components are better and earlier
// ones decide first.
type score struct {
	distrust int
	far      int
	crowd    int
	left     int64
}

func (a score) less(b score) bool {
	return cmp.Or(cmp.Compare(a.distrust, b.distrust), cmp.Compare(a.far, b.far),
		cmp.Compare(a.crowd, b.crowd), cmp.Compare(a.left, b.left)) < 0
}

func (k *Kernel) score(x *executor, s *stepRun, t *task) score {
	var sc score
	if len(t.failed) > 0 {
		// One more failure may end the job: only proven executors get it.
		if t.failedOn == x.ID {
			sc.distrust += 2
		}
		if x.succeeded == 0 || x.succeeded < k.now.Mono-provenFor {
			sc.distrust++
		}
	}
	sc.distrust += x.failures
	if s.Rack != "" && x.Rack() != s.Rack {
		sc.far = 1
	}
	sc.left = x.Room.CPU - x.used.CPU
	switch {
	case s.Fills:
		// Fill tasks go where most is left and least is disturbed.
		sc.crowd = x.targets()
		sc.left = -sc.left
	case s.Service:
		// Few VMs hold the service tasks, so that the others can be lent or off,
		// but one loss takes few tasks of a step.
		sc.crowd = max(x.count(s)-maxTogether+1, 0)
		if x.maintenanceDue {
			// A service task would have to move once more.
			sc.far++
		}
	}
	return sc
}

// targets counts the runs on an executor that have a latency target.
func (x *executor) targets() int {
	n := 0
	for _, r := range x.runs {
		if r.step.TargetMs > 0 {
			n++
		}
	}
	return n
}

// placeGang starts all tasks of a gang at once, or none.
func (k *Kernel) placeGang(s *stepRun, free []*executor) {
	number := k.RunBase
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state != taskWaiting || t.uncertain || t.notBefore > k.now.Mono {
			return
		}
		number = max(number, t.run)
	}
	if !k.withinLimit(s, s.Count) {
		return
	}
	for _, group := range rackGroups(s, free) {
		if places := k.gangPlaces(s, group); places != nil {
			saved := s.tasks[0].saved
			for i, x := range places {
				s.tasks[i].saved = saved
				k.start(x, s, i, number+1)
			}
			return
		}
	}
}

// rackGroups returns the sets of executors on which a gang may be placed, the
// better ones first.
func rackGroups(s *stepRun, free []*executor) [][]*executor {
	if !s.SameRack {
		return [][]*executor{free}
	}
	byRack := map[string][]*executor{}
	for _, x := range free {
		byRack[x.Rack()] = append(byRack[x.Rack()], x)
	}
	var groups [][]*executor
	for _, rack := range slices.Sorted(maps.Keys(byRack)) {
		groups = append(groups, byRack[rack])
	}
	return append(groups, free)
}

// gangPlaces returns an executor for each task, or nil when not all fit.
func (k *Kernel) gangPlaces(s *stepRun, free []*executor) []*executor {
	need := s.Reserved()
	extra := map[*executor]int64{}
	var places []*executor
	for range s.tasks {
		var found *executor
		for _, x := range free {
			taken := extra[x]
			if !k.mayRun(x, s, need.Times(taken+1)) || (s.PerExecutor > 0 && x.count(s)+int(taken) >= s.PerExecutor) {
				continue
			}
			found = x
			break
		}
		if found == nil {
			return nil
		}
		extra[found]++
		places = append(places, found)
	}
	return places
}

// haveAdvice reports whether tickets for a step are at hand, and asks for them
// otherwise.
func (k *Kernel) haveAdvice(s *stepRun, free []*executor) bool {
	if len(s.tickets) > 0 && k.now.Mono < s.ticketsEnd {
		return true
	}
	if s.adviceAsked == 0 || k.now.Mono > s.adviceAsked+adviceRetry {
		s.adviceAsked = k.now.Mono
		ask := AskAdvice{Step: s.name()}
		for _, x := range free[:min(len(free), adviceMost)] {
			ask.Executors = append(ask.Executors, x.ID)
		}
		k.emit(ask)
	}
	return false
}

func (s *stepRun) name() string { return fmt.Sprintf("%s.%d.%d", s.job.ID, s.k, s.index) }

// advised takes the tickets for a step.
func (k *Kernel) advised(e Advised) {
	var id string
	var occurrence, step int
	if len(e.Step) < 17 {
		return
	}
	id = e.Step[:16]
	if _, err := fmt.Sscanf(e.Step[17:], "%d.%d", &occurrence, &step); err != nil {
		return
	}
	j := k.jobs[id]
	if j == nil {
		return
	}
	if s := j.stepAt(occurrence, step); s != nil && len(e.Advice.Tickets) > 0 {
		s.tickets = e.Advice.Tickets
		s.ticketsEnd = e.Sent + time.Duration(e.Advice.ValidMs)*time.Millisecond - adviceSlack
	}
}
