package scheduler

import (
	"container/heap"
	"time"

	"jacinthwind/core"
)

const priorities = 2

// team is the kernel's state of one team in the pool.
type team struct {
	core.TeamLoad
	waiting [priorities]taskList
	// running counts the attempts that are not proved ended.
	running int
	// doubt is the number of tasks that may run besides on executors that are
	// not proved after a change of owner.
	doubt int
	// limit is the team's upper limit over the fleet.
	limit int
	// unlimited marks the anonymous team, which has no limit ledger.
	unlimited bool
	escrow    escrow

	// meanRun is a moving mean of the team's run times in seconds.
	meanRun float64
	// failing holds for each executor whether the team's latest task failed there.
	failing map[*executor]bool

	readyIndex [priorities]int
}

func (t *team) waitingCount() int {
	return t.waiting[core.Normal].length + t.waiting[core.Urgent].length
}

// hasRoom reports whether a further task may start within the team's limit.
func (t *team) hasRoom() bool {
	if t.unlimited {
		return true
	}
	counted := t.running + t.doubt
	return counted < t.escrow.usable() && counted < t.limit
}

// estimate returns the expected run time of a task in seconds.
func (t *team) estimate() float64 {
	if t.meanRun == 0 {
		return initialRunEstimate
	}
	return t.meanRun
}

func (t *team) observeRun(d time.Duration) {
	if t.meanRun == 0 {
		t.meanRun = d.Seconds()
		return
	}
	t.meanRun += (d.Seconds() - t.meanRun) * runEstimateGain
}

// readyHeap orders the teams that have a waiting request of one priority and
// room for it.
type readyHeap struct {
	items    []*team
	order    core.Order
	priority core.Priority
}

func (h *readyHeap) Len() int { return len(h.items) }

func (h *readyHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	a.HeadArrival = a.waiting[h.priority].head.arrived
	b.HeadArrival = b.waiting[h.priority].head.arrived
	return h.order.Before(&a.TeamLoad, &b.TeamLoad)
}

func (h *readyHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].readyIndex[h.priority] = i
	h.items[j].readyIndex[h.priority] = j
}

// Push implements heap.Interface.
func (h *readyHeap) Push(x any) {
	t := x.(*team)
	t.readyIndex[h.priority] = len(h.items)
	h.items = append(h.items, t)
}

// Pop implements heap.Interface.
func (h *readyHeap) Pop() any {
	last := len(h.items) - 1
	t := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	t.readyIndex[h.priority] = -1
	return t
}

// update puts t into the heap, moves it or takes it out, as its state demands.
func (h *readyHeap) update(t *team) {
	i := t.readyIndex[h.priority]
	ready := t.waiting[h.priority].length > 0 && t.hasRoom()
	switch {
	case ready && i < 0:
		heap.Push(h, t)
	case ready:
		heap.Fix(h, i)
	case i >= 0:
		h.removeAt(i)
	}
}

// removeAt takes out an element whose list may be empty, which Less could not
// compare.
func (h *readyHeap) removeAt(i int) {
	last := len(h.items) - 1
	if i != last {
		h.Swap(i, last)
	}
	h.Pop()
	if i != last {
		heap.Fix(h, i)
	}
}
