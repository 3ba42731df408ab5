package edge

import "sync"

// maxOrdersAtOnce is the number of orders to one executor that are sent at once. There are
// fewer connections for them, so that more would only wait there.
const maxOrdersAtOnce = 8

// orderQueues holds the orders that wait until others to the same executor are answered.
type orderQueues struct {
	mu         sync.Mutex
	byExecutor map[string]*orderQueue
}

// orderQueue holds the orders to one executor in their order.
type orderQueue struct {
	waiting []func()
	senders int
}

// add calls send once fewer orders to the executor than maxOrdersAtOnce are being sent. It
// starts what sends them with spawn.
func (q *orderQueues) add(executor string, spawn func(func()), send func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byExecutor == nil {
		q.byExecutor = map[string]*orderQueue{}
	}
	x := q.byExecutor[executor]
	if x == nil {
		x = &orderQueue{}
		q.byExecutor[executor] = x
	}
	if x.senders == maxOrdersAtOnce {
		x.waiting = append(x.waiting, send)
		return
	}
	x.senders++
	spawn(func() {
		for send != nil {
			send()
			send = q.next(executor, x)
		}
	})
}

// next returns the next order to an executor, nil if none waits.
func (q *orderQueues) next(executor string, x *orderQueue) func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(x.waiting) > 0 {
		send := x.waiting[0]
		x.waiting[0] = nil
		x.waiting = x.waiting[1:]
		return send
	}
	if x.senders--; x.senders == 0 {
		delete(q.byExecutor, executor)
	}
	return nil
}
