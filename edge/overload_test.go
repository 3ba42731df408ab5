package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOverloadIsDetectedFromTickDelays checks patterns of tick delays. It guards
// against an owner that keeps the pools on a VM that is six times slower for five
// seconds.
func TestOverloadIsDetectedFromTickDelays(t *testing.T) {
	fast := []int{0, 1, 0, 2, 0, 0, 11, 0}
	for name, c := range map[string]struct {
		start time.Duration
		// delays are the delays of successive ticks in milliseconds, played repeatedly
		// with 40 ms between ticks.
		delays   []int
		duration time.Duration
		yields   bool
	}{
		"fast enough":                      {time.Minute, fast, 10 * time.Second, false},
		"too slow":                         {time.Minute, []int{5, 160, 12, 230, 3, 97}, 5 * time.Second, true},
		"single late ticks":                {time.Minute, []int{1, 7, 3, 20, 0, 9, 43, 2, 4, 0}, 5 * time.Second, false},
		"one pause":                        {time.Minute, append([]int{4000}, make([]int, 200)...), 6 * time.Second, false},
		"a burst":                          {time.Minute, append([]int{80, 90, 120, 70}, make([]int, 200)...), 6 * time.Second, false},
		"an ownership that has just begun": {0, []int{5, 160, 12, 230, 3, 97}, 5 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			var d overloadDetector
			now, yields := c.start, false
			for i := 0; now < c.start+c.duration; i++ {
				delay := time.Duration(c.delays[i%len(c.delays)]) * time.Millisecond
				now += 40*time.Millisecond + delay
				yields = d.recordTick(now, delay) || yields
			}
			require.Equal(t, c.yields, yields)
		})
	}
}
