package cell

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/lending"
)

// Limits of the lending.
const (
	// lendInterval is the time between two lending plans.
	lendInterval = 100 * time.Millisecond
	// servingDelay is how long after its move a VM starts to serve: its new executor
	// must be discovered and fenced.
	servingDelay = 400 * time.Millisecond
	// immediateFraction is the fraction of the waiting work that needs processors at
	// once; the rest can follow the current runs.
	immediateFraction = 0.7
	// defaultMinVMs is two so that a pool survives the loss of a VM.
	defaultMinVMs    = 2
	poolsLogInterval = time.Second
	// unplacedAfter is how long a service task waits until its pool gets a VM for it.
	unplacedAfter = 200 * time.Millisecond
)

// lendVMs moves idle VMs to the pools that need them.
func (k *Kernel) lendVMs() {
	if k.now.Monotonic < k.lendingPlannedAt+lendInterval || k.vmsListedAt == 0 || k.recovering || k.now.Monotonic > k.leaseUntil {
		return
	}
	k.lendingPlannedAt = k.now.Monotonic
	pools, cores := k.describePools()
	if k.now.Monotonic >= k.poolsLoggedAt+poolsLogInterval {
		k.poolsLoggedAt = k.now.Monotonic
		for i := range pools {
			p := &pools[i]
			k.log(event.PoolPlanned, "pool", p.Name, "vms", p.VMs, "idle", len(p.IdleVMs), "cores", int(p.NeededCores), "target", p.TargetVMs(cores), "wants", p.DescribeDemand())
		}
	}
	k.lendableVMs = nil
	for i := range pools {
		k.surplusCores[pools[i].Name] = pools[i].SurplusCores()
		if pools[i].Spare {
			k.lendableVMs = append(k.lendableVMs, pools[i].IdleVMs...)
		}
	}
	for _, m := range lending.PlanMoves(pools) {
		if !k.takeVMOrderBudget() {
			return
		}
		if k.config.IsSparePool(k.vms[m.VM].Pool) {
			k.lendableVMs = slices.DeleteFunc(k.lendableVMs, func(vm lending.VM) bool { return vm.Name == m.VM })
		}
		k.orderVMMove(m.VM, m.Pool)
	}
}

// describePools returns the input of the lending plan and the cores of the largest
// VM.
func (k *Kernel) describePools() ([]lending.Pool, float64) {
	byName := map[string]*lending.Pool{}
	var order []string
	for _, p := range k.config.Pools {
		byName[p.Name] = &lending.Pool{Name: p.Name, Spare: p.Spare}
		order = append(order, p.Name)
	}
	for _, name := range order {
		if p := byName[name]; !p.Spare {
			k.estimateNeed(p)
		}
	}
	var cores float64
	serving, empty := map[string]int{}, map[string]int{}
	for _, name := range k.sortedVMs() {
		vm := k.vms[name]
		cores = max(cores, vmCores(vm))
		pool := vm.Pool
		o, moving := k.vmOrders[name]
		if moving && o.pool != "" {
			pool = o.pool
		}
		p := byName[pool]
		if p == nil || k.evacuated[vm.DataCentre] {
			continue
		}
		x := k.executors[vm.Executor]
		idle, canServe := k.idleTime(vm, x)
		described := lending.VM{Name: name, IdleTime: idle, Cores: vmCores(vm), Labels: vm.Labels}
		if x != nil && x.Pool == vm.Pool && x.listed {
			// Its room may have shrunk, also below what runs.
			described.Cores = min(described.Cores, float64(max(x.Capacity.CPU, x.used.CPU))/1000)
		}
		if moving || canServe {
			p.Add(described)
		}
		if canServe && !moving {
			serving[pool]++
			if idle > 0 {
				empty[pool]++
			}
		}
		if !moving && idle > 0 && vm.State == fleet.VMUp && !k.isHeldByWave(name, p.Spare) && k.canOrderVM(name) {
			p.IdleVMs = append(p.IdleVMs, described)
		}
	}
	var pools []lending.Pool
	slices.Sort(order)
	for _, name := range order {
		p := byName[name]
		if !p.Spare {
			if missing := k.countMissingVMs(name) - empty[name]; missing > 0 {
				p.MinVMs = max(p.MinVMs, serving[name]+missing)
			}
		}
		pools = append(pools, *p)
	}
	return pools, cores
}

// countMissingVMs returns how many empty VMs would hold the service tasks of a pool that
// wait although they could start: no executor has room for them, whatever cores the pool
// has. Steps that only certain VMs can run are left out, since any VM may be lent.
func (k *Kernel) countMissingVMs(pool string) int {
	_, capacity := k.largestCapacities()
	type plannedVM struct {
		used  fleet.Vector
		tasks map[*stepRun]int
	}
	var vms []*plannedVM
	for _, s := range k.ensurePool(pool).readySteps {
		if !s.Service || s.waitingTasks == 0 || s.Label != "" || s.tickets != nil || s.job.state.IsFinal() || !k.isDue(s, 0) || !k.withinTeamLimit(s, 1) {
			continue
		}
		need := s.ReservedSize()
		if !need.FitsIn(capacity) {
			continue
		}
		for range k.countUnplacedTasks(s) {
			i := slices.IndexFunc(vms, func(vm *plannedVM) bool {
				return vm.used.Add(need).FitsIn(capacity) && (s.PerExecutor == 0 || vm.tasks[s] < s.PerExecutor)
			})
			if i < 0 {
				i = len(vms)
				vms = append(vms, &plannedVM{tasks: map[*stepRun]int{}})
			}
			vms[i].used = vms[i].used.Add(need)
			vms[i].tasks[s]++
		}
	}
	return len(vms)
}

// countUnplacedTasks returns how many tasks of a step have waited for an executor for
// some time.
func (k *Kernel) countUnplacedTasks(s *stepRun) int {
	n := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.state == taskWaiting && !t.uncertain && max(t.waitsSince(s), t.retryAt)+unplacedAfter <= k.now.Monotonic {
			n++
		}
	}
	return n
}

// vmCores returns the number of cores of a VM.
func vmCores(vm fleet.VM) float64 { return float64(vm.Capacity.CPU) / 1000 }

// idleTime returns for how long a VM has had no work, and whether it can serve. The
// time is zero if the VM has some work or is not usable, and at least 1 ns otherwise.
func (k *Kernel) idleTime(vm fleet.VM, x *executor) (time.Duration, bool) {
	if k.config.IsSparePool(vm.Pool) {
		return time.Nanosecond, vm.State == fleet.VMUp
	}
	if x == nil || !x.listed || !x.fenced || !x.isDescribed() || x.Draining || x.misses > 0 || x.cordoned {
		return 0, false
	}
	if len(x.runs) > 0 || x.Pool != vm.Pool || x.hasUnstoredEnds() {
		return 0, true
	}
	return max(k.now.Monotonic-x.lastBusyAt, time.Nanosecond), true
}

// isHeldByWave reports whether a VM must wait for its maintenance instead of moving
// to another pool. A VM of a spare pool may serve first unless the wave is late.
func (k *Kernel) isHeldByWave(name string, isSpare bool) bool {
	for _, w := range k.waves {
		if w.reportedStatus != waveSucceeded && !w.doneVMs[name] && w.members[name] && (!isSpare || k.isWaveLate(w)) {
			return true
		}
	}
	return false
}

// estimateNeed fills in what a pool needs by the time at which a VM that is ordered
// now could serve.
func (k *Kernel) estimateNeed(p *lending.Pool) {
	// Sums are in thousandths of a core. These are whole numbers for runs, so the
	// result does not depend on the order of map iteration.
	var service, running, waiting float64
	demands := map[string]*lending.LabelDemand{}
	addDemand := func(label string, required bool, cores float64) {
		if label == "" || cores == 0 {
			return
		}
		if demands[label] == nil {
			demands[label] = &lending.LabelDemand{Label: label}
		}
		demands[label].NeededCores += cores
		demands[label].Required = demands[label].Required || required
	}
	addDemands := func(s *stepRun, cores float64) {
		addDemand(s.Label, true, cores)
		// The rack of the data saves time but is not required.
		addDemand(s.Rack, false, cores)
	}
	for _, x := range k.poolExecutors(p.Name) {
		for _, r := range x.runs {
			cores := float64(r.reserved.CPU)
			if r.step.Service {
				service += cores
			} else {
				running += cores
			}
			addDemands(r.step, cores)
		}
	}
	for _, s := range k.ensurePool(p.Name).readySteps {
		if s.job.state.IsFinal() || !k.isDue(s, k.MoveDuration+servingDelay) {
			continue
		}
		cores := float64(int64(s.waitingTasks) * s.ReservedSize().CPU)
		if s.Service {
			service += cores
		} else {
			cores *= immediateFraction
			waiting += cores
		}
		if s.waitingTasks > 0 {
			// A best-effort task reserves no processors, but it needs a VM with its label.
			cores = max(cores, 1)
		}
		addDemands(s, cores)
	}
	p.NeededCores = service/1000 + max((running+waiting)/1000, k.ensurePool(p.Name).demand.Rate(k.now.Monotonic))
	p.MinVMs = k.minPoolVMs(p.Name)
	for _, label := range slices.Sorted(maps.Keys(demands)) {
		demands[label].NeededCores /= 1000
		p.LabelDemands = append(p.LabelDemands, *demands[label])
	}
}

// takeVMOrderBudget reports whether one more order for a VM may be sent now, and
// deducts it from the budget.
func (k *Kernel) takeVMOrderBudget() bool {
	if k.VMOrdersPerS <= 0 {
		return true
	}
	refill := (k.now.Monotonic - k.vmOrderBudgetAt).Seconds() * k.VMOrdersPerS * vmOrderRateFraction
	k.vmOrderBudget = min(k.vmOrderBudget+refill, k.VMOrdersPerS*vmOrderRateFraction/2)
	k.vmOrderBudgetAt = k.now.Monotonic
	if k.vmOrderBudget < 1 {
		return false
	}
	k.vmOrderBudget--
	return true
}

// vmOrderRateFraction is the fraction of the platform's rate that new orders may use;
// the rest is left for retries and for the last orders of another owner.
const vmOrderRateFraction = 0.9

// minPoolVMs returns how many VMs a pool needs regardless of its load: enough for
// the service step that must be spread over the most VMs.
func (k *Kernel) minPoolVMs(name string) int {
	most := defaultMinVMs
	for _, s := range k.ensurePool(name).readySteps {
		if s.Service && s.PerExecutor > 0 && !s.job.state.IsFinal() {
			most = max(most, (s.Count+s.PerExecutor-1)/s.PerExecutor)
		}
	}
	return most
}

// orderVMMove orders a VM to be moved into another pool.
func (k *Kernel) orderVMMove(vm, pool string) {
	from := k.vms[vm]
	x := k.executors[from.Executor]
	if x != nil {
		x.cordoned = true
	}
	k.log(event.MoveOrdered, "vm", vm, "from", from.Pool, "to", pool)
	k.recordVMOrder(vm, vmOrder{pool: pool, sentAt: k.now.Monotonic, executor: from.Executor})
}
