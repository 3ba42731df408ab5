package scheduler

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/event"
)

// State is the state of a pool that one owner hands over to the next.
type State struct {
	Pool  string `json:"pool"`
	Epoch uint64 `json:"epoch"`
	// MinIssuedAt is the time before which a request id may have been issued and
	// run under a failed owner.
	MinIssuedAt time.Time `json:"fence"`
	// ReconcileAfter is the time from which no task of a failed owner can
	// start.
	ReconcileAfter time.Time `json:"proved_after"`
	// MayRunOrphans names the executors on which unknown tasks of a failed
	// owner may run. Unreconciled names those whose running tasks are not
	// known.
	MayRunOrphans []string       `json:"doubtful,omitempty"`
	Unreconciled  []string       `json:"unproved,omitempty"`
	Tasks         []TaskState    `json:"tasks,omitempty"`
	Attempts      []AttemptState `json:"running,omitempty"`
	Grants        []GrantState   `json:"escrows,omitempty"`
	Charges       []ChargeState  `json:"charges,omitempty"`
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
	// UncertainAttempts counts the earlier attempts that may have started
	// without returning a complete answer.
	UncertainAttempts int `json:"unproved,omitempty"`
	// MayHaveRun means that an earlier copy may have run without leaving a
	// record.
	MayHaveRun bool `json:"may_have_run,omitempty"`
	// Attempt is the attempt in progress of a pending request.
	Attempt core.AttemptID `json:"attempt"`
}

// AttemptState describes one attempt that may still be running.
type AttemptState struct {
	Attempt  core.AttemptID `json:"attempt"`
	Executor string         `json:"executor"`
	// Address is that of the executor; earlier builds leave it out.
	Address    string    `json:"address,omitempty"`
	Team       string    `json:"team"`
	StartBy    time.Time `json:"start_by"`
	LeaseUntil time.Time `json:"lease_until"`
}

// GrantState describes the part of a team's limit that is granted to the pool.
type GrantState struct {
	Team      string `json:"team"`
	Held      int    `json:"held"`
	HomeEpoch uint64 `json:"home_epoch"`
	Known     bool   `json:"known"`
}

// ChargeState holds the slot time charged to a team.
type ChargeState struct {
	Team        string  `json:"team"`
	VirtualTime float64 `json:"virtual_time"`
	// MeanRun is the moving average of the team's run times in seconds.
	MeanRun float64 `json:"mean_run"`
}

// freeze stops dispatching and returns the requests that are queued or wait for
// a retry to their entry nodes, which send them to the next owner. Attempts in
// progress continue.
func (k *Kernel) freeze() {
	k.frozen = true
	for _, t := range k.queuedTasks() {
		k.dequeue(t)
		k.returnRequest(t)
	}
	for len(k.retries.items) > 0 {
		t := k.retries.items[0]
		k.retries.remove(t)
		k.returnRequest(t)
	}
	k.addNote(event.PoolHandedOver, k.pool, "frozen")
}

// returnRequest returns a request to its entry node as not accepted. The outcome
// is unknown if an earlier attempt may have started.
func (k *Kernel) returnRequest(t *task) {
	result := newRefusal(core.ReasonNotOwner)
	if t.uncertainAttempts > 0 {
		result.Outcome = core.Unknown
	}
	k.deadlines.remove(t)
	for _, w := range t.waiters {
		k.addReply(w, result, false)
	}
	delete(k.tasks, t.key)
}

// InFlight returns the number of attempts whose sender still waits for an
// answer.
func (k *Kernel) InFlight() int {
	n := 0
	for _, a := range k.attempts {
		if !a.foreign && !a.lost {
			n++
		}
	}
	return n
}

// Snapshot returns the state to hand over to the next owner. Call it after a
// Freeze event.
func (k *Kernel) Snapshot() *State {
	s := &State{Pool: k.pool, Epoch: k.epoch, MinIssuedAt: k.minIssuedAt, ReconcileAfter: k.reconcileAfter}
	for _, e := range k.executors {
		if e.mayRunOrphans {
			s.MayRunOrphans = append(s.MayRunOrphans, e.Name)
		}
		if !e.reconciled {
			s.Unreconciled = append(s.Unreconciled, e.Name)
		}
	}
	for _, t := range k.tasks {
		s.Tasks = append(s.Tasks, exportTask(t))
	}
	for _, a := range sortedAttempts(slices.Collect(maps.Values(k.attempts))) {
		state := AttemptState{Attempt: a.id, Executor: a.executor.Name, Address: a.executor.address, StartBy: a.startBy, LeaseUntil: a.leaseUntil}
		if a.team != nil {
			state.Team = a.team.Name
		}
		s.Attempts = append(s.Attempts, state)
	}
	for _, t := range k.sortedTeams() {
		g := &t.grant
		s.Grants = append(s.Grants, GrantState{Team: t.Name, Held: g.held, HomeEpoch: g.homeEpoch, Known: g.known})
		s.Charges = append(s.Charges, ChargeState{Team: t.Name, VirtualTime: t.VirtualTime, MeanRun: t.meanRunSeconds})
	}
	return s
}

// exportTask returns the handover record of t.
func exportTask(t *task) TaskState {
	s := TaskState{
		Key:               t.key,
		Outcome:           t.result.Outcome.String(),
		Reason:            t.result.Reason,
		SettledAt:         t.settledAt,
		ExpireAt:          t.expireAt,
		Deadline:          t.deadline,
		Cancelled:         t.cancelled,
		UncertainAttempts: t.uncertainAttempts,
		MayHaveRun:        t.mayHaveRun,
	}
	if t.current != nil {
		s.Attempt = t.current.id
	}
	return s
}

// restoreState applies the state that the previous owner handed over. Its
// attempts in progress count as running, and their results arrive as
// AttemptEnded events.
func (k *Kernel) restoreState(s *State) {
	k.minIssuedAt = s.MinIssuedAt
	k.reconcileAfter = s.ReconcileAfter
	for _, e := range k.executors {
		e.mayRunOrphans = slices.Contains(s.MayRunOrphans, e.Name)
		e.reconciled = !slices.Contains(s.Unreconciled, e.Name)
	}
	for _, c := range s.Charges {
		tm := k.ensureTeam(c.Team)
		tm.VirtualTime = c.VirtualTime
		tm.meanRunSeconds = c.MeanRun
	}
	for _, g := range s.Grants {
		tm := k.ensureTeam(g.Team)
		tm.grant = limitGrant{known: g.Known, held: g.Held, homeEpoch: g.HomeEpoch}
	}
	for _, a := range s.Attempts {
		k.restoreAttempt(a)
	}
	slices.SortFunc(s.Tasks, func(a, b TaskState) int { return a.ExpireAt.Compare(b.ExpireAt) })
	for _, ts := range s.Tasks {
		k.restoreTask(ts)
	}
	k.updateFreeExecutors()
	for _, tm := range k.teams {
		k.updateReadyHeaps(tm)
	}
}

// restoreAttempt adds an attempt that the previous owner reported as running.
func (k *Kernel) restoreAttempt(s AttemptState) {
	e := k.findExecutor(s.Executor, s.Address)
	if e == nil && s.Address == "" {
		e = k.executorByName(s.Executor)
	}
	if e == nil {
		e = k.ensureExecutor(s.Executor, s.Address)
		e.removed = true
	}
	a := &attempt{
		id: s.Attempt, executor: e, startedAt: k.now, startBy: s.StartBy, leaseUntil: s.LeaseUntil, foreign: true,
	}
	if s.Attempt.Pool == k.pool {
		a.team = k.ensureTeam(s.Team)
	}
	k.occupySlot(a)
}

// restoreTask adds the record of a request that the previous owner accepted.
func (k *Kernel) restoreTask(s TaskState) {
	t := &task{
		key: s.Key, team: k.ensureTeam(s.Key.Team), deadline: s.Deadline, settledAt: s.SettledAt, expireAt: s.ExpireAt,
		deadlineIndex: -1, retryIndex: -1,
	}
	k.tasks[t.key] = t
	outcome, _ := core.ParseOutcome(s.Outcome)
	if outcome != core.Pending {
		t.state = stateSettled
		t.result = core.Result{Outcome: outcome, Reason: s.Reason}
		k.recordQueueOf(t).push(t)
		return
	}
	t.state = stateRunning
	t.attempts = 1
	t.cancelled = s.Cancelled
	t.uncertainAttempts = s.UncertainAttempts
	t.mayHaveRun = s.MayHaveRun
	// The payload is not handed over, so this owner cannot retry the task: a
	// lost attempt settles it as unknown.
	t.req = &core.Request{ID: s.Key.ID, Queue: s.Key.Queue, Team: s.Key.Team, Deadline: s.Deadline}
	if a, ok := k.attempts[s.Attempt]; ok {
		a.task = t
		t.current = a
	}
	k.deadlines.add(t)
}
