package candidacy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/candidacy"
)

var (
	small = candidacy.Room{Cores: 0.192, LinkMbps: 10}
	large = candidacy.Room{Cores: 0.8, LinkMbps: 200}
)

// Load: the owner is lost, and VMs of two kinds race for the pools.
func TestVMsLeaveTheClaimToThoseWithMoreRoom(t *testing.T) {
	for name, c := range map[string]struct {
		own    candidacy.Room
		others map[string]candidacy.Room
		waits  bool
	}{
		"small beside large":       {small, map[string]candidacy.Room{"a": small, "b": large}, true},
		"large beside small":       {large, map[string]candidacy.Room{"a": small}, false},
		"all small":                {small, map[string]candidacy.Room{"a": small, "b": small}, false},
		"nobody else":              {small, nil, false},
		"slow link beside fast":    {candidacy.Room{Cores: 0.8, LinkMbps: 4}, map[string]candidacy.Room{"a": large}, true},
		"an earlier build":         {small, map[string]candidacy.Room{"a": {}}, false},
		"own room not known":       {candidacy.Room{}, map[string]candidacy.Room{"a": large}, false},
		"odd figures":              {small, map[string]candidacy.Room{"a": {Cores: -3, LinkMbps: -1}}, false},
		"slowed beside large":      {large.Slowed(0.2), map[string]candidacy.Room{"a": large}, true},
		"busy with its own work":   {large.Slowed(0.55), map[string]candidacy.Room{"a": large}, false},
		"odd speed":                {large.Slowed(-1), map[string]candidacy.Room{"a": large}, false},
		"processor without a link": {candidacy.Room{Cores: 0.2}, map[string]candidacy.Room{"a": {Cores: 1}}, true},
	} {
		delay := candidacy.ClaimDelay(c.own, c.others)
		require.Equal(t, c.waits, delay > 300*time.Millisecond, name)
		require.Less(t, delay, time.Second, name)
	}
}

// Load: a small VM has won the pools while the large ones restarted, one after the other.
func TestSmallOwnerHandsOverOnceLargeOneIsReady(t *testing.T) {
	var tenure candidacy.Tenure
	at := func(ms int) time.Duration { return time.Minute + time.Duration(ms)*time.Millisecond }
	tenure.Observe(at(0), map[string]candidacy.Room{"a": small})
	require.False(t, tenure.ShouldYield(at(5000), at(0), small))
	tenure.Observe(at(5000), map[string]candidacy.Room{"a": small, "b": large})
	require.False(t, tenure.ShouldYield(at(6000), at(0), small), "it has just started")
	tenure.Observe(at(6500), map[string]candidacy.Room{"a": small})
	tenure.Observe(at(7000), map[string]candidacy.Room{"b": large})
	require.False(t, tenure.ShouldYield(at(8500), at(0), small), "it has started again")
	require.False(t, tenure.ShouldYield(at(9500), at(9000), small), "this ownership has just begun")
	require.True(t, tenure.ShouldYield(at(9500), at(0), small))
	require.False(t, tenure.ShouldYield(at(14000), at(10000), small), "the others cannot claim")
	require.True(t, tenure.ShouldYield(at(26000), at(10000), small))
}

// Load: every pair of VMs hands over to the better one, for as long as there is one.
func TestHandoversNeverGoInACircle(t *testing.T) {
	rooms := map[string]candidacy.Room{
		"a": small, "b": large, "c": {Cores: 0.4, LinkMbps: 20}, "d": {Cores: 0.3}, "e": {LinkMbps: 12}, "f": {Cores: 2, LinkMbps: 9}, "g": {},
	}
	yields := func(from, to string) bool {
		var tenure candidacy.Tenure
		tenure.Observe(0, map[string]candidacy.Room{to: rooms[to]})
		return tenure.ShouldYield(time.Minute, 0, rooms[from])
	}
	for x := range rooms {
		for y := range rooms {
			require.False(t, yields(x, y) && yields(y, x), "%s %s", x, y)
			for z := range rooms {
				require.False(t, yields(x, y) && yields(y, z) && yields(z, x), "%s %s %s", x, y, z)
			}
		}
	}
}
