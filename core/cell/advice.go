package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Limits of the calls to the advice service.
const (
	// maxAdviceExecutors is the largest number of executors that one call to the
	// advice service may name.
	maxAdviceExecutors = 30
	// adviceRetryInterval is the time after which missing advice is requested again.
	adviceRetryInterval = 500 * time.Millisecond
	// ticketMargin is how long before its expiry a ticket is no longer used, so that it
	// does not expire before the start arrives.
	ticketMargin = 200 * time.Millisecond
)

// ensureTickets reports whether valid tickets for a step are available. It requests others if
// they are not, or if no executor with one fits but others do.
func (k *Kernel) ensureTickets(s *stepRun, free []*executor) bool {
	valid := len(s.tickets) > 0 && k.now.Monotonic < s.ticketsExpireAt
	if valid && !k.lacksTicket(s, free) {
		return true
	}
	if s.adviceRequestedAt == 0 || k.now.Monotonic > s.adviceRequestedAt+adviceRetryInterval {
		s.adviceRequestedAt = k.now.Monotonic
		k.requestAdvice(s, free)
	}
	return valid
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
	request := RequestAdvice{Step: s.adviceKey()}
	for _, x := range ranked[:min(len(ranked), maxAdviceExecutors)] {
		request.Executors = append(request.Executors, x.ID)
		s.namedAt[x.ID] = k.now.Monotonic
	}
	k.emit(request)
}

// adviceKey returns the name of the step in calls to the advice service.
func (s *stepRun) adviceKey() string { return fmt.Sprintf("%s.%d.%d", s.job.ID, s.occurrence, s.index) }

// handleAdvice stores the tickets that the advice service issued for a step.
func (k *Kernel) handleAdvice(e AdviceReceived) {
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
		s.ticketsExpireAt = e.Sent + time.Duration(e.Advice.ValidMs)*time.Millisecond - ticketMargin
		if s.allowed == nil {
			s.allowed = map[string]bool{}
		}
		for id := range s.tickets {
			s.allowed[id] = true
		}
	}
}
