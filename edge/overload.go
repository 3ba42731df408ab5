package edge

import "time"

// Limits for detecting an overloaded owner.
const (
	// lateTickDelay is the delay from which a tick is late. On a VM that is fast
	// enough, ticks are a millisecond late on average and 25 ms at most; on one that
	// is too slow, 20 to 120 ms on average.
	lateTickDelay = 25 * time.Millisecond
	// overloadWindow is the period over which ticks are judged together.
	overloadWindow = 500 * time.Millisecond
	// lateTickDivisor makes a window slow if at least one in this many of its ticks
	// is late.
	lateTickDivisor = 3
	// minSlowWindows is how many consecutive windows have to be slow: longer than the
	// work that comes with a burst.
	minSlowWindows = 2
	// minYieldInterval is the shortest ownership before a yield and the shortest time
	// between yields, so that a load that is too large for every VM does not change
	// owners all the time.
	minYieldInterval = 8 * time.Second
	// yieldClaimDelay lets all other nodes claim before a node that is cut off from
	// the store, or that has yielded the pools, for yieldClaimDelayPeriod after the
	// yield.
	yieldClaimDelay       = 500 * time.Millisecond
	yieldClaimDelayPeriod = 5 * time.Second
)

// overloadDetector detects from the delays of an owner's ticks that its VM is too
// slow for the pools; another VM may be fast enough.
type overloadDetector struct {
	// began is when the ownership began.
	began time.Duration
	// windowStart is when the current window began; ticks and lateTicks count in it.
	windowStart      time.Duration
	ticks, lateTicks int
	// slowWindows counts the consecutive slow windows.
	slowWindows int
}

// recordTick records the delay of a tick and reports whether to yield the pools.
func (d *overloadDetector) recordTick(now, delay time.Duration) bool {
	if now >= d.windowStart+overloadWindow {
		if d.lateTicks*lateTickDivisor >= d.ticks && d.lateTicks > 0 {
			d.slowWindows++
		} else {
			d.slowWindows = 0
		}
		d.windowStart, d.ticks, d.lateTicks = now, 0, 0
	}
	d.ticks++
	if delay >= lateTickDelay {
		d.lateTicks++
	}
	return d.slowWindows >= minSlowWindows && now >= d.began+minYieldInterval
}
