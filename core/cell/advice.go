package cell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"jacinthwind/core/fleet"
)

// Limits of the calls to the advice service.
const (
	// maxAdviceExecutors is the largest number of executors that one call to the
	// advice service may name.
	maxAdviceExecutors = 30
	// maxAdviceTime is the time that naming several executors may take in one call, since the
	// others wait for it.
	maxAdviceTime = 2 * time.Second
	// adviceRetryInterval is the time after which missing advice is requested again. After
	// calls that failed it doubles, up to maxAdviceBackoff.
	adviceRetryInterval = 500 * time.Millisecond
	maxAdviceBackoff    = 4 * time.Second
	// adviceSlack is how much longer than its calls take the service may be waited for, and
	// unknownAdviceTimeout the limit of calls of which that is not known.
	adviceSlack          = time.Second
	unknownAdviceTimeout = 5 * time.Second
	// adviceHeadStart is by how much earlier the advice for a step counts as wanted for each
	// priority that it precedes, up to maxAdviceHeadStart, so that no step waits for ever.
	adviceHeadStart    = 2 * time.Second
	maxAdviceHeadStart = 10 * time.Second
	// maxTicketMargin limits how long before its expiry a ticket is no longer used, so that
	// it does not expire before the start arrives.
	maxTicketMargin = 200 * time.Millisecond
)

// adviceCalls holds the calls to the advice service. It handles those of one node in turn, so
// that only one is sent at a time and has the whole time of its limit.
type adviceCalls struct {
	// pending is the step whose call is under way, empty if there is none.
	pending string
	// wanted holds the steps that need advice in this tick.
	wanted []adviceWant
	// failures counts the calls that failed in a row. None is sent before retryAt.
	failures int
	retryAt  time.Duration
}

// adviceWant is a step that needs advice, with the executors on which a task may start.
type adviceWant struct {
	step *stepRun
	free []*executor
}

// ensureTickets reports whether valid tickets for a step are available. It requests others if
// they are not, or if no executor with one fits but others do.
func (k *Kernel) ensureTickets(s *stepRun, free []*executor) bool {
	valid := len(s.tickets) > 0 && k.now.Monotonic < s.ticketsExpireAt
	if valid && !k.lacksTicket(s, free) {
		s.adviceWantedAt = 0
		return true
	}
	if s.adviceRequestedAt == 0 || k.now.Monotonic > s.adviceRequestedAt+adviceRetryInterval {
		if s.adviceWantedAt == 0 {
			s.adviceWantedAt = k.now.Monotonic
		}
		k.advice.wanted = append(k.advice.wanted, adviceWant{s, free})
	}
	return valid
}

// requestNextAdvice requests the advice that has been wanted for longest, unless another call is
// under way. Urgent steps have a head start.
func (k *Kernel) requestNextAdvice() {
	a := &k.advice
	wanted := a.wanted
	a.wanted = nil
	if len(wanted) == 0 || a.pending != "" || k.now.Monotonic < a.retryAt {
		return
	}
	next := slices.MinFunc(wanted, func(v, w adviceWant) int { return cmp.Compare(v.step.adviceTurn(), w.step.adviceTurn()) })
	k.requestAdvice(next.step, next.free)
}

// adviceTurn orders the steps that want advice; lower values come first.
func (s *stepRun) adviceTurn() time.Duration {
	return s.adviceWantedAt + min(time.Duration(min(s.priorityRank(), 100))*adviceHeadStart, maxAdviceHeadStart)
}

// lacksTicket reports whether a task of a step fits on executors without a ticket only.
func (k *Kernel) lacksTicket(s *stepRun, free []*executor) bool {
	need := s.ReservedSize()
	found := false
	for _, x := range free {
		if !k.fitsWithTicket(x, s, need) {
			continue
		}
		if _, ok := s.tickets[x.ID]; ok {
			return false
		}
		// One that was named and not allowed will not be.
		found = found || s.allowed[x.ID] || s.namedAt[x.ID] == 0
	}
	return found
}

// requestAdvice requests advice for a step on the executors that it fits, those that the
// service has allowed before first, then those that were named longest ago. Which executors
// may run a step does not change.
func (k *Kernel) requestAdvice(s *stepRun, free []*executor) {
	need := s.ReservedSize()
	rank := func(x *executor) int {
		switch {
		case !k.fitsWithTicket(x, s, need):
			return 2
		case !s.allowed[x.ID]:
			return 1
		}
		return 0
	}
	ranked := slices.Clone(free)
	slices.SortStableFunc(ranked, func(a, b *executor) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(s.namedAt[a.ID], s.namedAt[b.ID]))
	})
	if s.namedAt == nil {
		s.namedAt = map[string]time.Duration{}
	}
	times := s.job.queue.Advice
	request := RequestAdvice{Step: s.adviceKey()}
	for _, x := range ranked[:min(len(ranked), adviceSize(times))] {
		request.Executors = append(request.Executors, x.ID)
		s.namedAt[x.ID] = k.now.Monotonic
	}
	request.Timeout = unknownAdviceTimeout
	if t := times.Of(len(request.Executors)); t > 0 {
		// A call of this node that was given up may still have its turn.
		request.Timeout = 2*t + adviceSlack
	}
	s.adviceRequestedAt, k.advice.pending = k.now.Monotonic, request.Step
	k.emit(request)
}

// adviceSize returns how many executors a call may name: as many as are decided on within half
// of the life of a ticket and within maxAdviceTime, but at least as many as take no longer than
// the call itself.
func adviceSize(t fleet.AdviceTimes) int {
	if t.PerExecutor <= 0 {
		return maxAdviceExecutors
	}
	limit := maxAdviceTime
	if t.TicketLife > 0 {
		limit = min(limit, t.TicketLife/2)
	}
	return min(max(int(max(limit-t.Base, t.Base)/t.PerExecutor), 1), maxAdviceExecutors)
}

// adviceKey returns the name of the step in calls to the advice service.
func (s *stepRun) adviceKey() string { return fmt.Sprintf("%s.%d.%d", s.job.ID, s.occurrence, s.index) }

// handleAdvice stores the tickets that the advice service issued for a step.
func (k *Kernel) handleAdvice(e AdviceReceived) {
	if e.Step == k.advice.pending {
		k.advice.pending = ""
	}
	if e.Failed {
		k.advice.retryAt = k.now.Monotonic + min(adviceRetryInterval<<min(k.advice.failures, 10), maxAdviceBackoff)
		k.advice.failures++
		return
	}
	k.advice.failures = 0
	s := k.stepOfAdvice(e.Step)
	if s == nil {
		return
	}
	s.adviceWantedAt = 0
	if len(e.Advice.Tickets) == 0 {
		return
	}
	s.tickets = e.Advice.Tickets
	var times fleet.AdviceTimes
	if s.job.queue != nil {
		times = s.job.queue.Advice
	}
	// The tickets were issued with the answer, after the call had taken its time.
	issuedAt := min(e.Sent+times.Of(len(e.Executors)), k.now.Monotonic)
	life := time.Duration(e.Advice.ValidMs) * time.Millisecond
	s.ticketsExpireAt = issuedAt + life - min(maxTicketMargin, life/4)
	if s.allowed == nil {
		s.allowed = map[string]bool{}
	}
	for id := range s.tickets {
		s.allowed[id] = true
	}
	// The tickets of an incarnation that has ended since are not valid.
	maps.DeleteFunc(s.tickets, func(id, _ string) bool {
		x := k.executors[id]
		return x != nil && x.noticedAt > e.Sent
	})
}

// dropTickets drops the tickets for the previous incarnation of an executor.
func (k *Kernel) dropTickets(x *executor) {
	for _, s := range k.ensurePool(x.Pool).readySteps {
		delete(s.tickets, x.ID)
	}
}

// stepOfAdvice returns the step that a call to the advice service names, nil if it is gone.
func (k *Kernel) stepOfAdvice(key string) *stepRun {
	var occurrence, step int
	if len(key) < 17 {
		return nil
	}
	if _, err := fmt.Sscanf(key[17:], "%d.%d", &occurrence, &step); err != nil {
		return nil
	}
	j := k.jobs[key[:16]]
	if j == nil {
		return nil
	}
	return j.stepAt(occurrence, step)
}
