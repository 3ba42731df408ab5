package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load: a VM is slowed down to a fifth for some seconds, and single measurements are disturbed.
func TestSlowedVMKnowsIt(t *testing.T) {
	var m speedMeter
	require.Equal(t, 1.0, m.share())
	record := func(us ...int) (changes int) {
		for _, v := range us {
			if _, changed := m.record(time.Duration(v) * time.Microsecond); changed {
				changes++
			}
		}
		return changes
	}
	require.Zero(t, record(60, 50, 55, 900, 52, 51, 54), "one odd measurement")
	require.Greater(t, m.share(), 0.8)
	require.Equal(t, 1, record(260, 255, 270))
	require.InDelta(t, 0.2, m.share(), 0.02)
	require.Equal(t, 1, record(50, 52, 51))
}
