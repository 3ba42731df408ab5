package scheduler

import (
	"container/heap"
	"time"

	"jacinthwind/core"
)

// priorities is the number of request priorities.
const priorities = 2

// team is the kernel's state of one team in the pool.
type team struct {
	core.TeamLoad
	queues [priorities]taskList
	// running counts the attempts that may still be running.
	running int
	// orphanSlots is the number of slots in which unknown tasks of a failed
	// owner may still run. They count against the team's limit.
	orphanSlots int
	// limit is the team's limit over the whole fleet.
	limit int
	// unlimited marks the anonymous team, which has no limit.
	unlimited bool
	grant     limitGrant

	// meanRunSeconds is the moving average of the team's run times.
	meanRunSeconds float64
	// lastFailed records for each executor whether the team's latest task
	// failed there.
	lastFailed map[*executor]bool

	// readyIndex is the team's position in the ready heap of each priority, -1
	// if it is not in the heap.
	readyIndex [priorities]int
}

// queuedCount returns the number of queued requests.
func (t *team) queuedCount() int {
	return t.queues[core.Normal].length + t.queues[core.Urgent].length
}

// isBelowLimit reports whether the team may start one more task.
func (t *team) isBelowLimit() bool {
	if t.unlimited {
		return true
	}
	counted := t.running + t.orphanSlots
	return counted < t.grant.usableTasks() && counted < t.limit
}

// expectedRunSeconds returns the expected run time of a task.
func (t *team) expectedRunSeconds() float64 {
	if t.meanRunSeconds == 0 {
		return initialRunEstimateSeconds
	}
	return t.meanRunSeconds
}

// recordRunTime adds a run time to the moving average.
func (t *team) recordRunTime(d time.Duration) {
	if t.meanRunSeconds == 0 {
		t.meanRunSeconds = d.Seconds()
		return
	}
	t.meanRunSeconds += (d.Seconds() - t.meanRunSeconds) * runEstimateGain
}

// readyHeap orders the teams that have a queued request of one priority and are
// below their limit.
type readyHeap struct {
	items    []*team
	order    core.TeamOrder
	priority core.Priority
}

func (h *readyHeap) Len() int { return len(h.items) }

func (h *readyHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	a.HeadArrival = a.queues[h.priority].head.arrivedAt
	b.HeadArrival = b.queues[h.priority].head.arrivedAt
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

// update adds t to the heap, moves it to its new position or removes it.
func (h *readyHeap) update(t *team) {
	i := t.readyIndex[h.priority]
	ready := t.queues[h.priority].length > 0 && t.isBelowLimit()
	switch {
	case ready && i < 0:
		heap.Push(h, t)
	case ready:
		heap.Fix(h, i)
	case i >= 0:
		h.removeAt(i)
	}
}

// removeAt removes the team at index i. Unlike heap.Remove it never compares
// that team, whose queue may be empty and which Less could not handle.
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
