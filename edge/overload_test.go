package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPulse is a row for each pattern of late ticks, in ms and over again;
// clocks-and-links of sellocant-jw has an owner that is six times slower for five
// seconds.
func TestPulse(t *testing.T) {
	sound := []int{0, 1, 0, 2, 0, 0, 11, 0}
	for name, c := range map[string]struct {
		begin time.Duration
		// delays are played again and again, each 40 ms apart and as late as it says.
		delays []int
		length time.Duration
		yields bool
	}{
		"sound":                      {time.Minute, sound, 10 * time.Second, false},
		"too slow":                   {time.Minute, []int{5, 160, 12, 230, 3, 97}, 5 * time.Second, true},
		"slow and good enough":       {time.Minute, []int{1, 7, 3, 20, 0, 9, 43, 2, 4, 0}, 5 * time.Second, false},
		"one pause":                  {time.Minute, append([]int{4000}, make([]int, 200)...), 6 * time.Second, false},
		"a burst":                    {time.Minute, append([]int{80, 90, 120, 70}, make([]int, 200)...), 6 * time.Second, false},
		"an ownership that is young": {0, []int{5, 160, 12, 230, 3, 97}, 5 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			var p pulse
			now, yields := c.begin, false
			for i := 0; now < c.begin+c.length; i++ {
				delay := time.Duration(c.delays[i%len(c.delays)]) * time.Millisecond
				now += 40*time.Millisecond + delay
				yields = p.observe(now, delay) || yields
			}
			require.Equal(t, c.yields, yields)
		})
	}
}
