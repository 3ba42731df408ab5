package limit

import (
	"fmt"
	"slices"
	"time"

	"jacinthwind/core/event"
)

// wantLifetime is how long an unmet want counts unless the pool repeats it.
const wantLifetime = time.Second

// Report is a pool's report to the home of a team.
type Report struct {
	Team string `json:"team"`
	// HomeEpoch is the epoch of the home to which the report is addressed. A
	// report to an earlier home may come from an earlier owner of the pool.
	HomeEpoch uint64 `json:"home_epoch"`
	Pool      string `json:"pool"`
	PoolEpoch uint64 `json:"pool_epoch"`
	Seq       uint64 `json:"seq"`
	// Held is the number of running tasks that the pool does not exceed, -1 if its
	// owner does not know it. Want is how many more it could use.
	Held int `json:"held"`
	Want int `json:"want,omitempty"`
}

// Answer is the home's answer to a Report.
type Answer struct {
	Team      string `json:"team"`
	Seq       uint64 `json:"seq"`
	HomeEpoch uint64 `json:"home_epoch"`
	Granted   int    `json:"granted"`
	// Target is the number of tasks to which the pool should reduce what it holds,
	// -1 for none.
	Target int `json:"target"`
	// Unknown means that the home does not know yet how much the pool holds.
	Unknown bool `json:"unknown,omitempty"`
}

// Loan is the part of the limit that the ledger has lent to one pool.
type Loan struct {
	Pool      string `json:"pool"`
	PoolEpoch uint64 `json:"pool_epoch"`
	Seq       uint64 `json:"seq"`
	Granted   int    `json:"granted"`
	// Known is false until the pool has reported to a home that took over without
	// the state of the previous home.
	Known  bool      `json:"known"`
	Want   int       `json:"want"`
	WantAt time.Time `json:"want_at"`
}

// State is the state of a ledger that a home hands over to the next one.
type State struct {
	Team  string `json:"team"`
	Epoch uint64 `json:"epoch"`
	Loans []Loan `json:"loans,omitempty"`
}

// Activation holds the parameters with which a node becomes the home of a team.
type Activation struct {
	Team  string
	Epoch uint64
	Limit int
	// Pools lists the names of the pools in the configuration.
	Pools []string
	// State is the state that the previous home handed over, nil if it failed
	// before it could.
	State *State
	// First is true if the team never had a home.
	First bool
}

// Ledger is the state machine that lends one team's limit to the pools.
type Ledger struct {
	team  string
	epoch uint64
	limit int
	loans map[string]*Loan
	// unlistedHoldNothing means that a pool without a loan holds nothing.
	unlistedHoldNothing bool
	notes               []event.Note
}

// New returns the ledger of a team whose home this node has become.
func New(a Activation) *Ledger {
	l := &Ledger{
		team:                a.Team,
		epoch:               a.Epoch,
		loans:               make(map[string]*Loan),
		unlistedHoldNothing: a.State != nil || a.First,
	}
	if a.State != nil {
		for _, loan := range a.State.Loans {
			l.loans[loan.Pool] = &loan
		}
	}
	l.SetLimit(a.Limit, a.Pools)
	l.addNote(event.TeamActivated, fmt.Sprintf("epoch %d, state of earlier homes known %t", a.Epoch, a.State != nil || a.First))
	return l
}

// SetLimit replaces the limit and adds pools that are new in the configuration.
func (l *Ledger) SetLimit(limit int, pools []string) {
	l.limit = limit
	for _, pool := range pools {
		if _, ok := l.loans[pool]; !ok {
			// A pool that is configured after the activation cannot hold anything.
			l.loans[pool] = &Loan{Pool: pool, Known: l.unlistedHoldNothing}
		}
	}
	l.unlistedHoldNothing = true
}

// HandleReport processes a pool's report and returns the answer. It returns false and
// ignores the report if a later one came first or it is addressed to another
// home.
func (l *Ledger) HandleReport(now time.Time, r Report) (Answer, bool) {
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
	l.recordReport(now, loan, r)
	l.grantLoan(now, loan, r.Want)
	answer.Granted = loan.Granted
	if l.isContended(now) {
		answer.Target = l.computeTargets(now)[r.Pool]
	}
	return answer, true
}

// recordReport records how much a pool holds, which is at most what it was lent.
func (l *Ledger) recordReport(now time.Time, loan *Loan, r Report) {
	if loan.Known && r.Held > loan.Granted {
		l.addNote(event.ViolationLedger, fmt.Sprintf("pool %s holds %d, but was lent %d", r.Pool, r.Held, loan.Granted))
	}
	loan.Known = true
	loan.Granted = r.Held
	loan.Want = r.Want
	loan.WantAt = now
}

// grantLoan lends the pool what it wants, as far as the limit and the demand of
// the other pools allow.
func (l *Ledger) grantLoan(now time.Time, loan *Loan, want int) {
	available := l.limit - l.sumLoans()
	grant := min(want, available)
	if l.isContended(now) {
		grant = min(grant, l.computeTargets(now)[loan.Pool]-loan.Granted)
	}
	if grant <= 0 {
		return
	}
	loan.Granted += grant
	loan.Want -= grant
	if lent := l.sumLoans(); lent > l.limit {
		l.addNote(event.ViolationLedger, fmt.Sprintf("lent %d of a limit of %d", lent, l.limit))
	}
}

// sumLoans returns the largest number of tasks that all pools together may run.
func (l *Ledger) sumLoans() int {
	sum := 0
	for _, loan := range l.loans {
		sum += l.computeMaxHeld(loan)
	}
	return sum
}

// computeMaxHeld returns the largest number of tasks that a pool may hold. A pool
// that has not reported to a new home may hold the whole limit.
func (l *Ledger) computeMaxHeld(loan *Loan) int {
	if loan.Known {
		return loan.Granted
	}
	return l.limit
}

// computeDemand returns the tasks that a pool holds and wants, without a want that
// the pool did not repeat in time.
func (l *Ledger) computeDemand(now time.Time, loan *Loan) int {
	if now.Sub(loan.WantAt) > wantLifetime {
		return l.computeMaxHeld(loan)
	}
	return l.computeMaxHeld(loan) + loan.Want
}

// isContended reports whether the demand of all pools exceeds the limit.
func (l *Ledger) isContended(now time.Time) bool {
	sum := 0
	for _, loan := range l.loans {
		sum += l.computeDemand(now, loan)
	}
	return sum > l.limit
}

// computeTargets divides the limit between the pools by max-min fairness of their
// demands.
func (l *Ledger) computeTargets(now time.Time) map[string]int {
	type claim struct {
		pool   string
		demand int
	}
	claims := make([]claim, 0, len(l.loans))
	for _, loan := range l.loans {
		claims = append(claims, claim{loan.Pool, l.computeDemand(now, loan)})
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
		target := min(c.demand, left/(len(claims)-i))
		targets[c.pool] = target
		left -= target
	}
	return targets
}

// State returns the state to hand over to the next home.
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

// TakeNotes returns the events since the previous call.
func (l *Ledger) TakeNotes() []event.Note {
	notes := l.notes
	l.notes = nil
	return notes
}

func (l *Ledger) addNote(n event.Number, detail string) {
	l.notes = append(l.notes, event.Note{Number: n, Subject: l.team, Detail: detail})
}
