package scheduler

import (
	"container/heap"
	"time"

	"jacinthwind/core"
)

// RequestKey identifies a request within a pool.
type RequestKey struct {
	Queue string
	Team  string
	ID    string
}

func keyOf(r *core.Request) RequestKey {
	return RequestKey{Queue: r.Queue, Team: r.Team, ID: r.ID}
}

type phase uint8

const (
	stateQueued phase = iota
	stateBackoff
	stateRunning
	stateSettled
)

// task is the kernel's record of a request, kept for some time after it settled.
type task struct {
	key   RequestKey
	req   *core.Request
	state phase
	team  *team

	arrived time.Time
	// prev and next link the tasks that wait in one list of a team.
	prev, next *task
	waiters    []WaiterID
	// attempts counts the attempts that were started.
	attempts int
	// unproved counts attempts that may have started and gave no whole answer.
	unproved  int
	current   *attempt
	lastTried *executor
	cancelled bool
	// keyRevision is the configuration under which the key was last checked.
	keyRevision int64
	// mayHaveRun means that an earlier copy of the request may have run under
	// a record that is gone.
	mayHaveRun bool

	result    core.Result
	settledAt time.Time
	// expireAt is when the settled record may be forgotten.
	expireAt time.Time

	deadline time.Time
	retryAt  time.Time
	// The indexes of the task in the kernel's heaps, -1 outside.
	deadlineIndex int
	retryIndex    int
}

// isAdopted reports whether the request itself stayed with the predecessor, so
// that the task cannot be sent from here.
func (t *task) isAdopted() bool {
	return t.req.Payload == nil
}

// taskList is a doubly linked list, so that a cancellation takes constant time.
type taskList struct {
	head, tail *task
	length     int
}

func (l *taskList) pushBack(t *task) {
	t.prev, t.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = t
	} else {
		l.head = t
	}
	l.tail = t
	l.length++
}

func (l *taskList) remove(t *task) {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		l.head = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		l.tail = t.prev
	}
	t.prev, t.next = nil, nil
	l.length--
}

// taskHeap orders tasks by a point in time.
type taskHeap struct {
	items []*task
	at    func(*task) time.Time
	index func(*task) *int
}

func (h *taskHeap) Len() int           { return len(h.items) }
func (h *taskHeap) Less(i, j int) bool { return h.at(h.items[i]).Before(h.at(h.items[j])) }

func (h *taskHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *taskHeap) Push(x any) {
	t := x.(*task)
	*h.index(t) = len(h.items)
	h.items = append(h.items, t)
}

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any {
	last := len(h.items) - 1
	t := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	*h.index(t) = -1
	return t
}

func (h *taskHeap) add(t *task) {
	heap.Push(h, t)
}

func (h *taskHeap) drop(t *task) {
	if i := *h.index(t); i >= 0 {
		heap.Remove(h, i)
	}
}

// due returns the earliest task whose time has come, nil where there is none.
func (h *taskHeap) due(now time.Time) *task {
	if len(h.items) == 0 || h.at(h.items[0]).After(now) {
		return nil
	}
	return h.items[0]
}

func newDeadlineHeap() *taskHeap {
	return &taskHeap{
		at:    func(t *task) time.Time { return t.deadline },
		index: func(t *task) *int { return &t.deadlineIndex },
	}
}

func newRetryHeap() *taskHeap {
	return &taskHeap{
		at:    func(t *task) time.Time { return t.retryAt },
		index: func(t *task) *int { return &t.retryIndex },
	}
}

// recordQueue holds settled tasks in the order in which they expire.
type recordQueue struct {
	items []*task
}

func (q *recordQueue) push(t *task) {
	q.items = append(q.items, t)
}

// pop returns the first task whose time has come, nil where there is none.
func (q *recordQueue) pop(now time.Time) *task {
	if len(q.items) == 0 || q.items[0].expireAt.After(now) {
		return nil
	}
	t := q.items[0]
	q.items[0] = nil
	q.items = q.items[1:]
	return t
}
