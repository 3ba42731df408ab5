package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jacinthwind/core/estimate"
	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
	"jacinthwind/core/lending"
)

// Settings holds the time limits that the platform guarantees and the rates that it
// accepts.
type Settings struct {
	// MaxRenewalGap is the longest time for which an executor keeps its runs going
	// without a renewal.
	MaxRenewalGap time.Duration
	// MaxStopDuration is the longest time that stopping a run takes.
	MaxStopDuration time.Duration
	// VMOrderLease is the time after an order for a VM during which no other owner may
	// order for the same VM.
	VMOrderLease time.Duration
	// EndedJobRetention is how long the state of an ended job must stay available. The
	// kernel keeps the job for twice as long.
	EndedJobRetention time.Duration
	// MaintenanceDuration is how long the maintenance of a VM takes.
	MaintenanceDuration time.Duration
	// MoveDuration is how long a VM takes to join another pool.
	MoveDuration time.Duration
	// OffRackFactor is the factor by which a task takes longer outside the rack of its
	// data, zero if unknown.
	OffRackFactor float64
	// VMOrdersPerS is how many orders for VMs the platform accepts per second, zero
	// for no limit.
	VMOrdersPerS float64
	// ListVMsInterval is the time between two reads of the list of VMs while orders are
	// in progress, zero for the default.
	ListVMsInterval time.Duration
	// PartTasks is the number of tasks whose progress one record holds, zero for
	// job.DefaultPartTasks.
	PartTasks int
	// MaxRecordBytes is the size of the largest value that the store takes, zero if it is
	// not known.
	MaxRecordBytes int
	// MaxJobBytes is the memory that all jobs may take, zero for no limit.
	MaxJobBytes int64
}

// Timing of deadlines, writes and stops.
const (
	// maxDeadlineSpan is the longest time from the grant of a deadline to the deadline.
	// It lets runs survive a change of owner: the old lease expires, the next owner
	// claims the pools and sends its first renewals.
	maxDeadlineSpan = 4 * time.Second
	// deadlineMargin keeps granted deadlines below Settings.MaxRenewalGap.
	deadlineMargin = 500 * time.Millisecond
	// clockDriftFactorPermille is the most time on our clock, in thousandths, per unit
	// of an executor's clock: 1000 plus 20 for a slow executor's clock and 5 for ours.
	clockDriftFactorPermille = 1025
	// expirySlack covers the rounding of the executor's clock.
	expirySlack = 50 * time.Millisecond
	// flushInterval limits the number of writes, since each costs a call to the
	// store.
	flushInterval = 40 * time.Millisecond
	// stopRetryInterval is the time after which an unanswered stop order is sent
	// again, and stopCheckInterval the time between two searches for such orders.
	stopRetryInterval = 500 * time.Millisecond
	stopCheckInterval = 50 * time.Millisecond
)

// Kernel makes all decisions for the pools of one owner.
type Kernel struct {
	Settings
	// Token fences orders: executors and the platform reject a token lower than one
	// they have seen, and each later owner has a higher one.
	Token int64
	// latestToken is the highest token that this owner may use. It grows with the store's
	// revision, so that the calls to a new incarnation of an executor fence those that were
	// meant for the previous one.
	latestToken int64
	// RunBase is lower than the number of every run that this owner starts.
	RunBase int

	now Now
	// leaseUntil is the time until which the lease proves the ownership.
	leaseUntil time.Duration
	// outageUntil is the time until which no other node can claim the pools because
	// no node reaches the store.
	outageUntil time.Duration
	config      *fleet.Configuration

	jobs map[string]*jobState
	// heldBytes is the memory that the jobs take.
	heldBytes int64
	executors map[string]*executor
	// executorOrder holds the executors in the order of their ids. executorsByPool and
	// executorsByRack divide them. largest is the largest capacity that any of them has had, per
	// resource, and largestNow the largest at present; they are zero after a change until
	// they are computed again.
	executorOrder       []*executor
	executorsByPool     map[string][]*executor
	executorsByRack     map[rackKey][]*executor
	largest, largestNow fleet.Vector
	// unnamedPools holds the entries of executors whose pool the configuration does not
	// name, by id.
	unnamedPools map[string]fleet.Executor
	// capacities caches the capacities of pools between two ticks.
	capacities map[capacityKey]capacity
	// vmOrder caches the names of the VMs in their order; it is nil after a change.
	vmOrder []string
	pools   map[string]*pool
	// teamUsage holds the resources that each team's runs take of its limit.
	teamUsage map[string]fleet.Vector
	// evacuated holds the data centres that are evacuated, that is out of service.
	evacuated  map[string]bool
	queueDepth map[string]int
	// teamLimits holds the last known limit of each team, also of those that the
	// configuration no longer names.
	teamLimits map[string]knownLimit
	// asides holds the places that are set aside for large tasks. isBarred is set if one of them
	// kept a task away since it was last cleared.
	asides   []*aside
	isBarred bool
	// shares holds how the teams divide the pools.
	shares teamShares

	// recovering is true while tasks are held back because an earlier owner may have
	// started them.
	recovering bool
	// unresolvedPools holds the pools whose tasks are held back after that, since executors
	// that are silent may have them.
	unresolvedPools []string
	// unprovedTasks holds the tasks whose runs were lost while the ownership was not
	// proved.
	unprovedTasks []*task
	// recoveredAt is when the recovery ended.
	recoveredAt     time.Duration
	claimedAt       time.Duration
	executorsListed bool
	waves           map[int]*wave
	vms             map[string]fleet.VM
	// vmsListedAt is when the list of VMs arrived and vmsReadAt when it was requested.
	// vmsRequestedAt is when a list was last requested.
	vmsListedAt, vmsReadAt, vmsRequestedAt time.Duration
	vmOrders                               map[string]vmOrder
	// openVMCalls counts the calls for each VM that have no answer yet.
	openVMCalls map[string]int
	// holdsUnplaced is true while an executor is unplaced.
	holdsUnplaced bool
	// orderRecordedAt holds when an order for a VM was last recorded or sent. inheritedOrders
	// holds until when no order may be sent for a VM for which an earlier owner has sent one.
	orderRecordedAt map[string]time.Duration
	inheritedOrders map[string]time.Duration
	// inheritsUnknownOrders is true if it could not be read which VMs these are.
	inheritsUnknownOrders bool
	// ordersListedAt is when the record of the recent orders was last made.
	ordersListedAt time.Duration
	// orderRefusedAt holds when an order for a VM was last refused.
	orderRefusedAt   map[string]time.Duration
	outbox           outbox
	cleanedUpAt      time.Duration
	deposed          bool
	effects          []Effect
	lendingPlannedAt time.Duration
	wavesAdvancedAt  time.Duration
	stopsCheckedAt   time.Duration
	poolsLoggedAt    time.Duration
	waitsLoggedAt    time.Duration
	// vmOrderBudget is how many orders for VMs may be sent now.
	vmOrderBudget   float64
	vmOrderBudgetAt time.Duration
	// lossesAt holds when executors were lost during the last lossWindow.
	lossesAt []time.Duration
	// lossesByRack holds those of executors with runs.
	lossesByRack map[rackKey][]*executorLoss
	// estimates holds what was learnt of run times; it was last recorded at estimatesStoredAt.
	estimates                            estimate.Book
	estimatesStoredAt, estimatesLoggedAt time.Duration
	// lendableVMs holds the VMs that are off and can be lent.
	lendableVMs []lending.VM
	// surplusCores holds by how many cores each pool exceeds its need, as last planned.
	surplusCores map[string]float64
	// refusals holds when jobs were refused, by job id.
	refusals map[string]refusal
	// advice holds the calls to the advice service.
	advice adviceCalls
}

// refusal tells when a job was first submitted, and when its submission was last refused.
type refusal struct {
	firstTry, refusedAt time.Duration
	// counted is set if the job is part of its pool's demand.
	counted bool
}

// New returns a kernel that owns its pools under token from now on.
func New(s Settings, now Now, token int64, runBase int) *Kernel {
	return &Kernel{
		Settings: s, Token: token, latestToken: token, RunBase: runBase,
		now: now, claimedAt: now.Monotonic, recovering: true,
		jobs: map[string]*jobState{}, executors: map[string]*executor{}, unnamedPools: map[string]fleet.Executor{},
		pools: map[string]*pool{}, teamUsage: map[string]fleet.Vector{},
		evacuated: map[string]bool{}, queueDepth: map[string]int{}, teamLimits: map[string]knownLimit{},
		waves: map[int]*wave{}, vms: map[string]fleet.VM{},
		vmOrders: map[string]vmOrder{}, openVMCalls: map[string]int{}, orderRecordedAt: map[string]time.Duration{}, inheritedOrders: map[string]time.Duration{}, orderRefusedAt: map[string]time.Duration{},
		config: &fleet.Configuration{}, capacities: map[capacityKey]capacity{}, refusals: map[string]refusal{}, surplusCores: map[string]float64{}, lossesByRack: map[rackKey][]*executorLoss{},
		outbox: newOutbox(),
	}
}

// Step handles an event and returns the effects that the host must carry out.
func (k *Kernel) Step(now Now, e Event) []Effect {
	if k.deposed {
		return nil
	}
	k.now = now
	k.effects = nil
	switch e := e.(type) {
	case Tick:
	case Configured:
		k.applyConfiguration(e.Configuration)
	case ExecutorsListed:
		k.replaceExecutors(e.Executors)
	case ExecutorsChanged:
		k.updateExecutors(e.Changed)
		k.removeExecutors(e.Removed)
	case DataCentresEvacuated:
		k.setEvacuated(e.DataCentres)
	case WavesUpdated:
		k.updateWaves(e.Waves)
	case VMsListed:
		k.updateVMs(e)
	case LeaseExtended:
		k.leaseUntil = max(k.leaseUntil, e.Until)
		k.resolveUnprovedTasks()
		return nil
	case OutageConfirmed:
		k.outageUntil = max(k.outageUntil, e.Until)
		k.resolveUnprovedTasks()
		return nil
	case Submitted:
		k.submitJob(e)
	case CancelRequested:
		k.cancelJob(e)
	case Started:
		k.handleStartAnswer(e)
	case Stopped:
		k.handleStopAnswer(e)
	case Renewed:
		k.handleRenewal(e)
	case EstimatesLoaded:
		k.loadEstimates(e.Estimates)
	case EndedJobsLoaded:
		k.addEndedJobs(e.Jobs)
	case Written:
		k.handleWritten(e)
	case VMOrdered:
		k.handleVMOrderAnswer(e)
	case AdviceReceived:
		k.handleAdvice(e)
	}
	if _, tick := e.(Tick); tick {
		k.processTick()
	}
	return k.effects
}

// processTick applies all decisions that follow from the events since the last
// tick.
func (k *Kernel) processTick() {
	clear(k.capacities)
	k.checkExecutors()
	k.finishRecovery()
	k.holdUnplaced()
	k.scheduleTasks()
	k.logWaits()
	k.logEstimates()
	k.lendVMs()
	k.advanceWaves()
	k.retryVMOrders()
	k.flushOutbox()
	k.sendRenewals()
	k.removeExpired()
}

// sortedExecutors returns the executors in the order of their ids. The slice is not
// changed when an executor is added or removed.
func (k *Kernel) sortedExecutors() []*executor { return k.executorOrder }

// insertInOrder adds an executor to the order of ids.
func (k *Kernel) insertInOrder(x *executor) {
	i, _ := slices.BinarySearchFunc(k.executorOrder, x.ID, func(o *executor, id string) int { return cmp.Compare(o.ID, id) })
	k.executorOrder = slices.Insert(slices.Clone(k.executorOrder), i, x)
}

// poolExecutors returns the executors of a pool in the order of their ids.
func (k *Kernel) poolExecutors(pool string) []*executor {
	if k.executorsByPool == nil {
		k.executorsByPool = map[string][]*executor{}
		for _, x := range k.sortedExecutors() {
			k.executorsByPool[x.Pool] = append(k.executorsByPool[x.Pool], x)
		}
	}
	return k.executorsByPool[pool]
}

// rackExecutors returns the executors of a rack in the order of their ids.
func (k *Kernel) rackExecutors(rack rackKey) []*executor {
	if k.executorsByRack == nil {
		k.executorsByRack = map[rackKey][]*executor{}
		for _, x := range k.sortedExecutors() {
			k.executorsByRack[x.rackKey()] = append(k.executorsByRack[x.rackKey()], x)
		}
	}
	return k.executorsByRack[rack]
}

// forgetExecutorIndexes discards what is cached of the list of executors.
func (k *Kernel) forgetExecutorIndexes() {
	k.executorsByPool, k.executorsByRack, k.largest, k.largestNow = nil, nil, fleet.Vector{}, fleet.Vector{}
	clear(k.capacities)
}

// sortedVMs returns the names of the VMs in their order.
func (k *Kernel) sortedVMs() []string {
	if k.vmOrder == nil {
		k.vmOrder = slices.Sorted(maps.Keys(k.vms))
	}
	return k.vmOrder
}

// emit adds an effect to the result of Step.
func (k *Kernel) emit(e Effect) { k.effects = append(k.effects, e) }

// log emits a log event with alternating keys and values.
func (k *Kernel) log(n event.Number, fields ...any) {
	k.emit(Log{Event: n, Fields: fields})
}

// depose stops the kernel because a later owner exists.
func (k *Kernel) depose(reason string) {
	k.deposed = true
	k.emit(Depose{Reason: reason})
}

// ensurePool returns the state of a pool and creates it if needed.
func (k *Kernel) ensurePool(name string) *pool {
	p := k.pools[name]
	if p == nil {
		p = &pool{name: name, openJobs: map[string]*jobState{}}
		k.pools[name] = p
	}
	return p
}

// applyConfiguration replaces the configuration unless a later version is in force.
func (k *Kernel) applyConfiguration(c *fleet.Configuration) {
	if c.Version < k.config.Version {
		return
	}
	k.config = c
	k.listNamedPools()
	for _, p := range k.pools {
		p.backlog, p.turns = backlog{}, backlog{}
	}
	k.updateTeamLimits()
	k.updateShares()
	k.updateQueues()
	for _, p := range k.pools {
		for _, j := range p.openJobs {
			k.addToBacklog(j, 1)
		}
	}
	clear(k.capacities)
}

// setEvacuated replaces the set of evacuated data centres.
func (k *Kernel) setEvacuated(dataCentres []string) {
	k.evacuated = map[string]bool{}
	for _, dc := range dataCentres {
		k.evacuated[dc] = true
	}
}

// Intervals of the clean-up.
const (
	cleanupInterval = 5 * time.Second
	// refusalRetention is how long a refusal is remembered: a retry with the same id counts
	// from the first submission, and no call that was sent before is accepted. Calls that
	// are still on their way are younger.
	refusalRetention = 15 * time.Second
)

// removeExpired removes old refusals, and the jobs that ended more than twice
// EndedJobRetention ago.
func (k *Kernel) removeExpired() {
	if k.now.Monotonic < k.cleanedUpAt+cleanupInterval {
		return
	}
	k.cleanedUpAt = k.now.Monotonic
	k.forgetLosses()
	for id, r := range k.refusals {
		if k.now.Monotonic > r.refusedAt+refusalRetention {
			delete(k.refusals, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(k.jobs)) {
		j := k.jobs[id]
		ago := time.Duration(k.now.UnixMs-j.endedMs) * time.Millisecond
		if !j.visibleState.IsFinal() || j.dirty || ago < 2*k.EndedJobRetention {
			continue
		}
		k.accountJob(j, 0)
		delete(k.jobs, id)
		k.outbox.removedJobs = append(k.outbox.removedJobs, RemovedJob{id, j.parts})
	}
}
