package scheduler_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthwind/core"
	"jacinthwind/core/config"
	"jacinthwind/core/limit"
	_ "jacinthwind/core/order"
	_ "jacinthwind/core/placement"
	"jacinthwind/core/scheduler"
)

const (
	worldPool  = "proofs"
	worldLease = 4 * time.Second
	worldSkew  = 100 * time.Millisecond
)

var worldTeams = []config.Team{
	{Name: "large", Share: 4, Limit: 9},
	{Name: "small", Share: 1, Limit: 3},
}

// world is a pool with its executors, its teams' homes and successive owners;
// rapid chooses what happens and what gets lost.
type world struct {
	t     *rapid.T
	now   time.Time
	doc   config.Document
	state config.State
	steps int

	owners    []*worldOwner
	epoch     uint64
	homes     map[string]*limit.Ledger
	homeEpoch map[string]uint64
	executors map[string]*worldExecutor
	requests  []*worldRequest
	byWaiter  map[scheduler.WaiterID]*worldRequest
	waiter    scheduler.WaiterID
	// messages are under way in no particular order.
	messages []func()
	outSince map[string]time.Time
}

type worldOwner struct {
	kernel *scheduler.Kernel
	epoch  uint64
	until  time.Time
}

type worldExecutor struct {
	vm      config.VM
	running map[core.AttemptID]*worldRun
}

type worldRun struct {
	task  core.Task
	owner *worldOwner
}

type worldRequest struct {
	req     *core.Request
	starts  int
	results []core.Result
	// bounced counts copies that an owner did not take.
	bounced int
	doubt   bool
	copies  int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1_800_000_000, 0), homes: map[string]*limit.Ledger{}, homeEpoch: map[string]uint64{},
		executors: map[string]*worldExecutor{}, byWaiter: map[scheduler.WaiterID]*worldRequest{},
		outSince: map[string]time.Time{},
	}
	r := &w.doc.Register
	r.DataCentres = []config.DataCentre{{Name: "dc1"}, {Name: "dc2"}}
	r.Pools = []config.Pool{{Name: worldPool}}
	r.Queues = []config.Queue{{Name: "q", Pool: worldPool}, {Name: "open", Pool: worldPool, Open: true}}
	r.Teams = worldTeams
	for i := range 4 {
		vm := config.VM{
			Name: fmt.Sprintf("vm%d", i), Pool: worldPool, DataCentre: fmt.Sprintf("dc%d", 1+i%2), Rack: "r1",
			Executor: config.Executor{Address: fmt.Sprintf("10.0.0.%d:1", i+1), Slots: 3, Connections: 64},
		}
		r.VMs = append(r.VMs, vm)
		w.executors[vm.Executor.Address] = &worldExecutor{vm: vm, running: map[core.AttemptID]*worldRun{}}
	}
	for _, team := range worldTeams {
		r.Keys = append(r.Keys, config.Key{Name: team.Name, Team: team.Name, SHA256: config.DigestKey(team.Name)})
	}
	w.commit()
	for _, team := range worldTeams {
		w.homes[team.Name] = limit.New(limit.Activation{
			Team: team.Name, Epoch: 1, Limit: team.Limit, Pools: []string{worldPool}, First: true,
		})
		w.homeEpoch[team.Name] = 1
	}
	w.takeOver(nil, true)
	return w
}

// commit puts the document in force in the world's state.
func (w *world) commit() {
	ops, err := w.state.Diff(&w.doc)
	require.NoError(w.t, err)
	w.state, err = w.state.Apply(&config.Change{Revision: w.state.Revision + 1, Operations: ops})
	require.NoError(w.t, err)
}

func (w *world) view() *config.View {
	return config.NewView(w.state, nil)
}

func (w *world) chance(percent int, what string) bool {
	return rapid.IntRange(1, 100).Draw(w.t, what) <= percent
}

// trace tells what happened when a run fails.
func (w *world) trace(format string, args ...any) {
	w.t.Logf("TRACE %s "+format, append([]any{w.now.Format("05.000")}, args...)...)
}

func (w *world) owner() *worldOwner {
	return w.owners[len(w.owners)-1]
}

// takeOver makes the next owner, from a handed-over state or from nothing.
func (w *world) takeOver(state *scheduler.State, first bool) {
	w.epoch++
	o := &worldOwner{epoch: w.epoch, until: w.now.Add(5 * time.Second)}
	k, err := scheduler.New(w.now, scheduler.Settings{
		TaskLease: worldLease, ClockSkew: worldSkew, UsageInterval: time.Second, Seed: 1,
	}, scheduler.Activation{
		Pool: worldPool, Epoch: w.epoch, View: w.view(), State: state, First: first, OwnedUntil: o.until,
	})
	require.NoError(w.t, err)
	o.kernel = k
	w.owners = append(w.owners, o)
	w.trace("owner %d, handed over %t", w.epoch, state != nil)
	w.carryOut(o, k.TakeEffects())
}

func (w *world) step(o *worldOwner, ev scheduler.Event) {
	w.steps++
	w.carryOut(o, o.kernel.Step(w.now, ev))
}

// later puts a message under way, or loses it.
func (w *world) later(lossPercent int, deliver func()) {
	if w.chance(lossPercent, "lost") {
		return
	}
	w.messages = append(w.messages, deliver)
}

// deliver lets one of the messages under way arrive.
func (w *world) deliver() {
	if len(w.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(w.t, "message")
	m := w.messages[i]
	w.messages = slices.Delete(w.messages, i, i+1)
	m()
}

func (w *world) carryOut(o *worldOwner, fx *scheduler.Effects) {
	for _, n := range fx.Notes {
		require.False(w.t, n.Number.IsViolation(), n.String())
	}
	for _, r := range fx.Replies {
		w.reply(r)
	}
	for _, s := range fx.Starts {
		w.messages = append(w.messages, func() { w.start(o, s) })
	}
	for _, p := range fx.Polls {
		w.messages = append(w.messages, func() { w.poll(o, p) })
	}
	for _, s := range fx.Stops {
		w.later(10, func() { w.stop(s) })
	}
	for _, x := range fx.Exchanges {
		home := w.homeEpoch[x.Team]
		w.later(10, func() { w.exchange(o, x, home) })
	}
}

func (w *world) reply(r scheduler.Reply) {
	req, ok := w.byWaiter[r.Waiter]
	if !ok {
		return
	}
	delete(w.byWaiter, r.Waiter)
	w.trace("reply to %s: %v, taken %t", req.req.ID, r.Result, r.Taken)
	if !r.Taken {
		req.bounced++
		req.doubt = req.doubt || r.Result.Outcome == core.Unknown
		return
	}
	req.results = append(req.results, r.Result)
	if r.Result.Outcome == core.NotRun && !req.doubt {
		require.Zero(w.t, req.starts, "request %s was answered not_run after it had started", req.req.ID)
	}
}

// start is the arrival of a task at its executor.
func (w *world) start(o *worldOwner, s scheduler.Start) {
	e := w.executors[s.Address]
	refuse := func() {
		w.ended(o, s.Task.Attempt, core.AttemptResult{Status: core.AttemptRefused})
	}
	if w.now.After(s.Task.StartBy) || w.chance(3, "refused") {
		refuse()
		return
	}
	if w.chance(3, "connection cut before the task") {
		w.ended(o, s.Task.Attempt, core.AttemptResult{Status: core.AttemptLost})
		return
	}
	w.trace("start %s as %s on %s", s.Task.RequestID, s.Task.Attempt, e.vm.Name)
	w.checkStart(e, &s.Task)
	e.running[s.Task.Attempt] = &worldRun{task: s.Task, owner: o}
	if w.chance(5, "connection cut after the task") {
		w.ended(o, s.Task.Attempt, core.AttemptResult{Status: core.AttemptLost})
	}
}

// checkStart checks the promises as the executors see them.
func (w *world) checkStart(e *worldExecutor, task *core.Task) {
	require.Less(w.t, len(e.running), e.vm.Executor.Slots, "slots of %s", e.vm.Name)
	if since, out := w.outSince[e.vm.DataCentre]; out {
		require.False(w.t, w.now.After(since.Add(5*time.Second)), "start in %s", e.vm.DataCentre)
	}
	running := 0
	for _, other := range w.executors {
		for _, run := range other.running {
			if run.task.Team == task.Team {
				running++
			}
		}
	}
	for _, team := range worldTeams {
		if team.Name == task.Team {
			require.Less(w.t, running, team.Limit, "limit of %s", team.Name)
		}
	}
	for _, r := range w.requests {
		if r.req.ID != task.RequestID {
			continue
		}
		r.starts++
		require.Equal(w.t, r.req.Team, task.Team)
		if !r.req.Idempotent {
			require.Equal(w.t, 1, r.starts, "non-idempotent request %s", r.req.ID)
		}
		require.False(w.t, r.isRefused(), "request %s started after not_run", r.req.ID)
	}
}

// isRefused reports whether every copy was answered and none other than with
// not_run; another answer allows for attempts that are still under way.
func (r *worldRequest) isRefused() bool {
	taken := 0
	for _, result := range r.results {
		if result.Outcome != core.NotRun {
			return false
		}
		taken++
	}
	return taken > 0 && r.copies == taken+r.bounced
}

func (w *world) ended(o *worldOwner, id core.AttemptID, result core.AttemptResult) {
	w.messages = append(w.messages, func() {
		w.trace("end of %s: status %d", id, result.Status)
		if o == w.owner() {
			w.step(o, &scheduler.AttemptEnded{Attempt: id, Result: result})
			return
		}
		// The ends of attempts of earlier owners reach the present one, or not.
		w.step(o, &scheduler.AttemptEnded{Attempt: id, Result: result})
		if w.chance(70, "forwarded") {
			forwarded := core.AttemptResult{Status: result.Status}
			w.step(w.owner(), &scheduler.AttemptEnded{Attempt: id, Result: forwarded})
		}
	})
}

// finish ends one running task.
func (w *world) finish() {
	var ids []core.AttemptID
	at := map[core.AttemptID]*worldExecutor{}
	for _, address := range slices.Sorted(maps.Keys(w.executors)) {
		for id := range w.executors[address].running {
			ids = append(ids, id)
			at[id] = w.executors[address]
		}
	}
	if len(ids) == 0 {
		return
	}
	slices.SortFunc(ids, func(a, b core.AttemptID) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Seq, b.Seq))
	})
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(w.t, "finished")]
	run := at[id].running[id]
	delete(at[id].running, id)
	status := core.AttemptAnswered
	if w.chance(5, "answer cut") {
		status = core.AttemptLost
	}
	w.ended(run.owner, id, core.AttemptResult{Status: status, Answer: &core.Answer{Status: 200}})
}

func (w *world) stop(s scheduler.Stop) {
	e := w.executors[s.Address]
	if run, ok := e.running[s.Attempt]; ok {
		delete(e.running, s.Attempt)
		w.ended(run.owner, s.Attempt, core.AttemptResult{Status: core.AttemptStopped})
	}
}

func (w *world) poll(o *worldOwner, p scheduler.Poll) {
	e := w.executors[p.Address]
	if w.chance(15, "poll lost") {
		w.step(o, &scheduler.UsageFailed{Executor: p.Executor})
		return
	}
	for _, renewal := range p.Renew {
		if run, ok := e.running[renewal.Attempt]; ok {
			run.task.LeaseUntil = renewal.LeaseUntil
		}
	}
	u := core.Usage{Executor: e.vm.Name, Instance: "1", Slots: e.vm.Executor.Slots}
	for id, run := range e.running {
		u.Running = append(u.Running, core.RunningTask{
			Attempt: id, RequestID: run.task.RequestID, Team: run.task.Team, LeaseUntil: run.task.LeaseUntil,
		})
	}
	askedAt := w.now
	w.messages = append(w.messages, func() {
		w.step(o, &scheduler.UsageReported{Executor: p.Executor, AskedAt: askedAt, Usage: u})
	})
}

func (w *world) exchange(o *worldOwner, x scheduler.Exchange, home uint64) {
	w.trace("owner %d reports %+v to home %d", o.epoch, x, home)
	answer, ok := w.homes[x.Team].Report(w.now, limit.Report{
		Team: x.Team, HomeEpoch: home, Pool: worldPool, PoolEpoch: o.epoch, Seq: x.Seq, Held: x.Held, Want: x.Want,
	})
	for _, n := range w.homes[x.Team].TakeNotes() {
		require.False(w.t, n.Number.IsViolation(), n.String())
	}
	if !ok {
		return
	}
	w.later(10, func() {
		w.trace("owner %d gets %+v", o.epoch, answer)
		w.step(o, &scheduler.LimitGranted{
			Team: answer.Team, HomeEpoch: answer.HomeEpoch, Seq: answer.Seq,
			Granted: answer.Granted, Target: answer.Target, Unknown: answer.Unknown,
		})
	})
}

// advance lets time pass; executors stop the tasks whose lease has run out.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.executors {
		for id, run := range e.running {
			if w.now.After(run.task.LeaseUntil) {
				delete(e.running, id)
				w.ended(run.owner, id, core.AttemptResult{Status: core.AttemptStopped})
			}
		}
	}
	if w.owner().until.Sub(w.now) < 3*time.Second {
		w.owner().until = w.now.Add(5 * time.Second)
	}
	for _, o := range w.owners {
		w.step(o, &scheduler.Tick{OwnedUntil: o.until})
	}
}

// submit hands in a new request or repeats an earlier one.
func (w *world) submit() {
	r := w.newRequest()
	if len(w.requests) > 0 && w.chance(25, "repeat") {
		r = w.requests[rapid.IntRange(0, len(w.requests)-1).Draw(w.t, "repeated")]
	} else {
		w.requests = append(w.requests, r)
	}
	r.copies++
	w.waiter++
	waiter, sentAt := w.waiter, w.now
	w.byWaiter[waiter] = r
	// The copy may be under way for any time and reach any owner.
	o := w.owners[rapid.IntRange(max(0, len(w.owners)-2), len(w.owners)-1).Draw(w.t, "to owner")]
	w.messages = append(w.messages, func() {
		w.trace("submit %s to owner %d, idempotent %t, sent %s", r.req.ID, o.epoch, r.req.Idempotent, sentAt.Format("05.000"))
		w.step(o, &scheduler.Submit{Request: r.req, Waiter: waiter, SentAt: sentAt})
	})
}

func (w *world) newRequest() *worldRequest {
	team := rapid.SampledFrom([]string{"large", "small", ""}).Draw(w.t, "team")
	req := &core.Request{
		ID: fmt.Sprintf("r%d", len(w.requests)), IssuedAt: w.now, Queue: "q", Team: team, KeyHash: config.DigestKey(team),
		Idempotent: w.chance(50, "idempotent"), Deadline: w.now.Add(6 * time.Second), Payload: &core.Payload{},
	}
	if team == "" {
		req.Queue, req.KeyHash = "open", ""
	}
	if w.chance(20, "urgent") {
		req.Priority = core.Urgent
	}
	return &worldRequest{req: req}
}
