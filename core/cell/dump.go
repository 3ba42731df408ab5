package cell

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
	"jacinthwind/core/lending"
)

// Dump is the kernel's state for people; it holds no key and nothing of a
// caller's spec.
type Dump struct {
	Token int64 `json:"token"`
	// ProvedMs is for how long the ownership is proved, in milliseconds.
	ProvedMs      int64                   `json:"proved_ms"`
	Recovering    bool                    `json:"recovering"`
	Configuration int64                   `json:"configuration"`
	Unstored      int                     `json:"unstored"`
	Pools         []PoolDump              `json:"pools"`
	Executors     []ExecutorDump          `json:"executors"`
	Jobs          []JobDump               `json:"jobs"`
	Usage         map[string]fleet.Vector `json:"usage"`
	Waves         []WaveDump              `json:"waves"`
	VMs           []VMDump                `json:"vms"`
	// VMsAgeMs is the age of the list of VMs in milliseconds.
	VMsAgeMs  int64    `json:"vms_age_ms"`
	Evacuated []string `json:"evacuated"`
}

// PoolDump is a pool with what it is asked for, in cores.
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
	Room       fleet.Vector `json:"room"`
	Used       fleet.Vector `json:"used"`
	Runs       []RunDump    `json:"runs"`
	Usable     bool         `json:"usable"`
	Draining   bool         `json:"draining"`
	Misses     int          `json:"misses"`
	Failures   int          `json:"failures"`
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

// WaveDump is a wave with its way so far.
type WaveDump struct {
	Number int    `json:"number"`
	Status string `json:"status"`
	VMs    int    `json:"vms"`
	Done   int    `json:"done"`
	AgeMs  int64  `json:"age_ms"`
}

// VMDump is a VM with the order that is under way for it.
type VMDump struct {
	Name  string        `json:"name"`
	Pool  string        `json:"pool"`
	State fleet.VMState `json:"state"`
	Order string        `json:"order,omitempty"`
}

// Dump returns the state at a time.
func (k *Kernel) Dump(now Now) Dump {
	d := Dump{
		Token: k.Token, ProvedMs: (k.until - now.Mono).Milliseconds(), Recovering: k.recovering,
		Configuration: k.config.Version, Unstored: len(k.out.dirty) + len(k.out.sent.jobs),
		Usage: maps.Clone(k.usage), VMsAgeMs: (now.Mono - k.vmsAt).Milliseconds(),
		Evacuated: slices.Sorted(maps.Keys(k.evacuated)),
	}
	for _, name := range slices.Sorted(maps.Keys(k.pools)) {
		p := k.pools[name]
		need := lending.Pool{Name: name}
		k.describeNeed(&need)
		d.Pools = append(d.Pools, PoolDump{name, p.demand.Rate(now.Mono), need.Cores, len(p.ready), len(p.jobs)})
	}
	for _, x := range k.sorted() {
		d.Executors = append(d.Executors, k.dumpExecutor(x))
	}
	for _, id := range slices.Sorted(maps.Keys(k.jobs)) {
		if j := k.jobs[id]; !j.state.Ended() {
			d.Jobs = append(d.Jobs, j.dump(now.Mono))
		}
	}
	for _, n := range slices.Sorted(maps.Keys(k.waves)) {
		w := k.waves[n]
		d.Waves = append(d.Waves, WaveDump{n, w.status, len(w.VMs), len(w.done), (now.Mono - w.asked).Milliseconds()})
	}
	for _, name := range slices.Sorted(maps.Keys(k.vms)) {
		d.VMs = append(d.VMs, VMDump{name, k.vms[name].Pool, k.vms[name].State, k.ordered[name].describe()})
	}
	return d
}

// describe names what was ordered, nothing for no order.
func (o vmOrder) describe() string {
	switch {
	case o.sent == 0:
		return ""
	case o.pool != "":
		return "move to " + o.pool
	}
	return "maintenance"
}

func (k *Kernel) dumpExecutor(x *executor) ExecutorDump {
	d := ExecutorDump{
		ID: x.ID, Pool: x.Pool, DataCentre: x.DataCentre, VM: x.vm, Room: x.Room, Used: x.used,
		Usable: k.usable(x), Draining: x.Draining, Misses: x.misses, Failures: x.failures,
	}
	states := map[runState]string{runStarting: "starting", runUnknown: "unknown", runActive: "active", runStopping: "stopping"}
	for _, r := range sortedRuns(x) {
		d.Runs = append(d.Runs, RunDump{r.name, r.number, states[r.state], r.percent})
	}
	return d
}

func (j *jobState) dump(now time.Duration) JobDump {
	d := JobDump{
		ID: j.ID, Queue: j.Queue, Team: j.Team, State: j.state,
		AgeMs: (now - j.arrived).Milliseconds(), DueMs: (j.due - now).Milliseconds(),
	}
	for _, s := range j.steps {
		d.Waiting += s.waiting
		d.Done += s.done
		d.Placed += s.Count - s.waiting - s.done
	}
	return d
}
