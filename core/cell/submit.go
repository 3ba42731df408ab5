package cell

import (
	"math"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// Backlog and retry constants.
const (
	// minRetryAfter and maxRetryAfter bound when refused callers return; four
	// retries fit the usual deadline for handing a job in.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// minStoreRetry is when a caller may come back that the silent store turned away.
	minStoreRetry = time.Second
	defaultSlack  = 600 * time.Millisecond
	// lateFactor times the objective is until when an answer is of use.
	lateFactor = 3
)

// submit takes a job, refuses it, or joins the one that has its id.
func (k *Kernel) submit(e Submitted) {
	if j := k.jobs[e.Job.ID]; j != nil {
		if j.stored {
			k.emit(Reply{e.Call, Answer{Verdict: Accepted}})
			return
		}
		j.calls = append(j.calls, e.Call)
		return
	}
	queue := k.config.Queue(e.Job.Queue)
	if queue == nil {
		k.emit(Reply{e.Call, Answer{Verdict: Absent, Reason: "no such queue"}})
		return
	}
	e.Job.Pool = queue.Pool
	e.Job.AcceptedMs = k.now.UnixMs
	first, again := k.refusals[e.Job.ID]
	if !again {
		first = k.now.Mono
		k.pool(queue.Pool).demand.Add(first, float64(e.Job.Work())/coreSecond)
	}
	// The objective counts from the caller's first try.
	e.Job.AcceptedMs -= (k.now.Mono - first).Milliseconds()
	a := k.admit(e.Job, queue, first)
	if k.storeSilent() && a.Verdict != Unservable {
		a = Answer{Verdict: Refused, RetryAfter: minStoreRetry, Reason: "the store does not answer"}
	}
	if a.Verdict != Accepted {
		k.refusals[e.Job.ID] = first
		k.log(event.JobRefused, "job", e.Job.ID, "queue", queue.Name, "team", e.Job.Team, "reason", a.Reason,
			"retry_after_ms", a.RetryAfter.Milliseconds(), "expected_wait_ms", a.Wait.Milliseconds(),
			"chain_ms", e.Job.Chain().Milliseconds(), "asked_first_ms", (k.now.Mono - first).Milliseconds())
		k.emit(Reply{e.Call, a})
		return
	}
	delete(k.refusals, e.Job.ID)
	j := k.addJob(e.Job, job.Progress{State: job.Pending})
	j.calls = append(j.calls, e.Call)
	k.touch(j)
}

// admit decides whether a job that was first handed in at a time can be done
// within its latency objective.
func (k *Kernel) admit(j *job.Job, queue *fleet.Queue, first time.Duration) Answer {
	c := k.capacity(queue.Pool, "")
	for i := range j.Steps {
		if r := j.Steps[i].Reserved(); !r.FitsIn(c.largest) && c.largest != (fleet.Vector{}) {
			return Answer{Verdict: Unservable, Reason: "a task is larger than every executor"}
		}
	}
	if j.Lasting() || j.Times > 0 {
		return Answer{Verdict: Accepted}
	}
	chain := j.Chain()
	due := first + objectiveOf(queue, chain)
	wait, ok := k.expectedWait(j, queue, due, c)
	if !ok {
		return Answer{Verdict: Refused, RetryAfter: maxRetryAfter, Reason: "no executor to serve the queue"}
	}
	late := k.now.Mono + wait + chain - due
	if late <= 0 {
		return Answer{Verdict: Accepted}
	}
	if k.now.Mono+chain <= first+lateFactor*(due-first) {
		// A late job goes behind all others. While nothing waits for the executors
		// that are free, late is better than never.
		if all, _ := k.expectedWait(j, queue, math.MaxInt64, c); all == 0 {
			return Answer{Verdict: Accepted}
		}
	}
	return Answer{
		Verdict: Refused, RetryAfter: min(max(late, minRetryAfter), maxRetryAfter), Wait: wait,
		Reason: "the backlog exceeds the latency objective",
	}
}

// expectedWait returns how long a job would wait for executors behind the work that
// is due before it, and whether there are any; whole is what its whole pool can give.
func (k *Kernel) expectedWait(j *job.Job, queue *fleet.Queue, due time.Duration, whole capacity) (time.Duration, bool) {
	var wait time.Duration
	for _, label := range labelsOf(j) {
		c := whole
		if label != "" {
			c = k.capacity(queue.Pool, label)
		}
		if c.now+c.later <= 0 {
			return 0, false
		}
		wait = max(wait, c.wait(k.ahead(queue, due, label), k.Move+lendAhead))
	}
	return wait, true
}

// labelsOf returns the labels that a job's steps require, and none for the rest.
func labelsOf(j *job.Job) []string {
	labels := []string{""}
	for i := range j.Steps {
		if l := j.Steps[i].Label; !slices.Contains(labels, l) {
			labels = append(labels, l)
		}
	}
	return labels
}

// ahead returns the work in core-seconds that goes before a job that is due at a
// time: all of its pool, or what requires a label.
func (k *Kernel) ahead(queue *fleet.Queue, due time.Duration, label string) float64 {
	var left int64
	for _, j := range k.pool(queue.Pool).jobs {
		if j.queue == nil || j.queue.Priority < queue.Priority || (j.queue.Priority == queue.Priority && j.due <= due) {
			left += j.leftWith(label)
		}
	}
	// Of scheduled jobs only the occurrences that are due compete.
	for _, s := range k.pool(queue.Pool).ready {
		if s.job.Times > 0 && k.isDue(s, 0) && s.due <= due && (label == "" || s.Label == label) {
			left += int64(s.waiting) * s.Size.CPU * s.EstimateMs
		}
	}
	return float64(left) / coreSecond
}

// isDue reports whether a step may start within a time.
func (k *Kernel) isDue(s *stepRun, within time.Duration) bool {
	return s.notBefore <= k.now.UnixMs+within.Milliseconds()
}

// coreSecond is a core-second in thousandths of a core times ms.
const coreSecond = 1e6

// capacity is what a pool can give to work that ends, in cores.
type capacity struct {
	largest fleet.Vector
	// now is what its executors give, and later what is on its way or can be
	// lent beside.
	now, later float64
}

// fillable is the part of the processors that tasks of mixed sizes can fill.
const fillable = 0.9

// wait returns how long work takes that goes before, when VMs that are lent
// serve after lead.
func (c *capacity) wait(work float64, lead time.Duration) time.Duration {
	work -= c.now * overlap
	if work <= 0 {
		return 0
	}
	if soon := c.now * fillable * lead.Seconds(); work > soon {
		return lead + time.Duration((work-soon)/((c.now+c.later)*fillable)*float64(time.Second))
	}
	return time.Duration(work / (c.now * fillable) * float64(time.Second))
}

// overlap is the work in core-seconds for each core that is under way and does
// not keep a new task waiting: half of a usual run.
const overlap = 0.3

// leftWith returns the work that is left: all, or what requires a label.
func (j *jobState) leftWith(label string) int64 {
	if label == "" {
		return j.left
	}
	var left int64
	for _, s := range j.steps {
		if s.Label == label && !s.Service && !s.Fills {
			left += int64(s.Count-s.done) * s.Size.CPU * s.EstimateMs
		}
	}
	return left
}

// capacity returns what a pool can give, by executors with a label where one is
// named.
func (k *Kernel) capacity(pool, label string) capacity {
	var c capacity
	for _, x := range k.executors {
		c.largest = fleet.Vector{CPU: max(c.largest.CPU, x.Room.CPU), Mem: max(c.largest.Mem, x.Room.Mem), GPU: max(c.largest.GPU, x.Room.GPU)}
		if x.Pool != pool || !k.usable(x) || (label != "" && !x.HasLabel(label)) {
			continue
		}
		cores := x.Room.CPU
		for _, r := range x.runs {
			if r.step.Service {
				cores -= r.reserved.CPU
			}
		}
		c.now += float64(cores) / 1000
	}
	for name, o := range k.ordered {
		if vm := k.vms[name]; o.pool == pool && (label == "" || slices.Contains(vm.Labels, label)) {
			c.later += coresOf(vm)
		}
	}
	for _, vm := range k.lendable {
		if label == "" || slices.Contains(vm.Labels, label) {
			c.later += vm.Cores
		}
	}
	return c
}

func objectiveOf(queue *fleet.Queue, chain time.Duration) time.Duration {
	if queue == nil {
		return chain + defaultSlack
	}
	return time.Duration(queue.Stretch*float64(chain)) + queue.Objective
}

// addJob makes the state of a job that is new or was stored.
func (k *Kernel) addJob(spec *job.Job, p job.Progress) *jobState {
	queue := k.config.Queue(spec.Queue)
	age := time.Duration(max(k.now.UnixMs-spec.AcceptedMs, 0)) * time.Millisecond
	j := &jobState{Job: spec, state: p.State, visible: p.State, queue: queue, endedMs: p.EndedMs}
	j.arrived = k.now.Mono - age
	objective := objectiveOf(queue, spec.Chain())
	j.due = j.arrived + objective
	k.jobs[spec.ID] = j
	if p.State.Ended() {
		j.stored, j.started = true, true
		return j
	}
	tails := tails(spec)
	for occ := range spec.Occurrences() {
		first := len(j.steps)
		for i := range spec.Steps {
			s := &stepRun{job: j, k: occ, index: i, Step: &spec.Steps[i], tail: tails[i], due: j.due}
			s.tasks = make([]task, s.Count)
			s.waiting = s.Count
			if spec.Times > 0 {
				s.notBefore = spec.StartMs + int64(occ)*spec.IntervalMs
				s.due = k.now.Mono + time.Duration(s.notBefore-k.now.UnixMs)*time.Millisecond + objective
			}
			j.steps = append(j.steps, s)
		}
		for _, s := range j.steps[first:] {
			s.waitsFor = len(s.After)
		}
	}
	j.open = len(j.steps)
	if spec.Times == 0 {
		k.depth[spec.Queue]++
	}
	j.left = spec.Work()
	if j.left > 0 && spec.Times == 0 {
		k.pool(spec.Pool).jobs[spec.ID] = j
	}
	return j
}

// tails returns for each step the longest estimated way to the job's end.
func tails(j *job.Job) []time.Duration {
	t := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		t[i] += j.Steps[i].Estimate()
		for _, a := range j.Steps[i].After {
			t[a] = max(t[a], t[i])
		}
	}
	return t
}

// begin lets the first steps of a stored job wait for executors.
func (k *Kernel) begin(j *jobState) {
	if j.state.Ended() {
		return
	}
	for _, s := range j.steps {
		if s.waitsFor == 0 && !s.active {
			k.activate(s)
		}
	}
}

// activate puts a step whose turn has come among those that wait.
func (k *Kernel) activate(s *stepRun) {
	s.active = true
	s.readyAt = k.now.Mono
	p := k.pool(s.job.Pool)
	p.ready = append(p.ready, s)
}

// cancel ends a job at its caller's wish.
func (k *Kernel) cancel(e CancelAsked) {
	j := k.jobs[e.Job]
	if j == nil {
		k.emit(Reply{e.Call, Answer{Verdict: Absent}})
		return
	}
	if j.state.Ended() {
		if j.dirty || j.visible != j.state {
			j.cancels = append(j.cancels, e.Call)
			return
		}
		k.emit(Reply{e.Call, Answer{Verdict: Ended}})
		return
	}
	j.cancels = append(j.cancels, e.Call)
	k.log(event.JobCancelled, "job", j.ID)
	k.endJob(j, job.Cancelled)
}

// endJob makes a state final and stops what still runs.
func (k *Kernel) endJob(j *jobState, state job.State) {
	k.markStarted(j)
	delete(k.pool(j.Pool).jobs, j.ID)
	for _, s := range j.steps {
		for i := range s.tasks {
			if r := s.tasks[i].current; r != nil {
				k.stopRun(r)
			}
		}
	}
	j.state = state
	j.endedMs = k.now.UnixMs
	k.touch(j)
}

// markStarted takes the job out of its queue's depth.
func (k *Kernel) markStarted(j *jobState) {
	if j.started {
		return
	}
	j.started = true
	if j.Times == 0 {
		k.depth[j.Queue]--
	}
	if !j.state.Ended() {
		j.state = job.Running
		j.visible = job.Running
	}
}

// StateOf returns a job's state as its caller may see it.
func (k *Kernel) StateOf(id string) (job.State, bool) {
	j := k.jobs[id]
	if j == nil || !j.stored {
		return "", false
	}
	return j.visible, true
}

// Depth returns how many accepted jobs of a queue have not begun.
func (k *Kernel) Depth(queue string) int { return max(k.depth[queue], 0) }

// Proved reports whether the ownership is proved at a time, so that a job that
// is not known does not exist.
func (k *Kernel) Proved(now time.Duration) bool { return now < k.until }
