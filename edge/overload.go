package edge

import "time"

// Overload limits. On sound VMs ticks are a millisecond late in the mean and 25 ms
// at most; on an owner that is too slow, 20 to 120 ms in the mean (journal, "how
// late an owner on a slow VM decides its ticks").
const (
	lateTick = 25 * time.Millisecond
	// pulseWindow is over which time ticks are judged together.
	pulseWindow = 500 * time.Millisecond
	// lateShare is one in how many ticks of a window that is slow comes late.
	lateShare = 3
	// slowWindows is how many windows in a row have to be slow: longer than the work
	// that comes with a burst.
	slowWindows = 2
	// yieldAfter is the shortest ownership, so that a load that is too large for
	// every VM does not make owners change all the time.
	yieldAfter = 8 * time.Second
	// yieldHandicap lets all others claim before a node that gave the pools up
	// since it was too slow, for yieldFor.
	yieldHandicap = 500 * time.Millisecond
	yieldFor      = 5 * time.Second
)

// pulse tells from the delays of an owner's ticks whether its VM is too slow for
// the pools; another VM may be sound.
type pulse struct {
	// began is when the ownership began.
	began time.Duration
	// window is when the present window began; ticks and late count in it.
	window      time.Duration
	ticks, late int
	// slow counts the slow windows in a row.
	slow int
}

// observe takes the delay of a tick and reports whether to give the pools up.
func (p *pulse) observe(now, delay time.Duration) bool {
	if now >= p.window+pulseWindow {
		if p.late*lateShare >= p.ticks && p.late > 0 {
			p.slow++
		} else {
			p.slow = 0
		}
		p.window, p.ticks, p.late = now, 0, 0
	}
	p.ticks++
	if delay >= lateTick {
		p.late++
	}
	return p.slow >= slowWindows && now >= p.began+yieldAfter
}
