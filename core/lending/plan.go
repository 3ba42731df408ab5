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
	// packingFraction is the fraction of a VM's processors that tasks of mixed sizes
	// can use, for the VMs that a pool needs. The admission has its own, in package
	// cell.
	packingFraction = 0.85
	// parkIdleTime is how long a VM must be idle before it is parked. A move costs
	// as much as about 1.1 s in a pool, and bursts are some seconds apart.
	parkIdleTime = 800 * time.Millisecond
)

// VM is a VM of a pool.
type VM struct {
	Name string
	// IdleTime is the time without work, zero if it has work.
	IdleTime time.Duration
	// Cores is its number of processor cores.
	Cores float64
	// Labels name its kind and rack.
	Labels []string
}

// LabelDemand is the demand of a pool for VMs with a label.
type LabelDemand struct {
	Label string
	// NeededCores is the number of cores that the work needs, and PresentCores the
	// number that the pool has on VMs with the label.
	NeededCores, PresentCores float64
	// Required means that only VMs with the label can do the work; otherwise the
	// work takes longer on other VMs.
	Required bool
}

// Pool describes the VMs of a pool and what its work needs.
type Pool struct {
	Name  string
	Spare bool
	// VMs is the number of VMs that serve the pool or are moving to it, and
	// TotalCores is the number of their cores.
	VMs        int
	TotalCores float64
	// IdleVMs lists the VMs that may be moved to another pool.
	IdleVMs []VM
	// NeededCores is the number of cores that the pool's work needs now or soon.
	NeededCores float64
	// MinVMs is the smallest number of VMs that the pool keeps.
	MinVMs int
	// LabelDemands lists the demand for VMs with required or preferred labels.
	LabelDemands []LabelDemand
}

// Move assigns a VM to another pool.
type Move struct {
	VM   string
	Pool string
}

// TargetVMs returns how many VMs of coresPerVM cores the pool should have.
func (p *Pool) TargetVMs(coresPerVM float64) int {
	if p.Spare || coresPerVM <= 0 {
		return 0
	}
	return max(p.MinVMs, int(math.Ceil(p.NeededCores/(coresPerVM*packingFraction))))
}

// SurplusCores returns by how many cores the pool exceeds what it needs, negative if it
// has too few.
func (p *Pool) SurplusCores() float64 { return p.TotalCores - p.NeededCores/packingFraction }

// DescribeDemand returns the pool's demand for labels, each in the form
// LABEL=NEEDED/PRESENT in cores.
func (p *Pool) DescribeDemand() string {
	var b strings.Builder
	for _, d := range p.LabelDemands {
		fmt.Fprintf(&b, "%s=%.0f/%.0f ", d.Label, d.NeededCores, d.PresentCores)
	}
	return strings.TrimSpace(b.String())
}

// computeWorstShortfall returns the largest relative shortfall of the pool in
// cores, required labels and number of VMs, zero if it has enough of each.
func (p *Pool) computeWorstShortfall() float64 {
	if p.Spare {
		return 0
	}
	worst := computeShortfall(p.NeededCores/packingFraction, p.TotalCores)
	for _, d := range p.LabelDemands {
		if d.Required {
			worst = max(worst, computeShortfall(d.NeededCores/packingFraction, d.PresentCores))
		}
	}
	return max(worst, computeShortfall(float64(p.MinVMs), float64(p.VMs)))
}

// computeShortfall returns the fraction of needed that present does not cover.
func computeShortfall(needed, present float64) float64 {
	if needed <= present {
		return 0
	}
	return (needed - present) / needed
}

// findScarcestLabel returns the label with the largest relative shortfall, a required
// label if one is short, and whether only VMs with that label help since the pool has
// enough cores and VMs otherwise.
func (p *Pool) findScarcestLabel() (label string, onlyLabelled bool) {
	best, isRequired := 0.0, false
	for _, d := range p.LabelDemands {
		missing := computeShortfall(d.NeededCores/packingFraction, d.PresentCores)
		if missing <= 0 || (isRequired && !d.Required) {
			continue
		}
		if missing > best || (d.Required && !isRequired) {
			best, label, isRequired = missing, d.Label, d.Required
		}
	}
	enough := p.TotalCores >= p.NeededCores/packingFraction && p.VMs >= p.MinVMs
	return label, enough
}

// Add adds a VM to the counts of the pool.
func (p *Pool) Add(vm VM) { p.adjustCounts(vm, 1) }

// Remove removes a VM from the counts of the pool.
func (p *Pool) Remove(vm VM) { p.adjustCounts(vm, -1) }

func (p *Pool) adjustCounts(vm VM, n int) {
	p.VMs += n
	p.TotalCores += float64(n) * vm.Cores
	for i := range p.LabelDemands {
		if slices.Contains(vm.Labels, p.LabelDemands[i].Label) {
			p.LabelDemands[i].PresentCores += float64(n) * vm.Cores
		}
	}
}

// canSpare reports whether the pool still has what it needs without the VM.
func (p *Pool) canSpare(vm VM) bool {
	if p.Spare {
		return true
	}
	if p.VMs <= p.MinVMs || p.TotalCores-vm.Cores < p.NeededCores/packingFraction {
		return false
	}
	for _, d := range p.LabelDemands {
		if d.Required && slices.Contains(vm.Labels, d.Label) && d.PresentCores-vm.Cores < d.NeededCores/packingFraction {
			return false
		}
	}
	return true
}

// PlanMoves returns the moves of idle VMs that reduce the shortfalls of the pools.
// The pool with the largest shortfall gets a VM first, with its scarcest label if
// there is one. VMs that nobody needs and that stay idle are parked in the spare
// pool.
func PlanMoves(pools []Pool) []Move {
	pools = slices.Clone(pools)
	for i := range pools {
		pools[i].LabelDemands = slices.Clone(pools[i].LabelDemands)
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
		if !d.pool.Spare && d.vm.IdleTime >= parkIdleTime {
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
		idle := slices.Clone(p.IdleVMs)
		slices.SortStableFunc(idle, func(a, b VM) int { return cmp.Or(cmp.Compare(b.IdleTime, a.IdleTime), cmp.Compare(a.Name, b.Name)) })
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
		return cmp.Compare(b.vm.IdleTime, a.vm.IdleTime)
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
