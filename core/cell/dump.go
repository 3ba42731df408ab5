package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"jacinthwind/core/estimate"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
	"jacinthwind/core/lending"
)

// Dump is the kernel's state for diagnosis. It contains no keys and no job specs.
type Dump struct {
	Token int64 `json:"token"`
	// LeaseProvedMs is for how long the lease still proves the ownership, in
	// milliseconds.
	LeaseProvedMs int64 `json:"proved_ms"`
	Recovering    bool  `json:"recovering"`
	Configuration int64 `json:"configuration"`
	Unstored      int   `json:"unstored"`
	// JobBytes estimates the memory that all jobs take.
	JobBytes  int64                   `json:"job_bytes"`
	Pools     []PoolDump              `json:"pools"`
	Executors []ExecutorDump          `json:"executors"`
	Jobs      []JobDump               `json:"jobs"`
	Usage     map[string]fleet.Vector `json:"usage"`
	Waves     []WaveDump              `json:"waves"`
	// Estimates is what was learnt of the run times of each queue.
	Estimates []estimate.Summary `json:"estimates"`
	VMs       []VMDump           `json:"vms"`
	// VMsAgeMs is the age of the list of VMs in milliseconds.
	VMsAgeMs  int64    `json:"vms_age_ms"`
	Evacuated []string `json:"evacuated"`
}

// PoolDump is a pool with its demand in cores.
type PoolDump struct {
	Name         string  `json:"name"`
	Rate         float64 `json:"rate"`
	Needed       float64 `json:"needed"`
	WaitingSteps int     `json:"waiting_steps"`
	OpenJobs     int     `json:"open_jobs"`
}

// ExecutorDump is an executor with its runs.
type ExecutorDump struct {
	ID         string       `json:"id"`
	Pool       string       `json:"pool"`
	DataCentre string       `json:"data_centre"`
	VM         string       `json:"vm"`
	Capacity   fleet.Vector `json:"room"`
	Used       fleet.Vector `json:"used"`
	Runs       []RunDump    `json:"runs"`
	Usable     bool         `json:"usable"`
	// Described is true if the entry of the incarnation that answers has been read.
	Described bool `json:"described"`
	Draining  bool `json:"draining"`
	Misses    int  `json:"misses"`
	Failures  int  `json:"failures"`
	// SetAsideFor names the step for which a place is set aside, empty if there is none, and
	// FreeInMs is when it is expected to be free.
	SetAsideFor string `json:"set_aside_for,omitempty"`
	FreeInMs    int64  `json:"free_in_ms,omitempty"`
}

// RunDump is a run on an executor.
type RunDump struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	State   string `json:"state"`
	Percent int    `json:"percent"`
}

// JobDump is a job that has not ended.
type JobDump struct {
	ID      string    `json:"id"`
	Queue   string    `json:"queue"`
	Team    string    `json:"team"`
	State   job.State `json:"state"`
	AgeMs   int64     `json:"age_ms"`
	DueMs   int64     `json:"due_ms"`
	Waiting int       `json:"waiting"`
	Placed  int       `json:"placed"`
	Done    int       `json:"done"`
}

// WaveDump is a wave with its progress.
type WaveDump struct {
	Number int    `json:"number"`
	Status string `json:"status"`
	VMs    int    `json:"vms"`
	Done   int    `json:"done"`
	AgeMs  int64  `json:"age_ms"`
}

// VMDump is a VM with the order in progress for it.
type VMDump struct {
	Name  string        `json:"name"`
	Pool  string        `json:"pool"`
	State fleet.VMState `json:"state"`
	Order string        `json:"order,omitempty"`
}

// Dump returns the kernel's state at the given time.
func (k *Kernel) Dump(now Now) Dump {
	d := Dump{
		Token: k.Token, LeaseProvedMs: (k.leaseUntil - now.Monotonic).Milliseconds(), Recovering: k.recovering,
		Configuration: k.config.Version, Unstored: len(k.outbox.dirty) + len(k.outbox.busyJobs), JobBytes: k.heldBytes,
		Usage: maps.Clone(k.teamUsage), VMsAgeMs: (now.Monotonic - k.vmsListedAt).Milliseconds(),
		Evacuated: slices.Sorted(maps.Keys(k.evacuated)), Estimates: k.estimates.Summaries(),
	}
	for _, name := range slices.Sorted(maps.Keys(k.pools)) {
		p := k.pools[name]
		need := lending.Pool{Name: name}
		k.estimateNeed(&need)
		d.Pools = append(d.Pools, PoolDump{name, p.demand.Rate(now.Monotonic), need.NeededCores, len(p.readySteps), len(p.openJobs)})
	}
	for _, x := range k.sortedExecutors() {
		d.Executors = append(d.Executors, k.dumpExecutor(x))
	}
	for _, id := range slices.Sorted(maps.Keys(k.jobs)) {
		if j := k.jobs[id]; !j.state.IsFinal() {
			d.Jobs = append(d.Jobs, j.dump(now.Monotonic))
		}
	}
	for _, n := range slices.Sorted(maps.Keys(k.waves)) {
		w := k.waves[n]
		d.Waves = append(d.Waves, WaveDump{n, w.reportedStatus, len(w.VMs), len(w.doneVMs), (now.Monotonic - w.requestedAt).Milliseconds()})
	}
	for _, name := range slices.Sorted(maps.Keys(k.vms)) {
		d.VMs = append(d.VMs, VMDump{name, k.vms[name].Pool, k.vms[name].State, k.vmOrders[name].describe()})
	}
	return d
}

// describe returns what was ordered, or the empty string if there is no order.
func (o vmOrder) describe() string {
	switch {
	case o.sentAt == 0:
		return ""
	case o.pool != "":
		return "move to " + o.pool
	}
	return "maintenance"
}

// dumpExecutor returns the state of an executor and its runs.
func (k *Kernel) dumpExecutor(x *executor) ExecutorDump {
	d := ExecutorDump{
		ID: x.ID, Pool: x.Pool, DataCentre: x.DataCentre, VM: x.vmName, Capacity: x.Capacity, Used: x.used,
		Usable: k.isUsable(x), Described: x.isDescribed(), Draining: x.Draining, Misses: x.misses, Failures: x.failureStreak,
	}
	if p := x.place; p != nil {
		d.SetAsideFor = fmt.Sprintf("%s.%d.%d", p.step.job.ID, p.step.occurrence, p.step.index)
		d.FreeInMs = (p.At - k.now.Monotonic).Milliseconds()
	}
	states := map[runState]string{runStarting: "starting", runUnknown: "unknown", runActive: "active", runStopping: "stopping"}
	for _, r := range sortedRuns(x) {
		d.Runs = append(d.Runs, RunDump{r.name, r.number, states[r.state], r.percent})
	}
	return d
}

// dump returns the state of a job and the number of its tasks in each state.
func (j *jobState) dump(now time.Duration) JobDump {
	d := JobDump{
		ID: j.ID, Queue: j.Queue, Team: j.Team, State: j.state,
		AgeMs: (now - j.arrivedAt).Milliseconds(), DueMs: (j.due - now).Milliseconds(),
	}
	for _, s := range j.steps {
		d.Waiting += s.waitingTasks
		d.Done += s.doneTasks
		d.Placed += s.Count - s.waitingTasks - s.doneTasks
	}
	return d
}
