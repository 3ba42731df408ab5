package limit

import (
	"fmt"
	"slices"
	"time"

	"jacinthwind/core/event"
)

// wantLifetime is how long an unmet demand counts without being repeated.
const wantLifetime = time.Second

// Report is what a pool tells the home of a team.
type Report struct {
	Team string `json:"team"`
	// HomeEpoch is the home that the report is meant for. A report to an earlier
	// home may come from an earlier owner of the pool.
	HomeEpoch uint64 `json:"home_epoch"`
	Pool      string `json:"pool"`
	PoolEpoch uint64 `json:"pool_epoch"`
	Seq       uint64 `json:"seq"`
	// Held is the number of tasks that the pool stays within; -1 where its
	// owner does not know.
	Held int `json:"held"`
	Want int `json:"want,omitempty"`
}

// Answer is the home's reply to a Report.
type Answer struct {
	Team      string `json:"team"`
	Seq       uint64 `json:"seq"`
	HomeEpoch uint64 `json:"home_epoch"`
	Granted   int    `json:"granted"`
	// Target is the part that the pool should come down to, -1 for none.
	Target int `json:"target"`
	// Unknown means that the home does not know yet what the pool holds.
	Unknown bool `json:"unknown,omitempty"`
}

// Loan is what the ledger has lent to one pool.
type Loan struct {
	Pool      string `json:"pool"`
	PoolEpoch uint64 `json:"pool_epoch"`
	Seq       uint64 `json:"seq"`
	Granted   int    `json:"granted"`
	// Known is false until the pool has reported to a new home.
	Known  bool      `json:"known"`
	Want   int       `json:"want"`
	WantAt time.Time `json:"want_at"`
}

// State is what a home hands over to the next one.
type State struct {
	Team  string `json:"team"`
	Epoch uint64 `json:"epoch"`
	Loans []Loan `json:"loans,omitempty"`
}

// Activation says how a node becomes the home of a team.
type Activation struct {
	Team  string
	Epoch uint64
	Limit int
	// Pools names the pools of the configuration.
	Pools []string
	// State is the predecessor's hand-over, nil where it vanished.
	State *State
	// First is set when the team never had a home.
	First bool
}

// Ledger is the state machine of one team's limit.
type Ledger struct {
	team  string
	epoch uint64
	limit int
	loans map[string]*Loan
	// inherited means that pools without a loan hold nothing.
	inherited bool
	notes     []event.Note
}

// New returns the ledger of a team that this node has become the home of.
func New(a Activation) *Ledger {
	l := &Ledger{
		team:      a.Team,
		epoch:     a.Epoch,
		loans:     make(map[string]*Loan),
		inherited: a.State != nil || a.First,
	}
	if a.State != nil {
		for _, loan := range a.State.Loans {
			l.loans[loan.Pool] = &loan
		}
	}
	l.SetLimit(a.Limit, a.Pools)
	l.note(event.TeamActivated, fmt.Sprintf("epoch %d, inherited %t", a.Epoch, a.State != nil || a.First))
	return l
}

// SetLimit puts another limit and other pools in force.
func (l *Ledger) SetLimit(limit int, pools []string) {
	l.limit = limit
	for _, pool := range pools {
		if _, ok := l.loans[pool]; !ok {
			// A pool that appears after the recovery cannot hold anything.
			l.loans[pool] = &Loan{Pool: pool, Known: l.inherited}
		}
	}
	l.inherited = true
}

// Report takes a pool's report and returns the answer; false means that the
// report was overtaken by a later one, or meant for another home, and gets none.
func (l *Ledger) Report(now time.Time, r Report) (Answer, bool) {
	if r.HomeEpoch != l.epoch {
		return Answer{}, false
	}
	loan, ok := l.loans[r.Pool]
	if !ok {
		loan = &Loan{Pool: r.Pool, Known: true}
		l.loans[r.Pool] = loan
	}
	if r.PoolEpoch < loan.PoolEpoch || (r.PoolEpoch == loan.PoolEpoch && r.Seq <= loan.Seq) {
		return Answer{}, false
	}
	loan.PoolEpoch, loan.Seq = r.PoolEpoch, r.Seq
	answer := Answer{Team: l.team, Seq: r.Seq, HomeEpoch: l.epoch, Target: -1}
	if r.Held < 0 {
		answer.Granted = loan.Granted
		answer.Unknown = !loan.Known
		return answer, true
	}
	l.accept(now, loan, r)
	l.lend(now, loan, r.Want)
	answer.Granted = loan.Granted
	if l.isContended(now) {
		answer.Target = l.targets(now)[r.Pool]
	}
	return answer, true
}

// accept records what a pool holds; it can only have come down.
func (l *Ledger) accept(now time.Time, loan *Loan, r Report) {
	if loan.Known && r.Held > loan.Granted {
		l.note(event.ViolationLedger, fmt.Sprintf("pool %s holds %d of %d lent", r.Pool, r.Held, loan.Granted))
	}
	loan.Known = true
	loan.Granted = r.Held
	loan.Want = r.Want
	loan.WantAt = now
}

// lend gives the pool what it wants as far as the limit and the other pools'
// demand allow.
func (l *Ledger) lend(now time.Time, loan *Loan, want int) {
	room := l.limit - l.lent()
	grant := min(want, room)
	if l.isContended(now) {
		grant = min(grant, l.targets(now)[loan.Pool]-loan.Granted)
	}
	if grant <= 0 {
		return
	}
	loan.Granted += grant
	loan.Want -= grant
	if lent := l.lent(); lent > l.limit {
		l.note(event.ViolationLedger, fmt.Sprintf("%d lent of %d", lent, l.limit))
	}
}

// lent is the largest number of tasks that all pools together may run.
func (l *Ledger) lent() int {
	sum := 0
	for _, loan := range l.loans {
		sum += l.bound(loan)
	}
	return sum
}

// bound is the largest number that a pool may hold. A pool that has not
// reported to a new home may hold the whole limit.
func (l *Ledger) bound(loan *Loan) int {
	if loan.Known {
		return loan.Granted
	}
	return l.limit
}

func (l *Ledger) demand(now time.Time, loan *Loan) int {
	if now.Sub(loan.WantAt) > wantLifetime {
		return l.bound(loan)
	}
	return l.bound(loan) + loan.Want
}

// isContended reports whether the pools together want more than the limit.
func (l *Ledger) isContended(now time.Time) bool {
	sum := 0
	for _, loan := range l.loans {
		sum += l.demand(now, loan)
	}
	return sum > l.limit
}

// targets divides the limit over the pools' demands by max-min fairness.
func (l *Ledger) targets(now time.Time) map[string]int {
	type claim struct {
		pool   string
		demand int
	}
	claims := make([]claim, 0, len(l.loans))
	for _, loan := range l.loans {
		claims = append(claims, claim{loan.Pool, l.demand(now, loan)})
	}
	slices.SortFunc(claims, func(a, b claim) int {
		if a.demand != b.demand {
			return a.demand - b.demand
		}
		if a.pool < b.pool {
			return -1
		}
		return 1
	})
	targets := make(map[string]int, len(claims))
	left := l.limit
	for i, c := range claims {
		// The remainder of the division goes to the largest claims.
		part := min(c.demand, left/(len(claims)-i))
		targets[c.pool] = part
		left -= part
	}
	return targets
}

// State returns what the next home needs.
func (l *Ledger) State() *State {
	s := &State{Team: l.team, Epoch: l.epoch}
	for _, loan := range l.loans {
		s.Loans = append(s.Loans, *loan)
	}
	slices.SortFunc(s.Loans, func(a, b Loan) int {
		if a.Pool < b.Pool {
			return -1
		}
		return 1
	})
	return s
}

// TakeNotes returns the events since the last call.
func (l *Ledger) TakeNotes() []event.Note {
	notes := l.notes
	l.notes = nil
	return notes
}

func (l *Ledger) note(n event.Number, detail string) {
	l.notes = append(l.notes, event.Note{Number: n, Subject: l.team, Detail: detail})
}
