package cell

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

// Limits of the maintenance.
const (
	// listVMsInterval is the time between calls for the list of VMs while orders are
	// in progress; each call has a price.
	listVMsInterval = 500 * time.Millisecond
	// vmListLag is how much later a VM may be listed with its executor than the
	// executor is registered.
	vmListLag = 300 * time.Millisecond
	// vmOrderRetryInterval is the time after which an unanswered or refused order is
	// sent again.
	vmOrderRetryInterval = time.Second
	// extraCordons is how many VMs are emptied in advance, beyond those that may be
	// down at once.
	extraCordons = 2
	// serviceVMDivisor sets how many VMs are emptied from the start of a wave although
	// their turn is late: the last 1+maxDown/serviceVMDivisor VMs in the order, if they
	// run service tasks.
	serviceVMDivisor = 4
	// stopListSlack covers the delay until the end of a stopped run is listed.
	stopListSlack = 500 * time.Millisecond
	// waveInterval is the time between two decisions on the waves.
	waveInterval = 40 * time.Millisecond
	// lendingReserveDivisor sets the share of all VMs that stay available for lending
	// while VMs that are off have their maintenance early: one in that many.
	lendingReserveDivisor = 4
	// forceAfterPercent is the percentage of a wave's time after which the wave no
	// longer waits for runs that end by themselves.
	forceAfterPercent = 60
)

// wave is a maintenance wave with its progress.
type wave struct {
	fleet.Wave
	requestedAt time.Duration
	// knownSince is when this owner first knew it. Earlier lists of VMs do not count for it, as
	// they may be of any age.
	knownSince time.Duration
	// askedMs is the same time on the wall clock of the owner that first saw the request.
	askedMs int64
	doneVMs map[string]bool
	// members holds the names of the wave's VMs.
	members map[string]bool
	// reportedStatus is the status last reported to operators, empty before the first
	// report.
	reportedStatus string
}

// WaveProgress is the stored progress of a wave.
type WaveProgress struct {
	Done []string `json:"done"`
	// AskedMs is the Unix time in milliseconds at which an owner first saw the request, zero
	// in records of builds that did not store it.
	AskedMs int64 `json:"asked_ms,omitempty"`
}

// maxWaveAge bounds the age of a wave that a stored time suggests, since clocks may jump.
const maxWaveAge = time.Hour

// Wave statuses that operators read.
const (
	waveRunning   = "running"
	waveSucceeded = "succeeded"
)

// updateWaves adds new waves and updates known ones. Waves that have succeeded and are
// no longer requested are forgotten.
func (k *Kernel) updateWaves(waves []fleet.Wave) {
	requested := map[int]bool{}
	for _, w := range waves {
		requested[w.Number] = true
	}
	maps.DeleteFunc(k.waves, func(n int, w *wave) bool { return !requested[n] && w.reportedStatus == waveSucceeded })
	for _, w := range waves {
		if known := k.waves[w.Number]; known != nil {
			known.Wave = w
			known.indexMembers()
			continue
		}
		added := k.newWave(w, k.now.UnixMs)
		added.indexMembers()
		k.waves[w.Number] = added
		// The time that the operators allow goes on under the next owner.
		k.recordWave(added)
		k.log(event.WaveAsked, "wave", w.Number, "vms", len(w.VMs), "cap", w.MaxDown, "within_s", w.TimeLimitS)
	}
}

// newWave returns a wave that this owner knows from now on.
func (k *Kernel) newWave(w fleet.Wave, askedMs int64) *wave {
	return &wave{Wave: w, requestedAt: k.now.Monotonic, knownSince: k.now.Monotonic, askedMs: askedMs, doneVMs: map[string]bool{}}
}

// indexMembers rebuilds the set of the wave's VMs.
func (w *wave) indexMembers() {
	w.members = make(map[string]bool, len(w.VMs))
	for _, vm := range w.VMs {
		w.members[vm] = true
	}
}

// isWaveLate reports whether a wave has used up the time in which it waits for runs
// to end.
func (k *Kernel) isWaveLate(w *wave) bool {
	return (k.now.Monotonic-w.requestedAt).Seconds()*100 > w.TimeLimitS*forceAfterPercent
}

// concurrentVMs returns how many VMs must be down at once for the wave to end in
// time: one more than the estimate, at most MaxDown. It is hardly more than needed,
// since each such VM is missing from its pool.
func (k *Kernel) concurrentVMs(w *wave, open int) int {
	left := w.TimeLimitS*forceAfterPercent/100 - (k.now.Monotonic - w.requestedAt).Seconds()
	if left <= 0 {
		return w.MaxDown
	}
	each := (k.MaintenanceDuration + maintenanceOverhead).Seconds()
	return min(w.MaxDown, int(math.Ceil(float64(open)*each/left))+1)
}

// maintenanceOverhead is how much longer than its maintenance a VM is away, since
// it must be emptied before and recognised afterwards.
const maintenanceOverhead = 1500 * time.Millisecond

// LoadWave restores a wave's progress from the store; it must be called before the
// first event.
func (k *Kernel) LoadWave(number int, p WaveProgress) {
	w := k.newWave(fleet.Wave{Number: number}, p.AskedMs)
	if p.AskedMs > 0 {
		w.requestedAt -= min(max(time.Duration(k.now.UnixMs-p.AskedMs)*time.Millisecond, 0), maxWaveAge)
	}
	for _, vm := range p.Done {
		w.doneVMs[vm] = true
	}
	k.waves[number] = w
}

// advanceWaves advances all waves, and requests the list of VMs while it is needed.
func (k *Kernel) advanceWaves() {
	busy, needsNewList := len(k.vmOrders) > 0, false
	advance := k.now.Monotonic >= k.wavesAdvancedAt+waveInterval
	if advance {
		k.wavesAdvancedAt = k.now.Monotonic
	}
	for _, n := range slices.Sorted(maps.Keys(k.waves)) {
		w := k.waves[n]
		if w.reportedStatus == waveSucceeded || len(w.VMs) == 0 {
			continue
		}
		busy = true
		if k.vmsReadAt < w.knownSince {
			needsNewList = needsNewList || k.vmsRequestedAt < w.knownSince
			continue
		}
		if !advance || k.recovering || k.now.Monotonic > k.leaseUntil {
			continue
		}
		k.advanceWave(w)
	}
	if advance {
		k.openForWaiting()
	}
	due := k.now.Monotonic >= k.vmsRequestedAt+cmp.Or(k.ListVMsInterval, listVMsInterval)
	if needsNewList || (due && (busy || k.vmsListedAt == 0 || k.needsVMList())) {
		k.vmsRequestedAt = k.now.Monotonic
		k.emit(ListVMs{})
	}
}

// advanceWave empties the next VMs of a wave and orders their maintenance.
func (k *Kernel) advanceWave(w *wave) {
	k.reportWaveStatus(w, waveRunning)
	down, moving := 0, 0
	var open []string
	for _, name := range w.VMs {
		if o, ok := k.vmOrders[name]; ok && o.pool == "" {
			down++
			continue
		}
		vm, listed := k.vms[name]
		switch {
		case vm.State == fleet.VMMaintenance:
			down++
		case w.doneVMs[name]:
		case !k.canOrderVM(name):
			// An order of an earlier owner may be in progress.
			down++
		case !listed:
			k.markVMDone(w, name)
		case k.vmOrders[name].pool != "":
			moving++
		default:
			open = append(open, name)
		}
	}
	if len(open) == 0 && down == 0 && moving == 0 {
		k.reportWaveStatus(w, waveSucceeded)
		k.log(event.WaveSucceeded, "wave", w.Number, "took_ms", (k.now.Monotonic - w.requestedAt).Milliseconds())
		return
	}
	slices.SortStableFunc(open, func(a, b string) int { return k.maintenanceCost(a) - k.maintenanceCost(b) })
	late := k.isWaveLate(w)
	maxDown := k.concurrentVMs(w, len(open)+down)
	spareVMs := len(k.lendableVMs) - len(k.vms)/lendingReserveDivisor
	for i, name := range open {
		x := k.executors[k.vms[name].Executor]
		limit := maxDown
		if k.isUnneeded(k.vms[name], x, spareVMs) {
			limit = w.MaxDown
		}
		if down < limit && k.canMaintain(k.vms[name], x, late) && k.takeVMOrderBudget() {
			k.orderVMMaintenance(w, name)
			down++
			if x == nil {
				spareVMs--
			}
			continue
		}
		if x == nil {
			continue
		}
		// The last VMs in the order run service tasks. Their disruption budgets take
		// time, so some of them are emptied from the start.
		emptyEarly := i >= len(open)-1-maxDown/serviceVMDivisor && x.serviceRuns > 0
		if k.now.Monotonic >= x.cordonAfter {
			x.cordoned = x.cordoned || i < maxDown+extraCordons-down || emptyEarly
		}
		x.maintenanceDue = true
		if x.cordoned {
			k.evictServiceRuns(x)
		}
	}
}

// isUnneeded reports whether a VM can have its maintenance early, since nothing needs
// it now: it is off and spareVMs more can be missed, or it is idle in a pool that has
// more cores than it needs.
func (k *Kernel) isUnneeded(vm fleet.VM, x *executor, spareVMs int) bool {
	if k.config.IsSparePool(vm.Pool) {
		return spareVMs > 0
	}
	return x != nil && len(x.runs) == 0 && k.surplusCores[vm.Pool] >= vmCores(vm)
}

// cordonedPreference makes a cordoned VM precede others with up to ten fewer runs.
const cordonedPreference = 20

// maintenanceCost returns the cost of taking a VM down now; VMs with the lowest
// cost are maintained first.
func (k *Kernel) maintenanceCost(vm string) int {
	x := k.executors[k.vms[vm].Executor]
	if x == nil {
		return 0
	}
	// Each run must end or move first.
	n := 2 * len(x.runs)
	for _, r := range x.runs {
		if r.step.Service && !k.canDisrupt(r) {
			// The run cannot be stopped until its step has recovered, which outweighs 50
			// runs.
			n += 100
		}
	}
	if x.cordoned {
		// Finish VMs that are already being emptied first.
		n -= cordonedPreference
	}
	return n
}

// canMaintain reports whether a VM with an executor, nil if it has none, can be taken down for its
// maintenance now.
func (k *Kernel) canMaintain(vm fleet.VM, x *executor, late bool) bool {
	return vm.State == fleet.VMUp && k.canTakeDown(x, late) && (late || !k.isExecutorStarting(vm)) && !k.mayHaveOtherRuns(vm, x)
}

// canTakeDown reports whether an executor can be taken down without losing work, or
// with losses that a late wave accepts.
func (k *Kernel) canTakeDown(x *executor, late bool) bool {
	if x == nil {
		return true
	}
	if x.hasUnstoredEnds() {
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

// isExecutorStarting reports whether the executor of a VM has not been listed with it yet; it
// may have work before it is.
func (k *Kernel) isExecutorStarting(vm fleet.VM) bool {
	return vm.Executor == "" && !k.config.IsSparePool(vm.Pool)
}

// mayHaveOtherRuns reports whether tasks may run on a VM beside those of the executor that is
// listed there: that one does not answer, and no list of VMs has named another VM of an executor
// with runs that may have followed it.
func (k *Kernel) mayHaveOtherRuns(vm fleet.VM, x *executor) bool {
	if k.config.IsSparePool(vm.Pool) || (x != nil && x.listed && x.misses == 0) {
		return false
	}
	for _, o := range k.executors {
		if o != x && len(o.runs) > 0 && o.Pool == vm.Pool && o.DataCentre == vm.DataCentre && (o.lastVM == "" || o.lastVM == vm.Name) {
			return true
		}
	}
	return false
}

// hasUnstoredEnds reports whether the executor may have run ends that are not stored
// yet, so that no one else knows them.
func (x *executor) hasUnstoredEnds() bool { return x.moreEnded || x.seenEnd > x.ackedEnd }

// evictServiceRuns stops the service runs of a cordoned executor as far as their
// disruption budgets allow, so that they start elsewhere.
func (k *Kernel) evictServiceRuns(x *executor) {
	for _, r := range sortedRuns(x) {
		if r.step.Service && (r.state == runActive) && k.canDisrupt(r) {
			k.log(event.RunVacated, "task", r.name, "run", r.number, "executor", x.ID)
			k.stopRun(r)
		}
	}
}

// canDisrupt reports whether the step's disruption budget allows a run to be
// stopped.
func (k *Kernel) canDisrupt(r *run) bool {
	s := r.step
	if s.MaxUnavailable == 0 {
		return true
	}
	// A run that an earlier owner ordered to stop may still be listed as active.
	if k.recovering || k.now.Monotonic < k.recoveredAt+k.MaxStopDuration+stopListSlack {
		return false
	}
	away := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.currentRun != r && !t.currentRun.isAtWork() {
			away++
		}
	}
	return away < s.MaxUnavailable
}

// isAtWork reports whether a run of a service step serves. One on a silent executor may have
// ended.
func (r *run) isAtWork() bool {
	return r != nil && r.state == runActive && r.percent >= 100 && r.executor.misses == 0
}

// orderVMMaintenance orders the maintenance of a VM.
func (k *Kernel) orderVMMaintenance(w *wave, name string) {
	o, isRetry := k.vmOrders[name]
	if !isRetry {
		o.executor = k.vms[name].Executor
	}
	o.wave, o.sentAt = w.Number, k.now.Monotonic
	if x := k.executors[o.executor]; x != nil {
		x.cordoned = true
	}
	k.log(event.UpkeepOrdered, "vm", name, "wave", w.Number, "executor", o.executor)
	k.recordVMOrder(name, o)
}

// markVMDone records that a VM needs nothing more from its wave.
func (k *Kernel) markVMDone(w *wave, name string) {
	w.doneVMs[name] = true
	k.recordWave(w)
}

// recordWave stores the progress of a wave.
func (k *Kernel) recordWave(w *wave) {
	n := strconv.Itoa(w.Number)
	k.outbox.records["wave/"+n] = Record{Kind: WaveRecord, Name: n, Value: WaveProgress{Done: slices.Sorted(maps.Keys(w.doneVMs)), AskedMs: w.askedMs}}
}

// reportWaveStatus stores a wave's status for operators if it changed.
func (k *Kernel) reportWaveStatus(w *wave, status string) {
	if w.reportedStatus == status {
		return
	}
	w.reportedStatus = status
	n := strconv.Itoa(w.Number)
	k.outbox.records["status/"+n] = Record{Kind: WaveStatusRecord, Name: n, Value: status}
}
