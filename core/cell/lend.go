package cell

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/lending"
)

// Lending constants.
const (
	// lendEvery is the time between two plans.
	lendEvery = 100 * time.Millisecond
	// lendAhead is how much longer than its move a VM takes to serve: its new
	// executor has to be seen and fenced.
	lendAhead = 400 * time.Millisecond
	// waitingShare is the part of the waiting work that needs processors at
	// once; the rest is done after what runs.
	waitingShare = 0.7
	// minVMs keeps a pool alive through the loss of a VM.
	minVMs        = 2
	poolsLogEvery = time.Second
)

// lend moves idle VMs to the pools that need them.
func (k *Kernel) lend() {
	if k.now.Mono < k.lentAt+lendEvery || k.vmsAt == 0 || k.recovering || k.now.Mono > k.until {
		return
	}
	k.lentAt = k.now.Mono
	pools, cores := k.lendingPools()
	if k.now.Mono >= k.poolsLogged+poolsLogEvery {
		k.poolsLogged = k.now.Mono
		for i := range pools {
			p := &pools[i]
			k.log(event.PoolPlanned, "pool", p.Name, "vms", p.VMs, "idle", len(p.Idle), "cores", int(p.Cores), "target", p.Target(cores), "wants", p.Describe())
		}
	}
	k.lendable = nil
	for i := range pools {
		if pools[i].Spare {
			k.lendable = append(k.lendable, pools[i].Idle...)
		}
	}
	for _, m := range lending.Plan(pools) {
		if !k.mayOrderNow() {
			return
		}
		if k.config.PoolIsSpare(k.vms[m.VM].Pool) {
			k.lendable = slices.DeleteFunc(k.lendable, func(vm lending.VM) bool { return vm.Name == m.VM })
		}
		k.orderMove(m.VM, m.Pool)
	}
}

// lendingPools describes the pools, and returns the processors of a usual VM.
func (k *Kernel) lendingPools() ([]lending.Pool, float64) {
	byName := map[string]*lending.Pool{}
	var order []string
	for _, p := range k.config.Pools {
		byName[p.Name] = &lending.Pool{Name: p.Name, Spare: p.Spare}
		order = append(order, p.Name)
	}
	for _, name := range order {
		if p := byName[name]; !p.Spare {
			k.describeNeed(p)
		}
	}
	var cores float64
	for _, name := range slices.Sorted(maps.Keys(k.vms)) {
		vm := k.vms[name]
		cores = max(cores, coresOf(vm))
		home := vm.Pool
		o, moving := k.ordered[name]
		if moving && o.pool != "" {
			home = o.pool
		}
		p := byName[home]
		if p == nil || k.evacuated[vm.DataCentre] {
			continue
		}
		x := k.executors[vm.Executor]
		idle, able := k.idleFor(vm, x)
		described := lending.VM{Name: name, Idle: idle, Cores: coresOf(vm), Labels: vm.Labels}
		if moving || able {
			p.Add(described)
		}
		if !moving && idle > 0 && vm.State == fleet.VMUp && !k.heldByWave(name, p.Spare) && k.mayOrder(name) {
			p.Idle = append(p.Idle, described)
		}
	}
	var pools []lending.Pool
	slices.Sort(order)
	for _, name := range order {
		pools = append(pools, *byName[name])
	}
	return pools, cores
}

func coresOf(vm fleet.VM) float64 { return float64(vm.Room.CPU) / 1000 }

// idleFor returns for how long a VM has had no work, zero where it has some,
// and whether it can serve.
func (k *Kernel) idleFor(vm fleet.VM, x *executor) (time.Duration, bool) {
	if k.config.PoolIsSpare(vm.Pool) {
		return time.Nanosecond, vm.State == fleet.VMUp
	}
	if x == nil || !x.listed || !x.fenced || x.Draining || x.misses > 0 || x.cordoned {
		return 0, false
	}
	if len(x.runs) > 0 || x.Pool != vm.Pool || x.holdsEnds() {
		return 0, true
	}
	return max(k.now.Mono-x.busyAt, time.Nanosecond), true
}

// heldByWave reports whether a VM has to wait for its maintenance rather than
// change its pool. One that is off may serve first while the wave has time.
func (k *Kernel) heldByWave(name string, off bool) bool {
	for _, w := range k.waves {
		if w.status != waveSucceeded && !w.done[name] && w.members[name] {
			return !off || k.waveLate(w)
		}
	}
	return false
}

// describeNeed fills in what a pool needs now or when a VM that is ordered now could
// serve.
func (k *Kernel) describeNeed(p *lending.Pool) {
	// Sums are in thousandths of a core, which are whole numbers for runs: their order
	// in a map changes nothing.
	var service, running, waiting float64
	wants := map[string]*lending.Want{}
	add := func(label string, required bool, cores float64) {
		if label == "" || cores == 0 {
			return
		}
		if wants[label] == nil {
			wants[label] = &lending.Want{Label: label}
		}
		wants[label].Cores += cores
		wants[label].Required = wants[label].Required || required
	}
	want := func(s *stepRun, cores float64) {
		add(s.Label, true, cores)
		// The rack of the data only saves time.
		add(s.Rack, false, cores)
	}
	for _, x := range k.sorted() {
		if x.Pool != p.Name {
			continue
		}
		for _, r := range x.runs {
			cores := float64(r.reserved.CPU)
			if r.step.Service {
				service += cores
			} else {
				running += cores
			}
			want(r.step, cores)
		}
	}
	for _, s := range k.pool(p.Name).ready {
		if s.job.state.Ended() || !k.isDue(s, k.Move+lendAhead) {
			continue
		}
		cores := float64(int64(s.waiting) * s.Reserved().CPU)
		if s.Service {
			service += cores
		} else {
			cores *= waitingShare
			waiting += cores
		}
		want(s, cores)
	}
	p.Cores = service/1000 + max((running+waiting)/1000, k.pool(p.Name).demand.Rate(k.now.Mono))
	p.Floor = k.floor(p.Name)
	for _, label := range slices.Sorted(maps.Keys(wants)) {
		wants[label].Cores /= 1000
		p.Wants = append(p.Wants, *wants[label])
	}
}

// mayOrderNow reports whether the platform takes one more order for a VM now, and
// counts it.
func (k *Kernel) mayOrderNow() bool {
	if k.VMOrdersPerS <= 0 {
		return true
	}
	refill := (k.now.Mono - k.orderBudgetAt).Seconds() * k.VMOrdersPerS * orderShare
	k.orderBudget = min(k.orderBudget+refill, k.VMOrdersPerS*orderShare/2)
	k.orderBudgetAt = k.now.Mono
	if k.orderBudget < 1 {
		return false
	}
	k.orderBudget--
	return true
}

// orderShare is the part of the platform's rate that orders use; the rest is for
// repetitions and for another owner's last orders.
const orderShare = 0.9

// floor returns how many VMs a pool needs whatever its work takes: as many as
// the widest service step must be spread over.
func (k *Kernel) floor(name string) int {
	most := minVMs
	for _, s := range k.pool(name).ready {
		if s.Service && s.PerExecutor > 0 && !s.job.state.Ended() {
			most = max(most, (s.Count+s.PerExecutor-1)/s.PerExecutor)
		}
	}
	return most
}

// orderMove sends a VM to another pool.
func (k *Kernel) orderMove(vm, pool string) {
	from := k.vms[vm]
	x := k.executors[from.Executor]
	if x != nil {
		x.cordoned = true
	}
	k.log(event.MoveOrdered, "vm", vm, "from", from.Pool, "to", pool)
	k.order(vm, vmOrder{pool: pool, sent: k.now.Mono, executor: from.Executor})
}
