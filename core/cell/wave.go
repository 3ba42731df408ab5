package cell

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

// Maintenance constants.
const (
	// listVMsEvery is the time between readings of the list while orders are
	// under way; the list is priced per call.
	listVMsEvery = 500 * time.Millisecond
	// listLag is how much later than an executor's entry its VM may be listed.
	listLag = 300 * time.Millisecond
	// vmOrderRetry is when an unanswered or refused order is sent again.
	vmOrderRetry = time.Second
	// cordonAhead is how many VMs beyond the cap are emptied in advance.
	cordonAhead = 2
	// heavyShare is one in how many of the VMs that are emptied holds many
	// service tasks.
	heavyShare = 4
	// stopSlack covers that the end of a stop has to be listed.
	stopSlack = 500 * time.Millisecond
	// forceShare is the share of a wave's time, in percent, after which work
	// that ends is cut short for it.
	forceShare = 60
)

// wave is a wave of maintenance with its way so far.
type wave struct {
	fleet.Wave
	asked time.Duration
	done  map[string]bool
	// members holds the names of VMs.
	members map[string]bool
	// status is what operators were told, empty before the first report.
	status string
}

// WaveProgress is what is stored of a wave's way.
type WaveProgress struct {
	Done []string `json:"done"`
}

// Status values that operators read.
const (
	waveRunning   = "running"
	waveSucceeded = "succeeded"
)

// askWaves takes the waves that operators ask for.
func (k *Kernel) askWaves(waves []fleet.Wave) {
	for _, w := range waves {
		if known := k.waves[w.Number]; known != nil {
			known.Wave = w
			known.index()
			continue
		}
		added := &wave{Wave: w, asked: k.now.Mono, done: map[string]bool{}}
		added.index()
		k.waves[w.Number] = added
		k.log(event.WaveAsked, "wave", w.Number, "vms", len(w.VMs), "cap", w.Cap, "within_s", w.Within)
	}
}

func (w *wave) index() {
	w.members = make(map[string]bool, len(w.VMs))
	for _, vm := range w.VMs {
		w.members[vm] = true
	}
}

// waveLate reports whether a wave has used up the time in which it waits for
// work to end.
func (k *Kernel) waveLate(w *wave) bool {
	return (k.now.Mono-w.asked).Seconds()*100 > w.Within*forceShare
}

// together returns how many VMs are to be down at once so that the wave is done
// in time: no more than that, since each is missing elsewhere.
func (k *Kernel) together(w *wave, open int) int {
	left := w.Within*forceShare/100 - (k.now.Mono - w.asked).Seconds()
	if left <= 0 {
		return w.Cap
	}
	each := (k.Upkeep + upkeepOverhead).Seconds()
	return min(w.Cap, int(math.Ceil(float64(open)*each/left))+1)
}

// upkeepOverhead is how much longer than its maintenance a VM is away: to be
// emptied, to be seen again.
const upkeepOverhead = 1500 * time.Millisecond

// LoadWave takes a wave's progress from the store before the first event.
func (k *Kernel) LoadWave(number int, p WaveProgress) {
	w := &wave{Wave: fleet.Wave{Number: number}, asked: k.now.Mono, done: map[string]bool{}}
	for _, vm := range p.Done {
		w.done[vm] = true
	}
	k.waves[number] = w
}

// maintain drives all waves.
func (k *Kernel) maintain() {
	busy := len(k.ordered) > 0 || k.doubtful()
	for _, n := range slices.Sorted(maps.Keys(k.waves)) {
		w := k.waves[n]
		if w.status == waveSucceeded || len(w.VMs) == 0 {
			continue
		}
		busy = true
		if k.vmsAt == 0 || k.recovering || k.now.Mono > k.until {
			continue
		}
		k.driveWave(w)
	}
	if (busy || k.vmsAt == 0) && k.now.Mono >= k.vmsAsked+listVMsEvery {
		k.vmsAsked = k.now.Mono
		k.emit(ListVMs{})
	}
}

// driveWave empties the next VMs of a wave and orders their maintenance.
func (k *Kernel) driveWave(w *wave) {
	k.reportWave(w, waveRunning)
	down, moving := 0, 0
	var open []string
	for _, name := range w.VMs {
		if o, ok := k.ordered[name]; ok && o.pool == "" {
			down++
			continue
		}
		vm, there := k.vms[name]
		switch {
		case vm.State == fleet.VMUpkeep:
			down++
		case w.done[name]:
		case !k.mayOrder(name):
			// An order of an earlier owner may be under way.
			down++
		case !there:
			k.finishVM(w, name)
		case k.ordered[name].pool != "":
			moving++
		default:
			open = append(open, name)
		}
	}
	if len(open) == 0 && down == 0 && moving == 0 {
		k.reportWave(w, waveSucceeded)
		k.log(event.WaveSucceeded, "wave", w.Number, "took_ms", (k.now.Mono - w.asked).Milliseconds())
		return
	}
	slices.SortStableFunc(open, func(a, b string) int { return k.burden(a) - k.burden(b) })
	late := k.waveLate(w)
	most := k.together(w, len(open)+down)
	for i, name := range open {
		x := k.executors[k.vms[name].Executor]
		if down < most && k.vms[name].State == fleet.VMUp && k.emptied(x, late) && k.mayOrderNow() {
			k.orderUpkeep(w, name)
			down++
			continue
		}
		if x == nil {
			continue
		}
		// The last in the order hold service tasks, whose budgets take time: some of
		// them are emptied from the beginning.
		heavy := i >= len(open)-1-most/heavyShare && x.services() > 0
		x.cordoned = x.cordoned || i < most+cordonAhead-down || heavy
		x.maintenanceDue = true
		if x.cordoned {
			k.vacate(x)
		}
	}
}

// services counts the service runs of an executor.
func (x *executor) services() int {
	n := 0
	for _, r := range x.runs {
		if r.step.Service {
			n++
		}
	}
	return n
}

// cordonedAhead puts a cordoned VM before others with ten runs less.
const cordonedAhead = 20

// burden counts what stands against the maintenance of a VM now.
func (k *Kernel) burden(vm string) int {
	x := k.executors[k.vms[vm].Executor]
	if x == nil {
		return 0
	}
	n := 2 * len(x.runs)
	for _, r := range x.runs {
		if r.step.Service && !k.mayDisrupt(r) {
			n += 100
		}
	}
	if x.cordoned {
		// What was begun is ended first.
		n -= cordonedAhead
	}
	return n
}

// emptied reports whether nothing is lost by taking an executor down.
func (k *Kernel) emptied(x *executor, late bool) bool {
	if x == nil {
		return true
	}
	if x.holdsEnds() {
		return false
	}
	if len(x.runs) == 0 {
		return true
	}
	if !late {
		return false
	}
	for _, r := range x.runs {
		if r.step.Service && r.step.MaxUnavailable > 0 {
			return false
		}
	}
	return true
}

// holdsEnds reports whether the executor alone knows how some of its runs ended:
// what it lists is not stored yet.
func (x *executor) holdsEnds() bool { return x.seenSeq > x.ackSeq }

// vacate stops the service runs of a cordoned executor as their disruption
// budgets allow, so that they start elsewhere.
func (k *Kernel) vacate(x *executor) {
	for _, r := range sortedRuns(x) {
		if r.step.Service && (r.state == runActive) && k.mayDisrupt(r) {
			k.log(event.RunVacated, "task", r.name, "run", r.number, "executor", x.ID)
			k.stopRun(r)
		}
	}
}

// mayDisrupt reports whether the step's disruption budget allows to end a run.
func (k *Kernel) mayDisrupt(r *run) bool {
	s := r.step
	if s.MaxUnavailable == 0 {
		return true
	}
	// A stop that an earlier owner ordered may be under way at a run that is still
	// listed as at work.
	if k.recovering || k.now.Mono < k.recoveredAt+k.StopMax+stopSlack {
		return false
	}
	away := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.current != r && (t.current == nil || t.current.state != runActive || t.current.percent < 100) {
			away++
		}
	}
	return away < s.MaxUnavailable
}

// orderUpkeep sends the order for a VM's maintenance.
func (k *Kernel) orderUpkeep(w *wave, name string) {
	o, again := k.ordered[name]
	if !again {
		o.executor = k.vms[name].Executor
	}
	o.wave, o.sent = w.Number, k.now.Mono
	if x := k.executors[o.executor]; x != nil {
		x.cordoned = true
	}
	k.log(event.UpkeepOrdered, "vm", name, "wave", w.Number, "executor", o.executor)
	k.order(name, o)
}

// finishVM notes that a VM of a wave needs no more.
func (k *Kernel) finishVM(w *wave, name string) {
	w.done[name] = true
	n := strconv.Itoa(w.Number)
	k.out.records["wave/"+n] = Record{WaveRecord, n, WaveProgress{Done: slices.Sorted(maps.Keys(w.done))}}
}

// reportWave lets operators see a wave's state.
func (k *Kernel) reportWave(w *wave, status string) {
	if w.status == status {
		return
	}
	w.status = status
	n := strconv.Itoa(w.Number)
	k.out.records["status/"+n] = Record{WaveStatus, n, status}
}
