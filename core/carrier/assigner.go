package carrier

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of the assignment of executors to nodes.
const (
	// coresPerExecutor is the CPU time that the calls to one executor take, in cores.
	coresPerExecutor = 0.0009
	// carrierShare is the share of a node's CPU time that carried calls may take, so
	// that the node still serves its callers when their number doubles.
	carrierShare = 0.15
	// minCarriers is the number of nodes of a data centre that share its executors, so
	// that the loss of one leaves another.
	minCarriers = 2
	// maxEchoAge is how old the last message may be that a node has read from the
	// owner. Older means that the node or the connection is slow, frozen or gone.
	maxEchoAge = 700 * time.Millisecond
	// suspicionDuration is how long a node that was slow or silent carries no calls.
	suspicionDuration = 3 * time.Second
	// maxCheckGap is the longest time between two checks on a VM that runs. After a
	// longer one the owner was suspended, and its nodes could not answer it.
	maxCheckGap = 300 * time.Millisecond
	// overloadFactor times its capacity is the number of executors above which a node
	// passes some on to others that have joined since.
	overloadFactor = 2
)

// Node describes a node that may carry calls.
type Node struct {
	Name       string
	DataCentre string
	// Cores is the CPU time that the node may use, in cores.
	Cores float64
}

// linkedNode is a node with a connection to the owner.
type linkedNode struct {
	Node
	// carried is the number of executors that the node is assigned.
	carried int
	// seenAt is the time of the last owner's message that the node has read.
	seenAt         time.Duration
	suspectedUntil time.Duration
}

// Assigner assigns executors to the nodes that are connected to the owner. Its zero
// value assigns all executors to the owner itself.
type Assigner struct {
	// OwnerCores is the CPU time that the owner's VM may use, in cores. While it
	// suffices for all executors, the owner calls them itself.
	OwnerCores float64

	now       time.Duration
	nodes     map[string]*linkedNode
	executors map[string]string
	// carriers holds the nodes that share the executors of each data centre; it is
	// computed again after a change of nodes or executors.
	carriers  map[string][]*linkedNode
	assigned  map[string]*linkedNode
	checkedAt time.Duration
}

// Join adds a node that has connected to the owner, or replaces its earlier
// connection.
func (a *Assigner) Join(now time.Duration, n Node) {
	if a.nodes == nil {
		a.nodes = map[string]*linkedNode{}
	}
	a.Leave(now, n.Name)
	a.nodes[n.Name] = &linkedNode{Node: n, seenAt: now}
	a.carriers = nil
}

// Leave removes a node whose connection has ended.
func (a *Assigner) Leave(now time.Duration, name string) {
	a.now = now
	n := a.nodes[name]
	if n == nil {
		return
	}
	delete(a.nodes, name)
	a.release(n)
}

// release takes all executors from a node.
func (a *Assigner) release(n *linkedNode) {
	maps.DeleteFunc(a.assigned, func(_ string, by *linkedNode) bool { return by == n })
	n.carried = 0
	a.carriers = nil
}

// SetExecutors replaces the executors and their data centres by name.
func (a *Assigner) SetExecutors(dataCentres map[string]string) {
	for id := range a.assigned {
		if dc, ok := dataCentres[id]; !ok || dc != a.executors[id] {
			a.unassign(id)
		}
	}
	a.executors = dataCentres
	a.carriers = nil
}

// UpdateExecutors adds or updates some executors with their data centres, and then
// removes others.
func (a *Assigner) UpdateExecutors(changed map[string]string, removed []string) {
	if a.executors == nil {
		a.executors = map[string]string{}
	}
	for id, dc := range changed {
		if known, ok := a.executors[id]; ok && known == dc {
			continue
		}
		a.unassign(id)
		a.executors[id] = dc
		a.carriers = nil
	}
	for _, id := range removed {
		a.unassign(id)
		delete(a.executors, id)
		a.carriers = nil
	}
}

// unassign takes an executor from its node.
func (a *Assigner) unassign(id string) {
	if n := a.assigned[id]; n != nil {
		n.carried--
		delete(a.assigned, id)
	}
}

// Echo records that a node has read the owner's message of the given time.
func (a *Assigner) Echo(now time.Duration, name string, sent time.Duration) {
	a.now = now
	if n := a.nodes[name]; n != nil {
		n.seenAt = max(n.seenAt, sent)
	}
}

// Check takes the executors from nodes that have read nothing recent from the owner,
// and returns the names of the nodes that lost them. If most carriers are late, the
// cause is on the owner's side: they keep their executors, and ownerSlow is true.
func (a *Assigner) Check(now time.Duration) (suspected []string, ownerSlow bool) {
	a.now = now
	gap := now - a.checkedAt
	a.checkedAt = now
	var late []*linkedNode
	carriers := 0
	for _, name := range slices.Sorted(maps.Keys(a.nodes)) {
		n := a.nodes[name]
		if n.carried == 0 {
			// Between nodes that carry nothing and the owner messages are rare.
			continue
		}
		carriers++
		if gap > maxCheckGap {
			n.seenAt = now
		}
		if now > n.seenAt+maxEchoAge {
			late = append(late, n)
		}
	}
	if carriers > 1 && 2*len(late) > carriers {
		return nil, true
	}
	for _, n := range late {
		suspected = append(suspected, n.Name)
		n.suspectedUntil = now + suspicionDuration
		a.release(n)
	}
	return suspected, false
}

// Carried returns the number of executors that are assigned to a node.
func (a *Assigner) Carried(name string) int {
	if n := a.nodes[name]; n != nil {
		return n.carried
	}
	return 0
}

// CarrierOf returns the node that carries the calls to an executor, empty for the
// owner itself. An executor stays with its node while that node is fit.
func (a *Assigner) CarrierOf(now time.Duration, executor string) string {
	a.now = now
	if len(a.executors) <= capacity(a.OwnerCores) {
		return ""
	}
	present := a.assigned[executor]
	if present != nil && present.carried <= overloadFactor*max(capacity(present.Cores), 1) {
		return present.Name
	}
	n := a.leastLoaded(a.executors[executor])
	if n == nil {
		return ""
	}
	if present != nil {
		if n == present || overloadFactor*n.load() > present.load() {
			return present.Name
		}
		present.carried--
	}
	if a.assigned == nil {
		a.assigned = map[string]*linkedNode{}
	}
	a.assigned[executor] = n
	if n.carried == 0 {
		n.seenAt = max(n.seenAt, now)
	}
	n.carried++
	return n.Name
}

// capacity returns how many executors a node with the given cores can carry.
func capacity(cores float64) int { return int(cores * carrierShare / coresPerExecutor) }

// leastLoaded returns the carrier of a data centre with the most room, or of any
// data centre if it has none, or nil.
func (a *Assigner) leastLoaded(dataCentre string) *linkedNode {
	if a.carriers == nil {
		a.carriers = map[string][]*linkedNode{}
	}
	group, ok := a.carriers[dataCentre]
	if !ok {
		if group = a.chooseCarriers(dataCentre); len(group) == 0 {
			group = a.chooseCarriers("")
		}
		a.carriers[dataCentre] = group
	}
	var best *linkedNode
	for _, n := range group {
		if a.now >= n.suspectedUntil && (best == nil || n.load() < best.load()) {
			best = n
		}
	}
	return best
}

// load returns the number of carried executors in relation to the node's capacity.
func (n *linkedNode) load() float64 { return float64(n.carried+1) / max(n.Cores, 0.01) }

// chooseCarriers returns the nodes that share the executors of a data centre, all
// data centres if it is empty: as few as suffice, the largest first.
func (a *Assigner) chooseCarriers(dataCentre string) []*linkedNode {
	var fit []*linkedNode
	for _, n := range a.nodes {
		if (dataCentre == "" || n.DataCentre == dataCentre) && a.now >= n.suspectedUntil {
			fit = append(fit, n)
		}
	}
	slices.SortFunc(fit, func(x, y *linkedNode) int {
		return cmp.Or(cmp.Compare(y.Cores, x.Cores), cmp.Compare(x.Name, y.Name))
	})
	needed := 0
	for _, dc := range a.executors {
		if dataCentre == "" || dc == dataCentre {
			needed++
		}
	}
	for i, n := range fit {
		if needed <= 0 && i >= minCarriers {
			return fit[:i]
		}
		needed -= max(capacity(n.Cores), 1)
	}
	return fit
}
