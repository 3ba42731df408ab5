package scheduler

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

// State is what an owner hands over to the next one.
type State struct {
	Pool  string    `json:"pool"`
	Epoch uint64    `json:"epoch"`
	Fence time.Time `json:"fence"`
	// ProvedAfter is when no task of a vanished owner can start any more.
	ProvedAfter time.Time `json:"proved_after"`
	// Doubtful names the executors on which such tasks may run, Unproved those
	// whose running tasks are not known.
	Doubtful []string      `json:"doubtful,omitempty"`
	Unproved []string      `json:"unproved,omitempty"`
	Tasks    []TaskState   `json:"tasks,omitempty"`
	Running  []RunState    `json:"running,omitempty"`
	Escrows  []EscrowState `json:"escrows,omitempty"`
	Charges  []ChargeState `json:"charges,omitempty"`
}

// TaskState is the record of one request.
type TaskState struct {
	Key       RequestKey  `json:"key"`
	Outcome   string      `json:"outcome"`
	Reason    core.Reason `json:"reason,omitempty"`
	SettledAt time.Time   `json:"settled_at"`
	ExpireAt  time.Time   `json:"expire_at"`
	Deadline  time.Time   `json:"deadline"`
	Cancelled bool        `json:"cancelled,omitempty"`
	// Unproved counts earlier attempts that may have started.
	Unproved int `json:"unproved,omitempty"`
	// MayHaveRun means that a copy may have run without leaving a record.
	MayHaveRun bool `json:"may_have_run,omitempty"`
	// Attempt is the attempt in progress of a pending request.
	Attempt core.AttemptID `json:"attempt"`
}

// RunState is one attempt that is not proved ended.
type RunState struct {
	Attempt    core.AttemptID `json:"attempt"`
	Executor   string         `json:"executor"`
	Team       string         `json:"team"`
	StartBy    time.Time      `json:"start_by"`
	LeaseUntil time.Time      `json:"lease_until"`
}

// EscrowState is what the pool holds of a team's limit.
type EscrowState struct {
	Team      string `json:"team"`
	Held      int    `json:"held"`
	HomeEpoch uint64 `json:"home_epoch"`
	Known     bool   `json:"known"`
}

// ChargeState is the charged slot time of a team.
type ChargeState struct {
	Team        string  `json:"team"`
	VirtualTime float64 `json:"virtual_time"`
	MeanRun     float64 `json:"mean_run"`
}

// freeze stops dispatching; waiting requests go back to the entry nodes, which
// send them to the next owner. Attempts in progress run on.
func (k *Kernel) freeze() {
	k.frozen = true
	for _, t := range k.waitingTasks() {
		k.unwait(t)
		k.bounce(t)
	}
	for len(k.retries.items) > 0 {
		t := k.retries.items[0]
		k.retries.drop(t)
		k.bounce(t)
	}
	k.note(event.PoolHandedOver, k.pool, "frozen")
}

// bounce returns a waiting request untaken and says whether an earlier attempt
// of it may have started.
func (k *Kernel) bounce(t *task) {
	result := refusal(core.ReasonNotOwner)
	if t.unproved > 0 {
		result.Outcome = core.Unknown
	}
	k.deadlines.drop(t)
	for _, w := range t.waiters {
		k.reply(w, result, false)
	}
	delete(k.tasks, t.key)
}

// InFlight is the number of attempts that are not proved ended and whose
// sender still waits.
func (k *Kernel) InFlight() int {
	n := 0
	for _, a := range k.attempts {
		if !a.foreign && !a.lost {
			n++
		}
	}
	return n
}

// Snapshot returns the state to hand over after Freeze.
func (k *Kernel) Snapshot() *State {
	s := &State{Pool: k.pool, Epoch: k.epoch, Fence: k.fence, ProvedAfter: k.provedAfter}
	for _, e := range k.executors {
		if e.doubtful {
			s.Doubtful = append(s.Doubtful, e.Name)
		}
		if !e.proved {
			s.Unproved = append(s.Unproved, e.Name)
		}
	}
	for _, t := range k.tasks {
		s.Tasks = append(s.Tasks, taskState(t))
	}
	for _, a := range sortedAttempts(slices.Collect(maps.Values(k.attempts))) {
		run := RunState{Attempt: a.id, Executor: a.exec.Name, StartBy: a.startBy, LeaseUntil: a.leaseUntil}
		if a.team != nil {
			run.Team = a.team.Name
		}
		s.Running = append(s.Running, run)
	}
	for _, t := range k.sortedTeams() {
		e := &t.escrow
		s.Escrows = append(s.Escrows, EscrowState{Team: t.Name, Held: e.held, HomeEpoch: e.homeEpoch, Known: e.known})
		s.Charges = append(s.Charges, ChargeState{Team: t.Name, VirtualTime: t.VirtualTime, MeanRun: t.meanRun})
	}
	return s
}

func taskState(t *task) TaskState {
	s := TaskState{
		Key:        t.key,
		Outcome:    t.result.Outcome.String(),
		Reason:     t.result.Reason,
		SettledAt:  t.settledAt,
		ExpireAt:   t.expireAt,
		Deadline:   t.deadline,
		Cancelled:  t.cancelled,
		Unproved:   t.unproved,
		MayHaveRun: t.mayHaveRun,
	}
	if t.current != nil {
		s.Attempt = t.current.id
	}
	return s
}

// adopt takes over what a predecessor handed over. Its attempts in progress
// are counted and their results come through AttemptEnded.
func (k *Kernel) adopt(s *State) {
	k.fence = s.Fence
	k.provedAfter = s.ProvedAfter
	for _, e := range k.executors {
		e.doubtful = slices.Contains(s.Doubtful, e.Name)
		e.proved = !slices.Contains(s.Unproved, e.Name)
	}
	for _, c := range s.Charges {
		tm := k.team(c.Team)
		tm.VirtualTime = c.VirtualTime
		tm.meanRun = c.MeanRun
	}
	for _, e := range s.Escrows {
		tm := k.team(e.Team)
		tm.escrow = escrow{known: e.Known, held: e.Held, homeEpoch: e.HomeEpoch}
	}
	for _, r := range s.Running {
		k.adoptAttempt(r)
	}
	slices.SortFunc(s.Tasks, func(a, b TaskState) int { return a.ExpireAt.Compare(b.ExpireAt) })
	for _, ts := range s.Tasks {
		k.adoptTask(ts)
	}
	k.updateAllFree()
	for _, tm := range k.teams {
		k.updateReady(tm)
	}
}

func (k *Kernel) adoptAttempt(r RunState) {
	e := k.executorByName(r.Executor)
	if e == nil {
		e = k.executorAt(r.Executor, "")
		e.removed = true
	}
	a := &attempt{
		id: r.Attempt, exec: e, startedAt: k.now, startBy: r.StartBy, leaseUntil: r.LeaseUntil, foreign: true,
	}
	if r.Attempt.Pool == k.pool {
		a.team = k.team(r.Team)
	}
	k.occupy(a)
}

func (k *Kernel) adoptTask(s TaskState) {
	t := &task{
		key: s.Key, team: k.team(s.Key.Team), deadline: s.Deadline, settledAt: s.SettledAt, expireAt: s.ExpireAt,
		deadlineIndex: -1, retryIndex: -1,
	}
	k.tasks[t.key] = t
	outcome, _ := core.ParseOutcome(s.Outcome)
	if outcome != core.Pending {
		t.state = stateSettled
		t.result = core.Result{Outcome: outcome, Reason: s.Reason}
		k.records(t).push(t)
		return
	}
	t.state = stateRunning
	t.attempts = 1
	t.cancelled = s.Cancelled
	t.unproved = s.Unproved
	t.mayHaveRun = s.MayHaveRun
	// The request itself stays with the predecessor, so a lost attempt settles
	// as unknown and is not tried again here.
	t.req = &core.Request{ID: s.Key.ID, Queue: s.Key.Queue, Team: s.Key.Team, Deadline: s.Deadline}
	if a, ok := k.attempts[s.Attempt]; ok {
		a.task = t
		t.current = a
	}
	k.deadlines.add(t)
}
