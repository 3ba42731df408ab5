package edge

import (
	"context"
	"sync"
	"time"

	"jacinthwind/core"
)

// Hedging limits.
const (
	// hedgeTries is how often a call is sent at most while no answer comes; the last
	// try goes by another way, where there is one.
	hedgeTries = 3
	// hedgeFactor times the usual latency is when a call is sent again; the least
	// covers pauses of the process itself, the most is half of directWithin, so
	// that a slow store is not asked three times for each call.
	hedgeFactor = 6
	minHedge    = 100 * time.Millisecond
	maxHedge    = 300 * time.Millisecond
	// latencyWeight is the weight of one answer in the usual latency.
	latencyWeight = 0.25
)

// carrier sends a call to the store.
type carrier func(ctx context.Context, c core.StoreCall) (int, []byte, error)

// hedge sends calls again that get no answer within a few times the usual
// latency, since a store may lose answers while it serves. All calls are
// conditional or harmless when repeated. Its zero value is ready for use.
type hedge struct {
	mu sync.Mutex
	// usual is the weighted mean latency of answered calls.
	usual time.Duration
}

// tryResult is what one try of a call brought.
type tryResult struct {
	status int
	data   []byte
	err    error
	// other says that the try went by the other way.
	other bool
	took  time.Duration
}

// pause returns when a call without an answer is sent again.
func (h *hedge) pause() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(max(hedgeFactor*h.usual, minHedge), maxHedge)
}

func (h *hedge) observe(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.usual += time.Duration(latencyWeight * float64(latency-h.usual))
}

// carry sends a call until the store serves it, all tries have failed, or ctx
// ends. A try that failed is not repeated here: only silence is. It reports whether
// the last try, by another way that may be nil, was the one that was served.
func (h *hedge) carry(ctx context.Context, send, another carrier, c core.StoreCall) (status int, data []byte, other bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan tryResult, hedgeTries)
	try := func(by carrier, other bool) {
		began := mono()
		status, data, err := by(ctx, c)
		results <- tryResult{status, data, err, other, mono() - began}
	}
	go try(send, false)
	tries, failed := 1, 0
	pause := h.pause()
	t := time.NewTimer(pause)
	defer t.Stop()
	for {
		select {
		case r := <-results:
			if served(r.status, r.err) {
				if !r.other {
					h.observe(r.took)
				}
				return r.status, r.data, r.other, nil
			}
			if failed++; failed == tries {
				return r.status, r.data, r.other, r.err
			}
		case <-t.C:
			if tries < hedgeTries {
				tries++
				last := tries == hedgeTries && another != nil
				by := send
				if last {
					by = another
				}
				go try(by, last)
				t.Reset(pause)
			}
		case <-ctx.Done():
			return 0, nil, false, ctx.Err()
		}
	}
}
