package demand_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/demand"
)

// TestRateFollowsBurstAndIsZeroAfterIt replays a burst on a queue of small jobs:
// 45 jobs a second of 25 core-seconds each, after a phase at a twentieth of the
// mean rate.
func TestRateFollowsBurstAndIsZeroAfterIt(t *testing.T) {
	var d demand.Tracker
	now := time.Duration(0)
	addJobs := func(gap time.Duration, n int) {
		for range n {
			now += gap
			d.AddJob(now, 25)
		}
	}
	addJobs(2*time.Second, 8)
	require.InDelta(t, 12.5, d.Rate(now), 5)
	addJobs(time.Second/45, 8)
	require.InEpsilon(t, 45*25, d.Rate(now), 0.35, "the rate is known after eight jobs")
	now += time.Second
	require.Zero(t, d.Rate(now), "the burst is over")
}

// TestRateOfTwoSimultaneousJobsIsNoBurst submits two large jobs at the same
// moment to a quiet queue; the tracker must not take them for a burst.
func TestRateOfTwoSimultaneousJobsIsNoBurst(t *testing.T) {
	var d demand.Tracker
	now := time.Duration(0)
	for range 8 {
		now += time.Second
		d.AddJob(now, 238)
	}
	quiet := d.Rate(now)
	d.AddJob(now, 238)
	d.AddJob(now, 238)
	require.Less(t, d.Rate(now), 1.6*quiet)
}

func TestRateIsZeroWithoutJobs(t *testing.T) {
	var d demand.Tracker
	require.Zero(t, d.Rate(time.Second))
}

// TestRateOfManyJobsIsNotLimited replays the first second of a turn on quiet-1 of
// sellocant-jw-large: 194 jobs a second of 87 core-seconds each. Eight of them arrive
// within 41 ms.
func TestRateOfManyJobsIsNotLimited(t *testing.T) {
	var d demand.Tracker
	now := time.Duration(0)
	for range 100 {
		now += time.Second / 194
		d.AddJob(now, 87)
	}
	require.InEpsilon(t, 194*87, d.Rate(now), 0.1)
	now += 400 * time.Millisecond
	require.Zero(t, d.Rate(now), "the burst is over")
}
