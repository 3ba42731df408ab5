package lending

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
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
	// Cores is what it gives.
	Cores float64
	// Labels name its kind and its rack.
	Labels []string
}

// Want is work that needs VMs with a label.
type Want struct {
	Label string
	// Cores is what the work needs, and Have what the pool has with the label.
	Cores, Have float64
	// Required says that no other VM can do the work; else it takes longer there.
	Required bool
}

// Pool is what is known of a pool.
type Pool struct {
	Name  string
	Spare bool
	// VMs counts those that work for the pool or are on their way to it, and Room
	// is what they give in cores.
	VMs  int
	Room float64
	// Idle lists those that may be taken.
	Idle []VM
	// Cores is what the pool's work needs now or soon.
	Cores float64
	// Floor is how many VMs the pool keeps in any case.
	Floor int
	// Wants lists the work that needs or prefers a label.
	Wants []Want
}

// Move sends a VM to a pool.
type Move struct {
	VM   string
	Pool string
}

// Target returns how many usual VMs a pool should have.
func (p *Pool) Target(coresPerVM float64) int {
	if p.Spare || coresPerVM <= 0 {
		return 0
	}
	return max(p.Floor, int(math.Ceil(p.Cores/(coresPerVM*packing))))
}

// Describe returns what the pool wants by labels, in cores of what it has.
func (p *Pool) Describe() string {
	var b strings.Builder
	for _, w := range p.Wants {
		fmt.Fprintf(&b, "%s=%.0f/%.0f ", w.Label, w.Cores, w.Have)
	}
	return strings.TrimSpace(b.String())
}

// lack returns the share of its VMs that a pool lacks, not above zero where it has
// enough.
func (p *Pool) lack() float64 {
	if p.Spare {
		return 0
	}
	worst := share(p.Cores/packing, p.Room)
	for _, w := range p.Wants {
		if w.Required {
			worst = max(worst, share(w.Cores/packing, w.Have))
		}
	}
	return max(worst, share(float64(p.Floor), float64(p.VMs)))
}

// share returns which share of a need is missing.
func share(need, have float64) float64 {
	if need <= have {
		return 0
	}
	return (need - have) / need
}

// lacking returns the label of which a pool lacks the largest share, a required
// one first, and whether only VMs with it help.
func (p *Pool) lacking() (label string, only bool) {
	best := 0.0
	for _, w := range p.Wants {
		missing := share(w.Cores/packing, w.Have)
		if w.Required {
			missing *= 2
		}
		if missing > best {
			best, label = missing, w.Label
		}
	}
	enough := p.Room >= p.Cores/packing && p.VMs >= p.Floor
	return label, enough
}

// Add counts a VM among those that the pool has.
func (p *Pool) Add(vm VM) { p.count(vm, 1) }

// Remove counts a VM no more.
func (p *Pool) Remove(vm VM) { p.count(vm, -1) }

func (p *Pool) count(vm VM, n int) {
	p.VMs += n
	p.Room += float64(n) * vm.Cores
	for i := range p.Wants {
		if slices.Contains(vm.Labels, p.Wants[i].Label) {
			p.Wants[i].Have += float64(n) * vm.Cores
		}
	}
}

// spares reports whether a pool can do without one of its VMs.
func (p *Pool) spares(vm VM) bool {
	if p.Spare {
		return true
	}
	if p.VMs <= p.Floor || p.Room-vm.Cores < p.Cores/packing {
		return false
	}
	for _, w := range p.Wants {
		if w.Required && slices.Contains(vm.Labels, w.Label) && w.Have-vm.Cores < w.Cores/packing {
			return false
		}
	}
	return true
}

// Plan returns the moves that bring the pools nearest to what they need; the pool
// that lacks the largest share is served first, with VMs of the labels that its
// work asks for. Only idle VMs move.
func Plan(pools []Pool) []Move {
	pools = slices.Clone(pools)
	for i := range pools {
		pools[i].Wants = slices.Clone(pools[i].Wants)
	}
	var moves []Move
	donors := donors(pools)
	helpless := map[*Pool]bool{}
	for len(donors) > 0 {
		needy := neediest(pools, helpless)
		if needy == nil {
			break
		}
		label, only := needy.lacking()
		i := slices.IndexFunc(donors, func(d donor) bool { return label != "" && slices.Contains(d.vm.Labels, label) })
		if i < 0 && only {
			helpless[needy] = true
			continue
		}
		i = max(i, 0)
		d := donors[i]
		donors = slices.Delete(donors, i, i+1)
		moves = append(moves, Move{d.vm.Name, needy.Name})
		needy.Add(d.vm)
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

// donors returns the VMs beyond what their pools need, those of paid pools and
// the longest idle first; they count for their pools no more.
func donors(pools []Pool) []donor {
	var all []donor
	for i := range pools {
		p := &pools[i]
		idle := slices.Clone(p.Idle)
		slices.SortStableFunc(idle, func(a, b VM) int { return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.Name, b.Name)) })
		for _, vm := range idle {
			if p.spares(vm) {
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

// neediest returns the pool that lacks the largest share of what it needs, or nil.
func neediest(pools []Pool, helpless map[*Pool]bool) *Pool {
	var found *Pool
	var worst float64
	for i := range pools {
		p := &pools[i]
		if lack := p.lack(); lack > worst && !helpless[p] {
			found, worst = p, lack
		}
	}
	return found
}
