package lending

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Planning constants.
const (
	// packing is which part of a VM's processors tasks of mixed sizes can fill.
	packing = 0.85
	// parkAfter is how long a VM has to be idle before it is parked; a move costs
	// as much as about 1.1 s in a pool, and turns are some seconds apart.
	parkAfter = 800 * time.Millisecond
)

// VM is a VM without work that may be moved.
type VM struct {
	Name string
	// Idle is for how long it has had no work.
	Idle time.Duration
}

// Pool is what is known of a pool.
type Pool struct {
	Name  string
	Spare bool
	// VMs counts those that work for the pool or are on their way to it.
	VMs int
	// Idle lists those that may be taken.
	Idle []VM
	// Cores is what the pool's work needs now or soon.
	Cores float64
	// Floor is how many VMs the pool keeps in any case.
	Floor int
}

// Move sends a VM to a pool.
type Move struct {
	VM   string
	Pool string
}

// Target returns how many VMs a pool should have.
func (p *Pool) Target(coresPerVM float64) int {
	if p.Spare || coresPerVM <= 0 {
		return 0
	}
	return max(p.Floor, int(math.Ceil(p.Cores/(coresPerVM*packing))))
}

// Plan returns the moves that bring the pools nearest to their targets; the pool
// that lacks the largest part of its target is served first. Only idle VMs move.
func Plan(pools []Pool, coresPerVM float64) []Move {
	var moves []Move
	donors := donors(pools, coresPerVM)
	for {
		needy := neediest(pools, coresPerVM)
		if needy == nil || len(donors) == 0 {
			break
		}
		d := donors[0]
		donors = donors[1:]
		moves = append(moves, Move{d.vm.Name, needy.Name})
		needy.VMs++
		d.pool.VMs--
	}
	spare := slices.IndexFunc(pools, func(p Pool) bool { return p.Spare })
	if spare < 0 {
		return moves
	}
	for _, d := range donors {
		if !d.pool.Spare && d.vm.Idle >= parkAfter {
			moves = append(moves, Move{d.vm.Name, pools[spare].Name})
		}
	}
	return moves
}

// donor is a VM that its pool can do without.
type donor struct {
	vm   VM
	pool *Pool
}

// donors returns the VMs above their pools' targets, those of paid pools and
// the longest idle first.
func donors(pools []Pool, coresPerVM float64) []donor {
	var all []donor
	for i := range pools {
		p := &pools[i]
		surplus := p.VMs - p.Target(coresPerVM)
		idle := slices.Clone(p.Idle)
		slices.SortStableFunc(idle, func(a, b VM) int { return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.Name, b.Name)) })
		for _, vm := range idle[:min(max(surplus, 0), len(idle))] {
			all = append(all, donor{vm, p})
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

// neediest returns the pool that lacks the largest part of its target, or nil.
func neediest(pools []Pool, coresPerVM float64) *Pool {
	var found *Pool
	var worst float64
	for i := range pools {
		p := &pools[i]
		target := p.Target(coresPerVM)
		if lack := target - p.VMs; lack > 0 {
			if share := float64(lack) / float64(target); share > worst {
				found, worst = p, share
			}
		}
	}
	return found
}
