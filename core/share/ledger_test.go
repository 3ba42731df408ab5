package share_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/share"
)

const cores = 10

// Load: one team sends ten times what the others send.
func TestTeamThatSendsMuchWaitsByItself(t *testing.T) {
	var l share.Ledger
	for range 20 {
		l.Charge(time.Second, "hot", 1, cores, 5)
	}
	l.Charge(time.Second, "calm", 1, cores, 5)
	// Of ten cores, each has five while both have work.
	require.InDelta(t, 20, l.Wait(time.Second, "hot", 1, cores).Seconds(), 0.01)
	require.InDelta(t, 1, l.Wait(time.Second, "calm", 1, cores).Seconds(), 0.01)
	require.Zero(t, l.Wait(time.Second, "idle", 1, cores))
	require.Zero(t, l.Wait(2*time.Second, "calm", 1, cores))
	// Then the other has all of them: 95 core-seconds are left after one second.
	require.InDelta(t, 9.5, l.Wait(2*time.Second, "hot", 1, cores).Seconds(), 0.01)
	require.Zero(t, l.Wait(12*time.Second, "hot", 1, cores))
	require.Zero(t, l.Teams())
}

// Load: two teams with unlike weights and work for long.
func TestWeightsDivideTheRoom(t *testing.T) {
	var l share.Ledger
	l.Charge(0, "large", 3, cores, 75)
	l.Charge(0, "small", 1, cores, 75)
	require.InDelta(t, 10, l.Wait(0, "large", 3, cores).Seconds(), 0.01)
	require.InDelta(t, 30, l.Wait(0, "small", 1, cores).Seconds(), 0.01)
	require.Zero(t, l.Wait(10001*time.Millisecond, "large", 3, cores))
	require.InDelta(t, 5, l.Wait(10*time.Second, "small", 1, cores).Seconds(), 0.01, "what the other does not use is its own")
}

// Load: a team comes back after an hour in which another one worked.
func TestTeamIsNotOwedThePast(t *testing.T) {
	var l share.Ledger
	for i := range 3600 {
		l.Charge(time.Duration(i)*time.Second, "steady", 1, cores, 10)
	}
	l.Charge(time.Hour, "steady", 1, cores, 10)
	l.Charge(time.Hour, "back", 1, cores, 10)
	require.InDelta(t, l.Wait(time.Hour, "steady", 1, cores).Seconds(), l.Wait(time.Hour, "back", 1, cores).Seconds(), 0.1)
}

func TestWorkThatIsNotDoneIsGivenBack(t *testing.T) {
	var l share.Ledger
	l.Charge(0, "a", 1, cores, 30)
	l.Refund("a", 20)
	require.InDelta(t, 1, l.Wait(0, "a", 1, cores).Seconds(), 0.01)
	l.Refund("a", 1000)
	require.Zero(t, l.Wait(0, "a", 1, cores))
	l.Refund("unknown", 5)
}

func TestOddWeightsAndWork(t *testing.T) {
	for configured, want := range map[float64]float64{2: 2, 0: 1, -3: 1, math.NaN(): 1, 1e-9: 1e-3, math.Inf(1): 1e6} {
		got, ok := share.Weight(configured)
		require.Equal(t, want, got)
		require.Equal(t, configured == 2, ok)
	}
	var l share.Ledger
	l.Charge(0, "a", 0, cores, 5)
	l.Charge(0, "b", 1, 0, math.NaN())
	require.Zero(t, l.Teams())
	l.Charge(0, "c", 1, 0, 1)
	require.InDelta(t, 1, l.Wait(0, "c", 1, 0).Seconds(), 0.01)
}

// Load: as many teams as a large deployment has, all in one burst.
func BenchmarkLedger(b *testing.B) {
	var l share.Ledger
	names := make([]string, 240)
	for i := range names {
		names[i] = fmt.Sprint("team-", i)
	}
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		l.Wait(now, names[i%len(names)], 1, 1000)
		l.Charge(now, names[i%len(names)], 1, 1000, 1.5)
	}
}
