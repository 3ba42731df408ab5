package cell

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/lending"
)

// Settings are the bounds that the platform promises or asks for.
type Settings struct {
	// HoldMax is the longest time for which an executor lets its runs go on
	// without a renewal.
	HoldMax time.Duration
	// StopMax is the longest time that a stop takes.
	StopMax time.Duration
	// OrderLease is the time after which another owner may order for a VM.
	OrderLease time.Duration
	// KeepEnded is for how long an ended job stays known.
	KeepEnded time.Duration
	// Upkeep is how long the maintenance of a VM takes.
	Upkeep time.Duration
	// Move is how long a VM takes to join another pool.
	Move time.Duration
	// Far is how many times as long a task takes away from the rack of its data, zero
	// where that is not known.
	Far float64
	// VMOrdersPerS is how many orders for VMs the platform takes a second, zero
	// for no limit.
	VMOrdersPerS float64
}

// The kernel's own times.
const (
	// holdLength survives a takeover: lease, claim, and the first renewals.
	holdLength = 4 * time.Second
	// holdMargin keeps granted deadlines under the longest time allowed.
	holdMargin = 500 * time.Millisecond
	// clockDrift is how much slower an executor's clock may run, in percent,
	// with half a percent for our own.
	clockDrift = 1025
	// lapseSlack covers the rounding of the executor's clock.
	lapseSlack = 50 * time.Millisecond
	// flushEvery bounds the number of writes; each costs a call to the store.
	flushEvery = 40 * time.Millisecond
	// stopRetry is when an unanswered stop is sent again.
	stopRetry = 500 * time.Millisecond
)

// Kernel decides for the pools of one owner.
type Kernel struct {
	Settings
	// Token fences orders; a later owner has a higher one.
	Token int64
	// RunBase is below every run that this owner starts.
	RunBase int

	now   Now
	until time.Duration
	// outage is until when no other node can claim the pools for want of the store.
	outage time.Duration
	config *fleet.Configuration

	jobs      map[string]*jobState
	executors map[string]*executor
	// byID holds the executors in the order of their ids, nil after a change.
	byID  []*executor
	pools map[string]*pool
	// usage is what each team has running.
	usage     map[string]fleet.Vector
	evacuated map[string]bool
	depth     map[string]int

	// recovering holds back the tasks that an earlier owner may have started.
	recovering bool
	// doubted are the tasks whose runs were lost while the ownership was not proved.
	doubted []*task
	// recoveredAt is when recovering ended.
	recoveredAt time.Duration
	claimedAt   time.Duration
	listSeen    bool
	waves       map[int]*wave
	vms         map[string]fleet.VM
	vmsAt       time.Duration
	vmsAsked    time.Duration
	ordered     map[string]vmOrder
	// recent holds when VMs were ordered for, and orderedBefore those that an
	// earlier owner had ordered for lately.
	recent        map[string]time.Duration
	orderedBefore map[string]bool
	// refusedVMs holds when an order for a VM was last refused.
	refusedVMs  map[string]time.Duration
	out         outbox
	sweptAt     time.Duration
	deposed     bool
	effects     []Effect
	lentAt      time.Duration
	poolsLogged time.Duration
	// orderBudget is how many orders for VMs may be sent now.
	orderBudget   float64
	orderBudgetAt time.Duration
	// lendable holds the VMs that are off and could be lent.
	lendable []lending.VM
	// refusals holds when a refused job was first handed in.
	refusals map[string]time.Duration
}

// New returns a kernel that owns its pools from now on under token.
func New(s Settings, now Now, token int64, runBase int) *Kernel {
	return &Kernel{
		Settings: s, Token: token, RunBase: runBase,
		now: now, claimedAt: now.Mono, recovering: true,
		jobs: map[string]*jobState{}, executors: map[string]*executor{},
		pools: map[string]*pool{}, usage: map[string]fleet.Vector{},
		evacuated: map[string]bool{}, depth: map[string]int{},
		waves: map[int]*wave{}, vms: map[string]fleet.VM{},
		ordered: map[string]vmOrder{}, recent: map[string]time.Duration{}, orderedBefore: map[string]bool{}, refusedVMs: map[string]time.Duration{},
		config: &fleet.Configuration{}, refusals: map[string]time.Duration{},
		out: outbox{dirty: map[string]*jobState{}, records: map[string]Record{}},
	}
}

// Step handles an event and returns what the host has to do.
func (k *Kernel) Step(now Now, e Event) []Effect {
	if k.deposed {
		return nil
	}
	k.now = now
	k.effects = nil
	switch e := e.(type) {
	case Tick:
	case Configured:
		k.configure(e.Configuration)
	case Listed:
		k.list(e.Executors)
	case Evacuated:
		k.evacuate(e.DataCentres)
	case WavesAsked:
		k.askWaves(e.Waves)
	case VMsListed:
		k.listVMs(e)
	case LeaseExtended:
		k.until = max(k.until, e.Until)
		k.trustAgain()
		return nil
	case OutageConfirmed:
		k.outage = max(k.outage, e.Until)
		k.trustAgain()
		return nil
	case Submitted:
		k.submit(e)
	case CancelAsked:
		k.cancel(e)
	case Started:
		k.startAnswered(e)
	case Stopped:
		k.stopAnswered(e)
	case Renewed:
		k.renewed(e)
	case Written:
		k.written(e.Write)
	case VMOrdered:
		k.vmOrdered(e)
	case Advised:
		k.advised(e)
	}
	if _, tick := e.(Tick); tick {
		k.decide()
	}
	return k.effects
}

// decide carries out what follows from the events since the last tick.
func (k *Kernel) decide() {
	k.checkExecutors()
	k.recoverStep()
	k.schedule()
	k.lend()
	k.maintain()
	k.retryOrders()
	k.flush()
	k.renew()
	k.sweep()
}

// sorted returns the executors in the order of their ids.
func (k *Kernel) sorted() []*executor {
	if k.byID == nil {
		for _, id := range slices.Sorted(maps.Keys(k.executors)) {
			k.byID = append(k.byID, k.executors[id])
		}
	}
	return k.byID
}

func (k *Kernel) emit(e Effect) { k.effects = append(k.effects, e) }

func (k *Kernel) log(n event.Number, fields ...any) {
	k.emit(Log{Event: n, Fields: fields})
}

func (k *Kernel) depose(reason string) {
	k.deposed = true
	k.emit(Depose{Reason: reason})
}

func (k *Kernel) pool(name string) *pool {
	p := k.pools[name]
	if p == nil {
		p = &pool{name: name, jobs: map[string]*jobState{}}
		k.pools[name] = p
	}
	return p
}

// configure takes a configuration unless a later one is in force.
func (k *Kernel) configure(c *fleet.Configuration) {
	if c.Version < k.config.Version {
		return
	}
	k.config = c
	for _, j := range k.jobs {
		j.queue = c.Queue(j.Queue)
	}
}

func (k *Kernel) evacuate(dataCentres []string) {
	k.evacuated = map[string]bool{}
	for _, dc := range dataCentres {
		k.evacuated[dc] = true
	}
}

// Clean-up constants.
const (
	sweepEvery = 5 * time.Second
	// keepRefusal is for how long a refused caller may come back with the same id.
	keepRefusal = 15 * time.Second
)

// sweep forgets refusals, and jobs that ended long ago.
func (k *Kernel) sweep() {
	if k.now.Mono < k.sweptAt+sweepEvery {
		return
	}
	k.sweptAt = k.now.Mono
	for id, at := range k.refusals {
		if k.now.Mono > at+keepRefusal {
			delete(k.refusals, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(k.jobs)) {
		j := k.jobs[id]
		ago := time.Duration(k.now.UnixMs-j.endedMs) * time.Millisecond
		if !j.visible.Ended() || j.dirty || ago < 2*k.KeepEnded {
			continue
		}
		delete(k.jobs, id)
		k.out.remove = append(k.out.remove, id)
	}
}
