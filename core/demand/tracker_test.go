package demand_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/demand"
)

// TestRateFollowsATurn replays a turn of a queue of small jobs: 45 jobs a second
// of 25 core-seconds, after and before a twentieth of the mean.
func TestRateFollowsATurn(t *testing.T) {
	var d demand.Tracker
	now := time.Duration(0)
	every := func(gap time.Duration, n int) {
		for range n {
			now += gap
			d.Add(now, 25)
		}
	}
	every(2*time.Second, 8)
	require.InDelta(t, 12.5, d.Rate(now), 5)
	every(time.Second/45, 8)
	require.InEpsilon(t, 45*25, d.Rate(now), 0.35, "the rate is known after eight jobs")
	now += time.Second
	require.Zero(t, d.Rate(now), "the turn is over")
}

// TestRateOfFewLargeJobs replays two large jobs at one moment on a quiet queue:
// they are not taken for a turn.
func TestRateOfFewLargeJobs(t *testing.T) {
	var d demand.Tracker
	now := time.Duration(0)
	for range 8 {
		now += time.Second
		d.Add(now, 238)
	}
	quiet := d.Rate(now)
	d.Add(now, 238)
	d.Add(now, 238)
	require.Less(t, d.Rate(now), 1.6*quiet)
}

func TestRateOfNothing(t *testing.T) {
	var d demand.Tracker
	require.Zero(t, d.Rate(time.Second))
}
