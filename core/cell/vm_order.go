package cell

import (
	"maps"
	"slices"
	"time"

	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

// vmOrder is an order for a VM that may be under way.
type vmOrder struct {
	wave int
	pool string
	sent time.Duration
	// recorded says that the store names the VM, so that the order may be sent.
	recorded bool
	// answered says that the order is known to be carried out.
	answered bool
	// executor is the VM's executor when the order was sent.
	executor string
}

// listVMs takes the platform's list of VMs.
func (k *Kernel) listVMs(e VMsListed) {
	vms := e.VMs
	k.vmsAt = k.now.Mono
	k.vms = make(map[string]fleet.VM, len(vms))
	for _, x := range k.executors {
		x.vm = ""
		// An executor that joined or answered after the question may be missing
		// in the answer, which shows an earlier time.
		x.absent = len(vms) > 0 && x.knownSince+listLag < e.Asked && x.reachedAt+listLag < e.Asked
	}
	for _, vm := range vms {
		k.vms[vm.Name] = vm
		if x := k.executors[vm.Executor]; x != nil && vm.Executor != "" {
			x.vm = vm.Name
			x.absent = x.absent && vm.State != fleet.VMUp
		}
		k.settleVMOrder(vm)
	}
}

// doubtful reports whether the list of VMs would tell if an executor is alive.
func (k *Kernel) doubtful() bool {
	for _, x := range k.executors {
		if !x.absent && ((x.misses > 0 && len(x.runs) > 0) || (!x.fenced && k.recovering)) {
			return true
		}
	}
	return false
}

// settleVMOrder ends an order whose VM is back.
func (k *Kernel) settleVMOrder(vm fleet.VM) {
	o, ok := k.ordered[vm.Name]
	off := k.config.PoolIsSpare(vm.Pool)
	if !ok || !o.answered || vm.State != fleet.VMUp || (vm.Executor == "" && !off) {
		return
	}
	if o.pool != "" && vm.Pool != o.pool {
		return
	}
	if o.pool == "" && vm.Executor == o.executor && k.now.Mono < o.sent+k.Upkeep {
		return
	}
	delete(k.ordered, vm.Name)
	if x := k.executors[o.executor]; x != nil && vm.Executor == o.executor {
		x.cordoned = false
	}
}

// orderedAway reports whether an executor has ended by an order for its VM.
func (k *Kernel) orderedAway(x *executor) bool {
	o, ok := k.ordered[x.vm]
	return ok && o.answered && o.executor == x.ID && x.absent
}

// mayOrder reports whether a VM was not refused just now, and no earlier owner
// can have ordered for it lately.
func (k *Kernel) mayOrder(vm string) bool {
	if at, refused := k.refusedVMs[vm]; refused && k.now.Mono < at+vmOrderRetry {
		return false
	}
	return !k.orderedBefore[vm] || k.now.Mono >= k.claimedAt+k.OrderLease
}

// order sends an order for a VM once the store names the VM, so that the next
// owner knows which VMs it must leave alone for a while.
func (k *Kernel) order(vm string, o vmOrder) {
	if o.recorded {
		k.ordered[vm] = o
		k.sendOrder(vm, o)
		return
	}
	k.ordered[vm] = o
	k.recent[vm] = k.now.Mono
	record := OrdersRecord{}
	for _, name := range slices.Sorted(maps.Keys(k.recent)) {
		if k.now.Mono > k.recent[name]+k.OrderLease {
			delete(k.recent, name)
			continue
		}
		record.VMs = append(record.VMs, name)
	}
	k.out.records["orders"] = Record{VMOrders, "recent", record}
	k.out.orders = append(k.out.orders, vm)
}

// sendOrder sends an order, unless the proof of the ownership has ended.
func (k *Kernel) sendOrder(vm string, o vmOrder) {
	if k.now.Mono > k.until {
		k.endVMOrder(vm, k.executors[o.executor])
		return
	}
	o.recorded, o.sent = true, k.now.Mono
	k.ordered[vm] = o
	if o.pool != "" {
		k.emit(MoveVM{VM: vm, Pool: o.pool, Token: k.Token})
		return
	}
	k.emit(MaintainVM{VM: vm, Wave: o.wave, Token: k.Token})
}

// retryOrders repeats orders that got no answer; one that is done is answered
// as such.
func (k *Kernel) retryOrders() {
	for _, name := range slices.Sorted(maps.Keys(k.ordered)) {
		o := k.ordered[name]
		if o.recorded && !o.answered && k.now.Mono >= o.sent+vmOrderRetry && k.now.Mono <= k.until {
			k.sendOrder(name, o)
		}
	}
}

// OrdersRecord is what is stored of the orders for VMs.
type OrdersRecord struct {
	// VMs lists those that were ordered for lately.
	VMs []string `json:"vms"`
}

// LoadOrders takes the orders of earlier owners before the first event.
func (k *Kernel) LoadOrders(r OrdersRecord) {
	for _, vm := range r.VMs {
		k.orderedBefore[vm] = true
		// They stay named until they are surely old.
		k.recent[vm] = k.now.Mono
	}
}

// vmOrdered takes the answer to an order for a VM.
func (k *Kernel) vmOrdered(e VMOrdered) {
	o, ok := k.ordered[e.VM]
	if !ok {
		return
	}
	k.log(event.VMOrderAnswered, "vm", e.VM, "outcome", e.Outcome)
	w := k.waves[o.wave]
	x := k.executors[o.executor]
	switch e.Outcome {
	case fleet.VMOrderDone:
		o.answered = true
		k.ordered[e.VM] = o
		if x != nil {
			// The answer may mean that the order was carried out before: only a list
			// of VMs, or silence, tells that the executor has ended.
			x.misses = max(x.misses, suspectMisses)
		}
		if w != nil {
			k.finishVM(w, e.VM)
		}
	case fleet.VMOrderNotOfWave, fleet.VMOrderInvalid:
		k.endVMOrder(e.VM, x)
		if w != nil {
			k.finishVM(w, e.VM)
		}
	case fleet.VMOrderBusy, fleet.VMOrderRefused:
		k.endVMOrder(e.VM, x)
		k.refusedVMs[e.VM] = k.now.Mono
	case fleet.VMOrderFenced:
		k.depose("an order for VM " + e.VM + " was fenced")
	}
}

// endVMOrder forgets an order that did nothing.
func (k *Kernel) endVMOrder(vm string, x *executor) {
	delete(k.ordered, vm)
	if x != nil {
		x.cordoned = false
	}
}
