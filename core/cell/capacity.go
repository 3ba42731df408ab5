package cell

import (
	"slices"
	"time"

	"jacinthwind/core/fleet"
)

// coreSecond is one core-second in thousandths of a core times milliseconds.
const coreSecond = 1e6

// capacity is what a pool can offer to work that ends, in cores.
type capacity struct {
	// largest holds the largest capacity that any executor of any pool has had, per
	// resource, and largestNow the largest at present. They are limited neither to the
	// pool nor to a label.
	largest, largestNow fleet.Vector
	// currentCores is what the pool's executors offer now; upcomingCores is what
	// moving or lendable VMs would add.
	currentCores, upcomingCores float64
}

// packingFraction is the fraction of a pool's processors that tasks of mixed sizes
// can use, for the waiting times that the admission estimates.
const packingFraction = 0.9

// estimateWait returns how long the given work occupies the pool if lent VMs join
// after lead.
func (c *capacity) estimateWait(work float64, lead time.Duration) time.Duration {
	work -= c.currentCores * overlapPerCore
	if work <= 0 {
		return 0
	}
	if soon := c.currentCores * packingFraction * lead.Seconds(); work > soon {
		return lead + time.Duration((work-soon)/((c.currentCores+c.upcomingCores)*packingFraction)*float64(time.Second))
	}
	return time.Duration(work / (c.currentCores * packingFraction) * float64(time.Second))
}

// overlapPerCore is the work in core-seconds per core that may be in progress
// without delaying a new task: half of a typical run.
const overlapPerCore = 0.3

// capacityKey names the capacity of a pool's executors with a label, or of all if the
// label is empty.
type capacityKey struct{ pool, label string }

// poolCapacity returns the capacity of a pool in cores; a label, if not empty, limits
// it to executors that have the label. It is computed once between two ticks.
func (k *Kernel) poolCapacity(pool, label string) capacity {
	key := capacityKey{pool, label}
	c, ok := k.capacities[key]
	if !ok {
		c = k.computeCapacity(pool, label)
		k.capacities[key] = c
	}
	return c
}

// largestCapacities returns the largest capacity that any executor has had and the
// largest at present, per resource.
func (k *Kernel) largestCapacities() (ever, now fleet.Vector) {
	if k.largest == (fleet.Vector{}) {
		for _, x := range k.executors {
			k.largest, k.largestNow = k.largest.Max(x.fullCapacity), k.largestNow.Max(x.Capacity)
		}
	}
	return k.largest, k.largestNow
}

func (k *Kernel) computeCapacity(pool, label string) capacity {
	var c capacity
	c.largest, c.largestNow = k.largestCapacities()
	for _, x := range k.poolExecutors(pool) {
		if !k.isUsable(x) || (label != "" && !x.HasLabel(label)) {
			continue
		}
		// A capacity that has shrunk may be less than what runs there.
		c.currentCores += float64(max(x.Capacity.CPU-x.serviceUsed.CPU, 0)) / 1000
	}
	for name, o := range k.vmOrders {
		if vm := k.vms[name]; o.pool == pool && (label == "" || slices.Contains(vm.Labels, label)) {
			c.upcomingCores += vmCores(vm)
		}
	}
	for _, vm := range k.lendableVMs {
		if label == "" || slices.Contains(vm.Labels, label) {
			c.upcomingCores += vm.Cores
		}
	}
	return c
}
