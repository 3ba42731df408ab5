package edge

import (
	"context"
	"sync"
	"time"

	"jacinthwind/core"
)

// Hedging limits.
const (
	// maxHedgeAttempts is how often a call is sent at most while no answer arrives;
	// the last attempt goes through a peer, if there is one.
	maxHedgeAttempts = 3
	// A call is sent again after hedgeLatencyFactor times the mean latency. The
	// minimum covers pauses of the process itself; the maximum is half of
	// directTimeout, so that a slow store does not receive three requests for each
	// call.
	hedgeLatencyFactor = 6
	minHedgeDelay      = 100 * time.Millisecond
	maxHedgeDelay      = 300 * time.Millisecond
	// latencyWeight is the weight of one answer in the mean latency.
	latencyWeight = 0.25
)

// storeCallFunc sends a call to the store and returns the status and the body of
// its answer.
type storeCallFunc func(ctx context.Context, c core.StoreCall) (int, []byte, error)

// hedger sends calls again that get no answer within a few times the mean latency,
// since a store may lose answers while it serves. Every call is conditional or
// harmless when repeated. The zero value is ready for use.
type hedger struct {
	mu sync.Mutex
	// meanLatency is the weighted mean latency of answered calls.
	meanLatency time.Duration
}

// attemptResult is the result of one attempt of a call.
type attemptResult struct {
	status int
	data   []byte
	err    error
	// viaPeer reports that the attempt went through a peer.
	viaPeer bool
	latency time.Duration
}

// resendDelay returns how long to wait for an answer before a call is sent again.
func (h *hedger) resendDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(max(hedgeLatencyFactor*h.meanLatency, minHedgeDelay), maxHedgeDelay)
}

// recordLatency includes the latency of an answered call in the mean.
func (h *hedger) recordLatency(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.meanLatency += time.Duration(latencyWeight * float64(latency-h.meanLatency))
}

// call sends a call until the store serves it, all attempts have failed, or ctx
// ends. It repeats attempts without an answer, but not attempts that failed; sending one
// takes up to sendTime, as copies of a call that is still being sent would share its link.
// The last attempt uses fallback, which goes through a peer and may be nil; viaPeer
// reports whether that attempt was the one that was served.
func (h *hedger) call(ctx context.Context, send, fallback storeCallFunc, c core.StoreCall, sendTime time.Duration) (status int, data []byte, viaPeer bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, maxHedgeAttempts)
	attempt := func(send storeCallFunc, c core.StoreCall, viaPeer bool) {
		began := monotonicNow()
		status, data, err := send(ctx, c)
		results <- attemptResult{status, data, err, viaPeer, monotonicNow() - began}
	}
	go attempt(send, c, false)
	attempts, failed := 1, 0
	delay := h.resendDelay() + sendTime
	t := time.NewTimer(delay)
	defer t.Stop()
	for {
		select {
		case r := <-results:
			if isServed(r.status, r.err) {
				if !r.viaPeer {
					h.recordLatency(r.latency)
				}
				return r.status, r.data, r.viaPeer, nil
			}
			if failed++; failed == attempts {
				return r.status, r.data, r.viaPeer, r.err
			}
		case <-t.C:
			if attempts < maxHedgeAttempts {
				attempts++
				last := attempts == maxHedgeAttempts && fallback != nil
				sender := send
				if last {
					sender = fallback
				}
				again := c
				again.NewConnection = true
				go attempt(sender, again, last)
				t.Reset(delay)
			}
		case <-ctx.Done():
			return 0, nil, false, ctx.Err()
		}
	}
}
