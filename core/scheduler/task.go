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

// requestKeyOf returns the key of r.
func requestKeyOf(r *core.Request) RequestKey {
	return RequestKey{Queue: r.Queue, Team: r.Team, ID: r.ID}
}

// taskState is the stage of a task between submission and settlement.
type taskState uint8

const (
	stateQueued taskState = iota
	stateBackoff
	stateRunning
	stateSettled
)

// task is the kernel's record of a request. It is kept for some time after the
// request settled.
type task struct {
	key   RequestKey
	req   *core.Request
	state taskState
	team  *team

	arrivedAt time.Time
	// prev and next link the tasks in one queue of a team.
	prev, next *task
	waiters    []WaiterID
	// attempts counts the attempts that were sent.
	attempts int
	// uncertainAttempts counts the attempts that may have started without
	// returning a complete answer.
	uncertainAttempts int
	current           *attempt
	lastExecutor      *executor
	cancelled         bool
	// keyCheckedRevision is the revision of the configuration against which the
	// key was last checked.
	keyCheckedRevision int64
	// mayHaveRun means that an earlier copy of the request may have run and its
	// record is gone.
	mayHaveRun bool

	result    core.Result
	settledAt time.Time
	// expireAt is when the settled record may be removed.
	expireAt time.Time

	deadline time.Time
	retryAt  time.Time
	// deadlineIndex and retryIndex are the positions of the task in the
	// kernel's heaps, -1 if it is not in them.
	deadlineIndex int
	retryIndex    int
}

// isRestored reports whether the task was handed over without its payload, so
// that this owner cannot send it.
func (t *task) isRestored() bool {
	return t.req.Payload == nil
}

// taskList is a doubly linked list of queued tasks. Removing a cancelled task
// takes constant time.
type taskList struct {
	head, tail *task
	length     int
}

// pushBack appends t to the list.
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

// remove removes t, which must be in the list.
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

// taskHeap is a min-heap of tasks ordered by the time that timeOf returns. It
// keeps each task's position in the task, so that any task can be removed.
type taskHeap struct {
	items   []*task
	timeOf  func(*task) time.Time
	indexOf func(*task) *int
}

func (h *taskHeap) Len() int           { return len(h.items) }
func (h *taskHeap) Less(i, j int) bool { return h.timeOf(h.items[i]).Before(h.timeOf(h.items[j])) }

func (h *taskHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.indexOf(h.items[i]) = i
	*h.indexOf(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *taskHeap) Push(x any) {
	t := x.(*task)
	*h.indexOf(t) = len(h.items)
	h.items = append(h.items, t)
}

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any {
	last := len(h.items) - 1
	t := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	*h.indexOf(t) = -1
	return t
}

// add adds t to the heap.
func (h *taskHeap) add(t *task) {
	heap.Push(h, t)
}

// remove removes t if it is in the heap.
func (h *taskHeap) remove(t *task) {
	if i := *h.indexOf(t); i >= 0 {
		heap.Remove(h, i)
	}
}

// nextDue returns the earliest task whose time has come, or nil.
func (h *taskHeap) nextDue(now time.Time) *task {
	if len(h.items) == 0 || h.timeOf(h.items[0]).After(now) {
		return nil
	}
	return h.items[0]
}

// newDeadlineHeap returns a heap of tasks ordered by deadline.
func newDeadlineHeap() *taskHeap {
	return &taskHeap{
		timeOf:  func(t *task) time.Time { return t.deadline },
		indexOf: func(t *task) *int { return &t.deadlineIndex },
	}
}

// newRetryHeap returns a heap of tasks ordered by the time of their retry.
func newRetryHeap() *taskHeap {
	return &taskHeap{
		timeOf:  func(t *task) time.Time { return t.retryAt },
		indexOf: func(t *task) *int { return &t.retryIndex },
	}
}

// recordQueue holds settled tasks in the order in which they expire.
type recordQueue struct {
	items []*task
}

// push appends t, which must not expire before the tasks in the queue.
func (q *recordQueue) push(t *task) {
	q.items = append(q.items, t)
}

// popExpired removes and returns the first expired task, or returns nil.
func (q *recordQueue) popExpired(now time.Time) *task {
	if len(q.items) == 0 || q.items[0].expireAt.After(now) {
		return nil
	}
	t := q.items[0]
	q.items[0] = nil
	q.items = q.items[1:]
	return t
}
