package edge

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOrdersToOneExecutorWaitInOrder checks how many orders to an executor are sent at once, in
// which order the others follow, and that other executors do not wait.
func TestOrdersToOneExecutorWaitInOrder(t *testing.T) {
	var q orderQueues
	var group sync.WaitGroup
	var mu sync.Mutex
	var sent []int
	answer := make(chan struct{})
	record := func(n int) {
		mu.Lock()
		defer mu.Unlock()
		sent = append(sent, n)
	}
	const orders = 3 * maxOrdersAtOnce
	for n := range orders {
		q.add("slow", group.Go, func() {
			record(n)
			<-answer
		})
	}
	done := make(chan struct{})
	q.add("other", group.Go, func() { close(done) })
	<-done
	q.mu.Lock()
	require.Len(t, q.byExecutor["slow"].waiting, orders-maxOrdersAtOnce)
	q.mu.Unlock()
	for range orders {
		answer <- struct{}{}
	}
	group.Wait()
	require.Len(t, sent, orders)
	require.NotContains(t, sent[:maxOrdersAtOnce], orders-1)
	require.Empty(t, q.byExecutor)
}
