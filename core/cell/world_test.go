package cell_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// Times of the worlds that tests play.
const (
	testHoldMax = 6 * time.Second
	testStop    = 900 * time.Millisecond
	testStep    = 10 * time.Millisecond
	testProof   = time.Second
	testTrust   = 1500 * time.Millisecond
)

// world plays a kernel against fake executors and a store, in virtual time, and
// checks what executors see.
type world struct {
	t   require.TestingT
	now time.Duration
	// kernel is the owner, and alive holds it with earlier ones that do not know
	// that they were deposed.
	kernel    *cell.Kernel
	alive     map[*cell.Kernel]bool
	owned     []*cell.Kernel
	token     int64
	owners    int
	executors map[string]*fakeExecutor
	specs     map[string]*job.Job
	stored    map[string]job.Progress
	accepted  map[string]bool
	verdicts  map[cell.CallID]cell.Answer
	calls     cell.CallID
	config    *fleet.Configuration
	vms       []fleet.VM
	// unproved says that the owner's lease is not renewed.
	unproved bool
	// bridged says that all nodes confirm that they have no store.
	bridged bool
	// storeDown holds writes back.
	storeDown bool
	held      []cell.Write
	// taskTime is how long a task runs, and outcome how it ends.
	taskTime func(task string, run int) (time.Duration, fleet.RunEnd)
	// orders decides what becomes of an order: it arrives after a delay, and its
	// answer arrives or not.
	orders func(kind, task string) (delay time.Duration, answered bool)
	// answers is how long the answer to an order is on its way.
	answers func(kind string) time.Duration
	later   []delayed
	// acknowledged holds the tasks whose done end was acknowledged.
	acknowledged map[string]bool
	starts       map[string]int
	// moved and maintained hold the executors whose VMs were ordered away.
	moved, maintained map[string]bool
	waveRecord        cell.WaveProgress
	orderRecord       cell.OrdersRecord
	// paces holds the last pace of each fill task, and tickets what the advice
	// service allows.
	paces   map[string]int
	tickets map[string]string
	// wellKept holds the VMs that had their maintenance.
	wellKept map[string]bool
	// maintains lets orders for maintenance succeed.
	maintains bool
	// lastOrder holds who ordered for a VM last, and when.
	lastOrder map[string]vmOrdered
}

// vmOrdered is an order for a VM.
type vmOrdered struct {
	token int64
	at    time.Duration
}

// testOrderLease is for how long another owner's order protects a VM.
const testOrderLease = time.Second

// maintain takes a VM down for two seconds; its executor comes back as another.
func (w *world) maintain(k *cell.Kernel, vm string) {
	if w.wellKept[vm] {
		// What is done is answered as done, and nothing happens.
		w.after(time.Millisecond, func() { w.tell(k, cell.VMOrdered{VM: vm, Outcome: fleet.VMOrderDone}) })
		return
	}
	w.wellKept[vm] = true
	id := strings.TrimPrefix(vm, "vm-")
	var x *fakeExecutor
	for i := range w.vms {
		if w.vms[i].Name == vm {
			x = w.executors[w.vms[i].Executor]
		}
	}
	w.crash(x)
	w.setVM(x.ID, fleet.VMUpkeep)
	w.list()
	w.after(time.Millisecond, func() { w.tell(k, cell.VMOrdered{VM: vm, Outcome: fleet.VMOrderDone}) })
	w.after(2*time.Second, func() {
		next := *x
		next.ID = id + "-new"
		next.down, next.bootedAt = false, w.now-time.Second
		next.runs, next.dead = map[string]*fakeRun{}, map[string]int{}
		delete(w.executors, x.ID)
		w.executors[next.ID] = &next
		w.setVM(x.ID, fleet.VMUp)
		for i := range w.vms {
			if w.vms[i].Name == vm {
				w.vms[i].Executor = next.ID
			}
		}
		w.list()
	})
}

// down counts the VMs that are down for maintenance.
func (w *world) down() int {
	n := 0
	for _, vm := range w.vms {
		if vm.State == fleet.VMUpkeep {
			n++
		}
	}
	return n
}

// checkVMOrder checks that owners do not take turns at a VM.
func (w *world) checkVMOrder(vm string, token int64) {
	last, ok := w.lastOrder[vm]
	if ok && last.token != token {
		require.Greater(w.t, w.now, last.at+testOrderLease, "owners take turns at %s", vm)
	}
	w.lastOrder[vm] = vmOrdered{token, w.now}
}

// delayed is something that happens later.
type delayed struct {
	at time.Duration
	do func()
}

func newWorld(t require.TestingT, executors int) *world {
	w := &world{
		t: t, now: time.Hour, alive: map[*cell.Kernel]bool{}, executors: map[string]*fakeExecutor{}, specs: map[string]*job.Job{},
		stored: map[string]job.Progress{}, accepted: map[string]bool{}, verdicts: map[cell.CallID]cell.Answer{},
		acknowledged: map[string]bool{}, starts: map[string]int{},
		paces: map[string]int{}, wellKept: map[string]bool{}, moved: map[string]bool{}, maintained: map[string]bool{}, lastOrder: map[string]vmOrdered{},
		taskTime: func(string, int) (time.Duration, fleet.RunEnd) { return 500 * time.Millisecond, fleet.EndDone },
		orders:   promptly,
		answers:  atOnce,
	}
	w.config = &fleet.Configuration{
		Version: 1,
		Queues:  []fleet.Queue{{Name: "proofs", Host: "h", Prefix: "/p/", Pool: "render", Attempts: 2, Stretch: 2, Objective: 2 * time.Second}},
		Pools:   []fleet.Pool{{Name: "render"}, {Name: "spare", Spare: true}},
		Teams:   []fleet.Team{{Name: "notaries", Keys: []string{"k"}, Weight: 1}},
	}
	w.config.Index()
	for i := range executors {
		w.addExecutor(fmt.Sprintf("e%d", i))
	}
	w.claim()
	return w
}

func (w *world) addExecutor(id string) {
	w.executors[id] = &fakeExecutor{
		Executor: fleet.Executor{ID: id, Born: 1, Pool: "render", Address: id, DataCentre: "dc1", Room: fleet.Vector{CPU: 8000, Mem: 8000}, Labels: []string{"a", "r1-1"}},
		runs:     map[string]*fakeRun{}, dead: map[string]int{},
	}
	w.vms = append(w.vms, fleet.VM{Name: "vm-" + id, Pool: "render", State: fleet.VMUp, DataCentre: "dc1", Room: fleet.Vector{CPU: 8000, Mem: 8000}, Executor: id})
}

// claim starts a new owner from what is stored; an earlier one is gone, but for
// its orders that are still on their way.
func (w *world) claim() {
	clear(w.alive)
	w.takeOver()
}

// takeOver starts a new owner beside those that are alive.
func (w *world) takeOver() {
	w.token += 10
	w.held = nil
	w.kernel = cell.New(cell.Settings{HoldMax: testHoldMax, StopMax: testStop, OrderLease: testOrderLease, KeepEnded: time.Minute, Upkeep: 2 * time.Second, Move: 1500 * time.Millisecond, Far: 3},
		w.clock(), w.token, w.owners*100_000)
	w.owners++
	w.alive[w.kernel] = true
	w.owned = append(w.owned, w.kernel)
	w.kernel.Step(w.clock(), cell.Configured{Configuration: w.config})
	for _, id := range slices.Sorted(maps.Keys(w.specs)) {
		spec := *w.specs[id]
		w.kernel.Load(&spec, w.stored[id])
	}
	w.kernel.LoadOrders(w.orderRecord)
	if len(w.waveRecord.Done) > 0 {
		w.kernel.LoadWave(1, w.waveRecord)
	}
	w.list()
	w.step(cell.VMsListed{VMs: w.vms, Asked: w.now})
}

// storeUp carries out the write that was held back.
func (w *world) storeUp() {
	w.storeDown = false
	held := w.held
	w.held = nil
	for _, e := range held {
		w.write(w.kernel, e)
	}
}

// crash ends an executor with all that it knows; it is listed again once it is
// back.
func (w *world) crash(x *fakeExecutor) {
	x.down = true
	clear(x.runs)
	clear(x.dead)
	x.ended, x.number, x.ack, x.void, x.token, x.deadline = nil, 0, 0, 0, 0, 0
	w.setVM(x.ID, fleet.VMDown)
}

// restart brings a crashed executor back under its id.
func (w *world) restart(x *fakeExecutor) {
	x.down = false
	x.Born, x.bootedAt = w.now.Milliseconds(), w.now-time.Second
	w.setVM(x.ID, fleet.VMUp)
	w.list()
}

func (w *world) clockOf(x *fakeExecutor) int64 { return (w.now - x.bootedAt).Milliseconds() }

func (w *world) setVM(executor string, state fleet.VMState) {
	w.vms = slices.Clone(w.vms)
	for i := range w.vms {
		if w.vms[i].Executor == executor {
			w.vms[i].State = state
		}
	}
}

func (w *world) list() {
	var listed []fleet.Executor
	for _, id := range slices.Sorted(maps.Keys(w.executors)) {
		if x := w.executors[id]; !x.down {
			listed = append(listed, x.Executor)
		}
	}
	w.step(cell.Listed{Executors: listed})
}

func (w *world) clock() cell.Now {
	return cell.Now{Mono: w.now, UnixMs: w.now.Milliseconds()}
}

// play lets time pass.
func (w *world) play(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += testStep
		w.deliver()
		for _, id := range slices.Sorted(maps.Keys(w.executors)) {
			w.endRuns(w.executors[id])
		}
		if !w.unproved {
			w.step(cell.LeaseExtended{Until: w.now + testProof})
		}
		if w.bridged {
			w.step(cell.OutageConfirmed{Until: w.now + testTrust})
		}
		for _, k := range w.owned {
			if w.alive[k] {
				w.stepOf(k, cell.Tick{})
			}
		}
	}
}

func (w *world) deliver() {
	for {
		i := slices.IndexFunc(w.later, func(d delayed) bool { return d.at <= w.now })
		if i < 0 {
			return
		}
		do := w.later[i].do
		w.later = slices.Delete(w.later, i, i+1)
		do()
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.later = append(w.later, delayed{w.now + d, do})
}

// endRuns ends what is due on an executor.
func (w *world) endRuns(x *fakeExecutor) {
	clock := w.clockOf(x)
	if clock > x.deadline {
		// Ends from before a lapse may be acknowledged without any effect.
		x.void = x.number
	}
	for _, task := range slices.Sorted(maps.Keys(x.runs)) {
		r := x.runs[task]
		switch {
		case clock > x.deadline:
			x.end(r, fleet.EndLapsed)
		case r.ends <= w.now && !r.service:
			x.end(r, r.how)
		}
	}
}

func (w *world) step(e cell.Event) {
	w.stepOf(w.kernel, e)
}

func (w *world) stepOf(k *cell.Kernel, e cell.Event) {
	for _, effect := range k.Step(w.clock(), e) {
		w.carryOut(k, effect)
	}
}

// tell gives an answer to the owner that asked, unless it is gone.
func (w *world) tell(k *cell.Kernel, e cell.Event) {
	if w.alive[k] {
		w.stepOf(k, e)
	}
}

func (w *world) carryOut(k *cell.Kernel, effect cell.Effect) {
	switch e := effect.(type) {
	case cell.Log:
		if os.Getenv("TRACE") != "" {
			fmt.Println(w.now-time.Hour, e.Event, e.Fields)
		}
	case cell.Depose:
		if os.Getenv("TRACE") != "" {
			fmt.Println(w.now-time.Hour, "DEPOSE", k == w.kernel, e.Reason)
		}
		delete(w.alive, k)
	case cell.Reply:
		w.verdicts[e.Call] = e.Answer
	case cell.Write:
		w.after(5*time.Millisecond, func() { w.write(k, e) })
	case cell.Start:
		delay, answered := w.orders("start", e.Order.Task)
		if w.executors[e.Order.Executor] == nil {
			return
		}
		born, sent := w.executors[e.Order.Executor].Born, w.now
		w.after(delay, func() {
			// An order that is carried out late ends with the incarnation that has it.
			a := fleet.OrderAnswer{Outcome: fleet.OrderUnknown}
			if x := w.executors[e.Order.Executor]; x != nil && x.Born == born && !x.darkFor[k] {
				a = w.start(e.Order)
			}
			if answered {
				w.after(w.answers("start"), func() {
					w.tell(k, cell.Started{Executor: e.Order.Executor, Task: e.Order.Task, Run: e.Order.Run, Sent: sent, Answer: a})
				})
			}
		})
		if !answered {
			w.after(500*time.Millisecond, func() {
				w.tell(k, cell.Started{Executor: e.Order.Executor, Task: e.Order.Task, Run: e.Order.Run, Answer: fleet.OrderAnswer{Outcome: fleet.OrderUnknown}})
			})
		}
	case cell.Stop:
		delay, answered := w.orders("stop", e.Order.Task)
		sent := w.now
		w.after(delay, func() {
			a := w.stop(e.Order)
			if answered {
				w.after(w.answers("stop"), func() {
					w.tell(k, cell.Stopped{Executor: e.Order.Executor, Task: e.Order.Task, Run: e.Order.Run, Sent: sent, Answer: a})
				})
			}
		})
		if !answered {
			w.after(500*time.Millisecond, func() {
				w.tell(k, cell.Stopped{Executor: e.Order.Executor, Task: e.Order.Task, Run: e.Order.Run, Answer: fleet.OrderAnswer{Outcome: fleet.OrderUnknown}})
			})
		}
	case cell.Pace:
		w.paces[e.Order.Task] = e.Order.Percent
	case cell.AskAdvice:
		sent := w.now
		w.after(20*time.Millisecond, func() {
			w.tell(k, cell.Advised{Step: e.Step, Asked: e.Executors, Sent: sent, Advice: fleet.Advice{Tickets: w.tickets, ValidMs: 3000}})
		})
	case cell.Renew:
		w.renew(k, e.Order)
	case cell.MoveVM:
		w.checkVMOrder(e.VM, e.Token)
		w.moved[strings.TrimPrefix(e.VM, "vm-")] = true
		w.after(time.Millisecond, func() { w.tell(k, cell.VMOrdered{VM: e.VM, Outcome: fleet.VMOrderRefused}) })
	case cell.MaintainVM:
		w.checkVMOrder(e.VM, e.Token)
		w.maintained[strings.TrimPrefix(e.VM, "vm-")] = true
		if w.maintains {
			w.maintain(k, e.VM)
			return
		}
		w.after(time.Millisecond, func() { w.tell(k, cell.VMOrdered{VM: e.VM, Outcome: fleet.VMOrderRefused}) })
	case cell.ListVMs:
		asked := w.now
		w.after(5*time.Millisecond, func() { w.tell(k, cell.VMsListed{VMs: w.vms, Asked: asked}) })
	}
}

// write stores a write, as the store does it for the present owner only.
func (w *world) write(k *cell.Kernel, e cell.Write) {
	if !w.alive[k] {
		return
	}
	if k != w.kernel {
		// The store refuses the write of a deposed owner.
		delete(w.alive, k)
		return
	}
	if w.storeDown {
		w.held = append(w.held, e)
		return
	}
	for _, r := range e.Puts {
		data, err := json.Marshal(r.Value)
		require.NoError(w.t, err)
		switch r.Kind {
		case cell.JobRecord:
			var j job.Job
			require.NoError(w.t, json.Unmarshal(data, &j))
			w.specs[r.Name] = &j
		case cell.WaveRecord:
			require.NoError(w.t, json.Unmarshal(data, &w.waveRecord))
		case cell.VMOrders:
			require.NoError(w.t, json.Unmarshal(data, &w.orderRecord))
		case cell.ProgressRecord:
			var p job.Progress
			require.NoError(w.t, json.Unmarshal(data, &p))
			w.stored[r.Name] = p
		}
	}
	w.step(cell.Written{Write: e.Number})
}

// submit hands a job in and returns its call.
func (w *world) submit(j *job.Job) cell.CallID {
	w.calls++
	if j.Queue == "" {
		j.Queue = "proofs"
	}
	w.step(cell.Submitted{Call: w.calls, Job: j})
	return w.calls
}

func (w *world) cancel(id string) cell.CallID {
	w.calls++
	w.step(cell.CancelAsked{Call: w.calls, Job: id})
	return w.calls
}

func (w *world) state(id string) job.State {
	s, _ := w.kernel.StateOf(id)
	return s
}

// simpleJob returns a job of one step.
func simpleJob(n, count int, cpu int64) *job.Job {
	return &job.Job{
		ID: fmt.Sprintf("%016x", n), Team: "notaries", Spec: "s",
		Steps: []job.Step{{Count: count, Size: fleet.Vector{CPU: cpu, Mem: 100}, EstimateMs: 500}},
	}
}
