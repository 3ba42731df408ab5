package lending

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Planning parameters.
const (
	// packingFactor is the fraction of a VM's processors that tasks of mixed sizes
	// can fill.
	packingFactor = 0.85
	// parkIdleTime is how long a VM must be idle before it is parked. A move costs
	// as much as about 1.1 s in a pool, and bursts are some seconds apart.
	parkIdleTime = 800 * time.Millisecond
)

// VM is an idle VM that may be moved to another pool.
type VM struct {
	Name string
	// Idle is the time for which it has had no work.
	Idle time.Duration
	// Cores is its number of processor cores.
	Cores float64
	// Labels name its kind and rack.
	Labels []string
}

// Want is the demand of a pool for VMs with a label.
type Want struct {
	Label string
	// Cores is the number of cores that the work needs, and Have the number that
	// the pool has on VMs with the label.
	Cores, Have float64
	// Required means that only VMs with the label can do the work; otherwise the
	// work takes longer on other VMs.
	Required bool
}

// Pool describes the VMs of a pool and what its work needs.
type Pool struct {
	Name  string
	Spare bool
	// VMs is the number of VMs that serve the pool or are moving to it, and Room
	// is the number of their cores.
	VMs  int
	Room float64
	// Idle lists the VMs that may be moved to another pool.
	Idle []VM
	// Cores is the number of cores that the pool's work needs now or soon.
	Cores float64
	// Floor is the smallest number of VMs that the pool keeps.
	Floor int
	// Wants lists the demand for VMs with required or preferred labels.
	Wants []Want
}

// Move assigns a VM to another pool.
type Move struct {
	VM   string
	Pool string
}

// Target returns how many VMs of coresPerVM cores the pool should have.
func (p *Pool) Target(coresPerVM float64) int {
	if p.Spare || coresPerVM <= 0 {
		return 0
	}
	return max(p.Floor, int(math.Ceil(p.Cores/(coresPerVM*packingFactor))))
}

// Describe returns the pool's wants, each in the form LABEL=NEEDED/PRESENT in
// cores.
func (p *Pool) Describe() string {
	var b strings.Builder
	for _, w := range p.Wants {
		fmt.Fprintf(&b, "%s=%.0f/%.0f ", w.Label, w.Cores, w.Have)
	}
	return strings.TrimSpace(b.String())
}

// computeWorstShortfall returns the largest relative shortfall of the pool in
// cores, required labels and number of VMs, zero if it has enough of each.
func (p *Pool) computeWorstShortfall() float64 {
	if p.Spare {
		return 0
	}
	worst := computeShortfall(p.Cores/packingFactor, p.Room)
	for _, w := range p.Wants {
		if w.Required {
			worst = max(worst, computeShortfall(w.Cores/packingFactor, w.Have))
		}
	}
	return max(worst, computeShortfall(float64(p.Floor), float64(p.VMs)))
}

// computeShortfall returns the fraction of need that have does not cover.
func computeShortfall(need, have float64) float64 {
	if need <= have {
		return 0
	}
	return (need - have) / need
}

// findScarcestLabel returns the label with the largest relative shortfall, where
// required labels count double, and whether only VMs with that label help since
// the pool has enough cores and VMs otherwise.
func (p *Pool) findScarcestLabel() (label string, onlyLabelled bool) {
	best := 0.0
	for _, w := range p.Wants {
		missing := computeShortfall(w.Cores/packingFactor, w.Have)
		if w.Required {
			missing *= 2
		}
		if missing > best {
			best, label = missing, w.Label
		}
	}
	enough := p.Room >= p.Cores/packingFactor && p.VMs >= p.Floor
	return label, enough
}

// Add adds a VM to the counts of the pool.
func (p *Pool) Add(vm VM) { p.adjustCounts(vm, 1) }

// Remove removes a VM from the counts of the pool.
func (p *Pool) Remove(vm VM) { p.adjustCounts(vm, -1) }

func (p *Pool) adjustCounts(vm VM, n int) {
	p.VMs += n
	p.Room += float64(n) * vm.Cores
	for i := range p.Wants {
		if slices.Contains(vm.Labels, p.Wants[i].Label) {
			p.Wants[i].Have += float64(n) * vm.Cores
		}
	}
}

// canSpare reports whether the pool still has what it needs without the VM.
func (p *Pool) canSpare(vm VM) bool {
	if p.Spare {
		return true
	}
	if p.VMs <= p.Floor || p.Room-vm.Cores < p.Cores/packingFactor {
		return false
	}
	for _, w := range p.Wants {
		if w.Required && slices.Contains(vm.Labels, w.Label) && w.Have-vm.Cores < w.Cores/packingFactor {
			return false
		}
	}
	return true
}

// Plan returns the moves of idle VMs that reduce the shortfalls of the pools. The
// pool with the largest shortfall gets a VM first, with its scarcest label if
// there is one. VMs that nobody needs and that stay idle are parked in the spare
// pool.
func Plan(pools []Pool) []Move {
	pools = slices.Clone(pools)
	for i := range pools {
		pools[i].Wants = slices.Clone(pools[i].Wants)
	}
	var moves []Move
	donors := listDonors(pools)
	excluded := map[*Pool]bool{}
	for len(donors) > 0 {
		pool := findNeediest(pools, excluded)
		if pool == nil {
			break
		}
		label, onlyLabelled := pool.findScarcestLabel()
		i := slices.IndexFunc(donors, func(d donor) bool { return label != "" && slices.Contains(d.vm.Labels, label) })
		if i < 0 && onlyLabelled {
			excluded[pool] = true
			continue
		}
		i = max(i, 0)
		d := donors[i]
		donors = slices.Delete(donors, i, i+1)
		moves = append(moves, Move{d.vm.Name, pool.Name})
		pool.Add(d.vm)
	}
	spare := slices.IndexFunc(pools, func(p Pool) bool { return p.Spare })
	if spare < 0 {
		return moves
	}
	for _, d := range donors {
		if !d.pool.Spare && d.vm.Idle >= parkIdleTime {
			moves = append(moves, Move{d.vm.Name, pools[spare].Name})
		}
	}
	return moves
}

// donor is an idle VM that its pool can spare.
type donor struct {
	vm   VM
	pool *Pool
}

// listDonors returns the idle VMs that their pools can spare and removes them
// from the pools' counts. VMs of the spare pool, which cost nothing there, come
// last; otherwise the longest idle come first.
func listDonors(pools []Pool) []donor {
	var all []donor
	for i := range pools {
		p := &pools[i]
		idle := slices.Clone(p.Idle)
		slices.SortStableFunc(idle, func(a, b VM) int { return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.Name, b.Name)) })
		for _, vm := range idle {
			if p.canSpare(vm) {
				all = append(all, donor{vm, p})
				p.Remove(vm)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b donor) int {
		if a.pool.Spare != b.pool.Spare {
			if b.pool.Spare {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.vm.Idle, a.vm.Idle)
	})
	return all
}

// findNeediest returns the pool with the largest shortfall that is not excluded,
// or nil if no pool lacks anything.
func findNeediest(pools []Pool, excluded map[*Pool]bool) *Pool {
	var neediest *Pool
	var worst float64
	for i := range pools {
		p := &pools[i]
		if shortfall := p.computeWorstShortfall(); shortfall > worst && !excluded[p] {
			neediest, worst = p, shortfall
		}
	}
	return neediest
}
