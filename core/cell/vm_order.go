package cell

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

// ordersRefreshInterval is the shortest time between two records of how old the recent orders
// are, unless there are new ones.
const ordersRefreshInterval = 500 * time.Millisecond

// vmOrder is an order for a VM that may be in progress.
type vmOrder struct {
	wave   int
	pool   string
	sentAt time.Duration
	// recorded is true once the store names the VM; only then may the order be sent.
	recorded bool
	// confirmed is true once the platform has confirmed that the order was carried
	// out.
	confirmed bool
	// confirmedAt is when it first did.
	confirmedAt time.Duration
	// unansweredAt is when an attempt last got no answer; it may still be carried out.
	unansweredAt time.Duration
	// executor is the last known executor of the VM that the order ends. It is a later one
	// than at the time of the order if followed is true.
	executor string
	followed bool
}

// updateVMs replaces the list of VMs with the platform's.
func (k *Kernel) updateVMs(e VMsListed) {
	vms := e.VMs
	k.vmsListedAt, k.vmsReadAt = k.now.Monotonic, e.RequestedAt
	k.vms = make(map[string]fleet.VM, len(vms))
	k.vmOrder, k.largest, k.largestNow = nil, fleet.Vector{}, fleet.Vector{}
	clear(k.capacities)
	for _, x := range k.executors {
		x.vmName = ""
		// The list may be older than an executor that joined or answered after the call
		// was sent.
		x.absent = len(vms) > 0 && x.knownSince+vmListLag < e.RequestedAt && x.lastAnswerAt+vmListLag < e.RequestedAt
		x.absentSince = e.RequestedAt
	}
	for _, vm := range vms {
		k.vms[vm.Name] = vm
		if x := k.executors[vm.Executor]; x != nil && vm.Executor != "" {
			x.vmName, x.lastVM = vm.Name, vm.Name
			x.fullCapacity = x.fullCapacity.Max(vm.Capacity)
			x.absent = x.absent && vm.State != fleet.VMUp
			k.cordonForOrder(x, vm)
		}
		k.completeVMOrder(vm, e.RequestedAt)
	}
}

// cordonForOrder keeps new work off an executor of a VM that an order may still take away. It was
// not known yet when the VM was ordered away, or follows the one that was there.
func (k *Kernel) cordonForOrder(x *executor, vm fleet.VM) {
	o, ok := k.vmOrders[vm.Name]
	if !ok || o.confirmed || vm.State != fleet.VMUp || vm.Pool == o.pool {
		return
	}
	if o.executor != x.ID {
		o.followed = o.followed || o.executor != ""
		o.executor = x.ID
		k.vmOrders[vm.Name] = o
	}
	x.cordoned = true
}

// holdUnplaced keeps new work off the executors that no list of VMs has named yet while one of
// them may be on a VM that an order may still take away. The list is read while an order is in
// progress.
func (k *Kernel) holdUnplaced() {
	sites := k.sitesOfFollowers()
	if len(sites) == 0 && !k.holdsUnplaced {
		return
	}
	k.holdsUnplaced = false
	for _, x := range k.executors {
		after, ok := sites[site{x.Pool, x.DataCentre}]
		x.unplaced = ok && x.lastVM == "" && x.knownSince >= after
		k.holdsUnplaced = k.holdsUnplaced || x.unplaced
	}
}

// site is a pool in a data centre.
type site struct{ pool, dataCentre string }

// sitesOfFollowers returns since when an executor may have followed the last known one on a VM
// that an order may still take away, by where that VM is.
func (k *Kernel) sitesOfFollowers() map[site]time.Duration {
	followsAfter := map[site]time.Duration{}
	for name, o := range k.vmOrders {
		vm := k.vms[name]
		if !o.recorded || o.confirmed || vm.Pool == o.pool || k.config.IsSparePool(vm.Pool) {
			continue
		}
		var after time.Duration
		if x := k.executors[o.executor]; x != nil {
			if x.listed && x.misses == 0 {
				continue
			}
			after = x.aliveAt
		}
		at := site{vm.Pool, vm.DataCentre}
		if earliest, ok := followsAfter[at]; ok {
			after = min(after, earliest)
		}
		followsAfter[at] = after
	}
	return followsAfter
}

// needsVMList reports whether an executor is silent or not fenced yet, so that only
// the list of VMs can show whether it is alive.
func (k *Kernel) needsVMList() bool {
	for _, x := range k.executors {
		if x.misses > 0 && len(x.runs) > 0 && (!x.absent || k.needsLaterVMList(x)) {
			return true
		}
		if !x.absent && !x.fenced && (k.recovering || len(k.unresolvedPools) > 0) {
			return true
		}
	}
	return false
}

// completeVMOrder removes the order for a VM once the list of VMs, requested at the given time,
// shows that the VM is back.
func (k *Kernel) completeVMOrder(vm fleet.VM, requestedAt time.Duration) {
	o, ok := k.vmOrders[vm.Name]
	isSpare := k.config.IsSparePool(vm.Pool)
	if !ok || !o.confirmed || vm.State != fleet.VMUp || (vm.Executor == "" && !isSpare) {
		return
	}
	if o.pool != "" && vm.Pool != o.pool {
		return
	}
	// An executor that followed may have started after the maintenance.
	isBack := k.now.Monotonic >= o.sentAt+k.MaintenanceDuration || (o.followed && requestedAt > o.confirmedAt+vmListLag)
	if o.pool == "" && vm.Executor == o.executor && !isBack {
		return
	}
	delete(k.vmOrders, vm.Name)
	if x := k.executors[o.executor]; x != nil && vm.Executor == o.executor {
		x.cordoned = false
	}
}

// isDownByOrder reports whether an executor ended because of an order for its VM.
func (k *Kernel) isDownByOrder(x *executor) bool {
	o, ok := k.vmOrders[x.vmName]
	return ok && o.confirmed && o.executor == x.ID && x.absent
}

// canOrderVM reports whether an order for a VM was not refused just now, and no
// order of an earlier owner can be in progress.
func (k *Kernel) canOrderVM(vm string) bool {
	if at, refused := k.orderRefusedAt[vm]; refused && k.now.Monotonic < at+vmOrderRetryInterval {
		return false
	}
	if k.inheritsUnknownOrders && k.now.Monotonic < k.claimedAt+k.VMOrderLease {
		return false
	}
	return k.now.Monotonic >= k.inheritedOrders[vm]
}

// recordVMOrder records an order for a VM and lets it be sent once the record is
// stored. The record tells the next owner for which VMs it must not order until the
// lease of the order has expired. An order that is already recorded is sent at once.
func (k *Kernel) recordVMOrder(vm string, o vmOrder) {
	if o.recorded {
		k.vmOrders[vm] = o
		k.sendVMOrder(vm, o)
		return
	}
	k.vmOrders[vm] = o
	k.orderRecordedAt[vm] = k.now.Monotonic
	k.outbox.vmOrders = append(k.outbox.vmOrders, vm)
}

// listRecentOrders returns the record of the VMs for which orders were recorded within
// the lease of an order.
func (k *Kernel) listRecentOrders() Record {
	k.ordersListedAt = k.now.Monotonic
	record := VMOrdersList{}
	for _, name := range slices.Sorted(maps.Keys(k.orderRecordedAt)) {
		if k.now.Monotonic > k.orderRecordedAt[name]+k.VMOrderLease {
			delete(k.orderRecordedAt, name)
			continue
		}
		record.VMs = append(record.VMs, name)
		var age time.Duration
		if _, inProgress := k.vmOrders[name]; !inProgress {
			// It is not sent again without a record of that.
			age = k.now.Monotonic - k.orderRecordedAt[name]
		}
		record.AgesMs = append(record.AgesMs, age.Milliseconds())
	}
	return Record{Kind: VMOrdersRecord, Name: "recent", Value: record}
}

// refreshRecentOrders records how old the recent orders are, with a write that is made anyway:
// the next owner need not wait for those that are long done.
func (k *Kernel) refreshRecentOrders() {
	if len(k.orderRecordedAt) == 0 || k.now.Monotonic < k.ordersListedAt+ordersRefreshInterval {
		return
	}
	k.outbox.records["orders"] = k.listRecentOrders()
}

// sendVMOrder sends an order, or drops it if the lease no longer proves the
// ownership.
func (k *Kernel) sendVMOrder(vm string, o vmOrder) {
	if k.now.Monotonic > k.leaseUntil {
		k.dropVMOrder(vm, o)
		return
	}
	o.recorded, o.sentAt = true, k.now.Monotonic
	k.vmOrders[vm] = o
	k.openVMCalls[vm]++
	// The record may have waited for the store, and the order may be a repeated one.
	k.orderRecordedAt[vm] = k.now.Monotonic
	if o.pool != "" {
		k.emit(MoveVM{VM: vm, Pool: o.pool, Token: k.Token})
		return
	}
	k.emit(MaintainVM{VM: vm, Wave: o.wave, Token: k.Token})
}

// retryVMOrders repeats orders that got no answer; the platform confirms a repeated
// order that it has carried out.
func (k *Kernel) retryVMOrders() {
	for _, name := range slices.Sorted(maps.Keys(k.vmOrders)) {
		o := k.vmOrders[name]
		if o.recorded && !o.confirmed && k.now.Monotonic >= o.sentAt+vmOrderRetryInterval && k.now.Monotonic <= k.leaseUntil {
			k.sendVMOrder(name, o)
		}
	}
}

// VMOrdersList is the stored list of VMs with recent orders.
type VMOrdersList struct {
	// VMs lists the VMs for which orders were recently sent.
	VMs []string `json:"vms"`
	// AgesMs holds how many milliseconds before the list was written each order was last
	// sent. Builds that did not store it count as zero.
	AgesMs []int64 `json:"ages_ms,omitempty"`
}

// LoadVMOrders restores the orders of earlier owners; it must be called before the
// first event.
func (k *Kernel) LoadVMOrders(r VMOrdersList) {
	for i, vm := range r.VMs {
		var age time.Duration
		if i < len(r.AgesMs) {
			age = min(max(time.Duration(r.AgesMs[i])*time.Millisecond, 0), k.VMOrderLease)
		}
		// The list was written before the claim, so that the order is older than this. Orders
		// stay in the record until their lease has certainly expired.
		k.orderRecordedAt[vm] = k.claimedAt - age
		k.inheritedOrders[vm] = k.claimedAt - age + k.VMOrderLease
	}
}

// LoadUnreadableVMOrders takes every VM for one with an order of an earlier owner; it must
// be called before the first event.
func (k *Kernel) LoadUnreadableVMOrders() { k.inheritsUnknownOrders = true }

// handleVMOrderAnswer handles the platform's answer to an order for a VM.
func (k *Kernel) handleVMOrderAnswer(e VMOrdered) {
	if k.openVMCalls[e.VM]--; k.openVMCalls[e.VM] <= 0 {
		delete(k.openVMCalls, e.VM)
	}
	o, ok := k.vmOrders[e.VM]
	if !ok {
		return
	}
	k.log(event.VMOrderAnswered, "vm", e.VM, "outcome", e.Outcome)
	var w *wave
	if o.pool == "" {
		w = k.waves[o.wave]
	}
	x := k.executors[o.executor]
	switch e.Outcome {
	case fleet.VMOrderDone:
		if !o.confirmed {
			o.confirmed, o.confirmedAt = true, k.now.Monotonic
		}
		k.vmOrders[e.VM] = o
		if x != nil {
			// The platform also confirms an order that was carried out earlier, so only
			// the list of VMs or a silent executor shows that the executor has ended.
			k.markSilent(x, "")
			x.misses = max(x.misses, missThreshold)
		}
		if w != nil {
			k.markVMDone(w, e.VM)
		}
	case fleet.VMOrderNotOfWave, fleet.VMOrderInvalid:
		k.dropVMOrder(e.VM, o)
		if w != nil {
			k.markVMDone(w, e.VM)
		}
	case fleet.VMOrderUnknown:
		o.unansweredAt = k.now.Monotonic
		k.vmOrders[e.VM] = o
	case fleet.VMOrderBusy, fleet.VMOrderRefused:
		if o.unansweredAt != 0 && k.now.Monotonic < o.unansweredAt+k.VMOrderLease {
			// The refusal says nothing of the attempt without an answer, which would end
			// everything that starts on the VM. The order is repeated.
			return
		}
		if o.confirmed || k.openVMCalls[e.VM] > 0 {
			// Nor does it of another call, which was carried out or may still be.
			return
		}
		k.dropVMOrder(e.VM, o)
		k.orderRefusedAt[e.VM] = k.now.Monotonic
	case fleet.VMOrderFenced:
		k.depose("order for VM " + e.VM + " was fenced: the platform has seen a higher token")
	}
}

// dropVMOrder removes an order that had no effect.
func (k *Kernel) dropVMOrder(vm string, o vmOrder) {
	delete(k.vmOrders, vm)
	for _, x := range k.executors {
		if x.ID == o.executor || x.lastVM == vm {
			x.cordoned = false
		}
	}
}
